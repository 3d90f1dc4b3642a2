"""Queries every listed process for its table revision and for the targets that it cannot meet."""

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

#: Timeout of the query of one process, including the connection set-up, in seconds.
QUERY_TIMEOUT_S = 2.0
#: Maximum number of concurrent queries; limits sockets and TLS handshakes at the target size.
MAX_CONCURRENT_QUERIES = 64


class _Target(Protocol):
    @property
    def version(self) -> str: ...


class TargetView(Protocol):
    """The part of the table in force that the census reads."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def models(self) -> tuple[str, ...]:
        """Return the models that have rows in the table."""

    def target(self, model: str) -> _Target:
        """Return the target of a model; an empty version means that none is wanted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingProcess:
    """A listed process that does not have the revision in force.

    :param table_revision: revision that it reported; 0 if it did not reply.
    :param reason: human-readable cause.
    """

    host: str
    role: str
    availability_zone: str
    table_revision: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnmetTarget:
    """A table target that is not met.

    :param host: host that reported it; empty if it does not belong to a single host.
    :param reason: human-readable cause.
    """

    host: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CensusReport:
    """Result of a census: how many processes have a revision in force.

    :param newest: newest revision that any process reported.
    :param in_force: number of processes that have this or a newer revision.
    :param expected: number of listed processes; leaving ones count only if they reply.
    """

    revision: int
    newest: int
    in_force: int
    expected: int
    missing: tuple[MissingProcess, ...]
    unmet: tuple[UnmetTarget, ...]


class CensusResponder:
    """Replies to census queries; part of every process.

    :param hub: receives :class:`CensusQuery`.
    :param revision: returns the table revision in force.
    :param version: returns the model version served; empty if none.
    :param unmet: returns the table targets that this process cannot meet, as sentences.
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
        hub.on(CensusQuery, self._handle_query)

    def make_reply(self, query_id: str) -> CensusReply:
        """Return the reply of this process to a query."""
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

    def _handle_query(self, peer: Peer, query: CensusQuery) -> None:
        peer.send(self.make_reply(query.query_id))


class Census:
    """Queries all listed processes over short-lived streams.

    The streams of the hub do not suffice, because it has them to only some of the processes.

    :param hub: reports opened and closed streams, which show since when a host is disconnected.
    :param responder: makes the reply of this process itself.
    :param hosts: returns the records of the newest host list.
    :param view: returns the table in force.
    :param client_tls: TLS context of the streams; None for plaintext.
    :param timeout_s: timeout of the query of one process, in seconds.
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
        timeout_s: float = QUERY_TIMEOUT_S,
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
        self._replied_at_by_host: dict[str, float] = {}
        hub.on_open(self._note_open)
        hub.on_close(self._note_close)

    async def collect(self, revision: int) -> CensusReport:
        """Query every listed process once.

        :param revision: table revision to check for.
        """
        records = tuple(self._hosts())
        listed = {record.host for record in records}
        for times in (self._lost_at_by_host, self._replied_at_by_host):
            for host in times.keys() - listed:
                del times[host]
        query_id = uuid.uuid4().hex
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        replies = await asyncio.gather(
            *(self._query(record, query_id, semaphore) for record in records)
        )
        return self._make_report(revision, list(zip(records, replies, strict=True)))

    async def _query(
        self, record: HostRecord, query_id: str, semaphore: asyncio.Semaphore
    ) -> CensusReply | None:
        own = self._hub.hello
        if record.host == own.host:
            return self._responder.make_reply(query_id)
        async with semaphore:
            reply = None
            with contextlib.suppress(StreamLostError, TimeoutError, OSError):
                reply = await asyncio.wait_for(self._exchange(record, query_id), self._timeout_s)
        if reply is not None:
            self._replied_at_by_host[record.host] = self._clock.wall()
        return reply

    async def _exchange(self, record: HostRecord, query_id: str) -> CensusReply:
        own = self._hub.hello
        stream = await open_stream(record.peer, tls=self._client_tls, timeout_s=self._timeout_s)
        try:
            stream.send(Hello(own.host, own.process_id, "admin", own.availability_zone, own.region))
            stream.send(CensusQuery(query_id))
            while True:
                message = await stream.read(timeout_s=self._timeout_s)
                if isinstance(message, Hello) and message.host != record.host:
                    # The address was reassigned to another host after the list was read.
                    raise StreamLostError(f"{record.peer} is now {message.host}")
                if isinstance(message, CensusReply) and message.query_id == query_id:
                    return message
        finally:
            stream.close()

    def _make_report(
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
        responding_models = {record.name for record, reply in pairs if reply is not None}
        unmet.extend(self._find_unreachable_models(responding_models))
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
        replied_at = self._replied_at_by_host.get(record.host)
        if replied_at is not None:
            return f"no answer; it last answered at {_format_time(replied_at)}"
        return f"no answer since this process started at {_format_time(self._started_at)}"

    def _find_unreachable_models(self, responding_models: set[str]) -> list[UnmetTarget]:
        """Return the wanted models none of whose hosts replied.

        No host could report such a target as unmet.
        """
        view = self._view()
        return [
            UnmetTarget(host="", reason=f"not enough hosts: no host of {model} answers")
            for model in view.models()
            if view.target(model).version and model not in responding_models
        ]

    def _note_open(self, peer: Peer) -> None:
        self._lost_at_by_host.pop(peer.hello.host, None)

    def _note_close(self, peer: Peer) -> None:
        if peer.hello.role != "admin":
            self._lost_at_by_host[peer.hello.host] = self._clock.wall()


def _format_time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
