"""Streams of length-prefixed msgpack messages over TCP or TLS between the system's processes."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import ssl
import struct
import termios
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from tornado.netutil import add_accept_handler, bind_sockets

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import MAX_FRAME_BYTES, MessageError, decode_message, encode_message
from sycamoreproxy.metrics import PORT_REFUSALS

_LENGTH_PREFIX = struct.Struct(">I")
#: Native ``int`` of an ioctl.
_INT = struct.Struct("i")
#: Receive buffer that all streams share, because the event loop reads one stream at a time; up to
#: 64 KiB per read.
_READ_BUFFER = memoryview(bytearray(64 * 1024))
#: Number of queued messages at which reading from the connection is paused.
_MAX_QUEUED_MESSAGES = 1_000
#: Number of queued buffers (two per message) at which they are written without waiting for the end
#: of the event loop iteration.
_MAX_UNSENT_BUFFERS = 512
#: Maximum number of bytes buffered for a slow peer before the stream is closed.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
#: Accepted streams that may be open without a whole message, where the owner names no limit.
MAX_SILENT_STREAMS = 256
#: Timeout for establishing a connection, including the TLS handshake, in seconds.
CONNECT_TIMEOUT_S = 2.0

_log = get_logger("streams")


class StreamLostError(Exception):
    """The stream is closed or its peer violated the protocol."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``IP:PORT`` or ``[IPv6]:PORT``.

        :raises ValueError: if the text is not an IP address with a port.
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

    Frames that arrived together are decoded together, and messages sent within one iteration of the
    event loop are combined into one write, so the message for one token costs only a fraction of a
    system call. This is implemented as a protocol of an asyncio transport, which needs fewer system
    calls and less time per message than tornado's stream.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received: deque[Any] = deque()
        self._receiver: Callable[[Any], None] | None = None
        self._received_at = 0.0
        self._partial = bytearray()
        #: Number of bytes required before the partial frame can be complete.
        self._needed_bytes = 0
        self._unsent: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._is_disconnected = False
        self._is_reading_paused = False
        self._close_reason = "the stream is closed"
        self._loop = asyncio.get_running_loop()
        self.bytes_in = 0
        self.bytes_out = 0

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._transport is None or self._is_disconnected or self._transport.is_closing()

    @property
    def has_received(self) -> bool:
        """Whether a whole message has arrived."""
        return self._received_at > 0

    @property
    def is_acknowledged(self) -> bool:
        """Whether the peer's host has acknowledged all that was sent, or the connection is closed.

        A connection that is closed before that loses what is left of it, also what the kernel has
        taken if the peer sends more.
        """
        transport = self._transport
        if transport is None or self.is_closed:
            return True
        if self._unsent or transport.get_write_buffer_size():
            return False
        descriptor = transport.get_extra_info("socket").fileno()
        # For TCP the number of bytes that are not acknowledged (tcp(7), SIOCOUTQ).
        (size,) = _INT.unpack(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size)))
        return bool(size == 0)

    @property
    def is_connected(self) -> bool:
        """Whether a transport was given to the stream."""
        return self._transport is not None

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connected transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes read into the buffer."""
        self.bytes_in += nbytes
        partial = self._partial
        if partial:
            partial += _READ_BUFFER[:nbytes]
            if len(partial) < self._needed_bytes:
                return
            data = bytes(partial)
            partial.clear()
        else:
            data = bytes(_READ_BUFFER[:nbytes])
        self._decode_frames(data)
        if not self._received:
            return
        self._received_at = self._loop.time()
        if self._receiver is not None:
            self._deliver_received(self._receiver)
            return
        if len(self._received) >= _MAX_QUEUED_MESSAGES and not self._is_reading_paused:
            self._is_reading_paused = True
            self._require_transport().pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Close the connection, as the peer sends no more data."""
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the stream as closed and wake its reader."""
        self._is_disconnected = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        """Wait until messages have arrived or the connection is closed."""
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

        :param timeout_s: maximum wait in seconds; if None, the caller must limit the wait.
        :raises StreamLostError: on close, timeout or a malformed frame; the stream is then closed.
        """
        received = self._received
        if not received:
            try:
                # asyncio.wait_for of Python 3.11 loses a cancellation that arrives together with
                # the result.
                async with asyncio.timeout(timeout_s):
                    while not received:
                        if self.is_closed:
                            raise StreamLostError(self._close_reason)
                        await self._wait()
            except TimeoutError as error:
                self.close()
                raise StreamLostError("no message in time") from error
        message = received.popleft()
        if not received:
            self._resume_reading()
        if isinstance(message, MessageError):
            self.close()
            raise StreamLostError(f"MessageError: {message}") from message
        return message

    async def deliver(self, receiver: Callable[[Any], None], *, idle_timeout_s: float) -> None:
        """Pass each message to a receiver as it arrives, until the stream is closed.

        The receiver is called from the event loop's read callback and must neither block nor raise.

        :param idle_timeout_s: time without a message after which the stream is closed, in seconds.
        :raises StreamLostError: on close, idle timeout or a malformed frame; the stream is then
            closed.
        """
        self._received_at = self._loop.time()
        self._receiver = receiver
        self._deliver_received(receiver)
        self._resume_reading()
        watch = asyncio.create_task(self._watch_idle(idle_timeout_s))
        try:
            while not self.is_closed:
                await self._wait()
        finally:
            watch.cancel()
            self._receiver = None
            self.close()
        raise StreamLostError(self._close_reason)

    async def _watch_idle(self, idle_timeout_s: float) -> None:
        """Close the stream if no message arrives within the idle timeout.

        One timer per idle period costs less than one per message.
        """
        while (remaining_s := self._received_at + idle_timeout_s - self._loop.time()) > 0:
            await asyncio.sleep(remaining_s)
        self._close_reason = "no message in time"
        self.close()

    def _deliver_received(self, receiver: Callable[[Any], None]) -> None:
        received = self._received
        while received:
            message = received.popleft()
            if isinstance(message, MessageError):
                self._close_reason = f"MessageError: {message}"
                self.close()
                return
            receiver(message)

    def _resume_reading(self) -> None:
        """Resume reading after it was paused because too many messages were queued."""
        if self._is_reading_paused:
            self._is_reading_paused = False
            if not self.is_closed:
                self._require_transport().resume_reading()

    def _decode_frames(self, data: bytes) -> None:
        """Decode the complete frames of the data, up to the first malformed one."""
        position = 0
        end = len(data)
        needed_bytes = _LENGTH_PREFIX.size
        try:
            while end - position >= _LENGTH_PREFIX.size:
                (length,) = _LENGTH_PREFIX.unpack_from(data, position)
                if length > MAX_FRAME_BYTES:
                    raise MessageError(f"frame of {length} bytes exceeds the size limit")
                start = position + _LENGTH_PREFIX.size
                if end - start < length:
                    needed_bytes = length + _LENGTH_PREFIX.size
                    break
                position = start + length
                self._received.append(decode_message(data[start:position]))
        except MessageError as error:
            self._received.append(error)
        self._needed_bytes = needed_bytes
        if position < end:
            self._partial += data[position:]

    # Sending

    def send(self, message: object) -> None:
        """Queue a message without waiting for the peer.

        :raises StreamLostError: if the stream is closed or the peer reads too slowly.
        """
        self.send_encoded(encode_message(message))

    def send_encoded(self, data: bytes) -> None:
        """Queue an encoded message, like :meth:`send`."""
        if self.is_closed:
            raise StreamLostError("the stream is closed")
        unsent = self._unsent
        if not unsent:
            self._loop.call_soon(self._flush)
        unsent.append(_LENGTH_PREFIX.pack(len(data)))
        unsent.append(data)
        self.bytes_out += len(data) + _LENGTH_PREFIX.size
        # A stream that closes during a write may have sent the message, so it counts as not sent
        # only if nothing was written.
        if len(unsent) >= _MAX_UNSENT_BUFFERS and not self._flush():
            raise StreamLostError("the stream is closed or the peer reads too slowly")

    def _flush(self) -> bool:
        """Write the queued buffers; return False if certainly none of them was written."""
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
        # A socket error closes the transport, but part of the data may have been written.
        transport.write(data)
        return True

    def close(self) -> None:
        """Flush queued messages and close the connection; data the socket does not accept is lost."""
        self._flush()
        if self._transport is not None:
            self._transport.abort()


