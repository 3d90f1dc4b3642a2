"""Guards the learned number of requests that the engine is given at once."""

from __future__ import annotations

import pytest

from standins._engine_model import EngineModel, EngineTiming
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.engine_window import EngineWindow


class Loop:
    """A window and an engine model with endless work."""

    def __init__(self, *, timing: EngineTiming, target_gap_s: float, initial: int = 4) -> None:
        self.clock = ManualClock()
        self.window = EngineWindow(
            clock=self.clock, initial=initial, maximum=64, target_gap_s=target_gap_s
        )
        self.engine = EngineModel(timing)
        self.number = 0
        self.slow_factor = 1.0

    def run(self, steps: int, *, extra: int = 0) -> int:
        """Run steps with a full window plus ``extra`` requests; return the size."""
        for _ in range(steps):
            while self.engine.running + self.engine.waiting < self.window.size + extra:
                self.number += 1
                self.engine.submit(
                    str(self.number),
                    priority=0,
                    prompt_tokens=1,
                    output_tokens=40 + self.number % 9,
                )
            self.window.set_running(self.engine.running + self.engine.waiting)
            seconds = self.engine.step_seconds() * self.slow_factor
            self.clock.advance(seconds)
            for _, index, _ in self.engine.step():
                if index:
                    self.window.add_gap(seconds, 1)
            self.window.adjust()
        return self.window.size


TIMING = EngineTiming(slots=16, token_ms=30.0, batch_cost=0.03)


@pytest.mark.parametrize(("target_gap_s", "size"), [(0.034, 20), (0.045, 32)])
def test_size_settles_where_the_gap_meets_the_target(target_gap_s: float, size: int) -> None:
    loop = Loop(timing=TIMING, target_gap_s=target_gap_s)
    loop.run(400)
    sizes = [loop.run(20) for _ in range(20)]
    assert sum(sizes) / len(sizes) == pytest.approx(size, abs=1.5)


@pytest.mark.parametrize("target_gap_s", [0.0301, 0.02])
def test_an_engine_that_cannot_meet_the_target_is_still_used(target_gap_s: float) -> None:
    loop = Loop(timing=TIMING, target_gap_s=target_gap_s, initial=20)
    loop.run(800)
    assert loop.window.size >= 12


def test_size_falls_when_the_engine_slows_down_and_recovers() -> None:
    loop = Loop(timing=TIMING, target_gap_s=0.034)
    before = loop.run(400)
    loop.slow_factor = 1.1
    assert loop.run(400) < before
    loop.slow_factor = 1.0
    assert loop.run(400) == pytest.approx(before, abs=1)


def test_size_stays_while_entitled_work_exceeds_it() -> None:
    loop = Loop(timing=TIMING, target_gap_s=0.034)
    before = loop.run(400)
    assert loop.run(100, extra=before // 2) == pytest.approx(before, abs=1)


def test_the_maximum_bounds_size_and_reserve() -> None:
    loop = Loop(timing=EngineTiming(slots=90, token_ms=30.0), target_gap_s=0.034, initial=50)
    assert loop.window.reserve == 14
    assert loop.run(400) + loop.window.reserve == 64


def test_size_falls_to_what_runs_when_the_engine_itself_queues() -> None:
    loop = Loop(timing=TIMING, target_gap_s=0.034)
    loop.run(400)
    loop.window.add_report(running=9, waiting=3, gap_ms=30.0)
    assert loop.window.size == 9


def test_reported_gap_is_used_for_answers_that_are_not_streamed() -> None:
    clock = ManualClock()
    window = EngineWindow(clock=clock, initial=20, maximum=64, target_gap_s=0.034)
    for _ in range(20):
        size = window.size
        window.set_running(size)
        window.add_report(running=size, waiting=0, gap_ms=3.0 * size)
        clock.advance(1.0)
        window.adjust()
    assert window.size == pytest.approx(11, abs=1)


def test_a_service_keeps_its_configured_size() -> None:
    clock = ManualClock()
    window = EngineWindow(clock=clock, initial=8, maximum=64, target_gap_s=0.0)
    window.add_gap(9.0, 100)
    clock.advance(1.0)
    assert not window.adjust()
    assert (window.size, window.reserve) == (8, 0)
