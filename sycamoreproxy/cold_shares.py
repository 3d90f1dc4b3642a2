"""This host's share of the requests that all hosts may send to a cold upstream.

The shares add up to at most the limit, whichever hosts and sidecar processes hear each other. A share
of one request or more is a count in a sliding window, without delay. A smaller one is a request at
a time, the first at a random moment.
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
SETTLE_S = 3.0
#: Fraction of the limit that hosts use together if each may send less than one request in a window.
#: Their random times coincide; with 64 hosts the limit of 44 is 4 standard deviations above 26.
USABLE_FRACTION = 0.6
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
        self._settled_at = math.inf

    def update_entry_hosts(self, count: int, *, zones_heard: int = 1, zones: int = 1) -> None:
        """Update the number of entry hosts; the highest number is kept, as in ``ResendBudget``.

        :param zones_heard: number of availability zones whose engines have reported to this process.
        :param zones: number of availability zones with engines. A process that starts while its zone
            is cut off hears only the hosts of its own zone.
        """
        if count > self._entry_hosts or zones_heard > self._zones_heard:
            self._settled_at = self._clock.monotonic() + SETTLE_S
        self._entry_hosts = max(self._entry_hosts, count)
        self._zones_heard = max(self._zones_heard, zones_heard)
        self._zones = zones

    def find_wait_s(self, instance: str, *, limit: float, cold_since: float) -> float:
        """Return the time until a request may be sent to a cold upstream, in seconds; 0 if now.

        :param limit: requests of all hosts in any second.
        :param cold_since: monotonic time from which the upstream has been cold.
        """
        count, window_s = self._find_share(limit)
        if not count:
            return math.inf
        times = self._times_by_instance.get(instance, ())
        delay_s = self._find_first_delay_s(instance, window_s, cold_since)
        earliest = cold_since + delay_s
        if len(times) >= count:
            earliest = max(earliest, times[-count] + window_s)
        return max(0.0, earliest - self._clock.monotonic())

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

    def _find_share(self, limit: float) -> tuple[int, float]:
        """Return the number of requests and the time in seconds in which they may be sent."""
        share = limit / self._find_hosts()
        if share >= 1:
            return min(MAX_SHARE, int(share)), WINDOW_S
        if share <= 0:
            return 0, math.inf
        return 1, WINDOW_S / (share * USABLE_FRACTION)

    def _find_hosts(self) -> float:
        if self._clock.monotonic() < self._settled_at:
            return max(ASSUMED_ENTRY_HOSTS, self._entry_hosts)
        missing = self._zones / self._zones_heard if self._zones > self._zones_heard else 1.0
        return max(1, self._entry_hosts) * missing

    def _find_first_delay_s(self, instance: str, window_s: float, cold_since: float) -> float:
        """Return the delay of the first request to an upstream that has just turned cold."""
        longest_s = window_s
        if window_s == WINDOW_S:
            times = self._times_by_instance.get(instance)
            if times and times[-1] > cold_since - RECENT_S:
                return 0.0
            longest_s = FIRST_DELAY_S
        digest = zlib.crc32(f"{self._seed} {instance} {cold_since}".encode())
        return longest_s * digest / 2**32
