"""Forecasts how long the response to one request takes from its first token on."""

from __future__ import annotations

from sycamoreproxy.answer_relay import RequestProgress
from sycamoreproxy.engine_forecast import EngineForecast


def forecast_mean_generation_s(progress: RequestProgress) -> float:
    """Return the forecast time from the first token to the end of the response, in seconds."""
    engine = progress.service.engine
    if engine is None:
        return 0.0
    request = progress.request
    tokens = request.length_hint or engine.mean_output_tokens
    if request.answer_tokens:
        tokens = min(tokens, request.answer_tokens)
    return EngineForecast(engine).generation_s(tokens)


def forecast_longest_generation_s(progress: RequestProgress, *, pace: float) -> float:
    """Return the time from the first token to the end of the longest response, in seconds.

    It is 0 if the caller names no maximum length.

    :param pace: factor on the engine's timings; above 1 is slower.
    """
    engine = progress.service.engine
    if engine is None:
        return 0.0
    return EngineForecast(engine, pace).generation_s(progress.request.answer_tokens)
