"""Guards against orders sent without a valid lease, mixed versions and interrupted service."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import pytest

from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.engine_orders import EngineOwner, ServedVersion
from sycamoreproxy.weights import ChunkStore, Manifest
from tests._weight_fakes import FakeEngine, make_manifest, make_record

_LEASE_TTL_S = 10.0
_ORDER_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class _Target:
    version: str
    adapters: tuple[str, ...] = ()
    replicas: int = 0


class _FakeTransfer:
    """A transfer that holds whole versions, or only the first chunk while ``is_done`` is false."""

    def __init__(self, chunks: ChunkStore) -> None:
        self.data_by_version = {v: [f"{v}{n}".encode() for n in range(3)] for v in ("v1", "v2")}
        self.manifest: Manifest | None = None
        self.is_done = True
        self.reason = "chunks are missing"
        self._chunks = chunks

    def make_manifest(self, version: str) -> Manifest:
        return make_manifest(version, self.data_by_version[version], 3)

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        self.manifest = self.make_manifest(version) if version else None
        self._chunks.retain(served=served, wanted=self.manifest)
        for data in self.data_by_version.get(version, ())[: 3 if self.is_done else 1]:
            self._chunks.add(make_manifest(version, [data], 3).chunks[0], data)

    async def find_manifest(self, version: str) -> Manifest | None:
        return self.make_manifest(version) if version in self.data_by_version else None


class _Host:
    def __init__(
        self,
        cluster: _Cluster,
        host: str = "h1",
        *,
        engine: FakeEngine | None = None,
        checks_fencing: bool = True,
        process_id: str = "",
    ) -> None:
        self.store = InProcessStore(cluster.core)
        self.engine = engine or FakeEngine(checks_fencing=checks_fencing)
        chunks = ChunkStore()
        self.transfer = _FakeTransfer(chunks)
        self.owner = EngineOwner(
            host=host,
            availability_zone="a",
            model="m",
            prefix="/p",
            process_id=process_id or host,
            store=self.store,
            engine=self.engine,
            chunks=chunks,
            transfer=self.transfer,
            hosts=lambda: cluster.records,
            clock=cluster.clock,
            lease_ttl_s=_LEASE_TTL_S,
            order_timeout_s=_ORDER_TIMEOUT_S,
            checks_fencing=checks_fencing,
        )

    async def apply_version(self, version: str, steps: int = 2) -> None:
        self.owner.set_target(_Target(version))
        await self.owner.maintain_lease()
        for _ in range(steps):
            await self.owner.step()


class _Cluster:
    def __init__(self, hosts: int = 1) -> None:
        self.clock = ManualClock(start=100.0)
        self.core = MemoryStore(now=self.clock.monotonic)
        self.records = [make_record(f"h{number + 1}") for number in range(hosts)]

    def served(self, host: _Host) -> str:
        return host.owner.served.version if host.owner.served else ""


def _run(action: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(action, 10))


def test_version_is_served_only_after_the_engine_confirmed_it() -> None:
    async def action() -> None:
        host = _Host(_Cluster())
        host.transfer.is_done = False
        await host.apply_version("v1")
        assert host.owner.served is None and not host.engine.orders
        assert len(host.engine.chunks) == 1, "chunks are put while others are missing"
        assert "chunks are missing" in host.owner.unmet[0]
        host.transfer.is_done = True
        await host.apply_version("v1")
        manifest = host.transfer.make_manifest("v1")
        assert host.owner.served == ServedVersion("v1", manifest.digest)
        assert host.owner.unmet == ()

    _run(action())


def test_chunks_that_arrive_during_an_upload_are_uploaded_before_the_order() -> None:
    async def action() -> None:
        host = _Host(_Cluster())
        host.transfer.is_done = False
        put = host.engine.put_chunk

        async def put_and_complete_transfer(digest: str, data: bytes) -> None:
            await put(digest, data)
            host.transfer.is_done = True

        host.engine.put_chunk = put_and_complete_transfer  # type: ignore[method-assign]
        await host.apply_version("v1", steps=1)
        assert not host.engine.orders and "refused" not in host.owner.unmet[0]
        await host.apply_version("v1")
        assert host.owner.served is not None and len(host.engine.orders) == 1

    _run(action())


def test_wrong_digest_is_never_served() -> None:
    async def action() -> None:
        host = _Host(_Cluster())
        host.engine.wrong_digest = True
        await host.apply_version("v1", steps=4)
        assert host.owner.served is None
        assert "confirmed_digest_matches" in host.owner.unmet[0]

    _run(action())


def test_no_order_after_a_pause_until_the_lease_is_renewed() -> None:
    async def action() -> None:
        cluster = _Cluster()
        host = _Host(cluster)
        await host.apply_version("v1")
        cluster.clock.advance(_LEASE_TTL_S * 3)
        assert host.owner.served is None, "a paused process does not know what was switched"
        host.owner.set_target(_Target("v2"))
        await host.owner.step()
        assert [order.version for order in host.engine.orders] == ["v1"]
        assert cluster.served(host) == "v1", "the version read back stays in use"
        fence = host.engine.orders[0].fence
        await host.apply_version("v2")
        assert [order.version for order in host.engine.orders] == ["v1", "v2"]
        assert host.engine.orders[1].fence > fence

    _run(action())


def test_order_of_a_replaced_owner_has_no_effect() -> None:
    async def action() -> None:
        cluster = _Cluster()
        old = _Host(cluster, process_id="old")
        await old.apply_version("v1")
        cluster.clock.advance(_LEASE_TTL_S * 2)
        new = _Host(cluster, engine=old.engine, process_id="new")
        await new.apply_version("v2")
        assert cluster.served(new) == "v2"
        await old.apply_version("v1")
        assert [order.version for order in old.engine.orders] == ["v1", "v2"]
        assert not old.owner.is_owner
        assert "new still owns" in old.owner.unmet[0]

    _run(action())


@pytest.mark.parametrize("late_order", [False, True])
def test_engine_without_fencing_is_read_after_the_order_timeout(late_order: bool) -> None:
    async def action() -> None:
        cluster = _Cluster()
        old = _Host(cluster, checks_fencing=False, process_id="old")
        await old.apply_version("v1")
        await _renew_lease_past_order_timeout(cluster, old)
        await old.apply_version("v1")
        assert cluster.served(old) == "v1"
        cluster.clock.advance(_LEASE_TTL_S * 2)
        new = _Host(cluster, engine=old.engine, checks_fencing=False, process_id="new")
        await new.apply_version("v2")
        assert cluster.served(new) == "" and old.engine.state.version == "v1"
        if late_order:
            await old.engine.put_chunk(*_first_chunk(old))
            await old.engine.load(old.engine.orders[0])
        await _renew_lease_past_order_timeout(cluster, new)
        await new.apply_version("v2", steps=3)
        assert cluster.served(new) == old.engine.state.version == "v2"

    _run(action())


async def _renew_lease_past_order_timeout(cluster: _Cluster, host: _Host) -> None:
    """Advance the clock past the order timeout while renewing the lease."""
    for _ in range(int(_ORDER_TIMEOUT_S / 2) + 1):
        cluster.clock.advance(2)
        await host.owner.maintain_lease()


def _first_chunk(host: _Host) -> tuple[str, bytes]:
    manifest = host.transfer.make_manifest("v1")
    return manifest.chunks[0], host.transfer.data_by_version["v1"][0]


def test_switch_slots_limit_concurrent_loads() -> None:
    async def action() -> None:
        cluster = _Cluster(hosts=8)
        hosts = [_Host(cluster, record.host) for record in cluster.records]
        for host in hosts:
            await host.apply_version("v1")
        assert all(cluster.served(host) == "v1" for host in hosts)
        loading: set[str] = set()
        max_concurrent_loads = 0
        for host in hosts:
            load = host.engine.load

            async def slow_load(order: Any, load: Any = load, host: _Host = host) -> Any:
                nonlocal max_concurrent_loads
                loading.add(host.owner._host)
                max_concurrent_loads = max(max_concurrent_loads, len(loading))
                for _ in range(200):
                    await asyncio.sleep(0)
                loading.discard(host.owner._host)
                return await load(order)

            host.engine.load = slow_load  # type: ignore[method-assign]
        for _ in range(20):
            await asyncio.gather(*(host.apply_version("v2", steps=1) for host in hosts))
        assert all(cluster.served(host) == "v2" for host in hosts)
        assert max_concurrent_loads == 2, "a quarter of eight replicas switches at once"

    _run(action())


def test_failed_switch_releases_its_slot() -> None:
    async def action() -> None:
        cluster = _Cluster(hosts=2)
        first, second = (_Host(cluster, record.host) for record in cluster.records)
        for host in (first, second):
            await host.apply_version("v1")
        first.engine.wrong_digest = True
        await first.apply_version("v2", steps=1)
        await second.apply_version("v2")
        assert cluster.served(second) == "v2"

    _run(action())


def test_store_outage_stops_orders_but_not_serving() -> None:
    async def action() -> None:
        cluster = _Cluster()
        host = _Host(cluster)
        await host.apply_version("v1")
        host.store.faults = {"unavailable": 1.0}
        cluster.clock.advance(_LEASE_TTL_S)
        await host.apply_version("v2")
        assert cluster.served(host) == "v1" and len(host.engine.orders) == 1
        assert "store" in host.owner.unmet[0]
        host.store.faults = {}
        await host.apply_version("v2")
        assert cluster.served(host) == "v2"

    _run(action())


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_lost_store_responses_do_not_block_ownership(fault: str) -> None:
    async def action() -> None:
        cluster = _Cluster()
        host = _Host(cluster)
        for seed in range(12):
            host.store.faults = {fault: 0.5} if seed % 2 else {}
            await host.apply_version("v1")
            cluster.clock.advance(1)
        host.store.faults = {}
        cluster.clock.advance(_LEASE_TTL_S * 2)
        await host.apply_version("v2", steps=3)
        assert cluster.served(host) == "v2"

    _run(action())


def test_version_with_lost_confirmation_is_read_from_engine_state() -> None:
    async def action() -> None:
        cluster = _Cluster()
        host = _Host(cluster)
        host.engine.lose_answers = True
        await host.apply_version("v1", steps=1)
        assert host.owner.served is None
        await host.owner.step()
        assert cluster.served(host) == "v1" and len(host.engine.orders) == 1

    _run(action())


def test_chunks_are_uploaded_again_after_an_engine_restart() -> None:
    async def action() -> None:
        cluster = _Cluster()
        host = _Host(cluster)
        await host.apply_version("v1")
        host.engine.unreachable = True
        await host.owner.step()
        assert host.owner.served is None
        fresh = FakeEngine()
        host.engine.chunks, host.engine.state = fresh.chunks, fresh.state
        host.engine.unreachable = False
        await host.apply_version("v1")
        assert cluster.served(host) == "v1" and len(host.engine.orders) == 2

    _run(action())


def test_new_process_keeps_serving_the_loaded_version() -> None:
    async def action() -> None:
        cluster = _Cluster()
        host = _Host(cluster)
        await host.apply_version("v1")
        await host.owner.close()
        successor = _Host(cluster, engine=host.engine, process_id="next")
        successor.transfer.is_done = False
        await successor.apply_version("v2")
        assert cluster.served(successor) == "v1"

    _run(action())


def test_hosts_beyond_the_replica_count_load_nothing() -> None:
    async def action() -> None:
        cluster = _Cluster(hosts=3)
        hosts = [_Host(cluster, record.host) for record in cluster.records]
        for host in hosts:
            host.owner.set_target(_Target("v1", replicas=2))
            await host.owner.maintain_lease()
            await host.owner.step()
        assert sum(bool(host.engine.orders) for host in hosts) == 2
        for host in hosts:
            host.owner.set_target(_Target("v1", replicas=4))
        assert all("not enough hosts" in host.owner.unmet[-1] for host in hosts)

    _run(action())
