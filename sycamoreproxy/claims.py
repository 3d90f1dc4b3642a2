"""Claims of non-idempotent requests in the configuration store, so that each runs at most once.

A claim is a key that is created by compare-and-swap before the request is sent. Its value is a
JSON document with a random token, by which a process recognizes its own write when the answer was
lost. States: ``started``, ``done`` with the outcome, and ``released`` where the request was not
run. A released claim is kept for some minutes, because a write whose answer was lost may still be
under way and would find no key and start the claim again.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import secrets
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from sycamoreproxy._shared_lease import SharedLease
from sycamoreproxy.clock import Clock, SystemClock
from sycamoreproxy.dispatch import RecordedOutcome
from sycamoreproxy.invariants import InvariantViolationError, check_invariant
from sycamoreproxy.logs import get_logger
from sycamoreproxy.result_codes import (
    CLAIM_IN_PROGRESS,
    CLAIM_MISMATCH,
    CLAIM_OUTCOME_UNKNOWN,
    CLAIM_STORE_UNAVAILABLE,
    INVARIANT_VIOLATED,
    Executed,
    Refusal,
)
from sycamoreproxy.store import (
    Compare,
    Entry,
    Get,
    LeaseNotFoundError,
    Put,
    Store,
    StoreAnswerLostError,
    StoreUnavailableError,
    Txn,
    TxnResult,
)

#: How long an outcome is kept at least, in seconds.
CLAIM_TTL_S = 24 * 3600
#: How long a released claim is kept at least, in seconds: longer than a write is under way.
RELEASED_TTL_S = 300
#: How long one lease takes new claims and released claims, in seconds.
CLAIM_WINDOW_S = 3_600
RELEASED_WINDOW_S = 60
#: Claims in one store write; 32 outcomes of the largest size stay below the store's 1.5 MB.
MAX_BATCH = 32
#: Writes that may wait; further ones are refused.
MAX_WAITING = 4_096
#: Largest body and headers of an outcome that is kept whole, in bytes.
MAX_OUTCOME_BYTES = 16 * 1024
#: How long ``finish`` and ``release`` try, in seconds.
CLOSE_TIMEOUT_S = 30.0
#: A claim whose owner has been silent for this long after its time limit counts as unknown.
PROGRESS_GRACE_S = 60.0
#: Pauses between store writes that were not answered, in seconds.
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.5
#: Pauses between looks at a claim that another request holds, in seconds.
POLL_MIN_S = 0.02
POLL_MAX_S = 0.5
#: Claims begun here that are checked for a second begin; claims with an unknown outcome stay
#: among them until they expire.
MAX_OPEN = 10_000
#: Abandoned claims that are cleaned up at the same time.
MAX_CLEANUPS = 1_000

_log = get_logger("claims")


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to run one request.

    :param key: key in the store.
    :param token: tells this claim from any other of the same key.
    :param mod_revision: store revision at which it was written.
    """

    key: str
    token: str
    fingerprint: str
    mod_revision: int


class _NotWrittenError(Exception):
    """An operation was not confirmed in time."""


class _Operation:
    """One nested transaction that waits for its batch: a write if the key is unchanged.

    It is safe to repeat, and reads the key if it was changed.

    :param expected: mod revision that the key must have, 0 for none.
    :param value: new value of the key.
    :param lease: lease of the new value.
    """

    __slots__ = ("expected", "future", "key", "lease", "may_have_effect", "value")

    def __init__(self, *, key: str, expected: int, value: bytes, lease: SharedLease) -> None:
        self.key = key
        self.expected = expected
        self.value = value
        self.lease = lease
        self.future: asyncio.Future[TxnResult] = asyncio.get_running_loop().create_future()
        self.may_have_effect = False

    def build(self, lease: int) -> Txn:
        """Return the transaction for a lease id."""
        return Txn(
            compares=(Compare(self.key, self.expected),),
            then=(Put(self.key, self.value, lease),),
            otherwise=(Get(self.key),),
        )


