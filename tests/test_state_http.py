"""Guards the page of metrics and the dump of a routed process."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.state_http import StateServer


async def _ask(port: int, line: str) -> tuple[int, bytes, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), head, body


@pytest.mark.parametrize(
    ("line", "status", "part"),
    [
        ("GET /metrics", 200, b"sycamore_open_requests"),
        ("GET /dump?x=1", 200, b'"upstreams"'),
        ("GET /other", 404, b""),
        ("POST /dump", 405, b""),
    ],
)
def test_pages_are_answered_with_their_length(line: str, status: int, part: bytes) -> None:
    async def run() -> None:
        server = StateServer(sections_by_name={"upstreams": lambda: {"i-1": {1, 2}}})
        socket, port = bind_unused_port()
        socket.close()
        server.listen("127.0.0.1", port)
        found, head, body = await _ask(port, line)
        assert found == status and part in body
        assert f"content-length: {len(body)}".encode() in head.lower()
        if line.startswith("GET /dump"):
            assert json.loads(body) == {"upstreams": {"i-1": "{1, 2}"}}
        await server.close()

    asyncio.run(run())


def test_routed_process_imports_nothing_of_the_other_roles() -> None:
    """Imports took half of the processor time of a process's first 20 seconds."""
    script = (
        "import sys, sycamoreproxy.daemon, sycamoreproxy.routed_composition,"
        " sycamoreproxy.routed_entry, sycamoreproxy.routed_http, sycamoreproxy.routed_upstream,"
        " sycamoreproxy.weight_transfer, sycamoreproxy.platform.adapter; print(*sys.modules)"
    )
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True)
    unneeded = {"sycamoreproxy.settings", "sycamoreproxy.composition", "tornado.web", "cyclopts"}
    assert unneeded.isdisjoint(result.stdout.decode().split())
