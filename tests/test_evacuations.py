"""Guards against requests in an evacuated zone, and against zones that are not used again."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import structlog
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from standins._server import Faults
from standins.platform import PlatformStore as StoreStandIn
from standins.platform import make_configuration, make_store_routes
from sycamoreproxy import result_codes as codes
from sycamoreproxy.beliefs import EVACUATIONS_SETTLE_S, RoutingState
from sycamoreproxy.clock import ManualClock, SystemClock
from sycamoreproxy.document_source import Document
from sycamoreproxy.evacuations import MAX_ZONES, Evacuations
from sycamoreproxy.platform.documents import PlatformDocuments
from sycamoreproxy.platform.store import PlatformStore
from sycamoreproxy.regions import AllowedRegions, ZoneFilter
from sycamoreproxy.routed_settings import RoutedBounds
from sycamoreproxy.store_position import make_position
from sycamoreproxy.upstream_book import UpstreamCatalog
from sycamoreproxy.watched_documents import RESTORE_SETTLE_S, DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets
from tests._fake_hub import FakeHub, FakeNetwork
from tests._upstreams import make_upstream
from tests._virtual_time import in_virtual_time
from tests.test_regions import REGION_BY_ZONE, configure, count_received, run_with_two_zones
from tests.test_routed_entry import (
    COMPLETE_STREAM,
    GENERATION_HEADERS,
    Site,
    _wait_until,
)
from tests.test_watched_documents import LARGE_BYTES, _Zone

KEY = "op/evacuate/z2"
#: Time in which an evacuation reaches all processes of a zone, in seconds. The bound is 5 s, and
#: requests in transit need up to 2.2 s of it.
REACH_S = 1.5


# Decisions


@pytest.mark.parametrize(
    ("changes", "zones", "calls"),
    [
        ([("z1", 1, True)], {"z1"}, 1),
        ([("z1", 1, True), ("z1", 2, False)], set(), 2),
        ([("z1", 2, False), ("z1", 1, True)], set(), 0),
        ([("z1", 2, True), ("z1", 1, False)], {"z1"}, 1),
        ([("z1", 2, True), ("z1", 2, False)], {"z1"}, 1),
        ([("z1", 1, True), ("z1", 2, True), ("z2", 3, True)], {"z1", "z2"}, 2),
        ([("z1", 90, True), ("z1", make_position(1, 50), False)], set(), 2),
        ([("z1", make_position(1, 50), False), ("z1", 90, True)], set(), 0),
        ([("z1", make_position(1, 50), True), ("z1", 90, False)], {"z1"}, 1),
    ],
)
def test_newest_change_of_a_zone_binds(
    changes: list[tuple[str, int, bool]], zones: set[str], calls: int
) -> None:
    """A late copy undid an evacuation, or brought one back that was taken back."""
    evacuations = Evacuations()
    called: list[None] = []
    evacuations.subscribe(lambda: called.append(None))
    for zone, position, is_evacuated in changes:
        evacuations.apply(zone, position, is_evacuated=is_evacuated)
    assert evacuations.zones == zones and len(called) == calls


def test_memory_of_zones_is_bounded() -> None:
    evacuations = Evacuations()
    for number in range(MAX_ZONES + 10):
        evacuations.apply(f"z{number}", number + 1, is_evacuated=True)
    assert len(evacuations.zones) == MAX_ZONES
    assert evacuations.apply("z0", 10 * MAX_ZONES, is_evacuated=False)


@pytest.mark.parametrize(
    ("evacuated", "allowed", "instances", "code"),
    [
        (set(), None, {"i-1", "i-2", "i-4"}, None),
        ({"z1"}, None, {"i-2", "i-4"}, None),
        ({"unknown"}, None, {"i-1", "i-2"}, None),
        ({"z1"}, frozenset({"r1", "r2"}), {"i-2"}, None),
        ({"z1"}, frozenset({"r1"}), set(), codes.ZONES_EVACUATED),
        ({"z1"}, frozenset({"r3"}), set(), codes.NO_UPSTREAM_IN_REGION),
        ({"z1", "z2", "unknown"}, None, set(), codes.ZONES_EVACUATED),
    ],
)
def test_upstreams_outside_evacuated_zones(
    evacuated: set[str],
    allowed: AllowedRegions,
    instances: set[str],
    code: codes.ResultCode | None,
) -> None:
    zones = ZoneFilter(REGION_BY_ZONE, find_evacuated=lambda: frozenset(evacuated))
    records = [make_upstream(n, zone=z) for n, z in ((1, "z1"), (2, "z2"), (4, "unknown"))]
    assert {record.instance for record in zones.select(records, allowed)} == instances
    refusal = zones.check(records, allowed)
    assert (refusal.code if refusal else None) is code
    assert refusal is None or refusal.executed is codes.Executed.NO


def test_unknown_zone_is_logged_once() -> None:
    evacuated = frozenset({"z1", "here", "nowhere"})
    zones = ZoneFilter(REGION_BY_ZONE, find_evacuated=lambda: evacuated)
    with structlog.testing.capture_logs() as lines:
        for _ in range(2):
            zones.report_unknown_zones([make_upstream(1, zone="here")])
    assert [(line["zone"], line["code"]) for line in lines] == [
        ("nowhere", codes.UNUSABLE_VALUE.number)
    ]


@pytest.mark.parametrize(
    ("evacuate_ms", "seconds"),
    [(3_000.0, 3.0), (0.0, 5.0), (-1.0, 5.0), (float("nan"), 5.0), (1e300, 5.0)],
)
def test_unusable_bound_is_the_default(evacuate_ms: float, seconds: float) -> None:
    assert RoutedBounds(evacuate_ms=evacuate_ms).evacuate_s == seconds


# Through the dispatcher


def put(site: Site, key: str, value: Any, *, revision: int) -> None:
    data = None if value is None else json.dumps(value).encode()
    site.replica.apply(Document(key, revision, data), source="test")


@pytest.mark.parametrize("path", ["/ask/x", "/once/x", "/order/x", "/read/x", "/post/x"])
def test_evacuated_zone_is_left_and_used_again(path: str) -> None:
    """One evacuated zone got 61 requests after the bound."""

    async def action(site: Site) -> None:
        headers = {} if path in ("/read/x", "/post/x") else GENERATION_HEADERS
        near, far = (2, 3) if not headers else (0, 1)
        put(site, KEY, {}, revision=5)
        for _ in range(6):
            assert (await site.send(path, **headers))[0] == 200
        assert count_received(site)[far] == 0
        put(site, KEY, None, revision=6)
        put(site, "op/evacuate/z1", {}, revision=7)
        for _ in range(6):
            assert (await site.send(path, **headers))[0] == 200
        assert (count_received(site)[near], count_received(site)[far]) == (6, 6)

    run_with_two_zones(action)


@pytest.mark.parametrize("path", ["/ask/x", "/read/x"])
def test_last_zone_is_evacuated(path: str) -> None:
    """The rule allows no request in the zone, so callers are refused at once and may return."""

    async def action(site: Site) -> None:
        configure(site, 2, route={"allowed_regions": ["r2"]})
        put(site, KEY, {}, revision=5)
        headers = GENERATION_HEADERS if path == "/ask/x" else {}
        status, answer, body, _ = await site.send(path, **headers)
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (503, 1221, "no")
        assert 0 < float(answer["Retry-After"]) < 1.9 / 3
        assert sum(count_received(site)) == 0

    run_with_two_zones(action)


@pytest.mark.parametrize("is_last", [False, True])
def test_queued_requests_are_placed_again(is_last: bool) -> None:
    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        configure(site, 2, route={"target_latency_ms": 900})
        permits = dispatcher._selector._permits
        dispatcher._selector._permits = lambda record, level: False
        tasks = [asyncio.create_task(site.send("/ask/x", **GENERATION_HEADERS)) for _ in range(3)]
        await _wait_until(lambda: len(dispatcher._queued_by_choice) == 3)
        put(site, KEY, {}, revision=5)
        if is_last:
            put(site, "op/evacuate/z1", {}, revision=6)
            answers = await asyncio.wait_for(asyncio.gather(*tasks), 0.5)
            assert [json.loads(answer[2])["error"]["code"] for answer in answers] == [1221] * 3
        dispatcher._selector._permits = permits
        dispatcher.dispatch_waiting()
        if not is_last:
            assert [answer[2] for answer in await asyncio.gather(*tasks)] == [COMPLETE_STREAM] * 3
        assert count_received(site)[:2] == ([0, 0] if is_last else [3, 0])

    run_with_two_zones(action)


def test_requests_in_progress_are_not_cut() -> None:
    async def action(site: Site) -> None:
        configure(site, 2, route={"allowed_regions": ["r2"]})
        site.faults[1].replace({"event_s": 0.05})
        tasks = [asyncio.create_task(site.send("/ask/x", **GENERATION_HEADERS)) for _ in range(3)]
        await _wait_until(lambda: site.runners[1].running == 3)
        put(site, KEY, {}, revision=5)
        assert [(await task)[2] for task in tasks] == [COMPLETE_STREAM] * 3

    run_with_two_zones(action)


@pytest.mark.parametrize("path", ["/ask/x", "/read/x"])
def test_interrupted_request_is_not_repeated_in_an_evacuated_zone(path: str) -> None:
    """Resends and resumed streams take another way to an upstream than first attempts."""

    async def action(site: Site) -> None:
        near, far = (0, 1) if path == "/ask/x" else (2, 3)
        headers = GENERATION_HEADERS if path == "/ask/x" else {}
        fault = {"cut_after_events": 2} if path == "/ask/x" else {"drop_before_answer": 1}
        site.faults[near].replace(fault)
        put(site, KEY, {}, revision=5)
        for _ in range(3):
            await site.send(path, **headers)
        assert count_received(site)[near] == 3 and count_received(site)[far] == 0

    run_with_two_zones(action)


def test_request_whose_connection_opens_after_the_evacuation_is_not_sent() -> None:
    """A connection takes up to 2 s to open; what was decided before it would arrive late."""

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        put(site, "op/evacuate/z1", {}, revision=5)
        connect = dispatcher._get_client

        def connect_late(choice: Any) -> Any:
            put(site, "op/evacuate/z1", None, revision=6)
            put(site, KEY, {}, revision=7)
            dispatcher._get_client = connect  # type: ignore[method-assign]
            return connect(choice)

        dispatcher._get_client = connect_late  # type: ignore[method-assign]
        assert (await site.send("/post/x"))[0] == 200
        assert count_received(site) == [0, 0, 1, 0]

    run_with_two_zones(action)


@pytest.mark.parametrize("value", [b"", b"[]", b"null", b"7", b"\xff", b"[" * 100_000])
def test_malformed_evacuation_changes_nothing(value: bytes) -> None:
    async def action(site: Site) -> None:
        put(site, "op/evacuate/z1", {}, revision=5)
        for key in (KEY, "op/evacuate/z1", "op/evacuate/", "op/evacuate/" + "z" * 300):
            with structlog.testing.capture_logs() as lines:
                site.replica.apply(Document(key, 6, value), source="test")
            assert [line["code"] for line in lines if line["log_level"] == "warning"] == [1510]
        assert (await site.send("/read/x"))[0] == 200
        assert count_received(site) == [0, 0, 0, 1]

    run_with_two_zones(action)


# The start of a process


class _NoSource:
    """Stands in for a store that is away."""


def make_routing_state(clock: ManualClock) -> tuple[RoutingState, DocumentReplica]:
    documents = PlatformDocuments()
    replica = DocumentReplica(
        source=_NoSource(),  # type: ignore[arg-type]
        hub=FakeHub(),  # type: ignore[arg-type]
        prefixes=documents.prefixes,
        clock=clock,
        shared_prefixes=documents.shared_prefixes,
    )
    state = RoutingState(
        decoder=documents,
        replica=replica,
        catalog=UpstreamCatalog(clock=clock, leave_s=2.0),
        targets=WeightTargets(clock=clock, bound_s=8.0),
        clock=clock,
    )
    return state, replica


@pytest.mark.parametrize(("has_read", "waits"), [(True, False), (False, True)])
def test_process_serves_only_with_the_evacuations(has_read: bool, waits: bool) -> None:
    """A process that restarted during an evacuation served with the configuration of a peer alone."""
    clock = ManualClock(start=50.0)
    state, replica = make_routing_state(clock)
    replica._states_by_prefix["op/"].has_read = has_read
    configuration = make_configuration(1, services=[], routes=[])
    replica.apply(Document("op/config", 1, json.dumps(configuration).encode()), source="peer")
    assert (state.serving_table.revision == 0) == waits
    clock.advance(EVACUATIONS_SETTLE_S)
    assert state.serving_table.revision == 1


def test_evacuations_are_sent_before_a_configuration() -> None:
    """The configuration of a peer made a process ready that had not received the evacuations."""
    _, replica = make_routing_state(ManualClock(start=50.0))
    configuration = json.dumps(make_configuration(1, services=[], routes=[])).encode()
    replica.apply(Document("op/config", 1, configuration), source="store")
    replica.apply(Document(KEY, 2, b"{}"), source="store")
    network, other = FakeNetwork(seed=1), FakeHub(host="h2")
    hub: Any = replica._hub
    stream = network.link(hub, other)
    from sycamoreproxy.messages import DocumentData, DocumentFetch

    received: list[str] = []
    other.on(DocumentData, lambda peer, message: received.append(message.key))
    stream.send(DocumentFetch(("op/config", KEY)))
    network.deliver()
    assert received == [KEY, "op/config"]


# From the store to all processes


def count_evacuated(zone: _Zone) -> int:
    documents = [replica.get(KEY) for replica in zone.replicas]
    return sum(document is not None and document.value is not None for document in documents)


@pytest.mark.parametrize("is_busy", [False, True], ids=["quiet", "behind a configuration"])
@in_virtual_time
async def test_evacuation_reaches_all_processes_without_a_watch_of_its_own(is_busy: bool) -> None:
    calls = {}
    for shared_prefix in ("op/config", "op/"):
        zone = _Zone(processes=24, readers=2, shared_prefix=shared_prefix)
        await asyncio.sleep(60)
        calls[shared_prefix] = zone.store.calls_by_host.total()
        if shared_prefix == "op/":
            if is_busy:
                zone.store.put("op/config", b"x" * LARGE_BYTES)
                await asyncio.sleep(0.05)
            zone.store.put(KEY, b"{}")
            await asyncio.sleep(REACH_S + (1.0 if is_busy else 0.0))
            assert count_evacuated(zone) == 24
            zone.store.put(KEY, None)
            await asyncio.sleep(REACH_S)
            assert count_evacuated(zone) == 0
        zone.stop()
    assert abs(calls["op/"] - calls["op/config"]) <= 0.02 * calls["op/config"]


@pytest.mark.parametrize("loss", ["processes", "calls"])
@in_virtual_time
async def test_evacuation_arrives_in_time_when_the_readers_are_lost(loss: str) -> None:
    zone = _Zone(processes=24, readers=2, shared_prefix="op/")
    await asyncio.sleep(5)
    if loss == "processes":
        zone.kill(range(2))
        for hub in zone.hubs[:2]:
            hub.handlers.clear()
        zone.replicas = zone.replicas[2:]
    else:
        for path in zone.paths[:2]:
            path.is_unresponsive = True
    zone.store.put(KEY, b"{}")
    await asyncio.sleep(3.0)
    assert count_evacuated(zone) == len(zone.replicas)
    zone.stop()


@pytest.mark.parametrize("is_compacted", [False, True])
@in_virtual_time
async def test_deletion_is_seen_after_the_store_was_away(is_compacted: bool) -> None:
    """After a watch that lost its history, only the absence of the document shows the deletion."""
    zone = _Zone(processes=12, readers=2, shared_prefix="op/")
    zone.store.put(KEY, b"{}")
    await asyncio.sleep(5)
    assert count_evacuated(zone) == 12
    for path in zone.paths:
        path.is_refused = True
    await asyncio.sleep(3)
    assert count_evacuated(zone) == 12
    zone.store.put(KEY, None)
    if is_compacted:
        zone.store.oldest_revision = zone.store.revision
    for path in zone.paths:
        path.is_refused = False
        path.cut()
    await asyncio.sleep(3)
    assert count_evacuated(zone) == 0
    zone.stop()


@in_virtual_time
async def test_version_of_the_weights_keeps_its_own_watch() -> None:
    """Documents below both prefixes are not left to the readers, nor counted as late."""
    zone = _Zone(processes=12, readers=2, shared_prefix="op/")
    await asyncio.sleep(5)
    zone.kill(range(2))
    zone.store.put("op/version/m", b"2")
    await asyncio.sleep(0.1)
    assert zone.count_replicas("op/version/m", 2) >= 10
    assert [replica.find_lag_s("op/version/m") for replica in zone.replicas[2:]] == [0.0] * 10
    zone.stop()


class Process:
    """A process that follows what the operators write to a store with eras."""

    def __init__(self, port: int, number: int) -> None:
        self.hub = FakeHub(host=f"h{number}", zone="z1")
        self.source = PlatformStore(f"127.0.0.1:{port}")
        documents = PlatformDocuments()
        self.replica = DocumentReplica(
            source=self.source,
            hub=self.hub,  # type: ignore[arg-type]
            prefixes=documents.prefixes,
            clock=SystemClock(),
        )
        self.state = RoutingState(
            decoder=documents,
            replica=self.replica,
            catalog=UpstreamCatalog(clock=SystemClock(), leave_s=2.0),
            targets=WeightTargets(clock=SystemClock(), bound_s=8.0),
        )
        self.seen = [frozenset[str]()]
        self.state.evacuations.subscribe(lambda: self.seen.append(self.state.evacuations.zones))
        self.task = asyncio.create_task(self.replica.watch("op/"))

    async def wait_zones(self, *zones: str) -> None:
        async with asyncio.timeout(5):
            while self.state.evacuations.zones != frozenset(zones):
                await asyncio.sleep(0.01)


def play_store(
    action: Callable[[StoreStandIn, Faults, Callable[[], Process]], Awaitable[None]],
) -> None:
    """Run an action against a store and processes that it starts, with streams between them."""

    async def run() -> None:
        store, faults, processes = StoreStandIn(), Faults(seed=1), list[Process]()
        server = HTTPServer(tornado.web.Application(make_store_routes(store, faults)))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        network = FakeNetwork(seed=1)

        def start() -> Process:
            process = Process(port, len(processes))
            for other in processes:
                network.link(process.hub, other.hub)
            processes.append(process)
            return process

        async def deliver() -> None:
            while True:
                network.deliver()
                await asyncio.sleep(0.01)

        delivery = asyncio.create_task(deliver())
        try:
            async with asyncio.timeout(20):
                await action(store, faults, start)
        finally:
            delivery.cancel()
            for process in processes:
                process.task.cancel()
                process.source.close()
            server.stop()

    asyncio.run(run())


@pytest.mark.parametrize("is_evacuated", [True, False], ids=["evacuated", "taken back"])
def test_store_restored_from_an_older_copy_changes_nothing(is_evacuated: bool) -> None:
    """The copy lacks the evacuation or still has it; its writer repeats the last change."""

    async def action(store: StoreStandIn, faults: Faults, start: Callable[[], Process]) -> None:
        await store.put("op/evacuate/z1", {})
        if not is_evacuated:
            await store.put(KEY, {})
        copy = store.revision
        processes = [start(), start()]
        for process in processes:
            await process.wait_zones(*({"z1"} | ({"z2"} if not is_evacuated else set())))
        await (store.put(KEY, {}) if is_evacuated else store.delete(KEY))
        expected = {"z1", "z2"} if is_evacuated else {"z1"}
        for process in processes:
            await process.wait_zones(*expected)
            process.seen.clear()
        items = dict(store.items_by_key)
        await store.restore(copy)
        await asyncio.sleep(1.0)
        await store.repeat(items)
        late = start()
        await asyncio.sleep(RESTORE_SETTLE_S)
        for process in (*processes, late):
            await process.wait_zones(*expected)
        assert [process.seen for process in processes] == [[], []]
        await store.delete("op/evacuate/z1")
        for process in (*processes, late):
            await process.wait_zones(*(expected - {"z1"}))

    play_store(action)


def test_process_that_starts_while_the_store_is_away_learns_the_evacuations() -> None:
    async def action(store: StoreStandIn, faults: Faults, start: Callable[[], Process]) -> None:
        await store.put("op/config", make_configuration(1, services=[], routes=[]))
        await store.put(KEY, {})
        first = start()
        await first.wait_zones("z2")
        faults.replace({"down": True})
        second = start()
        async with asyncio.timeout(5):
            while second.state.serving_table.revision == 0:
                await asyncio.sleep(0.001)
        assert second.state.evacuations.zones == {"z2"}
        faults.replace({})
        await store.delete(KEY)
        for process in (first, second):
            await process.wait_zones()

    play_store(action)
