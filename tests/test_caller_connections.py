"""Tests that a request on a kept connection of a caller is answered while the bounds change."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from sycamoreproxy import routed_http
from sycamoreproxy.caller_request import CallerRequest
from sycamoreproxy.document_source import Document
from sycamoreproxy.route_table import CallerBounds
from sycamoreproxy.routed_http import CallerReply
from tests._raw_upstream import SIGNED
from tests.test_routed_entry import (
    Site,
    _put_upstream,
    _read_answer,
    _ScriptedUpstream,
    run_with_site,
)

#: Idle limits of the tests, in seconds.
SHORT_S = 0.3
LONG_S = 3.0
#: Size of a response that the socket does not take at once, in bytes.
BODY_BYTES = 16_000_000


@pytest.fixture(autouse=True)
def _no_idle_margin(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(routed_http, "IDLE_MARGIN_S", 0.0)


def _make_request(body: bytes = b"") -> bytes:
    head = (
        "POST /read/x HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
        f"Sycamoreproxy-Deadline-Ms: 1900\r\nX-Api-Key: office-key\r\nContent-Length: {len(body)}"
    )
    return f"{head}\r\n\r\n".encode() + body


class _Connection:
    """A caller's connection that is used for several requests.

    Entering it connects, without a request.
    """

    def __init__(self, site: Site) -> None:
        self._site = site

    async def __aenter__(self) -> _Connection:
        self._socket = socket.create_connection(("127.0.0.1", self._site.port))
        self._reader, self._writer = await asyncio.open_connection(sock=self._socket)
        return self

    async def __aexit__(self, *error: object) -> None:
        self._writer.close()

    async def request(self, body: bytes = b"") -> tuple[int, dict[str, str]]:
        """Send a request and return status and headers of its response; 0 without a response."""
        self._writer.write(_make_request(body))
        return await self.read_response()

    async def read_response(self) -> tuple[int, dict[str, str]]:
        """Return status and headers of the next response; 0 without a response."""
        try:
            status, headers, _, is_complete = await _read_answer(self._reader)
        except ConnectionError:
            return 0, {}
        return (status, headers) if is_complete else (0, {})

    def send_at_once(self, data: bytes) -> None:
        """Send bytes without an iteration of the event loop."""
        self._socket.send(data)


def _block_event_loop(seconds: float) -> None:
    """Have what comes meanwhile, data and timers, meet in the next iteration."""
    time.sleep(seconds)


def _set_idle_limit(site: Site, limit_s: float) -> None:
    site.front.set_bounds(CallerBounds(idle_timeout_s=limit_s))


@pytest.mark.parametrize("is_used", [False, True], ids=["before its first request", "kept"])
@pytest.mark.parametrize(
    ("first_s", "changed_s", "pause_s"),
    [
        ((SHORT_S,), (LONG_S,), 3 * SHORT_S),
        ((SHORT_S,), (2 * SHORT_S, LONG_S), 3 * SHORT_S),
        ((SHORT_S,), (LONG_S, SHORT_S), 3 * SHORT_S),
        ((LONG_S,), (SHORT_S,), 3 * SHORT_S),
        ((LONG_S, SHORT_S), (LONG_S,), 3 * SHORT_S),
    ],
    ids=["raised", "raised twice", "raised and lowered", "lowered", "lowered and raised"],
)
def test_idle_connection_is_served_within_the_longest_limit_since_its_last_request(
    is_used: bool, first_s: tuple[float, ...], changed_s: tuple[float, ...], pause_s: float
) -> None:
    """Connections that waited when the limit was raised were closed at the limit of before."""

    async def action(site: Site) -> None:
        for limit_s in first_s:
            _set_idle_limit(site, limit_s)
        async with _Connection(site) as connection:
            if is_used:
                assert (await connection.request())[0] == 200
            await asyncio.sleep(SHORT_S / 3)
            for limit_s in changed_s:
                _set_idle_limit(site, limit_s)
            await asyncio.sleep(pause_s)
            assert (await connection.request())[0] == 200

    run_with_site(action)


@pytest.mark.parametrize("is_used", [False, True], ids=["before its first request", "kept"])
def test_connection_is_closed_after_the_idle_limit_in_force(is_used: bool) -> None:
    async def action(site: Site) -> None:
        _set_idle_limit(site, LONG_S)
        _set_idle_limit(site, SHORT_S)
        async with _Connection(site) as connection:
            if is_used:
                assert (await connection.request())[0] == 200
            started_at = time.monotonic()
            assert await connection.read_response() == (0, {})
            assert SHORT_S * 0.9 < time.monotonic() - started_at < LONG_S

    run_with_site(action)


@pytest.mark.parametrize(
    ("parts", "pause_s"),
    [
        ((_make_request(),), 0.0),
        ((_make_request(b"body"),), 0.0),
        ((_make_request(b"body")[:-4], b"body"), 0.0),
        ((_make_request()[:40], _make_request()[40:]), SHORT_S),
    ],
    ids=["whole", "whole with a body", "body in a second part", "head in two parts"],
)
def test_request_that_arrives_as_the_idle_limit_expires_is_answered(
    parts: tuple[bytes, ...], pause_s: float
) -> None:
    """A request was read and its connection closed, as the loop was late for the limit's timer."""

    async def action(site: Site) -> None:
        _set_idle_limit(site, SHORT_S)
        async with _Connection(site) as connection:
            assert (await connection.request())[0] == 200
            await asyncio.sleep(SHORT_S * 0.8)
            connection.send_at_once(parts[0])
            _block_event_loop(SHORT_S * 0.5)
            for part in parts[1:]:
                await asyncio.sleep(pause_s)
                connection.send_at_once(part)
            assert (await connection.read_response())[0] == 200

    run_with_site(action)


