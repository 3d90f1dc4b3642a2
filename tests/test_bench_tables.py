"""Guards against a table benchmark that misses reverts, lost revisions or slow processes."""

import pytest

from bench.tables import Edit, Held, count_reverts, fit_slope, measure_delays


@pytest.mark.parametrize(
    ("activations_by_process", "reverts"),
    [
        ([[(1.0, 1, "a"), (2.0, 3, "c")], [(1.5, 1, "a"), (2.0, 2, "b"), (2.5, 3, "c")]], 0),
        ([[(1.0, 2, "b"), (2.0, 1, "a")]], 1),
        ([[(1.0, 2, "b")], [(1.0, 2, "x")]], 1),
        ([[(1.0, 2, "b"), (2.0, 2, "b")]], 1),
    ],
    ids=["rising", "older revision again", "two digests", "twice"],
)
def test_reverts_are_counted(
    activations_by_process: list[list[tuple[float, int, str]]], reverts: int
) -> None:
    """An older revision, or a revision that is activated twice or with two digests, is counted."""
    assert count_reverts(Held(activations) for activations in activations_by_process) == reverts


def test_delay_starts_at_the_first_evidence_of_acceptance() -> None:
    """Guards against delays that a lost response shortens or that omit a process without the edit.

    A process that never activates a revision has an infinite delay.
    """
    edits = [
        Edit("c1", "a", "2", revision=1, answered_at=10.0),
        Edit("c2", "a", "3", revision=2, answered_at=20.0),
        Edit("c3", "a", "4"),
    ]
    processes = [
        Held([(9.0, 1, "a"), (20.5, 2, "b")]),
        Held([(12.0, 1, "a")]),
        Held([(21.0, 2, "b")]),
    ]
    delays = measure_delays(edits, processes)
    assert delays == [0.0, 3.0, 12.0, 0.5, float("inf"), 1.0]


def test_slope_is_least_squares_fit() -> None:
    """The benchmark reports the slope of its figures over the number of processes."""
    assert fit_slope({10: 1.0, 30: 2.0, 100: 5.5}) == pytest.approx(0.05)
