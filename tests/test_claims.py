"""Guards against duplicate execution and against claims that block a request without reason."""

import asyncio
import random
from collections import Counter
from typing import Any

import pytest
from returns.result import Success

from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy import claims
from sycamoreproxy import result_codes as codes
from sycamoreproxy.claims import Claim, ClaimRegistry, make_claim_key
from sycamoreproxy.dispatch import RecordedOutcome
from sycamoreproxy.invariants import violations_by_name
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.store import StoreUnavailableError
from tests._virtual_time import LoopClock, in_virtual_time

OUTCOME = RecordedOutcome(201, (("Content-Type", "text/plain"),), b"booked \xff")
LIMIT = claims.MAX_OUTCOME_BYTES
NOT_RUN = (codes.CLAIM_STORE_UNAVAILABLE, Executed.NO)
UNKNOWN = (codes.CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN)


class Registry(ClaimRegistry):
    """The claim registry of one entry host, with injected faults between it and the store."""

    def __init__(self, memory_store: MemoryStore | None = None, **faults: Any) -> None:
        self.memory_store = memory_store or MemoryStore(now=LoopClock().monotonic)
        self.store = InProcessStore(self.memory_store, **faults)
        super().__init__(store=self.store, prefix="/t", owner="e", clock=LoopClock())

    def make_other(self) -> "Registry":
        """Return the registry of another entry host on the same store, without faults."""
        return Registry(self.memory_store)

    async def try_begin(self, key: str = "k", *, digest: str = "f", timeout_s: float = 10.0) -> Any:
        """Return the claim or outcome, or the code and ``executed`` value of the refusal."""
        result = await self.begin("account", "ledger", key, digest, timeout_s=timeout_s)
        if isinstance(result, Success):
            return result.unwrap()
        return result.failure().code, result.failure().executed

    async def settle(self) -> None:
        """Wait until no cleanup and no delayed write is in flight."""
        while tasks := [*self._cleanups, *self.store.late_tasks]:
            await asyncio.wait(tasks)


@pytest.mark.parametrize("closing", ["finish", "release"])
@in_virtual_time
async def test_repeat_on_another_host_waits_for_the_outcome_or_the_claim(closing: str) -> None:
    registry = Registry()
    claim = await registry.try_begin()
    repeat = asyncio.create_task(registry.make_other().try_begin())
    await asyncio.sleep(0.5)
    assert not repeat.done()
    if closing == "finish":
        await registry.finish(claim, OUTCOME)
        assert await repeat == await registry.try_begin() == OUTCOME
        return
    await registry.release(claim)
    second = await repeat
    assert isinstance(second, Claim) and second.token != claim.token
    # The first holder's claim is outdated and must not modify the second claim.
    await registry.finish(claim, OUTCOME)
    assert await registry.make_other().try_begin() == (codes.CLAIM_IN_PROGRESS, Executed.UNKNOWN)


@pytest.mark.parametrize(
    ("state", "digest", "refusal"),
    [
        ("started", "f", (codes.CLAIM_IN_PROGRESS, Executed.UNKNOWN)),
        ("started", "other", (codes.CLAIM_MISMATCH, Executed.NO)),
        ("done", "other", (codes.CLAIM_MISMATCH, Executed.NO)),
        ("owner lost", "f", UNKNOWN),
        ("store lost", "f", UNKNOWN),
    ],
)
@in_virtual_time
async def test_claim_of_another_request_is_never_taken_over(
    state: str, digest: str, refusal: Any
) -> None:
    registry = Registry()
    claim = await registry.try_begin(timeout_s=1)
    other = registry.make_other()
    if state == "done":
        await registry.finish(claim, OUTCOME)
    if state == "owner lost":
        await asyncio.sleep(1 + claims.PROGRESS_GRACE_S + 1)
    repeat = asyncio.create_task(other.try_begin(digest=digest, timeout_s=1))
    if state == "store lost":
        await asyncio.sleep(0.1)
        other.store.faults = {"unavailable": 1.0}
    assert await repeat == refusal


@pytest.mark.parametrize("fault", ["unavailable", "lost", "late"])
@in_virtual_time
async def test_unconfirmed_begin_is_refused_and_does_not_block_a_repeat(fault: str) -> None:
    registry = Registry()
    await registry._lease.current()
    registry.store.faults = {fault: 1.0}
    assert await registry.try_begin(timeout_s=1) == NOT_RUN
    registry.store.faults = {}
    await registry.settle()
    assert isinstance(await registry.make_other().try_begin(), Claim)


