"""Documents of the platform's store, and what reads them there."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


class DocumentError(Exception):
    """A document can't be read."""


class SourceUnavailableError(Exception):
    """The store gave no usable answer."""


class ChangesTooLargeError(Exception):
    """The changes since the revision asked for are longer than permitted."""


class HistoryLostError(Exception):
    """The store no longer holds the changes since the revision asked for."""


@dataclass(frozen=True, slots=True)
class Document:
    """One document.

    :param revision: the store's revision of its last change.
    :param value: its bytes; None if it was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Documents, and the store's revision up to which they are complete."""

    documents: tuple[Document, ...]
    revision: int


class DocumentSource(Protocol):
    """Reads documents from the store."""

    async def read_all(
        self, prefix: str, *, on_part: Callable[[], None] = lambda: None
    ) -> Snapshot:
        """Return all documents below a prefix.

        :param on_part: called when a part of the answer arrives.
        :raises SourceUnavailableError: if the store gives no usable answer in time.
        """

    async def wait_changes(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
        on_part: Callable[[], None] = lambda: None,
    ) -> Snapshot:
        """Return the changes after a revision as soon as there are any, or none after ``wait_s``.

        :param max_bytes: largest sum of the values, in bytes; None for no limit of the caller's.
        :param on_part: called when a part of the answer arrives.
        :raises ChangesTooLargeError: if the values are longer than ``max_bytes``.
        :raises HistoryLostError: if they are no longer available.
        :raises SourceUnavailableError: if the store gives no usable answer in time.
        """
