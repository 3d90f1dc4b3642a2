"""Tests the documents of upstreams that readers push: few calls, no change lost or late."""

from __future__ import annotations

import asyncio

import pytest

from sycamoreproxy.document_source import Document
from sycamoreproxy.watched_documents import MIN_SHARED_BOUND_S, DocumentReplica
from tests._virtual_time import in_virtual_time
from tests.test_watched_documents import _Zone

#: Maximum time until all processes receive a change while the readers run, in seconds.
MAX_DELIVERY_S = 0.7


class _DeliveryLog:
    """Records when each process of a zone received each change, and with which lag."""

    def __init__(self, zone: _Zone) -> None:
        self.received: dict[tuple[int, str, int], tuple[float, float]] = {}
        for number, replica in enumerate(zone.replicas):

            def record(
                document: Document, number: int = number, replica: DocumentReplica = replica
            ) -> None:
                lag_s = replica.find_relay_lag_s(document.key)
                now = asyncio.get_running_loop().time()
                self.received[number, document.key, document.revision] = (now, lag_s)

            replica.subscribe(record)

    def list_late(self, key: str, revision: int, *, changed_at: float) -> list[float]:
        """Return by how much processes date a change too late, if above the maximum, in seconds."""
        found = [value for (_, *of), value in self.received.items() if of == [key, revision]]
        return [
            at - lag_s - changed_at
            for at, lag_s in found
            if at - lag_s > changed_at + MAX_DELIVERY_S
        ]


def make_zone(*, processes: int = 24, readers: int = 2) -> _Zone:
    zone = _Zone(processes=processes, readers=readers, pushed_prefixes=("servers/",))
    for number in range(8):
        zone.store.put(f"servers/i-{number}", b"ready")
    return zone


def count_calls(zone: _Zone, numbers: range) -> int:
    return sum(zone.store.calls_by_host[f"h{number}"] for number in numbers)


@in_virtual_time
async def test_only_the_readers_make_calls_for_changes() -> None:
    """For each change of an upstream, every process made a call to the store."""
    zone = make_zone()
    await asyncio.sleep(4)
    before = count_calls(zone, range(2, 24))
    for number in range(20):
        zone.store.put(f"servers/i-{number % 8}", f"ready {number}".encode())
        await asyncio.sleep(MAX_DELIVERY_S)
        assert zone.count_replicas(f"servers/i-{number % 8}", zone.store.revision) == 24
    # Each process watches the named versions itself, with calls of 25 s.
    assert count_calls(zone, range(2, 24)) - before <= 22
    zone.stop()


@in_virtual_time
async def test_processes_without_a_stream_to_a_reader_make_no_calls() -> None:
    """Readers have streams to 12 engines of a zone; the others called the store every second."""
    zone = make_zone()
    for stream in list(zone.streams):
        hosts = {stream.owner.hello.host, stream.target.hello.host}
        if hosts & zone.readers and hosts & {"h21", "h23"}:
            zone.network.cut(stream)
            stream.owner.peers -= {stream}
            stream.target.peers -= {stream.opposite}
    await asyncio.sleep(4)
    before = zone.store.calls_by_host["h21"] + zone.store.calls_by_host["h23"]
    for _ in range(10):
        zone.store.put("servers/i-3", b"ready again")
        await asyncio.sleep(1)
    assert zone.count_replicas("servers/i-3", zone.store.revision) == 24
    # Each watches the named versions itself.
    assert zone.store.calls_by_host["h21"] + zone.store.calls_by_host["h23"] - before <= 2
    zone.stop()


@in_virtual_time
async def test_deletion_and_recreation_reach_every_process() -> None:
    zone = make_zone()
    await asyncio.sleep(4)
    for value in (None, b"back"):
        zone.store.put("servers/i-3", value)
        await asyncio.sleep(MAX_DELIVERY_S)
        known = [replica.get("servers/i-3") for replica in zone.replicas]
        assert {document.value if document else b"" for document in known} == {value}
    zone.stop()


@pytest.mark.parametrize(
    ("fault", "wait_s"),
    [("none", MAX_DELIVERY_S), ("killed", MIN_SHARED_BOUND_S), ("cut off", MIN_SHARED_BOUND_S)],
)
@pytest.mark.parametrize("after_s", [0.0, 0.4, 1.0, 1.6])
@in_virtual_time
async def test_change_without_readers_arrives_in_time_or_with_its_lag(
    fault: str, wait_s: float, after_s: float
) -> None:
    """A leaving upstream gets requests until its bound, which counts from the change."""
    zone = make_zone()
    await asyncio.sleep(4)
    log = _DeliveryLog(zone)
    if fault == "killed":
        zone.kill(range(2))
        zone.replicas = zone.replicas[2:]
    elif fault == "cut off":
        for path in zone.paths[:2]:
            path.is_refused = True
            path.cut()
    await asyncio.sleep(after_s)
    changed_at = asyncio.get_running_loop().time()
    zone.store.put("servers/i-3", b"draining")
    await asyncio.sleep(wait_s)
    assert zone.count_replicas("servers/i-3", zone.store.revision) == len(zone.replicas)
    assert not log.list_late("servers/i-3", zone.store.revision, changed_at=changed_at)
    zone.stop()


@in_virtual_time
async def test_lag_after_a_long_outage_excludes_the_outage() -> None:
    """Documents that expire in an outage return soon; with the outage as lag they were unusable."""
    zone = make_zone()
    await asyncio.sleep(4)
    log = _DeliveryLog(zone)
    for path in zone.paths:
        path.is_refused = True
        path.cut()
    zone.store.put("servers/i-3", None)
    await asyncio.sleep(6)
    for path in zone.paths:
        path.is_refused = False
    await asyncio.sleep(3)
    assert len(log.received) == 24
    assert all(lag_s < MAX_DELIVERY_S for _, lag_s in log.received.values())
    zone.stop()


@in_virtual_time
async def test_process_that_missed_changes_while_disconnected_catches_up() -> None:
    zone = make_zone(processes=3, readers=2)
    await asyncio.sleep(4)
    streams = list(zone.streams)
    for stream in streams:
        zone.network.cut(stream)
    for hub in zone.hubs:
        hub.peers = frozenset()
    zone.store.put("servers/i-3", b"draining")
    zone.store.put("servers/i-4", None)
    await asyncio.sleep(0.2)
    zone.network.link(zone.hubs[0], zone.hubs[2])
    await asyncio.sleep(1.5)
    assert zone.count_replicas("servers/i-3", 10) == 3
    known = [replica.get("servers/i-4") for replica in zone.replicas]
    assert all(document is not None and document.value is None for document in known)
    zone.stop()


@in_virtual_time
async def test_zone_without_readers_watches_the_store() -> None:
    zone = make_zone(processes=3, readers=0)
    await asyncio.sleep(4)
    zone.store.put("servers/i-3", b"draining")
    await asyncio.sleep(1)
    assert zone.count_replicas("servers/i-3", 10) == 3
    zone.stop()


@in_virtual_time
async def test_first_reads_do_not_wait_for_readers() -> None:
    """Streams open to listed upstreams, so waiting for readers first would never end."""
    zone = make_zone()
    await asyncio.sleep(0.3)
    assert zone.count_replicas("servers/i-3", 5) == 24
    zone.stop()
