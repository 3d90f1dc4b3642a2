"""Decides in which regions a request may be served, and which upstreams that leaves.

Serves deployments whose operators keep some requests within named regions. Routes and client
accounts name allowed regions; an upstream is in the region of its availability zone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from sycamoreproxy import result_codes as codes
from sycamoreproxy.logs import get_logger
from sycamoreproxy.result_codes import Executed, Refusal
from sycamoreproxy.route_table import Route, RouteTable
from sycamoreproxy.upstream_book import UpstreamRecord

#: Regions in which a request may be served; None for any, empty for none.
AllowedRegions = frozenset[str] | None

#: Longest name of a zone or region in characters, and largest number of zones or regions in one list.
#: Both are far above any deployment, and bound what malformed settings and documents can take.
MAX_NAME_CHARACTERS = 200
MAX_ZONES = 1_000

_log = get_logger("regions")


def is_zone_name(value: object) -> bool:
    """Return whether a value is a usable name of a zone or region."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()


def read_zones(value: object) -> dict[str, str]:
    """Return the region of each zone from the settings; unusable entries are logged and left out.

    :param value: a table of regions by zone; None for none.
    """
    if value is None:
        return {}
    entries = list(value.items()) if isinstance(value, dict) else [(value, None)]
    region_by_zone: dict[str, str] = {}
    for zone, region in entries:
        if is_zone_name(zone) and is_zone_name(region) and len(region_by_zone) < MAX_ZONES:
            region_by_zone[str(zone)] = str(region)
        else:
            _log.warning(
                "zone of the settings not usable",
                code=codes.UNUSABLE_VALUE.number,
                zone=str(zone)[:MAX_NAME_CHARACTERS],
            )
    return region_by_zone


def read_regions(value: object) -> frozenset[str]:
    """Return the allowed regions that a document names, empty for any.

    :raises ValueError: if they are no list of names. Read as any region, a malformed list would let
        requests out of the regions that the operator meant.
    """
    if value is None:
        return frozenset()
    if not isinstance(value, list) or len(value) > MAX_ZONES:
        raise ValueError(f"allowed_regions is no list of at most {MAX_ZONES} names")
    if not all(is_zone_name(region) for region in value):
        raise ValueError("allowed_regions has an entry that is no name")
    return frozenset(value)


def read_regions_by_name(pairs: Iterable[tuple[str, object]]) -> dict[str, frozenset[str]]:
    """Return the allowed regions of each client account that names some.

    :param pairs: name of each account, and what :func:`read_regions` takes.
    :raises ValueError: as :func:`read_regions`.
    """
    return {name: regions for name, value in pairs if (regions := read_regions(value))}


