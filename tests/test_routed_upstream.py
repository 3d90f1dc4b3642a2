"""Tests the load reports and neighbours of an engine's sidecar process."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from sycamoreproxy.beliefs import RoutingState
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.cold_starts import ColdStarts
from sycamoreproxy.messages import EngineLoad
from sycamoreproxy.route_table import RouteTable, ServiceSpec
from sycamoreproxy.routed_upstream import (
    REMOTE_ZONE_REPORT_INTERVAL_S,
    UNCHANGED_REPORT_INTERVAL_S,
    RoutedUpstream,
    _ZoneReporter,
)
from sycamoreproxy.upstream_book import UpstreamCatalog
from tests._upstreams import PROFILE, make_upstream


class _FakeHub:
    def __init__(self) -> None:
        self.peers = [
            SimpleNamespace(hello=SimpleNamespace(role="entry", availability_zone=zone))
            for zone in ("z1", "z1", "z2")
        ]
        self.zones: list[str] = []

    def list_peers(self, *, role: str) -> list[SimpleNamespace]:
        return [peer for peer in self.peers if peer.hello.role == role]

    def broadcast(self, message: object, *, role: str, availability_zone: str) -> None:
        assert role == "entry"
        self.zones.append(availability_zone)


def make_load(running: int) -> EngineLoad:
    return EngineLoad(address="a", running=running, waiting=0, pace=1.0, is_loading=False)


def test_other_zones_get_fewer_reports() -> None:
    """Links between regions have little bandwidth and are billed."""
    hub = _FakeHub()
    reporter = _ZoneReporter(hub, own_zone="z1")  # type: ignore[arg-type]
    for step in range(12):
        reporter.send(make_load(step), now=step * 0.05)
    assert hub.zones.count("z1") == 12
    assert hub.zones.count("z2") == 12 * 0.05 // REMOTE_ZONE_REPORT_INTERVAL_S


@pytest.mark.parametrize(
    ("open_requests", "change", "sent"),
    [
        (2, {}, 6),
        (4, {}, 12),
        (2, {"is_loading": True}, 7),
        (2, {"versions": {"m1": 2}}, 7),
    ],
    ids=["spare capacity", "nearly full", "loading", "new version loaded"],
)
def test_engine_with_spare_capacity_reports_less_often(
    open_requests: int, change: dict[str, object], sent: int
) -> None:
    """Reports of engines with spare capacity took a third of an entry host's CPU time."""
    hub = _FakeHub()
    reporter = _ZoneReporter(hub, own_zone="z1")  # type: ignore[arg-type]
    for step in range(12):
        load = replace(make_load(step), open_requests=open_requests)
        reporter.send(replace(load, **(change if step >= 7 else {})), now=step * 0.0501, slots=8)
    assert hub.zones.count("z1") == sent


def test_engine_that_turns_cold_is_reported_to_all_zones_at_once() -> None:
    """Requests that hosts send before they learn it count against the limit of a cold engine."""
    hub = _FakeHub()
    reporter = _ZoneReporter(hub, own_zone="z1")  # type: ignore[arg-type]
    reporter.send(make_load(1), now=1.0, slots=8)
    reporter.send(replace(make_load(1), cold_remaining_ms=3000), now=1.01, slots=8)
    assert hub.zones.count("z1") == hub.zones.count("z2") == 2


@pytest.mark.parametrize(
    ("started_s_ago", "told_ms", "expected_ms"),
    [
        (1.0, 0.0, 2000),
        (10.0, 0.0, 0),
        (10.0, 1200.0, 1200),
        (-5.0, 0.0, 0),
        (1.0, math.nan, 2000),
        (1.0, 2500.0, 2500),
        (None, 0.0, 0),
    ],
    ids=["new", "old", "cold again", "future", "malformed", "longer by its own account", "unknown"],
)
def test_process_beside_an_engine_tells_that_it_is_cold(
    started_s_ago: float | None, told_ms: float, expected_ms: int
) -> None:
    """The process may have started after the engine, so it does not see a restart."""
    clock = ManualClock(start=1000.0)
    service = ServiceSpec(name="model", cold_start_s=3.0, cold_per_s=26.0)
    starts = ColdStarts(clock=clock, find_service=lambda name: service, overage=1.5, slack=5.0)
    record = make_upstream(1)
    process = SimpleNamespace(
        _address=str(record.address),
        _routing_state=SimpleNamespace(
            catalog=SimpleNamespace(list_at=lambda address: (record,)),
            table=SimpleNamespace(services_by_name={"model": service}),
        ),
        _cold_starts=starts,
        _now_ms=lambda: clock.wall() * 1000,
    )
    started_ms = 0 if started_s_ago is None else round((1000.0 - started_s_ago) * 1000)
    report = SimpleNamespace(started_ms=started_ms, cold_remaining_ms=told_ms)
    RoutedUpstream._note_cold_start(process, report)  # type: ignore[arg-type]
    told = RoutedUpstream._find_cold_remaining_ms(process)  # type: ignore[arg-type]
    assert expected_ms <= told <= expected_ms + 1


def test_unchanged_load_is_reported_again_before_it_counts_as_lost() -> None:
    hub = _FakeHub()
    reporter = _ZoneReporter(hub, own_zone="z1")  # type: ignore[arg-type]
    for step in range(13):
        reporter.send(make_load(1), now=step * 0.05)
    assert hub.zones.count("z1") == hub.zones.count("z2") == 1 + 0.6 // UNCHANGED_REPORT_INTERVAL_S


@pytest.mark.parametrize("seed", range(10))
def test_neighbours_follow_every_change_of_catalog_and_routes(seed: int) -> None:
    """Guards against a stale cache of the neighbours after a change of the catalog or the routes.

    A host missing from it gets no chunks from its neighbours; a host that has left is still asked
    for chunks.
    """
    random_source = random.Random(seed)
    clock = ManualClock()
    catalog = UpstreamCatalog(clock=clock, leave_s=2.0)
    routing_state = SimpleNamespace(catalog=catalog, table=RouteTable())
    routing_state.list_engines = lambda: RoutingState.list_engines(routing_state)  # type: ignore[arg-type]
    process = RoutedUpstream(
        settings=SimpleNamespace(  # type: ignore[arg-type]
            engine=SimpleNamespace(address="10.0.0.1:80"),
            listen=SimpleNamespace(peer_port=7001),
            process=SimpleNamespace(availability_zone="z1"),
        ),
        hub=SimpleNamespace(on=lambda *a: None, on_close=lambda *a: None),  # type: ignore[arg-type]
        routing_state=routing_state,  # type: ignore[arg-type]
        **dict.fromkeys(  # type: ignore[arg-type]
            (
                "peer_server",
                "replica",
                "engine",
                "transfer",
                "stager",
                "crashes",
                "permits",
                "cold_starts",
                "now_ms",
                "state",
                "tasks",
            )
        ),
    )
    service = make_upstream(1).service
    for _ in range(200):
        record = make_upstream(
            random_source.randrange(1, 5), zone=random_source.choice(["z1", "z2"])
        )
        action = random_source.randrange(5)
        if action == 0:
            catalog.remove(record.instance)
        elif action == 1:
            clock.advance(random_source.choice([1.0, 61.0]))
        elif action == 2:
            spec = ServiceSpec(name=service, engine=random_source.choice([None, PROFILE]))
            routing_state.table = RouteTable(revision=1, services_by_name={service: spec})
        else:
            catalog.put(replace(record, is_leaving=random_source.random() < 0.3))
        assert process.list_neighbours() == tuple(process._build_neighbours())
        assert process.list_neighbours() is process.list_neighbours()