class _BatchWriter:
    """Writes operations in batches, one store call at a time; operations collect meanwhile."""

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._waiting: deque[_Operation] = deque()
        self._task: asyncio.Task[None] | None = None

    async def run(self, operation: _Operation, *, timeout_s: float) -> TxnResult:
        """Return the result of an operation.

        :raises _NotWrittenError: if it was not confirmed in time; ``may_have_effect`` tells whether
            it may have been written or still may be.
        """
        if len(self._waiting) >= MAX_WAITING:
            raise _NotWrittenError("too many claims wait for the store")
        self._waiting.append(operation)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())
        try:
            return await asyncio.wait_for(operation.future, max(timeout_s, 0))
        except TimeoutError as error:
            raise _NotWrittenError("the store did not answer in time") from error

    async def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _write_all(self) -> None:
        pause_s = RETRY_MIN_S
        while batch := self._take_batch():
            try:
                await self._write(batch)
                pause_s = RETRY_MIN_S
                continue
            except LeaseNotFoundError:
                for operation in batch:
                    operation.lease.invalidate()
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                _log.warning("claims not written", claims=len(batch), error=str(error))
            except Exception:
                _log.exception("claim writer failed")
            self._waiting.extendleft(reversed(batch))
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    def _take_batch(self) -> list[_Operation]:
        """Take operations on different keys; the store refuses two writes of one key."""
        batch: dict[str, _Operation] = {}
        kept: deque[_Operation] = deque()
        while self._waiting and len(batch) < MAX_BATCH:
            operation = self._waiting.popleft()
            if operation.future.done():
                continue
            if operation.key in batch:
                kept.append(operation)
            else:
                batch[operation.key] = operation
        self._waiting.extendleft(reversed(kept))
        return list(batch.values())

    async def _write(self, batch: list[_Operation]) -> None:
        ids_by_lease = {
            lease: await lease.current() for lease in {operation.lease for operation in batch}
        }
        # A waiter that gave up during the grant was told that nothing was sent.
        batch = [operation for operation in batch if not operation.future.done()]
        if not batch:
            return
        # Set before the call: a waiter may give up while it is under way.
        before = [operation.may_have_effect for operation in batch]
        for operation in batch:
            operation.may_have_effect = True
        try:
            result = await self._store.transact(
                Txn(then=tuple(item.build(ids_by_lease[item.lease]) for item in batch))
            )
        except StoreUnavailableError:
            for operation, earlier in zip(batch, before, strict=True):
                operation.may_have_effect = earlier
            raise
        for operation, earlier, item in zip(batch, before, result.results, strict=True):
            # A waiter that gave up in the meantime does not see the result.
            operation.may_have_effect = earlier or operation.future.done()
            if isinstance(item, TxnResult) and not operation.future.done():
                operation.future.set_result(item)


