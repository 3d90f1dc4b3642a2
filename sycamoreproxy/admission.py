"""Admission control and fair queuing for one engine or service.

Scheduling order: a rank that is behind its guaranteed share is served first, otherwise the most
urgent rank. Within a rank, accounts behind their guaranteed share are served first; the others
follow start-time fair queuing by weight (Goyal, Vin, Cheng 1996). The cost of a request is its
token count, estimated at first and corrected as tokens arrive. Unused share is available to
others.

The window is the number of requests of any kind that may run in the engine at once, and a slot is
one place in it. Only entitled requests start above the window, up to a reserve: those whose rank
or account has credit, or whose rank lags. Lag is guaranteed minus received service.

Ranks are charged engine time rather than tokens, because a share is a fraction of the engine's
capacity and the tokens per second of engine time depend on prompt length, which differs between
ranks. Engine time is estimated from tokens, using the measured times of the rank's finished
requests.

Scheduling decisions perform no I/O and use no randomness; the time comes from the injected clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from sycamoreproxy.clock import Clock
from sycamoreproxy.result_codes import DEADLINE_UNREACHABLE, QUEUE_FULL, Executed, Refusal
from sycamoreproxy.settings import RANKS

#: Smoothing factor (alpha) of the exponential moving averages.
_EMA_ALPHA = 0.05
#: Half-life of an estimate that receives no samples, in seconds; it starts this long after the last
#: sample. Without decay, an estimate high enough to refuse all work would never be corrected.
_ESTIMATE_HALF_LIFE_S = 1.0
#: Time constants of a rank's observed start rate, in seconds, while requests are waiting and while
#: none are. The third value is the weight, as seconds of observation, of the prior in the start
#: rate's estimate; the prior is the rate from :meth:`AdmissionQueue._derive_start_rate`.
_START_RATE_TIME_CONSTANT_S, _START_RATE_IDLE_TIME_CONSTANT_S, _START_RATE_PRIOR_S = 3.0, 5.0, 0.5
#: Time constant of an account's arrival rate, in seconds.
_ARRIVAL_RATE_TIME_CONSTANT_S = 2.0
#: Time constant of the rate that decides whether an account demands less than its fair share, in
#: seconds. With 2 s, a burst of six requests made an account at half its share appear to exceed
#: the share, and its requests were refused.
_DEMAND_RATE_TIME_CONSTANT_S = 10.0
#: Time after its last arrival for which an account counts as competing, in seconds.
_ACCOUNT_ACTIVE_S = 3.0 * _ARRIVAL_RATE_TIME_CONSTANT_S
#: Fraction of the time to the deadline that a predicted wait may take up; adapted per rank. Bounds
#: and initial value; the decrease after a late request and the shortest time between two decreases
#: in seconds; and the fraction of late requests at which it is stable.
_MIN_WAIT_FRACTION, _MAX_WAIT_FRACTION, _INITIAL_WAIT_FRACTION = 0.35, 1.0, 0.8
_WAIT_FRACTION_STEP = 0.05
_WAIT_FRACTION_STEP_PERIOD_S = 0.5
_TARGET_LATE_FRACTION = 0.02
#: Fraction of the time to the deadline that the predicted wait for a slot may take up. The slot
#: wait is not predicted if the time to the deadline is more than ``_SLOT_CHECK_MULTIPLE`` times a
#: request's engine time, because the end times of single requests average out over that time.
_SLOT_WAIT_FRACTION = 0.8
_SLOT_CHECK_MULTIPLE = 1.25
#: A request is served before others of its rank if it would be late after this many more starts.
_DEADLINE_SLACK_STARTS = 3.0
#: A rank without waiting requests keeps its positive lag if it refused a request within this time,
#: in seconds: it has demand that is not queued only because it was refused at admission.
_LAG_KEPT_AFTER_REFUSAL_S = 2.0
#: Credit is earned at this fraction of the entitled rate: for the most urgent rank, its guaranteed
#: fraction of the work that is started; for an account, its fair part of the work that its rank
#: starts. An account or rank that always uses its whole entitlement therefore has none.
_CREDIT_EARN_FRACTION = 0.9
#: Largest burst that the most urgent rank may start on credit, in multiples of the engine time of
#: a full window of its mean requests.
_RANK_BURST_WINDOWS = 2.0
#: Largest burst that an account may start on credit, in requests.
_ACCOUNT_BURST_REQUESTS = 8.0
#: Time constant of the mean number of running entitled requests, in seconds.
_ENTITLED_MEAN_TIME_CONSTANT_S = 10.0
#: When fewer entitled requests run than this mean, this fraction of the difference is kept free of
#: other requests.
_ENTITLED_RESERVE_FRACTION = 0.5
#: Engine time per token assumed until a request has finished, in seconds.
_INITIAL_SECONDS_PER_COST = 0.005
#: A cancelled request is charged at least this fraction of its estimated cost, for its prompt.
_MIN_CHARGED_FRACTION = 0.25
#: Lower bound of an account weight, so that an account with weight 0 still makes progress.
_MIN_WEIGHT = 1e-3
#: Number of accounts in a rank, idle or not, above which idle ones are evicted.
_MAX_ACCOUNTS_BEFORE_EVICTION = 256


class RowShares(Protocol):
    """The cells of a row of the operators' table that affect scheduling."""

    @property
    def weight(self) -> float:
        """Weight relative to other accounts of the rank."""

    @property
    def share(self) -> float:
        """Guaranteed fraction of the capacity."""


