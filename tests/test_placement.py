"""Tests that requests avoid engines that are full, without weights, leaving or failing."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.messages import EngineUse
from sycamoreproxy.placement import (
    NO_USE,
    REPORT_MAX_AGE_S,
    REPORT_TIMEOUT_S,
    Choice,
    LoadReport,
    Requirements,
    UpstreamSelector,
)
from sycamoreproxy.retries import BREAKER_MIN_OPEN_S
from sycamoreproxy.upstream_book import UpstreamRecord
from tests._upstreams import PROFILE, make_upstream

MOST_URGENT = Requirements(level=0, urgency=1.0, prompt_tokens=800, model="m1")
LEAST_URGENT = Requirements(level=2, urgency=0.0, prompt_tokens=800, model="m1")


def make_selector(
    *loads: tuple[int, int], version: int = 1
) -> tuple[ManualClock, UpstreamSelector]:
    """Return a selector with load reports ``(running, waiting)`` of engines 1, 2, …"""
    clock = ManualClock(start=10.0)
    selector = UpstreamSelector(clock=clock, availability_zone="z1", random_source=random.Random(1))
    for number, (running, waiting) in enumerate(loads, start=1):
        selector.update_report(
            f"i-{number}",
            LoadReport(
                received_at=clock.monotonic(),
                running=running,
                waiting=waiting,
                version_by_model=(("m1", version),),
            ),
        )
    return clock, selector


@pytest.mark.parametrize(
    ("loads", "requirements", "expected"),
    [
        ([(2, 0), (14, 0)], MOST_URGENT, "i-1"),
        ([(16, 0), (13, 0)], LEAST_URGENT, "i-2"),
        ([(14, 0), (14, 0)], LEAST_URGENT, None),
        ([(14, 0), (16, 0)], MOST_URGENT, "i-1"),
        ([(16, 2), (16, 0)], MOST_URGENT, "i-2"),
        ([(16, 3), (16, 4)], MOST_URGENT, "i-1"),
        ([(16, 4), (16, 4)], MOST_URGENT, None),
    ],
)
def test_engine_with_lowest_time_to_first_token_is_chosen(
    loads: list[tuple[int, int]], requirements: Requirements, expected: str | None
) -> None:
    _, selector = make_selector(*loads)
    choice = selector.choose([make_upstream(1), make_upstream(2)], requirements, profile=PROFILE)
    assert (choice.record.instance if choice else None) == expected


def test_load_spreads_over_zones_before_an_engine_fills() -> None:
    """Engines of the own availability zone were filled up while engines of others were idle."""
    _, selector = make_selector((0, 0), (0, 0))
    records = [make_upstream(1), make_upstream(2, zone="z2")]
    placed: Counter[str] = Counter()
    for _ in range(16):
        choice = selector.choose(records, MOST_URGENT, profile=PROFILE)
        assert choice is not None
        selector.begin(choice, MOST_URGENT)
        placed[choice.record.instance] += 1
    assert placed["i-2"] >= 4 and placed["i-1"] >= placed["i-2"]


@pytest.mark.parametrize(
    ("version", "minimum", "found"), [(0, 0, False), (1, 0, True), (1, 2, False), (2, 2, True)]
)
def test_engine_without_a_permitted_version_is_not_chosen(
    version: int, minimum: int, found: bool
) -> None:
    _, selector = make_selector((0, 0), version=version)
    requirements = Requirements(level=0, model="m1", minimum_version=minimum)
    choice = selector.choose([make_upstream(1, version=version)], requirements, profile=PROFILE)
    assert (choice is not None) is found


@pytest.mark.parametrize(
    ("left_s", "ignore_capacity", "found"),
    [(0.01, False, False), (1.0, False, True), (0.01, True, True)],
    ids=["too late", "in time", "resumed stream"],
)
def test_request_that_would_be_withdrawn_is_not_sent(
    left_s: float, ignore_capacity: bool, found: bool
) -> None:
    """Requests lost time on engines whose version was retired before they could start there."""
    clock, selector = make_selector((3, 0))
    choice = selector.choose(
        [make_upstream(1)],
        MOST_URGENT,
        profile=PROFILE,
        ignore_capacity=ignore_capacity,
        latest_start=lambda version: clock.monotonic() + left_s,
    )
    assert (choice is not None) is found


def test_loading_engine_gets_no_requests() -> None:
    clock, selector = make_selector((0, 0))
    report = LoadReport(
        received_at=clock.monotonic(),
        running=3,
        waiting=0,
        is_loading=True,
        version_by_model=(("m1", 1),),
    )
    selector.update_report("i-1", report)
    assert selector.choose([make_upstream(1)], MOST_URGENT, profile=PROFILE) is None


@pytest.mark.parametrize("condition", ["leaving", "no reports", "breaker", "excluded"])
def test_degraded_engine_is_used_only_without_alternative(condition: str) -> None:
    clock, selector = make_selector((0, 0), (12, 0))
    requirements, leaving = MOST_URGENT, frozenset[str]()
    if condition == "leaving":
        leaving = frozenset({"i-1"})
    elif condition == "no reports":
        clock.advance(0.7)
        _, report = 0, selector.view("i-2").report
        assert report is not None
        selector.update_report(
            "i-2",
            LoadReport(
                received_at=clock.monotonic(), running=12, waiting=0, version_by_model=(("m1", 1),)
            ),
        )
    elif condition == "breaker":
        for _ in range(5):
            choice = selector.choose([make_upstream(1)], MOST_URGENT, profile=PROFILE)
            assert choice is not None
            selector.end(selector.begin(choice, MOST_URGENT), failed=True)
    else:
        requirements = Requirements(level=0, urgency=1.0, model="m1", excluded=frozenset({"i-1"}))
    records = [make_upstream(1), make_upstream(2)]
    choice = selector.choose(records, requirements, profile=PROFILE, leaving=leaving)
    assert choice is not None and choice.record.instance == "i-2"
    alone = selector.choose(records[:1], requirements, profile=PROFILE, leaving=leaving)
    assert (alone is None) is (condition == "excluded")


def test_failing_upstream_gets_fewer_requests() -> None:
    """An upstream with a partial failure fails some requests while it looks idle."""
    _, selector = make_selector((0, 0), (4, 0))
    records = [make_upstream(1), make_upstream(2)]
    random_source = random.Random(2)
    placed: Counter[str] = Counter()
    for _ in range(200):
        choice = selector.choose(records, MOST_URGENT, profile=PROFILE)
        assert choice is not None
        placed[choice.record.instance] += 1
        failed = choice.record.instance == "i-1" and random_source.random() < 0.4
        selector.end(selector.begin(choice, MOST_URGENT), failed=failed)
    assert placed["i-1"] < placed["i-2"]


def test_own_requests_missing_in_a_report_are_counted() -> None:
    clock, selector = make_selector((12, 0))
    for _ in range(2):
        choice = selector.choose([make_upstream(1)], LEAST_URGENT, profile=PROFILE)
        assert choice is not None
        selector.begin(choice, LEAST_URGENT)
    assert selector.choose([make_upstream(1)], LEAST_URGENT, profile=PROFILE) is None
    clock.advance(0.1)
    selector.update_report(
        "i-1",
        LoadReport(
            received_at=clock.monotonic(), running=9, waiting=0, version_by_model=(("m1", 1),)
        ),
    )
    choice = selector.choose([make_upstream(1)], LEAST_URGENT, profile=PROFILE)
    assert choice is not None and choice.unreported == 0


@pytest.mark.parametrize(("held", "minimum"), [(2, 2), (3, 2), (3, 3)])
def test_choice_has_the_version_that_the_engine_holds(held: int, minimum: int) -> None:
    """Requests named the lowest permitted version, and engines with a newer one refused them."""
    _, selector = make_selector((0, 0), version=held)
    requirements = Requirements(level=0, model="m1", minimum_version=minimum)
    choice = selector.choose([make_upstream(1, version=1)], requirements, profile=PROFILE)
    assert choice is not None and choice.version == held


def test_views_of_removed_upstreams_are_dropped() -> None:
    _, selector = make_selector((0, 0), (0, 0))
    choice = selector.choose([make_upstream(1)], MOST_URGENT, profile=PROFILE)
    assert choice is not None
    started = selector.begin(choice, MOST_URGENT)
    selector.retain(set())
    assert list(selector.describe()) == ["i-1"]
    selector.end(started, failed=False)
    selector.retain(set())
    assert selector.describe() == {}


@pytest.mark.parametrize(("own", "expected"), [(0, "i-1"), (6, "i-1"), (16, "i-2")])
def test_plain_service_uses_other_zone_when_its_upstream_is_busy(own: int, expected: str) -> None:
    _, selector = make_selector()
    requirements = Requirements(level=0)
    near, far = make_upstream(1), make_upstream(2, zone="z2")
    for _ in range(own):
        choice = selector.choose([near], requirements, profile=None)
        assert choice is not None
        selector.begin(choice, requirements)
    choice = selector.choose([near, far], requirements, profile=None)
    assert choice is not None and choice.record.instance == expected


def _send(
    selector: UpstreamSelector, records: list[UpstreamRecord], *, times: int = 1
) -> list[Choice]:
    sent = []
    for _ in range(times):
        choice = selector.choose(records, MOST_URGENT, profile=PROFILE)
        assert choice is not None
        sent.append(selector.begin(choice, MOST_URGENT))
    return sent


def _report(clock: ManualClock, selector: UpstreamSelector, instance: str, *, running: int) -> None:
    selector.update_report(
        instance,
        LoadReport(
            received_at=clock.monotonic(), running=running, waiting=0, version_by_model=(("m1", 1),)
        ),
    )


@pytest.mark.parametrize(
    ("answered", "other_running", "expected"),
    [
        (False, 4, "i-2"),  # A busy engine is preferred to an idle unresponsive one.
        (False, 30, None),  # Waiting for capacity is preferred to an unresponsive engine, too.
        (True, 30, "i-1"),  # A single lost response does not make an engine unresponsive.
    ],
)
def test_unresponsive_engine_gets_no_more_requests(
    answered: bool, other_running: int, expected: str | None
) -> None:
    """An unresponsive engine got every request of a burst, as its load reports showed it idle."""
    clock, selector = make_selector((0, 0), (other_running, 0))
    records = [make_upstream(1), make_upstream(2)]
    sent = _send(selector, records[:1], times=3)
    clock.advance(1.5)
    if answered:
        selector.record_output(sent[1])
    _report(clock, selector, "i-1", running=0)
    _report(clock, selector, "i-2", running=other_running)
    choice = selector.choose(records, MOST_URGENT, profile=PROFILE)
    assert (choice.record.instance if choice else None) == expected


def test_unresponsive_engine_is_retried_and_used_once_it_responds() -> None:
    """Otherwise an engine that hung for a while would never serve again."""
    clock, selector = make_selector((0, 0), (30, 0))
    records = [make_upstream(1), make_upstream(2)]
    first = _send(selector, records[:1], times=2)
    clock.advance(1.5)
    for instance, running in (("i-1", 0), ("i-2", 30)):
        _report(clock, selector, instance, running=running)
    assert selector.choose(records, MOST_URGENT, profile=PROFILE) is None
    alone = selector.choose(records[:1], MOST_URGENT, profile=PROFILE)
    assert alone is not None and alone.record.instance == "i-1"
    selector.record_output(first[0])
    assert _send(selector, records)[0].record.instance == "i-1"


@pytest.mark.parametrize(
    ("own", "output_age_s", "is_reporting", "ignore_capacity", "expected"),
    [
        (1, None, False, False, None),
        (1, REPORT_TIMEOUT_S + 0.1, False, False, None),
        (1, 0.1, False, False, "i-1"),  # Only the process beside the engine is gone.
        (0, None, False, False, "i-1"),  # One request shows whether the engine responds.
        (1, None, True, False, "i-1"),
        (1, None, False, True, "i-1"),  # An interrupted stream that no other engine can resume.
    ],
)
def test_engine_on_a_suspended_host_gets_no_queued_requests(
    own: int,
    output_age_s: float | None,
    is_reporting: bool,
    ignore_capacity: bool,
    expected: str | None,
) -> None:
    """A full engine looked idle 1 s after its last report, and got what waited for capacity."""
    clock, selector = make_selector((16, 3), (16, 4))
    records = [make_upstream(1), make_upstream(2)]
    sent = [selector.begin(_choose_any(selector, records[:1]), MOST_URGENT) for _ in range(own)]
    silent_s = REPORT_MAX_AGE_S + 0.1
    clock.advance(silent_s - (output_age_s or 0.0))
    if output_age_s is not None:
        selector.record_output(sent[0])
        clock.advance(output_age_s)
    if is_reporting:
        _report(clock, selector, "i-1", running=13)
    _report(clock, selector, "i-2", running=30)
    choice = selector.choose(
        records[:1] if ignore_capacity else records,
        MOST_URGENT,
        profile=PROFILE,
        ignore_capacity=ignore_capacity,
    )
    assert (choice.record.instance if choice else None) == expected


def test_engine_on_a_suspended_host_gets_requests_with_its_next_report() -> None:
    """Otherwise an engine whose only request was lost would never serve again."""
    clock, selector = make_selector((0, 0))
    _send(selector, [make_upstream(1)])
    clock.advance(REPORT_TIMEOUT_S + 0.1)
    assert selector.choose([make_upstream(1)], MOST_URGENT, profile=PROFILE) is None
    _report(clock, selector, "i-1", running=0)
    assert len(_send(selector, [make_upstream(1)])) == 1


def _choose_any(selector: UpstreamSelector, records: list[UpstreamRecord]) -> Choice:
    choice = selector.choose(records, MOST_URGENT, profile=PROFILE, ignore_capacity=True)
    assert choice is not None
    return choice


def test_request_waits_instead_of_using_a_failing_engine() -> None:
    """Failing engines always have capacity, so each burst was sent to them."""
    clock, selector = make_selector((0, 0), (30, 0))
    records = [make_upstream(1), make_upstream(2)]
    for choice in _send(selector, records[:1], times=5):
        selector.end(choice, failed=True)
    assert selector.choose(records, MOST_URGENT, profile=PROFILE) is None
    clock.advance(BREAKER_MIN_OPEN_S + 0.01)
    for instance, running in (("i-1", 0), ("i-2", 30)):
        _report(clock, selector, instance, running=running)
    trial = _send(selector, records)[0]
    assert trial.record.instance == "i-1"
    assert selector.choose(records, MOST_URGENT, profile=PROFILE) is None
    selector.end(trial, failed=False)
    assert _send(selector, records)[0].record.instance == "i-1"


@pytest.mark.parametrize(
    ("subset", "version_in_subset", "expected"),
    [({1}, 1, {1}), ({1}, 0, {1, 2, 3}), (set(), 1, {1, 2, 3})],
)
def test_engines_outside_the_subset_are_used_only_if_no_other_may_serve(
    subset: set[int], version_in_subset: int, expected: set[int]
) -> None:
    """An engine that sends no load reports looks idle."""
    _, selector = make_selector()
    records = [
        make_upstream(number, version=version_in_subset if number in subset else 1)
        for number in (1, 2, 3)
    ]
    selector.engine_subset = frozenset(str(records[number - 1].address) for number in subset)
    found = selector.list_subset(records, MOST_URGENT)
    assert {record.instance for record in found} == {f"i-{number}" for number in expected}


@pytest.mark.parametrize(
    ("use_by_others", "own", "expected"),
    [
        (EngineUse(0, 0), 0, "i-1"),
        (EngineUse(14, 8_000), 0, "i-2"),  # Other hosts filled it since its last report.
        (EngineUse(3, 16_000), 0, "i-2"),  # Its queued prompts would be prefilled first.
        (EngineUse(0, 0), 8, "i-2"),
    ],
)
def test_requests_of_all_hosts_count_before_the_engine_reports_them(
    use_by_others: EngineUse, own: int, expected: str
) -> None:
    """Eight hosts sent 40 requests to the first loaded engine, whose reports lag by 200 ms."""
    _, selector = make_selector((0, 0), (0, 0))
    for number, use in ((1, use_by_others), (2, EngineUse(6, 800))):
        report = selector.view(f"i-{number}").report
        assert report is not None
        selector.update_report(f"i-{number}", replace(report, use_by_others=use))
    _send(selector, [make_upstream(1)], times=own)
    choice = selector.choose([make_upstream(1), make_upstream(2)], MOST_URGENT, profile=PROFILE)
    assert choice is not None and choice.record.instance == expected


def test_own_use_is_announced_on_change_and_after_a_reset() -> None:
    _, selector = make_selector((0, 0))
    sent = _send(selector, [make_upstream(1)], times=2)
    assert selector.pop_changed_uses() == [("i-1", EngineUse(2, 1_600))]
    assert selector.pop_changed_uses() == []
    selector.record_output(sent[0])
    selector.end(sent[1], failed=False)
    assert selector.pop_changed_uses() == [("i-1", EngineUse(1, 0))]
    selector.reset_announced_use("i-1")
    assert selector.pop_changed_uses() == [("i-1", EngineUse(1, 0))]


def test_hosts_with_the_same_report_do_not_overload_an_engine() -> None:
    """Eight hosts each sent eight requests to an engine that had reported itself idle."""
    _, selector = make_selector((0, 0))
    selector.entry_hosts = 8
    report = selector.view("i-1").report
    assert report is not None
    selector.update_report("i-1", replace(report, use_by_others=EngineUse(0, 0)))
    sent = 0
    while (
        choice := selector.choose([make_upstream(1)], LEAST_URGENT, profile=PROFILE)
    ) is not None:
        selector.begin(choice, LEAST_URGENT)
        sent += 1
    assert 2 <= sent <= 4


@pytest.mark.parametrize(("max_forecast_s", "is_sent"), [(0.4, True), (0.1, False)])
def test_request_is_not_sent_to_an_engine_where_it_would_be_late(
    max_forecast_s: float, is_sent: bool
) -> None:
    """Its prefill would delay requests that can still be on time."""
    _, selector = make_selector((0, 0))
    report = selector.view("i-1").report
    assert report is not None
    selector.update_report("i-1", replace(report, use_by_others=EngineUse(3, 2_400)))
    requirements = replace(MOST_URGENT, max_forecast_s=max_forecast_s)
    choice = selector.choose([make_upstream(1)], requirements, profile=PROFILE)
    assert (choice is not None) is is_sent
    assert (
        selector.choose([make_upstream(1)], requirements, profile=PROFILE, ignore_capacity=True)
        is not None
    )


@pytest.mark.parametrize(
    ("pending_tokens", "fewest", "most"), [(0, 1.5, 4.5), (1_954, 0.3, 2.0), (4_000, 0.0, 0.0)]
)
def test_hosts_share_the_permitted_prefill_backlog_of_an_engine(
    pending_tokens: int, fewest: float, most: float
) -> None:
    """Queued requests of all hosts went to the first loaded engine and stalled its streams 0.6 s."""
    sent = 0
    for seed in range(40):
        selector = UpstreamSelector(
            clock=ManualClock(start=10.0),
            availability_zone="z1",
            random_source=random.Random(seed),
        )
        selector.entry_hosts = 8
        report = LoadReport(
            received_at=10.0,
            running=0,
            waiting=0,
            version_by_model=(("m1", 1),),
            use_by_others=EngineUse(4, pending_tokens),
        )
        selector.update_report("i-1", report, profile=PROFILE)
        requirements = replace(MOST_URGENT, was_queued=True)
        while (
            choice := selector.choose([make_upstream(1)], requirements, profile=PROFILE)
        ) is not None:
            selector.begin(choice, requirements)
            sent += 1
    assert fewest <= sent / 5 <= most  # 40 samples are five runs of 8 hosts.


@pytest.mark.parametrize(
    ("pace", "prompt_tokens", "pending_tokens", "is_sent"),
    [
        (8.0, 800, 0, True),  # All engines are slow: otherwise no request would ever be sent.
        (1.0, 20_000, 0, True),  # A long prompt is late on any engine.
        (8.0, 800, 1_600, False),
        (1.0, 800, 9_000, False),
    ],
)
def test_request_that_is_late_anywhere_is_sent_to_an_engine_without_backlog(
    pace: float, prompt_tokens: int, pending_tokens: int, is_sent: bool
) -> None:
    """Requests with long prompts, and all requests to slow engines, waited until they timed out."""
    _, selector = make_selector((0, 0))
    report = selector.view("i-1").report
    assert report is not None
    use = EngineUse(2, pending_tokens)
    selector.update_report("i-1", replace(report, pace=pace, use_by_others=use))
    requirements = replace(MOST_URGENT, prompt_tokens=prompt_tokens, max_forecast_s=0.3)
    choice = selector.choose([make_upstream(1)], requirements, profile=PROFILE)
    assert (choice is not None) is is_sent


@pytest.mark.parametrize("seed", range(20))
def test_every_change_of_the_own_use_is_announced_once(seed: int) -> None:
    """A change that is not announced distorts the engine's load for all other entry hosts."""
    source = random.Random(seed)
    selector = UpstreamSelector(clock=ManualClock(), availability_zone="z1", random_source=source)
    records = [make_upstream(number) for number in range(1, 4)]
    announced = {record.instance: NO_USE for record in records}
    in_flight: list[Choice] = []
    for _ in range(300):
        action = source.randrange(6)
        if action <= 1 or not in_flight:
            record = source.choice(records)
            choice = selector.choose([record], MOST_URGENT, profile=PROFILE, ignore_capacity=True)
            assert choice is not None
            in_flight.append(selector.begin(choice, MOST_URGENT))
        elif action == 2:
            selector.record_output(source.choice(in_flight))
        elif action == 3:
            choice = in_flight.pop(source.randrange(len(in_flight)))
            selector.end(choice, failed=source.choice([None, False]))
        elif action == 4:
            instance = source.choice(records).instance
            selector.reset_announced_use(instance)
            announced[instance] = NO_USE
        else:
            kept = {record.instance for record in records if source.random() < 0.7}
            used = {choice.record.instance for choice in in_flight}
            selector.retain(kept)
            announced.update(dict.fromkeys(announced.keys() - kept - used, NO_USE))
        if source.random() < 0.5:
            uses = {record.instance: selector.view(record.instance).own_use for record in records}
            expected = {name: use for name, use in uses.items() if use != announced[name]}
            assert dict(selector.pop_changed_uses()) == expected
            announced.update(expected)
