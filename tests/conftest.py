"""Leaves out exactly the tests that KNOWN-RED.txt names, and prints them.

An entry starts with a line ``test: NODE ID``; the lines below it tell command, seed, what was seen
and the issue.
"""

from __future__ import annotations

from pathlib import Path

import pytest

_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
_PREFIX = "test: "


def read_known_red(text: str) -> list[str]:
    """Return the node ids that a KNOWN-RED file names."""
    lines = text.splitlines()
    return [line.removeprefix(_PREFIX).strip() for line in lines if line.startswith(_PREFIX)]


def _load() -> list[str]:
    return read_known_red(_FILE.read_text(encoding="utf-8")) if _FILE.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the named tests; a name that no test has is an error."""
    names = _load()
    known = {item.nodeid for item in items}
    whole_run = not config.invocation_params.args
    absent = [name for name in names if name not in known]
    if whole_run and absent:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that do not exist: {absent}")
    left_out = [item for item in items if item.nodeid in names]
    if left_out:
        config.hook.pytest_deselected(items=left_out)
        items[:] = [item for item in items if item.nodeid not in names]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that were left out."""
    for name in _load():
        terminalreporter.write_line(f"known red, not run: {name}")
