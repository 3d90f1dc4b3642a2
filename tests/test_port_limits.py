"""Guards the ports of operators against connections that send nothing, and requests in progress."""

from __future__ import annotations

import asyncio

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from sycamoreproxy.messages import PeerStatus
from sycamoreproxy.port_limits import PortHTTPServer
from sycamoreproxy.streams import (
    Address,
    MessageServer,
    MessageStream,
    StreamLostError,
    open_stream,
)
from tools.addresses import reserve_address

REQUEST = b"GET / HTTP/1.1\r\nHost: port\r\n\r\n"


def _respond(request: HTTPServerRequest) -> None:
    assert request.connection is not None
    request.connection.write_headers(
        ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders({"Content-Length": "0"})
    )
    request.connection.finish()


def test_longest_wait_is_closed_for_a_new_connection_but_no_request_in_progress() -> None:
    """Idle connections kept operators out; closing the oldest would have cut their requests."""

    async def run() -> None:
        held: list[HTTPServerRequest] = []
        server = PortHTTPServer(held.append)
        server.max_connections = 3
        with reserve_address() as holder:
            port = holder.getsockname()[1]
            server.listen(port, "127.0.0.1")
        connections = []
        for count in range(1, 4):
            connections.append(await asyncio.open_connection("127.0.0.1", port))
            if count == 1:
                connections[0][1].write(REQUEST)
                while not held:
                    await asyncio.sleep(0.005)
            while len(server._connections) < count:
                await asyncio.sleep(0.005)
        connections.append(await asyncio.open_connection("127.0.0.1", port))
        connections[3][1].write(REQUEST)
        while len(held) < 2:
            await asyncio.sleep(0.005)
        for request in held:
            _respond(request)
        for number in (0, 3):
            assert b"200 OK" in await connections[number][0].readuntil(b"\r\n")
        assert await connections[1][0].read() == b""
        assert not connections[2][0].at_eof()
        for _, writer in connections:
            writer.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


def test_oldest_stream_that_sent_nothing_is_closed_and_one_that_sent_is_kept() -> None:
    """Connections that sent nothing took the descriptors of streams between processes."""

    async def run() -> None:
        received: list[object] = []

        async def handle(stream: MessageStream) -> None:
            while True:
                received.append(await stream.read(timeout_s=10.0))

        server = MessageServer(handle=handle, tls=None, max_silent=2)
        server.listen(0, "127.0.0.1")
        address = Address("127.0.0.1", server.ports[0])
        talking = await open_stream(address, tls=None)
        talking.send(PeerStatus("ready", 1, ""))
        while not received:
            await asyncio.sleep(0.005)
        silent = [await open_stream(address, tls=None) for _ in range(4)]
        for stream in silent[:2]:
            try:
                await stream.read(timeout_s=5.0)
            except StreamLostError as error:
                assert "no message in time" not in str(error)
        assert [stream.is_closed for stream in silent] == [True, True, False, False]
        assert not talking.is_closed
        for stream in (talking, *silent):
            stream.close()
        server.stop()

    asyncio.run(run())