@in_virtual_time
async def test_begin_that_times_out_during_the_lease_grant_is_never_written() -> None:
    registry = Registry()
    call = registry.store._call

    async def grant_slowly(verb: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        await asyncio.sleep(2 if verb == "grant" else 0)
        return await call(verb, path, body)

    registry.store._call = grant_slowly  # type: ignore[method-assign]
    assert await registry.try_begin(timeout_s=1) == NOT_RUN
    await asyncio.sleep(10)
    assert registry.memory_store.revision == 1
    assert isinstance(await registry.make_other().try_begin(), Claim)


@pytest.mark.parametrize("fault", ["lost", "late"])
@in_virtual_time
async def test_write_with_lost_response_is_read_back_and_its_delayed_copy_has_no_effect(
    fault: str,
) -> None:
    registry = Registry()
    await registry._lease.current()
    registry.store.faults = {fault: 1.0}
    begin_task = asyncio.create_task(registry.try_begin())
    while registry.memory_store.revision == 1 and not registry.store.late_tasks:
        await asyncio.sleep(0)
    registry.store.faults = {}
    claim = await begin_task
    assert isinstance(claim, Claim)
    await registry.release(claim)
    await registry.settle()
    assert isinstance(await registry.make_other().try_begin(), Claim)


@pytest.mark.parametrize(
    ("outcome", "stored_body"),
    [
        (RecordedOutcome(200, (), b""), b""),
        (RecordedOutcome(200, (), b"x" * LIMIT), b"x" * LIMIT),
        (RecordedOutcome(200, (), b"x" * (LIMIT + 1)), None),
        (RecordedOutcome(200, (("X-Long", "y" * LIMIT),), b"x"), None),
        (RecordedOutcome(200, (), None), None),
    ],
    ids=["empty", "largest", "too large", "large headers", "forwarded"],
)
@in_virtual_time
async def test_outcome_without_stored_body_still_prevents_a_second_run(
    outcome: Any, stored_body: Any
) -> None:
    registry = Registry()
    await registry.finish(await registry.try_begin(), outcome)
    repeat = await registry.try_begin()
    assert isinstance(repeat, RecordedOutcome) and (repeat.status, repeat.body) == (
        200,
        stored_body,
    )


@in_virtual_time
async def test_claims_are_batched_and_each_batch_has_distinct_keys() -> None:
    registry = Registry()
    keys = [f"k{number % 80}" for number in range(100)]
    results = await asyncio.gather(*(registry.try_begin(key, timeout_s=1) for key in keys))
    assert sum(isinstance(result, Claim) for result in results) == 80
    assert results.count((codes.CLAIM_IN_PROGRESS, Executed.UNKNOWN)) == 20
    # 100 writes need 4 batches, and only batches with a new claim modify the store.
    assert registry.memory_store.revision - 1 <= 4


@in_virtual_time
async def test_claims_expire_after_one_day_and_not_before() -> None:
    registry = Registry()
    await registry.try_begin("early")
    await asyncio.sleep(3_599)
    await registry.try_begin("late")
    await asyncio.sleep(claims.CLAIM_TTL_S - 10)
    for key in ("early", "late"):
        assert await registry.try_begin(key, timeout_s=1) == UNKNOWN
    await asyncio.sleep(2 * 3_600)
    for key in ("early", "late"):
        assert isinstance(await registry.try_begin(key), Claim)


@in_virtual_time
async def test_request_is_not_run_again_if_the_store_loses_its_claim() -> None:
    registry = Registry()
    await registry.try_begin()
    before = violations_by_name["claim_begun_once"]
    registry.memory_store.revoke({"ID": str(await registry._lease.current())})
    # The lost lease is replaced for other claims.
    assert isinstance(await registry.try_begin("other"), Claim)
    assert await registry.try_begin() == (codes.INVARIANT_VIOLATED, Executed.NO)
    assert violations_by_name["claim_begun_once"] == before + 1


@in_virtual_time
async def test_finish_with_unavailable_store_raises_and_keeps_the_claim() -> None:
    registry = Registry()
    claim = await registry.try_begin()
    registry.store.faults = {"unavailable": 1.0}
    with pytest.raises(StoreUnavailableError):
        await registry.finish(claim, OUTCOME)
    assert (await registry.make_other().try_begin(timeout_s=1))[1] is Executed.UNKNOWN


@in_virtual_time
async def test_number_of_queued_writes_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims, "MAX_QUEUED_WRITES", 10)
    registry = Registry(unavailable=1.0)
    results = await asyncio.gather(*(registry.try_begin(f"k{n}", timeout_s=1) for n in range(200)))
    assert set(results) == {NOT_RUN}
    await registry.close()


def test_key_is_stored_as_an_unambiguous_digest_of_its_parts() -> None:
    key = make_claim_key("/t", "a", "bc", "secret")
    assert "secret" not in key and key != make_claim_key("/t", "ab", "c", "secret")


# With the seeds above 100, a delayed copy of a write used to start a claim for which no request
# was running.
@pytest.mark.parametrize("seed", [0, 1, 101, 105, 106, 124, 125])
@pytest.mark.parametrize(
    "faults",
    [{}, {"lost": 0.25}, {"late": 0.5}, {"late": 0.3, "lost": 0.2, "unavailable": 0.2}],
    ids=str,
)
@in_virtual_time
async def test_no_request_runs_twice_under_store_faults(faults: Any, seed: int) -> None:
    """Callers repeat each request through three entry hosts until they know its outcome."""
    memory_store, rng = MemoryStore(), random.Random(seed)
    registries = [Registry(memory_store, seed=seed * 10 + n, **faults) for n in range(3)]
    runs: Counter[str] = Counter()
    bodies: set[tuple[str, bytes | None]] = set()

    async def call(key: str) -> None:
        for _ in range(100):
            registry = rng.choice(registries)
            result = await registry.try_begin(key, timeout_s=rng.choice([0.01, 0.1, 1.0]))
            if isinstance(result, RecordedOutcome):
                bodies.add((key, result.body))
                return
            if isinstance(result, Claim) and rng.random() < 0.3:
                # The upstream refused the attempt as not executed.
                await registry.release(result)
            elif isinstance(result, Claim):
                runs[key] += 1
                await asyncio.sleep(0.05)
                await registry.finish(result, RecordedOutcome(200, (), f"{runs[key]}".encode()))

    keys = [f"k{number}" for number in range(12)]
    await asyncio.gather(*(call(key) for key in keys for _ in range(3)))
    for registry in registries:
        await registry.settle()
        await registry.close()
    assert runs == dict.fromkeys(keys, 1)
    assert bodies == {(key, b"1") for key in keys}
