"""Guards against names of the platform's wire outside the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent.parent / "sycamoreproxy"
NAMES = re.compile(
    r"Sycamoreproxy-|X-Api-Key|At-Server|/kv-|/stage-|SYCAMOREPROXY_NODE_FILE|kv_used|api_keys"
    r"|traffic_split|gap_target_ms|stream_resume|session_affinity|op/config|servers/|op/version|op/evacuate"
)


@pytest.mark.parametrize("path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.name)
def test_only_the_adapter_knows_the_wire(path: Path) -> None:
    assert NAMES.findall(path.read_text(encoding="utf-8")) == []


def test_adapter_stays_small() -> None:
    """It translates; decisions, state and recovery belong to the product."""
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in (PACKAGE / "platform").glob("*.py")
    )
    assert lines < 1_000
