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

#: Part of the longest output that must fit before a stop closes its connections. Few responses are
#: longer, and a refused caller may find no place at another host.
LIKELY_OUTPUT_FRACTION = 0.6


class StopLimit:
    """The times of a stop, and the requests that may not end before it does.

    All times are monotonic, and infinite while the process is not stopping.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: When connections without a request are closed.
        self._closes_at = math.inf
        #: When all requests must have ended.
        self.ends_at = math.inf

    # Queries

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been told to stop."""
        return self.ends_at < math.inf

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
        return Refusal(codes.LEAVING, Executed.NO, detail=f"may need {needed_s:.2f} s")

    def find_queue_time_left_s(self, progress: RequestProgress) -> float:
        """Return the time by which :class:`RequestQueue` must have a response end, in seconds.

        The queue reserves the time of a mean response at the end of it, :meth:`check` possibly more
        when the request is dispatched; the difference is subtracted here.
        """
        if self.ends_at >= progress.deadline:
            return math.inf
        needed_s = self._find_needed_s(progress, None)
        reserve_s = max(0.0, needed_s - forecast_mean_generation_s(progress))
        return self.ends_at - reserve_s - self._clock.monotonic()

    def _find_needed_s(self, progress: RequestProgress, choice: Choice | None) -> float:
        """Return the time that a request must have left to be sent, in seconds."""
        first_s = choice.forecast_s if choice is not None else 0.0
        if progress.first_output_at is not None:
            # The stream is cut for certain if it is not resumed.
            return first_s
        longest_s = progress.deadline - self._clock.monotonic()
        may_have_run = progress.executions > 0
        if progress.received_at >= self._closes_at and not may_have_run:
            # Its caller opened a connection to a host that closes, and now reaches another one.
            return longest_s
        generation_s = forecast_mean_generation_s(progress)
        if not may_have_run:
            pace = choice.last_pace if choice is not None else 1.0
            likely_s = LIKELY_OUTPUT_FRACTION * forecast_longest_generation_s(progress, pace=pace)
            generation_s = max(generation_s, likely_s)
        return min(longest_s, max(progress.route.target_latency_s, first_s + generation_s))

    # Commands

    def shorten(self, *, ends_in_s: float, closes_in_s: float) -> None:
        """Set the times of the stop, in seconds from now; each may only become earlier."""
        now = self._clock.monotonic()
        self._closes_at = min(self._closes_at, now + closes_in_s)
        self.ends_at = min(self.ends_at, now + ends_in_s)
