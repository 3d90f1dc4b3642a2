"""Relay between the machines of a case and its runners, to lose the packets of a dead machine."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading

HOST = "127.0.0.1"
_RESET = struct.pack("ii", 1, 0)


class Relay(threading.Thread):
    """Forwards connections.

    :param ports: port to listen on, and port of the runner behind it, for each runner.
    """

    def __init__(self, ports: dict[int, int]) -> None:
        super().__init__(daemon=True)
        self._ports = ports
        self._loop = asyncio.new_event_loop()
        self._is_listening = threading.Event()
        self._open: set[asyncio.StreamWriter] = set()
        #: Runner's ends of connections whose callers lost power.
        self._dead: set[asyncio.StreamWriter] = set()

    def begin(self) -> None:
        """Start, and wait until the ports are open."""
        self.start()
        self._is_listening.wait(5)

    def lose_power(self) -> int:
        """Let the runners hear nothing more of the connections that are open; return their number."""
        self._dead |= self._open
        return len(self._open)

    def run(self) -> None:
        """Forward until the process ends."""
        self._loop.run_until_complete(self._serve())

    async def _serve(self) -> None:
        for listen_port, runner_port in self._ports.items():
            await asyncio.start_server(
                lambda reader, writer, port=runner_port: self._relay(reader, writer, port),
                HOST,
                listen_port,
            )
        self._is_listening.set()
        await asyncio.Event().wait()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        try:
            runner_reader, runner_writer = await asyncio.open_connection(HOST, port)
        except OSError:
            _reset(writer)
            return
        self._open.add(runner_writer)
        answers = asyncio.create_task(self._copy(runner_reader, writer))
        requests = asyncio.create_task(self._copy(reader, runner_writer))
        answers.add_done_callback(lambda task: _reset(writer))
        await requests
        if runner_writer in self._dead:
            # The runner closes it when it has been idle for long enough.
            await answers
        answers.cancel()
        self._open.discard(runner_writer)
        self._dead.discard(runner_writer)
        runner_writer.close()

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection as its other end was closed: with a reset."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
