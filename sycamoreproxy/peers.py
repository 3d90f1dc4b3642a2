"""Streams to and from the other processes of the system, and dispatch of their messages."""

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

#: A stream without messages for this time is closed, in seconds; peers send a heartbeat every
#: second.
IDLE_TIMEOUT_S = 5.0
#: First and longest delay before a stream is reopened, in seconds.
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
#: Maximum number of accepted streams; leaves room beyond all entry hosts of an availability zone.
MAX_INBOUND_STREAMS = 1_024
#: First protocol version with ``Repeat``.
_REPEAT_MIN_PROTOCOL = 2
#: Message numbers of the heartbeats that are sent as ``Repeat`` while their content is unchanged: a
#: ``Status`` takes about 250 bytes on each stream, a ``Repeat`` 7.
_HEARTBEAT_NUMBERS: dict[type, int] = {
    cls: get_message_number(cls) for cls in (Status, PeerStatus, ChunkHave)
}

_log = get_logger("peers")


class Peer:
    """The process at the other end of an open stream.

    :param hello: greeting of the peer, which identifies it.
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
    def is_acknowledged(self) -> bool:
        """Whether the peer's host has acknowledged all that was sent, or the stream is closed."""
        return self._stream.is_acknowledged

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

        True does not mean that the peer has received the message.
        """
        number = _HEARTBEAT_NUMBERS.get(type(message))
        try:
            if number is None or self.hello.protocol < _REPEAT_MIN_PROTOCOL:
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
        """Queue an encoded message other than a heartbeat; return False if the stream is lost."""
        try:
            self._stream.send_encoded(data)
        except StreamLostError:
            return False
        return True

    def expand_repeat(self, message: Any) -> Any:
        """Return a received message; for a ``Repeat``, the heartbeat that it repeats or None.

        Must be called with every received message, in order.
        """
        if type(message) is Repeat:
            return self._received_by_number.get(message.number)
        number = _HEARTBEAT_NUMBERS.get(type(message))
        if number is not None:
            self._received_by_number[number] = message
        return message

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


Handler = Callable[[Peer, Any], None]


class PeerHub:
    """Owns the streams of a process and passes each message to the handlers of its type.

    Handlers run on the event loop and must not block; they start a task for anything that waits.

    :param hello: greeting that identifies this process.
    :param client_tls: TLS context for streams that this process opens; None for plaintext.
    """

    def __init__(self, *, hello: Hello, client_tls: ssl.SSLContext | None) -> None:
        self.hello = hello
        self._client_tls = client_tls
        self._handlers_by_type: dict[type, list[Handler]] = {}
        self._open_listeners: list[Callable[[Peer], None]] = []
        self._close_listeners: list[Callable[[Peer], None]] = []
        self._peers: set[Peer] = set()
        #: Cache of ``list_peers`` by role and availability zone; cleared when a stream opens or
        #: closes.
        self._peers_by_filter: dict[tuple[str | None, str | None], tuple[Peer, ...]] = {}
        self._connectors_by_address: dict[Address, asyncio.Task[None]] = {}
        self._inbound_count = 0
        self._closed_bytes_in = 0
        self._closed_bytes_out = 0

    @property
    def bytes_in(self) -> int:
        """Bytes received on all streams since the start, including closed ones."""
        return self._closed_bytes_in + sum(peer.bytes_in for peer in self._peers)

    @property
    def bytes_out(self) -> int:
        """Bytes sent on all streams since the start, including closed ones."""
        return self._closed_bytes_out + sum(peer.bytes_out for peer in self._peers)

    @property
    def peers(self) -> frozenset[Peer]:
        """All peers with an open stream."""
        return frozenset(self._peers)

    def list_peers(
        self, *, role: str | None = None, availability_zone: str | None = None
    ) -> tuple[Peer, ...]:
        """Return the open peers, filtered by role and by availability zone if given."""
        key = (role, availability_zone)
        found = self._peers_by_filter.get(key)
        if found is None:
            found = tuple(
                peer
                for peer in self._peers
                if role in (None, peer.hello.role)
                and availability_zone in (None, peer.hello.availability_zone)
            )
            self._peers_by_filter[key] = found
        return found

    def find_peer(self, host: str, *, role: str, min_protocol: int) -> Peer | None:
        """Return an open peer of this role on a host, or None if there is none.

        :param min_protocol: lowest protocol version that it must support.
        """
        for peer in self.list_peers(role=role):
            if peer.hello.host == host and peer.hello.protocol >= min_protocol:
                return peer
        return None

    def on(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(peer, message)`` for each message of a type."""
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def on_open(self, listener: Callable[[Peer], None]) -> None:
        """Call ``listener(peer)`` after both sides of a stream have sent ``Hello``."""
        self._open_listeners.append(listener)

    def on_close(self, listener: Callable[[Peer], None]) -> None:
        """Call ``listener(peer)`` after a stream has closed."""
        self._close_listeners.append(listener)

    def broadcast(
        self,
        message: object,
        *,
        role: str | None = None,
        availability_zone: str | None = None,
        min_protocol: int = 0,
    ) -> None:
        """Send a message to all peers, filtered by role and by availability zone if given.

        :param min_protocol: lowest protocol version of the receivers.
        """
        peers = self.list_peers(role=role, availability_zone=availability_zone)
        if min_protocol:
            peers = tuple(peer for peer in peers if peer.hello.protocol >= min_protocol)
        if type(message) in _HEARTBEAT_NUMBERS:
            for peer in peers:
                peer.send(message)
            return
        data = encode_message(message) if peers else b""
        for peer in peers:
            peer.send_encoded(data)

    def set_targets(self, addresses: set[Address]) -> None:
        """Keep a stream open to each of these addresses; close all other outbound streams."""
        for address in [a for a in self._connectors_by_address if a not in addresses]:
            self._connectors_by_address.pop(address).cancel()
        for address in addresses:
            if address not in self._connectors_by_address:
                self._connectors_by_address[address] = asyncio.create_task(
                    self._keep_connected(address)
                )

    async def serve(self, stream: MessageStream) -> None:
        """Serve one accepted stream until it closes."""
        if self._inbound_count >= MAX_INBOUND_STREAMS:
            _log.warning("too many inbound streams", limit=MAX_INBOUND_STREAMS)
            return
        self._inbound_count += 1
        try:
            await self._run_stream(stream, outbound=False)
        finally:
            self._inbound_count -= 1

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
        delay_s = RECONNECT_MIN_S
        task = asyncio.current_task()
        # asyncio.wait_for of Python 3.11 loses a cancellation that coincides with the end of the
        # stream.
        while task is None or not task.cancelling():
            with contextlib.suppress(StreamLostError):
                stream = await open_stream(address, tls=self._client_tls)
                delay_s = RECONNECT_MIN_S
                try:
                    await self._run_stream(stream, outbound=True)
                finally:
                    stream.close()
            # Jitter, so that not all peers of a restarted host reconnect at the same time.
            await asyncio.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(delay_s * 2, RECONNECT_MAX_S)

    async def _run_stream(self, stream: MessageStream, *, outbound: bool) -> None:
        stream.send(self.hello)
        hello = await stream.read(timeout_s=IDLE_TIMEOUT_S)
        if not isinstance(hello, Hello):
            raise StreamLostError("the first message on the stream is not Hello")
        peer = Peer(hello=hello, stream=stream, outbound=outbound)
        self._peers.add(peer)
        self._peers_by_filter.clear()
        loop = asyncio.get_running_loop()
        try:
            for listener in self._open_listeners:
                listener(peer)

            def handle(message: Any) -> None:
                peer.last_message_at = loop.time()
                self._dispatch(peer, peer.expand_repeat(message))

            await stream.deliver(handle, idle_timeout_s=IDLE_TIMEOUT_S)
        finally:
            self._peers.discard(peer)
            self._peers_by_filter.clear()
            self._closed_bytes_in += stream.bytes_in
            self._closed_bytes_out += stream.bytes_out
            stream.close()
            for listener in self._close_listeners:
                listener(peer)

    def _dispatch(self, peer: Peer, message: Any) -> None:
        for handler in self._handlers_by_type.get(type(message), ()):
            try:
                handler(peer, message)
            except Exception:
                # A message that cannot be handled must not close the stream, which other messages
                # share.
                _log.exception("message handler failed", type=type(message).__name__)
