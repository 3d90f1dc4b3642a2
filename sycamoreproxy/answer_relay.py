"""Passes one upstream's answer on to the caller, and says how the attempt ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders

from sycamoreproxy import result_codes as codes
from sycamoreproxy.caller_request import CallerRequest, Dialect, UpstreamLoad, UpstreamResponseHead
from sycamoreproxy.clock import Clock
from sycamoreproxy.event_splitter import EventSplitter, EventTooLongError
from sycamoreproxy.held_bytes import BufferBudget
from sycamoreproxy.logs import get_logger
from sycamoreproxy.placement import Choice, LoadReport, UpstreamSelector
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.route_table import Route, RouteKind, ServiceSpec

#: An answer of an upstream from which it may have run the request and that a caller would read as
#: a promise that it has not.
_PROMISES = frozenset({408, 421, 429, 503})
#: Longest body of an answer, in bytes. One that is no stream is held whole, so that a repeatable
#: request can go on elsewhere; the answers of the users' services have 800 bytes, their streams 21
#: events.
MAX_BODY_BYTES = 8 * 1024 * 1024
#: Longest part of a stream that its caller has not read, in bytes: a whole stream of 4,000 events
#: of 250 bytes.
MAX_UNSENT_BYTES = 1024 * 1024

_log = get_logger("answer_relay")


class Reply(Protocol):
    """The answer to one caller."""

    @property
    def has_started(self) -> bool:
        """Whether the caller may have received a part of the answer."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller's connection has not taken yet."""

    def start(self, status: int, headers: HTTPHeaders, data: bytes) -> None:
        """Send the head and a first part of the body."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""

    def refuse(self, refusal: Refusal, *, retry_after_s: float | None) -> None:
        """Send a final answer of the system's own."""


class ResponseMismatchError(Exception):
    """The answer belongs to another request or looks like none."""


class AnswerTooLongError(Exception):
    """The answer is longer than permitted.

    :param failed: whether that speaks against the upstream; None if it says nothing of it.
    :param may_resend: whether another upstream may take the request.
    """

    def __init__(self, reason: str, *, failed: bool | None = True, may_resend: bool = True) -> None:
        super().__init__(reason)
        self.failed = failed
        self.may_resend = may_resend


@dataclass(slots=True)
class RequestProgress:
    """State of one request over its attempts.

    :param version: version of the weights on which the last stream began; None if it names none.
    """

    request: CallerRequest
    route: Route
    account: str
    service: ServiceSpec
    received_at: float
    deadline: float
    level: int
    urgency: float
    splitter: EventSplitter
    excluded: set[str]
    attempts: int = 0
    executions: int = 0
    unexecuted_attempts: int = 0
    version: int | None = None
    first_output_at: float | None = None
    last_output_at: float = 0.0
    longest_gap_s: float = 0.0
    forecast_s: float = 0.0
    waited_s: float = 0.0
    load: str = ""
    instances: str = ""


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """An attempt ended.

    :param refusal: None if the caller has its answer.
    :param failed: whether the failure speaks against the upstream; None if it says nothing of it.
    :param may_resend: whether another upstream may take the request.
    """

    refusal: Refusal | None
    failed: bool | None = False
    may_resend: bool = False


