"""Guards against streams that hang, grow or crash on broken peers."""

import asyncio
import struct

import pytest
from tornado.iostream import StreamClosedError
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import Cancel, Output
from sycamoreproxy.streams import (
    _MAX_UNSENT_PARTS,
    Address,
    MessageServer,
    MessageStream,
    StreamLostError,
    open_stream,
)


async def _echo(stream: MessageStream) -> None:
    while True:
        stream.send(await stream.read())


async def _with_server(action: object) -> None:
    socket, port = bind_unused_port()
    server = MessageServer(handle=_echo, tls=None)
    server.add_socket(socket)
    try:
        await asyncio.wait_for(action(port), 10)  # type: ignore[operator]
    finally:
        server.stop()


def test_messages_come_back_in_order() -> None:
    async def action(port: int) -> None:
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        sent = [Output("a", number, b"x" * number) for number in range(50)]
        for value in sent:
            stream.send(value)
        assert [await stream.read() for _ in sent] == sent
        stream.close()

    asyncio.run(_with_server(action))


@pytest.mark.parametrize(
    "data",
    [b"\xff\xff\xff\xff", struct.pack(">I", 3) + b"abc", struct.pack(">I", 1) + b"\xc1", b"\x00"],
    ids=["oversized", "text", "reserved byte", "cut"],
)
def test_broken_frame_closes_only_its_stream(data: bytes) -> None:
    async def action(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        stream.send(Cancel("b"))
        assert await stream.read() == Cancel("b")
        stream.close()

    asyncio.run(_with_server(action))


def test_no_listener_raises_stream_lost() -> None:
    socket, port = bind_unused_port()
    socket.close()
    with pytest.raises(StreamLostError):
        asyncio.run(open_stream(Address("127.0.0.1", port), tls=None))


@pytest.mark.parametrize(("refuses", "is_sent"), [(True, False), (False, True)])
def test_message_is_unsent_only_if_the_write_took_nothing(refuses: bool, is_sent: bool) -> None:
    """A stream that broke while it wrote was reported as unsent: a refusal then said not run."""

    async def action(port: int) -> None:
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        inner = stream._stream

        def write(data: bytes) -> asyncio.Future[None]:
            if refuses:
                raise StreamClosedError
            inner.close()
            return asyncio.get_running_loop().create_future()

        inner.write = write  # type: ignore[method-assign,assignment]
        outcome = True
        try:
            for number in range(_MAX_UNSENT_PARTS // 2):
                stream.send(Output("a", number, b"x"))
        except StreamLostError:
            outcome = False
        assert outcome is is_sent
        assert stream.is_closed

    asyncio.run(_with_server(action))
