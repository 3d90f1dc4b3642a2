"""Tests that the part that crashes engines is found, and that parts beside it are not."""

from __future__ import annotations

import random

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.crash_evidence import (
    CRASH_MAX_AGE_S,
    MAX_CRASHES,
    MAX_QUARANTINE_S,
    MIN_QUARANTINE_S,
    CrashEvidence,
    Prompt,
)


def make_evidence(*crashes: list[Prompt]) -> tuple[ManualClock, CrashEvidence]:
    clock = ManualClock()
    evidence = CrashEvidence(clock=clock)
    for number, prompts in enumerate(crashes):
        evidence.record(f"engine/{number}", prompts)
    return clock, evidence


def find_first_suspect(evidence: CrashEvidence) -> str | None:
    return next(iter(evidence.list_suspects()), None)


@pytest.mark.parametrize(
    ("crashes", "suspect"),
    [
        ([], None),
        ([[("f", "d")], [("f", "d")]], None),
        ([[("f", "d")], [("f", "d"), ("g",)], [("f", "d")]], "d"),
        ([[("f", "d")], [("g", "d")], [("h", "d"), ("f",)], [("f",)]], "d"),
        ([[("f",)], [("f",)], [("f",)]], "f"),
        ([[("d", "f")], [("d", "g")], [("d", "h")]], "d"),
        ([[("f", "d"), ("f", "d")]], None),
        ([[()], [()], [()]], None),
    ],
    ids=[
        "no crash",
        "too few",
        "the deepest of common parts",
        "the most frequent",
        "the only one",
        "the first of different prompts",
        "one crash counts once",
        "no shared parts",
    ],
)
def test_suspect_is_the_deepest_part_that_most_crashes_have_in_common(
    crashes: list[list[Prompt]], suspect: str | None
) -> None:
    _, evidence = make_evidence(*crashes)
    assert find_first_suspect(evidence) == suspect


def test_part_with_output_is_no_suspect_until_new_crashes() -> None:
    _, evidence = make_evidence([("f",)], [("f",)], [("f",)])
    evidence.clear("f")
    assert evidence.list_suspects() == ()
    for number in range(3, 6):
        evidence.record(f"engine/{number}", [("f",)])
    assert find_first_suspect(evidence) == "f"


def test_crashes_that_a_quarantined_part_explains_do_not_count_for_others() -> None:
    _, evidence = make_evidence([("f", "d"), ("g",)], [("f", "d"), ("g",)], [("f", "d"), ("g",)])
    evidence.quarantine("d")
    assert evidence.list_suspects() == ()


def test_one_crash_suffices_for_a_part_that_was_quarantined_before() -> None:
    _, evidence = make_evidence()
    times = [evidence.quarantine("d") for _ in range(6)]
    assert times[:2] == [MIN_QUARANTINE_S, 2 * MIN_QUARANTINE_S]
    assert times[-1] == MAX_QUARANTINE_S
    evidence.record("engine/9", [("f", "d")])
    assert find_first_suspect(evidence) == "d"


def test_old_crashes_and_those_beyond_the_limit_are_dropped() -> None:
    clock, evidence = make_evidence(*[[("f",)]] * (MAX_CRASHES + 3))
    assert len(evidence._crashes_by_engine) == MAX_CRASHES
    clock.advance(CRASH_MAX_AGE_S + 1)
    assert evidence.list_suspects() == () and not evidence._crashes_by_engine


@pytest.mark.parametrize("seed", range(20))
def test_innocent_parts_in_the_same_crashes_are_not_suspected(seed: int) -> None:
    """Sound requests share all parts but one with those that crash engines."""
    random_source = random.Random(seed)
    _, evidence = make_evidence()
    for number in range(3):
        innocent = [(f"f{random_source.randrange(30)}",) for _ in range(8)]
        evidence.record(f"engine/{number}", [*innocent, ("f0", "d")])
    assert find_first_suspect(evidence) == "d"
    evidence.quarantine("d")
    assert evidence.list_suspects() == ()
