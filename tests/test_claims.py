"""Guards against requests that run twice, and against claims that block a request for no reason."""

import asyncio
import random
from collections import Counter
from typing import Any

import pytest
from returns.result import Failure, Success

from standins.store import MemoryStore
from sycamoreproxy import claims
from sycamoreproxy import result_codes as codes
from sycamoreproxy.claims import Claim, ClaimBook, make_claim_key
from sycamoreproxy.dispatch import RecordedOutcome
from sycamoreproxy.invariants import violations_by_name
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.store import StoreUnavailableError
from tests._fake_store import FakeStore
from tests._virtual_time import LoopClock
from tests._virtual_time import run as virtual_run

OUTCOME = RecordedOutcome(201, (("Content-Type", "text/plain"),), b"booked \xff")


def make_book(core: MemoryStore, *, owner: str = "e1", **faults: Any) -> ClaimBook:
    return ClaimBook(store=FakeStore(core, **faults), prefix="/t", owner=owner, clock=LoopClock())


def make_core() -> MemoryStore:
    return MemoryStore(now=LoopClock().monotonic)


async def begin(
    book: ClaimBook, key: str = "k", *, fingerprint: str = "f", timeout_s: float = 10.0
) -> Any:
    return await book.begin("account", "ledger", key, fingerprint, timeout_s=timeout_s)


async def settle(*books: ClaimBook) -> None:
    """Wait until no cleanup and no late write is under way."""
    for book in books:
        while tasks := [*book._cleanups, *book._writer._store.late_tasks]:  # type: ignore[attr-defined]
            await asyncio.wait(tasks)


def test_repeat_gets_the_outcome_on_any_entry_host() -> None:
    async def run() -> None:
        core = make_core()
        first, second = make_book(core), make_book(core, owner="e2")
        claim = (await begin(first)).unwrap()
        assert isinstance(claim, Claim)
        waiting = asyncio.create_task(begin(second))
        await asyncio.sleep(0.5)
        await first.finish(claim, OUTCOME)
        assert await waiting == Success(OUTCOME)
        assert await begin(first) == Success(OUTCOME)

    virtual_run(run())


def test_released_claim_may_be_begun_again() -> None:
    async def run() -> None:
        core = make_core()
        first, second = make_book(core), make_book(core, owner="e2")
        claim = (await begin(first)).unwrap()
        waiting = asyncio.create_task(begin(second))
        await asyncio.sleep(0.5)
        await first.release(claim)
        other = (await waiting).unwrap()
        assert isinstance(other, Claim) and other.token != claim.token
        # The first holder is out of date and must not touch the second claim.
        await first.finish(claim, OUTCOME)
        await second.release(other)
        assert isinstance((await begin(first)).unwrap(), Claim)

    virtual_run(run())


@pytest.mark.parametrize(
    ("state", "fingerprint", "code", "executed"),
    [
        ("started", "f", codes.CLAIM_IN_PROGRESS, Executed.UNKNOWN),
        ("started", "other", codes.CLAIM_MISMATCH, Executed.NO),
        ("done", "other", codes.CLAIM_MISMATCH, Executed.NO),
        ("silent", "f", codes.CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN),
        ("store lost", "f", codes.CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN),
    ],
)
def test_claim_held_by_another_is_never_taken_over(
    state: str, fingerprint: str, code: codes.ResultCode, executed: Executed
) -> None:
    async def run() -> None:
        core = make_core()
        holder = make_book(core)
        claim = (await begin(holder, timeout_s=1)).unwrap()
        if state == "done":
            await holder.finish(claim, OUTCOME)
        if state == "silent":
            await asyncio.sleep(1 + claims.PROGRESS_GRACE_S + 1)
        other = make_book(core, owner="e2")
        if state == "store lost":
            waiting = asyncio.create_task(begin(other, timeout_s=1.0))
            await asyncio.sleep(0.1)
            other._writer._store.faults = {"unavailable": 1.0}  # type: ignore[attr-defined]
            result = await waiting
        else:
            result = await begin(other, fingerprint=fingerprint, timeout_s=1.0)
        assert isinstance(result, Failure)
        assert (result.failure().code, result.failure().executed) == (code, executed)

    virtual_run(run())


