"""Notices times in which the process did not run, on a frozen, suspended or starved host."""

from __future__ import annotations

import asyncio

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger

#: Time between two ticks, in seconds.
TICK_S = 0.2
#: A tick that is late by this time tells of a stall, in seconds: more than a large configuration
#: takes to read on the smallest host.
STALL_S = 0.5
#: Time after a stall in which what arrives may have been sent during it, in seconds.
AFTERMATH_S = 1.0

_log = get_logger("stalls")


class StallDetector:
    """Tells how late something that arrives now may be because the process did not run.

    :param clock: must count the time in which the host is suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.monotonic()
        self._stall_s = 0.0
        self._ended_at = -AFTERMATH_S

    @property
    def lag_s(self) -> float:
        """Time for which an arrival may have waited for this process, in seconds; 0 if it ran."""
        now = self._clock.monotonic()
        current_s = now - self._ticked_at
        if current_s >= STALL_S:
            return current_s
        since_s = now - self._ended_at
        return self._stall_s + since_s if since_s < AFTERMATH_S else 0.0

    def tick(self) -> None:
        """Note that the process runs."""
        now = self._clock.monotonic()
        stall_s = now - self._ticked_at
        self._ticked_at = now
        if stall_s >= STALL_S:
            self._stall_s, self._ended_at = stall_s, now
            _log.warning("process stalled", stall_ms=round(stall_s * 1000))

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)
