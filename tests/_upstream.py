"""An upstream process with a stand-in engine or service in one event loop, for tests."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import tornado.httpserver
import tornado.web
from tornado.testing import bind_unused_port

from standins import engine as engine_standin
from standins import service as service_standin
from standins._engine_model import EngineTiming
from standins._server import Faults
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.engines import OpenAiEngine
from sycamoreproxy.messages import (
    Finish,
    Hello,
    Output,
    Refuse,
    ResponseHead,
    Started,
    Status,
    Submit,
)
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.services import HttpService
from sycamoreproxy.settings import UpstreamSettings
from sycamoreproxy.streams import Address, MessageServer
from sycamoreproxy.upstream_role import UpstreamRole

MESSAGES = (Finish, Output, Refuse, ResponseHead, Started)


@dataclass(frozen=True)
class Row:
    """Weight and share of a row."""

    weight: float = 1.0
    share: float = 0.0


class ShiftedClock(SystemClock):
    """The system's clock with a shift that a test sets."""

    def __init__(self) -> None:
        self.shift_s = 0.0

    def monotonic(self) -> float:
        """Return the shifted time in seconds."""
        return super().monotonic() + self.shift_s


class FixedView:
    """A table view with fixed rows."""

    def __init__(self, *, rows: dict[tuple[str, str], Row] | None = None) -> None:
        self.revision = 1
        self.digest = "d"
        self.rows_by_key = rows or {}

    def resolve(self, model: str, client_account: str, rank: str) -> Row:
        """Return the row of an account."""
        return self.rows_by_key.get((client_account, rank), Row())

    def rank_policy(self, model: str, rank: str) -> Row:
        """Return the row of a rank."""
        return self.rows_by_key.get(("*", rank), Row())


class Deployment:
    """The parts of one running upstream process and the entry side of its stream."""

    def __init__(self, *, port: int, faults: Faults, role: UpstreamRole, entry: PeerHub) -> None:
        self.port = port
        self.faults = faults
        self.role = role
        self.entry = entry
        self.engine: Any = None
        self.hub: PeerHub
        self.clock = ShiftedClock()
        self.runs: Counter[Any] = Counter()
        self.address: Address | None = None
        self.received: dict[str, list[Any]] = {}
        self.statuses: list[Status] = []
        self._ends: dict[str, asyncio.Event] = {}

    def record(self, peer: Peer, message: Any) -> None:
        """Keep a message by its attempt."""
        self.received.setdefault(message.attempt_id, []).append(message)
        if isinstance(message, Finish | Refuse):
            self._ends.setdefault(message.attempt_id, asyncio.Event()).set()

    @property
    def peer(self) -> Peer:
        """The entry's stream to the upstream process."""
        (peer,) = self.entry.peers
        return peer

    def submit(self, attempt_id: str, body: bytes, **fields: Any) -> None:
        """Send an attempt."""
        values: dict[str, Any] = {
            "kind": "engine",
            "name": "m",
            "client_account": "a",
            "rank": "urgent",
            "time_left_ms": 60_000,
            "method": "POST",
            "path": "/v1/completions",
            "headers": (("Content-Type", "application/json"),),
            "idempotent": True,
            "estimated_tokens": 8,
            "stream": b'"stream":true' in body,
        }
        self.peer.send(Submit(attempt_id=attempt_id, body=body, **{**values, **fields}))

    async def wait_end(self, attempt_id: str) -> Finish | Refuse:
        """Wait for the end of an attempt."""
        event = self._ends.setdefault(attempt_id, asyncio.Event())
        await asyncio.wait_for(event.wait(), 8)
        return self.received[attempt_id][-1]

    def read_data(self, attempt_id: str) -> bytes:
        """Return the outputs of an attempt in sequence."""
        outputs = [item for item in self.received[attempt_id] if isinstance(item, Output)]
        assert [item.sequence for item in outputs] == list(range(len(outputs)))
        return b"".join(item.data for item in outputs)


async def wait_until(condition: Any) -> None:
    """Wait until a condition holds, at most 30 s."""
    async with asyncio.timeout(8):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def run_deployment(
    *,
    kind: str = "engine",
    version: str = "v1",
    slots: int = 4,
    window: int = 2,
    token_ms: float = 2,
) -> AsyncIterator[Deployment]:
    """Run stand-in, upstream process and one entry-side stream."""
    faults = Faults(seed=1)
    engine = engine_standin.StandinEngine(
        timing=EngineTiming(slots=slots, token_ms=token_ms),
        faults=faults,
        name="m",
        version="v1",
        digest="d1",
        load_s=0.0,
        report_lag_s=0.0,
        checks_fencing=True,
    )
    runs: Counter[Any] = Counter()
    routes = (
        engine_standin.make_routes(engine)
        if kind == "engine"
        else service_standin.make_routes(runs, faults)
    )
    socket, port = bind_unused_port()
    http = tornado.httpserver.HTTPServer(
        tornado.web.Application(routes, log_function=lambda handler: None)
    )
    http.add_socket(socket)
    clock = ShiftedClock()
    hub = PeerHub(hello=Hello("u", "1", "upstream", "z", "r"), client_tls=None)
    address = f"http://127.0.0.1:{port}"
    role = UpstreamRole(
        hub=hub,
        clock=clock,
        settings=UpstreamSettings(kind=kind, name="m", address=address, window=window),
        view=FixedView,
        engine=OpenAiEngine(address, 2.0) if kind == "engine" else None,
        service=HttpService(address) if kind == "service" else None,
        served_version=lambda: version,
    )
    peer_socket, peer_port = bind_unused_port()
    server = MessageServer(handle=hub.serve, tls=None)
    server.add_socket(peer_socket)
    entry = PeerHub(hello=Hello("e", "2", "entry", "z", "r"), client_tls=None)
    deployment = Deployment(port=port, faults=faults, role=role, entry=entry)
    deployment.engine, deployment.runs, deployment.clock = engine, runs, clock
    deployment.hub = hub
    deployment.address = Address("127.0.0.1", peer_port)
    entry.on(Status, lambda peer, status: deployment.statuses.append(status))
    for message_type in MESSAGES:
        entry.on(message_type, deployment.record)
    entry.set_targets({deployment.address})
    role.start()
    try:
        await wait_until(lambda: entry.peers)
        yield deployment
    finally:
        await role.close()
        await entry.close()
        await hub.close()
        server.stop()
        http.stop()
