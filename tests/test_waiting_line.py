"""Guards against waits that can't help, and against less urgent requests going first."""

from __future__ import annotations

import asyncio

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.placement import Choice, Requirements
from sycamoreproxy.waiting_line import ON_TIME_FIRST_TOKEN_S, Overload, Waiter, WaitingLine
from tests._upstreams import make_upstream

CHOICE = Choice(
    record=make_upstream(1), forecast_s=0.1, running=0, waiting=0, unreported=0, report_age_s=0.0
)


class _Engine:
    """Has room for a number of requests."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.placed: list[int] = []

    def place(self, requirements: Requirements) -> Choice | None:
        if self.room <= 0:
            return None
        self.room -= 1
        self.placed.append(requirements.level)
        return CHOICE


def make_line(room: int, *, rate: float = 10.0) -> tuple[ManualClock, _Engine, WaitingLine]:
    clock, engine = ManualClock(start=5.0), _Engine(room)
    return clock, engine, WaitingLine(clock=clock, place=engine.place, nominal_rate=lambda: rate)


def join(
    line: WaitingLine,
    level: int,
    *,
    goal_s: float = 1.0,
    left_s: float = 6.0,
    patience_s: float = 4.0,
    back: bool = False,
) -> Choice | Waiter | Overload:
    return line.join(
        Requirements(level=level),
        goal_s=goal_s,
        time_left_s=left_s,
        patience_s=patience_s,
        answer_s=1.3,
        has_returned=back,
    )


def test_order_is_urgency_then_arrival_and_late_ones_last() -> None:
    async def play() -> None:
        _, engine, line = make_line(0, rate=100.0)
        for level, back in [(2, False), (0, True), (1, False), (0, False)]:
            assert isinstance(join(line, level, back=back), Waiter)
        for _ in range(4):
            engine.room = 1
            line.pump()
        assert engine.placed == [0, 1, 2, 0] and len(line) == 0

    asyncio.run(play())


def test_request_that_could_only_be_late_is_refused_at_once() -> None:
    """Held and refused later, a caller loses the time in which it could have returned."""

    async def play() -> None:
        _, _, line = make_line(0)
        outcomes = [type(join(line, 0, goal_s=0.4)) for _ in range(4)]
        assert outcomes == [Waiter, Overload, Overload, Overload]

    asyncio.run(play())


@pytest.mark.parametrize(
    ("left_s", "patience_s", "waits"),
    [(4.0, 4.0, True), (2.1, 4.0, False), (1.0, 4.0, False), (4.0, 1.2, False)],
)
def test_returned_caller_waits_while_it_can_still_be_answered(
    left_s: float, patience_s: float, waits: bool
) -> None:
    """Callers leave before their deadline if no token comes; the wait for them was in vain."""

    async def play() -> None:
        _, _, line = make_line(0)
        for _ in range(3):
            join(line, 2, back=True)
        assert (
            isinstance(join(line, 2, left_s=left_s, patience_s=patience_s, back=True), Waiter)
            is waits
        )

    asyncio.run(play())


def test_urgent_request_is_placed_past_the_waiting_ones() -> None:
    async def play() -> None:
        _, engine, line = make_line(0)
        waiter = join(line, 2)
        assert isinstance(waiter, Waiter)
        engine.room = 1
        assert join(line, 0) is CHOICE or waiter.placed.done()

    asyncio.run(play())


def test_wait_ends_at_the_callers_time() -> None:
    async def play() -> None:
        clock, _, line = make_line(0)
        waiter = join(line, 0, left_s=3.0)
        assert isinstance(waiter, Waiter)
        clock.advance(1.1)
        line.pump()
        assert waiter.placed.result() is None and len(line) == 0

    asyncio.run(play())


def test_cancelled_waiter_takes_no_place() -> None:
    async def play() -> None:
        _, engine, line = make_line(0)
        first, second = join(line, 1), join(line, 1)
        assert isinstance(first, Waiter) and isinstance(second, Waiter)
        first.placed.cancel()
        line.leave(first)
        engine.room = 1
        line.pump()
        assert second.placed.result() is CHOICE and engine.placed == [1]

    asyncio.run(play())


def test_line_is_bounded() -> None:
    async def play() -> None:
        _, _, line = make_line(0, rate=1e6)
        kinds = [type(join(line, 1)) for _ in range(300)]
        assert kinds.count(Waiter) == 256

    asyncio.run(play())


def test_rate_that_urgent_requests_take_is_not_counted_on() -> None:
    """In a burst the least urgent waited twice as long as forecast and were late."""

    async def play() -> None:
        _, _, line = make_line(8, rate=10.0)
        for _ in range(8):
            assert join(line, 0) is CHOICE
        assert isinstance(join(line, 2, goal_s=4.0), Waiter)
        assert line.forecast_wait_s(0) == 0.0
        assert line.forecast_wait_s(2) == 2.0

    asyncio.run(play())


def test_waiter_that_can_only_be_late_lets_the_others_pass() -> None:
    """After one second at half the rate every request was late, as each waited behind late ones."""

    async def play() -> None:
        clock, engine, line = make_line(0, rate=100.0)
        old = [join(line, 1, goal_s=0.4) for _ in range(3)]
        clock.advance(0.35)
        new = join(line, 1, goal_s=0.4)
        assert isinstance(new, Waiter)
        engine.room = 1
        line.pump()
        assert new.placed.done()
        assert not any(isinstance(waiter, Waiter) and waiter.placed.done() for waiter in old)
        engine.room = 3
        line.pump()
        assert all(isinstance(waiter, Waiter) and waiter.placed.done() for waiter in old)

    asyncio.run(play())


def test_half_the_rate_keeps_half_the_requests_on_time() -> None:
    """Plays two seconds of 40 requests a second on engines that take 20."""

    async def play() -> None:
        clock, engine, line = make_line(0, rate=20.0)
        arrived: list[tuple[float, Waiter]] = []
        on_time = 0
        for step in range(80):
            joined = join(line, 1, goal_s=0.4)
            if isinstance(joined, Waiter):
                arrived.append((clock.monotonic(), joined))
            elif joined is CHOICE:
                on_time += 1
            engine.room = min(1, engine.room + step % 2)
            line.pump()
            for at, waiter in list(arrived):
                if waiter.placed.done():
                    on_time += clock.monotonic() - at <= 0.4 - ON_TIME_FIRST_TOKEN_S
                    arrived.remove((at, waiter))
            clock.advance(0.025)
        assert on_time >= 34

    asyncio.run(play())
