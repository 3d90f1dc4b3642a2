"""Guards against requests that start although no recent response would have been in time."""

from __future__ import annotations

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.response_times import (
    KEPT_S,
    MAX_ENDPOINTS,
    MAX_PATH_CHARACTERS,
    PROBE_PERIOD_S,
    ResponseTimes,
)


def _record(times: ResponseTimes, *seconds: float, path: str = "/x") -> None:
    for item in seconds:
        times.record("POST", path, item)


@pytest.mark.parametrize(
    ("recorded", "time_left_s", "admitted"),
    [
        ((), 0.1, 5),
        ((0.8,) * 4, 0.1, 5),
        ((0.8,) * 5, 0.1, 1),
        ((0.8,) * 5, 0.9, 5),
        ((0.8, 0.8, 0.8, 0.8, 0.05), 0.1, 5),
    ],
    ids=["unknown", "few", "too late", "in time", "one was in time"],
)
def test_request_that_no_recent_response_would_answer_in_time_is_not_admitted(
    recorded: tuple[float, ...], time_left_s: float, admitted: int
) -> None:
    times = ResponseTimes(clock=ManualClock())
    _record(times, *recorded)
    results = [times.try_admit("POST", "/x?a=1", time_left_s) for _ in range(5)]
    assert results.count(True) == admitted
    assert times.try_admit("GET", "/x", time_left_s)
    assert times.try_admit("POST", "/y", time_left_s)


def test_service_that_has_become_faster_is_noticed_by_a_probe() -> None:
    """Refused requests have no response, so the long times would stay the only ones known."""
    clock = ManualClock()
    times = ResponseTimes(clock=clock)
    _record(times, *[0.8] * 5)
    assert times.try_admit("POST", "/x", 0.1)
    assert not times.try_admit("POST", "/x", 0.1)
    clock.advance(PROBE_PERIOD_S)
    assert times.try_admit("POST", "/x", 0.1)
    _record(times, 0.05)
    assert [times.try_admit("POST", "/x", 0.1) for _ in range(3)] == [True] * 3


@pytest.mark.parametrize(("age_s", "is_known"), [(KEPT_S / 2 - 1, True), (KEPT_S, False)])
def test_old_response_times_are_forgotten(age_s: float, is_known: bool) -> None:
    clock = ManualClock()
    times = ResponseTimes(clock=clock)
    _record(times, *[0.8] * 5)
    clock.advance(age_s)
    assert (times.find_shortest("POST", "/x") > 0) == is_known


def test_times_of_many_paths_take_bounded_memory() -> None:
    times = ResponseTimes(clock=ManualClock())
    for number in range(MAX_ENDPOINTS + 10):
        _record(times, *[0.8] * 5, path=f"/{number}")
    assert len(times._endpoints_by_key) == MAX_ENDPOINTS
    assert times.find_shortest("POST", f"/{MAX_ENDPOINTS}") == 0.8
    _record(times, *[0.8] * 5, path="/" + "x" * MAX_PATH_CHARACTERS)
    assert f"/{MAX_ENDPOINTS + 9}" == next(reversed(times._endpoints_by_key))[1]
