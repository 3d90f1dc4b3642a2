"""Guards against incomplete, lost and repeated events in a resumed stream."""

from __future__ import annotations

import pytest

from sycamoreproxy.event_splitter import MAX_EVENT_BYTES, EventSplitter, EventTooLongError

STREAM = b"id: 1\ndata: a\n\nid: 2\nsycamore: x\ndata: b\n\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 16, 64])
def test_events_are_unchanged_for_any_chunk_size(size: int) -> None:
    splitter = EventSplitter(last_id=None)
    chunks = [splitter.feed(STREAM[start : start + size]) for start in range(0, len(STREAM), size)]
    assert b"".join(chunks) == STREAM
    assert splitter.last_id == 3 and splitter.partial == b""
    assert all(not chunk or chunk.endswith(b"\n\n") for chunk in chunks)


def test_incomplete_event_is_buffered_and_does_not_update_last_id() -> None:
    splitter = EventSplitter(last_id=None)
    assert splitter.feed(STREAM[:20]) == b"id: 1\ndata: a\n\n"
    assert (splitter.last_id, splitter.partial) == (1, b"id: 2")


def test_resumed_stream_starts_with_a_complete_event() -> None:
    """The incomplete event of the first upstream was prepended to the stream of the second one."""
    splitter = EventSplitter(last_id=None)
    splitter.feed(STREAM[:20])
    splitter.discard_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize(("last_id", "expected"), [(None, None), (12, 12)])
def test_last_id_is_initialized_from_the_caller(last_id: int | None, expected: int | None) -> None:
    assert EventSplitter(last_id=last_id).last_id == expected


@pytest.mark.parametrize("size", [1000, 65_536, MAX_EVENT_BYTES + 1])
@pytest.mark.parametrize("preceding", [b"", b"id: 1\ndata: a\n\n"])
def test_event_without_a_terminator_is_rejected(size: int, preceding: bytes) -> None:
    """An upstream that sent an event without a terminator exhausted the host's memory."""
    splitter = EventSplitter(last_id=None)
    splitter.feed(preceding)
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES // size + 1):
            splitter.feed(b"x" * size)
    assert len(splitter.partial) <= MAX_EVENT_BYTES


def test_event_of_maximum_size_is_unchanged() -> None:
    event = b"id: 7\ndata: " + b"x" * (MAX_EVENT_BYTES - 13) + b"\n\n"
    splitter = EventSplitter(last_id=None)
    chunks = [
        splitter.feed(event[start : start + 10_000]) for start in range(0, len(event), 10_000)
    ]
    assert b"".join(chunks) == event and splitter.last_id == 7


def test_size_limit_does_not_apply_to_several_events_in_one_chunk() -> None:
    splitter = EventSplitter(last_id=None)
    events = b"id: 1\ndata: a\n\n" * (MAX_EVENT_BYTES // 8)
    assert splitter.feed(events + b"id: 2") == events and splitter.partial == b"id: 2"
