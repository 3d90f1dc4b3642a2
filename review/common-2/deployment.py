"""A small deployment on loopback: the project's processes, and stand-ins for the platform.

The processes run with the command of ``deploy/system.toml``. Their settings are those that the
platform renders from ``deploy/*.toml.template`` with the bounds of the site ``darenie-plovdiv``.
Every host has an address of its own below 127.0.0.0/8, so that ports are the same on all hosts.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import tornado.web
from tornado.httpserver import HTTPServer

from standins._server import Faults
from standins.platform import (
    CHUNK_BYTES,
    CHUNKS,
    PlatformRunner,
    PlatformStore,
    make_configuration,
    make_origin_routes,
    make_route,
    make_runner_routes,
    make_store_routes,
)

ROOT = Path(__file__).resolve().parents[2]
CALLER_PORT, READY_PORT, STORE_PORT, ORIGIN_PORT, RUNNER_PORT = 8005, 8002, 8007, 8390, 8380
PEER_PORT, STATE_PORT = 7700, 7701
MODEL, KEY, HOST = "m1", "office-key", "office.example"
ZONES = {"z1": "r1", "z2": "r2"}
ENGINE_SLOTS = 4
ENGINE = {
    "slots": ENGINE_SLOTS,
    "step_ms": 1.0,
    "read_per_s": 100_000.0,
    "stride": 5,
    "usual": {"prompt": 100, "answer": 20},
    "models": [{"name": MODEL}],
    "chunks": CHUNKS,
    "chunk_bytes": CHUNK_BYTES,
}

_SETTINGS = """
[process]
role = "{role}"
host = "{host}"
availability_zone = "{zone}"
region = "{region}"

[listen]
ip = "{ip}"
{callers}peer_port = {peer_port}
state_port = {state_port}

[store]
address = "{store}"

[machine]
memory_mb = 300
max_fds = 4100

[bounds]
leave_ms = 2000
stop_s = 8
resend_ratio = 0.2
resend_slack = 104
resend_window_s = 10
version_ms = 8000

