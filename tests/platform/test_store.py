"""Guards against changes of the store that are missed, torn or taken for an empty store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from standins._server import Faults
from standins.platform import PlatformStore as StoreStandIn
from standins.platform import make_store_routes
from sycamoreproxy.document_source import (
    ChangesTooLargeError,
    HistoryLostError,
    SourceUnavailableError,
)
from sycamoreproxy.platform.store import MAX_ANSWER_BYTES, PlatformStore
from sycamoreproxy.store_position import MAX_ERA, make_position
from tests._raw_upstream import PIECE_BYTES, RawUpstream
from tools.addresses import reserve_address


def play(action: Callable[[StoreStandIn, Faults, PlatformStore], Awaitable[None]]) -> None:
    """Run an action against a store with five items."""

    async def run() -> None:
        stand_in, faults = StoreStandIn(), Faults(seed=1)
        server = HTTPServer(tornado.web.Application(make_store_routes(stand_in, faults)))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        store = PlatformStore(f"127.0.0.1:{port}")
        for number in range(5):
            await stand_in.put(f"servers/{number}", {"n": number})
        try:
            async with asyncio.timeout(10):
                await action(stand_in, faults, store)
        finally:
            store.close()
            server.stop()

    asyncio.run(run())


def test_all_pages_are_read() -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        snapshot = await store.read_all("servers/")
        assert [document.key[-1] for document in snapshot.documents] == list("01234")
        assert snapshot.documents[3].value == b'{"n": 3}' and snapshot.revision == 6

    play(action)


def test_watch_returns_changes_and_deletions() -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        waiting = asyncio.create_task(store.wait_changes("servers/", after=6, wait_s=5))
        await asyncio.sleep(0.05)
        await stand_in.put("op/config", {})
        await stand_in.delete("servers/2")
        changes = await waiting
        assert [(d.key, d.value) for d in changes.documents] == [("servers/2", None)]
        assert changes.revision == 8
        quiet = await store.wait_changes("servers/", after=8, wait_s=0.1)
        assert quiet.documents == () and quiet.revision == 8

    play(action)


@pytest.mark.parametrize(
    ("fault", "error"), [("down", SourceUnavailableError), ("history_lost", HistoryLostError)]
)
def test_failures_are_told_apart(fault: str, error: type[Exception]) -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        faults.replace({fault: True})
        with pytest.raises(error):
            await store.wait_changes("servers/", after=1, wait_s=1)
        if fault == "down":
            with pytest.raises(error):
                await store.read_all("servers/")

    play(action)


def test_store_that_is_gone_is_unavailable() -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        with reserve_address() as holder:
            gone = PlatformStore(f"127.0.0.1:{holder.getsockname()[1]}")
            with pytest.raises(SourceUnavailableError):
                await gone.read_all("servers/")

    play(action)


@pytest.mark.parametrize("call", ["range", "watch"])
@pytest.mark.parametrize(
    ("piece", "pieces", "pause_s"),
    [
        (b"x" * PIECE_BYTES, None, 0.0),
        (b" ", None, 0.01),
        (b"[" * MAX_ANSWER_BYTES, 1, 0.0),
    ],
)
def test_answer_without_an_end_or_deeply_nested_is_no_answer(
    call: str, piece: bytes, pieces: int | None, pause_s: float
) -> None:
    """An exception of another type ended the task that watches the store."""

    async def main() -> None:
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        if pieces:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(piece)
        upstream = RawUpstream(head=head, piece=piece, pieces=pieces, pause_s=pause_s)
        await upstream.start()
        store = PlatformStore(f"127.0.0.1:{upstream.port}")
        async with asyncio.timeout(8):
            with pytest.raises(SourceUnavailableError):
                if call == "range":
                    await store.read_all("servers/")
                else:
                    await store.wait_changes("servers/", after=1, wait_s=0.5)
            store.close()
            await upstream.wait_closed(1)
        assert upstream.sent < 32 * 1024 * 1024
        upstream.stop()

    asyncio.run(main())


@pytest.mark.parametrize("has_length", [True, False])
def test_changes_that_are_too_long_are_not_received(has_length: bool) -> None:
    """A watch sends every value of the history, 7 MB after a series of large configurations."""

    async def main() -> None:
        head = b"HTTP/1.1 200 OK\r\n"
        if has_length:
            head += b"Content-Length: %d\r\n" % MAX_ANSWER_BYTES
        upstream = RawUpstream(head=head + b"\r\n", piece=b" " * PIECE_BYTES, pause_s=0.01)
        await upstream.start()
        store = PlatformStore(f"127.0.0.1:{upstream.port}")
        async with asyncio.timeout(8):
            with pytest.raises(ChangesTooLargeError):
                await store.wait_changes("op/config", after=1, wait_s=0.5, max_bytes=PIECE_BYTES)
            await upstream.wait_closed(1)
        assert upstream.sent <= 16 * PIECE_BYTES
        store.close()
        upstream.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("first", "second", "position"),
    [
        ("0", "1", make_position(1, 6)),
        ("3", "3", make_position(3, 6)),
        ("3", "", make_position(3, 6)),
        ("3", "soon", make_position(3, 6)),
        ("3", "-1", make_position(3, 6)),
        ("3", str(MAX_ERA + 1), make_position(3, 6)),
        ("3", "9" * 300, make_position(3, 6)),
    ],
)
def test_malformed_era_is_not_taken_for_a_restore(first: str, second: str, position: int) -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        faults.replace({"era": first})
        await store.read_all("servers/")
        faults.replace({"era": second})
        assert (await store.read_all("servers/")).revision == position

    play(action)


def test_delayed_answer_of_the_era_before_is_not_taken_for_news() -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        faults.replace({"era": "2"})
        await store.read_all("servers/")
        faults.replace({"era": "1"})
        with pytest.raises(SourceUnavailableError):
            await store.read_all("servers/")

    play(action)


def test_watch_in_a_later_era_does_not_skip_what_came_between() -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        snapshot = await store.read_all("servers/")
        await stand_in.restore(4)
        for number in range(4):
            await stand_in.put(f"servers/{number}", {"n": 9})
        with pytest.raises(HistoryLostError):
            await store.wait_changes("servers/", after=snapshot.revision, wait_s=1)

    play(action)


def test_pages_before_and_after_a_restore_are_not_joined() -> None:
    async def action(stand_in: StoreStandIn, faults: Faults, store: PlatformStore) -> None:
        call, pages = store._call, []

        async def restore_after_first_page(path: str, query: dict[str, str], **options: Any) -> Any:
            answer = await call(path, query, **options)
            pages.append(query)
            if len(pages) == 1:
                await stand_in.restore(4)
            return answer

        store._call = restore_after_first_page  # type: ignore[method-assign]
        snapshot = await store.read_all("servers/")
        assert [document.key[-1] for document in snapshot.documents] == list("012")
        assert snapshot.revision == make_position(1, 4)

    play(action)
