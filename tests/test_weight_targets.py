"""Guards against requests that begin on an old version after its bound."""

from __future__ import annotations

import math

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.weight_targets import WeightTargets


def make_targets(
    *named: tuple[float, int], first_read: bool = False
) -> tuple[ManualClock, WeightTargets]:
    """Name versions at these times, in seconds."""
    clock = ManualClock()
    targets = WeightTargets(clock=clock, bound_s=8.0)
    for at, version in named:
        clock.advance(at - clock.monotonic())
        targets.set_target("m", version, is_first_read=first_read)
    return clock, targets


@pytest.mark.parametrize(
    ("named", "at", "minimum"),
    [
        ([], 100.0, 0),
        ([(0, 2)], 6.5, 0),
        ([(0, 2)], 7.0, 2),
        ([(0, 2), (4, 3)], 7.0, 2),
        ([(0, 2), (4, 3)], 11.0, 3),
        ([(0, 2), (20, 3), (21, 4)], 26.5, 2),
        ([(0, 3), (1, 2)], 7.0, 3),
    ],
)
def test_older_versions_answer_until_their_bound(
    named: list[tuple[float, int]], at: float, minimum: int
) -> None:
    clock, targets = make_targets(*named)
    clock.advance(at - clock.monotonic())
    assert targets.find_minimum_version("m") == minimum


def test_version_found_at_the_start_binds_at_once() -> None:
    """It was named long before the process started, and requests began on the version before."""
    _, targets = make_targets((0, 2), first_read=True)
    assert targets.find_minimum_version("m") == 2


def test_first_version_is_wanted_before_any_is_named() -> None:
    """Upstreams that start empty stood idle until the operator named a version."""
    _, targets = make_targets()
    assert targets.find_target("m") == 1


def test_time_to_bind_is_that_of_the_version() -> None:
    clock, targets = make_targets((0, 2), (4, 3))
    assert targets.time_to_cutover_s("m", 2) == pytest.approx(2.8)
    assert targets.time_to_cutover_s("m", 3) == pytest.approx(6.8)
    clock.advance(5)
    assert targets.time_to_cutover_s("m", 2) == 0.0


@pytest.mark.parametrize(("version", "expected"), [(1, 8.0), (2, 12.0), (3, math.inf)])
def test_end_of_a_version_is_the_bound_of_the_next(version: int, expected: float) -> None:
    """A request that waited at an engine began on a version after its bound."""
    _, targets = make_targets((0, 2), (4, 3))
    assert targets.find_end_time("m", version) == expected
