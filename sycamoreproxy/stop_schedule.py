"""The times at which a stopping process ends its requests."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StopSchedule:
    """Monotonic times of a stop in seconds, infinite while the process is not stopping.

    :param unlisted_at: when load balancers have stopped sending new connections to this host.
    :param closes_at: when connections without a request are closed. A caller that is refused from
        then on reaches another host, so no request is begun that may outlast the stop.
    :param ends_at: when all requests must have ended.
    """

    unlisted_at: float = math.inf
    closes_at: float = math.inf
    ends_at: float = math.inf

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been told to stop."""
        return self.ends_at < math.inf

    def advance(self, other: StopSchedule) -> StopSchedule:
        """Return the schedule with the earlier time of both for each step."""
        return StopSchedule(
            unlisted_at=min(self.unlisted_at, other.unlisted_at),
            closes_at=min(self.closes_at, other.closes_at),
            ends_at=min(self.ends_at, other.ends_at),
        )
