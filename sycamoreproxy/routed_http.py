"""HTTP server for callers on an entry host in a routed deployment, based on Tornado."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import IOStream, StreamClosedError

from sycamoreproxy import result_codes as codes
from sycamoreproxy.accept_queue import LISTEN_BACKLOG, stop_listening
from sycamoreproxy.caller_request import BadRequestError, CallerRequest, Dialect
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.connection_limits import (
    ConnectionLimits,
    LimitedConnection,
    make_connection_limits,
)
from sycamoreproxy.idle_connections import IdleConnections
from sycamoreproxy.limited_http import LimitedHTTPServer
from sycamoreproxy.logs import get_logger
from sycamoreproxy.machine_limits import read_machine_limits
from sycamoreproxy.metrics import UNFINISHED_REQUESTS
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.route_table import CallerBounds
from sycamoreproxy.routed_dispatch import RoutedDispatcher
from sycamoreproxy.settings_reader import MachineSettings

#: Margin added to the idle timeout that callers may rely on, in seconds, so that a connection is
#: not closed while a request is in transit.
IDLE_MARGIN_S = 5.0
#: Time before the end of the wait at which requests in progress are refused, in seconds, so that the
#: refusals are written.
REFUSAL_RESERVE_S = 0.1
#: Poll interval while requests are still being received or responses written during shutdown, in
#: seconds.
CLOSE_POLL_INTERVAL_S = 0.01

_log = get_logger("routed_http")


@dataclass(slots=True)
class StopCounts:
    """Requests that a stop ends without a response of an upstream, since SIGTERM.

    :param refused: requests that were refused, for any reason.
    :param cut: requests whose connection the process closed after their head was read.
    """

    refused: int = 0
    cut: int = 0


class CallerReply:
    """Writes one response to a caller's connection.

    :param request_id: identifier in the logs; empty if the request could not be read.
    :param is_leaving: returns whether the connection is to be closed after a response that begins.
    :param is_early: whether the response is sent before the request was received; the connection
        then stays in use until :meth:`end_exchange`.
    :param has_body: whether the response may have a body; that to ``HEAD`` has none.
    :param stop_counts: counts refused and cut requests while the process is leaving.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        *,
        request_id: str,
        stop_counts: StopCounts,
        is_leaving: Callable[[], bool],
        is_early: bool = False,
        has_body: bool = True,
    ) -> None:
        self._connection = connection
        self._request_id = request_id
        self._stop_counts = stop_counts
        self._has_body = has_body
        self._is_leaving = is_leaving
        self._is_early = is_early
        self.has_started = False
        self.is_finished = False
        #: Whether the response told its caller that the connection is closed after it.
        self._is_last = False

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that are buffered and not yet written to the caller's socket."""
        return _count_unsent_bytes(self._connection.stream)

    def start(self, status: int, headers: HTTPHeaders, data: bytes) -> None:
        """Send the status line, the headers and the first part of the body."""
        if self._is_leaving():
            headers["Connection"] = "close"
            self._is_last = True
        reason = responses.get(status, "Unknown")
        written = self._connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason),
            headers,
            data if data and self._has_body else None,
        )
        self.has_started = True
        _ignore_write_error(written)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._has_body:
            _ignore_write_error(self._connection.write(data))

    def finish(self) -> None:
        """Complete the response."""
        self.is_finished = True
        if not self._is_early:
            self.end_exchange()

    def end_exchange(self) -> None:
        """Free the connection for the next request, or close it if the response announced that.

        After a response that began before the stop, its caller may send the next request at once.
        """
        if self._is_last:
            # Tornado decides this when it reads the request, possibly before the shutdown began.
            self._connection._disconnect_on_finish = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete response."""
        self.is_finished = True
        if not self._connection.stream.closed():
            is_leaving = self._is_leaving()
            if is_leaving:
                self._stop_counts.cut += 1
            _log_cut_request(self._request_id, reason="response cut", is_leaving=is_leaving)
        self._connection.close()

    def refuse(self, refusal: Refusal, *, retry_after_s: float | None) -> None:
        """Send a refusal as a JSON response."""
        if self._is_leaving():
            self._stop_counts.refused += 1
        body = json.dumps(refusal.as_body()).encode()
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        self.start(refusal.code.http_status, headers, body)
        self.finish()


def _log_cut_request(request_id: str, *, reason: str, is_leaving: bool) -> None:
    _log.warning(
        "connection closed after its request was read",
        request=request_id,
        reason=reason,
        is_stopping=is_leaving,
    )


def _count_unsent_bytes(stream: IOStream) -> int:
    # Tornado discards the buffer of a closed stream: the attribute is then None.
    return len(stream._write_buffer or ())


def _ignore_write_error(future: asyncio.Future[None]) -> None:
    """Ignore a write error; the connection's close callback handles it."""
    future.add_done_callback(lambda done: done.cancelled() or done.exception())


