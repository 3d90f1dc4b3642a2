"""Number of requests that the engine is given at once, learned from the gap between tokens."""

from __future__ import annotations

import math

from sycamoreproxy.clock import Clock

#: Time between adjustments in seconds: several gaps at the target of 59 ms.
ADJUST_PERIOD_S = 0.25
#: Gaps needed for an adjustment; fewer are dominated by the prompts of single requests.
MIN_SAMPLES = 12
#: Relative band around the target in which the size stays.
DEAD_BAND = 0.02
#: Largest relative shrinking and growth of one adjustment.
MAX_SHRINK = 0.2
MAX_GROWTH = 0.25
#: The target is at least this multiple of the gap below which a smaller size does not help. An
#: engine whose shortest gap is above the configured target would else get one request at a time.
BASE_MARGIN = 1.1
#: A size reduced to this part with a gap of still this part has shown that shrinking is no help.
PROBE_SIZE, PROBE_GAP = 0.8, 0.97
#: The size may be exceeded for work below its entitlement by this many standard deviations of a
#: number of running requests that is Poisson distributed with the size as its mean.
RESERVE_DEVIATIONS = 2.2


class EngineWindow:
    """Grows while full and the gap is below target, shrinks when the gap is above it.

    :param initial: size at start, at least 1.
    :param maximum: most requests, at least ``initial``.
    :param target_gap_s: mean gap between tokens that is steered to, in seconds; 0 keeps the
        initial size (services).
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
        self._running_at = self._adjusted_at
        self._report_gap_s = 0.0
        self._engine_waits = False
        self._base_gap_s = 0.0
        self._probe: tuple[float, float] | None = None
        self.gap_s = 0.0

    @property
    def size(self) -> int:
        """Requests that the engine may be given."""
        return max(1, int(self._size))

    @property
    def reserve(self) -> int:
        """Requests above :attr:`size` that may start for work below its entitlement.

        Size and reserve together stay within the maximum; a service has no reserve.
        """
        if self._target_gap_s <= 0:
            return 0
        reserve = max(1, int(RESERVE_DEVIATIONS * math.sqrt(self._size)))
        return min(reserve, self._maximum - self.size)

    def add_gap(self, seconds: float, tokens: int) -> None:
        """Note that ``tokens`` followed an earlier token of their answer within ``seconds``."""
        self._gap_sum_s += seconds
        self._gap_count += tokens

    def set_running(self, running: int) -> None:
        """Note how many requests the engine has from now on."""
        now = self._clock.monotonic()
        self._running_seconds += self._running * (now - self._running_at)
        self._running_at = now
        self._running = running
        if running > self._peak_running:
            self._peak_running = running

    def add_report(self, *, running: int, waiting: int, gap_ms: float) -> None:
        """Take the engine's lagging report.

        A queue inside the engine is out of this process's order, so the size falls to what runs.
        """
        self._report_gap_s = gap_ms / 1000.0
        self._engine_waits = waiting > 0
        if waiting > 0 and self._target_gap_s > 0:
            self._size = max(1.0, min(self._size, float(running)))

    def adjust(self) -> bool:
        """Adjust the size if a period is over; return whether the size changed."""
        now = self._clock.monotonic()
        if now - self._adjusted_at < ADJUST_PERIOD_S or self._target_gap_s <= 0:
            return False
        if self._gap_count >= MIN_SAMPLES:
            gap_s = self._gap_sum_s / self._gap_count
        elif self._gap_count == 0 and self._peak_running and self._report_gap_s > 0:
            # Answers that are not streamed show no gaps; the report is late but better than none.
            gap_s = self._report_gap_s
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
        before = self.size
        self._learn_base(gap_s)
        target_s = max(self._target_gap_s, BASE_MARGIN * self._base_gap_s)
        ratio = target_s / gap_s if gap_s > 0 else 1.0
        excess = max(1.0, mean_running / self._size)
        if ratio * excess < 1.0 - DEAD_BAND:
            # A gap that is long because entitled work exceeds the window says nothing about the
            # window, as long as growth in proportion to the excess explains it.
            self._probe = self._probe or (self._size, gap_s)
            self._size *= max(1.0 - MAX_SHRINK, 1.0 - (1.0 - ratio * excess) * 0.5)
        elif ratio > 1.0 + DEAD_BAND and was_full and not self._engine_waits:
            self._probe = None
            self._size += max(0.5, self._size * min(MAX_GROWTH, ratio - 1.0))
        self._size = min(max(1.0, self._size), float(self._maximum))
        return self.size != before

    def _learn_base(self, gap_s: float) -> None:
        """Learn the gap below which a smaller size does not help."""
        if gap_s < self._base_gap_s:
            self._base_gap_s = gap_s
        if self._probe is None:
            return
        size, gap_before_s = self._probe
        if self._size <= PROBE_SIZE * size:
            if gap_s >= PROBE_GAP * gap_before_s:
                self._base_gap_s = gap_s
            self._probe = None
