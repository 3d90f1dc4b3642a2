"""Guards against plans that stop, exceed their budgets, or ask the origin for more than allowed."""

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
    BoundedDuties,
    ChunkPlan,
    Fetch,
    OriginDuties,
    Pacer,
    PlanLimits,
    encode_bitmap,
    list_bits,
)
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.weights import compute_chunk_digest
from tests._weight_fakes import make_record

_DIGESTS = [compute_chunk_digest(str(number).encode()) for number in range(32)]
_MANIFEST = make_manifest("v1", _DIGESTS, 1_000)
_ALL = (1 << len(_DIGESTS)) - 1


class _Planned:
    """A plan of host h0 with peers h1, h2, …"""

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
        """Return all requests that are sent within a few chunk times."""
        fetches = []
        while more := self.plan.choose_fetches():
            fetches += more
            self.clock.advance(1e-5)
        return fetches

    def have(self, host: str, bitmap: int, *, uploaded: int = 0, fetches: bool = True) -> None:
        self.plan.update_peer(
            host, bitmap=bitmap, bytes_uploaded=uploaded, closed=False, fetches_from_origin=fetches
        )


def _small(name: str, **changes: float | int) -> Scenario:
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
def test_every_living_host_ends_with_the_whole_final_version(
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
def test_limits_hold_without_faults(number: int) -> None:
    scenario = _small("rollout", hosts=30, chunks=64)
    simulation = Simulation(scenario, seed=number)
    simulation.run(limit_s=3_600)
    size = simulation.manifest.total_bytes
    origin = sum(sum(h.origin_by_digest.values()) for h in simulation.hosts.values())
    assert origin <= 4 * size
    for host in simulation.hosts.values():
        assert host.plan.is_done
        link = sum(host.in_by_digest.values()) + sum(host.out_by_digest.values())
        assert link <= 2 * size


@given(hosts=st.sets(st.sampled_from("abcdefgh"), min_size=2), seed_=st.integers(0, 99))
@settings(max_examples=30, deadline=None, database=None)
@seed(3)
def test_a_leaving_host_passes_on_only_its_own_chunks(hosts: set[str], seed_: int) -> None:
    gone = random.Random(seed_).choice(sorted(hosts))
    duties, fresh = OriginDuties(_MANIFEST), OriginDuties(_MANIFEST)
    duties.assign(hosts)
    before = {host: duties.chunks_of(host) for host in hosts}
    duties.assign(hosts - {gone})
    fresh.assign(hosts - {gone})
    together = 0
    for host in hosts - {gone}:
        assert duties.chunks_of(host) == fresh.chunks_of(host)
        assert before[host] & ~duties.chunks_of(host) == 0
        together |= duties.chunks_of(host)
    assert together == _ALL


def test_origin_is_asked_only_for_own_chunks() -> None:
    planned = _Planned(in_flight=99, in_flight_at_origin=99)
    duties = OriginDuties(_MANIFEST)
    duties.assign({"h0", "h1", "h2"})
    fetches = planned.choose()
    assert {fetch.source for fetch in fetches} == {ORIGIN}
    assert sum(1 << fetch.index for fetch in fetches) == duties.chunks_of("h0")


def test_late_host_listens_before_it_asks_the_origin() -> None:
    planned = _Planned(peers=2)
    fresh = ChunkPlan(
        host="h0",
        manifest=_MANIFEST,
        held=[],
        limits=PlanLimits(bytes_per_s=1e9),
        clock=planned.clock,
        random_source=random.Random(1),
    )
    fresh.set_neighbours(planned.records, zones=1, regions=1)
    assert fresh.choose_fetches() == []
    fresh.update_peer("h1", bitmap=_ALL, bytes_uploaded=0, closed=False)
    assert {fetch.source for fetch in fresh.choose_fetches()} == {"h1"}


@pytest.mark.parametrize("sign", ["lost", "no progress", "avoids the origin"])
def test_next_host_takes_over(sign: str) -> None:
    planned = _Planned(peers=1, in_flight=99, in_flight_at_origin=99)
    planned.have("h1", 0)
    own = {fetch.index for fetch in planned.choose()}
    for index in own:
        planned.plan.record_received(_DIGESTS[index], ORIGIN)
    if sign == "lost":
        planned.plan.remove_peer("h1")
    elif sign == "avoids the origin":
        planned.have("h1", 0, fetches=False)
    else:
        assert planned.choose() == []
        planned.clock.advance(6)
    taken = planned.choose()
    assert taken and {fetch.source for fetch in taken} == {ORIGIN}
    assert not own & {fetch.index for fetch in taken}


def test_rarest_chunk_and_least_used_source_come_first() -> None:
    planned = _Planned(peers=3, in_flight=1, source_spread=0, in_flight_at_origin=0)
    planned.have("h1", _ALL, uploaded=9_000)
    planned.have("h2", _ALL & ~1, uploaded=5_000)
    planned.have("h3", _ALL & ~1, uploaded=7_000)
    first = planned.choose()[0]
    assert (first.index, first.source) == (0, "h1")
    planned.plan.record_received(first.digest, "h1")
    assert planned.choose()[0].source == "h2"


def test_source_of_a_corrupt_chunk_is_avoided_for_a_minute() -> None:
    planned = _Planned(peers=1, in_flight=1, in_flight_at_origin=0)
    planned.have("h1", _ALL)
    fetch = planned.choose()[0]
    planned.plan.record_corrupt(fetch.digest, "h1")
    planned.clock.advance(59)
    assert planned.choose() == []
    planned.clock.advance(2)
    assert planned.choose()[0].source == "h1"


def test_silent_source_is_replaced() -> None:
    planned = _Planned(peers=2, in_flight=1, source_spread=0, in_flight_at_origin=0)
    planned.have("h1", 1)
    planned.have("h2", 1, uploaded=9_000)
    assert planned.choose()[0].source == "h1"
    planned.clock.advance(16)
    assert planned.choose()[0].source == "h2"


def test_at_most_one_copy_is_uploaded_until_the_rollout_is_quiet() -> None:
    planned = _Planned(held=_ALL)
    answers = [planned.plan.decide_upload(d, queued=0) for d in [*_DIGESTS, _DIGESTS[0]]]
    assert answers == [""] * 32 + ["budget"]
    planned.clock.advance(31)
    assert planned.plan.decide_upload(_DIGESTS[0], queued=0) == ""


def test_missing_and_queued_chunks_are_declined() -> None:
    planned = _Planned(held=1)
    assert planned.plan.decide_upload(_DIGESTS[1], queued=0) == "absent"
    assert planned.plan.decide_upload("0" * 64, queued=0) == "absent"
    assert planned.plan.decide_upload(_DIGESTS[0], queued=3) == "busy"


def test_new_version_keeps_shared_chunks_and_their_uploads() -> None:
    planned = _Planned(held=_ALL)
    for digest in _DIGESTS[:4]:
        assert planned.plan.decide_upload(digest, queued=0) == ""
    manifest = make_manifest("v2", [*_DIGESTS[:2], *(d[::-1] for d in _DIGESTS[2:])], 1_000)
    after = ChunkPlan(
        host="h0",
        manifest=manifest,
        held=_DIGESTS[:2],
        limits=PlanLimits(bytes_per_s=1e9),
        clock=planned.clock,
        random_source=random.Random(1),
        previous=planned.plan,
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


def test_bitmap_bytes_are_least_significant_first() -> None:
    assert encode_bitmap(0b1_0000_0001, 9) == b"\x01\x01"


def test_origin_is_asked_again_soon_after_a_corrupt_chunk() -> None:
    """The only origin must not be left out for a minute: every host would wait that long."""
    planned = _Planned(in_flight=1, in_flight_at_origin=1)
    planned.plan.record_corrupt(planned.choose()[0].digest, ORIGIN)
    assert planned.choose() == []
    planned.clock.advance(1)
    assert planned.choose()[0].source == ORIGIN


def test_small_version_is_not_held_up_by_the_upload_budget() -> None:
    planned = _Planned(held=_ALL, min_upload_bytes=1_000_000)
    answers = {planned.plan.decide_upload(d, queued=0) for d in _DIGESTS * 3}
    assert answers == {""}


@pytest.mark.parametrize("hosts", [1, 2, 3, 7, 10])
def test_no_host_has_more_than_its_part_of_the_chunks(hosts: int) -> None:
    """Rendezvous hashing gave single hosts half as many chunks again, and all waited for them."""
    duties = BoundedDuties(_MANIFEST)
    names = {f"h{number}" for number in range(hosts)}
    duties.assign(names)
    bitmaps = [duties.chunks_of(name) for name in names]
    counts = [bitmap.bit_count() for bitmap in bitmaps]
    assert max(counts) <= -(-len(_DIGESTS) // hosts) and sum(counts) == len(_DIGESTS)
    covered = 0
    for bitmap in bitmaps:
        assert not covered & bitmap
        covered |= bitmap
    assert covered == _ALL


@pytest.mark.parametrize(("hosts", "moved"), [(7, 0.5), (20, 0.4), (34, 0.4)])
def test_host_that_joins_moves_few_chunks(hosts: int, moved: float) -> None:
    """Dealt out in turn, nearly every chunk had two hosts until all knew of a new one."""
    digests = [hashlib.sha256(f"{number}".encode()).hexdigest() for number in range(48)]
    manifest = make_manifest("v1", digests, 1_000)
    before, after = BoundedDuties(manifest), BoundedDuties(manifest)
    names = {f"h{number}" for number in range(hosts)}
    before.assign(names)
    after.assign(names | {"late"})
    kept = sum((before.chunks_of(n) & after.chunks_of(n)).bit_count() for n in names)
    assert 1 - kept / len(digests) <= moved


@pytest.mark.parametrize(("pause_s", "asks"), [(0.3, False), (0.6, True)])
def test_origin_that_failed_is_asked_again_soon(pause_s: float, asks: bool) -> None:
    """Back after an outage, it stood idle for up to 1.5 s, while no engine had any version."""
    planned = _Planned(failed_peer_backoff_s=1.5, origin_backoff_s=0.5)
    fetch, *_ = planned.plan.choose_fetches()
    assert fetch.source == ORIGIN
    planned.plan.record_failed(fetch.digest, ORIGIN)
    planned.clock.advance(pause_s)
    assert any(item.source == ORIGIN for item in planned.plan.choose_fetches()) is asks


def test_chunk_is_imported_into_a_zone_by_one_host_only() -> None:
    """Every host of a zone fetched its chunks over the narrow link between regions."""
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
        near = "h1" if own == "h0" else "h0"
        plan.set_neighbours(
            [
                make_record(near, zone="z1"),
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
