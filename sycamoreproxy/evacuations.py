"""Decides which availability zones are evacuated: their upstreams get no callers' requests.

Serves operators who empty a zone, whatever the state of the store. An evacuation binds as soon as it
is received, which is well before the operator's bound, so that requests just sent arrive before it.
"""

from __future__ import annotations

from collections.abc import Callable

from sycamoreproxy import result_codes as codes
from sycamoreproxy.logs import get_logger

#: Number of zones whose last change is remembered. No deployment has as many; it bounds the memory
#: that malformed documents can take. Evacuations of further zones are logged and change nothing.
MAX_ZONES = 1_000

_log = get_logger("evacuations")


class Evacuations:
    """The evacuated zones, from the documents of the store.

    The position of the last change of each zone is kept for the lifetime of the process, also after
    the replica has forgotten the deletion, so that no late copy brings an evacuation back.
    """

    def __init__(self) -> None:
        self._position_by_zone: dict[str, int] = {}
        self._zones: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []

    # Queries

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return self._zones

    def describe(self) -> dict[str, object]:
        """Return the evacuations in the format of the state dump."""
        return {"zones": sorted(self._zones), "positions": dict(self._position_by_zone)}

    # Commands

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener()`` after each change of the evacuated zones."""
        self._listeners.append(listener)

    def apply(self, zone: str, position: int, *, is_evacuated: bool) -> bool:
        """Apply a change of one zone; return whether it is newer than the last one.

        :param position: position of the change in the store's history.
        """
        if position <= self._position_by_zone.get(zone, 0):
            return False
        if zone not in self._position_by_zone and len(self._position_by_zone) >= MAX_ZONES:
            _log.warning(
                "evacuation not usable",
                code=codes.UNUSABLE_VALUE.number,
                zone=zone,
                error=f"{MAX_ZONES} other zones were changed",
            )
            return False
        self._position_by_zone[zone] = position
        if is_evacuated == (zone in self._zones):
            return True
        self._zones = self._zones | {zone} if is_evacuated else self._zones - {zone}
        _log.info("zone evacuated" if is_evacuated else "evacuation taken back", zone=zone)
        for listener in self._listeners:
            listener()
        return True
