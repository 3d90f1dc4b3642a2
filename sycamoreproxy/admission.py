"""The fair queue beside an engine or service: who starts next and who is refused.

Order of service. A rank below its guaranteed share goes first, else the most urgent rank. Within
a rank the same holds for accounts with a guaranteed share, then start-time fair queuing by weight
(Goyal, Vin, Cheng 1996) with tokens as cost, corrected as tokens arrive. Idle share is lent out.

Ranks are charged the engine time of their requests: tokens per engine time differ between ranks by
the length of their prompts, and a share is a part of the engine's capacity. Engine time is
estimated from tokens by what finished requests of the rank took.

All decisions are pure: no I/O, no randomness, the time comes from a clock.
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

#: Weight of a new sample in the moving averages.
_ALPHA = 0.05
#: Time constant after which an estimate without samples is halved, in seconds. An estimate that
#: refuses all work would otherwise never be corrected.
_FADE_S = 1.0
#: Time constants of a rank's observed rate of starts: while work waits, and while none does, in
#: seconds; and the time that the derived rate counts as if it had been observed.
_RATE_S, _RATE_IDLE_S, _RATE_PRIOR_S = 3.0, 5.0, 0.5
#: Time constant of an account's rate of arrivals, in seconds.
_ARRIVAL_S = 2.0
#: Time constant of the rate by which an account is judged to ask for less than its part, in
#: seconds. With 2 s, accounts at half their part were refused in bursts of six requests.
_ASKED_S = 10.0
#: Time after its last arrival for which an account competes, in seconds.
_ACTIVE_S = 3.0 * _ARRIVAL_S
#: Part of the time left that a prediction may fill, learned per rank: bounds, first value, the
#: step down after a late request, and the fraction of late ones at which it stays.
_MIN_TRUST, _MAX_TRUST, _FIRST_TRUST = 0.35, 1.0, 0.8
_TRUST_STEP = 0.05
_DISTRUST_PERIOD_S = 0.5
_LATE_TARGET = 0.02
#: Part of the time left that the predicted end of running requests may fill, and the multiple of a
#: request's engine time above which the times of single ends average out.
_SLOT_TRUST = 0.8
_SLOT_MATTERS = 1.25
#: A request is served before others of its rank when it would be late after so many more starts.
_RESCUE_STARTS = 3.0
#: A rank without waiting work that refused some within this time keeps what it is owed, in seconds:
#: it has demand, and only the limits of its queue keep that from waiting.
_DEMAND_S = 2.0
#: Credit is earned at this part of the entitled rate, so that work that always uses its whole
#: part has none.
_EARNED_PART = 0.9
#: Most requests that the first rank may start in a burst by its credit, relative to the window.
_RANK_BURST = 2.0
#: Most requests that an account may start in a burst by its credit.
_ACCOUNT_BURST = 8.0
#: Time constant of the mean number of running requests that started by credit, in seconds.
_ENTITLED_MEAN_S = 10.0
#: Part of the shortfall of such requests that borrowers leave free.
_HELD_BACK_PART = 0.5
#: Engine time per token before any request has finished, in seconds.
_FIRST_SECONDS_PER_COST = 0.005
#: A cancelled request is charged at least this part of its estimate, for its prompt.
_MIN_CHARGED_PART = 0.25
#: Largest weight ratio, so that a weight of 0 still makes progress.
_MIN_WEIGHT = 1e-3
#: Idle accounts kept in a rank before they are dropped.
_MAX_IDLE_ACCOUNTS = 256


class RowShares(Protocol):
    """The cells of a table row that order the queue."""

    @property
    def weight(self) -> float:
        """Weight against other accounts of the rank."""

    @property
    def share(self) -> float:
        """Guaranteed fraction."""


class SharePolicy(Protocol):
    """The part of the table view that orders the queue."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def resolve(self, model: str, client_account: str, rank: str) -> RowShares:
        """Return the effective row of an account."""

    def rank_policy(self, model: str, rank: str) -> RowShares:
        """Return the row ``(model, *, rank)``."""


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One attempt in the queue or in the engine.

    :param cost: estimated tokens; 1 for a service.
    :param deadline_at: monotonic time by which the first token is due, in seconds.
    :param charged: cost charged to the account so far.
    :param charged_s: engine time charged to the rank so far, in seconds.
    """

    attempt_id: str
    client_account: str
    rank: str
    cost: float
    deadline_at: float
    arrived_at: float = 0.0
    started_at: float = 0.0
    first_output_at: float = 0.0
    predicted_s: float = 0.0
    charged: float = 0.0
    charged_s: float = 0.0
    tokens: int = 0
    is_entitled: bool = False


def choose_priority(ticket: Ticket) -> int:
    """Return the engine's priority of a started request, lower first.

    Within a rank, work below its entitlement goes before that of borrowers.
    """
    priority: int = 10 * RANKS.index(ticket.rank)
    return priority if ticket.is_entitled else priority + 5


@dataclass(slots=True)
class _Credit:
    """Cost that may start above the window, earned at the entitled rate and spent by starts."""

    level: float = 0.0

    def earn(self, cost: float, cap: float) -> None:
        self.level = min(cap, self.level + cost)

    def spend(self, cost: float, cap: float) -> None:
        self.level = max(-cap, self.level - cost)


@dataclass(slots=True, eq=False)
class _Account:
    """Fair queuing state of one account within a rank.

    :param finish: finish tag of the last start, in cost divided by weight.
    :param lag: cost owed under the guaranteed share.
    """

    name: str
    weight: float
    share: float
    finish: float = 0.0
    lag: float = 0.0
    running: int = 0
    queued_cost: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)
    credit: _Credit = field(default_factory=_Credit)
    earned_seen: float = 0.0
    arrival_rate: float = 0.0
    asked_rate: float = 0.0
    arrived_at: float = -1e9

    def note_arrival(self, cost: float, now: float) -> None:
        self.asked_rate = self.read_asked_rate(now) + cost / _ASKED_S
        self.arrival_rate = self.read_arrival_rate(now) + cost / _ARRIVAL_S
        self.arrived_at = now

    def read_arrival_rate(self, now: float) -> float:
        """Return the recent arrivals in cost per second."""
        return self.arrival_rate * math.exp((self.arrived_at - now) / _ARRIVAL_S)

    def read_asked_rate(self, now: float) -> float:
        """Return the arrivals of some time in cost per second, which bursts change little."""
        return self.asked_rate * math.exp((self.arrived_at - now) / _ASKED_S)


@dataclass(slots=True)
class _Average:
    """Moving mean and mean deviation, with the time of the last sample."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0
    sampled_at: float = 0.0

    def add(self, value: float, now: float) -> None:
        self.count += 1
        weight = max(_ALPHA, 1.0 / self.count)
        error = value - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
        self.sampled_at = now

    def faded(self, now: float) -> float:
        """Return mean plus deviation, halved for each second without a sample."""
        age = max(0.0, now - self.sampled_at - _FADE_S)
        value: float = (self.mean + self.deviation) * 0.5 ** (age / _FADE_S)
        return value