class _Exchange(HTTPMessageDelegate):
    """Receives one request and runs the task that answers it.

    :param limited: the connection as the limits know it.
    :param on_headers: called when the request headers have been received.
    """

    def __init__(
        self,
        caller_server: RoutedCallerServer,
        connection: HTTP1Connection,
        *,
        limited: LimitedConnection,
        on_headers: Callable[[], object],
    ) -> None:
        self._caller_server = caller_server
        self._limits = caller_server.limits
        self._limited = limited
        self._number = limited.request_number
        self._on_headers = on_headers
        self._connection = connection
        self._request: CallerRequest | None = None
        self._refusal: Refusal | None = None
        self._early_reply: CallerReply | None = None
        self._has_response_body = True
        self._body_chunks: list[bytes] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def request_id(self) -> str:
        """Identifier of the request in the logs; empty if its head could not be read."""
        return self._request.request_id if self._request is not None else ""

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._connection.stream.closed()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._on_headers()
        self._has_response_body = start_line.method != "HEAD"
        self._connection.set_max_body_size(self._caller_server.bounds.max_body_bytes)
        self._caller_server.receiving.add(self)
        try:
            self._request = self._caller_server.dialect.read_request(start_line, headers)
        except BadRequestError as error:
            self._limits.receive(self._limited)
            self._refusal = Refusal(codes.INVALID_HEADER, Executed.NO, detail=str(error))
            return
        self._limits.receive(self._limited, time_left_s=self._request.time_left_s)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and not self._limits.permits_body(int(length)):
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        if self.is_closed:
            return
        if self._request is None or self._early_reply is not None:
            self._limits.discard(self._limited, len(chunk))
            return
        if not self._limits.hold(self._limited, len(chunk)):
            self._refuse_body()
            return
        self._body_chunks.append(chunk)

    def finish(self) -> None:
        self._caller_server.receiving.discard(self)
        stream = self._connection.stream
        if stream is None or stream.closed():
            # Tornado still delivers data that was read before the connection closed, but the caller
            # has disconnected.
            _log.info("request dropped with its closed connection", request=self.request_id)
            self._release_body()
            return
        if self._early_reply is not None:
            self._early_reply.end_exchange()
            return
        self._limits.serve(self._limited)
        reply = self._make_reply()
        if self._request is None:
            reply.refuse(
                self._refusal or Refusal(codes.INVALID_HEADER, Executed.NO), retry_after_s=None
            )
            return
        request = self._request
        if self._body_chunks:
            request = replace(request, body=b"".join(self._body_chunks))
            self._body_chunks.clear()
        self._task = asyncio.create_task(self._answer(request, reply))
        self._connection.set_close_callback(self._cancel)
        self._caller_server.tasks.add(self._task)
        self._task.add_done_callback(self._caller_server.tasks.discard)
        self._task.add_done_callback(lambda task: self._end_service())

    def on_connection_close(self) -> None:
        self._caller_server.receiving.discard(self)
        if self._task is None:
            self._release_body()
        self._cancel()

    def _refuse_body(self) -> None:
        """Refuse the request before its body was received; the rest of the body is discarded."""
        assert self._request is not None
        self._body_chunks.clear()
        self._limits.refuse(self._limited)
        self._early_reply = self._make_reply(is_early=True)
        refusal = Refusal(codes.BODIES_TOO_LARGE, Executed.NO)
        self._caller_server.dispatcher.refuse(self._request, None, refusal, self._early_reply)

    def _make_reply(self, *, is_early: bool = False) -> CallerReply:
        return CallerReply(
            self._connection,
            request_id=self.request_id,
            stop_counts=self._caller_server.stop_counts,
            is_leaving=self._caller_server.is_leaving,
            is_early=is_early,
            has_body=self._has_response_body,
        )

    def _release_body(self) -> None:
        """Release the buffer space that is reserved for the body."""
        self._body_chunks.clear()
        if self._limited.request_number == self._number:
            self._limits.release(self._limited)

    def _end_service(self) -> None:
        """Release the body; what the caller has not read of the response is limited from now on."""
        self._release_body()
        if self._limited.request_number == self._number and not self.is_closed:
            self._limits.respond(self._limited, _count_unsent_bytes(self._connection.stream))

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _answer(self, request: CallerRequest, reply: CallerReply) -> None:
        cause = "no outcome"
        try:
            await self._caller_server.dispatcher.handle(request, reply)
        except asyncio.CancelledError:
            cause = "cancelled"
        except StreamClosedError:
            cause = "stream closed"
        except Exception:
            _log.exception("request failed", request=request.request_id)
            cause = "exception"
        finally:
            if not reply.is_finished:
                self._end_without_outcome(request, reply, cause)

    def _end_without_outcome(self, request: CallerRequest, reply: CallerReply, cause: str) -> None:
        """Refuse a request whose handler ended early, or cut its response if that has started."""
        if reply.has_started or self._connection.stream.closed():
            reply.abort()
            return
        UNFINISHED_REQUESTS.inc({"cause": cause})
        _log.warning("handler ended without a response", request=request.request_id, cause=cause)
        reply.refuse(Refusal(codes.INTERNAL, Executed.UNKNOWN), retry_after_s=None)


