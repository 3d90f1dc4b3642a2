"""Which upstream a request is sent to, from shared load reports and this host's own requests.

Answers bursts on engines that batch: a request goes where its first token is forecast to come
first, and waits here while no engine has room, so that more urgent ones can still pass it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass, field, replace

from sycamoreproxy.clock import Clock
from sycamoreproxy.engine_forecast import EngineForecast
from sycamoreproxy.messages import EngineUse
from sycamoreproxy.retries import CircuitBreaker
from sycamoreproxy.route_table import EngineProfile
from sycamoreproxy.upstream_book import UpstreamRecord

#: Requests beyond the batch that an engine may be given if they are the most urgent, and if they
#: are the least urgent. The engine admits the more urgent first, so urgent requests wait there and
#: not for the next report. Two free slots cost 7 in 100 of the rate: 16 give 8.7 requests a second,
#: 14 give 8.1.
URGENT_ROOM = 4
LAST_ROOM = -2
#: A load report is used for this time, in seconds; afterwards own requests are all that is known.
REPORT_FRESH_S = 1.0
#: Age of a report on arrival, in seconds: requests sent in this time are not in it yet.
REPORT_DELAY_S = 0.02
#: Part of the own requests since a report that each other entry host is taken to have sent since,
#: too. Hosts see the same reports: an engine that has just loaded gets requests of all of them at
#: once.
HERD_FRACTION = 0.5
#: Prompts of usual length that all hosts' waiting requests may add to what an engine still has to
#: read. It reads them all before its next events: three take 125 ms, sixteen would stop its running
#: streams for longer than their longest pause.
BACKLOG_PROMPTS = 3.0
#: An engine whose reports stopped for this long is used only if no other has room, in seconds.
#: Reports come every 0.1 s, so this is no jitter of the network.
REPORT_LOST_S = 0.6
#: Forecasts that differ by less than this are equal, in seconds: all entry hosts see the same
#: reports and would otherwise choose the same engine.
SPREAD_S = 0.01
#: Added to the forecast of an upstream in another availability zone, in seconds: traffic between
#: zones is slower and shares narrow links.
OTHER_ZONE_S = 0.03
#: Forecast of a request to a plain service, whose timings are not published, in seconds: a usual
#: look-up; each full set of slots before it adds as much.
PLAIN_SERVICE_S = 0.05
#: Age up to which the pace that a plain service told with an answer is used, in seconds. Hosts shared
#: with others change their pace many times a second.
PACE_FRESH_S = 0.2
#: Weight of the newest outcome in the mean of failures.
FAILURE_WEIGHT = 0.15
#: Added to the forecast per part of failed requests, in seconds.
FAILURE_PENALTY_S = 1.0
#: Time beyond its forecast after which a request without output is overdue, in seconds: more than a
#: prompt that is read before it takes, less than callers of urgent requests wait.
OVERDUE_S = 0.5
#: Overdue requests with which an engine that sent nothing since is taken for mute; a single one may
#: be a lost answer.
MUTE_OVERDUE = 2
#: Added to the forecast of an upstream that is mute or fails every request, in seconds: more than
#: any wait, so that it is used only where no other upstream exists.
LAST_RESORT_S = 10.0


#: Use of an engine by a host that has nothing there.
NO_USE = EngineUse(0, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an upstream at one time.

    :param received_at: monotonic time of receipt.
    :param running: requests being processed.
    :param waiting: requests accepted and not begun.
    :param use_by_others: what other entry hosts have at the engine; None if not told.
    """

    received_at: float
    running: int
    waiting: int
    pace: float = 1.0
    is_loading: bool = False
    version_by_model: tuple[tuple[str, int], ...] = ()
    use_by_others: EngineUse | None = None


@dataclass(slots=True)
class OwnAttempt:
    """A request that this host has sent to an upstream and that has not ended."""

    sent_at: float
    prompt_tokens: int
    overdue_at: float
    has_output: bool = False


