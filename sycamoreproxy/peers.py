"""Streams to and from other processes of the system, and the routing of their messages."""

from __future__ import annotations

import asyncio
import contextlib
import random
import ssl
from collections.abc import Callable
from typing import Any

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    ChunkHave,
    Hello,
    PeerStatus,
    Repeat,
    Status,
    encode_message,
    get_message_number,
)
from sycamoreproxy.streams import Address, MessageStream, StreamLostError, open_stream

#: A peer sends a heartbeat each second; after this silence its stream is closed, in seconds.
SILENCE_LIMIT_S = 5.0
#: First and longest pause before a stream is opened again, in seconds.
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
#: Streams that a process accepts: every entry host of an availability zone and then some.
MAX_INBOUND_STREAMS = 1_024
#: First protocol that knows ``Repeat``.
_REPEAT_PROTOCOL = 2
#: Heartbeats that are replaced by ``Repeat`` while they do not change. A
#: ``Status`` takes about 250 bytes on each stream, a ``Repeat`` 7.
_NUMBERS_BY_HEARTBEAT: dict[type, int] = {
    cls: get_message_number(cls) for cls in (Status, PeerStatus, ChunkHave)
}

_log = get_logger("peers")


class Peer:
    """The other end of one open stream.

    :param hello: what the peer said of itself.
    :param outbound: whether this process opened the stream.
    """

    __slots__ = (
        "_received_by_number",
        "_sent_by_number",
        "_stream",
        "hello",
        "last_message_at",
        "outbound",
    )

    def __init__(self, *, hello: Hello, stream: MessageStream, outbound: bool) -> None:
        self.hello = hello
        self.outbound = outbound
        self.last_message_at = 0.0
        self._stream = stream
        self._sent_by_number: dict[int, object] = {}
        self._received_by_number: dict[int, object] = {}

    @property
    def is_closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.is_closed

    @property
    def bytes_in(self) -> int:
        """Bytes received on this stream."""
        return self._stream.bytes_in

    @property
    def bytes_out(self) -> int:
        """Bytes sent on this stream."""
        return self._stream.bytes_out

    def send(self, message: object) -> bool:
        """Queue a message; return False if the stream is lost.

        True does not say that the peer received it.
        """
        number = _NUMBERS_BY_HEARTBEAT.get(type(message))
        try:
            if number is None or self.hello.protocol < _REPEAT_PROTOCOL:
                self._stream.send(message)
            elif self._sent_by_number.get(number) == message:
                self._stream.send(Repeat(number))
            else:
                self._stream.send(message)
                self._sent_by_number[number] = message
        except StreamLostError:
            return False
        return True

    def send_encoded(self, data: bytes) -> bool:
        """Queue the bytes of a message that is no heartbeat; return False if the stream is lost."""
        try:
            self._stream.send_encoded(data)
        except StreamLostError:
            return False
        return True

    def restore(self, message: Any) -> Any:
        """Return the message that a received one stands for; None if it stands for nothing.

        Every received message must come here in order.
        """
        if type(message) is Repeat:
            return self._received_by_number.get(message.number)
        number = _NUMBERS_BY_HEARTBEAT.get(type(message))
        if number is not None:
            self._received_by_number[number] = message
        return message

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


Handler = Callable[[Peer, Any], None]


