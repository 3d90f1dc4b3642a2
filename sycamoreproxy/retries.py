"""Which attempts may be repeated, how many, and which upstreams are left out meanwhile."""

from __future__ import annotations

from sycamoreproxy import result_codes as codes
from sycamoreproxy.clock import Clock
from sycamoreproxy.result_codes import Executed, Refusal, ResultCode

#: Attempts of one request, the first included.
MAX_ATTEMPTS = 3
#: Extra attempts as a part of the requests.
RETRY_FRACTION = 0.1
#: Extra attempts that a host with little traffic may make, after failures and for want of
#: capacity; the latter leave this many to the former, or a flood would use all of them up.
RETRY_RESERVE = 3.0
#: Time to refill both, in seconds.
RESERVE_PERIOD_S = 10.0
#: Extra attempts that can be saved up; bounds the burst when many upstreams fail at once.
MAX_SAVED_RETRIES = 50.0
#: Failures in a row that open a breaker.
BREAKER_FAILURES = 5
#: First and longest time that a breaker stays open, in seconds.
BREAKER_MIN_OPEN_S = 1.0
BREAKER_MAX_OPEN_S = 16.0

#: Failures that speak against the upstream rather than against the request.
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
#: Refusals after which another upstream may still answer.
ELSEWHERE: frozenset[ResultCode] = UPSTREAM_FAULTS | {
    codes.DEADLINE_UNREACHABLE,
    codes.QUEUE_FULL,
    codes.LEAVING,
    codes.VERSION_NOT_READY,
    codes.NO_UPSTREAM,
}


def may_retry(refusal: Refusal, *, idempotent: bool, sent_to_caller: bool) -> bool:
    """Return whether a failed attempt may be repeated without harm.

    :param sent_to_caller: whether the caller already received a part of an answer.
    """
    if sent_to_caller or refusal.code not in ELSEWHERE:
        return False
    return refusal.executed is Executed.NO or idempotent


class RetryBudget:
    """Limits extra attempts to a part of the requests.

    :param clock: time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._tokens = 2 * RETRY_RESERVE
        self._refilled_at = clock.monotonic()

    def count_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRY_FRACTION)

    @property
    def has_spare_retries(self) -> bool:
        """Whether a repeat that is no answer to a failure may be made."""
        return self._tokens >= 1.0 + RETRY_RESERVE

    def try_withdraw(self, *, keep_reserve: bool) -> bool:
        """Return whether an extra attempt may be made, and count it.

        :param keep_reserve: whether the repeat is for want of capacity.
        """
        now = self._clock.monotonic()
        if self._tokens < 2 * RETRY_RESERVE:
            refill = (now - self._refilled_at) * 2 * RETRY_RESERVE / RESERVE_PERIOD_S
            self._tokens = min(2 * RETRY_RESERVE, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < (1.0 + RETRY_RESERVE if keep_reserve else 1.0):
            return False
        self._tokens -= 1.0
        return True


class CircuitBreaker:
    """Leaves an upstream out after failures in a row; then lets one trial through at a time.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_failures", "_open_until", "_pause_s", "_trial_at")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._open_until = 0.0
        self._pause_s = 0.0
        self._trial_at: float | None = None

    def allows(self) -> bool:
        """Return whether an attempt may be sent."""
        if self._pause_s == 0.0:
            return True
        now = self._clock.monotonic()
        if now < self._open_until:
            return False
        # A trial without any result is given up after the longest pause.
        return self._trial_at is None or now - self._trial_at > BREAKER_MAX_OPEN_S

    def record_attempt(self) -> None:
        """Count an attempt; while the breaker is open it is the trial."""
        if self._pause_s:
            self._trial_at = self._clock.monotonic()

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._pause_s = 0.0
        self._trial_at = None

    def record_failure(self) -> None:
        """Count a failure; open the breaker if it is one too many or the trial."""
        self._failures += 1
        self._trial_at = None
        if self._pause_s:
            self._pause_s = min(BREAKER_MAX_OPEN_S, self._pause_s * 2)
        elif self._failures >= BREAKER_FAILURES:
            self._pause_s = BREAKER_MIN_OPEN_S
        if self._pause_s:
            self._open_until = self._clock.monotonic() + self._pause_s
