"""Tests that each zone has a few readers of large documents, rather than all processes or none."""

from __future__ import annotations

import pytest

from sycamoreproxy.messages import DocumentReaders
from sycamoreproxy.zone_readers import READERS_PER_ZONE, ZoneReaders, choose_readers
from tests._fake_hub import FakeHub, FakeNetwork, FakePeer


@pytest.mark.parametrize(("hosts", "readers"), [(0, 0), (1, 1), (2, 2), (12, 2), (240, 2)])
def test_each_zone_has_a_few_readers(hosts: int, readers: int) -> None:
    """When every process read a large configuration, it saturated the links between regions."""
    names = [f"10.0.0.{number}" for number in range(hosts)]
    chosen = choose_readers(names)
    assert chosen <= set(names) and len(chosen) == readers
    assert choose_readers(names[::-1]) == chosen


class _Cluster:
    """Processes of two zones; upstream processes have streams to all others."""

    def __init__(self) -> None:
        self.network = FakeNetwork(seed=1)
        self.hubs: dict[str, FakeHub] = {}
        self.readers: dict[str, ZoneReaders] = {}
        self.streams: dict[tuple[str, str], FakePeer] = {}

    def add(self, host: str, role: str, *, zone: str = "z1") -> None:
        hub = FakeHub(host=host, zone=zone, role=role)
        self.readers[host] = ZoneReaders(hub=hub)  # type: ignore[arg-type]
        for name, other in self.hubs.items():
            if "upstream" in (role, other.hello.role):
                self.streams[name, host] = self.network.link(other, hub)
        self.hubs[host] = hub
        self.network.deliver()

    def remove(self, host: str) -> None:
        for pair in [pair for pair in self.streams if host in pair]:
            self.network.cut(self.streams.pop(pair))
        del self.hubs[host], self.readers[host]
        self.network.deliver()

    def find_readers(self, zone: str) -> set[frozenset[str] | None]:
        hubs = self.hubs.items()
        return {self.readers[n].find() for n, h in hubs if h.hello.availability_zone == zone}


@pytest.mark.parametrize("order", [1, -1], ids=["engines first", "entry hosts first"])
def test_all_processes_of_a_zone_agree_on_its_readers(order: int) -> None:
    cluster = _Cluster()
    hosts = [("u1", "upstream"), ("u2", "upstream"), *((f"e{n}", "entry") for n in range(5))]
    for host, role in hosts[::order]:
        cluster.add(host, role)
    cluster.add("far", "entry", zone="z2")
    cluster.add("u-far", "upstream", zone="z2")
    expected = choose_readers(f"e{number}" for number in range(5))
    assert cluster.find_readers("z1") == {expected} and len(expected) == READERS_PER_ZONE
    assert cluster.find_readers("z2") == {frozenset({"far"})}


def test_lost_reader_is_replaced() -> None:
    cluster = _Cluster()
    cluster.add("u1", "upstream")
    for number in range(4):
        cluster.add(f"e{number}", "entry")
    removed = min(choose_readers(f"e{number}" for number in range(4)))
    cluster.remove(removed)
    remaining = {f"e{number}" for number in range(4)} - {removed}
    assert cluster.find_readers("z1") == {choose_readers(remaining)}
    cluster.remove("u1")
    assert cluster.find_readers("z1") == {None}


def test_announcement_from_another_zone_is_ignored() -> None:
    cluster = _Cluster()
    cluster.add("e1", "entry")
    cluster.add("u-far", "upstream", zone="z2")
    for peer in cluster.hubs["u-far"].peers:
        peer.send(DocumentReaders(("e1",)))
    cluster.network.deliver()
    assert cluster.find_readers("z1") == {None}
