"""Guards against time limits that start only when a stalled process resumes."""

from __future__ import annotations

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.stalls import STALL_THRESHOLD_S, StallDetector


@pytest.mark.parametrize(
    ("pauses", "lag_s"),
    [
        ([0.1, 0.1], 0.0),
        ([0.1, STALL_THRESHOLD_S / 2], 0.0),
        ([0.1, 6.0], 6.0),
        ([6.0, 0.1], 6.1),
        ([6.0, 0.4, 0.4, 0.4], 0.0),
        ([6.0, 0.2, 0.2], 6.4),
    ],
    ids=["running", "late tick", "before tick", "after tick", "long after", "soon after"],
)
def test_lag_covers_the_time_for_which_the_process_was_stalled(
    pauses: list[float], lag_s: float
) -> None:
    clock = ManualClock(start=100.0)
    stalls = StallDetector(clock=clock)
    for number, pause in enumerate(pauses):
        clock.advance(pause)
        is_last = number == len(pauses) - 1
        if not is_last or pause < STALL_THRESHOLD_S:
            # A process that resumes may handle a message before its tick.
            stalls.tick()
    assert stalls.lag_s == pytest.approx(lag_s)
