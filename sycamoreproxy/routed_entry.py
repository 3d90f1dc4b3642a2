"""The process of an entry host on a routed deployment: its tasks, and how they start and stop."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from sycamoreproxy.beliefs import DocumentDecoder, RoutingState
from sycamoreproxy.messages import EngineLoad, EngineUse, PeerStatus
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.placement import LoadReport, UpstreamSelector
from sycamoreproxy.pulse import ThrottledAction
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_dispatch import RoutedDispatcher
from sycamoreproxy.routed_http import RoutedCallerServer
from sycamoreproxy.routed_settings import RoutedSettings
from sycamoreproxy.state_http import StateServer
from sycamoreproxy.streams import Address
from sycamoreproxy.task_group import BackgroundTasks
from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_subset import select_subset
from sycamoreproxy.watched_documents import DocumentReplica

#: Time between two heartbeats to peers, in seconds.
HEARTBEAT_S = 1.0
#: Shortest time between two looks at waiting requests after load reports, in seconds. One look takes
#: about as long as ten reports, of which a host gets up to 280 a second.
PUMP_S = 0.02
#: Time from SIGTERM on during which new connections are still taken, in seconds. The balancer asks
#: once a second and sends nothing more after two refusals.
READY_DRAIN_S = 2.8
#: Time of the grace period that is left for closing connections, in seconds.
STOP_MARGIN_S = 1.0


class RoutedEntry:
    """Owns the tasks of an entry host.

    All parts are built by :mod:`sycamoreproxy.routed_composition`.

    :param budgets_by_service: resend budgets, filled as services are used.
    """

    def __init__(
        self,
        *,
        settings: RoutedSettings,
        documents: DocumentDecoder,
        hub: PeerHub,
        replica: DocumentReplica,
        routing_state: RoutingState,
        selector: UpstreamSelector,
        dispatcher: RoutedDispatcher,
        caller_server: RoutedCallerServer,
        state: StateServer,
        tasks: BackgroundTasks,
        budgets_by_service: dict[str, ResendBudget],
        now: Callable[[], float],
    ) -> None:
        self.settings = settings
        self._documents = documents
        self._hub = hub
        self._replica = replica
        self._routing_state = routing_state
        self._selector = selector
        self._dispatcher = dispatcher
        self._caller_server = caller_server
        self._state = state
        self._tasks = tasks
        self._budgets_by_service = budgets_by_service
        self._now = now
        self._ready_server = HTTPServer(self._answer_ready)
        self._leaving = False
        self._engines = 0
        self._pulse = ThrottledAction(period_s=PUMP_S, action=self._pump)
        selector.on_use_changed = self._pulse.request
        dispatcher.on_queued = self._pulse.request
        hub.on(EngineLoad, self._take_load)
        hub.on_open(self._tell_again)
        routing_state.subscribe(self._take_table)
        routing_state.catalog.subscribe(self._take_upstream)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections."""
        return not self._leaving and self._routing_state.table.revision > 0

    def reload(self, settings: RoutedSettings) -> None:
        """Apply changed bounds; addresses need a restart."""
        self.settings = settings
        bounds = settings.bounds
        self._routing_state.set_bounds(bounds)
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
        self._caller_server.listen(listen.callers.ip, listen.callers.port)
        self._ready_server.listen(listen.ready.port, listen.ready.ip)
        self._state.listen(listen.ip, listen.state_port)
        for prefix in self._documents.prefixes:
            self._tasks.start(f"watch {prefix}", partial(self._replica.follow, prefix))
        self._tasks.start("heartbeat", self._beat)

    async def drain(self) -> None:
        """Take no new connections and finish the requests in progress."""
        self._leaving = True
        self._caller_server.leave()
        await asyncio.sleep(READY_DRAIN_S)
        wait_s = self.settings.bounds.stop_s - READY_DRAIN_S - STOP_MARGIN_S
        await self._caller_server.close(wait_s=max(0.1, wait_s))

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self._pulse.close()
        await self._tasks.close()
        self._dispatcher.close()
        self._ready_server.stop()
        await self._hub.close()
        await self._state.close()

    def _answer_ready(self, request: HTTPServerRequest) -> None:
        assert request.connection is not None
        status, reason = (200, "OK") if self.is_ready else (503, "Service Unavailable")
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), HTTPHeaders({"Content-Length": "0"})
        )
        request.connection.finish()

    async def _beat(self) -> None:
        while True:
            self._hub.broadcast(PeerStatus("ready", self._routing_state.table.revision, ""))
            self._drop_unlisted()
            await asyncio.sleep(HEARTBEAT_S)

    def _pump(self) -> None:
        """Place waiting requests and tell of changed uses; again soon while requests wait."""
        self._dispatcher.dispatch_waiting()
        self._tell_uses()
        if self._dispatcher.has_waiting:
            self._pulse.request()

    def _tell_uses(self) -> None:
        """Tell the processes beside engines what this host has there."""
        changed = self._selector.pop_changed_uses()
        if not changed:
            return
        peers_by_host = {peer.hello.host: peer for peer in self._hub.peers}
        for instance, use in changed:
            record = self._routing_state.catalog.find(instance)
            peer = peers_by_host.get(record.address.ip) if record is not None else None
            if peer is not None:
                peer.send(use)

    def _tell_again(self, peer: Peer) -> None:
        """Tell a process that may have restarted what this host has at its engine."""
        for record in self._routing_state.catalog.list_all():
            if record.address.ip == peer.hello.host:
                self._selector.reset_announced_use(record.instance)

    def _take_table(self, table: RouteTable) -> None:
        self._caller_server.set_bounds(table.bounds)
        self._update_peers()

    def _take_upstream(self, instance: str) -> None:
        self._update_peers()
        self._dispatcher.dispatch_waiting()

    def _drop_unlisted(self) -> None:
        """Forget upstreams that are no longer listed: incarnations change with each restart."""
        records = self._routing_state.catalog.list_all()
        self._selector.retain({record.instance for record in records})
        self._dispatcher.retain({str(record.address) for record in records})

    def _update_peers(self) -> None:
        """Keep a stream to the process beside each engine that this host follows."""
        port = self.settings.listen.peer_port
        engines = self._routing_state.list_engines()
        self._engines = len(engines)
        followed = select_subset(
            engines,
            host=self.settings.listen.ip,
            availability_zone=self.settings.process.availability_zone,
        )
        self._selector.engine_subset = followed
        self._hub.set_targets({Address(Address.parse(item).ip, port) for item in followed})

    def _take_load(self, peer: Peer, load: EngineLoad) -> None:
        now = self._now()
        self._selector.entry_hosts = max(1, load.entry_hosts)
        # The sender sees only its own followers, about the same part of all hosts as this host
        # follows of all engines.
        entry_hosts = math.ceil(
            load.entry_hosts * self._engines / max(1, len(self._selector.engine_subset))
        )
        for budget in self._budgets_by_service.values():
            budget.update_entry_hosts(entry_hosts)
        for record in self._routing_state.catalog.list_at(load.address):
            spec = self._routing_state.table.services_by_name.get(record.service)
            self._selector.update_report(
                record.instance,
                self._make_report(record, load, now),
                profile=spec.engine if spec is not None else None,
            )
        if self._dispatcher.has_waiting:
            self._pulse.request()

    def _make_report(self, record: UpstreamRecord, load: EngineLoad, now: float) -> LoadReport:
        told = self._selector.view(record.instance).announced_use
        return LoadReport(
            received_at=now,
            running=load.running,
            waiting=load.waiting,
            pace=load.pace,
            is_loading=load.is_loading,
            version_by_model=tuple(load.versions.items()),
            use_by_others=EngineUse(
                max(0, load.open_requests - told.open_requests),
                max(0, load.pending_prompt_tokens - told.pending_prompt_tokens),
            ),
        )
