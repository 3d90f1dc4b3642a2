"""Finds the part of prompts that crashes engines, from the requests that each crash ended."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock

#: Number of crashes with a common part after which the part is suspected, and the same for a part
#: that was quarantined before.
MIN_CRASHES = 3
MIN_CRASHES_AGAIN = 1
#: Time for which a crash counts, in seconds.
CRASH_MAX_AGE_S = 60.0
#: First and longest quarantine of a part, in seconds; doubled each time.
MIN_QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 3600.0
#: Maximum number of crashes, and of parts once quarantined, that are remembered.
MAX_CRASHES = 200
MAX_PARTS = 1_000

#: Ids of the parts of a prompt in order, without the last one, which belongs to one request.
Prompt = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Crash:
    recorded_at: float
    prompts: frozenset[Prompt]


class CrashEvidence:
    """Prompts of the requests that were lost when an engine crashed.

    A part that crashes engines is in one of them at each crash. A part that many requests share is
    often in them as well, so the callers of this class ask for complete answers with the suspects.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashes_by_engine: OrderedDict[str, _Crash] = OrderedDict()
        self._last_quarantine_s_by_part: OrderedDict[str, float] = OrderedDict()

    def record(self, engine: str, prompts: Iterable[Prompt]) -> None:
        """Record the prompts that were lost with an engine; repeated records are joined.

        :param engine: identifies one lifetime of an engine.
        """
        known = self._crashes_by_engine.get(engine)
        joined = frozenset(prompts) | (known.prompts if known is not None else frozenset())
        recorded_at = known.recorded_at if known is not None else self._clock.monotonic()
        self._crashes_by_engine[engine] = _Crash(recorded_at, joined)
        while len(self._crashes_by_engine) > MAX_CRASHES:
            self._crashes_by_engine.popitem(last=False)

    def list_suspects(self) -> tuple[str, ...]:
        """Return the parts that enough crashes have in common, those of most crashes first.

        Of parts in as many crashes, the one furthest from the start of its prompts comes first: it
        is in the fewest other requests, and the parts before it come with it.
        """
        self._expire()
        crashes_by_part: Counter[str] = Counter()
        depth_by_part: dict[str, int] = {}
        for crash in self._crashes_by_engine.values():
            crashes_by_part.update({part for prompt in crash.prompts for part in prompt})
            for prompt in crash.prompts:
                for depth, part in enumerate(prompt):
                    depth_by_part[part] = max(depth, depth_by_part.get(part, 0))
        suspects = [part for part, count in crashes_by_part.items() if self._suffices(part, count)]
        return tuple(
            sorted(
                suspects,
                key=lambda part: (crashes_by_part[part], depth_by_part[part], part),
                reverse=True,
            )
        )

    def clear(self, part: str) -> None:
        """Drop a part from all crashes, because a request with it was answered completely."""
        for engine, crash in self._crashes_by_engine.items():
            prompts = frozenset(tuple(p for p in prompt if p != part) for prompt in crash.prompts)
            self._crashes_by_engine[engine] = _Crash(crash.recorded_at, prompts)

    def quarantine(self, part: str) -> float:
        """Drop the crashes that a part explains; return its time in quarantine, in seconds."""
        for engine, crash in list(self._crashes_by_engine.items()):
            if any(part in prompt for prompt in crash.prompts):
                del self._crashes_by_engine[engine]
        last_s = self._last_quarantine_s_by_part.pop(part, 0.0)
        quarantine_s = min(MAX_QUARANTINE_S, max(MIN_QUARANTINE_S, 2 * last_s))
        self._last_quarantine_s_by_part[part] = quarantine_s
        while len(self._last_quarantine_s_by_part) > MAX_PARTS:
            self._last_quarantine_s_by_part.popitem(last=False)
        return quarantine_s

    def _suffices(self, part: str, crashes: int) -> bool:
        was_quarantined = part in self._last_quarantine_s_by_part
        return crashes >= (MIN_CRASHES_AGAIN if was_quarantined else MIN_CRASHES)

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - CRASH_MAX_AGE_S
        while self._crashes_by_engine:
            engine, crash = next(iter(self._crashes_by_engine.items()))
            if crash.recorded_at >= oldest:
                return
            del self._crashes_by_engine[engine]
