"""HTTP server of callers whose connections are subject to ``connection_limits``."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from typing import Any, Protocol

from tornado.httpserver import HTTPServer
from tornado.httputil import responses
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from sycamoreproxy import result_codes as codes
from sycamoreproxy.connection_limits import ConnectionLimits, EndReason, LimitedConnection, Phase
from sycamoreproxy.idle_connections import is_request_arriving
from sycamoreproxy.metrics import REFUSALS
from sycamoreproxy.result_codes import Executed, Refusal

#: Refused connections that wait for their close, and how long, in seconds: a round trip between
#: regions and a late event loop.
MAX_REFUSED_STREAMS = 32
REFUSED_CLOSE_S = 1.0

_CODE_BY_REASON = {
    EndReason.CONNECTIONS: codes.TOO_MANY_CONNECTIONS,
    EndReason.MEMORY: codes.BODIES_TOO_LARGE,
    EndReason.SLOW: codes.SLOW_SENDER,
}


class _Delegate(Protocol):
    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""


class _StreamHolder:
    """A connection as the limits see it; the :class:`connection_limits.Holder` of its stream."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    def is_arriving(self) -> bool:
        """Return whether bytes of the next request were received."""
        return is_request_arriving(self._stream)

    def count_buffered(self) -> tuple[int, int]:
        """Return the bytes in the buffers of the stream: received, and not yet written."""
        stream = self._stream
        if stream.closed():
            return 0, 0
        return stream._read_buffer_size, len(stream._write_buffer or ())

    def end(self, phase: Phase, reason: EndReason) -> None:
        """Refuse the request that is being received, if any, and close the connection."""
        if phase in (Phase.HEAD, Phase.BODY):
            refuse_stream(self._stream, Refusal(_CODE_BY_REASON[reason], Executed.NO))
        else:
            self._stream.close()


class LimitedHTTPServer(HTTPServer):
    """Opens and closes connections as the limits decide, and tells its delegate of closed ones."""

    request_callback: _Delegate  # type: ignore[assignment]
    #: Set by the owner before it listens.
    limits: ConnectionLimits

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Set up the server; Tornado calls this in place of a constructor."""
        super().initialize(*args, **kwargs)
        self._connection_by_stream: dict[IOStream, LimitedConnection] = {}
        self._refused_streams: set[IOStream] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections, including those that are not served yet."""
        return len(self._connections)

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open, including those that are not served yet."""
        return bool(self._connections)

    def find_connection(self, stream: IOStream) -> LimitedConnection:
        """Return what the limits know of a stream that was accepted."""
        return self._connection_by_stream[stream]

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or refuse it at a limit."""
        connection = self.limits.open(_StreamHolder(stream))
        if connection is None:
            self._refuse_new(stream)
            return
        self._connection_by_stream[stream] = connection
        super().handle_stream(stream, address)

    def _refuse_new(self, stream: IOStream) -> None:
        """Refuse a new connection; its close waits, so that the caller reads the refusal.

        A close while the request is unread resets the connection.
        """
        _write_refusal(stream, Refusal(codes.TOO_MANY_CONNECTIONS, Executed.NO))
        if len(self._refused_streams) >= MAX_REFUSED_STREAMS:
            stream.close()
            return
        self._refused_streams.add(stream)
        with contextlib.suppress(OSError):
            stream.socket.shutdown(socket.SHUT_WR)
        asyncio.get_running_loop().call_later(REFUSED_CLOSE_S, self._close_refused, stream)

    def _close_refused(self, stream: IOStream) -> None:
        self._refused_streams.discard(stream)
        stream.close()

    def on_close(self, server_conn: Any) -> None:
        """Forget a closed connection."""
        super().on_close(server_conn)
        connection = self._connection_by_stream.pop(server_conn.stream, None)
        if connection is not None:
            self.limits.close(connection)
        # HTTPServer tells this to no delegate.
        self.request_callback.on_close(server_conn)

    def close_streams(self) -> None:
        """Close all connections at once, so that none of them delivers another request."""
        for server_conn in list(self._connections):
            server_conn.stream.close()
        for stream in list(self._refused_streams):
            self._close_refused(stream)


def refuse_stream(stream: IOStream, refusal: Refusal) -> None:
    """Refuse a request that has no response yet, and close its connection at once."""
    _write_refusal(stream, refusal)
    stream.close()


def _write_refusal(stream: IOStream, refusal: Refusal) -> None:
    """Write a refusal as the only response of a connection.

    It is far smaller than the socket's buffer, so the socket takes all of it in this call unless
    the caller does not read.
    """
    status = refusal.code.http_status
    REFUSALS.inc({"code": str(refusal.code.number), "executed": str(refusal.executed)})
    body = json.dumps(refusal.as_body()).encode()
    head = (
        f"HTTP/1.1 {status} {responses[status]}\r\nConnection: close\r\nRetry-After: 1\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with contextlib.suppress(StreamClosedError, StreamBufferFullError):
        stream.write(head.encode() + body).add_done_callback(
            lambda future: future.cancelled() or future.exception()
        )
