"""Guards against wrong responses of ``/metrics`` and ``/dump``, and unneeded imports."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import pytest

from sycamoreproxy.state_http import StateServer
from tools.addresses import reserve_address


async def _request(port: int, request_line: str) -> tuple[int, bytes, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{request_line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), head, body


@pytest.mark.parametrize(
    ("request_line", "status", "expected_part"),
    [
        ("GET /metrics", 200, b"sycamore_open_requests"),
        ("GET /dump?x=1", 200, b'"upstreams"'),
        ("GET /other", 404, b""),
        ("POST /dump", 405, b""),
    ],
)
def test_responses_have_status_body_and_content_length(
    request_line: str, status: int, expected_part: bytes
) -> None:
    async def run() -> None:
        server = StateServer(sections_by_name={"upstreams": lambda: {"i-1": {1, 2}}})
        with reserve_address() as holder:
            port = holder.getsockname()[1]
            server.listen("127.0.0.1", port)
        actual_status, head, body = await _request(port, request_line)
        assert actual_status == status and expected_part in body
        assert f"content-length: {len(body)}".encode() in head.lower()
        if request_line.startswith("GET /dump"):
            assert json.loads(body) == {"upstreams": {"i-1": "{1, 2}"}}
        await server.close()

    asyncio.run(run())


def test_routed_process_does_not_import_modules_of_other_roles() -> None:
    """Imports took half of the processor time of a process in its first 20 seconds."""
    script = (
        "import sys, sycamoreproxy.daemon, sycamoreproxy.routed_composition,"
        " sycamoreproxy.routed_entry, sycamoreproxy.routed_http, sycamoreproxy.routed_upstream,"
        " sycamoreproxy.weight_transfer, sycamoreproxy.platform.adapter; print(*sys.modules)"
    )
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True)
    forbidden_modules = {
        "sycamoreproxy.settings",
        "sycamoreproxy.composition",
        "tornado.web",
        "cyclopts",
    }
    assert forbidden_modules.isdisjoint(result.stdout.decode().split())
