"""What a process holds of upstreams' answers for all its requests together."""

from __future__ import annotations

#: Bytes that each answer may hold whatever the others hold. The answers of the users' services
#: have 800 bytes, so they are answered while an upstream in trouble fills the rest.
RESERVED_BYTES = 16 * 1024
#: Longest sum of what the answers hold beyond that, in bytes. The smallest entry hosts have 160 MB,
#: of which a process without requests takes 45 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class BufferBudget:
    """Counts the bytes held and bounds their sum."""

    def __init__(self) -> None:
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes held beyond the free part of each answer."""
        return self._total

    def resize(self, before: int, after: int) -> bool:
        """Change what one answer holds; return whether it may hold that much.

        :param before: bytes that it held by the last permitted change, 0 at its start.
        """
        change = max(0, after - RESERVED_BYTES) - max(0, before - RESERVED_BYTES)
        if change > 0 and self._total + change > MAX_BUFFERED_BYTES:
            return False
        self._total += change
        return True
