"""Runs an action soon after it is asked for, at a bounded rate and without a periodic timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sycamoreproxy.logs import get_logger

_log = get_logger("pulse")


class ThrottledAction:
    """Runs an action at most once a period; while nobody asks for it, it costs nothing.

    :param period_s: shortest time between two runs, in seconds.
    :param action: must not block.
    """

    def __init__(self, *, period_s: float, action: Callable[[], None]) -> None:
        self._period_s = period_s
        self._action = action
        self._ran_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    def request(self) -> None:
        """Run the action in this turn of the event loop, or a period after its last run."""
        if self._timer is not None or self._is_closed:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(max(loop.time(), self._ran_at + self._period_s), self._run)

    def close(self) -> None:
        """Drop a run that is due and take no more requests."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self._timer = None
        self._ran_at = asyncio.get_running_loop().time()
        try:
            self._action()
        except Exception:
            _log.exception("action failed")
