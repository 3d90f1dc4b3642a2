"""Guards against half events, lost events and repeated events in a stream that resumes."""

from __future__ import annotations

import pytest

from sycamoreproxy.event_splitter import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\nsycamore: x\ndata: b\n\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 16, 64])
def test_events_pass_unchanged_whatever_the_parts(size: int) -> None:
    splitter = EventSplitter(last_id=None)
    passed = [splitter.take(STREAM[at : at + size]) for at in range(0, len(STREAM), size)]
    assert b"".join(passed) == STREAM
    assert splitter.last_id == 3 and splitter.partial == b""
    assert all(not part or part.endswith(b"\n\n") for part in passed)


def test_half_an_event_is_held_back_and_not_counted() -> None:
    splitter = EventSplitter(last_id=None)
    assert splitter.take(STREAM[:20]) == b"id: 1\ndata: a\n\n"
    assert (splitter.last_id, splitter.partial) == (1, b"id: 2")


def test_resumed_stream_begins_with_a_whole_event() -> None:
    """The partial event of the first upstream was joined to the second one's stream."""
    splitter = EventSplitter(last_id=None)
    splitter.take(STREAM[:20])
    splitter.restart()
    assert splitter.take(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize(("last_id", "expected"), [(None, None), (12, 12)])
def test_caller_may_begin_in_the_middle(last_id: int | None, expected: int | None) -> None:
    assert EventSplitter(last_id=last_id).last_id == expected
