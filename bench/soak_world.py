"""The simulated processes of a soak run, built from the real decision code and handlers."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import Counter
from typing import Any

from bench.soak_network import SoakHub, SoakNetwork
from bench.virtual_time import LoopClock
from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy.claims import ClaimRegistry
from sycamoreproxy.dispatch import Dispatcher
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.membership import Membership
from sycamoreproxy.messages import HeaderPairs, Hello, PeerStatus, Status
from sycamoreproxy.result_codes import UPSTREAM_LOST, Executed
from sycamoreproxy.retries import RetryBudget
from sycamoreproxy.routing import Router
from sycamoreproxy.settings import UpstreamSettings
from sycamoreproxy.streams import Address
from sycamoreproxy.table_commands import TableEditor
from sycamoreproxy.table_sync import TableReplica
from sycamoreproxy.upstream_answers import (
    AnswerListener,
    AnswerTotals,
    UpstreamFailureError,
    UpstreamRequest,
)
from sycamoreproxy.upstream_links import UpstreamLinks
from sycamoreproxy.upstream_role import UpstreamRole

PREFIX = "/soak"
SERVICE = "ledger"
ENTRIES = ("e0", "e1", "e2")
UPSTREAMS = ("u0", "u1", "u2")


def make_body(path: str, body: bytes) -> bytes:
    """Return the one right answer to a request."""
    return hashlib.sha256(path.encode() + body).hexdigest().encode() * 3


class SoakService:
    """The service behind all upstream processes; counts the runs of each request.

    :param rng: source of delays and faults.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.runs_by_path: Counter[str] = Counter()
        self.fail_fraction = 0.0
        self._random = rng
        self._running: set[asyncio.Task[None]] = set()

    async def call(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerTotals:
        """Run a request; it runs to its end even if the process beside the service dies."""
        fault = "" if self._random.random() >= self.fail_fraction else self._random.choice("nbad")
        if fault == "n":
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.NO)
        await asyncio.sleep(self._random.uniform(0.001, 0.05))
        if fault == "b":
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.UNKNOWN)
        run = asyncio.create_task(self._run(request.path, self._random.choice((0.01, 0.3, 2.0))))
        self._running.add(run)
        run.add_done_callback(self._running.discard)
        await asyncio.shield(run)
        if fault == "a":
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.UNKNOWN)
        body = make_body(request.path, request.body)
        listener.on_head(200, (("Content-Type", "text/plain"),), "")
        listener.on_output(body[:50], 0)
        await asyncio.sleep(0.01)
        if fault == "d":
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.YES)
        listener.on_output(body[50:], 0)
        return AnswerTotals()

    def close(self) -> None:
        """Nothing is open."""

    async def _run(self, path: str, seconds: float) -> None:
        await asyncio.sleep(seconds / 2)
        self.runs_by_path[path] += 1
        await asyncio.sleep(seconds / 2)


