"""Model of two weight versions named in quick succession: ``python -m bench.succession SITE --seed N``.

Runs the transfer and the stager of every engine host in simulated time, on simulated links: one
queue each way for a host, for the origin and between two regions, which messages and chunks take in
turn. The origin refuses connections above its limit, and all of them while it is down. Prints one
JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import random
import statistics
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from typing import Any

import structlog

from bench.virtual_time import LoopClock, run_in_virtual_time
from sycamoreproxy.engine_stage import EngineReport, OrderOutcome, WeightStager, may_switch
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.messages import ChunkData, ChunkSlice, Hello
from sycamoreproxy.origins import OriginError
from sycamoreproxy.routed_composition import make_plan_limits
from sycamoreproxy.routed_upstream import EXCHANGE_GROUP
from sycamoreproxy.streams import Address
from sycamoreproxy.weight_targets import WeightTargets
from sycamoreproxy.weight_transfer import WeightTransfer
from sycamoreproxy.weights import (
    ChunkStore,
    Manifest,
    compute_chunk_digest,
    compute_version_digest,
)

_MBIT = 125_000.0
#: Bytes of a control message, of a chunk message beside its data, and of a request to the origin.
_MESSAGE_BYTES = 120
_SEGMENT_BYTES = 8_192
#: One-way latency within a region and between two regions, in seconds.
_NEAR_LATENCY_S = 0.001
_FAR_LATENCY_S = 0.012
#: Time after its last use for which a connection counts at the origin, in seconds.
_ORIGIN_IDLE_S = 0.2
#: Interval at which the share of serving engines is sampled, in seconds.
_SAMPLE_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """A deployment and what happens on its day; times are in seconds after the first version.

    :param origin_connections: connections that the origin accepts from all hosts.
    :param second_at: when the second version is named; negative for never.
    :param down_at: when the origin goes down; negative for never.
    :param request_fraction: fraction of a host's link that requests take.
    :param drain_s: time for which an engine goes on with its requests after a load order.
    :param load_s: time that an engine takes to load a version afterwards.
    :param corrupt: fraction of chunks that the origin sends corrupted.
    """

    hosts: int
    link_mbit: float
    chunks: int
    chunk_bytes: int
    origin_mbit: float
    region_mbit: float
    bound_s: float
    origin_connections: int = 24
    second_at: float = 2.0
    down_at: float = 2.5
    down_s: float = 6.0
    request_fraction: float = 0.1
    drain_s: float = 0.5
    load_s: float = 0.3
    corrupt: float = 0.0
    end_at: float = 24.0


SITES = {
    "K": Site(
        hosts=20,
        link_mbit=4.7,
        chunks=48,
        chunk_bytes=49_152,
        origin_mbit=9.0,
        region_mbit=14.5,
        bound_s=9.7,
    ),
    "R": Site(
        hosts=17,
        link_mbit=3.8,
        chunks=64,
        chunk_bytes=32_768,
        origin_mbit=5.94,
        region_mbit=12.0,
        bound_s=10.3,
    ),
}


class _Link:
    """A link that transfers what is sent on it in turn."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def send(self, size: int, latency_s: float, action: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._free_at = max(loop.time(), self._free_at) + size / self._bytes_per_s
        loop.call_at(self._free_at + latency_s, action)


class _Network:
    """The links of a site; the origin is in the first region."""

    def __init__(self, site: Site) -> None:
        free = 1 - site.request_fraction
        self._up = [_Link(site.link_mbit * _MBIT * free) for _ in range(site.hosts)]
        self._down = [_Link(site.link_mbit * _MBIT * free) for _ in range(site.hosts)]
        self._between = {
            (a, b): _Link(site.region_mbit * _MBIT * free) for a in range(3) for b in range(3)
        }
        self.origin = _Link(site.origin_mbit * _MBIT)

    def send(self, source: int, to: int, size: int, action: Callable[[], None]) -> None:
        """Deliver a message; a negative source is the origin."""
        first = self.origin if source < 0 else self._up[source]
        regions = (max(source, 0) % 3, to % 3)
        last = self._down[to]
        if regions[0] == regions[1]:
            first.send(size, _NEAR_LATENCY_S, lambda: last.send(size, 0.0, action))
            return
        border = self._between[regions]
        first.send(
            size,
            _FAR_LATENCY_S,
            lambda: border.send(size, 0.0, lambda: last.send(size, 0.0, action)),
        )


