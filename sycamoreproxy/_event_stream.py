"""Reads an OpenAI event stream: number of tokens, model version, usage and end of the stream."""

from __future__ import annotations

import json
from typing import Any

#: Start of a usage object. Quotes within generated text are escaped, so that it does not match.
_USAGE_PREFIXES = (b'"usage":{', b'"usage": {')
#: Maximum size of an incomplete event, in bytes.
MAX_EVENT_BYTES = 1_000_000


class MixedVersionsError(Exception):
    """An event has a different model version than the response."""


class EventStreamError(Exception):
    """The stream violates the protocol or reports an engine error."""


class EventStreamReader:
    """Returns complete events and checks the model version of each.

    Events are JSON on one line, so quotes within generated text are escaped and the raw bytes of
    ``"system_fingerprint":"VERSION"`` occur once in each event. Counting these occurrences is
    enough to check ordinary events without parsing them.

    :param version: model version of the response; if empty, the first one in an event is used.
    :param keeps_usage: whether the caller requested the usage event; otherwise it is removed.
    """

    def __init__(self, *, version: str, keeps_usage: bool) -> None:
        self.version = version
        self.is_done = False
        self.prompt_tokens = 0
        self.output_tokens = 0
        self._keeps_usage = keeps_usage
        self._partial = b""
        self._version_markers: tuple[bytes, ...] = ()
        self._set_version_markers()

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Add data; return the complete events to relay and the number of tokens in them.

        :raises MixedVersionsError: if the version of an event differs.
        :raises EventStreamError: if an event is malformed, too long or reports an engine error.
        """
        if self._partial:
            data = self._partial + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            end = 0
        self._partial = data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too long")
        if not end:
            return b"", 0
        events = data[:end] if self._partial else data
        event_count = events.count(b"\n\n")
        for version_marker in self._version_markers:
            if events.count(version_marker) == event_count and not any(
                prefix in events for prefix in _USAGE_PREFIXES
            ):
                self.output_tokens += event_count
                return events, event_count
        return self._parse_events(events)

    def _parse_events(self, events: bytes) -> tuple[bytes, int]:
        relayed: list[bytes] = []
        tokens = 0
        for event in events[:-2].split(b"\n\n"):
            payload = _read_payload(event)
            if payload is None:
                relayed.append(event)
                continue
            if payload == b"[DONE]":
                self.is_done = True
                relayed.append(event)
                continue
            value = _parse_payload(payload)
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
            relayed.append(event)
        if not relayed:
            return b"", tokens
        return b"\n\n".join(relayed) + b"\n\n", tokens

    def _check_version(self, value: dict[str, Any]) -> None:
        fingerprint = value.get("system_fingerprint")
        if not fingerprint:
            return
        if not self.version:
            self.version = str(fingerprint)
            self._set_version_markers()
        if fingerprint != self.version:
            raise MixedVersionsError(f"{self.version} and {fingerprint}")

    def _set_version_markers(self) -> None:
        if self.version:
            text = json.dumps(self.version)
            self._version_markers = (
                f'"system_fingerprint":{text}'.encode(),
                f'"system_fingerprint": {text}'.encode(),
            )


def _read_payload(event: bytes) -> bytes | None:
    """Return the data of an event, or None if it has only comments."""
    lines = [line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None


def _parse_payload(payload: bytes) -> dict[str, Any]:
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
