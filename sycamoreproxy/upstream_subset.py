"""Which engines an entry host follows, so that streams and load reports stay bounded.

Answers deployments of many hosts: were every entry host to follow every engine, load reports would
grow with the product of both. A host needs only enough engines to find room in a burst.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sycamoreproxy.upstream_book import UpstreamRecord

#: Engines of the own availability zone that an entry host follows at most. With 12 of a zone's 33
#: engines, each is followed by about a third of the zone's entry hosts.
MAX_ZONE_ENGINES = 12
#: Engines that it follows in all, at most. The rest are in other zones and serve while the own zone
#: is full or has none.
MAX_ENGINES = 18


def select_subset(
    records: Iterable[UpstreamRecord], *, host: str, availability_zone: str
) -> frozenset[str]:
    """Return the addresses of the engines that an entry host follows.

    The choice depends on the host and on addresses only, so it changes little as engines come and
    go, and spreads hosts evenly over engines.

    :param host: any name of the entry host that stays the same.
    :returns: addresses as ``IP:PORT``.
    """
    near: list[tuple[bytes, str]] = []
    far: list[tuple[bytes, str]] = []
    for record in records:
        address = str(record.address)
        key = blake2b(f"{host} {address}".encode(), digest_size=8).digest()
        (near if record.availability_zone == availability_zone else far).append((key, address))
    chosen = sorted(near)[:MAX_ZONE_ENGINES]
    chosen += sorted(far)[: MAX_ENGINES - len(chosen)]
    return frozenset(address for _, address in chosen)
