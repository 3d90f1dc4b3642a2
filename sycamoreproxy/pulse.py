"""Runs a callback on request at a bounded rate, without a periodic timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sycamoreproxy.logs import get_logger

_log = get_logger("pulse")


class ThrottledAction:
    """Runs an action at most once per period; costs nothing while no run is requested.

    :param period_s: minimum time between two runs, in seconds.
    :param action: called on the event loop; must not block.
    """

    def __init__(self, *, period_s: float, action: Callable[[], None]) -> None:
        self._period_s = period_s
        self._action = action
        self._last_run_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    def request(self) -> None:
        """Schedule a run in this turn of the event loop, or one period after the last run.

        Further requests before that run have no effect.
        """
        if self._timer is not None or self._is_closed:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(max(loop.time(), self._last_run_at + self._period_s), self._run)

    def close(self) -> None:
        """Cancel a scheduled run and ignore later requests."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self._timer = None
        self._last_run_at = asyncio.get_running_loop().time()
        try:
            self._action()
        except Exception:
            _log.exception("throttled action failed")
