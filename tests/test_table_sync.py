"""Guards against tables that do not spread, go back, or mix pages of two revisions."""

import asyncio
from typing import Any

import pytest
from returns.pipeline import is_successful
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from standins._server import Faults
from standins.store import MemoryStore, make_routes
from sycamoreproxy import table_sync
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.invariants import violations_by_name
from sycamoreproxy.messages import Hello, PeerStatus, Status, TableAnnounce, TableFetch, TablePages
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.store import Put, Txn
from sycamoreproxy.store_etcd import EtcdJsonStore
from sycamoreproxy.streams import Address, MessageServer
from sycamoreproxy.table import RowKey, Snapshot
from sycamoreproxy.table_commands import CellEdit, TableEditor
from sycamoreproxy.table_queries import TableView
from sycamoreproxy.table_sync import TableReplica
from tests._fake_hub import FakeHub, FakeNetwork
from tests._fake_store import FakeStore
from tests._virtual_time import run as virtual_run
from tests.test_table import make_snapshot


async def until(condition: Any) -> None:
    """Wait for a condition; the limit only ends a broken run."""
    for _ in range(20_000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not come true")


class Node:
    """One process of a test: a replica on a fake hub."""

    def __init__(self, store: Any = None) -> None:
        self.hub = FakeHub()
        self.clock = ManualClock()
        self.revisions: list[int] = []
        self.replica = TableReplica(
            hub=self.hub, store=store or FakeStore(MemoryStore()), prefix="/t", clock=self.clock
        )
        self.replica.subscribe(self._note)

    def _note(self, view: TableView) -> None:
        self.revisions.append(view.revision)

    def beat(self) -> None:
        view = self.replica.view
        for number, peer in enumerate(self.hub.peers):
            if number % 2:
                peer.send(PeerStatus("ready", view.revision, view.digest))
            else:
                status = Status("ready", "engine", "m", "v")
                values = {name: getattr(status, name) for name in status.__slots__}
                values |= {"table_revision": view.revision, "table_digest": view.digest}
                peer.send(Status(**values))


def make_revision(revision: int, *, rows: int = 30) -> Snapshot:
    """Return a table in which each revision changes one row of many."""
    table = {RowKey("m", f"a{n}", "urgent"): {"weight": str(n + 1)} for n in range(rows)}
    table[RowKey("m", "changing", "urgent")] = {"weight": str(revision)}
    return make_snapshot(table, revision)


def build_tree(network: FakeNetwork, count: int) -> list[Node]:
    nodes = [Node() for _ in range(count)]
    for number in range(1, count):
        network.link(nodes[number].hub, nodes[(number - 1) // 3].hub)
        if number > 4:
            network.link(nodes[number].hub, nodes[network.random.randrange(number)].hub)
    return nodes


def test_revision_reaches_every_process_with_only_the_changed_page() -> None:
    async def run() -> None:
        network = FakeNetwork(seed=1)
        nodes = build_tree(network, 40)
        nodes[0].replica.adopt(make_revision(1))
        network.deliver()
        first_bytes, network.bytes = network.bytes, 0
        network.sent_by_type.clear()
        nodes[7].replica.adopt(make_revision(2))
        network.deliver()
        digests = {node.replica.view.digest for node in nodes}
        assert digests == {make_revision(2).digest}
        assert all(node.revisions == [1, 2] for node in nodes)
        # Each process fetches the change once, whatever the number of its streams.
        assert network.sent_by_type["TablePages"] == 39
        assert network.bytes < first_bytes * 2

    virtual_run(run())


def test_table_larger_than_a_message_is_fetched_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_sync, "MAX_PAGES_BYTES", 500)

    async def run() -> None:
        network = FakeNetwork(seed=2)
        nodes = build_tree(network, 2)
        nodes[0].replica.adopt(make_revision(1, rows=100))
        network.deliver()
        assert nodes[1].replica.view.digest == make_revision(1, rows=100).digest
        assert network.sent_by_type["TablePages"] > 3

    virtual_run(run())


@pytest.mark.parametrize("seed", range(8))
def test_cuts_restarts_and_lost_messages_end_in_the_newest_revision(seed: int) -> None:
    async def run() -> None:
        network = FakeNetwork(seed=seed)
        rng = network.random
        nodes = build_tree(network, 25)
        newest = 0
        for _ in range(120):
            action = rng.randrange(4)
            node = nodes[rng.randrange(len(nodes))]
            if action == 0:
                newest += 1
                node.replica.adopt(make_revision(newest))
            elif action == 1 and node.hub.peers:
                network.cut(rng.choice(sorted(node.hub.peers, key=lambda peer: peer.number)))
                other = nodes[nodes.index(node) - rng.randrange(1, len(nodes))]
                network.link(node.hub, other.hub)
            elif action == 2:
                # A process that stops answering keeps its stream and loses its messages.
                for peer in node.hub.peers:
                    peer.queue.clear()
            else:
                for peer in list(node.hub.peers):
                    network.cut(peer)
                fresh = Node()
                nodes[nodes.index(node)] = fresh
                for _ in range(2):
                    other = nodes[nodes.index(fresh) - rng.randrange(1, len(nodes))]
                    network.link(fresh.hub, other.hub)
            network.deliver(limit=rng.randrange(30))
        newest += 1
        nodes[0].replica.adopt(make_revision(newest))
        for node in nodes[1:]:
            network.link(node.hub, nodes[0].hub)
        for _ in range(5):
            for node in nodes:
                node.clock.advance(table_sync.FETCH_TIMEOUT_S)
                node.beat()
            network.deliver()
        assert {node.replica.view.digest for node in nodes} == {make_revision(newest).digest}
        assert all(node.revisions == sorted(set(node.revisions)) for node in nodes)

    virtual_run(run())


def test_peer_that_does_not_answer_a_fetch_is_passed_over() -> None:
    async def run() -> None:
        network = FakeNetwork(seed=3)
        node, good, mute = Node(), Node(), FakeHub()
        good.replica.adopt(make_revision(3))
        end = network.link(node.hub, mute)
        assert end.back is not None
        end.back.send(TableAnnounce(9, "d"))
        network.deliver()
        network.link(node.hub, good.hub)
        network.deliver()
        assert node.replica.view.revision == 0
        node.clock.advance(table_sync.FETCH_TIMEOUT_S)
        good.beat()
        network.deliver()
        assert node.replica.view.revision == 3

    virtual_run(run())


@pytest.mark.parametrize(
    "pages",
    [
        TablePages("{", ()),
        TablePages('{"revision":5}', ()),
        TablePages(make_revision(5).root_text, ()),
        TablePages(make_revision(5).root_text, ("[]", "no page")),
        TablePages(make_revision(1).root_text, tuple(make_revision(1).pages_by_digest.values())),
    ],
    ids=["cut root", "root without pages", "no pages", "other pages", "old revision"],
)
def test_broken_or_old_pages_change_nothing(pages: TablePages) -> None:
    async def run() -> None:
        network = FakeNetwork(seed=4)
        node, peer = Node(), FakeHub()
        node.replica.adopt(make_revision(2, rows=3))
        end = network.link(node.hub, peer)
        assert end.back is not None
        end.back.send(TableAnnounce(5, "d"))
        end.back.send(pages)
        end.back.send(TableFetch(6))
        network.deliver()
        assert node.replica.view.digest == make_revision(2, rows=3).digest

    virtual_run(run())


def test_one_revision_with_two_digests_is_counted_once_and_not_adopted() -> None:
    async def run() -> None:
        before = violations_by_name["table_revision_has_one_digest"]
        node = Node()
        node.replica.adopt(make_revision(2))
        network = FakeNetwork(seed=5)
        peer = FakeHub()
        end = network.link(node.hub, peer)
        assert end.back is not None
        for _ in range(3):
            end.back.send(PeerStatus("ready", 2, "other"))
        network.deliver()
        assert violations_by_name["table_revision_has_one_digest"] == before + 1
        assert node.replica.view.digest == make_revision(2).digest

    virtual_run(run())


def test_listener_that_fails_does_not_stop_the_others() -> None:
    async def run() -> None:
        node = Node()
        node.replica._listeners.insert(0, lambda view: 1 // 0)
        assert node.replica.adopt(make_revision(1))
        assert node.revisions == [1]

    virtual_run(run())


def test_only_a_watcher_follows_the_store() -> None:
    async def run() -> None:
        core = MemoryStore()
        watcher, idle = Node(FakeStore(core)), Node(FakeStore(core))
        editor = TableEditor(store=FakeStore(core), prefix="/t")
        for node in (watcher, idle):
            node.replica.start()
            assert await node.replica.wait_ready(10)
        watcher.replica.set_watching(True)
        for number in range(1, 4):
            edit = CellEdit("m", "*", "*", "weight", str(number - 1 or ""), str(number))
            assert is_successful(await editor.commit([edit], operator="o", change_id=f"c{number}"))
            await until(lambda n=number: watcher.replica.view.revision == n)
        assert idle.replica.view.revision == 0
        await idle.replica.refresh()
        assert idle.replica.view.revision == 3
        watcher.replica.set_watching(False)
        assert not watcher.replica.is_watching
        edit = CellEdit("m", "*", "*", "weight", "3", "4")
        await editor.commit([edit], operator="o", change_id="c4")
        await idle.replica.refresh()
        assert (idle.replica.view.revision, watcher.replica.view.revision) == (4, 3)
        for node in (watcher, idle):
            await node.replica.close()

    virtual_run(run())


@pytest.mark.parametrize("seed", range(3))
def test_watcher_gets_every_accepted_edit_from_a_faulty_store(seed: int) -> None:
    async def run() -> None:
        core = MemoryStore()
        node = Node(FakeStore(core, seed=seed, unavailable=0.3, lost=0.2))
        node.replica.set_watching(True)
        editor = TableEditor(store=FakeStore(core), prefix="/t")
        for number in range(1, 31):
            edit = CellEdit("m", "*", "*", "weight", str(number - 1 or ""), str(number))
            assert is_successful(await editor.commit([edit], operator="o", change_id=f"c{number}"))
            if number % 3 == 0:
                await until(lambda n=number: node.replica.view.revision == n)
        assert node.revisions == sorted(set(node.revisions))
        await node.replica.close()

    virtual_run(run())


def test_start_ends_with_whichever_answers() -> None:
    async def run() -> None:
        down = FakeStore(MemoryStore(), unavailable=1.0)
        node, peer = Node(down), Node()
        node.replica.start()
        assert not await node.replica.wait_ready(30.0)
        peer.replica.adopt(make_revision(4))
        network = FakeNetwork(seed=6)
        network.link(node.hub, peer.hub)
        network.deliver()
        assert node.replica.is_ready and node.replica.view.revision == 4
        await node.replica.close()

    virtual_run(run())


def test_broken_root_in_the_store_leaves_the_table_in_force() -> None:
    async def run() -> None:
        core = MemoryStore()
        await FakeStore(core).transact(Txn(then=(Put("/t/table/root", b"{}"),)))
        node = Node(FakeStore(core))
        node.replica.adopt(make_revision(2))
        node.replica.set_watching(True)
        await asyncio.sleep(60)
        assert node.replica.view.revision == 2 and node.replica.is_watching
        await node.replica.close()

    virtual_run(run())


def test_edit_reaches_a_watcher_and_a_peer_without_store_over_sockets() -> None:
    async def run() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application(make_routes(MemoryStore(), Faults(seed=1))))
        server.add_socket(socket)
        store = EtcdJsonStore(f"http://127.0.0.1:{port}", 5.0)
        no_store = EtcdJsonStore("http://127.0.0.1:1", 5.0)
        hubs = [
            PeerHub(hello=Hello(name, name, "entry", "z", "r"), client_tls=None) for name in "ab"
        ]
        watcher = TableReplica(hub=hubs[0], store=store, prefix="/t")
        follower = TableReplica(hub=hubs[1], store=no_store, prefix="/t")
        peer_socket, peer_port = bind_unused_port()
        peer_server = MessageServer(handle=hubs[0].serve, tls=None)
        peer_server.add_socket(peer_socket)
        hubs[1].set_targets({Address("127.0.0.1", peer_port)})
        watcher.set_watching(True)
        editor = TableEditor(store=store, prefix="/t")
        for number in range(1, 4):
            edit = CellEdit("m", "*", "*", "weight", str(number - 1 or ""), str(number))
            result = await editor.commit([edit], operator="o", change_id=f"c{number}")
            assert is_successful(result), result
            await until(lambda n=number: follower.view.revision == n)
            assert follower.view.resolve("m", "a", "urgent").weight == number
            for hub in hubs:
                hub.broadcast(PeerStatus("ready", watcher.view.revision, watcher.view.digest))
        await watcher.close()
        await follower.close()
        for hub in hubs:
            await hub.close()
        peer_server.stop()
        server.stop()
        store.close()

    asyncio.run(run())
