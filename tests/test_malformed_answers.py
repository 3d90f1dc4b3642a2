"""Tests that no client takes an answer with a malformed head for an answer to its request."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy import result_codes as codes
from sycamoreproxy._admin_client import AdminClient
from sycamoreproxy.document_source import SourceUnavailableError
from sycamoreproxy.engines import EngineReportError, OpenAiEngine
from sycamoreproxy.platform.store import PlatformStore
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.services import HttpService
from sycamoreproxy.store_position import make_position
from sycamoreproxy.upstream_answers import UpstreamFailureError, UpstreamRequest

#: Status codes outside the range of HTTP (RFC 9110, section 15).
INVALID_STATUSES = [b"000", b"099", b"600", b"999"]


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
def test_load_report_with_an_invalid_status_is_not_used(status: bytes) -> None:
    """A status below 400 counted as a success."""

    async def action(server: ScriptedServer) -> None:
        engine = OpenAiEngine(f"http://127.0.0.1:{server.port}", 2.0)
        with pytest.raises(EngineReportError):
            await engine.read_report()
        engine.close()

    run_with_server([make_answer(status, b'{"running": 3, "waiting": 1}')], action)


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
