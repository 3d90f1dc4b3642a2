"""Fleet-wide limits without a coordinator: shares of entry hosts and loans between them.

Each of E entry hosts owns limit/E. A host that needs more asks others; the lender subtracts a
loan before it is sent and takes it back only when it is returned or can no longer be in use.
No step adds to the sum, so a lost message only loses allowance, and only for a while. Times are
differences of one host's monotonic clock, so the wall clocks of hosts may differ.

For requests and tokens a minute, what a host used counts for the 60 s after it. The sum then
holds in every span of 60 s, not only in minutes of the calendar.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Failure, Result, Success

from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import Clock
from sycamoreproxy.invariants import check_invariant
from sycamoreproxy.messages import AllowanceAsk, AllowanceGrant
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.result_codes import Executed, Refusal, ResultCode

#: Span of the limits a minute, in seconds.
WINDOW_S = 60.0
#: Use is counted in buckets of this width, in seconds; each counts until its end is 60 s ago.
BUCKET_S = 1.0
#: A loan may be used for this time after it was asked for, in seconds.
LOAN_USE_S = 15.0
#: Longest time of one request: three attempts of 300 s, in seconds.
REQUEST_LIMIT_S = 900.0
#: Slack between the time a loan can be in use and the time the lender counts on it again, in
#: seconds; covers a late timer at the borrower.
LOAN_SLACK_S = 5.0
#: Lender and borrower compare what is still held of a loan in this period, in seconds, so that
#: a lost grant or return does not hold allowance for the whole time of a loan.
LOAN_CHECK_S = 5.0
#: An unused loan is returned after this time, in seconds.
LOAN_IDLE_S = 3.0
#: A new entry host owns nothing for this time after it first finds itself in the host list: the
#: others may see it this much later, in seconds.
LIST_LAG_S = 30.0
#: A restarted host does not know what it used and lent before; after this time it no longer
#: counts, in seconds.
RATE_QUIET_S = WINDOW_S + BUCKET_S + LOAN_USE_S + LOAN_SLACK_S
#: A host that vanished from the list may be cut off and still use its share; for this time it
#: counts as one that has a share, in seconds.
VANISHED_HOLD_S = 1_800.0
#: The same for a host that was listed as leaving, and so no longer takes requests.
LEFT_RATE_HOLD_S = RATE_QUIET_S
LEFT_CONCURRENT_HOLD_S = REQUEST_LIMIT_S + LOAN_USE_S + LOAN_SLACK_S
#: Longest wait of a request for a loan, in seconds: several round trips between regions, and
#: within the 50 ms allowed for a refusal. In trials 99 in 100 refusals took 41 ms with a wait of
#: 30 ms, 39 ms with 20 ms.
LOAN_WAIT_S = 0.02
#: Shortest time between two rounds of asks for one limit, and after a round without any loan.
ASK_PERIOD_S = 0.05
ASK_PAUSE_S = 0.25
#: Longest wait for the answers to one round of asks, in seconds.
ASK_TIMEOUT_S = 1.0
#: A host that left an ask unanswered is not asked again for this time, in seconds.
SILENT_PAUSE_S = 5.0
#: Requests that may wait for a loan of one limit.
MAX_WAITERS = 64
#: A limit without use, loans and asks is forgotten after this time, in seconds.
POOL_IDLE_S = 300.0
#: Limits that are tracked at once; more are refused rather than served without a limit.
MAX_POOLS = 100_000

_EPSILON = 1e-6
_CODES_BY_CELL: dict[str, ResultCode] = {
    "concurrent_limit": codes.CONCURRENT_LIMIT,
    "requests_per_minute": codes.REQUEST_LIMIT,
    "tokens_per_minute": codes.TOKEN_LIMIT,
}


class LimitPolicy(Protocol):
    """The limits of an effective row, each for the fleet, 0 for no limit."""

    @property
    def concurrent_limit(self) -> int:
        """Open requests."""

    @property
    def requests_per_minute(self) -> int:
        """Requests a minute."""

    @property
    def tokens_per_minute(self) -> int:
        """Tokens a minute."""


@dataclass(slots=True)
class _Loan:
    """Allowance handed to another host: the lender's side."""

    amount: float
    until: float
    check_at: float