def test_head_that_does_not_end_is_not_waited_for_longer_than_the_header_limit() -> None:
    async def action(site: Site) -> None:
        site.front.set_bounds(CallerBounds(idle_timeout_s=SHORT_S, header_timeout_s=SHORT_S))
        async with _Connection(site) as connection:
            started_at = time.monotonic()
            with contextlib.suppress(ConnectionError):
                for _ in range(100):
                    connection.send_at_once(b"POST")
                    await asyncio.sleep(SHORT_S / 4)
            assert await connection.read_response() == (0, {})
            assert time.monotonic() - started_at < 6 * SHORT_S

    run_with_site(action)


@pytest.mark.parametrize(
    "parts",
    [(_make_request(),), (_make_request()[:40], _make_request()[40:])],
    ids=["whole", "head in two parts"],
)
def test_request_that_arrives_as_a_stop_closes_idle_connections_is_answered(
    parts: tuple[bytes, ...],
) -> None:
    """The connection still counted as idle and was closed."""

    async def action(site: Site) -> None:
        async with _Connection(site) as connection:
            assert (await connection.request())[0] == 200
            await asyncio.sleep(0.05)
            site.front.leave()
            closing = asyncio.create_task(site.front.close(wait_s=3))
            connection.send_at_once(parts[0])
            await asyncio.sleep(0)
            for part in parts[1:]:
                await asyncio.sleep(SHORT_S)
                connection.send_at_once(part)
            status, headers = await connection.read_response()
            assert (status, headers.get("Connection")) == (200, "close")
            await closing

    run_with_site(action)


def test_request_that_was_read_is_answered_if_a_stop_closes_idle_connections_next() -> None:
    async def action(site: Site) -> None:
        async with _Connection(site) as connection:
            assert (await connection.request())[0] == 200
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, site.front._idle_connections.close_unused)
            connection.send_at_once(_make_request())
            _block_event_loop(0.1)
            assert (await connection.read_response())[0] == 200

    run_with_site(action)


def test_requests_on_connections_accepted_just_before_a_stop_are_answered() -> None:
    """Their connections were closed while some of the requests were being run."""

    async def action(site: Site) -> None:
        callers = [socket.create_connection(("127.0.0.1", site.port)) for _ in range(20)]
        for caller in callers:
            caller.send(_make_request())
        while not (site.front._http_server and site.front._http_server.has_connections):
            await asyncio.sleep(0)
        await site.front.close(wait_s=3)
        for caller in callers:
            with caller:
                reader, writer = await asyncio.open_connection(sock=caller)
                assert (await _read_answer(reader))[0] == 200
                writer.close()

    run_with_site(action)


@pytest.mark.parametrize("sent", [b"", b"POST /read/x"], ids=["nothing sent", "part of a head"])
@pytest.mark.parametrize("is_at_limit", [False, True], ids=["during use", "after its idle limit"])
def test_stop_does_not_wait_for_callers_that_have_left(sent: bytes, is_at_limit: bool) -> None:
    """Entries of closed connections were kept, and each stop took all of its time."""

    async def action(site: Site) -> None:
        _set_idle_limit(site, SHORT_S if is_at_limit else LONG_S)
        async with _Connection(site) as connection:
            assert (await connection.request())[0] == 200
            connection.send_at_once(sent)
            await asyncio.sleep(1.5 * SHORT_S)
        # The end of the connection is not read yet.
        started_at = time.monotonic()
        await site.front.close(wait_s=4)
        assert time.monotonic() - started_at < 2
        assert not site.front._server_conns and not len(site.front._idle_connections)

    run_with_site(action)


