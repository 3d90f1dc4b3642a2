"""Tests of upstream selection, circuit breakers, the retry budget and the subset of upstreams.

They guard against work sent to leaving hosts, an overloaded upstream, and unbounded retries.
"""

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


class Cluster:
    """Upstreams in the given availability zones, as seen by an entry host in zone z1."""

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
        self.send_heartbeat()
        self.advance(SLOW_START_S)

    def advance(self, seconds: float) -> None:
        """Advance the clock, with a heartbeat of every upstream each second."""
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            self.send_heartbeat()

    def send_heartbeat(self, *hosts: str, state: str = "ready", **fields: Any) -> None:
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


def test_leaving_unresponsive_and_closed_upstreams_get_no_work() -> None:
    cluster = Cluster("z1", "z1", "z1", "z1", "z1")
    cluster.send_heartbeat("u00", state="leaving")
    cluster.peers["u01"].is_closed = True
    cluster.records[2] = _record("u02", "z1", state="leaving")
    cluster.membership.replace_hosts(cluster.records)
    cluster.clock.advance(2.9)
    cluster.send_heartbeat("u04", "u02", "u01")
    cluster.clock.advance(0.2)
    assert cluster.count(20).keys() == {"u04"}
    cluster.membership.remove_peer(cluster.peers["u04"])
    assert cluster.choose() is None


def test_least_predicted_wait_in_the_local_zone_is_preferred() -> None:
    cluster = Cluster("z1", "z1", "z2")
    cluster.send_heartbeat(
        "u00", wait_ms_by_rank={"urgent": 300}, waiting_by_rank={"urgent": 3}, running=8
    )
    assert cluster.choose() == "u01"
    cluster.send_heartbeat(
        "u01", wait_ms_by_rank={"urgent": 900}, waiting_by_rank={"urgent": 9}, running=8
    )
    assert cluster.choose() == "u00"
    assert cluster.choose(time_left_ms=200.0) == "u02"
    assert cluster.choose(time_left_ms=200.0, excluded={"u02"}) == "u00"
    assert cluster.choose(time_left_ms=200.0, excluded={"u02"}, only_in_time=True) is None


def test_hot_prefix_stays_on_its_upstream_up_to_the_load_bound() -> None:
    cluster = Cluster(*["z1"] * 4)
    first = cluster.choose(prefix_key="p")
    assert first is not None
    cluster.send_heartbeat()
    assert cluster.choose(prefix_key="p") == first
    cluster.send_heartbeat("u02", prefixes=("other",))
    assert cluster.choose(prefix_key="other") == "u02"
    cluster.send_heartbeat()
    spread = cluster.count(400, prefix_key="p")
    assert spread[first] <= 1.25 * 100 + 2
    assert min(spread.values()) >= 80


def test_upstream_that_became_available_gets_a_slow_start() -> None:
    cluster = Cluster(*["z1"] * 4)
    cluster.send_heartbeat("u00", state="starting")
    cluster.send_heartbeat("u00")
    chosen_counts = []
    for _ in range(3):
        chosen_count = 0
        for _ in range(100):
            cluster.send_heartbeat()
            chosen_count += cluster.choose() == "u00"
        chosen_counts.append(chosen_count)
        cluster.advance(5.0)
    assert chosen_counts[0] <= 6 < chosen_counts[1] < chosen_counts[2]


def test_breaker_opens_allows_one_probe_and_closes() -> None:
    cluster = Cluster("z1", "z1")
    cluster.count(BREAKER_FAILURES, end=FAILURE, excluded={"u01"})
    assert cluster.count(20).keys() == {"u01"}
    assert cluster.choose(excluded={"u01"}) is None
    cluster.clock.advance(1.1)
    cluster.send_heartbeat()
    assert cluster.choose(excluded={"u01"}, end=FAILURE) == "u00"
    assert cluster.choose(excluded={"u01"}) is None
    cluster.clock.advance(2.1)
    cluster.send_heartbeat()
    assert cluster.choose(excluded={"u01"}) == "u00"
    assert cluster.choose(excluded={"u01"}) == "u00"


