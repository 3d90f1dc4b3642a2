"""Runs tests in simulated time: waits take no time and give the same order in every run."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable
from typing import Any


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing else is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        selector: Any = self._selector  # type: ignore[attr-defined]
        select = selector.select

        def jump(timeout: float | None = None) -> Any:
            if timeout is None:
                raise RuntimeError("every task waits for something that cannot happen")
            self._now += timeout
            return select(0)

        selector.select = jump

    def time(self) -> float:
        return self._now


class LoopClock:
    """Reads the simulated time of the running loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    wall = monotonic


def in_virtual_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run a test in simulated time with seeded jitter."""

    @functools.wraps(test)
    def run(*args: Any, **options: Any) -> None:
        random.seed(1)
        with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
            runner.run(test(*args, **options))  # type: ignore[arg-type]

    return run
