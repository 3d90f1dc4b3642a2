"""A small deployment on loopback addresses: real processes before stand-ins of the platform.

Every machine has a loopback address of its own, and ports are the same on all machines. The store,
the runners and the origin of weights follow the users' protocol page; they live in this process.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.common.http import (
    Exchange,
    Message,
    Server,
    read_body,
    read_head,
    reset,
    write_request,
)
from review.common.templates import render

ROOT = Path(__file__).parents[2]
#: Bounds, as the site file of the deployments names them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 104,
    "recovery_s": 12,
    "version_ms": 8000,
}
CONTACT_S = BOUNDS["contact_ms"] / 1000
#: Time between two check-ins of a runner in the store, in seconds.
HEARTBEAT_S = 1.2
ZONE, REGION = "trakia-z1", "trakia-yug"
HOST, KEY, TENANT = "jepu9.example", "jnbanfqasnmgkcuyj8pj", "bozi300"
MODEL = "daka510000"
CHUNKS, CHUNK_BYTES = 48, 49_152
#: Link of the origin, and the way to it and back from another region.
ORIGIN_LINK_BITS_PER_S = 15e6
ORIGIN_ROUND_TRIP_S = 0.0056
#: Events of a stream, and tokens in each.
EVENTS, EVENT_TOKENS = 21, 5
ENGINE = {
    "slots": 16,
    "kv_capacity_tokens": 1180000,
    "stride": 5,
    "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
    "step_ms": 8.87,
    "per_seq_ms": 0.0388,
    "context_per_k": 0.0227,
    "read_per_s": 19100.0,
    "pairs_per_m": 1.47,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 977, "answer": 94},
    "layers": 16,
    "chunks": CHUNKS,
    "chunk_bytes": CHUNK_BYTES,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def note(self, what: str, **facts: Any) -> None:
        """Write one line with the time since the start in seconds."""
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {what} {text}".rstrip())
        self._file.write("\n")
        self._file.flush()


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        self.revision = 400
        self._items_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: Any) -> None:
        """Write a value in JSON."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items_by_key.get(key, {}).get("create_rev", self.revision)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "create_rev": created,
        }
        self._items_by_key[key] = {**item, "lease": 0}
        await self._publish(self._items_by_key[key])

    async def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items_by_key.pop(key, None) is not None:
            self.revision += 1
            await self._publish({"key": key, "revision": self.revision, "deleted": True})

    async def _publish(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        query = exchange.request.query_by_name
        await asyncio.sleep(0.004)
        if exchange.request.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(
                k for k in self._items_by_key if k.startswith(query["prefix"]) and k > after
            )
            items = [self._items_by_key[key] for key in keys[:500]]
            more = len(keys) > 500
            exchange.answer_json(
                {"items": items, "has_more": more, "store_revision": self.revision}
            )
        elif exchange.request.path == "/kv-watch":
            prefix, after_revision = query["prefix"], int(query["after"])

            def find() -> list[dict[str, Any]]:
                return [
                    e
                    for e in self._history
                    if e["key"].startswith(prefix) and e["revision"] > after_revision
                ]

            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                    await self._changed.wait_for(find)
            exchange.answer_json({"events": find(), "store_revision": self.revision})
        else:
            exchange.answer_json({}, 404)


def make_pieces(version: int) -> list[bytes]:
    """Return the pieces of a version of the weights."""
    return [random.Random(f"{version}/{n}").randbytes(CHUNK_BYTES) for n in range(CHUNKS)]


def digest(data: bytes) -> str:
    """Return the digest of a piece."""
    return hashlib.sha256(data).hexdigest()


class Origin:
    """The origin of weights.

    ``spoil`` changes the bytes of an answer on their way; it gets the target of the call.
    """

    def __init__(self) -> None:
        self._pieces_by_version: dict[int, list[bytes]] = {}
        self.newest = 1
        self._link_free_at = 0.0
        self.spoil: Callable[[str, bytes], bytes] = lambda path, body: body

    def pieces(self, version: int) -> list[bytes]:
        """Return the pieces of a version."""
        if version not in self._pieces_by_version:
            self._pieces_by_version[version] = make_pieces(version)
        return self._pieces_by_version[version]

    async def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        query, path = exchange.request.query_by_name, exchange.request.path
        version = int(query.get("version", self.newest))
        if version <= self.newest - 2 or version > self.newest:
            exchange.answer(410 if version < self.newest else 404)
            return
        if path.startswith("/manifest/"):
            body = json.dumps(
                {
                    "model": MODEL,
                    "version": version,
                    "chunk_bytes": CHUNK_BYTES,
                    "layers": ENGINE["layers"],
                    "digests": [digest(piece) for piece in self.pieces(version)],
                }
            ).encode()
        else:
            body = self.pieces(version)[int(query["number"])]
        body = self.spoil(exchange.request.first[1], body)
        # The link of the origin carries one answer after the other.
        now = time.monotonic()
        self._link_free_at = max(now, self._link_free_at) + len(body) * 8 / ORIGIN_LINK_BITS_PER_S
        await asyncio.sleep(self._link_free_at - now + ORIGIN_ROUND_TRIP_S)
        exchange.answer(200, body)


@dataclass(slots=True)
class Run:
    """One run of a request at a runner."""

    request_id: str
    began_at: float
    version: int
    parts: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class Runner:
    """A runner of a service; of a model service if it has a version.

    :param crashes_on: part of a prompt that ends the process once it writes an answer on it.
    :param events_before_crash: events that were written by then.
    :param answer_bytes: size of the answer of a plain service.
    :param back_after_s: time until the process is back after a crash, in seconds.
    :param weights: the pieces that were loaded as the version in use.
    :param on_stage_get: called with the number of each staged piece that is read back.
    """

    site: Site
    service: str
    address: str
    version: int | None = None
    instance: str = ""
    born: int = 0
    state: str = "ready"
    sequence: int = 0
    is_loading: bool = False
    running: int = 0
    staged: dict[int, bytes] = field(default_factory=dict)
    weights: list[bytes] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    mixed_runs: list[Run] = field(default_factory=list)
    spoilt_taken: list[float] = field(default_factory=list)
    arrivals: list[Run] = field(default_factory=list)
    server: Server | None = None
    crashes_on: str = ""
    events_before_crash: int = 0
    back_after_s: float = 2.0
    answer_bytes: int = 800
    crashes: list[float] = field(default_factory=list)
    is_down: bool = False
    #: Unset while the runner's machine stands still.
    is_awake: asyncio.Event = field(default_factory=asyncio.Event)
    on_stage_get: Callable[[int], None] = lambda number: None
    #: Time that the runner takes to answer with a staged piece, in seconds.
    stage_get_s: float = 0.0

    async def start(self) -> None:
        """Begin a new lifetime."""
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence, self.running, self.is_loading = 0, 0, False
        self.is_awake.set()
        self.is_down = False
        ip, _, port = self.address.partition(":")
        self.server = Server(self._handle, ip, int(port))
        await self.server.open()
        await self.enlist()

    async def enlist(self) -> None:
        """Write the runner's entry in the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born,
        }
        if self.version is not None:
            entry |= {"stage": "both", "models": self._list_models()}
        await self.site.store.put(f"servers/{self.instance}", entry)

    def _list_models(self) -> list[dict[str, Any]]:
        if not self.version:
            return []
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def crash(self) -> None:
        """End the process; it is back after some seconds without weights in memory."""
        assert self.server is not None
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(time.monotonic())
        self.site.record.note("runner crashed", instance=self.instance, address=self.address)
        self.server.close()
        old = self.instance
        self.site.start_task(self._expire(old))
        self.site.start_task(self._come_back())

    async def _expire(self, instance: str) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.site.store.delete(f"servers/{instance}")

    async def _come_back(self) -> None:
        await asyncio.sleep(self.back_after_s)
        if self.version is not None:
            self.version, self.weights = 0, []
        await self.start()

    async def _handle(self, exchange: Exchange) -> None:
        await self.is_awake.wait()
        if self.is_down:
            return
        path = exchange.request.path
        if path == "/report":
            self._report(exchange)
        elif path.startswith("/stage-"):
            await self._stage(exchange)
        elif path == "/order":
            await self._order(exchange)
        else:
            await self._run(exchange)

    def _report(self, exchange: Exchange) -> None:
        exchange.answer_json(
            {
                "stage": "both",
                "models": self._list_models(),
                "busy": self.is_loading,
                "sequence": self.sequence,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": ENGINE["kv_capacity_tokens"],
                "handles": 0,
                "born": self.born,
                "pace": 1.0,
            }
        )

    async def _stage(self, exchange: Exchange) -> None:
        query = exchange.request.query_by_name
        if exchange.request.first[0] == "PUT":
            self.staged[int(query["number"])] = exchange.request.body
            exchange.answer(200)
            return
        if "number" not in query:
            exchange.answer_json({"held": sorted(self.staged)})
            return
        number = int(query["number"])
        await asyncio.sleep(self.stage_get_s)
        self.on_stage_get(number)
        data = self.staged.get(number)
        exchange.answer(404 if data is None else 200, data or b"")

    async def _order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.request.body)
        version = order["version"]
        if version == self.version:
            exchange.answer_json({})
            return
        if self.is_loading or order.get("expected", self.sequence) != self.sequence:
            self.site.record.note("order refused", runner=self.address, version=version, status=409)
            exchange.answer_json({}, 409)
            return
        self.sequence += 1
        self.is_loading = True
        taken = [self.staged.get(number, b"") for number in range(CHUNKS)]
        foreign = [n for n, p in enumerate(taken) if p != self.site.origin.pieces(version)[n]]
        if foreign:
            self.spoilt_taken.append(time.monotonic())
        self.site.record.note(
            "order accepted",
            runner=self.address,
            version=version,
            foreign_pieces=len(foreign),
        )
        exchange.answer_json({}, 202)
        self.site.start_task(self._load(version, taken, self.born))

    async def _load(self, version: int, taken: list[bytes], lifetime: int) -> None:
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        if lifetime == self.born:
            self.version, self.weights, self.is_loading = version, taken, False
            await self.enlist()

    def is_mixed(self) -> bool:
        """Return whether the weights in use aren't the pieces of their version."""
        return bool(self.version) and self.weights != self.site.origin.pieces(self.version)

    async def _run(self, exchange: Exchange) -> None:
        headers = exchange.request.headers_by_name
        request_id = headers.get("sycamoreproxy-request-id", "")
        prefix = headers.get("sycamoreproxy-prefix-hash", "")
        parts = tuple(entry.partition(":")[0] for entry in prefix.split(",") if entry)
        common = {
            "Sycamoreproxy_Request_Id": request_id,
            "Sycamoreproxy_Instance_Id": self.instance,
        }
        arrival = Run(request_id, time.monotonic(), self.version or 0, parts)
        self.arrivals.append(arrival)
        if headers.get("sycamoreproxy-expect-instance", self.instance) != self.instance:
            exchange.answer(421, **common)
            return
        expected = headers.get("sycamoreproxy-expect-version", str(self.version))
        if self.version is not None and (expected != str(self.version) or not self.version):
            exchange.answer(421, **common)
            return
        if self.is_loading:
            exchange.answer(503, **common, Sycamoreproxy_Not_Executed="1")
            return
        self.running += 1
        lifetime = self.born
        common["Sycamoreproxy_Response_Signature"] = f"3e1b.{request_id[:8]}"
        try:
            if self.version is None:
                self.runs.append(arrival)
                await asyncio.sleep(0.045)
                exchange.answer(200, make_body(request_id, self.answer_bytes), **common)
                return
            await self._generate(exchange, arrival, common)
        finally:
            if lifetime == self.born:
                self.running -= 1

    async def _generate(self, exchange: Exchange, arrival: Run, common: dict[str, str]) -> None:
        await asyncio.sleep(0.06)
        if exchange.is_left:
            return
        self.runs.append(arrival)
        if self.is_mixed():
            self.mixed_runs.append(arrival)
            self.site.record.note(
                "run on mixed weights", id=arrival.request_id, version=self.version
            )
        poisoned = bool(self.crashes_on) and self.crashes_on in arrival.parts[:-1]
        first = int(exchange.request.headers_by_name.get("last-event-id", 0)) + 1
        if not (poisoned and not self.events_before_crash):
            exchange.begin(
                200,
                **common,
                Content_Type="text/event-stream",
                Sycamoreproxy_Weight_Versions=str(self.version),
                Transfer_Encoding="chunked",
            )
        for number in range(first, EVENTS + 1):
            if exchange.is_left:
                return
            if poisoned and number - first >= self.events_before_crash:
                await self.crash()
                return
            exchange.write_chunk(b"id: %d\ndata: token %d\n\n" % (number, number))
            await asyncio.sleep(EVENT_TOKENS * 0.00887)
            await self.is_awake.wait()
        exchange.write_chunk(b"")


def make_body(request_id: str, size: int) -> bytes:
    """Return the body that a runner answers to a request."""
    return (request_id.encode() * (size // max(1, len(request_id)) + 1))[:size]


@dataclass(slots=True, kw_only=True)
class Machine:
    """A machine with one process of the system."""

    name: str
    ip: str
    role: str
    app: str = ""
    process: asyncio.subprocess.Process | None = None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Site:
    """The processes under test and the stand-ins around them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.origin = Origin()
        self.runners: list[Runner] = []
        self.edges: list[Machine] = []
        self.sides: list[Machine] = []
        self.routes: list[dict[str, Any]] = []
        self.services: list[dict[str, Any]] = []
        self.config_version = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._servers: list[Server] = []
        self._directory = tempfile.TemporaryDirectory()
        self._prefix, ports = _find_free()
        self.front, self.ready, self._peer, self._state, self._app, self._store_port = ports
        self.store_address = f"{self._ip(9, 1)}:{self._store_port}"
        self.origin_address = f"{self._ip(9, 2)}:{self._store_port}"

    def _ip(self, group: int, number: int) -> str:
        return f"{self._prefix}.{group}.{number}"

    def start_task(self, work: Any) -> None:
        """Run a coroutine until the end of the case."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def open(self) -> None:
        """Start the store and the origin."""
        for handler, address in (
            (self.store.handle, self.store_address),
            (self.origin.handle, self.origin_address),
        ):
            ip, _, port = address.partition(":")
            server = Server(handler, ip, int(port))
            await server.open()
            self._servers.append(server)

    async def add_runner(self, service: str, **options: Any) -> Runner:
        """Start a runner of a plain service."""
        address = f"{self._ip(5, len(self.runners) + 1)}:{self._app}"
        runner = Runner(site=self, service=service, address=address, **options)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def add_engine(self, service: str, **options: Any) -> Runner:
        """Start a model runner with version 1, and a machine for the process beside it."""
        ip = self._ip(2, len(self.sides) + 1)
        address = f"{ip}:{self._app}"
        pieces = self.origin.pieces(1)
        runner = Runner(
            site=self,
            service=service,
            address=address,
            version=1,
            staged=dict(enumerate(pieces)),
            weights=list(pieces),
            **options,
        )
        self.runners.append(runner)
        await runner.start()
        name = f"side-{ZONE}-{len(self.sides) + 1}"
        self.sides.append(Machine(name=name, ip=ip, role="upstream", app=address))
        return runner

    def add_edge(self) -> Machine:
        """Add a machine for an entry process."""
        number = len(self.edges) + 1
        machine = Machine(name=f"edge-{ZONE}-{number}", ip=self._ip(1, number), role="entry")
        self.edges.append(machine)
        return machine

    def add_route(self, prefix: str, kind: str, service: str, **fields: Any) -> None:
        """Add a route to the configuration."""
        route = {
            "name": f"r-{len(self.routes)}",
            "hostname": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout_ms": 6000,
            "target_latency_ms": 404,
            "priority": 0,
            "max_attempts": 2,
            "public": False,
        }
        self.routes.append({**route, **fields})

    def add_model_service(self, name: str, *, origin_channels: int = 48) -> None:
        """Add a service of model runners and the service that holds the origin of its weights.

        :param origin_channels: channels that the origin accepts.
        """
        self.services.append(
            {"name": name, "max_connections": 434, "protocol": "h1", "engine": ENGINE}
        )
        self.services.append(
            {
                "name": f"{name}-weights",
                "origin": self.origin_address,
                "max_connections": origin_channels,
            }
        )

    async def configure(self) -> None:
        """Write the configuration."""
        self.config_version += 7
        await self.store.put(
            "op/config",
            {
                "version": self.config_version,
                "routes": self.routes,
                "services": self.services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
            },
        )

    async def name_version(self, version: int) -> None:
        """Name a version of the weights."""
        self.origin.newest = version
        await self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
        self.record.note("version named", version=version)

    async def start_processes(self) -> None:
        """Start all processes and wait until every entry process says that it is ready."""
        for machine in (*self.sides, *self.edges):
            await self.start_process(machine)
        async with asyncio.timeout(30):
            for machine in self.edges:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.05)
        # As on the users' machines, traffic starts well after the processes.
        await asyncio.sleep(4)

    async def start_process(self, machine: Machine) -> None:
        """Start the process of a machine with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][machine.role]
        settings = Path(self._directory.name) / f"{machine.name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), self._fields(machine)))
        command = role["run"].replace("/etc/sycamoreproxy/local.toml", str(settings))
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SYCAMOREPROXY_NODE_FILE"] = str(settings)
        log = (settings.with_suffix(".log")).open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *shlex.split(command), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.note("process started", machine=machine.name, pid=machine.process.pid)

    def read_log(self, machine: Machine) -> str:
        """Return what a machine's processes have written."""
        return (Path(self._directory.name) / f"{machine.name}.log").read_text()

    def _fields(self, machine: Machine) -> dict[str, Any]:
        return {
            "node_name": machine.name,
            "zone": ZONE,
            "region": REGION,
            "ip": machine.ip,
            "internal_port_range": [self._peer, self._state],
            "listen": {
                "front": f"{machine.ip}:{self.front}",
                "ready": f"{machine.ip}:{self.ready}",
            },
            "limits": {"link_mbps": 1000.0 if machine.role == "entry" else 4.7},
            "platform": {"address": self.store_address},
            "bounds": BOUNDS,
            "app": machine.app,
        }

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether an entry process says that it is ready."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(machine.ip, self.ready)
            writer.write(write_request("GET", "/ready", {"Host": "ready"}))
            answer = await read_head(reader)
            writer.close()
            return answer is not None and answer.first[1] == "200"
        return False

    async def close(self) -> None:
        """End the processes and the stand-ins."""
        for machine in (*self.edges, *self.sides):
            machine.send_signal(signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()
        for task in list(self._tasks):
            task.cancel()
        for server in (*self._servers, *(r.server for r in self.runners)):
            if server is not None:
                server.close()
        self._directory.cleanup()


@dataclass(slots=True)
class Answer:
    """What a client saw of one request.

    :param status: 0 if no head came.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    message: Message | None

    @property
    def is_success(self) -> bool:
        """Whether the answer is a whole success of a runner."""
        return (
            self.message is not None
            and self.message.is_whole
            and 200 <= self.status < 300
            and "sycamoreproxy-response-signature" in self.message.headers_by_name
        )


def make_id() -> str:
    """Return a new id of a request."""
    return f"{random.getrandbits(64):016x}"


async def ask(
    site: Site,
    machine: Machine,
    *,
    method: str,
    target: str,
    headers: dict[str, str],
    budget_ms: int,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new channel and read its answer until the time budget."""
    request_id = make_id()
    sent_at = time.monotonic()
    message: Message | None = None
    writer: asyncio.StreamWriter | None = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(budget_ms / 1000):
            reader, writer = await asyncio.open_connection(machine.ip, site.front)
            common = {
                "Host": HOST,
                "Sycamoreproxy-Request-Id": request_id,
                "Sycamoreproxy-Deadline-Ms": str(budget_ms),
                "X-Api-Key": KEY,
            }
            writer.write(write_request(method, target, {**common, **headers}, body))
            head = await read_head(reader)
            if head is not None:
                head.is_whole = False
                message = head
                whole = Message(head.first, head.headers_by_name)
                await read_body(reader, whole)
                message = whole
    if writer is not None:
        if message is None or not message.is_whole:
            reset(writer)
        else:
            writer.close()
    status = int(message.first[1]) if message is not None else 0
    return Answer(request_id, sent_at, time.monotonic(), status, message)


def make_prompt_headers(parts: list[tuple[str, int]], answer_tokens: int = 105) -> dict[str, str]:
    """Return the headers of a generation."""
    return {
        "Sycamoreproxy-Model": MODEL,
        "Sycamoreproxy-Token-Count": f"{sum(size for _, size in parts)},{answer_tokens}",
        "Sycamoreproxy-Prefix-Hash": ",".join(f"{part}:{size}" for part, size in parts),
    }


def _find_free() -> tuple[str, list[int]]:
    """Return the start of loopback addresses and ports that are free on all of them."""
    prefix = f"127.{random.randrange(20, 250)}"
    sockets = [socket.socket() for _ in range(6)]
    for item in sockets:
        item.bind((f"{prefix}.1.1", 0))
    ports = sorted(item.getsockname()[1] for item in sockets)
    for item in sockets:
        item.close()
    return prefix, ports


def run_case(folder: Path, case: Callable[[Site, bool], Awaitable[bool]]) -> int:
    """Run a case and return its exit status: 0 held, 1 broken, 2 could not run.

    :param case: gets the site and whether the disruption happens; returns whether the rule held.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> bool:
        site = Site(record)
        try:
            async with asyncio.timeout(110):
                return await case(site, with_trouble)
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for machine in (*site.edges, *site.sides):
                    (Path(keep) / f"{machine.name}.log").write_text(site.read_log(machine))
            await site.close()

    try:
        held = asyncio.run(run())
    except Exception as error:
        record.note("the case could not run", error=repr(error))
        return 2
    record.note("rule held" if held else "RULE BROKEN", trouble=with_trouble)
    return 0 if held else 1
