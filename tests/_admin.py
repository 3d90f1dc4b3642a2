"""An administration API over the stand-in of the store, served by a thread of the test."""

from __future__ import annotations

import asyncio
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import structlog.testing
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from standins._server import Faults
from standins.store import MemoryStore, make_routes
from sycamoreproxy import admin_commands
from sycamoreproxy.census import CensusResponder
from sycamoreproxy.composition import CommonParts
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.settings import load_settings
from sycamoreproxy.streams import Address
from sycamoreproxy.table import RowKey, Rows
from tests.test_settings import VALID
from tools.launch import digest_key, request_json

TOKEN = "night-token"
KIOSK = RowKey("lm", "kiosk", "urgent")
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
EDIT = {**KIOSK._asdict(), "cell": "weight", "base": "", "value": "2"}
OPERATOR = f"""
[[operators]]
name = "night"
token_sha256 = ["{digest_key(TOKEN)}"]
"""


def make_record(host: str) -> HostRecord:
    """Return an entry host at an address where nothing listens."""
    nowhere = Address("127.0.0.1", 9)
    return HostRecord(host, "entry", "z", "r", nowhere, nowhere)


class AdminApi:
    """The API of an entry host without its other parts, over the stand-in of the store.

    ``reason`` is why the process is not ready; ``faults`` are those of the store.
    """

    parts: CommonParts

    def __init__(self) -> None:
        self.reason = ""
        self.faults = Faults(seed=1)
        self.url = ""

    @property
    def rows(self) -> Rows:
        """The rows in force."""
        return self.parts.replica.view.rows

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.parts.replica.view.revision

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
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory) / "settings.toml"
            file.write_text(VALID.replace("2379", str(store_port)) + OPERATOR, encoding="utf-8")
            self.parts = parts = CommonParts(load_settings(file))
        parts.replica.set_watching(True)
        parts.poller.records = (make_record("entry-1"),)
        responder = CensusResponder(hub=parts.hub, revision=lambda: self.revision)
        server = parts.build_admin(responder=responder, explain_not_ready=lambda: self.reason)
        socket, port = bind_unused_port()
        server.add_socket(socket)
        self.url = f"http://127.0.0.1:{port}"
        ready.set()
        await stopped.wait()
        await server.close()
        await parts.replica.close()
        store_server.stop()
        parts.store.close()


@contextmanager
def serve_admin() -> Iterator[AdminApi]:
    """Serve an API from a thread until the block ends; the kiosk's weight is 1."""
    api = AdminApi()
    ready, stopped = threading.Event(), asyncio.Event()
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_until_complete, args=[api.serve(ready, stopped)])
    # The log lines would mix with the output of commands run in the same process.
    quick = mock.patch.object(admin_commands, "COMMIT_TIMEOUT_S", 0.5)
    with structlog.testing.capture_logs(), quick:
        thread.start()
        assert ready.wait(10)
        try:
            assert api.post({"change_id": "first", "edits": [{**EDIT, "value": "1"}]})[0] == 200
            yield api
        finally:
            loop.call_soon_threadsafe(stopped.set)
            thread.join(10)
            loop.close()