@dataclass(slots=True)
class _Rate:
    """Cost that starts per second while work waits."""

    cost: float = 0.0
    seconds: float = 0.0
    noted_at: float = 0.0

    def advance(self, now: float, *, is_waiting: bool) -> None:
        elapsed = now - self.noted_at
        if elapsed <= 0.0:
            return
        self.noted_at = now
        kept = math.exp(-elapsed / (_RATE_S if is_waiting else _RATE_IDLE_S))
        self.cost *= kept
        self.seconds = self.seconds * kept + (elapsed if is_waiting else 0.0)

    def read(self, prior: float) -> float:
        return (self.cost + prior * _RATE_PRIOR_S) / (self.seconds + _RATE_PRIOR_S)


class _Rank:
    """Queue state and learned figures of one rank."""

    def __init__(self, name: str, index: int) -> None:
        self.name = name
        self.index = index
        self.share = 0.0
        self.lag = 0.0
        self.virtual_time = 0.0
        self.waiting = 0
        self.queued_cost = 0.0
        self.running = 0
        self.tickets_running: dict[Ticket, None] = {}
        self.accounts_by_name: dict[str, _Account] = {}
        self.backlogged: dict[str, _Account] = {}
        self.has_account_shares = False
        # Full at first; the first time that it is earned bounds it.
        self.credit = _Credit(math.inf)
        self.earned_per_weight = 0.0
        self.mean_cost = _Average()
        self.finished_cost = _Average()
        self.finished_true = _Average()
        self.finished_s = _Average()
        self.first_token = _Average()
        self.trust = _FIRST_TRUST
        self.distrusted_at = -1e9
        self.refused_at = -1e9
        self.rate = _Rate()
        self.waiting_since = 0.0