@pytest.mark.parametrize("fault", ["unavailable", "lost", "late"])
def test_unanswered_begin_is_refused_as_not_run_and_does_not_block_a_repeat(fault: str) -> None:
    async def run() -> None:
        core = make_core()
        book = make_book(core)
        store: Any = book._writer._store
        await book._lease.current()
        store.faults = {fault: 1.0}
        result = await begin(book, timeout_s=1.0)
        refusal = result.failure()
        assert (refusal.code, refusal.executed) == (codes.CLAIM_STORE_UNAVAILABLE, Executed.NO)
        store.faults = {}
        await settle(book)
        assert isinstance((await begin(make_book(core, owner="e2"))).unwrap(), Claim)

    virtual_run(run())


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_lost_answer_is_read_back_and_a_late_copy_does_not_revive_the_claim(fault: str) -> None:
    async def run() -> None:
        core = make_core()
        book = make_book(core)
        store: Any = book._writer._store
        await book._lease.current()
        store.faults = {fault: 1.0}
        beginning = asyncio.create_task(begin(book))
        while not store.calls_by_verb["txn"]:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        while core.revision == 1 and not store.late_tasks:
            await asyncio.sleep(0)
        store.faults = {}
        claim = (await beginning).unwrap()
        assert isinstance(claim, Claim)
        await book.release(claim)
        await settle(book)
        assert isinstance((await begin(make_book(core, owner="e2"))).unwrap(), Claim)

    virtual_run(run())


@pytest.mark.parametrize(
    ("outcome", "kept"),
    [
        (RecordedOutcome(200, (), b""), b""),
        (
            RecordedOutcome(200, (), b"x" * claims.MAX_OUTCOME_BYTES),
            b"x" * claims.MAX_OUTCOME_BYTES,
        ),
        (RecordedOutcome(200, (), b"x" * (claims.MAX_OUTCOME_BYTES + 1)), None),
        (RecordedOutcome(200, (("X-Long", "y" * claims.MAX_OUTCOME_BYTES),), b"x"), None),
        (RecordedOutcome(200, (), None), None),
    ],
    ids=["empty", "largest", "too large", "large headers", "passed on"],
)
def test_outcome_that_is_not_kept_still_stops_a_second_run(
    outcome: RecordedOutcome, kept: bytes | None
) -> None:
    async def run() -> None:
        book = make_book(make_core())
        await book.finish((await begin(book)).unwrap(), outcome)
        repeat = (await begin(book)).unwrap()
        assert isinstance(repeat, RecordedOutcome)
        assert (repeat.status, repeat.body) == (200, kept)

    virtual_run(run())


def test_claims_are_batched_and_equal_keys_are_not_in_one_batch() -> None:
    async def run() -> None:
        core = make_core()
        book = make_book(core)
        keys = [f"k{number % 80}" for number in range(100)]
        results = await asyncio.gather(*(begin(book, key, timeout_s=1.0) for key in keys))
        assert sum(isinstance(result, Success) for result in results) == 80
        assert all(
            result.failure().code is codes.CLAIM_IN_PROGRESS
            for result in results
            if isinstance(result, Failure)
        )
        assert core.revision - 1 <= 80 // claims.MAX_BATCH + 2

    virtual_run(run())


def test_claims_expire_after_a_day_and_not_before() -> None:
    async def run() -> None:
        core = make_core()
        book = make_book(core)
        await begin(book, "early")
        await asyncio.sleep(3_599)
        await begin(book, "late")
        await asyncio.sleep(claims.CLAIM_TTL_S - 10)
        for key in ("early", "late"):
            result = await begin(book, key, timeout_s=1)
            assert isinstance(result, Failure)
        await asyncio.sleep(2 * 3_600)
        for key in ("early", "late"):
            assert isinstance((await begin(book, key)).unwrap(), Claim)

    virtual_run(run())


