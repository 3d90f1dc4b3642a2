"""Guards against streams that hang, use unbounded memory or crash because of faulty peers."""

import asyncio
import struct

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import Cancel, Output, encode_message
from sycamoreproxy.streams import (
    _MAX_QUEUED_MESSAGES,
    _MAX_UNSENT_BUFFERS,
    MAX_UNSENT_BYTES,
    Address,
    MessageServer,
    MessageStream,
    StreamLostError,
    open_stream,
)
from tools.addresses import reserve_address


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


def test_echoed_messages_arrive_in_order() -> None:
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
    ids=["oversized", "text", "reserved byte", "truncated"],
)
def test_malformed_frame_closes_only_its_stream(data: bytes) -> None:
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


def test_connecting_without_a_listener_raises_stream_lost() -> None:
    with reserve_address() as holder, pytest.raises(StreamLostError):
        asyncio.run(open_stream(Address(*holder.getsockname()), tls=None))


@pytest.mark.parametrize(("is_buffer_full", "is_sent"), [(True, False), (False, True)])
def test_message_counts_as_unsent_only_if_nothing_was_written(
    is_buffer_full: bool, is_sent: bool
) -> None:
    """A stream that failed during a write must not report its message as unsent.

    The refusal of the request would then state that it was not executed, although it may have been.
    """

    async def action(port: int) -> None:
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        real_transport = stream._transport
        assert real_transport is not None
        written = []

        class Transport:
            """The stream's transport, with a peer that reads too slowly or a socket that fails."""

            is_closing = staticmethod(real_transport.is_closing)
            abort = staticmethod(real_transport.abort)

            def get_write_buffer_size(self) -> int:
                return MAX_UNSENT_BYTES if is_buffer_full else 0

            def write(self, data: bytes) -> None:
                written.append(data)
                real_transport.abort()

        stream._transport = Transport()  # type: ignore[assignment]
        was_sent = True
        try:
            for number in range(_MAX_UNSENT_BUFFERS // 2):
                stream.send(Output("a", number, b"x"))
        except StreamLostError:
            was_sent = False
        assert was_sent is is_sent and bool(written) is is_sent
        assert stream.is_closed

    asyncio.run(_with_server(action))


@pytest.mark.parametrize("part_size", [1, 5, 70_000, 300_000])
def test_frames_that_arrive_in_parts_are_reassembled(part_size: int) -> None:
    """A chunk of weights arrives in many reads, the last of which also contains the next message."""

    async def run() -> None:
        values = [Output("a", 0, b"x" * 3), Output("a", 1, b"y" * 200_000), Output("a", 2, b"")]
        encoded_messages = [encode_message(value) for value in values]
        data = b"".join(struct.pack(">I", len(encoded)) + encoded for encoded in encoded_messages)
        stream, received = MessageStream(), []
        for start in range(0, len(data), part_size):
            for offset in range(start, min(start + part_size, len(data)), 60_000):
                chunk = data[offset : min(offset + 60_000, start + part_size, len(data))]
                stream.get_buffer(len(chunk))[: len(chunk)] = chunk
                stream.buffer_updated(len(chunk))
        while len(received) < len(values):
            received.append(await stream.read(timeout_s=1))
        assert received == values and stream.bytes_in == len(data)

    asyncio.run(run())


def test_stream_is_closed_when_idle_but_not_while_messages_arrive() -> None:
    """A frozen peer must not continue to count as live; one timer covers many messages."""

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


def test_slow_reader_pauses_the_connection_without_losing_messages() -> None:
    """Messages from a peer that sends faster than they are read must not exhaust the memory."""

    async def action(port: int) -> None:
        stream = await open_stream(Address("127.0.0.1", port), tls=None)
        sent = [Output("a", number, b"x" * 2_000) for number in range(4 * _MAX_QUEUED_MESSAGES)]
        for value in sent:
            stream.send(value)
        max_queued = 0
        for value in sent:
            await asyncio.sleep(0)
            max_queued = max(max_queued, len(stream._received))
            assert await stream.read(timeout_s=5) == value
        assert max_queued <= 2 * _MAX_QUEUED_MESSAGES
        stream.close()

    asyncio.run(_with_server(action))


@pytest.mark.parametrize("data", [struct.pack(">I", 1) + b"\xc1", b""], ids=["malformed", "closed"])
def test_delivery_ends_after_the_messages_before_the_fault(data: bytes) -> None:
    """Messages that a peer sent before its fault are delivered before the stream is closed."""

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
        encoded = encode_message(Cancel("a"))
        writer.write((struct.pack(">I", len(encoded)) + encoded) * 3 + data)
        if not data:
            writer.close()
        await asyncio.wait_for(ended.wait(), 5)
        writer.close()
        server.stop()
        assert received == [Cancel("a")] * 3

    asyncio.run(run())