class AnswerRelay:
    """Passes one upstream's answer on to the caller.

    :param buffer_budget: what the answers of all requests hold together.
    :param on_stream_start: called when a stream begins, with the version of the weights that it names.
    """

    def __init__(
        self,
        *,
        progress: RequestProgress,
        choice: Choice,
        reply: Reply,
        dialect: Dialect,
        selector: UpstreamSelector,
        clock: Clock,
        buffer_budget: BufferBudget,
        on_stream_start: Callable[[int], None] = lambda version: None,
    ) -> None:
        self._progress = progress
        self._choice = choice
        self._reply = reply
        self._dialect = dialect
        self._selector = selector
        self._clock = clock
        self._buffer_budget = buffer_budget
        self._on_begin = on_stream_start
        self._head: UpstreamResponseHead | None = None
        self._is_stream = False
        self._body = bytearray()
        self._received = 0
        self._held_size = 0

    def receive_head(self, status: int, headers: HTTPHeaders) -> None:
        """Take the head of the answer.

        :raises ResponseMismatchError: if it belongs to another request.
        """
        head = self._dialect.read_response_head(status, headers)
        request_id = self._progress.request.request_id
        if head.request_id and head.request_id != request_id:
            raise ResponseMismatchError(f"answer to {head.request_id}")
        self._head = head
        self._is_stream = (
            self._progress.route.kind is RouteKind.STREAMING
            and 200 <= status < 300
            and head.is_signed
        )
        if self._is_stream and head.weight_version is not None:
            self._progress.version = head.weight_version
            self._on_begin(head.weight_version)
        if head.load is not None and self._progress.service.engine is None:
            self._note_load(head.load)

    @property
    def replacement_instance(self) -> str:
        """The incarnation that refused a request to another one, empty if none did."""
        head = self._head
        if head is None or not head.is_misdirected or not head.instance:
            return ""
        return head.instance if head.instance != self._choice.record.instance else ""

    def receive_data(self, data: bytes) -> None:
        """Take a part of the body.

        :raises AnswerTooLongError: if the answer is longer than permitted.
        """
        self._received += len(data)
        if self._received > MAX_BODY_BYTES:
            # A stream with false ids would end as complete at an upstream that has no later ones.
            raise AnswerTooLongError(
                f"a body of over {MAX_BODY_BYTES} bytes", may_resend=not self._is_stream
            )
        if not self._is_stream:
            self._hold(self._received)
            self._body += data
            return
        try:
            events = self._progress.splitter.feed(data)
        except EventTooLongError as error:
            raise AnswerTooLongError(str(error)) from error
        if events:
            self._send(events)
        unsent = self._reply.unsent_bytes
        if unsent > MAX_UNSENT_BYTES:
            raise AnswerTooLongError("the caller does not read it", failed=None, may_resend=False)
        self._hold(len(self._progress.splitter.partial) + unsent)

    def release(self) -> None:
        """Count nothing of this answer among the bytes held any more."""
        self._buffer_budget.resize(self._held_size, 0)
        self._held_size = 0

    def end_too_long(self, error: AnswerTooLongError) -> AttemptOutcome:
        """End an answer that is longer than permitted."""
        _log.warning(
            "answer cut for its size",
            request=self._progress.request.request_id,
            upstream=self._choice.record.instance,
            bytes=self._received,
            reason=str(error),
        )
        return AttemptOutcome(
            Refusal(codes.ANSWER_TOO_LONG, Executed.UNKNOWN, detail=str(error)),
            failed=error.failed,
            may_resend=error.may_resend,
        )

    def finish(self) -> AttemptOutcome:
        """Finish the answer after its last byte."""
        head = self._head
        if head is None:
            return AttemptOutcome(Refusal(codes.UPSTREAM_LOST, Executed.UNKNOWN), True, True)
        if self._is_stream:
            rest = self._progress.splitter.partial
            if rest:
                return AttemptOutcome(
                    Refusal(codes.ANSWER_INCOMPLETE, Executed.UNKNOWN, detail="half an event"),
                    True,
                    True,
                )
            if not self._reply.has_started:
                self._send(b"")
            self._reply.finish()
            return AttemptOutcome(None)
        if head.not_executed:
            return self._end_unrun(head)
        if self._reply.has_started:
            # A stream that should have gone on here was answered with a failure.
            return AttemptOutcome(Refusal(codes.UPSTREAM_FAILED, Executed.UNKNOWN), True, True)
        if head.status >= 500 and self._progress.route.repeatable:
            ended = AttemptOutcome(
                Refusal(codes.UPSTREAM_FAILED, Executed.YES, detail=f"status {head.status}"),
                failed=True,
                may_resend=True,
            )
            if self._progress.executions < self._progress.route.max_attempts:
                return ended
        if head.status in _PROMISES or not head.is_signed:
            return AttemptOutcome(
                Refusal(codes.UPSTREAM_FAILED, Executed.UNKNOWN, detail=f"status {head.status}"),
                failed=True,
                may_resend=True,
            )
        self._note_output()
        body = bytes(self._body)
        self._body.clear()
        headers = self._caller_headers(head)
        headers["Content-Length"] = str(len(body))
        self._reply.start(head.status, headers, body)
        self._reply.finish()
        return AttemptOutcome(None, failed=head.status >= 500)

    def _hold(self, size: int) -> None:
        if not self._buffer_budget.resize(self._held_size, size):
            # Makes room now: the exchange ends some turns of the event loop later, and all other
            # long answers would be cut until then.
            self._body.clear()
            self._progress.splitter.discard_partial()
            self.release()
            raise AnswerTooLongError("answers hold too much together", failed=None)
        self._held_size = size

    def _end_unrun(self, head: UpstreamResponseHead) -> AttemptOutcome:
        self._progress.executions -= 1
        # A refusal for want of room or of another instance is no fault of the upstream.
        return AttemptOutcome(
            Refusal(codes.UPSTREAM_REFUSED, Executed.NO, detail=f"status {head.status}"),
            failed=None,
            may_resend=True,
        )

    def _send(self, data: bytes) -> None:
        self._note_output()
        if self._reply.has_started:
            self._reply.write(data)
        else:
            assert self._head is not None
            headers = self._caller_headers(self._head)
            headers.pop("Content-Length", None)
            self._reply.start(self._head.status, headers, data)

    def _note_output(self) -> None:
        progress = self._progress
        now = self._clock.monotonic()
        if progress.last_output_at:
            gap = now - progress.last_output_at
            progress.longest_gap_s = max(progress.longest_gap_s, gap)
        progress.last_output_at = now
        self._selector.record_output(self._choice)
        if progress.first_output_at is None:
            progress.first_output_at = now

    def _note_load(self, load: UpstreamLoad) -> None:
        self._selector.update_report(
            self._choice.record.instance,
            LoadReport(
                received_at=self._clock.monotonic(),
                running=load.running,
                waiting=load.waiting,
                pace=1.0 if load.pace is None else load.pace,
            ),
        )

    @staticmethod
    def _caller_headers(head: UpstreamResponseHead) -> HTTPHeaders:
        headers = HTTPHeaders()
        for name, value in head.headers:
            headers.add(name, value)
        return headers
