"""Catalog of the upstreams that the platform lists, and how long a leaving one may be used."""

from __future__ import annotations

import math
from collections.abc import Callable, Container
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.streams import Address

#: Fraction of the operator's bound after which a leaving upstream gets no new requests. A process
#: may learn of it after 0.3 of the bound (``UPSTREAM_COALESCE_FRACTION``), and requests in transit
#: need the rest.
LEAVING_USE_FRACTION = 0.5

_log = get_logger("upstream_book")


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """One listed upstream.

    :param instance: instance id of the upstream.
    :param is_leaving: whether the upstream has announced that it will stop.
    :param started_ms: start of the instance in Unix milliseconds; 0 if unknown.
    :param version_by_model: versions of the weights that it holds.
    :param is_engine: whether it is a model engine, with a process of this system on its host.
    :param cold_remaining_ms: time until it is warm, in milliseconds, as of the writing of the record.
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
    cold_remaining_ms: float = 0.0


class UpstreamCatalog:
    """Records of the listed upstreams.

    A removed record is kept as leaving until its leave time is over. Its entry may have expired in
    an outage of the store, and a removed upstream still serves requests for a while.

    :param leave_s: time within which new requests to a leaving upstream must stop, in seconds.
    """

    def __init__(self, *, clock: Clock, leave_s: float) -> None:
        self._clock = clock
        self.leave_bound_s = leave_s
        self._records_by_instance: dict[str, UpstreamRecord] = {}
        self._leaving_since_by_instance: dict[str, float] = {}
        self._replaced_start_by_instance: dict[str, int] = {}
        #: Starts of the instances that announced that they leave, in a record or in an answer.
        self._announced_start_by_instance: dict[str, int] = {}
        #: The same for announcements in an answer only.
        self._left_start_by_instance: dict[str, int] = {}
        #: Monotonic times until which upstreams asked for no requests.
        self._held_until_by_instance: dict[str, float] = {}
        #: Records by ``IP:PORT``; None after a change until the next lookup.
        self._records_by_address: dict[str, tuple[UpstreamRecord, ...]] | None = None
        #: Usable records by service, with the monotonic time until which all of them are usable.
        self._usable_by_service: dict[str, tuple[float, tuple[UpstreamRecord, ...]]] = {}
        self._revision = 0
        self._listeners: list[Callable[[str], None]] = []

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call ``listener(instance)`` after each change of a record."""
        self._listeners.append(listener)

    def set_bound(self, leave_s: float) -> None:
        """Change the time within which new requests to a leaving upstream must stop."""
        self.leave_bound_s = leave_s
        self._usable_by_service.clear()

    def put(self, record: UpstreamRecord, *, lag_s: float = 0.0) -> None:
        """Add or update the record of an upstream.

        :param lag_s: time for which the record may have been valid before its receipt, in seconds.
        """
        instance = record.instance
        before = self._records_by_instance.get(instance)
        self._records_by_instance[instance] = record
        was_leaving = self.is_leaving(instance)
        restarted = before is not None and before.started_ms != record.started_ms
        if restarted:
            self._held_until_by_instance.pop(instance, None)
        if self._replaced_start_by_instance.get(instance, record.started_ms) != record.started_ms:
            del self._replaced_start_by_instance[instance]
        if self._left_start_by_instance.get(instance, record.started_ms) != record.started_ms:
            del self._left_start_by_instance[instance]
        if record.is_leaving:
            self._announced_start_by_instance[instance] = record.started_ms
        # A late write of an earlier record may follow the announcement.
        if self._announced_start_by_instance.get(instance) == record.started_ms:
            if restarted or instance not in self._leaving_since_by_instance:
                self._leaving_since_by_instance[instance] = self._clock.monotonic() - lag_s
        else:
            self._leaving_since_by_instance.pop(instance, None)
            self._announced_start_by_instance.pop(instance, None)
        # An entry that expired in an outage returns with an unchanged record.
        if before != record or was_leaving != self.is_leaving(instance):
            self._record_change()
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
        """Mark an upstream that is no longer listed as leaving.

        :param lag_s: as for :meth:`put`.
        """
        if instance not in self._records_by_instance:
            return
        since = self._leaving_since_by_instance.setdefault(
            instance, self._clock.monotonic() - lag_s
        )
        self._record_change()
        _log.info("upstream removed", instance=instance, leaving_s=self._clock.monotonic() - since)
        self._notify(instance)

    def mark_leaving(self, record: UpstreamRecord) -> bool:
        """Mark an upstream that announces in an answer that it leaves; it is not used any more.

        A record of the same lifetime does not undo this: the store may be out of reach, or the
        record older than the answer.

        :param record: record with which the request was sent; an answer of an earlier lifetime says
            nothing about the current one.
        :returns: whether this was not known from an answer yet.
        """
        instance = record.instance
        if not self._is_current(record) or instance in self._left_start_by_instance:
            return False
        self._left_start_by_instance[instance] = record.started_ms
        self._announced_start_by_instance[instance] = record.started_ms
        self._leaving_since_by_instance.setdefault(instance, self._clock.monotonic())
        self._record_change()
        self._notify(instance)
        return True

    def hold(self, record: UpstreamRecord, seconds: float) -> None:
        """Send no requests to an upstream for a time that it asked for, in seconds.

        :param record: as for :meth:`mark_leaving`.
        """
        if not self._is_current(record):
            return
        instance = record.instance
        until = self._clock.monotonic() + seconds
        until = max(until, self._held_until_by_instance.get(instance, until))
        self._held_until_by_instance[instance] = until
        self._usable_by_service.clear()

    def mark_replaced(self, instance: str) -> None:
        """Mark an upstream as replaced by another instance at the same address.

        Its entry stays listed for a while, and every request to it would be refused.
        """
        record = self._records_by_instance.get(instance)
        if record is None or instance in self._replaced_start_by_instance:
            return
        self._replaced_start_by_instance[instance] = record.started_ms
        self._usable_by_service.clear()
        _log.info("upstream replaced", instance=instance, address=str(record.address))
        self._notify(instance)

    @property
    def revision(self) -> int:
        """Number that increases with each change of a record or of its leaving state."""
        self._expire()
        return self._revision

    def _record_change(self) -> None:
        self._revision += 1
        self._records_by_address = None
        self._usable_by_service.clear()

    def get(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream, or None if it may not receive requests."""
        record = self._records_by_instance.get(instance)
        return record if record is not None and self._is_usable(instance) else None

    def is_leaving(self, instance: str) -> bool:
        """Return whether an upstream is leaving or no longer listed."""
        return instance in self._leaving_since_by_instance

    def find_leaving_s(self, instance: str) -> float | None:
        """Return how long an upstream has been known to leave, in seconds; None if it is not."""
        since = self._leaving_since_by_instance.get(instance)
        return None if since is None else self._clock.monotonic() - since

    def list_usable(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of a service that may receive requests.

        :returns: the same object until one of the records changes or is no longer usable.
        """
        self._expire()
        until, records = self._usable_by_service.get(service, (-math.inf, ()))
        if self._clock.monotonic() >= until:
            records = self._find_usable(service)
            unusable_at = (
                since + self.leave_bound_s * LEAVING_USE_FRACTION
                for record in records
                if (since := self._leaving_since_by_instance.get(record.instance)) is not None
            )
            changes_at = min(unusable_at, default=math.inf)
            for record in self._records_by_instance.values():
                if record.service == service:
                    changes_at = min(changes_at, self._find_hold_end(record.instance))
            self._usable_by_service[service] = (changes_at, records)
        return records

    def find_hold_left_s(
        self, service: str, *, excluded: Container[str] = frozenset()
    ) -> float | None:
        """Return the time until the first hold of a service's upstreams ends, in seconds.

        :param excluded: instances that are left out.
        :returns: None if an upstream may receive requests now, or if none is held.
        """
        if any(record.instance not in excluded for record in self.list_usable(service)):
            return None
        ends = [
            self._find_hold_end(record.instance)
            for record in self._records_by_instance.values()
            if record.service == service
            and record.instance not in excluded
            and self._is_usable(record.instance, ignore_hold=True)
        ]
        end = min(ends, default=math.inf)
        return None if end == math.inf else end - self._clock.monotonic()

    def is_held(self, instance: str) -> bool:
        """Return whether an upstream has asked for no requests until a time that is still to come."""
        return self._find_hold_end(instance) != math.inf

    def _find_hold_end(self, instance: str) -> float:
        """Return the monotonic time at which the hold of an upstream ends; infinite if none is."""
        until = self._held_until_by_instance.get(instance)
        if until is None:
            return math.inf
        if until <= self._clock.monotonic():
            del self._held_until_by_instance[instance]
            return math.inf
        return until

    def _find_usable(self, service: str) -> tuple[UpstreamRecord, ...]:
        newest_by_address: dict[Address, UpstreamRecord] = {}
        for record in self._records_by_instance.values():
            if record.service != service or not self._is_usable(record.instance):
                continue
            # Of several instances at one address, only the one that started last can be running.
            newest = newest_by_address.get(record.address)
            if newest is None or newest.started_ms <= record.started_ms:
                newest_by_address[record.address] = record
        return tuple(newest_by_address.values())

    def list_all(self) -> list[UpstreamRecord]:
        """Return all records, including those of leaving upstreams."""
        self._expire()
        return list(self._records_by_instance.values())

    def list_expected(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that may receive requests now or after a hold."""
        return [
            record
            for record in self.list_all()
            if record.service == service and self._is_usable(record.instance, ignore_hold=True)
        ]

    def find(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream, even if it is leaving."""
        self._expire()
        return self._records_by_instance.get(instance)

    def list_at(self, address: str) -> tuple[UpstreamRecord, ...]:
        """Return all records of an address, including those of leaving upstreams.

        :param address: ``IP:PORT``.
        """
        self._expire()
        if self._records_by_address is None:
            records: dict[str, tuple[UpstreamRecord, ...]] = {}
            for record in self._records_by_instance.values():
                key = str(record.address)
                records[key] = (*records.get(key, ()), record)
            self._records_by_address = records
        return self._records_by_address.get(address, ())

    def _is_current(self, record: UpstreamRecord) -> bool:
        """Return whether a record is of the known lifetime of its upstream."""
        known = self._records_by_instance.get(record.instance)
        return known is not None and known.started_ms == record.started_ms

    def _is_usable(self, instance: str, *, ignore_hold: bool = False) -> bool:
        if instance in self._replaced_start_by_instance or instance in self._left_start_by_instance:
            return False
        if not ignore_hold and self.is_held(instance):
            return False
        since = self._leaving_since_by_instance.get(instance)
        return since is None or self._clock.monotonic() < since + (
            self.leave_bound_s * LEAVING_USE_FRACTION
        )

    def _expire(self) -> None:
        if not self._leaving_since_by_instance:
            return
        now = self._clock.monotonic()
        expired = [
            instance
            for instance, since in self._leaving_since_by_instance.items()
            if now - since > 60.0
        ]
        for instance in expired:
            del self._leaving_since_by_instance[instance]
            self._records_by_instance.pop(instance, None)
            self._record_change()
            self._replaced_start_by_instance.pop(instance, None)
            self._left_start_by_instance.pop(instance, None)
            self._held_until_by_instance.pop(instance, None)
            self._announced_start_by_instance.pop(instance, None)

    def _notify(self, instance: str) -> None:
        for listener in self._listeners:
            listener(instance)
