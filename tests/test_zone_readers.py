"""Guards against zones in which every process reads large documents, or none does."""

from __future__ import annotations

import pytest

from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.zone_readers import choose_readers
from tests._upstreams import make_upstream

ZONES = ("z1", "z2", "z3")


def make_engines(count: int) -> list[UpstreamRecord]:
    return [make_upstream(number, zone=ZONES[number % 3]) for number in range(count)]


@pytest.mark.parametrize(("engines", "readers"), [(0, 0), (1, 1), (3, 1), (12, 2), (240, 2)])
def test_each_zone_has_a_few_readers(engines: int, readers: int) -> None:
    """Read by every process, a large configuration filled the links between regions."""
    records = make_engines(engines)
    chosen = choose_readers(records, availability_zone="z1")
    near = {r.address.ip for r in records if r.availability_zone == "z1"}
    assert chosen <= near and len(chosen) == min(readers, len(near))
    assert choose_readers(records[::-1], availability_zone="z1") == chosen
