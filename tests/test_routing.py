"""Guards against work for leaving hosts, one overloaded upstream, and retries without bound."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from sycamoreproxy import membership as module
from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.membership import Membership
from sycamoreproxy.messages import PeerStatus, Status
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.retries import BREAKER_FAILURES, RetryBudget, may_retry
from sycamoreproxy.routing import SLOW_START_S, Router
from sycamoreproxy.streams import Address

FAILURE = Refusal(codes.UPSTREAM_FAILED, Executed.UNKNOWN)


def _record(host: str, zone: str, role: str = "upstream", state: str = "live") -> HostRecord:
    peer = Address("127.0.0.1", 2000 + int(host[1:]) + 1000 * (role == "entry"))
    return HostRecord(host, role, zone, "r", peer, peer, state, "engine", "m")


class World:
    """Upstreams with given availability zones, as an entry host of z1 sees them."""

    def __init__(self, *zones: str) -> None:
        self.clock = ManualClock(start=100.0)
        self.membership = Membership(host="e0", availability_zone="z1", clock=self.clock)
        self.records = [_record(f"u{number:02}", zone) for number, zone in enumerate(zones)]
        self.membership.replace_hosts(self.records)
        self.router = Router(
            membership=self.membership,
            availability_zone="z1",
            clock=self.clock,
            rng=random.Random(5),
        )
        self.peers: dict[str, Any] = {
            record.host: SimpleNamespace(hello=SimpleNamespace(host=record.host), is_closed=False)
            for record in self.records
        }
        self.beat()
        self.advance(SLOW_START_S)

    def advance(self, seconds: float) -> None:
        """Let time pass with a heartbeat of every upstream each second."""
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            self.beat()

    def beat(self, *hosts: str, state: str = "ready", **fields: Any) -> None:
        for host in hosts or self.peers:
            status = Status(state, "engine", "m", "v", window=8, **fields)
            self.membership.record_status(self.peers[host], status)

    def choose(self, **options: Any) -> str | None:
        fields = {"kind": "engine", "name": "m", "rank": "urgent", "time_left_ms": 1000.0}
        end = options.pop("end", None)
        state = self.router.choose(**{**fields, **options})
        if state is None:
            return None
        self.router.begin_attempt(state, prefix_key=options.get("prefix_key", ""))
        self.router.end_attempt(state, end)
        return state.host

    def count(self, times: int, **options: Any) -> Counter[str | None]:
        return Counter(self.choose(**options) for _ in range(times))


def test_leaving_silent_and_closed_upstreams_get_no_work() -> None:
    world = World("z1", "z1", "z1", "z1", "z1")
    world.beat("u00", state="leaving")
    world.peers["u01"].is_closed = True
    world.records[2] = _record("u02", "z1", state="leaving")
    world.membership.replace_hosts(world.records)
    world.clock.advance(2.9)
    world.beat("u04", "u02", "u01")
    world.clock.advance(0.2)
    assert world.count(20).keys() == {"u04"}
    world.membership.remove_peer(world.peers["u04"])
    assert world.choose() is None


def test_least_predicted_wait_of_the_own_zone_first() -> None:
    world = World("z1", "z1", "z2")
    world.beat("u00", wait_ms_by_rank={"urgent": 300}, waiting_by_rank={"urgent": 3}, running=8)
    assert world.choose() == "u01"
    world.beat("u01", wait_ms_by_rank={"urgent": 900}, waiting_by_rank={"urgent": 9}, running=8)
    assert world.choose() == "u00"
    assert world.choose(time_left_ms=200.0) == "u02"
    assert world.choose(time_left_ms=200.0, excluded={"u02"}) == "u00"
    assert world.choose(time_left_ms=200.0, excluded={"u02"}, only_in_time=True) is None


def test_hot_prefix_stays_on_its_upstream_up_to_the_bound() -> None:
    world = World(*["z1"] * 4)
    first = world.choose(prefix_key="p")
    assert first is not None
    world.beat()
    assert world.choose(prefix_key="p") == first
    world.beat("u02", prefixes=("other",))
    assert world.choose(prefix_key="other") == "u02"
    world.beat()
    spread = world.count(400, prefix_key="p")
    assert spread[first] <= 1.25 * 100 + 2
    assert min(spread.values()) >= 80


def test_returning_upstream_starts_slowly() -> None:
    world = World(*["z1"] * 4)
    world.beat("u00", state="starting")
    world.beat("u00")
    shares = []
    for _ in range(3):
        taken = 0
        for _ in range(100):
            world.beat()
            taken += world.choose() == "u00"
        shares.append(taken)
        world.advance(5.0)
    assert shares[0] <= 6 < shares[1] < shares[2]


def test_breaker_opens_lets_one_trial_through_and_closes() -> None:
    world = World("z1", "z1")
    world.count(BREAKER_FAILURES, end=FAILURE, excluded={"u01"})
    assert world.count(20).keys() == {"u01"}
    assert world.choose(excluded={"u01"}) is None
    world.clock.advance(1.1)
    world.beat()
    assert world.choose(excluded={"u01"}, end=FAILURE) == "u00"
    assert world.choose(excluded={"u01"}) is None
    world.clock.advance(2.1)
    world.beat()
    assert world.choose(excluded={"u01"}) == "u00"
    assert world.choose(excluded={"u01"}) == "u00"


@pytest.mark.parametrize("executed", list(Executed))
@pytest.mark.parametrize("idempotent", [False, True])
def test_only_harmless_repeats(executed: Executed, idempotent: bool) -> None:
    refusal = Refusal(codes.UPSTREAM_LOST, executed)
    allowed = idempotent or executed is Executed.NO
    assert may_retry(refusal, idempotent=idempotent, sent_to_caller=False) == allowed
    assert not may_retry(refusal, idempotent=idempotent, sent_to_caller=True)
    invalid = Refusal(codes.INVALID_FIELD, executed)
    assert not may_retry(invalid, idempotent=idempotent, sent_to_caller=False)


def test_budget_bounds_repeats_and_keeps_a_reserve_for_failures() -> None:
    budget = RetryBudget(clock=ManualClock())
    taken = 0
    for _ in range(1000):
        budget.count_request()
        taken += budget.try_withdraw(keep_reserve=True)
    assert taken <= 103
    assert [budget.try_withdraw(keep_reserve=False) for _ in range(4)] == [True, True, True, False]


def test_equal_reports_do_not_send_all_entry_hosts_to_one_upstream() -> None:
    worlds = [World(*["z1"] * 6) for _ in range(4)]
    entries = [_record(f"e{number}", "z1", "entry") for number in range(4)]
    for number, world in enumerate(worlds):
        world.membership.replace_hosts(world.records + entries)
        world.router._rng.seed(number)
        world.beat(running=6)
        world.beat("u03", running=0)
    taken = Counter(world.choose() for _ in range(6) for world in worlds)
    assert taken["u03"] <= 10


def test_subset_neighbours_and_watchers() -> None:
    upstreams = [_record(f"u{number:02}", f"z{number % 3}") for number in range(99)]
    entries = [_record(f"e{number}", f"z{number % 3}", "entry") for number in range(27)]
    views = []
    for entry in entries:
        zone = entry.availability_zone
        view = Membership(host=entry.host, availability_zone=zone, clock=ManualClock())
        view.replace_hosts(upstreams + entries)
        views.append(view)
        targets = view.choose_targets()
        chosen = Counter(r.availability_zone for r in upstreams if r.peer in targets)
        assert (chosen.total(), chosen[zone]) == (module.SUBSET_SIZE, module.LOCAL_SUBSET_SIZE)
        others = Counter(r.availability_zone for r in entries if r.peer in targets)
        assert sorted(others.values()) == [1, 1, 3]
        assert others[zone] == 3
    watchers = [entry for entry, view in zip(entries, views, strict=True) if view.is_watcher()]
    assert Counter(entry.availability_zone for entry in watchers) == {"z0": 2, "z1": 2, "z2": 2}
    peer: Any = SimpleNamespace(hello=SimpleNamespace(host=watchers[0].host, role="entry"))
    for view in views:
        view.record_peer_status(peer, PeerStatus("leaving", 0, ""))
    others = [e for e, view in zip(entries, views, strict=True) if view.is_watcher()]
    assert len([e for e in others if e not in watchers]) == 1


@pytest.mark.parametrize(("entry_count", "upstream_count"), [(2, 60), (8, 92), (20, 250)])
def test_every_upstream_is_in_the_subset_of_two_entry_hosts(
    entry_count: int, upstream_count: int
) -> None:
    """An upstream outside every subset would get neither work nor table revisions."""
    upstreams = [_record(f"u{number:03}", "z1") for number in range(upstream_count)]
    entries = [_record(f"e{number}", "z1", "entry") for number in range(entry_count)]
    streams: Counter[Address] = Counter()
    for entry in entries:
        view = Membership(host=entry.host, availability_zone="z1", clock=ManualClock())
        view.replace_hosts(upstreams + entries)
        streams.update(view.choose_targets())
    assert min(streams[record.peer] for record in upstreams) >= module.COVERING_ENTRIES


def test_dropped_host_keeps_its_stream_until_it_closes() -> None:
    world = World("z1", "z1")
    for is_closed in (False, True):
        world.peers["u01"].is_closed = is_closed
        world.membership.replace_hosts(world.records[:1])
        assert (world.records[1].peer in world.membership.choose_targets()) != is_closed
        assert world.count(10).keys() == {"u00"}


def test_list_without_upstreams_stops_nothing() -> None:
    world = World("z1", "z1")
    for _ in range(2):
        world.membership.replace_hosts([])
        assert world.count(20).keys() == {"u00", "u01"}
    world.beat("u00", state="leaving")
    assert world.count(20).keys() == {"u01"}


@pytest.mark.parametrize(
    ("listed", "used"), [(0, 4), (1, 4), (2, 2), (4, 4)], ids=["empty", "one", "half", "all"]
)
def test_a_list_that_loses_most_upstreams_is_not_believed(listed: int, used: int) -> None:
    """An empty or stale host list must not take the upstreams whose heartbeats arrive."""
    world = World("z1", "z1", "z1", "z1")
    world.membership.replace_hosts(world.records[:listed])
    world.advance(1.0)
    assert len(world.count(200)) == used
