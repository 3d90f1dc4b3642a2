"""Result rows: one JSON object a line."""

from __future__ import annotations

import json
import math
import signal
import sys
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One measured figure.

    :param baseline: the same figure of the baseline of this run, None where there is none.
    :param target: the bound with its direction, such as ``>= 0.995``; empty for a report only.
    :param met: whether the bound holds; None for a report only.
    """

    scenario: str
    metric: str
    unit: str
    value: float
    seed: int
    baseline: float | None = None
    target: str = ""
    met: bool | None = None

    def render(self) -> str:
        """Return the row as a JSON object."""
        values = {name: _clean(getattr(self, name)) for name in self.__slots__}
        return json.dumps(values, ensure_ascii=False)


def _clean(value: object) -> object:
    if isinstance(value, float):
        return round(value, 5) if math.isfinite(value) else None
    return value


def end_on_sigterm() -> None:
    """Let SIGTERM end the program as an exception, so that deployments end their processes."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))


class Recorder:
    """Prints rows as they come and keeps them.

    :param scenario: name in every row.
    """

    def __init__(self, *, scenario: str, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self.rows: list[Row] = []

    def report(
        self, metric: str, unit: str, value: float, *, baseline: float | None = None
    ) -> None:
        """Print a figure without a target."""
        self._add(metric, unit, value, baseline, "", None)

    def at_least(
        self, metric: str, unit: str, value: float, bound: float, *, baseline: float | None = None
    ) -> None:
        """Print a figure that must not be below ``bound``; NaN never meets it."""
        self._add(metric, unit, value, baseline, f">= {bound:g}", bool(value >= bound))

    def at_most(
        self, metric: str, unit: str, value: float, bound: float, *, baseline: float | None = None
    ) -> None:
        """Print a figure that must not be above ``bound``; NaN never meets it."""
        self._add(metric, unit, value, baseline, f"<= {bound:g}", bool(value <= bound))

    @property
    def all_met(self) -> bool:
        """Whether every target was met; false without any row."""
        return bool(self.rows) and all(row.met is not False for row in self.rows)

    def _add(
        self,
        metric: str,
        unit: str,
        value: float,
        baseline: float | None,
        target: str,
        met: bool | None,
    ) -> None:
        row = Row(
            scenario=self._scenario,
            metric=metric,
            unit=unit,
            value=value,
            seed=self._seed,
            baseline=baseline,
            target=target,
            met=met,
        )
        self.rows.append(row)
        print(row.render(), flush=True)
