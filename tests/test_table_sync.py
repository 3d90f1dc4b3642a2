"""Guards against tables that do not spread, go back, or mix pages of two revisions."""

import asyncio

from returns.pipeline import is_successful
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from standins._server import Faults
from standins.store import MemoryStore, make_routes
from sycamoreproxy.messages import Hello, PeerStatus
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.store_etcd import EtcdJsonStore
from sycamoreproxy.streams import Address, MessageServer
from sycamoreproxy.table_commands import CellEdit, TableEditor
from sycamoreproxy.table_sync import TableReplica


async def _until(condition: object) -> None:
    async def poll() -> None:
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), 20)


def test_edit_reaches_watcher_and_a_peer_without_store() -> None:
    async def run() -> None:
        socket, port = bind_unused_port()
        faults = Faults(seed=1)
        server = HTTPServer(Application(make_routes(MemoryStore(), faults)))
        server.add_socket(socket)
        store = EtcdJsonStore(f"http://127.0.0.1:{port}", 2.0)
        no_store = EtcdJsonStore("http://127.0.0.1:1", 2.0)
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
            base = "" if number == 1 else str(number - 1)
            edit = CellEdit("m", "*", "*", "weight", base, str(number))
            result = await editor.commit([edit], operator="o", change_id=f"c{number}")
            assert is_successful(result), result
            await _until(lambda n=number: follower.view.revision == n)
            assert follower.view.resolve("m", "a", "urgent").weight == number
            hubs[0].broadcast(PeerStatus("ready", watcher.view.revision, watcher.view.digest))
        await watcher.close()
        await follower.close()
        for hub in hubs:
            await hub.close()
        peer_server.stop()
        server.stop()
        store.close()

    asyncio.run(run())
