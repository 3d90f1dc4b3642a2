"""Tests that no client takes an answer with a malformed head for an answer to its request."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy import result_codes as codes
from sycamoreproxy._admin_client import AdminClient
from sycamoreproxy.document_source import SourceUnavailableError
from sycamoreproxy.engine_control import EngineAnswerLostError, HttpEngineControl, LoadOrder
from sycamoreproxy.engine_stage import OrderOutcome, StagedEngineError
from sycamoreproxy.engines import EngineReportError, OpenAiEngine
from sycamoreproxy.host_list import HostListError, HttpHostList
from sycamoreproxy.origins import HttpRangeOrigin, OriginError
from sycamoreproxy.platform.runner import PlatformOrigin, PlatformRunner
from sycamoreproxy.platform.store import PlatformStore
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.services import HttpService
from sycamoreproxy.store import Entry, StoreAnswerLostError
from sycamoreproxy.store_etcd import EtcdJsonStore
from sycamoreproxy.store_position import make_position
from sycamoreproxy.upstream_answers import UpstreamFailureError, UpstreamRequest
from sycamoreproxy.weights import Manifest, compute_version_digest

#: Status codes outside the range of HTTP (RFC 9110, section 15).
INVALID_STATUSES = [b"000", b"099", b"600", b"999"]
#: Field names that are not tokens (RFC 9110, section 5.1).
INVALID_FIELD_NAMES = [b"X Broken", b"X-Broken ", b"\tX-Broken", b"X\x00Broken", b"X\x7fBroken"]


@dataclass
class ScriptedServer:
    """Answers each connection's request with the next of its answers, the last one repeatedly."""

    answers: list[bytes]
    received: list[bytes] = field(default_factory=list)
    port: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read a request, answer it and close the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: ([0-9]+)", head)
        # A connection that is closed with unread bytes is reset.
        await reader.readexactly(int(length[1]) if length else 0)
        self.received.append(head)
        writer.write(self.answers[min(len(self.received), len(self.answers)) - 1])
        writer.close()


def run_with_server(
    answers: list[bytes], action: Callable[[ScriptedServer], Awaitable[None]]
) -> None:
    """Run an action against a server with these answers."""

    async def run() -> None:
        server = ScriptedServer(answers)
        listener, server.port = bind_unused_port()
        listening = await asyncio.start_server(server.handle, sock=listener)
        try:
            async with asyncio.timeout(10):
                await action(server)
        finally:
            listening.close()

    asyncio.run(run())