class PeerHub:
    """Owns the streams of a process and hands each message to the handler of its type.

    Handlers run on the event loop, must not block, and start a task for anything that waits.

    :param hello: what this process says of itself.
    :param client_tls: context for streams that this process opens; None for plain.
    """

    def __init__(self, *, hello: Hello, client_tls: ssl.SSLContext | None) -> None:
        self.hello = hello
        self._client_tls = client_tls
        self._handlers_by_type: dict[type, list[Handler]] = {}
        self._open_listeners: list[Callable[[Peer], None]] = []
        self._close_listeners: list[Callable[[Peer], None]] = []
        self._peers: set[Peer] = set()
        #: Open peers by role and availability zone asked for; dropped when one opens or closes.
        self._lists_by_filter: dict[tuple[str | None, str | None], tuple[Peer, ...]] = {}
        self._connectors_by_address: dict[Address, asyncio.Task[None]] = {}
        self._inbound = 0
        self._closed_bytes_in = 0
        self._closed_bytes_out = 0

    @property
    def bytes_in(self) -> int:
        """Bytes received since the start on open and closed streams."""
        return self._closed_bytes_in + sum(peer.bytes_in for peer in self._peers)

    @property
    def bytes_out(self) -> int:
        """Bytes sent since the start on open and closed streams."""
        return self._closed_bytes_out + sum(peer.bytes_out for peer in self._peers)

    @property
    def peers(self) -> frozenset[Peer]:
        """All open peers."""
        return frozenset(self._peers)

    def list_peers(
        self, *, role: str | None = None, availability_zone: str | None = None
    ) -> tuple[Peer, ...]:
        """Return all open peers, or those of a role and of an availability zone."""
        key = (role, availability_zone)
        found = self._lists_by_filter.get(key)
        if found is None:
            found = tuple(
                peer
                for peer in self._peers
                if role in (None, peer.hello.role)
                and availability_zone in (None, peer.hello.availability_zone)
            )
            self._lists_by_filter[key] = found
        return found

    def on(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(peer, message)`` for each message of a type."""
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def on_open(self, listener: Callable[[Peer], None]) -> None:
        """Call ``listener(peer)`` after the exchange of ``Hello``."""
        self._open_listeners.append(listener)

    def on_close(self, listener: Callable[[Peer], None]) -> None:
        """Call ``listener(peer)`` after a stream closed."""
        self._close_listeners.append(listener)

    def broadcast(
        self, message: object, *, role: str | None = None, availability_zone: str | None = None
    ) -> None:
        """Send a message to every peer, or to those of a role and of an availability zone."""
        peers = self.list_peers(role=role, availability_zone=availability_zone)
        if type(message) in _NUMBERS_BY_HEARTBEAT:
            for peer in peers:
                peer.send(message)
            return
        data = encode_message(message) if peers else b""
        for peer in peers:
            peer.send_encoded(data)

    def set_targets(self, addresses: set[Address]) -> None:
        """Keep a stream to each of these addresses and close the other outbound ones."""
        for address in [a for a in self._connectors_by_address if a not in addresses]:
            self._connectors_by_address.pop(address).cancel()
        for address in addresses:
            if address not in self._connectors_by_address:
                self._connectors_by_address[address] = asyncio.create_task(
                    self._keep_connected(address)
                )

    async def serve(self, stream: MessageStream) -> None:
        """Serve one accepted stream until it closes."""
        if self._inbound >= MAX_INBOUND_STREAMS:
            _log.warning("too many inbound streams", limit=MAX_INBOUND_STREAMS)
            return
        self._inbound += 1
        try:
            await self._run(stream, outbound=False)
        finally:
            self._inbound -= 1

    async def close(self) -> None:
        """Close every stream and stop reconnecting."""
        tasks = list(self._connectors_by_address.values())
        self._connectors_by_address.clear()
        for task in tasks:
            task.cancel()
        for peer in list(self._peers):
            peer.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_connected(self, address: Address) -> None:
        pause = RECONNECT_MIN_S
        task = asyncio.current_task()
        # asyncio.wait_for of Python 3.11 drops a cancellation that meets the end of the stream.
        while task is None or not task.cancelling():
            with contextlib.suppress(StreamLostError):
                stream = await open_stream(address, tls=self._client_tls)
                pause = RECONNECT_MIN_S
                try:
                    await self._run(stream, outbound=True)
                finally:
                    stream.close()
            # Jitter keeps the streams of a restarted host from arriving all at once.
            await asyncio.sleep(pause * (0.5 + random.random()))
            pause = min(pause * 2, RECONNECT_MAX_S)

    async def _run(self, stream: MessageStream, *, outbound: bool) -> None:
        stream.send(self.hello)
        hello = await stream.read(timeout_s=SILENCE_LIMIT_S)
        if not isinstance(hello, Hello):
            raise StreamLostError("the first message is not Hello")
        peer = Peer(hello=hello, stream=stream, outbound=outbound)
        self._peers.add(peer)
        self._lists_by_filter.clear()
        loop = asyncio.get_running_loop()
        try:
            for listener in self._open_listeners:
                listener(peer)

            def take(message: Any) -> None:
                peer.last_message_at = loop.time()
                self._deliver(peer, peer.restore(message))

            await stream.deliver(take, idle_timeout_s=SILENCE_LIMIT_S)
        finally:
            self._peers.discard(peer)
            self._lists_by_filter.clear()
            self._closed_bytes_in += stream.bytes_in
            self._closed_bytes_out += stream.bytes_out
            stream.close()
            for listener in self._close_listeners:
                listener(peer)

    def _deliver(self, peer: Peer, message: Any) -> None:
        for handler in self._handlers_by_type.get(type(message), ()):
            try:
                handler(peer, message)
            except Exception:
                # One bad message must not end the stream that others share.
                _log.exception("message handler failed", type=type(message).__name__)
