"""Retry rules, retry budget and circuit breakers."""

from __future__ import annotations

from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import Clock
from sycamoreproxy.result_codes import Executed, Refusal, ResultCode

#: Maximum number of attempts of one request, including the first.
MAX_ATTEMPTS = 3
#: Retries added to the budget per request.
RETRY_FRACTION = 0.1
#: Number of retries kept for use after failures. Retries for lack of capacity are not made if fewer
#: would remain; otherwise an overload would use up the whole budget. The budget is refilled over
#: time up to twice this number, so that a host with little traffic can retry in both cases.
RETRY_RESERVE = 3.0
#: Time in which the budget is refilled from 0 to twice :data:`RETRY_RESERVE`, in seconds.
RESERVE_REFILL_S = 10.0
#: Maximum budget; bounds the burst of retries when many upstreams fail at the same time.
MAX_SAVED_RETRIES = 50.0
#: Number of consecutive failures that opens a circuit breaker.
BREAKER_FAILURES = 5
#: Initial and longest time for which a breaker stays open, in seconds; doubled after each failed
#: probe.
BREAKER_MIN_OPEN_S = 1.0
BREAKER_MAX_OPEN_S = 16.0

#: Result codes that are attributed to the upstream rather than to the request.
UPSTREAM_FAULTS: frozenset[ResultCode] = frozenset(
    {
        codes.UPSTREAM_FAILED,
        codes.UPSTREAM_LOST,
        codes.UPSTREAM_TIMEOUT,
        codes.ANSWER_INCOMPLETE,
        codes.MIXED_VERSIONS,
        codes.PROTOCOL_ERROR,
        codes.INTERNAL,
        codes.INVARIANT_VIOLATED,
    }
)
#: Result codes after which an attempt on another upstream may succeed.
RETRYABLE_CODES: frozenset[ResultCode] = UPSTREAM_FAULTS | {
    codes.DEADLINE_UNREACHABLE,
    codes.QUEUE_FULL,
    codes.LEAVING,
    codes.VERSION_NOT_READY,
    codes.NO_UPSTREAM,
}


def may_retry(refusal: Refusal, *, idempotent: bool, sent_to_caller: bool) -> bool:
    """Return whether a failed attempt may be retried safely.

    :param sent_to_caller: whether the caller already received part of a response.
    """
    if sent_to_caller or refusal.code not in RETRYABLE_CODES:
        return False
    return refusal.executed is Executed.NO or idempotent


class RetryBudget:
    """Limits retries to a fraction of the requests.

    :param clock: time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._tokens = 2 * RETRY_RESERVE
        self._refilled_at = clock.monotonic()

    def count_request(self) -> None:
        """Record the first attempt of a request."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRY_FRACTION)

    def try_withdraw(self, *, keep_reserve: bool) -> bool:
        """Withdraw one retry from the budget; return whether it was available.

        :param keep_reserve: whether the retry is for lack of capacity, so that the reserve for
            failures must be kept.
        """
        now = self._clock.monotonic()
        if self._tokens < 2 * RETRY_RESERVE:
            refill = (now - self._refilled_at) * 2 * RETRY_RESERVE / RESERVE_REFILL_S
            self._tokens = min(2 * RETRY_RESERVE, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < (1.0 + RETRY_RESERVE if keep_reserve else 1.0):
            return False
        self._tokens -= 1.0
        return True


class CircuitBreaker:
    """Excludes an upstream after consecutive failures, then allows one probe at a time.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_failures", "_open_s", "_open_until", "_probe_at")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._open_until = 0.0
        self._open_s = 0.0
        self._probe_at: float | None = None

    def allows(self) -> bool:
        """Return whether an attempt may be sent."""
        if self._open_s == 0.0:
            return True
        now = self._clock.monotonic()
        if now < self._open_until:
            return False
        # A probe without a result is abandoned after the longest open time.
        return self._probe_at is None or now - self._probe_at > BREAKER_MAX_OPEN_S

    def record_attempt(self) -> None:
        """Record that an attempt is sent; unless the breaker is closed it is the probe."""
        if self._open_s:
            self._probe_at = self._clock.monotonic()

    def record_success(self) -> None:
        """Record a success, which closes the breaker."""
        self._failures = 0
        self._open_s = 0.0
        self._probe_at = None

    def record_failure(self) -> None:
        """Record a failure; open the breaker at the failure limit or if it was the probe."""
        self._failures += 1
        self._probe_at = None
        if self._open_s:
            self._open_s = min(BREAKER_MAX_OPEN_S, self._open_s * 2)
        elif self._failures >= BREAKER_FAILURES:
            self._open_s = BREAKER_MIN_OPEN_S
        if self._open_s:
            self._open_until = self._clock.monotonic() + self._open_s
