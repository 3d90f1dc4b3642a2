"""Forecast of a continuously batching engine: duration of a pass, of a prompt, of an answer."""

from __future__ import annotations

from dataclasses import dataclass

from sycamoreproxy.route_table import EngineProfile

#: Reading of other prompts that delays a first token while the batch is full, in usual prompts:
#: requests replace each other in the batch, and each newcomer's prompt is read between the steps.
CONTENTION_PROMPTS = 4.0


@dataclass(frozen=True, slots=True)
class EngineForecast:
    """Times of one engine in seconds.

    :param profile: published timings.
    :param pace: factor on them; over 1 is slower.
    """

    profile: EngineProfile
    pace: float = 1.0

    def step_s(self, writers: int) -> float:
        """Return the duration of one decode step with this many requests that write."""
        profile = self.profile
        context = writers * (profile.mean_prompt_tokens + profile.mean_output_tokens / 2) / 1000
        return self.pace * (
            profile.step_s
            + profile.step_s_per_request * writers
            + profile.step_s_per_1k_context * context
        )

    def pass_s(self, writers: int) -> float:
        """Return the time between two events of a stream without any prompt to read."""
        return self.step_s(writers) * self.profile.steps_per_pass

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the time to read a prompt alone."""
        pairs = prompt_tokens * prompt_tokens / 2 / 1e6
        return self.pace * (
            prompt_tokens / self.profile.prefill_tokens_per_s
            + pairs * self.profile.prefill_s_per_1m_pairs
        )

    def request_cost_s(self, prompt_tokens: float, answer_tokens: float) -> float:
        """Return the engine time that a request takes when the batch is full."""
        slots = max(1, self.profile.slots)
        return self.prefill_s(prompt_tokens) + answer_tokens * self.step_s(slots) / slots

    def slot_interval_s(self) -> float:
        """Return the mean time between two ends of requests when the batch is full."""
        profile = self.profile
        return self.request_cost_s(profile.mean_prompt_tokens, profile.mean_output_tokens)

    def answer_s(self, answer_tokens: float) -> float:
        """Return the time from the first token to the last while the batch is full.

        Each pass also reads the prompts of the requests that begin in it.
        """
        slots = max(1, self.profile.slots)
        reading = self.prefill_s(self.profile.mean_prompt_tokens) / self.slot_interval_s()
        return answer_tokens * self.step_s(slots) / max(0.1, 1 - reading)

    def first_token_s(self, *, ahead: float, writers: int, prompt_tokens: float) -> float:
        """Return the time from arrival to the first token.

        :param ahead: requests that must end before this one gets a slot; may be 0.
        :param writers: requests in the batch.
        """
        wait = ahead * self.slot_interval_s()
        # The running pass ends first; the prompt is read between the steps of the next one.
        passes = 1.5 * self.pass_s(writers) if writers else self.step_s(1)
        share = min(1.0, writers / max(1, self.profile.slots))
        contention = share * share * CONTENTION_PROMPTS
        prompts = contention * self.prefill_s(self.profile.mean_prompt_tokens)
        return wait + passes + prompts + self.prefill_s(prompt_tokens)
