"""Tests of the system clock.

Guards against time limits that do not advance while the host is suspended, as they would with a
clock that excludes suspended time.
"""

import time

from sycamoreproxy.clock import SystemClock


def test_monotonic_clock_includes_suspended_time() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    now = SystemClock().monotonic()
    assert before <= now <= time.clock_gettime(time.CLOCK_BOOTTIME)
