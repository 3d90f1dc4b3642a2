"""The registry of promises and the checks that a proof makes."""

from __future__ import annotations

import json
from collections.abc import Callable

from sycamoreproxy.registry import Registry


class Checker:
    """Prints each check and remembers whether all held.

    :param promise: name printed with every check.
    """

    def __init__(self, *, promise: str, seed: int) -> None:
        self._promise = promise
        self._seed = seed
        self._results: list[bool] = []

    def expect(self, what: str, condition: bool, **facts: object) -> None:
        """Record one check.

        :param what: what must be seen.
        :param condition: whether it was.
        :param facts: counts that explain the verdict.
        """
        self._results.append(condition)
        row = {"promise": self._promise, "check": what, "held": condition, "seed": self._seed}
        print(json.dumps({**row, **facts}, default=str), flush=True)

    @property
    def all_held(self) -> bool:
        """Whether every check held; false without any check."""
        return bool(self._results) and all(self._results)


#: Proofs ``(checker, seed) -> None`` by promise.
promises: Registry[Callable[[Checker, int], None]] = Registry("promise")
