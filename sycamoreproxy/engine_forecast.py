"""Latency model of an engine with continuous batching: prefill, decode steps and responses."""

from __future__ import annotations

from dataclasses import dataclass

from sycamoreproxy.route_table import EngineProfile

#: Prefill of other prompts that delays a first token while the batch is full, in prompts of mean
#: length. Requests constantly replace each other in the batch, and the prompt of each new one is
#: prefilled between decode steps.
CONTENTION_PROMPTS = 4.0


@dataclass(frozen=True, slots=True)
class EngineForecast:
    """Forecast durations of one engine, in seconds.

    :param profile: published timings.
    :param pace: factor on the timings; above 1 is slower.
    """

    profile: EngineProfile
    pace: float = 1.0

    def step_s(self, batch_size: int) -> float:
        """Return the duration of one decode step with this number of decoding requests."""
        profile = self.profile
        context_1k = (
            batch_size * (profile.mean_prompt_tokens + profile.mean_output_tokens / 2) / 1000
        )
        return self.pace * (
            profile.step_s
            + profile.step_s_per_request * batch_size
            + profile.step_s_per_1k_context * context_1k
        )

    def pass_s(self, batch_size: int) -> float:
        """Return the time between two events of a stream while nothing is prefilled."""
        return self.step_s(batch_size) * self.profile.steps_per_pass

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the prefill time of a prompt without contention."""
        million_pairs = prompt_tokens * prompt_tokens / 2 / 1e6
        return self.pace * (
            prompt_tokens / self.profile.prefill_tokens_per_s
            + million_pairs * self.profile.prefill_s_per_1m_pairs
        )

    def request_cost_s(self, prompt_tokens: float, answer_tokens: float) -> float:
        """Return the engine time that a request uses while the batch is full."""
        slots = max(1, self.profile.slots)
        return self.prefill_s(prompt_tokens) + answer_tokens * self.step_s(slots) / slots

    def completion_interval_s(self) -> float:
        """Return the mean time between two completed requests while the batch is full."""
        profile = self.profile
        return self.request_cost_s(profile.mean_prompt_tokens, profile.mean_output_tokens)

    def generation_s(self, answer_tokens: float) -> float:
        """Return the time from the first token to the last while the batch is full.

        Between decode steps, the engine also prefills the prompts of new requests.
        """
        slots = max(1, self.profile.slots)
        prefill_fraction = (
            self.prefill_s(self.profile.mean_prompt_tokens) / self.completion_interval_s()
        )
        return answer_tokens * self.step_s(slots) / max(0.1, 1 - prefill_fraction)

    def time_to_first_token_s(
        self, *, queued_ahead: float, batch_size: int, prompt_tokens: float
    ) -> float:
        """Return the time from the arrival of a request to its first token.

        :param queued_ahead: requests that must finish before this one gets a slot.
        :param batch_size: requests in the batch.
        """
        wait_s = queued_ahead * self.completion_interval_s()
        # The current pass finishes first; the prompt is prefilled between steps of the next one.
        passes_s = 1.5 * self.pass_s(batch_size) if batch_size else self.step_s(1)
        batch_fill = min(1.0, batch_size / max(1, self.profile.slots))
        contention_prompts = batch_fill * batch_fill * CONTENTION_PROMPTS
        contention_s = contention_prompts * self.prefill_s(self.profile.mean_prompt_tokens)
        return wait_s + passes_s + contention_s + self.prefill_s(prompt_tokens)
