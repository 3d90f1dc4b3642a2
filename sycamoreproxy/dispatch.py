"""Dispatches caller requests at an entry host: limits, claims, routing, attempts and retries.

An entry host is a host that receives the requests of callers.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import Enum, auto
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

#: Deadline in milliseconds if neither the table nor the caller sets one.
DEFAULT_DEADLINE_MS = 30_000
#: Grace period after the deadline, in seconds, to receive the upstream's own refusal, which states
#: whether the request was executed.
DEADLINE_GRACE_S = 0.25
#: Time allowed until the first output once the engine has started the request, in seconds. Longer
#: than the 120 s after which the upstream process itself refuses a non-streaming request.
FIRST_OUTPUT_TIMEOUT_S = 150.0
#: Maximum time between two parts of a response, in seconds.
OUTPUT_IDLE_TIMEOUT_S = 30.0
#: Time in seconds after which an upstream is considered unresponsive if it has sent nothing since
#: the attempt was submitted, not even the heartbeat that is due every second.
HEARTBEAT_TIMEOUT_S = 1.5
#: Heartbeat timeout for an upstream that should start the attempt at once because its predicted
#: wait is below :data:`SHORT_WAIT_MS`: a fraction of the time left, and the minimum in seconds. It
#: leaves enough time for another upstream.
SHORT_WAIT_TIMEOUT_FRACTION = 0.3
SHORT_WAIT_TIMEOUT_MIN_S = 0.25
#: Fraction of the time left after which a started stream without output is retried on another
#: upstream, and its minimum in seconds. Without it, a request waits until a stalled engine resumes:
#: a stall of 4 s delayed urgent requests by 2 to 4 s.
STALL_TIMEOUT_FRACTION = 0.3
STALL_TIMEOUT_MIN_S = 0.25
#: Predicted queue wait below which an upstream is expected to start an attempt at once.
SHORT_WAIT_MS = 100.0
#: Maximum duration of one attempt, in seconds. Borrowed concurrency in ``limits`` relies on it:
#: ``limits.MAX_REQUEST_S`` is the time of three such attempts.
ATTEMPT_TIMEOUT_S = 300.0
#: Maximum interval between two timeout checks of an attempt in progress, in seconds.
TIMEOUT_CHECK_PERIOD_S = 0.5
#: Non-streaming responses up to this size in bytes are buffered until complete. A larger one is
#: forwarded in chunks, and the caller's connection is closed if it turns out to be incomplete.
MAX_BUFFERED_BYTES = 1024 * 1024

_ResponseFuture: TypeAlias = "asyncio.Future[Result[Response, Refusal]]"
_DONE_MARKER = b"[DONE]"
_DONE_EVENT = re.compile(rb"(?:\A|\n\r?\n)(data: ?\[DONE\])")
#: Delimiters that end an event; some engines send CR LF.
_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
#: Values below this mean that no delimiter was found: ``rfind`` then returns -1, to which the
#: length of the delimiter (at most 4) is added.
_NO_DELIMITER_BELOW = 4
_log = get_logger("dispatch")


class ResponseWriter(Protocol):
    """Sends parts of a response to the caller before the response is complete."""

    @property
    def is_started(self) -> bool:
        """Whether anything was sent to the caller."""

    def start(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Send the status and headers."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""


class Policy(LimitPolicy, Protocol):
    """The cells read here of the row that applies to a request; see ``table.RowPolicy``."""

    @property
    def deadline_ms(self) -> int:
        """Maximum time to the first token in milliseconds, or 0 for the default."""


class PolicyView(Protocol):
    """The active version of the operators' table; see ``table_queries.TableView``."""

    def resolve(self, model: str, client_account: str, rank: str) -> Policy:
        """Return the effective row."""

    def models(self) -> tuple[str, ...]:
        """Return the models that the table names."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A validated request from a caller.

    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param deadline_ms: deadline set by the caller, or 0 to use the table's.
    :param path: path and query to request from the upstream.
    :param idempotent: whether the request may safely be executed more than once.
    :param idempotency_key: key under which the request is claimed, or empty.
    :param prefix_key: key of the prompt prefix for cache affinity, or empty.
    :param estimated_tokens: prompt tokens plus the expected output tokens.
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
    """A complete response.

    :param body: the part not yet forwarded to the writer: all of a buffered response, or the end of
        a stream.
    :param is_partially_forwarded: whether the beginning was already forwarded to the writer.
    """

    status: int
    headers: HeaderPairs
    body: bytes
    version: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    is_partially_forwarded: bool = False


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """The outcome of an earlier request with the same idempotency key.

    :param body: the body, or None if it was not stored: forwarded in parts, or too large.
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
        """Mark the claim of a request that was not executed as released."""