def intersect(first: AllowedRegions, second: AllowedRegions) -> AllowedRegions:
    """Return the regions that two rules both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def covers(first: AllowedRegions, second: AllowedRegions) -> bool:
    """Return whether a rule allows every region that another one allows."""
    return first is None or (second is not None and second <= first)


def find_allowed_regions(table: RouteTable, route: Route, account: str) -> AllowedRegions:
    """Return the regions that a route and a client account both allow."""
    return intersect(
        route.allowed_regions or None, table.allowed_regions_by_account.get(account) or None
    )


def restrict(
    allowed: AllowedRegions, table: RouteTable, *, host: str, target: str, key: str
) -> AllowedRegions:
    """Return the allowed regions of a request that was accepted earlier, under a newer table too.

    A route or key that the newer table lacks restricts nothing.

    :param allowed: regions allowed by the tables that the request has met so far.
    :param key: the caller's key, empty if none.
    """
    route = table.match(host, target)
    if route is None:
        return allowed
    account = "" if route.is_public else table.account_by_key.get(key, "")
    return intersect(allowed, find_allowed_regions(table, route, account))


class ZoneFilter:
    """Selects the upstreams whose zones may serve a request.

    :param region_by_zone: region of each availability zone.
    :param find_evacuated: returns the evacuated zones.
    """

    def __init__(
        self,
        region_by_zone: Mapping[str, str] | None = None,
        *,
        find_evacuated: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._region_by_zone: Mapping[str, str] = region_by_zone or {}
        self._find_evacuated = find_evacuated
        self._reported_zones: set[str] = set()
        self._reported_regions: set[str] = set()

    # Queries

    def restricts(self, allowed: AllowedRegions) -> bool:
        """Return whether any upstream may be barred from a request with these allowed regions."""
        return allowed is not None or bool(self._find_evacuated())

    def is_evacuated(self, record: UpstreamRecord) -> bool:
        """Return whether the zone of an upstream is evacuated."""
        return record.availability_zone in self._find_evacuated()

    def find_region(self, zone: str) -> str | None:
        """Return the region of a zone, or None if the zone is unknown."""
        return self._region_by_zone.get(zone)

    def permits(self, record: UpstreamRecord, allowed: AllowedRegions) -> bool:
        """Return whether an upstream may serve a request with these allowed regions."""
        return not self.is_evacuated(record) and self._allows(record, allowed)

    def _allows(self, record: UpstreamRecord, allowed: AllowedRegions) -> bool:
        return allowed is None or self.find_region(record.availability_zone) in allowed

    def select(
        self, records: Sequence[UpstreamRecord], allowed: AllowedRegions
    ) -> Sequence[UpstreamRecord]:
        """Return the upstreams that may serve a request; the same object if all may."""
        if not self.restricts(allowed):
            return records
        return [record for record in records if self.permits(record, allowed)]

    def list_barred(
        self, records: Sequence[UpstreamRecord], allowed: AllowedRegions
    ) -> frozenset[str]:
        """Return the instances that may not serve a request."""
        if not self.restricts(allowed):
            return frozenset()
        return frozenset(record.instance for record in records if not self.permits(record, allowed))

    def check(self, records: Sequence[UpstreamRecord], allowed: AllowedRegions) -> Refusal | None:
        """Return the refusal of a request that none of the upstreams may serve.

        :param records: all upstreams of its service, including those that are held.
        """
        in_region = [record for record in records if self._allows(record, allowed)]
        if in_region and all(self.is_evacuated(record) for record in in_region):
            zones = sorted({record.availability_zone for record in in_region})
            return Refusal(codes.ZONES_EVACUATED, Executed.NO, detail=", ".join(zones))
        if in_region or allowed is None:
            return None
        detail = f"allowed: {', '.join(sorted(allowed)) or 'none'}"
        if allowed.isdisjoint(self._region_by_zone.values()):
            return Refusal(codes.NO_ALLOWED_REGION, Executed.NO, detail=detail)
        return Refusal(codes.NO_UPSTREAM_IN_REGION, Executed.NO, detail=detail)

    def describe(self) -> dict[str, object]:
        """Return the zones in the format of the state dump."""
        return {
            "region_by_zone": dict(self._region_by_zone),
            "evacuated": sorted(self._find_evacuated()),
        }

    # Commands

    def set_zones(self, region_by_zone: Mapping[str, str]) -> None:
        """Change the regions of the zones."""
        self._region_by_zone = region_by_zone

    def report_unknown_zones(self, records: Iterable[UpstreamRecord]) -> None:
        """Log evacuated zones that neither the settings nor an upstream names, each of them once."""
        unknown = self._find_evacuated() - self._region_by_zone.keys() - self._reported_zones
        for zone in unknown - {record.availability_zone for record in records}:
            self._reported_zones.add(zone)
            _log.warning(
                "an unknown zone is evacuated", code=codes.UNUSABLE_VALUE.number, zone=zone
            )

    def report_unknown_regions(self, table: RouteTable) -> None:
        """Log allowed regions in which no zone is, each of them once."""
        known = set(self._region_by_zone.values())
        for region, name in sorted(_list_named_regions(table)):
            if region not in known and region not in self._reported_regions:
                if len(self._reported_regions) >= MAX_ZONES:
                    return
                self._reported_regions.add(region)
                _log.warning(
                    "no zone is in an allowed region",
                    code=codes.UNUSABLE_VALUE.number,
                    region=region,
                    named_by=name,
                )


def _list_named_regions(table: RouteTable) -> set[tuple[str, str]]:
    """Return each allowed region with the route or client account that names it."""
    named = {
        (region, account)
        for account, regions in table.allowed_regions_by_account.items()
        for region in regions
    }
    for routes in table.routes_by_host.values():
        named.update((region, route.name) for route in routes for region in route.allowed_regions)
    return named
