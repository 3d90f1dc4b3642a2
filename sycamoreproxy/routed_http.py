"""HTTP surface of an entry host on a routed deployment, by tornado's server."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from sycamoreproxy import result_codes as codes
from sycamoreproxy.caller_request import BadRequestError, CallerRequest, Dialect
from sycamoreproxy.logs import get_logger
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.route_table import CallerBounds
from sycamoreproxy.routed_dispatch import RoutedDispatcher

#: Margin over the idle time that callers may use, in seconds, so that a connection is not closed
#: while a request is on its way.
IDLE_MARGIN_S = 5.0
#: Time between two looks at requests that are still being received at a stop, in seconds.
RECEIVING_PAUSE_S = 0.01

_log = get_logger("routed_http")


class CallerReply:
    """The answer on one connection."""

    def __init__(self, connection: HTTP1Connection, *, is_leaving: Callable[[], bool]) -> None:
        self._connection = connection
        self._is_leaving = is_leaving
        self.has_started = False
        self.is_finished = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller's connection has not taken yet."""
        # tornado drops the buffer of a closed connection.
        return len(self._connection.stream._write_buffer or ())

    def start(self, status: int, headers: HTTPHeaders, data: bytes) -> None:
        """Send the head and a first part of the body."""
        self.has_started = True
        if self._is_leaving():
            headers["Connection"] = "close"
        reason = responses.get(status, "Unknown")
        _ignore(
            self._connection.write_headers(
                ResponseStartLine("HTTP/1.1", status, reason), headers, data or None
            )
        )

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        _ignore(self._connection.write(data))

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_finished = True
        if self._is_leaving():
            # tornado decides this when it reads the request, which may have been before the stop.
            self._connection._disconnect_on_finish = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self.is_finished = True
        self._connection.close()

    def refuse(self, refusal: Refusal, *, retry_after_s: float | None) -> None:
        """Send a refusal as JSON."""
        body = json.dumps(refusal.as_body()).encode()
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        self.start(refusal.code.http_status, headers, body)
        self.finish()


def _ignore(future: asyncio.Future[None]) -> None:
    """Leave the error of a write to the connection's close callback."""
    future.add_done_callback(lambda done: done.cancelled() or done.exception())


class _Exchange(HTTPMessageDelegate):
    """Receives one request and runs its answer.

    :param on_head: called when the head of the request has arrived.
    """

    def __init__(
        self,
        front: RoutedFront,
        connection: HTTP1Connection,
        *,
        on_head: Callable[[], object],
    ) -> None:
        self._front = front
        self._on_head = on_head
        self._connection = connection
        self._request: CallerRequest | None = None
        self._refusal: Refusal | None = None
        self._parts: list[bytes] = []
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._on_head()
        self._front.receiving.add(self)
        try:
            self._request = self._front.dialect.read_request(start_line, headers)
        except BadRequestError as error:
            self._refusal = Refusal(codes.INVALID_HEADER, Executed.NO, detail=str(error))

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        self._front.receiving.discard(self)
        stream = self._connection.stream
        if stream is None or stream.closed():
            # What was read before the connection closed is still delivered; its caller is gone.
            return
        reply = CallerReply(self._connection, is_leaving=self._front.is_leaving)
        if self._request is None:
            reply.refuse(
                self._refusal or Refusal(codes.INVALID_HEADER, Executed.NO), retry_after_s=None
            )
            return
        request = self._request
        if self._parts:
            request = replace(request, body=b"".join(self._parts))
        self._task = asyncio.create_task(self._answer(request, reply))
        self._connection.set_close_callback(self._cancel)
        self._front.tasks.add(self._task)
        self._task.add_done_callback(self._front.tasks.discard)

    def on_connection_close(self) -> None:
        self._front.receiving.discard(self)
        self._cancel()

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _answer(self, request: CallerRequest, reply: CallerReply) -> None:
        try:
            await self._front.dispatcher.handle(request, reply)
        except (asyncio.CancelledError, StreamClosedError):
            pass
        except Exception:
            _log.exception("request failed", request=request.request_id)
            if reply.has_started:
                reply.abort()
            else:
                reply.refuse(Refusal(codes.INTERNAL, Executed.UNKNOWN), retry_after_s=None)
        finally:
            if not reply.is_finished:
                reply.abort()


class RoutedFront(HTTPServerConnectionDelegate):
    """Takes callers' requests.

    :param dispatcher: answers them.
    """

    def __init__(self, *, dispatcher: RoutedDispatcher, dialect: Dialect) -> None:
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.tasks: set[asyncio.Task[None]] = set()
        #: Requests whose head has arrived and whose body has not.
        self.receiving: set[_Exchange] = set()
        self._leaving = False
        self._server: HTTPServer | None = None
        #: Connections that wait for the head of a request, by tornado's connection of the server.
        self._waiting_by_server: dict[object, HTTP1Connection] = {}

    def is_leaving(self) -> bool:
        """Return whether connections are closed after their answer."""
        return self._leaving

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        assert isinstance(request_conn, HTTP1Connection)
        self._waiting_by_server[server_conn] = request_conn
        return _Exchange(
            self, request_conn, on_head=lambda: self._waiting_by_server.pop(server_conn, None)
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection; its request is cancelled by its own callback."""
        self._waiting_by_server.pop(server_conn, None)

    def listen(self, ip: str, port: int) -> None:
        """Open the listener."""
        bounds = CallerBounds()
        self._server = HTTPServer(
            self,
            max_header_size=bounds.max_header_bytes,
            max_body_size=bounds.max_body_bytes,
            idle_connection_timeout=bounds.idle_timeout_s + IDLE_MARGIN_S,
        )
        self._server.listen(port, ip, backlog=1024)

    def set_bounds(self, bounds: CallerBounds) -> None:
        """Apply the operator's bounds to new connections and to the next request of open ones."""
        if self._server is None:
            return
        parameters = self._server.conn_params
        parameters.max_body_size = bounds.max_body_bytes
        parameters.header_timeout = bounds.idle_timeout_s + IDLE_MARGIN_S

    def leave(self) -> None:
        """Close each connection after its next answer."""
        self._leaving = True

    async def close(self, *, wait_s: float) -> None:
        """Stop listening, close idle connections, and wait for the requests in progress.

        Callers that keep a connection would otherwise send requests until the process ends.

        :param wait_s: longest wait for requests in progress, in seconds; the rest is cut.
        """
        if self._server is None:
            return
        self._server.stop()
        for connection in list(self._waiting_by_server.values()):
            connection.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while (self.tasks or self.receiving) and loop.time() < deadline:
            if self.tasks and not self.receiving:
                await asyncio.wait(self.tasks, timeout=deadline - loop.time())
            else:
                await asyncio.sleep(RECEIVING_PAUSE_S)
        if self.tasks:
            _log.warning("requests cut at the end of the grace period", requests=len(self.tasks))
        for task in list(self.tasks):
            task.cancel()
        await self._server.close_all_connections()
