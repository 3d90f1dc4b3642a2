"""Limit on the memory that one process uses to buffer upstream responses."""

from __future__ import annotations

#: Bytes that each response may buffer regardless of all others. Small responses, such as those of
#: the users' services with 800 bytes, fit in it, so they are still relayed while responses of a
#: failing upstream use up the shared part.
RESERVED_BYTES = 16 * 1024
#: Maximum sum of the bytes that responses buffer beyond their reservations. It is limited so
#: that they cannot exhaust the memory of the smallest entry hosts: these have 160 MB, of which an
#: idle process uses 45 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class BufferBudget:
    """Tracks the buffered bytes of all responses and limits their sum."""

    def __init__(self) -> None:
        self._total = 0

    @property
    def total(self) -> int:
        """Buffered bytes beyond the reservations of the responses."""
        return self._total

    def resize(self, before: int, after: int) -> bool:
        """Change the buffer size of one response; return False if the budget does not permit it.

        :param before: size after the last permitted change, in bytes; 0 for a new response.
        :param after: requested size, in bytes.
        """
        change = max(0, after - RESERVED_BYTES) - max(0, before - RESERVED_BYTES)
        if change > 0 and self._total + change > MAX_BUFFERED_BYTES:
            return False
        self._total += change
        return True
