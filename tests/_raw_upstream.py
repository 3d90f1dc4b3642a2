"""Upstreams in trouble: one that sends without end, one that closes a kept connection."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Iterable

from tornado.testing import bind_unused_port

#: Head of an answer that an entry host takes for the runner's.
SIGNED = b"HTTP/1.1 200 OK\r\nSycamoreproxy-Response-Signature: sig.raw\r\n"
PIECE_BYTES = 65_536


class RawUpstream:
    """Answers every request with a head and then with pieces.

    :param head: bytes up to the first piece.
    :param piece: bytes that are repeated.
    :param pieces: number of pieces, after which nothing more is sent; None for no end.
    :param pause_s: time between two pieces, in seconds.
    """

    def __init__(
        self, *, head: bytes, piece: bytes, pieces: int | None = None, pause_s: float = 0.0
    ) -> None:
        self._head = head
        self._piece = piece
        self._pieces = pieces
        self._pause_s = pause_s
        self.requests: list[bytes] = []
        self.sent = 0
        self.closed = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listener on a port of its own."""
        listener, self.port = bind_unused_port()
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def wait_closed(self, count: int) -> None:
        """Wait until the other end has closed this many connections."""
        while self.closed < count:
            await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self._head)
            number = 0
            while self._pieces is None or number < self._pieces:
                writer.write(self._piece)
                await writer.drain()
                self.sent += len(self._piece)
                number += 1
                await asyncio.sleep(self._pause_s)
            while await reader.read(PIECE_BYTES):
                pass
        except (OSError, asyncio.IncompleteReadError):
            # The other end closed the connection while a piece was on its way.
            pass
        finally:
            self.closed += 1
            writer.close()


async def write_parts(writer: asyncio.StreamWriter, parts: Iterable[bytes | float]) -> None:
    """Write the bytes among the parts; a number is a pause in seconds."""
    for part in parts:
        if isinstance(part, bytes):
            writer.write(part)
            await writer.drain()
        else:
            await asyncio.sleep(part)


class ClosingUpstream:
    """An upstream in a thread of its own, which runs while the event loop is blocked.

    It answers the first request of its first connection, closes it after the second request, and
    answers one request on the next connection.

    :param answer: answer to both requests, from the head to the last byte.
    :param close_after_s: time from the start of the block to the close of the first connection, in
        seconds.
    """

    def __init__(self, *, answer: bytes, close_after_s: float) -> None:
        self.second_received = threading.Event()
        self._may_close = threading.Event()
        self.received = 0
        self._answer = answer
        self._close_after_s = close_after_s
        self._listener, self.port = bind_unused_port()
        self._listener.settimeout(8)
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def close_while_loop_is_blocked(self, block_s: float) -> None:
        """Let the first connection be closed, and block the caller's event loop, in seconds."""
        self._may_close.set()
        time.sleep(block_s)

    def stop(self) -> None:
        """End the thread and close the listener."""
        self._may_close.set()
        socket.create_connection(("127.0.0.1", self.port)).close()
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        connection.settimeout(8)
        with connection:
            if not self._read_request(connection):
                return
            connection.sendall(self._answer)
            self._read_request(connection)
            self.second_received.set()
            self._may_close.wait(8)
            time.sleep(self._close_after_s)
        connection, _ = self._listener.accept()
        connection.settimeout(8)
        with connection:
            if self._read_request(connection):
                connection.sendall(self._answer)

    def _read_request(self, connection: socket.socket) -> bool:
        """Read a request without a body; return whether there was one."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(PIECE_BYTES)
            if not part:
                return False
            data += part
        self.received += 1
        return True