class SoakWriter:
    """Takes what reaches a caller."""

    def __init__(self) -> None:
        self.is_started = False
        self.data = b""

    def start(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Take status and headers."""
        self.is_started = True

    def write(self, data: bytes) -> None:
        """Take a part of the body."""
        self.data += data


class SoakProcess:
    """One start of an entry host or of the process beside an upstream."""

    def __init__(self, *, world: SoakWorld, host: str, start: int) -> None:
        self.host = host
        self.role = "entry" if host.startswith("e") else "upstream"
        self.hub = SoakHub(hello=Hello(host, f"{host}.{start}", self.role, "zone", "region"))
        self.clock = LoopClock()
        self.store = InProcessStore(world.core, seed=world.rng.randrange(1 << 30))
        self.store.faults = world.store_faults
        self.revisions: list[int] = []
        self.errors: list[str] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        hub: Any = self.hub
        self.replica = TableReplica(hub=hub, store=self.store, prefix=PREFIX, clock=self.clock)
        self.replica.subscribe(lambda view: self.revisions.append(view.revision))
        if self.role == "entry":
            self._build_entry(world, hub)
        else:
            settings = UpstreamSettings(kind="service", name=SERVICE, address="http://127.0.0.1")
            self.upstream = UpstreamRole(
                hub=hub,
                clock=self.clock,
                settings=settings,
                view=lambda: self.replica.view,
                service=world.service,
            )
            self.upstream.start()
        self.replica.start()
        self.spawn(self._beat())

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a task that ends with the process."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(f"{self.host}: {task.exception()!r}")

    async def crash(self) -> None:
        """End at once: tasks stop, streams close, nothing is told to anyone."""
        self.hub.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.replica.close()
        if self.role == "upstream":
            await self.upstream.close()

    def _build_entry(self, world: SoakWorld, hub: Any) -> None:
        self.membership = Membership(host=self.host, availability_zone="zone", clock=self.clock)
        self.membership.replace_hosts(world.list_hosts())
        hub.on(Status, self.membership.record_status)
        hub.on(PeerStatus, self.membership.record_peer_status)
        hub.on_close(self.membership.remove_peer)
        self.claims = ClaimRegistry(
            store=self.store, prefix=PREFIX, owner=self.hub.hello.process_id, clock=self.clock
        )
        self.dispatcher = Dispatcher(
            links=UpstreamLinks(hub=hub),
            router=Router(
                membership=self.membership,
                availability_zone="zone",
                clock=self.clock,
                rng=random.Random(world.rng.random()),
            ),
            budget=RetryBudget(clock=self.clock),
            get_view=lambda: self.replica.view,
            claims=self.claims,
        )
        self.editor = TableEditor(
            store=self.store,
            prefix=PREFIX,
            clock=self.clock,
            minimum_revision=lambda: self.replica.view.revision,
        )
        # The watchers are e0 and e1; e2 hears of changes from its peers.
        self.replica.set_watching(self.host != ENTRIES[-1])

    async def _beat(self) -> None:
        while True:
            view = self.replica.view
            self.hub.broadcast(PeerStatus("ready", view.revision, view.digest))
            await asyncio.sleep(1.0)


class SoakWorld:
    """All processes, the store and the service of one run.

    :param seed: seed of every random choice.
    """

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.core = MemoryStore(now=LoopClock().monotonic)
        self.store_faults: dict[str, float] = {}
        self.service = SoakService(rng=random.Random(seed + 1))
        self.network = SoakNetwork(rng=random.Random(seed + 2))
        self.blocked: set[frozenset[str]] = set()
        self.processes_by_host: dict[str, SoakProcess] = {}
        self.ended: list[SoakProcess] = []
        self._starts: Counter[str] = Counter()

    def list_hosts(self) -> list[HostRecord]:
        """Return the host list."""
        address = Address("127.0.0.1", 1)
        return [
            HostRecord(
                host,
                "entry" if host in ENTRIES else "upstream",
                "zone",
                "region",
                address,
                address,
                kind="" if host in ENTRIES else "service",
                name="" if host in ENTRIES else SERVICE,
            )
            for host in (*ENTRIES, *UPSTREAMS)
        ]

    def start(self, host: str) -> None:
        """Start a process of a host."""
        self._starts[host] += 1
        process = SoakProcess(world=self, host=host, start=self._starts[host])
        self.processes_by_host[host] = process

    async def crash(self, host: str) -> None:
        """Crash the process of a host, if it runs."""
        process = self.processes_by_host.pop(host, None)
        if process is not None:
            self.ended.append(process)
            await process.crash()

    async def keep_connected(self) -> None:
        """Open the streams that are missing, now and then."""
        while True:
            for one, other in self._pairs():
                self.network.connect(one.hub, other.hub)
            await asyncio.sleep(0.25)

    def block(self, one: str, other: str) -> None:
        """Cut the link between two hosts until :meth:`heal`."""
        self.blocked.add(frozenset((one, other)))
        first, second = self.processes_by_host.get(one), self.processes_by_host.get(other)
        if first is not None and second is not None:
            self.network.cut(first.hub, second.hub)

    def heal(self) -> None:
        """End every fault except crashes."""
        self.blocked.clear()
        self.store_faults.clear()
        self.service.fail_fraction = 0.0
        for process in self.processes_by_host.values():
            if process.hub.is_frozen:
                process.hub.resume()

    def _pairs(self) -> list[tuple[SoakProcess, SoakProcess]]:
        hosts = sorted(self.processes_by_host)
        return [
            (self.processes_by_host[one], self.processes_by_host[other])
            for number, one in enumerate(hosts)
            for other in hosts[number + 1 :]
            if one in ENTRIES and frozenset((one, other)) not in self.blocked
        ]
