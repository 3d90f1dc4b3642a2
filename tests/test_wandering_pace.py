"""Plays plain services whose hosts' pace wanders, and checks what callers get."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.placement import Choice, LoadReport, Need, UpstreamSelector
from tests._upstreams import make_upstream

NEED = Need(level=0)
#: Time of the work at its usual pace, goal, and duration of a play, in seconds.
WORK_S, GOAL_S, PLAY_S = 0.045, 0.1, 40.0
SERVICES = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A load on the services.

    :param hosts: entry hosts, which do not see each other.
    :param rate: requests a second of all hosts together.
    :param period_s: time between two changes of a service's pace, in seconds.
    """

    hosts: int
    rate: float
    period_s: float


def play(load: Load, *, reads_pace: bool) -> float:
    """Return the part of the requests that is answered within its goal."""
    clock, source = ManualClock(start=10.0), random.Random(7)
    paces = [[source.choice((0.7, 1.0, 3.0)) for _ in range(2000)] for _ in range(SERVICES)]
    selectors = [
        UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(number))
        for number in range(load.hosts)
    ]
    records = [make_upstream(number) for number in range(SERVICES)]
    ends: list[tuple[float, int, int, Choice]] = []
    answered = on_time = 0
    arrives_at = clock.monotonic()

    def pace_of(service: int) -> float:
        return paces[service][int((clock.monotonic() - 10.0) / load.period_s)]

    while clock.monotonic() < 10.0 + PLAY_S:
        if ends and ends[0][0] <= arrives_at:
            ended_at, _, host, choice = heapq.heappop(ends)
            clock.advance(ended_at - clock.monotonic())
            instance = choice.record.instance
            selectors[host].end(choice, failed=False)
            pace = pace_of([r.instance for r in records].index(instance)) if reads_pace else 1.0
            report = LoadReport(received_at=clock.monotonic(), running=0, waiting=0, pace=pace)
            selectors[host].update_report(instance, report)
            continue
        clock.advance(arrives_at - clock.monotonic())
        host = source.randrange(load.hosts)
        found = selectors[host].choose(records, NEED, profile=None)
        assert found is not None
        choice = selectors[host].begin(found, NEED)
        duration = WORK_S * pace_of([r.instance for r in records].index(choice.record.instance))
        heapq.heappush(ends, (clock.monotonic() + duration, choice.number, host, choice))
        answered += 1
        on_time += duration <= GOAL_S
        arrives_at += source.expovariate(load.rate)
    return on_time / answered


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
def test_pace_is_used_only_while_it_is_worth_something(load: Load, gain: float) -> None:
    """A pace from an earlier answer misleads once it has changed several times since."""
    assert play(load, reads_pace=True) - play(load, reads_pace=False) >= gain - 0.005


def test_upstream_that_answered_long_ago_is_no_last_resort() -> None:
    """The first report of a plain service was kept for good and later taken for silence."""
    clock = ManualClock(start=10.0)
    selector = UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(1))
    selector.update_report("i-1", LoadReport(received_at=clock.monotonic(), running=0, waiting=0))
    clock.advance(5.0)
    records = [make_upstream(1), make_upstream(2, zone="z2")]
    choice = selector.choose(records, NEED, profile=None)
    assert choice is not None and choice.record.instance == "i-1"
