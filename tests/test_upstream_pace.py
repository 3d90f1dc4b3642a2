"""Tests the estimate of an upstream's pace and what the choice of an upstream makes of it."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.engine_forecast import EngineForecast
from sycamoreproxy.messages import EngineUse
from sycamoreproxy.placement import LoadReport, Requirements, UpstreamSelector
from sycamoreproxy.route_table import EngineProfile
from sycamoreproxy.upstream_pace import MAX_PACE, make_pace_estimate
from tests._upstreams import PROFILE, make_upstream

PLAIN = Requirements(level=0)
PROMPT = Requirements(level=0, urgency=1.0, prompt_tokens=977, model="m1", minimum_version=1)


@dataclass(frozen=True, slots=True)
class Expected:
    """Bounds of an estimate at a time in seconds."""

    at: float
    low: float
    high: float


@pytest.mark.parametrize(
    ("readings", "expected"),
    [
        ([], Expected(0.0, 1.0, 1.0)),
        ([(0.0, 4.5)], Expected(0.0, 4.5, 4.5)),
        ([(0.0, 4.5)], Expected(0.5, 3.0, 4.4)),
        ([(0.0, 4.5)], Expected(30.0, 1.0, 1.01)),
        ([(0.0, 1.0), (3.0, 2.5)], Expected(4.0, 1.4, 2.0)),
        ([(at / 10, 2.5) for at in range(60)], Expected(7.5, 2.0, 2.4)),
        ([(0.0, 1.0), (0.01, 4.5), (0.02, 1.0)], Expected(0.03, 1.0, 1.1)),
        ([(1.0, 2.0), (0.5, 9.0)], Expected(1.0, 2.0, 2.0)),
    ],
    ids=[
        "none",
        "new",
        "not usual at once",
        "forgotten",
        "mean",
        "steady",
        "brief",
        "out of order",
    ],
)
def test_estimate_decays_toward_the_recent_mean(
    readings: list[tuple[float, float]], expected: Expected
) -> None:
    """The pace counted as usual as soon as a reading was older than 0.2 s."""
    estimate = make_pace_estimate()
    for at, pace in readings:
        estimate.add(pace, at=at)
    assert expected.low <= estimate.value(expected.at) <= expected.high


@pytest.mark.parametrize("pace", [math.nan, math.inf, -math.inf, -1.0, 0.0, MAX_PACE * 2, 1e300])
@pytest.mark.parametrize("profile", [PROFILE, None], ids=["engine", "plain service"])
def test_implausible_pace_changes_nothing(pace: float, profile: EngineProfile | None) -> None:
    """A forecast that is not a number or infinite excludes an upstream or attracts all requests."""
    clock = ManualClock(start=10.0)
    forecasts = []
    for value in (1.0, pace):
        selector = UpstreamSelector(
            clock=clock, availability_zone="z1", random_source=random.Random(1)
        )
        report = LoadReport(
            received_at=10.0, running=0, waiting=0, pace=value, version_by_model=(("m1", 1),)
        )
        selector.update_report("i-1", report)
        choice = selector.choose([make_upstream(1)], PROMPT, profile=profile)
        assert choice is not None and choice.last_pace == 1.0
        forecasts.append(choice.forecast_s)
    assert forecasts[0] == forecasts[1]


@pytest.mark.parametrize("age_s", [0.1, 0.5, 1.0, 2.0])
def test_plain_service_that_was_slow_gets_fewer_requests(age_s: float) -> None:
    clock = ManualClock(start=10.0)
    selector = UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(1))
    records = [make_upstream(number) for number in range(3)]
    selector.update_report("i-0", LoadReport(received_at=10.0, running=0, waiting=0, pace=4.5))
    clock.advance(age_s)
    chosen = Counter(
        choice.record.instance
        for _ in range(300)
        if (choice := selector.choose(records, PLAIN, profile=None)) is not None
    )
    assert chosen["i-0"] < 30


def test_plain_service_is_avoided_for_the_load_that_an_answer_reported() -> None:
    """The load of an answer counted for 1 s and then was taken for none."""
    clock = ManualClock(start=10.0)
    selector = UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(1))
    selector.update_report("i-1", LoadReport(received_at=10.0, running=16, waiting=30))
    clock.advance(1.2)
    records = [make_upstream(1), make_upstream(2)]
    for _ in range(20):
        choice = selector.choose(records, PLAIN, profile=None)
        assert choice is not None and choice.record.instance == "i-2"


class EngineSimulation:
    """Simulated entry hosts and engines; each engine prefills one prompt after the other.

    :param slow: engines whose work takes 4.5 times as long.
    """

    HOSTS, ENGINES, REPORT_S, GOAL_S = 41, 20, 0.1, 0.4

    def __init__(self, *, slow: frozenset[int]) -> None:
        self.clock = ManualClock(start=10.0)
        self.random = random.Random(3)
        self.profile = replace(PROFILE, slots=12)
        self.slow = slow
        self.records = [make_upstream(n, zone=f"z{n % 3}") for n in range(self.ENGINES)]
        self.selectors = [
            UpstreamSelector(
                clock=self.clock, availability_zone=f"z{n % 3}", random_source=random.Random(n)
            )
            for n in range(self.HOSTS)
        ]
        for selector in self.selectors:
            selector.entry_hosts = self.HOSTS
        self.open = [Counter[int]() for _ in self.records]
        self.unread = [Counter[int]() for _ in self.records]
        self.free_at = [10.0] * self.ENGINES
        self.events: list[tuple[Any, ...]] = []
        self.sent: Counter[int] = Counter()
        self.on_time = self.total = 0

    def push(self, at: float, kind: str, *rest: object) -> None:
        """Schedule an event."""
        host, engine, choice, arrived_at = rest or (0, 0, None, 0.0)
        number = len(self.events) + self.total * 1000
        heapq.heappush(self.events, (at, number, kind, host, engine, choice, arrived_at))

    def pace(self, engine: int) -> float:
        return 4.5 if engine in self.slow else 1.0

    def run(self, *, rate: float, seconds: float) -> float:
        """Return the fraction of requests with their first token in time."""
        self.push(10.0, "report")
        self.push(10.05, "arrival")
        while self.clock.monotonic() < 10.0 + seconds:
            at, _, kind, host, engine, choice, arrived_at = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            if kind == "report":
                self.report()
                self.push(at + self.REPORT_S, "report")
            elif kind == "arrival":
                self.push(at + self.random.expovariate(rate), "arrival")
                self.total += 1
                self.send(self.random.randrange(self.HOSTS), at)
            elif kind == "again":
                self.send(host, arrived_at)
            elif kind == "first":
                assert choice is not None
                self.selectors[host].record_output(choice)
                self.unread[engine][host] -= 1
                self.on_time += at - arrived_at <= self.GOAL_S
            else:
                assert choice is not None
                self.selectors[host].end(choice, failed=False)
                self.open[engine][host] -= 1
        return self.on_time / self.total

    def report(self) -> None:
        """Send the load of each engine to each host."""
        for engine, record in enumerate(self.records):
            for host, selector in enumerate(self.selectors):
                others = EngineUse(
                    self.open[engine].total() - self.open[engine][host],
                    977 * (self.unread[engine].total() - self.unread[engine][host]),
                )
                report = LoadReport(
                    received_at=self.clock.monotonic(),
                    running=min(12, self.open[engine].total()),
                    waiting=max(0, self.open[engine].total() - 12),
                    pace=self.pace(engine),
                    version_by_model=(("m1", 1),),
                    use_by_others=others,
                )
                selector.update_report(record.instance, report, profile=self.profile)

    def send(self, host: int, arrived_at: float) -> None:
        """Send a request, or try again soon for as long as its caller waits."""
        now = self.clock.monotonic()
        choice = self.selectors[host].choose(self.records, PROMPT, profile=self.profile)
        if choice is None:
            if now - arrived_at < 1.0:
                self.push(now + 0.03, "again", host, 0, None, arrived_at)
            return
        choice = self.selectors[host].begin(choice, PROMPT)
        engine = self.records.index(choice.record)
        self.sent[engine] += 1
        self.open[engine][host] += 1
        self.unread[engine][host] += 1
        forecast = EngineForecast(self.profile, self.pace(engine))
        first_at = max(now, self.free_at[engine]) + forecast.prefill_s(977)
        self.free_at[engine] = first_at
        self.push(first_at, "first", host, engine, choice, arrived_at)
        self.push(first_at + 50 * forecast.step_s(10), "end", host, engine, choice, arrived_at)


@pytest.mark.parametrize(
    ("slow", "rate", "share"),
    [(frozenset(), 180.0, 0.99), (frozenset({0, 1, 2}), 130.0, 0.97)],
    ids=["steady", "three engines slow"],
)
def test_hosts_do_not_all_choose_the_engine_that_just_looked_fast(
    slow: frozenset[int], rate: float, share: float
) -> None:
    """Bursts of all hosts went to one engine between two reports."""
    simulation = EngineSimulation(slow=slow)
    assert simulation.run(rate=rate, seconds=12.0) >= share
    usual = [simulation.sent[n] for n in range(simulation.ENGINES) if n not in slow]
    for engine in slow:
        assert simulation.sent[engine] < 0.5 * sum(usual) / len(usual)
