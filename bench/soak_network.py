"""Streams between the simulated processes of a soak run: delays, cuts and frozen processes."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from sycamoreproxy.messages import Hello, decode_message, encode_message

#: One-way delay of a message, in seconds; the larger one is a stalled link.
DELAY_S = (0.001, 0.004)


class SoakPeer:
    """One end of a stream between two hubs; messages keep their order.

    :param hello: what the other end said of itself.
    """

    def __init__(self, *, owner: SoakHub, target: SoakHub, number: int, rng: random.Random) -> None:
        self.owner = owner
        self.target = target
        self.hello = target.hello
        self.outbound = True
        self.last_message_at = 0.0
        self.is_closed = False
        self.back: SoakPeer = self
        self._number = number
        self._random = rng
        self._next_at = 0.0

    def __hash__(self) -> int:
        # Sets of peers iterate in the same order in every run.
        return self._number

    def send(self, message: object) -> bool:
        """Queue a message for the other end."""
        if self.is_closed:
            return False
        loop = asyncio.get_running_loop()
        self._next_at = max(self._next_at, loop.time() + self._random.uniform(*DELAY_S))
        loop.call_at(self._next_at, self._arrive, encode_message(message))
        return True

    def close(self) -> None:
        """Close both ends; what did not arrive is lost."""
        for end in (self, self.back):
            if not end.is_closed:
                end.is_closed = True
                end.owner.remove(end)

    def _arrive(self, data: bytes) -> None:
        if self.is_closed:
            return
        if self.owner.is_frozen or self.target.is_frozen:
            # A frozen process neither sends nor receives; its socket buffers keep the bytes.
            loop = asyncio.get_running_loop()
            self._next_at = max(self._next_at, loop.time() + 0.05)
            self.target.held.append((self, data))
            return
        self.target.deliver(self.back, decode_message(data))


class SoakHub:
    """Takes the place of a ``PeerHub``."""

    def __init__(self, *, hello: Hello) -> None:
        self.hello = hello
        self.is_frozen = False
        self.held: list[tuple[SoakPeer, bytes]] = []
        self._peers: list[SoakPeer] = []
        self._handlers_by_type: dict[type, list[Callable[..., None]]] = defaultdict(list)
        self._open_listeners: list[Callable[..., None]] = []
        self._close_listeners: list[Callable[..., None]] = []

    @property
    def peers(self) -> list[SoakPeer]:
        """All open peers in the order in which they opened."""
        return list(self._peers)

    def on(self, message_type: type, handler: Callable[..., None]) -> None:
        """Call ``handler(peer, message)`` for each message of a type."""
        self._handlers_by_type[message_type].append(handler)

    def on_open(self, listener: Callable[..., None]) -> None:
        """Call ``listener(peer)`` after a stream opened."""
        self._open_listeners.append(listener)

    def on_close(self, listener: Callable[..., None]) -> None:
        """Call ``listener(peer)`` after a stream closed."""
        self._close_listeners.append(listener)

    def broadcast(self, message: object, *, role: str | None = None) -> None:
        """Send a message to every peer, or to every peer of a role."""
        for peer in self.peers:
            if role is None or peer.hello.role == role:
                peer.send(message)

    def deliver(self, peer: SoakPeer, message: Any) -> None:
        """Hand a message to its handlers."""
        peer.last_message_at = asyncio.get_running_loop().time()
        for handler in self._handlers_by_type[type(message)]:
            handler(peer, message)

    def resume(self) -> None:
        """Continue a frozen process: what was held arrives in order."""
        self.is_frozen = False
        held, self.held = self.held, []
        for peer, data in held:
            if not peer.is_closed:
                self.deliver(peer.back, decode_message(data))

    def add(self, peer: SoakPeer) -> None:
        """Add an open stream."""
        self._peers.append(peer)
        for listener in self._open_listeners:
            listener(peer)

    def remove(self, peer: SoakPeer) -> None:
        """Remove a stream that closed."""
        self._peers.remove(peer)
        for listener in self._close_listeners:
            listener(peer)

    def close(self) -> None:
        """Close every stream."""
        for peer in self.peers:
            peer.close()


class SoakNetwork:
    """Opens streams between hubs.

    :param rng: source of delays.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._random = rng
        self._opened = 0

    def connect(self, one: SoakHub, other: SoakHub) -> None:
        """Open a stream unless there is one."""
        if any(peer.target is other for peer in one.peers):
            return
        ends = []
        for owner, target in ((one, other), (other, one)):
            self._opened += 1
            ends.append(SoakPeer(owner=owner, target=target, number=self._opened, rng=self._random))
        ends[0].back, ends[1].back = ends[1], ends[0]
        for end in ends:
            end.owner.add(end)

    def cut(self, one: SoakHub, other: SoakHub) -> None:
        """Close the streams between two hubs."""
        for peer in one.peers:
            if peer.target is other:
                peer.close()
