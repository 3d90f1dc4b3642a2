"""The process of an entry host on a routed deployment: its tasks, and how they start and stop."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Protocol

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest, ResponseStartLine

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import EngineLoad, PeerStatus
from sycamoreproxy.metrics import ROUTES_REVISION
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.placement import LoadReport, Placer
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_dispatch import RoutedDispatcher
from sycamoreproxy.routed_http import RoutedFront
from sycamoreproxy.routed_settings import RoutedBounds, RoutedSettings
from sycamoreproxy.state_http import StateServer
from sycamoreproxy.streams import Address
from sycamoreproxy.task_group import BackgroundTasks
from sycamoreproxy.upstream_book import UpstreamBook, UpstreamRecord
from sycamoreproxy.watched_documents import Document, DocumentError, DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets

#: Time between two heartbeats to peers, in seconds.
HEARTBEAT_S = 1.0
#: Time between two looks at waiting requests, in seconds; load reports trigger further ones.
PUMP_S = 0.02
#: Time from SIGTERM on during which new connections are still taken, in seconds. The balancer asks
#: once a second and sends nothing more after two refusals.
READY_DRAIN_S = 2.8
#: Time of the grace period that is left for closing connections, in seconds.
STOP_MARGIN_S = 1.0

_log = get_logger("routed_entry")


class Documents(Protocol):
    """Decodes the store's documents; every ``read`` raises ``DocumentError``."""

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the prefixes of the store's keys to watch."""

    def is_routes(self, key: str) -> bool:
        """Return whether a key holds the routes."""

    def model_of(self, key: str) -> str | None:
        """Return the model whose version a key names."""

    def instance_of(self, key: str) -> str | None:
        """Return the upstream that a key describes."""

    def read_routes(self, value: bytes) -> RouteTable:
        """Return the routes."""

    def read_version(self, value: bytes) -> int:
        """Return a named version."""

    def read_upstream(self, instance: str, value: bytes) -> UpstreamRecord:
        """Return the record of an upstream."""


class Beliefs:
    """What a process believes of routes, versions and upstreams, taken from documents.

    :param book: upstreams.
    :param targets: named versions.
    """

    def __init__(
        self,
        *,
        documents: Documents,
        replica: DocumentReplica,
        book: UpstreamBook,
        targets: WeightTargets,
    ) -> None:
        self._documents = documents
        self._replica = replica
        self.book = book
        self.targets = targets
        self.table = RouteTable()
        self._listeners: list[Callable[[RouteTable], None]] = []
        replica.subscribe(self._take)

    def set_bounds(self, bounds: RoutedBounds) -> None:
        """Apply changed bounds."""
        self.book.set_bound(bounds.leave_s)
        self.targets.set_bound(bounds.version_s)

    def subscribe(self, listener: Callable[[RouteTable], None]) -> None:
        """Call ``listener(table)`` after each change of the routes."""
        self._listeners.append(listener)

    def _take(self, document: Document) -> None:
        key, value = document.key, document.value
        try:
            if self._documents.is_routes(key):
                self._take_routes(value)
            elif (model := self._documents.model_of(key)) is not None:
                if value is not None:
                    self.targets.set_target(
                        model,
                        self._documents.read_version(value),
                        is_first_read=not self._replica.has_read,
                    )
            elif (instance := self._documents.instance_of(key)) is not None:
                if value is None:
                    self.book.remove(instance)
                else:
                    self.book.put(self._documents.read_upstream(instance, value))
        except DocumentError as error:
            _log.warning(
                "document not usable", key=key, revision=document.revision, error=str(error)
            )

    def _take_routes(self, value: bytes | None) -> None:
        if value is None:
            _log.warning("configuration deleted; the last one stays in force")
            return
        table = self._documents.read_routes(value)
        if table.revision <= self.table.revision:
            return
        before, self.table = self.table, table
        ROUTES_REVISION.set({}, table.revision)
        _log.info(
            "configuration in force",
            revision=table.revision,
            before=before.revision,
            hosts=len(table.routes_by_host),
            keys=len(table.account_by_key),
            accounts_by_rank=dict(Counter(table.rank_by_account.values())),
        )
        for listener in self._listeners:
            listener(table)


