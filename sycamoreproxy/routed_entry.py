"""Process of an entry host in a routed deployment: background tasks, startup and shutdown."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from sycamoreproxy.beliefs import RoutingState
from sycamoreproxy.cold_starts import ColdStarts
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    EngineLoad,
    EngineUse,
    LimitNotice,
    LostRequest,
    PeerStatus,
    QuarantineNotice,
    SoundParts,
    SuspectedParts,
)
from sycamoreproxy.metrics import EVACUATED_ZONES, QUARANTINED_PARTS
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.placement import LoadReport, UpstreamSelector
from sycamoreproxy.port_limits import DEFAULT_MAX_CONNECTIONS, PortHTTPServer
from sycamoreproxy.prompt_quarantine import PromptQuarantine
from sycamoreproxy.pulse import ThrottledAction
from sycamoreproxy.regions import ZoneFilter, read_zones
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_dispatch import RoutedDispatcher
from sycamoreproxy.routed_http import RoutedCallerServer
from sycamoreproxy.routed_settings import RoutedSettings
from sycamoreproxy.state_http import MAX_BODY_BYTES, MAX_HEADER_BYTES, StateServer
from sycamoreproxy.streams import Address
from sycamoreproxy.task_group import BackgroundTasks
from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_limits import UpstreamLimits
from sycamoreproxy.upstream_subset import select_subset
from sycamoreproxy.watched_documents import DocumentReplica

#: Interval between heartbeats to peers, in seconds.
HEARTBEAT_INTERVAL_S = 1.0
#: Minimum interval between attempts to dispatch queued requests after load reports, in seconds. An
#: attempt takes about as long as handling ten reports; a host receives up to 280 a second.
MIN_DISPATCH_INTERVAL_S = 0.02
#: Time after SIGTERM during which new connections are still accepted, in seconds. The load balancer
#: probes once per second and sends no new connections after two failed probes.
READY_DRAIN_S = 2.8
#: Part of the grace period that is reserved for closing connections, in seconds.
CLOSE_RESERVE_S = 1.0
#: Largest parts of a short grace period for accepting connections and for closing them.
MAX_DRAIN_FRACTION = 0.5
MAX_RESERVE_FRACTION = 0.2

_log = get_logger("routed_entry")


class RoutedEntry:
    """Runs the background tasks of an entry host.

    :mod:`sycamoreproxy.routed_composition` builds its dependencies.

    :param budgets_by_service: resend budget of each service, added on its first use.
    :param now: returns the monotonic time in seconds.
    :param max_port_connections: connections of balancers that may be open at once.
    """

    def __init__(
        self,
        *,
        settings: RoutedSettings,
        hub: PeerHub,
        replica: DocumentReplica,
        routing_state: RoutingState,
        selector: UpstreamSelector,
        dispatcher: RoutedDispatcher,
        caller_server: RoutedCallerServer,
        state: StateServer,
        tasks: BackgroundTasks,
        budgets_by_service: dict[str, ResendBudget],
        quarantine: PromptQuarantine,
        limits: UpstreamLimits,
        zones: ZoneFilter,
        cold_starts: ColdStarts,
        now: Callable[[], float],
        max_port_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self.settings = settings
        self._hub = hub
        self._replica = replica
        self._routing_state = routing_state
        self._selector = selector
        self._dispatcher = dispatcher
        self._caller_server = caller_server
        self._state = state
        self._tasks = tasks
        self._budgets_by_service = budgets_by_service
        self._quarantine = quarantine
        self._limits = limits
        self._zones = zones
        self._now = now
        self._readiness_server = PortHTTPServer(
            self._answer_readiness_probe,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        self._readiness_server.max_connections = max_port_connections
        self._readiness_server.port_name = "ready"
        self._cold_starts = cold_starts
        #: Availability zones whose engines have reported since the start.
        self._zones_heard: set[str] = set()
        self._engine_zones: set[str] = set()
        self._evacuated_zones: frozenset[str] = frozenset()
        self._is_leaving = False
        self._engine_count = 0
        self._dispatch_throttle = ThrottledAction(
            period_s=MIN_DISPATCH_INTERVAL_S, action=self._dispatch_and_announce
        )
        selector.on_use_changed = self._dispatch_throttle.request
        dispatcher.on_queued = self._dispatch_throttle.request
        dispatcher.on_lost = self._report_lost_request
        limits.on_permit = self._dispatch_throttle.request
        hub.on(EngineLoad, self._on_engine_load)
        hub.on(SuspectedParts, self._on_suspected_parts)
        hub.on(QuarantineNotice, self._on_quarantine_notice)
        hub.on(LimitNotice, self._on_limit_notice)
        hub.on_open(self._reset_announced_uses)
        routing_state.subscribe(self._on_table_changed)
        routing_state.evacuations.subscribe(self._on_evacuations_changed)
        routing_state.catalog.subscribe(self._on_upstream_changed)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return not self._is_leaving and self._routing_state.serving_table.revision > 0

    def reload(self, settings: RoutedSettings) -> None:
        """Apply changed bounds; changed addresses take effect only after a restart."""
        self.settings = settings
        bounds = settings.bounds
        self._routing_state.set_bounds(bounds)
        self._zones.set_zones(read_zones(settings.zones))
        self._zones.report_unknown_regions(self._routing_state.table)
        self._dispatcher.apply_zone_changes()
        self._cold_starts.set_bounds(overage=bounds.cold_overage, slack=bounds.cold_slack)
        for budget in self._budgets_by_service.values():
            budget.set_limits(
                ratio=bounds.resend_ratio,
                slack=bounds.resend_slack,
                window_s=bounds.resend_window_s,
            )

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        listen = self.settings.listen
        assert listen.callers is not None and listen.ready is not None
        self._caller_server.listen(listen.callers.ip, listen.callers.port)
        self._readiness_server.listen(listen.ready.port, listen.ready.ip)
        self._state.listen(listen.ip, listen.state_port)
        for prefix in self._replica.prefixes:
            self._tasks.start(f"watch {prefix}", partial(self._replica.follow, prefix))
        self._tasks.start("heartbeat", self._send_heartbeats)

    async def drain(self) -> None:
        """Fail readiness probes, stop accepting connections and finish requests in progress."""
        self._is_leaving = True
        self._caller_server.leave()
        stop_s = self.settings.bounds.stop_s
        drain_s = min(READY_DRAIN_S, MAX_DRAIN_FRACTION * stop_s)
        reserve_s = min(CLOSE_RESERVE_S, MAX_RESERVE_FRACTION * stop_s)
        self._dispatcher.end_requests_within(stop_s - reserve_s, closes_in_s=drain_s)
        await asyncio.sleep(drain_s)
        await self._caller_server.close(wait_s=stop_s - reserve_s - drain_s)

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self._dispatch_throttle.close()
        await self._tasks.close()
        self._dispatcher.close()
        self._readiness_server.stop()
        await self._hub.close()
        await self._state.close()

    def _answer_readiness_probe(self, request: HTTPServerRequest) -> None:
        assert request.connection is not None
        status, reason = (200, "OK") if self.is_ready else (503, "Service Unavailable")
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), HTTPHeaders({"Content-Length": "0"})
        )
        request.connection.finish()

    async def _send_heartbeats(self) -> None:
        while True:
            self._hub.broadcast(PeerStatus("ready", self._routing_state.table.revision, ""))
            self._drop_removed_upstreams()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _dispatch_and_announce(self) -> None:
        """Dispatch queued requests and announce changed uses; repeat while requests are queued."""
        self._dispatcher.dispatch_waiting()
        self._announce_changed_uses()
        if self._dispatcher.has_waiting:
            self._dispatch_throttle.request()

    def _announce_changed_uses(self) -> None:
        """Announce this host's changed use of each engine to the engine's sidecar process."""
        changed_uses = self._selector.pop_changed_uses()
        if not changed_uses:
            return
        peers_by_host = {peer.hello.host: peer for peer in self._hub.peers}
        for instance, use in changed_uses:
            record = self._routing_state.catalog.find(instance)
            peer = peers_by_host.get(record.address.ip) if record is not None else None
            if peer is not None:
                peer.send(use)

    def _reset_announced_uses(self, peer: Peer) -> None:
        """Announce this host's use of an engine again on a new connection to its sidecar process.

        The sidecar process may have restarted and lost the earlier announcement.
        """
        for record in self._routing_state.catalog.list_all():
            if record.address.ip == peer.hello.host:
                self._selector.reset_announced_use(record.instance)

    def _report_lost_request(self, record: UpstreamRecord, parts: tuple[str, ...]) -> None:
        """Tell the sidecar process of an engine which prompt was lost there."""
        if not parts:
            return
        for peer in self._hub.list_peers(role="upstream"):
            if peer.hello.host == record.address.ip:
                peer.send(LostRequest(parts))

    def _on_suspected_parts(self, peer: Peer, message: SuspectedParts) -> None:
        peer.send(SoundParts(self._quarantine.list_sound(message.parts)))

    def _on_quarantine_notice(self, peer: Peer, message: QuarantineNotice) -> None:
        if self._quarantine.add(message.part, message.seconds):
            QUARANTINED_PARTS.inc({})
            _log.warning(
                "prompt part quarantined", part=message.part, seconds=round(message.seconds)
            )

    def _on_limit_notice(self, peer: Peer, notice: LimitNotice) -> None:
        self._limits.receive_notice(notice)

    def _on_table_changed(self, table: RouteTable) -> None:
        self._caller_server.set_bounds(table.bounds)
        self._update_peers()
        self._zones.report_unknown_regions(table)
        self._dispatcher.apply_zone_changes()

    def _on_evacuations_changed(self) -> None:
        evacuated = self._routing_state.evacuations.zones
        returned, self._evacuated_zones = self._evacuated_zones - evacuated, evacuated
        records = self._routing_state.catalog.list_all()
        for record in records:
            if record.availability_zone in returned:
                self._cold_starts.mark_returned(record)
        EVACUATED_ZONES.set({}, len(evacuated))
        self._zones.report_unknown_zones(records)
        self._update_peers()
        self._dispatcher.apply_zone_changes()

    def _on_upstream_changed(self, instance: str) -> None:
        self._update_peers()
        self._dispatcher.apply_zone_changes()

    def _drop_removed_upstreams(self) -> None:
        """Drop the state of upstreams that are no longer listed.

        The instance identifier of an upstream changes on each restart.
        """
        records = self._routing_state.catalog.list_all()
        instances = {record.instance for record in records}
        self._selector.retain(instances)
        self._limits.retain(instances)
        self._cold_starts.retain(instances)
        self._dispatcher.retain({str(record.address) for record in records})

    def _update_peers(self) -> None:
        """Select the engine subset and connect to the sidecar process of each engine in it."""
        port = self.settings.listen.peer_port
        engines = self._routing_state.list_engines()
        usable = [record for record in engines if not self._zones.is_evacuated(record)]
        self._engine_count = len(usable)
        self._engine_zones = {record.availability_zone for record in usable}
        subset = self._select_subset(usable)
        self._selector.engine_subset = subset
        # The processes of evacuated zones still relay documents.
        followed = subset if len(usable) == len(engines) else subset | self._select_subset(engines)
        self._hub.set_targets({Address(Address.parse(address).ip, port) for address in followed})

    def _select_subset(self, engines: list[UpstreamRecord]) -> frozenset[str]:
        return select_subset(
            engines,
            host=self.settings.listen.ip,
            availability_zone=self.settings.process.availability_zone,
        )

    def _on_engine_load(self, peer: Peer, load: EngineLoad) -> None:
        now = self._now()
        self._selector.entry_hosts = max(1, load.entry_hosts)
        # The sender counts only the entry hosts that are connected to it. They are about the same
        # fraction of all entry hosts as this host's subset is of all engines.
        entry_host_count = math.ceil(
            load.entry_hosts * self._engine_count / max(1, len(self._selector.engine_subset))
        )
        for budget in self._budgets_by_service.values():
            budget.update_entry_hosts(entry_host_count)
        self._zones_heard.add(peer.hello.availability_zone)
        self._limits.update_entry_hosts(
            entry_host_count,
            zones_heard=len(self._zones_heard & self._engine_zones),
            zones=len(self._engine_zones),
        )
        for record in self._routing_state.catalog.list_at(load.address):
            if load.cold_remaining_ms:
                self._cold_starts.observe_remaining(record, load.cold_remaining_ms)
            spec = self._routing_state.table.services_by_name.get(record.service)
            self._selector.update_report(
                record.instance,
                self._make_report(record, load, now),
                profile=spec.engine if spec is not None else None,
            )
        if self._dispatcher.has_waiting:
            self._dispatch_throttle.request()

    def _make_report(self, record: UpstreamRecord, load: EngineLoad, now: float) -> LoadReport:
        announced_use = self._selector.view(record.instance).announced_use
        return LoadReport(
            received_at=now,
            running=load.running,
            waiting=load.waiting,
            pace=load.pace,
            is_loading=load.is_loading,
            version_by_model=tuple(load.versions.items()),
            use_by_others=EngineUse(
                max(0, load.open_requests - announced_use.open_requests),
                max(0, load.pending_prompt_tokens - announced_use.pending_prompt_tokens),
            ),
        )
