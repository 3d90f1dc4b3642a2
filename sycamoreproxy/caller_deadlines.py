"""Remembers how much time the callers of each route give their requests."""

from __future__ import annotations

from sycamoreproxy.clock import Clock

#: Time for which the longest deadline of a route is remembered, in seconds; up to twice as long.
DEADLINE_WINDOW_S = 30.0


class CallerDeadlines:
    """The longest time that callers of each route gave a request lately.

    A request that arrives with less is a retry: callers give it what is left of their time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.monotonic()
        self._longest_by_route: dict[str, float] = {}
        self._previous_by_route: dict[str, float] = {}

    def observe(self, route: str, time_left_s: float) -> None:
        """Record the time that a caller gave a request, in seconds."""
        self._expire()
        longest_s = self._longest_by_route.get(route, 0.0)
        self._longest_by_route[route] = max(longest_s, time_left_s)

    def find_longest_s(self, route: str) -> float:
        """Return the longest time that was given lately, in seconds; 0 if no request arrived."""
        self._expire()
        return max(self._longest_by_route.get(route, 0.0), self._previous_by_route.get(route, 0.0))

    def _expire(self) -> None:
        now = self._clock.monotonic()
        age_s = now - self._window_start
        if age_s < DEADLINE_WINDOW_S:
            return
        self._previous_by_route = self._longest_by_route if age_s < 2 * DEADLINE_WINDOW_S else {}
        self._longest_by_route = {}
        self._window_start = now
