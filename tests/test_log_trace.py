"""Guards against explanations that leave out a decision or mix two requests."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from sycamoreproxy import ctl
from sycamoreproxy.log_trace import format_line, parse_lines, trace_request


def make_line(second: int, host: str, event: str, **fields: object) -> str:
    stamp = f"2026-01-17T06:00:{second:02d}.000000Z"
    return json.dumps({"timestamp": stamp, "host": host, "event": event, **fields})


LINES = [
    make_line(9, "edge-1", "request ended", request="r1", upstreams="i-1 i-2", code=0),
    " 21.3 edge-1 " + make_line(5, "edge-1", "upstream replaced", instance="i-1"),
    make_line(5, "edge-1", "upstream listed", instance="i-9"),
    make_line(6, "edge-2", "configuration in force", revision=4),
    make_line(7, "edge-1", "configuration in force", revision=4),
    make_line(8, "edge-1", "request resent", request="r1", upstream="i-1"),
    make_line(8, "edge-1", "request resent", request="r2", upstream="i-1"),
    make_line(30, "edge-1", "store lost"),
    "not structured",
    '{"event": "no time"}',
    '{"timestamp": "yesterday"}',
]


@pytest.mark.parametrize(
    ("request_id", "events"),
    [
        (
            "r1",
            [
                "upstream replaced",
                "configuration in force",
                "request resent",
                "request ended",
            ],
        ),
        ("unknown", []),
    ],
)
def test_trace_holds_what_concerned_the_request(request_id: str, events: list[str]) -> None:
    found = trace_request(request_id, parse_lines(LINES))
    assert [line.fields["event"] for line in found] == events


def test_line_is_readable() -> None:
    (line,) = parse_lines([LINES[0]])
    assert (
        format_line(line)
        == "06:00:09.000  edge-1  request ended  request=r1 upstreams=i-1 i-2 code=0"
    )


def test_command_reads_several_logs(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    paths = []
    for number, part in enumerate((LINES[:5], LINES[5:])):
        path = tmp_path / f"{number}.log"
        path.write_text("\n".join(part), encoding="utf-8")
        paths.append(path)
    ctl.explain("r1", *paths)
    assert len(capsys.readouterr().out.splitlines()) == 4
    with pytest.raises(ctl.CommandError):
        ctl.explain("r3", *paths)
