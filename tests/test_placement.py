"""Guards against requests on engines that are full, empty of weights, leaving or failing."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.messages import EngineUse
from sycamoreproxy.placement import NO_USE, Choice, LoadReport, Need, UpstreamSelector
from sycamoreproxy.retries import BREAKER_MIN_OPEN_S
from sycamoreproxy.upstream_book import UpstreamRecord
from tests._upstreams import PROFILE, make_upstream

NEED = Need(level=0, urgency=1.0, prompt_tokens=800, model="m1")
LAST = Need(level=2, urgency=0.0, prompt_tokens=800, model="m1")


def make_selector(
    *loads: tuple[int, int], version: int = 1
) -> tuple[ManualClock, UpstreamSelector]:
    """Return a selector with reports ``(running, waiting)`` of engines 1, 2, …"""
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
    ("loads", "need", "expected"),
    [
        ([(2, 0), (14, 0)], NEED, "i-1"),
        ([(16, 0), (13, 0)], LAST, "i-2"),
        ([(14, 0), (14, 0)], LAST, None),
        ([(14, 0), (16, 0)], NEED, "i-1"),
        ([(16, 2), (16, 0)], NEED, "i-2"),
        ([(16, 3), (16, 4)], NEED, "i-1"),
        ([(16, 4), (16, 4)], NEED, None),
    ],
)
def test_request_goes_where_its_first_token_comes_first(
    loads: list[tuple[int, int]], need: Need, expected: str | None
) -> None:
    _, selector = make_selector(*loads)
    choice = selector.choose([make_upstream(1), make_upstream(2)], need, profile=PROFILE)
    assert (choice.record.instance if choice else None) == expected


def test_load_spreads_over_zones_before_an_engine_fills() -> None:
    """Engines of the own zone were filled while others stood idle."""
    _, selector = make_selector((0, 0), (0, 0))
    records = [make_upstream(1), make_upstream(2, zone="z2")]
    placed: Counter[str] = Counter()
    for _ in range(16):
        choice = selector.choose(records, NEED, profile=PROFILE)
        assert choice is not None
        selector.begin(choice, NEED)
        placed[choice.record.instance] += 1
    assert placed["i-2"] >= 4 and placed["i-1"] >= placed["i-2"]


@pytest.mark.parametrize(
    ("version", "minimum", "found"), [(0, 0, False), (1, 0, True), (1, 2, False), (2, 2, True)]
)
def test_engine_without_a_permitted_version_is_not_chosen(
    version: int, minimum: int, found: bool
) -> None:
    _, selector = make_selector((0, 0), version=version)
    need = Need(level=0, model="m1", minimum_version=minimum)
    choice = selector.choose([make_upstream(1, version=version)], need, profile=PROFILE)
    assert (choice is not None) is found


@pytest.mark.parametrize(
    ("left_s", "any_room", "found"),
    [(0.01, False, False), (1.0, False, True), (0.01, True, True)],
    ids=["too late", "in time", "a stream that goes on"],
)
def test_request_that_would_be_taken_back_is_not_sent(
    left_s: float, any_room: bool, found: bool
) -> None:
    """Sent to an engine whose version ends before it can begin, a request lost the time there."""
    clock, selector = make_selector((3, 0))
    choice = selector.choose(
        [make_upstream(1)],
        NEED,
        profile=PROFILE,
        any_room=any_room,
        begin_by=lambda version: clock.monotonic() + left_s,
    )
    assert (choice is not None) is found


def test_engine_that_loads_takes_nothing() -> None:
    clock, selector = make_selector((0, 0))
    report = LoadReport(
        received_at=clock.monotonic(),
        running=3,
        waiting=0,
        is_loading=True,
        version_by_model=(("m1", 1),),
    )
    selector.update_report("i-1", report)
    assert selector.choose([make_upstream(1)], NEED, profile=PROFILE) is None


@pytest.mark.parametrize("trouble", ["leaving", "silent", "breaker", "excluded"])
def test_troubled_engine_is_a_last_resort(trouble: str) -> None:
    clock, selector = make_selector((0, 0), (12, 0))
    need, leaving = NEED, frozenset[str]()
    if trouble == "leaving":
        leaving = frozenset({"i-1"})
    elif trouble == "silent":
        clock.advance(0.7)
        _, fresh = 0, selector.view("i-2").report
        assert fresh is not None
        selector.update_report(
            "i-2",
            LoadReport(
                received_at=clock.monotonic(), running=12, waiting=0, version_by_model=(("m1", 1),)
            ),
        )
    elif trouble == "breaker":
        for _ in range(5):
            choice = selector.choose([make_upstream(1)], NEED, profile=PROFILE)
            assert choice is not None
            selector.end(selector.begin(choice, NEED), failed=True)
    else:
        need = Need(level=0, urgency=1.0, model="m1", excluded=frozenset({"i-1"}))
    records = [make_upstream(1), make_upstream(2)]
    choice = selector.choose(records, need, profile=PROFILE, is_leaving=leaving)
    assert choice is not None and choice.record.instance == "i-2"
    alone = selector.choose(records[:1], need, profile=PROFILE, is_leaving=leaving)
    assert (alone is None) is (trouble == "excluded")


def test_failing_upstream_gets_a_trickle() -> None:
    """A grey upstream fails part of its requests while it looks idle."""
    _, selector = make_selector((0, 0), (4, 0))
    records = [make_upstream(1), make_upstream(2)]
    random_source = random.Random(2)
    placed: Counter[str] = Counter()
    for _ in range(200):
        choice = selector.choose(records, NEED, profile=PROFILE)
        assert choice is not None
        placed[choice.record.instance] += 1
        failed = choice.record.instance == "i-1" and random_source.random() < 0.4
        selector.end(selector.begin(choice, NEED), failed=failed)
    assert placed["i-1"] < placed["i-2"]


def test_own_requests_that_a_report_cannot_hold_are_counted() -> None:
    clock, selector = make_selector((12, 0))
    for _ in range(2):
        choice = selector.choose([make_upstream(1)], LAST, profile=PROFILE)
        assert choice is not None
        selector.begin(choice, LAST)
    assert selector.choose([make_upstream(1)], LAST, profile=PROFILE) is None
    clock.advance(0.1)
    selector.update_report(
        "i-1",
        LoadReport(
            received_at=clock.monotonic(), running=9, waiting=0, version_by_model=(("m1", 1),)
        ),
    )
    choice = selector.choose([make_upstream(1)], LAST, profile=PROFILE)
    assert choice is not None and choice.unseen == 0


@pytest.mark.parametrize(("held", "minimum"), [(2, 2), (3, 2), (3, 3)])
def test_choice_tells_the_version_that_the_engine_holds(held: int, minimum: int) -> None:
    """An engine with a newer version than the lowest permitted one refused every request."""
    _, selector = make_selector((0, 0), version=held)
    need = Need(level=0, model="m1", minimum_version=minimum)
    choice = selector.choose([make_upstream(1, version=1)], need, profile=PROFILE)
    assert choice is not None and choice.version == held


def test_views_of_upstreams_that_are_gone_take_no_memory() -> None:
    _, selector = make_selector((0, 0), (0, 0))
    choice = selector.choose([make_upstream(1)], NEED, profile=PROFILE)
    assert choice is not None
    running = selector.begin(choice, NEED)
    selector.retain(set())
    assert list(selector.describe()) == ["i-1"]
    selector.end(running, failed=False)
    selector.retain(set())
    assert selector.describe() == {}


@pytest.mark.parametrize(("own", "expected"), [(0, "i-1"), (6, "i-1"), (16, "i-2")])
def test_plain_service_leaves_the_zone_when_its_upstream_is_busy(own: int, expected: str) -> None:
    _, selector = make_selector()
    need = Need(level=0)
    near, far = make_upstream(1), make_upstream(2, zone="z2")
    for _ in range(own):
        choice = selector.choose([near], need, profile=None)
        assert choice is not None
        selector.begin(choice, need)
    choice = selector.choose([near, far], need, profile=None)
    assert choice is not None and choice.record.instance == expected


def _send(
    selector: UpstreamSelector, records: list[UpstreamRecord], *, times: int = 1
) -> list[Choice]:
    sent = []
    for _ in range(times):
        choice = selector.choose(records, NEED, profile=PROFILE)
        assert choice is not None
        sent.append(selector.begin(choice, NEED))
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
        (False, 4, "i-2"),  # A busy engine that answers comes before an idle one that is mute.
        (False, 30, None),  # Waiting for room comes before it, too.
        (True, 30, "i-1"),  # One lost answer among others says nothing of the engine.
    ],
)
def test_engine_that_answers_nothing_gets_no_more_requests(
    answered: bool, other_running: int, expected: str | None
) -> None:
    """A frozen or mute engine took every request of a burst while its reports looked idle."""
    clock, selector = make_selector((0, 0), (other_running, 0))
    records = [make_upstream(1), make_upstream(2)]
    sent = _send(selector, records[:1], times=3)
    clock.advance(1.5)
    if answered:
        selector.record_output(sent[1])
    _report(clock, selector, "i-1", running=0)
    _report(clock, selector, "i-2", running=other_running)
    choice = selector.choose(records, NEED, profile=PROFILE)
    assert (choice.record.instance if choice else None) == expected


def test_mute_engine_is_tried_again_and_used_once_it_answers() -> None:
    """An engine that was frozen for a while would never serve again."""
    clock, selector = make_selector((0, 0), (30, 0))
    records = [make_upstream(1), make_upstream(2)]
    first = _send(selector, records[:1], times=2)
    clock.advance(1.5)
    for instance, running in (("i-1", 0), ("i-2", 30)):
        _report(clock, selector, instance, running=running)
    assert selector.choose(records, NEED, profile=PROFILE) is None
    alone = selector.choose(records[:1], NEED, profile=PROFILE)
    assert alone is not None and alone.record.instance == "i-1"
    selector.record_output(first[0])
    assert _send(selector, records)[0].record.instance == "i-1"


def test_request_waits_rather_than_goes_to_an_engine_that_fails() -> None:
    """Failing engines are always free, so each burst went to them."""
    clock, selector = make_selector((0, 0), (30, 0))
    records = [make_upstream(1), make_upstream(2)]
    for choice in _send(selector, records[:1], times=5):
        selector.end(choice, failed=True)
    assert selector.choose(records, NEED, profile=PROFILE) is None
    clock.advance(BREAKER_MIN_OPEN_S + 0.01)
    for instance, running in (("i-1", 0), ("i-2", 30)):
        _report(clock, selector, instance, running=running)
    trial = _send(selector, records)[0]
    assert trial.record.instance == "i-1"
    assert selector.choose(records, NEED, profile=PROFILE) is None
    selector.end(trial, failed=False)
    assert _send(selector, records)[0].record.instance == "i-1"


@pytest.mark.parametrize(
    ("followed", "version_of_followed", "expected"),
    [({1}, 1, {1}), ({1}, 0, {1, 2, 3}), (set(), 1, {1, 2, 3})],
)
def test_engines_without_reports_are_used_only_if_no_other_may_serve(
    followed: set[int], version_of_followed: int, expected: set[int]
) -> None:
    """An engine of which nothing is known looks idle."""
    _, selector = make_selector()
    records = [
        make_upstream(number, version=version_of_followed if number in followed else 1)
        for number in (1, 2, 3)
    ]
    selector.engine_subset = frozenset(str(records[number - 1].address) for number in followed)
    found = selector.list_followed(records, NEED)
    assert {record.instance for record in found} == {f"i-{number}" for number in expected}


@pytest.mark.parametrize(
    ("elsewhere", "own", "expected"),
    [
        (EngineUse(0, 0), 0, "i-1"),
        (EngineUse(14, 8_000), 0, "i-2"),  # Other hosts filled it since its report.
        (EngineUse(3, 16_000), 0, "i-2"),  # Prompts that wait there would be read first.
        (EngineUse(0, 0), 8, "i-2"),
    ],
)
def test_requests_of_all_hosts_count_before_the_engine_reports_them(
    elsewhere: EngineUse, own: int, expected: str
) -> None:
    """Eight hosts sent 40 requests to the first engine that had loaded: its reports lag 200 ms."""
    _, selector = make_selector((0, 0), (0, 0))
    for number, use in ((1, elsewhere), (2, EngineUse(6, 800))):
        report = selector.view(f"i-{number}").report
        assert report is not None
        selector.update_report(f"i-{number}", replace(report, use_by_others=use))
    _send(selector, [make_upstream(1)], times=own)
    choice = selector.choose([make_upstream(1), make_upstream(2)], NEED, profile=PROFILE)
    assert choice is not None and choice.record.instance == expected


def test_own_use_is_told_when_it_changes_and_to_new_processes() -> None:
    _, selector = make_selector((0, 0))
    sent = _send(selector, [make_upstream(1)], times=2)
    assert selector.pop_changed_uses() == [("i-1", EngineUse(2, 1_600))]
    assert selector.pop_changed_uses() == []
    selector.record_output(sent[0])
    selector.end(sent[1], failed=False)
    assert selector.pop_changed_uses() == [("i-1", EngineUse(1, 0))]
    selector.reset_announced_use("i-1")
    assert selector.pop_changed_uses() == [("i-1", EngineUse(1, 0))]


def test_hosts_that_see_the_same_report_do_not_fill_an_engine_twice() -> None:
    """Eight hosts each sent eight requests to an engine that reported to be idle."""
    _, selector = make_selector((0, 0))
    selector.entry_hosts = 8
    report = selector.view("i-1").report
    assert report is not None
    selector.update_report("i-1", replace(report, use_by_others=EngineUse(0, 0)))
    sent = 0
    while (choice := selector.choose([make_upstream(1)], LAST, profile=PROFILE)) is not None:
        selector.begin(choice, LAST)
        sent += 1
    assert 2 <= sent <= 4


@pytest.mark.parametrize(("longest_s", "is_sent"), [(0.4, True), (0.1, False)])
def test_request_is_not_sent_where_it_would_be_late(longest_s: float, is_sent: bool) -> None:
    """It would take the engine's reading time from requests that can be on time."""
    _, selector = make_selector((0, 0))
    report = selector.view("i-1").report
    assert report is not None
    selector.update_report("i-1", replace(report, use_by_others=EngineUse(3, 2_400)))
    need = replace(NEED, longest_forecast_s=longest_s)
    choice = selector.choose([make_upstream(1)], need, profile=PROFILE)
    assert (choice is not None) is is_sent
    assert selector.choose([make_upstream(1)], need, profile=PROFILE, any_room=True) is not None


