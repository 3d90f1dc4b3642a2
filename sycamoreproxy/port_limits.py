"""Limit on the connections of ports that operators, balancers and scrapers use."""

from __future__ import annotations

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import PORT_REFUSALS

#: Connections of a port whose server was given no limit.
DEFAULT_MAX_CONNECTIONS = 256

_log = get_logger("port_limits")


class PortHTTPServer(HTTPServer):
    """Closes the connection that has waited for a request for longest when there are too many.

    A connection whose request was received whole is never closed for another.
    """

    #: Set by the owner before it listens.
    max_connections = DEFAULT_MAX_CONNECTIONS
    #: Name of the port in metrics and logs.
    port_name = ""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Set up the server; Tornado calls this in place of a constructor."""
        super().initialize(*args, **kwargs)
        #: Connections without a whole request, the longest wait first.
        self._waiting: dict[Any, None] = {}
        self._ended_count = 0

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it at the limit."""
        if len(self._connections) >= self.max_connections:
            self._count_ended()
            longest = next(iter(self._waiting), None)
            if longest is None:
                stream.close()
                return
            del self._waiting[longest]
            self._connections.discard(longest)
            longest.stream.close()
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives one request."""
        self._waiting[server_conn] = None
        delegate = super().start_request(server_conn, request_conn)
        return _WaitingRequest(delegate, server_conn=server_conn, waiting=self._waiting)

    def on_close(self, server_conn: Any) -> None:
        """Forget a closed connection."""
        self._waiting.pop(server_conn, None)
        if server_conn in self._connections:
            super().on_close(server_conn)

    def _count_ended(self) -> None:
        self._ended_count += 1
        PORT_REFUSALS.inc({"port": self.port_name})
        # Powers of two only, so that a flood writes few lines.
        if self._ended_count & (self._ended_count - 1) == 0:
            _log.warning(
                "too many connections to a port",
                port=self.port_name,
                limit=self.max_connections,
                ended=self._ended_count,
            )


class _WaitingRequest(HTTPMessageDelegate):
    """Passes a request on and notes when it was received whole."""

    def __init__(
        self, delegate: HTTPMessageDelegate, *, server_conn: object, waiting: dict[Any, None]
    ) -> None:
        self._delegate = delegate
        self._server_conn = server_conn
        self._waiting = waiting

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: Any
    ) -> Any:
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._waiting.pop(self._server_conn, None)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()