@dataclass(slots=True)
class _Credit:
    """Allowance received from another host: the borrower's side.

    ``held`` is what was received less what was returned; it never grows.
    """

    unused: float
    held: float
    use_until: float
    used_at: float
    check_at: float
    in_use: float = 0.0


@dataclass(slots=True)
class _Ask:
    amount: float
    asked_at: float


@dataclass(slots=True)
class _Use:
    """What one request took of one limit."""

    pool: _Pool
    own: float
    bucket: list[float] | None
    credits: list[tuple[tuple[str, int], float]]


@dataclass(slots=True)
class _Pool:
    """This host's part of one limit."""

    key: str
    cell: str
    limit: float
    used: float = 0.0
    buckets: deque[list[float]] = field(default_factory=deque)
    loans: dict[tuple[str, int], _Loan] = field(default_factory=dict)
    credits: dict[tuple[str, int], _Credit] = field(default_factory=dict)
    asks: dict[tuple[str, int], _Ask] = field(default_factory=dict)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
    may_ask_at: float = 0.0
    lacking: float = 0.0
    demand_at: float = -math.inf
    demand: float = 0.0
    touched_at: float = 0.0

    @property
    def is_rate(self) -> bool:
        return self.cell != "concurrent_limit"

    def expire(self, now: float) -> None:
        """Drop use that is older than the window and loans that can't be in use any more."""
        buckets = self.buckets
        while buckets and buckets[0][0] + BUCKET_S + WINDOW_S <= now:
            self.used -= buckets.popleft()[1]
        for number in [number for number, loan in self.loans.items() if loan.until <= now]:
            del self.loans[number]

    def get_free_own(self, share: float) -> float:
        """Return what is left of the own share; below 0 after the share shrank."""
        return self.limit * share - self.used - sum(loan.amount for loan in self.loans.values())

    def get_free(self, share: float, now: float) -> float:
        """Return what may be used now, loans included."""
        credit = sum(credit.unused for credit in self.credits.values() if credit.use_until > now)
        return max(0.0, self.get_free_own(share)) + credit

    def charge(self, amount: float, now: float) -> list[float] | None:
        """Count use of the own share and return its bucket."""
        self.used += amount
        if not self.is_rate:
            return None
        start = math.floor(now / BUCKET_S) * BUCKET_S
        if not self.buckets or self.buckets[-1][0] != start:
            self.buckets.append([start, 0.0])
        self.buckets[-1][1] += amount
        return self.buckets[-1]


class Permit:
    """What one request took of its limits; close it when the request ends.

    :param uses: one item a limit.
    """

    __slots__ = ("_limits", "_uses")

    def __init__(self, *, limits: FleetLimits | None, uses: list[_Use]) -> None:
        self._limits = limits
        self._uses = uses

    def close(self, *, tokens: int | None = None) -> None:
        """Give back what the request no longer uses.

        :param tokens: tokens that the request used; None keeps the estimate, 0 gives it back.
        """
        uses, self._uses = self._uses, []
        if uses and self._limits is not None:
            self._limits.settle(uses, tokens)


#: The permit of a request without limits.
NO_LIMITS = Permit(limits=None, uses=[])


class EntryPeers:
    """The other entry hosts that a stream is open to.

    :param hub: streams of the process.
    """

    def __init__(self, *, hub: PeerHub) -> None:
        self._hub = hub

    def register_handlers(self, limits: FleetLimits) -> None:
        """Hand the messages of other entry hosts to the limits."""

        def handle_ask(peer: Peer, message: AllowanceAsk) -> None:
            if peer.hello.role == "entry":
                limits.handle_ask(peer.hello.host, message)

        def handle_grant(peer: Peer, message: AllowanceGrant) -> None:
            if peer.hello.role == "entry":
                limits.handle_grant(peer.hello.host, message)

        self._hub.on(AllowanceAsk, handle_ask)
        self._hub.on(AllowanceGrant, handle_grant)

    def list_hosts(self) -> list[str]:
        """Return their names."""
        own = self._hub.hello.host
        hosts = {peer.hello.host for peer in self._hub.peers if peer.hello.role == "entry"}
        return sorted(hosts - {own})

    def send(self, host: str, message: object) -> bool:
        """Send a message on the first open stream; return False if there is none."""
        return any(
            peer.hello.host == host and peer.hello.role == "entry" and peer.send(message)
            for peer in self._hub.peers
        )


