"""Upstreams as the platform lists them, and how long one that leaves may still be used."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.streams import Address

#: Part of the operator's bound after which a leaving upstream receives nothing. A process may hear of it
#: after 0.3 of the bound (``UPSTREAM_COALESCE_FRACTION``), and requests on their way need the rest.
LEAVING_FRACTION = 0.5

_log = get_logger("upstream_book")


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """One upstream of the list.

    :param instance: id of the upstream's incarnation.
    :param is_leaving: whether it has announced its end.
    :param started_ms: start of the incarnation, Unix milliseconds; 0 if not told.
    :param version_by_model: versions of the weights that it holds.
    :param is_engine: whether it is a model engine, with a process of the system on its host.
    """

    instance: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    is_leaving: bool = False
    started_ms: int = 0
    version_by_model: tuple[tuple[str, int], ...] = ()
    is_engine: bool = False


class UpstreamCatalog:
    """Holds the listed upstreams.

    A record that vanished is kept until its time to leave is over: it may have lapsed with an
    outage of the store, and the upstream still serves for a while after it was removed.

    :param leave_s: bound on new requests to an upstream that leaves, in seconds.
    """

    def __init__(self, *, clock: Clock, leave_s: float) -> None:
        self._clock = clock
        self.leave_bound_s = leave_s
        self._records_by_instance: dict[str, UpstreamRecord] = {}
        self._leaving_since_by_instance: dict[str, float] = {}
        self._replaced: dict[str, int] = {}
        #: Records by ``IP:PORT``; None after a change, until it is asked for.
        self._records_by_address: dict[str, tuple[UpstreamRecord, ...]] | None = None
        #: Usable records by service, with the monotonic time at which one of them stops being so.
        self._usable_by_service: dict[str, tuple[float, tuple[UpstreamRecord, ...]]] = {}
        self._revision = 0
        self._listeners: list[Callable[[str], None]] = []

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call ``listener(instance)`` after each change of a record."""
        self._listeners.append(listener)

    def set_bound(self, leave_s: float) -> None:
        """Change the bound on new requests to an upstream that leaves."""
        self.leave_bound_s = leave_s
        self._usable_by_service.clear()

    def put(self, record: UpstreamRecord, *, lag_s: float = 0.0) -> None:
        """Take the current record of an upstream.

        :param lag_s: time for which it may have been current before it was heard of, in seconds.
        """
        instance = record.instance
        before = self._records_by_instance.get(instance)
        self._records_by_instance[instance] = record
        was_leaving = self.is_leaving(instance)
        restarted = before is not None and before.started_ms != record.started_ms
        if self._replaced.get(instance, record.started_ms) != record.started_ms:
            del self._replaced[instance]
        if record.is_leaving:
            if restarted or instance not in self._leaving_since_by_instance:
                self._leaving_since_by_instance[instance] = self._clock.monotonic() - lag_s
        else:
            self._leaving_since_by_instance.pop(instance, None)
        # An entry that lapsed in an outage returns unchanged.
        if before != record or was_leaving != self.is_leaving(instance):
            self._note_change()
            _log.info(
                "upstream listed",
                instance=instance,
                service=record.service,
                address=str(record.address),
                leaving=record.is_leaving,
                versions=dict(record.version_by_model),
            )
            self._notify(instance)

    def remove(self, instance: str, *, lag_s: float = 0.0) -> None:
        """Note that an upstream is no longer listed.

        :param lag_s: as for :meth:`put`.
        """
        if instance not in self._records_by_instance:
            return
        since = self._leaving_since_by_instance.setdefault(
            instance, self._clock.monotonic() - lag_s
        )
        self._note_change()
        _log.info("upstream removed", instance=instance, leaving_s=self._clock.monotonic() - since)
        self._notify(instance)

    def note_replaced(self, instance: str) -> None:
        """Note that another incarnation answers at an upstream's address.

        The list keeps the old entry for a while, and every request to it would be refused.
        """
        record = self._records_by_instance.get(instance)
        if record is None or instance in self._replaced:
            return
        self._replaced[instance] = record.started_ms
        self._usable_by_service.clear()
        _log.info("upstream replaced", instance=instance, address=str(record.address))
        self._notify(instance)

    @property
    def revision(self) -> int:
        """Number that rises with each change of the records held or of which of them leave."""
        self._expire()
        return self._revision

    def _note_change(self) -> None:
        self._revision += 1
        self._records_by_address = None
        self._usable_by_service.clear()

    def get(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream that may still be used."""
        record = self._records_by_instance.get(instance)
        return record if record is not None and self._is_usable(instance) else None

    def is_leaving(self, instance: str) -> bool:
        """Return whether an upstream is leaving or gone."""
        return instance in self._leaving_since_by_instance

    def list_usable(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of a service that may receive requests.

        :returns: the same object until one of them changes or may no longer receive any.
        """
        self._expire()
        until, records = self._usable_by_service.get(service, (-math.inf, ()))
        if self._clock.monotonic() >= until:
            records = self._find_usable(service)
            leave_at = (
                since + self.leave_bound_s * LEAVING_FRACTION
                for record in records
                if (since := self._leaving_since_by_instance.get(record.instance)) is not None
            )
            self._usable_by_service[service] = (min(leave_at, default=math.inf), records)
        return records

    def _find_usable(self, service: str) -> tuple[UpstreamRecord, ...]:
        newest_by_address: dict[Address, UpstreamRecord] = {}
        for record in self._records_by_instance.values():
            if record.service != service or not self._is_usable(record.instance):
                continue
            # Of two incarnations at one address the one that started last is there.
            held = newest_by_address.get(record.address)
            if held is None or held.started_ms <= record.started_ms:
                newest_by_address[record.address] = record
        return tuple(newest_by_address.values())

    def list_all(self) -> list[UpstreamRecord]:
        """Return all records held, those that leave included."""
        self._expire()
        return list(self._records_by_instance.values())

    def find(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream, one that leaves included."""
        self._expire()
        return self._records_by_instance.get(instance)

    def list_at(self, address: str) -> tuple[UpstreamRecord, ...]:
        """Return all records of an address, those that leave included.

        :param address: ``IP:PORT``.
        """
        self._expire()
        if self._records_by_address is None:
            found: dict[str, tuple[UpstreamRecord, ...]] = {}
            for record in self._records_by_instance.values():
                text = str(record.address)
                found[text] = (*found.get(text, ()), record)
            self._records_by_address = found
        return self._records_by_address.get(address, ())

    def _is_usable(self, instance: str) -> bool:
        if instance in self._replaced:
            return False
        since = self._leaving_since_by_instance.get(instance)
        return since is None or self._clock.monotonic() < since + (
            self.leave_bound_s * LEAVING_FRACTION
        )

    def _expire(self) -> None:
        if not self._leaving_since_by_instance:
            return
        now = self._clock.monotonic()
        gone = [
            instance
            for instance, since in self._leaving_since_by_instance.items()
            if now - since > 60.0
        ]
        for instance in gone:
            del self._leaving_since_by_instance[instance]
            self._records_by_instance.pop(instance, None)
            self._note_change()
            self._replaced.pop(instance, None)

    def _notify(self, instance: str) -> None:
        for listener in self._listeners:
            listener(instance)