class AdmissionQueue:
    """Orders the work of one engine or service.

    :param policy: returns the table view in force.
    :param name: model or service name.
    :param ranks: from the most urgent to the least.
    :param queue_limit: waiting requests of all ranks.
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
        self._finished_cost = _Average()
        self._finished_s = _Average()
        self._entitled = 0
        self._entitled_mean = 0.0
        self._entitled_at = clock.monotonic()
        self._revision = -1
        self._refresh()

    @property
    def running(self) -> int:
        """Requests handed to the engine."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self._waiting

    @property
    def waiting_by_rank(self) -> dict[str, int]:
        """Requests in the queue by rank."""
        return {rank.name: rank.waiting for rank in self._ranks}

    def set_policy(self, policy: SharePolicy) -> None:
        """Use another table view."""
        self._policy = policy
        self._refresh()

    def set_window(self, window: int) -> None:
        """Take the window's size, for predictions."""
        self._window = max(1, window)

    def predict_wait(self, rank_name: str, client_account: str | None = None) -> float:
        """Return the predicted time in seconds until a new request would start.

        :param client_account: None for an account without queued work.
        """
        rank = self._ranks_by_name[rank_name]
        account = rank.accounts_by_name.get(client_account) if client_account else None
        return self._predict(rank, account, self._clock.monotonic())

    def offer(self, ticket: Ticket) -> tuple[Refusal | None, list[Ticket]]:
        """Queue a request or refuse it.

        :returns: the refusal, or None, and requests of lesser urgency that are refused as not
            run to make room.
        """
        self._refresh()
        now = self._clock.monotonic()
        rank = self._ranks_by_name[ticket.rank]
        account = self._get_account(rank, ticket.client_account)
        account.note_arrival(ticket.cost, now)
        rank.mean_cost.add(ticket.cost, now)
        time_left = ticket.deadline_at - now - rank.first_token.faded(now)
        wait_s = self._predict(rank, account, now)
        slot_s = self._predict_slot(rank, account, now, time_left)
        shed: list[Ticket] = []
        if wait_s > rank.trust * time_left or slot_s > _SLOT_TRUST * time_left or time_left <= 0.0:
            displaced = self._find_displaced(rank, account, ticket.cost, now, time_left)
            if displaced is None:
                rank.refused_at = now
                wait_s = max(wait_s / rank.trust, slot_s / _SLOT_TRUST)
                needed = ticket.deadline_at - now - time_left + wait_s
                retry_ms = max(1, int(1000 * (wait_s - max(0.0, time_left))))
                return self._refuse(DEADLINE_UNREACHABLE, needed, retry_ms), []
            self.remove(displaced)
            shed.append(displaced)
        if self._waiting >= self._queue_limit:
            victim = self._find_victim(rank, account)
            if victim is None:
                return self._refuse(QUEUE_FULL, wait_s, max(1, int(1000 * wait_s))), []
            self.remove(victim)
            shed.append(victim)
        ticket.arrived_at = now
        ticket.predicted_s = wait_s
        if not rank.waiting:
            rank.waiting_since = now
        rank.rate.advance(now, is_waiting=rank.waiting > 0)
        account.tickets.append(ticket)
        account.queued_cost += ticket.cost
        rank.backlogged[account.name] = account
        rank.waiting += 1
        rank.queued_cost += ticket.cost
        self._waiting += 1
        return None, shed

    def take(self, *, window: int, reserve: int) -> Ticket | None:
        """Return the request to start next, or None; it counts as running from now on.

        Up to ``window`` any request may start, but borrowers leave some room for the usual number
        of entitled requests. Above it, up to ``window + reserve``, only work with credit starts:
        the borrowers then shrink as their requests finish.
        """
        if not self._waiting or self._running >= window + reserve:
            return None
        self._note_entitled()
        missing = self._entitled_mean - self._entitled
        held_back = _HELD_BACK_PART * missing if missing > 0.0 else 0.0
        if self._running < window - held_back:
            rank = self._pick_rank()
            account = self._pick_account(rank)
            is_entitled = self._has_credit(rank, account)
        else:
            entitled = self._pick_entitled(window, reserve)
            if entitled is None:
                return None
            rank, account = entitled
            is_entitled = True
        ticket = self._start(rank, account)
        if is_entitled:
            ticket.is_entitled = True
            self._entitled += 1
        return ticket

    def expire(self) -> list[Ticket]:
        """Remove and return requests that can no longer have their first token in time."""
        now = self._clock.monotonic()
        late: list[Ticket] = []
        for rank in self._ranks:
            if not rank.waiting:
                continue
            latest = now + min(rank.first_token.mean, rank.first_token.faded(now))
            late.extend(
                ticket
                for account in rank.backlogged.values()
                for ticket in account.tickets
                if ticket.deadline_at < latest
            )
        for ticket in late:
            self._learn_trust(self._ranks_by_name[ticket.rank], ticket, now, is_late=True)
            self.remove(ticket)
        return late

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        rank = self._ranks_by_name[ticket.rank]
        account = rank.backlogged.get(ticket.client_account)
        if account is None or ticket not in account.tickets:
            return False
        account.tickets.remove(ticket)
        self._note_removed(rank, account, ticket)
        self._drop_if_idle(rank, account)
        return True

    def add_tokens(self, ticket: Ticket, tokens: int) -> None:
        """Note that tokens of a running request arrived."""
        rank = self._ranks_by_name[ticket.rank]
        if not ticket.first_output_at:
            now = self._clock.monotonic()
            ticket.first_output_at = now
            rank.first_token.add(now - ticket.started_at, now)
        ticket.tokens += tokens
        if ticket.tokens > ticket.charged:
            more = max(16.0, 0.25 * ticket.charged)
            self._charge(ticket, more, more * self._read_seconds_per_cost(rank))

    def finish(self, ticket: Ticket, *, cost: float | None = None) -> None:
        """Note that a running request left the engine.

        :param cost: its true cost, or None if it was cancelled or failed.
        """
        now = self._clock.monotonic()
        rank = self._ranks_by_name[ticket.rank]
        taken_s = now - ticket.started_at
        if cost is not None:
            rank.finished_cost.add(ticket.cost, now)
            rank.finished_true.add(cost, now)
            rank.finished_s.add(taken_s, now)
            self._finished_cost.add(ticket.cost, now)
            self._finished_s.add(taken_s, now)
        else:
            cost = max(float(ticket.tokens), _MIN_CHARGED_PART * ticket.charged)
        self._charge(ticket, cost - ticket.charged, taken_s - ticket.charged_s)
        self._running -= 1
        rank.running -= 1
        del rank.tickets_running[ticket]
        if ticket.is_entitled:
            self._note_entitled()
            self._entitled -= 1
        account = rank.accounts_by_name.get(ticket.client_account)
        if account is not None:
            account.running -= 1
            self._drop_if_idle(rank, account)

    # Order of service.

    def _pick_rank(self) -> _Rank:
        first: _Rank | None = None
        owed: _Rank | None = None
        for rank in self._ranks:
            if not rank.waiting:
                continue
            if first is None:
                first = rank
            if (
                rank.lag > 0.0
                and rank.share > 0.0
                and (owed is None or rank.lag / rank.share > owed.lag / owed.share)
            ):
                owed = rank
        assert first is not None
        return owed or first

    def _pick_account(self, rank: _Rank) -> _Account:
        virtual_time = rank.virtual_time
        best: _Account | None = None
        best_tag = 0.0
        owed: _Account | None = None
        due: _Account | None = None
        due_at = self._rescue_until(rank)
        for account in rank.backlogged.values():
            if account.tickets[0].deadline_at < due_at:
                due, due_at = account, account.tickets[0].deadline_at
            tag = account.finish if account.finish > virtual_time else virtual_time
            if best is None or tag < best_tag:
                best, best_tag = account, tag
            if (
                account.share > 0.0
                and account.lag > 0.0
                and (owed is None or account.lag > owed.lag)
            ):
                owed = account
        assert best is not None
        return due or owed or best

    def _rescue_until(self, rank: _Rank) -> float:
        """Return the deadline before which a request of a rank must start next."""
        now = self._clock.monotonic()
        rate = max(1e-9, rank.rate.read(self._derive_rate(rank)))
        start_s = min(1.0, self._read_mean_cost(rank) / rate)
        return now + rank.first_token.faded(now) + _RESCUE_STARTS * start_s

    def _pick_entitled(self, window: int, reserve: int) -> tuple[_Rank, _Account] | None:
        """Return work below its entitlement.

        It is of the first rank, of a rank that is owed a whole request, or of an account with
        credit in the first busy rank, unless that is the least urgent one.
        """
        first = self._ranks[0]
        if first.waiting and first.credit.level > 0.0:
            return first, self._pick_account(first)
        owed = self._find_owed(window, reserve)
        if owed is not None:
            return owed, self._pick_account(owed)
        rank = next((item for item in self._ranks if item.waiting or item.running), first)
        if rank is self._ranks[-1]:
            return None
        if any(other.lag > 0.0 and other.waiting for other in self._ranks if other is not rank):
            return None
        behind = [
            account
            for account in rank.backlogged.values()
            if self._read_credit(rank, account) > 0.0
        ]
        if not behind:
            return None
        return rank, min(behind, key=lambda account: account.finish)

    def _find_owed(self, window: int, reserve: int) -> _Rank | None:
        """Return a rank that is owed a whole request and runs fewer than its share of the window.

        The second condition keeps a flood of all ranks, which are owed in turn, at the window.
        """
        if self._running >= window + 0.5 * reserve:
            return None
        for rank in self._ranks:
            if (
                rank.waiting
                and rank.lag > self._read_mean_s(rank)
                and rank.running + 1 <= max(1.0, rank.share * window)
                and rank.share > 0.0
            ):
                return rank
        return None

    def _has_credit(self, rank: _Rank, account: _Account) -> bool:
        if rank.index == 0 and rank.credit.level > 0.0:
            return True
        if rank is self._ranks[-1]:
            return False
        return self._is_first(rank) and self._read_credit(rank, account) > 0.0

    def _is_first(self, rank: _Rank) -> bool:
        return not any(other.waiting or other.running for other in self._ranks[: rank.index])

    def _read_credit(self, rank: _Rank, account: _Account) -> float:
        earned = (rank.earned_per_weight - account.earned_seen) * account.weight
        account.earned_seen = rank.earned_per_weight
        account.credit.earn(earned, _ACCOUNT_BURST * self._read_mean_cost(rank))
        return account.credit.level

    def _read_mean_cost(self, rank: _Rank) -> float:
        return rank.mean_cost.mean or 1.0

    def _read_seconds_per_cost(self, rank: _Rank) -> float:
        """Return the engine time of a rank's requests per estimated cost."""
        if rank.finished_cost.count:
            return rank.finished_s.mean / rank.finished_cost.mean
        if self._finished_cost.count:
            return self._finished_s.mean / self._finished_cost.mean
        return _FIRST_SECONDS_PER_COST

    def _read_true_part(self, rank: _Rank) -> float:
        """Return the true cost of a rank's requests relative to their estimates."""
        if not rank.finished_cost.count:
            return 1.0
        return max(0.1, rank.finished_true.mean / rank.finished_cost.mean)

    def _read_mean_s(self, rank: _Rank) -> float:
        """Return the mean engine time of a rank's requests in seconds."""
        return self._read_mean_cost(rank) * self._read_seconds_per_cost(rank)

    def _note_entitled(self) -> None:
        now = self._clock.monotonic()
        elapsed = now - self._entitled_at
        if elapsed > 0.0:
            self._entitled_at = now
            part = 1.0 - math.exp(-elapsed / _ENTITLED_MEAN_S)
            self._entitled_mean += part * (self._entitled - self._entitled_mean)

    def _entitled_part(self, rank: _Rank) -> float:
        """Return the part of the window that a rank may always claim."""
        if rank.index == 0:
            return 1.0 - sum(other.share for other in self._ranks[1:])
        return rank.share

    def _start(self, rank: _Rank, account: _Account) -> Ticket:
        now = self._clock.monotonic()
        ticket = account.tickets.popleft()
        # An account that starts by its guaranteed share may be ahead of others, whose tags must not
        # be lifted to its own.
        first_tag = min(item.finish for item in rank.backlogged.values())
        rank.virtual_time = max(rank.virtual_time, first_tag)
        account.finish = max(account.finish, rank.virtual_time)
        self._learn_rates(rank, ticket.cost, now)
        self._note_removed(rank, account, ticket)
        self._spend_credit(rank, account, ticket.cost)
        ticket.started_at = now
        self._learn_trust(rank, ticket, now, is_late=False)
        self._charge(ticket, ticket.cost, ticket.cost * self._read_seconds_per_cost(rank))
        self._running += 1
        rank.running += 1
        rank.tickets_running[ticket] = None
        account.running += 1
        return ticket

    def _spend_credit(self, rank: _Rank, account: _Account, cost: float) -> None:
        first = self._ranks[0]
        cap = _RANK_BURST * self._window * self._read_mean_s(first)
        seconds = cost * self._read_seconds_per_cost(rank)
        if first.mean_cost.count:
            first.credit.earn(_EARNED_PART * self._entitled_part(first) * seconds, cap)
        if rank is first:
            first.credit.spend(seconds, cap)
        now = self._clock.monotonic()
        weights = account.weight + sum(
            item.weight
            for item in rank.accounts_by_name.values()
            if item is not account and (item.tickets or now - item.arrived_at < _ACTIVE_S)
        )
        rank.earned_per_weight += _EARNED_PART * cost / weights
        self._read_credit(rank, account)
        account.credit.spend(cost, _ACCOUNT_BURST * self._read_mean_cost(rank))

    def _charge(self, ticket: Ticket, cost: float, seconds: float) -> None:
        """Charge cost to the account and engine time to the rank; negative values are refunds."""
        ticket.charged += cost
        ticket.charged_s += seconds
        rank = self._ranks_by_name[ticket.rank]
        now = self._clock.monotonic()
        for other in self._ranks:
            other.lag += other.share * seconds
            if other.lag > 0.0 and not other.waiting and now - other.refused_at > _DEMAND_S:
                other.lag = 0.0
        # What was borrowed while others were idle is not held against the borrower for long.
        floor = -2.0 * self._read_mean_s(rank)
        rank.lag = max(rank.lag - seconds, min(rank.lag, floor))
        account = rank.accounts_by_name.get(ticket.client_account)
        if account is None:
            return
        account.finish += cost / account.weight
        if rank.has_account_shares:
            for item in rank.accounts_by_name.values():
                item.lag += item.share * cost
                if not item.tickets and item.lag > 0.0:
                    item.lag = 0.0
            account.lag = max(account.lag - cost, min(account.lag, -2.0 * ticket.cost))

    # Predictions.

    def _predict(self, rank: _Rank, account: _Account | None, now: float) -> float:
        """Return the predicted wait of a new request in seconds.

        It is the longer of two: the rank's queue at the rank's rate of starts, and the account's
        own lead and queue at the account's fair part of that rate. The first keeps the promises
        made to queued requests, the second keeps a busy account from filling the queue.
        """
        if self._running < self._window and not rank.waiting:
            return 0.0
        if not self._finished_cost.count:
            return 0.0
        rank.rate.advance(now, is_waiting=rank.waiting > 0)
        rate = max(1e-9, rank.share * self._speed(rank), rank.rate.read(self._derive_rate(rank)))
        if account is not None and not rank.waiting and self._has_credit(rank, account):
            return 0.0
        # On average half a request passes before the next slot becomes free.
        cost = rank.queued_cost + 0.5 * self._read_mean_cost(rank)
        if account is None or self._has_usable_credit(rank, account):
            return cost / rate
        return max(cost / rate, self._predict_own(rank, account, rate, now))

    def _predict_own(self, rank: _Rank, account: _Account, rate: float, now: float) -> float:
        """Return the wait in seconds that an account's own lead and queue cause."""
        lead = max(0.0, account.finish - rank.virtual_time)
        # The lead is true cost; queues and rates are in estimated cost.
        lead /= self._read_true_part(rank)
        own = lead + account.queued_cost / account.weight
        return own * self._sum_weights(rank, account, rate, now) / rate

    def _find_displaced(
        self, rank: _Rank, account: _Account, cost: float, now: float, time_left: float
    ) -> Ticket | None:
        """Return the waiting request that an account below its fair part may take the place of.

        A queue that others have filled up to the deadline must not turn away an account that
        would be served next. The newest request of the longest account has waited the least.
        """
        if not rank.waiting:
            return None
        rate = max(1e-9, rank.share * self._speed(rank), rank.rate.read(self._derive_rate(rank)))
        total = sum(item.weight for item in rank.accounts_by_name.values())
        # The new request itself is not evidence of a high rate.
        asked = account.read_asked_rate(now) - cost / _ASKED_S
        asks_more = asked * total / rate > account.weight
        if asks_more or self._predict_own(rank, account, rate, now) > rank.trust * time_left:
            return None
        longest = max(rank.backlogged.values(), key=lambda item: item.queued_cost / item.weight)
        newest = longest.tickets[-1]
        own = (account.queued_cost + cost) / account.weight
        return newest if (longest.queued_cost - newest.cost) / longest.weight >= own else None

    def _has_usable_credit(self, rank: _Rank, account: _Account) -> bool:
        """Return whether a request may start above the window; see :meth:`_pick_entitled`."""
        if rank.index == 0 and rank.credit.level > 0.0:
            return True
        if any(other.waiting for other in self._ranks if other is not rank):
            return False
        return self._has_credit(rank, account)

    def _predict_slot(self, rank: _Rank, account: _Account, now: float, time_left: float) -> float:
        """Return the time in seconds until running requests leave a slot to a new one of a rank.

        Requests of equal length that started together end together, so for a while no slot
        becomes free, whatever the mean rate is. A rank can count on its own slots, those of ranks
        without waiting work, and those that lower ranks have borrowed.
        """
        is_free = self._running < self._window and not rank.waiting
        if is_free or self._has_usable_credit(rank, account):
            return 0.0
        if time_left > _SLOT_MATTERS * self._read_mean_s(rank):
            return 0.0
        ends: list[float] = []
        for other in self._ranks:
            borrows = other.index > rank.index and other.running > other.share * self._window + 1
            if other is rank or not other.waiting or borrows:
                seconds = self._read_seconds_per_cost(other)
                # A request beyond its expected end is taken to end soon.
                soon = now + 0.1 * self._read_mean_s(other)
                ends.extend(
                    max(soon, ticket.started_at + ticket.cost * seconds)
                    for ticket in other.tickets_running
                )
        if not ends:
            return 0.0
        ends.sort()
        place = rank.waiting + max(0, self._running - self._window)
        rounds, index = divmod(place, len(ends))
        return ends[index] - now + rounds * self._read_mean_s(rank)

    def _sum_weights(self, rank: _Rank, account: _Account, rate: float, now: float) -> float:
        """Return the weights of the accounts that compete with one, and its own.

        An account that asks for less than its part counts in proportion.
        """
        others = [item for item in rank.accounts_by_name.values() if item is not account]
        total = account.weight + sum(item.weight for item in others)
        weights = account.weight
        for item in others:
            if item.tickets:
                weights += item.weight
            elif now - item.arrived_at < _ACTIVE_S:
                weights += min(item.weight, item.read_arrival_rate(now) * total / rate)
        return weights

    def _derive_rate(self, rank: _Rank) -> float:
        """Return the rate of starts, in cost per second, that shares and load leave to a rank."""
        part = 1.0
        for other in self._ranks:
            if other is rank:
                continue
            if other.index < rank.index:
                part -= max(other.running / self._window, other.share if other.waiting else 0.0)
            elif other.waiting:
                part -= other.share
        return self._speed(rank) * max(part, rank.share, 0.02)

    def _speed(self, rank: _Rank) -> float:
        """Return the cost per second that a full window of a rank's requests serves."""
        return self._window / max(1e-9, self._read_seconds_per_cost(rank))

    def _learn_rates(self, started: _Rank, cost: float, now: float) -> None:
        for rank in self._ranks:
            rank.rate.advance(now, is_waiting=rank.waiting > 0)
        # A request that started at once says nothing about the rate at which waiting work starts.
        if now > started.waiting_since:
            started.rate.cost += cost

    def _learn_trust(self, rank: _Rank, ticket: Ticket, now: float, *, is_late: bool) -> None:
        """Trust predictions less after a late request and a little more after each other one."""
        if is_late:
            # Requests that are late together are one wrong prediction.
            if now - rank.distrusted_at >= _DISTRUST_PERIOD_S:
                rank.distrusted_at = now
                rank.trust = max(_MIN_TRUST, rank.trust - _TRUST_STEP)
        elif ticket.predicted_s > 0.0:
            rank.trust = min(_MAX_TRUST, rank.trust + _TRUST_STEP * _LATE_TARGET)

    # Bookkeeping.

    def _find_victim(self, rank: _Rank, account: _Account) -> Ticket | None:
        """Return the waiting request that gives way to a new one of an account, or None."""
        for other in reversed(self._ranks):
            if not other.waiting:
                continue
            longest = max(
                other.backlogged.values(), key=lambda item: item.queued_cost / item.weight
            )
            if other.index > rank.index:
                return longest.tickets[-1]
            if other is rank and longest is not account:
                own = account.queued_cost / account.weight
                newest = longest.tickets[-1]
                if (longest.queued_cost - newest.cost) / longest.weight > own:
                    return newest
            return None
        return None

    def _note_removed(self, rank: _Rank, account: _Account, ticket: Ticket) -> None:
        account.queued_cost -= ticket.cost
        rank.queued_cost -= ticket.cost
        rank.waiting -= 1
        self._waiting -= 1
        if not account.tickets:
            account.queued_cost = 0.0
            del rank.backlogged[account.name]

    def _get_account(self, rank: _Rank, name: str) -> _Account:
        account = rank.accounts_by_name.get(name)
        if account is None:
            row = self._policy.resolve(self._name, name, rank.name)
            account = _Account(name, max(row.weight, _MIN_WEIGHT), max(0.0, row.share))
            rank.accounts_by_name[name] = account
            rank.has_account_shares = rank.has_account_shares or account.share > 0.0
        return account

    def _drop_if_idle(self, rank: _Rank, account: _Account) -> None:
        """Forget an idle account whose tags no longer matter, so that the table stays bounded."""
        is_idle = not account.tickets and not account.running
        if is_idle and len(rank.accounts_by_name) > _MAX_IDLE_ACCOUNTS:
            rank.accounts_by_name.pop(account.name, None)

    def _refresh(self) -> None:
        """Take weights and shares from the table view if its revision changed."""
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
        total = sum(rank.share for rank in self._ranks)
        if total > 1.0:
            for rank in self._ranks:
                rank.share /= total

    @staticmethod
    def _refuse(code: object, needed: float, retry_after_ms: int) -> Refusal:
        return Refusal(
            code,  # type: ignore[arg-type]
            Executed.NO,
            f"The predicted time to the first token is {needed * 1000:.0f} ms.",
            retry_after_ms,
        )

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the waiting requests."""
        for rank in self._ranks:
            for account in rank.backlogged.values():
                yield from account.tickets
