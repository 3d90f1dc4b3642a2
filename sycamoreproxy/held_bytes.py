"""Limit on the memory that one process uses to buffer request bodies or upstream responses."""

from __future__ import annotations

#: Bytes that each message may buffer regardless of all others. Small messages, such as responses of
#: the users' services with 800 bytes, fit in it, so they are still relayed while large ones use up
#: the shared part.
RESERVED_BYTES = 16 * 1024
#: Maximum sum of the bytes that messages buffer beyond their reservations. It is limited so
#: that they cannot exhaust the memory of the smallest entry hosts: these have 160 MB, of which an
#: idle process uses 45 MB. Bodies of requests have a budget of their own, and are copied once when
#: they are sent.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class BufferBudget:
    """Tracks the buffered bytes of all messages of a kind and limits their sum."""

    def __init__(self) -> None:
        self.max_bytes = MAX_BUFFERED_BYTES
        self._total = 0

    @property
    def total(self) -> int:
        """Buffered bytes beyond the reservations of the messages."""
        return self._total

    def permits(self, before: int, after: int) -> bool:
        """Return whether the buffer size of one message may be changed now.

        :param before: size after the last permitted change, in bytes; 0 for a new message.
        :param after: requested size, in bytes.
        """
        change = _count_shared_bytes(after) - _count_shared_bytes(before)
        return change <= 0 or self._total + change <= self.max_bytes

    def resize(self, before: int, after: int) -> bool:
        """Change the buffer size of one message; return False if the budget does not permit it.

        :param before: size after the last permitted change, in bytes; 0 for a new message.
        :param after: requested size, in bytes.
        """
        if not self.permits(before, after):
            return False
        self._total += _count_shared_bytes(after) - _count_shared_bytes(before)
        return True


def _count_shared_bytes(size: int) -> int:
    return max(0, size - RESERVED_BYTES)
