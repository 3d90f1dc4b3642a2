"""Guards processes against callers that hold descriptors or memory and make no progress.

Numbers of clients and bounds were fixed before the limits were built; they do not depend on the
speed of the machine. The process under test gets its descriptor limit and its memory as resource
limits.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from bench.soak_site import (
    CALLER_PORT,
    KEY,
    PEER_PORT,
    READY_PORT,
    RELAYED_PEER_PORT,
    STATE_PORT,
    Host,
    Site,
)
from sycamoreproxy.route_table import CallerBounds
from tools.launch import Deployment, UpstreamSpec, example_key

pytestmark = pytest.mark.process

#: Descriptor limit of the process under test, and the connections that it must keep below it.
MAX_FDS = 300
MAX_OPEN_FDS = 290
#: Callers that stall, where descriptors are scarce.
STALLED_CALLERS = 400
#: Memory of a small machine, enforced by the kernel, and the largest resident size, in MB.
MEMORY_MB = 128
MAX_RESIDENT_MB = 104
#: Memory of the machine of the model API's entry host, and the largest resident size, in MB.
MODEL_MEMORY_MB = 200
MODEL_MAX_RESIDENT_MB = 160
#: A caller gives up a connection or a part of its body after this time, in seconds.
SEND_TIMEOUT_S = 5.0
#: An ordinary caller gives up after this time, in seconds. It only ends a failed test.
PATIENCE_S = 15.0
READY_S = 60.0

_LIMITED = """
import os, resource, sys
for name, value in zip(("RLIMIT_NOFILE", "RLIMIT_DATA"), map(int, sys.argv[1:3])):
    if value:
        resource.setrlimit(getattr(resource, name), (value, value))
