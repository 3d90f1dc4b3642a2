"""Requests that wait at an entry host for room at an upstream, and which are refused at once.

Answers bursts beyond the capacity: the most urgent are placed first, and a request that could
only be answered after its goal is refused when it arrives instead of after a wait.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.placement import Choice, Need

#: Time over which placements are counted for the forecast of a wait, in seconds.
RATE_WINDOW_S = 1.0
#: Part of a request's goal that it may be forecast to wait; the rest is the engine's part.
WAIT_FRACTION_OF_GOAL = 0.5
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

    :param expires_at: monotonic time at which waiting is of no use any more.
    """

    need: Need
    arrived_at: float
    expires_at: float
    placed: asyncio.Future[Choice | None]


Place = Callable[[Need], Choice | None]


class WaitingLine:
    """Keeps the waiting requests of one service by rank and places them when there is room.

    :param place: chooses an upstream for a need, and counts the request there.
    """

    def __init__(self, *, clock: Clock, place: Place) -> None:
        self._clock = clock
        self._place = place
        self._waiters_by_rank: dict[int, deque[Waiter]] = {}
        self._placed_at: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(waiters) for waiters in self._waiters_by_rank.values())

    def count_by_rank(self) -> dict[int, int]:
        """Return the number of waiting requests of each rank."""
        return {rank: len(waiters) for rank, waiters in self._waiters_by_rank.items()}

    def forecast_wait_s(self, rank: int) -> float:
        """Return the forecast wait of a request of this rank that arrives now."""
        ahead = sum(len(w) for r, w in self._waiters_by_rank.items() if r <= rank)
        if not ahead:
            return 0.0
        self._expire_rate()
        rate = max(1.0, len(self._placed_at) / RATE_WINDOW_S)
        return (ahead + 1) / rate

    def join(self, need: Need, *, goal_s: float, expires_at: float) -> Choice | Waiter | Overload:
        """Place a request, let it wait, or refuse it.

        :param goal_s: time to the first token within which the answer is on time, in seconds.
        """
        self.pump()
        ahead = any(w for r, w in self._waiters_by_rank.items() if r <= need.rank)
        if not ahead:
            choice = self._place(need)
            if choice is not None:
                self._placed_at.append(self._clock.monotonic())
                return choice
        wait = self.forecast_wait_s(need.rank)
        if wait > goal_s * WAIT_FRACTION_OF_GOAL or len(self) >= MAX_WAITING:
            return Overload(wait_s=wait)
        waiter = Waiter(
            need=need,
            arrived_at=self._clock.monotonic(),
            expires_at=expires_at,
            placed=asyncio.get_running_loop().create_future(),
        )
        self._waiters_by_rank.setdefault(need.rank, deque()).append(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        waiters = self._waiters_by_rank.get(waiter.need.rank)
        if waiters is not None and waiter in waiters:
            waiters.remove(waiter)

    def pump(self) -> None:
        """Place every request that has room, the most urgent first."""
        now = self._clock.monotonic()
        for rank in sorted(self._waiters_by_rank):
            waiters = self._waiters_by_rank[rank]
            while waiters:
                waiter = waiters[0]
                if waiter.placed.done():
                    waiters.popleft()
                    continue
                if waiter.expires_at <= now:
                    waiters.popleft()
                    waiter.placed.set_result(None)
                    continue
                choice = self._place(waiter.need)
                if choice is None:
                    break
                waiters.popleft()
                self._placed_at.append(now)
                waiter.placed.set_result(choice)

    def _expire_rate(self) -> None:
        start = self._clock.monotonic() - RATE_WINDOW_S
        while self._placed_at and self._placed_at[0] < start:
            self._placed_at.popleft()
