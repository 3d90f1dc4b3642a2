"""Which processes of an availability zone read large documents from the store for the others.

Answers deployments whose zones share a narrow link to the store: read by every process, a configuration
of 285 KB filled such a link for four seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

from sycamoreproxy.upstream_book import UpstreamRecord

#: Readers of each zone. With two, one may fail without any delay, and a zone's link carries a document
#: twice.
READERS = 2


def rank_host(host: str) -> bytes:
    """Return a host's place in an order that all processes agree on."""
    return blake2b(host.encode(), digest_size=8).digest()


def choose_readers(records: Iterable[UpstreamRecord], *, availability_zone: str) -> frozenset[str]:
    """Return the IP addresses of a zone's readers.

    Every process makes the same choice from the listed engines, whose hosts all others have streams to.

    :param records: engines that are not leaving.
    """
    near = {r.address.ip for r in records if r.availability_zone == availability_zone}
    return frozenset(sorted(near, key=rank_host)[:READERS])


class ZoneReaders:
    """The readers of one zone, chosen again after each change of the engines.

    :param list_engines: returns the listed engines that are not leaving; None while none is known.
    """

    def __init__(
        self, *, availability_zone: str, list_engines: Callable[[], list[UpstreamRecord] | None]
    ) -> None:
        self._zone = availability_zone
        self._list_engines = list_engines
        self._hosts: frozenset[str] | None = None

    def find(self) -> frozenset[str] | None:
        """Return the IP addresses of the readers; None while no engine is known."""
        if self._hosts is None and (engines := self._list_engines()) is not None:
            self._hosts = choose_readers(engines, availability_zone=self._zone)
        return self._hosts

    def forget(self) -> None:
        """Choose again: the engines have changed."""
        self._hosts = None