os.execv(sys.argv[3], sys.argv[3:])
"""


def _limit_command(command: list[str], *, max_fds: int, memory_mb: int) -> list[str]:
    """Return a command that runs another one with resource limits; 0 leaves a limit unchanged."""
    return [sys.executable, "-c", _LIMITED, str(max_fds), str(memory_mb << 20), *command]


@dataclass(slots=True, kw_only=True)
class Target:
    """A running process and how its callers reach it.

    :param send_ordinary: sends one ordinary request and returns its status.
    """

    pid: int
    ip: str
    ports: dict[str, int]
    head: str
    send_ordinary: Callable[[], asyncio.Future[int]]
    peak_fds: int = 0
    clients: list[socket.socket] = field(default_factory=list)

    @property
    def peak_resident_mb(self) -> float:
        """Largest resident size since the start, in MB."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match is not None
        return int(match[1]) / 1024

    def count_fds(self) -> int:
        """Return the number of open descriptors, and record the largest."""
        count = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.peak_fds = max(self.peak_fds, count)
        return count

    async def flood(self, count: int, parts: list[bytes], *, port: str = "callers") -> None:
        """Open connections that send these parts, one round of all after another, and stay open."""
        loop = asyncio.get_running_loop()

        async def connect(client: socket.socket) -> None:
            client.setblocking(False)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await loop.sock_connect(client, (self.ip, self.ports[port]))

        async def send(client: socket.socket, part: bytes) -> None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await loop.sock_sendall(client, part)

        clients = [socket.socket() for _ in range(count)]
        self.clients += clients
        for start in range(0, count, 100):
            await asyncio.gather(*(connect(client) for client in clients[start : start + 100]))
            self.count_fds()
        for part in parts:
            for start in range(0, count, 100):
                await asyncio.gather(*(send(c, part) for c in clients[start : start + 100]))
                self.count_fds()
        for _ in range(10):
            await asyncio.sleep(0.1)
            self.count_fds()

    def make_upload(self, size: int, *, missing: int, is_chunked: bool, pieces: int) -> list[bytes]:
        """Return the parts of a request whose body lacks its last bytes."""
        body = b"x" * size
        if is_chunked:
            length = "Transfer-Encoding: chunked"
            step = 4096
            chunks = [body[at : at + step] for at in range(0, size, step)]
            framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
            data = (framed + b"0\r\n\r\n")[: -missing - 7]
        else:
            length = f"Content-Length: {size}"
            data = body[: size - missing]
        whole = f"{self.head}{length}\r\n\r\n".encode() + data
        step = -(-len(whole) // pieces)
        return [whole[at : at + step] for at in range(0, len(whole), step)]

    async def close_clients(self) -> None:
        """Close the connections that were opened."""
        for client in self.clients:
            client.close()
        self.clients.clear()


async def _request(ip: str, port: int, data: bytes) -> int:
    """Send one request on a connection of its own; return its status, 0 without an answer."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(data)
                line = await reader.readuntil(b"\r\n")
                return int(line.split()[1])
            finally:
                writer.close()
    return 0


class _LimitedSite(Site):
    """A routed deployment whose processes have resource limits and are started once."""

    def __init__(self, *, directory: Path, engines: int, max_fds: int, memory_mb: int) -> None:
        super().__init__(directory=directory, entries=1, engines=engines)
        self._limits = (max_fds, memory_mb)

    async def configure(self) -> int:
        """Put a configuration into force with the default limit of bodies."""
        await super().configure()
        self.config_version += 1
        value = json.loads(base64.b64decode(self.store.items_by_key["op/config"]["value"]))
        value["version"] = self.config_version
        value["limits"]["max_body_bytes"] = CallerBounds().max_body_bytes
        await self.store.put("op/config", value)
        return self.config_version

    async def _supervise(self, host: Host) -> None:
        max_fds, memory_mb = self._limits
        command = [sys.executable, "-m", "sycamoreproxy.daemon", "--config", str(host.settings)]
        with host.log.open("ab") as output:
            host.process = await asyncio.create_subprocess_exec(
                *_limit_command(command, max_fds=max_fds, memory_mb=memory_mb),
                stdout=output,
                stderr=output,
            )
        host.handle = os.pidfd_open(host.process.pid)
        host.lifetime = 1
        await host.process.wait()


@asynccontextmanager
async def _routed_entry(
    directory: Path, *, max_fds: int = 0, memory_mb: int = 0
) -> AsyncIterator[Target]:
    """Run a routed entry host."""
    site = _LimitedSite(directory=directory, engines=0, max_fds=max_fds, memory_mb=memory_mb)
    await site.start()
    try:
        host = site.entries[0]
        assert await site.wait_ready(host, within_s=READY_S), host.log.read_text()
        assert host.process is not None
        head = (
            f"POST /read/x HTTP/1.1\r\nHost: office.example\r\nX-Api-Key: {KEY}\r\n"
            "Sycamoreproxy-Deadline-Ms: 2000\r\n"
        )
        ordinary = f"{head}Content-Length: 6\r\n\r\nprompt".encode()
        target = Target(
            pid=host.process.pid,
            ip=host.ip,
            ports={
                "callers": CALLER_PORT,
                "ready": READY_PORT,
                "state": STATE_PORT,
            },
            head=head,
            send_ordinary=lambda: asyncio.ensure_future(_request(host.ip, CALLER_PORT, ordinary)),
        )
        await _await_answer(target)
        yield target
        await target.close_clients()
        assert host.process.returncode is None, host.log.read_text()[-4000:]
    finally:
        await site.close()


@asynccontextmanager
async def _routed_sidecar(directory: Path, *, max_fds: int) -> AsyncIterator[Target]:
    """Run the sidecar process of a routed deployment; its ordinary requests are for its state."""
    site = _LimitedSite(directory=directory, engines=1, max_fds=max_fds, memory_mb=0)
    await site.start()
    try:
        host = site.engine_hosts[0]
        data = b"GET /dump HTTP/1.1\r\nHost: state\r\n\r\n"
        while host.process is None:
            await asyncio.sleep(0.05)
        target = Target(
            pid=host.process.pid,
            ip=host.ip,
            ports={"state": STATE_PORT, "peer": PEER_PORT, "relayed peer": RELAYED_PEER_PORT},
            head="",
            send_ordinary=lambda: asyncio.ensure_future(_request(host.ip, STATE_PORT, data)),
        )
        await _await_answer(target)
        yield target
        await target.close_clients()
        assert host.process.returncode is None, host.log.read_text()[-4000:]
    finally:
        await site.close()


@asynccontextmanager
async def _model_entry(
    directory: Path, *, max_fds: int = 0, memory_mb: int = 0
) -> AsyncIterator[Target]:
    """Run an entry host of the model API before one service."""
    deployment = Deployment(
        directory=directory,
        upstreams=(UpstreamSpec(kind="service", name="ledger", count=1),),
        entries=1,
        client_accounts=[{"name": "kiosk", "ranks": ["urgent"]}],
    )
    process = deployment.prepare()["zone-a-entry-1"]
    process.command = _limit_command(process.command, max_fds=max_fds, memory_mb=memory_mb)
    await asyncio.to_thread(deployment.start)
    try:
        head = (
            "POST /services/ledger/deposits HTTP/1.1\r\nHost: ledger\r\n"
            f"Authorization: Bearer {example_key('kiosk')}\r\n"
        )
        body = json.dumps({"sum": 1}).encode()
        ordinary = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        target = Target(
            pid=process.pid,
            ip="127.0.0.1",
            ports={
                "callers": process.ports["caller"],
                "admin": process.ports["admin"],
                "peer": process.ports["peer"],
            },
            head=head,
            send_ordinary=lambda: asyncio.ensure_future(
                _request("127.0.0.1", process.ports["caller"], ordinary)
            ),
        )
        await _await_answer(target)
        yield target
        await target.close_clients()
        assert process.is_running, process.log.read_text()[-4000:]
    finally:
        await asyncio.to_thread(deployment.stop)


async def _await_answer(target: Target) -> None:
    """Wait until an ordinary request is answered while nothing else goes on."""
    async with asyncio.timeout(READY_S):
        while await target.send_ordinary() != 200:
            await asyncio.sleep(0.1)


@pytest.mark.parametrize(
    ("is_chunked", "pieces"),
    [(False, 1), (True, 1), (True, 4)],
    ids=["length", "chunked", "chunked-in-pieces"],
)
def test_routed_entry_at_its_descriptor_limit_answers_ordinary_callers(
    tmp_path: Path, is_chunked: bool, pieces: int
) -> None:
    """Uploads that stopped short of their end kept all descriptors until they ended themselves."""

    async def run() -> None:
        async with _routed_entry(tmp_path, max_fds=MAX_FDS) as target:
            upload = target.make_upload(16 * 1024, missing=20, is_chunked=is_chunked, pieces=pieces)
            await target.flood(STALLED_CALLERS, upload)
            assert await target.send_ordinary() == 200
            target.count_fds()
            assert target.peak_fds <= MAX_OPEN_FDS

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent", [b"", b"POST /read/x HTTP/1.1\r\nHost: office.example\r\nX-A"], ids=["nothing", "head"]
)
def test_routed_entry_does_not_keep_descriptors_for_heads_that_never_end(
    tmp_path: Path, sent: bytes
) -> None:
    """Connections without a whole head kept all descriptors for the idle limit."""

    async def run() -> None:
        async with _routed_entry(tmp_path, max_fds=MAX_FDS) as target:
            await target.flood(STALLED_CALLERS, [sent] if sent else [])
            assert await target.send_ordinary() == 200
            target.count_fds()
            assert target.peak_fds <= MAX_OPEN_FDS

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["entry", "model"])
def test_callers_that_never_read_do_not_keep_descriptors(tmp_path: Path, kind: str) -> None:
    """Connections of callers that send a whole request and read nothing were kept as idle ones."""

    async def run() -> None:
        start = _routed_entry if kind == "entry" else _model_entry
        async with start(tmp_path, max_fds=MAX_FDS) as target:
            request = target.make_upload(1024, missing=0, is_chunked=False, pieces=1)
            await target.flood(STALLED_CALLERS, request)
            assert await target.send_ordinary() == 200
            target.count_fds()
            assert target.peak_fds <= MAX_OPEN_FDS

    asyncio.run(run())


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
def test_routed_entry_stays_within_the_memory_of_its_machine(
    tmp_path: Path, is_chunked: bool
) -> None:
    """What bodies may hold did not depend on the machine, and each could hold 16 KiB more."""

    async def run() -> None:
        async with _routed_entry(tmp_path, memory_mb=MEMORY_MB) as target:
            large = target.make_upload(1 << 20, missing=20, is_chunked=is_chunked, pieces=4)
            small = target.make_upload(16 * 1024, missing=20, is_chunked=is_chunked, pieces=1)
            await target.flood(100, large)
            await target.flood(2000, small)
            assert await target.send_ordinary() == 200
            assert target.peak_resident_mb <= MAX_RESIDENT_MB

    asyncio.run(run())


@pytest.mark.parametrize(
    ("is_chunked", "pieces"), [(False, 1), (True, 3)], ids=["length", "chunked-in-pieces"]
)
def test_model_entry_stays_within_the_memory_of_its_machine(
    tmp_path: Path, is_chunked: bool, pieces: int
) -> None:
    """Bodies could hold 256 MiB whatever memory the machine has."""

    async def run() -> None:
        async with _model_entry(tmp_path, memory_mb=MODEL_MEMORY_MB) as target:
            upload = target.make_upload(900_000, missing=1, is_chunked=is_chunked, pieces=pieces)
            await target.flood(400, upload)
            assert await target.send_ordinary() == 200
            assert target.peak_resident_mb <= MODEL_MAX_RESIDENT_MB

    asyncio.run(run())


def test_model_entry_at_its_descriptor_limit_answers_ordinary_callers(tmp_path: Path) -> None:
    """The limit on connections did not depend on the descriptor limit of the process."""

    async def run() -> None:
        async with _model_entry(tmp_path, max_fds=MAX_FDS) as target:
            upload = target.make_upload(16 * 1024, missing=20, is_chunked=False, pieces=1)
            await target.flood(STALLED_CALLERS, upload)
            assert await target.send_ordinary() == 200
            target.count_fds()
            assert target.peak_fds <= MAX_OPEN_FDS

    asyncio.run(run())


@pytest.mark.parametrize(
    ("kind", "port"),
    [("entry", "state"), ("entry", "ready"), ("model", "admin"), ("model", "peer")],
    ids=lambda value: value,
)
def test_connections_to_other_listeners_leave_descriptors_for_callers(
    tmp_path: Path, kind: str, port: str
) -> None:
    """Idle connections to any listener took the descriptors that callers need."""

    async def run() -> None:
        start = _routed_entry if kind == "entry" else _model_entry
        async with start(tmp_path, max_fds=MAX_FDS) as target:
            await target.flood(STALLED_CALLERS, [], port=port)
            assert await target.send_ordinary() == 200
            target.count_fds()
            assert target.peak_fds <= MAX_OPEN_FDS

    asyncio.run(run())


def test_sidecar_process_answers_while_streams_that_say_nothing_are_open(tmp_path: Path) -> None:
    """Idle connections to the port of the streams took the descriptors of the sidecar process."""

    async def run() -> None:
        async with _routed_sidecar(tmp_path, max_fds=MAX_FDS) as target:
            await target.flood(STALLED_CALLERS, [], port="peer")
            assert await target.send_ordinary() == 200
            target.count_fds()
            assert target.peak_fds <= MAX_OPEN_FDS

    asyncio.run(run())


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
def test_single_body_inside_the_limits_is_served_by_a_small_routed_entry(
    tmp_path: Path, is_chunked: bool
) -> None:
    """Limits that follow the machine must not refuse the largest body while nothing else goes on."""

    async def run() -> None:
        async with _routed_entry(tmp_path, max_fds=MAX_FDS, memory_mb=MEMORY_MB) as target:
            parts = target.make_upload(4_194_304, missing=0, is_chunked=is_chunked, pieces=1)
            end = b"\r\n0\r\n\r\n" if is_chunked else b""
            assert await _request(target.ip, CALLER_PORT, b"".join(parts) + end) == 200

    asyncio.run(run())


def test_single_body_inside_the_limits_is_served_by_a_small_model_entry(tmp_path: Path) -> None:
    """Limits that follow the machine must not refuse the largest body while nothing else goes on."""

    async def run() -> None:
        async with _model_entry(tmp_path, max_fds=MAX_FDS, memory_mb=MODEL_MEMORY_MB) as target:
            parts = target.make_upload(1_000_000, missing=0, is_chunked=False, pieces=1)
            status = await _request(target.ip, target.ports["callers"], b"".join(parts))
            assert status == 200

    asyncio.run(run())