class FleetLimits:
    """This host's part of every limit of the fleet; performs no I/O by itself.

    :param host: name of this entry host.
    :param clock: time source.
    :param rng: source of ask numbers.
    :param get_policy: returns the row in force for (model, client account, rank).
    :param list_peers: returns the entry hosts that a message can be sent to.
    :param send: sends a message to an entry host; may lose it.
    :param list_lag_s: see :data:`LIST_LAG_S`.
    :param start_quiet_s: see :data:`RATE_QUIET_S`.
    """

    def __init__(
        self,
        *,
        host: str,
        clock: Clock,
        rng: random.Random,
        get_policy: Callable[[str, str, str], LimitPolicy],
        list_peers: Callable[[], Collection[str]],
        send: Callable[[str, object], object],
        list_lag_s: float = LIST_LAG_S,
        start_quiet_s: float = RATE_QUIET_S,
    ) -> None:
        self._list_lag_s = list_lag_s
        self._start_quiet_s = start_quiet_s
        self._host = host
        self._clock = clock
        self._rng = rng
        self._get_policy = get_policy
        self._list_neighbours = list_peers
        self._send = send
        self._started_at = clock.monotonic()
        self._listed_at: float | None = None
        self._pools_by_key: dict[str, _Pool] = {}
        self._listed: dict[str, str] = {}
        #: Vanished hosts: until when they count for rates and for concurrency.
        self._held_by_host: dict[str, tuple[float, float]] = {}
        #: Hosts that left an ask unanswered, with the time until which they are not asked.
        self._silent_until: dict[str, float] = {}
        #: Loans of rates that are used up, with the time when their lender forgets them.
        self._used_up: dict[tuple[str, int], float] = {}

    def replace_entry_hosts(self, states_by_host: dict[str, str]) -> None:
        """Take the entry hosts of a new host list.

        :param states_by_host: ``live`` or ``leaving`` by host.
        """
        now = self._clock.monotonic()
        for host, state in self._listed.items():
            if host not in states_by_host:
                left = state == "leaving"
                self._held_by_host[host] = (
                    now + (LEFT_RATE_HOLD_S if left else VANISHED_HOLD_S),
                    now + (LEFT_CONCURRENT_HOLD_S if left else VANISHED_HOLD_S),
                )
        for host in states_by_host:
            self._held_by_host.pop(host, None)
        self._listed = dict(states_by_host)
        if self._listed_at is None and self._host in states_by_host:
            self._listed_at = now

    def get_share(self, *, is_rate: bool) -> float:
        """Return the part of each limit that this host owns, from 0 to 1."""
        now = self._clock.monotonic()
        if self._listed_at is None or now < self._listed_at + self._list_lag_s:
            return 0.0
        if is_rate and now < self._started_at + self._start_quiet_s:
            return 0.0
        held = sum(
            1
            for rate, concurrent in self._held_by_host.values()
            if (rate if is_rate else concurrent) > now
        )
        return 1.0 / max(1, len(self._listed) + (self._host not in self._listed) + held)

    async def acquire(
        self, *, model: str, client_account: str, rank: str, policy: LimitPolicy, tokens: int
    ) -> Result[Permit, Refusal]:
        """Take a request's part of its limits, with a short wait for loans.

        :param tokens: estimate of the tokens that the request will use.
        """
        if not (policy.concurrent_limit or policy.requests_per_minute or policy.tokens_per_minute):
            return Success(NO_LIMITS)
        row = f"{model}|{client_account}|{rank}"
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + LOAN_WAIT_S
        while True:
            taken = self.try_acquire(row, policy, tokens)
            if isinstance(taken, Permit):
                return Success(taken)
            pool, amount = taken
            left_s = give_up_at - loop.time()
            if (
                amount > pool.limit
                or left_s <= 0
                or len(pool.waiters) >= MAX_WAITERS
                or not self.ask(pool, amount)
            ):
                return Failure(self._make_refusal(pool, amount))
            waiter: asyncio.Future[None] = loop.create_future()
            pool.waiters.append(waiter)
            try:
                await asyncio.wait([waiter], timeout=left_s)
            finally:
                if waiter in pool.waiters:
                    pool.waiters.remove(waiter)

    def try_acquire(
        self, row: str, policy: LimitPolicy, tokens: int
    ) -> Permit | tuple[_Pool, float]:
        """Return a permit, or the limit that has too little left and the amount it lacks.

        :param row: ``model|client account|rank``.
        """
        now = self._clock.monotonic()
        uses: list[_Use] = []
        for cell, limit, amount in (
            ("concurrent_limit", policy.concurrent_limit, 1.0),
            ("requests_per_minute", policy.requests_per_minute, 1.0),
            ("tokens_per_minute", policy.tokens_per_minute, float(tokens)),
        ):
            if not limit or amount <= 0:
                continue
            pool = self._get_pool(f"{row}|{cell}", cell, limit, now)
            if amount > limit:
                self.settle(uses, 0, unused=True)
                return pool, math.inf
            share = self.get_share(is_rate=pool.is_rate)
            self._count_demand(pool, amount, now)
            lacking = amount - pool.get_free(share, now)
            if lacking > _EPSILON:
                pool.lacking = amount
                # Nothing was used yet, so all of what the other limits gave goes back.
                self.settle(uses, 0, unused=True)
                return pool, lacking
            uses.append(self._take(pool, amount, now))
            if pool.get_free(share, now) < pool.demand:
                self.ask(pool, pool.demand)
        return Permit(limits=self, uses=uses)

    def settle(self, uses: list[_Use], tokens: int | None, *, unused: bool = False) -> None:
        """Give back what a request took and no longer uses.

        :param tokens: see :meth:`Permit.close`.
        :param unused: whether the request was never started, so that nothing at all counts.
        """
        now = self._clock.monotonic()
        for use in uses:
            pool = use.pool
            if not pool.is_rate or unused:
                excess = math.inf
            elif pool.cell == "tokens_per_minute" and tokens is not None:
                excess = use.own + sum(amount for _, amount in use.credits) - tokens
            else:
                excess = 0.0
            if excess < 0:
                # The estimate was too low; the difference counts from now on.
                pool.charge(-excess, now)
            own = min(use.own, max(0.0, excess))
            if own > 0:
                if use.bucket is None:
                    pool.used -= own
                elif pool.buckets and use.bucket[0] >= pool.buckets[0][0]:
                    use.bucket[1] -= own
                    pool.used -= own
            excess -= own
            for key, amount in use.credits:
                back = min(amount, max(0.0, excess))
                excess -= back
                self._give_back(pool, key, amount, back, now)
            self._wake(pool)

    def ask(self, pool: _Pool, amount: float) -> bool:
        """Ask other hosts for a loan; return whether an answer may still come."""
        now = self._clock.monotonic()
        if pool.asks:
            newest = max(ask.asked_at for ask in pool.asks.values())
            if now < newest + ASK_TIMEOUT_S:
                return now < newest + LOAN_WAIT_S
            self._end_round(pool, now)
        if now < pool.may_ask_at:
            return False
        entry_peers = [
            host for host in self._list_neighbours() if self._silent_until.get(host, 0.0) <= now
        ]
        if not entry_peers:
            return False
        pool.may_ask_at = now + ASK_PERIOD_S
        wanted = min(pool.limit, amount + pool.demand)
        # Twice an equal part from each, because some have nothing; the rest is returned.
        each = max(2 * wanted / len(entry_peers), min(1.0, wanted))
        for host in entry_peers:
            number = self._rng.getrandbits(62)
            pool.asks[host, number] = _Ask(each, now)
            self._send(host, AllowanceAsk(pool.key, 0, each, number))
        return True

    def handle_ask(self, host: str, message: AllowanceAsk) -> None:
        """Lend what this host does not need; the answer names 0 if that is nothing.

        An ask for 0 asks what this host still holds of a loan.
        """
        now = self._clock.monotonic()
        if message.amount == 0:
            self._tell_held(host, message, now)
            return
        amount = 0.0
        parts = message.key.split("|")
        if len(parts) == 4 and parts[3] in _CODES_BY_CELL and 0 < message.amount < math.inf:
            limit = float(getattr(self._get_policy(*parts[:3]), parts[3]))
            if limit > 0:
                pool = self._get_pool(message.key, parts[3], limit, now)
                amount = self._lend(pool, host, message, now)
        self._send(host, AllowanceGrant(message.key, 0, amount, message.number))

    def handle_grant(self, host: str, message: AllowanceGrant) -> None:
        """Take a loan that was asked for, or one that comes back."""
        now = self._clock.monotonic()
        pool = self._pools_by_key.get(message.key)
        if pool is None or not 0 <= message.amount < math.inf:
            return
        number = (host, message.number)
        loan = pool.loans.get(number)
        ask = pool.asks.pop(number, None)
        if loan is not None:
            loan.amount = min(message.amount, loan.amount)
            if loan.amount <= _EPSILON:
                del pool.loans[number]
        elif ask is None:
            # Either a grant whose ask was forgotten, which the lender takes back in time, or
            # a loan that this host made before a restart and that is still held.
            if not pool.is_rate and message.amount > 0 and number not in pool.credits:
                self._record_loan(pool, number, message.amount, now)
        else:
            amount = min(message.amount, ask.amount)
            use_until = ask.asked_at + LOAN_USE_S
            if amount > 0 and now < use_until:
                check_at = now + LOAN_CHECK_S
                pool.credits[number] = _Credit(amount, amount, use_until, now, check_at)
            if not pool.asks:
                self._end_round(pool, now)
        self._wake(pool)

    def tick(self) -> None:
        """Return unused loans and forget idle limits; call it about once a second."""
        now = self._clock.monotonic()
        for key, pool in list(self._pools_by_key.items()):
            pool.expire(now)
            if any(ask.asked_at + ASK_TIMEOUT_S <= now for ask in pool.asks.values()):
                self._end_round(pool, now)
            for number, credit in list(pool.credits.items()):
                if now >= min(credit.use_until, credit.used_at + LOAN_IDLE_S):
                    self._return(pool, number, credit.unused)
                elif now >= credit.check_at and not pool.is_rate:
                    credit.check_at = now + LOAN_CHECK_S
                    self._send(number[0], AllowanceGrant(key, 0, credit.held, number[1]))
            for number, loan in pool.loans.items():
                if now >= loan.check_at:
                    loan.check_at = now + LOAN_CHECK_S
                    self._send(number[0], AllowanceAsk(key, 0, 0.0, number[1]))
            if now - pool.touched_at > POOL_IDLE_S and not (
                pool.buckets or pool.loans or pool.credits or pool.waiters or pool.used > _EPSILON
            ):
                del self._pools_by_key[key]
        for number in [n for n, until in self._used_up.items() if until <= now]:
            del self._used_up[number]
        for host in [h for h, until in self._held_by_host.items() if max(until) <= now]:
            del self._held_by_host[host]

    def _get_pool(self, key: str, cell: str, limit: float, now: float) -> _Pool:
        pool = self._pools_by_key.get(key)
        if pool is None:
            pool = _Pool(key, cell, limit)
            if len(self._pools_by_key) >= MAX_POOLS:
                pool.limit = 0.0
                return pool
            self._pools_by_key[key] = pool
        pool.limit = limit
        pool.touched_at = now
        pool.expire(now)
        return pool

    def _take(self, pool: _Pool, amount: float, now: float) -> _Use:
        # Loans first: what is left of them is lost soon, the own share stays.
        credits: list[tuple[tuple[str, int], float]] = []
        for number, credit in pool.credits.items():
            if amount <= 0:
                break
            if credit.use_until > now and credit.unused > 0:
                part = min(credit.unused, amount)
                credit.unused -= part
                credit.used_at = now
                credit.in_use += part
                credits.append((number, part))
                amount -= part
        amount = max(0.0, amount)
        return _Use(pool, amount, pool.charge(amount, now) if amount else None, credits)

    def _give_back(
        self, pool: _Pool, number: tuple[str, int], taken: float, back: float, now: float
    ) -> None:
        credit = pool.credits.get(number)
        if credit is None:
            return
        credit.in_use -= taken
        credit.unused += back
        if now >= credit.use_until:
            self._return(pool, number, credit.unused)

    def _return(self, pool: _Pool, number: tuple[str, int], amount: float) -> None:
        """Tell the lender what is still held after ``amount`` is returned."""
        credit = pool.credits[number]
        if amount > 0:
            credit.unused -= amount
            credit.held = max(0.0, credit.held - amount)
            self._send(number[0], AllowanceGrant(pool.key, 0, credit.held, number[1]))
        if credit.in_use <= _EPSILON and credit.unused <= _EPSILON:
            if pool.is_rate and credit.held > _EPSILON:
                # What was used counts at the lender until the loan ends; the record answers
                # its checks until then.
                self._used_up[number] = self._clock.monotonic() + LOAN_USE_S + RATE_QUIET_S
            del pool.credits[number]

    def _tell_held(self, host: str, message: AllowanceAsk, now: float) -> None:
        number = (host, message.number)
        pool = self._pools_by_key.get(message.key)
        if pool is not None and number in pool.credits:
            held = pool.credits[number].held
        elif number in self._used_up or now < self._started_at + self._start_quiet_s:
            # Unknown to a restarted host, whose requests before the restart still count.
            return
        else:
            # The grant was lost, or is late and must not be taken any more.
            held = 0.0
            if pool is not None:
                pool.asks.pop(number, None)
        self._send(host, AllowanceGrant(message.key, 0, held, message.number))

    def _end_round(self, pool: _Pool, now: float) -> None:
        """Return loans that together do not suffice, so that another host can collect them."""
        for number in [n for n, a in pool.asks.items() if a.asked_at + ASK_TIMEOUT_S <= now]:
            del pool.asks[number]
            self._silent_until[number[0]] = now + SILENT_PAUSE_S
        free = pool.get_free(self.get_share(is_rate=pool.is_rate), now)
        if pool.lacking <= 0 or free >= pool.lacking - _EPSILON:
            return
        pool.lacking = 0.0
        # Two hosts that collect parts of one unit at the same time must not do so in step.
        pool.may_ask_at = now + ASK_PAUSE_S * self._rng.uniform(0.5, 4.0)
        for number, credit in list(pool.credits.items()):
            self._return(pool, number, credit.unused)

    def _record_loan(self, pool: _Pool, number: tuple[str, int], amount: float, now: float) -> None:
        hold_s = LOAN_USE_S + LOAN_SLACK_S
        hold_s += WINDOW_S + BUCKET_S if pool.is_rate else REQUEST_LIMIT_S
        pool.loans[number] = _Loan(amount, now + hold_s, now + LOAN_CHECK_S)

    def _lend(self, pool: _Pool, host: str, message: AllowanceAsk, now: float) -> float:
        free = pool.get_free_own(self.get_share(is_rate=pool.is_rate))
        unit = max(1.0, pool.demand) if pool.is_rate else 1.0
        if now - pool.demand_at < 10.0:
            if free >= unit:
                free /= 2
            elif pool.asks and host < self._host:
                # Two hosts that both lack a part of one request would swap their parts for ever;
                # the one with the later name collects them.
                free = 0.0
        amount = min(message.amount, free)
        if amount <= _EPSILON:
            return 0.0
        check_invariant(
            "loan_within_share",
            amount <= pool.get_free_own(self.get_share(is_rate=pool.is_rate)) + _EPSILON,
            limit=pool.key,
        )
        self._record_loan(pool, (host, message.number), amount, now)
        return amount

    def _count_demand(self, pool: _Pool, amount: float, now: float) -> None:
        """Keep the demand of about the last second, as the size of the next ask."""
        elapsed = now - pool.demand_at
        pool.demand = amount + (pool.demand * math.exp(-elapsed) if elapsed < 20 else 0.0)
        pool.demand_at = now

    def _wake(self, pool: _Pool) -> None:
        waiters, pool.waiters = pool.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _make_refusal(self, pool: _Pool, amount: float) -> Refusal:
        retry_after_ms = 1000
        if pool.is_rate and pool.buckets:
            oldest = pool.buckets[0][0] + BUCKET_S + WINDOW_S - self._clock.monotonic()
            retry_after_ms = max(1000, int(oldest * 1000))
        detail = f"Limit {pool.limit:g} for {pool.key.rpartition('|')[0]}."
        return Refusal(_CODES_BY_CELL[pool.cell], Executed.NO, detail, retry_after_ms)
