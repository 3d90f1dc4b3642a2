"""Selects the upstream of a request from shared load reports and this host's in-flight requests.

Designed for bursts on engines with continuous batching: a request goes to the engine with the
lowest forecast time to first token, and stays queued on the entry host while no engine has
capacity, so that more urgent requests can still overtake it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass, field, replace

from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import Clock
from sycamoreproxy.engine_forecast import EngineForecast
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import EngineUse
from sycamoreproxy.retries import CircuitBreaker
from sycamoreproxy.route_table import EngineProfile
from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_pace import (
    MAX_LOAD,
    DecayingEstimate,
    is_plausible_pace,
    make_load_estimate,
    make_pace_estimate,
)

#: Requests beyond its batch slots that an engine may receive at the highest and at the lowest
#: urgency. The engine admits by urgency, so urgent requests queue on the engine instead of waiting
#: for the next load report. Keeping two of 16 slots free for them costs 7% of the throughput: 16
#: slots give 8.7 requests per second, 14 slots give 8.1.
MOST_URGENT_EXCESS_REQUESTS = 4
LEAST_URGENT_EXCESS_REQUESTS = -2
#: Age up to which a load report is used, in seconds. Without a usable report, only this host's
#: in-flight requests are known.
REPORT_MAX_AGE_S = 1.0
#: Age of a load report on receipt, in seconds. Requests sent within this time are not included in
#: it.
REPORT_LATENCY_S = 0.02
#: Fraction of this host's unreported requests that each other entry host is assumed to have sent
#: as well. All hosts see the same reports, so an engine that has just finished loading receives
#: requests from all of them at once.
OTHER_HOST_FRACTION = 0.5
#: Prefill backlog of an engine up to which queued requests of all hosts are sent to it, in prompts
#: of mean length. The engine prefills the whole backlog before it emits the next events: three
#: prompts take 125 ms, sixteen would stall its running streams for longer than their maximum event
#: gap.
MAX_PREFILL_BACKLOG_PROMPTS = 3.0
#: Time without a load report after which an engine is used only if no other has capacity, in
#: seconds. Reports arrive every 0.1 s, so network jitter does not explain a gap of this length. An
#: engine without output in this time either gets one request of each entry host at a time.
REPORT_TIMEOUT_S = 0.6
#: Difference in cost that makes an engine e times less likely to be chosen, in seconds. All entry
#: hosts see the same reports and would otherwise choose the engine that has just looked fast. In
#: simulated bursts of 41 hosts on 20 engines, 87% to 99% of first tokens came in time instead of
#: 73% to 96% with a choice among equal costs; a single host loses nothing (upstream-pace.md).
COST_SPREAD_S = 0.05
#: Difference up to which the costs of plain services count as equal, and up to which an engine of
#: another availability zone may be chosen, in seconds.
TIE_TOLERANCE_S = 0.01
#: Added to the cost of an upstream in another availability zone, in seconds. Cross-zone traffic is
#: slower and shares links of low bandwidth.
CROSS_ZONE_PENALTY_S = 0.03
#: Forecast latency of a typical request to a plain service, in seconds; plain services publish no
#: timings. Each full set of slots ahead of the request adds the same time again.
PLAIN_SERVICE_LATENCY_S = 0.05
#: Weight of the newest outcome in the exponential moving average of failures.
FAILURE_RATE_SMOOTHING = 0.15
#: Cost of a failure rate of 1, in seconds; lower rates cost proportionally less.
FAILURE_PENALTY_S = 1.0
#: Time after its forecast at which a request without output is overdue, in seconds. Longer than the
#: prefill of another prompt ahead of it, shorter than callers of urgent requests wait.
OVERDUE_MARGIN_S = 0.5
#: Overdue requests from which an engine without any output since is considered unresponsive. A
#: single one may be a lost response.
UNRESPONSIVE_MIN_OVERDUE = 2
#: Added to the cost of an upstream that is unresponsive or whose circuit breaker is open, in
#: seconds. Longer than any queueing time, so the upstream is used only where no other exists.
LAST_RESORT_PENALTY_S = 10.0


#: Use of an engine by a host without in-flight requests on it.
NO_USE = EngineUse(0, 0)

_log = get_logger("placement")


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an upstream at one point in time.

    :param received_at: monotonic time of receipt.
    :param running: requests being processed.
    :param waiting: requests accepted but not started.
    :param pace: factor on the usual duration of work; above 1 is slower.
    :param use_by_others: requests of other entry hosts on the engine; None if not reported.
    """

    received_at: float
    running: int
    waiting: int
    pace: float = 1.0
    is_loading: bool = False
    version_by_model: tuple[tuple[str, int], ...] = ()
    use_by_others: EngineUse | None = None


