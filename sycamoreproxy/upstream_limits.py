"""Limits of requests per second that upstreams name in their answers, and permits under them.

A limit holds for the requests of all entry hosts together. A request to a limited upstream needs a
permit. The sidecar process of an engine issues the permits for it (``permit_issuer``). Where this
host has no stream to one, as for plain services, it issues permits to itself at the rate of its
share. Their times are random, so that the hosts need no agreement and do not send at once. Sidecar
processes tell the other hosts when such a limit begins, changes and ends. Under a limit of 0, one of
them issues the permits for a plain service.

A cold upstream has a limit as well, which its service's configuration names. Each host keeps to its
share of it without a permit (``cold_shares``).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass

from sycamoreproxy.caller_request import UpstreamResponseHead
from sycamoreproxy.clock import Clock
from sycamoreproxy.cold_shares import ColdShares
from sycamoreproxy.cold_starts import ColdStarts
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import LimitNotice, LimitReport
from sycamoreproxy.metrics import UPSTREAM_LIMITS
from sycamoreproxy.peers import Peer
from sycamoreproxy.permit_issuer import MIN_PERMITS_PER_S, PERMIT_REQUEST_INTERVAL_S
from sycamoreproxy.resend_budget import DEFAULT_ENTRY_HOSTS
from sycamoreproxy.upstream_book import UpstreamRecord

#: Time for which a permit may be used, in seconds. An unused one expires, so that permits do not
#: accumulate and are not all used at once.
PERMIT_LIFETIME_S = 1.0
#: Time for which a permit is reserved for requests of the priority level that needed it, in seconds.
RESERVED_S = 0.5
#: Fraction of its share for which a host issues permits to itself. Random times coincide, and hosts
#: that are just starting are not counted yet.
USABLE_SHARE_FRACTION = 0.75

#: Number of sidecar processes that are told of a limit of a plain service. Each tells it to all entry
#: hosts that have a stream to it.
RELAYS = 2

_log = get_logger("upstream_limits")


@dataclass(slots=True, kw_only=True)
class _Limit:
    """Limit of one lifetime of an upstream, and this host's permit under it.

    :param started_ms: start of the upstream in Unix milliseconds.
    :param requests_per_s: infinite if the upstream named a limit before and does not any more.
    :param observed_at: monotonic time at which the upstream last named the limit or no limit.
    :param permit_from: monotonic time from which a permit may be used.
    :param permit_until: monotonic time until which it may be used.
    :param requested_at: monotonic time of the pending request for a permit.
    :param needed_level: priority level of the most urgent request that needed a permit since the
        last one was used; infinite if none did.
    :param used_at: monotonic time at which the last permit was used.
    """

    started_ms: int
    requests_per_s: float
    observed_at: float
    permit_from: float = -math.inf
    permit_until: float = -math.inf
    requested_at: float = -math.inf
    needed_level: float = math.inf
    used_at: float = -math.inf

    @property
    def is_in_force(self) -> bool:
        """Whether requests need a permit."""
        return self.requests_per_s < math.inf


class UpstreamLimits:
    """Limits by upstream, and this host's permits.

    :param find_issuer: returns the stream to the process that issues permits for an upstream, or
        None if there is none.
    :param find_coordinator: returns the stream to the sidecar process that issues permits for a
        plain service under a limit of 0, or None if there is none. All hosts have to agree on it.
    :param list_relays: returns the streams to all sidecar processes.
    :param cold_starts: tells which upstreams are cold; None if none ever is.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        find_issuer: Callable[[UpstreamRecord], Peer | None] = lambda record: None,
        find_coordinator: Callable[[UpstreamRecord], Peer | None] = lambda record: None,
        list_relays: Callable[[], Sequence[Peer]] = tuple,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._find_issuer = find_issuer
        self._find_coordinator = find_coordinator
        self._list_relays = list_relays
        self._cold_starts = cold_starts
        self._cold_shares = ColdShares(clock=clock, seed=str(random_source.random()))
        self._limits_by_instance: dict[str, _Limit] = {}
        self._malformed_instances: set[str] = set()
        self._entry_hosts = 0
        #: Called when a permit was received or a limit has ended.
        self.on_permit: Callable[[], None] = lambda: None

    # Queries

    @property
    def has_limits(self) -> bool:
        """Whether any upstream has named a limit or may be cold."""
        is_any_cold = self._cold_starts is not None and self._cold_starts.may_be_cold
        return bool(self._limits_by_instance) or is_any_cold

    def find_requests_per_s(self, record: UpstreamRecord) -> float:
        """Return the limit in force for an upstream, in requests per second; infinite if none."""
        limit = self._find(record)
        cold_limit = None if self._cold_starts is None else self._cold_starts.find_limit(record)
        return min(
            math.inf if limit is None else limit.requests_per_s,
            math.inf if cold_limit is None else cold_limit,
        )

    def permits(self, record: UpstreamRecord, level: int) -> bool:
        """Return whether a request of a priority level may be sent to an upstream now."""
        if self.find_cold_wait_s(record):
            return False
        limit = self._find(record)
        if limit is None or not limit.is_in_force:
            return True
        is_reserved_for_others = level > limit.needed_level
        usable_from = limit.permit_from + (RESERVED_S if is_reserved_for_others else 0.0)
        return usable_from <= self._clock.monotonic() < limit.permit_until

    def find_cold_wait_s(self, record: UpstreamRecord) -> float:
        """Return the time until a cold upstream takes a request of this host, in seconds."""
        if self._cold_starts is None:
            return 0.0
        limit = self._cold_starts.find_limit(record)
        if limit is None:
            return 0.0
        cold_since = self._cold_starts.find_since(record)
        return self._cold_shares.find_wait_s(record.instance, limit=limit, cold_since=cold_since)

    def may_permit_soon(
        self, records: Sequence[UpstreamRecord], *, within_s: float, has_begun: bool
    ) -> bool:
        """Return whether an upstream with a limit may take a request within a time in seconds.

        The end of the wait is known only for cold upstreams. Under a limit that an upstream named,
        only requests wait whose caller has received something.

        :param has_begun: whether the caller has received something.
        """
        if not self.has_limits or within_s <= 0:
            return False
        if any(0 < self.find_cold_wait_s(record) < within_s for record in records):
            return True
        return has_begun and any(self.find_requests_per_s(record) < math.inf for record in records)

    def describe(self) -> dict[str, float]:
        """Return the limits in force in the format of the state dump."""
        return {
            instance: limit.requests_per_s
            for instance, limit in self._limits_by_instance.items()
            if limit.is_in_force
        }

    # Commands

    def update_entry_hosts(self, count: int, *, zones_heard: int = 1, zones: int = 1) -> None:
        """Update the number of entry hosts; the highest number is kept, as in ``ResendBudget``.

        :param zones_heard: see ``ColdShares.update_entry_hosts``, as for ``zones``.
        """
        self._entry_hosts = max(self._entry_hosts, count)
        self._cold_shares.update_entry_hosts(count, zones_heard=zones_heard, zones=zones)

    def observe(
        self, record: UpstreamRecord, head: UpstreamResponseHead, *, sent_at: float
    ) -> None:
        """Apply what the head of an answer says of the limit of its upstream.

        An answer without a limit ends it only if its request was sent after the limit was named:
        answers on different connections may overtake each other.

        :param record: record with which the request was sent.
        :param sent_at: monotonic time at which the request was sent.
        """
        instance = record.instance
        if self._cold_starts is not None and head.cold_remaining_ms:
            self._cold_starts.observe_remaining(record, head.cold_remaining_ms)
        if head.malformed_limit:
            if instance not in self._malformed_instances:
                self._malformed_instances.add(instance)
                _log.warning(
                    "malformed limit ignored", upstream=instance, limit=head.malformed_limit
                )
            return
        if head.requests_per_s is not None:
            requests_per_s, observed_at = head.requests_per_s, self._clock.monotonic()
        elif head.is_signed and instance in self._limits_by_instance:
            requests_per_s, observed_at = math.inf, sent_at
        else:
            return
        if self._update(instance, record.started_ms, requests_per_s, observed_at):
            if requests_per_s < math.inf:
                UPSTREAM_LIMITS.inc({"service": record.service})
            for peer in self._list_receivers(record):
                self._report(peer, record, needs_permit=False, level=0)

    def request_permits(self, records: Iterable[UpstreamRecord], *, level: int) -> None:
        """Request a permit for each limited upstream for which this host has none.

        :param level: priority level of the request that needs it, 0 for the most urgent.
        """
        if not self._limits_by_instance:
            return
        now = self._clock.monotonic()
        for record in records:
            limit = self._find(record)
            if limit is None or not limit.is_in_force:
                continue
            is_more_urgent = level < limit.needed_level
            limit.needed_level = min(limit.needed_level, level)
            issuer = self._find_issuer(record)
            if issuer is None and limit.requests_per_s == 0:
                issuer = self._find_coordinator(record)
            is_pending = issuer is None and now < limit.permit_from
            if is_pending or limit.permit_from <= now < limit.permit_until:
                continue
            if issuer is None:
                limit.permit_from = now + self._choose_own_wait_s(limit, now)
                limit.permit_until = limit.permit_from + PERMIT_LIFETIME_S
            elif is_more_urgent or now - limit.requested_at >= PERMIT_REQUEST_INTERVAL_S:
                limit.requested_at = now
                self._report(issuer, record, needs_permit=True, level=level)

    def use_permit(self, record: UpstreamRecord) -> None:
        """Count a request that is sent to an upstream."""
        if self._cold_starts is not None:
            self._cold_shares.record(record.instance)
        limit = self._find(record)
        if limit is not None:
            limit.permit_until = limit.requested_at = -math.inf
            limit.needed_level = math.inf
            limit.used_at = self._clock.monotonic()

    def receive_notice(self, notice: LimitNotice) -> None:
        """Apply a message of the process that issues permits."""
        now = self._clock.monotonic()
        has_changed = self._update(
            notice.instance, notice.started_ms, notice.requests_per_s, now - notice.age_s
        )
        limit = self._limits_by_instance[notice.instance]
        if notice.permits and limit.started_ms == notice.started_ms:
            limit.permit_from, limit.permit_until = now, now + PERMIT_LIFETIME_S
            limit.requested_at = -math.inf
        if has_changed or notice.permits:
            self.on_permit()

    def retain(self, instances: Container[str]) -> None:
        """Forget the limits of all other upstreams."""
        self._cold_shares.retain(instances)
        for instance in [item for item in self._limits_by_instance if item not in instances]:
            del self._limits_by_instance[instance]
        self._malformed_instances = {i for i in self._malformed_instances if i in instances}

    def _choose_own_wait_s(self, limit: _Limit, now: float) -> float:
        """Return the time until the next permit that this host issues to itself, in seconds."""
        hosts = self._entry_hosts or DEFAULT_ENTRY_HOSTS
        rate_per_s = max(limit.requests_per_s, MIN_PERMITS_PER_S)
        mean_s = hosts / rate_per_s / USABLE_SHARE_FRACTION
        if now - limit.used_at < mean_s:
            return max(0.0, limit.used_at + self._random.uniform(0.5, 1.5) * mean_s - now)
        # Hosts that start at the same time must not send at the same time.
        return self._random.expovariate(1 / mean_s)

    def _find(self, record: UpstreamRecord) -> _Limit | None:
        """Return the limit of the record's lifetime of its upstream."""
        limit = self._limits_by_instance.get(record.instance)
        return limit if limit is not None and limit.started_ms == record.started_ms else None

    def _update(
        self, instance: str, started_ms: int, requests_per_s: float, observed_at: float
    ) -> bool:
        """Apply an observation if it is the newest; return whether it changed the limit."""
        known = self._limits_by_instance.get(instance)
        if known is not None and known.started_ms > started_ms:
            return False
        if known is None or known.started_ms < started_ms:
            self._limits_by_instance[instance] = _Limit(
                started_ms=started_ms, requests_per_s=requests_per_s, observed_at=observed_at
            )
        elif observed_at <= known.observed_at:
            return False
        else:
            known.observed_at = observed_at
            if known.requests_per_s == requests_per_s:
                return False
            known.requests_per_s = requests_per_s
            # A permit that this host issues to itself may be far off under a lower limit.
            known.permit_from = known.permit_until = -math.inf
        if requests_per_s < math.inf:
            _log.info("upstream named a limit", upstream=instance, requests_per_s=requests_per_s)
        else:
            _log.info("upstream named no limit any more", upstream=instance)
        return True

    def _list_receivers(self, record: UpstreamRecord) -> set[Peer]:
        """Return the streams to the sidecar processes that are told of a changed limit."""
        issuer = self._find_issuer(record)
        if issuer is not None:
            return {issuer}
        relays = self._list_relays()
        receivers = set(self._random.sample(relays, min(RELAYS, len(relays))))
        coordinator = self._find_coordinator(record)
        return receivers if coordinator is None else receivers | {coordinator}

    def _report(
        self, peer: Peer, record: UpstreamRecord, *, needs_permit: bool, level: int
    ) -> None:
        limit = self._limits_by_instance[record.instance]
        peer.send(
            LimitReport(
                record.instance,
                record.started_ms,
                limit.requests_per_s,
                self._clock.monotonic() - limit.observed_at,
                needs_permit,
                level,
            )
        )
