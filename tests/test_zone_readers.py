"""Guards against zones in which every process reads large documents, or none does."""

from __future__ import annotations

import pytest

from sycamoreproxy.messages import DocumentReaders
from sycamoreproxy.zone_readers import READERS, ZoneReaders, choose_readers
from tests._fake_hub import FakeHub, FakeNetwork, FakePeer


@pytest.mark.parametrize(("hosts", "readers"), [(0, 0), (1, 1), (2, 2), (12, 2), (240, 2)])
def test_each_zone_has_a_few_readers(hosts: int, readers: int) -> None:
    """Read by every process, a large configuration filled the links between regions."""
    names = [f"10.0.0.{number}" for number in range(hosts)]
    chosen = choose_readers(names)
    assert chosen <= set(names) and len(chosen) == readers
    assert choose_readers(names[::-1]) == chosen


class _World:
    """Processes of two zones; those beside engines have streams to every other one."""

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

    def find(self, zone: str) -> set[frozenset[str] | None]:
        hubs = self.hubs.items()
        return {self.readers[n].find() for n, h in hubs if h.hello.availability_zone == zone}


@pytest.mark.parametrize("order", [1, -1], ids=["engines first", "entry hosts first"])
def test_all_processes_of_a_zone_agree_on_its_readers(order: int) -> None:
    world = _World()
    hosts = [("u1", "upstream"), ("u2", "upstream"), *((f"e{n}", "entry") for n in range(5))]
    for host, role in hosts[::order]:
        world.add(host, role)
    world.add("far", "entry", zone="z2")
    world.add("u-far", "upstream", zone="z2")
    expected = choose_readers(f"e{number}" for number in range(5))
    assert world.find("z1") == {expected} and len(expected) == READERS
    assert world.find("z2") == {frozenset({"far"})}


def test_reader_that_is_gone_is_replaced() -> None:
    world = _World()
    world.add("u1", "upstream")
    for number in range(4):
        world.add(f"e{number}", "entry")
    gone = min(choose_readers(f"e{number}" for number in range(4)))
    world.remove(gone)
    left = {f"e{number}" for number in range(4)} - {gone}
    assert world.find("z1") == {choose_readers(left)}
    world.remove("u1")
    assert world.find("z1") == {None}


def test_choice_of_another_zone_is_ignored() -> None:
    world = _World()
    world.add("e1", "entry")
    world.add("u-far", "upstream", zone="z2")
    for peer in world.hubs["u-far"].peers:
        peer.send(DocumentReaders(("e1",)))
    world.network.deliver()
    assert world.find("z1") == {None}