class _Origin:
    """The origin as one host sees it."""

    def __init__(self, world: World, host: int) -> None:
        self._world = world
        self._host = host

    async def read_manifest(self, version: str) -> Manifest:
        manifest = self._world.manifests_by_version[version]
        await self._read(70 * len(manifest.chunks))
        return manifest

    async def read_chunk(self, manifest: Manifest, index: int) -> bytes:
        await self._read(manifest.chunk_bytes)
        world = self._world
        world.origin_chunks += 1
        if world.random.random() < world.site.corrupt:
            return bytes(manifest.chunk_bytes)
        return world.data_by_digest[manifest.chunks[index]]

    def close(self) -> None:
        """Do nothing."""

    async def _read(self, size: int) -> None:
        world = self._world
        loop = asyncio.get_running_loop()
        # A connection, then the request; an idle one may be used again at once.
        latency_s = _NEAR_LATENCY_S if self._host % 3 == 0 else _FAR_LATENCY_S
        if world.idle_connections.pop(self._host, 0.0) < loop.time():
            await asyncio.sleep(2 * latency_s)
        await asyncio.sleep(latency_s)
        now = loop.time()
        held = world.connections + sum(t >= now for t in world.idle_connections.values())
        if world.is_origin_down() or held >= world.site.origin_connections:
            world.origin_refusals += 1
            raise OriginError("refused")
        world.connections += 1
        done = asyncio.Event()
        left = size
        try:
            while left > 0:
                done.clear()
                segment = min(left, _SEGMENT_BYTES)
                left -= segment
                if left:
                    world.network.send(-1, self._host, segment, lambda: None)
                else:
                    world.network.send(-1, self._host, segment, done.set)
            await done.wait()
        finally:
            world.connections -= 1
        if world.was_origin_down_since(now):
            raise OriginError("connection lost")
        world.idle_connections[self._host] = loop.time() + _ORIGIN_IDLE_S


class _Peer:
    """The other end of a stream between two hosts."""

    def __init__(self, network: _Network, source: int, to: _Hub) -> None:
        self._network = network
        self._source = source
        self._to = to
        self.hello = to.hello

    def send(self, message: Any) -> bool:
        size = _MESSAGE_BYTES
        if isinstance(message, ChunkData | ChunkSlice):
            size += len(message.data)
        self._network.send(
            self._source, self._to.number, size, lambda: self._to.receive(self._source, message)
        )
        return True


