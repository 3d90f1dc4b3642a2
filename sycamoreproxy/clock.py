"""Clocks: the clocks of the operating system and a manual clock for deterministic, seeded runs."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Interface of a time source."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start.

        The clock never goes backwards and includes the time for which the host is suspended.
        """

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the seconds since boot, including suspended time.

        ``time.monotonic`` does not advance while the host is suspended, so any time limit measured
        with it would be suspended as well.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return wall-clock time in seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that advances only through :meth:`advance`.

    :param start: initial time in seconds.
    """

    def __init__(self, *, start: float = 0.0) -> None:
        self._now_s = start

    def monotonic(self) -> float:
        """Return the current manual time in seconds."""
        return self._now_s

    def wall(self) -> float:
        """Return the same time as :meth:`monotonic`, interpreted as seconds since the Unix epoch."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: duration to advance by, at least 0.
        :raises ValueError: if ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError("seconds must not be negative")
        self._now_s += seconds