def make_answer(status: bytes, body: bytes, fields: bytes = b"") -> bytes:
    """Return an answer with a length."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b" X\r\n" + fields + length + b"\r\n" + body


class _Listener:
    """Records what was relayed."""

    def __init__(self) -> None:
        self.relayed: list[object] = []

    def on_head(self, status: int, headers: object, version: str) -> None:
        self.relayed.append(status)

    def on_output(self, data: bytes, tokens: int) -> None:
        self.relayed.append(data)


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("kind", ["engine", "service"])
def test_response_with_an_invalid_status_is_not_relayed(
    kind: str, idempotent: bool, status: bytes
) -> None:
    """An upstream process relayed its head and its body."""

    async def action(server: ScriptedServer) -> None:
        address = f"http://127.0.0.1:{server.port}"
        listener = _Listener()
        engine, service = OpenAiEngine(address, 2.0), HttpService(address)
        run = engine.generate if kind == "engine" else service.call
        request = UpstreamRequest(
            request_id="a",
            method="POST",
            path="/v1/completions",
            headers=(),
            body=b"{}",
            idempotent=idempotent,
        )
        with pytest.raises(UpstreamFailureError) as raised:
            await run(request, listener)
        engine.close()
        service.close()
        refusal = raised.value.refusal
        assert (refusal.code, refusal.executed) == (codes.UPSTREAM_LOST, Executed.UNKNOWN)
        assert listener.relayed == []
        assert sum(b"/v1/completions" in head for head in server.received) == 1

    run_with_server([make_answer(status, b"{}")], action)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_era_in_a_store_answer_with_an_invalid_status_is_not_taken(status: bytes) -> None:
    """Every later answer counted as one from before a restore of the store."""
    page = b'{"items": [], "has_more": false, "store_revision": 6}'

    async def action(server: ScriptedServer) -> None:
        store = PlatformStore(f"127.0.0.1:{server.port}")
        with pytest.raises(SourceUnavailableError):
            await store.read_all("servers/")
        assert (await store.read_all("servers/")).revision == make_position(1, 6)
        store.close()

    answers = [
        make_answer(status, page, b"Store-Era: 7\r\n"),
        make_answer(b"200", page, b"Store-Era: 1\r\n"),
    ]
    run_with_server(answers, action)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_edit_is_not_reported_as_refused_after_an_answer_with_an_invalid_status(
    status: bytes,
) -> None:
    """The operator was told of a conflict, though the change may have been accepted."""
    error = {"code": 1501, "name": "table_conflict", "message": "", "executed": "no"}

    def commit(port: int) -> dict[str, object]:
        client = AdminClient(addresses=[f"127.0.0.1:{port}"], token="t")
        try:
            return client.commit([])
        finally:
            client.close()

    async def action(server: ScriptedServer) -> None:
        accepted = await asyncio.to_thread(commit, server.port)
        assert accepted["revision"] == 2
        assert b"GET /v1/table/changes/" in server.received[1]

    answers = [
        make_answer(status, json.dumps({"error": error}).encode()),
        make_answer(b"200", b'{"revision": 2, "change_id": "c"}'),
    ]
    run_with_server(answers, action)


CHUNKS = ("0" * 64,)
MANIFEST = Manifest(
    version="m1/2",
    model="m1",
    digest=compute_version_digest(CHUNKS),
    chunk_bytes=4,
    total_bytes=4,
    chunks=CHUNKS,
)
ENTRY = {"key": "L2s=", "value": "dg=="}


@dataclass(frozen=True)
class Reader:
    """A call of a client.

    :param adapter: type of the client.
    :param arguments: its arguments after the address.
    :param read: makes the call and returns a value of its answer.
    :param body: body of the answer.
    :param value: value that a sound answer gives.
    :param error: error that any other answer raises.
    :param status: status of a sound answer.
    """

    adapter: Callable[..., Any]
    arguments: tuple[float, ...]
    read: Callable[[Any], Awaitable[object]]
    body: bytes
    value: object
    error: type[Exception]
    status: bytes = b"200"

    async def call(self, port: int) -> object:
        """Make the call on a new client."""
        scheme = (
            "" if self.adapter in (PlatformStore, PlatformRunner, PlatformOrigin) else "http://"
        )
        client = self.adapter(f"{scheme}127.0.0.1:{port}", *self.arguments)
        try:
            return await self.read(client)
        finally:
            if hasattr(client, "close"):
                client.close()


async def _read_fields(answer: Awaitable[Any], *names: str) -> tuple[object, ...]:
    value = await answer
    return tuple(getattr(value, name) for name in names)


READERS = {
    "store pages": Reader(
        PlatformStore,
        (),
        lambda store: _read_fields(store.read_all("servers/"), "revision"),
        b'{"items": [], "store_revision": 6}',
        (6,),
        SourceUnavailableError,
    ),
    "store watch": Reader(
        PlatformStore,
        (),
        lambda store: _read_fields(store.wait_changes("op/", after=5, wait_s=0.1), "revision"),
        b'{"events": [], "store_revision": 6}',
        (6,),
        SourceUnavailableError,
    ),
    "runner report": Reader(
        PlatformRunner,
        (),
        lambda runner: _read_fields(runner.read_report(), "running", "waiting"),
        b'{"running": 3, "waiting": 1, "kv_used": 0, "kv_total": 1, "busy": false, "sequence": 0,'
        b' "models": []}',
        (3, 1),
        StagedEngineError,
    ),
    "runner order": Reader(
        PlatformRunner,
        (),
        lambda runner: runner.order_load("m1", 2, expected=0),
        b"{}",
        OrderOutcome.BEGUN,
        StagedEngineError,
        status=b"202",
    ),
    "staged chunk": Reader(
        PlatformRunner,
        (),
        lambda runner: runner.get_chunk("m1", 0),
        b"data",
        b"data",
        StagedEngineError,
    ),
    "staging of a chunk": Reader(
        PlatformRunner,
        (),
        lambda runner: runner.put_chunk("m1", 0, b"data"),
        b"",
        None,
        StagedEngineError,
    ),
    "platform manifest": Reader(
        PlatformOrigin,
        (),
        lambda origin: _read_fields(origin.read_manifest("m1/2"), "chunks"),
        b'{"version": 2, "digests": ["d"], "chunk_bytes": 4}',
        (("d",),),
        OriginError,
    ),
    "platform chunk": Reader(
        PlatformOrigin,
        (),
        lambda origin: origin.read_chunk(MANIFEST, 0),
        b"data",
        b"data",
        OriginError,
    ),
    "origin manifest": Reader(
        HttpRangeOrigin,
        (2.0,),
        lambda origin: origin.read_manifest("m1/2"),
        json.dumps(asdict(MANIFEST)).encode(),
        MANIFEST,
        OriginError,
    ),
    "origin chunk": Reader(
        HttpRangeOrigin,
        (2.0,),
        lambda origin: origin.read_chunk(MANIFEST, 0),
        b"data",
        b"data",
        OriginError,
        status=b"206",
    ),
    "load report": Reader(
        OpenAiEngine,
        (2.0,),
        lambda engine: _read_fields(engine.read_report(), "running", "waiting"),
        b'{"running": 3, "waiting": 1}',
        (3, 1),
        EngineReportError,
    ),
    "engine state": Reader(
        HttpEngineControl,
        (2.0, 2.0),
        lambda control: _read_fields(control.read_state(), "version", "fence"),
        b'{"version": "v1", "digest": "d", "fence": 4, "loading": false}',
        ("v1", 4),
        EngineAnswerLostError,
    ),
    "load order": Reader(
        HttpEngineControl,
        (2.0, 2.0),
        lambda control: control.load(LoadOrder("v1", "d", (), (), 4)),
        b'{"version": "v1", "digest": "d"}',
        ("v1", "d"),
        EngineAnswerLostError,
    ),
    "host list": Reader(
        HttpHostList,
        (2.0,),
        lambda hosts: hosts.read(),
        b'{"hosts": []}',
        (),
        HostListError,
    ),
    "etcd store": Reader(
        EtcdJsonStore,
        (2.0,),
        lambda store: _read_fields(store.get("/k"), "value"),
        json.dumps({"kvs": [ENTRY]}).encode(),
        (b"v",),
        StoreAnswerLostError,
    ),
    "etcd watch": Reader(
        EtcdJsonStore,
        (2.0,),
        lambda store: anext(store.watch("/k", from_revision=1)),
        json.dumps({"result": {"events": [{"kv": ENTRY}]}}).encode() + b"\n",
        [Entry("/k", b"v", 0, 0)],
        StopAsyncIteration,
    ),
}


@pytest.mark.parametrize("name", READERS)
def test_sound_answer_is_used(name: str) -> None:
    reader = READERS[name]

    async def action(server: ScriptedServer) -> None:
        assert await reader.call(server.port) == reader.value

    run_with_server([make_answer(reader.status, reader.body)], action)


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("name", READERS)
def test_answer_with_an_invalid_status_is_not_used(name: str, status: bytes) -> None:
    reader = READERS[name]

    async def action(server: ScriptedServer) -> None:
        with pytest.raises(reader.error):
            await reader.call(server.port)

    run_with_server([make_answer(status, reader.body)], action)


@pytest.mark.parametrize("field_name", INVALID_FIELD_NAMES)
@pytest.mark.parametrize("name", READERS)
def test_answer_with_an_invalid_field_name_is_not_used(name: str, field_name: bytes) -> None:
    reader = READERS[name]

    async def action(server: ScriptedServer) -> None:
        with pytest.raises(reader.error):
            await reader.call(server.port)

    run_with_server([make_answer(reader.status, reader.body, field_name + b": 5\r\n")], action)
