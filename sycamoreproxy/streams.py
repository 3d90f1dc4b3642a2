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

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from sycamoreproxy.messages import MAX_FRAME_BYTES, MessageError, decode_message, encode_message

_LENGTH = struct.Struct(">I")
#: Bytes read at once at most.
_READ_BYTES = 64 * 1024
#: Parts (two a message) that wait for the end of the event loop's turn at most.
_MAX_UNSENT_PARTS = 512
#: Bytes that may wait for a slow peer before the stream is closed.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
#: Time to establish a connection, in seconds.
CONNECT_TIMEOUT_S = 2.0


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


class MessageStream:
    """Reads and writes messages on one connection.

    Frames that arrived together are decoded together, and messages sent within one turn of the
    event loop leave in one write: a token's message costs a fraction of a system call.

    :param stream: the connected tornado stream.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._received: deque[Any] = deque()
        self._partial = b""
        #: Bytes that the last, partial frame still lacks; 0 if its length is not known.
        self._missing = 0
        self._unsent: list[bytes] = []
        self._loop = asyncio.get_running_loop()
        self.bytes_in = 0
        self.bytes_out = 0
        if stream.socket is not None and stream.socket.family != socket.AF_UNIX:
            stream.set_nodelay(True)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    async def read(self, *, timeout_s: float | None = None) -> Any:
        """Return the next message.

        :param timeout_s: longest wait in seconds; without it the caller bounds the wait.
        :raises StreamLostError: on close, timeout or a broken frame; the stream is closed then.
        """
        received = self._received
        if received:
            return self._take_received()
        try:
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the result.
            async with asyncio.timeout(timeout_s):
                while not received:
                    missing = self._missing
                    data = await self._stream.read_bytes(
                        missing or _READ_BYTES, partial=not missing
                    )
                    self.bytes_in += len(data)
                    self._take_frames(data)
        except (StreamClosedError, TimeoutError) as error:
            self.close()
            raise StreamLostError(f"{type(error).__name__}: {error}") from error
        return self._take_received()

    def _take_frames(self, data: bytes) -> None:
        """Decode the whole frames of the data; a broken one ends what is received."""
        if self._partial:
            data = self._partial + data
        position = 0
        end = len(data)
        self._missing = 0
        try:
            while end - position >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(data, position)
                if length > MAX_FRAME_BYTES:
                    raise MessageError(f"frame of {length} bytes")
                start = position + _LENGTH.size
                if end - start < length:
                    self._missing = length - (end - start)
                    break
                position = start + length
                self._received.append(decode_message(data[start:position]))
        except MessageError as error:
            self._received.append(error)
        self._partial = data[position:]

    def _take_received(self) -> Any:
        message = self._received.popleft()
        if isinstance(message, MessageError):
            self.close()
            raise StreamLostError(f"MessageError: {message}") from message
        return message

    def send(self, message: object) -> None:
        """Queue a message without waiting for the peer.

        :raises StreamLostError: if the stream is closed or the peer is too slow.
        """
        data = encode_message(message)
        if self._stream.closed():
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
        try:
            # These errors come before the stream takes the bytes; a later one only closes it.
            self._stream.write(data).add_done_callback(_ignore_result)
        except (StreamClosedError, StreamBufferFullError):
            self._stream.close()
            return False
        except OSError:
            self._stream.close()
        return True

    async def write(self, message: object, *, timeout_s: float = 10.0) -> None:
        """Write a message and wait until the socket took it.

        :raises StreamLostError: on close or timeout.
        """
        data = encode_message(message)
        self._flush()
        try:
            await asyncio.wait_for(
                _await(self._stream.write(_LENGTH.pack(len(data)) + data)), timeout_s
            )
        except (StreamClosedError, TimeoutError, OSError) as error:
            self.close()
            raise StreamLostError(f"{type(error).__name__}: {error}") from error
        self.bytes_out += len(data) + _LENGTH.size

    def close(self) -> None:
        """Close the connection after what was sent before."""
        self._flush()
        self._stream.close()


async def _await(awaitable: Awaitable[Any]) -> Any:
    return await awaitable


def _ignore_result(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


async def open_stream(
    address: Address, *, tls: ssl.SSLContext | None, timeout_s: float = CONNECT_TIMEOUT_S
) -> MessageStream:
    """Connect to a peer.

    :param tls: client context for mutual TLS; None for a plain connection.
    :raises StreamLostError: if there is no connection in time.
    """
    client = TCPClient()
    try:
        stream = await asyncio.wait_for(
            client.connect(
                address.ip, address.port, ssl_options=tls, max_buffer_size=MAX_UNSENT_BYTES
            ),
            timeout_s,
        )
    except (StreamClosedError, TimeoutError, OSError) as error:
        raise StreamLostError(f"{address}: {type(error).__name__}") from error
    stream.max_write_buffer_size = MAX_UNSENT_BYTES
    return MessageStream(stream)


class MessageServer(TCPServer):
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
        super().__init__(ssl_options=tls, max_buffer_size=MAX_UNSENT_BYTES)
        self._handle = handle

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection until its handler returns."""
        stream.max_write_buffer_size = MAX_UNSENT_BYTES
        messages = MessageStream(stream)
        try:
            await self._handle(messages)
        except StreamLostError:
            pass
        finally:
            messages.close()
