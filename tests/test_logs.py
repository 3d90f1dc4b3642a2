"""Guards against logs that block a process, grow without bound, or hide that lines are missing."""

from __future__ import annotations

import json
import os

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.logs import BURST_LINES, LINES_PER_S, LineWriter


def read_lines(descriptor: int) -> list[str]:
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 10_000_000).decode().splitlines()
    except BlockingIOError:
        return []


def test_lines_over_the_rate_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    clock = ManualClock()
    lines = LineWriter(writer, clock=clock)
    for number in range(BURST_LINES + 50):
        lines.write(f"line {number}")
    assert len(read_lines(reader)) == BURST_LINES and lines.dropped == 50
    clock.advance(1.0)
    lines.write("after")
    written = read_lines(reader)
    assert written[0] == "after"
    assert json.loads(written[1]) == {"event": "log lines dropped", "total": 50}
    for number in range(LINES_PER_S + 10):
        lines.write(f"line {number}")
    assert lines.dropped > 50


def test_full_pipe_never_blocks_and_lines_stay_whole() -> None:
    reader, writer = os.pipe()
    clock = ManualClock()
    lines = LineWriter(writer, clock=clock)
    for _ in range(100):
        lines.write("x" * 5_000)
        clock.advance(0.1)
    assert lines.dropped > 0
    first = read_lines(reader)
    lines.write("last")
    rest = read_lines(reader)
    joined = "\n".join(first) + "\n".join(rest)
    assert rest[-2 if "dropped" in rest[-1] else -1] == "last" and "x" in joined
    os.close(reader)
    lines.write("nobody reads")
