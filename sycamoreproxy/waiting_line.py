"""Requests that wait at an entry host for room at an upstream, and which are refused at once.

Answers bursts beyond the capacity, and times without any engine. The most urgent requests that can
still be on time are placed first. A new request that could only be late is refused when it arrives
and told when to return. One that has returned is late in any case, and so is one that waited too
long because the rate fell: they wait behind the others for spare room, as long as they can still be
answered within their time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from sycamoreproxy.clock import Clock
from sycamoreproxy.placement import Choice, Requirements

#: Time over which placements are counted for the forecast of a wait, in seconds.
RATE_WINDOW_S = 1.0
#: Part of a request's goal that it may be forecast to wait; the rest is the engine's part.
WAIT_FRACTION_OF_GOAL = 0.5
#: Part of the engines' nominal rate that a host counts on while it places fewer: the nominal rate
#: is that of a full batch without any fault.
NOMINAL_FRACTION = 0.7
#: Lowest rate that a forecast assumes, in requests a second: one engine's, divided among hosts.
MIN_RATE = 1.0
#: Time that a request on time needs from its place to the first token, in seconds: some passes of a busy
#: engine and the reading of the prompt.
ON_TIME_FIRST_TOKEN_S = 0.15
#: Time that a late request needs from its place to the first token, in seconds.
FIRST_TOKEN_S = 0.7
#: Longest forecast of the first token with which a late request is sent, in seconds. Those on time get
#: the engine's reading first: some prompts of 800 tokens take 42 ms each.
LATE_FORECAST_S = 0.4
#: Requests that wait at once, whatever the forecast: a bound on memory.
MAX_WAITING = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Overload:
    """A refusal for want of capacity.

    :param wait_s: forecast wait in seconds.
    """

    wait_s: float


@dataclass(slots=True, kw_only=True)
class Waiter:
    """One request that waits.

    :param late_at: monotonic time at which it can't be on time any more.
    :param expires_at: monotonic time at which waiting is of no use any more.
    :param is_late: whether it waits behind those that can be on time.
    """

    requirements: Requirements
    arrived_at: float
    late_at: float
    expires_at: float
    is_late: bool
    placed: asyncio.Future[Choice | None]


Place = Callable[[Requirements], Choice | None]
#: Order of waiting requests: whether they are late, then their level.
_Order = tuple[bool, int]


class WaitingLine:
    """Keeps the waiting requests of one service in order and places them when there is room.

    :param place: chooses an upstream for a requirements, and counts the request there.
    :param nominal_rate: returns the requests a second that this host may expect to place.
    """

    def __init__(self, *, clock: Clock, place: Place, nominal_rate: Callable[[], float]) -> None:
        self._clock = clock
        self._place = place
        self._nominal_rate = nominal_rate
        self._waiters_by_order: dict[_Order, deque[Waiter]] = {}
        self._placed: deque[tuple[float, _Order]] = deque()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(waiters) for waiters in self._waiters_by_order.values())

    def count_by_level(self) -> dict[str, int]:
        """Return the number of waiting requests of each level."""
        return {
            f"{'late' if late else 'on time'} {level}": len(waiters)
            for (late, level), waiters in self._waiters_by_order.items()
        }

    def forecast_wait_s(self, level: int, *, is_late: bool = False) -> float:
        """Return the forecast wait of a request of this level that arrives now, in seconds."""
        ahead = sum(
            len(waiters)
            for order, waiters in self._waiters_by_order.items()
            if order <= (is_late, level)
        )
        if not ahead:
            return 0.0
        return (ahead + 1) / self._find_rate((is_late, level))

    def _find_rate(self, order: _Order) -> float:
        """Return the requests a second of this order that are placed while some wait.

        What more urgent requests take of the rate does not reach this one.
        """
        start = self._clock.monotonic() - RATE_WINDOW_S
        while self._placed and self._placed[0][0] < start:
            self._placed.popleft()
        total = max(len(self._placed) / RATE_WINDOW_S, NOMINAL_FRACTION * self._nominal_rate())
        taken = sum(1 for _, placed in self._placed if placed < order) / RATE_WINDOW_S
        return max(MIN_RATE, total - taken)

    def join(
        self,
        requirements: Requirements,
        *,
        goal_s: float,
        time_left_s: float,
        patience_s: float,
        answer_s: float,
        has_returned: bool,
    ) -> Choice | Waiter | Overload:
        """Place a request, let it wait, or refuse it.

        :param goal_s: time to the first token within which the answer is on time, in seconds.
        :param time_left_s: time until the answer must have ended, in seconds.
        :param patience_s: time until the first token after which the caller leaves, in seconds.
        :param answer_s: time from the first token to the end of the answer, in seconds.
        :param has_returned: whether the caller was refused before, so that it is late already.
        """
        self.pump()
        order = (has_returned, requirements.level)
        now = self._clock.monotonic()
        in_goal = replace(requirements, max_forecast_s=LATE_FORECAST_S if has_returned else goal_s)
        if not any(w for o, w in self._waiters_by_order.items() if o <= order):
            choice = self._place(in_goal)
            if choice is not None:
                self._placed.append((now, order))
                return choice
        wait = self.forecast_wait_s(requirements.level, is_late=has_returned)
        longest = min(time_left_s - answer_s, patience_s) - FIRST_TOKEN_S
        limit = longest if has_returned else min(longest, goal_s * WAIT_FRACTION_OF_GOAL)
        if wait > limit or len(self) >= MAX_WAITING:
            return Overload(wait_s=wait)
        waiter = Waiter(
            requirements=replace(in_goal, was_queued=True),
            arrived_at=now,
            late_at=now + goal_s - ON_TIME_FIRST_TOKEN_S,
            expires_at=now + longest,
            is_late=has_returned,
            placed=asyncio.get_running_loop().create_future(),
        )
        self._waiters_by_order.setdefault(order, deque()).append(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        waiters = self._waiters_by_order.get((waiter.is_late, waiter.requirements.level))
        if waiters is not None and waiter in waiters:
            waiters.remove(waiter)

    def _demote_late(self, now: float) -> None:
        """Move requests that can't be on time any more behind those that can.

        The first of a level are the oldest, but goals differ from route to route.
        """
        for is_late, level in list(self._waiters_by_order):
            if is_late:
                continue
            waiters = self._waiters_by_order[is_late, level]
            late = [waiter for waiter in waiters if waiter.late_at <= now]
            for waiter in late:
                waiters.remove(waiter)
                waiter.is_late = True
                waiter.requirements = replace(
                    waiter.requirements, urgency=0.0, max_forecast_s=LATE_FORECAST_S
                )
                self._waiters_by_order.setdefault((True, level), deque()).append(waiter)

    def pump(self) -> None:
        """Place every request that has room, the most urgent first."""
        now = self._clock.monotonic()
        self._demote_late(now)
        for order in sorted(self._waiters_by_order):
            waiters = self._waiters_by_order[order]
            while waiters:
                waiter = waiters[0]
                if waiter.placed.done():
                    waiters.popleft()
                    continue
                if waiter.expires_at <= now:
                    waiters.popleft()
                    waiter.placed.set_result(None)
                    continue
                choice = self._place(_shorten(waiter, now))
                if choice is None:
                    break
                waiters.popleft()
                self._placed.append((now, order))
                waiter.placed.set_result(choice)


def _shorten(waiter: Waiter, now: float) -> Requirements:
    """Return the requirements of a request with what is left of the time to its first token."""
    if waiter.is_late:
        return waiter.requirements
    left = waiter.late_at + ON_TIME_FIRST_TOKEN_S - now
    return replace(waiter.requirements, max_forecast_s=left)
