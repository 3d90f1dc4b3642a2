"""HTTP surface for callers: the OpenAI paths, services, and every refusal with its code."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import ssl
import time
from collections.abc import Callable, Sequence
from email.utils import formatdate
from http.client import responses
from typing import Any, Protocol

from returns.result import Result, Success
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, SSLIOStream, StreamBufferFullError, StreamClosedError

from sycamoreproxy import result_codes as codes
from sycamoreproxy.accept_queue import stop_listening
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.connection_limits import LimitedConnection, make_connection_limits
from sycamoreproxy.dispatch import CallerRequest, PolicyView, Response
from sycamoreproxy.held_bytes import MAX_BUFFERED_BYTES, BufferBudget
from sycamoreproxy.idle_connections import STOP_WAIT_S, has_head, is_request_arriving
from sycamoreproxy.limited_http import LimitedHTTPServer, refuse_stream
from sycamoreproxy.logs import get_logger
from sycamoreproxy.machine_limits import MachineLimits, read_machine_limits
from sycamoreproxy.membership import Membership
from sycamoreproxy.messages import HeaderPairs
from sycamoreproxy.metrics import REFUSALS, REQUESTS
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.settings import RANKS, CallerLimits, ClientAccountSettings
from sycamoreproxy.settings_reader import MachineSettings
from sycamoreproxy.streams import Address

#: RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
#: Methods that reach a service.
SERVICE_METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
#: Longest idempotency key, in characters.
MAX_IDEMPOTENCY_KEY = 255
#: Longest deadline that a caller may name, in milliseconds.
MAX_DEADLINE_MS = 86_400_000
#: Output tokens assumed where the request names no maximum.
DEFAULT_OUTPUT_TOKENS = 256
#: Characters of text per token, for estimates before the engine has counted.
CHARACTERS_PER_TOKEN = 4
#: Characters of the prompt that name its prefix for the engines' caches.
PREFIX_CHARACTERS = 1_024
#: Bytes that may wait for a caller that reads slowly before its connection is closed.
MAX_UNREAD_BYTES = 4 * 1024 * 1024

#: An idle connection is closed after this time, in seconds; balancers keep connections for 60 s.
KEEP_ALIVE_S = 75.0
#: Longest wait at a stop for callers that have not read their answers, and its steps, in seconds.
FLUSH_LIMIT_S = 30.0
POLL_S = 0.02

#: Headers that end at this host (RFC 9110, section 7.6.1) or that this host sets.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-rank",
    }
)
_MODEL_PATHS = {"/v1/chat/completions": "messages", "/v1/completions": "prompt"}
_log = get_logger("caller_http")


class _Refused(Exception):  # noqa: N818 - carries a refusal out of nested checks
    """The request is refused before it is dispatched."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code.name)
        self.refusal = refusal


def _refused(code: codes.ResultCode, detail: str = "") -> _Refused:
    return _Refused(Refusal(code, Executed.NO, detail))


class Dispatching(Protocol):
    """What this module needs of ``dispatch.Dispatcher``."""

    async def dispatch(self, request: CallerRequest) -> Result[Response, Refusal]:
        """Return the whole answer of a request, or why there is none."""

    async def wait_idle(self) -> None:
        """Wait until nothing is left that outlives its caller."""