class SharePolicy(Protocol):
    """The part of a view of the operators' table that affects scheduling."""

    @property
    def revision(self) -> int:
        """Revision of the table that this view shows."""

    def resolve(self, model: str, client_account: str, rank: str) -> RowShares:
        """Return the effective row of an account."""

    def rank_policy(self, model: str, rank: str) -> RowShares:
        """Return the row of a rank that applies to all client accounts."""


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One attempt that is waiting in the queue or running in the engine.

    :param cost: estimated tokens; 1 for a service.
    :param deadline_at: monotonic time by which the first token is due, in seconds.
    :param predicted_wait_s: wait predicted at admission, in seconds.
    :param charged_cost: cost charged to the account so far.
    :param charged_engine_s: engine time charged to the rank so far, in seconds.
    :param tokens: tokens received so far.
    :param is_entitled: whether it started within the entitlement of its rank or account.
    """

    attempt_id: str
    client_account: str
    rank: str
    cost: float
    deadline_at: float
    arrived_at: float = 0.0
    started_at: float = 0.0
    first_output_at: float = 0.0
    predicted_wait_s: float = 0.0
    charged_cost: float = 0.0
    charged_engine_s: float = 0.0
    tokens: int = 0
    is_entitled: bool = False


def choose_priority(ticket: Ticket) -> int:
    """Return the priority of a started request in the engine; lower values run first.

    Within a rank, entitled requests precede requests that use borrowed capacity.
    """
    priority: int = 10 * RANKS.index(ticket.rank)
    return priority if ticket.is_entitled else priority + 5


@dataclass(slots=True)
class _Credit:
    """Allowance for starts above the window; earned at the entitled rate and spent by starts.

    It is counted in cost for an account and in engine seconds for a rank.
    """

    balance: float = 0.0

    def earn(self, cost: float, cap: float) -> None:
        self.balance = min(cap, self.balance + cost)

    def spend(self, cost: float, cap: float) -> None:
        self.balance = max(-cap, self.balance - cost)


@dataclass(slots=True, eq=False)
class _Account:
    """Fair queuing state of one account within a rank.

    :param finish_tag: finish tag of the last start, in cost divided by weight.
    :param lag: guaranteed minus received service, in cost; positive if the account is behind.
    :param last_credit_per_weight: value of the rank's ``credit_per_weight`` up to which credit was
        added.
    :param arrival_rate: cost per second at the last arrival, with the short time constant.
    :param demand_rate: the same with the long time constant.
    """

    name: str
    weight: float
    share: float
    finish_tag: float = 0.0
    lag: float = 0.0
    running: int = 0
    queued_cost: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)
    credit: _Credit = field(default_factory=_Credit)
    last_credit_per_weight: float = 0.0
    arrival_rate: float = 0.0
    demand_rate: float = 0.0
    last_arrival_at: float = -1e9

    def record_arrival(self, cost: float, now: float) -> None:
        self.demand_rate = self.get_demand_rate(now) + cost / _DEMAND_RATE_TIME_CONSTANT_S
        self.arrival_rate = self.get_arrival_rate(now) + cost / _ARRIVAL_RATE_TIME_CONSTANT_S
        self.last_arrival_at = now

    def get_arrival_rate(self, now: float) -> float:
        """Return the recent arrival rate in cost per second."""
        return self.arrival_rate * math.exp(
            (self.last_arrival_at - now) / _ARRIVAL_RATE_TIME_CONSTANT_S
        )

    def get_demand_rate(self, now: float) -> float:
        """Return the longer-term arrival rate in cost per second, which bursts change little."""
        return self.demand_rate * math.exp(
            (self.last_arrival_at - now) / _DEMAND_RATE_TIME_CONSTANT_S
        )


@dataclass(slots=True)
class _MovingAverage:
    """Exponential moving mean and mean absolute deviation, with the time of the last sample."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0
    last_sample_at: float = 0.0

    def add(self, value: float, now: float) -> None:
        self.count += 1
        weight = max(_EMA_ALPHA, 1.0 / self.count)
        error = value - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
        self.last_sample_at = now

    def decayed_estimate(self, now: float) -> float:
        """Return mean plus deviation, decayed by half-lives if there were no recent samples."""
        age = max(0.0, now - self.last_sample_at - _ESTIMATE_HALF_LIFE_S)
        value: float = (self.mean + self.deviation) * 0.5 ** (age / _ESTIMATE_HALF_LIFE_S)
        return value


