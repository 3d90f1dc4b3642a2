"""The composition root of a routed deployment: builds the parts of a process and wires them."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from sycamoreproxy.beliefs import RoutingState
from sycamoreproxy.chunk_plan import PlanLimits
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.cold_starts import ColdStarts
from sycamoreproxy.machine_limits import read_machine_limits
from sycamoreproxy.messages import Hello
from sycamoreproxy.origins import Origin, OriginError
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.platform_adapter import PlatformAdapter, platforms
from sycamoreproxy.routed_settings import RoutedSettings
from sycamoreproxy.routed_upstream import EXCHANGE_GROUP
from sycamoreproxy.stalls import StallDetector
from sycamoreproxy.state_http import StateServer
from sycamoreproxy.streams import MessageServer
from sycamoreproxy.task_group import BackgroundTasks
from sycamoreproxy.upstream_book import UpstreamCatalog, UpstreamRecord
from sycamoreproxy.watched_documents import (
    COALESCE_S,
    MIN_SHARED_BOUND_S,
    UPSTREAM_COALESCE_FRACTION,
    DocumentReplica,
)
from sycamoreproxy.weight_targets import WeightTargets
from sycamoreproxy.zone_readers import ZoneReaders

if TYPE_CHECKING:
    from sycamoreproxy.route_table import ServiceSpec
    from sycamoreproxy.weights import Manifest

#: Parts of a host's link that weights may use. Live answers leave over the same link as uploads,
#: while downloads share it with the much smaller requests.
DOWNLOAD_LINK_FRACTION = 0.95
UPLOAD_LINK_FRACTION = 0.85
#: Uploads leave in slices of this size, in bytes: 14 ms of a link of 4.7 Mbit/s, where a whole
#: chunk of 49,152 bytes would hold up live answers for 84 ms.
UPLOAD_SLICE_BYTES = 8_192
#: Copies of a version that a host uploads at most. The mean is below one; hosts of small zones and
#: repeats after failures need more, and the rate of the link bounds it in any case.
UPLOAD_COPIES = 3.0
#: Chunks asked for at once. Four sources keep the link busy; more would queue before it, and live
#: requests behind them.
CHUNKS_IN_FLIGHT = 4
#: Waits of a transfer, in seconds. All hosts must hold a version within a few seconds, so a source
#: that does not answer is left much sooner than on deployments with large weights.
CHUNK_REQUEST_S = 1.5
TAKE_OVER_S = 1.0
AVOID_FAILED_S = 1.5
ORIGIN_STALL_S = 1.0
QUIET_S = 5.0
#: Longest pause before a manifest is asked for again, in seconds: the origin may be back for only a few
#: seconds in which all hosts must take a version, and a refused call costs next to nothing.
MANIFEST_RETRY_S = 0.4


def make_plan_limits(*, link_bytes_per_s: float, availability_zone: str) -> PlanLimits:
    """Return the limits of the weight transfer of an engine's sidecar process.

    :param link_bytes_per_s: rate of the host's link each way.
    """
    return PlanLimits(
        bytes_per_s=link_bytes_per_s * DOWNLOAD_LINK_FRACTION,
        upload_bytes_per_s=link_bytes_per_s * UPLOAD_LINK_FRACTION,
        upload_slice_bytes=UPLOAD_SLICE_BYTES,
        upload_copies=UPLOAD_COPIES,
        in_flight=CHUNKS_IN_FLIGHT,
        in_flight_per_source=1,
        takeover_timeout_s=TAKE_OVER_S,
        request_timeout_s=CHUNK_REQUEST_S,
        failed_peer_backoff_s=AVOID_FAILED_S,
        availability_zone=availability_zone,
        origin_stall_timeout_s=ORIGIN_STALL_S,
        rollout_idle_timeout_s=QUIET_S,
        max_manifest_retry_s=MANIFEST_RETRY_S,
        balances_small_versions=True,
    )


class RoutedProcess(Protocol):
    """A process of a routed deployment."""

    async def start(self) -> None:
        """Open the listeners and start the tasks."""

    async def drain(self) -> None:
        """Take no new work and finish what is in progress."""

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""

    def reload(self, settings: RoutedSettings) -> None:
        """Apply changed settings."""


class _Parts:
    """The parts that both roles have."""

    def __init__(self, settings: RoutedSettings, adapter: PlatformAdapter) -> None:
        process = settings.process
        self.clock = SystemClock()
        self.machine = read_machine_limits(settings.machine)
        self.stalls = StallDetector(clock=self.clock)
        self.documents = adapter.documents()
        self.hub = PeerHub(
            hello=Hello(
                host=settings.listen.ip,
                process_id=secrets.token_hex(8),
                role="entry" if process.role == "routed-entry" else "upstream",
                availability_zone=process.availability_zone,
                region=EXCHANGE_GROUP,
            ),
            client_tls=None,
        )
        self.readers = ZoneReaders(hub=self.hub)
        self.replica = DocumentReplica(
            source=adapter.open_source(str(settings.store.address)),
            hub=self.hub,
            prefixes=self._list_prefixes(settings),
            clock=self.clock,
            pause_s=self._find_pause_s,
            shared_prefixes=self.documents.shared_prefixes,
            pushed_prefixes=(
                self.documents.upstream_prefixes
                if settings.bounds.leave_s >= MIN_SHARED_BOUND_S
                else ()
            ),
            find_readers=self.readers.find,
            stall_lag_s=lambda: self.stalls.lag_s,
        )
        self.catalog = UpstreamCatalog(clock=self.clock, leave_s=settings.bounds.leave_s)
        self.targets = WeightTargets(clock=self.clock, bound_s=settings.bounds.version_s)
        self.routing_state = RoutingState(
            decoder=self.documents,
            replica=self.replica,
            catalog=self.catalog,
            targets=self.targets,
            clock=self.clock,
        )
        self.cold_starts = ColdStarts(
            clock=self.clock,
            find_service=lambda name: self.routing_state.table.services_by_name.get(name),
            overage=settings.bounds.cold_overage,
            slack=settings.bounds.cold_slack,
        )
        self.routing_state.on_record = lambda record, is_first_read: (
            self.cold_starts.observe_record(record, is_first_read=is_first_read)
        )
        self.tasks = BackgroundTasks()
        self.tasks.start("stalls", self.stalls.run)

    def _list_prefixes(self, settings: RoutedSettings) -> tuple[str, ...]:
        """Return the prefixes to watch.

        The zone's readers relay evacuations, which takes too long for a short bound.
        """
        if settings.bounds.evacuate_s >= MIN_SHARED_BOUND_S:
            return self.documents.prefixes
        return (*self.documents.prefixes, self.documents.evacuation_prefix)

    def _find_pause_s(self, prefix: str) -> float:
        if prefix in self.documents.upstream_prefixes:
            return self.catalog.leave_bound_s * UPSTREAM_COALESCE_FRACTION
        return COALESCE_S


def build_routed_process(settings: RoutedSettings) -> RoutedProcess:
    """Return the process of these settings, not started."""
    import sycamoreproxy.platform.adapter  # noqa: F401  registers itself

    adapter = platforms.get(settings.store.adapter)
    parts = _Parts(settings, adapter)
    if settings.process.role == "routed-entry":
        return _build_entry(settings, adapter, parts)
    return _build_upstream(settings, adapter, parts)


def _build_entry(
    settings: RoutedSettings, adapter: PlatformAdapter, parts: _Parts
) -> RoutedProcess:
    from sycamoreproxy.connection_limits import make_connection_limits
    from sycamoreproxy.held_bytes import MAX_BUFFERED_BYTES
    from sycamoreproxy.permit_issuer import LIMITS_MIN_PROTOCOL
    from sycamoreproxy.placement import UpstreamSelector
    from sycamoreproxy.prompt_quarantine import PromptQuarantine
    from sycamoreproxy.regions import ZoneFilter, read_zones
    from sycamoreproxy.resend_budget import ResendBudget
    from sycamoreproxy.routed_dispatch import RoutedDispatcher
    from sycamoreproxy.routed_entry import RoutedEntry
    from sycamoreproxy.routed_http import RoutedCallerServer
    from sycamoreproxy.upstream_limits import UpstreamLimits
    from sycamoreproxy.upstream_subset import choose_coordinator

    def find_sidecar(ip: str) -> Peer | None:
        return parts.hub.find_peer(ip, role="upstream", min_protocol=LIMITS_MIN_PROTOCOL)

    def find_coordinator(record: UpstreamRecord) -> Peer | None:
        if record.is_engine:
            return None
        ip = choose_coordinator(parts.routing_state.list_engines(), record.instance)
        return None if ip is None else find_sidecar(ip)

    limits = UpstreamLimits(
        clock=parts.clock,
        random_source=random.Random(),
        find_issuer=lambda record: find_sidecar(record.address.ip),
        find_coordinator=find_coordinator,
        list_relays=lambda: [
            peer
            for peer in parts.hub.list_peers(role="upstream")
            if peer.hello.protocol >= LIMITS_MIN_PROTOCOL
        ],
        cold_starts=parts.cold_starts,
    )
    selector = UpstreamSelector(
        clock=parts.clock,
        availability_zone=settings.process.availability_zone,
        random_source=random.Random(),
        permits=limits.permits,
        cold_pace=parts.cold_starts.find_pace,
    )
    budgets_by_service: dict[str, ResendBudget] = {}
    built: list[RoutedEntry] = []

    def budget_for(service: str) -> ResendBudget:
        budget = budgets_by_service.get(service)
        if budget is None:
            bounds = built[0].settings.bounds
            budget = ResendBudget(
                clock=parts.clock,
                ratio=bounds.resend_ratio,
                slack=bounds.resend_slack,
                window_s=bounds.resend_window_s,
            )
            budgets_by_service[service] = budget
        return budget

    quarantine = PromptQuarantine(clock=parts.clock)
    zones = ZoneFilter(
        read_zones(settings.zones),
        find_evacuated=lambda: parts.routing_state.evacuations.zones,
    )
    dialect = adapter.dialect()
    dispatcher = RoutedDispatcher(
        dialect=dialect,
        table=lambda: parts.routing_state.serving_table,
        catalog=parts.catalog,
        selector=selector,
        targets=parts.targets,
        budget_for=budget_for,
        quarantine=quarantine,
        limits=limits,
        zones=zones,
        clock=parts.clock,
        random_source=random.Random(),
    )
    caller_limits = make_connection_limits(
        parts.machine, max_connections=parts.machine.proxied_connections, clock=parts.clock
    )
    dispatcher.max_idle_connections = min(
        dispatcher.max_idle_connections, parts.machine.port_connections
    )
    dispatcher.buffer_budget.max_bytes = min(MAX_BUFFERED_BYTES, parts.machine.response_bytes)
    caller_server = RoutedCallerServer(dispatcher=dispatcher, dialect=dialect, limits=caller_limits)
    parts.tasks.start("caller limits", caller_limits.run)
    state = StateServer(
        sections_by_name={
            "documents": parts.replica.describe,
            "routes": lambda: {"revision": parts.routing_state.table.revision},
            "evacuations": parts.routing_state.evacuations.describe,
            "upstreams": selector.describe,
            "limits": limits.describe,
            "zones": zones.describe,
            "cold": parts.cold_starts.describe,
            "waiting": dispatcher.count_waiting,
            "quarantine": quarantine.list_times_left,
            "open_requests": lambda: dispatcher.open_requests,
            "callers": caller_limits.describe,
            "tasks": parts.tasks.list_names,
        },
        max_connections=parts.machine.port_connections,
    )
    process = RoutedEntry(
        settings=settings,
        hub=parts.hub,
        replica=parts.replica,
        routing_state=parts.routing_state,
        selector=selector,
        dispatcher=dispatcher,
        caller_server=caller_server,
        state=state,
        tasks=parts.tasks,
        budgets_by_service=budgets_by_service,
        quarantine=quarantine,
        limits=limits,
        zones=zones,
        cold_starts=parts.cold_starts,
        now=parts.clock.monotonic,
        max_port_connections=parts.machine.port_connections,
    )
    built.append(process)
    return process


class _LazyOrigin:
    """The origin that the configuration names, opened when it is first used."""

    def __init__(
        self, *, routing_state: RoutingState, open_origin: Callable[[str], Origin]
    ) -> None:
        self._routing_state = routing_state
        self._open_origin = open_origin
        self._address = ""
        self._origin: Origin | None = None

    async def read_manifest(self, version: str) -> Manifest:
        """Return the manifest of a version; see ``Origin``."""
        return await self._current().read_manifest(version)

    async def read_chunk(self, manifest: Manifest, index: int) -> bytes:
        """Return the bytes of a chunk; see ``Origin``."""
        return await self._current().read_chunk(manifest, index)

    def close(self) -> None:
        """Release connections."""
        if self._origin is not None:
            self._origin.close()

    def find_connection_limit(self) -> int:
        """Return how many connections the origin accepts in all; 0 if it is not known."""
        service = self._find_service()
        return 0 if service is None else service.max_connections

    def _find_service(self) -> ServiceSpec | None:
        services = self._routing_state.table.services_by_name.values()
        return next((spec for spec in services if spec.origin), None)

    def _current(self) -> Origin:
        service = self._find_service()
        if service is None:
            raise OriginError("the configuration names no origin")
        address = service.origin
        if self._origin is None or address != self._address:
            self.close()
            self._address, self._origin = address, self._open_origin(address)
        return self._origin


def _build_upstream(
    settings: RoutedSettings, adapter: PlatformAdapter, parts: _Parts
) -> RoutedProcess:
    from sycamoreproxy.crash_correlator import CrashCorrelator
    from sycamoreproxy.crash_evidence import CrashEvidence
    from sycamoreproxy.engine_stage import WeightStager
    from sycamoreproxy.permit_issuer import PermitIssuer
    from sycamoreproxy.routed_upstream import RoutedUpstream
    from sycamoreproxy.weight_transfer import WeightTransfer
    from sycamoreproxy.weights import ChunkStore

    assert settings.engine is not None
    engine = adapter.open_engine(str(settings.engine.address))
    chunks = ChunkStore()
    origin = _LazyOrigin(routing_state=parts.routing_state, open_origin=adapter.open_origin)
    built: list[RoutedUpstream] = []
    transfer = WeightTransfer(
        hub=parts.hub,
        chunks=chunks,
        origin=origin,
        origin_connections=origin.find_connection_limit,
        hosts=lambda: built[0].list_neighbours(),
        limits=make_plan_limits(
            link_bytes_per_s=settings.engine.link_bytes_per_s,
            availability_zone=settings.process.availability_zone,
        ),
        clock=parts.clock,
        random_source=random.Random(),
        read_local=lambda manifest: stager.read_staged(manifest),
    )
    stager = WeightStager(
        engine=engine,
        transfer=transfer,
        chunks=chunks,
        targets=parts.targets,
        model=lambda: built[0].model,
        report=lambda: built[0].report,
        may_switch=lambda model, version: built[0].may_switch(model, version),
        on_switching=lambda: built[0].send_load(),
        clock=parts.clock,
    )
    permits = PermitIssuer(hub=parts.hub, clock=parts.clock)
    state = StateServer(
        sections_by_name={
            "documents": parts.replica.describe,
            "routes": lambda: {"revision": parts.routing_state.table.revision},
            "evacuations": parts.routing_state.evacuations.describe,
            "limits": permits.describe,
            "cold": parts.cold_starts.describe,
            "weights": lambda: transfer.state,
            "engine": lambda: built[0].report,
            "tasks": parts.tasks.list_names,
        },
        max_connections=parts.machine.port_connections,
    )
    process = RoutedUpstream(
        settings=settings,
        hub=parts.hub,
        peer_server=MessageServer(
            handle=parts.hub.serve, tls=None, max_silent=parts.machine.port_connections
        ),
        replica=parts.replica,
        routing_state=parts.routing_state,
        engine=engine,
        transfer=transfer,
        stager=stager,
        crashes=CrashCorrelator(
            hub=parts.hub, evidence=CrashEvidence(clock=parts.clock), clock=parts.clock
        ),
        permits=permits,
        cold_starts=parts.cold_starts,
        now_ms=lambda: parts.clock.wall() * 1000,
        state=state,
        tasks=parts.tasks,
    )
    built.append(process)
    return process
