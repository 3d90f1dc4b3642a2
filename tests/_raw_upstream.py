"""An upstream in trouble: it sends the same bytes again and again until the other end closes."""

from __future__ import annotations

import asyncio

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
        socket, self.port = bind_unused_port()
        self._server = await asyncio.start_server(self._serve, sock=socket)

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
