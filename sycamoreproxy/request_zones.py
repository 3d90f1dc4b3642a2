"""Answers which upstreams a request may be sent to, by the zones that its configurations allow it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from sycamoreproxy.answer_relay import RequestProgress
from sycamoreproxy.regions import AllowedRegions, ZoneFilter, restrict
from sycamoreproxy.result_codes import Refusal
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.upstream_book import UpstreamCatalog, UpstreamRecord


class RequestZones:
    """Applies the allowed regions and the evacuated zones to requests.

    :param zones: selects upstreams by their zones.
    :param table: returns the route table in force.
    """

    def __init__(
        self, *, zones: ZoneFilter, catalog: UpstreamCatalog, table: Callable[[], RouteTable]
    ) -> None:
        self._zones = zones
        self._catalog = catalog
        self._table = table

    # Commands

    def update(self, progress: RequestProgress) -> AllowedRegions:
        """Restrict a request by the configuration in force; return its allowed regions."""
        table, request = self._table(), progress.request
        if table.revision != progress.configuration:
            progress.configuration = table.revision
            progress.allowed_regions = restrict(
                progress.allowed_regions,
                table,
                host=request.host,
                target=request.target,
                key=request.key,
            )
        return progress.allowed_regions

    # Queries that first restrict the request

    def check(self, progress: RequestProgress) -> Refusal | None:
        """Return a refusal if no zone with an upstream of the service may serve a request."""
        allowed = self.update(progress)
        if not self._zones.restricts(allowed):
            return None
        return self._zones.check(self._catalog.list_expected(progress.service.name), allowed)

    def list_barred(self, progress: RequestProgress) -> frozenset[str]:
        """Return the upstreams of the service whose zones may not serve a request."""
        allowed = self.update(progress)
        if not self._zones.restricts(allowed):
            return frozenset()
        return self._zones.list_barred(self._catalog.list_expected(progress.service.name), allowed)

    def may_send(self, progress: RequestProgress, instance: str) -> bool:
        """Return whether an upstream that was chosen for a request may still get it."""
        record = self._catalog.get(instance)
        return record is not None and self._zones.permits(record, self.update(progress))

    # Queries

    def list_usable(self, service: str, allowed: AllowedRegions = None) -> Sequence[UpstreamRecord]:
        """Return the upstreams of a service that may receive requests with these allowed regions."""
        return self._zones.select(self._catalog.list_usable(service), allowed)

    def select_from(
        self, subset: Sequence[UpstreamRecord], service: str, allowed: AllowedRegions
    ) -> Sequence[UpstreamRecord]:
        """Return those of a subset that may serve a request, or of all if none of the subset may."""
        return self._zones.select(subset, allowed) or self.list_usable(service, allowed)
