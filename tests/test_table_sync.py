"""Guards against tables that do not replicate, that revert, or that mix pages of two revisions."""

import asyncio
from typing import Any

import pytest
from returns.pipeline import is_successful
from tornado.testing import bind_unused_port

from standins._server import Faults
from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
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
from sycamoreproxy.table_sync import TableReplica
from tests._fake_hub import FakeHub, FakeNetwork
from tests._virtual_time import in_virtual_time
from tests.test_store_etcd import run_with_store
from tests.test_table import make_snapshot


async def wait_until(condition: Any) -> None:
    """Wait for a condition; the limit only ends a run in which it never becomes true."""
    for _ in range(20_000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")


class Node:
    """A replica on a fake hub, as one simulated process."""

    def __init__(self, store: Any = None) -> None:
        self.hub, self.clock = FakeHub(), ManualClock()
        self.revisions: list[int] = []
        store = store or InProcessStore(MemoryStore())
        self.replica = TableReplica(hub=self.hub, store=store, prefix="/t", clock=self.clock)
        self.replica.subscribe(lambda view: self.revisions.append(view.revision))

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every stream, as ``PeerStatus`` or ``Status`` by stream number."""
        view = self.replica.view
        fields = {"table_revision": view.revision, "table_digest": view.digest}
        for peer in self.hub.peers:
            if peer.number % 4 < 2:
                peer.send(PeerStatus("ready", **fields))
            else:
                peer.send(Status("ready", "engine", "m", "v", **fields))


def make_revision(revision: int, *, rows: int = 30) -> Snapshot:
    """Return a table of ``rows`` constant rows and one row that changes with the revision."""
    table = {RowKey("m", f"a{n}", "urgent"): {"weight": str(n + 1)} for n in range(rows)}
    table[RowKey("m", "changing", "urgent")] = {"weight": str(revision)}
    return make_snapshot(table, revision)


def build_peer_tree(network: FakeNetwork, count: int) -> list[Node]:
    nodes = [Node() for _ in range(count)]
    for number in range(1, count):
        network.link(nodes[number].hub, nodes[(number - 1) // 3].hub)
        if number > 4:
            network.link(nodes[number].hub, nodes[network.random.randrange(number)].hub)
    return nodes


async def commit_revision(editor: TableEditor, number: int) -> None:
    edit = CellEdit("m", "*", "*", "weight", str(number - 1 or ""), str(number))
    assert is_successful(await editor.commit([edit], operator="o", change_id=f"c{number}"))


@in_virtual_time
async def test_each_process_fetches_only_the_changed_page_and_once() -> None:
    network = FakeNetwork(seed=1)
    nodes = build_peer_tree(network, 40)
    nodes[0].replica.adopt(make_revision(1))
    network.deliver()
    network.sent_by_type.clear()
    full_table_bytes, network.bytes_delivered = network.bytes_delivered, 0
    nodes[7].replica.adopt(make_revision(2))
    network.deliver()
    assert {node.replica.view.digest for node in nodes} == {make_revision(2).digest}
    assert all(node.revisions == [1, 2] for node in nodes)
    assert network.sent_by_type["TablePages"] == 39
    assert network.bytes_delivered < full_table_bytes * 2


@in_virtual_time
async def test_large_table_is_fetched_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_sync, "MAX_PAGES_BYTES", 500)
    network = FakeNetwork(seed=2)
    nodes = build_peer_tree(network, 2)
    nodes[0].replica.adopt(make_revision(1, rows=100))
    network.deliver()
    assert nodes[1].replica.view.digest == make_revision(1, rows=100).digest
    assert network.sent_by_type["TablePages"] > 3


@pytest.mark.parametrize("seed", range(8))
@in_virtual_time
async def test_replicas_converge_after_disconnects_restarts_and_lost_messages(seed: int) -> None:
    network = FakeNetwork(seed=seed)
    rng = network.random
    nodes = build_peer_tree(network, 25)
    newest = 0
    for _ in range(120):
        index = rng.randrange(25)
        node, others = nodes[index], nodes[:index] + nodes[index + 1 :]
        action = rng.randrange(4)
        if action == 0:
            newest += 1
            node.replica.adopt(make_revision(newest))
        elif action == 1 and node.hub.peers:
            network.cut(rng.choice(sorted(node.hub.peers, key=hash)))
            network.link(node.hub, rng.choice(others).hub)
        elif action == 2:
            # A process that hangs keeps its streams open, but its queued messages are lost.
            for peer in node.hub.peers:
                peer.queue.clear()
        else:
            for peer in node.hub.peers:
                network.cut(peer)
            nodes[index] = Node()
            for other in rng.sample(others, 2):
                network.link(nodes[index].hub, other.hub)
        network.deliver(limit=rng.randrange(30))
    newest += 1
    nodes[0].replica.adopt(make_revision(newest))
    for node in nodes[1:]:
        network.link(node.hub, nodes[0].hub)
    for _ in range(5):
        for node in nodes:
            node.clock.advance(table_sync.FETCH_TIMEOUT_S)
            node.send_heartbeats()
        network.deliver()
    assert {node.replica.view.digest for node in nodes} == {make_revision(newest).digest}
    assert all(node.revisions == sorted(set(node.revisions)) for node in nodes)


@in_virtual_time
async def test_fetch_moves_to_another_peer_after_timeout() -> None:
    network = FakeNetwork(seed=3)
    node, responsive = Node(), Node()
    responsive.replica.adopt(make_revision(3))
    network.link(node.hub, FakeHub()).send(TableAnnounce(9, "d"))
    network.deliver()
    network.link(node.hub, responsive.hub)
    network.deliver()
    assert node.replica.view.revision == 0
    node.clock.advance(table_sync.FETCH_TIMEOUT_S)
    responsive.send_heartbeats()
    network.deliver()
    assert node.replica.view.revision == 3


@pytest.mark.parametrize(
    "pages",
    [
        TablePages("{", ()),
        TablePages('{"revision":5}', ()),
        TablePages(make_revision(5).root_text, ()),
        TablePages(make_revision(5).root_text, ("[]", "no page")),
        TablePages(make_revision(1).root_text, tuple(make_revision(1).pages_by_digest.values())),
    ],
    ids=["truncated root", "root without pages", "no pages", "other pages", "old revision"],
)
@in_virtual_time
async def test_invalid_or_old_pages_leave_the_table_unchanged(pages: TablePages) -> None:
    network, node = FakeNetwork(seed=4), Node()
    node.replica.adopt(make_revision(2, rows=3))
    remote = network.link(node.hub, FakeHub())
    for message in (TableAnnounce(5, "d"), pages, TableFetch(6)):
        remote.send(message)
    network.deliver()
    assert node.replica.view.digest == make_revision(2, rows=3).digest


@in_virtual_time
async def test_second_digest_of_a_revision_is_one_violation_and_not_adopted() -> None:
    before = violations_by_name["table_revision_has_one_digest"]
    network, node = FakeNetwork(seed=5), Node()
    node.replica.adopt(make_revision(2))
    remote = network.link(node.hub, FakeHub())
    for _ in range(3):
        remote.send(PeerStatus("ready", 2, "other"))
    network.deliver()
    assert violations_by_name["table_revision_has_one_digest"] == before + 1
    assert node.replica.view.digest == make_revision(2).digest


@in_virtual_time
async def test_failing_listener_does_not_block_other_listeners() -> None:
    node = Node()
    node.replica._listeners.insert(0, lambda view: 1 // 0)
    assert node.replica.adopt(make_revision(1))
    assert node.revisions == [1]


@in_virtual_time
async def test_only_a_watching_replica_receives_store_changes() -> None:
    core = MemoryStore()
    watcher, idle = Node(InProcessStore(core)), Node(InProcessStore(core))
    editor = TableEditor(store=InProcessStore(core), prefix="/t")
    for node in (watcher, idle):
        node.replica.start()
        assert await node.replica.wait_ready(10)
    watcher.replica.set_watching(True)
    for number in range(1, 4):
        await commit_revision(editor, number)
        await wait_until(lambda n=number: watcher.replica.view.revision == n)
    assert idle.replica.view.revision == 0
    watcher.replica.set_watching(False)
    assert not watcher.replica.is_watching
    await commit_revision(editor, 4)
    await idle.replica.refresh()
    assert (idle.replica.view.revision, watcher.replica.view.revision) == (4, 3)


@pytest.mark.parametrize("seed", range(3))
@in_virtual_time
async def test_watcher_reaches_accepted_revisions_despite_store_faults(seed: int) -> None:
    core = MemoryStore()
    node = Node(InProcessStore(core, seed=seed, unavailable=0.3, lost=0.2))
    node.replica.set_watching(True)
    editor = TableEditor(store=InProcessStore(core), prefix="/t")
    for number in range(1, 31):
        await commit_revision(editor, number)
        if number % 3 == 0:
            await wait_until(lambda n=number: node.replica.view.revision == n)
    assert node.revisions == sorted(set(node.revisions))
    await node.replica.close()


@in_virtual_time
async def test_table_from_a_peer_makes_replica_ready_without_the_store() -> None:
    node, peer = Node(InProcessStore(MemoryStore(), unavailable=1.0)), Node()
    node.replica.start()
    assert not await node.replica.wait_ready(30.0)
    peer.replica.adopt(make_revision(4))
    network = FakeNetwork(seed=6)
    network.link(node.hub, peer.hub)
    network.deliver()
    assert node.replica.is_ready and node.replica.view.revision == 4


@pytest.mark.parametrize("root", [b"{}", b"\xff", make_revision(1).root_text.encode(), None])
@in_virtual_time
async def test_invalid_old_or_missing_root_in_store_keeps_the_active_table(root: Any) -> None:
    store = InProcessStore(MemoryStore())
    if root is not None:
        await store.transact(Txn(then=(Put("/t/table/root", root),)))
    node = Node(store)
    node.replica.adopt(make_revision(2))
    node.replica.set_watching(True)
    await asyncio.sleep(60)
    assert node.replica.view.revision == 2 and node.replica.is_watching
    await node.replica.close()


def test_edit_reaches_watcher_and_peer_without_store_over_sockets() -> None:
    async def action(store: EtcdJsonStore, core: MemoryStore, faults: Faults) -> None:
        hubs = [PeerHub(hello=Hello(n, n, "entry", "z", "r"), client_tls=None) for n in "ab"]
        unreachable_store = EtcdJsonStore("http://127.0.0.1:1", 5.0)
        watcher = TableReplica(hub=hubs[0], store=store, prefix="/t")
        follower = TableReplica(hub=hubs[1], store=unreachable_store, prefix="/t")
        socket, port = bind_unused_port()
        server = MessageServer(handle=hubs[0].serve, tls=None)
        server.add_socket(socket)
        hubs[1].set_targets({Address("127.0.0.1", port)})
        watcher.set_watching(True)
        editor = TableEditor(store=store, prefix="/t")
        for number in range(1, 4):
            await commit_revision(editor, number)
            await wait_until(lambda n=number: follower.view.revision == n)
            assert follower.view.resolve("m", "a", "urgent").weight == number
            for hub in hubs:
                hub.broadcast(PeerStatus("ready", watcher.view.revision, watcher.view.digest))
        await watcher.close()
        for hub in hubs:
            await hub.close()
        server.stop()

    run_with_store(action)
