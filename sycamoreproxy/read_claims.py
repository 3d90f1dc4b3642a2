"""Claims on reading a large document, which limit how many processes of a zone read it at once.

They are for the case that the readers of a zone fail while a large document changes. If all other
processes read it then, 387 KB to each of 22 processes take 4.5 s on a link of 15 Mbit/s, and no
process has a complete copy earlier.
"""

from __future__ import annotations

from sycamoreproxy.zone_readers import READERS_PER_ZONE

#: Time for which a claim keeps other processes from reading, in seconds: three responses of 387 KB
#: take 0.62 s on a link of 15 Mbit/s.
CLAIM_TTL_S = 0.7


class ReadClaims:
    """Claims of other processes of the zone on one document."""

    def __init__(self) -> None:
        self._expires_at_by_host: dict[str, float] = {}

    def has_enough_readers(self, now: float) -> bool:
        """Return whether unexpired claims are as many as a zone has readers.

        :param now: monotonic time, in seconds.
        """
        return (
            sum(expires_at > now for expires_at in self._expires_at_by_host.values())
            >= READERS_PER_ZONE
        )

    def add(self, host: str, now: float) -> bool:
        """Add a claim of a host; return False if it has an unexpired one, which is not extended.

        :param now: monotonic time, in seconds.
        """
        claims = {
            other: expires_at
            for other, expires_at in self._expires_at_by_host.items()
            if expires_at > now
        }
        is_new = host not in claims
        self._expires_at_by_host = {host: now + CLAIM_TTL_S} | claims
        return is_new
