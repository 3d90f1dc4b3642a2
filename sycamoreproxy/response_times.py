"""Shortest recent response times of a service, by method and path."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from sycamoreproxy.clock import Clock

#: Methods and paths whose times are kept; those used longest ago are forgotten.
MAX_ENDPOINTS = 256
#: Longest path whose times are kept, in characters.
MAX_PATH_CHARACTERS = 256
#: Time for which a response time counts, in seconds; between this and half of it.
KEPT_S = 60.0
#: Responses within that time below which no request is held to be too late.
MIN_RESPONSES = 5
#: Time between two requests that are admitted although their deadline is shorter than every recent
#: response, in seconds. Without them a service that has become faster would not be noticed.
PROBE_PERIOD_S = 1.0


@dataclass(slots=True)
class _Period:
    """The responses of half of :data:`KEPT_S`."""

    started_at: float
    shortest_s: float = math.inf
    count: int = 0


@dataclass(slots=True)
class _Endpoint:
    current: _Period
    previous: _Period
    probed_at: float = -math.inf

    def advance(self, now: float) -> None:
        """Begin a new period if the current one is over."""
        if now - self.current.started_at >= KEPT_S:
            self.previous = _Period(now)
            self.current = _Period(now)
        elif now - self.current.started_at >= KEPT_S / 2:
            self.previous = self.current
            self.current = _Period(now)


class ResponseTimes:
    """Tells which requests of a service cannot be answered within their deadline.

    Different paths of a service take different times, so they are kept apart.

    :param clock: time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._endpoints_by_key: OrderedDict[tuple[str, str], _Endpoint] = OrderedDict()

    def record(self, method: str, path: str, seconds: float) -> None:
        """Record the time from the start of a request to the head of its response."""
        key = _make_key(method, path)
        if len(key[1]) > MAX_PATH_CHARACTERS:
            return
        now = self._clock.monotonic()
        endpoint = self._endpoints_by_key.get(key)
        if endpoint is None:
            endpoint = self._endpoints_by_key[key] = _Endpoint(_Period(now), _Period(now))
            if len(self._endpoints_by_key) > MAX_ENDPOINTS:
                self._endpoints_by_key.popitem(last=False)
        self._endpoints_by_key.move_to_end(key)
        endpoint.advance(now)
        endpoint.current.shortest_s = min(endpoint.current.shortest_s, seconds)
        endpoint.current.count += 1

    def find_shortest(self, method: str, path: str) -> float:
        """Return the shortest recent response time in seconds, 0 if too few are known."""
        endpoint = self._endpoints_by_key.get(_make_key(method, path))
        if endpoint is None:
            return 0.0
        endpoint.advance(self._clock.monotonic())
        if endpoint.current.count + endpoint.previous.count < MIN_RESPONSES:
            return 0.0
        return min(endpoint.current.shortest_s, endpoint.previous.shortest_s)

    def try_admit(self, method: str, path: str, time_left_s: float) -> bool:
        """Return whether a request may start; one that looks too late is admitted as a probe.

        :param time_left_s: time from its start to its deadline, in seconds.
        """
        if self.find_shortest(method, path) <= time_left_s:
            return True
        endpoint = self._endpoints_by_key[_make_key(method, path)]
        now = self._clock.monotonic()
        if now - endpoint.probed_at < PROBE_PERIOD_S:
            return False
        endpoint.probed_at = now
        return True


def _make_key(method: str, path: str) -> tuple[str, str]:
    return method, path.partition("?")[0]
