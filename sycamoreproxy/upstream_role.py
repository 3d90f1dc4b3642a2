"""The upstream process: takes attempts from entry hosts and runs them on its engine or service."""

from __future__ import annotations

import asyncio
import hashlib
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from typing import Protocol

from sycamoreproxy.admission import AdmissionQueue, SharePolicy, Ticket, choose_priority
from sycamoreproxy.clock import Clock
from sycamoreproxy.engine_window import EngineWindow
from sycamoreproxy.engines import Engine, EngineReportError
from sycamoreproxy.invariants import InvariantViolationError, check_invariant
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    Cancel,
    Finish,
    HeaderPairs,
    Output,
    Refuse,
    ResponseHead,
    Started,
    Status,
    Submit,
)
from sycamoreproxy.metrics import REFUSALS, RUNNING, WAITING, WINDOW
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.response_times import ResponseTimes
from sycamoreproxy.result_codes import (
    DEADLINE_UNREACHABLE,
    INTERNAL,
    INVARIANT_VIOLATED,
    LEAVING,
    QUEUE_FULL,
    UNKNOWN_MODEL,
    UNKNOWN_RANK,
    UNKNOWN_SERVICE,
    UPSTREAM_TIMEOUT,
    VERSION_NOT_READY,
    Executed,
    Refusal,
    ResultCode,
)
from sycamoreproxy.services import Service
from sycamoreproxy.settings import RANKS, UpstreamSettings
from sycamoreproxy.upstream_answers import AnswerTotals, UpstreamFailureError, UpstreamRequest

#: Time between rounds of the periodic task, in seconds.
ROUND_S = 0.1
#: Time between heartbeats and between load reports, in seconds.
STATUS_PERIOD_S = 1.0
#: Shortest time for which a stopping process refuses requests before it closes its streams, in
#: seconds. Entry hosts send work until they have read the status; a request that arrives after the
#: close looks possibly executed to them. It covers a round trip between regions and a late event
#: loop.
LATE_SUBMIT_WAIT_S = 0.5
#: Shortest time between checks for requests that became late, in seconds.
EXPIRE_PERIOD_S = 0.02
#: Longest silence of a streamed answer before and after its first output, and longest time of an
#: answer that is not streamed, in seconds.
FIRST_OUTPUT_LIMIT_S = 30.0
SILENCE_LIMIT_S = 10.0
WHOLE_ANSWER_LIMIT_S = 120.0
#: Longest data of one ``Output``; leaves room in a frame for its other fields.
MAX_OUTPUT_BYTES = 256 * 1024
#: Bodies that may wait, in bytes, so that a full queue of the largest bodies stays small.
MAX_WAITING_BYTES = 64 * 1024 * 1024
#: Recent prefix keys reported to entry hosts.
MAX_PREFIXES = 64
#: A changed prediction is reported at once if it differs by this factor and this time in ms.
WAIT_CHANGE_FACTOR = 1.5
WAIT_CHANGE_MS = 100

_log = get_logger("upstream_role")


class TableView(SharePolicy, Protocol):
    """The part of the table view that the upstream process uses."""

    @property
    def digest(self) -> str:
        """Digest of the revision in force."""


