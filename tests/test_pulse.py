"""Tests that a throttled action keeps its rate limit and runs again after an error."""

from __future__ import annotations

import asyncio

import pytest

from sycamoreproxy.pulse import ThrottledAction
from tests._virtual_time import in_virtual_time


@pytest.mark.parametrize(
    ("requests_s", "runs_s"),
    [
        ([], []),
        ([1.0], [1.0]),
        ([1.0, 1.0, 1.001], [1.0, 1.02]),
        ([1.0, 1.01, 1.015, 1.03], [1.0, 1.02, 1.04]),
        ([1.0, 2.0], [1.0, 2.0]),
    ],
)
@in_virtual_time
async def test_action_runs_at_most_once_per_period(
    requests_s: list[float], runs_s: list[float]
) -> None:
    runs: list[float] = []
    loop = asyncio.get_running_loop()
    start = loop.time()
    throttle = ThrottledAction(period_s=0.02, action=lambda: runs.append(loop.time() - start))
    for at in requests_s:
        await asyncio.sleep(start + at - loop.time())
        throttle.request()
    await asyncio.sleep(1.0)
    assert runs == pytest.approx(runs_s, abs=0.004)


@in_virtual_time
async def test_action_runs_again_after_an_error() -> None:
    runs: list[int] = []

    def fail() -> None:
        runs.append(1)
        raise ValueError

    throttle = ThrottledAction(period_s=0.02, action=fail)
    for _ in range(2):
        throttle.request()
        await asyncio.sleep(0.1)
    throttle.request()
    throttle.close()
    throttle.request()
    await asyncio.sleep(0.1)
    assert len(runs) == 2
