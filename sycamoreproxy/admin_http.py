"""Administration API, health, metrics and dump over HTTP, on a listener of their own."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import ssl
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import tornado.web
from returns.result import Result, Success

from sycamoreproxy.admin_commands import TableCommands
from sycamoreproxy.admin_queries import DumpQuery, TableQueries, refuse, to_json
from sycamoreproxy.logs import get_logger
from sycamoreproxy.machine_limits import MachineLimits, read_machine_limits
from sycamoreproxy.metrics import render_metrics
from sycamoreproxy.port_limits import PortHTTPServer
from sycamoreproxy.result_codes import (
    INTERNAL,
    INVALID_FIELD,
    MALFORMED_BODY,
    METHOD_NOT_ALLOWED,
    MISSING_KEY,
    UNKNOWN_OPERATOR,
    UNKNOWN_PATH,
    Executed,
    Refusal,
)
from sycamoreproxy.settings import OperatorSettings
from sycamoreproxy.settings_reader import MachineSettings
from sycamoreproxy.streams import Address

#: Largest request: 5,000 edits of at most 400 bytes.
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
#: Longest time to receive one request body, and idle time of a kept connection, in seconds.
BODY_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 60.0
#: Connections on the smallest machine.
MIN_CONNECTIONS = 4
#: Longest wait for requests in progress at a stop, above the limit of one commit, in seconds.
CLOSE_TIMEOUT_S = 20.0

_log = get_logger("admin_http")


class OperatorBook:
    """Finds the operator of a bearer token.

    :param operators: names and the hex sha256 digests of their tokens.
    """

    def __init__(self, *, operators: Iterable[OperatorSettings]) -> None:
        self._digests = [
            (digest.lower().encode(), operator.name)
            for operator in operators
            for digest in operator.token_sha256
        ]

    def find(self, token: str) -> str | None:
        """Return the operator's name, or None; every digest is compared in constant time."""
        given = hashlib.sha256(token.encode()).hexdigest().encode()
        found = None
        for digest, name in self._digests:
            if hmac.compare_digest(digest, given):
                found = name
        return found


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminParts:
    """What the administration API serves.

    :param readiness: returns why the process takes no work, empty if it does.
    """

    operators: OperatorBook
    queries: TableQueries
    commands: TableCommands
    dump: DumpQuery
    readiness: Callable[[], str]


