"""Asks every listed process which table revision it has in force and what it cannot meet."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Protocol

from sycamoreproxy.clock import Clock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.messages import CensusQuery, CensusReply, Hello
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.streams import StreamLostError, open_stream

#: Longest wait for the answer of one process, connection included, in seconds.
ASK_TIMEOUT_S = 2.0
#: Processes asked at once; bounds sockets and TLS handshakes at the target size.
MAX_CONCURRENT_ASKS = 64


class _Target(Protocol):
    @property
    def version(self) -> str: ...


class TargetView(Protocol):
    """What the census reads of the table in force."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def models(self) -> tuple[str, ...]:
        """Return the models that have rows."""

    def target(self, model: str) -> _Target:
        """Return what is wanted of a model; an empty version wants nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingProcess:
    """A listed process that does not have the revision in force.

    :param table_revision: revision that it reported, 0 without an answer.
    :param reason: why, for a person.
    """

    host: str
    role: str
    availability_zone: str
    table_revision: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnmetTarget:
    """A target of the table that is not met, with its reason; ``host`` may be empty."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CensusReport:
    """Where a revision is in force.

    :param newest: newest revision that any process reported.
    :param in_force: processes that have this or a newer revision.
    :param expected: listed processes; leaving ones count only while they answer.
    """

    revision: int
    newest: int
    in_force: int
    expected: int
    missing: tuple[MissingProcess, ...]
    unmet: tuple[UnmetTarget, ...]


class CensusResponder:
    """Answers the census in every process.

    :param hub: receives :class:`CensusQuery`.
    :param revision: returns the table revision in force.
    :param version: returns the model version served, empty if none.
    :param unmet: returns targets of the table that this process cannot meet.
    """

    def __init__(
        self,
        *,
        hub: PeerHub,
        revision: Callable[[], int],
        version: Callable[[], str] = lambda: "",
        unmet: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._hub = hub
        self._revision = revision
        self._version = version
        self._unmet = unmet
        hub.on(CensusQuery, self._answer)

    def describe(self, query_id: str) -> CensusReply:
        """Return the answer of this process."""
        hello = self._hub.hello
        return CensusReply(
            query_id=query_id,
            host=hello.host,
            role=hello.role,
            availability_zone=hello.availability_zone,
            table_revision=self._revision(),
            version=self._version(),
            unmet=tuple(self._unmet()),
        )

    def _answer(self, peer: Peer, query: CensusQuery) -> None:
        peer.send(self.describe(query.query_id))


class Census:
    """Asks all listed processes over short streams.

    Short streams reach every process; the hub holds streams to only some of them.

    :param hub: its closed streams tell since when a host is cut off.
    :param responder: answers for this process itself.
    :param hosts: returns the hosts of the last host list.
    :param view: returns the table in force.
    :param client_tls: context of the streams; None for plain.
    """

    def __init__(
        self,
        *,
        hub: PeerHub,
        responder: CensusResponder,
        hosts: Callable[[], Iterable[HostRecord]],
        view: Callable[[], TargetView],
        client_tls: ssl.SSLContext | None,
        clock: Clock,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> None:
        self._hub = hub
        self._responder = responder
        self._hosts = hosts
        self._view = view
        self._client_tls = client_tls
        self._clock = clock
        self._timeout_s = timeout_s
        self._started_at = clock.wall()
        self._lost_at_by_host: dict[str, float] = {}
        self._answered_at_by_host: dict[str, float] = {}
        hub.on_open(self._note_open)
        hub.on_close(self._note_close)

    async def collect(self, revision: int) -> CensusReport:
        """Ask every listed process once.

        :param revision: the revision in question.
        """
        records = tuple(self._hosts())
        known = {record.host for record in records}
        for state in (self._lost_at_by_host, self._answered_at_by_host):
            for host in state.keys() - known:
                del state[host]
        query_id = uuid.uuid4().hex
        slots = asyncio.Semaphore(MAX_CONCURRENT_ASKS)
        replies = await asyncio.gather(*(self._ask(record, query_id, slots) for record in records))
        return self._report(revision, list(zip(records, replies, strict=True)))

    async def _ask(
        self, record: HostRecord, query_id: str, slots: asyncio.Semaphore
    ) -> CensusReply | None:
        own = self._hub.hello
        if record.host == own.host:
            return self._responder.describe(query_id)
        async with slots:
            reply = None
            with contextlib.suppress(StreamLostError, TimeoutError, OSError):
                reply = await asyncio.wait_for(self._exchange(record, query_id), self._timeout_s)
        if reply is not None:
            self._answered_at_by_host[record.host] = self._clock.wall()
        return reply

    async def _exchange(self, record: HostRecord, query_id: str) -> CensusReply:
        own = self._hub.hello
        stream = await open_stream(record.peer, tls=self._client_tls, timeout_s=self._timeout_s)
        try:
            stream.send(Hello(own.host, own.process_id, "admin", own.availability_zone, own.region))
            stream.send(CensusQuery(query_id))
            while True:
                answer = await stream.read(timeout_s=self._timeout_s)
                if isinstance(answer, Hello) and answer.host != record.host:
                    # Another host took over the address since the list was read.
                    raise StreamLostError(f"{record.peer} is now {answer.host}")
                if isinstance(answer, CensusReply) and answer.query_id == query_id:
                    return answer
        finally:
            stream.close()

    def _report(
        self, revision: int, pairs: list[tuple[HostRecord, CensusReply | None]]
    ) -> CensusReport:
        missing: list[MissingProcess] = []
        unmet: list[UnmetTarget] = []
        in_force = expected = 0
        newest = self._view().revision
        for record, reply in pairs:
            if reply is None and record.state == "leaving":
                continue
            expected += 1
            reported = reply.table_revision if reply is not None else 0
            newest = max(newest, reported)
            if reply is not None:
                unmet.extend(UnmetTarget(host=record.host, reason=text) for text in reply.unmet)
            if reply is not None and reported >= revision:
                in_force += 1
                continue
            missing.append(
                MissingProcess(
                    host=record.host,
                    role=record.role,
                    availability_zone=record.availability_zone,
                    table_revision=reported,
                    reason=self._explain(record, reply),
                )
            )
        answered = {record.name for record, reply in pairs if reply is not None}
        unmet.extend(self._find_silent_models(answered))
        return CensusReport(
            revision=revision,
            newest=newest,
            in_force=in_force,
            expected=expected,
            missing=tuple(missing),
            unmet=tuple(unmet),
        )

    def _explain(self, record: HostRecord, reply: CensusReply | None) -> str:
        if reply is not None:
            return f"revision {reply.table_revision} is in force there"
        lost_at = self._lost_at_by_host.get(record.host)
        if lost_at is not None:
            return f"cut off since {_format_time(lost_at)}"
        answered_at = self._answered_at_by_host.get(record.host)
        if answered_at is not None:
            return f"no answer; it last answered at {_format_time(answered_at)}"
        return f"no answer since this process started at {_format_time(self._started_at)}"

    def _find_silent_models(self, answered: set[str]) -> list[UnmetTarget]:
        """Return the models wanted of which no host could report what it lacks."""
        view = self._view()
        return [
            UnmetTarget(host="", reason=f"not enough hosts: no host of {model} answers")
            for model in view.models()
            if view.target(model).version and model not in answered
        ]

    def _note_open(self, peer: Peer) -> None:
        self._lost_at_by_host.pop(peer.hello.host, None)

    def _note_close(self, peer: Peer) -> None:
        if peer.hello.role != "admin":
            self._lost_at_by_host[peer.hello.host] = self._clock.wall()


def _format_time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
