"""Estimates the current pace and load of an upstream from readings of any age.

A reading is most accurate when it is new. As it ages, the estimate moves from the reading to the
mean of the recent readings, and the mean moves to the usual value as they age in turn.
"""

from __future__ import annotations

import math

#: Time constant with which an estimate moves from the last reading to the recent mean, in seconds.
#: Hosts with other tenants change their pace every 0.6 s; a reading of that age is halfway to the
#: mean.
READING_DECAY_S = 0.8
#: Time constant with which readings leave the mean, in seconds. Upstreams that are slow as a whole
#: stay so for 5 to 6.5 s.
MEAN_DECAY_S = 3.0
#: Weight of the usual value in the mean, in readings. A single reading is no mean.
USUAL_WEIGHT = 0.5
#: Readings of the pace that are used; others change nothing. Upstreams become up to 5 times slower.
MIN_PACE, MAX_PACE = 0.05, 1000.0
#: Largest load of a plain service that is believed, in requests.
MAX_LOAD = 1000


def is_plausible_pace(pace: float) -> bool:
    """Return whether a pace is a number within the range that is used."""
    return MIN_PACE <= pace <= MAX_PACE


class DecayingEstimate:
    """Estimate of a changing value from readings at known times.

    :param usual: value that is assumed without readings.
    """

    __slots__ = ("_last", "_last_at", "_sum", "_usual", "_weight")

    def __init__(self, *, usual: float) -> None:
        self._usual = usual
        self._last = usual
        self._last_at = -math.inf
        #: Weighted sum of the readings and sum of their weights, as of the last reading.
        self._sum = 0.0
        self._weight = 0.0

    def add(self, value: float, *, at: float) -> None:
        """Add a reading.

        A reading that follows another one closely counts for less in the mean: a busy upstream
        gives many readings of the same state.

        :param at: monotonic time of the reading; an earlier one than the last changes nothing.
        """
        if at < self._last_at:
            return
        elapsed_s = at - self._last_at
        decay = math.exp(-elapsed_s / MEAN_DECAY_S)
        weight = 1 - math.exp(-elapsed_s / READING_DECAY_S)
        self._sum = self._sum * decay + value * weight
        self._weight = self._weight * decay + weight
        self._last, self._last_at = value, at

    def mean(self, now: float) -> float:
        """Return the mean of the recent readings."""
        decay = math.exp(-max(0.0, now - self._last_at) / MEAN_DECAY_S)
        total = self._sum * decay + self._usual * USUAL_WEIGHT
        return total / (self._weight * decay + USUAL_WEIGHT)

    def value(self, now: float) -> float:
        """Return the estimate for now."""
        mean = self.mean(now)
        decay = math.exp(-max(0.0, now - self._last_at) / READING_DECAY_S)
        return mean + (self._last - mean) * decay


def make_pace_estimate() -> DecayingEstimate:
    """Return an estimate of the factor on the usual duration of work; above 1 is slower."""
    return DecayingEstimate(usual=1.0)


def make_load_estimate() -> DecayingEstimate:
    """Return an estimate of the requests on an upstream."""
    return DecayingEstimate(usual=0.0)
