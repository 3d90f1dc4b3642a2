"""Tests that quarantined parts are refused for their time only, and in bounded memory."""

from __future__ import annotations

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.prompt_quarantine import ANSWER_MAX_AGE_S, MAX_PARTS, PromptQuarantine


@pytest.mark.parametrize(
    ("parts", "found"),
    [((), None), (("d",), None), (("f", "d"), None), (("f", "d", "x"), "d"), (("d", "x"), "d")],
)
def test_only_shared_parts_are_found_in_quarantine(
    parts: tuple[str, ...], found: str | None
) -> None:
    quarantine = PromptQuarantine(clock=ManualClock())
    assert quarantine.add("d", 10.0)
    assert quarantine.find(parts) == (found and (found, 10.0))


def test_quarantine_ends_and_is_never_shortened() -> None:
    clock = ManualClock()
    quarantine = PromptQuarantine(clock=clock)
    assert quarantine.add("d", 10.0) and not quarantine.add("d", 2.0)
    clock.advance(9.0)
    assert quarantine.find(("d", "x")) == ("d", 1.0) and quarantine.list_times_left() == {"d": 1.0}
    clock.advance(1.5)
    assert quarantine.find(("d", "x")) is None and quarantine.list_times_left() == {}
    assert quarantine.add("d", 10.0)


def test_parts_count_as_sound_for_a_while_after_output() -> None:
    clock = ManualClock()
    quarantine = PromptQuarantine(clock=clock)
    quarantine.record_complete_answer(("f", "last"))
    assert quarantine.list_sound(["f", "last", "d"]) == ("f",)
    clock.advance(ANSWER_MAX_AGE_S + 0.1)
    assert quarantine.list_sound(["f"]) == ()


def test_memory_is_bounded() -> None:
    quarantine = PromptQuarantine(clock=ManualClock())
    for number in range(MAX_PARTS + 10):
        quarantine.record_complete_answer((f"f{number}", "last"))
        quarantine.add(f"d{number}", 10.0)
    assert len(quarantine._answered_at_by_part) == len(quarantine._until_by_part) == MAX_PARTS
    assert quarantine.list_sound([f"f{MAX_PARTS}"]) == (f"f{MAX_PARTS}",)
