"""HTTP/1.1 client connections by tornado with kept connections and immediate cancellation.

``SimpleAsyncHTTPClient`` opens a connection per request and cannot stop one, so the upstream
process uses tornado's ``HTTP1Connection`` directly.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from urllib.parse import urlsplit

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

#: Time to establish a connection on the same host, in seconds.
CONNECT_TIMEOUT_S = 2.0
#: A kept connection that the server had closed before fails within this time, in seconds. A later
#: failure is the server's, and a second run would only add to its load.
STALE_LIMIT_S = 0.25
#: Number of timers in a row that measure this time. The wait for a timer of a late event loop counts
#: as the timer's period: reading a large configuration blocks the loop for longer than the limit.
STALE_TICKS = 5
#: A path that no longer answers is noticed by probes after these times, in seconds, and
#: unacknowledged data after this time, in milliseconds: a connection may go silent without a reset.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
UNACKNOWLEDGED_LIMIT_MS = 3000
#: Longest pause between two parts of an answer that is given time to arrive, in seconds: a lost packet
#: is sent again within it.
PART_PAUSE_S = 2.0
#: Bytes that count as such a part: an answer that trickles in is as good as none.
PART_BYTES = 8_192
#: Idle connections kept per client.
MAX_IDLE_CONNECTIONS = 64


class NotSentError(Exception):
    """No byte of the request was sent."""


class AnswerLostError(Exception):
    """The request may have been received; its answer is absent, cut or malformed.

    :param received: whether any part of the answer was received.
    """

    def __init__(self, reason: str, *, received: bool) -> None:
        super().__init__(reason)
        self.received = received


class AnswerTooLargeError(AnswerLostError):
    """The answer is longer than permitted."""


HeadListener = Callable[[int, HTTPHeaders], None]
DataListener = Callable[[bytes], None]


def is_valid_status(status: int) -> bool:
    """Return whether a status code is in the range of HTTP (RFC 9110, section 15).

    Tornado accepts any three digits.
    """
    return 100 <= status <= 599


class _Delegate(HTTPMessageDelegate):
    """Passes the parts of one answer on and keeps what a listener raised.

    :param stream: closed when a listener raises, because the rest of the answer may have no end.
    """

    def __init__(self, on_head: HeadListener, on_data: DataListener, *, stream: IOStream) -> None:
        self._on_head = on_head
        self._on_data = on_data
        self._stream = stream
        self.received = False
        self.is_whole = False
        self.keeps_open = True
        self.error: Exception | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        self.received = True
        connection = headers.get("Connection", "").lower()
        self.keeps_open = "close" not in connection and start_line.version != "HTTP/1.0"
        self._call(lambda: self._pass_head(start_line.code, headers))

    def data_received(self, chunk: bytes) -> None:
        if self.error is None:
            self._call(lambda: self._on_data(chunk))

    def finish(self) -> None:
        self.is_whole = True

    def on_connection_close(self) -> None:
        """The caller sees the closed connection by the exception or the result."""

    def _pass_head(self, status: int, headers: HTTPHeaders) -> None:
        if not is_valid_status(status):
            raise AnswerLostError(f"the status {status:03} is invalid", received=True)
        self._on_head(status, headers)

    def _call(self, action: Callable[[], None]) -> None:
        # An exception that leaves a delegate is logged and replaced by tornado.
        try:
            action()
        except Exception as error:
            self.error = error
            self._stream.close()


class _ShortAnswer:
    """Collects an answer that is read whole.

    :param max_bytes: longest body; None for the longest that the client reads.
    :param on_part: called after each ``PART_BYTES`` of the body.
    """

    def __init__(self, *, max_bytes: int | None, on_part: Callable[[], None]) -> None:
        self._max_bytes = max_bytes
        self._on_part = on_part
        self._counted_bytes = 0
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = bytearray()

    def take_head(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers; a length that they tell is checked at once."""
        self.status, self.headers = status, headers
        length = headers.get("Content-Length", "")
        if length.isdecimal():
            self._check(int(length))

    def take_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._check(len(self.body) + len(data))
        self.body.extend(data)
        if len(self.body) - self._counted_bytes >= PART_BYTES:
            self._counted_bytes = len(self.body)
            self._on_part()

    def _check(self, size: int) -> None:
        if self._max_bytes is not None and size > self._max_bytes:
            raise AnswerTooLargeError(f"an answer of over {self._max_bytes} bytes", received=True)


