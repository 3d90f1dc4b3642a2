"""Guards against streams that hang, grow or crash on broken peers."""

import asyncio
import struct

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import Cancel, Output, encode_message
from sycamoreproxy.streams import (
    _MAX_RECEIVED,
    _MAX_UNSENT_PARTS,
    MAX_UNSENT_BYTES,
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
        inner = stream._transport
        assert inner is not None
        taken = []

        class Transport:
            """The stream's transport, whose peer reads too slowly or whose socket breaks."""

            is_closing = staticmethod(inner.is_closing)
            abort = staticmethod(inner.abort)

            def get_write_buffer_size(self) -> int:
                return MAX_UNSENT_BYTES if refuses else 0

            def write(self, data: bytes) -> None:
                taken.append(data)
                inner.abort()

        stream._transport = Transport()  # type: ignore[assignment]
        outcome = True
        try:
            for number in range(_MAX_UNSENT_PARTS // 2):
                stream.send(Output("a", number, b"x"))
        except StreamLostError:
            outcome = False
        assert outcome is is_sent and bool(taken) is is_sent
        assert stream.is_closed

    asyncio.run(_with_server(action))


@pytest.mark.parametrize("part", [1, 5, 70_000, 300_000])
def test_frames_that_arrive_in_parts_are_whole(part: int) -> None:
    """A chunk of weights arrives in many reads, and its end together with the next message."""

    async def run() -> None:
        values = [Output("a", 0, b"x" * 3), Output("a", 1, b"y" * 200_000), Output("a", 2, b"")]
        texts = [encode_message(value) for value in values]
        data = b"".join(struct.pack(">I", len(text)) + text for text in texts)
        stream, taken = MessageStream(), []
        for start in range(0, len(data), part):
            for offset in range(start, min(start + part, len(data)), 60_000):
                piece = data[offset : min(offset + 60_000, start + part, len(data))]
                stream.get_buffer(len(piece))[: len(piece)] = piece
                stream.buffer_updated(len(piece))
        while len(taken) < len(values):
            taken.append(await stream.read(timeout_s=1))
        assert taken == values and stream.bytes_in == len(data)

    asyncio.run(run())


def test_silent_stream_is_closed_and_one_with_messages_is_not() -> None:
    """A peer that froze kept its place as a live one; one timer serves many messages."""

    async def action(port: int) -> None:
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        received: list[object] = []
        delivery = asyncio.create_task(stream.deliver(received.append, idle_timeout_s=0.2))
        for _ in range(8):
            stream.send(Cancel("a"))
            await asyncio.sleep(0.05)
            assert not stream.is_closed
        assert received == [Cancel("a")] * 8
        with pytest.raises(StreamLostError, match="no message in time"):
            await delivery
        assert stream.is_closed

    asyncio.run(_with_server(action))


def test_reader_that_lags_stops_the_connection_and_loses_nothing() -> None:
    """Messages of a peer that sends faster than they are read would fill the memory."""

    async def action(port: int) -> None:
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        sent = [Output("a", number, b"x" * 2_000) for number in range(4 * _MAX_RECEIVED)]
        for value in sent:
            stream.send(value)
        most = 0
        for value in sent:
            await asyncio.sleep(0)
            most = max(most, len(stream._received))
            assert await stream.read(timeout_s=5) == value
        assert most <= 2 * _MAX_RECEIVED
        stream.close()

    asyncio.run(_with_server(action))


@pytest.mark.parametrize("data", [struct.pack(">I", 1) + b"\xc1", b""], ids=["broken", "closed"])
def test_delivery_ends_after_the_messages_before_the_fault(data: bytes) -> None:
    """What a peer sent before it broke off counts; its stream is given up."""

    async def run() -> None:
        received: list[object] = []
        ended = asyncio.Event()

        async def handle(stream: MessageStream) -> None:
            try:
                await stream.deliver(received.append, idle_timeout_s=5)
            finally:
                assert stream.is_closed
                ended.set()

        socket, port = bind_unused_port()
        server = MessageServer(handle=handle, tls=None)
        server.add_socket(socket)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        text = encode_message(Cancel("a"))
        writer.write((struct.pack(">I", len(text)) + text) * 3 + data)
        if not data:
            writer.close()
        await asyncio.wait_for(ended.wait(), 5)
        writer.close()
        server.stop()
        assert received == [Cancel("a")] * 3

    asyncio.run(run())
