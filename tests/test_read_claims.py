"""Tests that claims limit the concurrent readers of a zone and expire."""

from __future__ import annotations

import pytest

from sycamoreproxy.read_claims import CLAIM_TTL_S, ReadClaims


@pytest.mark.parametrize(
    ("claims", "now", "expected"),
    [
        ([], 0.0, False),
        ([("a", 0.0)], 0.1, False),
        ([("a", 0.0), ("b", 0.1)], 0.2, True),
        ([("a", 0.0), ("a", 0.1)], 0.2, False),
        ([("a", 0.0), ("b", 0.1)], CLAIM_TTL_S, False),
        ([("a", 0.0), ("a", 0.5), ("b", 0.5)], CLAIM_TTL_S, False),
        ([("a", 0.0), ("b", CLAIM_TTL_S), ("c", CLAIM_TTL_S)], CLAIM_TTL_S + 0.1, True),
    ],
    ids=["none", "one", "two", "one repeated", "one expired", "not extended", "new ones"],
)
def test_claims_limit_concurrent_readers_until_they_expire(
    claims: list[tuple[str, float]], now: float, expected: bool
) -> None:
    read_claims = ReadClaims()
    for host, at in claims:
        read_claims.add(host, at)
    assert read_claims.has_enough_readers(now) == expected


def test_repeated_claim_is_not_new_until_the_first_expires() -> None:
    """Otherwise upstream processes would forward each other's copies of a claim endlessly."""
    read_claims = ReadClaims()
    assert [read_claims.add("a", at) for at in (0.0, 0.1, CLAIM_TTL_S)] == [True, False, True]