class ClaimRegistry:
    """Begins, finishes and releases claims.

    :param prefix: prefix of the deployment's keys.
    :param owner: this process, for operators who read the store.
    """

    def __init__(
        self, *, store: Store, prefix: str, owner: str, clock: Clock | None = None
    ) -> None:
        self._prefix = prefix
        self._owner = owner
        self._clock = clock or SystemClock()
        self._lease = SharedLease(
            store=store, clock=self._clock, ttl_s=CLAIM_TTL_S, window_s=CLAIM_WINDOW_S
        )
        self._released_lease = SharedLease(
            store=store, clock=self._clock, ttl_s=RELEASED_TTL_S, window_s=RELEASED_WINDOW_S
        )
        self._writer = _BatchWriter(store=store)
        #: Token and time of claims begun here and not yet closed, oldest first.
        self._open_by_key: dict[str, tuple[str, float]] = {}
        self._cleanups: set[asyncio.Task[None]] = set()

    async def begin(
        self,
        client_account: str,
        service: str,
        key: str,
        fingerprint: str,
        *,
        timeout_s: float,
    ) -> Result[Claim | RecordedOutcome, Refusal]:
        """Claim a request, or return the outcome of an earlier one with the same key.

        While another request holds the claim, waits for its outcome.

        :param key: the caller's idempotency key, unique within the client account and service.
        :param fingerprint: digest of the request, to tell another request with the same key.
        :param timeout_s: longest wait in seconds.
        :returns: the claim or outcome, or a refusal: ``CLAIM_STORE_UNAVAILABLE`` (not run),
            ``CLAIM_MISMATCH``, ``CLAIM_IN_PROGRESS`` or ``CLAIM_OUTCOME_UNKNOWN``.
        """
        attempt = _Attempt(
            key=make_claim_key(self._prefix, client_account, service, key),
            token=secrets.token_hex(16),
            fingerprint=fingerprint,
            document=b"",
        )
        attempt.document = self._render_started(attempt, timeout_s)
        deadline = self._clock.monotonic() + timeout_s
        try:
            result = await self._begin(attempt, deadline)
        except InvariantViolationError as error:
            return Failure(Refusal(INVARIANT_VIOLATED, Executed.NO, error.name))
        finally:
            if attempt.may_have_effect and not attempt.is_begun:
                self._clean_up(attempt)
        return result

    async def finish(self, claim: Claim, outcome: RecordedOutcome) -> None:
        """Record the outcome of a claimed request.

        :raises StoreUnavailableError: if it was not recorded in time; repeats of the request then
            get an unknown outcome.
        """
        document = render_outcome(claim, outcome, owner=self._owner)
        await self._close(claim, document, self._lease)

    async def release(self, claim: Claim) -> None:
        """Give up the claim of a request that was not run, so that a repeat may run it.

        :raises StoreUnavailableError: if this was not recorded in time; repeats then get an
            unknown outcome.
        """
        released = _render(state="released", token=claim.token, owner=self._owner)
        await self._close(claim, released, self._released_lease)

    async def close(self) -> None:
        """Stop all tasks; claims that were not finished stay started."""
        for task in list(self._cleanups):
            task.cancel()
        await asyncio.gather(*self._cleanups, return_exceptions=True)
        await self._writer.close()

    async def _begin(
        self, attempt: _Attempt, deadline: float
    ) -> Result[Claim | RecordedOutcome, Refusal]:
        expected = 0
        pause_s = POLL_MIN_S
        seen: dict[str, Any] | None = None
        while True:
            operation = _Operation(
                key=attempt.key, expected=expected, value=attempt.document, lease=self._lease
            )
            try:
                result = await self._writer.run(
                    operation, timeout_s=deadline - self._clock.monotonic()
                )
            except _NotWrittenError as error:
                return _refuse_unwritten(seen, str(error))
            finally:
                attempt.may_have_effect = attempt.may_have_effect or operation.may_have_effect
            if result.succeeded:
                return Success(self._open(attempt, result.revision))
            entry = result.results[0] if result.results else None
            if not isinstance(entry, Entry):
                # A released claim expired between two attempts.
                expected = 0
                continue
            seen = json.loads(entry.value)
            if seen["token"] == attempt.token and seen["state"] == "started":
                return Success(self._open(attempt, entry.mod_revision))
            if seen["state"] == "released":
                expected = entry.mod_revision
                continue
            if seen["fingerprint"] != attempt.fingerprint:
                return Failure(Refusal(CLAIM_MISMATCH, Executed.NO))
            if seen["state"] == "done":
                return Success(_read_outcome(seen))
            now = self._clock.monotonic()
            if self._clock.wall() > float(seen["until"]):
                return Failure(Refusal(CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN))
            if now + pause_s >= deadline:
                return Failure(Refusal(CLAIM_IN_PROGRESS, Executed.UNKNOWN, retry_after_ms=1_000))
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, POLL_MAX_S)

    def _open(self, attempt: _Attempt, mod_revision: int) -> Claim:
        """Return the claim of a confirmed write.

        :raises InvariantViolationError: if this process already runs a request under the key.
        """
        now = self._clock.monotonic()
        while self._open_by_key:
            key, (_, begun_at) = next(iter(self._open_by_key.items()))
            is_expired = now - begun_at > CLAIM_TTL_S + CLAIM_WINDOW_S
            if not is_expired and len(self._open_by_key) < MAX_OPEN:
                break
            # The store entry of an expired claim is gone, so that the key may be claimed anew.
            del self._open_by_key[key]
        holder, _ = self._open_by_key.get(attempt.key, ("", 0.0))
        check_invariant(
            "claim_begun_once", not holder, key=attempt.key, holder=holder, token=attempt.token
        )
        self._open_by_key[attempt.key] = (attempt.token, now)
        attempt.is_begun = True
        return Claim(
            key=attempt.key,
            token=attempt.token,
            fingerprint=attempt.fingerprint,
            mod_revision=mod_revision,
        )

    async def _close(self, claim: Claim, value: bytes, lease: SharedLease) -> None:
        """Replace a claim that is still as it was begun."""
        # Forgotten first: another request may claim the key as soon as the write has its effect.
        if self._open_by_key.get(claim.key, ("", 0.0))[0] == claim.token:
            del self._open_by_key[claim.key]
        operation = _Operation(key=claim.key, expected=claim.mod_revision, value=value, lease=lease)
        try:
            result = await self._writer.run(operation, timeout_s=CLOSE_TIMEOUT_S)
        except _NotWrittenError as error:
            raise StoreUnavailableError(f"claim not closed: {error}") from error
        if not result.succeeded and not operation.may_have_effect:
            _log.error("claim changed by another", key=claim.key, token=claim.token)

    def _clean_up(self, attempt: _Attempt) -> None:
        if len(self._cleanups) >= MAX_CLEANUPS:
            _log.warning("claim left to expire", key=attempt.key)
            return
        task = asyncio.create_task(self._release_unbegun(attempt))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def _release_unbegun(self, attempt: _Attempt) -> None:
        """Mark a key as released after a write whose request was refused.

        Otherwise a repeat would find a claim that nobody runs, or a late copy would create one.
        """
        deadline = self._clock.monotonic() + CLOSE_TIMEOUT_S
        released = _render(state="released", token=attempt.token, owner=self._owner)
        expected = 0
        while True:
            operation = _Operation(
                key=attempt.key, expected=expected, value=released, lease=self._released_lease
            )
            try:
                result = await self._writer.run(
                    operation, timeout_s=deadline - self._clock.monotonic()
                )
            except _NotWrittenError:
                _log.warning("claim left to expire", key=attempt.key)
                return
            if result.succeeded:
                return
            entry = result.results[0] if result.results else None
            if not isinstance(entry, Entry):
                expected = 0
                continue
            document = json.loads(entry.value)
            is_own = document["token"] == attempt.token
            if document["state"] != ("started" if is_own else "released"):
                # Own marker, or another request's claim or outcome, which replaced what a late
                # copy compares. Over another's marker a late copy could still start the claim.
                return
            expected = entry.mod_revision

    def _render_started(self, attempt: _Attempt, timeout_s: float) -> bytes:
        return _render(
            state="started",
            token=attempt.token,
            owner=self._owner,
            fingerprint=attempt.fingerprint,
            until=round(self._clock.wall() + timeout_s + PROGRESS_GRACE_S, 3),
        )


