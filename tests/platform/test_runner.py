"""Guards against pieces, reports and orders that are taken for something else."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from standins._server import Faults
from standins.platform import (
    PlatformRunner as RunnerStandIn,
)
from standins.platform import (
    make_chunks,
    make_origin_routes,
    make_runner_routes,
)
from sycamoreproxy.engine_stage import OrderOutcome, StagedEngineError
from sycamoreproxy.origins import OriginError
from sycamoreproxy.platform.runner import (
    MAX_ANSWER_BYTES,
    MAX_MANIFEST_BYTES,
    MAX_REPORT_BYTES,
    PlatformOrigin,
    PlatformRunner,
)
from sycamoreproxy.weights import Manifest, compute_chunk_digest
from tests._raw_upstream import PIECE_BYTES, RawUpstream
from tools.addresses import reserve_address

Action = Callable[[RunnerStandIn, Faults, PlatformRunner, PlatformOrigin], Awaitable[None]]


def play(action: Action) -> None:
    """Run an action against a runner and an origin."""

    async def run() -> None:
        stand_in, faults = RunnerStandIn("i-1"), Faults(seed=1)
        routes = [*make_origin_routes(Counter(), faults), *make_runner_routes(stand_in, faults)]
        server = HTTPServer(tornado.web.Application(routes))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        runner = PlatformRunner(f"127.0.0.1:{port}")
        origin = PlatformOrigin(f"127.0.0.1:{port}")
        try:
            async with asyncio.timeout(10):
                await action(stand_in, faults, runner, origin)
        finally:
            runner.close()
            origin.close()
            server.stop()

    asyncio.run(run())


def test_version_is_staged_and_loaded() -> None:
    async def action(
        stand_in: RunnerStandIn, faults: Faults, runner: PlatformRunner, origin: PlatformOrigin
    ) -> None:
        manifest = await origin.read_manifest("m1/2")
        chunks = make_chunks("m1", 2, chunks=8, chunk_bytes=1024)
        assert manifest.total_bytes == 8 * 1024
        for index, digest in enumerate(manifest.chunks):
            data = await origin.read_chunk(manifest, index)
            assert data == chunks[index] and compute_chunk_digest(data) == digest
            await runner.put_chunk("m1", index, data)
        assert await runner.get_chunk("m1", 3) == chunks[3]
        assert await runner.get_chunk("m1", 99) is None
        report = await runner.read_report()
        assert report.version_by_model == (("m1", 1),) and report.orders_accepted == 0
        assert await runner.order_load("m1", 2, expected=0) is OrderOutcome.BEGUN
        assert (await runner.read_report()).is_loading
        await asyncio.sleep(0.2)
        assert (await runner.read_report()).version_by_model == (("m1", 2),)
        assert await runner.order_load("m1", 2, expected=1) is OrderOutcome.IN_EFFECT

    play(action)


def test_order_that_does_not_fit_is_an_error() -> None:
    async def action(
        stand_in: RunnerStandIn, faults: Faults, runner: PlatformRunner, origin: PlatformOrigin
    ) -> None:
        with pytest.raises(StagedEngineError):
            await runner.order_load("m1", 2, expected=7)
        assert stand_in.orders == 0

    play(action)


@pytest.mark.parametrize("call", ["manifest", "piece"])
def test_origin_that_is_down_is_an_error(call: str) -> None:
    async def action(
        stand_in: RunnerStandIn, faults: Faults, runner: PlatformRunner, origin: PlatformOrigin
    ) -> None:
        manifest = await origin.read_manifest("m1/2")
        faults.replace({"down": True})
        with pytest.raises(OriginError):
            if call == "manifest":
                await origin.read_manifest("m1/2")
            else:
                await origin.read_chunk(manifest, 0)

    play(action)


async def _ask(call: str, port: int) -> object:
    runner = PlatformRunner(f"127.0.0.1:{port}")
    origin = PlatformOrigin(f"127.0.0.1:{port}")
    manifest = Manifest(
        version="m1/2",
        model="m1",
        digest="",
        chunk_bytes=1024,
        total_bytes=1024,
        chunks=("",),
    )
    try:
        match call:
            case "report":
                return await runner.read_report()
            case "order":
                return await runner.order_load("m1", 2, expected=0)
            case "staged":
                return await runner.get_chunk("m1", 0)
            case "manifest":
                return await origin.read_manifest("m1/2")
            case _:
                return await origin.read_chunk(manifest, 0)
    finally:
        runner.close()
        origin.close()


REPORT = (
    b'{"running": 1, "waiting": 0, "kv_used": 0, "kv_total": 1, "busy": false, "sequence": 0,'
    b' "models": []}'
)
MANIFEST = b'{"version": 2, "digests": [], "chunk_bytes": 1024}'


@pytest.mark.parametrize(
    ("call", "answer", "limit"),
    [
        ("report", REPORT, MAX_REPORT_BYTES),
        ("order", b"{}", MAX_REPORT_BYTES),
        ("staged", b"", MAX_ANSWER_BYTES),
        ("manifest", MANIFEST, MAX_MANIFEST_BYTES),
        ("piece", b"", 1024),
    ],
)
@pytest.mark.parametrize("more", [0, 1])
def test_answer_that_is_too_long_is_not_used(
    call: str, answer: bytes, limit: int, more: int
) -> None:
    """A report of 8 MiB took 217 MiB as JSON, on hosts with 168 MB."""

    async def main() -> None:
        body = answer.ljust(limit + more)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        upstream = RawUpstream(head=head, piece=body, pieces=1)
        await upstream.start()
        async with asyncio.timeout(8):
            if more:
                with pytest.raises((StagedEngineError, OriginError)):
                    await _ask(call, upstream.port)
            else:
                await _ask(call, upstream.port)
            await upstream.wait_closed(1)
        upstream.stop()

    asyncio.run(main())


@pytest.mark.parametrize("call", ["report", "order", "staged", "manifest", "piece"])
@pytest.mark.parametrize(
    ("piece", "pause_s"), [(b"x" * PIECE_BYTES, 0.0), (b" ", 0.01), (b"[" * PIECE_BYTES, 0.0)]
)
def test_answer_without_an_end_is_left(call: str, piece: bytes, pause_s: float) -> None:
    async def main() -> None:
        upstream = RawUpstream(head=b"HTTP/1.1 200 OK\r\n\r\n", piece=piece, pause_s=pause_s)
        await upstream.start()
        async with asyncio.timeout(8):
            with pytest.raises((StagedEngineError, OriginError)):
                await _ask(call, upstream.port)
            await upstream.wait_closed(1)
        assert upstream.sent < 32 * 1024 * 1024
        upstream.stop()

    asyncio.run(main())


@pytest.mark.parametrize("call", ["report", "manifest"])
def test_deeply_nested_answer_is_malformed(call: str) -> None:
    """The exception ended the task that follows the engine, and its last report stayed in use."""

    async def main() -> None:
        body = b"[" * 60_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        upstream = RawUpstream(head=head, piece=body, pieces=1)
        await upstream.start()
        async with asyncio.timeout(8):
            with pytest.raises((StagedEngineError, OriginError)):
                await _ask(call, upstream.port)
        upstream.stop()

    asyncio.run(main())


async def _read_manifest_error(address: str) -> str:
    origin = PlatformOrigin(address)
    try:
        with pytest.raises(OriginError) as caught:
            await origin.read_manifest("m0/1")
    finally:
        origin.close()
    return str(caught.value)


def test_an_error_of_the_origin_tells_a_refused_connection_from_a_lost_answer() -> None:
    async def main() -> tuple[str, str]:
        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        with reserve_address() as holder:
            ip, port = holder.getsockname()
            server = await asyncio.start_server(reset, ip, port)
            lost = await _read_manifest_error(f"{ip}:{port}")
            server.close()
            await server.wait_closed()
            return lost, await _read_manifest_error(f"{ip}:{port}")

    lost, refused = asyncio.run(main())
    assert "no answer: StreamClosedError" in lost
    assert "not sent: no connection: StreamClosedError" in refused
    assert "ConnectionRefusedError" in refused
    assert "0 other connections open" in lost


def test_an_idle_process_holds_no_connection_to_the_origin() -> None:
    """A host that loses power closes nothing, and the origin counts its connections."""

    async def run() -> None:
        open_connections = 0
        accepted = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal open_connections, accepted
            open_connections += 1
            accepted += 1
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
            open_connections -= 1
            writer.close()

        socket, port = bind_unused_port()
        server = await asyncio.start_server(serve, sock=socket)
        origins = [PlatformOrigin(f"127.0.0.1:{port}") for _ in range(3)]
        manifest = Manifest("m0/1", "m0", "", 3, 6, ("a", "b"))
        for origin in origins:
            for index in (0, 1):
                assert await origin.read_chunk(manifest, index) == b"abc"
        assert accepted == len(origins), "a connection serves successive requests"
        await asyncio.sleep(1.0)
        assert open_connections == 0
        for origin in origins:
            origin.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "change",
    [
        b'"kv_used": 1e999',
        b'"models": [{"name": "m", "version": 1e999}]',
        b'"pace": NaN',
        b'"pace": -1',
        b'"pace": 1e999',
        b'"running": ' + b"9" * 400,
    ],
)
def test_report_with_a_number_out_of_range_is_an_error(change: bytes) -> None:
    """An error of another type ends the task that reads reports; a pace of NaN spoils forecasts."""

    async def main() -> None:
        body = (
            b'{"running":0,"waiting":0,"kv_used":0,"kv_total":9,"pace":1.0,"busy":false,'
            b'"sequence":1,"models":[],' + change + b"}"
        )

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            writer.close()

        socket, port = bind_unused_port()
        server = await asyncio.start_server(serve, sock=socket)
        runner = PlatformRunner(f"127.0.0.1:{port}")
        with pytest.raises(StagedEngineError):
            await runner.read_report()
        runner.close()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(("cold_s", "at_most_ms"), [(0.0, 0), (3.0, 3000)])
def test_report_tells_how_long_the_runner_is_cold(cold_s: float, at_most_ms: int) -> None:
    """Entry hosts learn from the report that their requests are limited."""

    async def action(
        stand_in: RunnerStandIn, faults: Faults, runner: PlatformRunner, origin: PlatformOrigin
    ) -> None:
        stand_in.cold_until = time.monotonic() + cold_s if cold_s else 0.0
        report = await runner.read_report()
        assert report.cold_remaining_ms <= at_most_ms
        assert (report.cold_remaining_ms > 0) == (cold_s > 0)

    play(action)
