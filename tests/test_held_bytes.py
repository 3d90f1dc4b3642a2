"""Guards against answers that fill a host's memory together, and against a sum that drifts."""

from __future__ import annotations

import pytest

from sycamoreproxy.held_bytes import FREE_BYTES, MAX_HELD_BYTES, HeldBytes

MANY = MAX_HELD_BYTES + FREE_BYTES


@pytest.mark.parametrize(
    ("held", "before", "after", "permitted", "total"),
    [
        (0, 0, FREE_BYTES, True, 0),
        (0, 0, FREE_BYTES + 1, True, 1),
        (0, 0, MANY, True, MAX_HELD_BYTES),
        (0, 0, MANY + 1, False, 0),
        (MANY, 0, FREE_BYTES, True, MAX_HELD_BYTES),
        (MANY, 0, FREE_BYTES + 1, False, MAX_HELD_BYTES),
        (MANY, FREE_BYTES, FREE_BYTES + 1, False, MAX_HELD_BYTES),
        (MANY, MANY, MANY - 7, True, MAX_HELD_BYTES - 7),
        (MANY, MANY, FREE_BYTES - 7, True, 0),
        (MANY, MANY, 0, True, 0),
    ],
)
def test_sum_is_bounded_beyond_the_free_part_of_each_answer(
    held: int, before: int, after: int, permitted: bool, total: int
) -> None:
    bytes_held = HeldBytes()
    assert bytes_held.resize(0, held)
    assert bytes_held.resize(before, after) is permitted
    assert bytes_held.total == total


def test_answers_that_end_leave_nothing_behind() -> None:
    bytes_held = HeldBytes()
    for size in (10, FREE_BYTES, FREE_BYTES + 5, 100_000):
        assert bytes_held.resize(0, size)
    for size in (100_000, FREE_BYTES + 5, FREE_BYTES, 10):
        assert bytes_held.resize(size, 0)
    assert bytes_held.total == 0