@dataclass(slots=True)
class _StartRate:
    """Exponentially weighted rate of started cost per second while requests are waiting."""

    cost: float = 0.0
    seconds: float = 0.0
    updated_at: float = 0.0

    def advance(self, now: float, *, is_waiting: bool) -> None:
        elapsed = now - self.updated_at
        if elapsed <= 0.0:
            return
        self.updated_at = now
        decay = math.exp(
            -elapsed
            / (_START_RATE_TIME_CONSTANT_S if is_waiting else _START_RATE_IDLE_TIME_CONSTANT_S)
        )
        self.cost *= decay
        self.seconds = self.seconds * decay + (elapsed if is_waiting else 0.0)

    def estimate(self, prior: float) -> float:
        return (self.cost + prior * _START_RATE_PRIOR_S) / (self.seconds + _START_RATE_PRIOR_S)


class _Rank:
    """Queue state and moving averages of one rank."""

    def __init__(self, name: str, index: int) -> None:
        self.name = name
        self.index = index
        self.share = 0.0
        self.lag = 0.0
        self.virtual_time = 0.0
        self.waiting = 0
        self.queued_cost = 0.0
        self.running = 0
        self.running_tickets: dict[Ticket, None] = {}
        self.accounts_by_name: dict[str, _Account] = {}
        self.backlogged_accounts: dict[str, _Account] = {}
        self.has_account_shares = False
        # Starts full; the first call of earn() applies the cap.
        self.credit = _Credit(math.inf)
        # Cumulative credit per unit of account weight; see _accrue_credit().
        self.credit_per_weight = 0.0
        self.mean_cost = _MovingAverage()
        self.finished_estimated_cost = _MovingAverage()
        self.finished_actual_cost = _MovingAverage()
        self.finished_engine_s = _MovingAverage()
        self.first_token_s = _MovingAverage()
        self.wait_fraction = _INITIAL_WAIT_FRACTION
        self.wait_fraction_reduced_at = -1e9
        self.refused_at = -1e9
        self.start_rate = _StartRate()
        self.waiting_since = 0.0


