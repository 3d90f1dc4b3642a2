"""Guards against mismatches between the control client and the engine stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import tornado.httpserver
import tornado.web
from tornado.testing import bind_unused_port

from standins._engine_model import EngineTiming
from standins._server import Faults
from standins.engine import StandinEngine, make_routes
from sycamoreproxy.engine_control import (
    EngineUnreachableError,
    HttpEngineControl,
    LoadOrder,
    OrderRefusedError,
)
from tests._weight_fakes import make_manifest
from tools.addresses import reserve_address

_CHUNKS = [b"one", b"two"]
_MANIFEST = make_manifest("v1", _CHUNKS, 3)


def _run(action: Callable[[HttpEngineControl], Awaitable[None]]) -> None:
    async def main() -> None:
        socket, port = bind_unused_port()
        timing = EngineTiming(
            slots=1,
            token_ms=1,
            batch_cost=0,
            prefill_ms_per_1k=1,
            cache_prefixes=1,
            max_running=1,
        )
        engine = StandinEngine(
            timing=timing,
            faults=Faults(seed=1),
            name="m",
            version="",
            digest="",
            load_s=0.01,
            report_lag_s=0,
            checks_fencing=True,
        )
        server = tornado.httpserver.HTTPServer(tornado.web.Application(make_routes(engine)))
        server.add_socket(socket)
        control = HttpEngineControl(f"http://127.0.0.1:{port}", timeout_s=5, order_timeout_s=5)
        try:
            await action(control)
        finally:
            control.close()
            server.stop()

    asyncio.run(asyncio.wait_for(main(), 20))


def _make_order(fence: int) -> LoadOrder:
    return LoadOrder("v1", _MANIFEST.digest, _MANIFEST.chunks, ("a",), fence)


async def _expect_refusal(call: Awaitable[object], status: int) -> None:
    try:
        await call
    except OrderRefusedError as error:
        assert error.status == status
    else:
        raise AssertionError("the order was not refused")


def test_load_is_confirmed_and_old_fencing_tokens_and_absent_chunks_are_refused() -> None:
    async def action(control: HttpEngineControl) -> None:
        assert (await control.read_state()).version == ""
        await _expect_refusal(control.load(_make_order(7)), 422)
        for digest, data in zip(_MANIFEST.chunks, _CHUNKS, strict=True):
            await control.put_chunk(digest, data)
        assert await control.list_chunks() == set(_MANIFEST.chunks)
        assert await control.load(_make_order(7)) == ("v1", _MANIFEST.digest)
        await _expect_refusal(control.load(_make_order(6)), 409)
        state = await control.read_state()
        assert (state.version, state.digest, state.fence) == ("v1", _MANIFEST.digest, 7)
        assert not state.loading and state.adapters == ("a",)
        await _expect_refusal(control.put_chunk(_MANIFEST.chunks[0], b"other"), 422)

    _run(action)


def test_refused_connection_raises_engine_unreachable() -> None:
    async def main() -> None:
        with reserve_address() as holder:
            url = f"http://127.0.0.1:{holder.getsockname()[1]}"
            control = HttpEngineControl(url, timeout_s=5, order_timeout_s=5)
            try:
                await control.read_state()
            except EngineUnreachableError:
                return
            finally:
                control.close()
            raise AssertionError("the call did not fail")

    asyncio.run(main())
