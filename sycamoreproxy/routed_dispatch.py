"""Runs one caller's request on a routed deployment: route, account, upstream, resends, answer."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Container, Sequence
from dataclasses import replace

from sycamoreproxy import result_codes as codes
from sycamoreproxy._http_client import AnswerLostError, HttpClient, NotSentError
from sycamoreproxy.answer_relay import (
    AnswerRelay,
    AnswerTooLongError,
    Ended,
    MismatchError,
    Progress,
    Reply,
)
from sycamoreproxy.caller_request import Attempt, CallerRequest, Dialect
from sycamoreproxy.clock import Clock
from sycamoreproxy.engine_forecast import EngineForecast
from sycamoreproxy.event_splitter import EventSplitter
from sycamoreproxy.held_bytes import BufferBudget
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import (
    ENDED_VERSION_ANSWERS,
    FIRST_OUTPUT_SECONDS,
    OPEN_REQUESTS,
    REFUSALS,
    REQUESTS,
    RESENDS,
)
from sycamoreproxy.placement import Choice, Need, UpstreamSelector
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.route_table import Route, RouteKind, RouteTable, ServiceSpec
from sycamoreproxy.upstream_book import UpstreamCatalog, UpstreamRecord
from sycamoreproxy.waiting_line import Overload, Waiter, WaitingLine
from sycamoreproxy.weight_targets import WeightTargets

#: Longest declared length of an answer that is read, in bytes. What is received is bounded by
#: :data:`sycamoreproxy.answer_relay.MAX_BODY_BYTES`.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: Idle connections kept to one upstream. All entry hosts share the upstream's connection limit.
IDLE_CONNECTIONS = 16
#: Sends of one request that its upstreams refused unrun; each counts against the resend budget.
MAX_UNRUN = 3
#: A repeatable request without output is sent elsewhere after its forecast, plus this part of its
#: goal, plus this time, in seconds.
PATIENCE_GOALS = 1.0
PATIENCE_S = 1.0
#: A stream that resumes goes on elsewhere after this many of its longest pauses without an event.
GAP_PATIENCE = 3.0
#: A request that has not begun is taken back from an engine this time before its version may no
#: longer begin a request, in seconds: the version may be heard of 0.3 s late behind a large
#: configuration, and the close may wait as long behind weights on the link.
VERSION_MARGIN_S = 0.8
#: Shortest time left with which a request is sent, in seconds: less does not reach the upstream.
MIN_TIME_LEFT_S = 0.03
#: Part of a route's time limit below which the time left shows that the caller was refused before.
RETURNED_FRACTION = 0.9
#: Parts of a refused caller's time left after which it is told to return. Callers return at
#: different times, so that they do not form the next burst, and keep enough time for an answer.
RETRY_AFTER_MIN_FRACTION = 0.2
RETRY_AFTER_MAX_FRACTION = 0.33

_log = get_logger("routed_dispatch")


class RoutedDispatcher:
    """Answers callers' requests.

    :param table: returns the routes in force.
    :param budget_for: returns the resend budget of a service.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        table: Callable[[], RouteTable],
        catalog: UpstreamCatalog,
        selector: UpstreamSelector,
        targets: WeightTargets,
        budget_for: Callable[[str], ResendBudget],
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._dialect = dialect
        self._table = table
        self._catalog = catalog
        self._selector = selector
        self._targets = targets
        self._budget_for = budget_for
        self._clock = clock
        self._random = random_source
        self._clients_by_address: dict[str, HttpClient] = {}
        self._lines_by_service: dict[str, WaitingLine] = {}
        self.held = BufferBudget()
        self.open_requests = 0
        #: Called when a request begins to wait for room.
        self.on_queued: Callable[[], None] = lambda: None

    # Queries

    def count_waiting(self) -> dict[str, dict[str, int]]:
        """Return the number of waiting requests by service and level."""
        return {name: line.count_by_level() for name, line in self._lines_by_service.items()}

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for room."""
        return any(len(line) for line in self._lines_by_service.values())

    # Commands

    def dispatch_waiting(self) -> None:
        """Place waiting requests; called when an upstream may have room."""
        for line in self._lines_by_service.values():
            line.pump()

    def retain(self, addresses: Container[str]) -> None:
        """Close the idle connections to all other addresses."""
        for address in [item for item in self._clients_by_address if item not in addresses]:
            self._clients_by_address.pop(address).close()

    def close(self) -> None:
        """Close the idle connections to upstreams."""
        for client in self._clients_by_address.values():
            client.close()
        self._clients_by_address.clear()

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request; cancelling the task ends its work at the upstream."""
        received_at = self._clock.monotonic()
        table = self._table()
        found = self._admit(table, request)
        if isinstance(found, Refusal):
            self._refuse(request, None, found, reply)
            return
        route, account, service = found
        level = table.find_priority_level(account, route)
        progress = Progress(
            request=request,
            route=route,
            account=account,
            service=service,
            received_at=received_at,
            deadline=received_at + min(request.time_left_s, route.timeout_s),
            level=level,
            urgency=(
                1 - level / (len(table.priority_levels) - 1)
                if len(table.priority_levels) > 1
                else 1.0
            ),
            splitter=EventSplitter(last_id=request.last_event_id),
            excluded=set(),
        )
        self.open_requests += 1
        OPEN_REQUESTS.set({}, self.open_requests)
        refusal: Refusal | None = None
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + progress.deadline - received_at
            ):
                refusal = await self._run(progress, reply)
        except TimeoutError:
            executed = Executed.UNKNOWN if progress.runs else Executed.NO
            code = codes.TIMED_OUT if progress.runs else codes.DEADLINE_UNREACHABLE
            refusal = Refusal(code, executed)
        except asyncio.CancelledError:
            self._report(progress, Refusal(codes.CALLER_GONE, Executed.UNKNOWN))
            raise
        finally:
            self.open_requests -= 1
            OPEN_REQUESTS.set({}, self.open_requests)
        self._report(progress, refusal)
        if refusal is not None:
            self._refuse(request, progress, refusal, reply)

    # Steps

    def _admit(
        self, table: RouteTable, request: CallerRequest
    ) -> tuple[Route, str, ServiceSpec] | Refusal:
        """Return route, client account and service of a request."""
        if table.revision == 0:
            return Refusal(codes.NO_CONFIGURATION, Executed.NO)
        route = table.match(request.host, request.target)
        if route is None:
            return Refusal(codes.UNKNOWN_ROUTE, Executed.NO)
        account = ""
        if table.needs_keys and not route.is_public:
            account = table.account_by_key.get(request.key, "")
            if not account:
                code = codes.UNKNOWN_KEY if request.key else codes.MISSING_KEY
                return Refusal(code, Executed.NO)
        name = route.choose_service(request.request_id)
        service = table.services_by_name.get(name) or ServiceSpec(name=name)
        return route, account, service

    async def _run(self, progress: Progress, reply: Reply) -> Refusal | None:
        """Send a request until it has an answer or no further upstream may take it."""
        budget = self._budget_for(progress.service.name)
        # The first failure after which the request may have run; a later refusal does not undo it.
        maybe_run: Refusal | None = None
        while True:
            choice = await self._place(progress)
            if isinstance(choice, Refusal):
                return maybe_run or choice
            progress.attempts += 1
            progress.forecast_s = choice.forecast_s
            progress.load = (
                f"occupied {choice.occupied} running {choice.running} waiting {choice.waiting}"
                f" unseen {choice.unseen}"
                f" age {round((choice.report_age_s or 0.0) * 1000)} ms"
            )
            progress.instances += f" {choice.record.instance}"
            if progress.attempts == 1:
                budget.count_first()
            failed: bool | None = None
            try:
                ended = await self._attempt(progress, choice, reply)
                failed = ended.failed
            finally:
                self._selector.end(choice, failed=failed)
                self.dispatch_waiting()
            if ended.refusal is None:
                return None
            progress.excluded.add(choice.record.instance)
            if maybe_run is None and ended.refusal.executed is not Executed.NO:
                maybe_run = ended.refusal
            if not ended.may_resend or not self._may_resend(progress, ended.refusal, budget):
                return maybe_run or ended.refusal
            RESENDS.inc({"code": str(ended.refusal.code.number), "service": progress.service.name})
            _log.info(
                "request resent",
                request=progress.request.request_id,
                upstream=choice.record.instance,
                code=ended.refusal.code.number,
                executed=str(ended.refusal.executed),
                last_event=progress.splitter.last_id,
                age_ms=round((self._clock.monotonic() - progress.received_at) * 1000),
            )

    def _may_resend(self, progress: Progress, refusal: Refusal, budget: ResendBudget) -> bool:
        if refusal.executed is Executed.NO:
            progress.unrun += 1
            if progress.unrun > MAX_UNRUN:
                return False
            return refusal.code is codes.UPSTREAM_LOST or budget.take()
        return (
            progress.route.repeatable
            and progress.runs < progress.route.max_attempts
            and progress.deadline - self._clock.monotonic() > MIN_TIME_LEFT_S
            and budget.take()
        )

    async def _place(self, progress: Progress) -> Choice | Refusal:
        """Return the upstream for the next attempt, after a wait if none has room."""
        need = self._make_need(progress)
        name = progress.service.name
        if progress.service.engine is None or progress.first_output_at is not None:
            # Plain services are not near their capacity; a stream that goes on does not wait.
            choice = self._choose(name, need, any_room=True)
            return choice or Refusal(codes.NO_UPSTREAM, Executed.NO)
        line = self._lines_by_service.get(name)
        if line is None:
            line = WaitingLine(
                clock=self._clock,
                place=lambda need: self._choose(name, need),
                nominal_rate=lambda: self._find_nominal_rate(name),
            )
            self._lines_by_service[name] = line
        time_left = progress.deadline - self._clock.monotonic()
        has_returned = time_left < RETURNED_FRACTION * progress.route.timeout_s
        if has_returned:
            need = replace(need, urgency=0.0)
        joined = line.join(
            need,
            goal_s=progress.route.target_latency_s,
            time_left_s=time_left,
            patience_s=progress.route.caller_timeout_s
            - (self._clock.monotonic() - progress.received_at),
            answer_s=self._forecast_answer_s(progress),
            has_returned=has_returned,
        )
        if isinstance(joined, Overload):
            return Refusal(codes.OVERLOADED, Executed.NO, detail=f"wait {joined.wait_s:.2f} s")
        if isinstance(joined, Waiter):
            self.on_queued()
            try:
                choice = await joined.placed
            except asyncio.CancelledError:
                # The caller may leave in the same turn of the event loop in which it got its place.
                if not joined.placed.cancelled() and (lost := joined.placed.result()) is not None:
                    self._selector.end(lost, failed=None)
                raise
            finally:
                line.leave(joined)
            progress.waited_s = self._clock.monotonic() - joined.arrived_at
            return choice or Refusal(codes.DEADLINE_UNREACHABLE, Executed.NO)
        return joined

    def _make_need(self, progress: Progress) -> Need:
        request = progress.request
        is_generation = progress.service.engine is not None
        return Need(
            level=progress.level,
            urgency=progress.urgency,
            prompt_tokens=request.prompt_tokens,
            model=request.model if is_generation else "",
            excluded=frozenset(progress.excluded),
        )

    def _choose(self, service: str, need: Need, *, any_room: bool = False) -> Choice | None:
        if need.model:
            # A version may have come into force while the request waited.
            need = replace(need, minimum_version=self._targets.find_minimum_version(need.model))
        records: Sequence[UpstreamRecord] = self._catalog.list_usable(service)
        spec = self._table().services_by_name.get(service)
        if spec is not None and spec.engine is not None:
            records = self._selector.list_followed(records, need)
        choice = self._selector.choose(
            records,
            need,
            profile=spec.engine if spec is not None else None,
            is_leaving=frozenset(
                record.instance for record in records if self._catalog.is_leaving(record.instance)
            ),
            any_room=any_room,
            begin_by=lambda version: self._find_begin_by(need.model, version),
        )
        return None if choice is None else self._selector.begin(choice, need)

    async def _attempt(self, progress: Progress, choice: Choice, reply: Reply) -> Ended:
        """Send a request to one upstream and pass its answer on."""
        request, route = progress.request, progress.route
        time_left = progress.deadline - self._clock.monotonic()
        if time_left < MIN_TIME_LEFT_S:
            return Ended(Refusal(codes.DEADLINE_UNREACHABLE, Executed.NO), failed=None)
        progress.splitter.restart()
        sent_at = self._clock.monotonic()
        headers = self._dialect.write_attempt(
            request,
            Attempt(
                instance=choice.record.instance,
                time_left_s=time_left,
                account=progress.account,
                weight_version=self._choose_expected_version(request.model, choice),
                urgency=min(9, progress.level) if progress.service.engine is not None else None,
                last_event_id=progress.splitter.last_id,
            ),
        )
        relay = AnswerRelay(
            progress=progress,
            choice=choice,
            reply=reply,
            dialect=self._dialect,
            selector=self._selector,
            clock=self._clock,
            held=self.held,
            on_begin=lambda version: self._note_begin(progress, choice, version, sent_at),
        )
        client = self._client_of(choice)
        exchange = asyncio.ensure_future(
            client.exchange(
                method=request.method,
                path=request.target,
                headers=headers,
                body=request.body,
                on_head=relay.take_head,
                on_data=relay.take_data,
                repeatable=route.repeatable,
                may_send=lambda: self._catalog.get(choice.record.instance) is not None,
            )
        )
        progress.runs += 1
        try:
            await self._watch_over(exchange, progress, choice)
        except NotSentError as error:
            progress.runs -= 1
            return Ended(
                Refusal(codes.UPSTREAM_LOST, Executed.NO, detail=str(error)),
                failed=True,
                may_resend=True,
            )
        except (AnswerLostError, MismatchError) as error:
            return Ended(
                Refusal(codes.UPSTREAM_LOST, Executed.UNKNOWN, detail=str(error)),
                failed=True,
                may_resend=True,
            )
        except AnswerTooLongError as error:
            return relay.cut(error)
        except TimeoutError:
            return Ended(
                Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN, detail="no output in time"),
                failed=True,
                may_resend=True,
            )
        finally:
            relay.release()
        ended = relay.end()
        if relay.replaced_by:
            self._catalog.note_replaced(choice.record.instance)
        return ended

    def _note_begin(self, progress: Progress, choice: Choice, version: int, sent_at: float) -> None:
        """Tell of a stream that began on weights that no request may begin on any more."""
        model = progress.request.model
        now = self._clock.monotonic()
        ended_at = self._targets.find_end_time(model, version)
        if now < ended_at:
            return
        ENDED_VERSION_ANSWERS.inc({"model": model})
        _log.warning(
            "answer began on an ended version",
            request=progress.request.request_id,
            upstream=choice.record.instance,
            version=version,
            believed=choice.version,
            newest=self._targets.find_target(model),
            ended_ms_ago=round((now - ended_at) * 1000),
            sent_ms_ago=round((now - sent_at) * 1000),
            waited_ms=round(progress.waited_s * 1000),
            forecast_ms=round(choice.forecast_s * 1000),
            report_age_ms=round((choice.report_age_s or 0.0) * 1000),
        )

    def _choose_expected_version(self, model: str, choice: Choice) -> int | None:
        """Return the version that must answer: the one that the engine is believed to hold.

        An engine that holds any other version refuses the request, a newer one included.
        """
        if not choice.version or not self._targets.find_minimum_version(model):
            return None
        return choice.version

    def _find_begin_by(self, model: str, version: int) -> float:
        """Return the monotonic time until which a request must have begun on a version."""
        return self._targets.find_end_time(model, version) - VERSION_MARGIN_S

    def _forecast_answer_s(self, progress: Progress) -> float:
        """Return the time from the first token to the end of the answer."""
        engine = progress.service.engine
        if engine is None:
            return 0.0
        request = progress.request
        tokens = request.length_hint or engine.mean_output_tokens
        if request.answer_tokens:
            tokens = min(tokens, request.answer_tokens)
        return EngineForecast(engine).answer_s(tokens)

    async def _watch_over(
        self, exchange: asyncio.Future[None], progress: Progress, choice: Choice
    ) -> None:
        """Wait for the end of an exchange.

        :raises TimeoutError: if a repeatable request has no output for too long, or if any has not
            begun before its version ends.
        """
        started_at = self._clock.monotonic()
        first_limit = math.inf
        if progress.route.repeatable:
            first_limit = started_at + (
                choice.forecast_s + PATIENCE_GOALS * progress.route.target_latency_s + PATIENCE_S
            )
        # Only a stream shows by its first output that it has begun.
        is_stream = progress.route.kind is RouteKind.STREAMING
        if choice.version and (is_stream or progress.route.repeatable):
            begin_by = self._find_begin_by(progress.request.model, choice.version)
            first_limit = min(first_limit, begin_by)
        try:
            while not exchange.done():
                limit = first_limit
                if progress.last_output_at > started_at:
                    if not progress.route.repeatable:
                        break
                    limit = progress.last_output_at + GAP_PATIENCE * max(
                        0.4, progress.route.target_gap_s
                    )
                left = limit - self._clock.monotonic()
                if left <= 0:
                    raise TimeoutError
                await asyncio.wait({exchange}, timeout=None if left == math.inf else left)
            await exchange
        finally:
            # The exchange may end with an error of its own while it is given up.
            exchange.add_done_callback(_read_error)
            exchange.cancel()

    def _find_nominal_rate(self, service: str) -> float:
        """Return this host's part of the requests a second that a service's engines can take."""
        spec = self._table().services_by_name.get(service)
        if spec is None or spec.engine is None:
            return 0.0
        engines = len(self._selector.engine_subset) or len(self._catalog.list_usable(service))
        interval = EngineForecast(spec.engine).slot_interval_s()
        return engines / interval / max(1, self._selector.entry_hosts)

    def _client_of(self, choice: Choice) -> HttpClient:
        address = str(choice.record.address)
        client = self._clients_by_address.get(address)
        if client is None:
            client = HttpClient(
                f"http://{address}",
                max_body_bytes=MAX_ANSWER_BYTES,
                idle_limit=IDLE_CONNECTIONS,
            )
            self._clients_by_address[address] = client
        return client

    # Ends

    def _refuse(
        self, request: CallerRequest, progress: Progress | None, refusal: Refusal, reply: Reply
    ) -> None:
        REFUSALS.inc({"code": str(refusal.code.number), "executed": str(refusal.executed)})
        if progress is None:
            _log.info(
                "request refused",
                request=request.request_id,
                code=refusal.code.number,
                host=request.host,
                target=request.target,
                revision=self._table().revision,
            )
        if reply.has_started:
            reply.abort()
            return
        retry_after = None
        if refusal.executed is Executed.NO and refusal.code.retry_helps:
            retry_after = request.time_left_s * self._random.uniform(
                RETRY_AFTER_MIN_FRACTION, RETRY_AFTER_MAX_FRACTION
            )
        reply.refuse(refusal, retry_after_s=retry_after)

    def _report(self, progress: Progress, refusal: Refusal | None) -> None:
        now = self._clock.monotonic()
        code = refusal.code.number if refusal is not None else 0
        rank = str(progress.route.rank)
        REQUESTS.inc({"kind": str(progress.route.kind), "rank": rank, "code": str(code)})
        first_ms = None
        if progress.first_output_at is not None:
            FIRST_OUTPUT_SECONDS.observe(
                {"rank": rank}, progress.first_output_at - progress.received_at
            )
            first_ms = round((progress.first_output_at - progress.received_at) * 1000)
        _log.info(
            "request ended",
            request=progress.request.request_id,
            route=progress.route.name,
            account=progress.account,
            rank=progress.route.rank,
            level=progress.level,
            prompt=progress.request.prompt_tokens,
            upstreams=progress.instances.strip(),
            attempts=progress.attempts,
            waited_ms=round(progress.waited_s * 1000),
            forecast_ms=round(progress.forecast_s * 1000),
            load=progress.load,
            first_ms=first_ms,
            version=progress.version,
            longest_gap_ms=round(progress.longest_gap_s * 1000),
            total_ms=round((now - progress.received_at) * 1000),
            code=code,
            executed=None if refusal is None else str(refusal.executed),
            detail=None if refusal is None else refusal.detail,
        )


def _read_error(ended: asyncio.Future[None]) -> None:
    """Take the error of an exchange that nobody awaits any more."""
    if not ended.cancelled():
        ended.exception()
