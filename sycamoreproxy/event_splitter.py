"""Splits a server-sent event stream into complete events without changing their bytes."""

from __future__ import annotations

import re

_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_EVENT_TERMINATOR = b"\n\n"
#: Maximum size of an event, in bytes, without its terminator. The events of the users' engines hold
#: 5 tokens; a token with alternatives and their probabilities takes up to 2 KiB.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLongError(Exception):
    """An event has no terminator within :data:`MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives.

    An upstream may stop in the middle of an event; the upstream that resumes the stream then sends
    this event again from its start. A faulty upstream may send an event without a terminator, so
    the size of an event is limited.

    :param last_id: ID of the last event that the caller has received; None if there is none.
    """

    def __init__(self, *, last_id: int | None) -> None:
        self.last_id = last_id
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """Bytes of the last event if it is incomplete."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Add data and return the events that are now complete; empty if there are none.

        :raises EventTooLongError: if the incomplete event is too long; the data is then discarded.
        """
        data = self._partial + data if self._partial else data
        end = data.rfind(_EVENT_TERMINATOR)
        end = end + len(_EVENT_TERMINATOR) if end >= 0 else 0
        if len(data) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        complete_events, self._partial = data[:end], data[end:]
        event_ids = _EVENT_ID.findall(complete_events)
        if event_ids:
            self.last_id = int(event_ids[-1])
        return complete_events

    def discard_partial(self) -> None:
        """Discard the incomplete event before another upstream resumes the stream."""
        self._partial = b""
