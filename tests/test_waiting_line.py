"""Tests that requests wait only while it helps them, and that more urgent ones go first."""

from __future__ import annotations

import asyncio
import math

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.placement import Choice, Requirements
from sycamoreproxy.waiting_line import ON_TIME_FIRST_TOKEN_S, Overload, QueuedRequest, RequestQueue
from tests._upstreams import make_upstream

CHOICE = Choice(
    record=make_upstream(1), forecast_s=0.1, running=0, waiting=0, unreported=0, report_age_s=0.0
)


class _Engine:
    """Fake engine that accepts ``capacity`` more requests."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.accepted_levels: list[int] = []

    def choose(self, requirements: Requirements) -> Choice | None:
        if self.capacity <= 0:
            return None
        self.capacity -= 1
        self.accepted_levels.append(requirements.level)
        return CHOICE


def make_queue(
    capacity: int, *, rate: float = 10.0, limited_rate: float = math.inf
) -> tuple[ManualClock, _Engine, RequestQueue]:
    clock, engine = ManualClock(start=5.0), _Engine(capacity)
    return (
        clock,
        engine,
        RequestQueue(
            clock=clock,
            choose_upstream=engine.choose,
            nominal_rate=lambda: rate,
            limited_rate=lambda: limited_rate,
        ),
    )


def submit(
    queue: RequestQueue,
    level: int,
    *,
    goal_s: float = 1.0,
    left_s: float = 6.0,
    caller_timeout_s: float = 4.0,
    is_retry: bool = False,
) -> Choice | QueuedRequest | Overload:
    return queue.submit(
        Requirements(level=level),
        goal_s=goal_s,
        time_left_s=left_s,
        caller_timeout_s=caller_timeout_s,
        generation_s=1.3,
        is_retry=is_retry,
    )


def test_order_is_urgency_then_arrival_with_late_requests_last() -> None:
    async def scenario() -> None:
        _, engine, queue = make_queue(0, rate=100.0)
        for level, is_retry in [(2, False), (0, True), (1, False), (0, False)]:
            assert isinstance(submit(queue, level, is_retry=is_retry), QueuedRequest)
        for _ in range(4):
            engine.capacity = 1
            queue.dispatch()
        assert engine.accepted_levels == [0, 1, 2, 0] and len(queue) == 0

    asyncio.run(scenario())


def test_request_that_could_only_be_late_is_refused_on_arrival() -> None:
    """A refusal after queueing costs the caller the time in which it could have retried."""

    async def scenario() -> None:
        _, _, queue = make_queue(0)
        outcomes = [type(submit(queue, 0, goal_s=0.4)) for _ in range(4)]
        assert outcomes == [QueuedRequest, Overload, Overload, Overload]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("left_s", "caller_timeout_s", "is_queued"),
    [(4.0, 4.0, True), (2.1, 4.0, False), (1.0, 4.0, False), (4.0, 1.2, False)],
)
def test_retried_request_is_queued_while_it_can_still_be_answered(
    left_s: float, caller_timeout_s: float, is_queued: bool
) -> None:
    """Callers disconnect before their deadline without a first token, so queueing was useless."""

    async def scenario() -> None:
        _, _, queue = make_queue(0)
        for _ in range(3):
            submit(queue, 2, is_retry=True)
        assert (
            isinstance(
                submit(queue, 2, left_s=left_s, caller_timeout_s=caller_timeout_s, is_retry=True),
                QueuedRequest,
            )
            is is_queued
        )

    asyncio.run(scenario())


@pytest.mark.parametrize(("limited_rate", "refused"), [(math.inf, 0), (3.0, 0), (0.9, 1), (0.0, 3)])
def test_late_requests_that_limits_leave_no_permit_for_are_refused(
    limited_rate: float, refused: int
) -> None:
    """With limits at all engines, refusals came 2.5 s after the request."""

    async def scenario() -> None:
        clock, engine, queue = make_queue(0, rate=100.0, limited_rate=limited_rate)
        requests = [submit(queue, 0, goal_s=0.4) for _ in range(3)]
        assert all(isinstance(request, QueuedRequest) for request in requests)
        clock.advance(0.3)
        queue.dispatch()
        # The caller's time-out leaves 3.3 s, of which 3.0 s are left.
        assert len(queue) == 3 - refused
        engine.capacity = 3
        queue.dispatch()
        assert len(engine.accepted_levels) == 3 - refused

    asyncio.run(scenario())


def test_host_with_more_permits_than_its_share_keeps_its_late_requests() -> None:
    """A share of the limit says little of the permits of a host that gets nearly all requests."""

    async def scenario() -> None:
        clock, _, queue = make_queue(8, rate=100.0, limited_rate=0.1)
        for _ in range(8):
            assert submit(queue, 0, goal_s=0.4) is CHOICE
        assert isinstance(submit(queue, 0, goal_s=0.4), QueuedRequest)
        clock.advance(0.3)
        queue.dispatch()
        assert len(queue) == 1

    asyncio.run(scenario())


def test_urgent_request_overtakes_queued_ones() -> None:
    async def scenario() -> None:
        _, engine, queue = make_queue(0)
        request = submit(queue, 2)
        assert isinstance(request, QueuedRequest)
        engine.capacity = 1
        assert submit(queue, 0) is CHOICE or request.choice.done()

    asyncio.run(scenario())


def test_queued_request_expires_at_the_deadline_of_its_caller() -> None:
    async def scenario() -> None:
        clock, _, queue = make_queue(0)
        request = submit(queue, 0, left_s=3.0)
        assert isinstance(request, QueuedRequest)
        clock.advance(1.1)
        queue.dispatch()
        assert request.choice.result() is None and len(queue) == 0

    asyncio.run(scenario())


def test_cancelled_request_uses_no_capacity() -> None:
    async def scenario() -> None:
        _, engine, queue = make_queue(0)
        first, second = submit(queue, 1), submit(queue, 1)
        assert isinstance(first, QueuedRequest) and isinstance(second, QueuedRequest)
        first.choice.cancel()
        queue.remove(first)
        engine.capacity = 1
        queue.dispatch()
        assert second.choice.result() is CHOICE and engine.accepted_levels == [1]

    asyncio.run(scenario())


def test_queue_length_is_bounded() -> None:
    async def scenario() -> None:
        _, _, queue = make_queue(0, rate=1e6)
        outcomes = [type(submit(queue, 1)) for _ in range(300)]
        assert outcomes.count(QueuedRequest) == 256

    asyncio.run(scenario())


def test_rate_used_by_urgent_requests_is_not_available_to_others() -> None:
    """In a burst, the least urgent requests waited twice as long as forecast and were late."""

    async def scenario() -> None:
        _, _, queue = make_queue(8, rate=10.0)
        for _ in range(8):
            assert submit(queue, 0) is CHOICE
        assert isinstance(submit(queue, 2, goal_s=4.0), QueuedRequest)
        assert queue.forecast_wait_s(0) == 0.0
        assert queue.forecast_wait_s(2) == 2.0

    asyncio.run(scenario())


def test_queued_request_that_can_only_be_late_is_overtaken() -> None:
    """After one second at half the rate, each request queued behind late ones and was late, too."""

    async def scenario() -> None:
        clock, engine, queue = make_queue(0, rate=100.0)
        old = [submit(queue, 1, goal_s=0.4) for _ in range(3)]
        clock.advance(0.35)
        new = submit(queue, 1, goal_s=0.4)
        assert isinstance(new, QueuedRequest)
        engine.capacity = 1
        queue.dispatch()
        assert new.choice.done()
        assert not any(
            isinstance(request, QueuedRequest) and request.choice.done() for request in old
        )
        engine.capacity = 3
        queue.dispatch()
        assert all(isinstance(request, QueuedRequest) and request.choice.done() for request in old)

    asyncio.run(scenario())


def test_half_the_rate_keeps_half_the_requests_on_time() -> None:
    """Simulates two seconds of 40 requests per second on engines that serve 20 per second."""

    async def scenario() -> None:
        clock, engine, queue = make_queue(0, rate=20.0)
        queued: list[tuple[float, QueuedRequest]] = []
        on_time = 0
        for step in range(80):
            outcome = submit(queue, 1, goal_s=0.4)
            if isinstance(outcome, QueuedRequest):
                queued.append((clock.monotonic(), outcome))
            elif outcome is CHOICE:
                on_time += 1
            engine.capacity = min(1, engine.capacity + step % 2)
            queue.dispatch()
            for queued_at, request in list(queued):
                if request.choice.done():
                    on_time += clock.monotonic() - queued_at <= 0.4 - ON_TIME_FIRST_TOKEN_S
                    queued.remove((queued_at, request))
            clock.advance(0.025)
        assert on_time >= 34

    asyncio.run(scenario())
