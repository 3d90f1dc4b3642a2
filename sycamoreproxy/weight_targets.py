"""Versions of the weights that the operator names, and from when on only they may answer."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import WEIGHT_VERSION

#: Part of the operator's bound after which older versions are no longer used. A request that
#: waits at an engine begins later than it was sent: behind more urgent ones, up to 1.2 s later.
CUTOVER_FRACTION = 0.85
#: The same for a version that was named before this process started: how long ago is not known, so
#: no older one is used.
CUTOVER_FRACTION_AT_START = 0.0

#: Version of a model before the operator names one; upstreams that start empty need it, too.
FIRST_VERSION = 1

_log = get_logger("weight_targets")


@dataclass(frozen=True, slots=True)
class _Target:
    """A named version.

    :param binds_at: monotonic time from which on no request is sent to an older one, in seconds.
    :param ends_at: monotonic time from which on no request may begin on an older one, in seconds.
    """

    version: int
    binds_at: float
    ends_at: float


class WeightTargets:
    """The named versions of each model.

    :param bound_s: time from the naming of a version until requests begin only on it, in seconds;
        0 if older versions may answer for any time.
    """

    def __init__(self, *, clock: Clock, bound_s: float) -> None:
        self._clock = clock
        self._bound_s = bound_s
        self._targets_by_model: dict[str, list[_Target]] = {}
        self._listeners: list[Callable[[str, int], None]] = []

    def set_bound(self, bound_s: float) -> None:
        """Change the bound for versions that are named from now on."""
        self._bound_s = bound_s

    def subscribe(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener(model, version)`` for each newly named version."""
        self._listeners.append(listener)

    def set_target(
        self, model: str, version: int, *, is_first_read: bool, lag_s: float = 0.0
    ) -> None:
        """Take the named version of a model; an older one than the last is ignored.

        :param is_first_read: whether it was found at the start and may have been named earlier.
        :param lag_s: time for which it may have been named before it was heard of, in seconds.
        """
        targets = self._targets_by_model.setdefault(model, [])
        if targets and targets[-1].version >= version:
            return
        now = self._clock.monotonic()
        fraction = CUTOVER_FRACTION_AT_START if is_first_read else CUTOVER_FRACTION
        named_at = now - lag_s
        binds_at = named_at + fraction * self._bound_s if self._bound_s else math.inf
        ends_at = now if is_first_read else named_at + self._bound_s
        targets.append(_Target(version, binds_at, ends_at if self._bound_s else math.inf))
        # Of the targets that bind, only the newest matters.
        while len(targets) > 1 and targets[1].binds_at <= now:
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
        """Return the newest named version, the first one if none is named."""
        targets = self._targets_by_model.get(model)
        return targets[-1].version if targets else FIRST_VERSION

    def time_to_cutover_s(self, model: str, version: int) -> float:
        """Return the time until versions before this one are no longer used, in seconds.

        :returns: 0 if it is over, or if nothing is known of the version.
        """
        binds_at = [
            target.binds_at
            for target in self._targets_by_model.get(model, ())
            if target.version == version
        ]
        return max(0.0, binds_at[0] - self._clock.monotonic()) if binds_at else 0.0

    def find_end_time(self, model: str, version: int) -> float:
        """Return the monotonic time from which on no request may begin on a version, in seconds."""
        targets = self._targets_by_model.get(model, ())
        return min((t.ends_at for t in targets if t.version > version), default=math.inf)

    def find_minimum_version(self, model: str) -> int:
        """Return the lowest version that may begin a request now, 0 for any."""
        now = self._clock.monotonic()
        binding = [t.version for t in self._targets_by_model.get(model, ()) if t.binds_at <= now]
        return max(binding, default=0)
