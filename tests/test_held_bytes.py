"""Guards against answers that fill a host's memory together, and against a sum that drifts."""

from __future__ import annotations

import pytest

from sycamoreproxy.held_bytes import MAX_BUFFERED_BYTES, RESERVED_BYTES, BufferBudget

MANY = MAX_BUFFERED_BYTES + RESERVED_BYTES


@pytest.mark.parametrize(
    ("held", "before", "after", "permitted", "total"),
    [
        (0, 0, RESERVED_BYTES, True, 0),
        (0, 0, RESERVED_BYTES + 1, True, 1),
        (0, 0, MANY, True, MAX_BUFFERED_BYTES),
        (0, 0, MANY + 1, False, 0),
        (MANY, 0, RESERVED_BYTES, True, MAX_BUFFERED_BYTES),
        (MANY, 0, RESERVED_BYTES + 1, False, MAX_BUFFERED_BYTES),
        (MANY, RESERVED_BYTES, RESERVED_BYTES + 1, False, MAX_BUFFERED_BYTES),
        (MANY, MANY, MANY - 7, True, MAX_BUFFERED_BYTES - 7),
        (MANY, MANY, RESERVED_BYTES - 7, True, 0),
        (MANY, MANY, 0, True, 0),
    ],
)
def test_sum_is_bounded_beyond_the_free_part_of_each_answer(
    held: int, before: int, after: int, permitted: bool, total: int
) -> None:
    bytes_held = BufferBudget()
    assert bytes_held.resize(0, held)
    assert bytes_held.resize(before, after) is permitted
    assert bytes_held.total == total


def test_answers_that_end_leave_nothing_behind() -> None:
    bytes_held = BufferBudget()
    for size in (10, RESERVED_BYTES, RESERVED_BYTES + 5, 100_000):
        assert bytes_held.resize(0, size)
    for size in (100_000, RESERVED_BYTES + 5, RESERVED_BYTES, 10):
        assert bytes_held.resize(size, 0)
    assert bytes_held.total == 0
