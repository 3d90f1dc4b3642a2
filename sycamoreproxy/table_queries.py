"""Queries of the table: effective rows, history, change ids, and the CSV form."""

from __future__ import annotations

import csv
import io
import json
from dataclasses import dataclass
from typing import Any

from sycamoreproxy.settings import RANKS
from sycamoreproxy.store import Entry, Get, Store, Txn
from sycamoreproxy.table import (
    ANY,
    CELLS,
    DEADLINE_MS_BY_RANK,
    EMPTY_SNAPSHOT,
    ModelTarget,
    Root,
    RowKey,
    RowPolicy,
    Rows,
    Snapshot,
    TableError,
    decode_text,
    find_cell,
    find_share,
    lookup_keys,
)

#: Revisions whose differences the store keeps.
HISTORY_LIMIT = 1_000
#: Keys read in one transaction; an etcd server refuses more than 128 operations.
READ_BATCH = 100
#: Resolved policies that a view remembers; callers name accounts, so this must be bounded.
MAX_RESOLVED = 10_000


class TableView:
    """One revision of the table, with lookups.

    :param snapshot: the table.
    """

    __slots__ = ("_policies_by_key", "digest", "revision", "snapshot")

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT) -> None:
        self.snapshot = snapshot
        self.revision = snapshot.root.revision
        self.digest = snapshot.digest
        self._policies_by_key: dict[tuple[str, str, str], RowPolicy] = {}

    @property
    def rows(self) -> Rows:
        """The rows as stored, without fallback."""
        return self.snapshot.rows

    def resolve(self, model: str, client_account: str, rank: str) -> RowPolicy:
        """Return the effective row; empty cells fall back to less specific rows.

        A share is not inherited by a client account from its rank.
        """
        key = (model, client_account, rank)
        policy = self._policies_by_key.get(key)
        if policy is None:
            policy = self._resolve(model, client_account, rank)
            if len(self._policies_by_key) < MAX_RESOLVED:
                self._policies_by_key[key] = policy
        return policy

    def rank_policy(self, model: str, rank: str) -> RowPolicy:
        """Return the effective row (model, *, rank); its share is the rank's."""
        return self.resolve(model, ANY, rank)

    def target(self, model: str) -> ModelTarget:
        """Return what the runners of a model shall serve."""
        cells = self.rows.get(RowKey(model, ANY, ANY), {})
        adapters = cells.get("adapters", "")
        return ModelTarget(
            version=cells.get("version", ""),
            adapters=tuple(adapters.split(";")) if adapters else (),
            replicas=int(cells.get("replicas", "") or 0),
        )

    def models(self) -> tuple[str, ...]:
        """Return the models that the table names, sorted."""
        return tuple(sorted({key.model for key in self.rows} - {ANY}))

    def _resolve(self, model: str, client_account: str, rank: str) -> RowPolicy:
        keys = lookup_keys(model, client_account, rank)
        rows = self.rows
        deadline_ms = DEADLINE_MS_BY_RANK.get(rank, DEADLINE_MS_BY_RANK["normal"])
        return RowPolicy(
            weight=float(find_cell(rows, keys, "weight") or 1),
            share=find_share(rows, model, client_account, rank),
            concurrent_limit=int(find_cell(rows, keys, "concurrent_limit") or 0),
            requests_per_minute=int(find_cell(rows, keys, "requests_per_minute") or 0),
            tokens_per_minute=int(find_cell(rows, keys, "tokens_per_minute") or 0),
            deadline_ms=int(find_cell(rows, keys, "deadline_ms") or deadline_ms),
        )


@dataclass(frozen=True, slots=True)
class TableKeys:
    """Names of the table's keys in the store.

    :param prefix: prefix of the deployment.
    """

    prefix: str

    @property
    def root(self) -> str:
        """Key of the root."""
        return f"{self.prefix}/table/root"

    def page(self, digest: str) -> str:
        """Return the key of a page."""
        return f"{self.prefix}/table/page/{digest}"

    def history(self, revision: int) -> str:
        """Return the key of a revision's differences; keys sort by revision."""
        return f"{self.prefix}/table/history/{revision:012d}"

    def change(self, change_id: str) -> str:
        """Return the key of a change id."""
        return f"{self.prefix}/table/change/{change_id}"


