"""Guards against requests that a stop of the process beside an upstream cuts or leaves in doubt."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import AsyncMock, Mock

from sycamoreproxy.messages import Refuse
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
