"""One caller's request at the entry host: limits, claim, routing, attempt, retry."""

from __future__ import annotations

import asyncio
import hashlib
import math
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Protocol, TypeAlias

from returns.result import Failure, Result, Success

from sycamoreproxy import result_codes as codes
from sycamoreproxy.invariants import InvariantViolationError, check_invariant
from sycamoreproxy.limits import FleetLimits, LimitPolicy
from sycamoreproxy.logs import get_logger
from sycamoreproxy.membership import UpstreamState
from sycamoreproxy.messages import HeaderPairs, MessageError, Submit
from sycamoreproxy.metrics import ATTEMPTS, FIRST_OUTPUT_SECONDS
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.retries import MAX_ATTEMPTS, UPSTREAM_FAULTS, RetryBudget, may_retry
from sycamoreproxy.routing import Router
from sycamoreproxy.store import StoreUnavailableError
from sycamoreproxy.upstream_links import Attempt, CompletedAttempt, UpstreamLinks

#: Deadline where neither the table nor the caller gives one, in milliseconds.
DEFAULT_DEADLINE_MS = 30_000
#: After the deadline the upstream's own refusal is awaited for this time, because it knows
#: whether the request was run, in seconds.
DEADLINE_GRACE_S = 0.25
#: Time to the first output of a request that the engine already works on, in seconds; above the
#: 120 s after which the upstream process itself refuses a plain answer.
STARTED_LIMIT_S = 150.0
#: Longest silence within an answer, in seconds.
OUTPUT_LIMIT_S = 30.0
#: An upstream from which nothing was heard since the attempt was sent, not even a heartbeat,
#: which comes each second, is given up after this time, in seconds.
SILENT_S = 1.5
#: The same where it should have started the attempt at once, because it reported a wait below
#: :data:`SOON_MS`: a part of the time left, so that the rest is enough for another upstream.
SILENT_SOON_PART = 0.3
SILENT_SOON_MIN_S = 0.25
#: Part of the time left after which a started stream without output is repeated elsewhere, and
#: its shortest value in seconds. An engine that stalled for 4 s kept urgent requests for 2 to 4 s.
STALL_PART = 0.3
STALL_MIN_S = 0.25
SOON_MS = 100.0
#: Longest time of one attempt, in seconds; borrowed concurrency in ``limits`` relies on it.
ATTEMPT_LIMIT_S = 300.0
#: How often a waiting attempt is checked, in seconds.
CHECK_PERIOD_S = 0.5
#: A plain answer is kept until it is whole up to this size, in bytes; a larger one is passed on
#: in chunks, and its connection is closed if it stays incomplete.
MAX_KEPT_BYTES = 1024 * 1024

_AnswerFuture: TypeAlias = "asyncio.Future[Result[Response, Refusal]]"
_DONE = b"[DONE]"
_DONE_EVENT = re.compile(rb"(?:\A|\n\r?\n)(data: ?\[DONE\])")
#: What ends an event; some engines send CR LF.
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
#: ``rfind`` returns -1 where it finds no end; with the length of the mark that stays below this.
_SHORTEST_EVENT = 4
_log = get_logger("dispatch")


