"""Handles one caller's request on a routed deployment.

Matches the route and client account, chooses an upstream, relays the response and resends the
request if that is permitted.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import replace
from functools import partial

from sycamoreproxy import result_codes as codes
from sycamoreproxy._http_client import AnswerLostError, HttpClient, NotSentError
from sycamoreproxy.answer_relay import (
    AnswerRelay,
    AnswerTooLongError,
    AttemptOutcome,
    Reply,
    RequestProgress,
    ResponseMismatchError,
    TimeLimit,
)
from sycamoreproxy.caller_deadlines import CallerDeadlines
from sycamoreproxy.caller_request import (
    Attempt,
    CallerRequest,
    Dialect,
    UpstreamResponseHead,
)
from sycamoreproxy.clock import Clock
from sycamoreproxy.engine_forecast import EngineForecast
from sycamoreproxy.generation_forecast import forecast_mean_generation_s
from sycamoreproxy.held_bytes import BufferBudget
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import (
    ENDED_VERSION_ANSWERS,
    FIRST_OUTPUT_SECONDS,
    LEAVING_ANSWERS,
    OPEN_REQUESTS,
    REFUSALS,
    REQUESTS,
    RESENDS,
    UPSTREAM_HOLDS,
)
from sycamoreproxy.placement import Choice, Requirements, UpstreamSelector
from sycamoreproxy.prompt_quarantine import PromptQuarantine, list_shared_parts
from sycamoreproxy.regions import ZoneFilter, find_allowed_regions
from sycamoreproxy.request_zones import RequestZones
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.route_table import Route, RouteKind, RouteTable, ServiceSpec
from sycamoreproxy.running_attempts import RunningAttempt, RunningAttempts
from sycamoreproxy.stop_limit import StopLimit
from sycamoreproxy.upstream_book import UpstreamCatalog, UpstreamRecord
from sycamoreproxy.upstream_limits import UpstreamLimits
from sycamoreproxy.waiting_line import (
    MAX_WAIT_GOAL_FRACTION,
    Overload,
    QueuedRequest,
    RequestQueue,
)
from sycamoreproxy.weight_targets import WeightTargets

#: Largest declared content length of a response that is read, in bytes. The received bytes are
#: limited by :data:`sycamoreproxy.answer_relay.MAX_BODY_BYTES`.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: Maximum number of idle connections to one upstream. All entry hosts share the connection limit of
#: the upstream.
MAX_IDLE_CONNECTIONS = 16
#: Maximum number of resends of one request after upstreams refused it without execution or the
#: connection failed. The refused ones count against the resend budget.
MAX_UNEXECUTED_RESENDS = 3
#: Time before the end of a version at which a request that has not started is withdrawn from its
#: engine, in seconds. The new version may become known 0.3 s late behind a large configuration, and
#: closing the connection may be delayed as long by a weight transfer on the link.
VERSION_MARGIN_S = 0.8
#: Interval at which a request to a silent upstream is checked for a permitted resend, in seconds.
RESEND_CHECK_INTERVAL_S = 0.1
#: Shortest remaining time with which a request is sent, in seconds. With less, it would not reach
#: the upstream in time.
MIN_TIME_LEFT_S = 0.03
#: Fraction of the usual time of a route's requests. A request that arrives with less time left counts
#: as a retry of a refused request.
RETRY_TIME_LEFT_FRACTION = 0.9
#: Range of the retry delay of a refused request, as fractions of its remaining time. Delays are
#: random so that retries do not form the next burst, and short enough to leave time for a response.
RETRY_AFTER_MIN_FRACTION = 0.2
RETRY_AFTER_MAX_FRACTION = 0.33
#: Time after the end of a response in which the crash of its engine becomes known, and age that the
#: engine's last report may have by then, in seconds.
CRASH_NOTICE_S = 1.0
CRASH_NOTICE_REPORT_AGE_S = 0.5
#: Range over which the retries of callers that a stopping host refused are spread, in seconds.
LEAVING_SPREAD_S = 0.1
#: Range over which retries are spread after the end of a hold or a quarantine, as a fraction of the
#: remaining time.
HOLD_SPREAD_FRACTION = 0.1

#: Failure of an upstream that gives no output.
_SILENCE = Refusal(codes.UPSTREAM_TIMEOUT, Executed.UNKNOWN, detail="no output in time")

_log = get_logger("routed_dispatch")


class RoutedDispatcher:
    """Sends callers' requests to upstreams and relays the responses.

    :param table: returns the route table in force.
    :param targets: versions of the weights that requests may start on.
    :param budget_for: returns the resend budget of a service.
    :param quarantine: parts of prompts that are not sent to engines.
    :param limits: limits that upstreams named in their answers.
    :param zones: selects the upstreams whose zones may serve a request.
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
        quarantine: PromptQuarantine,
        limits: UpstreamLimits,
        zones: ZoneFilter,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._dialect = dialect
        self._table = table
        self._catalog = catalog
        self._selector = selector
        self._targets = targets
        self._budget_for = budget_for
        self._quarantine = quarantine
        self._limits = limits
        self._zones = RequestZones(zones=zones, catalog=catalog, table=table)
        self._clock = clock
        self._random = random_source
        self._clients_by_address: dict[str, HttpClient] = {}
        self._queues_by_service: dict[str, RequestQueue] = {}
        self._deadlines = CallerDeadlines(clock=clock)
        self.buffer_budget = BufferBudget()
        #: Idle connections that are kept for each upstream.
        self.max_idle_connections = MAX_IDLE_CONNECTIONS
        self.open_requests = 0
        self._stop = StopLimit(clock=clock)
        self._timeouts: set[asyncio.Timeout] = set()
        self._queued_by_choice: dict[
            asyncio.Future[Choice | None], tuple[RequestProgress, QueuedRequest]
        ] = {}
        #: Called when a request is queued for lack of capacity.
        self.on_queued: Callable[[], None] = lambda: None
        #: Called with the engine's record and the prompt's shared parts when a request may have been
        #: lost in a crash of the engine.
        self.on_lost: Callable[[UpstreamRecord, tuple[str, ...]], None] = lambda record, parts: None

    # Queries

    def count_waiting(self) -> dict[str, dict[str, int]]:
        """Return the number of queued requests by service, lateness and priority level."""
        return {name: queue.count_by_level() for name, queue in self._queues_by_service.items()}

    @property
    def has_waiting(self) -> bool:
        """Whether any request is queued for capacity."""
        return any(len(queue) for queue in self._queues_by_service.values())

    # Commands

    def dispatch_waiting(self) -> None:
        """Dispatch queued requests; called when an upstream may have capacity."""
        for queue in self._queues_by_service.values():
            queue.dispatch()

    def apply_zone_changes(self) -> None:
        """Apply changed allowed regions and zones to the queued requests."""
        for choice, (progress, queued) in list(self._queued_by_choice.items()):
            queued.requirements = replace(
                queued.requirements, allowed_regions=self._zones.update(progress)
            )
            if not choice.done() and self._zones.check(progress) is not None:
                choice.set_result(None)
        self.dispatch_waiting()

    def retain(self, addresses: Container[str]) -> None:
        """Close the idle connections to all other addresses."""
        for address in [item for item in self._clients_by_address if item not in addresses]:
            self._clients_by_address.pop(address).close()

    def close(self) -> None:
        """Close the idle connections to upstreams."""
        for client in self._clients_by_address.values():
            client.close()
        self._clients_by_address.clear()

    def end_requests_within(self, seconds: float, *, closes_in_s: float = 0.0) -> None:
        """End all requests within this time, in seconds, including those that are still to come.

        Requests that cannot be finished by then are refused at once; those in progress at the end
        are refused then.

        :param closes_in_s: time until connections without a request are closed, in seconds.
        """
        self._stop.shorten(ends_in_s=seconds, closes_in_s=closes_in_s)
        for timeout in self._timeouts:
            self._limit_timeout(timeout)
        for progress, queued in self._queued_by_choice.values():
            queued.shorten(
                time_left_s=self._stop.find_queue_time_left_s(progress),
                generation_s=forecast_mean_generation_s(progress),
                now=self._clock.monotonic(),
            )
        self.dispatch_waiting()

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Handle one request; cancelling the task also cancels the request on the upstream."""
        received_at = self._clock.monotonic()
        table = self._table()
        resolved = self._resolve(table, request)
        if isinstance(resolved, Refusal):
            self.refuse(request, None, resolved, reply)
            return
        route, account, service = resolved
        self._deadlines.observe(route.name, request.time_left_s)
        level = table.find_priority_level(account, route)
        progress = RequestProgress(
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
            last_event_id=request.last_event_id,
            excluded=set(),
            allowed_regions=find_allowed_regions(table, route, account),
            configuration=table.revision,
        )
        self.open_requests += 1
        OPEN_REQUESTS.set({}, self.open_requests)
        refusal: Refusal | None = None
        timeout = asyncio.timeout_at(
            asyncio.get_running_loop().time() + progress.deadline - received_at
        )
        try:
            async with timeout:
                self._timeouts.add(timeout)
                self._limit_timeout(timeout)
                refusal = await self._run(progress, reply)
        except TimeoutError:
            # The response may have been completed just before the end of the time.
            if not reply.is_finished:
                refusal = self._make_timeout_refusal(progress)
        except asyncio.CancelledError:
            if not reply.is_finished:
                refusal = Refusal(codes.CALLER_GONE, Executed.UNKNOWN)
            self._report(progress, refusal)
            raise
        finally:
            self._timeouts.discard(timeout)
            self.open_requests -= 1
            OPEN_REQUESTS.set({}, self.open_requests)
        self._report(progress, refusal)
        if refusal is not None:
            self.refuse(request, progress, refusal, reply)

    def refuse(
        self,
        request: CallerRequest,
        progress: RequestProgress | None,
        refusal: Refusal,
        reply: Reply,
    ) -> None:
        """Refuse a request, or cut its response if that has started.

        :param progress: None if the request was never matched with a route.
        """
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
            retry_after = self._choose_retry_delay_s(request, refusal)
        reply.refuse(refusal, retry_after_s=retry_after)

    def _choose_retry_delay_s(self, request: CallerRequest, refusal: Refusal) -> float:
        """Return the time after which a refused caller may retry, in seconds."""
        if refusal.code is codes.LEAVING:
            # The retry reaches another host.
            spread_s = LEAVING_SPREAD_S * self._random.random()
            return min(spread_s, RETRY_AFTER_MAX_FRACTION * request.time_left_s)
        if refusal.retry_after_ms:
            spread_s = HOLD_SPREAD_FRACTION * request.time_left_s * self._random.random()
            return refusal.retry_after_ms / 1000 + spread_s
        return request.time_left_s * self._random.uniform(
            RETRY_AFTER_MIN_FRACTION, RETRY_AFTER_MAX_FRACTION
        )

    # Steps

    def _resolve(
        self, table: RouteTable, request: CallerRequest
    ) -> tuple[Route, str, ServiceSpec] | Refusal:
        """Return the route, client account and service of a request."""
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

    async def _run(self, progress: RequestProgress, reply: Reply) -> Refusal | None:
        """Send a request to upstreams until one responds or no further attempt is permitted."""
        attempts = RunningAttempts(clock=self._clock, route=progress.route)
        try:
            while True:
                if not attempts:
                    next_choice = await self._choose_next(progress)
                    if isinstance(next_choice, Refusal):
                        return progress.possibly_executed or next_choice
                    self._start_attempt(progress, attempts, next_choice, reply)
                choice, outcome = await self._await_outcome(progress, attempts, reply)
                refusal = outcome.refusal
                if refusal is None:
                    return None
                self._record_refusal(progress, choice, refusal)
                # A response that must not be resumed must not be continued by a running attempt.
                if attempts and (outcome.may_resend or refusal.executed is Executed.NO):
                    continue
                if not outcome.may_resend or not self._may_resend(progress, refusal):
                    return progress.possibly_executed or refusal
                self._report_resend(progress, choice, refusal)
        finally:
            attempts.close()

    async def _choose_next(self, progress: RequestProgress) -> Choice | Refusal:
        """Return the upstream for the next attempt of a request that no upstream has."""
        refusal = self._check_quarantine(progress) or self._stop.check(progress)
        if refusal is not None:
            return refusal
        if progress.may_have_run:
            await self._wait_for_hold_end(progress)
        choice = await self._acquire_upstream(progress)
        if isinstance(choice, Refusal):
            return choice
        # The request may have been queued for seconds.
        refusal = self._check_quarantine(progress) or self._stop.check(progress, choice)
        if refusal is not None:
            self._selector.end(choice, failed=None)
            return refusal
        return choice

    async def _await_outcome(
        self, progress: RequestProgress, attempts: RunningAttempts, reply: Reply
    ) -> tuple[Choice, AttemptOutcome]:
        """Wait until an attempt has ended, and start another one when all are silent.

        A silent upstream may be sound, so the request stays there until another one responds, or
        until it may no longer start there.
        """
        while True:
            ended = attempts.pop_ended()
            if ended is not None:
                return ended.choice, ended.task.result()
            unstarted = attempts.pop_unstarted()
            if unstarted is not None:
                self._record_silence([unstarted])
                return unstarted.choice, AttemptOutcome(_SILENCE, failed=True, may_resend=True)
            wait_s = attempts.find_silence_left_s()
            if wait_s <= 0:
                for attempt in attempts:
                    # A newer version may have been set meanwhile.
                    attempt.latest_start = self._find_start_limit(progress, attempt.choice)
                choice = self._choose_alternative(progress, attempts)
                if choice is not None:
                    self._record_silence(attempts)
                    self._report_resend(progress, attempts.latest.choice, _SILENCE)
                    self._start_attempt(progress, attempts, choice, reply)
                    continue
                wait_s = RESEND_CHECK_INTERVAL_S
            await attempts.wait(timeout_s=min(wait_s, max(0.0, attempts.find_start_left_s())))

    def _record_silence(self, attempts: Iterable[RunningAttempt]) -> None:
        """Record that the upstreams of attempts failed, once for each attempt."""
        for attempt in attempts:
            if not attempt.is_failure_recorded:
                attempt.is_failure_recorded = True
                self._selector.record_failure(attempt.choice)

    def _record_refusal(self, progress: RequestProgress, choice: Choice, refusal: Refusal) -> None:
        """Record that an attempt ended without a response to the caller."""
        # An upstream that named a time for the next request may be tried again after it.
        if refusal.executed is not Executed.NO or not self._catalog.is_held(choice.record.instance):
            progress.excluded.add(choice.record.instance)
        if refusal.executed is Executed.NO:
            progress.unexecuted_attempts += 1
        elif progress.possibly_executed is None:
            progress.possibly_executed = refusal

    def _report_resend(self, progress: RequestProgress, choice: Choice, refusal: Refusal) -> None:
        RESENDS.inc({"code": str(refusal.code.number), "service": progress.service.name})
        _log.info(
            "request resent",
            request=progress.request.request_id,
            upstream=choice.record.instance,
            code=refusal.code.number,
            executed=str(refusal.executed),
            last_event=progress.last_event_id,
            age_ms=round((self._clock.monotonic() - progress.received_at) * 1000),
        )

    def _limit_timeout(self, timeout: asyncio.Timeout) -> None:
        """Have the timeout of a request expire when requests must have ended, if not earlier."""
        stop_at = asyncio.get_running_loop().time() + self._stop.ends_at - self._clock.monotonic()
        deadline = timeout.when()
        if deadline is not None and stop_at < deadline and not timeout.expired():
            timeout.reschedule(stop_at)

    def _make_timeout_refusal(self, progress: RequestProgress) -> Refusal:
        """Return the refusal of a request whose timeout has expired."""
        if not progress.executions:
            return self._make_unsent_refusal(progress)
        limit = self._stop.find_time_limit(progress)
        return Refusal(codes.TIMED_OUT, Executed.UNKNOWN, detail=str(limit))

    def _make_unsent_refusal(self, progress: RequestProgress, *, detail: str = "") -> Refusal:
        """Return the refusal of a request that no upstream took in time.

        :param detail: reason if no limit has passed yet; by default, the limit that has.
        """
        limit = self._stop.find_time_limit(progress)
        if limit is TimeLimit.STOP:
            return Refusal(codes.LEAVING, Executed.NO, detail=str(limit))
        return Refusal(codes.DEADLINE_UNREACHABLE, Executed.NO, detail=detail or str(limit))

    def _check_quarantine(self, progress: RequestProgress) -> Refusal | None:
        """Return a refusal if a part of the prompt is in quarantine."""
        found = self._quarantine.find(progress.request.prompt_parts)
        if found is None:
            return None
        part, left_s = found
        return Refusal(
            codes.QUARANTINED_PROMPT,
            Executed.NO,
            detail=f"part {part}",
            retry_after_ms=math.ceil(left_s * 1000),
        )

    def _may_resend(self, progress: RequestProgress, refusal: Refusal) -> bool:
        """Return whether a request that no upstream has may be resent, and count the resend."""
        budget = self._budget_for(progress.service.name)
        if progress.unexecuted_attempts > MAX_UNEXECUTED_RESENDS:
            return False
        if refusal.executed is Executed.NO:
            return refusal.code is codes.UPSTREAM_LOST or budget.try_acquire()
        return self._permits_repeat(progress) and budget.try_acquire()

    def _permits_repeat(self, progress: RequestProgress) -> bool:
        """Return whether the route and the time left permit another execution."""
        return (
            progress.route.repeatable
            and progress.executions < progress.route.max_attempts
            and progress.deadline - self._clock.monotonic() > MIN_TIME_LEFT_S
        )

    def _choose_alternative(
        self, progress: RequestProgress, attempts: RunningAttempts
    ) -> Choice | None:
        """Choose another upstream for a request whose upstreams are silent, if that is permitted."""
        service = progress.service
        budget = self._budget_for(service.name)
        if (
            not self._permits_repeat(progress)
            or progress.unexecuted_attempts > MAX_UNEXECUTED_RESENDS
            or not budget.allows()
            or self._catalog.find_hold_left_s(
                service.name, excluded=self._zones.list_barred(progress)
            )
            is not None
            or self._check_quarantine(progress) is not None
            or self._stop.check(progress) is not None
        ):
            return None
        requirements = self._make_requirements(progress)
        requirements = replace(
            requirements, excluded=requirements.excluded | attempts.list_instances()
        )
        ignore_capacity = service.engine is None or progress.first_output_at is not None
        choice = self._find_choice(service.name, requirements, ignore_capacity=ignore_capacity)
        if choice is None:
            return None
        view = self._selector.view(choice.record.instance)
        if service.engine is not None and view.has_pending_probe(self._clock.monotonic()):
            # Its host may be suspended as well, and would then run the request after it has ended.
            return None
        budget.count_resend()
        return self._begin(choice, requirements)

    async def _wait_for_hold_end(self, progress: RequestProgress) -> None:
        """Wait until an upstream may be tried if all others are held, and if that is soon enough."""
        while True:
            hold_s = self._catalog.find_hold_left_s(
                progress.service.name,
                excluded=progress.excluded | self._zones.list_barred(progress),
            )
            if hold_s is None or hold_s > self._find_longest_pause_s(progress):
                return
            # Another upstream may become usable earlier.
            await asyncio.sleep(min(hold_s, RESEND_CHECK_INTERVAL_S))

    def _may_wait_for_permit(self, progress: RequestProgress) -> bool:
        """Return whether an upstream with a limit may soon take a request."""
        records = [
            record
            for record in self._zones.list_usable(progress.service.name, progress.allowed_regions)
            if record.instance not in progress.excluded
        ]
        return self._limits.may_permit_soon(
            records,
            within_s=self._find_longest_pause_s(progress),
            has_begun=progress.first_output_at is not None,
        )

    def _find_longest_pause_s(self, progress: RequestProgress) -> float:
        """Return the time after which a request that is sent again may still respond in time."""
        last_output_at = progress.last_output_at or progress.received_at
        abandoned_at = last_output_at + progress.route.caller_timeout_s
        latest_response_at = min(progress.deadline, abandoned_at, self._stop.ends_at)
        return latest_response_at - progress.route.target_latency_s - self._clock.monotonic()

    async def _acquire_upstream(self, progress: RequestProgress) -> Choice | Refusal:
        """Return the upstream for the next attempt, waiting in the queue if none has capacity."""
        refusal = self._zones.check(progress)
        if refusal is not None:
            return refusal
        hold_s = self._catalog.find_hold_left_s(
            progress.service.name, excluded=self._zones.list_barred(progress)
        )
        if hold_s is not None:
            return Refusal(
                codes.NO_UPSTREAM,
                Executed.NO,
                detail=f"held for {hold_s:.2f} s",
                retry_after_ms=math.ceil(hold_s * 1000),
            )
        requirements = self._make_requirements(progress)
        name = progress.service.name
        if progress.service.engine is None or progress.first_output_at is not None:
            # Plain services have spare capacity, and resumed streams must not be queued.
            choice = self._choose(name, requirements, ignore_capacity=True)
            while choice is None and self._may_wait_for_permit(progress):
                await asyncio.sleep(RESEND_CHECK_INTERVAL_S)
                choice = self._choose(name, requirements, ignore_capacity=True)
            return choice or Refusal(codes.NO_UPSTREAM, Executed.NO)
        queue = self._queues_by_service.get(name)
        if queue is None:
            queue = RequestQueue(
                clock=self._clock,
                choose_upstream=lambda requirements: self._choose(name, requirements),
                nominal_rate=lambda: self._find_nominal_rate(name),
                limited_rate=lambda: self._find_limited_rate(name),
            )
            self._queues_by_service[name] = queue
        time_left = progress.deadline - self._clock.monotonic()
        # The timeout may be longer than the time that any caller gives a request.
        usual_s = min(progress.route.timeout_s, self._deadlines.find_longest_s(progress.route.name))
        is_retry = time_left < RETRY_TIME_LEFT_FRACTION * usual_s
        if is_retry:
            requirements = replace(requirements, urgency=0.0)
        outcome = queue.submit(
            requirements,
            goal_s=progress.route.target_latency_s,
            time_left_s=min(time_left, self._stop.find_queue_time_left_s(progress)),
            caller_timeout_s=progress.route.caller_timeout_s
            - (self._clock.monotonic() - progress.received_at),
            generation_s=forecast_mean_generation_s(progress),
            is_retry=is_retry,
        )
        if isinstance(outcome, Overload):
            longest_wait_s = MAX_WAIT_GOAL_FRACTION * progress.route.target_latency_s
            is_stopping = self._stop.find_time_limit(progress) is TimeLimit.STOP
            if is_stopping and outcome.wait_s <= longest_wait_s:
                return self._make_unsent_refusal(progress)
            return Refusal(codes.OVERLOADED, Executed.NO, detail=f"wait {outcome.wait_s:.2f} s")
        if isinstance(outcome, QueuedRequest):
            self._queued_by_choice[outcome.choice] = progress, outcome
            self.on_queued()
            try:
                choice = await outcome.choice
            except asyncio.CancelledError:
                # The caller may disconnect in the same iteration of the event loop in which its
                # upstream is chosen.
                if (
                    not outcome.choice.cancelled()
                    and (unused := outcome.choice.result()) is not None
                ):
                    self._selector.end(unused, failed=None)
                raise
            finally:
                del self._queued_by_choice[outcome.choice]
                queue.remove(outcome)
            progress.waited_s = self._clock.monotonic() - outcome.arrived_at
            return (
                choice
                or self._zones.check(progress)
                or self._make_unsent_refusal(progress, detail="no upstream was free in time")
            )
        return outcome

    def _make_requirements(self, progress: RequestProgress) -> Requirements:
        request = progress.request
        is_generation = progress.service.engine is not None
        return Requirements(
            level=progress.level,
            urgency=progress.urgency,
            prompt_tokens=request.prompt_tokens,
            model=request.model if is_generation else "",
            excluded=frozenset(progress.excluded),
            allowed_regions=self._zones.update(progress),
        )

    def _choose(
        self, service: str, requirements: Requirements, *, ignore_capacity: bool = False
    ) -> Choice | None:
        """Choose an upstream and count the request as sent to it."""
        choice = self._find_choice(service, requirements, ignore_capacity=ignore_capacity)
        if choice is not None:
            choice = self._begin(choice, requirements)
        self._limits.request_permits(
            self._zones.list_usable(service, requirements.allowed_regions),
            level=requirements.level,
        )
        return choice

    def _begin(self, choice: Choice, requirements: Requirements) -> Choice:
        """Count a request as sent to an upstream; return the choice with its attempt number."""
        self._limits.use_permit(choice.record)
        return self._selector.begin(choice, requirements)

    def _find_choice(
        self, service: str, requirements: Requirements, *, ignore_capacity: bool
    ) -> Choice | None:
        """Return the upstream that a request would be sent to now."""
        if requirements.model:
            # The minimum version may have changed while the request was queued.
            requirements = replace(
                requirements, minimum_version=self._targets.find_minimum_version(requirements.model)
            )
        records: Sequence[UpstreamRecord] = self._catalog.list_usable(service)
        spec = self._table().services_by_name.get(service)
        if spec is not None and spec.engine is not None:
            records = self._selector.list_subset(records, requirements)
        records = self._zones.select_from(records, service, requirements.allowed_regions)
        return self._selector.choose(
            records,
            requirements,
            profile=spec.engine if spec is not None else None,
            leaving=frozenset(
                record.instance for record in records if self._catalog.is_leaving(record.instance)
            ),
            ignore_capacity=ignore_capacity,
            latest_start=lambda version: self._find_latest_start(requirements.model, version),
        )

    def _start_attempt(
        self, progress: RequestProgress, attempts: RunningAttempts, choice: Choice, reply: Reply
    ) -> None:
        """Start to send a request to one upstream."""
        progress.attempts += 1
        progress.forecast_s = choice.forecast_s
        progress.load = (
            f"occupied {choice.occupied} running {choice.running} waiting {choice.waiting}"
            f" unreported {choice.unreported}"
            f" age {round((choice.report_age_s or 0.0) * 1000)} ms"
        )
        progress.instances += f" {choice.record.instance}"
        if progress.attempts == 1:
            self._budget_for(progress.service.name).count_first_attempt()
        sent_at = self._clock.monotonic()
        relay = AnswerRelay(
            progress=progress,
            choice=choice,
            reply=reply,
            dialect=self._dialect,
            selector=self._selector,
            clock=self._clock,
            buffer_budget=self.buffer_budget,
            on_stream_start=lambda version: self._log_ended_version(
                progress, choice, version, sent_at
            ),
            on_head=lambda head: self._apply_head(progress.request, choice, head, sent_at),
            on_output=lambda relay: attempts.supersede_others(
                relay, partial(self._record_superseded, progress)
            ),
            has_rivals=lambda: attempts.has_rivals(relay),
        )
        task = asyncio.create_task(self._attempt(progress, choice, relay))
        attempt = RunningAttempt(
            choice,
            relay,
            task,
            started_at=sent_at,
            latest_start=self._find_start_limit(progress, choice),
        )
        attempts.add(attempt)
        # A task that is cancelled before its first step runs none of its own code.
        task.add_done_callback(lambda task: self._end_attempt(attempt))

    def _end_attempt(self, attempt: RunningAttempt) -> None:
        """Record the end of an attempt at its upstream."""
        failed: bool | None = None
        if not attempt.task.cancelled() and attempt.task.exception() is None:
            failed = attempt.task.result().failed
        if failed and attempt.is_failure_recorded:
            failed = None
        self._selector.end(attempt.choice, failed=failed)
        self.dispatch_waiting()

    def _record_superseded(self, progress: RequestProgress, attempt: RunningAttempt) -> None:
        """Record that a request was withdrawn from an upstream because another one responds."""
        if attempt.is_failure_recorded:
            progress.excluded.add(attempt.choice.record.instance)
        if progress.possibly_executed is None:
            progress.possibly_executed = _SILENCE

    async def _attempt(
        self, progress: RequestProgress, choice: Choice, relay: AnswerRelay
    ) -> AttemptOutcome:
        """Send a request to one upstream and relay its response."""
        request, route = progress.request, progress.route
        time_left = progress.deadline - self._clock.monotonic()
        if time_left < MIN_TIME_LEFT_S:
            return AttemptOutcome(Refusal(codes.DEADLINE_UNREACHABLE, Executed.NO), failed=None)
        sent_at = self._clock.monotonic()
        headers = self._dialect.write_attempt(
            request,
            Attempt(
                instance=choice.record.instance,
                time_left_s=time_left,
                account=progress.account,
                weight_version=self._choose_expected_version(request.model, choice),
                urgency=min(9, progress.level) if progress.service.engine is not None else None,
                last_event_id=progress.last_event_id,
            ),
        )
        client = self._get_client(choice)
        exchange = asyncio.ensure_future(
            client.exchange(
                method=request.method,
                path=request.target,
                headers=headers,
                body=request.body,
                on_head=relay.receive_head,
                on_data=relay.receive_data,
                repeatable=route.repeatable,
                may_send=lambda: self._zones.may_send(progress, choice.record.instance),
            )
        )
        leaving_s = self._catalog.find_leaving_s(choice.record.instance)
        if leaving_s is not None:
            _log.info(
                "request sent to a leaving upstream",
                request=request.request_id,
                upstream=choice.record.instance,
                leaving_ms=round(leaving_s * 1000),
            )
        progress.executions += 1
        try:
            await asyncio.wait({exchange})
            exchange.result()
        except NotSentError as error:
            progress.executions -= 1
            return AttemptOutcome(
                Refusal(codes.UPSTREAM_LOST, Executed.NO, detail=str(error)),
                failed=True,
                may_resend=True,
            )
        except (AnswerLostError, ResponseMismatchError) as error:
            self.on_lost(choice.record, list_shared_parts(request.prompt_parts))
            _log.info(
                "request lost at an upstream",
                request=request.request_id,
                upstream=choice.record.instance,
                parts=request.prompt_parts,
                sent_ms_ago=round((self._clock.monotonic() - sent_at) * 1000),
                has_output=progress.first_output_at is not None,
                error=str(error),
            )
            return AttemptOutcome(
                Refusal(codes.UPSTREAM_LOST, Executed.UNKNOWN, detail=str(error)),
                failed=True,
                may_resend=True,
            )
        except AnswerTooLongError as error:
            return relay.end_too_long(error)
        finally:
            # The exchange may raise an error of its own while it is being cancelled.
            exchange.add_done_callback(_retrieve_error)
            exchange.cancel()
            relay.release()
        ended = relay.finish()
        if relay.replacement_instance:
            self._catalog.mark_replaced(choice.record.instance)
        if relay.is_generation:
            self._record_generation(request.prompt_parts, choice.record, relay, ended)
        return ended

    def _record_generation(
        self,
        parts: tuple[str, ...],
        record: UpstreamRecord,
        relay: AnswerRelay,
        ended: AttemptOutcome,
    ) -> None:
        """Record whether the engine answered a prompt completely or may have crashed on it."""
        if not list_shared_parts(parts):
            return
        if relay.is_delimited:
            if ended.refusal is None:
                self._quarantine.record_complete_answer(parts)
            return
        # The engine may have crashed between two events.
        self.on_lost(record, list_shared_parts(parts))
        if ended.refusal is None:
            asyncio.get_running_loop().call_later(
                CRASH_NOTICE_S, self._record_if_engine_runs, parts, record.instance
            )

    def _record_if_engine_runs(self, parts: tuple[str, ...], instance: str) -> None:
        """Record a complete answer if its engine has sent a report since."""
        report = self._selector.view(instance).report
        now = self._clock.monotonic()
        if report is not None and now - report.received_at < CRASH_NOTICE_REPORT_AGE_S:
            self._quarantine.record_complete_answer(parts)

    def _apply_head(
        self, request: CallerRequest, choice: Choice, head: UpstreamResponseHead, sent_at: float
    ) -> None:
        """Apply what the head of a response says about its upstream."""
        instance = choice.record.instance
        self._limits.observe(choice.record, head, sent_at=sent_at)
        if head.hold_s:
            self._catalog.hold(choice.record, head.hold_s)
            UPSTREAM_HOLDS.inc({"service": choice.record.service})
            _log.info(
                "upstream asked for no requests",
                request=request.request_id,
                upstream=instance,
                hold_ms=round(head.hold_s * 1000),
            )
        if not head.is_leaving:
            return
        known_s = self._catalog.find_leaving_s(instance)
        if not self._catalog.mark_leaving(choice.record):
            return
        LEAVING_ANSWERS.inc({"service": choice.record.service})
        _log.info(
            "upstream announced in an answer that it leaves",
            request=request.request_id,
            upstream=instance,
            known_ms=None if known_s is None else round(known_s * 1000),
        )

    def _log_ended_version(
        self, progress: RequestProgress, choice: Choice, version: int, sent_at: float
    ) -> None:
        """Log a stream that started on a version of the weights that requests may no longer use."""
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
        """Return the version of the weights that the engine must use, or None for any.

        This is the version that it is expected to hold. An engine with any other version refuses
        the request, even if its version is newer.
        """
        if not choice.version or not self._targets.find_minimum_version(model):
            return None
        return choice.version

    def _find_start_limit(self, progress: RequestProgress, choice: Choice) -> float:
        """Return the monotonic time until which a request must have started at an upstream.

        Only the first output of a stream shows that the request has started. A plain request that
        may not be repeated is not withdrawn.
        """
        is_stream = progress.route.kind is RouteKind.STREAMING
        if choice.version and (is_stream or progress.route.repeatable):
            return self._find_latest_start(progress.request.model, choice.version)
        return math.inf

    def _find_latest_start(self, model: str, version: int) -> float:
        """Return the monotonic time until which a request must have started on a version."""
        return self._targets.find_end_time(model, version) - VERSION_MARGIN_S

    def _find_nominal_rate(self, service: str) -> float:
        """Return this host's share of the throughput of a service's engines, in requests/s."""
        spec = self._table().services_by_name.get(service)
        if spec is None or spec.engine is None:
            return 0.0
        records = self._zones.list_usable(service)
        subset = self._selector.engine_subset
        engines = len(subset) or len(records)
        rate = 1 / EngineForecast(spec.engine).completion_interval_s()
        excess = 0.0
        if self._limits.has_limits:
            excess = sum(
                max(0.0, rate - self._limits.find_requests_per_s(record))
                for record in records
                if not subset or str(record.address) in subset
            )
        return max(0.0, engines * rate - excess) / max(1, self._selector.entry_hosts)

    def _find_limited_rate(self, service: str) -> float:
        """Return this host's share of the limits of a service's engines, infinite if one has none."""
        if not self._limits.has_limits:
            return math.inf
        subset = self._selector.engine_subset
        rates = [
            self._limits.find_requests_per_s(record)
            for record in self._zones.list_usable(service)
            if not subset or str(record.address) in subset
        ]
        return sum(rates) / max(1, self._selector.entry_hosts) if rates else math.inf

    def _get_client(self, choice: Choice) -> HttpClient:
        address = str(choice.record.address)
        client = self._clients_by_address.get(address)
        if client is None:
            client = HttpClient(
                f"http://{address}",
                max_body_bytes=MAX_ANSWER_BYTES,
                idle_limit=self.max_idle_connections,
            )
            self._clients_by_address[address] = client
        return client

    # Outcomes

    def _report(self, progress: RequestProgress, refusal: Refusal | None) -> None:
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
            output_max=progress.request.answer_tokens,
            caller_ms=round(progress.request.time_left_s * 1000),
            timeout_ms=round(progress.route.timeout_s * 1000),
            stop_ms=(
                round((self._stop.ends_at - progress.received_at) * 1000)
                if self._stop.is_stopping
                else None
            ),
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


def _retrieve_error(exchange: asyncio.Future[None]) -> None:
    """Retrieve the error of an abandoned exchange, so that asyncio does not log it."""
    if not exchange.cancelled():
        exchange.exception()
