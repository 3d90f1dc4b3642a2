"""Guards against streams and reports that grow with entry hosts times engines."""

from __future__ import annotations

from collections import Counter

import pytest

from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_subset import MAX_ENGINES, MAX_ZONE_ENGINES, select_subset
from tests._upstreams import make_upstream

ZONES = ("z1", "z2", "z3")


def make_engines(count: int) -> list[UpstreamRecord]:
    return [make_upstream(number, zone=ZONES[number % 3]) for number in range(count)]


@pytest.mark.parametrize(
    ("engines", "near", "in_all"),
    [
        (6, 2, 6),
        (12, 4, 12),
        (18, 6, 18),
        (24, 8, MAX_ENGINES),
        (240, MAX_ZONE_ENGINES, MAX_ENGINES),
    ],
)
def test_small_sites_follow_all_and_large_ones_a_bounded_number(
    engines: int, near: int, in_all: int
) -> None:
    records = make_engines(engines)
    chosen = select_subset(records, host="10.0.0.9", availability_zone="z1")
    by_address = {str(record.address): record for record in records}
    assert len(chosen) == in_all
    assert sum(by_address[a].availability_zone == "z1" for a in chosen) == near


def test_hosts_spread_evenly_over_engines() -> None:
    """An engine whose followers bring less than its load stays idle in a burst.

    With as many hosts as engines each host brings one engine's load on average.
    """
    records = make_engines(240)
    followers: Counter[str] = Counter()
    for host in range(240):
        followers.update(
            select_subset(records, host=f"10.1.0.{host}", availability_zone=ZONES[host % 3])
        )
    mean = 240 * MAX_ENGINES / 240
    assert len(followers) == 240
    assert min(followers.values()) >= 3 and max(followers.values()) < mean * 2


def test_choice_changes_little_when_an_engine_goes() -> None:
    """Otherwise every restart of an engine would open streams all over the site."""
    records = make_engines(240)
    before = select_subset(records, host="10.0.0.9", availability_zone="z1")
    gone = next(record for record in records if str(record.address) in before)
    rest = [record for record in records if record is not gone]
    after = select_subset(rest, host="10.0.0.9", availability_zone="z1")
    assert len(before & after) == MAX_ENGINES - 1


def test_zone_without_engines_follows_those_of_others() -> None:
    records = make_engines(240)
    chosen = select_subset(records, host="10.0.0.9", availability_zone="z9")
    assert len(chosen) == MAX_ENGINES
