"""HTTP listener for metrics and a state dump of one process of a routed deployment."""

from __future__ import annotations

import json
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine, responses

from sycamoreproxy.metrics import render_metrics
from sycamoreproxy.port_limits import DEFAULT_MAX_CONNECTIONS, PortHTTPServer

#: Largest request; none of these has a body.
MAX_BODY_BYTES = 16 * 1024
MAX_HEADER_BYTES = 16 * 1024

RenderSection = Callable[[], object]


class StateServer:
    """Serves ``/metrics`` and ``/dump``.

    Every process has this server but few receive requests. It therefore avoids ``tornado.web``,
    whose import takes more processor time than an idle process uses in half a second.

    :param sections_by_name: functions that return the sections of the dump.
    :param max_connections: connections that may be open at once.
    """

    def __init__(
        self,
        *,
        sections_by_name: dict[str, RenderSection],
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._sections_by_name = sections_by_name
        self._server = PortHTTPServer(
            self._respond, max_body_size=MAX_BODY_BYTES, max_header_size=MAX_HEADER_BYTES
        )
        self._server.max_connections = max_connections
        self._server.port_name = "state"

    def listen(self, ip: str, port: int) -> None:
        """Listen on an IP address and port."""
        self._server.listen(port, ip)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _respond(self, request: HTTPServerRequest) -> None:
        status, body, headers = self._build_response(request)
        assert request.connection is not None
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, responses[status]),
            HTTPHeaders({**headers, "Content-Length": str(len(body))}),
            body or None,
        )
        request.connection.finish()

    def _build_response(self, request: HTTPServerRequest) -> tuple[int, bytes, dict[str, str]]:
        """Return status, body and headers of the response to a request."""
        if request.path not in ("/metrics", "/dump"):
            return 404, b"", {}
        if request.method != "GET":
            return 405, b"", {"Allow": "GET"}
        if request.path == "/metrics":
            return 200, *render_metrics(request.headers.get("Accept"))
        state = {name: render() for name, render in self._sections_by_name.items()}
        body = json.dumps(state, default=str).encode()
        return 200, body, {"Content-Type": "application/json"}
