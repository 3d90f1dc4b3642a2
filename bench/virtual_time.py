"""Runs coroutines in simulated time: waits take no time and give the same order in every run."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
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
        """Return the simulated time in seconds."""
        return self._now


class LoopClock:
    """Reads the simulated time of the running loop."""

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return asyncio.get_running_loop().time()

    wall = monotonic


def run_in_virtual_time(main: Coroutine[Any, Any, _T], *, seed: int = 1) -> _T:
    """Run a coroutine in simulated time with seeded jitter."""
    random.seed(seed)
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