class AdmissionQueue:
    """Queues, schedules and refuses the requests of one engine or service.

    :param policy: table view in force.
    :param name: model or service name.
    :param ranks: rank names from the most to the least urgent.
    :param queue_limit: maximum number of waiting requests over all ranks.
    :param window: initial size of the window, used for predictions.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        policy: SharePolicy,
        name: str,
        ranks: tuple[str, ...],
        queue_limit: int,
        window: int,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._name = name
        self._queue_limit = queue_limit
        self._ranks = [_Rank(rank, index) for index, rank in enumerate(ranks)]
        self._ranks_by_name = {rank.name: rank for rank in self._ranks}
        self._window = window
        self._running = 0
        self._waiting = 0
        self._finished_estimated_cost = _MovingAverage()
        self._finished_engine_s = _MovingAverage()
        self._entitled_running = 0
        self._entitled_running_mean = 0.0
        self._entitled_mean_updated_at = clock.monotonic()
        self._revision = -1
        self._refresh_policy()

    @property
    def running(self) -> int:
        """Number of requests that were handed to the engine."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._waiting

    @property
    def waiting_by_rank(self) -> dict[str, int]:
        """Number of requests in the queue by rank."""
        return {rank.name: rank.waiting for rank in self._ranks}

    def set_policy(self, policy: SharePolicy) -> None:
        """Replace the table view that weights and shares come from."""
        self._policy = policy
        self._refresh_policy()

    def set_window(self, window: int) -> None:
        """Set the size of the window that predictions assume."""
        self._window = max(1, window)

    def predict_wait(self, rank_name: str, client_account: str | None = None) -> float:
        """Return the predicted wait of a new request in seconds.

        :param client_account: None for an account without queued work.
        """
        rank = self._ranks_by_name[rank_name]
        account = rank.accounts_by_name.get(client_account) if client_account else None
        return self._predict_wait(rank, account, self._clock.monotonic())

    def offer(self, ticket: Ticket) -> tuple[Refusal | None, list[Ticket]]:
        """Queue a request or refuse it.

        :returns: the refusal or None, and the waiting requests that were removed to make room and
            must be refused as not executed.
        """
        self._refresh_policy()
        now = self._clock.monotonic()
        rank = self._ranks_by_name[ticket.rank]
        account = self._get_account(rank, ticket.client_account)
        account.record_arrival(ticket.cost, now)
        rank.mean_cost.add(ticket.cost, now)
        time_left_s = ticket.deadline_at - now - rank.first_token_s.decayed_estimate(now)
        wait_s = self._predict_wait(rank, account, now)
        slot_wait_s = self._predict_time_to_free_slot(rank, account, now, time_left_s)
        shed: list[Ticket] = []
        if (
            wait_s > rank.wait_fraction * time_left_s
            or slot_wait_s > _SLOT_WAIT_FRACTION * time_left_s
            or time_left_s <= 0.0
        ):
            replaced = self._find_replaceable_by_deadline(
                rank, account, ticket.cost, now, time_left_s
            )
            if replaced is None:
                rank.refused_at = now
                wait_s = max(wait_s / rank.wait_fraction, slot_wait_s / _SLOT_WAIT_FRACTION)
                needed_s = ticket.deadline_at - now - time_left_s + wait_s
                retry_ms = max(1, int(1000 * (wait_s - max(0.0, time_left_s))))
                return self._refuse(DEADLINE_UNREACHABLE, needed_s, retry_ms), []
            self.remove(replaced)
            shed.append(replaced)
        if self._waiting >= self._queue_limit:
            evicted = self._find_evictable_when_full(rank, account)
            if evicted is None:
                return self._refuse(QUEUE_FULL, wait_s, max(1, int(1000 * wait_s))), []
            self.remove(evicted)
            shed.append(evicted)
        ticket.arrived_at = now
        ticket.predicted_wait_s = wait_s
        if not rank.waiting:
            rank.waiting_since = now
        rank.start_rate.advance(now, is_waiting=rank.waiting > 0)
        account.tickets.append(ticket)
        account.queued_cost += ticket.cost
        rank.backlogged_accounts[account.name] = account
        rank.waiting += 1
        rank.queued_cost += ticket.cost
        self._waiting += 1
        return None, shed

    def take(self, *, window: int, reserve: int) -> Ticket | None:
        """Dequeue the next request to start and count it as running; None if none may start.

        While fewer entitled requests run than on average, ``_ENTITLED_RESERVE_FRACTION`` of the
        difference is kept free in the window for them. Any request may start in the rest of the
        window. From there to ``window + reserve`` only entitled requests start; the number of
        requests on borrowed capacity then shrinks as they finish.
        """
        if not self._waiting or self._running >= window + reserve:
            return None
        self._update_entitled_mean()
        shortfall = self._entitled_running_mean - self._entitled_running
        kept_free = _ENTITLED_RESERVE_FRACTION * shortfall if shortfall > 0.0 else 0.0
        if self._running < window - kept_free:
            rank = self._pick_rank()
            account = self._pick_account(rank)
            is_entitled = self._is_entitled(rank, account)
        else:
            entitled = self._pick_entitled(window, reserve)
            if entitled is None:
                return None
            rank, account = entitled
            is_entitled = True
        ticket = self._start(rank, account)
        if is_entitled:
            ticket.is_entitled = True
            self._entitled_running += 1
        return ticket

    def expire(self) -> list[Ticket]:
        """Remove and return waiting requests whose first token would miss their deadline."""
        now = self._clock.monotonic()
        late: list[Ticket] = []
        for rank in self._ranks:
            if not rank.waiting:
                continue
            first_token_at = now + min(
                rank.first_token_s.mean, rank.first_token_s.decayed_estimate(now)
            )
            late.extend(
                ticket
                for account in rank.backlogged_accounts.values()
                for ticket in account.tickets
                if ticket.deadline_at < first_token_at
            )
        for ticket in late:
            self._update_wait_fraction(self._ranks_by_name[ticket.rank], ticket, now, is_late=True)
            self.remove(ticket)
        return late

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        rank = self._ranks_by_name[ticket.rank]
        account = rank.backlogged_accounts.get(ticket.client_account)
        if account is None or ticket not in account.tickets:
            return False
        account.tickets.remove(ticket)
        self._count_removal(rank, account, ticket)
        self._evict_if_idle(rank, account)
        return True

    def add_tokens(self, ticket: Ticket, tokens: int) -> None:
        """Count received tokens of a running request and charge those above the estimate."""
        rank = self._ranks_by_name[ticket.rank]
        if not ticket.first_output_at:
            now = self._clock.monotonic()
            ticket.first_output_at = now
            rank.first_token_s.add(now - ticket.started_at, now)
        ticket.tokens += tokens
        if ticket.tokens > ticket.charged_cost:
            # Charged in steps of a quarter of the cost so far, but at least 16 tokens.
            extra_cost = max(16.0, 0.25 * ticket.charged_cost)
            self._charge(ticket, extra_cost, extra_cost * self._get_seconds_per_cost(rank))

    def finish(self, ticket: Ticket, *, cost: float | None = None) -> None:
        """Record that a running request left the engine.

        :param cost: actual cost, or None if it was cancelled or failed.
        """
        now = self._clock.monotonic()
        rank = self._ranks_by_name[ticket.rank]
        engine_s = now - ticket.started_at
        if cost is not None:
            rank.finished_estimated_cost.add(ticket.cost, now)
            rank.finished_actual_cost.add(cost, now)
            rank.finished_engine_s.add(engine_s, now)
            self._finished_estimated_cost.add(ticket.cost, now)
            self._finished_engine_s.add(engine_s, now)
        else:
            cost = max(float(ticket.tokens), _MIN_CHARGED_FRACTION * ticket.charged_cost)
        self._charge(ticket, cost - ticket.charged_cost, engine_s - ticket.charged_engine_s)
        self._running -= 1
        rank.running -= 1
        del rank.running_tickets[ticket]
        if ticket.is_entitled:
            self._update_entitled_mean()
            self._entitled_running -= 1
        account = rank.accounts_by_name.get(ticket.client_account)
        if account is not None:
            account.running -= 1
            self._evict_if_idle(rank, account)

    # Scheduling order.

    def _pick_rank(self) -> _Rank:
        most_urgent: _Rank | None = None
        lagging: _Rank | None = None
        for rank in self._ranks:
            if not rank.waiting:
                continue
            if most_urgent is None:
                most_urgent = rank
            if (
                rank.lag > 0.0
                and rank.share > 0.0
                and (lagging is None or rank.lag / rank.share > lagging.lag / lagging.share)
            ):
                lagging = rank
        assert most_urgent is not None
        return lagging or most_urgent

    def _pick_account(self, rank: _Rank) -> _Account:
        virtual_time = rank.virtual_time
        best: _Account | None = None
        best_tag = 0.0
        lagging: _Account | None = None
        at_risk: _Account | None = None
        earliest_deadline = self._get_deadline_cutoff(rank)
        for account in rank.backlogged_accounts.values():
            if account.tickets[0].deadline_at < earliest_deadline:
                at_risk, earliest_deadline = account, account.tickets[0].deadline_at
            tag = account.finish_tag if account.finish_tag > virtual_time else virtual_time
            if best is None or tag < best_tag:
                best, best_tag = account, tag
            if (
                account.share > 0.0
                and account.lag > 0.0
                and (lagging is None or account.lag > lagging.lag)
            ):
                lagging = account
        assert best is not None
        return at_risk or lagging or best

    def _get_deadline_cutoff(self, rank: _Rank) -> float:
        """Return the time; a waiting request of the rank with an earlier deadline starts next."""
        now = self._clock.monotonic()
        rate = max(1e-9, rank.start_rate.estimate(self._derive_start_rate(rank)))
        start_s = min(1.0, self._get_mean_cost(rank) / rate)
        return now + rank.first_token_s.decayed_estimate(now) + _DEADLINE_SLACK_STARTS * start_s

    def _pick_entitled(self, window: int, reserve: int) -> tuple[_Rank, _Account] | None:
        """Return the rank and account of an entitled request that may start above the window.

        Candidates in order: the most urgent rank if it has credit; a rank that lags by a whole
        request; an account with credit in the most urgent active rank, unless that is the least
        urgent rank.
        """
        most_urgent = self._ranks[0]
        if most_urgent.waiting and most_urgent.credit.balance > 0.0:
            return most_urgent, self._pick_account(most_urgent)
        lagging = self._find_lagging_rank(window, reserve)
        if lagging is not None:
            return lagging, self._pick_account(lagging)
        rank = next((item for item in self._ranks if item.waiting or item.running), most_urgent)
        if rank is self._ranks[-1]:
            return None
        if any(other.lag > 0.0 and other.waiting for other in self._ranks if other is not rank):
            return None
        with_credit = [
            account
            for account in rank.backlogged_accounts.values()
            if self._accrue_credit(rank, account) > 0.0
        ]
        if not with_credit:
            return None
        return rank, min(with_credit, key=lambda account: account.finish_tag)

    def _find_lagging_rank(self, window: int, reserve: int) -> _Rank | None:
        """Return a rank that lags by a whole request and runs fewer than its share of the window.

        Without the second condition, saturation of all ranks would exceed the window, because the
        ranks then lag in turn.
        """
        if self._running >= window + 0.5 * reserve:
            return None
        for rank in self._ranks:
            if (
                rank.waiting
                and rank.lag > self._get_mean_engine_s(rank)
                and rank.running + 1 <= max(1.0, rank.share * window)
                and rank.share > 0.0
            ):
                return rank
        return None

    def _is_entitled(self, rank: _Rank, account: _Account) -> bool:
        """Return whether a request counts as entitled if it starts within the window."""
        if rank.index == 0 and rank.credit.balance > 0.0:
            return True
        if rank is self._ranks[-1]:
            return False
        return self._is_most_urgent_active(rank) and self._accrue_credit(rank, account) > 0.0

    def _is_most_urgent_active(self, rank: _Rank) -> bool:
        return not any(other.waiting or other.running for other in self._ranks[: rank.index])

    def _accrue_credit(self, rank: _Rank, account: _Account) -> float:
        earned = (rank.credit_per_weight - account.last_credit_per_weight) * account.weight
        account.last_credit_per_weight = rank.credit_per_weight
        account.credit.earn(earned, _ACCOUNT_BURST_REQUESTS * self._get_mean_cost(rank))
        return account.credit.balance

    def _get_mean_cost(self, rank: _Rank) -> float:
        return rank.mean_cost.mean or 1.0

    def _get_seconds_per_cost(self, rank: _Rank) -> float:
        """Return the engine time of a rank's requests in seconds per unit of estimated cost."""
        if rank.finished_estimated_cost.count:
            return rank.finished_engine_s.mean / rank.finished_estimated_cost.mean
        if self._finished_estimated_cost.count:
            return self._finished_engine_s.mean / self._finished_estimated_cost.mean
        return _INITIAL_SECONDS_PER_COST

    def _get_actual_cost_ratio(self, rank: _Rank) -> float:
        """Return the ratio of actual to estimated cost of a rank's requests."""
        if not rank.finished_estimated_cost.count:
            return 1.0
        return max(0.1, rank.finished_actual_cost.mean / rank.finished_estimated_cost.mean)

    def _get_mean_engine_s(self, rank: _Rank) -> float:
        """Return the mean engine time of a rank's requests in seconds."""
        return self._get_mean_cost(rank) * self._get_seconds_per_cost(rank)

    def _update_entitled_mean(self) -> None:
        now = self._clock.monotonic()
        elapsed = now - self._entitled_mean_updated_at
        if elapsed > 0.0:
            self._entitled_mean_updated_at = now
            weight = 1.0 - math.exp(-elapsed / _ENTITLED_MEAN_TIME_CONSTANT_S)
            self._entitled_running_mean += weight * (
                self._entitled_running - self._entitled_running_mean
            )

    def _get_entitled_fraction(self, rank: _Rank) -> float:
        """Return the guaranteed fraction of the window.

        The most urgent rank gets what the shares of the others leave.
        """
        if rank.index == 0:
            return 1.0 - sum(other.share for other in self._ranks[1:])
        return rank.share

    def _start(self, rank: _Rank, account: _Account) -> Ticket:
        now = self._clock.monotonic()
        ticket = account.tickets.popleft()
        # An account served for its guaranteed share may have a later tag than others in the rank;
        # virtual time advances only to the earliest tag so that their tags are not raised to it.
        earliest_tag = min(item.finish_tag for item in rank.backlogged_accounts.values())
        rank.virtual_time = max(rank.virtual_time, earliest_tag)
        account.finish_tag = max(account.finish_tag, rank.virtual_time)
        self._update_start_rates(rank, ticket.cost, now)
        self._count_removal(rank, account, ticket)
        self._spend_credit(rank, account, ticket.cost)
        ticket.started_at = now
        self._update_wait_fraction(rank, ticket, now, is_late=False)
        self._charge(ticket, ticket.cost, ticket.cost * self._get_seconds_per_cost(rank))
        self._running += 1
        rank.running += 1
        rank.running_tickets[ticket] = None
        account.running += 1
        return ticket

    def _spend_credit(self, rank: _Rank, account: _Account, cost: float) -> None:
        most_urgent = self._ranks[0]
        cap = _RANK_BURST_WINDOWS * self._window * self._get_mean_engine_s(most_urgent)
        engine_s = cost * self._get_seconds_per_cost(rank)
        if most_urgent.mean_cost.count:
            most_urgent.credit.earn(
                _CREDIT_EARN_FRACTION * self._get_entitled_fraction(most_urgent) * engine_s, cap
            )
        if rank is most_urgent:
            most_urgent.credit.spend(engine_s, cap)
        now = self._clock.monotonic()
        competing_weight = account.weight + sum(
            item.weight
            for item in rank.accounts_by_name.values()
            if item is not account
            and (item.tickets or now - item.last_arrival_at < _ACCOUNT_ACTIVE_S)
        )
        rank.credit_per_weight += _CREDIT_EARN_FRACTION * cost / competing_weight
        self._accrue_credit(rank, account)
        account.credit.spend(cost, _ACCOUNT_BURST_REQUESTS * self._get_mean_cost(rank))

    def _charge(self, ticket: Ticket, cost: float, engine_s: float) -> None:
        """Charge cost to the account and engine time to the rank; negative amounts are refunds."""
        ticket.charged_cost += cost
        ticket.charged_engine_s += engine_s
        rank = self._ranks_by_name[ticket.rank]
        now = self._clock.monotonic()
        for other in self._ranks:
            other.lag += other.share * engine_s
            if (
                other.lag > 0.0
                and not other.waiting
                and now - other.refused_at > _LAG_KEPT_AFTER_REFUSAL_S
            ):
                other.lag = 0.0
        # Bounds the negative lag, so that use of idle capacity does not delay the rank for long.
        min_lag = -2.0 * self._get_mean_engine_s(rank)
        rank.lag = max(rank.lag - engine_s, min(rank.lag, min_lag))
        account = rank.accounts_by_name.get(ticket.client_account)
        if account is None:
            return
        account.finish_tag += cost / account.weight
        if rank.has_account_shares:
            for item in rank.accounts_by_name.values():
                item.lag += item.share * cost
                if not item.tickets and item.lag > 0.0:
                    item.lag = 0.0
            account.lag = max(account.lag - cost, min(account.lag, -2.0 * ticket.cost))

    # Predictions.

    def _predict_wait(self, rank: _Rank, account: _Account | None, now: float) -> float:
        """Return the predicted wait of a new request in seconds.

        It is the larger of two waits: that of the rank's queue at the rank's start rate, and that
        of the account's own lead and queue at the account's fair share of this rate. The first
        protects the deadlines of requests that were already queued; the second keeps a busy
        account from filling the queue.
        """
        if self._running < self._window and not rank.waiting:
            return 0.0
        if not self._finished_estimated_cost.count:
            return 0.0
        rank.start_rate.advance(now, is_waiting=rank.waiting > 0)
        rate = max(
            1e-9,
            rank.share * self._get_full_window_rate(rank),
            rank.start_rate.estimate(self._derive_start_rate(rank)),
        )
        if account is not None and not rank.waiting and self._is_entitled(rank, account):
            return 0.0
        # On average the next slot becomes free after half a request.
        cost = rank.queued_cost + 0.5 * self._get_mean_cost(rank)
        if account is None or self._may_start_above_window(rank, account):
            return cost / rate
        return max(cost / rate, self._predict_account_wait(rank, account, rate, now))

    def _predict_account_wait(
        self, rank: _Rank, account: _Account, rate: float, now: float
    ) -> float:
        """Return the wait in seconds due to an account's lead over virtual time and its queue."""
        lead = max(0.0, account.finish_tag - rank.virtual_time)
        # The lead is in actual cost; queues and rates are in estimated cost.
        lead /= self._get_actual_cost_ratio(rank)
        backlog = lead + account.queued_cost / account.weight
        return backlog * self._sum_competing_weights(rank, account, rate, now) / rate

    def _find_replaceable_by_deadline(
        self, rank: _Rank, account: _Account, cost: float, now: float, time_left_s: float
    ) -> Ticket | None:
        """Return the waiting request that a new one of an account below its fair share may replace.

        An account that would be served next must not be refused because other accounts have filled
        the queue up to the deadline. The newest request of the account with the longest queue is
        chosen because it has waited the least.
        """
        if not rank.waiting:
            return None
        rate = max(
            1e-9,
            rank.share * self._get_full_window_rate(rank),
            rank.start_rate.estimate(self._derive_start_rate(rank)),
        )
        total_weight = sum(item.weight for item in rank.accounts_by_name.values())
        # Subtract the new request, which offer() has already counted.
        demand_rate = account.get_demand_rate(now) - cost / _DEMAND_RATE_TIME_CONSTANT_S
        exceeds_fair_rate = demand_rate * total_weight / rate > account.weight
        if (
            exceeds_fair_rate
            or self._predict_account_wait(rank, account, rate, now)
            > rank.wait_fraction * time_left_s
        ):
            return None
        longest_account = max(
            rank.backlogged_accounts.values(), key=lambda item: item.queued_cost / item.weight
        )
        newest = longest_account.tickets[-1]
        own_backlog = (account.queued_cost + cost) / account.weight
        return (
            newest
            if (longest_account.queued_cost - newest.cost) / longest_account.weight >= own_backlog
            else None
        )

    def _may_start_above_window(self, rank: _Rank, account: _Account) -> bool:
        """Return whether a new request could start above the window on credit.

        Unless it is of the most urgent rank and that rank has credit, no other rank may have
        waiting requests; see :meth:`_pick_entitled`.
        """
        if rank.index == 0 and rank.credit.balance > 0.0:
            return True
        if any(other.waiting for other in self._ranks if other is not rank):
            return False
        return self._is_entitled(rank, account)

    def _predict_time_to_free_slot(
        self, rank: _Rank, account: _Account, now: float, time_left_s: float
    ) -> float:
        """Return the time in seconds until a running request frees a slot for a new one of a rank.

        Requests of equal length that started together end together, so no slot may become free for
        a while whatever the mean rate is. A rank can use its own slots, those of ranks without
        waiting requests, and those that less urgent ranks use above their share.
        """
        has_free_slot = self._running < self._window and not rank.waiting
        if has_free_slot or self._may_start_above_window(rank, account):
            return 0.0
        if time_left_s > _SLOT_CHECK_MULTIPLE * self._get_mean_engine_s(rank):
            return 0.0
        end_times: list[float] = []
        for other in self._ranks:
            borrows = other.index > rank.index and other.running > other.share * self._window + 1
            if other is rank or not other.waiting or borrows:
                seconds_per_cost = self._get_seconds_per_cost(other)
                # A request that is past its expected end is assumed to end soon.
                earliest_end = now + 0.1 * self._get_mean_engine_s(other)
                end_times.extend(
                    max(earliest_end, ticket.started_at + ticket.cost * seconds_per_cost)
                    for ticket in other.running_tickets
                )
        if not end_times:
            return 0.0
        end_times.sort()
        position = rank.waiting + max(0, self._running - self._window)
        full_rounds, index = divmod(position, len(end_times))
        return end_times[index] - now + full_rounds * self._get_mean_engine_s(rank)

    def _sum_competing_weights(
        self, rank: _Rank, account: _Account, rate: float, now: float
    ) -> float:
        """Return the sum of the weights of an account and of those that compete with it.

        The weight of an account whose demand is below its fair share is scaled down to the demand.
        """
        others = [item for item in rank.accounts_by_name.values() if item is not account]
        total_weight = account.weight + sum(item.weight for item in others)
        competing_weight = account.weight
        for item in others:
            if item.tickets:
                competing_weight += item.weight
            elif now - item.last_arrival_at < _ACCOUNT_ACTIVE_S:
                competing_weight += min(
                    item.weight, item.get_arrival_rate(now) * total_weight / rate
                )
        return competing_weight

    def _derive_start_rate(self, rank: _Rank) -> float:
        """Return the start rate left to a rank, in cost per second.

        Running requests of more urgent ranks and the shares of ranks with waiting requests are
        deducted.
        """
        fraction = 1.0
        for other in self._ranks:
            if other is rank:
                continue
            if other.index < rank.index:
                fraction -= max(other.running / self._window, other.share if other.waiting else 0.0)
            elif other.waiting:
                fraction -= other.share
        return self._get_full_window_rate(rank) * max(fraction, rank.share, 0.02)

    def _get_full_window_rate(self, rank: _Rank) -> float:
        """Return the cost per second of a full window of the rank's requests."""
        return self._window / max(1e-9, self._get_seconds_per_cost(rank))

    def _update_start_rates(self, started: _Rank, cost: float, now: float) -> None:
        for rank in self._ranks:
            rank.start_rate.advance(now, is_waiting=rank.waiting > 0)
        # A request that started at once is no sample of the rate at which waiting requests start.
        if now > started.waiting_since:
            started.start_rate.cost += cost

    def _update_wait_fraction(
        self, rank: _Rank, ticket: Ticket, now: float, *, is_late: bool
    ) -> None:
        """Lower the rank's wait fraction after a late request, else raise it by a small step."""
        if is_late:
            # Several requests that are late at the same time count as one wrong prediction.
            if now - rank.wait_fraction_reduced_at >= _WAIT_FRACTION_STEP_PERIOD_S:
                rank.wait_fraction_reduced_at = now
                rank.wait_fraction = max(
                    _MIN_WAIT_FRACTION, rank.wait_fraction - _WAIT_FRACTION_STEP
                )
        elif ticket.predicted_wait_s > 0.0:
            rank.wait_fraction = min(
                _MAX_WAIT_FRACTION, rank.wait_fraction + _WAIT_FRACTION_STEP * _TARGET_LATE_FRACTION
            )

    # Eviction and account state.

    def _find_evictable_when_full(self, rank: _Rank, account: _Account) -> Ticket | None:
        """Return the waiting request to evict for a new one when the queue is full, or None."""
        for other in reversed(self._ranks):
            if not other.waiting:
                continue
            longest_account = max(
                other.backlogged_accounts.values(), key=lambda item: item.queued_cost / item.weight
            )
            if other.index > rank.index:
                return longest_account.tickets[-1]
            if other is rank and longest_account is not account:
                own_backlog = account.queued_cost / account.weight
                newest = longest_account.tickets[-1]
                if (
                    longest_account.queued_cost - newest.cost
                ) / longest_account.weight > own_backlog:
                    return newest
            return None
        return None

    def _count_removal(self, rank: _Rank, account: _Account, ticket: Ticket) -> None:
        account.queued_cost -= ticket.cost
        rank.queued_cost -= ticket.cost
        rank.waiting -= 1
        self._waiting -= 1
        if not account.tickets:
            account.queued_cost = 0.0
            del rank.backlogged_accounts[account.name]

    def _get_account(self, rank: _Rank, name: str) -> _Account:
        account = rank.accounts_by_name.get(name)
        if account is None:
            row = self._policy.resolve(self._name, name, rank.name)
            account = _Account(name, max(row.weight, _MIN_WEIGHT), max(0.0, row.share))
            rank.accounts_by_name[name] = account
            rank.has_account_shares = rank.has_account_shares or account.share > 0.0
        return account

    def _evict_if_idle(self, rank: _Rank, account: _Account) -> None:
        """Remove an idle account if the rank holds too many, to bound memory."""
        is_idle = not account.tickets and not account.running
        if is_idle and len(rank.accounts_by_name) > _MAX_ACCOUNTS_BEFORE_EVICTION:
            rank.accounts_by_name.pop(account.name, None)

    def _refresh_policy(self) -> None:
        """Reload weights and shares from the table view if its revision changed."""
        if self._policy.revision == self._revision:
            return
        self._revision = self._policy.revision
        for rank in self._ranks:
            rank.share = max(0.0, self._policy.rank_policy(self._name, rank.name).share)
            rank.has_account_shares = False
            for account in rank.accounts_by_name.values():
                row = self._policy.resolve(self._name, account.name, rank.name)
                account.weight = max(row.weight, _MIN_WEIGHT)
                account.share = max(0.0, row.share)
                rank.has_account_shares = rank.has_account_shares or account.share > 0.0
        total_share = sum(rank.share for rank in self._ranks)
        if total_share > 1.0:
            for rank in self._ranks:
                rank.share /= total_share

    @staticmethod
    def _refuse(code: object, needed_s: float, retry_after_ms: int) -> Refusal:
        return Refusal(
            code,  # type: ignore[arg-type]
            Executed.NO,
            f"The predicted time to the first token is {needed_s * 1000:.0f} ms.",
            retry_after_ms,
        )

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the waiting requests."""
        for rank in self._ranks:
            for account in rank.backlogged_accounts.values():
                yield from account.tickets
