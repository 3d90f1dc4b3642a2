"""Time sources: the operating system's clocks and a manual clock for seeded runs."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Reads the time in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back, and counts suspended time."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Reads the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the clock since boot in seconds.

        ``time.monotonic`` stands still while the host is suspended, and every bound with it.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that moves only when told to.

    :param start: first reading of the monotonic clock, in seconds.
    """

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the manual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the manual time as if it counted from the Unix epoch."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, at least 0.
        :raises ValueError: if ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError("a clock cannot go back")
        self._now += seconds