class _StaleWindow:
    """The time after a request in which a failure of its kept connection is not the server's.

    Time in which the event loop was blocked is not counted, as no failure is noticed in it.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._ticks_left = STALE_TICKS
        self._timer = self._start_timer()

    @property
    def is_open(self) -> bool:
        """Whether a failure that is noticed now is one of a stale connection."""
        return self._ticks_left > 0

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _start_timer(self) -> asyncio.TimerHandle:
        return self._loop.call_later(STALE_LIMIT_S / STALE_TICKS, self._tick)

    def _tick(self) -> None:
        self._ticks_left -= 1
        if self._ticks_left:
            self._timer = self._start_timer()


class HttpClient:
    """Sends requests to one base URL.

    :param address: base URL; its path is put before each request's path.
    :param max_body_bytes: longest answer body, in bytes.
    :param idle_limit: idle connections kept.
    :param idle_timeout_s: time without use after which the idle connections are closed, in seconds;
        None to keep them until the server closes them.
    """

    def __init__(
        self,
        address: str,
        *,
        max_body_bytes: int,
        idle_limit: int = MAX_IDLE_CONNECTIONS,
        idle_timeout_s: float | None = None,
    ) -> None:
        parts = urlsplit(address)
        self._host = parts.hostname or ""
        self._tls = ssl.create_default_context() if parts.scheme == "https" else None
        self._port = parts.port or (443 if self._tls else 80)
        self._host_header = parts.netloc.rpartition("@")[2]
        self._path = parts.path.rstrip("/")
        self._client = TCPClient()
        self._idle: list[IOStream] = []
        self._idle_limit = idle_limit
        self._parameters = HTTP1ConnectionParameters(
            max_body_size=max_body_bytes, max_header_size=65_536
        )
        self._in_use = 0
        self._idle_timeout_s = idle_timeout_s
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def open_connections(self) -> int:
        """Number of connections that carry a request or are kept for the next one."""
        return self._in_use + len(self._idle)

    async def exchange(
        self,
        *,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        on_head: HeadListener,
        on_data: DataListener,
        repeatable: bool,
        may_send: Callable[[], bool] = lambda: True,
        repeated_path: str | None = None,
    ) -> None:
        """Send a request and pass its answer on; cancelling the task closes the connection.

        :param repeatable: whether the request may be sent again on a fresh connection when a kept
            one closes before any part of the answer; others always get a fresh connection.
        :param may_send: asked each time a connection was opened, which takes up to 2 s.
        :param repeated_path: path with which it is sent again; None for the same.
        :raises NotSentError: if there is no connection.
        :raises AnswerLostError: if the answer is absent, cut or malformed.
        :raises Exception: what a listener raises; the connection is closed.
        """
        stream = self._take_idle() if repeatable else None
        if stream is not None:
            delegate = _Delegate(on_head, on_data, stream=stream)
            window = _StaleWindow()
            try:
                await self._send(stream, delegate, method, path, headers, body)
                return
            except AnswerLostError as error:
                if error.received or not window.is_open:
                    raise
                again = path if repeated_path is None else repeated_path
                await self._send_again(on_head, on_data, method, again, headers, body, may_send)
                return
            finally:
                window.close()
        stream = await self._connect()
        if not may_send():
            stream.close()
            raise NotSentError("the server is no longer used")
        await self._send(
            stream, _Delegate(on_head, on_data, stream=stream), method, path, headers, body
        )

    async def _send_again(
        self,
        on_head: HeadListener,
        on_data: DataListener,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        may_send: Callable[[], bool],
    ) -> None:
        """Send a request on a fresh connection after a kept one closed under it.

        The server may have received it on the kept one, so a failure to connect does not say that
        no byte was sent.
        """
        try:
            stream = await self._connect()
        except NotSentError as error:
            raise AnswerLostError(str(error), received=False) from error
        if not may_send():
            stream.close()
            raise AnswerLostError("the server is no longer used", received=False)
        delegate = _Delegate(on_head, on_data, stream=stream)
        await self._send(stream, delegate, method, path, headers, body)

    async def fetch(
        self,
        *,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float,
        transfer_s: float = 0.0,
        max_bytes: int | None = None,
        on_part: Callable[[], None] = lambda: None,
        repeated_path: str | None = None,
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Send a short request that may be repeated; return status, headers and body.

        :param timeout_s: longest wait for the answer, in seconds.
        :param transfer_s: further time while parts of the answer keep arriving, in seconds.
        :param max_bytes: longest body; None for the longest that the client reads.
        :param on_part: called after each ``PART_BYTES`` of the body.
        :param repeated_path: as for :meth:`exchange`.
        :raises NotSentError: if there is no connection.
        :raises AnswerTooLargeError: if the body is longer than ``max_bytes``.
        :raises AnswerLostError: if the answer is absent, cut, malformed or late.
        """
        timeout_at = asyncio.get_running_loop().time() + timeout_s
        limit = asyncio.timeout_at(timeout_at)

        def extend() -> None:
            now = asyncio.get_running_loop().time()
            limit.reschedule(max(timeout_at, min(now + PART_PAUSE_S, timeout_at + transfer_s)))
            on_part()

        answer = _ShortAnswer(max_bytes=max_bytes, on_part=extend)
        headers = HTTPHeaders()
        if body:
            headers["Content-Type"] = "application/json"
        try:
            async with limit:
                await self.exchange(
                    method=method,
                    path=path,
                    headers=headers,
                    body=body,
                    on_head=answer.take_head,
                    on_data=answer.take_data,
                    repeatable=True,
                    repeated_path=repeated_path,
                )
        except TimeoutError as error:
            raise AnswerLostError("no answer in time", received=answer.status > 0) from error
        return answer.status, answer.headers, bytes(answer.body)

    def close(self) -> None:
        """Close the idle connections."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for stream in self._idle:
            stream.set_close_callback(None)
            stream.close()
        self._idle.clear()

    def _take_idle(self) -> IOStream | None:
        while self._idle:
            stream = self._idle.pop()
            stream.set_close_callback(None)
            if not stream.closed() and not _has_surplus(stream):
                return stream
            stream.close()
        return None

    def _keep(self, stream: IOStream) -> None:
        if stream.closed() or len(self._idle) >= self._idle_limit:
            stream.close()
            return
        self._idle.append(stream)
        # With a callback set, tornado notices at once that the server closed the connection.
        stream.set_close_callback(lambda: self._forget(stream))
        if self._idle_timeout_s is not None:
            if self._idle_timer is not None:
                self._idle_timer.cancel()
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(self._idle_timeout_s, self.close)

    def _forget(self, stream: IOStream) -> None:
        if stream in self._idle:
            self._idle.remove(stream)

    async def _connect(self) -> IOStream:
        try:
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the result.
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self._client.connect(self._host, self._port, ssl_options=self._tls)
        except (StreamClosedError, OSError, TimeoutError) as error:
            raise NotSentError(f"no connection: {_describe(error)}") from error
        if stream.closed():
            raise NotSentError("the connection closed at once")
        stream.set_nodelay(True)
        _set_probes(stream.socket)
        return stream

    async def _send(
        self,
        stream: IOStream,
        delegate: _Delegate,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        headers = headers.copy()
        if "Host" not in headers:
            headers["Host"] = self._host_header
        if body or method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(body))
        connection = HTTP1Connection(stream, True, self._parameters)
        kept = False
        self._in_use += 1
        try:
            written = connection.write_headers(
                RequestStartLine(method, self._path + path, ""), headers, body or None
            )
            connection.finish()
            await connection.read_response(delegate)
            if written.done() and not written.cancelled():
                written.exception()
            if delegate.error is not None:
                raise delegate.error
            if not delegate.is_whole:
                raise AnswerLostError("the answer is malformed", received=delegate.received)
            if stream.error is not None:
                # An answer without a length ends with its connection; a reset cuts it.
                raise AnswerLostError(f"reset: {stream.error}", received=delegate.received)
            kept = delegate.keeps_open
        except (StreamClosedError, OSError, ValueError) as error:
            if delegate.error is not None:
                raise delegate.error from error
            raise AnswerLostError(_describe(error), received=delegate.received) from error
        finally:
            self._in_use -= 1
            if kept:
                self._keep(stream)
            else:
                stream.close()


def _describe(error: Exception) -> str:
    """Return an error's type and text; of a closed stream, also why it was closed."""
    cause = getattr(error, "real_error", None)
    text = f"{type(error).__name__}: {error}"
    return text if cause is None else f"{text} ({type(cause).__name__}: {cause})"


def _set_probes(connection: socket.socket) -> None:
    """Have the kernel close a connection whose other end no longer answers."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)


def _has_surplus(stream: IOStream) -> bool:
    """Return whether an idle connection holds bytes that belong to no request."""
    return bool(stream._read_buffer_size)
