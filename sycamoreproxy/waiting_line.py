"""Queues requests on an entry host until an upstream has capacity, or refuses them on arrival.

Handles bursts above the capacity and times without any engine. The most urgent requests that can
still meet their latency goal are dispatched first. A new request that could only miss its goal is
refused on arrival with a time to retry after. A retried request misses its goal in any case, and so
does one that waited too long because the throughput dropped. Both queue behind the others for spare
capacity, as long as they can still complete before their deadline.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from sycamoreproxy.clock import Clock
from sycamoreproxy.placement import Choice, Requirements
from sycamoreproxy.regions import AllowedRegions, covers

#: Sliding window over which dispatched requests are counted to forecast the queueing time, in
#: seconds.
RATE_WINDOW_S = 1.0
#: The same window while every upstream names a limit, in seconds. Permits may be seconds apart.
LIMITED_RATE_WINDOW_S = 4.0
#: Maximum forecast queueing time as a fraction of the latency goal. The engine uses the rest.
MAX_WAIT_GOAL_FRACTION = 0.5
#: Fraction of the engines' nominal rate that a host assumes while it dispatches fewer requests. The
#: nominal rate is that of a full batch without any fault.
NOMINAL_RATE_FRACTION = 0.7
#: Lowest rate that a forecast assumes, in requests per second: the rate of one engine divided among
#: the entry hosts.
MIN_RATE_PER_S = 1.0
#: Time from dispatch to the first token for a request that can meet its goal, in seconds: some
#: passes of a busy engine and the prefill of the prompt.
ON_TIME_FIRST_TOKEN_S = 0.15
#: Time from dispatch to the first token for a late request, in seconds.
LATE_FIRST_TOKEN_S = 0.7
#: Longest forecast time to first token with which a late request is sent, in seconds. Requests that
#: can meet their goal use the engine's prefill capacity first; a prompt of 800 tokens takes 42 ms.
LATE_MAX_FORECAST_S = 0.4
#: Maximum queue length, whatever the forecast, to limit memory.
MAX_QUEUED = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Overload:
    """A refusal for lack of capacity.

    :param wait_s: forecast queueing time in seconds.
    """

    wait_s: float


@dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """A request in the queue.

    :param late_at: monotonic time from which the request can no longer meet its latency goal.
    :param expires_at: monotonic time from which no response is possible before the deadline or
        before the caller disconnects.
    :param is_late: whether it queues behind requests that can still meet their goal.
    :param choice: future of the chosen upstream; its result is None if the request expired.
    """

    requirements: Requirements
    arrived_at: float
    late_at: float
    expires_at: float
    is_late: bool
    choice: asyncio.Future[Choice | None]

    def shorten(self, *, time_left_s: float, generation_s: float, now: float) -> None:
        """Have the request expire earlier if its response must end earlier than was known.

        The parameters are those of :meth:`RequestQueue.submit`.
        """
        expires_at = now + time_left_s - generation_s - LATE_FIRST_TOKEN_S
        self.expires_at = min(self.expires_at, expires_at)


ChooseUpstream = Callable[[Requirements], Choice | None]
#: Sort key of queued requests: whether they are late, then their priority level.
_Order = tuple[bool, int]


class RequestQueue:
    """Priority queue of one service's requests, dispatched as upstreams have capacity.

    :param choose_upstream: chooses an upstream and records the request as sent to it; returns None
        while no upstream has capacity.
    :param nominal_rate: returns the rate at which this host may expect to dispatch, in requests per
        second.
    :param limited_rate: returns this host's share of the limits that upstreams named, in requests
        per second; infinite while an upstream has no limit.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        choose_upstream: ChooseUpstream,
        nominal_rate: Callable[[], float],
        limited_rate: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._clock = clock
        self._choose_upstream = choose_upstream
        self._nominal_rate = nominal_rate
        self._limited_rate = limited_rate
        self._queued_by_order: dict[_Order, deque[QueuedRequest]] = {}
        self._dispatched: deque[tuple[float, _Order]] = deque()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queued) for queued in self._queued_by_order.values())

    def count_by_level(self) -> dict[str, int]:
        """Return the number of queued requests by lateness and priority level."""
        return {
            f"{'late' if late else 'on time'} {level}": len(queued)
            for (late, level), queued in self._queued_by_order.items()
        }

    def forecast_wait_s(
        self, level: int, *, is_late: bool = False, allowed: AllowedRegions = None
    ) -> float:
        """Return the forecast queueing time of a request that arrives now, in seconds.

        :param allowed: regions whose upstreams may serve the request; None for any.
        """
        ahead = self._count_ahead((is_late, level), allowed)
        if not ahead:
            return 0.0
        return (ahead + 1) / self._estimate_rate((is_late, level))

    def _count_ahead(self, order: _Order, allowed: AllowedRegions) -> int:
        """Return the number of queued requests that may take any place that a request could."""
        return sum(
            covers(request.requirements.allowed_regions, allowed)
            for other, queued in self._queued_by_order.items()
            if other <= order
            for request in queued
        )

    def _estimate_rate(self, order: _Order) -> float:
        """Return the rate at which queued requests of this order are dispatched, per second.

        The share of the rate used by more urgent requests is not available to this order.
        """
        now = self._clock.monotonic()
        self._drop_old_dispatches(now)
        orders = [other for at, other in self._dispatched if at >= now - RATE_WINDOW_S]
        total = max(len(orders) / RATE_WINDOW_S, NOMINAL_RATE_FRACTION * self._nominal_rate())
        more_urgent = sum(1 for other in orders if other < order) / RATE_WINDOW_S
        return max(MIN_RATE_PER_S, total - more_urgent)

    def _drop_old_dispatches(self, now: float) -> None:
        while self._dispatched and self._dispatched[0][0] < now - LIMITED_RATE_WINDOW_S:
            self._dispatched.popleft()

    def submit(
        self,
        requirements: Requirements,
        *,
        goal_s: float,
        time_left_s: float,
        caller_timeout_s: float,
        generation_s: float,
        is_retry: bool,
    ) -> Choice | QueuedRequest | Overload:
        """Dispatch a request, queue it, or refuse it.

        :param goal_s: latency goal for the first token, in seconds.
        :param time_left_s: time until the deadline of the whole response, in seconds.
        :param caller_timeout_s: time without a first token after which the caller disconnects, in
            seconds.
        :param generation_s: time from the first token to the end of the response, in seconds.
        :param is_retry: whether the request was refused before, so that it is late already.
        """
        self.dispatch()
        order = (is_retry, requirements.level)
        now = self._clock.monotonic()
        bounded = replace(requirements, max_forecast_s=LATE_MAX_FORECAST_S if is_retry else goal_s)
        allowed = requirements.allowed_regions
        if not self._count_ahead(order, allowed):
            choice = self._choose_upstream(bounded)
            if choice is not None:
                self._dispatched.append((now, order))
                return choice
        wait_s = self.forecast_wait_s(requirements.level, is_late=is_retry, allowed=allowed)
        longest_s = min(time_left_s - generation_s, caller_timeout_s) - LATE_FIRST_TOKEN_S
        limit_s = longest_s if is_retry else min(longest_s, goal_s * MAX_WAIT_GOAL_FRACTION)
        if wait_s > limit_s or len(self) >= MAX_QUEUED:
            return Overload(wait_s=wait_s)
        request = QueuedRequest(
            requirements=replace(bounded, was_queued=True),
            arrived_at=now,
            late_at=now + goal_s - ON_TIME_FIRST_TOKEN_S,
            expires_at=now + longest_s,
            is_late=is_retry,
            choice=asyncio.get_running_loop().create_future(),
        )
        self._queued_by_order.setdefault(order, deque()).append(request)
        return request

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request if it is still queued."""
        queued = self._queued_by_order.get((request.is_late, request.requirements.level))
        if queued is not None and request in queued:
            queued.remove(request)

    def _demote_late(self, now: float) -> None:
        """Move requests that can no longer meet their latency goal behind those that can.

        Every request is checked: each level is in order of arrival, but goals differ by route.
        """
        for is_late, level in list(self._queued_by_order):
            if is_late:
                continue
            queued = self._queued_by_order[is_late, level]
            late = [request for request in queued if request.late_at <= now]
            for request in late:
                queued.remove(request)
                request.is_late = True
                request.requirements = replace(
                    request.requirements, urgency=0.0, max_forecast_s=LATE_MAX_FORECAST_S
                )
                self._queued_by_order.setdefault((True, level), deque()).append(request)

    def _refuse_unreachable(self, now: float) -> None:
        """Refuse late requests that the limits of upstreams leave no permit for before they expire.

        Requests that may still meet their goal stay queued, to use the next permit at once.
        """
        if not len(self) or (limited_rate := self._limited_rate()) == math.inf:
            return
        self._drop_old_dispatches(now)
        rate = max(limited_rate, len(self._dispatched) / LIMITED_RATE_WINDOW_S)
        ahead = 0
        for is_late, level in sorted(self._queued_by_order):
            queued = self._queued_by_order[is_late, level]
            for request in list(queued):
                if is_late and (ahead + 1) > rate * (request.expires_at - now):
                    queued.remove(request)
                    if not request.choice.done():
                        request.choice.set_result(None)
                else:
                    ahead += 1

    def dispatch(self) -> None:
        """Send queued requests to upstreams with capacity, the most urgent first."""
        now = self._clock.monotonic()
        self._demote_late(now)
        self._dispatch_permitted(now)
        self._refuse_unreachable(now)

    def _dispatch_permitted(self, now: float) -> None:
        """Send queued requests while an upstream takes them, and drop those that have expired."""
        for order in sorted(self._queued_by_order):
            queued = self._queued_by_order[order]
            # Regions without capacity. A request that is confined to them does not hold up others.
            full: list[AllowedRegions] = []
            for request in list(queued):
                if request.choice.done():
                    queued.remove(request)
                    continue
                if request.expires_at <= now:
                    queued.remove(request)
                    request.choice.set_result(None)
                    continue
                allowed = request.requirements.allowed_regions
                if any(covers(regions, allowed) for regions in full):
                    continue
                choice = self._choose_upstream(_with_time_left(request, now))
                if choice is None:
                    full.append(allowed)
                    if allowed is None:
                        break
                    continue
                queued.remove(request)
                self._dispatched.append((now, order))
                request.choice.set_result(choice)


def _with_time_left(request: QueuedRequest, now: float) -> Requirements:
    """Return the requirements of a request, limited to the time left for its first token."""
    if request.is_late:
        return request.requirements
    left_s = request.late_at + ON_TIME_FIRST_TOKEN_S - now
    return replace(request.requirements, max_forecast_s=left_s)
