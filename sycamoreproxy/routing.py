"""Placement of one attempt: predicted wait, prefix affinity, slow start, circuit breakers."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection

from sycamoreproxy.clock import Clock
from sycamoreproxy.membership import Membership, UpstreamState
from sycamoreproxy.result_codes import Refusal
from sycamoreproxy.retries import UPSTREAM_FAULTS, CircuitBreaker

#: Time over which a returning upstream gets its full part of the work, in seconds.
SLOW_START_S = 10.0
#: Part of the work that it gets at once.
SLOW_START_MIN = 0.1
#: Wait that a cached prefix is worth, in milliseconds: about the prefill of 1,000 tokens.
PREFIX_WORTH_MS = 150.0
#: A cached prefix counts only while the upstream's load is at most this times the mean, plus
#: one request; it keeps one hot prefix from overloading one upstream.
PREFIX_LOAD_BOUND = 1.25
#: Prefixes whose last placement is remembered, because cache reports arrive late.
MAX_PREFIXES = 4_096
#: Added wait of a full engine without a reported wait, in milliseconds per placed request.
PLACED_MS = 20.0
#: Weight of the engine's use among upstreams without waiting work, in milliseconds.
USE_MS = 10.0
#: Upstreams compared for one attempt; more are sampled, because the best of a few random ones
#: is nearly the best of all and the cost of a comparison is paid for each request.
MAX_COMPARED = 8
#: Upstreams within this wait of the best count as equal, in milliseconds; a random choice among
#: equals keeps entry hosts with the same reports from choosing the same upstream.
EQUAL_MS = 1.0


class Router:
    """Chooses upstreams and learns from how attempts end; performs no I/O.

    :param membership: the candidates.
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
        :param excluded: hosts that must not be chosen.
        :param only_in_time: whether the predicted wait must be within the deadline.
        """
        now = self._clock.monotonic()
        breakers = self._breakers_by_host
        open_states = [
            state
            for state in self._membership.upstreams(kind, name)
            if state.is_available(now)
            and state.host not in excluded
            and ((breaker := breakers.get(state.host)) is None or breaker.allows())
        ]
        if not open_states:
            return None
        local = [s for s in open_states if s.availability_zone == self._availability_zone]
        rivals = self._membership.count_competing_entries(kind, name)
        if local:
            chosen, wait_ms = self._choose_among(local, rank, prefix_key, now, rivals)
            if wait_ms < time_left_ms:
                return chosen
            if len(local) == len(open_states):
                return None if only_in_time else chosen
        chosen, wait_ms = self._choose_among(open_states, rank, prefix_key, now, rivals)
        return None if only_in_time and wait_ms >= time_left_ms else chosen

    def begin_attempt(self, state: UpstreamState, *, prefix_key: str = "") -> None:
        """Count an attempt that is about to be sent."""
        state.open_attempts += 1
        state.attempts_since_status += 1
        breaker = self._breakers_by_host.get(state.host)
        if breaker is not None:
            breaker.record_attempt()
        if prefix_key:
            self._hosts_by_prefix[prefix_key] = state.host
            self._hosts_by_prefix.move_to_end(prefix_key)
            if len(self._hosts_by_prefix) > MAX_PREFIXES:
                self._hosts_by_prefix.popitem(last=False)

    def end_attempt(self, state: UpstreamState, refusal: Refusal | None) -> None:
        """Learn from the end of an attempt.

        :param refusal: why it has no whole answer; None if it has one.
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
            # A refusal for want of capacity also proves that the upstream answers.
            breaker.record_success()
            del self._breakers_by_host[state.host]

    def accepts_work(self, state: UpstreamState) -> bool:
        """Return whether an upstream may be sent new work."""
        return state.is_available(self._clock.monotonic())

    def mark_suspected(self, state: UpstreamState) -> None:
        """Give an upstream no new work until its next status."""
        state.suspected_at = self._clock.monotonic()

    def predict_wait_ms(self, state: UpstreamState, rank: str) -> float:
        """Return the wait that a new request of a rank would have, in milliseconds."""
        return _predict_wait_ms(state, rank)

    def _choose_among(
        self,
        states: list[UpstreamState],
        rank: str,
        prefix_key: str,
        now: float,
        rivals: float,
    ) -> tuple[UpstreamState, float]:
        """Return the chosen one of at least one upstream and its predicted wait in ms.

        :param rivals: entry hosts that see the same reports. Between two reports each of them is
            taken to place as much as this one; else all would fill up the least loaded upstream.
        """
        if len(states) == 1:
            return states[0], _predict_wait_ms(states[0], rank)
        eligible = [s for s in states if self._passes_slow_start(s, now)] or states
        holder = self._hosts_by_prefix.get(prefix_key) if prefix_key else None
        if len(eligible) > MAX_COMPARED:
            sample = self._rng.sample(eligible, MAX_COMPARED)
            sample += [s for s in eligible if s.host == holder and s not in sample]
            eligible = sample
        load_bound = 0.0
        if prefix_key:
            load_bound = (
                PREFIX_LOAD_BOUND
                * (sum(_get_load(state, rivals) for state in eligible) / len(eligible))
                + 1.0
            )
        best: list[UpstreamState] = []
        best_score = float("inf")
        for state in eligible:
            status = state.status
            score = _predict_wait_ms(state, rank, rivals)
            if status is not None and status.window:
                score += USE_MS * _get_load(state, rivals) / status.window
            if (
                prefix_key
                and (state.host == holder or prefix_key in state.prefixes)
                and _get_load(state, rivals) <= load_bound
            ):
                score -= PREFIX_WORTH_MS
            if score < best_score - EQUAL_MS:
                best = [state]
                best_score = score
            elif score <= best_score + EQUAL_MS:
                best.append(state)
                best_score = min(best_score, score)
        chosen = best[0] if len(best) == 1 else self._rng.choice(best)
        return chosen, _predict_wait_ms(chosen, rank)

    def _passes_slow_start(self, state: UpstreamState, now: float) -> bool:
        age_s = now - state.available_since
        if age_s >= SLOW_START_S:
            return True
        part = SLOW_START_MIN + (1.0 - SLOW_START_MIN) * age_s / SLOW_START_S
        return self._rng.random() < part


def _get_load(state: UpstreamState, rivals: float) -> float:
    """Return the requests that the upstream holds, with those its status cannot know of."""
    status = state.status
    placed = state.attempts_since_status * rivals
    if status is None:
        return placed
    return status.running + sum(status.waiting_by_rank.values()) + placed


def _predict_wait_ms(state: UpstreamState, rank: str, rivals: float = 1.0) -> float:
    """Return the wait that a new request of a rank would have, in milliseconds."""
    status = state.status
    if status is None:
        return 0.0
    wait_ms = float(status.wait_ms_by_rank.get(rank, 0))
    placed = state.attempts_since_status * rivals
    if placed == 0:
        return wait_ms
    waiting = sum(status.waiting_by_rank.values())
    over = placed if waiting else max(0.0, status.running + placed - status.window)
    each_ms = wait_ms / waiting if waiting and wait_ms else PLACED_MS
    return wait_ms + over * each_ms
