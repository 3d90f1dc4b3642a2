"""Limits on the connections and the memory that the callers of a listener hold.

The load that this answers: many callers send most of a legal request, or nothing, and then stop
but stay connected. At a limit the connection that has made the least progress for longest is ended,
so that new callers are served. A connection whose request is in progress is never ended for room.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import Counter
from enum import StrEnum
from typing import Protocol

from sycamoreproxy.clock import Clock
from sycamoreproxy.held_bytes import RESERVED_BYTES, BufferBudget
from sycamoreproxy.logs import get_logger
from sycamoreproxy.machine_limits import MachineLimits
from sycamoreproxy.metrics import CALLER_BYTES, CALLER_CONNECTIONS, ENDED_CALLER_CONNECTIONS

#: Memory of one connection without its body, in bytes: 5 KB were measured for a body with a length
#: and 12 KB for a chunked one.
CONNECTION_BYTES = 12 * 1024
#: Each byte of a body counts this often: it is copied when the request is sent, and the copy stays
#: while the upstream reads slowly.
BODY_COPIES = 2
#: Part of the memory that bodies may use beyond what each may hold in any case
#: (``held_bytes.RESERVED_BYTES``), so that small requests are served while large uploads are in
#: progress.
LARGE_BODY_FRACTION = 0.75
#: Time without progress after which an upload is ended to make room for a large body, in seconds.
#: Before that the new body is refused, or uploads that share a full link would end each other.
STALLED_S = 1.0
#: Bytes per second that count as progress of an upload or of a response that is read. A slower
#: transfer falls behind by the time that it lacks. 4 MiB take 68 minutes at this rate, so it only
#: tells a stalled transfer from a slow one.
MIN_BYTES_PER_S = 1024
#: Time by which a transfer may fall behind that rate, in seconds. It covers two losses of a packet and
#: a pause of a mobile network.
GRACE_S = 10.0
#: Time that a refused request has to send the rest of its body, in seconds.
REFUSED_GRACE_S = 3.0
#: Longest search for a connection to end, so that a search at a limit stays cheap.
MAX_CANDIDATES = 64
#: Time between two sweeps, in seconds.
SWEEP_S = 0.5
#: Delay of a sweep, in seconds, from which on the process is taken to have stood still.
MAX_LATE_S = 0.25
#: Shortest time between two log lines about ended or refused connections, in seconds.
LOG_PERIOD_S = 5.0

_log = get_logger("connection_limits")


class Phase(StrEnum):
    """What a connection is doing."""

    NEW = "new"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    REFUSED = "refused"
    SERVED = "served"
    UNREAD = "unread"


class EndReason(StrEnum):
    """Why a connection is ended."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    SLOW = "slow"


class Holder(Protocol):
    """The listener's side of one connection."""

    def is_arriving(self) -> bool:
        """Return whether bytes of the next request were received."""

    def count_buffered(self) -> tuple[int, int]:
        """Return the bytes in the buffers of the connection: received, and not yet written."""

    def end(self, phase: Phase, reason: EndReason) -> None:
        """Refuse the request that is being received, if any, and close the connection."""


class LimitedConnection:
    """What one caller's connection holds; made by :meth:`ConnectionLimits.open`."""

    __slots__ = (
        "allowance_s",
        "body_bytes",
        "buffered_bytes",
        "entry",
        "holder",
        "is_open",
        "phase",
        "progress_at",
        "request_number",
        "unread_bytes",
    )

    def __init__(self, holder: Holder, *, now: float, allowance_s: float) -> None:
        self.holder = holder
        self.phase = Phase.NEW
        self.progress_at = now
        self.allowance_s = allowance_s
        self.body_bytes = 0
        #: Increases with each request of the connection.
        self.request_number = 0
        #: Bytes of the body and heads in the library's buffers, and of unread responses, as counted.
        self.buffered_bytes = 0
        self.unread_bytes = 0
        #: Number of its valid entry in the order of ending; 0 if it has none.
        self.entry = 0
        self.is_open = True

    @property
    def due_at(self) -> float:
        """Time at which the connection has used up what its phase allows without progress."""
        return self.progress_at + self.allowance_s


