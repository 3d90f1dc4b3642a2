"""Distributed limits over all entry hosts without a coordinator, by shares and loans.

Each of E entry hosts owns a share of limit/E. A host that needs more borrows allowance from the
others. The lender subtracts a loan before it sends the grant, and adds it back only when the loan
is returned or can no longer be in use. No step increases the total, so a lost message only loses
allowance temporarily. All times are differences on the monotonic clock of one host, so the wall
clocks of the hosts need not agree.

Usage of a limit per minute counts for 60 s. The limit therefore holds in every interval of 60 s,
not only in calendar minutes.
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

#: Length of the sliding window of limits per minute, in seconds.
RATE_WINDOW_S = 60.0
#: Width of the buckets in which usage is counted, in seconds; a bucket expires 60 s after its end.
BUCKET_WIDTH_S = 1.0
#: Time after the ask for which the borrower may use a loan, in seconds.
LOAN_USABLE_S = 15.0
#: Longest duration of a request in seconds: three attempts of 300 s.
MAX_REQUEST_S = 900.0
#: Margin between the end of a loan at the borrower and its expiry at the lender, in seconds; covers
#: a late timer at the borrower.
LOAN_SLACK_S = 5.0
#: Period in which lender and borrower reconcile the outstanding amount of a loan, in seconds, so
#: that a lost grant or return does not block allowance until the loan expires.
LOAN_CHECK_PERIOD_S = 5.0
#: The unused part of a loan is returned after this time without use, in seconds.
LOAN_IDLE_S = 3.0
#: Time for which a new entry host has no share after it first finds itself in the host list, in
#: seconds: the other hosts may receive that list this much later.
LIST_LAG_S = 30.0
#: Time for which a restarted host has no share of limits per minute, in seconds: it does not know
#: what it used and lent before the restart, and all of that has expired after this time.
RATE_QUIET_S = RATE_WINDOW_S + BUCKET_WIDTH_S + LOAN_USABLE_S + LOAN_SLACK_S
#: Time for which a host that disappeared from the host list still counts when shares are computed,
#: in seconds: it may be partitioned from the list and still use its share.
MISSING_HOST_HOLD_S = 1_800.0
#: The same for a host that was last listed as leaving, which no longer accepts requests.
LEAVING_HOST_RATE_HOLD_S = RATE_QUIET_S
LEAVING_HOST_CONCURRENT_HOLD_S = MAX_REQUEST_S + LOAN_USABLE_S + LOAN_SLACK_S
#: Longest time that a request waits for loans, in seconds: several round trips between regions, and
#: within the 50 ms allowed for a refusal. In trials the 99th percentile of the time to a refusal
#: was 41 ms with a wait of 30 ms and 39 ms with 20 ms.
MAX_LOAN_WAIT_S = 0.02
#: Shortest time between two rounds of asks for one limit, and base of the randomized pause after a
#: round that did not yield enough, in seconds.
MIN_ASK_PERIOD_S = 0.05
FAILED_ASK_PAUSE_S = 0.25
#: Time after which an ask counts as unanswered, in seconds.
ASK_TIMEOUT_S = 1.0
#: Time for which a host that did not answer an ask is not asked again, in seconds.
UNRESPONSIVE_PAUSE_S = 5.0
#: Maximum number of requests that wait for loans of one limit.
MAX_WAITERS = 64
#: Time after which the state of a limit without usage, loans and asks is dropped, in seconds.
POOL_IDLE_S = 300.0
#: Maximum number of limits tracked at once; requests under further limits are refused rather than
#: served without a limit.
MAX_POOLS = 100_000

_TOLERANCE = 1e-6
_CODES_BY_CELL: dict[str, ResultCode] = {
    "concurrent_limit": codes.CONCURRENT_LIMIT,
    "requests_per_minute": codes.REQUEST_LIMIT,
    "tokens_per_minute": codes.TOKEN_LIMIT,
}


class LimitPolicy(Protocol):
    """The limits of an effective table row, over all entry hosts; 0 means no limit."""

    @property
    def concurrent_limit(self) -> int:
        """Maximum number of concurrent requests."""

    @property
    def requests_per_minute(self) -> int:
        """Maximum number of requests per minute."""

    @property
    def tokens_per_minute(self) -> int:
        """Maximum number of tokens per minute."""


@dataclass(slots=True)
class _LentAllowance:
    """A loan to another host, as recorded by the lender."""

    amount: float
    expires_at: float
    check_at: float


@dataclass(slots=True)
class _BorrowedAllowance:
    """A loan from another host, as recorded by the borrower.

    :param outstanding: received minus returned amount; it never increases.
    """

    unused: float
    outstanding: float
    use_until: float
    used_at: float
    check_at: float
    in_use: float = 0.0


@dataclass(slots=True)
class _PendingAsk:
    amount: float
    asked_at: float


@dataclass(slots=True)
class _Usage:
    """Usage of one limit by one request.

    :param own_amount: amount charged to the own share.
    :param bucket: bucket that this amount was counted in, for limits per minute.
    :param borrowed_parts: amounts taken from loans, with the ids of the loans.
    """

    pool: _Pool
    own_amount: float
    bucket: list[float] | None
    borrowed_parts: list[tuple[tuple[str, int], float]]


@dataclass(slots=True)
class _Pool:
    """The allowance of this host under one limit: its own share, loans and usage.

    :param cell: column of the table that sets the limit.
    :param buckets: start time and usage of each bucket, oldest first.
    :param needed_amount: amount of the last request that the allowance did not suffice for.
    :param demand: recently requested amount, decayed with a time constant of 1 s.
    """

    key: str
    cell: str
    limit: float
    used: float = 0.0
    buckets: deque[list[float]] = field(default_factory=deque)
    lent_by_id: dict[tuple[str, int], _LentAllowance] = field(default_factory=dict)
    borrowed_by_id: dict[tuple[str, int], _BorrowedAllowance] = field(default_factory=dict)
    asks_by_id: dict[tuple[str, int], _PendingAsk] = field(default_factory=dict)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
    next_ask_at: float = 0.0
    needed_amount: float = 0.0
    demand_updated_at: float = -math.inf
    demand: float = 0.0
    last_used_at: float = 0.0

    @property
    def is_rate(self) -> bool:
        return self.cell != "concurrent_limit"

    def expire(self, now: float) -> None:
        """Drop usage that is older than the window and loans that can no longer be in use."""
        buckets = self.buckets
        while buckets and buckets[0][0] + BUCKET_WIDTH_S + RATE_WINDOW_S <= now:
            self.used -= buckets.popleft()[1]
        for loan_id in [
            loan_id for loan_id, lent in self.lent_by_id.items() if lent.expires_at <= now
        ]:
            del self.lent_by_id[loan_id]

    def get_own_free(self, share: float) -> float:
        """Return the unused part of the own share; negative after the share shrank."""
        return (
            self.limit * share - self.used - sum(lent.amount for lent in self.lent_by_id.values())
        )

    def get_free(self, share: float, now: float) -> float:
        """Return the amount that may be used now, including borrowed allowance."""
        borrowed = sum(
            borrowed.unused for borrowed in self.borrowed_by_id.values() if borrowed.use_until > now
        )
        return max(0.0, self.get_own_free(share)) + borrowed

    def charge(self, amount: float, now: float) -> list[float] | None:
        """Charge usage to the own share; return its bucket, or None for the concurrency limit."""
        self.used += amount
        if not self.is_rate:
            return None
        start = math.floor(now / BUCKET_WIDTH_S) * BUCKET_WIDTH_S
        if not self.buckets or self.buckets[-1][0] != start:
            self.buckets.append([start, 0.0])
        self.buckets[-1][1] += amount
        return self.buckets[-1]


class Permit:
    """Usage of all limits of one request; close it when the request ends.

    :param uses: one item per limit.
    """

    __slots__ = ("_limits", "_uses")

    def __init__(self, *, limits: FleetLimits | None, uses: list[_Usage]) -> None:
        self._limits = limits
        self._uses = uses

    def close(self, *, tokens: int | None = None) -> None:
        """Release what the request no longer uses.

        :param tokens: tokens that the request used; None keeps the estimate, 0 refunds it.
        """
        uses, self._uses = self._uses, []
        if uses and self._limits is not None:
            self._limits.release(uses, tokens)


#: Permit of a request without limits.
NO_LIMITS = Permit(limits=None, uses=[])


class EntryPeers:
    """Messaging with the other entry hosts that a stream is open to.

    :param hub: streams of the process.
    """

    def __init__(self, *, hub: PeerHub) -> None:
        self._hub = hub

    def register_handlers(self, limits: FleetLimits) -> None:
        """Deliver allowance messages from other entry hosts to ``limits``."""

        def handle_ask(peer: Peer, message: AllowanceAsk) -> None:
            if peer.hello.role == "entry":
                limits.handle_ask(peer.hello.host, message)

        def handle_grant(peer: Peer, message: AllowanceGrant) -> None:
            if peer.hello.role == "entry":
                limits.handle_grant(peer.hello.host, message)

        self._hub.on(AllowanceAsk, handle_ask)
        self._hub.on(AllowanceGrant, handle_grant)

    def list_hosts(self) -> list[str]:
        """Return the names of these hosts, sorted."""
        own = self._hub.hello.host
        hosts = {peer.hello.host for peer in self._hub.peers if peer.hello.role == "entry"}
        return sorted(hosts - {own})

    def send(self, host: str, message: object) -> bool:
        """Send a message on the first stream that accepts it; return whether there was one."""
        return any(
            peer.hello.host == host and peer.hello.role == "entry" and peer.send(message)
            for peer in self._hub.peers
        )


class FleetLimits:
    """The allowance of this entry host under every limit; performs no I/O itself.

    :param host: name of this entry host.
    :param clock: time source.
    :param rng: source of ask numbers and of randomized pauses.
    :param get_policy: returns the row in force for (model, client account, rank).
    :param list_peers: returns the entry hosts that a message can be sent to.
    :param send: sends a message to an entry host; delivery is not guaranteed.
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
        self._list_peers = list_peers
        self._send = send
        self._started_at = clock.monotonic()
        self._first_listed_at: float | None = None
        self._pools_by_key: dict[str, _Pool] = {}
        self._states_by_host: dict[str, str] = {}
        #: Hosts that disappeared from the host list: the times until which they still count for
        #: limits per minute and for the concurrency limit.
        self._departed_hosts: dict[str, tuple[float, float]] = {}
        #: Hosts that did not answer an ask, with the time until which they are not asked again.
        self._unresponsive_until: dict[str, float] = {}
        #: Used-up loans of limits per minute, with the time by which they expired at the lender.
        self._exhausted_loans: dict[tuple[str, int], float] = {}

    def replace_entry_hosts(self, states_by_host: dict[str, str]) -> None:
        """Replace the known entry hosts by those of a new host list.

        :param states_by_host: state of each host, ``live`` or ``leaving``.
        """
        now = self._clock.monotonic()
        for host, state in self._states_by_host.items():
            if host not in states_by_host:
                was_leaving = state == "leaving"
                self._departed_hosts[host] = (
                    now + (LEAVING_HOST_RATE_HOLD_S if was_leaving else MISSING_HOST_HOLD_S),
                    now + (LEAVING_HOST_CONCURRENT_HOLD_S if was_leaving else MISSING_HOST_HOLD_S),
                )
        for host in states_by_host:
            self._departed_hosts.pop(host, None)
        self._states_by_host = dict(states_by_host)
        if self._first_listed_at is None and self._host in states_by_host:
            self._first_listed_at = now

    def get_share(self, *, is_rate: bool) -> float:
        """Return the fraction of each limit that this host owns."""
        now = self._clock.monotonic()
        if self._first_listed_at is None or now < self._first_listed_at + self._list_lag_s:
            return 0.0
        if is_rate and now < self._started_at + self._start_quiet_s:
            return 0.0
        departed_count = sum(
            1
            for rate_until, concurrent_until in self._departed_hosts.values()
            if (rate_until if is_rate else concurrent_until) > now
        )
        return 1.0 / max(
            1, len(self._states_by_host) + (self._host not in self._states_by_host) + departed_count
        )

    async def acquire(
        self, *, model: str, client_account: str, rank: str, policy: LimitPolicy, tokens: int
    ) -> Result[Permit, Refusal]:
        """Acquire a permit for a request; wait for loans for a short time if needed.

        :param tokens: estimated number of tokens that the request will use.
        """
        if not (policy.concurrent_limit or policy.requests_per_minute or policy.tokens_per_minute):
            return Success(NO_LIMITS)
        row = f"{model}|{client_account}|{rank}"
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + MAX_LOAN_WAIT_S
        while True:
            acquired = self.try_acquire(row, policy, tokens)
            if isinstance(acquired, Permit):
                return Success(acquired)
            pool, amount = acquired
            time_left_s = wait_until - loop.time()
            if (
                amount > pool.limit
                or time_left_s <= 0
                or len(pool.waiters) >= MAX_WAITERS
                or not self.request_loans(pool, amount)
            ):
                return Failure(self._make_refusal(pool, amount))
            waiter: asyncio.Future[None] = loop.create_future()
            pool.waiters.append(waiter)
            try:
                await asyncio.wait([waiter], timeout=time_left_s)
            finally:
                if waiter in pool.waiters:
                    pool.waiters.remove(waiter)

    def try_acquire(
        self, row: str, policy: LimitPolicy, tokens: int
    ) -> Permit | tuple[_Pool, float]:
        """Return a permit, or the limit that is exhausted and the missing amount.

        :param row: ``model|client account|rank``.
        """
        now = self._clock.monotonic()
        uses: list[_Usage] = []
        for cell, limit, amount in (
            ("concurrent_limit", policy.concurrent_limit, 1.0),
            ("requests_per_minute", policy.requests_per_minute, 1.0),
            ("tokens_per_minute", policy.tokens_per_minute, float(tokens)),
        ):
            if not limit or amount <= 0:
                continue
            pool = self._get_pool(f"{row}|{cell}", cell, limit, now)
            if amount > limit:
                self.release(uses, 0, never_started=True)
                return pool, math.inf
            share = self.get_share(is_rate=pool.is_rate)
            self._update_demand(pool, amount, now)
            shortfall = amount - pool.get_free(share, now)
            if shortfall > _TOLERANCE:
                pool.needed_amount = amount
                # The request did not start, so all usage of the other limits is refunded.
                self.release(uses, 0, never_started=True)
                return pool, shortfall
            uses.append(self._consume(pool, amount, now))
            if pool.get_free(share, now) < pool.demand:
                self.request_loans(pool, pool.demand)
        return Permit(limits=self, uses=uses)

    def release(
        self, uses: list[_Usage], tokens: int | None, *, never_started: bool = False
    ) -> None:
        """Refund the usage of a request that no longer counts.

        :param tokens: see :meth:`Permit.close`.
        :param never_started: whether the request was not started, so that all usage is refunded.
        """
        now = self._clock.monotonic()
        for use in uses:
            pool = use.pool
            if not pool.is_rate or never_started:
                refund = math.inf
            elif pool.cell == "tokens_per_minute" and tokens is not None:
                refund = use.own_amount + sum(amount for _, amount in use.borrowed_parts) - tokens
            else:
                refund = 0.0
            if refund < 0:
                # The estimate was too low; the difference is charged now.
                pool.charge(-refund, now)
            own_refund = min(use.own_amount, max(0.0, refund))
            if own_refund > 0:
                if use.bucket is None:
                    pool.used -= own_refund
                elif pool.buckets and use.bucket[0] >= pool.buckets[0][0]:
                    use.bucket[1] -= own_refund
                    pool.used -= own_refund
            refund -= own_refund
            for loan_id, amount in use.borrowed_parts:
                refunded = min(amount, max(0.0, refund))
                refund -= refunded
                self._release_borrowed(pool, loan_id, amount, refunded, now)
            self._wake_waiters(pool)

    def request_loans(self, pool: _Pool, amount: float) -> bool:
        """Ask other hosts for loans; return whether answers may still arrive in time."""
        now = self._clock.monotonic()
        if pool.asks_by_id:
            last_asked_at = max(ask.asked_at for ask in pool.asks_by_id.values())
            if now < last_asked_at + ASK_TIMEOUT_S:
                return now < last_asked_at + MAX_LOAN_WAIT_S
            self._end_ask_round(pool, now)
        if now < pool.next_ask_at:
            return False
        entry_peers = [
            host for host in self._list_peers() if self._unresponsive_until.get(host, 0.0) <= now
        ]
        if not entry_peers:
            return False
        pool.next_ask_at = now + MIN_ASK_PERIOD_S
        wanted_amount = min(pool.limit, amount + pool.demand)
        # Each is asked for twice an equal part, because some have nothing to lend; what is not used
        # is returned.
        amount_per_peer = max(2 * wanted_amount / len(entry_peers), min(1.0, wanted_amount))
        for host in entry_peers:
            number = self._rng.getrandbits(62)
            pool.asks_by_id[host, number] = _PendingAsk(amount_per_peer, now)
            self._send(host, AllowanceAsk(pool.key, 0, amount_per_peer, number))
        return True

    def handle_ask(self, host: str, message: AllowanceAsk) -> None:
        """Answer an ask with a loan of what this host does not need; the amount may be 0.

        An ask for an amount of 0 queries the outstanding amount of a loan to this host.
        """
        now = self._clock.monotonic()
        if message.amount == 0:
            self._send_outstanding(host, message, now)
            return
        amount = 0.0
        key_parts = message.key.split("|")
        if len(key_parts) == 4 and key_parts[3] in _CODES_BY_CELL and 0 < message.amount < math.inf:
            limit = float(getattr(self._get_policy(*key_parts[:3]), key_parts[3]))
            if limit > 0:
                pool = self._get_pool(message.key, key_parts[3], limit, now)
                amount = self._lend(pool, host, message, now)
        self._send(host, AllowanceGrant(message.key, 0, amount, message.number))

    def handle_grant(self, host: str, message: AllowanceGrant) -> None:
        """Process a loan that was granted to this host, or the return of one that it granted."""
        now = self._clock.monotonic()
        pool = self._pools_by_key.get(message.key)
        if pool is None or not 0 <= message.amount < math.inf:
            return
        loan_id = (host, message.number)
        lent = pool.lent_by_id.get(loan_id)
        ask = pool.asks_by_id.pop(loan_id, None)
        if lent is not None:
            lent.amount = min(message.amount, lent.amount)
            if lent.amount <= _TOLERANCE:
                del pool.lent_by_id[loan_id]
        elif ask is None:
            # Either a grant whose ask was dropped, which expires at the lender, or the outstanding
            # amount of a loan that this host granted before a restart.
            if not pool.is_rate and message.amount > 0 and loan_id not in pool.borrowed_by_id:
                self._record_loan(pool, loan_id, message.amount, now)
        else:
            amount = min(message.amount, ask.amount)
            use_until = ask.asked_at + LOAN_USABLE_S
            if amount > 0 and now < use_until:
                check_at = now + LOAN_CHECK_PERIOD_S
                pool.borrowed_by_id[loan_id] = _BorrowedAllowance(
                    amount, amount, use_until, now, check_at
                )
            if not pool.asks_by_id:
                self._end_ask_round(pool, now)
        self._wake_waiters(pool)

    def tick(self) -> None:
        """Return unused loans, reconcile loans and drop idle limits; call about once a second."""
        now = self._clock.monotonic()
        for key, pool in list(self._pools_by_key.items()):
            pool.expire(now)
            if any(ask.asked_at + ASK_TIMEOUT_S <= now for ask in pool.asks_by_id.values()):
                self._end_ask_round(pool, now)
            for loan_id, borrowed in list(pool.borrowed_by_id.items()):
                if now >= min(borrowed.use_until, borrowed.used_at + LOAN_IDLE_S):
                    self._return_loan(pool, loan_id, borrowed.unused)
                elif now >= borrowed.check_at and not pool.is_rate:
                    borrowed.check_at = now + LOAN_CHECK_PERIOD_S
                    self._send(loan_id[0], AllowanceGrant(key, 0, borrowed.outstanding, loan_id[1]))
            for loan_id, lent in pool.lent_by_id.items():
                if now >= lent.check_at:
                    lent.check_at = now + LOAN_CHECK_PERIOD_S
                    self._send(loan_id[0], AllowanceAsk(key, 0, 0.0, loan_id[1]))
            if now - pool.last_used_at > POOL_IDLE_S and not (
                pool.buckets
                or pool.lent_by_id
                or pool.borrowed_by_id
                or pool.waiters
                or pool.used > _TOLERANCE
            ):
                del self._pools_by_key[key]
        for loan_id in [
            loan_id for loan_id, until in self._exhausted_loans.items() if until <= now
        ]:
            del self._exhausted_loans[loan_id]
        for host in [h for h, until in self._departed_hosts.items() if max(until) <= now]:
            del self._departed_hosts[host]

    def _get_pool(self, key: str, cell: str, limit: float, now: float) -> _Pool:
        pool = self._pools_by_key.get(key)
        if pool is None:
            pool = _Pool(key, cell, limit)
            if len(self._pools_by_key) >= MAX_POOLS:
                pool.limit = 0.0
                return pool
            self._pools_by_key[key] = pool
        pool.limit = limit
        pool.last_used_at = now
        pool.expire(now)
        return pool

    def _consume(self, pool: _Pool, amount: float, now: float) -> _Usage:
        # Loans are used first: unlike the own share, what is left of them is lost soon.
        borrowed_parts: list[tuple[tuple[str, int], float]] = []
        for loan_id, borrowed in pool.borrowed_by_id.items():
            if amount <= 0:
                break
            if borrowed.use_until > now and borrowed.unused > 0:
                part = min(borrowed.unused, amount)
                borrowed.unused -= part
                borrowed.used_at = now
                borrowed.in_use += part
                borrowed_parts.append((loan_id, part))
                amount -= part
        amount = max(0.0, amount)
        return _Usage(pool, amount, pool.charge(amount, now) if amount else None, borrowed_parts)

    def _release_borrowed(
        self,
        pool: _Pool,
        loan_id: tuple[str, int],
        taken_amount: float,
        refunded: float,
        now: float,
    ) -> None:
        borrowed = pool.borrowed_by_id.get(loan_id)
        if borrowed is None:
            return
        borrowed.in_use -= taken_amount
        borrowed.unused += refunded
        if now >= borrowed.use_until:
            self._return_loan(pool, loan_id, borrowed.unused)

    def _return_loan(self, pool: _Pool, loan_id: tuple[str, int], amount: float) -> None:
        """Return ``amount`` of a loan by sending the lender the new outstanding amount."""
        borrowed = pool.borrowed_by_id[loan_id]
        if amount > 0:
            borrowed.unused -= amount
            borrowed.outstanding = max(0.0, borrowed.outstanding - amount)
            self._send(loan_id[0], AllowanceGrant(pool.key, 0, borrowed.outstanding, loan_id[1]))
        if borrowed.in_use <= _TOLERANCE and borrowed.unused <= _TOLERANCE:
            if pool.is_rate and borrowed.outstanding > _TOLERANCE:
                # The used amount counts at the lender until the loan expires there. Until then this
                # entry keeps _send_outstanding from reporting the loan as fully returned.
                self._exhausted_loans[loan_id] = (
                    self._clock.monotonic() + LOAN_USABLE_S + RATE_QUIET_S
                )
            del pool.borrowed_by_id[loan_id]

    def _send_outstanding(self, host: str, message: AllowanceAsk, now: float) -> None:
        loan_id = (host, message.number)
        pool = self._pools_by_key.get(message.key)
        if pool is not None and loan_id in pool.borrowed_by_id:
            outstanding = pool.borrowed_by_id[loan_id].outstanding
        elif loan_id in self._exhausted_loans or now < self._started_at + self._start_quiet_s:
            # A used-up loan still counts at the lender. A restarted host does not know its loans,
            # and its requests from before the restart still count.
            return
        else:
            # The grant was lost, or it is late and must not be accepted any more.
            outstanding = 0.0
            if pool is not None:
                pool.asks_by_id.pop(loan_id, None)
        self._send(host, AllowanceGrant(message.key, 0, outstanding, message.number))

    def _end_ask_round(self, pool: _Pool, now: float) -> None:
        """Drop unanswered asks; return loans that do not suffice, so that others can use them."""
        for loan_id in [
            loan_id
            for loan_id, ask in pool.asks_by_id.items()
            if ask.asked_at + ASK_TIMEOUT_S <= now
        ]:
            del pool.asks_by_id[loan_id]
            self._unresponsive_until[loan_id[0]] = now + UNRESPONSIVE_PAUSE_S
        free = pool.get_free(self.get_share(is_rate=pool.is_rate), now)
        if pool.needed_amount <= 0 or free >= pool.needed_amount - _TOLERANCE:
            return
        pool.needed_amount = 0.0
        # Randomized, so that two hosts that each collect fractions of one request do not retry at
        # the same time.
        pool.next_ask_at = now + FAILED_ASK_PAUSE_S * self._rng.uniform(0.5, 4.0)
        for loan_id, borrowed in list(pool.borrowed_by_id.items()):
            self._return_loan(pool, loan_id, borrowed.unused)

    def _record_loan(
        self, pool: _Pool, loan_id: tuple[str, int], amount: float, now: float
    ) -> None:
        hold_s = LOAN_USABLE_S + LOAN_SLACK_S
        hold_s += RATE_WINDOW_S + BUCKET_WIDTH_S if pool.is_rate else MAX_REQUEST_S
        pool.lent_by_id[loan_id] = _LentAllowance(amount, now + hold_s, now + LOAN_CHECK_PERIOD_S)

    def _lend(self, pool: _Pool, host: str, message: AllowanceAsk, now: float) -> float:
        free = pool.get_own_free(self.get_share(is_rate=pool.is_rate))
        request_size = max(1.0, pool.demand) if pool.is_rate else 1.0
        if now - pool.demand_updated_at < 10.0:
            if free >= request_size:
                free /= 2
            elif pool.asks_by_id and host < self._host:
                # Two hosts that each lack a fraction of one request would exchange their fractions
                # endlessly, so only the host with the later name borrows.
                free = 0.0
        amount = min(message.amount, free)
        if amount <= _TOLERANCE:
            return 0.0
        check_invariant(
            "loan_within_share",
            amount <= pool.get_own_free(self.get_share(is_rate=pool.is_rate)) + _TOLERANCE,
            limit=pool.key,
        )
        self._record_loan(pool, (host, message.number), amount, now)
        return amount

    def _update_demand(self, pool: _Pool, amount: float, now: float) -> None:
        """Update the demand of about the last second, which sizes the next ask."""
        elapsed = now - pool.demand_updated_at
        pool.demand = amount + (pool.demand * math.exp(-elapsed) if elapsed < 20 else 0.0)
        pool.demand_updated_at = now

    def _wake_waiters(self, pool: _Pool) -> None:
        waiters, pool.waiters = pool.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _make_refusal(self, pool: _Pool, amount: float) -> Refusal:
        retry_after_ms = 1000
        if pool.is_rate and pool.buckets:
            available_in_s = (
                pool.buckets[0][0] + BUCKET_WIDTH_S + RATE_WINDOW_S - self._clock.monotonic()
            )
            retry_after_ms = max(1000, int(available_in_s * 1000))
        detail = f"Limit {pool.limit:g} for {pool.key.rpartition('|')[0]}."
        return Refusal(_CODES_BY_CELL[pool.cell], Executed.NO, detail, retry_after_ms)