@pytest.mark.parametrize(
    ("unread", "fewest", "most"), [(0, 1.5, 4.5), (1_954, 0.3, 2.0), (4_000, 0.0, 0.0)]
)
def test_hosts_that_wait_share_what_an_engine_can_read(
    unread: int, fewest: float, most: float
) -> None:
    """All hosts sent what waited to the first engine that had loaded; its streams stopped 0.6 s."""
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
            use_by_others=EngineUse(4, unread),
        )
        selector.update_report("i-1", report, profile=PROFILE)
        need = replace(NEED, has_waited=True)
        while (choice := selector.choose([make_upstream(1)], need, profile=PROFILE)) is not None:
            selector.begin(choice, need)
            sent += 1
    assert fewest <= sent / 5 <= most  # 40 draws are those of 8 hosts, five times.


@pytest.mark.parametrize(
    ("pace", "prompt_tokens", "unread", "is_sent"),
    [
        (8.0, 800, 0, True),  # Every engine is slow: nothing would ever be sent.
        (1.0, 20_000, 0, True),  # A long prompt is late on any engine.
        (8.0, 800, 1_600, False),
        (1.0, 800, 9_000, False),
    ],
)
def test_request_that_is_late_anywhere_is_sent_to_an_engine_without_backlog(
    pace: float, prompt_tokens: int, unread: int, is_sent: bool
) -> None:
    """Large requests and all requests to slow engines waited until their time was over."""
    _, selector = make_selector((0, 0))
    report = selector.view("i-1").report
    assert report is not None
    use = EngineUse(2, unread)
    selector.update_report("i-1", replace(report, pace=pace, use_by_others=use))
    need = replace(NEED, prompt_tokens=prompt_tokens, longest_forecast_s=0.3)
    choice = selector.choose([make_upstream(1)], need, profile=PROFILE)
    assert (choice is not None) is is_sent


