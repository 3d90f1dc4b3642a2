"""Claims of processes that begin to read a large document, so that few of a zone read it at once.

Answers zones whose readers fall silent while a large document changes: read by all of the others,
387 KB to each of 22 processes take 4.5 s of a link of 15 Mbit/s, and none has its copy before.
"""

from __future__ import annotations

from sycamoreproxy.zone_readers import READERS

#: Time that a process is given for its answer before others begin to read, in seconds: three answers
#: of 387 KB take 0.62 s of a link of 15 Mbit/s.
CLAIM_S = 0.7


class ReadClaims:
    """What other processes of the zone have claimed of one document."""

    def __init__(self) -> None:
        self._until_by_host: dict[str, float] = {}

    def is_full(self, now: float) -> bool:
        """Return whether as many others read as a zone has readers.

        :param now: monotonic time, in seconds.
        """
        return sum(until > now for until in self._until_by_host.values()) >= READERS

    def add(self, host: str, now: float) -> bool:
        """Take a host's claim; return whether it has no other one at this time."""
        claims = {other: until for other, until in self._until_by_host.items() if until > now}
        is_new = host not in claims
        self._until_by_host = {host: now + CLAIM_S} | claims
        return is_new
