"""Framed msgpack streams over TCP or TLS between the system's processes."""

from __future__ import annotations

import asyncio
import socket
import ssl
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from tornado.netutil import add_accept_handler, bind_sockets

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import MAX_FRAME_BYTES, MessageError, decode_message, encode_message

_LENGTH = struct.Struct(">I")
#: Where the event loop puts what it reads, for one stream at a time: up to 64 KiB at once.
_READ_BUFFER = memoryview(bytearray(64 * 1024))
#: Messages that wait for a reader at most; the connection is not read meanwhile.
_MAX_RECEIVED = 1_000
#: Parts (two a message) that wait for the end of the event loop's turn at most.
_MAX_UNSENT_PARTS = 512
#: Bytes that may wait for a slow peer before the stream is closed.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
#: Time to establish a connection, in seconds, the handshake of TLS included.
CONNECT_TIMEOUT_S = 2.0

_log = get_logger("streams")


class StreamLostError(Exception):
    """The stream is closed or its peer broke the protocol."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``IP:PORT`` or ``[IPv6]:PORT``.

        :raises ValueError: if the text is no IP address with a port.
        """
        ip, separator, port = text.rpartition(":")
        ip = ip.removeprefix("[").removesuffix("]")
        if not separator or not port.isdigit() or not 0 <= int(port) < 65536:
            raise ValueError(f"{text!r} is not IP:PORT")
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        try:
            socket.inet_pton(family, ip)
        except OSError as error:
            raise ValueError(f"{ip!r} is not an IP address") from error
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


class MessageStream(asyncio.BufferedProtocol):
    """Reads and writes messages on one connection.

    Frames that arrived together are decoded together, and messages sent within one turn of the
    event loop leave in one write: a token's message costs a fraction of a system call. It is a
    protocol of an asyncio transport, which takes fewer system calls and less time for a message
    than tornado's stream.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received: deque[Any] = deque()
        self._receiver: Callable[[Any], None] | None = None
        self._received_at = 0.0
        self._partial = bytearray()
        #: Bytes with which the partial frame may be whole.
        self._needed = 0
        self._unsent: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._is_lost = False
        self._is_paused = False
        self._reason = "the stream is closed"
        self._loop = asyncio.get_running_loop()
        self.bytes_in = 0
        self.bytes_out = 0

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._transport is None or self._is_lost or self._transport.is_closing()

    # What the transport calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connected transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are put."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were put into the buffer."""
        self.bytes_in += nbytes
        partial = self._partial
        if partial:
            partial += _READ_BUFFER[:nbytes]
            if len(partial) < self._needed:
                return
            data = bytes(partial)
            partial.clear()
        else:
            data = bytes(_READ_BUFFER[:nbytes])
        self._take_frames(data)
        if not self._received:
            return
        self._received_at = self._loop.time()
        if self._receiver is not None:
            self._hand_over(self._receiver)
            return
        if len(self._received) >= _MAX_RECEIVED and not self._is_paused:
            self._is_paused = True
            self._require_transport().pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Close the connection: the peer sends no more."""
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is closed."""
        self._is_lost = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        """Wait until messages arrived for a reader or the connection is closed."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _require_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    # Receiving

    async def read(self, *, timeout_s: float | None = None) -> Any:
        """Return the next message.

        :param timeout_s: longest wait in seconds; without it the caller bounds the wait.
        :raises StreamLostError: on close, timeout or a broken frame; the stream is closed then.
        """
        received = self._received
        if not received:
            try:
                # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the result.
                async with asyncio.timeout(timeout_s):
                    while not received:
                        if self.is_closed:
                            raise StreamLostError(self._reason)
                        await self._wait()
            except TimeoutError as error:
                self.close()
                raise StreamLostError("no message in time") from error
        message = received.popleft()
        if not received:
            self._resume()
        if isinstance(message, MessageError):
            self.close()
            raise StreamLostError(f"MessageError: {message}") from message
        return message

    async def deliver(self, receiver: Callable[[Any], None], *, idle_timeout_s: float) -> None:
        """Hand each message to a receiver as it arrives, until the stream is closed.

        The receiver runs within the event loop's read and must neither block nor raise.

        :param idle_timeout_s: the stream is closed after this time without a message, in seconds.
        :raises StreamLostError: on close, silence or a broken frame; the stream is closed then.
        """
        self._received_at = self._loop.time()
        self._receiver = receiver
        self._hand_over(receiver)
        self._resume()
        watch = asyncio.create_task(self._watch_silence(idle_timeout_s))
        try:
            while not self.is_closed:
                await self._wait()
        finally:
            watch.cancel()
            self._receiver = None
            self.close()
        raise StreamLostError(self._reason)

    async def _watch_silence(self, idle_timeout_s: float) -> None:
        """Close the stream when no message has come for a time.

        One timer a span of silence takes less time than one a message.
        """
        while (left := self._received_at + idle_timeout_s - self._loop.time()) > 0:
            await asyncio.sleep(left)
        self._reason = "no message in time"
        self.close()

    def _hand_over(self, receiver: Callable[[Any], None]) -> None:
        received = self._received
        while received:
            message = received.popleft()
            if isinstance(message, MessageError):
                self._reason = f"MessageError: {message}"
                self.close()
                return
            receiver(message)

    def _resume(self) -> None:
        """Read on after a pause for want of a reader."""
        if self._is_paused:
            self._is_paused = False
            if not self.is_closed:
                self._require_transport().resume_reading()

    def _take_frames(self, data: bytes) -> None:
        """Decode the whole frames of the data; a broken one ends what is received."""
        position = 0
        end = len(data)
        needed = _LENGTH.size
        try:
            while end - position >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(data, position)
                if length > MAX_FRAME_BYTES:
                    raise MessageError(f"frame of {length} bytes")
                start = position + _LENGTH.size
                if end - start < length:
                    needed = length + _LENGTH.size
                    break
                position = start + length
                self._received.append(decode_message(data[start:position]))
        except MessageError as error:
            self._received.append(error)
        self._needed = needed
        if position < end:
            self._partial += data[position:]

    # Sending

    def send(self, message: object) -> None:
        """Queue a message without waiting for the peer.

        :raises StreamLostError: if the stream is closed or the peer is too slow.
        """
        self.send_encoded(encode_message(message))

    def send_encoded(self, data: bytes) -> None:
        """Queue the bytes of a message, as :meth:`send` does."""
        if self.is_closed:
            raise StreamLostError("the stream is closed")
        unsent = self._unsent
        if not unsent:
            self._loop.call_soon(self._flush)
        unsent.append(_LENGTH.pack(len(data)))
        unsent.append(data)
        self.bytes_out += len(data) + _LENGTH.size
        # A stream that closes while it writes may have sent the message, so only a write that took
        # nothing counts as not sent.
        if len(unsent) >= _MAX_UNSENT_PARTS and not self._flush():
            raise StreamLostError("the stream is closed or the peer reads too slowly")

    def _flush(self) -> bool:
        """Write what waits; return False if certainly none of it was written."""
        unsent = self._unsent
        if not unsent:
            return True
        data = b"".join(unsent)
        unsent.clear()
        transport = self._transport
        if transport is None or self.is_closed:
            return False
        if transport.get_write_buffer_size() + len(data) > MAX_UNSENT_BYTES:
            transport.abort()
            return False
        # An error of the socket closes the transport; a part may have been written then.
        transport.write(data)
        return True

    def close(self) -> None:
        """Close the connection after what was sent before; what the socket does not take is lost."""
        self._flush()
        if self._transport is not None:
            self._transport.abort()


async def open_stream(
    address: Address, *, tls: ssl.SSLContext | None, timeout_s: float = CONNECT_TIMEOUT_S
) -> MessageStream:
    """Connect to a peer.

    :param tls: client context for mutual TLS; None for a plain connection.
    :raises StreamLostError: if there is no connection in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, stream = await loop.create_connection(
                MessageStream, address.ip, address.port, ssl=tls
            )
    except (TimeoutError, OSError) as error:
        raise StreamLostError(f"{address}: {type(error).__name__}") from error
    return stream


