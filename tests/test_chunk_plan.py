"""Tests that chunk plans complete and stay within their upload and origin limits."""

from __future__ import annotations

import dataclasses
import hashlib
import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bench.chunks import SCENARIOS, Scenario, Simulation, make_manifest
from sycamoreproxy.chunk_plan import (
    ORIGIN,
    BoundedLoadAssignment,
    ChunkPlan,
    Fetch,
    Pacer,
    PlanLimits,
    RendezvousAssignment,
    encode_bitmap,
    list_bits,
)
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.weights import compute_chunk_digest
from tests._weight_fakes import make_record

_DIGESTS = [compute_chunk_digest(str(number).encode()) for number in range(32)]
_MANIFEST = make_manifest("v1", _DIGESTS, 1_000)
_ALL = (1 << len(_DIGESTS)) - 1


class _PlanFixture:
    """A plan of host h0 with the neighbours h1, h2, …, one second after its start."""

    def __init__(self, peers: int = 2, *, held: int = 0, **limits: float) -> None:
        self.clock = ManualClock()
        self.plan = ChunkPlan(
            host="h0",
            manifest=_MANIFEST,
            held=[_DIGESTS[index] for index in list_bits(held)],
            limits=PlanLimits(**{"bytes_per_s": 1e9, **limits}),  # type: ignore[arg-type]
            clock=self.clock,
            random_source=random.Random(1),
        )
        self.records = [make_record(f"h{number + 1}") for number in range(peers)]
        self.plan.set_neighbours(self.records, zones=1, regions=1)
        self.clock.advance(1)

    def choose(self) -> list[Fetch]:
        """Return all requests that the plan sends until it has none left."""
        fetches = []
        while more := self.plan.choose_fetches():
            fetches += more
            self.clock.advance(1e-5)
        return fetches

    def announce(self, host: str, bitmap: int, *, uploaded: int = 0, fetches: bool = True) -> None:
        self.plan.update_peer(
            host, bitmap=bitmap, bytes_uploaded=uploaded, closed=False, fetches_from_origin=fetches
        )


def _scale_down(name: str, **changes: float | int) -> Scenario:
    return dataclasses.replace(SCENARIOS[name], **{"hosts": 12, "chunks": 32, **changes})


@settings(max_examples=25, deadline=None, database=None)
@seed(7)
@given(
    number=st.integers(0, 10_000),
    hosts=st.integers(2, 14),
    chunks=st.integers(1, 48),
    corrupt=st.sampled_from([0.0, 0.01, 0.1]),
    dying=st.sampled_from([0.0, 0.1, 0.3]),
    switch_at=st.sampled_from([0.0, 0.2, 0.9]),
    origin_bytes_per_s=st.sampled_from([3e6, 30e6, 300e6]),
)
def test_every_live_host_receives_the_final_version(
    number: int,
    hosts: int,
    chunks: int,
    corrupt: float,
    dying: float,
    switch_at: float,
    origin_bytes_per_s: float,
) -> None:
    scenario = Scenario(
        name="any",
        hosts=hosts,
        regions=1 + number % 2,
        chunks=chunks,
        corrupt=corrupt,
        dying=dying,
        switch_at=switch_at,
        origin_bytes_per_s=origin_bytes_per_s,
    )
    simulation = Simulation(scenario, seed=number)
    simulation.run(limit_s=3_600)
    for host in simulation.hosts.values():
        assert not host.alive or host.plan.is_done
        if host.alive:
            assert host.plan.manifest is simulation.manifest


@pytest.mark.parametrize("number", [1, 2])
def test_copy_limits_hold_without_faults(number: int) -> None:
    scenario = _scale_down("rollout", hosts=30, chunks=64)
    simulation = Simulation(scenario, seed=number)
    simulation.run(limit_s=3_600)
    size = simulation.manifest.total_bytes
    origin = sum(sum(h.origin_by_digest.values()) for h in simulation.hosts.values())
    assert origin <= 4 * size
    for host in simulation.hosts.values():
        assert host.plan.is_done
        link = sum(host.in_by_digest.values()) + sum(host.out_by_digest.values())
        assert link <= 2 * size


