"""Guards against requests that reach an upstream outside their allowed regions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
import structlog

from standins.platform import make_configuration, make_route
from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.placement import Requirements
from sycamoreproxy.regions import (
    AllowedRegions,
    ZoneFilter,
    covers,
    find_allowed_regions,
    intersect,
    read_zones,
    restrict,
)
from sycamoreproxy.route_table import Route, RouteKind, RouteTable, index_routes
from sycamoreproxy.upstream_subset import select_subset
from sycamoreproxy.waiting_line import QueuedRequest, RequestQueue
from tests._upstreams import make_upstream
from tests.test_routed_entry import (
    COMPLETE_STREAM,
    ENGINE,
    GENERATION_HEADERS,
    ROUTES,
    Site,
    _put,
    _wait_until,
    run_with_site,
)

REGION_BY_ZONE = {"z1": "r1", "z2": "r2", "z3": "r3"}
R1, R2, R12 = frozenset({"r1"}), frozenset({"r2"}), frozenset({"r1", "r2"})


def make_table(
    revision: int,
    route_regions: frozenset[str] = frozenset(),
    account_regions: frozenset[str] = frozenset(),
    *,
    is_public: bool = False,
    prefix: str = "/a/",
) -> RouteTable:
    route = Route(
        name="a",
        host="office.example",
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout_s=2.0,
        target_latency_s=0.2,
        weight_by_service={"ledger": 1.0},
        is_public=is_public,
        allowed_regions=route_regions,
    )
    return RouteTable(
        revision=revision,
        routes_by_host=index_routes([route]),
        account_by_key={"k": "office"},
        allowed_regions_by_account={"office": account_regions} if account_regions else {},
        needs_keys=True,
    )


@pytest.mark.parametrize(
    ("value", "expected", "warnings"),
    [
        (None, {}, 0),
        ({"z1": "r1", "z2": "r1"}, {"z1": "r1", "z2": "r1"}, 0),
        ({"z1": "r1", "z2": 7}, {"z1": "r1"}, 1),
        ({"z1": "r1", "": "r2", "z3": "", "z4": "r\n4"}, {"z1": "r1"}, 3),
        ({"z" * 300: "r1"}, {}, 1),
        ([{"z1": "r1"}], {}, 1),
        ("z1", {}, 1),
        (float("nan"), {}, 1),
    ],
)
def test_zones_of_the_settings(value: object, expected: dict[str, str], warnings: int) -> None:
    """A malformed entry stopped the process, or put a zone into a region of its own."""
    with structlog.testing.capture_logs() as lines:
        assert read_zones(value) == expected
    assert [line["code"] for line in lines] == [codes.UNUSABLE_VALUE.number] * warnings


@pytest.mark.parametrize(
    ("first", "second", "both", "first_covers_second"),
    [
        (None, None, None, True),
        (R1, None, R1, False),
        (None, R1, R1, True),
        (R12, R1, R1, True),
        (R1, R12, R1, False),
        (R1, R2, frozenset(), False),
    ],
)
def test_two_rules_both_bind(
    first: AllowedRegions,
    second: AllowedRegions,
    both: AllowedRegions,
    first_covers_second: bool,
) -> None:
    assert intersect(first, second) == both
    assert covers(first, second) == first_covers_second


@pytest.mark.parametrize(
    ("accepted", "newer", "expected"),
    [
        (make_table(1), make_table(2, R1), R1),
        (make_table(1, R1), make_table(2), R1),
        (make_table(1, R12, R1), make_table(2, R12), R1),
        (make_table(1, R1), make_table(2, R2), frozenset()),
        (make_table(1, R12), make_table(2, account_regions=R2), R2),
        (make_table(1, R12), make_table(2, account_regions=R2, is_public=True), R12),
        (make_table(1, R1), make_table(2, R2, prefix="/other/"), R1),
        (make_table(1), make_table(2), None),
    ],
)
def test_accepted_and_newer_configurations_both_bind(
    accepted: RouteTable, newer: RouteTable, expected: AllowedRegions
) -> None:
    route = accepted.match("office.example", "/a/x")
    assert route is not None
    allowed = find_allowed_regions(accepted, route, "office")
    found = restrict(allowed, newer, host="office.example", target="/a/x", key="k")
    assert found == expected


@pytest.mark.parametrize(
    ("allowed", "instances", "code"),
    [
        (None, {"i-1", "i-2", "i-4"}, None),
        (R1, {"i-1"}, None),
        (R12, {"i-1", "i-2"}, None),
        (frozenset({"r3"}), set(), codes.NO_UPSTREAM_IN_REGION),
        (frozenset({"nowhere"}), set(), codes.NO_ALLOWED_REGION),
        (frozenset(), set(), codes.NO_ALLOWED_REGION),
    ],
)
def test_upstreams_of_allowed_regions(
    allowed: AllowedRegions, instances: set[str], code: codes.ResultCode | None
) -> None:
    """An upstream of an unknown zone (i-4) is in no region, not in every one."""
    zones = ZoneFilter(REGION_BY_ZONE)
    records = [make_upstream(n, zone=z) for n, z in ((1, "z1"), (2, "z2"), (4, "unknown"))]
    assert {record.instance for record in zones.select(records, allowed)} == instances
    assert zones.list_barred(records, allowed) == {"i-1", "i-2", "i-4"} - instances
    refusal = zones.check(records, allowed)
    assert (refusal.code if refusal else None) is code
    assert refusal is None or refusal.executed is codes.Executed.NO


def test_region_without_a_zone_is_logged_once() -> None:
    zones = ZoneFilter(REGION_BY_ZONE)
    with structlog.testing.capture_logs() as lines:
        for revision in (1, 2):
            zones.report_unknown_regions(make_table(revision, frozenset({"r1", "nowhere"})))
    assert [(line["region"], line["code"]) for line in lines] == [
        ("nowhere", codes.UNUSABLE_VALUE.number)
    ]


def configure(
    site: Site,
    version: int,
    *,
    route: dict[str, Any] | None = None,
    account: dict[str, Any] | None = None,
) -> None:
    data = make_configuration(
        version,
        services=[{"name": "model", "engine": ENGINE}, {"name": "ledger"}],
        routes=[{**item, **(route or {})} for item in ROUTES],
    )
    data["tenants"][0].update(account or {})
    _put(site, "op/config", data)


def move(site: Site, number: int, zone: str) -> None:
    """Move a runner to a zone."""
    document = site.replica.get(f"servers/i-{number}")
    assert document is not None and document.value is not None
    _put(site, document.key, {**json.loads(document.value), "zone": zone})


def count_received(site: Site) -> list[int]:
    return [len(runner.received) for runner in site.runners]


def run_with_two_zones(action: Callable[[Site], Any]) -> None:
    """Run a test with the second upstream of each service (1 and 3) in another region."""

    async def run(site: Site) -> None:
        for number in (1, 3):
            move(site, number, "z2")
        await action(site)

    run_with_site(run, region_by_zone=REGION_BY_ZONE)


SERVED = [("/ask/x", 1), ("/once/x", 1), ("/order/x", 1), ("/read/x", 3), ("/post/x", 3)]


@pytest.mark.parametrize("named_by", ["route", "account"])
@pytest.mark.parametrize(("path", "upstream"), SERVED)
def test_first_attempts_stay_in_the_allowed_region(path: str, upstream: int, named_by: str) -> None:
    """Requests to the plain service reached upstreams of another region."""

    async def action(site: Site) -> None:
        configure(site, 2, **{named_by: {"allowed_regions": ["r2"]}})
        headers = GENERATION_HEADERS if upstream < 2 else {}
        for _ in range(6):
            assert (await site.send(path, **headers))[0] == 200
        received = count_received(site)
        assert received[upstream] == sum(received) == 6

    run_with_two_zones(action)


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("/ask/x", {"cut_after_events": 2}),
        ("/ask/x", {"shed": 1}),
        ("/ask/x", {"stall_s": 5}),
        ("/read/x", {"drop_before_answer": 1}),
        ("/read/x", {"shed": 1}),
        ("/read/x", {"stall_s": 5}),
    ],
    ids=["resumed", "refused", "silent", "lost", "plain refused", "plain silent"],
)
def test_resends_stay_in_the_allowed_region(path: str, fault: dict[str, Any]) -> None:
    """With the only allowed upstream at fault, the other one must not get the request."""

    async def action(site: Site) -> None:
        configure(site, 2, route={"allowed_regions": ["r2"]})
        for number in (1, 3):
            site.faults[number].replace(fault)
        headers = GENERATION_HEADERS if path == "/ask/x" else {}
        _, _, _, is_complete = await site.send(path, **headers)
        received = count_received(site)
        assert received[0] == received[2] == 0 and sum(received) >= 1
        assert not (path == "/ask/x" and fault.get("cut_after_events") and is_complete)

    run_with_two_zones(action)


@pytest.mark.parametrize("path", ["/ask/x", "/read/x"])
@pytest.mark.parametrize(
    ("regions", "code", "has_retry_after"), [(["r3"], 1220, True), (["nowhere"], 1222, False)]
)
def test_request_without_an_allowed_upstream_is_refused_at_once(
    path: str, regions: list[str], code: int, has_retry_after: bool
) -> None:
    async def action(site: Site) -> None:
        configure(site, 2, route={"allowed_regions": regions})
        started_at = asyncio.get_running_loop().time()
        headers = GENERATION_HEADERS if path == "/ask/x" else {}
        status, answer, body, _ = await site.send(path, **headers)
        assert asyncio.get_running_loop().time() - started_at < 0.5
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (503, code, "no")
        assert ("Retry-After" in answer) == has_retry_after
        assert site.count_runs() == 0

    run_with_two_zones(action)


@pytest.mark.parametrize(
    ("before", "after", "served_by"),
    [
        ([], ["r2"], {1}),
        (["r1", "r2"], ["r2"], {1}),
        (["r2"], [], {1}),
        (["r1"], ["r2"], set()),
    ],
)
def test_configuration_change_while_requests_wait(
    before: list[str], after: list[str], served_by: set[int]
) -> None:
    """Queued requests kept the regions of their arrival, or got those of the change alone."""

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        configure(site, 2, route={"allowed_regions": before, "target_latency_ms": 900})
        permits = dispatcher._selector._permits
        dispatcher._selector._permits = lambda record, level: False
        tasks = [asyncio.create_task(site.send("/ask/x", **GENERATION_HEADERS)) for _ in range(3)]
        await _wait_until(lambda: len(dispatcher._queued_by_choice) == 3)
        configure(site, 3, route={"allowed_regions": after, "target_latency_ms": 900})
        dispatcher._selector._permits = permits
        dispatcher.dispatch_waiting()
        answers = [await task for task in tasks]
        if served_by:
            assert [answer[2] for answer in answers] == [COMPLETE_STREAM] * 3
        else:
            assert [json.loads(answer[2])["error"]["code"] for answer in answers] == [1222] * 3
        received = count_received(site)
        assert {number for number, count in enumerate(received) if count} == served_by

    run_with_two_zones(action)


def test_full_region_does_not_hold_up_requests_that_other_regions_serve() -> None:
    """The first request of a priority level kept its place, and those behind it waited for it."""

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        confined = make_route(
            "far",
            "streaming",
            "model",
            session_affinity=True,
            target_latency_ms=900,
            allowed_regions=["r2"],
        )
        data = make_configuration(
            2,
            services=[{"name": "model", "engine": ENGINE}, {"name": "ledger"}],
            routes=[*ROUTES, confined],
        )
        _put(site, "op/config", data)
        dispatcher._selector._permits = lambda record, level: record.instance != "i-1"
        waiting = asyncio.create_task(site.send("/far/x", **GENERATION_HEADERS))
        await _wait_until(lambda: dispatcher._queued_by_choice)
        for _ in range(3):
            assert (await site.send("/once/x", **GENERATION_HEADERS))[2] == COMPLETE_STREAM
        assert not waiting.done()
        dispatcher._selector._permits = lambda record, level: True
        dispatcher.dispatch_waiting()
        assert (await waiting)[2] == COMPLETE_STREAM
        assert count_received(site)[:2] == [3, 1]

    run_with_two_zones(action)


@pytest.mark.parametrize(
    ("queued", "free", "sent"),
    [
        ([R2, None, R1], {"r1": 2}, [1, 2]),
        ([R2, R2, R12], {"r1": 1}, [2]),
        ([R2, R1, R2], {"r2": 1}, [0]),
        ([None, R1], {"r2": 1}, [0]),
        ([R12, R1, R2], {}, []),
        ([R12, R1, None, R2], {"r3": 1}, [2]),
    ],
)
def test_queued_requests_wait_only_for_regions_that_may_serve_them(
    queued: list[AllowedRegions], free: dict[str, int], sent: list[int]
) -> None:
    """The first request of a priority level held up those behind it that other regions could serve."""

    async def run() -> None:
        places: dict[str, int] = {}

        def choose(requirements: Requirements) -> Any:
            allowed = requirements.allowed_regions
            for region, count in places.items():
                if count and (allowed is None or region in allowed):
                    places[region] -= 1
                    return region
            return None

        queue = RequestQueue(
            clock=ManualClock(start=10.0), choose_upstream=choose, nominal_rate=lambda: 100.0
        )
        requests = [
            queue.submit(
                Requirements(level=0, allowed_regions=allowed),
                goal_s=1.0,
                time_left_s=6.0,
                caller_timeout_s=4.0,
                generation_s=1.0,
                is_retry=False,
            )
            for allowed in queued
        ]
        places.update(free)
        queue.dispatch()
        assert all(isinstance(request, QueuedRequest) for request in requests)
        done = [
            number
            for number, request in enumerate(requests)
            if isinstance(request, QueuedRequest) and request.choice.done()
        ]
        assert done == sent and len(queue) == len(queued) - len(sent)

    asyncio.run(run())


def test_allowed_engine_outside_the_subset_is_used() -> None:
    """The subset of an entry host may have no engine of the allowed region."""

    async def action(site: Site) -> None:
        configure(site, 2, route={"allowed_regions": ["r2"]})
        selector = site.front.dispatcher._selector
        near = [record for record in _list_records(site) if record.instance == "i-0"]
        selector.engine_subset = select_subset(near, host="h", availability_zone="z1")
        assert (await site.send("/ask/x", **GENERATION_HEADERS))[0] == 200
        assert count_received(site)[:2] == [0, 1]

    run_with_two_zones(action)


def _list_records(site: Site) -> Any:
    return site.front.dispatcher._catalog.list_all()


@pytest.mark.parametrize("value", ["r2", {"r2": 1}, [2], [""], ["r" * 300], [None], -1, True, [[]]])
@pytest.mark.parametrize("named_by", ["route", "account"])
def test_malformed_regions_change_nothing(value: Any, named_by: str) -> None:
    """Read as any region, a malformed list would release requests that were confined."""

    async def action(site: Site) -> None:
        configure(site, 2, route={"allowed_regions": ["r2"]})
        with structlog.testing.capture_logs() as lines:
            configure(site, 3, **{named_by: {"allowed_regions": value}})
        unusable = [line["code"] for line in lines if line["event"] == "document not usable"]
        assert unusable == [codes.UNUSABLE_VALUE.number]
        assert site.front.dispatcher._table().revision == 2
        assert (await site.send("/read/x"))[0] == 200
        assert count_received(site) == [0, 0, 0, 1]

    run_with_two_zones(action)
