"""The process beside an engine on a routed deployment: load reports and weights."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from functools import partial

from sycamoreproxy.beliefs import DocumentDecoder, RoutingState
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
from sycamoreproxy.pulse import ThrottledAction
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_settings import RoutedSettings
from sycamoreproxy.state_http import StateServer
from sycamoreproxy.streams import Address, MessageServer
from sycamoreproxy.task_group import BackgroundTasks
from sycamoreproxy.watched_documents import DocumentReplica
from sycamoreproxy.weight_transfer import WeightTransfer

#: Times between two reads of the engine's report, in seconds: while it loads weights, when its end is
#: waited for, while it has requests, and while it has none. What entry hosts have there is known from
#: themselves; the report adds pace, weights and whether it loads.
LOADING_PERIOD_S = 0.05
BUSY_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.15
#: Shortest time between two load reports, in seconds; entry hosts of the own zone get them so often while
#: the engine is nearly full. Hosts that see a full engine for longer all hold their requests, and all send
#: them at the next report.
NEAR_REPORT_PERIOD_S = 0.05
#: Time between two load reports to entry hosts of other availability zones, in seconds. They send less
#: here, and the links between regions are narrow and priced.
FAR_REPORT_PERIOD_S = 0.15
#: The same for entry hosts of the own zone while the engine has room for more requests than they all send
#: in that time.
ROOM_REPORT_PERIOD_S = 0.1
#: Part of an engine's slots that requests take from which on it counts as nearly full.
NEARLY_FULL_FRACTION = 0.4
#: An unchanged load is sent again after this time, in seconds.
UNCHANGED_PERIOD_S = 0.3
#: Time between two heartbeats to peers, in seconds.
HEARTBEAT_S = 1.0

#: Name of the group of hosts that exchange chunks with each other.
EXCHANGE_GROUP = "exchange"
#: Hosts that all exchange chunks with each other; with more, each zone is a group of its own and takes
#: its own copy from the origin. At 192 hosts announcements to other zones come every 1.4 s.
MAX_EXCHANGE_HOSTS = 192

_log = get_logger("routed_upstream")


class _ZoneReports:
    """Sends load reports to entry hosts: often to those of the own zone, less often to others."""

    def __init__(self, hub: PeerHub, *, own_zone: str) -> None:
        self._hub = hub
        self._own_zone = own_zone
        self._last_by_zone: dict[str, tuple[float, EngineLoad]] = {}

    def send(self, load: EngineLoad, *, now: float, slots: int = 0) -> None:
        """Send a report to each zone where one is due.

        :param now: monotonic time.
        :param slots: requests that the engine runs at once; 0 if not known.
        """
        entries = self._hub.list_peers(role="entry")
        for zone in {peer.hello.availability_zone for peer in entries}:
            at, last = self._last_by_zone.get(zone, (-math.inf, None))
            if load == last:
                period = UNCHANGED_PERIOD_S
            elif zone != self._own_zone:
                period = FAR_REPORT_PERIOD_S
            else:
                period = _choose_near_period_s(load, last, slots)
            if now - at < period:
                continue
            self._hub.broadcast(load, role="entry", availability_zone=zone)
            self._last_by_zone[zone] = (now, load)


def _choose_near_period_s(load: EngineLoad, last: EngineLoad | None, slots: int) -> float:
    """Return the time after the last report at which a changed one is due in the own zone."""
    if last is None or load.is_loading != last.is_loading or load.versions != last.versions:
        return 0.0
    occupied = max(load.open_requests, last.open_requests)
    # The pulse bounds the rate of a nearly full engine.
    return ROOM_REPORT_PERIOD_S if occupied < NEARLY_FULL_FRACTION * slots else 0.0


class RoutedUpstream:
    """Owns the tasks of the process beside an engine.

    All parts are built by :mod:`sycamoreproxy.routed_composition`.
    """

    def __init__(
        self,
        *,
        settings: RoutedSettings,
        documents: DocumentDecoder,
        hub: PeerHub,
        peer_server: MessageServer,
        replica: DocumentReplica,
        routing_state: RoutingState,
        engine: StagedEngine,
        transfer: WeightTransfer,
        stager: WeightStager,
        state: StateServer,
        tasks: BackgroundTasks,
    ) -> None:
        assert settings.engine is not None
        self._settings = settings
        self._address = str(settings.engine.address)
        self._documents = documents
        self._hub = hub
        self._peer_server = peer_server
        self._replica = replica
        self._routing_state = routing_state
        self._engine = engine
        self._transfer = transfer
        self._stager = stager
        self._state = state
        self._tasks = tasks
        self._report: EngineReport | None = None
        self._failures = 0
        self._use_by_peer: dict[Peer, EngineUse] = {}
        self._zones = _ZoneReports(hub, own_zone=settings.process.availability_zone)
        self._pulse = ThrottledAction(period_s=NEAR_REPORT_PERIOD_S, action=self._send_due)
        self._neighbours: tuple[HostRecord, ...] = ()
        #: Revision of the catalog and routes from which the neighbours were listed.
        self._neighbours_basis: tuple[int, RouteTable | None] = (-1, None)
        hub.on(EngineUse, self._take_use)
        hub.on_close(self._forget_use)

    @property
    def report(self) -> EngineReport | None:
        """The engine's last report; None if it can't be reached."""
        return self._report

    @property
    def model(self) -> str:
        """Name of the model that the engine's service serves, empty while it is not known."""
        records = self._routing_state.catalog.list_at(self._address)
        if not records:
            return ""
        spec = self._routing_state.table.services_by_name.get(records[0].service)
        if spec is None or spec.engine is None or not spec.engine.chunks:
            return ""
        return next(iter(spec.engine.models), "")

    def may_switch(self, model: str, version: int) -> bool:
        """Return whether the engine may load a version now."""
        catalog = self._routing_state.catalog
        held = catalog.list_at(self._address)
        if not held:
            return True
        own = held[0]
        records = sorted(
            (
                record
                for record in catalog.list_all()
                if record.service == own.service and not catalog.is_leaving(record.instance)
            ),
            key=lambda record: (record.availability_zone, record.instance),
        )
        if own not in records:
            return True
        return may_switch(
            index=records.index(own),
            loaded_versions=[dict(r.version_by_model).get(model, 0) for r in records],
            target=version,
            time_to_cutover_s=self._routing_state.targets.time_to_cutover_s(model, version),
        )

    def reload(self, settings: RoutedSettings) -> None:
        """Apply changed bounds; addresses need a restart."""
        self._settings = settings
        self._routing_state.set_bounds(settings.bounds)

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        listen = self._settings.listen
        self._peer_server.listen(listen.peer_port, listen.ip)
        self._state.listen(listen.ip, listen.state_port)
        for prefix in self._documents.prefixes:
            self._tasks.start(f"watch {prefix}", partial(self._replica.follow, prefix))
        self._tasks.start("heartbeat", self._beat)
        self._tasks.start("load reports", self._follow_engine)
        self._tasks.start("weights", self._transfer.run)
        self._tasks.start("staging", self._stager.run)

    async def drain(self) -> None:
        """Nothing is in progress that a caller waits for."""

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self._pulse.close()
        await self._tasks.close()
        self._peer_server.stop()
        await self._hub.close()
        await self._state.close()

    def list_neighbours(self) -> tuple[HostRecord, ...]:
        """Return the hosts of engines with the same weights, this one included.

        The origin's link carries one copy of a version in a third of the time that a host takes to
        receive one, so the hosts of all zones share a single copy of the origin.

        :returns: the same object until the catalog or the configuration changes.
        """
        basis = (self._routing_state.catalog.revision, self._routing_state.table)
        if basis[0] != self._neighbours_basis[0] or basis[1] is not self._neighbours_basis[1]:
            self._neighbours = tuple(self._find_neighbours())
            self._neighbours_basis = basis
        return self._neighbours

    def _find_neighbours(self) -> Iterable[HostRecord]:
        port = self._settings.listen.peer_port
        zone = self._settings.process.availability_zone
        records = self._routing_state.list_engines()
        for record in records:
            is_near = len(records) <= MAX_EXCHANGE_HOSTS or record.availability_zone == zone
            peer = Address(record.address.ip, port)
            yield HostRecord(
                host=record.address.ip,
                role="upstream",
                availability_zone=record.availability_zone,
                region=EXCHANGE_GROUP if is_near else record.availability_zone,
                peer=peer,
                admin=peer,
                state=(
                    "leaving" if self._routing_state.catalog.is_leaving(record.instance) else "live"
                ),
                kind="engine",
                name=record.service,
            )

    def send_load(self) -> None:
        """Tell the entry hosts the engine's load now."""
        if self._report is not None:
            self._hub.broadcast(self._make_load(self._report), role="entry")

    async def _beat(self) -> None:
        while True:
            beat = PeerStatus("ready", self._routing_state.table.revision, "")
            self._hub.broadcast(beat, role="upstream")
            await asyncio.sleep(HEARTBEAT_S)

    async def _follow_engine(self) -> None:
        while True:
            try:
                report = await self._engine.read_report()
            except StagedEngineError as error:
                self._failures += 1
                if self._report is not None:
                    _log.warning("engine lost", error=str(error))
                self._report = None
            else:
                if self._report is None:
                    _log.info("engine reached", failures=self._failures)
                    self._failures = 0
                self._note_versions(self._report, report)
                self._report = report
                self._pulse.request()
            await asyncio.sleep(self._choose_read_period_s())

    def _choose_read_period_s(self) -> float:
        """Return the time until the engine's report is read again."""
        report = self._report
        if report is None:
            return BUSY_PERIOD_S
        if report.is_loading or self._stager.is_switching(report):
            return LOADING_PERIOD_S
        return BUSY_PERIOD_S if report.running or report.waiting else IDLE_PERIOD_S

    def _send_due(self) -> None:
        """Send the load to the zones where a report is due."""
        if self._report is None:
            return
        records = self._routing_state.catalog.list_at(self._address)
        self._zones.send(
            self._make_load(self._report),
            now=asyncio.get_running_loop().time(),
            slots=records[0].slots if records else 0,
        )

    @staticmethod
    def _note_versions(before: EngineReport | None, now: EngineReport) -> None:
        """Tell of weights that the engine has loaded."""
        if before is None or before.version_by_model != now.version_by_model:
            _log.info(
                "weights in use",
                versions=dict(now.version_by_model),
                before=None if before is None else dict(before.version_by_model),
                running=now.running,
                waiting=now.waiting,
            )

    def _take_use(self, peer: Peer, use: EngineUse) -> None:
        self._use_by_peer[peer] = use
        self._pulse.request()

    def _forget_use(self, peer: Peer) -> None:
        # A host whose stream is lost sends nothing more, and its requests end within seconds.
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
        )