class Accounts:
    """Client accounts by their bearer keys.

    :param accounts: the settings of all client accounts.
    """

    def __init__(self, accounts: Sequence[ClientAccountSettings]) -> None:
        self._accounts_by_digest = [
            (bytes.fromhex(digest), account)
            for account in accounts
            for digest in account.key_sha256
        ]

    def find(self, key: str) -> ClientAccountSettings | None:
        """Return the account of a key; every digest is compared in constant time."""
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
        found = None
        for known, account in self._accounts_by_digest:
            if hmac.compare_digest(known, digest):
                found = account
        return found


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts the callers' requests.

    :param dispatcher: takes each request on.
    :param membership: names the services that exist.
    :param get_view: returns the table view in force.
    :param accounts: client accounts and their keys.
    :param limits: bounds on what a caller may send.
    :param tls: server context; None for plain HTTP.
    :param machine: resources of the machine; None for those of the operating system.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatching,
        membership: Membership,
        get_view: Callable[[], PolicyView],
        accounts: Sequence[ClientAccountSettings],
        limits: CallerLimits,
        tls: ssl.SSLContext | None,
        machine: MachineLimits | None = None,
    ) -> None:
        machine = machine or read_machine_limits(MachineSettings())
        self.connection_limits = make_connection_limits(
            machine,
            max_connections=min(limits.max_connections, machine.caller_connections),
            clock=SystemClock(),
        )
        self.connection_limits.set_max_body(limits.max_body_bytes)
        self.connection_limits.set_allowances(head_s=limits.receive_timeout_s, idle_s=KEEP_ALIVE_S)
        #: Parts of responses that wait for slow readers while their requests are in progress.
        self.unread_budget = BufferBudget()
        self.unread_budget.max_bytes = min(MAX_BUFFERED_BYTES, machine.response_bytes)
        self.dispatcher = dispatcher
        self.membership = membership
        self.get_view = get_view
        self.accounts = Accounts(accounts)
        self.limits = limits
        self.is_leaving = False
        self.tasks: set[asyncio.Task[None]] = set()
        #: Requests that are accepted and not yet received whole.
        self.receiving: set[HTTPMessageDelegate] = set()
        #: Requests that are refused and not yet received whole.
        self.refused: set[HTTPMessageDelegate] = set()
        self._used_connections: set[object] = set()
        self._server = _BoundedServer(
            self,
            ssl_options=tls,
            # Bodies are bounded by _Exchange, which can still answer with a code.
            max_body_size=1 << 40,
            max_buffer_size=max(4 * limits.max_header_bytes, 1 << 18),
            max_header_size=4 * limits.max_header_bytes,
        )
        # _Exchange limits the time for a head; Tornado's timer would drop one that has been read.
        self._server.conn_params.header_timeout = None
        self._server.limits = self.connection_limits

    @property
    def held_bytes(self) -> int:
        """Bytes of request bodies held for all callers."""
        return self.connection_limits.body_bytes

    def listen(self, address: Address) -> int:
        """Bind the listener and return its port (useful where the address names port 0)."""
        from tornado.netutil import bind_sockets

        sockets = bind_sockets(address.port, address.ip)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request on a connection."""
        is_first = server_conn not in self._used_connections
        self._used_connections.add(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        limited = self._server.find_connection(server_conn.stream)
        self.connection_limits.wait(limited)
        return _Exchange(server=self, connection=request_conn, limited=limited, is_first=is_first)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self._used_connections.discard(server_conn)

    def leave(self) -> None:
        """Refuse new requests; those in progress go on."""
        self.is_leaving = True

    async def wait_idle(self) -> None:
        """Wait until every request in progress is answered and its caller has the answer."""
        while self.tasks or self.receiving:
            if self.tasks:
                await asyncio.wait(self.tasks)
            else:
                await asyncio.sleep(POLL_S)
        await self.dispatcher.wait_idle()
        give_up_at = time.monotonic() + FLUSH_LIMIT_S
        while (unread := self._server.count_unread()) and time.monotonic() < give_up_at:
            await asyncio.sleep(POLL_S)
        if unread:
            _log.warning(
                "responses not read at the end of a stop",
                connections=unread,
                waited_s=FLUSH_LIMIT_S,
            )

    async def refuse_late_requests(self) -> None:
        """Close the listener, and refuse the requests that arrive on open connections for a moment.

        They may have been sent before the close, or right after a response that began before the
        process was leaving. A caller that still sends a refused request gets its time to do so,
        because it may read the refusal only after that, and a close would reset its connection.
        """
        stop_listening(self._server)
        closes_idle_at = time.monotonic() + STOP_WAIT_S
        give_up_at = closes_idle_at + self.limits.receive_timeout_s
        while self._server.has_connections and time.monotonic() < (
            give_up_at if self.refused else closes_idle_at
        ):
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """Stop listening, cancel what is in progress and close every connection."""
        self._server.stop()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self._server.close_all_connections()


class _BoundedServer(LimitedHTTPServer):
    """Bounds what waits for slow readers."""

    request_callback: CallerServer

    def count_unread(self) -> int:
        """Return the number of connections with data that their callers have not read."""
        return sum(connection.stream.writing() for connection in self._connections)

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or refuse it at a limit."""
        stream.max_write_buffer_size = MAX_UNREAD_BYTES
        super().handle_stream(stream, address)


