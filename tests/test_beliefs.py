"""Guards against use of a retired weight version after late notice of its successor."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from sycamoreproxy.beliefs import RoutingState
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.document_source import Document, Snapshot, SourceUnavailableError
from sycamoreproxy.platform.documents import PlatformDocuments
from sycamoreproxy.stalls import StallDetector
from sycamoreproxy.upstream_book import UpstreamCatalog
from sycamoreproxy.watched_documents import INTERRUPTION_LAG_S, DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets
from tests._fake_hub import FakeHub

BOUND_S = 8.0
VERSION_KEY = "op/version/m1"


class _Source:
    """Returns prepared responses, and advances the clock by a given time before each of them."""

    def __init__(self, clock: ManualClock, *responses: tuple[float, Snapshot | Exception]) -> None:
        self._clock = clock
        self.responses = list(responses)

    async def read_all(self, prefix: str, **options: Any) -> Snapshot:
        return await self._respond()

    async def wait_changes(
        self, prefix: str, *, after: int, wait_s: float, **options: Any
    ) -> Snapshot:
        return await self._respond()

    async def _respond(self) -> Snapshot:
        if not self.responses:
            await asyncio.Event().wait()
        delay_s, response = self.responses.pop(0)
        self._clock.advance(delay_s)
        if isinstance(response, Exception):
            raise response
        return response


def _make_version(version: int, revision: int) -> Snapshot:
    value = json.dumps({"model": "m1", "version": version}).encode()
    return Snapshot((Document(VERSION_KEY, revision, value),), revision)


LOST = SourceUnavailableError("lost")


@pytest.mark.parametrize(
    ("responses", "ticks", "lag_s"),
    [
        ([(20.0, _make_version(2, 3))], True, 0.0),
        ([(3.0, LOST), (0.5, _make_version(2, 3))], True, 3.5),
        ([(9.0, LOST), (0.5, _make_version(2, 3))], True, INTERRUPTION_LAG_S),
        ([(3.0, LOST), (0.5, Snapshot((), 2)), (9.0, _make_version(2, 3))], True, 0.0),
        ([(6.0, _make_version(2, 3))], False, 6.0),
    ],
    ids=[
        "received at once",
        "short interruption",
        "long interruption",
        "after an interruption",
        "process frozen",
    ],
)
def test_bound_counts_from_when_a_version_may_have_been_named(
    responses: list[tuple[float, Snapshot | Exception]], ticks: bool, lag_s: float
) -> None:
    """The bound starts when the version may have been named, not when its document was received.

    Otherwise a host that was disconnected or frozen would use retired weights longer, by the time
    during which it received nothing.
    """
    clock = ManualClock(start=50.0)
    source = _Source(clock, (0.0, _make_version(1, 2)), *responses)
    decoder, stalls = PlatformDocuments(), StallDetector(clock=clock)
    replica = DocumentReplica(
        source=source,
        hub=FakeHub(),  # type: ignore[arg-type]
        prefixes=("op/version/",),
        clock=clock,
        stall_lag_s=lambda: 0.0 if ticks else stalls.lag_s,
    )
    targets = WeightTargets(clock=clock, bound_s=BOUND_S)
    RoutingState(
        decoder=decoder,
        replica=replica,
        catalog=UpstreamCatalog(clock=clock, leave_s=2.0),
        targets=targets,
    )

    async def run() -> None:
        task = asyncio.create_task(replica.watch("op/version/"))
        async with asyncio.timeout(5):
            while targets.find_target("m1") < 2:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    assert targets.find_end_time("m1", 1) == pytest.approx(clock.monotonic() - lag_s + BOUND_S)
