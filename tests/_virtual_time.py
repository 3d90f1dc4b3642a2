"""Runs tests in simulated time."""

import functools
from collections.abc import Callable, Coroutine
from typing import Any

from bench.virtual_time import LoopClock, run_in_virtual_time

__all__ = ["LoopClock", "in_virtual_time"]


def in_virtual_time(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test in simulated time with seeded jitter."""

    @functools.wraps(test)
    def run(*args: Any, **options: Any) -> None:
        run_in_virtual_time(test(*args, **options))

    return run
