"""Tests that all entry hosts together stay within the operator's resend budget."""

from __future__ import annotations

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.resend_budget import ResendBudget


@pytest.mark.parametrize(
    ("hosts", "first_attempts", "expected"),
    [(0, 0, 6), (1, 0, 72), (8, 0, 9), (8, 100, 23), (33, 0, 2)],
)
def test_all_hosts_together_stay_within_the_budget(
    hosts: int, first_attempts: int, expected: int
) -> None:
    clock = ManualClock()
    budget = ResendBudget(clock=clock, ratio=0.2, slack=104, window_s=10)
    budget.entry_hosts = hosts
    for _ in range(first_attempts):
        budget.count_first_attempt()
    resends = sum(budget.try_acquire() for _ in range(500))
    assert resends == expected
    assert max(1, hosts) * resends <= 104 + 0.2 * first_attempts * max(1, hosts)
    clock.advance(10.1)
    assert budget.try_acquire()


def test_partition_does_not_raise_the_share_of_each_host() -> None:
    """Each zone counted only its own hosts, and together they exceeded the budget."""
    budget = ResendBudget(clock=ManualClock(), ratio=0.2, slack=104, window_s=10)
    budget.update_entry_hosts(8)
    budget.update_entry_hosts(3)
    assert sum(budget.try_acquire() for _ in range(100)) == 9
