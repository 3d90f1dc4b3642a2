"""Guards against resends beyond the operator's budget for all entry hosts together."""

from __future__ import annotations

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.resend_budget import ResendBudget


@pytest.mark.parametrize(
    ("hosts", "firsts", "expected"), [(0, 0, 6), (1, 0, 72), (8, 0, 9), (8, 100, 23), (33, 0, 2)]
)
def test_hosts_together_stay_within_the_budget(hosts: int, firsts: int, expected: int) -> None:
    clock = ManualClock()
    budget = ResendBudget(clock=clock, ratio=0.2, slack=104, window_s=10)
    budget.entry_hosts = hosts
    for _ in range(firsts):
        budget.count_first()
    taken = sum(budget.take() for _ in range(500))
    assert taken == expected
    assert max(1, hosts) * taken <= 104 + 0.2 * firsts * max(1, hosts)
    clock.advance(10.1)
    assert budget.take()


def test_cut_off_zone_does_not_raise_the_part_of_its_hosts() -> None:
    """Each zone counted only its own hosts, and together they exceeded the budget."""
    budget = ResendBudget(clock=ManualClock(), ratio=0.2, slack=104, window_s=10)
    budget.update_entry_hosts(8)
    budget.update_entry_hosts(3)
    assert sum(budget.take() for _ in range(100)) == 9
