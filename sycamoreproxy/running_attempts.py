"""Attempts of one request that run at the same time, until one of them responds to the caller."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sycamoreproxy.answer_relay import AnswerRelay, AttemptOutcome
from sycamoreproxy.clock import Clock
from sycamoreproxy.placement import Choice
from sycamoreproxy.route_table import Route

#: First-output timeout of a repeatable request: its forecast, plus this multiple of its latency
#: goal, plus this time in seconds. The request is then sent to another upstream as well.
FIRST_OUTPUT_TIMEOUT_GOALS = 1.0
FIRST_OUTPUT_TIMEOUT_S = 1.0
#: Event timeout of a resumable stream, as a multiple of its event gap goal. The stream is then
#: resumed on another upstream as well.
EVENT_TIMEOUT_GAPS = 3.0
#: Lower bound of the event gap goal in that timeout, in seconds.
MIN_EVENT_GAP_GOAL_S = 0.4


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """A request that was sent to one upstream and has not ended there.

    :param latest_start: monotonic time by which the upstream must have started with the request.
    :param is_failure_recorded: whether its silence was recorded as a failure of the upstream.
    """

    choice: Choice
    relay: AnswerRelay
    task: asyncio.Task[AttemptOutcome]
    started_at: float
    latest_start: float = math.inf
    is_failure_recorded: bool = False


class RunningAttempts:
    """The running attempts of one request.

    Several run only while all of them are silent: the first one with output supersedes the others.

    :param clock: time source.
    :param route: route of the request.
    """

    def __init__(self, *, clock: Clock, route: Route) -> None:
        self._clock = clock
        self._route = route
        self._attempts: list[RunningAttempt] = []

    # Queries

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> Iterator[RunningAttempt]:
        return iter(self._attempts)

    def has_rivals(self, relay: AnswerRelay) -> bool:
        """Return whether attempts other than that of a relay may still respond."""
        return any(item.relay is not relay and not item.task.done() for item in self._attempts)

    @property
    def latest(self) -> RunningAttempt:
        """The attempt that was started last."""
        return self._attempts[-1]

    def list_instances(self) -> frozenset[str]:
        """Return the instances of the upstreams that have the request."""
        return frozenset(attempt.choice.record.instance for attempt in self._attempts)

    def find_silence_left_s(self) -> float:
        """Return the time until all attempts count as silent, in seconds; infinite if they never do."""
        if not self._route.repeatable:
            return math.inf
        silent_at = max(self._find_silent_at(attempt) for attempt in self._attempts)
        return silent_at - self._clock.monotonic()

    def find_start_left_s(self) -> float:
        """Return the time until an attempt without output must have started, in seconds."""
        latest_starts = [item.latest_start for item in self._attempts if _has_no_output(item)]
        return min(latest_starts, default=math.inf) - self._clock.monotonic()

    def _find_silent_at(self, attempt: RunningAttempt) -> float:
        if attempt.relay.last_output_at:
            gap_goal_s = max(MIN_EVENT_GAP_GOAL_S, self._route.target_gap_s)
            return attempt.relay.last_output_at + EVENT_TIMEOUT_GAPS * gap_goal_s
        return attempt.started_at + (
            attempt.choice.forecast_s
            + FIRST_OUTPUT_TIMEOUT_GOALS * self._route.target_latency_s
            + FIRST_OUTPUT_TIMEOUT_S
        )

    # Commands

    def add(self, attempt: RunningAttempt) -> None:
        """Add an attempt that has just been started."""
        self._attempts.append(attempt)

    def pop_ended(self) -> RunningAttempt | None:
        """Remove and return an attempt that has ended; None if all are running."""
        for attempt in self._attempts:
            if attempt.task.done():
                self._attempts.remove(attempt)
                return attempt
        return None

    def pop_unstarted(self) -> RunningAttempt | None:
        """Withdraw and return an attempt that has not started in time; None if there is none."""
        now = self._clock.monotonic()
        for attempt in self._attempts:
            if _has_no_output(attempt) and now >= attempt.latest_start:
                self._end(attempt)
                return attempt
        return None

    def supersede_others(
        self, relay: AnswerRelay, on_superseded: Callable[[RunningAttempt], None]
    ) -> None:
        """End all attempts but that of a relay, which has output.

        :param on_superseded: called with each attempt that is ended.
        """
        if len(self._attempts) == 1:
            return
        for attempt in [item for item in self._attempts if item.relay is not relay]:
            self._end(attempt)
            on_superseded(attempt)

    async def wait(self, *, timeout_s: float) -> None:
        """Wait until an attempt has ended, for a limited time.

        :param timeout_s: limit in seconds; may be infinite.
        """
        await asyncio.wait(
            [attempt.task for attempt in self._attempts],
            timeout=None if timeout_s == math.inf else timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def close(self) -> None:
        """End all attempts."""
        for attempt in list(self._attempts):
            self._end(attempt)

    def _end(self, attempt: RunningAttempt) -> None:
        self._attempts.remove(attempt)
        attempt.relay.supersede()
        attempt.task.cancel()


def _has_no_output(attempt: RunningAttempt) -> bool:
    return not attempt.relay.last_output_at
