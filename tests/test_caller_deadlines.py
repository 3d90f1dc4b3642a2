"""Tests which requests count as retries by the time that their callers give them."""

from __future__ import annotations

from sycamoreproxy.caller_deadlines import DEADLINE_WINDOW_S, CallerDeadlines
from sycamoreproxy.clock import ManualClock


def test_longest_deadline_is_remembered_by_route_for_a_limited_time() -> None:
    """A single long deadline must not make all later requests count as retries."""
    clock = ManualClock()
    deadlines = CallerDeadlines(clock=clock)
    assert deadlines.find_longest_s("ask") == 0.0
    deadlines.observe("ask", 6.0)
    deadlines.observe("ask", 4.0)
    assert (deadlines.find_longest_s("ask"), deadlines.find_longest_s("read")) == (6.0, 0.0)
    clock.advance(DEADLINE_WINDOW_S + 1)
    deadlines.observe("ask", 4.0)
    assert deadlines.find_longest_s("ask") == 6.0
    clock.advance(DEADLINE_WINDOW_S + 1)
    assert deadlines.find_longest_s("ask") == 4.0
    clock.advance(2 * DEADLINE_WINDOW_S)
    assert deadlines.find_longest_s("ask") == 0.0
