"""Guards against zones in which a claim is forgotten, or keeps others from reading for good."""

from __future__ import annotations

import pytest

from sycamoreproxy.read_claims import CLAIM_S, ReadClaims


@pytest.mark.parametrize(
    ("claims", "now", "is_full"),
    [
        ([], 0.0, False),
        ([("a", 0.0)], 0.1, False),
        ([("a", 0.0), ("b", 0.1)], 0.2, True),
        ([("a", 0.0), ("a", 0.1)], 0.2, False),
        ([("a", 0.0), ("b", 0.1)], CLAIM_S, False),
        ([("a", 0.0), ("a", 0.5), ("b", 0.5)], CLAIM_S, False),
        ([("a", 0.0), ("b", CLAIM_S), ("c", CLAIM_S)], CLAIM_S + 0.1, True),
    ],
    ids=["none", "one", "two", "one told twice", "one ended", "not extended", "new ones"],
)
def test_few_processes_read_at_once_and_none_for_good(
    claims: list[tuple[str, float]], now: float, is_full: bool
) -> None:
    held = ReadClaims()
    for host, at in claims:
        held.add(host, at)
    assert held.is_full(now) == is_full


def test_claim_that_was_passed_on_before_is_not_new() -> None:
    """Processes beside engines would pass each other's copies on for ever."""
    held = ReadClaims()
    assert [held.add("a", at) for at in (0.0, 0.1, CLAIM_S)] == [True, False, True]
