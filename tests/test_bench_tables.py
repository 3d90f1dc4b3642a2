"""Guards against a bench that overlooks reverts, lost revisions or late processes."""

import pytest

from bench.tables import Edit, Held, count_reverts, fit_slope, measure_delays


@pytest.mark.parametrize(
    ("rows_by_process", "reverts"),
    [
        ([[(1.0, 1, "a"), (2.0, 3, "c")], [(1.5, 1, "a"), (2.0, 2, "b"), (2.5, 3, "c")]], 0),
        ([[(1.0, 2, "b"), (2.0, 1, "a")]], 1),
        ([[(1.0, 2, "b")], [(1.0, 2, "x")]], 1),
        ([[(1.0, 2, "b"), (2.0, 2, "b")]], 1),
    ],
    ids=["rising", "older again", "two digests", "twice"],
)
def test_reverts_are_counted(
    rows_by_process: list[list[tuple[float, int, str]]], reverts: int
) -> None:
    """An older revision or a second content of one revision must show."""
    assert count_reverts(Held(rows) for rows in rows_by_process) == reverts


def test_delay_counts_from_the_first_sign_of_acceptance() -> None:
    """A lost answer must not shorten the delay, and a process that never followed is infinite."""
    edits = [
        Edit("c1", "a", "2", revision=1, answered_at=10.0),
        Edit("c2", "a", "3", revision=2, answered_at=20.0),
        Edit("c3", "a", "4"),
    ]
    holders = [
        Held([(9.0, 1, "a"), (20.5, 2, "b")]),
        Held([(12.0, 1, "a")]),
        Held([(21.0, 2, "b")]),
    ]
    delays = measure_delays(edits, holders)
    assert delays == [0.0, 3.0, 12.0, 0.5, float("inf"), 1.0]


def test_slope_is_of_least_squares() -> None:
    """The slope by number of processes is a reported figure."""
    assert fit_slope({10: 1.0, 30: 2.0, 100: 5.5}) == pytest.approx(0.05)
