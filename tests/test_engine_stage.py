"""Guards against engines that load incomplete, spoilt or outdated weights, or all at one time."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.engine_stage import (
    EngineReport,
    OrderOutcome,
    StagedEngineError,
    WeightStager,
    may_switch,
    should_finish_first,
)
from sycamoreproxy.weight_targets import WeightTargets
from sycamoreproxy.weights import ChunkStore, Manifest, compute_version_digest


def make_data(version: int, index: int) -> bytes:
    return f"{version}/{index}".encode().ljust(8, b".")


def make_manifest(version: int, chunks: int = 4) -> Manifest:
    digests = tuple(
        hashlib.sha256(make_data(version, index)).hexdigest() for index in range(chunks)
    )
    return Manifest(
        version=f"m/{version}",
        model="m",
        digest=compute_version_digest(digests),
        chunk_bytes=8,
        total_bytes=8 * chunks,
        chunks=digests,
    )


class _Engine:
    """An engine that loads at once what is staged."""

    def __init__(self, version: int = 1) -> None:
        self.version = version
        self.staged: dict[int, bytes] = {}
        self.orders: list[int] = []
        self.started_ms = 1
        self.loaded: list[dict[int, bytes]] = []
        self.is_stuck = False

    def report(self) -> EngineReport:
        return EngineReport(
            running=0,
            waiting=0,
            memory_used=0,
            memory_total=1,
            pace=1.0,
            is_loading=False,
            orders_accepted=len(self.orders),
            started_ms=self.started_ms,
            version_by_model=(("m", self.version),) if self.version else (),
        )

    async def read_report(self) -> EngineReport:
        return self.report()

    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        self.staged[index] = data

    async def get_chunk(self, model: str, index: int) -> bytes | None:
        return self.staged.get(index)

    async def order_load(self, model: str, version: int, *, expected: int) -> OrderOutcome:
        if expected != len(self.orders):
            raise StagedEngineError("another order came first")
        self.orders.append(version)
        self.loaded.append(dict(self.staged))
        if not self.is_stuck:
            self.version = version
        return OrderOutcome.BEGUN


class _Transfer:
    """Holds the manifest of whatever is wanted."""

    def __init__(self, chunks: ChunkStore) -> None:
        self.chunks = chunks
        self.wanted: list[str] = []
        self.manifest: Manifest | None = None
        self.progress = 0.0

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        if not self.wanted or self.wanted[-1] != version:
            self.wanted.append(version)
            self.manifest = make_manifest(int(version.rpartition("/")[2]))
            self.progress = 0.0
        self.chunks.retain(served=served, wanted=self.manifest)

    def arrive(self, *indexes: int) -> None:
        """Hold these chunks of the wanted version."""
        assert self.manifest is not None
        version = int(self.manifest.version.rpartition("/")[2])
        for index in indexes:
            self.chunks.add(self.manifest.chunks[index], make_data(version, index))
        self.progress = len(self.chunks.list_held(self.manifest)) / len(self.manifest.chunks)


class _World:
    def __init__(self, *, version: int = 1) -> None:
        self.clock = ManualClock(start=10.0)
        self.engine = _Engine(version)
        chunks = ChunkStore()
        self.transfer = _Transfer(chunks)
        self.targets = WeightTargets(clock=self.clock, bound_s=8.0)
        self.may_switch = True
        self.notices: list[int] = []
        self.stager = WeightStager(
            engine=self.engine,
            transfer=self.transfer,
            chunks=chunks,
            targets=self.targets,
            model=lambda: "m",
            report=self.engine.report,
            may_switch=lambda model, version: self.may_switch,
            on_switching=lambda: self.notices.append(len(self.engine.orders)),
            clock=self.clock,
        )

    def name(self, version: int) -> None:
        self.targets.set_target("m", version, is_first_read=False)

    def step(self, times: int = 1) -> None:
        for _ in range(times):
            asyncio.run(self.stager.step())
            self.clock.advance(0.1)


def test_engine_loads_only_when_every_chunk_is_staged() -> None:
    world = _World()
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 3)
    world.step(3)
    assert world.engine.orders == []
    world.transfer.arrive(2)
    world.step(3)
    assert world.engine.orders == [2]
    assert world.engine.loaded[0] == {index: make_data(2, index) for index in range(4)}


@pytest.mark.parametrize("spoilt", [b"spoilt", None])
def test_chunk_that_turned_bad_where_it_lies_is_staged_again(spoilt: bytes | None) -> None:
    world = _World()
    world.name(2)
    world.may_switch = False
    world.step()
    world.transfer.arrive(0, 1, 2, 3)
    world.step(2)
    if spoilt is None:
        del world.engine.staged[2]
    else:
        world.engine.staged[2] = spoilt
    world.may_switch = True
    world.step(4)
    assert world.engine.orders == [2]
    assert world.engine.loaded[0][2] == make_data(2, 2)


def test_spoilt_chunk_is_staged_again_while_the_next_version_is_fetched() -> None:
    """The chunks of the staged version were dropped, and its host served neither version."""
    world = _World()
    world.may_switch = False
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 2, 3)
    world.step(2)
    world.name(3)
    world.step(2)
    world.engine.staged[1] = b"spoilt"
    world.may_switch = True
    world.step(4)
    assert world.engine.orders == [2] and world.engine.loaded[0][1] == make_data(2, 1)


def test_entry_hosts_are_told_before_the_order() -> None:
    """Requests waited at an engine until it had loaded, and began on a version out of its bound."""
    world = _World()
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 2, 3)
    before = world.engine.report()
    world.step(2)
    assert world.notices == [0] and world.engine.orders == [2]
    assert world.stager.is_switching(before)
    assert not world.stager.is_switching(world.engine.report())


def test_engine_that_starts_empty_gets_the_first_version() -> None:
    world = _World(version=0)
    world.step()
    assert world.transfer.wanted == ["m/1"]
    world.transfer.arrive(0, 1, 2, 3)
    world.step(3)
    assert world.engine.orders == [1]


def test_restarted_engine_is_staged_again() -> None:
    """A restart forgets the layers, the orders and maybe what was staged."""
    world = _World()
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 2, 3)
    world.step(3)
    world.engine.version, world.engine.started_ms = 0, 2
    world.engine.orders.clear()
    world.engine.staged.clear()
    world.step(3)
    assert world.engine.orders == [2] and world.engine.version == 2


def test_order_is_not_repeated_before_a_report_can_show_it() -> None:
    world = _World()
    world.engine.is_stuck = True
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 2, 3)
    before = world.engine.report()
    world.stager._report = lambda: before
    world.step(6)
    assert world.engine.orders == [2]


def test_next_version_is_fetched_while_a_staged_one_waits_for_its_turn() -> None:
    world = _World()
    world.may_switch = False
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 2, 3)
    world.step(2)
    world.name(3)
    world.step()
    assert world.transfer.wanted[-1] == "m/3"
    world.transfer.arrive(0, 1)
    world.may_switch = True
    world.step()
    assert world.engine.orders == [2]
    assert world.engine.loaded[0][0] == make_data(2, 0)
    world.transfer.arrive(2, 3)
    world.step(3)
    assert world.engine.orders == [2, 3]


def test_abandoned_transfer_is_chosen_once() -> None:
    """The choice was remade at each step, and a transfer that was nearly done was dropped."""
    world = _World()
    world.name(2)
    world.step()
    world.transfer.arrive(0, 1, 2)
    world.clock.advance(4.0)
    world.name(3)
    world.step()
    assert world.transfer.wanted[-1] == "m/2"
    world.clock.advance(1.5)
    world.step(2)
    assert world.transfer.wanted[-1] == "m/2"


@pytest.mark.parametrize(
    ("progress", "elapsed_s", "wanted_in_s", "newest_in_s", "expected"),
    [
        (0.73, 4.0, 3.2, 7.2, True),
        (0.1, 0.5, 6.7, 7.2, False),
        (0.0, 1.0, 3.2, 7.2, False),
        (0.9, 4.0, 7.0, 7.2, False),
        (0.5, 4.0, 0.0, 7.2, False),
    ],
)
def test_shorter_time_without_a_version_decides(
    progress: float, elapsed_s: float, wanted_in_s: float, newest_in_s: float, expected: bool
) -> None:
    found = should_finish_first(
        progress=progress,
        elapsed_s=elapsed_s,
        wanted_binds_in_s=wanted_in_s,
        newest_binds_in_s=newest_in_s,
    )
    assert found is expected


@pytest.mark.parametrize(
    ("index", "loaded", "left_s", "expected"),
    [
        (0, [1, 1, 1, 1], 5.0, True),
        (1, [1, 1, 1, 1], 5.0, False),
        (1, [2, 1, 1, 1], 5.0, False),
        (1, [2, 1, 2, 1], 5.0, True),
        (1, [1, 1, 1, 1], 0.1, True),
        (1, [1, 0, 1, 1], 5.0, True),
        (3, [2, 1, 0, 1], 5.0, True),
    ],
)
def test_half_of_the_engines_serve_while_the_others_load(
    index: int, loaded: list[int], left_s: float, expected: bool
) -> None:
    assert (
        may_switch(index=index, loaded_versions=loaded, target=2, time_to_cutover_s=left_s)
        is expected
    )


@pytest.mark.parametrize(("loaded", "found"), [(2, 4), (0, 4), (1, 0)])
def test_staged_chunks_are_adopted_if_they_may_be_of_the_version(loaded: int, found: int) -> None:
    world = _World(version=loaded)
    world.engine.staged = {index: make_data(2, index) for index in range(4)}

    async def collect() -> int:
        return len([item async for item in world.stager.read_staged(make_manifest(2))])

    assert asyncio.run(collect()) == found
