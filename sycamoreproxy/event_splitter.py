"""Whole events of a server-sent event stream, as bytes that are passed on unchanged."""

from __future__ import annotations

import re

_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_END = b"\n\n"
#: Longest event, in bytes, without its end. The events of the users' engines hold 5 tokens; a
#: token with alternatives and their probabilities takes up to 2 KiB.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLongError(Exception):
    """An event has no end within the permitted length."""


class EventSplitter:
    """Holds back the last event until it is whole.

    An upstream may stop in the middle of an event; another one then sends it again from its start.
    An upstream in trouble may send an event without an end, so its length is bounded.

    :param last_id: id of the last event that the caller has, None if it has none.
    """

    def __init__(self, *, last_id: int | None) -> None:
        self.last_id = last_id
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole with this data; empty if none is.

        :raises EventTooLongError: if the last event is too long; nothing of this data counts.
        """
        data = self._partial + data if self._partial else data
        end = data.rfind(_END)
        end = end + len(_END) if end >= 0 else 0
        if len(data) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        whole, self._partial = data[:end], data[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
        return whole

    def discard_partial(self) -> None:
        """Drop the partial event before the stream goes on at another upstream."""
        self._partial = b""
