"""The composition root: builds the parts of a process and wires them."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from sycamoreproxy import host_list as _host_list
from sycamoreproxy import store_etcd as _store_etcd  # noqa: F401  registers its adapter
from sycamoreproxy.admin_commands import TableCommands
from sycamoreproxy.admin_http import AdminParts, AdminServer, OperatorBook, make_admin_application
from sycamoreproxy.admin_queries import DumpQuery, TableQueries
from sycamoreproxy.census import Census, CensusResponder
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.host_poller import HostPoller
from sycamoreproxy.invariants import add_violation_listener, violations_by_name
from sycamoreproxy.logs import get_logger
from sycamoreproxy.machine_limits import read_machine_limits
from sycamoreproxy.messages import Hello
from sycamoreproxy.metrics import VIOLATIONS
from sycamoreproxy.origins import Origin, origins
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.registry import Registry
from sycamoreproxy.settings import Settings, make_client_tls, make_server_tls
from sycamoreproxy.store import stores
from sycamoreproxy.streams import MessageServer
from sycamoreproxy.table_commands import TableEditor
from sycamoreproxy.table_queries import TableReader
from sycamoreproxy.table_sync import TableReplica
from sycamoreproxy.task_group import BackgroundTasks

if TYPE_CHECKING:
    from sycamoreproxy.engine_orders import EngineOwner
    from sycamoreproxy.weight_transfer import WeightTransfer

#: What a host's link carries in this time, in seconds, may be uploaded of any version.
SMALL_UPLOAD_S = 1.0

#: Longest wait for a manifest while an operator waits, and for one chunk, in seconds.
ORIGIN_TIMEOUT_S = 2.0
CHUNK_TIMEOUT_S = 10.0
#: Longest wait for an answer of an engine's control calls except that of a load, in seconds.
CONTROL_TIMEOUT_S = 5.0

_log = get_logger("composition")


class Process(Protocol):
    """A process of the system."""

    async def start(self) -> None:
        """Open the listeners and start the tasks."""

    async def drain(self) -> None:
        """Take no new work and finish what is in progress."""

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""


class CommonParts:
    """The parts that every role has.

    :param settings: the settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        process = settings.process
        self.settings = settings
        self.clock = SystemClock()
        self.machine = read_machine_limits(settings.machine)
        self.client_tls = make_client_tls(settings.tls)
        self.hello = Hello(
            host=process.host,
            process_id=secrets.token_hex(8),
            role=process.role,
            availability_zone=process.availability_zone,
            region=process.region,
        )
        self.hub = PeerHub(hello=self.hello, client_tls=self.client_tls)
        self.peer_server = MessageServer(
            handle=self.hub.serve,
            tls=make_server_tls(settings.tls, mutual=True),
            max_silent=self.machine.port_connections,
        )
        self.store = stores.get(settings.store.adapter)(
            settings.store.address, settings.store.timeout_s
        )
        self.poller = HostPoller(
            host_list=_host_list.host_lists.get(settings.host_list.adapter)(
                settings.host_list.address, 2.0
            ),
            period_s=settings.host_list.period_s,
        )
        self.replica = TableReplica(
            hub=self.hub, store=self.store, prefix=settings.store.prefix, clock=self.clock
        )
        self.tasks = BackgroundTasks()
        self.dump = DumpQuery(settings=settings)
        self.dump.add_section("tasks", self.tasks.list_names)
        self.dump.add_section("table", self._describe_table)
        self.dump.add_section("peers", self._describe_peers)
        self.dump.add_section("streams", self._describe_streams)
        self.dump.add_section("invariant_violations", lambda: dict(violations_by_name))
        add_violation_listener(_report_violation)

    def build_admin(
        self, *, responder: CensusResponder, explain_not_ready: Callable[[], str]
    ) -> AdminServer:
        """Return the administration API."""
        census = Census(
            hub=self.hub,
            responder=responder,
            hosts=lambda: self.poller.records,
            view=lambda: self.replica.view,
            client_tls=self.client_tls,
            clock=self.clock,
        )
        prefix = self.settings.store.prefix
        editor = TableEditor(
            store=self.store,
            prefix=prefix,
            clock=self.clock,
            minimum_revision=lambda: self.replica.view.revision,
            cached_snapshot=lambda: self.replica.view.snapshot,
        )
        parts = AdminParts(
            operators=OperatorBook(operators=self.settings.operators),
            queries=TableQueries(
                view=lambda: self.replica.view,
                reader=TableReader(store=self.store, prefix=prefix),
                census=census,
            ),
            commands=TableCommands(editor=editor, origin=self._build_origin()),
            dump=self.dump,
            readiness=explain_not_ready,
        )
        return AdminServer(
            application=make_admin_application(parts),
            tls=make_server_tls(self.settings.tls, mutual=False),
            machine=self.machine,
        )

    def _build_origin(self) -> Origin | None:
        weights = self.settings.weights
        if weights is None:
            return None
        return origins.get(weights.adapter)(weights.origin, ORIGIN_TIMEOUT_S)

    def _describe_table(self) -> dict[str, object]:
        view = self.replica.view
        return {
            "revision": view.revision,
            "digest": view.digest,
            "watching": self.replica.is_watching,
            "models": view.models(),
        }

    def _describe_streams(self) -> dict[str, int]:
        return {"bytes_in": self.hub.bytes_in, "bytes_out": self.hub.bytes_out}

    def _describe_peers(self) -> list[dict[str, object]]:
        return [
            {"host": peer.hello.host, "role": peer.hello.role, "outbound": peer.outbound}
            for peer in sorted(self.hub.peers, key=lambda peer: peer.hello.host)
        ]


