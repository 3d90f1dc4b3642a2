"""Invariants that are checked while the program runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

#: Violations by the name of the invariant, since the process started.
violations_by_name: Counter[str] = Counter()

_listeners: list[Callable[[str, dict[str, object]], None]] = []


class InvariantViolationError(Exception):
    """An invariant did not hold; the one request or action must fail.

    :param name: the invariant.
    :param facts: what was seen, without secrets.
    """

    def __init__(self, name: str, facts: dict[str, object]) -> None:
        super().__init__(f"invariant {name} violated: {facts}")
        self.name = name
        self.facts = facts


def add_violation_listener(listener: Callable[[str, dict[str, object]], None]) -> None:
    """Call ``listener(name, facts)`` on each violation (log line, metric)."""
    _listeners.append(listener)


def check_invariant(name: str, condition: bool, **facts: object) -> None:
    """Raise if ``condition`` is false.

    :param name: the invariant, in snake case.
    :param condition: what must hold.
    :param facts: values that explain a violation.
    :raises InvariantViolationError: if the condition is false.
    """
    if condition:
        return
    violations_by_name[name] += 1
    for listener in _listeners:
        listener(name, facts)
    raise InvariantViolationError(name, facts)
