"""Guards what the HTTP client sends twice, and what it says of a request that failed."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream
from tornado.testing import bind_unused_port

from sycamoreproxy._http_client import PART_BYTES, AnswerLostError, HttpClient, NotSentError
from tests._raw_upstream import PIECE_BYTES, SIGNED, ClosingUpstream, RawUpstream
from tools.addresses import reserve_address

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def _with_server(
    answers: list[bytes], action: Callable[[HttpClient, list[bytes]], Awaitable[None]]
) -> None:
    """Run a server that gives one answer a request and closes after a cut or empty one."""
    requests: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while answers:
            requests.append(await reader.readuntil(b"\r\n\r\n"))
            answer = answers.pop(0)
            writer.write(answer)
            if answer != WHOLE:
                break
        writer.close()

    socket, port = bind_unused_port()
    server = await asyncio.start_server(serve, sock=socket)
    client = HttpClient(f"http://127.0.0.1:{port}", max_body_bytes=100)
    try:
        async with asyncio.timeout(8):
            await action(client, requests)
    finally:
        client.close()
        server.close()


async def _exchange(client: HttpClient, *, repeatable: bool) -> bytes:
    parts: list[bytes] = []
    await client.exchange(
        method="GET",
        path="/",
        headers=HTTPHeaders(),
        body=b"",
        on_head=lambda status, headers: None,
        on_data=parts.append,
        repeatable=repeatable,
    )
    return b"".join(parts)


@pytest.mark.parametrize(
    ("second", "repeatable", "sent"),
    [
        (b"", True, 3),
        (b"", False, 2),
        (WHOLE[:-1], True, 2),
        (b"junk\r\n\r\n", True, 3),
        (b"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", True, 2),
        (b"HTTP/1.1 600 X\r\n\r\nok", True, 2),
    ],
)
def test_only_a_repeatable_request_without_any_answer_is_sent_again(
    second: bytes, repeatable: bool, sent: int
) -> None:
    async def action(client: HttpClient, requests: list[bytes]) -> None:
        assert await _exchange(client, repeatable=True) == b"ok"
        if sent == 3:
            assert await _exchange(client, repeatable=repeatable) == b"ok"
        else:
            with pytest.raises(AnswerLostError):
                await _exchange(client, repeatable=repeatable)
        assert len(requests) == sent

    asyncio.run(_with_server([WHOLE, second, WHOLE], action))


def test_a_request_is_not_sent_again_to_a_server_that_may_no_longer_be_used() -> None:
    """A fresh connection takes up to 2 s, in which the server may have begun to leave."""
    answers = iter([True, False])

    async def action(client: HttpClient, requests: list[bytes]) -> None:
        for expected in (b"ok", None):
            parts: list[bytes] = []
            exchange = client.exchange(
                method="GET",
                path="/",
                headers=HTTPHeaders(),
                body=b"",
                on_head=lambda status, headers: None,
                on_data=parts.append,
                repeatable=True,
                may_send=lambda: next(answers),
            )
            if expected is not None:
                await exchange
            else:
                with pytest.raises(AnswerLostError):
                    await exchange
        assert len(requests) == 2

    asyncio.run(_with_server([WHOLE, b"", WHOLE], action))


def test_no_listener_means_that_nothing_was_sent() -> None:
    with reserve_address() as holder:
        client = HttpClient(f"http://127.0.0.1:{holder.getsockname()[1]}", max_body_bytes=100)
        with pytest.raises(NotSentError):
            asyncio.run(_exchange(client, repeatable=True))


def test_an_answer_that_is_too_long_is_lost() -> None:
    long = b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"x" * 101

    async def action(client: HttpClient, requests: list[bytes]) -> None:
        with pytest.raises(AnswerLostError):
            await _exchange(client, repeatable=False)

    asyncio.run(_with_server([long], action))


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\nA: b\n\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    ],
)
def test_answer_cut_at_any_byte_of_its_head_is_lost(head: bytes) -> None:
    async def action(client: HttpClient, requests: list[bytes]) -> None:
        for _ in range(len(head)):
            with pytest.raises(AnswerLostError) as raised:
                await _exchange(client, repeatable=False)
            assert not raised.value.received
        assert len(requests) == len(head)

    asyncio.run(_with_server([head[:cut] for cut in range(len(head))], action))


def test_request_on_a_kept_connection_counts_as_sent_if_the_server_is_then_gone() -> None:
    """The refusal said that the request was not run, though the server had received it."""

    async def main() -> None:
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(WHOLE)
            received.append(await reader.readuntil(b"\r\n\r\n"))
            server.close()
            writer.close()

        socket, port = bind_unused_port()
        server = await asyncio.start_server(serve, sock=socket)
        client = HttpClient(f"http://127.0.0.1:{port}", max_body_bytes=100)
        assert await _exchange(client, repeatable=True) == b"ok"
        with pytest.raises(AnswerLostError):
            await _exchange(client, repeatable=True)
        assert len(received) == 2
        client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("close_after_s", "block_s", "is_sent_again"),
    [(0.0, 0.0, True), (0.0, 0.6, True), (0.2, 0.6, True), (0.5, 0.0, False), (1.0, 0.4, False)],
)
def test_time_in_which_the_loop_is_blocked_does_not_make_a_stale_connection_a_failure(
    close_after_s: float, block_s: float, is_sent_again: bool
) -> None:
    """Requests with one attempt got 502 when a large configuration was read meanwhile."""

    async def main() -> None:
        server = ClosingUpstream(answer=WHOLE, close_after_s=close_after_s)
        client = HttpClient(f"http://127.0.0.1:{server.port}", max_body_bytes=100)
        try:
            assert await _exchange(client, repeatable=True) == b"ok"
            exchange = asyncio.create_task(_exchange(client, repeatable=True))
            while not server.second_received.is_set():
                await asyncio.sleep(0.001)
            server.close_while_loop_is_blocked(block_s)
            if is_sent_again:
                assert await exchange == b"ok"
            else:
                with pytest.raises(AnswerLostError):
                    await exchange
        finally:
            client.close()
            server.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"", b"x" * PIECE_BYTES),
        (b"Transfer-Encoding: chunked\r\n", b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"),
        (b"Content-Length: 60000000\r\n", b"x" * PIECE_BYTES),
    ],
)
@pytest.mark.parametrize("listener", ["head", "data"])
def test_answer_that_a_listener_rejects_is_not_read_to_its_end(
    head: bytes, piece: bytes, listener: str
) -> None:
    """An answer to another request was read until its end, up to 64 MiB."""

    async def main() -> None:
        upstream = RawUpstream(head=SIGNED + head + b"\r\n", piece=piece)
        await upstream.start()
        client = HttpClient(f"http://127.0.0.1:{upstream.port}", max_body_bytes=64 * 1024 * 1024)

        def reject(*arguments: object) -> None:
            raise LookupError

        try:
            with pytest.raises(LookupError):
                await client.exchange(
                    method="GET",
                    path="/",
                    headers=HTTPHeaders(),
                    body=b"",
                    on_head=reject if listener == "head" else lambda status, headers: None,
                    on_data=reject,
                    repeatable=False,
                )
            async with asyncio.timeout(8):
                await upstream.wait_closed(1)
            # What the kernel holds on its way is sent too.
            assert upstream.sent < 32 * 1024 * 1024
        finally:
            client.close()
            upstream.stop()

    asyncio.run(main())


def test_connection_that_closes_at_once_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The stream had no socket any more, and the error ended the task that had asked."""

    async def run() -> None:
        client = HttpClient("http://127.0.0.1:1", max_body_bytes=100)
        ends = socket.socketpair()
        stream = IOStream(ends[0])
        stream.close()

        async def connect(*arguments: object, **options: object) -> IOStream:
            return stream

        monkeypatch.setattr(client._client, "connect", connect)
        with pytest.raises(NotSentError):
            await client.fetch(method="GET", path="/", timeout_s=1)
        ends[1].close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("size", "pieces", "transfer_s", "is_whole", "least_s", "has_parts"),
    [
        (PART_BYTES, 8, 5.0, True, 0.6, True),
        (PART_BYTES, 8, 0.0, False, 0.2, True),
        (PART_BYTES, 4, 5.0, False, 0.4, True),
        (PART_BYTES, None, 1.0, False, 1.2, True),
        (1, 8, 5.0, False, 0.2, False),
    ],
    ids=["slow", "no further time", "stalled", "without an end", "a byte now and then"],
)
def test_answer_that_keeps_arriving_is_given_time_up_to_a_limit(
    monkeypatch: pytest.MonkeyPatch,
    size: int,
    pieces: int | None,
    transfer_s: float,
    is_whole: bool,
    least_s: float,
    has_parts: bool,
) -> None:
    """Sound answers on a full link were cut and begun anew, and none was ever whole."""
    monkeypatch.setattr("sycamoreproxy._http_client.PART_PAUSE_S", 0.3)

    async def main() -> None:
        head = b"HTTP/1.1 200 OK\r\n"
        head += b"Content-Length: %d\r\n\r\n" % (8 * size) if pieces else b"\r\n"
        upstream = RawUpstream(head=head, piece=b"x" * size, pieces=pieces, pause_s=0.1)
        await upstream.start()
        client = HttpClient(f"http://127.0.0.1:{upstream.port}", max_body_bytes=64 * PART_BYTES)
        parts: list[float] = []
        began_at = time.monotonic()
        fetch = client.fetch(
            method="GET",
            path="/",
            timeout_s=0.2,
            transfer_s=transfer_s,
            on_part=lambda: parts.append(time.monotonic()),
        )
        if is_whole:
            assert (await fetch)[2] == b"x" * 8 * size
        else:
            with pytest.raises(AnswerLostError):
                await fetch
        assert bool(parts) == has_parts
        assert time.monotonic() - began_at >= least_s
        client.close()
        upstream.stop()

    async def play() -> None:
        async with asyncio.timeout(8):
            await main()

    asyncio.run(play())
