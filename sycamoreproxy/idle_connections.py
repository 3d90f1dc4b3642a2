"""Connections of callers that wait for a request, and the idle limit that closes them."""

from __future__ import annotations

import asyncio
import select
from collections import Counter
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream

from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import CLOSED_CALLER_CONNECTIONS

#: Time that a stop leaves a connection to wait for a request, since it was opened or last used, in
#: seconds. A request follows so soon on a connection that was opened for it, and covers a round
#: trip between regions and a late event loop.
STOP_WAIT_S = 0.5

_log = get_logger("idle_connections")


@dataclass(slots=True)
class _IdleConnection:
    """A connection that waits for the head of a request.

    :param idle_until: end of the idle limit, on the clock of the event loop.
    :param head_due_at: time by which the head must be complete once part of it was seen at the end
        of the limit, or in a stop; None before that.
    :param is_stopping: whether the limit was shortened by a stop; then no other limit raises it.
    """

    connection: HTTP1Connection
    waiting_since: float
    idle_until: float
    timer: asyncio.TimerHandle
    head_due_at: float | None = None
    is_stopping: bool = False


class IdleConnections:
    """Closes connections that wait longer for a request than the idle limit.

    A connection may wait for the longest limit that was in force since its last request, because
    its caller may know any of them. It is not closed while a request is arriving: its bytes may have
    been received before the event loop gets to the end of the limit.

    :param limit_s: idle limit, in seconds.
    :param header_timeout_s: time to receive a head that has begun to arrive, in seconds.
    """

    def __init__(self, *, limit_s: float, header_timeout_s: float) -> None:
        self._limit_s = limit_s
        self._header_timeout_s = header_timeout_s
        self._by_server_conn: dict[object, _IdleConnection] = {}
        #: Number of connections closed so far.
        self.closed_by_reason: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._by_server_conn)

    def set_limits(self, *, limit_s: float, header_timeout_s: float) -> None:
        """Change the limits; connections that wait already are not closed sooner than before."""
        self._limit_s = limit_s
        self._header_timeout_s = header_timeout_s
        for idle in self._by_server_conn.values():
            if idle.is_stopping:
                continue
            idle.idle_until = max(idle.idle_until, idle.waiting_since + limit_s)

    def add(self, server_conn: object, connection: HTTP1Connection) -> None:
        """Add a connection that begins to wait for a request.

        :param server_conn: Tornado's server connection.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        idle_until = now + self._limit_s
        timer = loop.call_at(idle_until, self._end_limit, server_conn)
        self._by_server_conn[server_conn] = _IdleConnection(connection, now, idle_until, timer)

    def remove(self, server_conn: object) -> None:
        """Remove a connection that is closed or whose request is processed."""
        idle = self._by_server_conn.pop(server_conn, None)
        if idle is not None:
            idle.timer.cancel()

    def close_unused(self) -> None:
        """Close the connections on which no request is arriving, as in :meth:`close_if_unused`."""
        for server_conn in list(self._by_server_conn):
            self.close_if_unused(server_conn)

    def close_if_unused(self, server_conn: object) -> None:
        """Close a connection for a stop if no request is arriving.

        If it has waited for less than ``STOP_WAIT_S``, it is closed at the end of that time.
        """
        idle = self._by_server_conn.get(server_conn)
        if idle is None or idle.head_due_at is not None or idle.is_stopping:
            return
        idle.is_stopping = True
        idle.idle_until = min(idle.idle_until, idle.waiting_since + STOP_WAIT_S)
        self._end_limit(server_conn)

    def close_all(self) -> None:
        """Close all connections at the end of a stop, whether or not a request is arriving."""
        for server_conn, idle in list(self._by_server_conn.items()):
            if idle.connection.stream.closed():
                self.remove(server_conn)
            else:
                reason = "stop" if idle.head_due_at is None else "incomplete head"
                self._close(server_conn, idle, reason)

    def _end_limit(self, server_conn: object) -> None:
        idle = self._by_server_conn[server_conn]
        if idle.connection.stream.closed():
            self.remove(server_conn)
        elif idle.head_due_at is not None:
            if not has_head(idle.connection.stream):
                self._close(server_conn, idle, "incomplete head")
        elif asyncio.get_running_loop().time() < idle.idle_until:
            self._schedule(server_conn, idle, idle.idle_until)
        elif self._await_head(server_conn, idle):
            if not idle.is_stopping:
                _log.info(
                    "request arrives at the end of the idle limit",
                    has_head=has_head(idle.connection.stream),
                )
        else:
            self._close(server_conn, idle, "stop" if idle.is_stopping else "idle")

    def _await_head(self, server_conn: object, idle: _IdleConnection) -> bool:
        """Limit the time for a head that is arriving; return False if none is."""
        if not is_request_arriving(idle.connection.stream):
            return False
        idle.head_due_at = asyncio.get_running_loop().time() + self._header_timeout_s
        self._schedule(server_conn, idle, idle.head_due_at)
        return True

    def _schedule(self, server_conn: object, idle: _IdleConnection, at: float) -> None:
        idle.timer.cancel()
        idle.timer = asyncio.get_running_loop().call_at(at, self._end_limit, server_conn)

    def _close(self, server_conn: object, idle: _IdleConnection, reason: str) -> None:
        self.remove(server_conn)
        self.closed_by_reason[reason] += 1
        CLOSED_CALLER_CONNECTIONS.inc({"reason": reason})
        idle.connection.close()


def has_head(stream: IOStream) -> bool:
    """Return whether the awaited head is complete and only its processing is outstanding."""
    return not stream.closed() and not stream.reading()


def is_request_arriving(stream: IOStream) -> bool:
    """Return whether any bytes of the awaited head were received, or the peer has closed."""
    if stream.closed():
        return False
    if has_head(stream) or stream._read_buffer_size:
        return True
    poll = select.poll()
    poll.register(stream.socket, select.POLLIN)
    return bool(poll.poll(0))