{engine}
[zones]
z1 = "r1"
z2 = "r2"
"""


def trouble() -> bool:
    """Return whether the run has the disruption (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt``: time since the start in seconds, and what happened."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, also to standard output."""
        self.write(text)
        print(text, flush=True)


class Process:
    """One process of the project; ends with the site."""

    def __init__(self, *, ip: str, settings: Path, log: Path) -> None:
        self.ip = ip
        self.log = log
        role = "entry" if "routed-entry" in settings.read_text(encoding="utf-8") else "upstream"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        words = shlex.split(deploy["roles"][role]["run"])
        words = [sys.executable if word == "python3" else word for word in words]
        self._words = [str(settings) if word.endswith("local.toml") else word for word in words]
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deps = f"{ROOT / 'target/deps'}{os.pathsep}{ROOT}"
        environment = {"PATH": os.environ["PATH"], "LANG": "C.UTF-8", "PYTHONPATH": deps}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                self._words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()


class Runner:
    """A runner of the platform's stand-in and the value of its entry in the store."""

    def __init__(self, *, service: str, zone: str, ip: str, instance: str, slots: int) -> None:
        self.service = service
        self.zone = zone
        self.ip = ip
        self.faults = Faults(seed=1)
        self.runner = PlatformRunner(
            instance, slots=slots, started_ms=int(time.time() * 1000) - 60_000
        )
        self.state = "ready"

    @property
    def key(self) -> str:
        """Key of its entry."""
        return f"servers/{self.runner.instance}"

    def entry(self) -> dict[str, Any]:
        """Return what it writes of itself."""
        value = {
            "service": self.service,
            "address": f"{self.ip}:{RUNNER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.runner.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.runner.orders,
            "born": self.runner.started_ms,
        }
        if self.service == "model":
            held = [{"name": MODEL, "version": self.runner.version, "adapters": []}]
            value.update(stage="both", models=held if self.runner.version else [])
        return value


class Site:
    """Store, origin, runners and processes of one run."""

    def __init__(self, directory: Path, *, entries: int, engines: int, ledgers: int) -> None:
        self._directory = directory
        self._counts = (entries, engines, ledgers)
        self._octet = self._find_octet()
        self.store = PlatformStore()
        self.store_faults = Faults(seed=1)
        self.origin_faults = Faults(seed=1)
        self.entries: list[Process] = []
        self.sidecars: list[Process] = []
        self.engines: list[Runner] = []
        self.ledgers: list[Runner] = []
        self.config_version = 0
        #: What the configuration says of the engines.
        self.engine_profile: dict[str, Any] = ENGINE
        self._servers: list[HTTPServer] = []
        self._beats: asyncio.Task[None] | None = None
        #: Set after each round of the runners' heartbeats.
        self.beat_done = asyncio.Event()

    def _find_octet(self) -> int:
        first = os.getpid()
        for number in range(first, first + 200):
            octet = 20 + number % 200
            try:
                for port in (STORE_PORT, CALLER_PORT, RUNNER_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"127.{octet}.9.1", port))
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                continue
            return octet
        raise OSError(errno.EADDRINUSE, "no free range of addresses")

    def ip(self, group: int, number: int) -> str:
        """Return a loopback address."""
        return f"127.{self._octet}.{group}.{number}"

    def origin_routes(self) -> list[Any]:
        """Return the routes of the origin of weights."""
        return make_origin_routes(Counter(), self.origin_faults)

    def runner_routes(self, runner: Runner) -> list[Any]:
        """Return the routes of a runner."""
        return make_runner_routes(runner.runner, runner.faults)

    async def start(self, *, within_s: float = 20.0) -> None:
        """Start everything; return when all entry hosts are ready.

        :raises TimeoutError: if one is not in time.
        """
        store = make_store_routes(self.store, self.store_faults)
        self.serve(store, self.ip(9, 1), STORE_PORT)
        self.serve(self.origin_routes(), self.ip(9, 2), ORIGIN_PORT)
        entries, engines, ledgers = self._counts
        zones = list(ZONES)
        for number in range(1, engines + 1):
            zone = zones[number % len(zones)]
            self.engines.append(
                self._add_runner(
                    "model", zone, self.ip(2, number), int(self.engine_profile["slots"])
                )
            )
        for number in range(1, ledgers + 1):
            zone = zones[number % len(zones)]
            self.ledgers.append(self._add_runner("ledger", zone, self.ip(3, number), 6))
        for runner in (*self.engines, *self.ledgers):
            await self.store.put(runner.key, runner.entry())
        await self.configure()
        for number in range(1, entries + 1):
            self.entries.append(self._add_entry(number, zones[number % len(zones)]))
        for number in range(1, engines + 1):
            self.sidecars.append(self._add_sidecar(number, zones[number % len(zones)]))
        for process in (*self.entries, *self.sidecars):
            process.start()
        self._beats = asyncio.create_task(self._beat())
        async with asyncio.timeout(within_s):
            for process in self.entries:
                while not await is_ready(process.ip):
                    await asyncio.sleep(0.1)
        # Streams between the processes and the first load reports.
        await asyncio.sleep(2.0)

    async def close(self) -> None:
        """End all processes that were started here, and the stand-ins."""
        if self._beats is not None:
            self._beats.cancel()
        for process in (*self.entries, *self.sidecars):
            process.end()
        for server in self._servers:
            server.stop()

    def serve(self, routes: list[Any], ip: str, port: int) -> HTTPServer:
        """Serve routes at an address."""
        application = tornado.web.Application(routes, log_function=lambda handler: None)
        server = HTTPServer(application, max_body_size=8 << 20)
        server.listen(port, ip)
        self._servers.append(server)
        return server

    def routes(self) -> list[dict[str, Any]]:
        """Return the routes of the configuration."""
        return [
            make_route(
                "ask",
                "streaming",
                "model",
                session_affinity=True,
                stream_resume=True,
                timeout_ms=6000,
                gap_target_ms=400,
            ),
            make_route("read", "idempotent", "ledger", timeout_ms=1000),
            make_route("post", "non_idempotent", "ledger", timeout_ms=1000, max_attempts=1),
        ]

    async def configure(self) -> None:
        """Write the next version of the configuration."""
        self.config_version += 1
        origin = f"{self.ip(9, 2)}:{ORIGIN_PORT}"
        services: list[dict[str, Any]] = [
            {"name": "model", "max_connections": 434, "engine": self.engine_profile},
            {"name": "ledger", "max_connections": 110},
            {"name": "weights", "max_connections": 48, "origin": origin},
        ]
        value = make_configuration(self.config_version, services=services, routes=self.routes())
        value["limits"]["max_body_bytes"] = 4_194_304
        await self.store.put("op/config", value)

    async def write_entry(self, runner: Runner) -> None:
        """Write a runner's entry if it has changed, as the runner does."""
        item = self.store.items_by_key.get(runner.key)
        if item is None or item["value"] != encode(runner.entry()):
            await self.store.put(runner.key, runner.entry())

    def is_listed(self, runner: Runner) -> bool:
        """Return whether a runner still writes its entry."""
        return runner.state != "gone"

    async def _beat(self) -> None:
        """Write the entries of all runners every 1.2 s (``heartbeat_ms``)."""
        while True:
            await asyncio.sleep(1.2)
            for runner in (*self.engines, *self.ledgers):
                if self.is_listed(runner):
                    await self.write_entry(runner)
            self.beat_done.set()

    def _add_runner(self, service: str, zone: str, ip: str, slots: int) -> Runner:
        name = f"i-{service}{len(self.engines) + len(self.ledgers) + 1}"
        runner = Runner(service=service, zone=zone, ip=ip, instance=name, slots=slots)
        self.serve(self.runner_routes(runner), ip, RUNNER_PORT)
        return runner

    def _add_entry(self, number: int, zone: str) -> Process:
        ip = self.ip(1, number)
        callers = f'callers = "{ip}:{CALLER_PORT}"\nready = "{ip}:{READY_PORT}"\n'
        return self._add_process(f"edge-{number}", ip, zone, "routed-entry", callers, "")

    def _add_sidecar(self, number: int, zone: str) -> Process:
        ip = self.ip(2, number)
        engine = f'[engine]\naddress = "{ip}:{RUNNER_PORT}"\nlink_mbps = 9.4\n'
        return self._add_process(f"side-{number}", ip, zone, "routed-upstream", "", engine)

    def _add_process(
        self, name: str, ip: str, zone: str, role: str, callers: str, engine: str
    ) -> Process:
        settings = self._directory / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                role=role,
                host=name,
                zone=zone,
                region=ZONES[zone],
                ip=ip,
                callers=callers,
                peer_port=PEER_PORT,
                state_port=STATE_PORT,
                store=f"{self.ip(9, 1)}:{STORE_PORT}",
                engine=engine,
            ),
            encoding="utf-8",
        )
        return Process(ip=ip, settings=settings, log=self._directory / f"{name}.log")