@given(hosts=st.sets(st.sampled_from("abcdefgh"), min_size=2), random_seed=st.integers(0, 99))
@settings(max_examples=30, deadline=None, database=None)
@seed(3)
def test_only_the_chunks_of_a_removed_host_are_reassigned(
    hosts: set[str], random_seed: int
) -> None:
    removed_host = random.Random(random_seed).choice(sorted(hosts))
    assignment, fresh = RendezvousAssignment(_MANIFEST), RendezvousAssignment(_MANIFEST)
    assignment.assign(hosts)
    before = {host: assignment.chunks_of(host) for host in hosts}
    assignment.assign(hosts - {removed_host})
    fresh.assign(hosts - {removed_host})
    covered = 0
    for host in hosts - {removed_host}:
        assert assignment.chunks_of(host) == fresh.chunks_of(host)
        assert before[host] & ~assignment.chunks_of(host) == 0
        covered |= assignment.chunks_of(host)
    assert covered == _ALL


def test_only_assigned_chunks_are_requested_from_the_origin() -> None:
    fixture = _PlanFixture(in_flight=99, in_flight_at_origin=99)
    assignment = RendezvousAssignment(_MANIFEST)
    assignment.assign({"h0", "h1", "h2"})
    fetches = fixture.choose()
    assert {fetch.source for fetch in fetches} == {ORIGIN}
    assert sum(1 << fetch.index for fetch in fetches) == assignment.chunks_of("h0")


def test_late_host_waits_for_announcements_before_it_uses_the_origin() -> None:
    fixture = _PlanFixture(peers=2)
    late_plan = ChunkPlan(
        host="h0",
        manifest=_MANIFEST,
        held=[],
        limits=PlanLimits(bytes_per_s=1e9),
        clock=fixture.clock,
        random_source=random.Random(1),
    )
    late_plan.set_neighbours(fixture.records, zones=1, regions=1)
    assert late_plan.choose_fetches() == []
    late_plan.update_peer("h1", bitmap=_ALL, bytes_uploaded=0, closed=False)
    assert {fetch.source for fetch in late_plan.choose_fetches()} == {"h1"}


@pytest.mark.parametrize("cause", ["lost", "stalled", "origin in back-off"])
def test_chunks_of_an_inactive_host_are_reassigned(cause: str) -> None:
    fixture = _PlanFixture(peers=1, in_flight=99, in_flight_at_origin=99)
    fixture.announce("h1", 0)
    own = {fetch.index for fetch in fixture.choose()}
    for index in own:
        fixture.plan.record_received(_DIGESTS[index], ORIGIN)
    if cause == "lost":
        fixture.plan.remove_peer("h1")
    elif cause == "origin in back-off":
        fixture.announce("h1", 0, fetches=False)
    else:
        assert fixture.choose() == []
        fixture.clock.advance(6)
    reassigned = fixture.choose()
    assert reassigned and {fetch.source for fetch in reassigned} == {ORIGIN}
    assert not own & {fetch.index for fetch in reassigned}


def test_rarest_chunk_and_least_used_source_are_chosen_first() -> None:
    fixture = _PlanFixture(peers=3, in_flight=1, source_jitter_chunks=0, in_flight_at_origin=0)
    fixture.announce("h1", _ALL, uploaded=9_000)
    fixture.announce("h2", _ALL & ~1, uploaded=5_000)
    fixture.announce("h3", _ALL & ~1, uploaded=7_000)
    first = fixture.choose()[0]
    assert (first.index, first.source) == (0, "h1")
    fixture.plan.record_received(first.digest, "h1")
    assert fixture.choose()[0].source == "h2"


def test_source_of_a_corrupt_chunk_backs_off_for_a_minute() -> None:
    fixture = _PlanFixture(peers=1, in_flight=1, in_flight_at_origin=0)
    fixture.announce("h1", _ALL)
    fetch = fixture.choose()[0]
    fixture.plan.record_corrupt(fetch.digest, "h1")
    fixture.clock.advance(59)
    assert fixture.choose() == []
    fixture.clock.advance(2)
    assert fixture.choose()[0].source == "h1"


