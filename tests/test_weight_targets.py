"""Tests that no request begins on an older version after its bound."""

from __future__ import annotations

import math

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.weight_targets import WeightTargets


def make_targets(
    *changes: tuple[float, int], first_read: bool = False
) -> tuple[ManualClock, WeightTargets]:
    """Set target versions at these times.

    :param changes: pairs of a time in seconds and a version.
    """
    clock = ManualClock()
    targets = WeightTargets(clock=clock, bound_s=8.0)
    for at_s, version in changes:
        clock.advance(at_s - clock.monotonic())
        targets.set_target("m", version, is_first_read=first_read)
    return clock, targets


@pytest.mark.parametrize(
    ("changes", "at_s", "minimum"),
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
def test_older_versions_are_used_until_the_cutover(
    changes: list[tuple[float, int]], at_s: float, minimum: int
) -> None:
    clock, targets = make_targets(*changes)
    clock.advance(at_s - clock.monotonic())
    assert targets.find_minimum_version("m") == minimum


def test_version_read_at_the_start_takes_effect_at_once() -> None:
    """The version was set long before the process started, yet requests began on the older one."""
    _, targets = make_targets((0, 2), first_read=True)
    assert targets.find_minimum_version("m") == 2


def test_initial_version_is_the_target_before_any_is_set() -> None:
    """Upstreams that started without weights were idle until the operator set a version."""
    _, targets = make_targets()
    assert targets.find_target("m") == 1


def test_time_to_cutover_is_that_of_the_version() -> None:
    clock, targets = make_targets((0, 2), (4, 3))
    assert targets.time_to_cutover_s("m", 2) == pytest.approx(2.8)
    assert targets.time_to_cutover_s("m", 3) == pytest.approx(6.8)
    clock.advance(5)
    assert targets.time_to_cutover_s("m", 2) == 0.0


@pytest.mark.parametrize(("version", "expected"), [(1, 8.0), (2, 12.0), (3, math.inf)])
def test_version_ends_at_the_bound_of_the_next(version: int, expected: float) -> None:
    """A request that was queued at an engine began on a version after its bound."""
    _, targets = make_targets((0, 2), (4, 3))
    assert targets.find_end_time("m", version) == expected