def test_raised_limit_for_heads_holds_on_new_connections() -> None:
    """The connection was closed without a response, as the limit was never applied."""

    async def action(site: Site) -> None:
        site.front.set_bounds(CallerBounds(max_header_bytes=131_072))
        async with _Connection(site) as connection:
            head = _make_request().replace(b"/read/x", b"/nothing/x").removesuffix(b"\r\n")
            connection.send_at_once(head + b"X-Office: " + b"x" * 100_000 + b"\r\n\r\n")
            assert (await connection.read_response())[0] == 404

    run_with_site(action)


def test_raised_body_limit_holds_for_the_next_request_on_a_kept_connection() -> None:
    """The request was answered with 400 by the limit of before."""

    async def action(site: Site) -> None:
        site.front.set_bounds(CallerBounds(max_body_bytes=100))
        async with _Connection(site) as connection:
            assert (await connection.request())[0] == 200
            await asyncio.sleep(0.05)
            site.front.set_bounds(CallerBounds(max_body_bytes=1000))
            assert (await connection.request(b"x" * 1000))[0] == 200

    run_with_site(action)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/read/x", "office-key", 200),
        ("/ask/x", "office-key", 200),
        ("/nothing/x", "office-key", 404),
        ("/read/x", "wrong-key", 401),
    ],
)
def test_head_request_is_answered_without_a_body(path: str, key: str, status: int) -> None:
    """The connection was closed without a response, as the body of a refusal was sent."""

    async def action(site: Site) -> None:
        upstream = _ScriptedUpstream([SIGNED + b"Content-Length: 15\r\n\r\n"])
        for number in range(4):
            service = "model" if number < 2 else "ledger"
            site.replica.apply(Document(f"servers/i-{number}", 2, None), source="test")
            _put_upstream(site, f"scripted-{number}", service, await upstream.listen())
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        for _ in range(2):
            writer.write(
                f"HEAD {path} HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
                f"Sycamoreproxy-Deadline-Ms: 1900\r\nX-Api-Key: {key}\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 %d " % status)
        writer.close()

    run_with_site(action)


async def _cancel_itself(request: CallerRequest, reply: CallerReply) -> None:
    task = asyncio.current_task()
    assert task is not None
    task.cancel()
    await asyncio.sleep(1)


async def _lose_a_stream(request: CallerRequest, reply: CallerReply) -> None:
    raise StreamClosedError


async def _return_early(request: CallerRequest, reply: CallerReply) -> None:
    """Neither answer nor refuse the request."""


async def _send_a_malformed_head(request: CallerRequest, reply: CallerReply) -> None:
    headers = HTTPHeaders()
    headers._as_list["X-Office"] = ["one\rtwo"]
    reply.start(200, headers, b"")


@pytest.mark.parametrize(
    "handle", [_cancel_itself, _lose_a_stream, _return_early, _send_a_malformed_head]
)
def test_request_whose_handler_ends_early_is_refused_as_possibly_executed(
    handle: Callable[[CallerRequest, CallerReply], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection was closed without a response."""

    async def action(site: Site) -> None:
        monkeypatch.setattr(site.front.dispatcher, "handle", handle)
        status, headers, body, is_complete = await site.send("/read/x")
        assert (status, is_complete) == (500, True) and "Retry-After" not in headers
        assert json.loads(body)["error"]["executed"] == "unknown"

    run_with_site(action)


def test_exception_after_a_complete_response_does_not_cut_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def respond_and_fail(request: CallerRequest, reply: CallerReply) -> None:
        body = b"x" * BODY_BYTES
        reply.start(200, HTTPHeaders({"Content-Length": str(BODY_BYTES)}), body)
        reply.finish()
        raise ValueError

    async def action(site: Site) -> None:
        monkeypatch.setattr(site.front.dispatcher, "handle", respond_and_fail)
        status, _, body, is_complete = await site.send("/read/x")
        assert (status, len(body), is_complete) == (200, BODY_BYTES, True)

    run_with_site(action)
