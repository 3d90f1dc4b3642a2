"""Decides which requests a stopping host may still begin, so that the stop cuts none of them."""

from __future__ import annotations

import math

from sycamoreproxy import result_codes as codes
from sycamoreproxy.answer_relay import RequestProgress, TimeLimit
from sycamoreproxy.clock import Clock
from sycamoreproxy.generation_forecast import (
    forecast_longest_generation_s,
    forecast_mean_generation_s,
)
from sycamoreproxy.placement import Choice
from sycamoreproxy.result_codes import Executed, Refusal


class StopLimit:
    """The times of a stop, and the requests that may not end before it does.

    All times are monotonic, and infinite while the process is not stopping.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: When load balancers have stopped sending new connections to this host.
        self._unlisted_at = math.inf
        #: When connections without a request are closed.
        self._closes_at = math.inf
        #: When all requests must have ended.
        self.ends_at = math.inf

    # Queries

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been told to stop."""
        return self.ends_at < math.inf

    def find_unlisted_s(self) -> float:
        """Return the time until new connections reach other hosts only, in seconds."""
        return max(0.0, self._unlisted_at - self._clock.monotonic())

    def find_time_limit(self, progress: RequestProgress) -> TimeLimit:
        """Return the limit that ends a request first."""
        if self.ends_at < progress.deadline:
            return TimeLimit.STOP
        return progress.deadline_source

    def check(self, progress: RequestProgress, choice: Choice | None = None) -> Refusal | None:
        """Return a refusal if the process may stop before a request is finished.

        :param choice: upstream for the request; None if it is not chosen yet.
        """
        if not self.is_stopping:
            return None
        needed_s = self._find_needed_s(progress, choice)
        if self.ends_at - self._clock.monotonic() >= needed_s:
            return None
        return Refusal(codes.LEAVING, Executed.NO, detail=f"{needed_s:.2f} s needed")

    def find_queue_time_left_s(self, progress: RequestProgress) -> float:
        """Return the time within which a queued generation of mean length must end, in seconds.

        A request that waits longer would be refused by :meth:`check` when it is dispatched.
        """
        if self.ends_at >= progress.deadline:
            return math.inf
        needed_s = self._find_needed_s(progress, None)
        reserve_s = max(0.0, needed_s - forecast_mean_generation_s(progress))
        return self.ends_at - reserve_s - self._clock.monotonic()

    def _find_needed_s(self, progress: RequestProgress, choice: Choice | None) -> float:
        """Return the time that a request may need to end, in seconds.

        A caller that is refused after the close reaches another host, so only the latest end counts
        from then on. A request that an upstream may have executed needs the time of a mean
        response: its caller gains nothing if it is ended early. A stream that has begun needs only
        the time to go on, as its caller loses what it has read if it is ended.
        """
        if progress.first_output_at is not None:
            return choice.forecast_s if choice is not None else 0.0
        longest_s = progress.deadline - self._clock.monotonic()
        if not progress.executions and progress.received_at >= self._closes_at:
            return longest_s
        if progress.executions:
            generation_s = forecast_mean_generation_s(progress)
        else:
            pace = choice.last_pace if choice is not None else 1.0
            generation_s = forecast_longest_generation_s(progress, pace=pace)
        first_s = choice.forecast_s if choice is not None else 0.0
        return min(longest_s, max(progress.route.target_latency_s, first_s + generation_s))

    # Commands

    def shorten(self, *, ends_in_s: float, unlisted_in_s: float, closes_in_s: float) -> None:
        """Set the times of the stop, in seconds from now; each may only become earlier."""
        now = self._clock.monotonic()
        self._unlisted_at = min(self._unlisted_at, now + unlisted_in_s)
        self._closes_at = min(self._closes_at, now + closes_in_s)
        self.ends_at = min(self.ends_at, now + ends_in_s)
