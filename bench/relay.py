"""TCP relays between processes, which cut, delay, silence or reset connections, and host lists."""

from __future__ import annotations

import asyncio
import contextlib
import json
import threading
from typing import Any


class Relay:
    """Passes connections on to one port, until it is cut.

    :param port: where it listens.
    :param target_ip: address that connections are passed on to.
    """

    def __init__(self, *, port: int, target: int = 0, target_ip: str = "127.0.0.1") -> None:
        self.port = port
        self.target = target
        self.target_ip = target_ip
        self.is_cut = False
        self.delay_s = 0.0
        self._to_target = asyncio.Event()
        self._to_caller = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self.let_through()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on."""
        self._writers.add(writer)
        try:
            if self.is_cut:
                return
            far_reader, far_writer = await asyncio.open_connection(self.target_ip, self.target)
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, far_writer, self._to_target),
                    self._copy(far_reader, writer, self._to_caller),
                )
            finally:
                far_writer.close()
                self._writers.discard(far_writer)
        except (OSError, asyncio.CancelledError):
            # Connections that are open when the loop ends are cancelled; nobody waits for them.
            return
        finally:
            writer.close()
            self._writers.discard(writer)

    def cut(self) -> None:
        """Close every connection and refuse new ones."""
        self.is_cut = True
        self.reset()

    def reset(self) -> None:
        """Close every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def join(self) -> None:
        """Accept connections again."""
        self.is_cut = False

    def silence(self, *, to_target: bool, to_caller: bool) -> None:
        """Hold bytes back, one way or both, until :meth:`let_through`, as a lost path does."""
        if to_target:
            self._to_target.clear()
        if to_caller:
            self._to_caller.clear()

    def let_through(self) -> None:
        """Pass bytes on again, first those that were held back."""
        self._to_target.set()
        self._to_caller.set()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await is_open.wait()
                writer.write(data)
                await writer.drain()
            await is_open.wait()
            writer.close()


class RelayHub:
    """Runs relays and one host list for each availability zone on a thread of its own."""

    def __init__(self) -> None:
        self.relays: list[Relay] = []
        self.hosts_by_zone: dict[str, list[dict[str, Any]]] = {}
        self._loop = asyncio.new_event_loop()
        self._servers: list[asyncio.Server] = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.list_port = self._call(self._listen(self._serve_list))

    def add(self) -> Relay:
        """Return a new relay; its target is set later."""
        relay = Relay(port=0)
        relay.port = self._call(self._listen(relay.serve))
        self.relays.append(relay)
        return relay

    def cut(self, relays: list[Relay]) -> None:
        """Cut some relays."""
        for relay in relays:
            self._loop.call_soon_threadsafe(relay.cut)

    def join(self, relays: list[Relay]) -> None:
        """Join some relays."""
        for relay in relays:
            self._loop.call_soon_threadsafe(relay.join)

    def close(self) -> None:
        """Stop the thread."""
        self.cut(self.relays)
        for server in self._servers:
            self._loop.call_soon_threadsafe(server.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _listen(self, serve: Any) -> int:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def _serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer ``GET /ZONE/hosts`` with the view of that zone."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            zone = head.split(" ")[1].strip("/").split("/")[0]
            body = json.dumps({"hosts": self.hosts_by_zone.get(zone, [])}).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body)
            )
            writer.write(body)
            await writer.drain()
        writer.close()