@dataclass(slots=True)
class InFlightRequest:
    """A request that this host has sent to an upstream and that has not finished.

    :param overdue_at: monotonic time from which the request is overdue if it has no output.
    """

    sent_at: float
    prompt_tokens: int
    overdue_at: float
    has_output: bool = False


@dataclass(slots=True)
class UpstreamView:
    """State of one upstream as seen by this host.

    :param failure_rate: exponential moving average of failed requests.
    :param last_output_at: monotonic time of the last output of any request.
    :param queued_quota: queued requests that may be sent before the next load report.
    :param announced_use: own use last announced to the process on the engine's host.
    :param pace: estimate from the paces that were reported.
    :param load: estimate of the requests on a plain service from its reports.
    :param has_implausible_pace: whether an implausible pace was logged.
    """

    instance: str
    breaker: CircuitBreaker
    report: LoadReport | None = None
    pace: DecayingEstimate = field(default_factory=make_pace_estimate)
    load: DecayingEstimate = field(default_factory=make_load_estimate)
    has_implausible_pace: bool = False
    in_flight_by_number: dict[int, InFlightRequest] = field(default_factory=dict)
    failure_rate: float = 0.0
    last_output_at: float = 0.0
    queued_quota: float = math.inf
    announced_use: EngineUse = NO_USE

    @property
    def own_use(self) -> EngineUse:
        """In-flight requests of this host and their prompt tokens without output."""
        return EngineUse(
            len(self.in_flight_by_number),
            sum(
                request.prompt_tokens
                for request in self.in_flight_by_number.values()
                if not request.has_output
            ),
        )

    def is_unresponsive(self, now: float) -> bool:
        """Return whether requests are overdue, without any output since the first of them was sent.

        Load reports and health checks of such an upstream may still look normal.
        """
        overdue = [
            request.sent_at
            for request in self.in_flight_by_number.values()
            if not request.has_output and now >= request.overdue_at
        ]
        return len(overdue) >= UNRESPONSIVE_MIN_OVERDUE and self.last_output_at < min(overdue)

    def is_silent(self, now: float) -> bool:
        """Return whether neither a load report nor output arrived within the report timeout.

        The whole host of the engine may be suspended or cut off. An upstream that has never
        reported does not count as silent.
        """
        if self.report is None:
            return False
        return now - max(self.report.received_at, self.last_output_at) > REPORT_TIMEOUT_S

    def has_pending_probe(self, now: float) -> bool:
        """Return whether the engine is silent and has a request of this host.

        The output of that request or the next load report shows when the engine responds again.
        """
        return bool(self.in_flight_by_number) and self.is_silent(now)

    def count_unreported(self) -> int:
        """Return the number of own requests sent too late to be included in the last report."""
        return len(self._list_unreported())

    def estimate_unreported_use_by_others(self, entry_hosts: int) -> EngineUse:
        """Return the estimated use by requests that other hosts sent since the last report."""
        unreported = self._list_unreported()
        others = (entry_hosts - 1) * OTHER_HOST_FRACTION
        return EngineUse(
            round(others * len(unreported)),
            round(others * sum(request.prompt_tokens for request in unreported)),
        )

    def _list_unreported(self) -> list[InFlightRequest]:
        if self.report is None:
            return list(self.in_flight_by_number.values())
        reported_until = self.report.received_at - REPORT_LATENCY_S
        return [
            request
            for request in self.in_flight_by_number.values()
            if request.sent_at >= reported_until
        ]


