"""Runtime invariant checks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

#: Number of violations since the process started, by name of the invariant.
violations_by_name: Counter[str] = Counter()

_listeners: list[Callable[[str, dict[str, object]], None]] = []


class InvariantViolationError(Exception):
    """An invariant was violated; only the affected request or action must fail.

    :param name: name of the invariant.
    :param facts: observed values, without secrets.
    """

    def __init__(self, name: str, facts: dict[str, object]) -> None:
        super().__init__(f"invariant {name} violated: {facts}")
        self.name = name
        self.facts = facts


def add_violation_listener(listener: Callable[[str, dict[str, object]], None]) -> None:
    """Call ``listener(name, facts)`` on each violation, for log lines and metrics."""
    _listeners.append(listener)


def check_invariant(name: str, condition: bool, **facts: object) -> None:
    """Check that an invariant holds; record and report a violation.

    :param name: name of the invariant, in snake case.
    :param condition: must be true.
    :param facts: values that explain a violation.
    :raises InvariantViolationError: if the condition is false.
    """
    if condition:
        return
    violations_by_name[name] += 1
    for listener in _listeners:
        listener(name, facts)
    raise InvariantViolationError(name, facts)
