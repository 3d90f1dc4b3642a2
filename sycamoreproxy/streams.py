"""Framed msgpack streams over TCP or TLS between the system's processes."""

from __future__ import annotations

import asyncio
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from sycamoreproxy.messages import MAX_FRAME_BYTES, MessageError, decode_message, encode_message

_LENGTH = struct.Struct(">I")
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

    :param stream: the connected tornado stream.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
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
        try:
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the result.
            async with asyncio.timeout(timeout_s):
                return await self._read()
        except (StreamClosedError, TimeoutError, MessageError) as error:
            self.close()
            raise StreamLostError(f"{type(error).__name__}: {error}") from error

    async def _read(self) -> Any:
        (length,) = _LENGTH.unpack(await self._stream.read_bytes(_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise MessageError(f"frame of {length} bytes")
        data = await self._stream.read_bytes(length)
        self.bytes_in += length + _LENGTH.size
        return decode_message(data)

    def send(self, message: object) -> None:
        """Queue a message without waiting for the peer.

        :raises StreamLostError: if the stream is closed or the peer is too slow.
        """
        data = encode_message(message)
        try:
            future = self._stream.write(_LENGTH.pack(len(data)) + data)
        except (StreamClosedError, OSError) as error:
            raise StreamLostError(str(error)) from error
        except Exception as error:  # StreamBufferFullError has no common base with the above
            self.close()
            raise StreamLostError("the peer reads too slowly") from error
        future.add_done_callback(_ignore_result)
        self.bytes_out += len(data) + _LENGTH.size

    async def write(self, message: object, *, timeout_s: float = 10.0) -> None:
        """Write a message and wait until the socket took it.

        :raises StreamLostError: on close or timeout.
        """
        data = encode_message(message)
        try:
            await asyncio.wait_for(
                _await(self._stream.write(_LENGTH.pack(len(data)) + data)), timeout_s
            )
        except (StreamClosedError, TimeoutError, OSError) as error:
            self.close()
            raise StreamLostError(f"{type(error).__name__}: {error}") from error
        self.bytes_out += len(data) + _LENGTH.size

    def close(self) -> None:
        """Close the connection."""
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