class RoutedEntry:
    """Owns the tasks of an entry host.

    All parts are built by :mod:`sycamoreproxy.routed_composition`.

    :param budgets_by_service: resend budgets, filled as services are used.
    """

    def __init__(
        self,
        *,
        settings: RoutedSettings,
        documents: Documents,
        hub: PeerHub,
        replica: DocumentReplica,
        beliefs: Beliefs,
        placer: Placer,
        dispatcher: RoutedDispatcher,
        front: RoutedFront,
        state: StateServer,
        tasks: BackgroundTasks,
        budgets_by_service: dict[str, ResendBudget],
        now: Callable[[], float],
    ) -> None:
        self.settings = settings
        self._documents = documents
        self._hub = hub
        self._replica = replica
        self._beliefs = beliefs
        self._placer = placer
        self._dispatcher = dispatcher
        self._front = front
        self._state = state
        self._tasks = tasks
        self._budgets_by_service = budgets_by_service
        self._now = now
        self._ready_server = HTTPServer(self._answer_ready)
        self._leaving = False
        hub.on(EngineLoad, self._take_load)
        beliefs.subscribe(self._take_table)
        beliefs.book.subscribe(self._take_upstream)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections."""
        return not self._leaving and self._beliefs.table.revision > 0

    def reload(self, settings: RoutedSettings) -> None:
        """Apply changed bounds; addresses need a restart."""
        self.settings = settings
        bounds = settings.bounds
        self._beliefs.set_bounds(bounds)
        for budget in self._budgets_by_service.values():
            budget.set_limits(
                ratio=bounds.resend_ratio,
                slack=bounds.resend_slack,
                window_s=bounds.resend_window_s,
            )

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        listen = self.settings.listen
        assert listen.callers is not None and listen.ready is not None
        self._front.listen(listen.callers.ip, listen.callers.port)
        self._ready_server.listen(listen.ready.port, listen.ready.ip)
        self._state.listen(listen.ip, listen.state_port)
        for prefix in self._documents.prefixes:
            self._tasks.start(f"watch {prefix}", partial(self._replica.watch, prefix))
        self._tasks.start("heartbeat", self._beat)
        self._tasks.start("pump", self._pump)

    async def drain(self) -> None:
        """Take no new connections and finish the requests in progress."""
        self._leaving = True
        self._front.leave()
        await asyncio.sleep(READY_DRAIN_S)
        wait_s = self.settings.bounds.stop_s - READY_DRAIN_S - STOP_MARGIN_S
        await self._front.close(wait_s=max(0.1, wait_s))

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        await self._tasks.close()
        self._dispatcher.close()
        self._ready_server.stop()
        await self._hub.close()
        await self._state.close()

    def _answer_ready(self, request: HTTPServerRequest) -> None:
        assert request.connection is not None
        status, reason = (200, "OK") if self.is_ready else (503, "Service Unavailable")
        from tornado.httputil import HTTPHeaders

        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), HTTPHeaders({"Content-Length": "0"})
        )
        request.connection.finish()

    async def _beat(self) -> None:
        while True:
            self._hub.broadcast(PeerStatus("ready", self._beliefs.table.revision, ""))
            self._drop_unlisted()
            await asyncio.sleep(HEARTBEAT_S)

    async def _pump(self) -> None:
        while True:
            self._dispatcher.pump()
            await asyncio.sleep(PUMP_S)

    def _take_table(self, table: RouteTable) -> None:
        self._front.set_bounds(table.bounds)
        self._update_peers()

    def _take_upstream(self, instance: str) -> None:
        self._update_peers()
        self._dispatcher.pump()

    def _drop_unlisted(self) -> None:
        """Forget upstreams that are no longer listed: incarnations change with each restart."""
        records = self._beliefs.book.list_all()
        self._placer.retain({record.instance for record in records})
        self._dispatcher.retain({str(record.address) for record in records})

    def _update_peers(self) -> None:
        """Keep a stream to the process beside each engine."""
        services = self._beliefs.table.services_by_name
        port = self.settings.listen.peer_port
        self._hub.set_targets(
            {
                Address(record.address.ip, port)
                for record in self._beliefs.book.list_all()
                if (spec := services.get(record.service)) is not None and spec.engine is not None
            }
        )

    def _take_load(self, peer: Peer, load: EngineLoad) -> None:
        now = self._now()
        report = LoadReport(
            at=now,
            running=load.running,
            waiting=load.waiting,
            memory_used=load.memory_used,
            memory_total=load.memory_total,
            pace=load.pace,
            is_loading=load.is_loading,
            version_by_model=tuple(load.versions.items()),
        )
        self._placer.entry_hosts = max(1, load.entry_hosts)
        for budget in self._budgets_by_service.values():
            budget.entry_hosts = load.entry_hosts
        for record in self._beliefs.book.list_all():
            if str(record.address) == load.address:
                self._placer.take_report(record.instance, report)
        self._dispatcher.pump()
