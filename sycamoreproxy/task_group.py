"""Background tasks of a process: a task that fails is logged and started again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from sycamoreproxy.logs import get_logger

#: Pause before a failed task starts again, in seconds.
RESTART_PAUSE_S = 1.0

_log = get_logger("task_group")


class BackgroundTasks:
    """Owns named tasks that run until the process closes."""

    def __init__(self) -> None:
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run ``run()`` for as long as the process lives.

        :raises ValueError: if the name is taken.
        """
        if name in self._tasks_by_name:
            raise ValueError(f"task {name!r} is started twice")
        self._tasks_by_name[name] = asyncio.create_task(self._keep_running(name, run), name=name)

    def list_names(self) -> list[str]:
        """Return the names of all tasks in order."""
        return sorted(self._tasks_by_name)

    async def close(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks_by_name.values())
        self._tasks_by_name.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_running(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                _log.exception("task failed", task=name, restart_in_s=RESTART_PAUSE_S)
            await asyncio.sleep(RESTART_PAUSE_S)