def _report_violation(name: str, facts: dict[str, object]) -> None:
    _log.error("invariant violated", code=1902, invariant=name, facts=facts)
    VIOLATIONS.inc({"invariant": name})


#: Builders ``(parts) -> Process`` by role.
roles: Registry[Callable[[CommonParts], Process]] = Registry("role")


def build_process(settings: Settings) -> Process:
    """Return the process of these settings, with nothing started."""
    return roles.get(settings.process.role)(CommonParts(settings))


@roles.register("entry")
def build_entry(parts: CommonParts) -> Process:
    """Build the process of an entry host."""
    from sycamoreproxy.caller_http import CallerServer
    from sycamoreproxy.claims import ClaimRegistry
    from sycamoreproxy.dispatch import Dispatcher
    from sycamoreproxy.entry_role import EntryProcess
    from sycamoreproxy.limits import EntryPeers, FleetLimits
    from sycamoreproxy.membership import Membership
    from sycamoreproxy.retries import RetryBudget
    from sycamoreproxy.routing import Router
    from sycamoreproxy.upstream_links import UpstreamLinks

    settings = parts.settings
    zone = settings.process.availability_zone
    membership = Membership(host=settings.process.host, availability_zone=zone, clock=parts.clock)
    links = UpstreamLinks(hub=parts.hub)
    entry_peers = EntryPeers(hub=parts.hub)
    limits = FleetLimits(
        host=settings.process.host,
        clock=parts.clock,
        rng=random.Random(),
        get_policy=lambda *row: parts.replica.view.resolve(*row),
        list_peers=entry_peers.list_hosts,
        send=entry_peers.send,
        list_lag_s=settings.limits.list_lag_s,
        start_quiet_s=settings.limits.start_quiet_s,
    )
    entry_peers.register_handlers(limits)
    claims = ClaimRegistry(
        store=parts.store,
        prefix=settings.store.prefix,
        owner=f"{parts.hello.host}/{parts.hello.process_id}",
        clock=parts.clock,
    )
    dispatcher = Dispatcher(
        links=links,
        router=Router(
            membership=membership, availability_zone=zone, clock=parts.clock, rng=random.Random()
        ),
        budget=RetryBudget(clock=parts.clock),
        get_view=lambda: parts.replica.view,
        limits=limits,
        claims=claims,
    )
    callers = CallerServer(
        dispatcher=dispatcher,
        membership=membership,
        get_view=lambda: parts.replica.view,
        accounts=settings.client_accounts,
        limits=settings.caller_limits,
        tls=make_server_tls(settings.tls, mutual=False),
        machine=parts.machine,
    )
    parts.tasks.start("caller limits", callers.connection_limits.run)
    parts.dump.add_section("callers", callers.connection_limits.describe)
    responder = CensusResponder(hub=parts.hub, revision=lambda: parts.replica.view.revision)
    process: EntryProcess
    admin = parts.build_admin(
        responder=responder, explain_not_ready=lambda: process.explain_not_ready()
    )
    process = EntryProcess(
        settings=settings,
        hub=parts.hub,
        peer_server=parts.peer_server,
        poller=parts.poller,
        membership=membership,
        limits=limits,
        replica=parts.replica,
        callers=callers,
        claims=claims,
        admin=admin,
        store=parts.store,
        tasks=parts.tasks,
    )
    return process