def test_source_that_times_out_is_replaced() -> None:
    fixture = _PlanFixture(peers=2, in_flight=1, source_jitter_chunks=0, in_flight_at_origin=0)
    fixture.announce("h1", 1)
    fixture.announce("h2", 1, uploaded=9_000)
    assert fixture.choose()[0].source == "h1"
    fixture.clock.advance(16)
    assert fixture.choose()[0].source == "h2"


def test_at_most_one_copy_is_uploaded_until_the_rollout_ends() -> None:
    fixture = _PlanFixture(held=_ALL)
    answers = [fixture.plan.decide_upload(d, host="h1", queued=0) for d in [*_DIGESTS, _DIGESTS[0]]]
    assert answers == [""] * 32 + ["budget"]
    fixture.clock.advance(31)
    assert fixture.plan.decide_upload(_DIGESTS[0], host="h1", queued=0) == ""


def test_requests_for_absent_chunks_or_with_a_full_queue_are_declined() -> None:
    fixture = _PlanFixture(held=1)
    assert fixture.plan.decide_upload(_DIGESTS[1], host="h1", queued=0) == "absent"
    assert fixture.plan.decide_upload("0" * 64, host="h1", queued=0) == "absent"
    assert fixture.plan.decide_upload(_DIGESTS[0], host="h1", queued=3) == "busy"


def test_new_version_inherits_shared_chunks_and_their_uploads() -> None:
    fixture = _PlanFixture(held=_ALL)
    for digest in _DIGESTS[:4]:
        assert fixture.plan.decide_upload(digest, host="h1", queued=0) == ""
    manifest = make_manifest("v2", [*_DIGESTS[:2], *(d[::-1] for d in _DIGESTS[2:])], 1_000)
    after = ChunkPlan(
        host="h0",
        manifest=manifest,
        held=_DIGESTS[:2],
        limits=PlanLimits(bytes_per_s=1e9),
        clock=fixture.clock,
        random_source=random.Random(1),
        previous=fixture.plan,
    )
    assert (after.held, after.bytes_uploaded) == (3, 2_000)


def test_equal_chunks_are_fetched_once() -> None:
    manifest = make_manifest("v1", [_DIGESTS[0]] * 5, 1_000)
    plan = ChunkPlan(
        host="h0",
        manifest=manifest,
        held=[],
        limits=PlanLimits(bytes_per_s=1e9),
        clock=ManualClock(),
        random_source=random.Random(1),
    )
    assert len(plan.choose_fetches()) == 1
    plan.record_received(_DIGESTS[0], ORIGIN)
    assert plan.is_done


@given(sizes=st.lists(st.integers(1, 3_000), max_size=40))
@settings(max_examples=50, deadline=None, database=None)
@seed(5)
def test_pacer_never_exceeds_rate_and_burst(sizes: list[int]) -> None:
    clock = ManualClock()
    pacer = Pacer(clock=clock, bytes_per_s=1_000, burst_bytes=2_000)
    sent = 0
    for size in sizes:
        clock.advance(pacer.wait_s())
        pacer.take(size)
        sent += size
        assert sent <= 1_000 * clock.monotonic() + 2_000 + 3_000


def test_bitmap_is_encoded_least_significant_bit_first() -> None:
    assert encode_bitmap(0b1_0000_0001, 9) == b"\x01\x01"


def test_origin_is_retried_soon_after_a_corrupt_chunk() -> None:
    """There is only one origin: with the back-off of a peer, every host would wait for a minute."""
    fixture = _PlanFixture(in_flight=1, in_flight_at_origin=1)
    fixture.plan.record_corrupt(fixture.choose()[0].digest, ORIGIN)
    assert fixture.choose() == []
    fixture.clock.advance(1)
    assert fixture.choose()[0].source == ORIGIN


def test_min_upload_bytes_raises_the_budget_of_a_small_version() -> None:
    fixture = _PlanFixture(held=_ALL, min_upload_bytes=1_000_000)
    answers = {fixture.plan.decide_upload(d, host="h1", queued=0) for d in _DIGESTS * 3}
    assert answers == {""}


