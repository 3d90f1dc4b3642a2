"""Guards against actions that run too often, not at all, or never again after an error."""

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
async def test_runs_once_a_period_for_any_number_of_requests(
    requests_s: list[float], runs_s: list[float]
) -> None:
    runs: list[float] = []
    loop = asyncio.get_running_loop()
    start = loop.time()
    pulse = ThrottledAction(period_s=0.02, action=lambda: runs.append(loop.time() - start))
    for at in requests_s:
        await asyncio.sleep(start + at - loop.time())
        pulse.request()
    await asyncio.sleep(1.0)
    assert runs == pytest.approx(runs_s, abs=0.004)


@in_virtual_time
async def test_action_that_fails_runs_again() -> None:
    runs: list[int] = []

    def fail() -> None:
        runs.append(1)
        raise ValueError

    pulse = ThrottledAction(period_s=0.02, action=fail)
    for _ in range(2):
        pulse.request()
        await asyncio.sleep(0.1)
    pulse.request()
    pulse.close()
    pulse.request()
    await asyncio.sleep(0.1)
    assert len(runs) == 2