@dataclass(frozen=True, slots=True, kw_only=True)
class Requirements:
    """Requirements of a request on its upstream.

    :param level: priority level, 0 for the most urgent.
    :param urgency: the priority level scaled to 1 (most urgent) to 0 (least urgent).
    :param model: model whose weights must be loaded; empty for plain services.
    :param minimum_version: lowest permitted version of the weights.
    :param max_forecast_s: longest forecast time to first token with which the request is sent, in
        seconds; above it, the request waits for another engine or for a shorter backlog.
    :param was_queued: whether the request waited for capacity, probably like requests on other
        hosts; it then counts against the queued quota.
    :param excluded: instances that already received this request.
    :param allowed_regions: regions whose upstreams may serve the request; None for any. The caller
        of :meth:`UpstreamSelector.choose` leaves out the other upstreams.
    """

    level: int
    urgency: float = 0.0
    prompt_tokens: int = 0
    model: str = ""
    minimum_version: int = 0
    max_forecast_s: float = math.inf
    was_queued: bool = False
    excluded: frozenset[str] = frozenset()
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The upstream chosen for a request, with the load that the decision was based on.

    :param forecast_s: forecast time to the first token or to the response, in seconds.
    :param running: requests in the upstream's batch according to its last report.
    :param waiting: requests accepted but not started according to its last report.
    :param unreported: own requests sent too late to be included in the report.
    :param occupied: estimated requests on the upstream, from the last report if it is recent.
    :param last_pace: factor on the upstream's timings in its last report, however old; above 1 is
        slower.
    :param version: version of the weights that the upstream is expected to hold, 0 for plain
        services.
    :param number: number of the attempt for :meth:`UpstreamSelector.end`; 0 before
        :meth:`UpstreamSelector.begin`.
    """

    record: UpstreamRecord
    forecast_s: float
    running: int
    waiting: int
    unreported: int
    report_age_s: float | None
    occupied: int = 0
    last_pace: float = 1.0
    version: int = 0
    number: int = 0


class UpstreamSelector:
    """Chooses upstreams and tracks their state as seen by this host.

    :param availability_zone: availability zone of this host.
    :param permits: returns whether a request of a priority level may be sent to an upstream under
        its limit.
    :param cold_pace: returns the lowest factor on the timings of an upstream, above 1 just after its
        start.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        availability_zone: str,
        random_source: random.Random,
        permits: Callable[[UpstreamRecord, int], bool] = lambda record, level: True,
        cold_pace: Callable[[UpstreamRecord], float] = lambda record: 1.0,
    ) -> None:
        self._clock = clock
        self._zone = availability_zone
        self._random = random_source
        self._permits = permits
        self._cold_pace = cold_pace
        self._views_by_instance: dict[str, UpstreamView] = {}
        #: Views whose own use may differ from the announced one, in the order of the changes.
        self._changed_by_instance: dict[str, UpstreamView] = {}
        self._last_attempt_number = 0
        #: Number of entry hosts that send to the same engines, this one included.
        self.entry_hosts = 1
        #: Addresses (``IP:PORT``) of the engines that send load reports to this host.
        self.engine_subset: frozenset[str] = frozenset()
        #: Cache of :meth:`list_subset`: records and addresses of its last call, and the records at
        #: these addresses.
        self._subset_cache_key: tuple[Sequence[UpstreamRecord], frozenset[str]] = ((), frozenset())
        self._subset_records: tuple[UpstreamRecord, ...] = ()
        #: Called when the own use of an upstream may differ from the announced one.
        self.on_use_changed: Callable[[], None] = lambda: None

    # Queries

    def view(self, instance: str) -> UpstreamView:
        """Return the view of an upstream, creating it if needed."""
        view = self._views_by_instance.get(instance)
        if view is None:
            view = UpstreamView(instance, CircuitBreaker(clock=self._clock))
            self._views_by_instance[instance] = view
        return view

    def list_subset(
        self, records: Sequence[UpstreamRecord], requirements: Requirements
    ) -> Sequence[UpstreamRecord]:
        """Return the engines of the subset that may serve a request, or all engines if none may.

        Load reports arrive only from engines of the subset.

        :param records: all engines of the service; callers pass the same object until they change.
        """
        key = (records, self.engine_subset)
        if key[0] is not self._subset_cache_key[0] or key[1] is not self._subset_cache_key[1]:
            self._subset_cache_key = key
            self._subset_records = tuple(
                record for record in records if str(record.address) in self.engine_subset
            )
        minimum = max(1, requirements.minimum_version)
        eligible = [
            record
            for record in self._subset_records
            if self.find_version(record, requirements.model) >= minimum
        ]
        return eligible or records

    def choose(
        self,
        records: Iterable[UpstreamRecord],
        requirements: Requirements,
        *,
        profile: EngineProfile | None,
        leaving: frozenset[str] = frozenset(),
        ignore_capacity: bool = False,
        latest_start: Callable[[int], float] = lambda version: math.inf,
    ) -> Choice | None:
        """Return the upstream for a request, or None while none has capacity.

        :param records: upstreams of the service.
        :param profile: timings of the engines; None for plain services.
        :param leaving: instances that are leaving and used only if no other has capacity.
        :param ignore_capacity: whether an upstream without capacity may be chosen.
        :param latest_start: returns the monotonic time until which a request may start on a version
            of the weights. A request that is forecast to start later would be withdrawn from the
            engine, so it waits for another one.
        """
        now = self._clock.monotonic()
        choices: list[tuple[float, Choice]] = []
        # Whether a healthy upstream lacks capacity only for now: waiting for it is better than
        # sending the request to one that does not respond.
        may_wait = False
        for record in records:
            if record.instance in requirements.excluded:
                continue
            if not self._permits(record, requirements.level):
                continue
            view = self.view(record.instance)
            version = self.find_version(record, requirements.model) if requirements.model else 0
            if requirements.model and version < max(1, requirements.minimum_version):
                continue
            has_pending_probe = profile is not None and view.has_pending_probe(now)
            if has_pending_probe and not ignore_capacity:
                continue
            is_last_resort = (
                not view.breaker.allows() or view.is_unresponsive(now) or has_pending_probe
            )
            choice = self._evaluate(
                record, view, requirements, profile, now, ignore_capacity, version
            )
            if choice is None:
                may_wait = may_wait or not is_last_resort
                continue
            if (
                requirements.model
                and not ignore_capacity
                and now + choice.forecast_s > latest_start(version)
            ):
                continue
            cost = choice.forecast_s + view.failure_rate * FAILURE_PENALTY_S
            if record.availability_zone != self._zone:
                cost += CROSS_ZONE_PENALTY_S
            if is_last_resort:
                cost += LAST_RESORT_PENALTY_S
            has_stopped_reporting = profile is not None and self._has_stopped_reporting(view, now)
            if record.instance in leaving or has_stopped_reporting:
                cost += 5.0
            choices.append((cost, choice))
        if not choices:
            return None
        best = min(cost for cost, _ in choices)
        if best >= LAST_RESORT_PENALTY_S and may_wait:
            return None
        if profile is None:
            return self._random.choice([c for cost, c in choices if cost <= best + TIE_TOLERANCE_S])
        return self._choose_engine(choices, best)

    def _choose_engine(self, choices: Sequence[tuple[float, Choice]], best: float) -> Choice:
        """Return one of the choices at random; cheaper ones are more likely.

        :param best: cost of the cheapest one.
        """
        candidates = [
            (cost, choice)
            for cost, choice in choices
            if cost <= best + TIE_TOLERANCE_S or choice.record.availability_zone == self._zone
        ]
        weights = [math.exp((best - cost) / COST_SPREAD_S) for cost, _ in candidates]
        return self._random.choices([choice for _, choice in candidates], weights)[0]

    def find_version(self, record: UpstreamRecord, model: str) -> int:
        """Return the version of a model's weights that an upstream holds, 0 if none."""
        view = self._views_by_instance.get(record.instance)
        versions = record.version_by_model
        report = view.report if view is not None else None
        if report is not None and self._clock.monotonic() - report.received_at < REPORT_MAX_AGE_S:
            versions = report.version_by_model
        return next((version for name, version in versions if name == model), 0)

    def describe(self) -> dict[str, object]:
        """Return the views of all upstreams in the format of the state dump."""
        now = self._clock.monotonic()
        return {
            view.instance: {
                "own": len(view.in_flight_by_number),
                "failure_rate": round(view.failure_rate, 3),
                "pace": round(view.pace.value(now), 2),
                "report": (
                    None
                    if view.report is None
                    else {
                        "age_s": round(now - view.report.received_at, 3),
                        "running": view.report.running,
                        "waiting": view.report.waiting,
                    }
                ),
            }
            for view in self._views_by_instance.values()
        }

    # Commands

    def update_report(
        self, instance: str, report: LoadReport, *, profile: EngineProfile | None = None
    ) -> None:
        """Store the newest load report of an upstream.

        :param profile: timings of the engine; None for plain services.
        """
        view = self.view(instance)
        if is_plausible_pace(report.pace):
            view.pace.add(report.pace, at=report.received_at)
        else:
            if not view.has_implausible_pace:
                view.has_implausible_pace = True
                code = codes.INVALID_FIELD.number
                _log.warning("pace ignored", upstream=instance, pace=str(report.pace), code=code)
            report = replace(report, pace=1.0)
        view.report = report
        view.load.add(min(MAX_LOAD, report.running + report.waiting), at=report.received_at)
        view.queued_quota = math.inf
        if profile is not None and report.use_by_others is not None:
            share = self._compute_backlog_share(view, report.use_by_others, profile)
            # Randomized rounding gives the right total over all hosts without coordination.
            view.queued_quota = int(share) + (self._random.random() < share % 1)

    def _compute_backlog_share(
        self, view: UpstreamView, use_by_others: EngineUse, profile: EngineProfile
    ) -> float:
        """Return the number of queued requests that this host may send to an engine."""
        backlog_tokens = view.own_use.pending_prompt_tokens + use_by_others.pending_prompt_tokens
        prompts = MAX_PREFILL_BACKLOG_PROMPTS - backlog_tokens / max(
            1.0, profile.mean_prompt_tokens
        )
        return max(0.0, prompts) / max(1, self.entry_hosts)

    def pop_changed_uses(self) -> list[tuple[str, EngineUse]]:
        """Return the own use that was not announced yet, as pairs of instance and use.

        The returned uses count as announced.
        """
        changed = []
        candidates, self._changed_by_instance = self._changed_by_instance, {}
        for view in candidates.values():
            use = view.own_use
            if use != view.announced_use:
                view.announced_use = use
                changed.append((view.instance, use))
        return changed

    def reset_announced_use(self, instance: str) -> None:
        """Make the own use due for another announcement.

        The process on the engine's host may have restarted and lost the last one.
        """
        view = self._views_by_instance.get(instance)
        if view is not None:
            view.announced_use = NO_USE
            self._mark_use_changed(view)

    def _mark_use_changed(self, view: UpstreamView) -> None:
        """Record that the own use of an upstream may differ from the announced one."""
        self._changed_by_instance[view.instance] = view
        self.on_use_changed()

    def begin(self, choice: Choice, requirements: Requirements) -> Choice:
        """Record that a request is being sent; return the choice with its attempt number."""
        self._last_attempt_number += 1
        view = self.view(choice.record.instance)
        view.breaker.record_attempt()
        now = self._clock.monotonic()
        if requirements.was_queued:
            view.queued_quota -= 1
        view.in_flight_by_number[self._last_attempt_number] = InFlightRequest(
            now, requirements.prompt_tokens, overdue_at=now + choice.forecast_s + OVERDUE_MARGIN_S
        )
        self._mark_use_changed(view)
        return replace(choice, number=self._last_attempt_number)

    def record_output(self, choice: Choice) -> None:
        """Record that output of a request arrived."""
        view = self.view(choice.record.instance)
        request = view.in_flight_by_number.get(choice.number)
        if request is not None:
            if not request.has_output:
                request.has_output = True
                self._mark_use_changed(view)
            view.last_output_at = self._clock.monotonic()

    def end(self, choice: Choice, *, failed: bool | None) -> None:
        """Record that a request finished.

        :param failed: whether the upstream failed; None if the outcome does not show it.
        """
        view = self.view(choice.record.instance)
        view.in_flight_by_number.pop(choice.number, None)
        self._mark_use_changed(view)
        if failed is None:
            return
        self._record_outcome(view, failed=failed)

    def record_failure(self, choice: Choice) -> None:
        """Record that an upstream failed a request that it may still answer."""
        self._record_outcome(self.view(choice.record.instance), failed=True)

    @staticmethod
    def _record_outcome(view: UpstreamView, *, failed: bool) -> None:
        view.failure_rate += FAILURE_RATE_SMOOTHING * (float(failed) - view.failure_rate)
        if failed:
            view.breaker.record_failure()
        else:
            view.breaker.record_success()

    def retain(self, instances: Container[str]) -> None:
        """Drop the views of all other upstreams without in-flight requests of this host."""
        for instance, view in list(self._views_by_instance.items()):
            if instance not in instances and not view.in_flight_by_number:
                del self._views_by_instance[instance]
                self._changed_by_instance.pop(instance, None)

    def _evaluate(
        self,
        record: UpstreamRecord,
        view: UpstreamView,
        requirements: Requirements,
        profile: EngineProfile | None,
        now: float,
        ignore_capacity: bool,
        version: int,
    ) -> Choice | None:
        """Return the choice of one upstream with its forecast, or None if it lacks capacity."""
        report = view.report
        age = None if report is None else now - report.received_at
        is_fresh = report is not None and age is not None and age < REPORT_MAX_AGE_S
        own = view.own_use
        backlog_tokens = own.pending_prompt_tokens
        if is_fresh and report is not None:
            if report.is_loading and not ignore_capacity:
                return None
            if requirements.was_queued and view.queued_quota < 1 and not ignore_capacity:
                return None
            if report.use_by_others is not None:
                unreported = view.estimate_unreported_use_by_others(self.entry_hosts)
                reported = report.use_by_others
                occupied = own.open_requests + reported.open_requests + unreported.open_requests
                backlog_tokens += reported.pending_prompt_tokens + unreported.pending_prompt_tokens
            else:
                occupied = report.running + report.waiting + view.count_unreported()
        elif report is not None and profile is None:
            occupied = round(view.load.value(now)) + view.count_unreported()
        else:
            # Assumes that the other entry hosts send about as many requests as this one.
            occupied = own.open_requests * max(1, self.entry_hosts)
        slots = max(1, record.slots if profile is None else profile.slots)
        excess = occupied + 1 - slots
        pace = max(view.pace.value(now), self._cold_pace(record))
        if profile is None:
            forecast = PLAIN_SERVICE_LATENCY_S * pace * (1 + occupied / slots)
        else:
            max_excess = (
                LEAST_URGENT_EXCESS_REQUESTS
                + (MOST_URGENT_EXCESS_REQUESTS - LEAST_URGENT_EXCESS_REQUESTS)
                * requirements.urgency
            )
            if excess > max_excess and not ignore_capacity:
                return None
            engine = EngineForecast(profile, pace=pace)
            forecast = engine.time_to_first_token_s(
                queued_ahead=max(0, excess),
                batch_size=min(occupied, slots),
                prompt_tokens=requirements.prompt_tokens + backlog_tokens,
            )
            without_backlog = engine.time_to_first_token_s(
                queued_ahead=0,
                batch_size=min(occupied, slots),
                prompt_tokens=requirements.prompt_tokens,
            )
            # A request that is late even without a backlog is sent: waiting would not help it.
            if forecast > max(requirements.max_forecast_s, without_backlog) and not ignore_capacity:
                return None
        return Choice(
            record=record,
            forecast_s=forecast,
            running=report.running if report is not None else 0,
            waiting=report.waiting if report is not None else 0,
            unreported=view.count_unreported(),
            report_age_s=age,
            occupied=occupied,
            last_pace=report.pace if report is not None else 1.0,
            version=version,
        )

    def _has_stopped_reporting(self, view: UpstreamView, now: float) -> bool:
        """Return whether the reports of an engine are overdue.

        Plain services report only with their responses.
        """
        return view.report is not None and now - view.report.received_at > REPORT_TIMEOUT_S