@pytest.mark.parametrize("hosts", [1, 2, 3, 7, 10])
def test_bounded_assignment_gives_no_host_more_than_the_mean(hosts: int) -> None:
    """Rendezvous hashing alone gave some hosts 50% more chunks than the mean, and all waited."""
    assignment = BoundedLoadAssignment(_MANIFEST)
    names = {f"h{number}" for number in range(hosts)}
    assignment.assign(names)
    bitmaps = [assignment.chunks_of(name) for name in names]
    counts = [bitmap.bit_count() for bitmap in bitmaps]
    assert max(counts) <= -(-len(_DIGESTS) // hosts) and sum(counts) == len(_DIGESTS)
    covered = 0
    for bitmap in bitmaps:
        assert not covered & bitmap
        covered |= bitmap
    assert covered == _ALL


@pytest.mark.parametrize(("hosts", "max_moved"), [(7, 0.5), (20, 0.4), (34, 0.4)])
def test_bounded_assignment_moves_few_chunks_to_an_added_host(hosts: int, max_moved: float) -> None:
    """Round-robin assignment moved nearly every chunk when a host was added.

    Each moved chunk had two owners until all hosts knew the added one.
    """
    digests = [hashlib.sha256(f"{number}".encode()).hexdigest() for number in range(48)]
    manifest = make_manifest("v1", digests, 1_000)
    before, after = BoundedLoadAssignment(manifest), BoundedLoadAssignment(manifest)
    names = {f"h{number}" for number in range(hosts)}
    before.assign(names)
    after.assign(names | {"late"})
    kept = sum((before.chunks_of(n) & after.chunks_of(n)).bit_count() for n in names)
    assert 1 - kept / len(digests) <= max_moved


@pytest.mark.parametrize(("pause_s", "is_requested"), [(0.3, False), (0.6, True)])
def test_origin_is_retried_soon_after_a_failure(pause_s: float, is_requested: bool) -> None:
    """After an outage the origin was idle for up to 1.5 s while no engine had any version."""
    fixture = _PlanFixture(failed_peer_backoff_s=1.5, origin_backoff_s=0.5)
    fetch, *_ = fixture.plan.choose_fetches()
    assert fetch.source == ORIGIN
    fixture.plan.record_failed(fetch.digest, ORIGIN)
    fixture.clock.advance(pause_s)
    assert any(item.source == ORIGIN for item in fixture.plan.choose_fetches()) is is_requested


def test_chunk_is_imported_into_a_zone_by_one_host_only() -> None:
    """Every host of a zone fetched the chunks itself over the slow link between regions."""
    imported = 0
    for own in ("h0", "h1"):
        clock = ManualClock()
        plan = ChunkPlan(
            host=own,
            manifest=_MANIFEST,
            held=[],
            limits=PlanLimits(
                bytes_per_s=1e6, in_flight=64, availability_zone="z1", balances_small_versions=True
            ),
            clock=clock,
            random_source=random.Random(1),
        )
        nearby_host = "h1" if own == "h0" else "h0"
        plan.set_neighbours(
            [
                make_record(nearby_host, zone="z1"),
                make_record("far", zone="z2"),
            ],
            zones=2,
            regions=1,
        )
        plan.update_peer("far", bitmap=_ALL, bytes_uploaded=0, closed=False)
        fetched = 0
        for _ in range(200):
            for fetch in plan.choose_fetches():
                if fetch.source == "far":
                    assert not fetched >> fetch.index & 1
                    fetched |= 1 << fetch.index
                    plan.record_received(fetch.digest, "far")
            clock.advance(0.002)
        assert fetched and not imported & fetched
        imported |= fetched
    assert imported == _ALL


def test_new_chunk_is_not_uploaded_to_every_peer_before_one_announces_it() -> None:
    fixture = _PlanFixture(peers=6, held=1, upload_copies=3, max_upload_lead_chunks=0)
    for record in fixture.records:
        fixture.announce(record.host, 0)
    answers = [
        fixture.plan.decide_upload(_DIGESTS[0], host=record.host, queued=0)
        for record in fixture.records
    ]
    assert answers == ["", ""] + ["busy"] * 4


@pytest.mark.parametrize("cause", ["cancelled", "lost"])
def test_upload_that_did_not_arrive_is_not_counted_as_a_copy(cause: str) -> None:
    fixture = _PlanFixture(peers=3, held=1, upload_copies=3, max_upload_lead_chunks=0)
    for host in ("h1", "h2", "h3"):
        fixture.announce(host, 0)
    for host in ("h1", "h2"):
        assert fixture.plan.decide_upload(_DIGESTS[0], host=host, queued=0) == ""
    if cause == "cancelled":
        fixture.plan.cancel_upload(_DIGESTS[0], host="h1")
    else:
        fixture.plan.remove_peer("h1")
    assert fixture.plan.decide_upload(_DIGESTS[0], host="h3", queued=0) == ""


class _IdleRegion:
    """Hosts that lack the last chunk for 0.6 s; the only holder of it has spent its budget.

    Two hosts at most use the origin at once.

    :param bytes_from_origin: bytes that the region has requested from the origin.
    """

    def __init__(self, hosts: int, *, bytes_from_origin: int, **limits: float) -> None:
        self.clock = ManualClock()
        names = [f"h{number}" for number in range(hosts)]
        self._records = [make_record(name) for name in [*names, "holder"]]
        self._limits = PlanLimits(bytes_per_s=1e9, **limits)  # type: ignore[arg-type]
        self.plans_by_host = {name: self._make_plan(name) for name in names}
        for own, plan in self.plans_by_host.items():
            for name in names:
                if name != own:
                    plan.update_peer(name, bitmap=_ALL >> 1, bytes_uploaded=0, closed=False)
            plan.update_peer(
                "holder",
                bitmap=_ALL,
                bytes_uploaded=_MANIFEST.total_bytes,
                closed=False,
                bytes_requested_from_origin=bytes_from_origin,
            )
        self.clock.advance(0.6)

    def _make_plan(self, host: str) -> ChunkPlan:
        plan = ChunkPlan(
            host=host,
            manifest=_MANIFEST,
            held=_DIGESTS[:-1],
            limits=self._limits,
            clock=self.clock,
            random_source=random.Random(host),
        )
        plan.set_neighbours(self._records, zones=1, regions=1, origin_hosts=2)
        return plan

    def choose_from_origin(self) -> set[str]:
        """Return the hosts that request a chunk from the origin now."""
        return {
            host
            for host, plan in self.plans_by_host.items()
            if any(fetch.source == ORIGIN for fetch in plan.choose_fetches())
        }


def test_hosts_whose_chunks_nobody_serves_do_not_turn_to_the_origin_together() -> None:
    region = _IdleRegion(8, bytes_from_origin=10**9, origin_stall_timeout_s=5)
    region.clock.advance(5)
    assert len(region.choose_from_origin()) == 2


def test_hosts_whose_turn_it_is_do_not_leave_a_chunk_to_those_that_wait() -> None:
    region = _IdleRegion(16, bytes_from_origin=0, origin_copies_per_zone=3)
    assert len(region.choose_from_origin()) == 2


def test_bounded_origin_hosts_are_allowed_what_all_hosts_may_fetch_again() -> None:
    """The allowance was divided among all hosts, and too small for a chunk at each of them."""
    region = _IdleRegion(16, bytes_from_origin=_MANIFEST.total_bytes + 8_000)
    assert len(region.choose_from_origin()) == 2


def test_requests_that_busy_sources_decline_do_not_keep_a_host_from_the_origin() -> None:
    fixture = _PlanFixture(peers=3, held=_ALL >> 1, in_flight_per_source=1)
    for record in fixture.records:
        fixture.announce(record.host, _ALL)
    requested: list[str] = []
    while ORIGIN not in requested and len(requested) <= 200:
        requested += [fetch.source for fetch in fixture.plan.choose_fetches()]
        fixture.clock.advance(5e-4)
        fixture.plan.record_declined(_DIGESTS[-1], requested[-1], "busy")
        fixture.clock.advance(5e-4)
    assert ORIGIN in requested


class _OriginRegion:
    """Hosts that lack chunks whose holder has spent its uploads; two may use the origin at once.

    Every step takes 50 ms and ends with the announcements of all hosts, if any are due.

    :param missing: number of chunks that each host lacks.
    :param unheld: number of those that the holder lacks, too.
    :param spent: number of hosts that have spent their uploads.
    :param refused: number of first requests that the origin refuses.
    :param request_s: duration of a request to the origin.
    :param late: number of hosts that received their last chunk just now.
    :param announce_steps: number of steps from one announcement to the next.
    :param idle_s: time since the hosts received their last chunks.
    """

    _STEP_S = 0.05

    def __init__(
        self,
        *,
        hosts: int = 9,
        missing: int = 1,
        unheld: int = 0,
        spent: int = 0,
        refused: int = 0,
        request_s: float = 0.05,
        late: int = 0,
        announce_steps: int = 1,
        takeover_timeout_s: float = 5.0,
        idle_s: float = 1.2,
    ) -> None:
        self.clock = ManualClock()
        self.frozen_host = ""
        self._limits = PlanLimits(
            bytes_per_s=1e9,
            origin_copies_per_zone=4,
            request_timeout_s=1.5,
            takeover_timeout_s=takeover_timeout_s,
        )
        self._announce_steps = announce_steps
        self._steps = 0
        names = [f"h{number}" for number in range(hosts)]
        self.spent_hosts = set(random.Random(spent).sample(names, spent))
        self._refused = refused
        self._request_s = request_s
        self._records = [make_record(name) for name in [*names, "holder"]]
        self._answers: list[tuple[float, str, str]] = []
        self.plans_by_host = {name: self._make_plan(name, _DIGESTS[:-missing]) for name in names}
        self.plans_by_host["holder"] = self._make_plan("holder", _DIGESTS[: len(_DIGESTS) - unheld])
        for name in (*self.spent_hosts, "holder"):
            self.plans_by_host[name].bytes_uploaded = _MANIFEST.total_bytes
        self._announce()
        self.clock.advance(idle_s)
        for name in names[:late]:
            self.plans_by_host[name].record_received(_DIGESTS[0], "holder")

    def _make_plan(self, host: str, held: list[str]) -> ChunkPlan:
        plan = ChunkPlan(
            host=host,
            manifest=_MANIFEST,
            held=held,
            limits=self._limits,
            clock=self.clock,
            random_source=random.Random(host),
        )
        plan.set_neighbours(self._records, zones=1, regions=1, origin_hosts=2)
        return plan

    @property
    def hosts_at_origin(self) -> set[str]:
        return {host for _, host, _ in self._answers}

    @property
    def orders(self) -> set[tuple[str, ...]]:
        """The orders of turns at the hosts that lack chunks; one if all hosts agree on it."""
        return {
            tuple(plan._rank_reseeding_hosts())
            for plan in self.plans_by_host.values()
            if not plan.is_done
        }

    @property
    def is_done(self) -> bool:
        return all(plan.is_done for plan in self._running_plans.values())

    def step(self) -> None:
        self.clock.advance(self._STEP_S)
        self._answer_requests()
        for host, plan in self._running_plans.items():
            for fetch in plan.choose_fetches():
                if fetch.source == ORIGIN:
                    until = self.clock.monotonic() + self._request_s - self._STEP_S / 2
                    self._answers.append((until, host, fetch.digest))
                    continue
                source = self.plans_by_host[fetch.source]
                if fetch.source == self.frozen_host:
                    continue
                reason = source.decide_upload(fetch.digest, host=host, queued=0)
                if reason:
                    plan.record_declined(fetch.digest, fetch.source, reason)
                else:
                    plan.record_received(fetch.digest, fetch.source)
        self._steps += 1
        if self._steps % self._announce_steps == 0:
            self._announce()

    @property
    def _running_plans(self) -> dict[str, ChunkPlan]:
        return {h: plan for h, plan in self.plans_by_host.items() if h != self.frozen_host}

    def _answer_requests(self) -> None:
        now = self.clock.monotonic()
        arrived = [answer for answer in self._answers if answer[0] <= now]
        self._answers = [answer for answer in self._answers if answer[0] > now]
        for _, host, digest in arrived:
            if self._refused:
                self._refused -= 1
                self.plans_by_host[host].record_failed(digest, ORIGIN)
            else:
                self.plans_by_host[host].record_received(digest, ORIGIN)

    def _announce(self) -> None:
        for name, plan in self._running_plans.items():
            plan.record_announced()
            for other, receiver in self.plans_by_host.items():
                if other != name:
                    receiver.update_peer(
                        name,
                        bitmap=plan.held,
                        bytes_uploaded=plan.bytes_uploaded,
                        closed=False,
                        fetches_from_origin=plan.fetches_from_origin,
                        bytes_requested_from_origin=plan.bytes_requested_from_origin,
                        has_spent_uploads=plan.has_spent_uploads,
                    )


@pytest.mark.parametrize("spent", [0, 3, 6, 8, 9])
@pytest.mark.parametrize(
    ("missing", "unheld", "refused", "request_s", "late"),
    [
        (1, 0, 0, 0.05, 0),
        (6, 0, 0, 0.05, 0),
        (6, 0, 0, 0.4, 0),
        (2, 0, 0, 1.4, 0),
        (2, 1, 0, 0.05, 0),
        (6, 2, 0, 0.4, 0),
        (3, 0, 4, 0.05, 0),
        (3, 0, 0, 0.05, 2),
        (3, 0, 0, 0.3, 7),
    ],
)
def test_no_more_hosts_use_the_origin_at_once_than_permitted(
    spent: int, missing: int, unheld: int, refused: int, request_s: float, late: int
) -> None:
    """Hosts that had spent their uploads all took the first turn, since peers left them out."""
    region = _OriginRegion(
        missing=missing,
        unheld=unheld,
        spent=spent,
        refused=refused,
        request_s=request_s,
        late=late,
    )
    for _ in range(4_000):
        region.step()
        assert len(region.hosts_at_origin) <= 2
        assert len(region.orders) <= 1
        if region.is_done:
            break
    assert region.is_done


@pytest.mark.parametrize("spent", [3, 6, 8])
def test_hosts_that_have_spent_their_uploads_use_the_origin_after_the_others(spent: int) -> None:
    """Chunks that such a host fetches reach no other host."""
    region = _OriginRegion(spent=spent)
    for _ in range(100):
        region.step()
        if region.hosts_at_origin:
            break
    assert len(region.hosts_at_origin) == min(2, 9 - spent) + (spent == 8)
    assert len(region.hosts_at_origin & region.spent_hosts) == (spent == 8)


@pytest.mark.parametrize("takeover_timeout_s", [0.3, 1.0])
@pytest.mark.parametrize("announce_steps", [1, 4])
@pytest.mark.parametrize("request_s", [0.05, 0.6])
@pytest.mark.parametrize("is_frozen", [False, True])
def test_hosts_do_not_take_each_others_chunks_over_in_a_series(
    takeover_timeout_s: float, announce_steps: int, request_s: float, is_frozen: bool
) -> None:
    """Hosts counted as stalled as soon as they were to take over from others, so that all did."""
    region = _OriginRegion(
        missing=len(_DIGESTS),
        unheld=len(_DIGESTS),
        announce_steps=announce_steps,
        takeover_timeout_s=takeover_timeout_s,
        request_s=request_s,
        idle_s=0,
    )
    for number in range(8_000):
        region.step()
        assert len(region.hosts_at_origin) <= 2
        if is_frozen and number == announce_steps:
            region.frozen_host = min(region.hosts_at_origin)
        if region.is_done:
            break
    assert region.is_done


@pytest.mark.parametrize("takeover_timeout_s", [0.3, 1.0])
@pytest.mark.parametrize("frozen_at", [2, 10, 14])
def test_host_that_resumes_leaves_the_origin_to_those_that_took_over(
    takeover_timeout_s: float, frozen_at: int
) -> None:
    """It was still assigned its chunks in its own view, and used the origin beside the others."""
    region = _OriginRegion(
        missing=len(_DIGESTS),
        unheld=len(_DIGESTS),
        takeover_timeout_s=takeover_timeout_s,
        request_s=0.6,
        idle_s=0,
    )
    for number in range(8_000):
        region.step()
        assert len(region.hosts_at_origin) <= 2
        if number == frozen_at:
            region.frozen_host = min(region.hosts_at_origin)
        if number == frozen_at + 40:
            region.frozen_host = ""
        if region.is_done:
            break
    assert region.is_done
