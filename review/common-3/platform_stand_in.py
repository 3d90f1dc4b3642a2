"""Stand-in of the platform with control calls: a store, runners, and an origin of weights."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
import time
from collections import Counter
from typing import Any

import tornado.httpserver
import tornado.web

import standins.platform
from standins._server import Faults, JsonHandler
from standins.platform import (
    CHUNK_BYTES,
    OriginHandler,
    PlatformRunner,
    PlatformStore,
    RunnerHandler,
    WatchHandler,
    make_configuration,
    make_route,
    make_runner_routes,
    make_store_routes,
)

#: Interval at which a runner writes its entry, in seconds.
HEARTBEAT_S = 1.2
#: Time for which the store keeps its history, in seconds.
HISTORY_S = 20.0
MODEL = "m1"
#: Pieces of a version, as on the sheet.
CHUNKS = 48
standins.platform.CHUNKS = CHUNKS
#: What the configuration says of the model runners.
ENGINE = {
    "slots": 4,
    "kv_capacity_tokens": 1180000,
    "stride": 5,
    "models": [{"name": MODEL, "pace": 1.0}],
    "step_ms": 8.87,
    "per_seq_ms": 0.0388,
    "context_per_k": 0.0227,
    "read_per_s": 19100.0,
    "pairs_per_m": 1.47,
    "usual": {"prompt": 977, "answer": 94},
    "layers": 1,
    "chunks": CHUNKS,
    "chunk_bytes": CHUNK_BYTES,
}


class _Origin(OriginHandler):
    """The origin of weights; its first manifests of a version may be spoilt in one byte."""

    def initialize(self, sent: Counter[str], faults: Faults, bed: _Stand) -> None:  # type: ignore[override]
        """Take the stand-in."""
        super().initialize(sent, faults)
        self._bed = bed

    def on_finish(self) -> None:
        """Note when an answer was sent."""
        self._bed.origin_answers_at.append(time.monotonic())

    def write_json(self, value: Any, status: int = 200) -> None:
        """Write a manifest; in a spoilt one the first digit of a digest is another character."""
        version, bed = value.get("version"), self._bed
        is_spoilt = bed.spoilt_left > 0 and version == bed.spoilt_version
        if is_spoilt:
            bed.spoilt_left -= 1
            digest = value["digests"][0]
            value = {**value, "digests": ["x" + digest[1:], *value["digests"][1:]]}
        bed.manifests.append([self.request.remote_ip, version, is_spoilt])
        super().write_json(value, status)


class _NotingHandler(RunnerHandler):
    """Requests of callers; notes the path of each as its bytes arrived."""

    def prepare(self) -> None:
        """Note the path."""
        name = self.request.headers.get("Sycamoreproxy-Request-Id", "")
        self.path_by_id[name] = self.request.path

    def initialize(  # type: ignore[override]
        self, runner: PlatformRunner, faults: Faults, path_by_id: dict[str, str]
    ) -> None:
        """Take the runner, its faults and the notes."""
        super().initialize(runner, faults)
        self.path_by_id = path_by_id


def _make_noting_routes(
    runner: PlatformRunner, faults: Faults, path_by_id: dict[str, str]
) -> list[Any]:
    options = {"runner": runner, "faults": faults, "path_by_id": path_by_id}
    return [*make_runner_routes(runner, faults)[:-1], (r"/.*", _NotingHandler, options)]


class _Watch(WatchHandler):
    """``GET /kv-watch`` of a store that keeps its history for a limited time."""

    def initialize(self, store: PlatformStore, faults: Faults, bed: _Stand) -> None:  # type: ignore[override]
        """Take the stand-in."""
        super().initialize(store, faults)
        self._bed = bed

    async def get(self) -> None:
        """Return the changes, or 410 if some of them are no longer known."""
        if int(self.get_argument("after")) < self._bed.forgotten_revision:
            self.write_json({}, 410)
        else:
            await super().get()


class _CappedServer(tornado.httpserver.HTTPServer):
    """A server that accepts a number of connections and resets those beyond."""

    max_connections = 0
    #: Connections that were reset, and the most that were open.
    reset_count = 0
    most_open = 0

    def handle_stream(self, stream: Any, address: Any) -> None:
        """Serve a new connection, or reset it at the limit."""
        if self.max_connections and len(self._connections) >= self.max_connections:
            self.reset_count += 1
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.close()
            return
        super().handle_stream(stream, address)
        self.most_open = max(self.most_open, len(self._connections))


class _Control(JsonHandler):
    def initialize(self, bed: _Stand) -> None:
        """Take the stand-in."""
        self.bed = bed


class _Put(_Control):
    async def post(self) -> None:
        """Write an item."""
        data = self.read_json()
        self.write_json({"revision": await self.bed.store.put(data["key"], data["value"])})


class _SetFaults(_Control):
    def post(self) -> None:
        """Set the faults of a runner, or of the store for -1, or at its second port for -2."""
        data = self.read_json()
        number = data["runner"]
        if number < 0:
            faults = self.bed.faults if number == -1 else self.bed.second_faults
        else:
            faults = self.bed.runner_faults[number]
        faults.replace(data["faults"])
        self.write_json({})


class _Exit(_Control):
    async def post(self) -> None:
        """End a runner: its port is closed, and what it works on is cut."""
        server = self.bed.servers[self.read_json()["runner"]]
        server.stop()
        self.write_json({})
        for connection in list(server._connections):
            connection.stream.close()


class _Spoil(_Control):
    def post(self) -> None:
        """Spoil the next manifests of a version."""
        data = self.read_json()
        self.bed.spoilt_version, self.bed.spoilt_left = data["version"], data["count"]
        self.write_json({})


class _State(_Control):
    def get(self) -> None:
        """Return what the runners have seen."""
        self.write_json(
            {
                "manifests": self.bed.manifests,
                "origin_answers_at": self.bed.origin_answers_at,
                "connections": [
                    {"reset": server.reset_count, "most_open": server.most_open}
                    for server in self.bed.servers
                ],
                "runners": [
                    {
                        "instance": runner.instance,
                        "started_ms": runner.started_ms,
                        "version": runner.version,
                        "ran": runner.ran,
                        "arrived": runner.arrived,
                        "path_by_id": self.bed.paths_by_instance[runner.instance],
                        "received": runner.received,
                    }
                    for runner in self.bed.runners
                ],
            }
        )


class _Stand:
    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.store = PlatformStore()
        self.faults = Faults(seed=1)
        #: Faults for the machines that reach the store at its second port.
        self.second_faults = Faults(seed=2)
        self.runners: list[PlatformRunner] = []
        self.runner_faults: list[Faults] = []
        self.manifests: list[list[Any]] = []
        self.servers: list[_CappedServer] = []
        self.paths_by_instance: dict[str, dict[str, str]] = {}
        self.spoilt_version, self.spoilt_left = 0, 0
        self.forgotten_revision = 0
        self.origin_answers_at: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until the process is ended."""
        ports = self.options["ports"]
        born = int(time.time() * 1000) - 60_000
        services = self.options.get("services", [])
        listed_ports = self.options.get("listed_ports", ports[1:])
        for number, port in enumerate(ports[1:]):
            runner = PlatformRunner(instance=f"i-{number}", started_ms=born, slots=6)
            service = services[number] if number < len(services) else "ledger"
            faults = Faults(seed=number)
            self.runners.append(runner)
            self.runner_faults.append(faults)
            paths = self.paths_by_instance[runner.instance] = {}
            self._listen(_make_noting_routes(runner, faults, paths), port, is_runner=True)
            await self.store.put(
                f"servers/{runner.instance}",
                {
                    "service": service,
                    "address": f"127.0.0.1:{listed_ports[number]}",
                    "zone": "trakia-z1",
                    "version": "1",
                    "slots": 6,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": 1,
                    "born": born,
                },
            )
        configuration = make_configuration(
            1,
            services=[
                {
                    "name": "ledger",
                    "max_connections": self.options.get("max_connections") or 1000,
                },
                {"name": "archive", "max_connections": 1000},
            ],
            routes=[
                make_route("post", "non_idempotent", "ledger", max_attempts=1),
                make_route("look", "idempotent", "ledger"),
                make_route("keep", "non_idempotent", "archive", max_attempts=1),
            ],
        )
        configuration["limits"] = self.options.get("limits") or {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        await self._start_engines(born, configuration)
        await self.store.put("op/config", configuration)
        control = {"bed": self}
        self._listen(
            [
                (r"/kv-watch", _Watch, {"store": self.store, "faults": self.faults, "bed": self}),
                *make_store_routes(self.store, self.faults),
                (r"/standin/put", _Put, control),
                (r"/standin/faults", _SetFaults, control),
                (r"/standin/spoil", _Spoil, control),
                (r"/standin/exit", _Exit, control),
                (r"/standin/state", _State, control),
            ],
            ports[0],
        )
        if "second_port" in self.options:
            options = {"store": self.store, "faults": self.second_faults}
            self._listen(
                [
                    (r"/kv-watch", _Watch, {**options, "bed": self}),
                    *make_store_routes(self.store, self.second_faults),
                ],
                self.options["second_port"],
            )
        await self._forget_history()

    async def _forget_history(self) -> None:
        """Drop the changes that are older than the store's history."""
        seen: dict[int, float] = {}
        while True:
            now = time.monotonic()
            for event in list(self.store.history):
                if now - seen.setdefault(event["revision"], now) > HISTORY_S:
                    self.store.history.remove(event)
                    self.forgotten_revision = max(self.forgotten_revision, event["revision"])
            await asyncio.sleep(0.2)

    async def _start_engines(self, born: int, configuration: dict[str, Any]) -> None:
        """Start the model runners of the options, each at an address of its own, and the origin."""
        addresses = self.options.get("engines", [])
        if not addresses:
            return
        origin_port = self.options["origin_port"]
        options = {"sent": Counter(), "faults": Faults(seed=0), "bed": self}
        self._listen([(r"/(manifest|piece)/(.*)", _Origin, options)], origin_port)
        configuration["services"] += [
            {
                "name": "model",
                "max_connections": 434,
                "engine": {**ENGINE, **self.options.get("engine", {})},
            },
            {
                "name": "weights",
                "origin": f"127.0.0.1:{origin_port}",
                "zone": "trakia-z1",
                "link_mbps": 15.0,
                "max_connections": 48,
            },
        ]
        configuration["routes"].append(
            make_route(
                "note",
                "streaming",
                "model",
                timeout_ms=self.options.get("timeout_ms", 6000),
                target_latency_ms=400,
                gap_target_ms=400,
                session_affinity=True,
                stream_resume=True,
            )
        )
        for number, (ip, port) in enumerate(addresses):
            runner = PlatformRunner(instance=f"m-{number}", started_ms=born, model=MODEL)
            runner.events_by_path.update(self.options.get("events_by_path", {}))
            faults = Faults(seed=100 + number)
            self.runners.append(runner)
            self.runner_faults.append(faults)
            paths = self.paths_by_instance[runner.instance] = {}
            self._listen(_make_noting_routes(runner, faults, paths), port, ip)
            await self._write_entry(runner, f"{ip}:{port}", 1)
            self._tasks.append(asyncio.create_task(self._beat(runner, f"{ip}:{port}")))

    async def _beat(self, runner: PlatformRunner, address: str) -> None:
        sequence = 1
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            await self._write_entry(runner, address, sequence)

    async def _write_entry(self, runner: PlatformRunner, address: str, sequence: int) -> None:
        model = {"name": runner.model, "version": runner.version, "adapters": []}
        await self.store.put(
            f"servers/{runner.instance}",
            {
                "service": "model",
                "address": address,
                "zone": "trakia-z1",
                "version": "1",
                "slots": ENGINE["slots"],
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": runner.started_ms,
                "stage": "both",
                "models": [model] if runner.version else [],
            },
        )

    def _listen(
        self, routes: list[Any], port: int, ip: str = "127.0.0.1", *, is_runner: bool = False
    ) -> None:
        idle_s = self.options.get("idle_timeout_s", 3600.0) if is_runner else 3600.0
        server = _CappedServer(tornado.web.Application(routes), idle_connection_timeout=idle_s)
        server.listen(port, ip)
        if is_runner:
            server.max_connections = self.options.get("max_connections", 0)
            self.servers.append(server)


if __name__ == "__main__":
    asyncio.run(_Stand(json.loads(sys.argv[1])).run())
