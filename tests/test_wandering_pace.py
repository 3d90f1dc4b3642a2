"""Simulates plain services on hosts with varying pace, and checks the latency for callers."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.placement import Choice, LoadReport, Requirements, UpstreamSelector
from tests._upstreams import make_upstream

REQUIREMENTS = Requirements(level=0)
#: Duration of a request at the usual pace, latency goal, and simulated time, in seconds.
REQUEST_S, GOAL_S, SIMULATED_S = 0.045, 0.1, 40.0
UPSTREAMS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load on the services.

    :param hosts: number of entry hosts, which do not see each other's requests.
    :param rate: requests per second of all hosts together.
    :param period_s: time between two changes of an upstream's pace, in seconds.
    """

    hosts: int
    rate: float
    period_s: float


def simulate(load: Load, *, uses_pace: bool) -> float:
    """Return the fraction of requests that complete within the latency goal."""
    clock, source = ManualClock(start=10.0), random.Random(7)
    paces = [[source.choice((0.7, 1.0, 3.0)) for _ in range(2000)] for _ in range(UPSTREAMS)]
    selectors = [
        UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(number))
        for number in range(load.hosts)
    ]
    records = [make_upstream(number) for number in range(UPSTREAMS)]
    completions: list[tuple[float, int, int, Choice]] = []
    sent = on_time = 0
    arrives_at = clock.monotonic()

    def pace_of(upstream: int) -> float:
        return paces[upstream][int((clock.monotonic() - 10.0) / load.period_s)]

    while clock.monotonic() < 10.0 + SIMULATED_S:
        if completions and completions[0][0] <= arrives_at:
            completed_at, _, host, choice = heapq.heappop(completions)
            clock.advance(completed_at - clock.monotonic())
            instance = choice.record.instance
            selectors[host].end(choice, failed=False)
            pace = pace_of([r.instance for r in records].index(instance)) if uses_pace else 1.0
            report = LoadReport(received_at=clock.monotonic(), running=0, waiting=0, pace=pace)
            selectors[host].update_report(instance, report)
            continue
        clock.advance(arrives_at - clock.monotonic())
        host = source.randrange(load.hosts)
        chosen = selectors[host].choose(records, REQUIREMENTS, profile=None)
        assert chosen is not None
        choice = selectors[host].begin(chosen, REQUIREMENTS)
        duration = REQUEST_S * pace_of([r.instance for r in records].index(choice.record.instance))
        heapq.heappush(completions, (clock.monotonic() + duration, choice.number, host, choice))
        sent += 1
        on_time += duration <= GOAL_S
        arrives_at += source.expovariate(load.rate)
    return on_time / sent


@pytest.mark.parametrize(
    ("load", "gain"),
    [
        (Load(hosts=1, rate=60.0, period_s=0.2), 0.1),
        (Load(hosts=4, rate=60.0, period_s=0.2), 0.05),
        (Load(hosts=37, rate=60.0, period_s=0.2), 0.0),
        (Load(hosts=37, rate=60.0, period_s=0.05), 0.0),
    ],
    ids=["one busy host", "few hosts", "many hosts", "many hosts, faster changes"],
)
def test_reported_pace_is_used_only_while_it_is_recent(load: Load, gain: float) -> None:
    """The pace reported with a response misleads once it has changed several times since."""
    assert simulate(load, uses_pace=True) - simulate(load, uses_pace=False) >= gain - 0.005


def test_plain_upstream_without_recent_report_is_not_penalized() -> None:
    """The old report of a plain service was treated as if its reports had stopped."""
    clock = ManualClock(start=10.0)
    selector = UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(1))
    selector.update_report("i-1", LoadReport(received_at=clock.monotonic(), running=0, waiting=0))
    clock.advance(5.0)
    records = [make_upstream(1), make_upstream(2, zone="z2")]
    choice = selector.choose(records, REQUIREMENTS, profile=None)
    assert choice is not None and choice.record.instance == "i-1"