class ResponseWriter(Protocol):
    """Passes parts of an answer to the caller before it is whole."""

    @property
    def is_started(self) -> bool:
        """Whether the caller was sent anything."""

    def start(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Send status and headers."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""


class Policy(LimitPolicy, Protocol):
    """The cells of an effective row that this module reads; see ``table.RowPolicy``."""

    @property
    def deadline_ms(self) -> int:
        """Time to the first token, in milliseconds, 0 for the default."""


class PolicyView(Protocol):
    """The table in force; see ``table_queries.TableView``."""

    def resolve(self, model: str, client_account: str, rank: str) -> Policy:
        """Return the effective row."""

    def models(self) -> tuple[str, ...]:
        """Return the models that the table names."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A checked request of a caller.

    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param deadline_ms: the caller's own time limit, 0 for the table's.
    :param path: path and query at the upstream.
    :param idempotent: whether a repeat is harmless.
    :param idempotency_key: names the request for claims, or empty.
    :param estimated_tokens: prompt tokens plus the expected output.
    :param stream: whether the caller asked for server-sent events.
    """

    kind: str
    name: str
    client_account: str
    rank: str
    method: str
    path: str
    headers: HeaderPairs
    body: bytes
    idempotent: bool
    deadline_ms: int = 0
    idempotency_key: str = ""
    prefix_key: str = ""
    estimated_tokens: int = 0
    stream: bool = False
    writer: ResponseWriter


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    :param body: what the writer was not given yet: all of a kept answer, the end of a stream.
    :param was_passed_on: whether the writer was given the beginning.
    """

    status: int
    headers: HeaderPairs
    body: bytes
    version: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    was_passed_on: bool = False


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """The outcome of an earlier request with the same idempotency key.

    :param body: the body, or None where it was passed on in parts.
    """

    status: int
    headers: HeaderPairs
    body: bytes | None


class ClaimRegistry(Protocol):
    """Claims of non-idempotent requests; see ``claims.ClaimRegistry``."""

    async def begin(
        self,
        client_account: str,
        service: str,
        key: str,
        fingerprint: str,
        *,
        timeout_s: float,
    ) -> Result[Any, Refusal]:
        """Return a new claim, or the :class:`RecordedOutcome` of an earlier request."""

    async def finish(self, claim: Any, outcome: RecordedOutcome) -> None:
        """Record the outcome."""

    async def release(self, claim: Any) -> None:
        """Remove the claim of a request that was not run."""


class _AttemptRun:
    """Collects one attempt: keeps a plain answer, passes events of a stream on.

    :param request: the request; its writer gets what is passed on.
    :param started_at: when the request was taken on, by the event loop's clock.
    :param deadline: end of the time to the first output, by the event loop's clock.
    :param silent_s: when an upstream that sent nothing is given up, in seconds from now.
    :param may_move: tells whether another upstream could answer in time and a repeat is allowed.
    :param on_silent: called when that happens.
    """

    __slots__ = (
        "_deadline",
        "_is_kept",
        "_kept",
        "_last_limit",
        "_limit",
        "_loop",
        "_may_move",
        "_on_silent",
        "_request",
        "_silent_at",
        "_stalled_at",
        "_started_at",
        "_submitted_at",
        "_timer",
        "attempt",
        "end",
        "has_output",
        "has_started",
        "headers",
        "status",
        "version",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        started_at: float,
        deadline: float,
        silent_s: float,
        on_silent: Callable[[], None],
        may_move: Callable[[], bool],
    ) -> None:
        self._on_silent = on_silent
        self._may_move = may_move
        self._stalled_at = math.inf
        self._started_at = started_at
        self._loop = asyncio.get_running_loop()
        self._request = request
        self._deadline = deadline
        self._limit = deadline + DEADLINE_GRACE_S
        self._last_limit = self._loop.time() + ATTEMPT_LIMIT_S
        self._kept = bytearray()
        self._is_kept = True
        self.attempt: Attempt | None = None
        self.end: asyncio.Future[CompletedAttempt | Refusal] = self._loop.create_future()
        self.has_started = False
        self.has_output = False
        self.status = 0
        self.headers: HeaderPairs = ()
        self.version = ""
        self._submitted_at = self._loop.time()
        self._silent_at = self._submitted_at + silent_s
        self._timer = self._loop.call_at(min(self._silent_at, self._limit), self._check)

    def on_started(self) -> None:
        """Extend the limit of an engine's work; a service must answer within the deadline."""
        self.has_started = True
        if self._request.kind == "engine":
            now = self._loop.time()
            stall_s = max(STALL_MIN_S, STALL_PART * (self._deadline - now))
            self._stalled_at = now + stall_s
            self._limit = max(self._limit, self._loop.time() + STARTED_LIMIT_S)

    def on_head(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Take status and headers."""
        self.has_started = True
        self.status = status
        self.headers = headers
        self.version = version
        self._limit = max(self._limit, self._loop.time() + OUTPUT_LIMIT_S)
        for name, value in headers:
            if name.lower() == "content-type" and value.startswith("text/event-stream"):
                self._is_kept = False

    def on_output(self, data: bytes, tokens: int) -> None:
        """Take a part of the body; a whole event is passed on at once."""
        now = self._loop.time()
        self._limit = now + OUTPUT_LIMIT_S
        if self._started_at:
            FIRST_OUTPUT_SECONDS.observe({"rank": self._request.rank}, now - self._started_at)
            self._started_at = 0.0
        kept = self._kept
        if self._is_kept:
            kept += data
            if len(kept) > MAX_KEPT_BYTES:
                self._pass_on(bytes(kept))
                kept.clear()
        elif not kept and data.endswith(_EVENT_ENDS) and _DONE not in data:
            self._pass_on(data)
        else:
            # The end of a stream must not reach the caller before the answer is known to be
            # whole, and no event may be cut where an error event could follow.
            kept += data
            done = _DONE_EVENT.search(kept)
            limit = done.start(1) if done else len(kept)
            end = max(kept.rfind(mark, 0, limit) + len(mark) for mark in _EVENT_ENDS)
            if len(kept) > MAX_KEPT_BYTES:
                end = len(kept)
            if end >= _SHORTEST_EVENT:
                self._pass_on(bytes(kept[:end]))
                del kept[:end]

    def on_end(self, end: CompletedAttempt | Refusal) -> None:
        """Wake the waiting dispatcher."""
        if not self.end.done():
            self.end.set_result(end)

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def make_answer(self, whole: CompletedAttempt) -> Response:
        """Return the answer with what was not passed on yet."""
        if not self._is_kept and not self.has_output:
            self._pass_on(b"")
        return Response(
            self.status,
            self.headers,
            bytes(self._kept),
            self.version,
            whole.prompt_tokens,
            whole.output_tokens,
            self.has_output,
        )

    def _pass_on(self, data: bytes) -> None:
        writer = self._request.writer
        if not self.has_output:
            self.has_output = True
            writer.start(self.status, self.headers, self.version)
        if data:
            writer.write(data)

    def _check(self) -> None:
        now = self._loop.time()
        attempt = self.attempt
        if now >= self._limit or now >= self._last_limit:
            self.on_end(Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN))
            return
        if now >= self._stalled_at:
            self._stalled_at = math.inf
            if not self.status and self._request.stream and self._may_move():
                self.on_end(Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN, "No first output."))
                return
        if now >= self._silent_at:
            self._silent_at = math.inf
            if attempt is not None and attempt.peer.last_message_at < self._submitted_at:
                self._on_silent()
                if self._request.idempotent:
                    self.on_end(Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN, "It is silent."))
                    return
        self._timer = self._loop.call_at(
            min(self._silent_at, self._stalled_at, self._limit, now + CHECK_PERIOD_S), self._check
        )


class Dispatcher:
    """Takes requests through the entry host.

    :param links: attempts on upstream processes.
    :param router: placement.
    :param budget: limit of extra attempts.
    :param get_view: returns the table view in force.
    :param limits: the fleet's limits; None for none.
    :param claims: claims for requests with an idempotency key.
    """

    def __init__(
        self,
        *,
        links: UpstreamLinks,
        router: Router,
        budget: RetryBudget,
        get_view: Callable[[], PolicyView],
        limits: FleetLimits | None = None,
        claims: ClaimRegistry | None = None,
    ) -> None:
        self._limits = limits
        self._claims = claims
        self._claim_tasks: set[asyncio.Task[None]] = set()
        self._links = links
        self._router = router
        self._budget = budget
        self._get_view = get_view

    async def dispatch(self, request: CallerRequest) -> Result[Response, Refusal]:
        """Return the whole answer of a request, or why there is none.

        Parts of the answer may have gone to the request's writer before a refusal. When the
        calling task is cancelled, the attempt is cancelled upstream.
        """
        policy = self._get_view().resolve(request.name, request.client_account, request.rank)
        deadline_ms = policy.deadline_ms or DEFAULT_DEADLINE_MS
        if request.deadline_ms:
            deadline_ms = min(deadline_ms, request.deadline_ms)
        deadline = asyncio.get_running_loop().time() + deadline_ms / 1000
        if request.idempotency_key and not request.idempotent and self._claims is not None:
            return await self._run_claimed(request, policy, deadline, self._claims)
        return await self._run_limited(
            request, policy, lambda: self._run_attempts(request, deadline)
        )

    async def wait_idle(self) -> None:
        """Wait until every claimed request has ended and is recorded."""
        while self._claim_tasks:
            await asyncio.wait(self._claim_tasks)

    async def _run_limited(
        self,
        request: CallerRequest,
        policy: Policy,
        run: Callable[[], Awaitable[Result[Response, Refusal]]],
    ) -> Result[Response, Refusal]:
        """Run a request within the limits of its row."""
        if self._limits is None:
            return await run()
        taken = await self._limits.acquire(
            model=request.name,
            client_account=request.client_account,
            rank=request.rank,
            policy=policy,
            tokens=request.estimated_tokens,
        )
        if isinstance(taken, Failure):
            return Failure(taken.failure())
        permit = taken.unwrap()
        tokens: int | None = None
        try:
            result = await run()
            if isinstance(result, Success):
                answer = result.unwrap()
                tokens = answer.prompt_tokens + answer.output_tokens or None
            elif result.failure().executed is Executed.NO:
                tokens = 0
            return result
        finally:
            permit.close(tokens=tokens)

    async def _run_claimed(
        self, request: CallerRequest, policy: Policy, deadline: float, claims: ClaimRegistry
    ) -> Result[Response, Refusal]:
        """Run a request under a claim, in a task that outlives a caller who disconnects.

        A repeat of that caller reads the outcome from the claim.
        """
        loop = asyncio.get_running_loop()
        answer: _AnswerFuture = loop.create_future()

        async def hold() -> None:
            result: Result[Response, Refusal] = Failure(Refusal(codes.INTERNAL, Executed.UNKNOWN))
            try:
                result = await self._run_limited(
                    request, policy, lambda: self._run_in_claim(request, deadline, claims, answer)
                )
            except Exception:
                _log.exception("claimed request failed", service=request.name)
            finally:
                _resolve(answer, result)

        task = loop.create_task(hold())
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)
        return await answer

    async def _run_in_claim(
        self, request: CallerRequest, deadline: float, claims: ClaimRegistry, answer: _AnswerFuture
    ) -> Result[Response, Refusal]:
        begun = await claims.begin(
            request.client_account,
            request.name,
            request.idempotency_key,
            _fingerprint(request),
            timeout_s=deadline - asyncio.get_running_loop().time(),
        )
        if isinstance(begun, Failure):
            return Failure(begun.failure())
        claim = begun.unwrap()
        if isinstance(claim, RecordedOutcome):
            return _repeat_outcome(claim)
        if answer.cancelled():
            # The caller is gone before anything was sent.
            await claims.release(claim)
            return Failure(Refusal(codes.CALLER_GONE, Executed.NO))
        result = await self._run_attempts(request, deadline)
        try:
            if isinstance(result, Success):
                _resolve(answer, result)
                sent = result.unwrap()
                body = None if sent.was_passed_on else sent.body
                await claims.finish(claim, RecordedOutcome(sent.status, sent.headers, body))
            elif result.failure().executed is Executed.NO:
                # The claim is removed first, so that a repeat does not meet it.
                await claims.release(claim)
        except StoreUnavailableError as error:
            # The answer stands; a repeat gets an unknown outcome instead of it.
            _log.warning("claim not closed", service=request.name, error=str(error))
        except Exception:
            _log.exception("claim not closed", service=request.name)
        return result

    async def _run_attempts(
        self, request: CallerRequest, deadline: float
    ) -> Result[Response, Refusal]:
        try:
            return await self._try_attempts(request, deadline)
        except InvariantViolationError as error:
            _log.error("invariant violated", invariant=error.name, **error.facts)
            return Failure(Refusal(codes.INVARIANT_VIOLATED, Executed.UNKNOWN, error.name))

    async def _try_attempts(
        self, request: CallerRequest, deadline: float
    ) -> Result[Response, Refusal]:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._budget.count_request()
        excluded: set[str] = set()
        may_have_run = False
        refusal: Refusal | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            time_left_ms = (deadline - loop.time()) * 1000
            if time_left_ms < 1:
                refusal = refusal or Refusal(codes.DEADLINE_UNREACHABLE, Executed.NO)
                break
            state = self._router.choose(
                kind=request.kind,
                name=request.name,
                rank=request.rank,
                time_left_ms=time_left_ms,
                prefix_key=request.prefix_key,
                excluded=excluded,
                only_in_time=number > 1,
            )
            if state is None:
                refusal = refusal or Refusal(codes.NO_UPSTREAM, Executed.NO, "", 1000)
                break
            if refusal is not None and not self._budget.try_withdraw(
                keep_reserve=refusal.code not in UPSTREAM_FAULTS
            ):
                break
            check_invariant(
                "non_idempotent_runs_once",
                request.idempotent or not may_have_run,
                target=request.name,
            )
            run = _AttemptRun(
                request=request,
                started_at=started_at,
                deadline=deadline,
                silent_s=self._choose_silent_s(state, request.rank, time_left_ms),
                on_silent=partial(self._router.mark_suspected, state),
                may_move=partial(self._may_move, request, state, deadline, excluded),
            )
            end = await self._run_attempt(request, state, run, int(time_left_ms))
            if isinstance(end, CompletedAttempt):
                check_invariant("answer_has_head", run.status > 0, target=request.name)
                return Success(run.make_answer(end))
            refusal = end
            may_have_run = may_have_run or end.executed is not Executed.NO
            excluded.add(state.host)
            if not may_retry(
                end, idempotent=request.idempotent, sent_to_caller=request.writer.is_started
            ):
                break
        assert refusal is not None
        if may_have_run and refusal.executed is Executed.NO:
            refusal = replace(refusal, executed=Executed.UNKNOWN)
        check_invariant(
            "not_run_is_true",
            not (refusal.executed is Executed.NO and request.writer.is_started),
            target=request.name,
        )
        return Failure(refusal)

    def _may_move(
        self, request: CallerRequest, state: UpstreamState, deadline: float, excluded: set[str]
    ) -> bool:
        """Return whether an attempt without output may be given up for one elsewhere."""
        if not self._budget.has_spare_retries:
            return False
        time_left_ms = (deadline - asyncio.get_running_loop().time()) * 1000
        other = self._router.choose(
            kind=request.kind,
            name=request.name,
            rank=request.rank,
            time_left_ms=time_left_ms,
            excluded=excluded | {state.host},
            only_in_time=True,
        )
        return other is not None

    def _choose_silent_s(self, state: UpstreamState, rank: str, time_left_ms: float) -> float:
        if self._router.predict_wait_ms(state, rank) >= SOON_MS:
            return SILENT_S
        return min(SILENT_S, max(SILENT_SOON_MIN_S, SILENT_SOON_PART * time_left_ms / 1000))

    async def _run_attempt(
        self, request: CallerRequest, state: UpstreamState, run: _AttemptRun, time_left_ms: int
    ) -> CompletedAttempt | Refusal:
        peer = state.peer
        check_invariant("work_only_to_ready", self._router.accepts_work(state), host=state.host)
        assert peer is not None
        submit = Submit(
            attempt_id=self._links.make_id(),
            kind=request.kind,
            name=request.name,
            client_account=request.client_account,
            rank=request.rank,
            time_left_ms=time_left_ms,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            idempotent=request.idempotent,
            prefix_key=request.prefix_key,
            estimated_tokens=request.estimated_tokens,
            stream=request.stream,
        )
        end: CompletedAttempt | Refusal | None = None
        self._router.begin_attempt(state, prefix_key=request.prefix_key)
        try:
            run.attempt = self._links.submit(peer, submit, run)
            if run.attempt is None:
                end = Refusal(codes.UPSTREAM_LOST, Executed.NO)
            else:
                ATTEMPTS.inc({"kind": request.kind})
                end = await run.end
        except MessageError:
            end = Refusal(codes.BODY_TOO_LARGE, Executed.NO)
        finally:
            run.close()
            if run.attempt is not None:
                self._links.cancel(run.attempt)
            self._router.end_attempt(state, end if isinstance(end, Refusal) else None)
        return end


def _fingerprint(request: CallerRequest) -> str:
    """Return the sha256 of what makes two requests with one key the same."""
    digest = hashlib.sha256(f"{request.method} {request.path}\n".encode("utf-8", "replace"))
    digest.update(request.body)
    return digest.hexdigest()


def _repeat_outcome(outcome: RecordedOutcome) -> Result[Response, Refusal]:
    if outcome.body is None:
        return Failure(Refusal(codes.CLAIM_OUTCOME_NOT_KEPT, Executed.YES))
    return Success(Response(outcome.status, outcome.headers, outcome.body, ""))


def _resolve(answer: _AnswerFuture, result: Result[Response, Refusal]) -> None:
    if not answer.done():
        answer.set_result(result)
