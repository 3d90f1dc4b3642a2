"""Guards against half events, lost events and repeated events in a stream that resumes."""

from __future__ import annotations

import pytest

from sycamoreproxy.event_splitter import MAX_EVENT_BYTES, EventSplitter, EventTooLongError

STREAM = b"id: 1\ndata: a\n\nid: 2\nsycamore: x\ndata: b\n\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 16, 64])
def test_events_pass_unchanged_whatever_the_parts(size: int) -> None:
    splitter = EventSplitter(last_id=None)
    passed = [splitter.feed(STREAM[at : at + size]) for at in range(0, len(STREAM), size)]
    assert b"".join(passed) == STREAM
    assert splitter.last_id == 3 and splitter.partial == b""
    assert all(not part or part.endswith(b"\n\n") for part in passed)


def test_half_an_event_is_held_back_and_not_counted() -> None:
    splitter = EventSplitter(last_id=None)
    assert splitter.feed(STREAM[:20]) == b"id: 1\ndata: a\n\n"
    assert (splitter.last_id, splitter.partial) == (1, b"id: 2")


def test_resumed_stream_begins_with_a_whole_event() -> None:
    """The partial event of the first upstream was joined to the second one's stream."""
    splitter = EventSplitter(last_id=None)
    splitter.feed(STREAM[:20])
    splitter.discard_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize(("last_id", "expected"), [(None, None), (12, 12)])
def test_caller_may_begin_in_the_middle(last_id: int | None, expected: int | None) -> None:
    assert EventSplitter(last_id=last_id).last_id == expected


@pytest.mark.parametrize("size", [1000, 65_536, MAX_EVENT_BYTES + 1])
@pytest.mark.parametrize("before", [b"", b"id: 1\ndata: a\n\n"])
def test_event_without_an_end_is_not_kept(size: int, before: bytes) -> None:
    """An upstream that sent a stream without the end of an event filled the host's memory."""
    splitter = EventSplitter(last_id=None)
    splitter.feed(before)
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES // size + 1):
            splitter.feed(b"x" * size)
    assert len(splitter.partial) <= MAX_EVENT_BYTES


def test_longest_event_passes_unchanged() -> None:
    event = b"id: 7\ndata: " + b"x" * (MAX_EVENT_BYTES - 13) + b"\n\n"
    splitter = EventSplitter(last_id=None)
    passed = [splitter.feed(event[at : at + 10_000]) for at in range(0, len(event), 10_000)]
    assert b"".join(passed) == event and splitter.last_id == 7


def test_long_series_of_events_in_one_part_passes() -> None:
    splitter = EventSplitter(last_id=None)
    series = b"id: 1\ndata: a\n\n" * (MAX_EVENT_BYTES // 8)
    assert splitter.feed(series + b"id: 2") == series and splitter.partial == b"id: 2"