class _TimeLimit(Enum):
    """A limit on the time of an attempt."""

    DEADLINE = auto()
    FIRST_OUTPUT = auto()
    OUTPUT_IDLE = auto()
    ATTEMPT = auto()


def _describe_limit(limit: _TimeLimit) -> str:
    """Return the sentence that tells the caller and the logs which limit ended an attempt."""
    match limit:
        case _TimeLimit.DEADLINE:
            return "The deadline has passed."
        case _TimeLimit.FIRST_OUTPUT:
            return f"No output within {FIRST_OUTPUT_TIMEOUT_S:g} s of the start."
        case _TimeLimit.OUTPUT_IDLE:
            return f"No output for {OUTPUT_IDLE_TIMEOUT_S:g} s."
        case _TimeLimit.ATTEMPT:
            return f"The attempt took longer than {ATTEMPT_TIMEOUT_S:g} s."


class _AttemptHandler:
    """Handles the messages and timeouts of one attempt.

    Buffers a non-streaming response and forwards the events of a stream.

    :param request: the request, whose writer receives the forwarded data.
    :param request_started_at: when the request was accepted, by the event loop's clock.
    :param deadline: deadline of the first output, by the event loop's clock.
    :param heartbeat_timeout_s: seconds from now after which an upstream that has sent nothing is
        considered unresponsive.
    :param state: the upstream.
    :param on_unresponsive: called while the upstream is considered unresponsive.
    :param on_response: called before the first output is forwarded and when the response is
        complete; no other attempt may respond from then on.
    :param on_change: called when the attempt has ended and while it is silent.
    """

    __slots__ = (
        "_attempt_deadline",
        "_buffer",
        "_deadline",
        "_is_buffered",
        "_loop",
        "_on_change",
        "_on_response",
        "_on_unresponsive",
        "_request",
        "_request_started_at",
        "_stall_timeout_at",
        "_submitted_at",
        "_time_limit",
        "_timeout_at",
        "_timer",
        "_unresponsive_at",
        "attempt",
        "has_forwarded_output",
        "has_started",
        "headers",
        "is_replaced",
        "is_silent",
        "is_unresponsive",
        "result",
        "state",
        "status",
        "version",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        request_started_at: float,
        deadline: float,
        heartbeat_timeout_s: float,
        state: UpstreamState,
        on_unresponsive: Callable[[], None],
        on_response: Callable[[_AttemptHandler], None],
        on_change: Callable[[], None],
    ) -> None:
        self._on_unresponsive = on_unresponsive
        self._on_response = on_response
        self._on_change = on_change
        self.state = state
        #: Whether it may be repeated on another upstream while it continues here.
        self.is_silent = False
        #: Whether the upstream has sent nothing at all since the attempt was submitted.
        self.is_unresponsive = False
        #: Whether another attempt was started because this one was silent.
        self.is_replaced = False
        self._stall_timeout_at = math.inf
        self._request_started_at = request_started_at
        self._loop = asyncio.get_running_loop()
        self._request = request
        self._deadline = deadline
        self._timeout_at = deadline + DEADLINE_GRACE_S
        self._time_limit = _TimeLimit.DEADLINE
        self._attempt_deadline = self._loop.time() + ATTEMPT_TIMEOUT_S
        self._buffer = bytearray()
        self._is_buffered = True
        self.attempt: Attempt | None = None
        self.result: CompletedAttempt | Refusal | None = None
        self.has_started = False
        self.has_forwarded_output = False
        self.status = 0
        self.headers: HeaderPairs = ()
        self.version = ""
        self._submitted_at = self._loop.time()
        self._unresponsive_at = self._submitted_at + heartbeat_timeout_s
        self._timer = self._loop.call_at(
            min(self._unresponsive_at, self._timeout_at), self._check_timeouts
        )

    def on_started(self) -> None:
        """Extend the timeout of an engine; a service must respond within the deadline."""
        self.has_started = True
        self.is_silent = False
        if self._request.kind == "engine":
            now = self._loop.time()
            stall_s = max(STALL_TIMEOUT_MIN_S, STALL_TIMEOUT_FRACTION * (self._deadline - now))
            self._stall_timeout_at = now + stall_s
            self._extend_timeout(now + FIRST_OUTPUT_TIMEOUT_S, _TimeLimit.FIRST_OUTPUT)

    def on_head(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Record the status and headers."""
        self.has_started = True
        self.is_silent = False
        self.status = status
        self.headers = headers
        self.version = version
        self._extend_timeout(self._loop.time() + OUTPUT_IDLE_TIMEOUT_S, _TimeLimit.OUTPUT_IDLE)
        for name, value in headers:
            if name.lower() == "content-type" and value.startswith("text/event-stream"):
                self._is_buffered = False

    def on_output(self, data: bytes, tokens: int) -> None:
        """Buffer a part of the body, or forward it if it completes an event of a stream."""
        now = self._loop.time()
        self._timeout_at = now + OUTPUT_IDLE_TIMEOUT_S
        self._time_limit = _TimeLimit.OUTPUT_IDLE
        if self._request_started_at:
            FIRST_OUTPUT_SECONDS.observe(
                {"rank": self._request.rank}, now - self._request_started_at
            )
            self._request_started_at = 0.0
        buffer = self._buffer
        if self._is_buffered:
            buffer += data
            if len(buffer) > MAX_BUFFERED_BYTES:
                self._forward(bytes(buffer))
                buffer.clear()
        elif not buffer and data.endswith(_EVENT_DELIMITERS) and _DONE_MARKER not in data:
            self._forward(data)
        else:
            # The end of a stream must not reach the caller before the response is known to be
            # complete, and events must not be split because an error event may follow.
            buffer += data
            done_match = _DONE_EVENT.search(buffer)
            limit = done_match.start(1) if done_match else len(buffer)
            end = max(
                buffer.rfind(delimiter, 0, limit) + len(delimiter)
                for delimiter in _EVENT_DELIMITERS
            )
            if len(buffer) > MAX_BUFFERED_BYTES:
                end = len(buffer)
            if end >= _NO_DELIMITER_BELOW:
                self._forward(bytes(buffer[:end]))
                del buffer[:end]

    def on_end(self, end: CompletedAttempt | Refusal) -> None:
        """Pass the result to the waiting dispatcher."""
        if self.result is not None:
            return
        self.result = end
        if isinstance(end, CompletedAttempt):
            self._on_response(self)
        self._on_change()

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def make_response(self, completed: CompletedAttempt) -> Response:
        """Return the response with the part that was not forwarded yet."""
        if not self._is_buffered and not self.has_forwarded_output:
            self._forward(b"")
        return Response(
            self.status,
            self.headers,
            bytes(self._buffer),
            self.version,
            completed.prompt_tokens,
            completed.output_tokens,
            self.has_forwarded_output,
        )

    def _forward(self, data: bytes) -> None:
        writer = self._request.writer
        if not self.has_forwarded_output:
            self.has_forwarded_output = True
            self._on_response(self)
            writer.start(self.status, self.headers, self.version)
        if data:
            writer.write(data)

    def _extend_timeout(self, timeout_at: float, limit: _TimeLimit) -> None:
        """Move the timeout unless it is later already."""
        if timeout_at > self._timeout_at:
            self._timeout_at = timeout_at
            self._time_limit = limit

    def _check_timeouts(self) -> None:
        now = self._loop.time()
        attempt = self.attempt
        if now >= self._timeout_at or now >= self._attempt_deadline:
            limit = self._time_limit if now >= self._timeout_at else _TimeLimit.ATTEMPT
            detail = _describe_limit(limit)
            self.on_end(Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN, detail))
            return
        if now >= self._stall_timeout_at:
            self._stall_timeout_at = math.inf
            if not self.status and self._request.stream:
                self.is_silent = True
                self._on_change()
        if now >= self._unresponsive_at:
            self._unresponsive_at = math.inf
            if attempt is not None and attempt.peer.last_message_at < self._submitted_at:
                self._on_unresponsive()
                self._unresponsive_at = now + TIMEOUT_CHECK_PERIOD_S
                if self._request.idempotent:
                    self.is_silent = self.is_unresponsive = True
                    self._on_change()
        self._timer = self._loop.call_at(
            min(
                self._unresponsive_at,
                self._stall_timeout_at,
                self._timeout_at,
                now + TIMEOUT_CHECK_PERIOD_S,
            ),
            self._check_timeouts,
        )


class _RunningAttempts:
    """The attempts of one request that have not ended.

    Several run only while all of them are silent: the first one that responds ends the others.

    :param links: cancels attempts.
    :param router: tracks the outcomes of attempts.
    """

    __slots__ = ("_change", "_handlers", "_links", "_router")

    def __init__(self, *, links: UpstreamLinks, router: Router) -> None:
        self._links = links
        self._router = router
        self._handlers: list[_AttemptHandler] = []
        self._change = asyncio.Event()

    def __len__(self) -> int:
        return len(self._handlers)

    @property
    def are_silent(self) -> bool:
        """Whether no running attempt is expected to respond; true if there is none."""
        return all(handler.is_silent for handler in self._handlers)

    @property
    def has_unresponsive(self) -> bool:
        """Whether the upstream of an attempt is unresponsive."""
        return any(handler.is_unresponsive for handler in self._handlers)

    def add(self, added_handler: _AttemptHandler) -> None:
        """Add an attempt that is about to be sent, beside those that are silent."""
        for handler in self._handlers:
            handler.is_replaced = True
        self._handlers.append(added_handler)

    async def wait(self) -> None:
        """Wait until an attempt has ended or is silent."""
        await self._change.wait()
        self._change.clear()

    def notify(self) -> None:
        """End the wait."""
        self._change.set()

    def pop_ended(self) -> tuple[_AttemptHandler, CompletedAttempt | Refusal] | None:
        """Remove and return an attempt that has ended, with its result; None if all are running."""
        for handler in self._handlers:
            result = handler.result
            if result is not None:
                self._remove(handler, result if isinstance(result, Refusal) else None)
                return handler, result
        return None

    def supersede_others(self, responding_handler: _AttemptHandler) -> None:
        """Cancel all attempts but the one that responds."""
        for handler in [item for item in self._handlers if item is not responding_handler]:
            self._cancel(handler)

    def close(self) -> None:
        """Cancel all attempts."""
        for handler in list(self._handlers):
            self._cancel(handler)

    def _cancel(self, handler: _AttemptHandler) -> None:
        refusal = handler.result if isinstance(handler.result, Refusal) else None
        if refusal is None and handler.is_replaced:
            refusal = Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN)
        self._remove(handler, refusal)

    def _remove(self, handler: _AttemptHandler, refusal: Refusal | None) -> None:
        self._handlers.remove(handler)
        handler.close()
        if handler.attempt is not None:
            self._links.cancel(handler.attempt)
        self._router.end_attempt(handler.state, refusal)


class Dispatcher:
    """Dispatches caller requests to upstream processes.

    :param links: sends attempts to upstream processes.
    :param router: chooses an upstream for each attempt.
    :param budget: limits the number of retries.
    :param get_view: returns the active table view.
    :param limits: fleet-wide limits, or None for no limits.
    :param claims: claims of requests with an idempotency key.
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
        """Return the complete response to a request, or a refusal.

        Parts of the response may have been sent to the request's writer before a refusal. If the
        calling task is cancelled, the attempt is cancelled at the upstream.
        """
        policy = self._get_view().resolve(request.name, request.client_account, request.rank)
        deadline_ms = policy.deadline_ms or DEFAULT_DEADLINE_MS
        if request.deadline_ms:
            deadline_ms = min(deadline_ms, request.deadline_ms)
        deadline = asyncio.get_running_loop().time() + deadline_ms / 1000
        if request.idempotency_key and not request.idempotent and self._claims is not None:
            return await self._run_claimed_in_background(request, policy, deadline, self._claims)
        return await self._run_limited(
            request, policy, lambda: self._run_attempts_checked(request, deadline)
        )

    async def wait_idle(self) -> None:
        """Wait until all claimed requests have ended and their outcomes are recorded."""
        while self._claim_tasks:
            await asyncio.wait(self._claim_tasks)

    async def _run_limited(
        self,
        request: CallerRequest,
        policy: Policy,
        run: Callable[[], Awaitable[Result[Response, Refusal]]],
    ) -> Result[Response, Refusal]:
        """Run a request within the limits of its table row."""
        if self._limits is None:
            return await run()
        acquired = await self._limits.acquire(
            model=request.name,
            client_account=request.client_account,
            rank=request.rank,
            policy=policy,
            tokens=request.estimated_tokens,
        )
        if isinstance(acquired, Failure):
            return Failure(acquired.failure())
        permit = acquired.unwrap()
        tokens: int | None = None
        try:
            result = await run()
            if isinstance(result, Success):
                response = result.unwrap()
                tokens = response.prompt_tokens + response.output_tokens or None
            elif result.failure().executed is Executed.NO:
                tokens = 0
            return result
        finally:
            permit.close(tokens=tokens)

    async def _run_claimed_in_background(
        self, request: CallerRequest, policy: Policy, deadline: float, claims: ClaimRegistry
    ) -> Result[Response, Refusal]:
        """Run a request under a claim, in a task that continues if the caller disconnects.

        If that caller repeats the request, it receives the outcome recorded in the claim.
        """
        loop = asyncio.get_running_loop()
        response_future: _ResponseFuture = loop.create_future()

        async def run() -> None:
            result: Result[Response, Refusal] = Failure(Refusal(codes.INTERNAL, Executed.UNKNOWN))
            try:
                result = await self._run_limited(
                    request,
                    policy,
                    lambda: self._claim_and_run(request, deadline, claims, response_future),
                )
            except Exception:
                _log.exception("claimed request failed", service=request.name)
            finally:
                _resolve(response_future, result)

        task = loop.create_task(run())
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)
        return await response_future

    async def _claim_and_run(
        self,
        request: CallerRequest,
        deadline: float,
        claims: ClaimRegistry,
        response_future: _ResponseFuture,
    ) -> Result[Response, Refusal]:
        claim_result = await claims.begin(
            request.client_account,
            request.name,
            request.idempotency_key,
            _fingerprint(request),
            timeout_s=deadline - asyncio.get_running_loop().time(),
        )
        if isinstance(claim_result, Failure):
            return Failure(claim_result.failure())
        claim = claim_result.unwrap()
        if isinstance(claim, RecordedOutcome):
            return _make_recorded_response(claim)
        if response_future.cancelled():
            # The caller disconnected before anything was sent to an upstream.
            await claims.release(claim)
            return Failure(Refusal(codes.CALLER_GONE, Executed.NO))
        result = await self._run_attempts_checked(request, deadline)
        try:
            if isinstance(result, Success):
                _resolve(response_future, result)
                full_response = result.unwrap()
                body = None if full_response.is_partially_forwarded else full_response.body
                await claims.finish(
                    claim, RecordedOutcome(full_response.status, full_response.headers, body)
                )
            elif result.failure().executed is Executed.NO:
                # Release the claim before the caller learns of the refusal, so that a repeat does
                # not find the claim.
                await claims.release(claim)
        except StoreUnavailableError as error:
            # The response remains valid, but a repeat gets an unknown outcome instead of it.
            _log.warning("claim outcome not recorded", service=request.name, error=str(error))
        except Exception:
            _log.exception("claim outcome not recorded", service=request.name)
        return result

    async def _run_attempts_checked(
        self, request: CallerRequest, deadline: float
    ) -> Result[Response, Refusal]:
        try:
            return await self._run_attempts(request, deadline)
        except InvariantViolationError as error:
            _log.error("invariant violated", invariant=error.name, **error.facts)
            return Failure(Refusal(codes.INVARIANT_VIOLATED, Executed.UNKNOWN, error.name))

    async def _run_attempts(
        self, request: CallerRequest, deadline: float
    ) -> Result[Response, Refusal]:
        request_started_at = asyncio.get_running_loop().time()
        self._budget.count_request()
        attempts = _RunningAttempts(links=self._links, router=self._router)
        tried_hosts: set[str] = set()
        may_have_executed = False
        may_start = True
        refusal: Refusal | None = None
        try:
            while True:
                if may_start and attempts.are_silent and len(tried_hosts) < MAX_ATTEMPTS:
                    if attempts:
                        keep_reserve = not attempts.has_unresponsive
                    else:
                        keep_reserve = refusal is not None and refusal.code not in UPSTREAM_FAULTS
                    chosen = self._choose_upstream(
                        request, deadline, tried_hosts, keep_reserve=keep_reserve
                    )
                    if isinstance(chosen, UpstreamState):
                        check_invariant(
                            "non_idempotent_runs_once",
                            request.idempotent or not (may_have_executed or attempts),
                            target=request.name,
                        )
                        tried_hosts.add(chosen.host)
                        self._start_attempt(request, chosen, attempts, request_started_at, deadline)
                    else:
                        refusal = refusal or chosen
                if not attempts:
                    break
                await attempts.wait()
                while (ended := attempts.pop_ended()) is not None:
                    handler, result = ended
                    if isinstance(result, CompletedAttempt):
                        # A complete response has a status.
                        check_invariant("answer_has_head", handler.status > 0, target=request.name)
                        return Success(handler.make_response(result))
                    refusal = result
                    may_have_executed = may_have_executed or result.executed is not Executed.NO
                    may_start = may_start and may_retry(
                        result,
                        idempotent=request.idempotent,
                        sent_to_caller=request.writer.is_started,
                    )
        finally:
            attempts.close()
        assert refusal is not None
        if may_have_executed and refusal.executed is Executed.NO:
            refusal = replace(refusal, executed=Executed.UNKNOWN)
        # If a request is refused as not executed, nothing was sent to the caller.
        check_invariant(
            "not_run_is_true",
            not (refusal.executed is Executed.NO and request.writer.is_started),
            target=request.name,
        )
        if refusal.executed is not Executed.NO:
            now = asyncio.get_running_loop().time()
            _log.info(
                "request ended without a response",
                kind=request.kind,
                target=request.name,
                account=request.client_account,
                rank=request.rank,
                hosts=sorted(tried_hosts),
                deadline_ms=round((deadline - request_started_at) * 1000),
                total_ms=round((now - request_started_at) * 1000),
                sent_to_caller=request.writer.is_started,
                code=refusal.code.number,
                executed=str(refusal.executed),
                detail=refusal.detail,
            )
        return Failure(refusal)

    def _choose_upstream(
        self,
        request: CallerRequest,
        deadline: float,
        tried_hosts: set[str],
        *,
        keep_reserve: bool,
    ) -> UpstreamState | Refusal:
        """Return the upstream of the next attempt, and withdraw a retry unless it is the first.

        :param keep_reserve: whether the retry must leave the reserve for failures.
        """
        time_left_ms = (deadline - asyncio.get_running_loop().time()) * 1000
        if time_left_ms < 1:
            return Refusal(codes.DEADLINE_UNREACHABLE, Executed.NO)
        state = self._router.choose(
            kind=request.kind,
            name=request.name,
            rank=request.rank,
            time_left_ms=time_left_ms,
            prefix_key=request.prefix_key,
            excluded=tried_hosts,
            only_in_time=bool(tried_hosts),
        )
        if state is None:
            return Refusal(codes.NO_UPSTREAM, Executed.NO, "", 1000)
        if tried_hosts and not self._budget.try_withdraw(keep_reserve=keep_reserve):
            return Refusal(codes.RETRY_BUDGET_SPENT, Executed.NO)
        return state

    def _choose_heartbeat_timeout_s(
        self, state: UpstreamState, rank: str, time_left_ms: float
    ) -> float:
        if self._router.predict_wait_ms(state, rank) >= SHORT_WAIT_MS:
            return HEARTBEAT_TIMEOUT_S
        return min(
            HEARTBEAT_TIMEOUT_S,
            max(SHORT_WAIT_TIMEOUT_MIN_S, SHORT_WAIT_TIMEOUT_FRACTION * time_left_ms / 1000),
        )

    def _start_attempt(
        self,
        request: CallerRequest,
        state: UpstreamState,
        attempts: _RunningAttempts,
        request_started_at: float,
        deadline: float,
    ) -> None:
        peer = state.peer
        # Attempts are sent only to upstreams that accept them.
        check_invariant("work_only_to_ready", self._router.accepts_work(state), host=state.host)
        assert peer is not None
        time_left_ms = (deadline - asyncio.get_running_loop().time()) * 1000
        handler = _AttemptHandler(
            request=request,
            request_started_at=request_started_at,
            deadline=deadline,
            heartbeat_timeout_s=self._choose_heartbeat_timeout_s(state, request.rank, time_left_ms),
            state=state,
            on_unresponsive=partial(self._router.mark_suspected, state),
            on_response=attempts.supersede_others,
            on_change=attempts.notify,
        )
        submit = Submit(
            attempt_id=self._links.make_id(),
            kind=request.kind,
            name=request.name,
            client_account=request.client_account,
            rank=request.rank,
            time_left_ms=int(time_left_ms),
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            idempotent=request.idempotent,
            prefix_key=request.prefix_key,
            estimated_tokens=request.estimated_tokens,
            stream=request.stream,
        )
        attempts.add(handler)
        self._router.begin_attempt(state, prefix_key=request.prefix_key)
        try:
            handler.attempt = self._links.submit(peer, submit, handler)
        except MessageError:
            handler.on_end(Refusal(codes.BODY_TOO_LARGE, Executed.NO))
            return
        if handler.attempt is None:
            handler.on_end(Refusal(codes.UPSTREAM_LOST, Executed.NO))
        else:
            ATTEMPTS.inc({"kind": request.kind})


def _fingerprint(request: CallerRequest) -> str:
    """Return the SHA-256 of the parts that must match for two requests with the same key."""
    digest = hashlib.sha256(f"{request.method} {request.path}\n".encode("utf-8", "replace"))
    digest.update(request.body)
    return digest.hexdigest()


def _make_recorded_response(outcome: RecordedOutcome) -> Result[Response, Refusal]:
    if outcome.body is None:
        return Failure(Refusal(codes.CLAIM_OUTCOME_NOT_KEPT, Executed.YES))
    return Success(Response(outcome.status, outcome.headers, outcome.body, ""))


def _resolve(response_future: _ResponseFuture, result: Result[Response, Refusal]) -> None:
    if not response_future.done():
        response_future.set_result(result)
