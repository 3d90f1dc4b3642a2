"""Queries of the configuration table: effective policies, history, change ids and CSV export."""

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

#: Number of revisions whose changes are kept in the store.
HISTORY_LIMIT = 1_000
#: Number of keys read in one transaction; etcd rejects transactions of more than 128 operations.
READ_BATCH_SIZE = 100
#: Maximum number of policies cached by a view. The cache must be bounded because callers supply the
#: account names.
MAX_CACHED_POLICIES = 10_000


class TableView:
    """Read-only view of one table revision, with lookups of effective values.

    :param snapshot: table revision to look up in.
    """

    __slots__ = ("_policies_by_key", "digest", "revision", "snapshot")

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT) -> None:
        self.snapshot = snapshot
        self.revision = snapshot.root.revision
        self.digest = snapshot.digest
        self._policies_by_key: dict[tuple[str, str, str], RowPolicy] = {}

    @property
    def rows(self) -> Rows:
        """Rows as stored, without fallback to less specific rows."""
        return self.snapshot.rows

    def resolve(self, model: str, client_account: str, rank: str) -> RowPolicy:
        """Return the effective policy; empty cells fall back to less specific rows.

        A client account does not inherit the share of its rank.
        """
        key = (model, client_account, rank)
        policy = self._policies_by_key.get(key)
        if policy is None:
            policy = self._compute_policy(model, client_account, rank)
            if len(self._policies_by_key) < MAX_CACHED_POLICIES:
                self._policies_by_key[key] = policy
        return policy

    def rank_policy(self, model: str, rank: str) -> RowPolicy:
        """Return the effective policy of row (model, *, rank), with the share of the rank itself."""
        return self.resolve(model, ANY, rank)

    def target(self, model: str) -> ModelTarget:
        """Return the desired state of the runners of a model."""
        cells = self.rows.get(RowKey(model, ANY, ANY), {})
        adapters = cells.get("adapters", "")
        return ModelTarget(
            version=cells.get("version", ""),
            adapters=tuple(adapters.split(";")) if adapters else (),
            replicas=int(cells.get("replicas", "") or 0),
        )

    def models(self) -> tuple[str, ...]:
        """Return the sorted names of the models that have rows in the table."""
        return tuple(sorted({key.model for key in self.rows} - {ANY}))

    def _compute_policy(self, model: str, client_account: str, rank: str) -> RowPolicy:
        keys = lookup_keys(model, client_account, rank)
        rows = self.rows
        default_deadline_ms = DEADLINE_MS_BY_RANK.get(rank, DEADLINE_MS_BY_RANK["normal"])
        return RowPolicy(
            weight=float(find_cell(rows, keys, "weight") or 1),
            share=find_share(rows, model, client_account, rank),
            concurrent_limit=int(find_cell(rows, keys, "concurrent_limit") or 0),
            requests_per_minute=int(find_cell(rows, keys, "requests_per_minute") or 0),
            tokens_per_minute=int(find_cell(rows, keys, "tokens_per_minute") or 0),
            deadline_ms=int(find_cell(rows, keys, "deadline_ms") or default_deadline_ms),
        )


@dataclass(frozen=True, slots=True)
class TableKeys:
    """Builds the store keys of the table.

    :param prefix: key prefix of the deployment.
    """

    prefix: str

    @property
    def root(self) -> str:
        """Key of the root document."""
        return f"{self.prefix}/table/root"

    def page(self, digest: str) -> str:
        """Return the key of the page with a digest."""
        return f"{self.prefix}/table/page/{digest}"

    def history(self, revision: int) -> str:
        """Return the key of the changes of a revision; lexical order is revision order."""
        return f"{self.prefix}/table/history/{revision:012d}"

    def change(self, change_id: str) -> str:
        """Return the key that records an accepted change id."""
        return f"{self.prefix}/table/change/{change_id}"


@dataclass(frozen=True, slots=True)
class CellChange:
    """Canonical values of a cell before and after a revision."""

    key: RowKey
    cell: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Revision:
    """History record of one table revision.

    :param time: time at which the revision was accepted, in seconds since the Unix epoch.
    """

    revision: int
    change_id: str
    author: str
    time: float
    changes: tuple[CellChange, ...]

    def render(self) -> str:
        """Return the JSON that is kept in the store."""
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
        """Parse the JSON of a history record.

        :raises TableError: if it is malformed.
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
    """Read keys in order of the arguments, :data:`READ_BATCH_SIZE` keys per transaction.

    :returns: the entry of each key, None for keys that are absent.
    """
    entries: list[Entry | None] = []
    for start in range(0, len(keys), READ_BATCH_SIZE):
        batch = keys[start : start + READ_BATCH_SIZE]
        result = await store.transact(Txn(then=tuple(Get(key) for key in batch)))
        entries.extend(item if isinstance(item, Entry) else None for item in result.results)
    return entries


class TableReader:
    """Reads the history and the accepted change ids from the store.

    The methods raise the errors of :class:`sycamoreproxy.store.Store`.

    :param prefix: key prefix of the deployment in the store.
    """

    def __init__(self, *, store: Store, prefix: str) -> None:
        self._store = store
        self._keys = TableKeys(prefix)

    async def history(self, limit: int = 50) -> list[Revision]:
        """Return the latest revisions, the newest first.

        :param limit: maximum number of revisions; at most :data:`HISTORY_LIMIT` are kept.
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
        """Return the revision that an accepted change created, or None if the id is unknown.

        None is conclusive only after the time limit of the commit: until then, a commit that got
        no response may still take effect.
        """
        entry = await self._store.get(self._keys.change(change_id))
        return None if entry is None else int(json.loads(entry.value)["revision"])


#: Columns of the CSV form: the fields of the row key, then one column per cell.
CSV_COLUMNS = ("model", "client_account", "rank", *CELLS)


def render_csv(rows: Rows) -> str:
    """Render the table as CSV with a header; rows are sorted by model, client account and rank."""
    rank_order = {rank: index for index, rank in enumerate((ANY, *RANKS))}
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(CSV_COLUMNS)
    for key in sorted(rows, key=lambda key: (key.model, key.client_account, rank_order[key.rank])):
        writer.writerow([*key, *(rows[key].get(cell, "") for cell in CELLS)])
    return buffer.getvalue()
