"""Positions in the history of a store that may be restored from a backup.

A restored store gives out revisions a second time. Each restore begins a new era, and a position is
a single integer that orders changes by their era, then by their revision. Positions in era 0 equal
the revisions.
"""

from __future__ import annotations

#: Bits of a position that hold the revision; the era is above them. A position fits into a signed
#: integer of 64 bits.
REVISION_BITS = 43
ERA_BITS = 20
#: Highest values that a position can hold.
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << ERA_BITS) - 1


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision in an era.

    :raises ValueError: if either is out of range.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"no position has era {era} and revision {revision}")
    return era << REVISION_BITS | revision


def split_position(position: int) -> tuple[int, int]:
    """Return the era and the revision of a position."""
    return position >> REVISION_BITS, position & MAX_REVISION