class _Exchange(HTTPMessageDelegate):
    """One request and its answer; the :class:`dispatch.ResponseWriter` of its request."""

    def __init__(
        self,
        *,
        server: CallerServer,
        connection: HTTPConnection,
        limited: LimitedConnection,
        is_first: bool,
    ) -> None:
        assert isinstance(connection, HTTP1Connection)
        self._server = server
        self._connection = connection
        self._stream = connection.stream
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._limits = server.connection_limits
        self._limited = limited
        self._number = limited.request_number
        self._unread_bytes = 0
        self._timer = asyncio.get_running_loop().call_later(
            server.limits.receive_timeout_s if is_first else KEEP_ALIVE_S,
            self._end_slow_head if is_first else self._end_idle,
        )
        self._task: asyncio.Task[None] | None = None
        self._is_first = is_first
        self._account: ClientAccountSettings | None = None
        self._is_refused = False
        self._is_last = False
        self.is_started = False
        self._is_event_stream = False
        self._is_chunked = False
        self._is_plain = not isinstance(self._stream, SSLIOStream)
        self._has_body = True

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Check what can be checked before the body arrives."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        limits = self._server.limits
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            limits.receive_timeout_s, self._end_slow_sender
        )
        self._limits.receive(self._limited)
        size = len(start_line.path) + sum(
            len(name) + len(value) + 4 for name, value in headers.get_all()
        )
        length = headers.get("Content-Length", "0")
        try:
            if size > limits.max_header_bytes:
                raise _refused(codes.HEADERS_TOO_LARGE, f"Limit {limits.max_header_bytes} bytes.")
            if length.isdecimal() and int(length) > limits.max_body_bytes:
                raise _refused(codes.BODY_TOO_LARGE, f"Limit {limits.max_body_bytes} bytes.")
            if self._server.is_leaving:
                raise _Refused(Refusal(codes.LEAVING, Executed.NO, "", 1000))
            self._account = self._find_account()
            self._server.receiving.add(self)
        except _Refused as error:
            self._refuse_early(error.refusal)

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, within the limit."""
        self._body_bytes += len(chunk)
        if self._stream.closed():
            # It was read before a limit ended the connection.
            return
        if self._is_refused:
            # The rest is read for a while so that the caller sees the refusal, not a reset.
            self._limits.discard(self._limited, len(chunk))
            if self._body_bytes > 4 * self._server.limits.max_body_bytes:
                self._stream.close()
        elif self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse_early(
                Refusal(
                    codes.BODY_TOO_LARGE,
                    Executed.NO,
                    f"Limit {self._server.limits.max_body_bytes} bytes.",
                )
            )
        elif self._limits.hold(self._limited, len(chunk)):
            self._body.append(chunk)
        else:
            self._refuse_early(Refusal(codes.BODIES_TOO_LARGE, Executed.NO, "", 1000))

    def finish(self) -> None:
        """Take the whole request on."""
        self._timer.cancel()
        self._server.receiving.discard(self)
        self._server.refused.discard(self)
        if self._is_refused:
            self._finish_and_close()
            return
        if self._stream.closed():
            self._release_body()
            return
        self._limits.serve(self._limited)
        # Once the body is read, tornado reports a closed connection only by this callback.
        self._connection.set_close_callback(self.on_connection_close)
        task = asyncio.get_running_loop().create_task(self._answer())
        self._task = task
        self._server.tasks.add(task)
        task.add_done_callback(self._server.tasks.discard)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that is gone."""
        self._timer.cancel()
        self._server.receiving.discard(self)
        self._server.refused.discard(self)
        self._release_body()
        if self._task is not None:
            self._task.cancel()

    def start(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Send the head of an answer that is passed on in parts."""
        self.is_started = True
        fields = _make_headers(headers, version)
        self._is_event_stream = fields.get("Content-Type", "").startswith("text/event-stream")
        line = self._start_line
        self._has_body = line.method != "HEAD" and status not in (204, 304)
        self._is_chunked = line.version == "HTTP/1.1"
        # Without chunks only the end of the connection tells the end of the body.
        self._is_last = not self._is_chunked
        self._write_head(status, fields, None)

    def write(self, data: bytes) -> None:
        """Send a part of the body.

        Each token passes here. While nothing waits for the socket the chunk goes to it directly,
        because the buffer and futures of ``IOStream.write`` cost more than the system call.
        """
        if not data or not self._has_body:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        stream = self._stream
        try:
            if self._is_plain and not stream.writing() and not stream.closed():
                sent = stream.socket.send(data)
                if sent == len(data):
                    return
                data = data[sent:]
        except BlockingIOError:
            pass
        except OSError:
            stream.close()
            return
        try:
            stream.write(data)
            unread_bytes = len(stream._write_buffer or ())
            if not self._server.unread_budget.resize(self._unread_bytes, unread_bytes):
                raise StreamBufferFullError
            self._unread_bytes = unread_bytes
        except StreamBufferFullError:
            self._close_slow_reader()
        except StreamClosedError:
            pass

    async def _answer(self) -> None:
        kind, rank, number = "", "", 0
        try:
            try:
                request = self._read_request()
                if request is None:
                    self._send_json(200, self._list_models())
                    return
                kind, rank = request.kind, request.rank
                result = await self._server.dispatcher.dispatch(request)
            except _Refused as error:
                refusal = error.refusal
            except Exception:
                _log.exception("request failed", path=self._start_line.path.partition("?")[0])
                refusal = Refusal(codes.INTERNAL, Executed.UNKNOWN)
            else:
                if isinstance(result, Success):
                    self._send_answer(result.unwrap())
                    return
                refusal = result.failure()
            number = refusal.code.number
            self._send_refusal(refusal)
        except StreamClosedError:
            number = codes.CALLER_GONE.number
            self._stream.close()
        except StreamBufferFullError:
            number = codes.CALLER_GONE.number
            self._close_slow_reader()
        except asyncio.CancelledError:
            number = codes.CALLER_GONE.number
            raise
        finally:
            self._release_body()
            self._limit_unread_response()
            REQUESTS.inc({"kind": kind, "rank": rank, "code": str(number)})

    def _close_slow_reader(self) -> None:
        """Cut a response of which the caller has left too much unread."""
        path = self._start_line.path.partition("?")[0]
        _log.warning("response cut, caller reads too slowly", path=path, unread=MAX_UNREAD_BYTES)
        self._stream.close()

    def _release_body(self) -> None:
        if self._limited.request_number == self._number:
            self._limits.release(self._limited)
        self._body.clear()

    def _limit_unread_response(self) -> None:
        """Let the limits decide how long the caller may leave the complete response unread."""
        self._server.unread_budget.resize(self._unread_bytes, 0)
        self._unread_bytes = 0
        if self._limited.request_number == self._number and not self._stream.closed():
            self._limits.respond(self._limited, len(self._stream._write_buffer or ()))

    def _find_account(self) -> ClientAccountSettings:
        scheme, _, key = self._headers.get("Authorization", "").partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not key:
            raise _refused(codes.MISSING_KEY)
        account = self._server.accounts.find(key)
        if account is None:
            raise _refused(codes.UNKNOWN_KEY)
        return account

    def _read_request(self) -> CallerRequest | None:
        """Return the request, or None for the list of models.

        :raises _Refused: names what is wrong with it.
        """
        method = self._start_line.method
        path, _, query = self._start_line.path.partition("?")
        if path in _MODEL_PATHS:
            if method != "POST":
                raise _refused(codes.METHOD_NOT_ALLOWED, "Allowed: POST.")
            return self._read_model_request(path)
        if path.startswith("/services/"):
            return self._read_service_request(path, query)
        if path == "/v1/models":
            if method != "GET":
                raise _refused(codes.METHOD_NOT_ALLOWED, "Allowed: GET.")
            return None
        raise _refused(codes.UNKNOWN_PATH)

    def _read_model_request(self, path: str) -> CallerRequest:
        body = b"".join(self._body)
        try:
            data = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise _refused(codes.MALFORMED_BODY) from error
        if not isinstance(data, dict):
            raise _refused(codes.INVALID_FIELD, "The body must be an object.")
        model = data.get("model")
        if not isinstance(model, str) or not model:
            raise _refused(codes.INVALID_FIELD, "model must be a string.")
        stream = data.get("stream")
        if stream is not None and not isinstance(stream, bool):
            raise _refused(codes.INVALID_FIELD, "stream must be true or false.")
        prompt = _read_prompt(data, _MODEL_PATHS[path])
        output_tokens = DEFAULT_OUTPUT_TOKENS
        for name in ("max_tokens", "max_completion_tokens"):
            value = data.get(name)
            if value is None:
                continue
            if not isinstance(value, int) or isinstance(value, bool) or value < 1:
                raise _refused(codes.INVALID_FIELD, f"{name} must be a positive integer.")
            output_tokens = min(value, 1_000_000)
        membership = self._server.membership
        if (
            not membership.upstreams("engine", model)
            and model not in self._server.get_view().models()
        ):
            if not membership.has_host_list:
                raise _Refused(Refusal(codes.NO_UPSTREAM, Executed.NO, "", 1000))
            raise _refused(codes.UNKNOWN_MODEL)
        return CallerRequest(
            kind="engine",
            name=model,
            client_account=self._get_account().name,
            rank=self._read_rank(),
            method="POST",
            path=path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            # Generation changes nothing outside the engine, so a repeat is harmless.
            idempotent=True,
            deadline_ms=self._read_deadline(),
            prefix_key=hashlib.blake2b(
                f"{model}\n{prompt[:PREFIX_CHARACTERS]}".encode("utf-8", "surrogatepass"),
                digest_size=8,
            ).hexdigest(),
            estimated_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1 + output_tokens,
            stream=bool(stream),
            writer=self,
        )

    def _read_service_request(self, path: str, query: str) -> CallerRequest:
        method = self._start_line.method
        if method not in SERVICE_METHODS:
            raise _refused(codes.METHOD_NOT_ALLOWED)
        name, _, rest = path.removeprefix("/services/").partition("/")
        membership = self._server.membership
        if not membership.upstreams("service", name):
            if not membership.has_host_list:
                raise _Refused(Refusal(codes.NO_UPSTREAM, Executed.NO, "", 1000))
            raise _refused(codes.UNKNOWN_SERVICE)
        key = self._headers.get("Idempotency-Key")
        if key is not None:
            key = key.strip()
            if not 1 <= len(key) <= MAX_IDEMPOTENCY_KEY:
                raise _refused(codes.INVALID_IDEMPOTENCY_KEY)
        return CallerRequest(
            kind="service",
            name=name,
            client_account=self._get_account().name,
            rank=self._read_rank(),
            method=method,
            path=f"/{rest}?{query}" if query else f"/{rest}",
            headers=_filter_headers(self._headers),
            body=b"".join(self._body),
            idempotent=method in IDEMPOTENT_METHODS,
            deadline_ms=self._read_deadline(),
            idempotency_key=key or "",
            writer=self,
        )

    def _get_account(self) -> ClientAccountSettings:
        assert self._account is not None
        return self._account

    def _read_rank(self) -> str:
        account = self._get_account()
        rank = self._headers.get("X-Rank")
        if rank is None:
            return account.ranks[0]
        if rank not in RANKS:
            raise _refused(codes.UNKNOWN_RANK, f"Known: {', '.join(RANKS)}.")
        if rank not in account.ranks:
            raise _refused(codes.RANK_NOT_ALLOWED, f"Allowed: {', '.join(account.ranks)}.")
        return rank

    def _read_deadline(self) -> int:
        text = self._headers.get("X-Deadline-Ms")
        if text is None:
            return 0
        if not text.isascii() or not text.isdecimal() or not 1 <= len(text) <= 12 or int(text) < 1:
            raise _refused(codes.INVALID_DEADLINE)
        return min(int(text), MAX_DEADLINE_MS)

    def _list_models(self) -> dict[str, object]:
        names = {*self._server.get_view().models(), *self._server.membership.list_names("engine")}
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "sycamoreproxy"}
            for name in sorted(names)
        ]
        return {"object": "list", "data": models}

    def _send_answer(self, answer: Response) -> None:
        if self.is_started:
            if answer.body:
                self.write(answer.body)
            self._finish()
            return
        fields = _make_headers(answer.headers, answer.version)
        has_body = answer.status not in (204, 304) and self._start_line.method != "HEAD"
        if has_body:
            fields["Content-Length"] = str(len(answer.body))
        self._write_head(answer.status, fields, answer.body if has_body else None)
        self._finish()

    def _send_refusal(self, refusal: Refusal) -> None:
        REFUSALS.inc({"code": str(refusal.code.number), "executed": str(refusal.executed)})
        if not self.is_started:
            self._send_json(refusal.code.http_status, refusal.as_body(), refusal)
        elif self._is_event_stream:
            # Without [DONE], so that no client takes the stream for a whole answer.
            self.write(b"data: %b\n\n" % json.dumps(refusal.as_body()).encode())
            self._finish()
        else:
            # A chunked body without its last chunk is recognised as cut by every client.
            self._stream.close()

    def _send_json(self, status: int, value: object, refusal: Refusal | None = None) -> None:
        self._write_json(status, value, refusal)
        self._finish()

    def _write_json(
        self, status: int, value: object, refusal: Refusal | None = None, *, close: bool = False
    ) -> None:
        body = json.dumps(value).encode()
        fields = HTTPHeaders()
        fields["Content-Type"] = "application/json"
        fields["Content-Length"] = str(len(body))
        if refusal is not None and (refusal.retry_after_ms or refusal.code.retry_helps):
            fields["Retry-After"] = str(self._choose_retry_after_s(refusal))
        if refusal is not None and refusal.code.http_status == 401:
            fields["WWW-Authenticate"] = "Bearer"
        if close:
            fields["Connection"] = "close"
        self._write_head(status, fields, body)

    def _choose_retry_after_s(self, refusal: Refusal) -> int:
        """Return the time after which the caller should repeat a refused request, in seconds."""
        if refusal.code is codes.LEAVING and self._server.is_leaving and not self._is_first:
            # The connection was opened before the stop, so a new one goes to another host. A
            # connection that is opened in the stop shows that the balancer still sends here.
            return 0
        return max(1, -(-refusal.retry_after_ms // 1000))

    def _write_head(self, status: int, fields: HTTPHeaders, body: bytes | None) -> None:
        fields["Date"] = _format_date()
        if self._server.is_leaving:
            self._is_last = True
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        future = self._connection.write_headers(line, fields, body)
        future.add_done_callback(_ignore_result)

    def _refuse_early(self, refusal: Refusal) -> None:
        """Answer before the whole request arrived; the connection ends with this answer."""
        self._is_refused = True
        self.is_started = True
        self._server.receiving.discard(self)
        self._server.refused.add(self)
        self._release_body()
        self._limits.refuse(self._limited)
        REFUSALS.inc({"code": str(refusal.code.number), "executed": str(refusal.executed)})
        try:
            self._write_json(refusal.code.http_status, refusal.as_body(), refusal, close=True)
            if self._headers.get("Expect"):
                # The caller waits for the answer before it sends the body.
                self._finish_and_close()
        except (StreamClosedError, StreamBufferFullError):
            self._stream.close()

    def _finish(self) -> None:
        """End the answer; the connection too, if its head says so."""
        if self._is_last:
            self._finish_and_close()
        else:
            self._connection.finish()

    def _finish_and_close(self) -> None:
        stream = self._stream
        self._connection.finish()
        if not stream.closed():
            stream.write(b"").add_done_callback(lambda future: _close_after(future, stream))

    def _end_idle(self) -> None:
        """Close a connection that is kept, unless a request is arriving on it."""
        if is_request_arriving(self._stream):
            self._timer = asyncio.get_running_loop().call_later(
                self._server.limits.receive_timeout_s, self._end_slow_head
            )
        else:
            self._stream.close()

    def _end_slow_head(self) -> None:
        if not self._stream.closed() and not has_head(self._stream):
            refuse_stream(self._stream, Refusal(codes.SLOW_SENDER, Executed.NO))

    def _end_slow_sender(self) -> None:
        if not self._is_refused:
            self._refuse_early(Refusal(codes.SLOW_SENDER, Executed.NO))
            self._finish_and_close()
        else:
            self._stream.close()


def _read_prompt(data: dict[str, Any], field: str) -> str:
    """Return the text of a prompt, roles included.

    :raises _Refused: if the field is missing or has another type than the API allows.
    """
    value = data.get(field)
    if field == "prompt":
        if isinstance(value, str):
            return value
        if isinstance(value, list) and value:
            return json.dumps(value)
        raise _refused(codes.INVALID_FIELD, "prompt must be a string or an array.")
    if not isinstance(value, list) or not value:
        raise _refused(codes.INVALID_FIELD, "messages must be an array that is not empty.")
    parts = []
    for item in value:
        if not isinstance(item, dict) or not isinstance(item.get("role"), str):
            raise _refused(codes.INVALID_FIELD, "Each message must be an object with a role.")
        content = item.get("content")
        if content is not None and not isinstance(content, str | list):
            raise _refused(codes.INVALID_FIELD, "content must be a string or an array.")
        text = content if isinstance(content, str) else json.dumps(content)
        parts.append(f"{item['role']}\n{text}\n")
    return "".join(parts)


def _filter_headers(headers: HTTPHeaders) -> HeaderPairs:
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _DROPPED_HEADERS and name.lower() not in named
    )


def _make_headers(headers: HeaderPairs, version: str) -> HTTPHeaders:
    fields = HTTPHeaders()
    for name, value in headers:
        if name.lower() in _DROPPED_HEADERS:
            continue
        try:
            value.encode("latin-1")
            fields.add(name, value)
        except (HTTPInputError, ValueError):
            _log.warning("invalid answer header dropped", name=name)
    if version:
        fields["X-Model-Version"] = version
    return fields


_date: tuple[int, str] = (0, "")


def _format_date() -> str:
    """Return the date header of this second."""
    global _date
    now = int(time.time())
    if _date[0] != now:
        _date = (now, formatdate(now, usegmt=True))
    return _date[1]


def _ignore_result(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


def _close_after(future: asyncio.Future[None], stream: IOStream) -> None:
    _ignore_result(future)
    stream.close()
