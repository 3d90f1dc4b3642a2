"""Guards against pieces, reports and orders that are taken for something else."""

from __future__ import annotations

import asyncio
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
from sycamoreproxy.engine_stage import OrderOutcome, StageError
from sycamoreproxy.origins import OriginError
from sycamoreproxy.platform.runner import PlatformOrigin, PlatformRunner
from sycamoreproxy.weights import compute_chunk_digest

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
        assert await runner.order_start("m1", 2, expected=0) is OrderOutcome.BEGUN
        assert (await runner.read_report()).is_loading
        await asyncio.sleep(0.2)
        assert (await runner.read_report()).version_by_model == (("m1", 2),)
        assert await runner.order_start("m1", 2, expected=1) is OrderOutcome.IN_EFFECT

    play(action)


def test_order_that_does_not_fit_is_an_error() -> None:
    async def action(
        stand_in: RunnerStandIn, faults: Faults, runner: PlatformRunner, origin: PlatformOrigin
    ) -> None:
        with pytest.raises(StageError):
            await runner.order_start("m1", 2, expected=7)
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
