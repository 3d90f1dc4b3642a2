"""Parts of prompts that entry hosts do not send to engines, because they crash them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from sycamoreproxy.clock import Clock

#: Time for which a complete answer with a part shows that the part does not crash engines, in
#: seconds.
ANSWER_MAX_AGE_S = 10.0
#: Maximum number of parts of each kind that are remembered.
MAX_PARTS = 4_096


def list_shared_parts(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may share: all but the last."""
    return parts[:-1]


class PromptQuarantine:
    """Quarantined parts, and the parts that this host recently relayed complete answers with."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._until_by_part: OrderedDict[str, float] = OrderedDict()
        self._answered_at_by_part: OrderedDict[str, float] = OrderedDict()

    def find(self, parts: tuple[str, ...]) -> tuple[str, float] | None:
        """Return the first shared part of a prompt that is in quarantine, or None.

        :returns: the part and its remaining time in quarantine, in seconds.
        """
        if not self._until_by_part:
            return None
        now = self._clock.monotonic()
        for part in list_shared_parts(parts):
            until = self._until_by_part.get(part)
            if until is None:
                continue
            if now < until:
                return part, until - now
            del self._until_by_part[part]
        return None

    def list_sound(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return those of the parts with which this host recently relayed a complete answer."""
        oldest = self._clock.monotonic() - ANSWER_MAX_AGE_S
        return tuple(part for part in parts if self._answered_at_by_part.get(part, oldest) > oldest)

    def list_times_left(self) -> dict[str, float]:
        """Return the remaining quarantine of each part, in seconds."""
        now = self._clock.monotonic()
        return {part: until - now for part, until in self._until_by_part.items() if until > now}

    def add(self, part: str, seconds: float) -> bool:
        """Put a part in quarantine; return whether it was not in quarantine before."""
        now = self._clock.monotonic()
        before = self._until_by_part.pop(part, 0.0)
        self._until_by_part[part] = max(before, now + seconds)
        if len(self._until_by_part) > MAX_PARTS:
            self._until_by_part.popitem(last=False)
        return before <= now

    def record_complete_answer(self, parts: tuple[str, ...]) -> None:
        """Record that an engine answered a prompt of these parts completely.

        The first part of an answer proves nothing: an engine may crash after it.
        """
        now = self._clock.monotonic()
        for part in list_shared_parts(parts):
            self._answered_at_by_part[part] = now
            self._answered_at_by_part.move_to_end(part)
        while len(self._answered_at_by_part) > MAX_PARTS:
            self._answered_at_by_part.popitem(last=False)
