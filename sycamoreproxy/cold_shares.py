"""This host's share of the requests that all hosts may send to a cold upstream.

The shares add up to at most the limit, whichever hosts and sidecar processes hear each other. A share
of one request or more is a count in a sliding window, without delay. A smaller one is one request in
a slot of time. A host that does not know yet how many there are sends as one of many.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Container

from sycamoreproxy.clock import Clock

#: Length of the window in which a host counts its requests, in seconds. Requests of one second may
#: have been sent over a longer time: connections to an upstream are opened, and links between
#: regions queue for up to 0.2 s.
WINDOW_S = 1.25
#: Number of entry hosts assumed until the number is known; deployments with cold upstreams have up to
#: 41 so far.
ASSUMED_ENTRY_HOSTS = 64
#: Time for which the number of hosts must not have risen before it is used, in seconds. After a
#: start of all hosts, the first reports count only those that have connected by then.
SETTLE_S = 0.75
#: Fraction of the limit that hosts use together if each may send less than one request in a window.
#: Their random times coincide; with 64 hosts the limit of 44 is 4 standard deviations above 26.
USABLE_FRACTION = 0.6
#: Length of the slots in which hosts may send if there are more hosts than requests, in seconds.
SLOT_S = 0.5
#: Longest random delay before the first request to an upstream that has had none of this host within
#: the second time, in seconds.
FIRST_DELAY_S = 0.5
RECENT_S = 10.0
#: Largest number of requests of one host in a window.
MAX_SHARE = 64


class ColdShares:
    """Counts this host's requests to each upstream and tells when the next one may be sent.

    :param seed: text that differs between hosts, for their random delays.
    """

    def __init__(self, *, clock: Clock, seed: str) -> None:
        self._clock = clock
        self._seed = seed
        #: Monotonic times of the last requests.
        self._times_by_instance: dict[str, deque[float]] = {}
        self._entry_hosts = 0
        self._zones_heard = 0
        self._zones = 0
        self._risen_at = -math.inf
        self._settled_at = math.inf

    def update_entry_hosts(self, count: int, *, zones_heard: int = 1, zones: int = 1) -> None:
        """Update the number of entry hosts; the highest number is kept, as in ``ResendBudget``.

        :param zones_heard: number of availability zones whose engines have reported to this process.
        :param zones: number of availability zones with engines. A process that starts while its zone
            is cut off hears only the hosts of its own zone.
        """
        if count > self._entry_hosts or zones_heard > self._zones_heard:
            self._risen_at = self._clock.monotonic()
            self._settled_at = self._risen_at + SETTLE_S
        self._entry_hosts = max(self._entry_hosts, count)
        self._zones_heard = max(self._zones_heard, zones_heard)
        self._zones = zones

    def find_wait_s(self, instance: str, *, limit: float, cold_since: float) -> float:
        """Return the time until a request may be sent to a cold upstream, in seconds; 0 if now.

        :param limit: requests of all hosts in any second.
        :param cold_since: monotonic time from which the upstream has been cold.
        """
        if limit <= 0:
            return math.inf
        now = self._clock.monotonic()
        is_settled = now >= self._settled_at
        hosts = self._estimate_hosts() if is_settled else float(self._entry_hosts)
        if hosts > limit:
            return self._find_slot_wait_s(instance, limit / hosts, now)
        if is_settled:
            return self._find_window_wait_s(instance, limit / hosts, cold_since, now)
        period_s = max(ASSUMED_ENTRY_HOSTS, hosts) / (limit * USABLE_FRACTION) * WINDOW_S
        first_at = cold_since + period_s * self._choose_fraction(instance, cold_since)
        return max(0.0, max(first_at, self._find_last_at(instance) + period_s) - now)

    def record(self, instance: str) -> None:
        """Count a request, also to a warm upstream: it may turn cold at any moment."""
        times = self._times_by_instance.get(instance)
        if times is None:
            times = self._times_by_instance[instance] = deque(maxlen=MAX_SHARE)
        times.append(self._clock.monotonic())

    def retain(self, instances: Container[str]) -> None:
        """Forget all other upstreams."""
        for instance in [item for item in self._times_by_instance if item not in instances]:
            del self._times_by_instance[instance]

    def _estimate_hosts(self) -> float:
        missing = self._zones / self._zones_heard if self._zones > self._zones_heard else 1.0
        return max(1, self._entry_hosts) * missing

    def _find_window_wait_s(
        self, instance: str, share: float, cold_since: float, now: float
    ) -> float:
        """Return the wait with a share of at least one request in a window."""
        times = self._times_by_instance.get(instance, ())
        count = min(MAX_SHARE, int(share))
        earliest = times[-count] + WINDOW_S if len(times) >= count else -math.inf
        if self._find_last_at(instance) <= cold_since - RECENT_S:
            delay_s = FIRST_DELAY_S * self._choose_fraction(instance, cold_since)
            earliest = max(earliest, cold_since + delay_s)
        return max(0.0, earliest - now)

    def _find_slot_wait_s(self, instance: str, share: float, now: float) -> float:
        """Return the wait with a share below one request: one in each of this host's slots.

        The slots of all hosts are spread evenly, so that they do not all send at once when many
        requests arrive at the same time.
        """
        period_s = (1 + SLOT_S) / (share * USABLE_FRACTION)
        phase_s = period_s * self._choose_fraction(instance, 0.0)
        in_slot_s = (now - phase_s) % period_s
        next_s = period_s - in_slot_s
        last_at = self._find_last_at(instance)
        # A slot that began while fewer hosts were known may be that of many.
        is_used = last_at > now - period_s + SLOT_S or now - in_slot_s < self._risen_at
        return next_s if in_slot_s >= SLOT_S or is_used else 0.0

    def _find_last_at(self, instance: str) -> float:
        times = self._times_by_instance.get(instance)
        return times[-1] if times else -math.inf

    def _choose_fraction(self, instance: str, cold_since: float) -> float:
        """Return a number from 0 to 1 that differs between hosts and upstreams."""
        return zlib.crc32(f"{self._seed} {instance} {cold_since}".encode()) / 2**32
