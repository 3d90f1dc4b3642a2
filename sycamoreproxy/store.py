"""Interface of the configuration store and registry of its adapters."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol

from sycamoreproxy.registry import Registry


class StoreUnavailableError(Exception):
    """The call definitely had no effect: it was rejected, or there was no connection."""


class LeaseNotFoundError(StoreUnavailableError):
    """The call had no effect because its lease has expired."""


class StoreAnswerLostError(Exception):
    """The call may or may not have taken effect: its response was not received."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key-value pair with its metadata.

    :param create_revision: store revision in which the key was created.
    :param mod_revision: store revision of the last change to the key.
    :param lease: id of the lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition that a key has a given mod revision; 0 requires the key to be absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a key.

    :param lease: id of the lease to attach the key to, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletion of a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Get:
    """Read of a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Txn:
    """An atomic transaction; transactions may be nested.

    :param compares: conditions to evaluate.
    :param then: operations to run if all conditions are true.
    :param otherwise: operations to run if any condition is false.
    """

    compares: tuple[Compare, ...] = ()
    then: tuple[Put | Delete | Get | Txn, ...] = ()
    otherwise: tuple[Put | Delete | Get | Txn, ...] = ()


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction.

    :param succeeded: whether all conditions were true.
    :param revision: store revision after the transaction.
    :param results: one item per operation: the entry or None for a ``Get``, a ``TxnResult`` for a
        nested transaction, None for a write.
    """

    succeeded: bool
    revision: int
    results: tuple[Entry | TxnResult | None, ...] = field(default=())


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Methods raise :class:`StoreUnavailableError` or :class:`StoreAnswerLostError` on failure; the
    difference between the two matters for writes. The time limit in the settings applies to each
    call.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key is absent."""

    async def list_entries(self, prefix: str, *, limit: int = 1000) -> list[Entry]:
        """Return at most ``limit`` entries with a key prefix, in ascending order of keys."""

    async def transact(self, txn: Txn) -> TxnResult:
        """Run a transaction atomically."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease with a time to live of ``ttl_s`` seconds and return its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it no longer exists."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys attached to it."""

    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[list[Entry]]:
        """Yield batches of changes to keys with a prefix, starting at a store revision.

        A deleted key is reported as an entry with an empty value and ``create_revision`` 0. The
        iterator ends when the connection to the store is lost, and also when the store no longer
        has ``from_revision``, for example after compaction. In both cases, read the keys again
        before starting a new watch.
        """

    def close(self) -> None:
        """Close all connections."""


#: Store factories ``(address, timeout_s) -> Store`` by adapter name.
stores: Registry[Callable[[str, float], Store]] = Registry("store adapter")
