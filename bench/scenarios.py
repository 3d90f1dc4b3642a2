"""The registry of scenarios."""

from __future__ import annotations

from collections.abc import Callable

from bench.rows import Recorder
from sycamoreproxy.registry import Registry

#: Scenario functions ``(recorder, seed) -> None`` by name.
scenarios: Registry[Callable[[Recorder, int], None]] = Registry("scenario")
