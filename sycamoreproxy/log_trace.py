"""Finds in the logs of several processes what decided one request, in order of time."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

#: Lines of this time before the first line of the request are shown too, in seconds, if they change
#: what the process believed of its upstreams, routes or weights.
CONTEXT_S = 10.0
#: Events that change what a process believes.
BELIEF_EVENTS = frozenset(
    {
        "configuration in force",
        "document not usable",
        "draining",
        "engine lost",
        "engine reached",
        "history lost",
        "log lines dropped",
        "process stalled",
        "settings reloaded",
        "started",
        "store connected",
        "store lost",
        "upstream listed",
        "upstream removed",
        "upstream replaced",
        "weights in use",
        "weights named",
        "weights ordered",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log."""

    at: datetime
    fields: dict[str, Any]


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines; what stands before the JSON object of a line is ignored."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at = datetime.fromisoformat(fields["timestamp"].replace("Z", "+00:00"))
        except (ValueError, KeyError, TypeError, AttributeError):
            # Other programs' lines, and lines that were cut, have no time to sort them by.
            continue
        yield LogLine(at, fields)


def trace_request(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and of the changes shortly before it, in order of time.

    Changes count if they come from a host that handled the request, or concern an upstream that it
    was sent to.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request") == request_id]
    if not own:
        return []
    hosts = {line.fields.get("host") for line in own}
    upstreams = {
        name
        for line in own
        for key in ("upstream", "upstreams")
        for name in str(line.fields.get(key) or "").split()
    }
    start, end = own[0].at - timedelta(seconds=CONTEXT_S), own[-1].at

    def concerns(line: LogLine) -> bool:
        if line.fields.get("event") not in BELIEF_EVENTS or not start <= line.at <= end:
            return False
        instance = line.fields.get("instance")
        if instance is not None:
            return instance in upstreams and line.fields.get("host") in hosts
        return line.fields.get("host") in hosts

    return [line for line in ordered if line.fields.get("request") == request_id or concerns(line)]


def format_line(line: LogLine) -> str:
    """Return a line as time, host, event and the other fields."""
    hidden = {"timestamp", "level", "module", "event", "host"}
    rest = " ".join(f"{key}={value}" for key, value in line.fields.items() if key not in hidden)
    time = line.at.strftime("%H:%M:%S.%f")[:-3]
    return f"{time}  {line.fields.get('host', '-')}  {line.fields.get('event', '-')}  {rest}"
