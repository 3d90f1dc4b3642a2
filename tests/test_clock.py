"""Guards against bounds that stand still while the host is suspended."""

import time

from sycamoreproxy.clock import SystemClock


def test_monotonic_time_counts_suspended_time() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    now = SystemClock().monotonic()
    assert before <= now <= time.clock_gettime(time.CLOCK_BOOTTIME)
