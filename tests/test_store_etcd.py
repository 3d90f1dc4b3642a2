"""Guards against store calls reported as having had no effect although they may have had one."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from standins._server import Faults
from standins.store import MemoryStore, make_routes
from sycamoreproxy.store import (
    Compare,
    Delete,
    Entry,
    Get,
    LeaseNotFoundError,
    Put,
    StoreAnswerLostError,
    StoreUnavailableError,
    Txn,
    TxnResult,
)
from sycamoreproxy.store_etcd import EtcdJsonStore

Action = Callable[[EtcdJsonStore, MemoryStore, Faults], Awaitable[None]]


def run_with_store(action: Action, *, timeout_s: float = 5.0) -> None:
    """Run an action with the adapter, connected over HTTP to the in-memory stand-in of etcd."""

    async def run() -> None:
        socket, port = bind_unused_port()
        core, faults = MemoryStore(), Faults(seed=1)
        server = HTTPServer(Application(make_routes(core, faults)))
        server.add_socket(socket)
        store = EtcdJsonStore(f"http://127.0.0.1:{port}/", timeout_s)
        try:
            await asyncio.wait_for(action(store, core, faults), 30)
        finally:
            store.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def test_transactions_support_compares_writes_reads_and_nesting() -> None:
    async def action(store: EtcdJsonStore, core: MemoryStore, faults: Faults) -> None:
        result = await store.transact(
            Txn(
                compares=(Compare("/ключ", 0),),
                then=(
                    Put("/ключ", b"\x00\xff"),
                    Txn(compares=(Compare("/b", 0),), then=(Put("/b", b"1"), Get("/b"))),
                    Txn(compares=(Compare("/c", 9),), then=(), otherwise=(Get("/ключ"),)),
                    Get("/absent"),
                ),
            )
        )
        assert result.succeeded
        _, nested, other, absent = result.results
        assert isinstance(nested, TxnResult) and nested.succeeded
        assert nested.results == (None, Entry("/b", b"1", 2, 2))
        assert isinstance(other, TxnResult) and not other.succeeded
        assert other.results == (Entry("/ключ", b"\x00\xff", 2, 2),)
        assert absent is None
        again = await store.transact(Txn((Compare("/ключ", 0),), (), (Get("/b"),)))
        assert (again.succeeded, again.results) == (False, (Entry("/b", b"1", 2, 2),))
        await store.transact(Txn(then=(Delete("/b"),)))
        assert await store.get("/b") is None
        assert [entry.key for entry in await store.list_entries("/")] == ["/ключ"]
        with pytest.raises(StoreUnavailableError, match="duplicate key"):
            await store.transact(Txn(then=(Put("/x", b""), Txn(then=(Put("/x", b""),)))))
        assert await store.get("/x") is None

    run_with_store(action)


def test_revoking_a_lease_deletes_its_keys() -> None:
    async def action(store: EtcdJsonStore, core: MemoryStore, faults: Faults) -> None:
        lease = await store.grant_lease(60)
        await store.transact(Txn(then=(Put("/l", b"1", lease),)))
        assert await store.renew_lease(lease)
        entry = await store.get("/l")
        assert entry is not None and entry.lease == lease
        await store.revoke_lease(lease)
        await store.revoke_lease(lease)
        assert await store.get("/l") is None
        assert not await store.renew_lease(lease)
        with pytest.raises(LeaseNotFoundError):
            await store.transact(Txn(then=(Put("/l", b"1", lease),)))

    run_with_store(action)


@pytest.mark.parametrize(
    ("fault_settings", "error", "has_effect"),
    [
        ({"down": True}, StoreUnavailableError, False),
        ({"lose_answers": 1}, StoreAnswerLostError, True),
    ],
    ids=str,
)
def test_error_type_tells_whether_the_call_can_have_had_an_effect(
    fault_settings: dict[str, object], error: type[Exception], has_effect: bool
) -> None:
    async def action(store: EtcdJsonStore, core: MemoryStore, faults: Faults) -> None:
        faults.replace(fault_settings)
        with pytest.raises(error):
            await store.transact(Txn(then=(Put("/k", b"1"),)))
        faults.replace({})
        assert (await store.get("/k") is not None) is has_effect

    run_with_store(action)


def test_timeout_after_sending_is_reported_as_lost_answer() -> None:
    async def action(store: EtcdJsonStore, core: MemoryStore, faults: Faults) -> None:
        faults.replace({"delay_ms": 400})
        with pytest.raises(StoreAnswerLostError):
            await store.transact(Txn(then=(Put("/k", b"1"),)))
        while core.revision == 1:
            await asyncio.sleep(0.01)

    run_with_store(action, timeout_s=0.1)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (503, b'{"code":14,"message":"etcdserver: request timed out"}', StoreAnswerLostError),
        (503, b'{"code":14,"message":"etcdserver: no leader"}', StoreUnavailableError),
        (400, b'{"code":3,"message":"bad"}', StoreUnavailableError),
        (502, b"<html>", StoreAnswerLostError),
        (200, b"[]", StoreAnswerLostError),
        (200, b"", StoreAnswerLostError),
        (200, b'{"kvs":', StoreAnswerLostError),
        (0, b'{"code":3,"message":"bad"}', StoreAnswerLostError),
        (99, b'{"code":14,"message":"etcdserver: no leader"}', StoreAnswerLostError),
        (600, b'{"code":5,"message":"lease not found"}', StoreAnswerLostError),
        (0, b'{"kvs":[]}', StoreAnswerLostError),
    ],
)
def test_error_and_malformed_responses_map_to_error_types(
    status: int, body: bytes, error: type[Exception]
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %03d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        store = EtcdJsonStore(f"http://127.0.0.1:{port}", 5.0)
        with pytest.raises(error):
            await store.get("/k")
        server.close()
        with pytest.raises(StoreUnavailableError):
            await store.get("/k")

    asyncio.run(run())


def test_watch_yields_each_change_and_ends_when_the_store_is_lost() -> None:
    async def action(store: EtcdJsonStore, core: MemoryStore, faults: Faults) -> None:
        await store.transact(Txn(then=(Put("/w/a", b"1"), Put("/v", b"1"))))
        changes = store.watch("/w/", from_revision=2)
        seen = [await anext(changes)]
        await store.transact(Txn(then=(Put("/w/b", b"2"), Delete("/w/a"))))
        seen.append(await anext(changes))
        assert [[(e.key, e.value, e.mod_revision) for e in batch] for batch in seen] == [
            [("/w/a", b"1", 2)],
            [("/w/b", b"2", 3), ("/w/a", b"", 3)],
        ]
        # A watch that is no longer read must not keep its connection once it is closed.
        abandoned = store.watch("/w/", from_revision=2)
        await anext(abandoned)
        await abandoned.aclose()  # type: ignore[attr-defined]
        while len(core._listeners) > 1:
            await asyncio.sleep(0.01)
        faults.replace({"down": True})
        assert [batch async for batch in changes] == []
        faults.replace({})
        core._dropped_to, core._events = len(core._events), core._events[-1:]
        assert [batch async for batch in store.watch("/w/", from_revision=2)] == []

    run_with_store(action)