@roles.register("upstream")
def build_upstream(parts: CommonParts) -> Process:
    """Build the process beside an engine or a service."""
    from sycamoreproxy.upstream_process import UpstreamProcess
    from sycamoreproxy.upstream_role import UpstreamRole

    settings = parts.settings
    upstream = settings.upstream
    assert upstream is not None  # checked with the settings
    owner = transfer = engine = service = None
    if upstream.kind == "engine":
        from sycamoreproxy.engines import engines

        engine = engines.get(upstream.adapter or "openai")(upstream.address, 2.0)
        owner, transfer = _build_weights(parts)
    else:
        from sycamoreproxy.services import services

        service = services.get(upstream.adapter or "http")(upstream.address)

    def served_version() -> str:
        return owner.served.version if owner is not None and owner.served is not None else ""

    role = UpstreamRole(
        hub=parts.hub,
        clock=parts.clock,
        settings=upstream,
        view=lambda: parts.replica.view,
        engine=engine,
        service=service,
        served_version=served_version,
    )
    responder = CensusResponder(
        hub=parts.hub,
        revision=lambda: parts.replica.view.revision,
        version=served_version,
        unmet=(lambda: owner.unmet) if owner is not None else tuple,
    )
    process: UpstreamProcess
    admin = parts.build_admin(
        responder=responder, explain_not_ready=lambda: process.explain_not_ready()
    )
    process = UpstreamProcess(
        settings=settings,
        hub=parts.hub,
        peer_server=parts.peer_server,
        poller=parts.poller,
        replica=parts.replica,
        role=role,
        owner=owner,
        transfer=transfer,
        admin=admin,
        store=parts.store,
        tasks=parts.tasks,
    )
    parts.dump.add_section("status", role.make_status)
    return process


def _build_weights(parts: CommonParts) -> tuple[EngineOwner, WeightTransfer]:
    """Return the parts that bring weights into the engine."""
    from sycamoreproxy.chunk_plan import PlanLimits
    from sycamoreproxy.engine_control import engine_controls
    from sycamoreproxy.engine_orders import EngineOwner
    from sycamoreproxy.weight_transfer import WeightTransfer
    from sycamoreproxy.weights import ChunkStore

    settings = parts.settings
    upstream = settings.upstream
    weights = settings.weights
    assert upstream is not None and weights is not None  # checked with the settings
    model = upstream.name

    def list_engines() -> list[HostRecord]:
        return [r for r in parts.poller.records if r.kind == "engine" and r.name == model]

    weight_rate = weights.link_bytes_per_s * (1.0 - weights.live_fraction)
    chunks = ChunkStore()
    transfer = WeightTransfer(
        hub=parts.hub,
        chunks=chunks,
        origin=origins.get(weights.adapter)(weights.origin, CHUNK_TIMEOUT_S),
        hosts=list_engines,
        limits=PlanLimits(bytes_per_s=weight_rate, min_upload_bytes=weight_rate * SMALL_UPLOAD_S),
        clock=parts.clock,
        random_source=random.Random(),
    )
    owner = EngineOwner(
        host=settings.process.host,
        availability_zone=settings.process.availability_zone,
        model=model,
        prefix=settings.store.prefix,
        process_id=parts.hello.process_id,
        store=parts.store,
        engine=engine_controls.get(upstream.control_adapter)(
            upstream.address, CONTROL_TIMEOUT_S, upstream.order_timeout_s
        ),
        chunks=chunks,
        transfer=transfer,
        hosts=list_engines,
        clock=parts.clock,
        lease_ttl_s=upstream.lease_ttl_s,
        order_timeout_s=upstream.order_timeout_s,
        checks_fencing=upstream.checks_fencing,
    )
    parts.dump.add_section("weights", lambda: transfer.state)
    return owner, transfer
