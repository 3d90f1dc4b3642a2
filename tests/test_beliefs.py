"""Guards against ended weights in use after a version was heard of late."""

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
    """Gives prepared answers, each after a time; what the clock shows then is later, too."""

    def __init__(self, clock: ManualClock, *answers: tuple[float, Snapshot | Exception]) -> None:
        self._clock = clock
        self.answers = list(answers)

    async def read_all(self, prefix: str, **options: Any) -> Snapshot:
        return await self._answer()

    async def wait_changes(
        self, prefix: str, *, after: int, wait_s: float, **options: Any
    ) -> Snapshot:
        return await self._answer()

    async def _answer(self) -> Snapshot:
        if not self.answers:
            await asyncio.Event().wait()
        after_s, answer = self.answers.pop(0)
        self._clock.advance(after_s)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _make_version(version: int, revision: int) -> Snapshot:
    value = json.dumps({"model": "m1", "version": version}).encode()
    return Snapshot((Document(VERSION_KEY, revision, value),), revision)


LOST = SourceUnavailableError("lost")


@pytest.mark.parametrize(
    ("answers", "ticks", "lag_s"),
    [
        ([(20.0, _make_version(2, 3))], True, 0.0),
        ([(3.0, LOST), (0.5, _make_version(2, 3))], True, 3.5),
        ([(9.0, LOST), (0.5, _make_version(2, 3))], True, INTERRUPTION_LAG_S),
        ([(3.0, LOST), (0.5, Snapshot((), 2)), (9.0, _make_version(2, 3))], True, 0.0),
        ([(6.0, _make_version(2, 3))], False, 6.0),
    ],
    ids=["heard at once", "short interruption", "long one", "after it", "frozen meanwhile"],
)
def test_bound_counts_from_when_a_version_may_have_been_named(
    answers: list[tuple[float, Snapshot | Exception]], ticks: bool, lag_s: float
) -> None:
    """A host that was cut off or frozen used ended weights for as long as it had heard nothing."""
    clock = ManualClock(start=50.0)
    source = _Source(clock, (0.0, _make_version(1, 2)), *answers)
    documents, stalls = PlatformDocuments(), StallDetector(clock=clock)
    replica = DocumentReplica(
        source=source,
        hub=FakeHub(),  # type: ignore[arg-type]
        prefixes=("op/version/",),
        clock=clock,
        stall_lag_s=lambda: 0.0 if ticks else stalls.lag_s,
    )
    targets = WeightTargets(clock=clock, bound_s=BOUND_S)
    RoutingState(
        decoder=documents,
        replica=replica,
        catalog=UpstreamCatalog(clock=clock, leave_s=2.0),
        targets=targets,
    )

    async def play() -> None:
        task = asyncio.create_task(replica.watch("op/version/"))
        async with asyncio.timeout(5):
            while targets.find_target("m1") < 2:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())
    assert targets.find_end_time("m1", 1) == pytest.approx(clock.monotonic() - lag_s + BOUND_S)
