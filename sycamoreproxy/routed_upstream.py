"""Sidecar process of an engine in a routed deployment: sends load reports and loads weights."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from functools import partial

from sycamoreproxy.beliefs import RoutingState
from sycamoreproxy.cold_starts import ColdStarts
from sycamoreproxy.crash_correlator import CrashCorrelator
from sycamoreproxy.engine_stage import (
    EngineReport,
    StagedEngine,
    StagedEngineError,
    WeightStager,
    may_switch,
)
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import EngineLoad, EngineUse, PeerStatus
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.permit_issuer import PermitIssuer
from sycamoreproxy.pulse import ThrottledAction
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_settings import RoutedSettings
from sycamoreproxy.state_http import StateServer
from sycamoreproxy.streams import Address, MessageServer
from sycamoreproxy.task_group import BackgroundTasks
from sycamoreproxy.watched_documents import DocumentReplica
from sycamoreproxy.weight_transfer import WeightTransfer

#: Intervals between reads of the engine's report, in seconds: while the engine switches weights and
#: its completion is awaited, while it has requests, and while it is idle. Entry hosts themselves
#: announce the load that they cause; the report adds the pace, the loaded versions and whether
#: weights are loading.
LOADING_READ_INTERVAL_S = 0.05
BUSY_READ_INTERVAL_S = 0.1
IDLE_READ_INTERVAL_S = 0.15
#: Minimum interval between load reports, in seconds. It applies to entry hosts of the own
#: availability zone while the engine is nearly full. Entry hosts that see a full engine for longer
#: all queue their requests, and all send them at the next report.
MIN_REPORT_INTERVAL_S = 0.05
#: Interval between load reports to entry hosts of other availability zones, in seconds. They send
#: fewer requests to this engine, and links between regions have little bandwidth and are billed.
REMOTE_ZONE_REPORT_INTERVAL_S = 0.15
#: Interval between load reports to entry hosts of the own availability zone, in seconds, while the
#: engine has room for more requests than they all send in that time.
SPARE_CAPACITY_REPORT_INTERVAL_S = 0.1
#: Fraction of an engine's slots in use from which it counts as nearly full.
NEARLY_FULL_FRACTION = 0.4
#: Interval at which an unchanged load is reported again, in seconds.
UNCHANGED_REPORT_INTERVAL_S = 0.3
#: Interval between heartbeats to peers, in seconds.
HEARTBEAT_INTERVAL_S = 1.0

#: Name of the group of hosts that exchange weight chunks with each other.
EXCHANGE_GROUP = "exchange"
#: Maximum number of hosts in one exchange group. With more, each availability zone forms its own
#: group and downloads its own copy from the origin. At 192 hosts, announcements to other zones are
#: sent every 1.4 s.
MAX_EXCHANGE_HOSTS = 192

_log = get_logger("routed_upstream")


class _ZoneReporter:
    """Sends load reports to entry hosts, less often to those of other availability zones."""

    def __init__(self, hub: PeerHub, *, own_zone: str) -> None:
        self._hub = hub
        self._own_zone = own_zone
        self._last_by_zone: dict[str, tuple[float, EngineLoad]] = {}

    def send(self, load: EngineLoad, *, now: float, slots: int = 0) -> None:
        """Send the load to the entry hosts of each availability zone for which a report is due.

        :param now: monotonic time in seconds.
        :param slots: number of requests that the engine runs concurrently; 0 if unknown.
        """
        entry_peers = self._hub.list_peers(role="entry")
        for zone in {peer.hello.availability_zone for peer in entry_peers}:
            sent_at, last_load = self._last_by_zone.get(zone, (-math.inf, None))
            if load == last_load:
                interval_s = UNCHANGED_REPORT_INTERVAL_S
            elif load.cold_remaining_ms and (last_load is None or not last_load.cold_remaining_ms):
                interval_s = 0.0
            elif zone != self._own_zone:
                interval_s = REMOTE_ZONE_REPORT_INTERVAL_S
            else:
                interval_s = _choose_own_zone_interval_s(load, last_load, slots)
            if now - sent_at < interval_s:
                continue
            self._hub.broadcast(load, role="entry", availability_zone=zone)
            self._last_by_zone[zone] = (now, load)


def _choose_own_zone_interval_s(
    load: EngineLoad, last_load: EngineLoad | None, slots: int
) -> float:
    """Return the minimum interval between a report to the own zone and one of a changed load."""
    if (
        last_load is None
        or load.is_loading != last_load.is_loading
        or load.versions != last_load.versions
    ):
        return 0.0
    occupied = max(load.open_requests, last_load.open_requests)
    # RoutedUpstream's throttle limits the report rate of a nearly full engine.
    return SPARE_CAPACITY_REPORT_INTERVAL_S if occupied < NEARLY_FULL_FRACTION * slots else 0.0


class RoutedUpstream:
    """Runs the background tasks of an engine's sidecar process.

    :mod:`sycamoreproxy.routed_composition` builds its dependencies.

    :param now_ms: returns the Unix time in milliseconds.
    """

    def __init__(
        self,
        *,
        settings: RoutedSettings,
        hub: PeerHub,
        peer_server: MessageServer,
        replica: DocumentReplica,
        routing_state: RoutingState,
        engine: StagedEngine,
        transfer: WeightTransfer,
        stager: WeightStager,
        crashes: CrashCorrelator,
        permits: PermitIssuer,
        cold_starts: ColdStarts,
        now_ms: Callable[[], float],
        state: StateServer,
        tasks: BackgroundTasks,
    ) -> None:
        assert settings.engine is not None
        self._settings = settings
        self._address = str(settings.engine.address)
        self._hub = hub
        self._peer_server = peer_server
        self._replica = replica
        self._routing_state = routing_state
        self._engine = engine
        self._transfer = transfer
        self._stager = stager
        self._crashes = crashes
        self._permits = permits
        self._cold_starts = cold_starts
        self._now_ms = now_ms
        self._state = state
        self._tasks = tasks
        self._report: EngineReport | None = None
        self._failed_reads = 0
        self._use_by_peer: dict[Peer, EngineUse] = {}
        self._zone_reporter = _ZoneReporter(hub, own_zone=settings.process.availability_zone)
        self._report_throttle = ThrottledAction(
            period_s=MIN_REPORT_INTERVAL_S, action=self._send_due_reports
        )
        self._neighbours: tuple[HostRecord, ...] = ()
        #: Catalog revision and route table from which the neighbours were computed.
        self._neighbours_cache_key: tuple[int, RouteTable | None] = (-1, None)
        hub.on(EngineUse, self._on_engine_use)
        hub.on_close(self._on_peer_closed)

    @property
    def report(self) -> EngineReport | None:
        """Last report of the engine; None if the engine is unreachable."""
        return self._report

    @property
    def model(self) -> str:
        """Name of the model that the engine's service serves; empty while unknown."""
        records = self._routing_state.catalog.list_at(self._address)
        if not records:
            return ""
        spec = self._routing_state.table.services_by_name.get(records[0].service)
        if spec is None or spec.engine is None or not spec.engine.chunks:
            return ""
        return next(iter(spec.engine.models), "")

    def may_switch(self, model: str, version: int) -> bool:
        """Return whether the engine may load a version now; see ``engine_stage.may_switch``."""
        catalog = self._routing_state.catalog
        own_records = catalog.list_at(self._address)
        if not own_records:
            return True
        own_record = own_records[0]
        records = sorted(
            (
                record
                for record in catalog.list_all()
                if record.service == own_record.service and not catalog.is_leaving(record.instance)
            ),
            key=lambda record: (record.availability_zone, record.instance),
        )
        if own_record not in records:
            return True
        return may_switch(
            index=records.index(own_record),
            loaded_versions=[dict(r.version_by_model).get(model, 0) for r in records],
            target=version,
            time_to_cutover_s=self._routing_state.targets.time_to_cutover_s(model, version),
        )

    def reload(self, settings: RoutedSettings) -> None:
        """Apply changed bounds; changed addresses take effect only after a restart."""
        self._settings = settings
        self._routing_state.set_bounds(settings.bounds)
        self._cold_starts.set_bounds(
            overage=settings.bounds.cold_overage, slack=settings.bounds.cold_slack
        )

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        listen = self._settings.listen
        self._peer_server.listen(listen.peer_port, listen.ip)
        self._state.listen(listen.ip, listen.state_port)
        for prefix in self._replica.prefixes:
            self._tasks.start(f"watch {prefix}", partial(self._replica.follow, prefix))
        self._tasks.start("heartbeat", self._send_heartbeats)
        self._tasks.start("load reports", self._poll_engine)
        self._tasks.start("weights", self._transfer.run)
        self._tasks.start("staging", self._stager.run)

    async def drain(self) -> None:
        """Do nothing; no caller waits for work in this process."""

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self._report_throttle.close()
        self._permits.close()
        await self._tasks.close()
        self._peer_server.stop()
        await self._hub.close()
        await self._state.close()

    def list_neighbours(self) -> tuple[HostRecord, ...]:
        """Return the hosts of engines that serve the same weights, including this host.

        The origin's link transfers a copy of a version in a third of the time that a host needs to
        receive one, so the hosts of all availability zones share a single download from the origin.

        :returns: the same object until the catalog or the route table changes.
        """
        cache_key = (self._routing_state.catalog.revision, self._routing_state.table)
        if (
            cache_key[0] != self._neighbours_cache_key[0]
            or cache_key[1] is not self._neighbours_cache_key[1]
        ):
            self._neighbours = tuple(self._build_neighbours())
            self._neighbours_cache_key = cache_key
        return self._neighbours

    def _build_neighbours(self) -> Iterable[HostRecord]:
        port = self._settings.listen.peer_port
        zone = self._settings.process.availability_zone
        records = self._routing_state.list_engines()
        for record in records:
            is_in_exchange_group = (
                len(records) <= MAX_EXCHANGE_HOSTS or record.availability_zone == zone
            )
            peer = Address(record.address.ip, port)
            yield HostRecord(
                host=record.address.ip,
                role="upstream",
                availability_zone=record.availability_zone,
                region=EXCHANGE_GROUP if is_in_exchange_group else record.availability_zone,
                peer=peer,
                admin=peer,
                state=(
                    "leaving" if self._routing_state.catalog.is_leaving(record.instance) else "live"
                ),
                kind="engine",
                name=record.service,
            )

    def send_load(self) -> None:
        """Send the engine's load to all entry hosts without waiting for the next report."""
        if self._report is not None:
            self._hub.broadcast(self._make_load(self._report), role="entry")

    async def _send_heartbeats(self) -> None:
        while True:
            heartbeat = PeerStatus("ready", self._routing_state.table.revision, "")
            self._hub.broadcast(heartbeat, role="upstream")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _poll_engine(self) -> None:
        while True:
            try:
                report = await self._engine.read_report()
            except StagedEngineError as error:
                self._failed_reads += 1
                if self._report is not None:
                    _log.warning("engine lost", error=str(error))
                    self._crashes.record_engine_lost(self._describe_lifetime(self._report))
                self._report = None
            else:
                if self._report is None:
                    _log.info("engine reached", failures=self._failed_reads)
                    self._failed_reads = 0
                elif self._report.started_ms != report.started_ms:
                    self._crashes.record_engine_lost(self._describe_lifetime(self._report))
                self._log_version_change(self._report, report)
                self._note_cold_start(report)
                self._report = report
                self._report_throttle.request()
            await asyncio.sleep(self._choose_read_interval_s())

    def _note_cold_start(self, report: EngineReport) -> None:
        """Note that the engine has started or is cold; this process sees it first."""
        for record in self._routing_state.catalog.list_at(self._address):
            service = self._routing_state.table.services_by_name.get(record.service)
            self._cold_starts.observe_remaining(record, report.cold_remaining_ms)
            if service is None or not report.started_ms:
                continue
            # The engine runs on this machine and has the same clock.
            age_ms = self._now_ms() - report.started_ms
            if 0 <= age_ms < service.cold_start_s * 1000:
                remaining_ms = service.cold_start_s * 1000 - age_ms
                self._cold_starts.observe_remaining(record, remaining_ms)

    def _find_cold_remaining_ms(self) -> int:
        records = self._routing_state.catalog.list_at(self._address)
        remaining_s = max(map(self._cold_starts.find_remaining_s, records), default=0.0)
        return math.ceil(remaining_s * 1000)

    def _describe_lifetime(self, report: EngineReport) -> str:
        return f"{self._address}/{report.started_ms}"

    def _choose_read_interval_s(self) -> float:
        """Return the delay before the next read of the engine's report."""
        report = self._report
        if report is None:
            return BUSY_READ_INTERVAL_S
        if report.is_loading or self._stager.is_switching(report):
            return LOADING_READ_INTERVAL_S
        return BUSY_READ_INTERVAL_S if report.running or report.waiting else IDLE_READ_INTERVAL_S

    def _send_due_reports(self) -> None:
        """Send the last report to the availability zones for which one is due."""
        if self._report is None:
            return
        records = self._routing_state.catalog.list_at(self._address)
        self._zone_reporter.send(
            self._make_load(self._report),
            now=asyncio.get_running_loop().time(),
            slots=records[0].slots if records else 0,
        )

    @staticmethod
    def _log_version_change(previous: EngineReport | None, current: EngineReport) -> None:
        """Log a change of the versions that the engine has loaded."""
        if previous is None or previous.version_by_model != current.version_by_model:
            _log.info(
                "weights in use",
                versions=dict(current.version_by_model),
                before=None if previous is None else dict(previous.version_by_model),
                running=current.running,
                waiting=current.waiting,
            )

    def _on_engine_use(self, peer: Peer, use: EngineUse) -> None:
        self._use_by_peer[peer] = use
        self._report_throttle.request()

    def _on_peer_closed(self, peer: Peer) -> None:
        # An entry host whose connection is lost sends no further requests here, and those it has in
        # progress end within seconds.
        self._use_by_peer.pop(peer, None)

    def _make_load(self, report: EngineReport) -> EngineLoad:
        return EngineLoad(
            address=self._address,
            running=report.running,
            waiting=report.waiting,
            pace=report.pace,
            is_loading=report.is_loading or self._stager.is_switching(report),
            versions=dict(report.version_by_model),
            entry_hosts=len(self._hub.list_peers(role="entry")),
            open_requests=sum(use.open_requests for use in self._use_by_peer.values()),
            pending_prompt_tokens=sum(
                use.pending_prompt_tokens for use in self._use_by_peer.values()
            ),
            cold_remaining_ms=self._find_cold_remaining_ms(),
        )