class _AdminHandler(tornado.web.RequestHandler):
    """Shared answers; a handler that needs a token reads :attr:`operator`."""

    needs_operator = True

    def initialize(self, parts: AdminParts) -> None:
        self.parts = parts
        self.operator = ""
        self.settings["active_handlers"].add(self)

    def on_finish(self) -> None:
        self.settings["active_handlers"].discard(self)

    def on_connection_close(self) -> None:
        self.settings["active_handlers"].discard(self)

    def prepare(self) -> None:
        if not self.needs_operator or self.request.method not in self.SUPPORTED_METHODS:
            return
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            self.write_refusal(refuse(MISSING_KEY))
            return
        operator = self.parts.operators.find(token.strip())
        if operator is None:
            self.write_refusal(refuse(UNKNOWN_OPERATOR))
            return
        self.operator = operator

    def write_json(self, value: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json; charset=utf-8")
        self.set_header("Cache-Control", "no-store")
        self.finish(json.dumps(value, ensure_ascii=False))

    def write_refusal(self, refusal: Refusal, **extra: Any) -> None:
        if refusal.retry_after_ms:
            self.set_header("Retry-After", str(-(-refusal.retry_after_ms // 1000)))
        if refusal.code.http_status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.write_json({**refusal.as_body(), **extra}, refusal.code.http_status)

    def write_result(self, result: Result[dict[str, Any], Refusal]) -> None:
        if isinstance(result, Success):
            self.write_json(result.unwrap())
        else:
            self.write_refusal(result.failure())

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        if status_code == 405:
            self.write_refusal(refuse(METHOD_NOT_ALLOWED))
        elif status_code == 404:
            self.write_refusal(refuse(UNKNOWN_PATH))
        elif status_code < 500:
            self.write_refusal(refuse(INVALID_FIELD))
        else:
            _log.error("administration request failed", path=self.request.path, error=repr(error))
            # Only a GET certainly changed nothing.
            executed = Executed.NO if self.request.method == "GET" else Executed.UNKNOWN
            self.write_refusal(Refusal(INTERNAL, executed))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Leave errors to :meth:`write_error`."""

    def read_integer(self, name: str, default: int) -> int | None:
        """Return a query argument, or None after an answer that refuses it."""
        text = self.get_query_argument(name, str(default))
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            self.write_refusal(refuse(INVALID_FIELD, f"{name} must be a whole number."))
            return None
        return int(text)


class _OpenHandler(_AdminHandler):
    needs_operator = False


class NotFoundHandler(_OpenHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Refuse every method."""
        self.write_refusal(refuse(UNKNOWN_PATH))


class LiveHandler(_OpenHandler):
    """``GET /health/live``: the event loop runs."""

    def get(self) -> None:
        """Answer 200."""
        self.write_json({"live": True})


class ReadyHandler(_OpenHandler):
    """``GET /health/ready``: whether new work is taken."""

    def get(self) -> None:
        """Answer 200, or 503 with the reason."""
        reason = self.parts.readiness()
        self.write_json({"ready": not reason, "reason": reason}, 503 if reason else 200)


class MetricsHandler(_OpenHandler):
    """``GET /metrics`` in the Prometheus text format."""

    def get(self) -> None:
        """Answer with all metrics."""
        body, headers = render_metrics(self.request.headers.get("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class DumpHandler(_AdminHandler):
    """``GET /dump``: state of every part, without secrets."""

    def get(self) -> None:
        """Answer with all sections."""
        self.write_json(self.parts.dump.read())


class TableHandler(_AdminHandler):
    """``GET /v1/table?model=&client_account=&rank=&effective=1``."""

    def get(self) -> None:
        """Answer with the matching rows."""
        result = self.parts.queries.read_table(
            model=self.get_query_argument("model", ""),
            client_account=self.get_query_argument("client_account", ""),
            rank=self.get_query_argument("rank", ""),
            effective=self.get_query_argument("effective", "0") not in ("", "0", "false"),
        )
        self.write_result(result)


class HistoryHandler(_AdminHandler):
    """``GET /v1/table/history?limit=20``."""

    async def get(self) -> None:
        """Answer with the newest changes."""
        limit = self.read_integer("limit", 20)
        if limit is not None:
            self.write_result(await self.parts.queries.read_history(limit=limit))


class StatusHandler(_AdminHandler):
    """``GET /v1/table/status/REVISION``; ``latest`` is the revision in force here."""

    async def get(self, revision: str) -> None:
        """Answer with a census."""
        number = 0 if revision == "latest" else int(revision)
        self.write_result(await self.parts.queries.read_status(number))


class ChangeHandler(_AdminHandler):
    """``GET /v1/table/changes/ID``."""

    async def get(self, change_id: str) -> None:
        """Answer with the revision of an accepted change."""
        self.write_result(await self.parts.queries.find_change(change_id))


class EditsHandler(_AdminHandler):
    """``POST /v1/table/edits``."""

    async def post(self) -> None:
        """Commit the edits; answer with the revision, or the refusal and its conflicts."""
        try:
            body = json.loads(self.request.body)
        except (ValueError, RecursionError):
            self.write_refusal(refuse(MALFORMED_BODY))
            return
        result = await self.parts.commands.edit(body, operator=self.operator)
        if isinstance(result, Success):
            accepted = result.unwrap()
            _log.info(
                "table change accepted",
                revision=accepted.revision,
                change_id=accepted.change_id,
                operator=self.operator,
            )
            self.write_json({"revision": accepted.revision, "change_id": accepted.change_id})
            return
        failure = result.failure()
        _log.warning(
            "table change refused", code=failure.refusal.code.number, operator=self.operator
        )
        self.write_refusal(failure.refusal, conflicts=to_json(list(failure.conflicts)))


def make_admin_application(parts: AdminParts) -> tornado.web.Application:
    """Return the application of the administration listener."""
    arguments = {"parts": parts}
    return tornado.web.Application(
        [
            (r"/health/live", LiveHandler, arguments),
            (r"/health/ready", ReadyHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
            (r"/dump", DumpHandler, arguments),
            (r"/v1/table", TableHandler, arguments),
            (r"/v1/table/history", HistoryHandler, arguments),
            (r"/v1/table/status/([0-9]{1,15}|latest)", StatusHandler, arguments),
            (r"/v1/table/changes/([A-Za-z0-9._-]{1,128})", ChangeHandler, arguments),
            (r"/v1/table/edits", EditsHandler, arguments),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
        active_handlers=set(),
    )


class AdminServer:
    """Serves the administration API.

    :param application: from :func:`make_admin_application`.
    :param tls: server context; None for plain.
    :param machine: resources of the machine; None for those of the operating system.
    """

    def __init__(
        self,
        *,
        application: tornado.web.Application,
        tls: ssl.SSLContext | None,
        machine: MachineLimits | None = None,
    ) -> None:
        self._active_handlers: set[object] = application.settings["active_handlers"]
        machine = machine or read_machine_limits(MachineSettings())
        self._server = PortHTTPServer(
            application,
            ssl_options=tls,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        # Bodies are received before the operator's token is checked.
        self._server.max_connections = max(
            MIN_CONNECTIONS,
            min(machine.port_connections, machine.request_bytes // (2 * MAX_BODY_BYTES)),
        )
        self._server.port_name = "admin"

    def listen(self, address: Address) -> None:
        """Open the listener.

        :raises OSError: if the address is taken.
        """
        self._server.listen(address.port, address.ip)

    def add_socket(self, socket: Any) -> None:
        """Serve an open listening socket."""
        self._server.add_socket(socket)

    async def close(self) -> None:
        """Stop listening, complete the requests in progress, and close all connections."""
        self._server.stop()
        loop = asyncio.get_running_loop()
        end = loop.time() + CLOSE_TIMEOUT_S
        while self._active_handlers and loop.time() < end:
            await asyncio.sleep(0.02)
        await self._server.close_all_connections()
