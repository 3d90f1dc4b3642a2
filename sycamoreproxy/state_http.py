"""Metrics and a dump of the process's state on one listener of a routed deployment."""

from __future__ import annotations

import json
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine, responses

from sycamoreproxy.metrics import render_metrics

Section = Callable[[], object]


class StateServer:
    """Serves ``/metrics`` and ``/dump``.

    Every process has one and few are asked, so it does without ``tornado.web``, whose import takes
    longer than a process without requests works in half a second.

    :param sections_by_name: what the dump holds.
    """

    def __init__(self, *, sections_by_name: dict[str, Section]) -> None:
        self._sections_by_name = sections_by_name
        self._server = HTTPServer(self._answer)

    def listen(self, ip: str, port: int) -> None:
        """Open the listener."""
        self._server.listen(port, ip)

    async def close(self) -> None:
        """Close the listener and its connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _answer(self, request: HTTPServerRequest) -> None:
        status, body, headers = self._find(request)
        assert request.connection is not None
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, responses[status]),
            HTTPHeaders({**headers, "Content-Length": str(len(body))}),
            body or None,
        )
        request.connection.finish()

    def _find(self, request: HTTPServerRequest) -> tuple[int, bytes, dict[str, str]]:
        """Return status, body and headers of the answer to a request."""
        if request.path not in ("/metrics", "/dump"):
            return 404, b"", {}
        if request.method != "GET":
            return 405, b"", {"Allow": "GET"}
        if request.path == "/metrics":
            return 200, *render_metrics(request.headers.get("Accept"))
        state = {name: section() for name, section in self._sections_by_name.items()}
        body = json.dumps(state, default=str).encode()
        return 200, body, {"Content-Type": "application/json"}
