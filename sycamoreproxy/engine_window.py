"""Adaptive concurrency limit of an engine, controlled by the gap between tokens."""

from __future__ import annotations

import math

from sycamoreproxy.clock import Clock

#: Shortest time between adjustments in seconds: several gaps at the target of 59 ms.
ADJUST_PERIOD_S = 0.25
#: Number of gaps needed for an adjustment; fewer are dominated by prompt processing of single
#: requests.
MIN_GAP_SAMPLES = 12
#: Relative deviation from the target within which the size is not changed.
DEAD_BAND = 0.02
#: Largest relative decrease and increase of the size in one adjustment.
MAX_SHRINK_FRACTION = 0.2
MAX_GROWTH_FRACTION = 0.25
#: The effective target is at least this multiple of the gap floor: the gap below which a smaller
#: size does not help. Otherwise an engine whose shortest gap is above the configured target would
#: get one request at a time.
GAP_FLOOR_MARGIN = 1.1
#: If the size was reduced to this ratio and the gap is still at least this ratio of what it was,
#: reducing the size does not help.
PROBE_SIZE_RATIO, PROBE_GAP_RATIO = 0.8, 0.97
#: Entitled requests may exceed the size by this many standard deviations of the number of running
#: requests, taken as Poisson distributed with the size as its mean.
RESERVE_DEVIATIONS = 2.2


class EngineWindow:
    """Window that grows while it is full and the gap is below the target, and shrinks above it.

    The gap is the time between two tokens of a response (inter-token latency).

    :param initial: initial size, at least 1.
    :param maximum: upper bound of the size, at least ``initial``.
    :param target_gap_s: target of the mean gap, in seconds; 0 keeps the initial size
        (services).
    """

    def __init__(self, *, clock: Clock, initial: int, maximum: int, target_gap_s: float) -> None:
        self._clock = clock
        self._size = float(initial)
        self._maximum = maximum
        self._target_gap_s = target_gap_s
        self._gap_sum_s = 0.0
        self._gap_count = 0
        self._peak_running = 0
        self._running = 0
        self._running_seconds = 0.0
        self._adjusted_at = clock.monotonic()
        self._running_updated_at = self._adjusted_at
        self._reported_gap_s = 0.0
        self._engine_has_queue = False
        self._gap_floor_s = 0.0
        self._probe: tuple[float, float] | None = None
        self.gap_s = 0.0

    @property
    def size(self) -> int:
        """Number of requests that may run in the engine."""
        return max(1, int(self._size))

    @property
    def reserve(self) -> int:
        """Number of entitled requests that may run above :attr:`size`.

        The sum of size and reserve does not exceed the maximum; a service has no reserve.
        """
        if self._target_gap_s <= 0:
            return 0
        reserve = max(1, int(RESERVE_DEVIATIONS * math.sqrt(self._size)))
        return min(reserve, self._maximum - self.size)

    def add_gap(self, seconds: float, tokens: int) -> None:
        """Record that ``tokens`` arrived ``seconds`` after an earlier token of their response."""
        self._gap_sum_s += seconds
        self._gap_count += tokens

    def set_running(self, running: int) -> None:
        """Set the number of requests in the engine from now on."""
        now = self._clock.monotonic()
        self._running_seconds += self._running * (now - self._running_updated_at)
        self._running_updated_at = now
        self._running = running
        if running > self._peak_running:
            self._peak_running = running

    def add_report(self, *, running: int, waiting: int, gap_ms: float) -> None:
        """Process a load report of the engine, which arrives with a delay.

        This process cannot order requests that wait inside the engine, so while there are any, the
        size is reduced to the number of running requests.
        """
        self._reported_gap_s = gap_ms / 1000.0
        self._engine_has_queue = waiting > 0
        if waiting > 0 and self._target_gap_s > 0:
            self._size = max(1.0, min(self._size, float(running)))

    def adjust(self) -> bool:
        """Adjust the size if the adjustment period is over; return whether the size changed."""
        now = self._clock.monotonic()
        if now - self._adjusted_at < ADJUST_PERIOD_S or self._target_gap_s <= 0:
            return False
        if self._gap_count >= MIN_GAP_SAMPLES:
            gap_s = self._gap_sum_s / self._gap_count
        elif self._gap_count == 0 and self._peak_running and self._reported_gap_s > 0:
            # Responses that are not streamed provide no gaps; a delayed report is better than none.
            gap_s = self._reported_gap_s
        else:
            return False
        self.set_running(self._running)
        mean_running = self._running_seconds / (now - self._adjusted_at)
        was_full = self._peak_running >= self.size
        self._adjusted_at = now
        self._gap_sum_s = 0.0
        self._gap_count = 0
        self._peak_running = self._running
        self._running_seconds = 0.0
        self.gap_s = gap_s
        size_before = self.size
        self._update_gap_floor(gap_s)
        target_s = max(self._target_gap_s, GAP_FLOOR_MARGIN * self._gap_floor_s)
        gap_ratio = target_s / gap_s if gap_s > 0 else 1.0
        overload = max(1.0, mean_running / self._size)
        if gap_ratio * overload < 1.0 - DEAD_BAND:
            # A gap above the target is no reason to shrink the window if it has grown no more than
            # in proportion to the entitled requests above the window.
            self._probe = self._probe or (self._size, gap_s)
            self._size *= max(1.0 - MAX_SHRINK_FRACTION, 1.0 - (1.0 - gap_ratio * overload) * 0.5)
        elif gap_ratio > 1.0 + DEAD_BAND and was_full and not self._engine_has_queue:
            self._probe = None
            self._size += max(0.5, self._size * min(MAX_GROWTH_FRACTION, gap_ratio - 1.0))
        self._size = min(max(1.0, self._size), float(self._maximum))
        return self.size != size_before

    def _update_gap_floor(self, gap_s: float) -> None:
        """Update the gap floor, below which a smaller size does not help."""
        if gap_s < self._gap_floor_s:
            self._gap_floor_s = gap_s
        if self._probe is None:
            return
        size, gap_before_s = self._probe
        if self._size <= PROBE_SIZE_RATIO * size:
            if gap_s >= PROBE_GAP_RATIO * gap_before_s:
                self._gap_floor_s = gap_s
            self._probe = None
