"""Timing model of an engine with continuous batching; no sockets and no clock of its own.

The stand-in engine drives it by a timer, the policy bench by a manual clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTiming:
    """Speeds and bounds of an engine.

    :param slots: running requests up to which the gap between tokens stays constant.
    :param token_ms: gap between tokens up to ``slots`` running requests, in milliseconds.
    :param batch_cost: relative growth of the gap per running request above ``slots``.
    :param prefill_ms_per_1k: time to read 1,000 uncached prompt tokens, in milliseconds.
    :param cache_prefixes: prompt prefixes kept; the least recently used one is evicted.
    :param max_running: running requests that the memory holds; 0 is 4 times ``slots``.
    """

    slots: int = 16
    token_ms: float = 20.0
    batch_cost: float = 0.05
    prefill_ms_per_1k: float = 60.0
    cache_prefixes: int = 64
    max_running: int = 0


@dataclass(slots=True)
class Generation:
    """One request inside the engine.

    :param priority: lower runs first.
    :param prefill_left_s: time that the prompt still needs, in seconds.
    :param emitted: tokens emitted so far.
    """

    request_id: str
    priority: int
    order: int
    output_tokens: int
    prefill_left_s: float
    emitted: int = 0
    sort_key: tuple[int, int] = field(default=(0, 0))


class EngineModel:
    """Generates one token per step for each running request.

    A step lasts :meth:`step_seconds`. Prompts are read one at a time beside the decoding, the
    lowest priority number first. If ``max_running`` is reached, a request of a lower priority
    number suspends the running one of the highest number, which continues later.

    :param timing: speeds and bounds.
    """

    def __init__(self, timing: EngineTiming) -> None:
        self.timing = timing
        self.max_running = timing.max_running or 4 * timing.slots
        self._order = 0
        self._running_by_id: dict[str, Generation] = {}
        self._waiting: list[tuple[tuple[int, int], Generation]] = []
        self._cancelled: set[str] = set()
        self._waiting_ids: set[str] = set()
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Requests that take part in each step."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Requests that wait for memory."""
        return len(self._waiting_ids)

    @property
    def cached_prefixes(self) -> int:
        """Prompt prefixes in the cache."""
        return len(self._prefixes)

    def submit(
        self,
        request_id: str,
        *,
        priority: int,
        prompt_tokens: int,
        output_tokens: int,
        prefix_key: str = "",
        prefix_tokens: int = 0,
    ) -> None:
        """Add a request; it joins the batch at the next step.

        :param prefix_key: names the first ``prefix_tokens`` of the prompt; empty for none.
        """
        uncached = prompt_tokens
        if prefix_key:
            if prefix_key in self._prefixes:
                uncached -= min(prefix_tokens, prompt_tokens)
                self._prefixes.move_to_end(prefix_key)
            else:
                self._prefixes[prefix_key] = None
                if len(self._prefixes) > self.timing.cache_prefixes:
                    self._prefixes.popitem(last=False)
        self._order += 1
        generation = Generation(
            request_id=request_id,
            priority=priority,
            order=self._order,
            output_tokens=max(1, output_tokens),
            prefill_left_s=uncached * self.timing.prefill_ms_per_1k / 1e6,
            sort_key=(priority, self._order),
        )
        self._push_waiting(generation)
        self._admit()

    def cancel(self, request_id: str) -> bool:
        """Drop a request and free its place; return whether it was known."""
        if self._running_by_id.pop(request_id, None) is not None:
            self._admit()
            return True
        if request_id in self._waiting_ids:
            self._waiting_ids.discard(request_id)
            self._cancelled.add(request_id)
            return True
        return False

    def step_seconds(self) -> float:
        """Return the length of the current step in seconds."""
        timing = self.timing
        extra = max(0, len(self._running_by_id) - timing.slots)
        return timing.token_ms * (1.0 + timing.batch_cost * extra) / 1000.0

    def step(self) -> list[tuple[str, int, bool]]:
        """End a step.

        :returns: ``(request id, token index, last)`` for each token that the step emitted.
        """
        budget = self.step_seconds()
        unread = [item for item in self._running_by_id.values() if item.prefill_left_s > 0]
        if unread:
            unread.sort(key=lambda item: item.sort_key)
            for item in unread:
                spent = min(budget, item.prefill_left_s)
                item.prefill_left_s -= spent
                budget -= spent
                if item.prefill_left_s < 1e-9:
                    item.prefill_left_s = 0.0
                if budget <= 0:
                    break
        emitted: list[tuple[str, int, bool]] = []
        finished: list[str] = []
        for item in self._running_by_id.values():
            if item.prefill_left_s > 0:
                continue
            index = item.emitted
            item.emitted = index + 1
            last = item.emitted >= item.output_tokens
            if last:
                finished.append(item.request_id)
            emitted.append((item.request_id, index, last))
        for request_id in finished:
            del self._running_by_id[request_id]
        if finished:
            self._admit()
        return emitted

    def _push_waiting(self, generation: Generation) -> None:
        heapq.heappush(self._waiting, (generation.sort_key, generation))
        self._waiting_ids.add(generation.request_id)

    def _admit(self) -> None:
        while self._waiting:
            generation = self._waiting[0][1]
            if generation.request_id in self._cancelled:
                heapq.heappop(self._waiting)
                self._cancelled.discard(generation.request_id)
                continue
            if len(self._running_by_id) >= self.max_running:
                worst = max(self._running_by_id.values(), key=lambda item: item.sort_key)
                if worst.priority <= generation.priority:
                    return
                del self._running_by_id[worst.request_id]
                self._push_waiting(worst)
                continue
            heapq.heappop(self._waiting)
            self._waiting_ids.discard(generation.request_id)
            self._running_by_id[generation.request_id] = generation
