"""Guards against wrong answers, refusals without a code and listeners that broken input stops."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
from typing import Any

import pytest
import structlog.testing

from sycamoreproxy import caller_http
from sycamoreproxy.held_bytes import RESERVED_BYTES
from sycamoreproxy.messages import Output, Refuse, ResponseHead
from sycamoreproxy.settings import CallerLimits
from tests._entry import (
    EVENT_STREAM,
    MODEL,
    Entry,
    ScriptedUpstream,
    respond_plain,
    send_response,
    with_entry,
)

CHAT = "/v1/chat/completions"
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer k1\r\n"
SMALL = CallerLimits(max_body_bytes=4096, max_header_bytes=2048, receive_timeout_s=0.3)


def _chat(**changes: Any) -> bytes:
    messages = [{"role": "user", "content": "Колко е левът?"}]
    return json.dumps({"model": MODEL, "messages": messages, **changes}).encode()


def _with_length(body: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@with_entry()
async def test_plain_answers_belong_to_their_requests(entry: Entry) -> None:
    await entry.add(respond_plain, count=3)
    bodies = [_chat(user=str(number)) for number in range(40)]
    answers = await asyncio.gather(
        *[entry.fetch(CHAT, method="POST", body=body) for body in bodies]
    )
    for body, answer in zip(bodies, answers, strict=True):
        assert answer.code == 200
        assert answer.body.partition(b" ")[2] == CHAT.encode() + b" " + body
        assert answer.headers["X-Model-Version"] == "v1"


@with_entry()
async def test_service_gets_path_query_and_body(entry: Entry) -> None:
    (upstream,) = await entry.add(service="ledger")
    answer = await entry.fetch("/services/ledger/deposits?x=1", method="POST", body=b"5 lv")
    assert answer.body == b"u0 /deposits?x=1 5 lv"
    assert not upstream.submits[0].idempotent
    assert "authorization" not in {name.lower() for name, _ in upstream.submits[0].headers}
    assert (await entry.fetch("/services/ledger/d", method="HEAD")).body == b""


@with_entry()
async def test_models_are_listed(entry: Entry) -> None:
    answer = await entry.fetch("/v1/models")
    assert [item["id"] for item in json.loads(answer.body)["data"]] == [MODEL]


@pytest.mark.parametrize(
    ("path", "options", "status", "name"),
    [
        (CHAT, {"body": b"{"}, 400, "malformed_body"),
        (CHAT, {"body": b"[" * 4000}, 400, "malformed_body"),
        (CHAT, {"body": b"[]"}, 400, "invalid_field"),
        (CHAT, {"body": _chat(model=1)}, 400, "invalid_field"),
        (CHAT, {"body": _chat(messages="x")}, 400, "invalid_field"),
        (CHAT, {"body": _chat(messages=[1])}, 400, "invalid_field"),
        (CHAT, {"body": _chat(stream="yes")}, 400, "invalid_field"),
        (CHAT, {"body": _chat(max_tokens=-1)}, 400, "invalid_field"),
        ("/v1/completions", {"body": _chat(prompt={})}, 400, "invalid_field"),
        (CHAT, {"body": _chat(model="rose")}, 404, "unknown_model"),
        ("/services/rose/", {"body": b""}, 404, "unknown_service"),
        ("/v2", {"body": b""}, 404, "unknown_path"),
        (CHAT, {"method": "GET"}, 405, "method_not_allowed"),
        ("/services/ledger/", {"method": "SING"}, 405, "method_not_allowed"),
        ("/v1/completions", {"body": b"x" * 5000}, 413, "body_too_large"),
        ("/v1/models", {"method": "GET", "headers": {"X": "y" * 3000}}, 431, "headers_too_large"),
        ("/v1/models", {"method": "GET", "key": ""}, 401, "missing_key"),
        ("/v1/models", {"method": "GET", "key": "k3"}, 401, "unknown_key"),
        (CHAT, {"headers": {"X-Rank": "vip"}}, 400, "unknown_rank"),
        (CHAT, {"headers": {"X-Rank": "urgent"}, "key": "k2"}, 403, "rank_not_allowed"),
        (CHAT, {"headers": {"X-Deadline-Ms": "-1"}}, 400, "invalid_deadline"),
        (CHAT, {"headers": {"X-Deadline-Ms": "²"}}, 400, "invalid_deadline"),
        ("/services/ledger/", {"headers": {"Idempotency-Key": ""}}, 400, "invalid_idempotency_key"),
        (CHAT, {}, 503, "no_upstream"),
    ],
)
@with_entry(limits=SMALL)
async def test_bad_requests_get_a_code(
    entry: Entry, path: str, options: dict[str, Any], status: int, name: str
) -> None:
    await entry.add(service="ledger")
    options = {"method": "POST", "body": _chat(), **options}
    if options["method"] == "GET":
        options["body"] = None
    answer = await entry.fetch(path, **options)
    error = json.loads(answer.body)["error"]
    assert (answer.code, error["name"], error["executed"]) == (status, name, "no")
    assert ("Retry-After" in answer.headers) == (status == 503)


def _refuse(code: int, executed: str) -> Any:
    return lambda upstream, peer, submit: peer.send(Refuse(submit.attempt_id, code, executed))


def _hang_up(upstream: ScriptedUpstream, peer: Any, submit: Any) -> None:
    peer.close()


@pytest.mark.parametrize(
    ("script", "method", "runs", "executed"),
    [
        (_hang_up, "POST", 1, "unknown"),
        (_hang_up, "PUT", 2, "unknown"),
        (_refuse(1301, "unknown"), "POST", 1, "unknown"),
        (_refuse(1301, "yes"), "POST", 1, "yes"),
        (_refuse(1205, "no"), "POST", 2, "no"),
        (_refuse(1301, "unknown"), "PUT", 2, "unknown"),
        (_refuse(9999, "perhaps"), "POST", 1, "unknown"),
    ],
)
@with_entry()
async def test_only_harmless_attempts_are_repeated(
    entry: Entry, script: Any, method: str, runs: int, executed: str
) -> None:
    await entry.add(script, service="ledger", count=2)
    answer = await entry.fetch("/services/ledger/d", method=method, body=b"5")
    assert json.loads(answer.body)["error"]["executed"] == executed
    assert sum(len(upstream.submits) for upstream in entry.upstreams) == runs


# The deadline is out of reach, so that only the closed connection can cancel.
@with_entry(deadline_ms=3_600_000)
async def test_caller_that_leaves_cancels_upstream(entry: Entry) -> None:
    (upstream,) = await entry.add(lambda *message: None)
    _, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(_with_length(_chat(stream=True)))
    while not upstream.submits:
        await asyncio.sleep(0.005)
    writer.close()
    while not upstream.cancels:
        await asyncio.sleep(0.005)
    assert upstream.cancels == [upstream.submits[0].attempt_id]
    assert entry.links.open_attempts == 0


@with_entry(deadline_ms=3_600_000)
async def test_slow_reader_is_cut_and_its_attempt_cancelled(entry: Entry) -> None:
    async def flood(peer: Any, attempt_id: str) -> None:
        peer.send(ResponseHead(attempt_id, 200, EVENT_STREAM, ""))
        for number in range(400):
            peer.send(Output(attempt_id, number, b"data: " + b"x" * 60_000 + b"\n\n", 1))
            await asyncio.sleep(0)

    tasks: list[Any] = []
    (upstream,) = await entry.add(
        lambda upstream, peer, submit: tasks.append(
            asyncio.ensure_future(flood(peer, submit.attempt_id))
        )
    )
    _, writer = await asyncio.open_connection("127.0.0.1", entry.port, limit=1024)
    writer.write(_with_length(_chat(stream=True)))
    while not upstream.cancels:
        await asyncio.sleep(0.01)
    writer.close()


async def _talk(entry: Entry, *parts: bytes) -> bytes:
    """Send bytes on a fresh connection and return everything until it is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    answer = b""
    with contextlib.suppress(ConnectionError):
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        if not parts or parts[-1]:
            writer.write_eof()
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([HEAD + b"Content-Length: 10\r\n\r\n{", b""], b"408"),
        ([b"POST /v1/compl", b""], b"408"),
        ([HEAD + b"Content-Length: 5000\r\n\r\n", b"x" * 5000], b"413"),
        ([HEAD + b"Transfer-Encoding: chunked\r\n\r\n1388\r\n" + b"x" * 5000 + b"\r\n"], b"413"),
        ([HEAD + b"Content-Length: 5000\r\nExpect: 100-continue\r\n\r\n", b""], b"413"),
        ([HEAD + b"Content-Length: -1\r\n\r\n"], b"400"),
        ([HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}"], b"400"),
        ([HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}"], b"400"),
        ([HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"], b"400"),
        ([HEAD + b"Bad header\r\n\r\n"], b"400"),
        ([b"GET /v1/models HTTP/9\r\n\r\n"], b"400"),
        ([b"GET /v1/models HTTP/1.1\r\nX: " + b"y" * 4000 + b"\r\n\r\n"], b"431"),
        ([b"GET /v1/models HTTP/1.0\r\nAuthorization: Bearer k1\r\n\r\n"], b"200"),
        ([b"\x16\x03\x01\x02\x00\x01"], b""),
        ([b"\x00" * 30_000], b""),
    ],
)
@with_entry(limits=SMALL)
async def test_broken_http_gets_a_status_and_harms_no_other(
    entry: Entry, parts: list[bytes], status: bytes
) -> None:
    answer = await _talk(entry, *parts)
    assert answer.partition(b" ")[2][:3] == status
    assert answer.count(b"HTTP/1.1") == bool(status)
    assert (await entry.fetch("/v1/models")).code == 200
    assert entry.server.held_bytes == 0
    assert not entry.server.receiving
    assert not entry.server.refused


@pytest.mark.parametrize("seed", range(3))
@with_entry(limits=CallerLimits(receive_timeout_s=0.5))
async def test_random_bytes_never_stop_the_listener(entry: Entry, seed: int) -> None:
    rng = random.Random(seed)

    def mutate() -> bytes:
        data = bytearray(_with_length(_chat()))
        for _ in range(rng.randint(1, 8)):
            position = rng.randrange(len(data))
            data[position : position + rng.randint(0, 3)] = rng.randbytes(rng.randint(0, 3))
        return bytes(data)

    await entry.add()
    await asyncio.gather(*[_talk(entry, mutate()) for _ in range(60)])
    await asyncio.gather(*[_talk(entry, rng.randbytes(300)) for _ in range(20)])
    assert (await entry.fetch(CHAT, method="POST", body=_chat())).code == 200
    assert entry.links.open_attempts == entry.server.held_bytes == 0


@with_entry(limits=CallerLimits(max_connections=3))
async def test_connection_above_the_limit_ends_the_one_that_waited_longest(
    entry: Entry,
) -> None:
    """Connections that sent nothing kept new callers out until they were closed for their age."""
    idle = []
    for count in range(1, 4):
        idle.append(await asyncio.open_connection("127.0.0.1", entry.port))
        while len(entry.server._server._connections) < count:
            await asyncio.sleep(0.005)
    assert (await entry.fetch("/v1/models")).code == 200
    assert await idle[0][0].read() == b""
    assert [reader.at_eof() for reader, _ in idle] == [True, False, False]
    for _, writer in idle:
        writer.close()
    entry.client.close()
    while entry.server._server._connections:
        await asyncio.sleep(0.005)
    assert not entry.server._used_connections


@with_entry(limits=CallerLimits(max_connections=3))
async def test_connection_is_refused_while_all_others_have_a_request_in_progress(
    entry: Entry,
) -> None:
    """A request in progress must not be cut for a new connection."""
    held: list[Any] = []
    await entry.add(lambda *message: held.append(message))
    callers = [await asyncio.open_connection("127.0.0.1", entry.port) for _ in range(3)]
    for _, writer in callers:
        writer.write(_with_length(_chat()))
    while len(held) < 3:
        await asyncio.sleep(0.005)
    assert b"too_many_connections" in await _talk(entry)
    for message in held:
        respond_plain(*message)
    for reader, writer in callers:
        assert b"200 OK" in await reader.readuntil(b"\r\n")
        writer.close()


@with_entry()
async def test_stop_waits_for_requests_that_are_being_received_and_answered(entry: Entry) -> None:
    held: list[Any] = []
    await entry.add(lambda *message: held.append(message))
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    data = _with_length(_chat())
    writer.write(data[:-5])
    while not entry.server.receiving:
        await asyncio.sleep(0.005)
    entry.server.leave()
    assert (await entry.fetch("/v1/models")).code == 503
    idle = asyncio.create_task(entry.server.wait_idle())
    writer.write(data[-5:])
    while not held:
        await asyncio.sleep(0.005)
    assert not idle.done()
    respond_plain(*held[0])
    await idle
    assert b"200 OK" in await reader.read()
    writer.close()


@pytest.mark.parametrize("callers", [1, 20])
@with_entry()
async def test_requests_in_the_accept_queue_at_the_end_of_a_stop_are_refused(
    entry: Entry, callers: int
) -> None:
    """They were reset: the listener was closed with the connections that nobody had accepted."""
    entry.server.leave()
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(socket.create_connection(("127.0.0.1", entry.port)))
            for _ in range(callers)
        ]
        for connection in connections:
            connection.send(_with_length(_chat()))
        await _stop(entry)
        for connection in connections:
            assert b" 503 " in connection.recv(100)


@with_entry()
async def test_request_after_a_response_that_began_before_a_stop_is_refused(entry: Entry) -> None:
    """The connection was closed, though the response had not announced that."""
    (upstream,) = await entry.add()
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(_with_length(_chat()))
    assert b"Connection: close" not in await reader.readuntil(b"\r\n\r\n")
    entry.server.leave()
    stopping = asyncio.create_task(_stop(entry))
    await reader.readexactly(len(upstream.host) + 1 + len(CHAT) + 1 + len(_chat()))
    await asyncio.sleep(0.05)
    writer.write(_with_length(_chat()))
    assert b" 503 " in await reader.readuntil(b"\r\n\r\n")
    await stopping
    writer.close()


@pytest.mark.parametrize(
    ("unread_bytes", "event"),
    [
        (64 * 1024 * 1024, "responses not read at the end of a stop"),
        (256 * 1024, "response cut, caller reads too slowly"),
    ],
)
@with_entry()
async def test_response_that_is_cut_because_its_caller_does_not_read_has_a_log_line(
    entry: Entry, monkeypatch: pytest.MonkeyPatch, unread_bytes: int, event: str
) -> None:
    monkeypatch.setattr(caller_http, "FLUSH_LIMIT_S", 0.1)
    monkeypatch.setattr(caller_http, "MAX_UNREAD_BYTES", unread_bytes)
    body = bytes(900_000)
    await entry.add(
        lambda upstream, peer, submit: send_response(peer, submit.attempt_id, [body] * 8),
        service="ledger",
    )
    with (
        socket.create_connection(("127.0.0.1", entry.port)) as connection,
        structlog.testing.capture_logs() as lines,
    ):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.send(b"GET /services/ledger/ HTTP/1.1\r\nAuthorization: Bearer k1\r\n\r\n")
        while not entry.server.tasks:
            await asyncio.sleep(0.005)
        entry.server.leave()
        await _stop(entry)
    assert [line["event"] for line in lines if line["module"] == "caller_http"] == [event]


@pytest.mark.parametrize("is_stream", [False, True])
@with_entry(deadline_ms=60_000)
async def test_responses_that_callers_do_not_read_are_bounded_together(
    entry: Entry, is_stream: bool
) -> None:
    """Each caller that does not read held up to 4 MiB, whatever the others held."""
    callers, limit = 20, 4 * 1024 * 1024
    entry.server.connection_limits.max_response_bytes = limit
    entry.server.unread_budget.max_bytes = limit
    part = bytes(900_000)

    def respond(upstream: Any, peer: Any, submit: Any) -> None:
        if not is_stream:
            send_response(peer, submit.attempt_id, [part] * 4)
            return
        # The response has no end.
        peer.send(ResponseHead(submit.attempt_id, 200, (("Content-Type", "text/plain"),), ""))
        for number in range(4):
            peer.send(Output(submit.attempt_id, number, part, 1))

    upstream, *_ = await entry.add(respond, service="ledger")
    connections = []
    for _ in range(callers):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", entry.port))
        connection.send(b"GET /services/ledger/ HTTP/1.1\r\nAuthorization: Bearer k1\r\n\r\n")
        connections.append(connection)
        # The stream of the upstream takes one response at a time.
        while len(upstream.submits) < len(connections) or (entry.server.tasks and not is_stream):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
    streams = [item.stream for item in entry.server._server._connections]
    unread = sum(len(stream._write_buffer or ()) for stream in streams)
    assert 0 < unread <= 2 * limit + callers * RESERVED_BYTES
    for connection in connections:
        connection.close()


@with_entry()
async def test_caller_that_a_stop_refuses_waits_only_while_the_balancer_sends_here(
    entry: Entry,
) -> None:
    """Callers on kept connections waited for 1 s, though another host takes the request at once."""
    (upstream,) = await entry.add()
    kept = await asyncio.open_connection("127.0.0.1", entry.port)
    request = _with_length(_chat())
    kept[1].write(request)
    await kept[0].readuntil(b"\r\n\r\n")
    await kept[0].readexactly(len(upstream.host) + 1 + len(CHAT) + 1 + len(_chat()))
    entry.server.leave()
    opened = await asyncio.open_connection("127.0.0.1", entry.port)
    for (reader, writer), wait_s in ((kept, b"0"), (opened, b"1")):
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head
        assert b"\r\nRetry-After: " + wait_s + b"\r\n" in head
        writer.close()


@with_entry()
async def test_refused_caller_that_sends_its_body_at_the_end_of_a_stop_is_not_reset(
    entry: Entry,
) -> None:
    """Callers that read the response after the body got a reset instead of the refusal."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    entry.server.leave()
    data = _with_length(_chat(user="x" * 2000))
    writer.write(data[:-1000])
    stopping = asyncio.create_task(_stop(entry))
    await asyncio.wait({stopping}, timeout=1.0)
    for start in (-1000, -500):
        writer.write(data[start : start + 500 or None])
        await asyncio.sleep(0.05)
    assert b" 503 " in await reader.read()
    await stopping
    writer.close()


@with_entry(limits=CallerLimits(receive_timeout_s=0.8))
async def test_stop_does_not_wait_for_a_refused_caller_that_sends_nothing(entry: Entry) -> None:
    _, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    entry.server.leave()
    writer.write(_with_length(_chat())[:-5])
    await _stop(entry)
    writer.close()


async def _stop(entry: Entry) -> None:
    await entry.server.wait_idle()
    await entry.server.refuse_late_requests()
    await entry.server.close()


def _block_event_loop(seconds: float) -> None:
    """Have what comes meanwhile, data and timers, meet in the next iteration."""
    time.sleep(seconds)


@pytest.fixture
def _short_keep_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_http, "KEEP_ALIVE_S", 0.3)


@pytest.mark.usefixtures("_short_keep_alive")
@pytest.mark.parametrize(
    ("is_used", "first_bytes"),
    [(False, None), (True, None), (True, 40)],
    ids=["first", "kept", "head in two parts"],
)
@with_entry(limits=CallerLimits(receive_timeout_s=0.3))
async def test_request_that_arrives_as_the_idle_limit_expires_is_answered(
    entry: Entry, is_used: bool, first_bytes: int | None
) -> None:
    """Its connection was closed, or it was refused as not run although it ran."""
    (upstream,) = await entry.add()
    request = _with_length(_chat())
    with socket.create_connection(("127.0.0.1", entry.port)) as connection:
        reader, writer = await asyncio.open_connection(sock=connection)
        if is_used:
            writer.write(request)
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(upstream.host) + 1 + len(CHAT) + 1 + len(_chat()))
        await asyncio.sleep(0.24)
        connection.send(request[:first_bytes])
        _block_event_loop(0.15)
        if first_bytes:
            await asyncio.sleep(0.24)
            connection.send(request[first_bytes:])
        assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
        assert len(upstream.submits) == 1 + is_used
        writer.close()
