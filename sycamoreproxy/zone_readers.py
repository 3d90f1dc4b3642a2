"""Which processes of an availability zone read large documents from the store for the others.

Answers deployments whose zones share a narrow link to the store: read by every process, a
configuration of 285 KB filled such a link for four seconds.

Readers are entry hosts, because weights fill the links of the hosts beside engines during a
rollout. Entry hosts do not know each other, so the processes beside engines choose among those that
they have streams with and tell them.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import DocumentReaders
from sycamoreproxy.peers import Peer, PeerHub

#: Readers that a process beside an engine chooses. With two, one may fail without any delay, and
#: the link carries a document twice.
READERS = 2

_log = get_logger("zone_readers")


def rank_host(host: str) -> bytes:
    """Return a host's place in an order that all processes agree on."""
    return blake2b(host.encode(), digest_size=8).digest()


def choose_readers(hosts: Iterable[str]) -> frozenset[str]:
    """Return the readers among the entry hosts of a zone."""
    return frozenset(sorted(hosts, key=rank_host)[:READERS])


class ZoneReaders:
    """The readers of the own zone, as far as this process knows them."""

    def __init__(self, *, hub: PeerHub) -> None:
        self._hub = hub
        self._told_by_peer: dict[Peer, frozenset[str]] = {}
        self._chosen: frozenset[str] = frozenset()
        hub.on(DocumentReaders, self._take)
        hub.on_open(self._note_open)
        hub.on_close(self._note_close)

    def find(self) -> frozenset[str] | None:
        """Return the hosts of the readers; None while none is known."""
        if self._hub.hello.role == "upstream":
            return self._chosen or None
        return frozenset().union(*self._told_by_peer.values()) if self._told_by_peer else None

    def _is_near(self, peer: Peer) -> bool:
        return peer.hello.availability_zone == self._hub.hello.availability_zone

    def _take(self, peer: Peer, readers: DocumentReaders) -> None:
        if not self._is_near(peer):
            return
        before = self.find()
        self._told_by_peer[peer] = frozenset(readers.hosts)
        if self.find() != before:
            _log.info("readers told", hosts=sorted(self.find() or ()), by=peer.hello.host)

    def _note_open(self, peer: Peer) -> None:
        if self._hub.hello.role != "upstream" or peer.hello.role != "entry":
            return
        if not self._choose() and self._is_near(peer):
            peer.send(DocumentReaders(tuple(sorted(self._chosen))))

    def _note_close(self, peer: Peer) -> None:
        self._told_by_peer.pop(peer, None)
        if self._hub.hello.role == "upstream":
            self._choose()

    def _choose(self) -> bool:
        """Choose again and tell the entry hosts; return whether the choice has changed."""
        near = [p.hello for p in self._hub.peers if self._is_near(p) and p.hello.role == "entry"]
        chosen = choose_readers({hello.host for hello in near})
        if chosen == self._chosen:
            return False
        self._chosen = chosen
        _log.info("readers chosen", hosts=sorted(chosen), among=len(near))
        self._hub.broadcast(
            DocumentReaders(tuple(sorted(chosen))),
            role="entry",
            availability_zone=self._hub.hello.availability_zone,
        )
        return True
