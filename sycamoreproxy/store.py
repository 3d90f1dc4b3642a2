"""The configuration store: protocol of its adapters, and their registry."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol

from sycamoreproxy.registry import Registry


class StoreUnavailableError(Exception):
    """The call certainly had no effect (refused, or no connection)."""


class LeaseNotFoundError(StoreUnavailableError):
    """The call had no effect because its lease has expired."""


class StoreAnswerLostError(Exception):
    """The call may have had its effect; its answer was not received."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    :param create_revision: store revision at which the key was created.
    :param mod_revision: store revision of the last change.
    :param lease: lease id, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Holds if the key's mod revision is as given; 0 means that the key is absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a key, bound to a lease if one is given."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Get:
    """Reads a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Txn:
    """If every compare holds ``then`` is done, else ``otherwise``; a ``Txn`` may be nested."""

    compares: tuple[Compare, ...] = ()
    then: tuple[Put | Delete | Get | Txn, ...] = ()
    otherwise: tuple[Put | Delete | Get | Txn, ...] = ()


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction.

    :param revision: store revision after it.
    :param results: one item an operation: the entry (or None) of a ``Get``, a ``TxnResult`` of a
        nested transaction, None of a write.
    """

    succeeded: bool
    revision: int
    results: tuple[Entry | TxnResult | None, ...] = field(default=())


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Every method raises :class:`StoreUnavailableError` or :class:`StoreAnswerLostError`; writes
    distinguish the two. Every call has the time limit of the settings.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""

    async def list_entries(self, prefix: str, *, limit: int = 1000) -> list[Entry]:
        """Return the entries below a prefix by rising key, at most ``limit``."""

    async def transact(self, txn: Txn) -> TxnResult:
        """Run a transaction."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease of ``ttl_s`` seconds."""

    async def renew_lease(self, lease: int) -> bool:
        """Return whether the lease still existed and was renewed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[list[Entry]]:
        """Yield changes below a prefix from a store revision on; ends when the store is lost.

        A deleted key is an entry with empty value and ``create_revision`` 0. The end is also
        reached when the store no longer holds ``from_revision``: read again before watching.
        """

    def close(self) -> None:
        """Release connections."""


#: Factories ``(address, timeout_s) -> Store`` by adapter name.
stores: Registry[Callable[[str, float], Store]] = Registry("store adapter")
