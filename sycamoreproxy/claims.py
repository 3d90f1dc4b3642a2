"""Claims (idempotency records) of non-idempotent requests in the configuration store.

Claims ensure that each request runs at most once. A claim is a key that is created by
compare-and-swap before the request is sent. Its value is a JSON document with a random token, by
which a process recognizes its own write if the store's response was lost. The states are
``started``, ``done`` with the outcome, and ``released`` if the request was not executed. A released
claim is kept for some minutes: a write whose response was lost may still be in flight, and if it
found no key it would start the claim again.
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

#: Minimum time for which an outcome is kept, in seconds.
CLAIM_TTL_S = 24 * 3600
#: Minimum time for which a released claim is kept, in seconds; longer than a write can be in
#: flight.
RELEASED_TTL_S = 300
#: Time for which new claims share one store lease, and the same for released claims, in seconds.
CLAIM_LEASE_WINDOW_S = 3_600
RELEASED_LEASE_WINDOW_S = 60
#: Maximum number of claims in one store write; 32 outcomes of the maximum size are below the
#: store's limit of 1.5 MB.
MAX_BATCH_SIZE = 32
#: Maximum number of queued writes; further ones are refused.
MAX_QUEUED_WRITES = 4_096
#: Maximum size of the body and headers of an outcome that is stored in full, in bytes.
MAX_OUTCOME_BYTES = 16 * 1024
#: Time for which ``finish`` and ``release`` retry, in seconds.
CLOSE_TIMEOUT_S = 30.0
#: Grace period after the timeout of the claimed request, in seconds. If the owner has recorded no
#: outcome by then, the outcome is considered unknown.
PROGRESS_GRACE_S = 60.0
#: Minimum and maximum delay before an unconfirmed store write is repeated, in seconds.
RETRY_DELAY_MIN_S = 0.02
RETRY_DELAY_MAX_S = 0.5
#: Minimum and maximum interval for polling a claim that another request holds, in seconds.
POLL_INTERVAL_MIN_S = 0.02
POLL_INTERVAL_MAX_S = 0.5
#: Maximum number of claims granted by this process that are tracked to detect that a key
#: is granted twice at once. Claims with an unknown outcome remain tracked until they expire or are
#: the oldest when this number is reached.
MAX_TRACKED_CLAIMS = 10_000
#: Maximum number of unconfirmed claims that are released concurrently.
MAX_CONCURRENT_CLEANUPS = 1_000

_log = get_logger("claims")


@dataclass(frozen=True, slots=True)
class Claim:
    """The exclusive right to run one request.

    :param key: key in the store.
    :param token: distinguishes this claim from any other with the same key.
    :param mod_revision: store revision at which the claim was written.
    """

    key: str
    token: str
    fingerprint: str
    mod_revision: int


class _WriteNotConfirmedError(Exception):
    """A write was not confirmed in time."""


class _ConditionalWrite:
    """A queued nested transaction that writes a key if it is unchanged, or else reads it.

    It is safe to repeat.

    :param expected_revision: modification revision that the key must have, or 0 if it must not
        exist.
    :param value: new value of the key.
    :param lease: lease of the new value.
    """

    __slots__ = ("expected_revision", "future", "key", "lease", "may_take_effect", "value")

    def __init__(
        self, *, key: str, expected_revision: int, value: bytes, lease: SharedLease
    ) -> None:
        self.key = key
        self.expected_revision = expected_revision
        self.value = value
        self.lease = lease
        self.future: asyncio.Future[TxnResult] = asyncio.get_running_loop().create_future()
        self.may_take_effect = False

    def build_txn(self, lease: int) -> Txn:
        """Return the transaction for a lease id."""
        return Txn(
            compares=(Compare(self.key, self.expected_revision),),
            then=(Put(self.key, self.value, lease),),
            otherwise=(Get(self.key),),
        )


class _BatchWriter:
    """Sends writes in batches, one store call at a time; writes queue up during a call."""

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._queue: deque[_ConditionalWrite] = deque()
        self._task: asyncio.Task[None] | None = None

    async def run(self, write: _ConditionalWrite, *, timeout_s: float) -> TxnResult:
        """Return the result of a write.

        :raises _WriteNotConfirmedError: if it was not confirmed in time; ``may_take_effect`` then
            tells whether the store may have applied it or may still apply it.
        """
        if len(self._queue) >= MAX_QUEUED_WRITES:
            raise _WriteNotConfirmedError("too many claims wait for the store")
        self._queue.append(write)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())
        try:
            return await asyncio.wait_for(write.future, max(timeout_s, 0))
        except TimeoutError as error:
            raise _WriteNotConfirmedError("the store did not answer in time") from error

    async def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _write_all(self) -> None:
        delay_s = RETRY_DELAY_MIN_S
        while batch := self._take_batch():
            try:
                await self._write(batch)
                delay_s = RETRY_DELAY_MIN_S
                continue
            except LeaseNotFoundError:
                for write in batch:
                    write.lease.invalidate()
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                _log.warning("claim write failed; retrying", claims=len(batch), error=str(error))
            except Exception:
                _log.exception("unexpected error in claim writer; retrying")
            self._queue.extendleft(reversed(batch))
            await asyncio.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(delay_s * 2, RETRY_DELAY_MAX_S)

    def _take_batch(self) -> list[_ConditionalWrite]:
        """Dequeue writes of distinct keys; the store rejects two writes of one key."""
        batch: dict[str, _ConditionalWrite] = {}
        deferred: deque[_ConditionalWrite] = deque()
        while self._queue and len(batch) < MAX_BATCH_SIZE:
            write = self._queue.popleft()
            if write.future.done():
                continue
            if write.key in batch:
                deferred.append(write)
            else:
                batch[write.key] = write
        self._queue.extendleft(reversed(deferred))
        return list(batch.values())

    async def _write(self, batch: list[_ConditionalWrite]) -> None:
        lease_ids = {lease: await lease.current() for lease in {write.lease for write in batch}}
        # Drop writes whose waiter timed out during the lease grant: may_take_effect = False told
        # it that nothing was sent.
        batch = [write for write in batch if not write.future.done()]
        if not batch:
            return
        # Set before the call, because a waiter may time out during it.
        previous_flags = [write.may_take_effect for write in batch]
        for write in batch:
            write.may_take_effect = True
        try:
            result = await self._store.transact(
                Txn(then=tuple(write.build_txn(lease_ids[write.lease]) for write in batch))
            )
        except StoreUnavailableError:
            for write, previous in zip(batch, previous_flags, strict=True):
                write.may_take_effect = previous
            raise
        for write, previous, write_result in zip(
            batch, previous_flags, result.results, strict=True
        ):
            # A waiter that timed out in the meantime does not receive the result.
            write.may_take_effect = previous or write.future.done()
            if isinstance(write_result, TxnResult) and not write.future.done():
                write.future.set_result(write_result)


class ClaimRegistry:
    """Begins, finishes and releases claims.

    :param prefix: prefix of the deployment's keys in the store.
    :param owner: name of this process, stored for operators who inspect the store.
    """

    def __init__(
        self, *, store: Store, prefix: str, owner: str, clock: Clock | None = None
    ) -> None:
        self._prefix = prefix
        self._owner = owner
        self._clock = clock or SystemClock()
        self._lease = SharedLease(
            store=store, clock=self._clock, ttl_s=CLAIM_TTL_S, window_s=CLAIM_LEASE_WINDOW_S
        )
        self._released_lease = SharedLease(
            store=store, clock=self._clock, ttl_s=RELEASED_TTL_S, window_s=RELEASED_LEASE_WINDOW_S
        )
        self._writer = _BatchWriter(store=store)
        #: Token and start time of claims granted by this process and not yet finished or released,
        #: oldest first.
        self._active_by_key: dict[str, tuple[str, float]] = {}
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

        Waits for the outcome while another request holds the claim.

        :param key: the caller's idempotency key, unique within the client account and service.
        :param fingerprint: digest of the request, to detect a different request with the same key.
        :param timeout_s: maximum wait in seconds.
        :returns: the claim or outcome, or a refusal: ``CLAIM_STORE_UNAVAILABLE`` (not executed),
            ``CLAIM_MISMATCH``, ``CLAIM_IN_PROGRESS`` or ``CLAIM_OUTCOME_UNKNOWN``.
        """
        pending = _PendingClaim(
            key=make_claim_key(self._prefix, client_account, service, key),
            token=secrets.token_hex(16),
            fingerprint=fingerprint,
            document=b"",
        )
        pending.document = self._render_started(pending, timeout_s)
        deadline = self._clock.monotonic() + timeout_s
        try:
            result = await self._begin(pending, deadline)
        except InvariantViolationError as error:
            return Failure(Refusal(INVARIANT_VIOLATED, Executed.NO, error.name))
        finally:
            if pending.may_take_effect and not pending.is_granted:
                self._start_cleanup(pending)
        return result

    async def finish(self, claim: Claim, outcome: RecordedOutcome) -> None:
        """Record the outcome of a claimed request.

        :raises StoreUnavailableError: if it was not recorded in time; repeats of the request then
            receive an unknown outcome.
        """
        document = render_outcome(claim, outcome, owner=self._owner)
        await self._replace_claim(claim, document, self._lease)

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that was not executed, so that a repeat may run it.

        :raises StoreUnavailableError: if this was not recorded in time; repeats then receive an
            unknown outcome.
        """
        released = _encode_document(state="released", token=claim.token, owner=self._owner)
        await self._replace_claim(claim, released, self._released_lease)

    async def close(self) -> None:
        """Stop all tasks; unfinished claims remain in state ``started``."""
        for task in list(self._cleanups):
            task.cancel()
        await asyncio.gather(*self._cleanups, return_exceptions=True)
        await self._writer.close()

    async def _begin(
        self, pending: _PendingClaim, deadline: float
    ) -> Result[Claim | RecordedOutcome, Refusal]:
        expected_revision = 0
        delay_s = POLL_INTERVAL_MIN_S
        observed: dict[str, Any] | None = None
        while True:
            write = _ConditionalWrite(
                key=pending.key,
                expected_revision=expected_revision,
                value=pending.document,
                lease=self._lease,
            )
            try:
                result = await self._writer.run(write, timeout_s=deadline - self._clock.monotonic())
            except _WriteNotConfirmedError as error:
                return _refuse_unconfirmed(observed, str(error))
            finally:
                pending.may_take_effect = pending.may_take_effect or write.may_take_effect
            if result.succeeded:
                return Success(self._grant(pending, result.revision))
            entry = result.results[0] if result.results else None
            if not isinstance(entry, Entry):
                # A released claim expired between two writes.
                expected_revision = 0
                continue
            observed = json.loads(entry.value)
            if observed["token"] == pending.token and observed["state"] == "started":
                return Success(self._grant(pending, entry.mod_revision))
            if observed["state"] == "released":
                expected_revision = entry.mod_revision
                continue
            if observed["fingerprint"] != pending.fingerprint:
                return Failure(Refusal(CLAIM_MISMATCH, Executed.NO))
            if observed["state"] == "done":
                return Success(_read_outcome(observed))
            now = self._clock.monotonic()
            if self._clock.wall() > float(observed["until"]):
                return Failure(Refusal(CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN))
            if now + delay_s >= deadline:
                return Failure(Refusal(CLAIM_IN_PROGRESS, Executed.UNKNOWN, retry_after_ms=1_000))
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, POLL_INTERVAL_MAX_S)

    def _grant(self, pending: _PendingClaim, mod_revision: int) -> Claim:
        """Return the claim of a confirmed write.

        :raises InvariantViolationError: if this process already runs a request with this key.
        """
        now = self._clock.monotonic()
        while self._active_by_key:
            key, (_, begun_at) = next(iter(self._active_by_key.items()))
            is_expired = now - begun_at > CLAIM_TTL_S + CLAIM_LEASE_WINDOW_S
            if not is_expired and len(self._active_by_key) < MAX_TRACKED_CLAIMS:
                break
            # Stop tracking claims that have expired, whose keys may be claimed again because their
            # store entries no longer exist, and the oldest ones while the maximum is reached.
            del self._active_by_key[key]
        holder, _ = self._active_by_key.get(pending.key, ("", 0.0))
        check_invariant(
            "claim_begun_once", not holder, key=pending.key, holder=holder, token=pending.token
        )
        self._active_by_key[pending.key] = (pending.token, now)
        pending.is_granted = True
        return Claim(
            key=pending.key,
            token=pending.token,
            fingerprint=pending.fingerprint,
            mod_revision=mod_revision,
        )

    async def _replace_claim(self, claim: Claim, value: bytes, lease: SharedLease) -> None:
        """Replace the stored value of a claim that is unchanged since it was granted."""
        # Stop tracking it first: another request may claim the key as soon as the write is applied.
        if self._active_by_key.get(claim.key, ("", 0.0))[0] == claim.token:
            del self._active_by_key[claim.key]
        write = _ConditionalWrite(
            key=claim.key, expected_revision=claim.mod_revision, value=value, lease=lease
        )
        try:
            result = await self._writer.run(write, timeout_s=CLOSE_TIMEOUT_S)
        except _WriteNotConfirmedError as error:
            raise StoreUnavailableError(f"claim not updated: {error}") from error
        if not result.succeeded and not write.may_take_effect:
            _log.error("claim was changed by another process", key=claim.key, token=claim.token)

    def _start_cleanup(self, pending: _PendingClaim) -> None:
        if len(self._cleanups) >= MAX_CONCURRENT_CLEANUPS:
            _log.warning(
                "unconfirmed claim not released; it expires with its lease", key=pending.key
            )
            return
        task = asyncio.create_task(self._release_unconfirmed(pending))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def _release_unconfirmed(self, pending: _PendingClaim) -> None:
        """Mark a key as released after an unconfirmed write whose request was refused.

        Otherwise a repeat could find a claim for which no request is running, or a delayed copy of
        the write could create one.
        """
        deadline = self._clock.monotonic() + CLOSE_TIMEOUT_S
        released = _encode_document(state="released", token=pending.token, owner=self._owner)
        expected_revision = 0
        while True:
            write = _ConditionalWrite(
                key=pending.key,
                expected_revision=expected_revision,
                value=released,
                lease=self._released_lease,
            )
            try:
                result = await self._writer.run(write, timeout_s=deadline - self._clock.monotonic())
            except _WriteNotConfirmedError:
                _log.warning(
                    "unconfirmed claim not released; it expires with its lease", key=pending.key
                )
                return
            if result.succeeded:
                return
            entry = result.results[0] if result.results else None
            if not isinstance(entry, Entry):
                expected_revision = 0
                continue
            document = json.loads(entry.value)
            is_own = document["token"] == pending.token
            if document["state"] != ("started" if is_own else "released"):
                # The entry is the claim that this call has released, or another request's started
                # or done claim. Either changed the revision that a delayed copy of the write
                # expects, so that copy will fail. Another request's released claim is overwritten,
                # because a delayed copy may expect its revision and would start the claim again.
                return
            expected_revision = entry.mod_revision

    def _render_started(self, pending: _PendingClaim, timeout_s: float) -> bytes:
        return _encode_document(
            state="started",
            token=pending.token,
            owner=self._owner,
            fingerprint=pending.fingerprint,
            until=round(self._clock.wall() + timeout_s + PROGRESS_GRACE_S, 3),
        )


@dataclass(slots=True)
class _PendingClaim:
    """State of one call of ``begin``.

    :param document: value to write to the store.
    :param may_take_effect: whether the store may have applied an unconfirmed write or may still
        apply it.
    :param is_granted: whether the claim was returned to the caller of ``begin``.
    """

    key: str
    token: str
    fingerprint: str
    document: bytes
    may_take_effect: bool = False
    is_granted: bool = False


def make_claim_key(prefix: str, client_account: str, service: str, key: str) -> str:
    """Return the store key of a claim, which contains the caller's key only as part of a digest."""
    text = json.dumps([client_account, service, key])
    return f"{prefix}/claim/{hashlib.sha256(text.encode()).hexdigest()}"


