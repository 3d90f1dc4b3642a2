"""Selection of the processes that read large documents from the store for their availability zone.

This serves deployments whose zones reach the store over a narrow shared link. When every process
read a configuration of 285 KB itself, such a link was saturated for four seconds.

Readers are entry hosts, because weight transfers saturate the links of engine hosts during a
rollout. Entry hosts have no streams to each other, so upstream processes choose the readers among
the entry hosts that they have streams to, and announce the choice to them.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import DocumentReaders
from sycamoreproxy.peers import Peer, PeerHub

#: Number of readers that an upstream process chooses. With two, the failure of one causes no delay,
#: and the link carries a document twice.
READERS_PER_ZONE = 2

_log = get_logger("zone_readers")


def host_order_key(host: str) -> bytes:
    """Return the sort key of a host in an order that is the same in all processes."""
    return blake2b(host.encode(), digest_size=8).digest()


def choose_readers(hosts: Iterable[str]) -> frozenset[str]:
    """Return the readers for a zone with these entry hosts."""
    return frozenset(sorted(hosts, key=host_order_key)[:READERS_PER_ZONE])


class ZoneReaders:
    """The readers of the local availability zone that this process knows of."""

    def __init__(self, *, hub: PeerHub) -> None:
        self._hub = hub
        self._readers_by_peer: dict[Peer, frozenset[str]] = {}
        self._chosen: frozenset[str] = frozenset()
        hub.on(DocumentReaders, self._handle_readers)
        hub.on_open(self._handle_open)
        hub.on_close(self._handle_close)

    def find(self) -> frozenset[str] | None:
        """Return the hosts of the readers, or None while none are known."""
        if self._hub.hello.role == "upstream":
            return self._chosen or None
        return frozenset().union(*self._readers_by_peer.values()) if self._readers_by_peer else None

    def _is_local(self, peer: Peer) -> bool:
        return peer.hello.availability_zone == self._hub.hello.availability_zone

    def _handle_readers(self, peer: Peer, readers: DocumentReaders) -> None:
        if not self._is_local(peer):
            return
        before = self.find()
        self._readers_by_peer[peer] = frozenset(readers.hosts)
        if self.find() != before:
            _log.info("readers told", hosts=sorted(self.find() or ()), by=peer.hello.host)

    def _handle_open(self, peer: Peer) -> None:
        if self._hub.hello.role != "upstream" or peer.hello.role != "entry":
            return
        if not self._update_choice() and self._is_local(peer):
            peer.send(DocumentReaders(tuple(sorted(self._chosen))))

    def _handle_close(self, peer: Peer) -> None:
        self._readers_by_peer.pop(peer, None)
        if self._hub.hello.role == "upstream":
            self._update_choice()

    def _update_choice(self) -> bool:
        """Choose the readers again and announce a changed choice; return whether it has changed."""
        local = [p.hello for p in self._hub.peers if self._is_local(p) and p.hello.role == "entry"]
        chosen = choose_readers({hello.host for hello in local})
        if chosen == self._chosen:
            return False
        self._chosen = chosen
        _log.info("readers chosen", hosts=sorted(chosen), among=len(local))
        self._hub.broadcast(
            DocumentReaders(tuple(sorted(chosen))),
            role="entry",
            availability_zone=self._hub.hello.availability_zone,
        )
        return True