class _Hub:
    """The streams of one host."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.hello = Hello(
            f"u{number:02}", f"u{number:02}", "upstream", f"z{number % 3}", EXCHANGE_GROUP
        )
        self._handlers_by_type: dict[type, list[Callable[[Any, Any], None]]] = {}
        self._open_listeners: list[Callable[[Any], None]] = []
        self.peers_by_number: dict[int, _Peer] = {}

    def on(self, message_type: type, handler: Callable[[Any, Any], None]) -> None:
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def on_open(self, listener: Callable[[Any], None]) -> None:
        self._open_listeners.append(listener)

    def on_close(self, listener: Callable[[Any], None]) -> None:
        """Do nothing; streams stay open."""

    def set_targets(self, addresses: set[Address]) -> None:
        """Do nothing; all streams are open."""

    def open(self) -> None:
        for peer in self.peers_by_number.values():
            for listener in self._open_listeners:
                listener(peer)

    def receive(self, source: int, message: Any) -> None:
        for handler in self._handlers_by_type.get(type(message), ()):
            handler(self.peers_by_number[source], message)


class _Engine:
    """An engine that ends its requests after a load order and then loads."""

    def __init__(self, site: Site, model: str) -> None:
        self._site = site
        self._model = model
        self.version = 1
        self.is_loading = False
        self.orders = 0
        self.loaded_at_by_version: dict[int, float] = {}
        self._staged: dict[int, bytes] = {}

    def report(self) -> EngineReport:
        return EngineReport(
            running=0,
            waiting=0,
            memory_used=0,
            memory_total=1,
            pace=1.0,
            is_loading=self.is_loading,
            orders_accepted=self.orders,
            started_ms=1,
            version_by_model=((self._model, self.version),),
        )

    async def read_report(self) -> EngineReport:
        return self.report()

    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        await asyncio.sleep(0.001)
        self._staged[index] = data

    async def get_chunk(self, model: str, index: int) -> bytes | None:
        await asyncio.sleep(0.001)
        return self._staged.get(index)

    async def order_load(self, model: str, version: int, *, expected: int) -> OrderOutcome:
        self.orders += 1
        self.is_loading = True
        loop = asyncio.get_running_loop()

        def finish() -> None:
            self.version, self.is_loading = version, False
            self.loaded_at_by_version[version] = loop.time()

        loop.call_later(self._site.drain_s + self._site.load_s, finish)
        return OrderOutcome.BEGUN


class World:
    """All hosts of a site, with their own code, and the origin."""

    def __init__(self, site: Site, *, seed: int) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.network = _Network(site)
        self.connections = 0
        self.idle_connections: dict[int, float] = {}
        self.origin_chunks = 0
        self.origin_refusals = 0
        self.data_by_digest: dict[str, bytes] = {}
        self.manifests_by_version = {f"m/{n}": self._make_manifest(n) for n in (2, 3)}
        self.held_at: list[dict[str, float]] = [{} for _ in range(site.hosts)]
        self.engines = [_Engine(site, "m") for _ in range(site.hosts)]
        self.targets: list[WeightTargets] = []
        self.stagers: list[WeightStager] = []
        self.transfers: list[WeightTransfer] = []
        self.started_at = 0.0

    def _make_manifest(self, version: int) -> Manifest:
        digests = []
        for index in range(self.site.chunks):
            data = random.Random(f"{version}/{index}").randbytes(self.site.chunk_bytes)
            digests.append(compute_chunk_digest(data))
            self.data_by_digest[digests[-1]] = data
        chunks = tuple(digests)
        return Manifest(
            f"m/{version}",
            "m",
            compute_version_digest(chunks),
            self.site.chunk_bytes,
            self.site.chunk_bytes * self.site.chunks,
            chunks,
        )

    def _elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self.started_at

    def is_origin_down(self) -> bool:
        """Return whether the origin refuses all connections now."""
        down_at = self.site.down_at
        return 0 <= down_at <= self._elapsed_s() < down_at + self.site.down_s

    def was_origin_down_since(self, time_s: float) -> bool:
        """Return whether the origin was down at some time since then."""
        down_at = self.site.down_at
        since_s = time_s - self.started_at
        return 0 <= down_at <= self._elapsed_s() and since_s < down_at + self.site.down_s

    def _build_host(self, number: int, hub: _Hub, records: tuple[HostRecord, ...]) -> None:
        clock = LoopClock()
        targets = WeightTargets(clock=clock, bound_s=self.site.bound_s)
        chunks = ChunkStore()
        engine = self.engines[number]
        limits = make_plan_limits(
            link_bytes_per_s=self.site.link_mbit * _MBIT,
            availability_zone=hub.hello.availability_zone,
        )

        def switches(model: str, version: int) -> bool:
            order = sorted(range(self.site.hosts), key=lambda n: (n % 3, n))
            return may_switch(
                index=order.index(number),
                loaded_versions=[self.engines[n].version for n in order],
                target=version,
                time_to_cutover_s=targets.time_to_cutover_s(model, version),
            )

        async def read_local(manifest: Manifest) -> AsyncIterator[tuple[int, bytes]]:
            for item in ():
                yield item

        transfer = WeightTransfer(
            hub=hub,  # type: ignore[arg-type]
            chunks=chunks,
            origin=_Origin(self, number),
            hosts=lambda: records,
            limits=limits,
            clock=clock,
            random_source=random.Random(f"{number}/{self.random.random()}"),
            read_local=read_local,
            origin_connections=lambda: self.site.origin_connections,
        )
        self.transfers.append(transfer)
        self.targets.append(targets)
        self.stagers.append(
            WeightStager(
                engine=engine,
                transfer=transfer,
                chunks=chunks,
                targets=targets,
                model=lambda: "m",
                report=engine.report,
                may_switch=switches,
                on_switching=lambda: None,
                clock=clock,
            )
        )

    async def run(self) -> dict[str, Any]:
        """Run the day and return its figures."""
        site = self.site
        hubs = [_Hub(number) for number in range(site.hosts)]
        for hub in hubs:
            hub.peers_by_number = {
                other.number: _Peer(self.network, hub.number, other)
                for other in hubs
                if other is not hub
            }
        address = Address("127.0.0.1", 1)
        records = tuple(
            HostRecord(
                hub.hello.host,
                "upstream",
                hub.hello.availability_zone,
                hub.hello.region,
                address,
                address,
            )
            for hub in hubs
        )
        for hub in hubs:
            self._build_host(hub.number, hub, records)
        for targets in self.targets:
            targets.set_target("m", 1, is_first_read=True)
        tasks = [asyncio.create_task(item.run()) for item in (*self.transfers, *self.stagers)]
        for hub in hubs:
            hub.open()
        await asyncio.sleep(8.0)
        self.started_at = asyncio.get_running_loop().time()
        self._name(2, 0.0)
        if site.second_at >= 0:
            self._name(3, site.second_at)
        samples = await self._sample()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self._summarize(samples)

    def _name(self, version: int, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        for targets in self.targets:
            loop.call_later(
                after_s + 0.02 + 0.1 * self.random.random(),
                lambda targets=targets: targets.set_target("m", version, is_first_read=False),
            )

    async def _sample(self) -> list[float]:
        samples = []
        while self._elapsed_s() < self.site.end_at:
            await asyncio.sleep(_SAMPLE_S)
            serving = 0
            for number, engine in enumerate(self.engines):
                minimum = self.targets[number].find_minimum_version("m")
                serving += engine.version >= minimum and not engine.is_loading
                state = self.transfers[number].state
                if state.done:
                    self.held_at[number].setdefault(state.version, self._elapsed_s())
            samples.append(serving / self.site.hosts)
        return samples

    def _summarize(self, samples: list[float]) -> dict[str, Any]:
        held: dict[str, list[float]] = {"m/2": [], "m/3": []}
        for item in self.held_at:
            for version, elapsed_s in item.items():
                held.setdefault(version, []).append(elapsed_s)
        loaded: dict[str, list[float]] = {
            f"m/{number}": [
                engine.loaded_at_by_version[number] - self.started_at
                for engine in self.engines
                if number in engine.loaded_at_by_version
            ]
            for number in (2, 3)
        }
        return {
            "held": {version: _describe(times) for version, times in held.items()},
            "loaded": {version: _describe(times) for version, times in loaded.items()},
            "none_serving_s": round(sum(share == 0 for share in samples) * _SAMPLE_S, 2),
            "lost_s": round(sum(1 - share for share in samples) * _SAMPLE_S, 2),
            "origin_copies": round(self.origin_chunks / self.site.chunks, 2),
            "origin_refusals": self.origin_refusals,
        }


def _describe(times: list[float]) -> dict[str, float]:
    """Return how many hosts there are, and the times of the first, the median and the last."""
    if not times:
        return {"hosts": 0}
    return {
        "hosts": len(times),
        "first": round(min(times), 2),
        "median": round(statistics.median(times), 2),
        "last": round(max(times), 2),
    }


def measure(site: Site, *, seed: int) -> dict[str, Any]:
    """Return the figures of one day."""
    return run_in_virtual_time(World(site, seed=seed).run(), seed=seed)


def silence_logs() -> None:
    """Drop the log lines of all hosts."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def main() -> None:
    """Print the figures of the days that the options name."""
    parser = argparse.ArgumentParser(description="model of versions in succession")
    parser.add_argument("site", choices=sorted(SITES))
    parser.add_argument("--seed", type=int, default=1)
    for name in ("second_at", "down_at", "down_s", "corrupt", "origin_connections"):
        parser.add_argument(f"--{name.replace('_', '-')}", type=float, dest=name)
    options = vars(parser.parse_args())
    site, seed = SITES[options.pop("site")], options.pop("seed")
    silence_logs()
    given = {name: value for name, value in options.items() if value is not None}
    print(json.dumps({"seed": seed, **measure(replace(site, **given), seed=seed)}))


if __name__ == "__main__":
    main()
