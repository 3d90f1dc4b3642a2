"""What a process of a routed deployment believes of routes, versions and upstreams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from sycamoreproxy.document_source import Document, DocumentError
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import ROUTES_REVISION
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_settings import RoutedBounds
from sycamoreproxy.upstream_book import UpstreamCatalog, UpstreamRecord
from sycamoreproxy.watched_documents import DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets

_log = get_logger("beliefs")


class DocumentDecoder(Protocol):
    """Decodes the store's documents; every ``read`` raises ``DocumentError``."""

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the prefixes of the store's keys to watch."""

    @property
    def shared_prefixes(self) -> tuple[str, ...]:
        """Return those prefixes whose documents are large."""

    @property
    def upstream_prefixes(self) -> tuple[str, ...]:
        """Return those prefixes whose documents describe upstreams."""

    def is_routes(self, key: str) -> bool:
        """Return whether a key holds the routes."""

    def model_of(self, key: str) -> str | None:
        """Return the model whose version a key names."""

    def instance_of(self, key: str) -> str | None:
        """Return the upstream that a key describes."""

    def read_routes(self, value: bytes) -> RouteTable:
        """Return the routes."""

    def read_version(self, value: bytes) -> int:
        """Return a named version."""

    def read_upstream(self, instance: str, value: bytes) -> UpstreamRecord:
        """Return the record of an upstream."""


class RoutingState:
    """What a process believes of routes, versions and upstreams, taken from documents.

    :param catalog: the known upstreams.
    :param targets: named versions.
    """

    def __init__(
        self,
        *,
        decoder: DocumentDecoder,
        replica: DocumentReplica,
        catalog: UpstreamCatalog,
        targets: WeightTargets,
    ) -> None:
        self._decoder = decoder
        self._replica = replica
        self.catalog = catalog
        self.targets = targets
        self.table = RouteTable()
        self._listeners: list[Callable[[RouteTable], None]] = []
        replica.subscribe(self._take)

    def set_bounds(self, bounds: RoutedBounds) -> None:
        """Apply changed bounds."""
        self.catalog.set_bound(bounds.leave_s)
        self.targets.set_bound(bounds.version_s)

    def subscribe(self, listener: Callable[[RouteTable], None]) -> None:
        """Call ``listener(table)`` after each change of the routes."""
        self._listeners.append(listener)

    def list_engines(self) -> list[UpstreamRecord]:
        """Return the engines of configured services, or all before any configuration."""
        services = self.table.services_by_name
        return [
            record
            for record in self.catalog.list_all()
            if record.is_engine
            and (
                self.table.revision == 0
                or ((spec := services.get(record.service)) is not None and spec.engine is not None)
            )
        ]

    def _take(self, document: Document) -> None:
        key, value = document.key, document.value
        try:
            if self._decoder.is_routes(key):
                self._take_routes(value)
            elif (model := self._decoder.model_of(key)) is not None:
                if value is not None:
                    self.targets.set_target(
                        model,
                        self._decoder.read_version(value),
                        is_first_read=not self._replica.has_read(key),
                        lag_s=self._replica.find_lag_s(key),
                    )
            elif (instance := self._decoder.instance_of(key)) is not None:
                lag_s = self._replica.find_relay_lag_s(key)
                if value is None:
                    self.catalog.remove(instance, lag_s=lag_s)
                else:
                    self.catalog.put(self._decoder.read_upstream(instance, value), lag_s=lag_s)
        except DocumentError as error:
            _log.warning(
                "document not usable", key=key, revision=document.revision, error=str(error)
            )

    def _take_routes(self, value: bytes | None) -> None:
        if value is None:
            _log.warning("configuration deleted; the last one stays in force")
            return
        table = self._decoder.read_routes(value)
        if table.revision <= self.table.revision:
            return
        before, self.table = self.table, table
        ROUTES_REVISION.set({}, table.revision)
        _log.info(
            "configuration in force",
            revision=table.revision,
            before=before.revision,
            hosts=len(table.routes_by_host),
            keys=len(table.account_by_key),
            accounts_by_rank=dict(Counter(table.rank_by_account.values())),
        )
        for listener in self._listeners:
            listener(table)
