"""Reads the server-sent events of an OpenAI answer: tokens, version, usage, end."""

from __future__ import annotations

import json
from typing import Any

#: Start of a usage object; quotes within generated text are escaped and do not match.
_USAGE = (b'"usage":{', b'"usage": {')
#: Longest single event, in bytes.
MAX_EVENT_BYTES = 1_000_000


class MixedVersionsError(Exception):
    """An event carries another version than the answer."""


class EventStreamError(Exception):
    """The stream breaks the protocol or reports an error of the engine."""


class EventStreamReader:
    """Passes whole events on and checks each one's version.

    Events are JSON on one line, so quotes within generated text are escaped and the raw bytes of
    ``"system_fingerprint":"VERSION"`` occur once in each event. Counting them is enough to
    check the usual event without parsing it.

    :param version: version of the answer; empty takes that of the first event.
    :param keeps_usage: whether the caller asked for the usage event.
    """

    def __init__(self, *, version: str, keeps_usage: bool) -> None:
        self.version = version
        self.is_done = False
        self.prompt_tokens = 0
        self.output_tokens = 0
        self._keeps_usage = keeps_usage
        self._pending = b""
        self._needles: tuple[bytes, ...] = ()
        self._set_needles()

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Take bytes; return those to pass on (whole events) and the number of tokens in them.

        :raises MixedVersionsError: if a version differs.
        :raises EventStreamError: if an event is malformed or an error of the engine.
        """
        if self._pending:
            data = self._pending + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            end = 0
        self._pending = data[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too long")
        if not end:
            return b"", 0
        events = data[:end] if self._pending else data
        total = events.count(b"\n\n")
        for needle in self._needles:
            if events.count(needle) == total and not any(part in events for part in _USAGE):
                self.output_tokens += total
                return events, total
        return self._read_slowly(events)

    def _read_slowly(self, events: bytes) -> tuple[bytes, int]:
        kept: list[bytes] = []
        tokens = 0
        for event in events[:-2].split(b"\n\n"):
            payload = _read_payload(event)
            if payload is None:
                kept.append(event)
                continue
            if payload == b"[DONE]":
                self.is_done = True
                kept.append(event)
                continue
            value = _parse(payload)
            self._check_version(value)
            usage = value.get("usage")
            if isinstance(usage, dict):
                self.prompt_tokens = _read_count(usage, "prompt_tokens")
                self.output_tokens = _read_count(usage, "completion_tokens")
            if value.get("choices"):
                tokens += 1
                if not isinstance(usage, dict):
                    self.output_tokens += 1
            elif not self._keeps_usage:
                continue
            kept.append(event)
        if not kept:
            return b"", tokens
        return b"\n\n".join(kept) + b"\n\n", tokens

    def _check_version(self, value: dict[str, Any]) -> None:
        fingerprint = value.get("system_fingerprint")
        if not fingerprint:
            return
        if not self.version:
            self.version = str(fingerprint)
            self._set_needles()
        if fingerprint != self.version:
            raise MixedVersionsError(f"{self.version} and {fingerprint}")

    def _set_needles(self) -> None:
        if self.version:
            text = json.dumps(self.version)
            self._needles = (
                f'"system_fingerprint":{text}'.encode(),
                f'"system_fingerprint": {text}'.encode(),
            )


def _read_payload(event: bytes) -> bytes | None:
    """Return the data of an event, or None for a comment."""
    lines = [line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None


def _parse(payload: bytes) -> dict[str, Any]:
    try:
        value = json.loads(payload)
    except ValueError as error:
        raise EventStreamError("an event is not JSON") from error
    if not isinstance(value, dict):
        raise EventStreamError("an event is no JSON object")
    if "error" in value:
        raise EventStreamError(f"the engine reports {str(value['error'])[:200]}")
    return value


def _read_count(usage: dict[str, Any], name: str) -> int:
    value = usage.get(name)
    return value if isinstance(value, int) and value >= 0 else 0