def test_lease_lost_by_the_store_is_replaced() -> None:
    async def run() -> None:
        core = make_core()
        book = make_book(core)
        await begin(book, "a")
        core.revoke({"ID": str(await book._lease.current())})
        assert isinstance((await begin(book, "b")).unwrap(), Claim)

    virtual_run(run())


def test_second_begin_of_an_open_claim_is_refused_and_counted() -> None:
    """A store that loses a claim must not let this process run the request again."""

    async def run() -> None:
        core = make_core()
        book = make_book(core)
        await begin(book)
        before = violations_by_name["claim_begun_once"]
        core.revoke({"ID": str(await book._lease.current())})
        result = await begin(book)
        assert result.failure().code is codes.INVARIANT_VIOLATED
        assert result.failure().executed is Executed.NO
        assert violations_by_name["claim_begun_once"] == before + 1

    virtual_run(run())


def test_finish_without_store_raises_and_leaves_the_claim() -> None:
    async def run() -> None:
        core = make_core()
        book = make_book(core)
        claim = (await begin(book)).unwrap()
        store: Any = book._writer._store
        store.faults = {"unavailable": 1.0}
        with pytest.raises(StoreUnavailableError):
            await book.finish(claim, OUTCOME)
        store.faults = {}
        result = await begin(make_book(core, owner="e2"), timeout_s=1.0)
        assert result.failure().executed is Executed.UNKNOWN

    virtual_run(run())


def test_waiting_claims_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims, "MAX_WAITING", 10)

    async def run() -> None:
        book = make_book(make_core(), unavailable=1.0)
        results = await asyncio.gather(*(begin(book, f"k{n}", timeout_s=1.0) for n in range(200)))
        assert {result.failure().executed for result in results} == {Executed.NO}
        await book.close()

    virtual_run(run())


def test_key_is_stored_as_a_digest_that_separates_its_parts() -> None:
    key = make_claim_key("/t", "a", "bc", "secret")
    assert "secret" not in key and key != make_claim_key("/t", "ab", "c", "secret")


# Seeds above 100 once left a claim that nobody ran, started by a late copy of a write.
@pytest.mark.parametrize("seed", [0, 1, 101, 105, 106, 124, 125])
@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"unavailable": 0.2},
        {"lost": 0.25},
        {"late": 0.5},
        {"late": 0.3, "lost": 0.2, "unavailable": 0.2},
    ],
    ids=str,
)
def test_no_request_runs_twice_whatever_the_store_does(faults: dict[str, float], seed: int) -> None:
    """Callers repeat each request over three entry hosts until they know its outcome."""

    async def run() -> None:
        core = make_core()
        rng = random.Random(seed)
        books = [make_book(core, owner=f"e{n}", seed=seed * 10 + n, **faults) for n in range(3)]
        runs: Counter[str] = Counter()
        outcomes: dict[str, set[bytes | None]] = {}

        async def call(key: str) -> None:
            for _ in range(100):
                book = rng.choice(books)
                result = await begin(book, key, timeout_s=rng.choice([0.01, 0.1, 1.0]))
                if isinstance(result, Failure):
                    continue
                begun = result.unwrap()
                if isinstance(begun, RecordedOutcome):
                    outcomes.setdefault(key, set()).add(begun.body)
                    return
                assert isinstance(begun, Claim)
                if rng.random() < 0.3:
                    # The upstream refused the attempt as not run.
                    await book.release(begun)
                    continue
                runs[key] += 1
                await asyncio.sleep(0.05)
                body = f"{key} run {runs[key]}".encode()
                await book.finish(begun, RecordedOutcome(200, (), body))

        keys = [f"k{number}" for number in range(12)]
        await asyncio.gather(*(call(key) for key in keys for _ in range(3)))
        await settle(*books)
        assert set(runs.values()) == {1} and set(runs) == set(keys)
        assert outcomes == {key: {f"{key} run 1".encode()} for key in keys}
        for book in books:
            await book.close()

    virtual_run(run())
