"""Detects stalls: times in which the process did not run.

Causes are a frozen, suspended or CPU-starved host.
"""

from __future__ import annotations

import asyncio

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger

#: Period of the ticks, in seconds.
TICK_PERIOD_S = 0.2
#: Time since the last tick from which on it counts as a stall, in seconds: longer than reading a
#: large configuration takes on the smallest host.
STALL_THRESHOLD_S = 0.5
#: Time after a stall in which an arriving message may have been sent during the stall, in seconds.
AFTER_STALL_S = 1.0

_log = get_logger("stalls")


class StallDetector:
    """Measures by how much a message that arrives now may be delayed by a stall of the process.

    :param clock: a clock that also advances while the host is suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.monotonic()
        self._stall_s = 0.0
        self._ended_at = -AFTER_STALL_S

    @property
    def lag_s(self) -> float:
        """Time for which a message may have waited for this process, in seconds; 0 if no stall."""
        now = self._clock.monotonic()
        current_s = now - self._ticked_at
        if current_s >= STALL_THRESHOLD_S:
            return current_s
        since_s = now - self._ended_at
        return self._stall_s + since_s if since_s < AFTER_STALL_S else 0.0

    def tick(self) -> None:
        """Record that the process is running; log a stall if the last tick is too long ago."""
        now = self._clock.monotonic()
        stall_s = now - self._ticked_at
        self._ticked_at = now
        if stall_s >= STALL_THRESHOLD_S:
            self._stall_s, self._ended_at = stall_s, now
            _log.warning("process stalled", stall_ms=round(stall_s * 1000))

    async def run(self) -> None:
        """Tick periodically until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_PERIOD_S)