class MessageServer:
    """Accepts message streams.

    :param handle: called with each stream; the stream is closed when it returns.
    :param tls: server context for mutual TLS; None for plain connections.
    """

    def __init__(
        self,
        *,
        handle: Callable[[MessageStream], Awaitable[None]],
        tls: ssl.SSLContext | None,
    ) -> None:
        self._handle = handle
        self._tls = tls
        self._stop_accepting_by_socket: dict[socket.socket, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ports(self) -> list[int]:
        """Ports of the listeners."""
        return [listener.getsockname()[1] for listener in self._stop_accepting_by_socket]

    def listen(self, port: int, ip: str) -> None:
        """Open a listener.

        :param port: 0 for any free one.
        """
        for listener in bind_sockets(port, ip):
            self.add_socket(listener)

    def add_socket(self, listener: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self._stop_accepting_by_socket[listener] = add_accept_handler(listener, self._accept)

    def stop(self) -> None:
        """Close the listeners; accepted streams stay open."""
        for listener, stop_accepting in self._stop_accepting_by_socket.items():
            stop_accepting()
            listener.close()
        self._stop_accepting_by_socket.clear()

    def _accept(self, connection: socket.socket, address: Any) -> None:
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: socket.socket) -> None:
        """Serve one connection until its handler returns."""
        stream = MessageStream()
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: stream,
                connection,
                ssl=self._tls,
                ssl_handshake_timeout=CONNECT_TIMEOUT_S if self._tls is not None else None,
            )
            await self._handle(stream)
        except (StreamLostError, OSError):
            pass
        except Exception:
            _log.exception("stream handler failed")
        finally:
            stream.close()
