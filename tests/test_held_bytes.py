"""Tests that buffered responses cannot exhaust a host's memory, and that their sum stays exact."""

from __future__ import annotations

import pytest

from sycamoreproxy.held_bytes import MAX_BUFFERED_BYTES, RESERVED_BYTES, BufferBudget

FULL_BYTES = MAX_BUFFERED_BYTES + RESERVED_BYTES


@pytest.mark.parametrize(
    ("initial", "before", "after", "is_permitted", "total"),
    [
        (0, 0, RESERVED_BYTES, True, 0),
        (0, 0, RESERVED_BYTES + 1, True, 1),
        (0, 0, FULL_BYTES, True, MAX_BUFFERED_BYTES),
        (0, 0, FULL_BYTES + 1, False, 0),
        (FULL_BYTES, 0, RESERVED_BYTES, True, MAX_BUFFERED_BYTES),
        (FULL_BYTES, 0, RESERVED_BYTES + 1, False, MAX_BUFFERED_BYTES),
        (FULL_BYTES, RESERVED_BYTES, RESERVED_BYTES + 1, False, MAX_BUFFERED_BYTES),
        (FULL_BYTES, FULL_BYTES, FULL_BYTES - 7, True, MAX_BUFFERED_BYTES - 7),
        (FULL_BYTES, FULL_BYTES, RESERVED_BYTES - 7, True, 0),
        (FULL_BYTES, FULL_BYTES, 0, True, 0),
    ],
)
def test_sum_beyond_the_reservations_is_limited(
    initial: int, before: int, after: int, is_permitted: bool, total: int
) -> None:
    budget = BufferBudget()
    assert budget.resize(0, initial)
    assert budget.resize(before, after) is is_permitted
    assert budget.total == total


def test_finished_responses_release_all_their_bytes() -> None:
    budget = BufferBudget()
    for size in (10, RESERVED_BYTES, RESERVED_BYTES + 5, 100_000):
        assert budget.resize(0, size)
    for size in (100_000, RESERVED_BYTES + 5, RESERVED_BYTES, 10):
        assert budget.resize(size, 0)
    assert budget.total == 0