class _Attempt:
    """One attempt and its answer; the adapter calls it as the answer's listener.

    :param peer: the entry host that submitted it.
    """

    __slots__ = (
        "_now",
        "_on_gap",
        "_on_head",
        "_on_tokens",
        "cost",
        "had_output",
        "last_at",
        "peer",
        "sequence",
        "sha256",
        "stop_refusal",
        "submit",
        "task",
        "ticket",
        "version",
    )

    def __init__(
        self,
        *,
        submit: Submit,
        peer: Peer,
        ticket: Ticket,
        now: Callable[[], float],
        on_head: Callable[[_Attempt], None],
        on_gap: Callable[[float, int], None],
        on_tokens: Callable[[Ticket, int], None],
    ) -> None:
        self._now = now
        self._on_head = on_head
        self._on_gap = on_gap
        self._on_tokens = on_tokens
        self.submit = submit
        self.peer = peer
        self.ticket = ticket
        self.task: asyncio.Task[None] | None = None
        self.version = ""
        self.sequence = 0
        self.sha256 = hashlib.sha256()
        self.last_at = 0.0
        self.had_output = False
        self.stop_refusal: Refusal | None = None
        self.cost: float | None = None

    def on_head(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Pass status and headers on."""
        self.version = version
        self._on_head(self)
        self.peer.send(ResponseHead(self.submit.attempt_id, status, headers, version))

    def on_output(self, data: bytes, tokens: int) -> None:
        """Pass a part of the body on."""
        now = self._now()
        if tokens:
            if self.had_output and self.submit.stream:
                self._on_gap(now - self.last_at, tokens)
            self._on_tokens(self.ticket, tokens)
        self.had_output = True
        self.last_at = now
        self.sha256.update(data)
        attempt_id = self.submit.attempt_id
        if len(data) <= MAX_OUTPUT_BYTES:
            self.peer.send(Output(attempt_id, self.sequence, data, tokens))
            self.sequence += 1
            return
        for start in range(0, len(data), MAX_OUTPUT_BYTES):
            part = data[start : start + MAX_OUTPUT_BYTES]
            self.peer.send(Output(attempt_id, self.sequence, part, 0 if start else tokens))
            self.sequence += 1


class UpstreamRole:
    """Registers ``Submit`` and ``Cancel`` on the hub, owns the queue and sends ``Status``.

    :param settings: the upstream's settings.
    :param engine: the engine adapter; None for a service.
    :param service: the service adapter; None for an engine.
    :param view: returns the table view in force.
    :param served_version: returns the version that the engine confirmed, empty if none; not used
        for a service.
    """

    def __init__(
        self,
        *,
        hub: PeerHub,
        clock: Clock,
        settings: UpstreamSettings,
        view: Callable[[], TableView],
        engine: Engine | None = None,
        service: Service | None = None,
        served_version: Callable[[], str] = lambda: "",
    ) -> None:
        if (engine is None) == (service is None):
            raise ValueError("exactly one of engine and service must be given")
        self._hub = hub
        self._clock = clock
        self._settings = settings
        self._view = view
        self._engine = engine
        self._service = service
        self._served_version = served_version
        self._is_leaving = False
        self._is_closed = False
        self._window = EngineWindow(
            clock=clock,
            initial=settings.window,
            maximum=settings.max_window,
            target_gap_s=settings.target_gap_ms / 1000.0 if engine is not None else 0.0,
        )
        self._queue = AdmissionQueue(
            clock=clock,
            policy=view(),
            name=settings.name,
            ranks=RANKS,
            queue_limit=settings.queue_limit,
            window=settings.window,
        )
        self._attempts_by_id: dict[str, _Attempt] = {}
        self._waiting_bytes = 0
        self._response_times = ResponseTimes(clock=clock)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._rounds: asyncio.Task[None] | None = None
        self._reports: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._expired_at = 0.0
        self._sent_at = 0.0
        self._sent: Status | None = None
        self._tokens = 0
        self._tokens_per_s = 0.0
        hub.on(Submit, self._take_submit)
        hub.on(Cancel, self._take_cancel)
        hub.on_open(self._greet)
        hub.on_close(self._drop_peer)

    @property
    def state(self) -> str:
        """``starting``, ``ready`` or ``leaving``."""
        if self._is_leaving:
            return "leaving"
        if self._engine is not None and not self._served_version():
            return "starting"
        return "ready"

    @property
    def open_attempts(self) -> int:
        """Waiting and running attempts."""
        return len(self._attempts_by_id)

    def start(self) -> None:
        """Start the periodic tasks."""
        self._rounds = asyncio.create_task(self._run_rounds())
        if self._engine is not None:
            self._reports = asyncio.create_task(self._read_reports(self._engine))

    async def leave(self) -> None:
        """Refuse new work from now on and return when all accepted work is finished.

        The wait is bounded by the time limits of each attempt, and takes at least
        :data:`LATE_SUBMIT_WAIT_S`.
        """
        self._is_leaving = True
        self._send_status()
        await asyncio.sleep(LATE_SUBMIT_WAIT_S)
        await self._idle.wait()

    async def close(self) -> None:
        """Stop the periodic tasks, start no more work and cancel what still runs."""
        self._is_leaving = True
        self._is_closed = True
        tasks = [task for task in (self._rounds, self._reports) if task is not None]
        tasks += [item.task for item in self._attempts_by_id.values() if item.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def make_status(self) -> Status:
        """Return the heartbeat as of now."""
        view = self._view()
        queue = self._queue
        return Status(
            state=self.state,
            kind=self._settings.kind,
            name=self._settings.name,
            version=self._served_version() if self._engine is not None else "",
            running=queue.running,
            waiting_by_rank=queue.waiting_by_rank,
            wait_ms_by_rank={rank: int(queue.predict_wait(rank) * 1000) for rank in RANKS},
            window=self._window.size,
            table_revision=view.revision,
            table_digest=view.digest,
            prefixes=tuple(reversed(self._prefixes)),
            tokens_per_s=round(self._tokens_per_s, 1),
        )

    # Messages.

    def _greet(self, peer: Peer) -> None:
        if peer.hello.role == "entry":
            peer.send(self.make_status())

    def _take_submit(self, peer: Peer, submit: Submit) -> None:
        if submit.attempt_id in self._attempts_by_id:
            _log.warning("attempt ID is in use", attempt_id=submit.attempt_id)
            return
        refusal = self._check(submit)
        if refusal is None:
            refusal = self._check_response_time(submit)
        if refusal is None:
            refusal = self._enqueue(peer, submit)
        if refusal is not None:
            self._send_refusal(peer, submit.attempt_id, refusal)
            return
        self._start_waiting()

    def _take_cancel(self, peer: Peer, cancel: Cancel) -> None:
        attempt = self._attempts_by_id.get(cancel.attempt_id)
        if attempt is not None and attempt.peer is peer:
            self._stop(attempt)
            self._start_waiting()

    def _drop_peer(self, peer: Peer) -> None:
        dropped = [item for item in self._attempts_by_id.values() if item.peer is peer]
        for attempt in dropped:
            self._stop(attempt)
        if dropped:
            _log.info("cancelled the attempts of a lost entry host", count=len(dropped))
            self._start_waiting()

    def _check(self, submit: Submit) -> Refusal | None:
        """Return why a request can't be taken at all, or None."""
        settings = self._settings
        code: ResultCode | None = None
        if submit.kind != settings.kind or submit.name != settings.name:
            code = UNKNOWN_MODEL if submit.kind == "engine" else UNKNOWN_SERVICE
        elif submit.rank not in RANKS:
            code = UNKNOWN_RANK
        elif self._is_leaving:
            code = LEAVING
        elif self.state == "starting":
            code = VERSION_NOT_READY
        elif self._waiting_bytes + len(submit.body) > MAX_WAITING_BYTES:
            code = QUEUE_FULL
        if code is None:
            return None
        return Refusal(code, Executed.NO, retry_after_ms=1000 if code.retry_helps else 0)

    def _check_response_time(self, submit: Submit) -> Refusal | None:
        """Return a refusal if the service cannot respond within the deadline, as it is known.

        Otherwise the request would run, and its caller would get a timeout.
        """
        if self._service is None:
            return None
        wait_s = self._queue.predict_wait(submit.rank, submit.client_account)
        time_left_s = submit.time_left_ms / 1000.0 - wait_s
        if self._response_times.try_admit(submit.method, submit.path, time_left_s):
            return None
        shortest_s = self._response_times.find_shortest(submit.method, submit.path)
        detail = f"Recent responses took {shortest_s * 1000:.0f} ms or more."
        return Refusal(DEADLINE_UNREACHABLE, Executed.NO, detail, retry_after_ms=1000)

    def _record_response_time(self, attempt: _Attempt) -> None:
        if self._service is not None:
            seconds = self._clock.monotonic() - attempt.ticket.started_at
            submit = attempt.submit
            self._response_times.record(submit.method, submit.path, seconds)

    def _enqueue(self, peer: Peer, submit: Submit) -> Refusal | None:
        now = self._clock.monotonic()
        cost = float(max(1, submit.estimated_tokens)) if self._engine is not None else 1.0
        ticket = Ticket(
            attempt_id=submit.attempt_id,
            client_account=submit.client_account,
            rank=submit.rank,
            cost=cost,
            deadline_at=now + submit.time_left_ms / 1000.0,
        )
        self._queue.set_policy(self._view())
        refusal, shed = self._queue.offer(ticket)
        for victim in shed:
            self._refuse_waiting(
                victim, QUEUE_FULL, "Work with precedence took its place in the queue."
            )
        if refusal is not None:
            return refusal
        attempt = _Attempt(
            submit=submit,
            peer=peer,
            ticket=ticket,
            now=self._clock.monotonic,
            on_head=self._record_response_time,
            on_gap=self._window.add_gap,
            on_tokens=self._add_tokens,
        )
        self._attempts_by_id[submit.attempt_id] = attempt
        self._waiting_bytes += len(submit.body)
        self._idle.clear()
        return None

    # Running attempts.

    def _start_waiting(self) -> None:
        """Hand waiting requests over while the window allows."""
        if self._is_closed:
            return
        now = self._clock.monotonic()
        if now - self._expired_at >= EXPIRE_PERIOD_S:
            self._expire(now)
        window = self._window
        while True:
            ticket = self._queue.take(window=window.size, reserve=window.reserve)
            if ticket is None:
                break
            attempt = self._attempts_by_id[ticket.attempt_id]
            self._waiting_bytes -= len(attempt.submit.body)
            waited_ms = int((ticket.started_at - ticket.arrived_at) * 1000)
            # The entry must hear of the start before the engine or service can receive anything.
            if not attempt.peer.send(Started(ticket.attempt_id, waited_ms)):
                self._queue.finish(ticket)
                self._forget(attempt)
                continue
            attempt.last_at = ticket.started_at
            attempt.task = asyncio.create_task(self._run(attempt))
            # A callback, because a task that is cancelled before its first step runs no code.
            attempt.task.add_done_callback(partial(self._end, attempt))
            self._note_prefix(attempt.submit.prefix_key)
        window.set_running(self._queue.running)

    async def _run(self, attempt: _Attempt) -> None:
        submit = attempt.submit
        request = UpstreamRequest(
            request_id=submit.attempt_id,
            method=submit.method,
            path=submit.path,
            headers=submit.headers,
            body=submit.body,
            priority=choose_priority(attempt.ticket),
            idempotent=submit.idempotent,
        )
        try:
            if self._engine is not None:
                end = await self._engine.generate(request, attempt)
                attempt.cost = float(end.prompt_tokens + end.output_tokens) or attempt.ticket.cost
            else:
                assert self._service is not None
                end = await self._service.call(request, attempt)
                attempt.cost = 1.0
            self._send_finish(attempt, end)
        except UpstreamFailureError as error:
            self._send_refusal(attempt.peer, submit.attempt_id, error.refusal)
        except InvariantViolationError as error:
            refusal = Refusal(INVARIANT_VIOLATED, Executed.UNKNOWN, error.name)
            self._send_refusal(attempt.peer, submit.attempt_id, refusal)
        except Exception as error:
            _log.exception("attempt failed", attempt_id=submit.attempt_id)
            refusal = Refusal(INTERNAL, Executed.UNKNOWN, type(error).__name__)
            self._send_refusal(attempt.peer, submit.attempt_id, refusal)

    def _end(self, attempt: _Attempt, task: asyncio.Task[None]) -> None:
        if attempt.stop_refusal is not None and task.cancelled():
            self._send_refusal(attempt.peer, attempt.submit.attempt_id, attempt.stop_refusal)
        self._queue.finish(attempt.ticket, cost=attempt.cost)
        self._forget(attempt)
        self._start_waiting()

    def _send_finish(self, attempt: _Attempt, end: AnswerTotals) -> None:
        check_invariant(
            "answer_has_one_version",
            not attempt.version or not end.version or attempt.version == end.version,
            attempt_id=attempt.submit.attempt_id,
            head=attempt.version,
            end=end.version,
        )
        attempt.peer.send(
            Finish(
                attempt.submit.attempt_id,
                attempt.sequence,
                attempt.sha256.hexdigest(),
                end.prompt_tokens,
                end.output_tokens,
                end.version,
            )
        )

    def _stop(self, attempt: _Attempt) -> None:
        """Remove a waiting attempt, or cancel a running one."""
        if attempt.task is not None:
            attempt.task.cancel()
        elif self._queue.remove(attempt.ticket):
            self._waiting_bytes -= len(attempt.submit.body)
            self._forget(attempt)

    def _forget(self, attempt: _Attempt) -> None:
        del self._attempts_by_id[attempt.submit.attempt_id]
        if not self._attempts_by_id:
            self._idle.set()

    def _refuse_waiting(self, ticket: Ticket, code: ResultCode, detail: str) -> None:
        attempt = self._attempts_by_id[ticket.attempt_id]
        check_invariant(
            "refused_as_not_run_was_not_handed_over",
            attempt.task is None,
            attempt_id=ticket.attempt_id,
        )
        self._waiting_bytes -= len(attempt.submit.body)
        retry_ms = int(self._queue.predict_wait(ticket.rank) * 1000) + 100
        self._send_refusal(
            attempt.peer, ticket.attempt_id, Refusal(code, Executed.NO, detail, retry_ms)
        )
        self._forget(attempt)

    def _send_refusal(self, peer: Peer, attempt_id: str, refusal: Refusal) -> None:
        code = refusal.code.number
        REFUSALS.inc({"code": str(code), "executed": str(refusal.executed)})
        peer.send(
            Refuse(attempt_id, code, str(refusal.executed), refusal.retry_after_ms, refusal.detail)
        )

    def _add_tokens(self, ticket: Ticket, tokens: int) -> None:
        self._tokens += tokens
        self._queue.add_tokens(ticket, tokens)

    def _note_prefix(self, prefix_key: str) -> None:
        if not prefix_key:
            return
        self._prefixes[prefix_key] = None
        self._prefixes.move_to_end(prefix_key)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    # Periodic work.

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(ROUND_S)
            try:
                self._do_round()
            except Exception:
                _log.exception("periodic work failed")

    def _do_round(self) -> None:
        now = self._clock.monotonic()
        self._window.set_running(self._queue.running)
        if self._window.adjust():
            self._queue.set_window(self._window.size)
        self._expire(now)
        self._start_waiting()
        if now - self._sent_at >= STATUS_PERIOD_S:
            self._tokens_per_s = self._tokens / (now - self._sent_at) if self._sent_at else 0.0
            self._tokens = 0
            self._stop_silent(now)
            self._set_gauges()
            self._send_status()
        elif self._has_changed():
            self._broadcast_status()

    def _expire(self, now: float) -> None:
        self._expired_at = now
        for ticket in self._queue.expire():
            self._refuse_waiting(ticket, DEADLINE_UNREACHABLE, "It waited too long in the queue.")

    def _stop_silent(self, now: float) -> None:
        for attempt in list(self._attempts_by_id.values()):
            if attempt.task is None or attempt.stop_refusal is not None:
                continue
            if not attempt.submit.stream:
                limit_s = WHOLE_ANSWER_LIMIT_S
            else:
                limit_s = SILENCE_LIMIT_S if attempt.had_output else FIRST_OUTPUT_LIMIT_S
            if now - attempt.last_at > limit_s:
                attempt.stop_refusal = Refusal(
                    UPSTREAM_TIMEOUT, Executed.UNKNOWN, f"No output for {limit_s:.0f} s."
                )
                attempt.task.cancel()

    def _send_status(self) -> None:
        self._sent_at = self._clock.monotonic()
        self._broadcast_status()

    def _broadcast_status(self) -> None:
        self._sent = self.make_status()
        self._hub.broadcast(self._sent, role="entry")

    def _has_changed(self) -> bool:
        """Return whether an entry host should hear of a change before the next heartbeat."""
        sent = self._sent
        if sent is None:
            return True
        view = self._view()
        version = self._served_version() if self._engine is not None else ""
        if (sent.state, sent.version, sent.table_revision) != (self.state, version, view.revision):
            return True
        for rank, before in sent.wait_ms_by_rank.items():
            wait_ms = self._queue.predict_wait(rank) * 1000
            low, high = sorted((wait_ms, float(before)))
            if high - low > WAIT_CHANGE_MS and high > low * WAIT_CHANGE_FACTOR:
                return True
        return False

    def _set_gauges(self) -> None:
        name = {"name": self._settings.name}
        RUNNING.set(name, self._queue.running)
        WINDOW.set(name, self._window.size)
        for rank, count in self._queue.waiting_by_rank.items():
            WAITING.set({**name, "rank": rank}, count)

    async def _read_reports(self, engine: Engine) -> None:
        while True:
            await asyncio.sleep(STATUS_PERIOD_S)
            try:
                report = await engine.read_report()
            except EngineReportError:
                continue
            self._window.add_report(
                running=report.running, waiting=report.waiting, gap_ms=report.gap_ms
            )
