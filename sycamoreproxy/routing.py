"""Selection of an upstream for an attempt.

Takes into account predicted wait, prefix affinity, slow start and circuit breakers.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection

from sycamoreproxy.clock import Clock
from sycamoreproxy.membership import Membership, UpstreamState
from sycamoreproxy.result_codes import Refusal
from sycamoreproxy.retries import UPSTREAM_FAULTS, CircuitBreaker

#: Duration of the slow start of an upstream that became available, in seconds.
SLOW_START_S = 10.0
#: Fraction of its normal load that it gets at the beginning of the slow start.
SLOW_START_MIN_FRACTION = 0.1
#: Reduction of the score of an upstream that has the prefix cached, in milliseconds: about the
#: prefill time of 1,000 tokens.
PREFIX_BONUS_MS = 150.0
#: A cached prefix counts only while the load of the upstream is at most this multiple of the mean
#: load plus one request, so that a hot prefix does not overload one upstream.
PREFIX_LOAD_BOUND = 1.25
#: Maximum number of prefixes whose last upstream is remembered; needed because reports of cached
#: prefixes arrive late.
MAX_TRACKED_PREFIXES = 4_096
#: Predicted wait per placed request at a full engine that reports no wait, in milliseconds.
PLACED_REQUEST_WAIT_MS = 20.0
#: Score of a fully utilized engine relative to an idle one, in milliseconds; decides between
#: upstreams without waiting requests.
UTILIZATION_WEIGHT_MS = 10.0
#: Maximum number of upstreams compared for one attempt. From more than that a random sample is
#: taken: the best of a few random ones is nearly as good as the best of all, and the comparison is
#: made for every request.
MAX_CANDIDATES = 8
#: Upstreams whose score is within this margin of the best count as tied, in milliseconds. The
#: random choice among them keeps entry hosts with the same reports from all choosing the same
#: upstream.
TIE_MARGIN_MS = 1.0


class Router:
    """Chooses upstreams and tracks the outcomes of attempts; performs no I/O.

    :param membership: source of the candidate upstreams.
    :param availability_zone: availability zone of this entry host.
    :param clock: time source.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        availability_zone: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._availability_zone = availability_zone
        self._clock = clock
        self._rng = rng
        self._breakers_by_host: dict[str, CircuitBreaker] = {}
        self._hosts_by_prefix: OrderedDict[str, str] = OrderedDict()

    def choose(
        self,
        *,
        kind: str,
        name: str,
        rank: str,
        time_left_ms: float,
        prefix_key: str = "",
        excluded: Collection[str] = (),
        only_in_time: bool = False,
    ) -> UpstreamState | None:
        """Return the upstream for an attempt, or None if there is none.

        :param time_left_ms: time to the deadline, in milliseconds.
        :param prefix_key: key of the prompt prefix for cache affinity; empty for none.
        :param excluded: hosts that must not be chosen.
        :param only_in_time: whether to return None if the predicted wait exceeds the deadline.
        """
        now = self._clock.monotonic()
        breakers = self._breakers_by_host
        available_states = [
            state
            for state in self._membership.upstreams(kind, name)
            if state.is_available(now)
            and state.host not in excluded
            and ((breaker := breakers.get(state.host)) is None or breaker.allows())
        ]
        if not available_states:
            return None
        local_states = [
            s for s in available_states if s.availability_zone == self._availability_zone
        ]
        competing_hosts = self._membership.count_competing_entries(kind, name)
        if local_states:
            chosen, wait_ms = self._choose_best(
                local_states, rank, prefix_key, now, competing_hosts
            )
            if wait_ms < time_left_ms:
                return chosen
            if len(local_states) == len(available_states):
                return None if only_in_time else chosen
        chosen, wait_ms = self._choose_best(
            available_states, rank, prefix_key, now, competing_hosts
        )
        return None if only_in_time and wait_ms >= time_left_ms else chosen

    def begin_attempt(self, state: UpstreamState, *, prefix_key: str = "") -> None:
        """Record that an attempt is about to be sent."""
        state.open_attempts += 1
        state.attempts_since_status += 1
        breaker = self._breakers_by_host.get(state.host)
        if breaker is not None:
            breaker.record_attempt()
        if prefix_key:
            self._hosts_by_prefix[prefix_key] = state.host
            self._hosts_by_prefix.move_to_end(prefix_key)
            if len(self._hosts_by_prefix) > MAX_TRACKED_PREFIXES:
                self._hosts_by_prefix.popitem(last=False)

    def end_attempt(self, state: UpstreamState, refusal: Refusal | None) -> None:
        """Record the end of an attempt.

        :param refusal: why there is no complete response; None if there is one.
        """
        state.open_attempts -= 1
        breaker = self._breakers_by_host.get(state.host)
        if refusal is not None and refusal.code in UPSTREAM_FAULTS:
            if breaker is None:
                breaker = self._breakers_by_host[state.host] = CircuitBreaker(clock=self._clock)
            breaker.record_failure()
        elif breaker is not None:
            if not breaker.allows():
                state.available_since = self._clock.monotonic()
            # A refusal for lack of capacity also shows that the upstream responds.
            breaker.record_success()
            del self._breakers_by_host[state.host]

    def accepts_work(self, state: UpstreamState) -> bool:
        """Return whether new work may be sent to an upstream."""
        return state.is_available(self._clock.monotonic())

    def mark_suspected(self, state: UpstreamState) -> None:
        """Send no new work to an upstream until its next status arrives."""
        state.suspected_at = self._clock.monotonic()

    def predict_wait_ms(self, state: UpstreamState, rank: str) -> float:
        """Return the predicted wait of a new request of a rank, in milliseconds."""
        return _predict_wait_ms(state, rank)

    def _choose_best(
        self,
        states: list[UpstreamState],
        rank: str,
        prefix_key: str,
        now: float,
        competing_hosts: float,
    ) -> tuple[UpstreamState, float]:
        """Choose one of at least one upstream; return it and its predicted wait in milliseconds.

        :param competing_hosts: number of entry hosts that use the same reports. Each of them is
            assumed to place as many requests between two reports as this one; otherwise all of
            them would overload the upstream that was reported as least loaded.
        """
        if len(states) == 1:
            return states[0], _predict_wait_ms(states[0], rank)
        eligible = [s for s in states if self._passes_slow_start(s, now)] or states
        affinity_host = self._hosts_by_prefix.get(prefix_key) if prefix_key else None
        if len(eligible) > MAX_CANDIDATES:
            sample = self._rng.sample(eligible, MAX_CANDIDATES)
            sample += [s for s in eligible if s.host == affinity_host and s not in sample]
            eligible = sample
        load_bound = 0.0
        if prefix_key:
            load_bound = (
                PREFIX_LOAD_BOUND
                * (sum(_get_load(state, competing_hosts) for state in eligible) / len(eligible))
                + 1.0
            )
        best: list[UpstreamState] = []
        best_score = float("inf")
        for state in eligible:
            status = state.status
            score = _predict_wait_ms(state, rank, competing_hosts)
            if status is not None and status.window:
                score += UTILIZATION_WEIGHT_MS * _get_load(state, competing_hosts) / status.window
            if (
                prefix_key
                and (state.host == affinity_host or prefix_key in state.prefixes)
                and _get_load(state, competing_hosts) <= load_bound
            ):
                score -= PREFIX_BONUS_MS
            if score < best_score - TIE_MARGIN_MS:
                best = [state]
                best_score = score
            elif score <= best_score + TIE_MARGIN_MS:
                best.append(state)
                best_score = min(best_score, score)
        chosen = best[0] if len(best) == 1 else self._rng.choice(best)
        return chosen, _predict_wait_ms(chosen, rank)

    def _passes_slow_start(self, state: UpstreamState, now: float) -> bool:
        age_s = now - state.available_since
        if age_s >= SLOW_START_S:
            return True
        accept_probability = (
            SLOW_START_MIN_FRACTION + (1.0 - SLOW_START_MIN_FRACTION) * age_s / SLOW_START_S
        )
        return self._rng.random() < accept_probability


def _get_load(state: UpstreamState, competing_hosts: float) -> float:
    """Return the number of requests at an upstream, with those placed since its last status."""
    status = state.status
    placed = state.attempts_since_status * competing_hosts
    if status is None:
        return placed
    return status.running + sum(status.waiting_by_rank.values()) + placed


def _predict_wait_ms(state: UpstreamState, rank: str, competing_hosts: float = 1.0) -> float:
    """Return the predicted wait of a new request of a rank, in milliseconds."""
    status = state.status
    if status is None:
        return 0.0
    wait_ms = float(status.wait_ms_by_rank.get(rank, 0))
    placed = state.attempts_since_status * competing_hosts
    if placed == 0:
        return wait_ms
    waiting = sum(status.waiting_by_rank.values())
    newly_queued = placed if waiting else max(0.0, status.running + placed - status.window)
    wait_per_request_ms = wait_ms / waiting if waiting and wait_ms else PLACED_REQUEST_WAIT_MS
    return wait_ms + newly_queued * wait_per_request_ms
