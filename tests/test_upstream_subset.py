"""Tests that connections and load reports do not grow with entry hosts times engines."""

from __future__ import annotations

from collections import Counter

import pytest

from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_subset import (
    MAX_ENGINES,
    MAX_ZONE_ENGINES,
    choose_coordinator,
    select_subset,
)
from tests._upstreams import make_upstream

ZONES = ("z1", "z2", "z3")


def make_engines(count: int) -> list[UpstreamRecord]:
    return [make_upstream(number, zone=ZONES[number % 3]) for number in range(count)]


@pytest.mark.parametrize(
    ("engines", "local", "total"),
    [
        (6, 2, 6),
        (12, 4, 12),
        (18, 6, 18),
        (24, 8, MAX_ENGINES),
        (240, MAX_ZONE_ENGINES, MAX_ENGINES),
    ],
)
def test_subset_holds_all_engines_of_small_deployments_and_is_bounded_in_large_ones(
    engines: int, local: int, total: int
) -> None:
    records = make_engines(engines)
    subset = select_subset(records, host="10.0.0.9", availability_zone="z1")
    by_address = {str(record.address): record for record in records}
    assert len(subset) == total
    assert sum(by_address[a].availability_zone == "z1" for a in subset) == local


def test_hosts_spread_evenly_over_engines() -> None:
    """An engine in too few subsets receives too few requests and stays idle in a burst.

    With as many hosts as engines, each host sends the load of one engine on average.
    """
    records = make_engines(240)
    hosts_by_engine: Counter[str] = Counter()
    for host in range(240):
        hosts_by_engine.update(
            select_subset(records, host=f"10.1.0.{host}", availability_zone=ZONES[host % 3])
        )
    mean = 240 * MAX_ENGINES / 240
    assert len(hosts_by_engine) == 240
    assert min(hosts_by_engine.values()) >= 3 and max(hosts_by_engine.values()) < mean * 2


def test_subset_changes_little_when_an_engine_is_removed() -> None:
    """Otherwise every restart of an engine would open connections throughout the deployment."""
    records = make_engines(240)
    before = select_subset(records, host="10.0.0.9", availability_zone="z1")
    removed = next(record for record in records if str(record.address) in before)
    remaining = [record for record in records if record is not removed]
    after = select_subset(remaining, host="10.0.0.9", availability_zone="z1")
    assert len(before & after) == MAX_ENGINES - 1


def test_subset_of_a_zone_without_engines_is_in_other_zones() -> None:
    records = make_engines(240)
    subset = select_subset(records, host="10.0.0.9", availability_zone="z9")
    assert len(subset) == MAX_ENGINES


def test_hosts_agree_on_the_coordinator_of_an_upstream() -> None:
    """With two coordinators, an upstream would get twice the requests that it may."""
    engines = make_engines(24)
    for number in range(50):
        chosen = choose_coordinator(engines, f"i-{number}")
        assert choose_coordinator(engines[::-1], f"i-{number}") == chosen
        others = [engine for engine in engines if engine.address.ip != chosen]
        assert choose_coordinator(others, f"i-{number}") not in (chosen, None)
        # A lost engine does not change the coordinators of upstreams that had another one.
        kept = [engine for engine in engines if engine.address.ip in (chosen, "10.0.0.3")]
        assert choose_coordinator(kept, f"i-{number}") == chosen
    assert choose_coordinator([], "i-1") is None


def test_coordinators_spread_over_engines() -> None:
    chosen = {choose_coordinator(make_engines(8), f"i-{number}") for number in range(100)}
    assert len(chosen) == 8
