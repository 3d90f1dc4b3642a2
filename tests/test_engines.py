"""Tests that an engine in trouble cannot use up the memory of the process beside it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from sycamoreproxy import result_codes as codes
from sycamoreproxy.engine_control import (
    MAX_ANSWER_BYTES,
    EngineAnswerLostError,
    HttpEngineControl,
)
from sycamoreproxy.engines import (
    MAX_CONTROL_BYTES,
    MAX_RESPONSE_BYTES,
    EngineReportError,
    OpenAiEngine,
)
from sycamoreproxy.held_bytes import MAX_BUFFERED_BYTES
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.upstream_answers import UpstreamFailureError, UpstreamRequest
from tests._raw_upstream import PIECE_BYTES, RawUpstream

#: Bytes that the kernel may buffer on a loopback connection, beyond what a process has read.
KERNEL_BUFFER_BYTES = 16 * 1024 * 1024
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
ENDLESS_BODIES = [
    (b"", b"x" * PIECE_BYTES),
    (b"Transfer-Encoding: chunked\r\n", b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"),
    (b"Content-Length: 60000000\r\n", b"x" * PIECE_BYTES),
]


class _Listener:
    """Counts the relayed bytes."""

    def __init__(self) -> None:
        self.relayed = 0

    def on_head(self, status: int, headers: object, version: str) -> None:
        pass

    def on_output(self, data: bytes, tokens: int) -> None:
        self.relayed += len(data)


def _run(
    upstream: RawUpstream, action: Callable[[OpenAiEngine], Awaitable[None]], *, timeout_s: float
) -> None:
    async def run() -> None:
        await upstream.start()
        engine = OpenAiEngine(f"http://127.0.0.1:{upstream.port}", timeout_s)
        try:
            async with asyncio.timeout(15):
                await action(engine)
        finally:
            engine.close()
            upstream.stop()

    asyncio.run(run())


async def _generate(engine: OpenAiEngine) -> UpstreamFailureError:
    listener = _Listener()
    with pytest.raises(UpstreamFailureError) as raised:
        await engine.generate(
            UpstreamRequest(
                request_id="a",
                method="POST",
                path="/v1/chat/completions",
                headers=(),
                body=b"{}",
                priority=0,
                idempotent=False,
            ),
            listener,
        )
    assert listener.relayed == 0
    return raised.value


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_response_is_cut_at_the_size_limit(head: bytes, piece: bytes) -> None:
    """The process kept up to 64 MiB of each such response until the engine closed."""
    upstream = RawUpstream(head=JSON_HEAD + head + b"\r\n", piece=piece)

    async def action(engine: OpenAiEngine) -> None:
        failure = await _generate(engine)
        assert (failure.refusal.code, failure.refusal.executed) == (
            codes.ANSWER_TOO_LONG,
            Executed.UNKNOWN,
        )
        await upstream.wait_closed(1)
        assert upstream.sent < MAX_RESPONSE_BYTES + KERNEL_BUFFER_BYTES

    _run(upstream, action, timeout_s=2.0)


def test_long_responses_share_one_memory_limit() -> None:
    pieces = MAX_RESPONSE_BYTES // PIECE_BYTES - 1
    upstream = RawUpstream(head=JSON_HEAD + b"\r\n", piece=b"x" * PIECE_BYTES, pieces=pieces)

    async def action(engine: OpenAiEngine) -> None:
        count = 3 * MAX_BUFFERED_BYTES // MAX_RESPONSE_BYTES
        tasks = [asyncio.create_task(_generate(engine)) for _ in range(count)]
        while sum(task.done() for task in tasks) < count // 2:
            await asyncio.sleep(0.01)
        for task in tasks:
            if task.done():
                assert task.result().refusal.code is codes.ANSWER_TOO_LONG
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    _run(upstream, action, timeout_s=2.0)


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_load_report_is_cut_at_the_size_limit(head: bytes, piece: bytes) -> None:
    upstream = RawUpstream(head=JSON_HEAD + head + b"\r\n", piece=piece, pause_s=0.001)

    async def action(engine: OpenAiEngine) -> None:
        with pytest.raises(EngineReportError, match="an answer of over"):
            await engine.read_report()
        await upstream.wait_closed(1)
        assert upstream.sent < MAX_CONTROL_BYTES + KERNEL_BUFFER_BYTES

    _run(upstream, action, timeout_s=10.0)


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_response_to_a_control_call_is_cut_at_the_size_limit(
    head: bytes, piece: bytes
) -> None:
    upstream = RawUpstream(head=JSON_HEAD + head + b"\r\n", piece=piece)

    async def run() -> None:
        await upstream.start()
        control = HttpEngineControl(f"http://127.0.0.1:{upstream.port}", 5.0, 5.0)
        with pytest.raises(EngineAnswerLostError):
            await control.read_state()
        await upstream.wait_closed(1)
        assert upstream.sent < MAX_ANSWER_BYTES + KERNEL_BUFFER_BYTES
        control.close()
        upstream.stop()

    asyncio.run(run())
