"""Guards against requests that a stop of the process beside an upstream cuts or leaves in doubt."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import AsyncMock, Mock

import pytest

from sycamoreproxy.messages import Finish, PeerStatus, Refuse
from sycamoreproxy.upstream_answers import AnswerListener, AnswerTotals, UpstreamRequest
from sycamoreproxy.upstream_process import UpstreamProcess
from tests._upstream import Deployment, run_deployment, wait_until


def _run(action: Callable[[Deployment], Awaitable[None]], **options: Any) -> None:
    async def main() -> None:
        async with run_deployment(**options) as deployment:
            await action(deployment)

    asyncio.run(main())


async def _stop(deployment: Deployment) -> None:
    """Take the steps of a process after SIGTERM."""
    process = UpstreamProcess(
        settings=Mock(),
        hub=deployment.hub,
        peer_server=Mock(),
        poller=Mock(),
        replica=Mock(close=AsyncMock()),
        role=deployment.role,
        owner=None,
        transfer=None,
        admin=AsyncMock(),
        store=Mock(),
        tasks=AsyncMock(),
    )
    await process.drain()
    await process.close()


def test_request_that_crosses_the_announcement_of_a_stop_is_refused_as_not_run() -> None:
    """An idle process closed its streams at once, and the request looked possibly executed."""

    async def action(deployment: Deployment) -> None:
        peer = deployment.peer
        stopping = asyncio.create_task(_stop(deployment))
        await wait_until(lambda: deployment.statuses and deployment.statuses[-1].state == "leaving")
        assert not peer.is_closed
        deployment.submit("a", b"1", kind="service", path="/x", idempotent=False)
        end = await deployment.wait_end("a")
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (1207, "no")
        await stopping
        assert not deployment.runs

    _run(action, kind="service")


class _LargeAnswers:
    """A service with responses of a fixed size."""

    def __init__(self, size: int) -> None:
        self.body = bytes(size)

    async def call(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerTotals:
        listener.on_head(200, (), "")
        listener.on_output(self.body, 0)
        return AnswerTotals()


@pytest.mark.parametrize("size", [1024 * 1024, 6 * 1024 * 1024], ids=["kernel", "process"])
def test_stop_waits_until_entry_hosts_have_received_the_responses(size: int) -> None:
    """What the process and the kernel had not sent yet was lost, and the response was cut."""

    async def action(deployment: Deployment) -> None:
        service = _LargeAnswers(size)
        deployment.role._service = service  # type: ignore[assignment]
        transport = deployment.peer._stream._require_transport()
        transport.pause_reading()
        deployment.submit("a", b"1", kind="service", path="/x")
        await wait_until(lambda: deployment.hub.bytes_out > size)
        stopping = asyncio.create_task(_stop(deployment))
        await asyncio.wait({stopping}, timeout=1.0)
        # The kernel resets a closed connection with unsent data when its peer sends more.
        deployment.peer.send(PeerStatus("ready", 0, ""))
        await asyncio.sleep(0.05)
        transport.resume_reading()
        assert isinstance(await deployment.wait_end("a"), Finish)
        assert deployment.read_data("a") == service.body
        await stopping

    _run(action, kind="service")