class RoutedCallerServer(HTTPServerConnectionDelegate):
    """HTTP server that accepts callers' requests.

    :param dispatcher: answers the requests.
    :param limits: what callers may hold; None for the limits of the operating system.
    """

    def __init__(
        self,
        *,
        dispatcher: RoutedDispatcher,
        dialect: Dialect,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.dialect = dialect
        if limits is None:
            machine = read_machine_limits(MachineSettings())
            limits = make_connection_limits(
                machine, max_connections=machine.proxied_connections, clock=SystemClock()
            )
        self.limits = limits
        #: Shared memory of the bodies that are being received or in progress.
        self.body_budget = self.limits.large_bodies
        self.tasks: set[asyncio.Task[None]] = set()
        #: Requests whose headers have been received and whose body is incomplete.
        self.receiving: set[_Exchange] = set()
        self.bounds = CallerBounds()
        self.stop_counts = StopCounts()
        self._is_leaving = False
        self._is_closing = False
        self._http_server: LimitedHTTPServer | None = None
        self._server_conns: set[HTTP1ServerConnection] = set()
        #: Connections that wait for request headers.
        self._idle_connections = IdleConnections(
            limit_s=self.bounds.idle_timeout_s + IDLE_MARGIN_S,
            header_timeout_s=self.bounds.header_timeout_s,
        )

    def is_leaving(self) -> bool:
        """Return whether responses that begin now announce the close of their connection."""
        return self._is_leaving

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives one request."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(request_conn, HTTP1Connection)
        self._server_conns.add(server_conn)
        assert self._http_server is not None
        limited = self._http_server.find_connection(server_conn.stream)
        self.limits.wait(limited)
        self._idle_connections.add(server_conn, request_conn)
        if self._is_closing:
            # Tornado starts to read only after this call.
            asyncio.get_running_loop().call_soon(
                self._idle_connections.close_if_unused, server_conn
            )
        return _Exchange(
            self,
            request_conn,
            limited=limited,
            on_headers=lambda: self._idle_connections.remove(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection; the close callback of its request cancels the request."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._server_conns.discard(server_conn)
        self._idle_connections.remove(server_conn)

    def listen(self, ip: str, port: int) -> None:
        """Open the listener."""
        self._http_server = LimitedHTTPServer(
            self,
            max_header_size=self.bounds.max_header_bytes,
            max_body_size=self.bounds.max_body_bytes,
        )
        self._http_server.limits = self.limits
        # The idle connections have a limit that changes with the configuration.
        self._http_server.conn_params.header_timeout = None
        self._http_server.listen(port, ip, backlog=LISTEN_BACKLOG)

    def set_bounds(self, bounds: CallerBounds) -> None:
        """Apply the configured bounds to all connections from their next request on.

        On connections that wait already, a raised limit for heads holds from the request after it.
        """
        if bounds != self.bounds:
            _log.info("bounds of callers changed", **asdict(bounds))
        self.bounds = bounds
        # A body of the largest permitted size is always accepted if it is the only one.
        self.limits.set_max_body(bounds.max_body_bytes)
        self.limits.set_allowances(head_s=bounds.header_timeout_s, idle_s=bounds.idle_timeout_s)
        if self._http_server is not None:
            # Tornado takes this limit when a connection begins to wait for a request.
            self._http_server.conn_params.max_header_size = max(
                CallerBounds().max_header_bytes, bounds.max_header_bytes
            )
        self._idle_connections.set_limits(
            limit_s=bounds.idle_timeout_s + IDLE_MARGIN_S,
            header_timeout_s=bounds.header_timeout_s,
        )

    def leave(self) -> None:
        """Close each connection after the next response that begins."""
        self._is_leaving = True

    async def close(self, *, wait_s: float) -> None:
        """Stop listening, close unused connections, and wait for the requests in progress.

        Otherwise, callers with persistent connections would send requests until the process exits.
        A request is in progress until its caller's socket has taken the last byte of the response.

        :param wait_s: maximum wait for requests in progress, in seconds. Shortly before its end they
            are refused, and those that would not end by then are refused at once.
        """
        self._is_leaving = True
        self._is_closing = True
        self.dispatcher.end_requests_within(max(0.0, wait_s - REFUSAL_RESERVE_S))
        if self._http_server is None:
            return
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + wait_s
        open_count = self._http_server.connection_count
        unaccepted_count = stop_listening(self._http_server)
        self._idle_connections.close_unused()
        _log.info(
            "stop begins to close connections",
            open=open_count,
            unaccepted=unaccepted_count,
            closed_idle=self._idle_connections.closed_by_reason["stop"],
            receiving=len(self.receiving),
            in_progress=len(self.tasks),
        )
        while self._http_server.has_connections and loop.time() < deadline:
            if self.tasks and not self.receiving and not len(self._idle_connections):
                await asyncio.wait(self.tasks, timeout=deadline - loop.time())
            else:
                await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        if self.tasks:
            _log.warning(
                "requests cancelled at the end of the grace period", requests=len(self.tasks)
            )
        if unsent_responses := self._count_unsent_responses():
            _log.warning("responses cut at the end of the grace period", responses=unsent_responses)
        if self.tasks:
            for task in self.tasks:
                task.cancel()
            # A cancelled request is refused if its response has not started.
            await asyncio.wait(self.tasks, timeout=CLOSE_POLL_INTERVAL_S)
        self._log_incomplete_requests()
        self._idle_connections.close_all()
        self._http_server.close_streams()
        await self._http_server.close_all_connections()
        _log.info(
            "stop closed all connections",
            unaccepted=unaccepted_count,
            closed_idle=self._idle_connections.closed_by_reason["stop"],
            incomplete_heads=self._idle_connections.closed_by_reason["incomplete head"],
            refused=self.stop_counts.refused,
            cut=self.stop_counts.cut,
            took_ms=round((loop.time() - started_at) * 1000),
        )

    def _log_incomplete_requests(self) -> None:
        """Write a line for each request whose body has not arrived and that is closed now."""
        for exchange in self.receiving:
            if not exchange.is_closed:
                self.stop_counts.cut += 1
                _log_cut_request(exchange.request_id, reason="body incomplete", is_leaving=True)

    def _count_unsent_responses(self) -> int:
        """Return the number of connections with bytes that are not written yet."""
        return sum(_count_unsent_bytes(conn.stream) > 0 for conn in self._server_conns)