@pytest.mark.parametrize("executed", list(Executed))
@pytest.mark.parametrize("idempotent", [False, True])
def test_only_safe_retries_are_allowed(executed: Executed, idempotent: bool) -> None:
    refusal = Refusal(codes.UPSTREAM_LOST, executed)
    allowed = idempotent or executed is Executed.NO
    assert may_retry(refusal, idempotent=idempotent, sent_to_caller=False) == allowed
    assert not may_retry(refusal, idempotent=idempotent, sent_to_caller=True)
    invalid = Refusal(codes.INVALID_FIELD, executed)
    assert not may_retry(invalid, idempotent=idempotent, sent_to_caller=False)


def test_budget_bounds_retries_and_keeps_a_reserve_for_failures() -> None:
    budget = RetryBudget(clock=ManualClock())
    retries = 0
    for _ in range(1000):
        budget.count_request()
        retries += budget.try_withdraw(keep_reserve=True)
    assert retries <= 103
    assert [budget.try_withdraw(keep_reserve=False) for _ in range(4)] == [True, True, True, False]


def test_equal_reports_do_not_send_all_entry_hosts_to_one_upstream() -> None:
    clusters = [Cluster(*["z1"] * 6) for _ in range(4)]
    entries = [_record(f"e{number}", "z1", "entry") for number in range(4)]
    for number, cluster in enumerate(clusters):
        cluster.membership.replace_hosts(cluster.records + entries)
        cluster.router._rng.seed(number)
        cluster.send_heartbeat(running=6)
        cluster.send_heartbeat("u03", running=0)
    chosen = Counter(cluster.choose() for _ in range(6) for cluster in clusters)
    assert chosen["u03"] <= 10


def test_subset_size_entry_peers_and_watchers() -> None:
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
    """Guards against upstreams outside all subsets: they get neither work nor table revisions."""
    upstreams = [_record(f"u{number:03}", "z1") for number in range(upstream_count)]
    entries = [_record(f"e{number}", "z1", "entry") for number in range(entry_count)]
    streams: Counter[Address] = Counter()
    for entry in entries:
        view = Membership(host=entry.host, availability_zone="z1", clock=ManualClock())
        view.replace_hosts(upstreams + entries)
        streams.update(view.choose_targets())
    assert min(streams[record.peer] for record in upstreams) >= module.COVERING_ENTRIES


def test_unlisted_host_keeps_its_stream_until_it_closes() -> None:
    cluster = Cluster("z1", "z1")
    for is_closed in (False, True):
        cluster.peers["u01"].is_closed = is_closed
        cluster.membership.replace_hosts(cluster.records[:1])
        assert (cluster.records[1].peer in cluster.membership.choose_targets()) != is_closed
        assert cluster.count(10).keys() == {"u00"}


def test_an_empty_host_list_does_not_stop_routing() -> None:
    cluster = Cluster("z1", "z1")
    for _ in range(2):
        cluster.membership.replace_hosts([])
        assert cluster.count(20).keys() == {"u00", "u01"}
    cluster.send_heartbeat("u00", state="leaving")
    assert cluster.count(20).keys() == {"u01"}


@pytest.mark.parametrize(
    ("listed", "used"), [(0, 4), (1, 4), (2, 2), (4, 4)], ids=["empty", "one", "half", "all"]
)
def test_a_list_that_loses_most_upstreams_is_ignored(listed: int, used: int) -> None:
    """An empty or stale host list must not remove upstreams whose heartbeats still arrive."""
    cluster = Cluster("z1", "z1", "z1", "z1")
    cluster.membership.replace_hosts(cluster.records[:listed])
    cluster.advance(1.0)
    assert len(cluster.count(200)) == used
