"""Deterministic subsetting: selects the engines whose load reports an entry host subscribes to.

Bounds connections and load reports in large deployments. If every entry host subscribed to every
engine, load reports would grow with the product of both numbers. A host only needs enough engines
to find capacity in a burst.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sycamoreproxy.upstream_book import UpstreamRecord

#: Maximum number of engines of the own availability zone in a subset. With 12 of a zone's 33
#: engines, each engine is in the subsets of about a third of the zone's entry hosts.
MAX_ZONE_ENGINES = 12
#: Maximum size of a subset. Places not taken by engines of the own zone are filled with engines of
#: other zones, which are used while the own zone is full or has no engines.
MAX_ENGINES = 18


def select_subset(
    records: Iterable[UpstreamRecord], *, host: str, availability_zone: str
) -> frozenset[str]:
    """Return the addresses of the engines in the subset of an entry host.

    Engines are ranked by a hash of the host and their address (rendezvous hashing). The subset
    changes little as engines are added and removed, and hosts spread evenly over engines.

    :param host: stable name of the entry host.
    :returns: addresses as ``IP:PORT``.
    """
    local: list[tuple[bytes, str]] = []
    remote: list[tuple[bytes, str]] = []
    for record in records:
        address = str(record.address)
        digest = blake2b(f"{host} {address}".encode(), digest_size=8).digest()
        (local if record.availability_zone == availability_zone else remote).append(
            (digest, address)
        )
    subset = sorted(local)[:MAX_ZONE_ENGINES]
    subset += sorted(remote)[: MAX_ENGINES - len(subset)]
    return frozenset(address for _, address in subset)


def choose_coordinator(records: Iterable[UpstreamRecord], instance: str) -> str | None:
    """Return the host whose sidecar process coordinates requests to an upstream without one.

    Entry hosts that know the same engines choose the same host, whichever streams they have.

    :param records: all engines.
    :param instance: instance id of the upstream.
    :returns: IP address, or None if there is no engine.
    """
    return min(
        {record.address.ip for record in records},
        key=lambda ip: blake2b(f"{instance} {ip}".encode(), digest_size=8).digest(),
        default=None,
    )
