"""Issues permits for requests to a limited engine to the entry hosts that share its limit.

Runs in the sidecar process of the engine, which has a stream to every entry host that sends to it.
The permits keep the limit in sum, however unevenly the requests are spread over the hosts, and are
issued to the most urgent requests first. Limits of plain services are passed on; under a limit of 0,
entry hosts agree on one process that issues permits for them as well.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import LimitNotice, LimitReport
from sycamoreproxy.peers import Peer, PeerHub

#: Interval between permits under a limit of 0, in seconds: without any request, its end would never
#: be noticed. A permit may be used 1 s late, so that at most 2 are used in any 4 s.
TRY_INTERVAL_S = 2.5
#: Rate of permits while an upstream names a lower limit above 0, in requests per second.
MIN_PERMITS_PER_S = 1 / 30
#: Interval at which a host repeats a request for a permit that it still needs, in seconds.
PERMIT_REQUEST_INTERVAL_S = 1.0
#: Age at which a request for a permit expires if it is not repeated, in seconds.
PERMIT_REQUEST_LIFETIME_S = 2.5
#: First protocol version with ``LimitReport`` and ``LimitNotice``.
LIMITS_MIN_PROTOCOL = 3
#: Time without a report after which a limit is forgotten, in seconds.
LIMIT_IDLE_S = 60.0

_log = get_logger("permit_issuer")


def choose_permit_interval_s(requests_per_s: float) -> float:
    """Return the time between two permits that one process issues for all hosts, in seconds."""
    if requests_per_s == 0:
        return TRY_INTERVAL_S
    return 1 / max(requests_per_s, MIN_PERMITS_PER_S)


@dataclass(slots=True)
class _PermitRequest:
    """A host's request for a permit.

    :param level: priority level of its most urgent request, 0 for the most urgent.
    :param repeated_at: monotonic time at which the host last asked.
    """

    level: int
    asked_at: float
    repeated_at: float


@dataclass(slots=True, kw_only=True)
class _SharedLimit:
    """Limit of one lifetime of the engine.

    :param requests_per_s: infinite once the limit has ended.
    :param observed_at: monotonic time at which the engine named the limit or no limit.
    :param last_permit_at: monotonic time of the last permit, or of the first report.
    """

    instance: str
    started_ms: int
    requests_per_s: float
    observed_at: float
    last_permit_at: float
    reported_at: float
    requests_by_peer: dict[Peer, _PermitRequest] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None

    def make_notice(self, now: float, *, permits: int = 0) -> LimitNotice:
        """Return the message that tells this limit to an entry host."""
        return LimitNotice(
            self.instance, self.started_ms, self.requests_per_s, now - self.observed_at, permits
        )


class PermitIssuer:
    """Collects what entry hosts report of the engine's limit and issues permits at its rate."""

    def __init__(self, *, hub: PeerHub, clock: Clock) -> None:
        self._hub = hub
        self._clock = clock
        self._limits_by_instance: dict[str, _SharedLimit] = {}
        hub.on(LimitReport, self._on_report)
        hub.on_open(self._on_peer_opened)
        hub.on_close(self._on_peer_closed)

    def describe(self) -> dict[str, object]:
        """Return the limits in the format of the state dump."""
        return {
            limit.instance: {
                "requests_per_s": limit.requests_per_s,
                "waiting": len(limit.requests_by_peer),
            }
            for limit in self._limits_by_instance.values()
            if not math.isinf(limit.requests_per_s)
        }

    def close(self) -> None:
        """Cancel the timers."""
        for limit in self._limits_by_instance.values():
            if limit.timer is not None:
                limit.timer.cancel()

    def _on_report(self, peer: Peer, report: LimitReport) -> None:
        now = self._clock.monotonic()
        self._drop_idle(now)
        limit = self._update(peer, report, now)
        if limit is None:
            return
        limit.reported_at = now
        if report.needs_permit:
            known = limit.requests_by_peer.get(peer)
            asked_at = now if known is None else known.asked_at
            limit.requests_by_peer[peer] = _PermitRequest(report.level, asked_at, now)
        self._issue(limit)

    def _update(self, peer: Peer, report: LimitReport, now: float) -> _SharedLimit | None:
        """Apply a report; return the limit, or None if the report is of an earlier lifetime."""
        observed_at = now - report.age_s
        limit = self._limits_by_instance.get(report.instance)
        if limit is not None and limit.started_ms > report.started_ms:
            return None
        if limit is None or limit.started_ms < report.started_ms:
            if limit is not None and limit.timer is not None:
                limit.timer.cancel()
            limit = _SharedLimit(
                instance=report.instance,
                started_ms=report.started_ms,
                requests_per_s=report.requests_per_s,
                observed_at=observed_at,
                last_permit_at=now,
                reported_at=now,
            )
            self._limits_by_instance[report.instance] = limit
        elif limit.requests_per_s == report.requests_per_s:
            limit.observed_at = max(limit.observed_at, observed_at)
            return limit
        elif observed_at <= limit.observed_at:
            peer.send(limit.make_notice(now))
            return limit
        else:
            limit.requests_per_s, limit.observed_at = report.requests_per_s, observed_at
        _log.info(
            "limit of an upstream changed",
            instance=limit.instance,
            requests_per_s=limit.requests_per_s,
            reported_by=peer.hello.host,
        )
        for entry in self._hub.list_peers(role="entry"):
            if entry.hello.protocol >= LIMITS_MIN_PROTOCOL:
                entry.send(limit.make_notice(now))
        return limit

    def _issue(self, limit: _SharedLimit) -> None:
        """Issue the permits that are due, and schedule the next one."""
        if limit.timer is not None:
            limit.timer.cancel()
            limit.timer = None
        now = self._clock.monotonic()
        for peer, request in list(limit.requests_by_peer.items()):
            if now - request.repeated_at > PERMIT_REQUEST_LIFETIME_S:
                del limit.requests_by_peer[peer]
        interval_s = choose_permit_interval_s(limit.requests_per_s)
        while limit.requests_by_peer:
            wait_s = limit.last_permit_at + interval_s - now
            if wait_s > 0:
                loop = asyncio.get_running_loop()
                limit.timer = loop.call_later(wait_s, self._issue, limit)
                return
            peer = min(
                limit.requests_by_peer,
                key=lambda item: (
                    limit.requests_by_peer[item].level,
                    limit.requests_by_peer[item].asked_at,
                ),
            )
            del limit.requests_by_peer[peer]
            if peer.send(limit.make_notice(now, permits=1)) and not math.isinf(
                limit.requests_per_s
            ):
                limit.last_permit_at = now

    def _on_peer_opened(self, peer: Peer) -> None:
        if peer.hello.role != "entry" or peer.hello.protocol < LIMITS_MIN_PROTOCOL:
            return
        now = self._clock.monotonic()
        for limit in self._limits_by_instance.values():
            peer.send(limit.make_notice(now))

    def _on_peer_closed(self, peer: Peer) -> None:
        for limit in self._limits_by_instance.values():
            limit.requests_by_peer.pop(peer, None)

    def _drop_idle(self, now: float) -> None:
        for limit in list(self._limits_by_instance.values()):
            if now - limit.reported_at > LIMIT_IDLE_S:
                if limit.timer is not None:
                    limit.timer.cancel()
                del self._limits_by_instance[limit.instance]
