"""An administration API over the stand-in of the store, served by a thread of the test."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import structlog.testing
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from standins._server import Faults
from standins.store import MemoryStore, make_routes
from sycamoreproxy.admin_commands import TableCommands
from sycamoreproxy.admin_http import AdminParts, AdminServer, OperatorBook, make_admin_application
from sycamoreproxy.admin_queries import DumpQuery, TableQueries
from sycamoreproxy.census import Census, CensusResponder
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.messages import Hello
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.settings import (
    HostListSettings,
    ListenSettings,
    OperatorSettings,
    ProcessSettings,
    Settings,
    StoreSettings,
    TlsSettings,
)
from sycamoreproxy.store_etcd import EtcdJsonStore
from sycamoreproxy.streams import Address
from sycamoreproxy.table import RowKey, Rows
from sycamoreproxy.table_commands import TableEditor
from sycamoreproxy.table_queries import TableReader
from sycamoreproxy.table_sync import TableReplica
from tools.launch import digest_key, request_json

TOKEN = "night-token"
KIOSK = RowKey("lm", "kiosk", "urgent")
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
EDIT = {**KIOSK._asdict(), "cell": "weight", "base": "", "value": "2"}
HERE = Address("127.0.0.1", 1)
OPERATORS = (OperatorSettings(name="night", token_sha256=(digest_key(TOKEN),)),)
SETTINGS = Settings(
    process=ProcessSettings(host="entry-1", role="entry", availability_zone="z", region="r"),
    listen=ListenSettings(peer=HERE, admin=HERE, caller=HERE),
    store=StoreSettings(address="http://127.0.0.1:1", prefix="/p"),
    host_list=HostListSettings(address="http://127.0.0.1:1"),
    tls=TlsSettings(plain=True),
    operators=OPERATORS,
)


class AdminApi:
    """The API over a replica, an editor and the stand-in of the store.

    ``reason`` is why the process is not ready; ``faults`` are those of the store.
    """

    def __init__(self) -> None:
        self.reason = ""
        self.faults = Faults(seed=1)
        self.hosts = [HostRecord("entry-1", "entry", "z", "r", HERE, HERE)]
        self.dump = DumpQuery(settings=SETTINGS)
        self.url = ""

    @property
    def rows(self) -> Rows:
        """The rows in force."""
        return self.replica.view.rows

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.replica.view.revision

    def post(self, body: Any) -> tuple[int, Any]:
        """Send edits; an accepted change is in force when this returns."""
        status, answer = request_json("POST", f"{self.url}/v1/table/edits", body, headers=HEADERS)
        if status == 200:
            self.wait_for(answer["revision"])
        return status, answer

    def wait_for(self, revision: int) -> None:
        """Wait until a revision is in force; the limit only ends a failed run."""
        end = time.monotonic() + 20
        while self.revision < revision:
            assert time.monotonic() < end
            time.sleep(0.01)

    async def serve(self, ready: threading.Event, stopped: asyncio.Event) -> None:
        """Serve until ``stopped`` is set."""
        store_socket, store_port = bind_unused_port()
        store_server = HTTPServer(Application(make_routes(MemoryStore(), self.faults)))
        store_server.add_socket(store_socket)
        store = EtcdJsonStore(f"http://127.0.0.1:{store_port}", 2.0)
        hub = PeerHub(hello=Hello("entry-1", "x", "entry", "z", "r"), client_tls=None)
        self.replica = TableReplica(hub=hub, store=store, prefix="/p")
        self.replica.set_watching(True)
        self.editor = TableEditor(store=store, prefix="/p")
        census = Census(
            hub=hub,
            responder=CensusResponder(hub=hub, revision=lambda: self.revision),
            hosts=lambda: self.hosts,
            view=lambda: self.replica.view,
            client_tls=None,
            clock=SystemClock(),
        )
        parts = AdminParts(
            operators=OperatorBook(operators=OPERATORS),
            queries=TableQueries(
                view=lambda: self.replica.view,
                reader=TableReader(store=store, prefix="/p"),
                census=census,
            ),
            commands=TableCommands(editor=self.editor, timeout_s=0.5),
            dump=self.dump,
            readiness=lambda: self.reason,
        )
        server = AdminServer(application=make_admin_application(parts), tls=None)
        socket, port = bind_unused_port()
        server.add_socket(socket)
        self.url = f"http://127.0.0.1:{port}"
        ready.set()
        await stopped.wait()
        await server.close()
        await self.replica.close()
        store_server.stop()
        store.close()


@contextmanager
def serve_admin() -> Iterator[AdminApi]:
    """Serve an API from a thread until the block ends; the kiosk's weight is 1."""
    api = AdminApi()
    ready, stopped = threading.Event(), asyncio.Event()
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_until_complete, args=[api.serve(ready, stopped)])
    # The log lines would mix with the output of commands run in the same process.
    with structlog.testing.capture_logs():
        thread.start()
        assert ready.wait(10)
        try:
            assert api.post({"change_id": "first", "edits": [{**EDIT, "value": "1"}]})[0] == 200
            yield api
        finally:
            loop.call_soon_threadsafe(stopped.set)
            thread.join(10)
            loop.close()