@pytest.mark.parametrize("seed", range(20))
def test_every_change_of_the_own_use_is_told_once(seed: int) -> None:
    """An engine of which a change was not told looks fuller or emptier to all other entry hosts."""
    source = random.Random(seed)
    selector = UpstreamSelector(clock=ManualClock(), availability_zone="z1", random_source=source)
    records = [make_upstream(number) for number in range(1, 4)]
    told = {record.instance: NO_USE for record in records}
    open_choices: list[Choice] = []
    for _ in range(300):
        action = source.randrange(6)
        if action <= 1 or not open_choices:
            record = source.choice(records)
            choice = selector.choose([record], NEED, profile=PROFILE, any_room=True)
            assert choice is not None
            open_choices.append(selector.begin(choice, NEED))
        elif action == 2:
            selector.record_output(source.choice(open_choices))
        elif action == 3:
            choice = open_choices.pop(source.randrange(len(open_choices)))
            selector.end(choice, failed=source.choice([None, False]))
        elif action == 4:
            instance = source.choice(records).instance
            selector.reset_announced_use(instance)
            told[instance] = NO_USE
        else:
            kept = {record.instance for record in records if source.random() < 0.7}
            used = {choice.record.instance for choice in open_choices}
            selector.retain(kept)
            told.update(dict.fromkeys(told.keys() - kept - used, NO_USE))
        if source.random() < 0.5:
            uses = {record.instance: selector.view(record.instance).own_use for record in records}
            expected = {name: use for name, use in uses.items() if use != told[name]}
            assert dict(selector.pop_changed_uses()) == expected
            told.update(expected)