def make_connection_limits(
    machine: MachineLimits, *, max_connections: int, clock: Clock
) -> ConnectionLimits:
    """Return the limits for the callers of a process on this machine."""
    return ConnectionLimits(
        clock=clock,
        max_connections=max_connections,
        max_request_bytes=machine.request_bytes,
        max_response_bytes=machine.response_bytes,
    )


def _get_due_at(connection: LimitedConnection) -> float:
    return connection.due_at


class ConnectionLimits:
    """Decides which connections of a listener stay open.

    :param clock: time source.
    :param max_connections: connections that may be open at once.
    :param max_request_bytes: memory for connections and what they sent.
    :param max_response_bytes: memory for complete responses that callers have not read.
    :param head_allowance_s: time without progress that is granted to a request head.
    :param idle_allowance_s: the same for a connection that was used and waits.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_connections: int,
        max_request_bytes: int,
        max_response_bytes: int,
        head_allowance_s: float = 3.0,
        idle_allowance_s: float = 15.0,
    ) -> None:
        self._clock = clock
        self.max_connections = max_connections
        self.max_request_bytes = self._max_request_bytes = max_request_bytes
        self.max_response_bytes = max_response_bytes
        self._head_allowance_s = head_allowance_s
        self._idle_allowance_s = idle_allowance_s
        self._connections: set[LimitedConnection] = set()
        #: What bodies hold beyond the reservation of each.
        self.large_bodies = BufferBudget()
        self._large: set[LimitedConnection] = set()
        self._unread: set[LimitedConnection] = set()
        self._order: list[tuple[float, int, LimitedConnection]] = []
        self._numbers = itertools.count(1)
        self._request_bytes = 0
        self._unread_bytes = 0
        self.ended_by_reason: Counter[str] = Counter()
        self._logged_at = float("-inf")
        self._unlogged: Counter[str] = Counter()
        self.set_max_body(0)

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def request_bytes(self) -> int:
        """Memory that connections and what they sent use, in bytes."""
        return self._request_bytes

    @property
    def body_bytes(self) -> int:
        """Bytes of bodies that are held, each counted once."""
        return sum(connection.body_bytes for connection in self._connections)

    @property
    def unread_bytes(self) -> int:
        """Bytes of complete responses that callers have not read."""
        return self._unread_bytes

    def set_max_body(self, size: int) -> None:
        """Make room for one body of this size, whatever memory the machine has."""
        self.max_request_bytes = max(
            self._max_request_bytes, BODY_COPIES * size + MAX_CANDIDATES * CONNECTION_BYTES
        )
        share = int(self._max_request_bytes * LARGE_BODY_FRACTION / BODY_COPIES)
        self.large_bodies.max_bytes = max(size, share)

    def set_allowances(self, *, head_s: float, idle_s: float) -> None:
        """Change the allowances of phases that begin later."""
        self._head_allowance_s = head_s
        self._idle_allowance_s = idle_s

    def open(self, holder: Holder) -> LimitedConnection | None:
        """Return a new connection, or None if none may be opened.

        At a limit another connection is ended for it.
        """
        if len(self._connections) >= self.max_connections and not self._end_one(
            EndReason.CONNECTIONS
        ):
            self._count("refused", EndReason.CONNECTIONS)
            return None
        if not self._make_room(CONNECTION_BYTES):
            self._count("refused", EndReason.MEMORY)
            return None
        connection = LimitedConnection(
            holder, now=self._clock.monotonic(), allowance_s=self._head_allowance_s
        )
        self._connections.add(connection)
        self._request_bytes += CONNECTION_BYTES
        self._enqueue(connection)
        return connection

    def receive(self, connection: LimitedConnection, *, time_left_s: float = GRACE_S) -> None:
        """Note that the head of a request was received.

        :param time_left_s: time for which the caller waits for the response.
        """
        allowance_s = max(self._head_allowance_s, min(GRACE_S, time_left_s))
        self._begin(connection, Phase.BODY, allowance_s)

    def permits_body(self, size: int) -> bool:
        """Return whether there is room for a body of this size; stalled uploads are ended for it."""
        while not self.large_bodies.permits(0, size):
            if not self._end_stalled_upload():
                return False
        return True

    def hold(self, connection: LimitedConnection, size: int) -> bool:
        """Add received bytes of a body; return False if there is no memory for them.

        Other connections are ended to make room, but not if this one has made less progress.
        """
        before, after = connection.body_bytes, connection.body_bytes + size
        self._note_progress(connection, size)
        while not self.large_bodies.resize(before, after):
            if not self._end_stalled_upload():
                self._count("refused", EndReason.MEMORY)
                return False
        if not self._make_room(size * BODY_COPIES, requester=connection):
            self.large_bodies.resize(after, before)
            self._count("refused", EndReason.MEMORY)
            return False
        connection.body_bytes = after
        if after > RESERVED_BYTES:
            self._large.add(connection)
        self._request_bytes += size * BODY_COPIES
        return True

    def refuse(self, connection: LimitedConnection) -> None:
        """Note that the request was refused before all of it arrived; its body is released."""
        self.release(connection)
        self._begin(connection, Phase.REFUSED, REFUSED_GRACE_S)

    def discard(self, connection: LimitedConnection, size: int) -> None:
        """Note received bytes of a body that was refused."""
        self._note_progress(connection, size)

    def serve(self, connection: LimitedConnection) -> None:
        """Note that the whole request was received; the connection is not ended from now on."""
        connection.phase = Phase.SERVED
        connection.entry = 0

    def release(self, connection: LimitedConnection) -> None:
        """Free the memory of the body."""
        self.large_bodies.resize(connection.body_bytes, 0)
        self._large.discard(connection)
        self._request_bytes -= connection.body_bytes * BODY_COPIES
        connection.body_bytes = 0

    def respond(self, connection: LimitedConnection, unread_bytes: int) -> None:
        """Note that the response is complete, and how much of it the caller has not taken.

        Callers that read nothing are ended until what remains fits into the memory.
        """
        if not connection.is_open or not unread_bytes:
            return
        self._begin(connection, Phase.UNREAD, GRACE_S)
        self._set_unread(connection, unread_bytes)
        while self._unread_bytes > self.max_response_bytes and self._unread:
            self._end(min(self._unread, key=_get_due_at), EndReason.MEMORY)

    def wait(self, connection: LimitedConnection) -> None:
        """Note that the connection waits for its next request."""
        self.release(connection)
        connection.request_number += 1
        self._set_unread(connection, 0)
        if connection.phase is not Phase.NEW:
            self._begin(connection, Phase.IDLE, self._idle_allowance_s)

    def close(self, connection: LimitedConnection) -> None:
        """Remove a closed connection; a second call changes nothing."""
        if not connection.is_open:
            return
        self.release(connection)
        self._set_unread(connection, 0)
        connection.is_open = False
        connection.entry = 0
        self._connections.discard(connection)
        self._request_bytes -= CONNECTION_BYTES + connection.buffered_bytes

    def sweep(self) -> None:
        """Count what the library buffers, and end transfers that are slower than the minimum rate."""
        now = self._clock.monotonic()
        for connection in list(self._connections):
            if not connection.is_open:
                continue
            received, unsent = connection.holder.count_buffered()
            self._request_bytes += received - connection.buffered_bytes
            connection.buffered_bytes = received
            if connection.phase is Phase.UNREAD:
                self._note_progress(connection, connection.unread_bytes - unsent)
                self._set_unread(connection, unsent)
            is_transfer = connection.phase in (Phase.BODY, Phase.REFUSED, Phase.UNREAD)
            if is_transfer and connection.due_at < now:
                self._end(connection, EndReason.SLOW)
        while self._request_bytes > self.max_request_bytes and self._end_one(EndReason.MEMORY):
            pass
        CALLER_CONNECTIONS.set({}, len(self._connections))
        CALLER_BYTES.set({"kind": "request"}, self._request_bytes)
        CALLER_BYTES.set({"kind": "response"}, self._unread_bytes)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            began_at = self._clock.monotonic()
            await asyncio.sleep(SWEEP_S)
            late_s = self._clock.monotonic() - began_at - SWEEP_S
            if late_s > MAX_LATE_S:
                self.excuse(late_s)
                # What arrived meanwhile is read first.
                continue
            self.sweep()

    def excuse(self, seconds: float) -> None:
        """Do not count time in which the process did not run, so that nothing was received."""
        now = self._clock.monotonic()
        for connection in self._connections:
            connection.progress_at = min(now, connection.progress_at + seconds)

    def describe(self) -> dict[str, object]:
        """Return the limits and what is held, for the dump."""
        return {
            "connections": len(self._connections),
            "max_connections": self.max_connections,
            "request_bytes": self._request_bytes,
            "max_request_bytes": self.max_request_bytes,
            "unread_bytes": self._unread_bytes,
            "max_response_bytes": self.max_response_bytes,
            "by_phase": dict(Counter(str(item.phase) for item in self._connections)),
            "ended": dict(self.ended_by_reason),
        }

    def _begin(self, connection: LimitedConnection, phase: Phase, allowance_s: float) -> None:
        connection.phase = phase
        connection.progress_at = self._clock.monotonic()
        connection.allowance_s = allowance_s
        if connection.is_open:
            self._enqueue(connection)

    def _note_progress(self, connection: LimitedConnection, size: int) -> None:
        if size > 0:
            earned_s = size / MIN_BYTES_PER_S
            connection.progress_at = min(self._clock.monotonic(), connection.progress_at + earned_s)

    def _set_unread(self, connection: LimitedConnection, size: int) -> None:
        self._unread_bytes += size - connection.unread_bytes
        connection.unread_bytes = size
        if size:
            self._unread.add(connection)
        else:
            self._unread.discard(connection)

    def _enqueue(self, connection: LimitedConnection) -> None:
        connection.entry = next(self._numbers)
        heapq.heappush(self._order, (connection.due_at, connection.entry, connection))
        if len(self._order) > 2 * len(self._connections) + MAX_CANDIDATES:
            self._order = [item for item in self._order if item[1] == item[2].entry]
            heapq.heapify(self._order)

    def _make_room(self, size: int, *, requester: LimitedConnection | None = None) -> bool:
        """End connections until so many bytes fit; return False if that is not possible."""
        while self._request_bytes + size > self.max_request_bytes:
            if not self._end_one(EndReason.MEMORY, requester=requester):
                return False
        return True

    def _end_stalled_upload(self) -> bool:
        """End the upload of a large body that has stalled for longest; return False if none has."""
        uploads = [item for item in self._large if item.phase is Phase.BODY]
        first = min(uploads, key=_get_due_at, default=None)
        if first is None or first.progress_at + STALLED_S > self._clock.monotonic():
            return False
        self._end(first, EndReason.MEMORY)
        return True

    def _end_one(self, reason: EndReason, *, requester: LimitedConnection | None = None) -> bool:
        """End the connection that is due first; return False if it is the requester or none is."""
        for _ in range(MAX_CANDIDATES):
            candidate = self._pop_first()
            if candidate is None:
                break
            if candidate is requester:
                self._enqueue(candidate)
                return False
            if candidate.phase in (Phase.NEW, Phase.IDLE) and candidate.holder.is_arriving():
                # The head may be complete and only unread.
                was_used = candidate.phase is Phase.IDLE
                candidate.phase = Phase.HEAD
                if was_used:
                    candidate.progress_at = self._clock.monotonic()
                    candidate.allowance_s = self._head_allowance_s
                    self._enqueue(candidate)
                    continue
            self._end(candidate, reason)
            return True
        return False

    def _pop_first(self) -> LimitedConnection | None:
        """Remove the connection that is due first from the order, and return it."""
        while self._order:
            due_at, entry, connection = heapq.heappop(self._order)
            if entry != connection.entry:
                continue
            if connection.due_at > due_at:
                # It made progress since it was put there.
                self._enqueue(connection)
                continue
            return connection
        return None

    def _end(self, connection: LimitedConnection, reason: EndReason) -> None:
        phase = connection.phase
        self.close(connection)
        self.ended_by_reason[reason] += 1
        self._count(str(phase), reason)
        connection.holder.end(phase, reason)

    def _count(self, phase: str, reason: EndReason) -> None:
        ENDED_CALLER_CONNECTIONS.inc({"phase": phase, "reason": str(reason)})
        self._unlogged[f"{phase} {reason}"] += 1
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_PERIOD_S:
            return
        self._logged_at = now
        _log.warning(
            "connections of callers ended or refused",
            counts=dict(self._unlogged),
            connections=len(self._connections),
            max_connections=self.max_connections,
            request_bytes=self._request_bytes,
            max_request_bytes=self.max_request_bytes,
            unread_bytes=self._unread_bytes,
        )
        self._unlogged.clear()
