"""Tests that cold upstreams get no more requests in any second than they take."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.cold_shares import ASSUMED_ENTRY_HOSTS, SETTLE_S
from sycamoreproxy.cold_starts import COLD_PACE, MAX_COLD_S, ColdStarts, parse_remaining_ms
from sycamoreproxy.route_table import ServiceSpec
from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_limits import UpstreamLimits
from tests._upstreams import make_upstream
from tests._virtual_time import LoopClock, in_virtual_time

#: The figures of deployment R.
SERVICE = ServiceSpec(name="model", cold_start_s=3.0, cold_per_s=26.0)
OVERAGE, SLACK = 1.5, 5.0
LIMIT = 26.0 * OVERAGE + SLACK
START_MS = 100_000


def make_cold_starts(
    clock: Any, service: ServiceSpec | None = SERVICE, *, overage: float = OVERAGE
) -> ColdStarts:
    return ColdStarts(clock=clock, find_service=lambda name: service, overage=overage, slack=SLACK)


def make_record(*, started_ms: int = START_MS, remaining_ms: float = 0.0) -> UpstreamRecord:
    return replace(make_upstream(1, started_ms=started_ms), cold_remaining_ms=remaining_ms)


Step = tuple[str, float]


@pytest.mark.parametrize(
    ("steps", "remaining_s"),
    [
        ([("first", 0)], 0.0),
        ([("first", 2000)], 2.0),
        ([("first", 0), ("record", 0)], 0.0),
        ([("new", 0)], 3.0),
        ([("new", 0), ("wait", 1)], 2.0),
        ([("new", 0), ("wait", 4)], 0.0),
        ([("new", 5000), ("wait", 4)], 1.0),
        ([("first", 0), ("answer", 1500)], 1.5),
        ([("first", 2000), ("answer", 500)], 2.0),
        ([("new", 0), ("wait", 9), ("record", 3000)], 3.0),
        ([("new", 3000), ("wait", 9), ("record", 3000)], 3.0),
        ([("first", 0), ("zone", 0)], 3.0),
        ([("first", 0), ("restart", 0)], 3.0),
        ([("restart", 0), ("late", 3000)], 3.0),
        ([("old", 0)], 0.0),
        ([("old", 1000)], 1.0),
    ],
    ids=[
        "found running",
        "found cold",
        "found running, changed",
        "new",
        "new, later",
        "new, warm",
        "new, longer by its own account",
        "answer",
        "a later message does not shorten it",
        "cold again",
        "cold again with the same record",
        "zone back after an evacuation",
        "restarted",
        "late record of an earlier lifetime",
        "record of a long running upstream returned",
        "the same, but cold",
    ],
)
def test_time_until_an_upstream_is_warm(steps: list[Step], remaining_s: float) -> None:
    clock = ManualClock(start=100.0)
    starts, record = make_cold_starts(clock), make_record()
    for step, value in steps:
        if step == "wait":
            clock.advance(value)
        elif step == "answer":
            starts.observe_remaining(record, value)
        elif step == "zone":
            starts.mark_returned(record)
        elif step == "late":
            late = make_record(started_ms=1, remaining_ms=60_000)
            starts.observe_record(late, is_first_read=False)
        else:
            if step == "restart":
                record = make_record(started_ms=START_MS + 1)
            elif step == "old":
                record = make_record(started_ms=1)
            starts.observe_record(
                replace(record, cold_remaining_ms=value), is_first_read=step == "first"
            )
    assert starts.find_remaining_s(record) == pytest.approx(remaining_s)
    assert (starts.find_limit(record) == LIMIT) == (remaining_s > 0)
    assert starts.find_pace(record) == (COLD_PACE if remaining_s else 1.0)
    assert starts.describe() == ({"i-1": pytest.approx(remaining_s)} if remaining_s else {})


@pytest.mark.parametrize(
    "service",
    [
        None,
        ServiceSpec(name="model"),
        replace(SERVICE, cold_per_s=0),
        replace(SERVICE, cold_start_s=0),
    ],
    ids=["unknown", "none", "no rate", "no time"],
)
def test_service_without_cold_starts_is_not_limited(service: ServiceSpec | None) -> None:
    clock = ManualClock(start=100.0)
    starts, record = make_cold_starts(clock, service), make_record(remaining_ms=3000)
    starts.observe_record(record, is_first_read=False)
    limits = UpstreamLimits(clock=clock, random_source=random.Random(1), cold_starts=starts)
    for _ in range(200):
        assert limits.permits(record, 0)
        limits.use_permit(record)
    assert limits.find_requests_per_s(record) == math.inf


def test_configuration_that_arrives_after_the_record_applies() -> None:
    clock, services = ManualClock(start=100.0), dict[str, ServiceSpec]()
    starts = ColdStarts(clock=clock, find_service=services.get, overage=OVERAGE, slack=SLACK)
    record = make_record()
    starts.observe_record(record, is_first_read=False)
    clock.advance(1.0)
    assert not starts.find_remaining_s(record)
    services["model"] = SERVICE
    assert starts.find_remaining_s(record) == pytest.approx(2.0)


@pytest.mark.parametrize(
    "value", [-1.0, math.nan, math.inf, -math.inf, MAX_COLD_S * 1000 + 1, 1e300]
)
def test_implausible_time_changes_nothing(value: float) -> None:
    """A huge time throttled an upstream until its process ended."""
    clock = ManualClock(start=100.0)
    starts, record = make_cold_starts(clock), make_record()
    starts.observe_record(record, is_first_read=True)
    starts.observe_remaining(record, value)
    assert not starts.find_remaining_s(record)
    starts.observe_remaining(record, 1000)
    starts.observe_remaining(record, value)
    assert starts.find_remaining_s(record) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, 0.0),
        ("", 0.0),
        ("250", 250.0),
        (250, 250.0),
        ("x", math.nan),
        ([], 0.0),
        ([1], math.nan),
    ],
)
def test_times_of_upstreams_are_parsed(value: object, expected: float) -> None:
    assert parse_remaining_ms(value) == pytest.approx(expected, nan_ok=True)


@pytest.mark.parametrize(
    ("overage", "slack"),
    [(math.nan, 5.0), (-1.0, 5.0), (1e9, 5.0), (1.5, math.nan), (1.5, -1.0), (1.5, math.inf)],
)
def test_implausible_bounds_permit_only_the_rate_of_the_service(
    overage: float, slack: float
) -> None:
    starts, record = make_cold_starts(ManualClock(start=100.0)), make_record()
    starts.set_bounds(overage=overage, slack=slack)
    starts.observe_record(record, is_first_read=False)
    assert starts.find_limit(record) == 26.0


@pytest.mark.parametrize(
    ("seconds", "within_s", "has_begun", "may_wait"),
    [
        (0.0, 2.0, False, True),
        (0.0, 0.5, False, False),
        (0.0, 0.5, True, True),
        (4.0, 2.0, True, False),
    ],
    ids=["due in time", "due too late", "stream that has begun", "warm"],
)
def test_request_waits_for_a_cold_upstream_only_if_it_is_due_in_time(
    seconds: float, within_s: float, has_begun: bool, may_wait: bool
) -> None:
    """A plain request was refused although its only upstream took the next one in a moment."""
    clock = ManualClock(start=100.0)
    starts, record = make_cold_starts(clock), make_record()
    limits = UpstreamLimits(clock=clock, random_source=random.Random(1), cold_starts=starts)
    limits.update_entry_hosts(40)
    clock.advance(SETTLE_S)
    limits.use_permit(record)
    starts.observe_remaining(record, 3000)
    assert not limits.permits(record, 0)
    clock.advance(seconds)
    assert limits.may_permit_soon([record], within_s=within_s, has_begun=has_begun) == may_wait


class Host:
    """A simulated entry host that sends a request whenever its limits permit one.

    :param pause_s: mean time between two requests that it offers.
    """

    def __init__(self, fleet: Fleet, number: int, *, pause_s: float, is_first: bool) -> None:
        self._fleet = fleet
        self.zone = number % fleet.ZONES
        self.pause_s = pause_s
        self.connected_at = 0.0 if is_first else fleet.now + random.uniform(0.05, 1.0)
        self.starts = make_cold_starts(LoopClock())
        self.limits = UpstreamLimits(
            clock=LoopClock(), random_source=random.Random(random.random()), cold_starts=self.starts
        )
        self.zones_heard: set[int] = set()
        self.record = fleet.record
        # A host that has just started finds the record as it is.
        self.starts.observe_record(fleet.record, is_first_read=True)

    def hear(self, record: UpstreamRecord) -> None:
        """Receive the record of the upstream."""
        self.record = record
        self.starts.observe_record(record, is_first_read=False)

    async def run(self) -> None:
        """Offer requests at random times."""
        while True:
            await asyncio.sleep(random.expovariate(1 / self.pause_s))
            if self.limits.permits(self.record, 0):
                self.limits.use_permit(self.record)
                loop = asyncio.get_running_loop()
                delay_s = random.uniform(0.002, 0.15)
                loop.call_later(delay_s, self._fleet.receive, self.record.instance)


class Fleet:
    """Simulated entry hosts in three zones before one upstream.

    :param size: number of hosts.
    :param rate: requests per second that all hosts together offer.
    """

    ZONES = 3

    def __init__(self, *, size: int, rate: float) -> None:
        self.size, self.rate = size, rate
        self.record = make_record(started_ms=1)
        self.arrived: list[float] = []
        self.cold: list[tuple[float, float]] = []
        self.cut_zones: set[int] = set()
        self.silent_until = 0.0
        self.hosts: list[Host] = []
        self._tasks: dict[int, asyncio.Task[None]] = {}
        for number in range(size):
            self.start_host(number, is_first=True)
        self._reports = asyncio.create_task(self._send_reports())

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def start_host(self, number: int, *, is_first: bool = False) -> None:
        """Start a host, which knows nothing of an earlier one."""
        if number in self._tasks:
            self._tasks[number].cancel()
        host = Host(self, number, pause_s=self.size / self.rate, is_first=is_first)
        self.hosts[number : number + 1] = [host]
        self._tasks[number] = asyncio.create_task(host.run())

    def flood(self) -> None:
        """Have every host offer 100 requests a second."""
        for number, host in enumerate(self.hosts):
            self._tasks[number].cancel()
            host.pause_s = 0.01
            self._tasks[number] = asyncio.create_task(host.run())

    def restart_sidecars(self) -> None:
        """Restart all sidecar processes; the hosts connect again one by one."""
        for host in self.hosts:
            host.connected_at = self.now + random.uniform(0.05, 1.0)

    def turn_cold(
        self, *, is_restart: bool = False, deaf_zones: frozenset[int] = frozenset()
    ) -> None:
        """Have the upstream be cold for its time; the hosts learn it by its record."""
        now_ms = round(LoopClock().wall() * 1000)
        if is_restart:
            self.record = replace(self.record, instance=f"i-{now_ms}", started_ms=now_ms)
        self.record = replace(self.record, cold_remaining_ms=3000)
        self.cold.append((self.now, self.now + SERVICE.cold_start_s))
        for host in self.hosts:
            if host.zone not in deaf_zones:
                delay_s = random.uniform(0.01, 0.15)
                asyncio.get_running_loop().call_later(delay_s, host.hear, self.record)

    def receive(self, instance: str) -> None:
        """Count a request unless it is refused as meant for an earlier instance."""
        if instance == self.record.instance:
            self.arrived.append(self.now)

    async def _send_reports(self) -> None:
        while True:
            for host in self.hosts:
                if self.now < host.connected_at:
                    continue
                for zone in range(self.ZONES):
                    if zone != host.zone and self.cut_zones & {zone, host.zone}:
                        continue
                    host.zones_heard.add(zone)
                    count = sum(
                        other.connected_at <= self.now
                        and (other.zone == zone or not self.cut_zones & {other.zone, zone})
                        for other in self.hosts
                    )
                    host.limits.update_entry_hosts(
                        count, zones_heard=len(host.zones_heard), zones=self.ZONES
                    )
            await asyncio.sleep(0.1)

    def close(self) -> None:
        """Stop the hosts."""
        for task in (*self._tasks.values(), self._reports):
            task.cancel()

    def count_worst_second(self) -> int:
        """Return the largest number of requests in a second while the upstream was cold."""
        worst = 0
        for start, end in self.cold:
            times = sorted(at for at in self.arrived if start <= at < end)
            worst = max([worst, *(sum(at <= t < at + 1.0 for t in times) for at in times)])
        return worst

    def count_cold(self) -> float:
        """Return the requests per second while the upstream was cold."""
        total = sum(start <= at < end for at in self.arrived for start, end in self.cold)
        return total / sum(end - start for start, end in self.cold)


async def turn_cold(fleet: Fleet) -> None:
    fleet.turn_cold()


async def restart(fleet: Fleet) -> None:
    fleet.turn_cold(is_restart=True)


async def turn_cold_often(fleet: Fleet) -> None:
    for _ in range(6):
        fleet.turn_cold()
        await asyncio.sleep(random.uniform(0.5, 5.0))


async def turn_cold_beside_a_cut_zone(fleet: Fleet) -> None:
    fleet.cut_zones = {1}
    await asyncio.sleep(1.0)
    fleet.turn_cold()


async def restart_hosts_of_a_cut_zone(fleet: Fleet) -> None:
    fleet.cut_zones = {1}
    for number in range(1, fleet.size, fleet.ZONES):
        fleet.start_host(number)
    await asyncio.sleep(SETTLE_S + 1.5)
    fleet.turn_cold()


async def restart_sidecars(fleet: Fleet) -> None:
    fleet.restart_sidecars()
    await asyncio.sleep(0.3)
    fleet.turn_cold()


async def lose_power(fleet: Fleet) -> None:
    for number in range(fleet.size):
        fleet.start_host(number)
    fleet.restart_sidecars()
    fleet.turn_cold(is_restart=True)


async def start_hosts_while_cold(fleet: Fleet) -> None:
    fleet.turn_cold()
    for number in range(0, fleet.size, 2):
        await asyncio.sleep(0.02)
        fleet.start_host(number)


EVENTS = [
    turn_cold,
    restart,
    turn_cold_often,
    turn_cold_beside_a_cut_zone,
    restart_hosts_of_a_cut_zone,
    restart_sidecars,
    lose_power,
    start_hosts_while_cold,
]


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
@pytest.mark.parametrize("size", [1, 8, 36, 41, ASSUMED_ENTRY_HOSTS, 100])
def test_cold_upstream_gets_no_more_than_it_takes_in_any_second(
    event: Callable[[Fleet], Any], size: int
) -> None:
    """Each host decides alone; nothing limited the sum. Before the news, traffic is as usual."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=size, rate=9.0)
        await asyncio.sleep(SETTLE_S + 2.0)
        await event(fleet)
        await asyncio.sleep(0.15)
        fleet.flood()
        await asyncio.sleep(4.0)
        fleet.close()
        assert 0 < fleet.count_worst_second() <= LIMIT

    run()


