"""Tests which requests a stopping host begins, without a network."""

from __future__ import annotations

import math
import random

import pytest

from sycamoreproxy.answer_relay import RequestProgress, TimeLimit
from sycamoreproxy.caller_request import CallerRequest
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.engine_forecast import EngineForecast
from sycamoreproxy.placement import Choice
from sycamoreproxy.route_table import EngineProfile, Route, RouteKind, ServiceSpec
from sycamoreproxy.routed_entry import READY_DRAIN_S
from sycamoreproxy.stop_limit import LIKELY_OUTPUT_FRACTION, StopLimit
from sycamoreproxy.streams import Address
from sycamoreproxy.upstream_book import UpstreamRecord

#: Time from SIGTERM until requests must have ended, in seconds.
STOP_S = 6.9
#: Latest arrival of a request in a stop, in seconds: on a connection opened as the listener closes.
LATEST_ARRIVAL_S = READY_DRAIN_S + 0.6
MEAN_TOKENS = 100
MAX_TOKENS = 250

PROFILE = EngineProfile(
    slots=12,
    steps_per_pass=5,
    step_s=0.009,
    step_s_per_request=0.0,
    step_s_per_1k_context=0.0,
    prefill_tokens_per_s=20_000.0,
    prefill_s_per_1m_pairs=0.0,
    kv_capacity_tokens=1_000_000,
    mean_prompt_tokens=900,
    mean_output_tokens=MEAN_TOKENS,
    chunks=0,
    chunk_bytes=0,
    models=("m",),
)


def _make_stop(clock: ManualClock) -> StopLimit:
    stop = StopLimit(clock=clock)
    stop.shorten(ends_in_s=STOP_S, closes_in_s=READY_DRAIN_S)
    return stop


def _make_progress(
    clock: ManualClock,
    *,
    kind: RouteKind = RouteKind.STREAMING,
    deadline_s: float = 30.0,
    answer_tokens: int = MAX_TOKENS,
    engine: EngineProfile | None = PROFILE,
) -> RequestProgress:
    """Return a request that arrives now."""
    request = CallerRequest(
        request_id="a",
        method="POST",
        host="h",
        target="/",
        key="",
        time_left_s=deadline_s,
        answer_tokens=answer_tokens,
    )
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        timeout_s=60.0,
        target_latency_s=0.4,
        weight_by_service={"s": 1.0},
    )
    return RequestProgress(
        request=request,
        route=route,
        account="",
        service=ServiceSpec(name="s", engine=engine),
        received_at=clock.monotonic(),
        deadline=clock.monotonic() + deadline_s,
        level=0,
        urgency=1.0,
        last_event_id=None,
        excluded=set(),
    )


def _make_choice(*, forecast_s: float, pace: float) -> Choice:
    record = UpstreamRecord(
        instance="i-1",
        service="s",
        address=Address("127.0.0.1", 1),
        availability_zone="z1",
        slots=PROFILE.slots,
    )
    return Choice(
        record=record,
        forecast_s=forecast_s,
        running=0,
        waiting=0,
        unreported=0,
        report_age_s=0.0,
        last_pace=pace,
    )


@pytest.mark.parametrize("seed", range(20))
def test_no_generation_of_a_likely_length_that_is_begun_in_a_stop_outlasts_it(seed: int) -> None:
    """A response longer than the mean, or of a slow engine, was cut by the end of the stop."""
    source, clock = random.Random(seed), ManualClock()
    begun = 0
    for _ in range(200):
        stop = _make_stop(clock)
        sigterm_at = clock.monotonic()
        arrival_s = source.uniform(0, LATEST_ARRIVAL_S)
        clock.advance(arrival_s)
        progress = _make_progress(clock, deadline_s=source.uniform(0.5, 30))
        clock.advance(source.choice([0.0, source.uniform(0, 2)]))
        first_s, pace = source.uniform(0.05, 1.0), source.uniform(0.8, 4)
        is_closing = arrival_s >= READY_DRAIN_S
        longest = MAX_TOKENS if is_closing else int(LIKELY_OUTPUT_FRACTION * MAX_TOKENS)
        tokens = source.randint(1, longest)
        generation_s = EngineForecast(PROFILE, pace).generation_s(tokens)
        if stop.check(progress, _make_choice(forecast_s=first_s, pace=pace)) is None:
            begun += 1
            ends_at = min(progress.deadline, clock.monotonic() + first_s + generation_s)
            assert ends_at <= sigterm_at + STOP_S
    assert begun > 20


@pytest.mark.parametrize(
    ("arrival_s", "fields", "is_begun"),
    [
        (0.5, {}, True),
        (4.0 - LATEST_ARRIVAL_S, {}, True),
        (READY_DRAIN_S - 0.1, {"answer_tokens": 50}, True),
        (READY_DRAIN_S + 0.1, {"answer_tokens": 50}, False),
        (READY_DRAIN_S + 0.1, {"deadline_s": 3.9}, True),
        (READY_DRAIN_S + 0.1, {"deadline_s": 4.1}, False),
        (0.5, {"answer_tokens": 1000}, False),
        (0.5, {"answer_tokens": 1000, "deadline_s": 6.0}, True),
        (0.5, {"answer_tokens": 0}, True),
        (READY_DRAIN_S + 0.1, {"answer_tokens": 0}, False),
        (0.5, {"engine": None}, True),
        (READY_DRAIN_S + 0.1, {"engine": None}, False),
        (0.5, {"engine": None, "kind": RouteKind.IDEMPOTENT}, True),
        (READY_DRAIN_S + 0.1, {"engine": None, "kind": RouteKind.IDEMPOTENT}, False),
        (
            READY_DRAIN_S + 0.1,
            {"engine": None, "kind": RouteKind.IDEMPOTENT, "deadline_s": 1.0},
            True,
        ),
    ],
)
def test_request_is_begun_in_a_stop_only_if_its_end_is_known_in_time(
    arrival_s: float, fields: dict[str, object], is_begun: bool
) -> None:
    clock = ManualClock()
    stop = _make_stop(clock)
    clock.advance(arrival_s)
    progress = _make_progress(clock, **fields)  # type: ignore[arg-type]
    assert (stop.check(progress) is None) is is_begun


def test_request_that_may_have_been_executed_is_resent_if_a_mean_response_fits() -> None:
    """It would otherwise end with an incomplete response before the stop does."""
    clock = ManualClock()
    stop = _make_stop(clock)
    clock.advance(READY_DRAIN_S + 0.1)
    progress = _make_progress(clock)
    assert stop.check(progress) is not None
    progress.executions = 1
    assert stop.check(progress) is None
    clock.advance(STOP_S - READY_DRAIN_S - 0.6)
    assert stop.check(progress) is not None


def test_running_process_refuses_nothing_for_a_stop() -> None:
    clock = ManualClock()
    stop, progress = StopLimit(clock=clock), _make_progress(clock, answer_tokens=0)
    assert stop.check(progress) is None and not stop.is_stopping
    assert stop.find_queue_time_left_s(progress) == math.inf
    assert stop.find_time_limit(progress) is TimeLimit.CALLER


def test_later_and_longer_times_do_not_extend_a_stop() -> None:
    """The close of the listener sets the times again, and must not put off the end."""
    clock = ManualClock()
    stop = _make_stop(clock)
    ends_at = stop.ends_at
    clock.advance(1.0)
    stop.shorten(ends_in_s=60.0, closes_in_s=60.0)
    assert stop.ends_at == ends_at
    clock.advance(READY_DRAIN_S)
    assert stop.check(_make_progress(clock, answer_tokens=1)) is not None
