"""Background tasks of a process; a failed task is logged and restarted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from sycamoreproxy.logs import get_logger

#: Delay before a failed task is restarted, in seconds.
RESTART_DELAY_S = 1.0

_log = get_logger("task_group")


class BackgroundTasks:
    """Set of named tasks that run until :meth:`close` is called."""

    def __init__(self) -> None:
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start ``run()`` as a task and restart it whenever it fails.

        :raises ValueError: if a task with this name was already started.
        """
        if name in self._tasks_by_name:
            raise ValueError(f"task {name!r} was already started")
        self._tasks_by_name[name] = asyncio.create_task(
            self._run_with_restarts(name, run), name=name
        )

    def list_names(self) -> list[str]:
        """Return the names of all tasks in sorted order."""
        return sorted(self._tasks_by_name)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks_by_name.values())
        self._tasks_by_name.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_with_restarts(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                _log.exception("task failed", task=name, restart_in_s=RESTART_DELAY_S)
            await asyncio.sleep(RESTART_DELAY_S)