@dataclass(frozen=True, slots=True)
class CellChange:
    """One cell before and after a revision, as canonical texts."""

    key: RowKey
    cell: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Revision:
    """What one revision changed.

    :param time: when it was accepted, in seconds since the Unix epoch.
    """

    revision: int
    change_id: str
    author: str
    time: float
    changes: tuple[CellChange, ...]

    def render(self) -> str:
        """Return the JSON text kept in the store."""
        data = {
            "revision": self.revision,
            "change_id": self.change_id,
            "author": self.author,
            "time": round(self.time, 3),
            "changes": [[*item.key, item.cell, item.before, item.after] for item in self.changes],
        }
        return json.dumps(data, ensure_ascii=False, separators=(",", ":"))

    @classmethod
    def parse(cls, text: str) -> Revision:
        """Return the revision of a JSON text.

        :raises TableError: if it is none.
        """
        try:
            data: Any = json.loads(text)
            return cls(
                revision=int(data["revision"]),
                change_id=str(data["change_id"]),
                author=str(data["author"]),
                time=float(data["time"]),
                changes=tuple(
                    CellChange(RowKey(*map(str, item[:3])), *map(str, item[3:6]))
                    for item in data["changes"]
                ),
            )
        except (ValueError, TypeError, KeyError) as error:
            raise TableError(f"malformed history: {error!r}") from error


async def read_entries(store: Store, keys: list[str]) -> list[Entry | None]:
    """Return the entries of keys in order, read in transactions of :data:`READ_BATCH`."""
    entries: list[Entry | None] = []
    for start in range(0, len(keys), READ_BATCH):
        batch = keys[start : start + READ_BATCH]
        result = await store.transact(Txn(then=tuple(Get(key) for key in batch)))
        entries.extend(item if isinstance(item, Entry) else None for item in result.results)
    return entries


class TableReader:
    """Reads history and changes from the store.

    :param prefix: prefix of the deployment's keys.

    Its methods raise the errors of :class:`sycamoreproxy.store.Store`.
    """

    def __init__(self, *, store: Store, prefix: str) -> None:
        self._store = store
        self._keys = TableKeys(prefix)

    async def history(self, limit: int = 50) -> list[Revision]:
        """Return the last revisions, the newest first.

        :param limit: how many; at most :data:`HISTORY_LIMIT` are kept.
        """
        entry = await self._store.get(self._keys.root)
        if entry is None:
            return []
        newest = Root.parse(decode_text(entry.value)).revision
        oldest = max(1, newest - min(limit, HISTORY_LIMIT) + 1)
        keys = [self._keys.history(number) for number in range(newest, oldest - 1, -1)]
        entries = await read_entries(self._store, keys)
        return [Revision.parse(decode_text(item.value)) for item in entries if item is not None]

    async def find_change(self, change_id: str) -> int | None:
        """Return the revision of an accepted change, or None if there is none.

        None is final only after the change's time limit: an unanswered commit may still arrive.
        """
        entry = await self._store.get(self._keys.change(change_id))
        return None if entry is None else int(json.loads(entry.value)["revision"])


CSV_COLUMNS = ("model", "client_account", "rank", *CELLS)


def render_csv(rows: Rows) -> str:
    """Return the table as CSV with a header line, rows by model, account and rank order."""
    order = {rank: index for index, rank in enumerate((ANY, *RANKS))}
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(CSV_COLUMNS)
    for key in sorted(rows, key=lambda key: (key.model, key.client_account, order[key.rank])):
        writer.writerow([*key, *(rows[key].get(cell, "") for cell in CELLS)])
    return buffer.getvalue()