def encode(value: Any) -> str:
    """Return a JSON value as the store's text of it."""
    import base64
    import json

    return base64.b64encode(json.dumps(value).encode()).decode()


async def is_ready(ip: str) -> bool:
    """Return whether an entry host says that it is ready."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(ip, READY_PORT)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        line = await reader.readuntil(b"\r\n")
        writer.close()
        return b" 200 " in line
    return False


class Answer:
    """What a caller got: status (0 without an answer), headers in lower case, body, and the end."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.sent_at = time.monotonic()
        self.ended_at = 0.0

    @property
    def is_good(self) -> bool:
        """Whether it is a complete success of a runner."""
        return (
            200 <= self.status < 300
            and self.is_whole
            and "sycamoreproxy-response-signature" in self.headers
        )

    def describe(self) -> str:
        """Return one line."""
        took_ms = round((self.ended_at - self.sent_at) * 1000)
        return f"{self.status or 'no answer'} whole={self.is_whole} took {took_ms} ms"


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    answer.status = int(head[0].split()[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    elif answer.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    answer.is_whole = True


async def call(
    ip: str,
    *,
    request_id: str,
    target: str,
    method: str = "POST",
    deadline_s: float = 1.0,
    headers: dict[str, str] | None = None,
    body: bytes = b"x",
) -> Answer:
    """Send one request on a new channel and return its answer."""
    lines = {
        "Host": HOST,
        "Sycamoreproxy-Request-Id": request_id,
        "Sycamoreproxy-Deadline-Ms": str(int(deadline_s * 1000)),
        "X-Api-Key": KEY,
        **(headers or {}),
    }
    if body or method == "POST":
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


def generation(prompt: int | str = 100, answer: int = 25) -> dict[str, str]:
    """Return the headers of a request to a model."""
    return {"Sycamoreproxy-Model": MODEL, "Sycamoreproxy-Token-Count": f"{prompt},{answer}"}


def run_case(case: Any) -> None:
    """Run ``case(site_directory, record)`` and exit with its status; 2 for an error.

    :param case: coroutine function that returns whether the rule was broken.
    """
    import tempfile
    import traceback

    # A run that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(Path(sys.argv[1]) / "record.txt")
    record.say(f"disruption: {'yes' if trouble() else 'no'}")
    status = 2
    with tempfile.TemporaryDirectory() as directory:
        try:
            is_broken = asyncio.run(case(Path(directory), record))
            status = 1 if is_broken else 0
        except BaseException:
            record.write(traceback.format_exc())
            traceback.print_exc()
    record.say(["the rule held", "the rule was broken", "the case could not run"][status])
    sys.exit(status)
