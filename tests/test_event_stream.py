"""Tests the reader of engine event streams: chunk boundaries, versions, usage and end."""

from __future__ import annotations

import pytest

from sycamoreproxy._event_stream import EventStreamError, EventStreamReader, MixedVersionsError

FIRST = b'data: {"system_fingerprint":"v1","choices":[{"text":"a\\n\\n"}]}\n\n'
SPACED = b'data: {"system_fingerprint": "v1", "choices": [{"text": "b"}]}\n\n'
OTHER = b'data: {"system_fingerprint":"v2","choices":[{"text":"c"}]}\n\n'
QUOTED = b'data: {"system_fingerprint":"v2","choices":[{"text":"\\"system_fingerprint\\":\\"v1\\""}]}\n\n'
USAGE = (
    b'data: {"system_fingerprint":"v1","choices":[],'
    b'"usage":{"prompt_tokens":7,"completion_tokens":3}}\n\n'
)
DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize("size", [1, 2, 7, 64, 1000])
def test_chunk_size_does_not_change_the_result(size: int) -> None:
    reader = EventStreamReader(version="v1", keeps_usage=False)
    data = FIRST + SPACED + b": ping\n\n" + FIRST + USAGE + DONE
    results = [reader.feed(data[start : start + size]) for start in range(0, len(data), size)]
    assert (
        b"".join(events for events, _ in results) == FIRST + SPACED + b": ping\n\n" + FIRST + DONE
    )
    assert sum(tokens for _, tokens in results) == 3
    assert (reader.is_done, reader.prompt_tokens, reader.output_tokens) == (True, 7, 3)


def test_usage_is_relayed_if_requested() -> None:
    reader = EventStreamReader(version="", keeps_usage=True)
    assert reader.feed(FIRST + USAGE + DONE)[0] == FIRST + USAGE + DONE
    assert reader.version == "v1"


def test_carriage_returns_are_accepted() -> None:
    reader = EventStreamReader(version="v1", keeps_usage=False)
    assert reader.feed(FIRST.replace(b"\n\n", b"\r\n\r\n")) == (FIRST, 1)


@pytest.mark.parametrize("version", ["v1", ""])
@pytest.mark.parametrize("other", [OTHER, QUOTED])
def test_different_version_is_rejected(version: str, other: bytes) -> None:
    reader = EventStreamReader(version=version, keeps_usage=False)
    reader.feed(FIRST)
    with pytest.raises(MixedVersionsError):
        reader.feed(FIRST + other)


@pytest.mark.parametrize("event", [b'data: {"error":"x"}\n\n', b"data: {\n\n", b"data: 1\n\n"])
def test_error_or_malformed_event_is_rejected(event: bytes) -> None:
    with pytest.raises(EventStreamError):
        EventStreamReader(version="v1", keeps_usage=False).feed(event)
