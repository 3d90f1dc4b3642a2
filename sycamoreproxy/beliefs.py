"""The view of routes, weight versions and upstreams in a process of a routed deployment."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from sycamoreproxy.clock import Clock, SystemClock
from sycamoreproxy.document_source import Document, DocumentError
from sycamoreproxy.evacuations import Evacuations
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import ROUTES_REVISION
from sycamoreproxy.regions import is_zone_name
from sycamoreproxy.result_codes import UNUSABLE_VALUE
from sycamoreproxy.route_table import RouteTable
from sycamoreproxy.routed_settings import RoutedBounds
from sycamoreproxy.upstream_book import UpstreamCatalog, UpstreamRecord
from sycamoreproxy.watched_documents import DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets

#: Time from the first configuration until it is used although no list of evacuations was read, in
#: seconds: the store is away then. Peers send evacuations before the configuration unless two of
#: them announce these separately, and then within ``MAX_LOCAL_FETCH_DELAY_S``.
EVACUATIONS_SETTLE_S = 0.3

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

    @property
    def evacuation_prefix(self) -> str:
        """Prefix of the documents that name evacuated zones."""

    def zone_of(self, key: str) -> str | None:
        """Return the zone whose evacuation the document with this key names, if any."""

    def check_evacuation(self, value: bytes) -> None:
        """Check the document of an evacuated zone."""

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
    :param clock: time source; the system's by default.
    """

    def __init__(
        self,
        *,
        decoder: DocumentDecoder,
        replica: DocumentReplica,
        catalog: UpstreamCatalog,
        targets: WeightTargets,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._decoder = decoder
        self._replica = replica
        self.catalog = catalog
        self.targets = targets
        self.table = RouteTable()
        self.evacuations = Evacuations()
        self._are_evacuations_known = False
        #: Monotonic time from which the routes are used, whether evacuations were read or not.
        self._settled_at = math.inf
        self._listeners: list[Callable[[RouteTable], None]] = []
        #: Called with each record that is received and whether its prefix has not been read before.
        self.on_record: Callable[[UpstreamRecord, bool], None] = lambda record, is_first_read: None
        replica.subscribe(self._apply)

    @property
    def serving_table(self) -> RouteTable:
        """The routes in force, empty until the evacuations are known too.

        A host that serves with a configuration alone would use evacuated zones.
        """
        if self._are_evacuations_known or not self.table.revision:
            return self.table
        self._are_evacuations_known = (
            self._replica.has_read(self._decoder.evacuation_prefix)
            or self._clock.monotonic() >= self._settled_at
        )
        return self.table if self._are_evacuations_known else RouteTable()

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
            elif (zone := self._decoder.zone_of(key)) is not None:
                if not is_zone_name(zone):
                    raise DocumentError("the key names no zone")
                if value is not None:
                    self._decoder.check_evacuation(value)
                self.evacuations.apply(zone, document.revision, is_evacuated=value is not None)
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
                "document not usable",
                code=UNUSABLE_VALUE.number,
                key=key,
                revision=document.revision,
                error=str(error),
            )

    def _apply_routes(self, value: bytes | None) -> None:
        if value is None:
            _log.warning("configuration deleted; the last one remains active")
            return
        table = self._decoder.read_routes(value)
        if table.revision <= self.table.revision:
            return
        previous, self.table = self.table, table
        if not previous.revision:
            self._settled_at = self._clock.monotonic() + EVACUATIONS_SETTLE_S
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
