"""The view of routes, weight versions and upstreams in a process of a routed deployment."""

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
    """Classifies store keys and decodes documents.

    Each ``read`` method raises ``DocumentError`` if a document is invalid.
    """

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Prefixes of the store keys to watch."""

    @property
    def shared_prefixes(self) -> tuple[str, ...]:
        """Those of the prefixes whose documents are large."""

    @property
    def upstream_prefixes(self) -> tuple[str, ...]:
        """Those of the prefixes whose documents describe upstreams."""

    def is_routes(self, key: str) -> bool:
        """Return whether the document with this key contains the routes."""

    def model_of(self, key: str) -> str | None:
        """Return the model whose target version the document with this key names, if any."""

    def instance_of(self, key: str) -> str | None:
        """Return the upstream instance that the document with this key describes, if any."""

    def read_routes(self, value: bytes) -> RouteTable:
        """Decode the routes."""

    def read_version(self, value: bytes) -> int:
        """Decode the target version of a model."""

    def read_upstream(self, instance: str, value: bytes) -> UpstreamRecord:
        """Decode the record of an upstream."""


class RoutingState:
    """The routes, target versions and upstreams known to a process, derived from documents.

    :param decoder: decodes the documents.
    :param replica: local copy of the documents.
    :param catalog: the known upstreams.
    :param targets: target versions of the weights.
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
        #: Called with each record that is received and whether its prefix has not been read before.
        self.on_record: Callable[[UpstreamRecord, bool], None] = lambda record, is_first_read: None
        replica.subscribe(self._apply)

    def set_bounds(self, bounds: RoutedBounds) -> None:
        """Apply changed time bounds."""
        self.catalog.set_bound(bounds.leave_s)
        self.targets.set_bound(bounds.version_s)

    def subscribe(self, listener: Callable[[RouteTable], None]) -> None:
        """Call ``listener(table)`` after each change of the routes."""
        self._listeners.append(listener)

    def list_engines(self) -> list[UpstreamRecord]:
        """Return the engines of configured services, or all before a configuration is known."""
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

    def _apply(self, document: Document) -> None:
        key, value = document.key, document.value
        try:
            if self._decoder.is_routes(key):
                self._apply_routes(value)
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
                    record = self._decoder.read_upstream(instance, value)
                    self.on_record(record, not self._replica.has_read(key))
                    self.catalog.put(record, lag_s=lag_s)
        except DocumentError as error:
            _log.warning(
                "document not usable", key=key, revision=document.revision, error=str(error)
            )

    def _apply_routes(self, value: bytes | None) -> None:
        if value is None:
            _log.warning("configuration deleted; the last one remains active")
            return
        table = self._decoder.read_routes(value)
        if table.revision <= self.table.revision:
            return
        previous, self.table = self.table, table
        ROUTES_REVISION.set({}, table.revision)
        _log.info(
            "configuration in force",
            revision=table.revision,
            before=previous.revision,
            hosts=len(table.routes_by_host),
            keys=len(table.account_by_key),
            accounts_by_rank=dict(Counter(table.rank_by_account.values())),
        )
        for listener in self._listeners:
            listener(table)
