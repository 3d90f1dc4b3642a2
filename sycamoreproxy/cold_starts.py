"""Decides how long an upstream counts as cold, and how many requests all hosts may send it.

An upstream that has just started takes few requests a second and crashes well above that. Each
process decides from what it has heard itself: the upstream's record, the report of its engine, and
answers. A later message only extends the time, so that hosts that hear different ones err toward
fewer requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Any

from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import COLD_STARTS
from sycamoreproxy.route_table import ServiceSpec
from sycamoreproxy.upstream_book import UpstreamRecord

#: Longest time for which an upstream may count as cold, in seconds. Starts take seconds; a longer
#: time in a message is a mistake.
MAX_COLD_S = 600.0
#: Largest rate of a cold upstream, in requests per second; a higher one is a mistake.
MAX_COLD_PER_S = 1e6
#: Requests beyond the ratio and ratio that are used if the settings name implausible ones.
STRICT_OVERAGE, STRICT_SLACK = 1.0, 0.0
#: Bounds of the settings that are used.
MAX_OVERAGE, MAX_SLACK = 100.0, 10_000.0
#: Largest difference between the clocks of two machines, in seconds. An upstream that started longer
#: ago than this and its cold time is warm unless it says otherwise.
CLOCK_SKEW_S = 30.0
#: Factor on the usual duration of work at an upstream that has just started. It reports its pace
#: only once it has work; the factor keeps it behind warm upstreams with the same load.
COLD_PACE = 1.5

_log = get_logger("cold_starts")


def parse_remaining_ms(value: Any) -> float:
    """Return a time until an upstream is warm, in milliseconds, as an upstream told it.

    :returns: 0 if it is absent, and not a number if it is malformed.
    """
    try:
        return float(value or 0)
    except (TypeError, ValueError, OverflowError):
        return math.nan


def is_plausible_remaining(remaining_ms: float) -> bool:
    """Return whether a time until an upstream is warm, in milliseconds, is used."""
    return 0 <= remaining_ms <= MAX_COLD_S * 1000


@dataclass(slots=True)
class _Observations:
    """What was heard of one upstream.

    :param record: newest record of its lifetime.
    :param started_at: monotonic time at which its start was noticed; minus infinity if the process
        found it running.
    :param reported_until: monotonic time until which it is cold by its own messages.
    :param cold_since: monotonic time from which it has been cold without interruption.
    """

    record: UpstreamRecord
    started_at: float
    reported_until: float = -math.inf
    cold_since: float = -math.inf


class ColdStarts:
    """Cold upstreams as seen by this process.

    :param find_service: returns the configured service with a name, or None.
    :param overage: factor on the service's rate that all hosts together may reach.
    :param slack: requests in a second beyond that.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        find_service: Callable[[str], ServiceSpec | None],
        overage: float,
        slack: float,
    ) -> None:
        self._clock = clock
        self._find_service = find_service
        self._overage, self._slack = STRICT_OVERAGE, STRICT_SLACK
        self._observations_by_instance: dict[str, _Observations] = {}
        self._may_be_cold_until = -math.inf
        self._logged_instances: set[str] = set()
        self.set_bounds(overage=overage, slack=slack)

    # Queries

    @property
    def may_be_cold(self) -> bool:
        """Whether any upstream may be cold now."""
        return self._clock.monotonic() < self._may_be_cold_until

    def find_remaining_s(self, record: UpstreamRecord) -> float:
        """Return the time until an upstream is warm, in seconds; 0 if it is."""
        known = self._observations_by_instance.get(record.instance) if self.may_be_cold else None
        if known is None or known.record.started_ms != record.started_ms:
            return 0.0
        service = self._find_service(record.service)
        if service is None or service.cold_start_s <= 0 or service.cold_per_s <= 0:
            return 0.0
        until = max(known.reported_until, known.started_at + service.cold_start_s)
        return max(0.0, until - self._clock.monotonic())

    def find_since(self, record: UpstreamRecord) -> float:
        """Return the monotonic time from which a cold upstream has been known to be cold."""
        return self._observations_by_instance[record.instance].cold_since

    def find_limit(self, record: UpstreamRecord) -> float | None:
        """Return the requests that all hosts may send to an upstream in any second.

        :returns: None if the upstream is warm.
        """
        if not self.find_remaining_s(record):
            return None
        service = self._find_service(record.service)
        assert service is not None
        return service.cold_per_s * self._overage + self._slack

    def find_pace(self, record: UpstreamRecord) -> float:
        """Return the lowest factor on the usual duration of work; 1 at a warm upstream."""
        return COLD_PACE if self.find_remaining_s(record) else 1.0

    def describe(self) -> dict[str, float]:
        """Return the time until cold upstreams are warm, in seconds, for the state dump."""
        return {
            instance: round(remaining_s, 3)
            for instance, known in self._observations_by_instance.items()
            if (remaining_s := self.find_remaining_s(known.record))
        }

    # Commands

    def set_bounds(self, *, overage: float, slack: float) -> None:
        """Change the operator's bounds; implausible ones are replaced by the strictest."""
        if not 1.0 <= overage <= MAX_OVERAGE or not 0.0 <= slack <= MAX_SLACK:
            _log.warning(
                "bounds of cold upstreams ignored",
                overage=str(overage),
                slack=str(slack),
                code=codes.INVALID_FIELD.number,
            )
            overage, slack = STRICT_OVERAGE, STRICT_SLACK
        self._overage, self._slack = overage, slack

    def observe_record(self, record: UpstreamRecord, *, is_first_read: bool) -> None:
        """Apply a record of the store.

        :param is_first_read: whether the process has not read all records yet; what they list was
            running before.
        """
        known = self._observations_by_instance.get(record.instance)
        if known is not None and known.record.started_ms > record.started_ms:
            return
        if known is not None and known.record.started_ms == record.started_ms:
            known.record = record
        else:
            known = _Observations(record, started_at=-math.inf)
            self._observations_by_instance[record.instance] = known
            if not is_first_read and not self._is_old(record):
                service = self._find_service(record.service)
                # Before the configuration is known, the time may turn out to be the longest one.
                start_s = MAX_COLD_S if service is None else service.cold_start_s
                self._extend(known, remaining_s=start_s)
                known.started_at = self._clock.monotonic()
        if record.cold_remaining_ms:
            self.observe_remaining(record, record.cold_remaining_ms)

    def observe_remaining(self, record: UpstreamRecord, remaining_ms: float) -> None:
        """Apply a message in which an upstream tells how long it will be cold.

        :param record: record of the upstream.
        :param remaining_ms: time until it is warm, in milliseconds.
        """
        if not is_plausible_remaining(remaining_ms):
            if record.instance not in self._logged_instances:
                self._logged_instances.add(record.instance)
                _log.warning(
                    "time of a cold upstream ignored",
                    upstream=record.instance,
                    remaining_ms=str(remaining_ms),
                    code=codes.INVALID_FIELD.number,
                )
            return
        if not remaining_ms:
            return
        known = self._observations_by_instance.get(record.instance)
        if known is None or known.record.started_ms < record.started_ms:
            known = _Observations(record, started_at=-math.inf)
            self._observations_by_instance[record.instance] = known
        elif known.record.started_ms > record.started_ms:
            return
        self._extend(known, remaining_s=remaining_ms / 1000)
        until = self._clock.monotonic() + remaining_ms / 1000
        known.reported_until = max(known.reported_until, until)

    def mark_returned(self, record: UpstreamRecord) -> None:
        """Count an upstream as just started; it got no requests while its zone was evacuated."""
        service = self._find_service(record.service)
        if service is not None:
            self.observe_remaining(record, service.cold_start_s * 1000)

    def retain(self, instances: Container[str]) -> None:
        """Forget all other upstreams."""
        for instance in [i for i in self._observations_by_instance if i not in instances]:
            del self._observations_by_instance[instance]
        self._logged_instances = {i for i in self._logged_instances if i in instances}

    def _is_old(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream started long ago; its record may return after an outage."""
        service = self._find_service(record.service)
        longest_s = MAX_COLD_S if service is None else service.cold_start_s
        age_s = self._clock.wall() - record.started_ms / 1000
        return record.started_ms > 0 and age_s > longest_s + CLOCK_SKEW_S

    def _extend(self, known: _Observations, *, remaining_s: float) -> None:
        """Record that an upstream is cold, and when that began if it was warm."""
        now = self._clock.monotonic()
        was_cold = self.find_remaining_s(known.record) > 0
        self._may_be_cold_until = max(self._may_be_cold_until, now + remaining_s)
        if was_cold:
            return
        known.cold_since = now
        record = known.record
        service = self._find_service(record.service)
        if service is None or not service.cold_per_s or not service.cold_start_s:
            return
        COLD_STARTS.inc({"service": record.service})
        _log.info(
            "upstream is cold",
            upstream=record.instance,
            availability_zone=record.availability_zone,
            remaining_ms=round(remaining_s * 1000),
        )