def _refuse_unconfirmed(
    observed: dict[str, Any] | None, detail: str
) -> Result[Claim | RecordedOutcome, Refusal]:
    if observed is not None and observed["state"] != "released":
        # An earlier request with this key was observed and may have been executed.
        return Failure(Refusal(CLAIM_OUTCOME_UNKNOWN, Executed.UNKNOWN, detail))
    return Failure(Refusal(CLAIM_STORE_UNAVAILABLE, Executed.NO, detail, retry_after_ms=1_000))


def _encode_document(**fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def render_outcome(claim: Claim, outcome: RecordedOutcome, *, owner: str) -> bytes:
    """Return the document of a finished claim.

    Of an outcome above ``MAX_OUTCOME_BYTES`` only the status and the digest of the body are stored.
    """
    body = outcome.body
    headers = [list(pair) for pair in outcome.headers]
    size = len(body or b"") + sum(len(name) + len(value) for name, value in outcome.headers)
    if body is None or size > MAX_OUTCOME_BYTES:
        headers = []
        stored_body = None
    else:
        stored_body = b64encode(body).decode()
    return _encode_document(
        state="done",
        token=claim.token,
        owner=owner,
        fingerprint=claim.fingerprint,
        status=outcome.status,
        headers=headers,
        body=stored_body,
        body_sha256=hashlib.sha256(body).hexdigest() if body is not None else "",
    )


def _read_outcome(document: dict[str, Any]) -> RecordedOutcome:
    body = document["body"]
    return RecordedOutcome(
        status=int(document["status"]),
        headers=tuple((str(name), str(value)) for name, value in document["headers"]),
        body=None if body is None else b64decode(body),
    )
