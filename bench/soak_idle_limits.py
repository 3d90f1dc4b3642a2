"""Limits that the operator writes during a run of the fault soak, and which of them hosts may apply."""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import pairwise

#: Part of the idle limit for which callers let a connection idle before they reuse it.
REUSE_FRACTION = 0.8


@dataclass(slots=True)
class LimitChange:
    """A limit that the operator wrote, in seconds, and when."""

    limit_s: float
    written_at: float
    acknowledged_at: float = math.inf


class LimitHistory:
    """Values of a limit in the order in which the operator wrote them; times are monotonic.

    :param limit_s: limit from the start, in seconds.
    :param apply_s: time after the acknowledgement by which hosts apply a change, in seconds.
    """

    def __init__(self, limit_s: float, *, apply_s: float) -> None:
        self._apply_s = apply_s
        self._changes = [LimitChange(limit_s, -math.inf, -math.inf)]

    @property
    def newest_s(self) -> float:
        """The limit that was written last, in seconds."""
        return self._changes[-1].limit_s

    def note_written(self, limit_s: float, *, at: float) -> LimitChange:
        """Note a limit that is about to be written; the writer sets its acknowledgement."""
        self._changes.append(LimitChange(limit_s, at))
        return self._changes[-1]

    def lowest_s(self, at: float) -> float:
        """Return the lowest limit that a host may apply at a time, in seconds."""
        applied = [c for c in self._changes if c.acknowledged_at + self._apply_s <= at]
        return min(
            change.limit_s
            for change in self._changes
            if applied[-1].written_at <= change.written_at <= at
        )

    def applied_by(self, at: float) -> float:
        """Return when hosts must have applied all that was written by a time."""
        written = [change for change in self._changes if change.written_at <= at]
        return min(at, written[-1].acknowledged_at + self._apply_s)


class IdleLimits(LimitHistory):
    """Idle limits of callers' connections."""

    def permit_reuse(self, idle_since: float, at: float) -> bool:
        """Return whether a caller may send a request on a connection that has been idle.

        Each change must have found the connection within the limit before it: a raise does not
        bring back a connection that its host was free to close.
        """
        return at - idle_since <= REUSE_FRACTION * self.lowest_s(at) and all(
            change.written_at - idle_since <= REUSE_FRACTION * before.limit_s
            for before, change in pairwise(self._changes)
            if change.written_at <= at
        )
