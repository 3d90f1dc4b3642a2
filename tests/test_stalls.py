"""Guards against bounds that count from when a stalled process wakes up."""

from __future__ import annotations

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.stalls import STALL_S, StallDetector


@pytest.mark.parametrize(
    ("pauses", "lag_s"),
    [
        ([0.1, 0.1], 0.0),
        ([0.1, STALL_S / 2], 0.0),
        ([0.1, 6.0], 6.0),
        ([6.0, 0.1], 6.1),
        ([6.0, 0.4, 0.4, 0.4], 0.0),
        ([6.0, 0.2, 0.2], 6.4),
    ],
    ids=["runs", "late tick", "before its tick", "after its tick", "long after", "soon after"],
)
def test_arrivals_may_have_waited_for_as_long_as_the_process_stood_still(
    pauses: list[float], lag_s: float
) -> None:
    clock = ManualClock(start=100.0)
    stalls = StallDetector(clock=clock)
    for number, pause in enumerate(pauses):
        clock.advance(pause)
        is_last = number == len(pauses) - 1
        if not is_last or pause < STALL_S:
            # A process that wakes up may handle an arrival before its tick.
            stalls.tick()
    assert stalls.lag_s == pytest.approx(lag_s)
