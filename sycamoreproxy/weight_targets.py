"""Target versions of model weights, and the times from which older versions may not be used."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import WEIGHT_VERSION

#: Fraction of the bound of :class:`WeightTargets` after which no request is sent to an older version.
#: The rest is for requests that wait in an engine's queue after they were sent: they begin up to
#: 1.2 s later, behind more urgent ones.
CUTOVER_FRACTION = 0.85
#: The same fraction for a version that was set before this process started. The time since then is
#: unknown, so older versions are not used at all.
CUTOVER_FRACTION_AT_START = 0.0

#: Target version of a model until the operator sets one, so that upstreams that start without
#: weights have a version to load.
INITIAL_VERSION = 1

_log = get_logger("weight_targets")


@dataclass(frozen=True, slots=True)
class _Target:
    """A target version.

    :param cutover_at: monotonic time from which no request is sent to an older version, in seconds.
    :param ends_at: monotonic time from which no request may begin on an older version, in seconds.
    """

    version: int
    cutover_at: float
    ends_at: float


class WeightTargets:
    """The target versions of each model.

    :param bound_s: the operator's bound: time after a version is set from which no request may begin on an older one, in
        seconds; 0 if older versions may be used without a time limit.
    """

    def __init__(self, *, clock: Clock, bound_s: float) -> None:
        self._clock = clock
        self._bound_s = bound_s
        self._targets_by_model: dict[str, list[_Target]] = {}
        self._listeners: list[Callable[[str, int], None]] = []

    def set_bound(self, bound_s: float) -> None:
        """Change the bound for versions that are set from now on."""
        self._bound_s = bound_s

    def subscribe(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener(model, version)`` for each new target version."""
        self._listeners.append(listener)

    def set_target(
        self, model: str, version: int, *, is_first_read: bool, lag_s: float = 0.0
    ) -> None:
        """Set the target version of a model, unless it is not newer than the current target.

        :param is_first_read: whether it was read at the start of the process and may have been set
            long before.
        :param lag_s: longest time for which it may have been set before this process read it, in
            seconds.
        """
        targets = self._targets_by_model.setdefault(model, [])
        if targets and targets[-1].version >= version:
            return
        now = self._clock.monotonic()
        fraction = CUTOVER_FRACTION_AT_START if is_first_read else CUTOVER_FRACTION
        set_at = now - lag_s
        cutover_at = set_at + fraction * self._bound_s if self._bound_s else math.inf
        ends_at = now if is_first_read else set_at + self._bound_s
        targets.append(_Target(version, cutover_at, ends_at if self._bound_s else math.inf))
        # Of the targets past their cutover, only the newest matters.
        while len(targets) > 1 and targets[1].cutover_at <= now:
            targets.pop(0)
        WEIGHT_VERSION.set({"model": model}, version)
        _log.info(
            "weights named",
            model=model,
            version=version,
            at_start=is_first_read,
            lag_ms=round(lag_s * 1000),
        )
        for listener in self._listeners:
            listener(model, version)

    def find_target(self, model: str) -> int:
        """Return the target version, or ``INITIAL_VERSION`` if none is set."""
        targets = self._targets_by_model.get(model)
        return targets[-1].version if targets else INITIAL_VERSION

    def time_to_cutover_s(self, model: str, version: int) -> float:
        """Return the time until no request is sent to versions before this one, in seconds.

        :returns: 0 if the cutover has passed or the version is not a known target.
        """
        cutover_times = [
            target.cutover_at
            for target in self._targets_by_model.get(model, ())
            if target.version == version
        ]
        return max(0.0, cutover_times[0] - self._clock.monotonic()) if cutover_times else 0.0

    def find_end_time(self, model: str, version: int) -> float:
        """Return the monotonic time from which no request may begin on a version, in seconds."""
        targets = self._targets_by_model.get(model, ())
        return min((t.ends_at for t in targets if t.version > version), default=math.inf)

    def find_minimum_version(self, model: str) -> int:
        """Return the lowest version that a request may be sent to now; 0 for any."""
        now = self._clock.monotonic()
        versions_past_cutover = [
            t.version for t in self._targets_by_model.get(model, ()) if t.cutover_at <= now
        ]
        return max(versions_past_cutover, default=0)