@dataclass(slots=True)
class UpstreamView:
    """What this host knows of one upstream.

    :param failure_rate: moving mean of failed requests.
    :param output_at: monotonic time of the last output of any request.
    :param allowance: requests that waited and may be sent until the next report.
    :param announced_use: the own use that the process beside the engine was told last.
    """

    instance: str
    breaker: CircuitBreaker
    report: LoadReport | None = None
    own_by_number: dict[int, OwnAttempt] = field(default_factory=dict)
    failure_rate: float = 0.0
    output_at: float = 0.0
    allowance: float = math.inf
    announced_use: EngineUse = NO_USE

    @property
    def own_use(self) -> EngineUse:
        """What this host has at the upstream."""
        return EngineUse(
            len(self.own_by_number),
            sum(own.prompt_tokens for own in self.own_by_number.values() if not own.has_output),
        )

    def is_mute(self, now: float) -> bool:
        """Return whether requests are overdue and nothing has come since the first was sent.

        Its reports and health answers may look well meanwhile.
        """
        overdue = [
            own.sent_at
            for own in self.own_by_number.values()
            if not own.has_output and now >= own.overdue_at
        ]
        return len(overdue) >= MUTE_OVERDUE and self.output_at < min(overdue)

    def count_unseen(self) -> int:
        """Return own requests that the last report can't contain."""
        return len(self._list_unseen())

    def estimate_herd(self, entry_hosts: int) -> EngineUse:
        """Return what other entry hosts are taken to have sent since the last report."""
        unseen = self._list_unseen()
        others = (entry_hosts - 1) * HERD_FRACTION
        return EngineUse(
            round(others * len(unseen)), round(others * sum(own.prompt_tokens for own in unseen))
        )

    def _list_unseen(self) -> list[OwnAttempt]:
        if self.report is None:
            return list(self.own_by_number.values())
        seen_until = self.report.received_at - REPORT_DELAY_S
        return [own for own in self.own_by_number.values() if own.sent_at >= seen_until]


@dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """What a request needs.

    :param level: place in the order of urgency, 0 for the first.
    :param urgency: the same as a part from 1 (first) to 0 (last).
    :param model: model whose weights must be loaded; empty for plain services.
    :param minimum_version: lowest version of the weights that may answer.
    :param longest_forecast_s: longest forecast time to the first token with which it is sent, in
        seconds; with a longer one it waits for another engine or for those before it.
    :param has_waited: whether it waited for room, as requests at other hosts did.
    :param excluded: instances that this request was sent to before.
    """

    level: int
    urgency: float = 0.0
    prompt_tokens: int = 0
    model: str = ""
    minimum_version: int = 0
    longest_forecast_s: float = math.inf
    has_waited: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A decision to send a request to an upstream.

    :param forecast_s: forecast time to the first token or the answer, in seconds.
    :param running: requests in the upstream's batch by its last report.
    :param waiting: requests that it had accepted and not begun by its last report.
    :param unseen: own requests that the report can't contain.
    :param occupied: requests believed to be there, from whichever source is newer.
    :param version: version of the weights that it is believed to hold, 0 for plain services.
    :param number: of the attempt that was begun with it, for :meth:`UpstreamSelector.end`; 0 if none was.
    """

    record: UpstreamRecord
    forecast_s: float
    running: int
    waiting: int
    unseen: int
    report_age_s: float | None
    occupied: int = 0
    version: int = 0
    number: int = 0


class UpstreamSelector:
    """Chooses upstreams and keeps this host's view of them.

    :param availability_zone: zone of this host.
    """

    def __init__(
        self, *, clock: Clock, availability_zone: str, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._zone = availability_zone
        self._random = random_source
        self._views_by_instance: dict[str, UpstreamView] = {}
        #: Views whose own use may differ from what was told, in the order of the changes.
        self._touched_by_instance: dict[str, UpstreamView] = {}
        self._number = 0
        #: Entry hosts that send to the same engines, this one included.
        self.entry_hosts = 1
        #: Addresses of the engines whose load reports come here.
        self.engine_subset: frozenset[str] = frozenset()
        #: Records and followed addresses of the last call of :meth:`list_followed`, and those of the
        #: records that are followed.
        self._followed_basis: tuple[Sequence[UpstreamRecord], frozenset[str]] = ((), frozenset())
        self._followed_records: tuple[UpstreamRecord, ...] = ()
        #: Called when the own use of an upstream may differ from what was told.
        self.on_use_changed: Callable[[], None] = lambda: None

    # Queries

    def view(self, instance: str) -> UpstreamView:
        """Return the view of an upstream; a new one if it was not seen before."""
        view = self._views_by_instance.get(instance)
        if view is None:
            view = UpstreamView(instance, CircuitBreaker(clock=self._clock))
            self._views_by_instance[instance] = view
        return view

    def list_followed(
        self, records: Sequence[UpstreamRecord], need: Need
    ) -> Sequence[UpstreamRecord]:
        """Return the engines whose load is known, or all if none of those may serve a request.

        :param records: the same object until the listed upstreams change.
        """
        basis = (records, self.engine_subset)
        if basis[0] is not self._followed_basis[0] or basis[1] is not self._followed_basis[1]:
            self._followed_basis = basis
            self._followed_records = tuple(
                record for record in records if str(record.address) in self.engine_subset
            )
        lowest = max(1, need.minimum_version)
        followed = [
            record
            for record in self._followed_records
            if self.find_version(record, need.model) >= lowest
        ]
        return followed or records

    def choose(
        self,
        records: Iterable[UpstreamRecord],
        need: Need,
        *,
        profile: EngineProfile | None,
        is_leaving: frozenset[str] = frozenset(),
        any_room: bool = False,
        begin_by: Callable[[int], float] = lambda version: math.inf,
    ) -> Choice | None:
        """Return the upstream for a request, or None while none has room.

        :param records: upstreams of the service.
        :param profile: timings of the engines; None for plain services.
        :param is_leaving: instances that are used only if no other has room.
        :param any_room: whether an upstream without room may be chosen.
        :param begin_by: returns the monotonic time until which a request may begin on a version;
            one that is forecast to begin later would be taken back, so it waits for another engine.
        """
        now = self._clock.monotonic()
        choices: list[tuple[float, Choice]] = []
        # Whether an upstream that answers has no room now: waiting for it is better than sending
        # to one that does not.
        may_wait = False
        for record in records:
            if record.instance in need.excluded:
                continue
            view = self.view(record.instance)
            version = self.find_version(record, need.model) if need.model else 0
            if need.model and version < max(1, need.minimum_version):
                continue
            is_last_resort = not view.breaker.allows() or view.is_mute(now)
            choice = self._weigh(record, view, need, profile, now, any_room, version)
            if choice is None:
                may_wait = may_wait or not is_last_resort
                continue
            if need.model and not any_room and now + choice.forecast_s > begin_by(version):
                continue
            cost = choice.forecast_s + view.failure_rate * FAILURE_PENALTY_S
            if record.availability_zone != self._zone:
                cost += OTHER_ZONE_S
            if is_last_resort:
                cost += LAST_RESORT_S
            is_silent = profile is not None and self._is_silent(view, now)
            if record.instance in is_leaving or is_silent:
                cost += 5.0
            choices.append((cost, choice))
        if not choices:
            return None
        best = min(cost for cost, _ in choices)
        if best >= LAST_RESORT_S and may_wait:
            return None
        return self._random.choice([c for cost, c in choices if cost <= best + SPREAD_S])

    def find_version(self, record: UpstreamRecord, model: str) -> int:
        """Return the version of a model that an upstream holds, 0 if none."""
        view = self._views_by_instance.get(record.instance)
        held = record.version_by_model
        report = view.report if view is not None else None
        if report is not None and self._clock.monotonic() - report.received_at < REPORT_FRESH_S:
            held = report.version_by_model
        return next((version for name, version in held if name == model), 0)

    def describe(self) -> dict[str, object]:
        """Return the views for a dump."""
        now = self._clock.monotonic()
        return {
            view.instance: {
                "own": len(view.own_by_number),
                "failure_rate": round(view.failure_rate, 3),
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
        """Take a newer load report.

        :param profile: timings of the engine; None if the report is no engine's.
        """
        view = self.view(instance)
        view.report = report
        view.allowance = math.inf
        if profile is not None and report.use_by_others is not None:
            share = self._share_backlog(view, report.use_by_others, profile)
            # Hosts that draw at random take the right number together without any agreement.
            view.allowance = int(share) + (self._random.random() < share % 1)

    def _share_backlog(
        self, view: UpstreamView, elsewhere: EngineUse, profile: EngineProfile
    ) -> float:
        """Return this host's part, in requests, of what waiting requests may add at an engine."""
        unread = view.own_use.pending_prompt_tokens + elsewhere.pending_prompt_tokens
        prompts = BACKLOG_PROMPTS - unread / max(1.0, profile.mean_prompt_tokens)
        return max(0.0, prompts) / max(1, self.entry_hosts)

    def pop_changed_uses(self) -> list[tuple[str, EngineUse]]:
        """Return the own use by instance where it changed since the last call."""
        changed = []
        touched, self._touched_by_instance = self._touched_by_instance, {}
        for view in touched.values():
            use = view.own_use
            if use != view.announced_use:
                view.announced_use = use
                changed.append((view.instance, use))
        return changed

    def reset_announced_use(self, instance: str) -> None:
        """Tell the own use again: the process beside the engine may not know it."""
        view = self._views_by_instance.get(instance)
        if view is not None:
            view.announced_use = NO_USE
            self._touch(view)

    def _touch(self, view: UpstreamView) -> None:
        """Note that the own use of an upstream may differ from what was told."""
        self._touched_by_instance[view.instance] = view
        self.on_use_changed()

    def begin(self, choice: Choice, need: Need) -> Choice:
        """Note that a request is sent; return the choice with its number."""
        self._number += 1
        view = self.view(choice.record.instance)
        view.breaker.record_attempt()
        now = self._clock.monotonic()
        if need.has_waited:
            view.allowance -= 1
        view.own_by_number[self._number] = OwnAttempt(
            now, need.prompt_tokens, overdue_at=now + choice.forecast_s + OVERDUE_S
        )
        self._touch(view)
        return replace(choice, number=self._number)

    def record_output(self, choice: Choice) -> None:
        """Note that output of a request arrived."""
        view = self.view(choice.record.instance)
        own = view.own_by_number.get(choice.number)
        if own is not None:
            if not own.has_output:
                own.has_output = True
                self._touch(view)
            view.output_at = self._clock.monotonic()

    def end(self, choice: Choice, *, failed: bool | None) -> None:
        """Note that a request ended.

        :param failed: whether the upstream failed it; None if the outcome says nothing of it.
        """
        view = self.view(choice.record.instance)
        view.own_by_number.pop(choice.number, None)
        self._touch(view)
        if failed is None:
            return
        view.failure_rate += FAILURE_WEIGHT * (float(failed) - view.failure_rate)
        if failed:
            view.breaker.record_failure()
        else:
            view.breaker.record_success()

    def retain(self, instances: Container[str]) -> None:
        """Drop the views of all other upstreams that no request of this host is at."""
        for instance, view in list(self._views_by_instance.items()):
            if instance not in instances and not view.own_by_number:
                del self._views_by_instance[instance]
                self._touched_by_instance.pop(instance, None)

    def _weigh(
        self,
        record: UpstreamRecord,
        view: UpstreamView,
        need: Need,
        profile: EngineProfile | None,
        now: float,
        any_room: bool,
        version: int,
    ) -> Choice | None:
        report = view.report
        age = None if report is None else now - report.received_at
        fresh = report is not None and age is not None and age < REPORT_FRESH_S
        own = view.own_use
        unread = own.pending_prompt_tokens
        if fresh and report is not None:
            if report.is_loading and not any_room:
                return None
            if need.has_waited and view.allowance < 1 and not any_room:
                return None
            if report.use_by_others is not None:
                herd = view.estimate_herd(self.entry_hosts)
                elsewhere = report.use_by_others
                occupied = own.open_requests + elsewhere.open_requests + herd.open_requests
                unread += elsewhere.pending_prompt_tokens + herd.pending_prompt_tokens
            else:
                occupied = report.running + report.waiting + view.count_unseen()
        else:
            # Other entry hosts send about as many as this one.
            occupied = own.open_requests * max(1, self.entry_hosts)
        slots = max(1, record.slots if profile is None else profile.slots)
        over = occupied + 1 - slots
        if profile is None:
            pace = (
                report.pace
                if report is not None and now - report.received_at < PACE_FRESH_S
                else 1.0
            )
            forecast = PLAIN_SERVICE_S * pace * (1 + occupied / slots)
        else:
            room = LAST_ROOM + (URGENT_ROOM - LAST_ROOM) * need.urgency
            if over > room and not any_room:
                return None
            engine = EngineForecast(profile, pace=report.pace if fresh and report else 1.0)
            forecast = engine.first_token_s(
                ahead=max(0, over),
                writers=min(occupied, slots),
                prompt_tokens=need.prompt_tokens + unread,
            )
            alone = engine.first_token_s(
                ahead=0, writers=min(occupied, slots), prompt_tokens=need.prompt_tokens
            )
            # What is late even without others before it would otherwise wait in vain.
            if forecast > max(need.longest_forecast_s, alone) and not any_room:
                return None
        return Choice(
            record=record,
            forecast_s=forecast,
            running=report.running if report is not None else 0,
            waiting=report.waiting if report is not None else 0,
            unseen=view.count_unseen(),
            report_age_s=age,
            occupied=occupied,
            version=version,
        )

    def _is_silent(self, view: UpstreamView, now: float) -> bool:
        """Return whether an engine's reports stopped; a plain service reports only with answers."""
        return view.report is not None and now - view.report.received_at > REPORT_LOST_S