@pytest.mark.parametrize("size", [1, 8, 36, 41])
def test_usual_traffic_of_a_cold_engine_is_hardly_limited(size: int) -> None:
    """An engine serves 8 to 10 requests a second, far below what it takes while cold."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=size, rate=9.0)
        await asyncio.sleep(20.0)
        before = len(fleet.arrived) / 20.0
        for _ in range(20):
            fleet.turn_cold()
            await asyncio.sleep(3.5)
        fleet.close()
        assert fleet.count_cold() >= 0.75 * before

    run()


@pytest.mark.parametrize(("size", "share"), [(1, 0.7), (8, 0.7), (36, 0.6), (41, 0.6)])
def test_hosts_together_use_what_a_cold_upstream_takes(size: int, share: float) -> None:
    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=size, rate=200.0)
        await asyncio.sleep(SETTLE_S + 2.0)
        fleet.turn_cold(is_restart=True)
        await asyncio.sleep(4.0)
        fleet.close()
        assert fleet.count_cold() >= share * SERVICE.cold_per_s
        assert fleet.count_worst_second() <= LIMIT

    run()


@in_virtual_time
async def test_warm_upstream_is_not_limited() -> None:
    fleet = Fleet(size=4, rate=400.0)
    await asyncio.sleep(10.0)
    fleet.close()
    assert len(fleet.arrived) >= 0.9 * 400.0 * 10.0