@dataclass(slots=True)
class _Attempt:
    """State of one call of ``begin``.

    :param may_have_effect: whether a write that was not confirmed may take effect.
    :param is_begun: whether the claim was handed out.
    """

    key: str
    token: str
    fingerprint: str
    document: bytes
    may_have_effect: bool = False
    is_begun: bool = False


def make_claim_key(prefix: str, client_account: str, service: str, key: str) -> str:
    """Return the store key of a claim; the caller's key appears only as part of a digest."""
    text = json.dumps([client_account, service, key])
    return f"{prefix}/claim/{hashlib.sha256(text.encode()).hexdigest()}"


def _refuse_unwritten(
    seen: dict[str, Any] | None, detail: str
) -> Result[Claim | RecordedOutcome, Refusal]:
    if seen is not None and seen["state"] != "released":
        # An earlier request with this key was seen and may have run.
        return Failure(Refusal(CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN, detail))
    return Failure(Refusal(CLAIM_STORE_UNAVAILABLE, Executed.NO, detail, retry_after_ms=1_000))


def _render(**fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def render_outcome(claim: Claim, outcome: RecordedOutcome, *, owner: str) -> bytes:
    """Return the document of a finished claim; a large body is kept only as its digest."""
    body = outcome.body
    headers = [list(pair) for pair in outcome.headers]
    size = len(body or b"") + sum(len(name) + len(value) for name, value in outcome.headers)
    if body is None or size > MAX_OUTCOME_BYTES:
        headers = []
        kept = None
    else:
        kept = b64encode(body).decode()
    return _render(
        state="done",
        token=claim.token,
        owner=owner,
        fingerprint=claim.fingerprint,
        status=outcome.status,
        headers=headers,
        body=kept,
        body_sha256=hashlib.sha256(body).hexdigest() if body is not None else "",
    )


def _read_outcome(document: dict[str, Any]) -> RecordedOutcome:
    body = document["body"]
    return RecordedOutcome(
        status=int(document["status"]),
        headers=tuple((str(name), str(value)) for name, value in document["headers"]),
        body=None if body is None else b64decode(body),
    )