async def open_stream(
    address: Address, *, tls: ssl.SSLContext | None, timeout_s: float = CONNECT_TIMEOUT_S
) -> MessageStream:
    """Connect to a peer.

    :param tls: client context for mutual TLS, or None for an unencrypted connection.
    :raises StreamLostError: if the connection is not established in time.
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

    :param handle: called with each stream, which is closed when the call returns.
    :param tls: server context for mutual TLS, or None for unencrypted connections.
    :param max_silent: streams that may be open and have not sent a whole message; above it the oldest
        of them is closed.
    """

    def __init__(
        self,
        *,
        handle: Callable[[MessageStream], Awaitable[None]],
        tls: ssl.SSLContext | None,
        max_silent: int = MAX_SILENT_STREAMS,
    ) -> None:
        self._max_silent = max_silent
        #: Streams that had not sent a whole message when last looked at, the oldest first.
        self._silent: dict[asyncio.Task[None], MessageStream] = {}
        self._handle = handle
        self._tls = tls
        self._stop_accepting_by_socket: dict[socket.socket, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ports(self) -> list[int]:
        """Port numbers of the listeners."""
        return [listener.getsockname()[1] for listener in self._stop_accepting_by_socket]

    def listen(self, port: int, ip: str) -> None:
        """Open a listener.

        :param port: port number, or 0 for any free port.
        """
        for listener in bind_sockets(port, ip):
            self.add_socket(listener)

    def add_socket(self, listener: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self._stop_accepting_by_socket[listener] = add_accept_handler(listener, self._accept)

    def stop(self) -> None:
        """Close the listeners; accepted streams remain open."""
        for listener, stop_accepting in self._stop_accepting_by_socket.items():
            stop_accepting()
            listener.close()
        self._stop_accepting_by_socket.clear()

    def _accept(self, connection: socket.socket, address: Any) -> None:
        self._limit_silent()
        stream = MessageStream()
        task = asyncio.create_task(self._serve(connection, stream))
        self._tasks.add(task)
        self._silent[task] = stream

        def end(_: object) -> None:
            self._tasks.discard(task)
            self._silent.pop(task, None)
            if not stream.is_connected:
                # The task was cancelled before a transport owned the socket.
                connection.close()

        task.add_done_callback(end)

    def _limit_silent(self) -> None:
        """Make room for one more stream that has sent nothing."""
        if len(self._silent) < self._max_silent:
            return
        self._silent = {
            task: stream for task, stream in self._silent.items() if not stream.has_received
        }
        if len(self._silent) < self._max_silent:
            return
        oldest = next(iter(self._silent))
        del self._silent[oldest]
        oldest.cancel()
        PORT_REFUSALS.inc({"port": "peer"})

    async def _serve(self, connection: socket.socket, stream: MessageStream) -> None:
        """Run the handler for one connection, then close it."""
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
