"""Guards the reading of an engine's event stream: cuts, versions, usage, end."""

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
def test_any_cut_gives_the_same_answer(size: int) -> None:
    reader = EventStreamReader(version="v1", keeps_usage=False)
    data = FIRST + SPACED + b": ping\n\n" + FIRST + USAGE + DONE
    parts = [reader.feed(data[start : start + size]) for start in range(0, len(data), size)]
    assert b"".join(part for part, _ in parts) == FIRST + SPACED + b": ping\n\n" + FIRST + DONE
    assert sum(tokens for _, tokens in parts) == 3
    assert (reader.is_done, reader.prompt_tokens, reader.output_tokens) == (True, 7, 3)


def test_usage_is_kept_for_a_caller_that_asked() -> None:
    reader = EventStreamReader(version="", keeps_usage=True)
    assert reader.feed(FIRST + USAGE + DONE)[0] == FIRST + USAGE + DONE
    assert reader.version == "v1"


def test_carriage_returns_are_accepted() -> None:
    reader = EventStreamReader(version="v1", keeps_usage=False)
    assert reader.feed(FIRST.replace(b"\n\n", b"\r\n\r\n")) == (FIRST, 1)


@pytest.mark.parametrize("version", ["v1", ""])
@pytest.mark.parametrize("other", [OTHER, QUOTED])
def test_another_version_is_noticed(version: str, other: bytes) -> None:
    reader = EventStreamReader(version=version, keeps_usage=False)
    reader.feed(FIRST)
    with pytest.raises(MixedVersionsError):
        reader.feed(FIRST + other)


@pytest.mark.parametrize("event", [b'data: {"error":"x"}\n\n', b"data: {\n\n", b"data: 1\n\n"])
def test_an_error_event_is_no_answer(event: bytes) -> None:
    with pytest.raises(EventStreamError):
        EventStreamReader(version="v1", keeps_usage=False).feed(event)
