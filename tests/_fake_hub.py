"""Streams between hubs of one test, delivered in seeded order."""

import random
from collections import deque
from typing import Any

from sycamoreproxy.messages import decode_message, encode_message


class FakePeer:
    """One direction of a stream; what is sent waits until the network delivers it."""

    def __init__(self, target: "FakeHub", number: int) -> None:
        self.target = target
        self.number = number
        self.back: FakePeer | None = None
        self.is_closed = False
        self.queue: deque[bytes] = deque()

    def __hash__(self) -> int:
        # Sets of peers iterate in the same order in every run.
        return self.number

    def send(self, message: object) -> bool:
        if not self.is_closed:
            self.queue.append(encode_message(message))
        return not self.is_closed


class FakeHub:
    """Takes the place of a ``PeerHub``."""

    def __init__(self) -> None:
        self.peers: frozenset[Any] = frozenset()
        self.handlers: dict[type, list[Any]] = {}
        self.open_listeners: list[Any] = []
        self.close_listeners: list[Any] = []

    def on(self, message_type: type, handler: Any) -> None:
        self.handlers.setdefault(message_type, []).append(handler)

    def on_open(self, listener: Any) -> None:
        self.open_listeners.append(listener)

    def on_close(self, listener: Any) -> None:
        self.close_listeners.append(listener)


class FakeNetwork:
    """Delivers messages one at a time; each stream keeps its order."""

    def __init__(self, *, seed: int) -> None:
        self.random = random.Random(seed)
        self.sent_by_type: dict[str, int] = {}
        self.bytes = 0
        self._peers: list[FakePeer] = []
        self._opened = 0

    def link(self, one: FakeHub, other: FakeHub) -> FakePeer:
        """Open a stream; return its end at ``one``."""
        self._opened += 2
        ends = (FakePeer(other, self._opened), FakePeer(one, self._opened + 1))
        ends[0].back, ends[1].back = ends[1], ends[0]
        self._peers.extend(ends)
        for hub, peer in zip((one, other), ends, strict=True):
            hub.peers |= {peer}
        for hub, peer in zip((one, other), ends, strict=True):
            for listener in hub.open_listeners:
                listener(peer)
        return ends[0]

    def cut(self, peer: FakePeer) -> None:
        """Close a stream; what was not delivered is lost."""
        assert peer.back is not None
        for end in (peer, peer.back):
            end.is_closed = True
            end.queue.clear()
            self._peers.remove(end)
        for end in (peer, peer.back):
            assert end.back is not None
            hub = end.back.target
            hub.peers -= {end}
            for listener in hub.close_listeners:
                listener(end)

    def deliver(self, limit: int = 100_000) -> None:
        """Deliver messages until none waits, at most ``limit``."""
        for _ in range(limit):
            waiting = [peer for peer in self._peers if peer.queue]
            if not waiting:
                return
            peer = self.random.choice(waiting)
            data = peer.queue.popleft()
            message = decode_message(data)
            name = type(message).__name__
            self.sent_by_type[name] = self.sent_by_type.get(name, 0) + 1
            self.bytes += len(data)
            for handler in peer.target.handlers.get(type(message), ()):
                handler(peer.back, message)
