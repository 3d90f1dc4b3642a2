"""Edits of the configuration table, with optimistic concurrency control.

Each edit states the value that it is based on; a change is committed by compare-and-swap.
"""

from __future__ import annotations

import asyncio
import csv
import hashlib
import io
import json
import random
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from sycamoreproxy._shared_lease import SharedLease
from sycamoreproxy.clock import Clock, SystemClock
from sycamoreproxy.result_codes import (
    TABLE_CONFLICT,
    TABLE_INVALID,
    TABLE_NOT_ACCEPTED,
    TABLE_OUTCOME_UNKNOWN,
    Executed,
    Refusal,
    ResultCode,
)
from sycamoreproxy.store import (
    Compare,
    Delete,
    Entry,
    Get,
    LeaseNotFoundError,
    Put,
    Store,
    StoreAnswerLostError,
    StoreUnavailableError,
    Txn,
)
from sycamoreproxy.table import (
    ANY,
    EMPTY_SNAPSHOT,
    Root,
    RowKey,
    Rows,
    Snapshot,
    TableError,
    apply_cells,
    build_snapshot,
    check_cell_allowed,
    check_key,
    decode_text,
    normalize_cell,
    render_changed_pages,
    validate_rows,
)
from sycamoreproxy.table_queries import (
    CSV_COLUMNS,
    HISTORY_LIMIT,
    CellChange,
    Revision,
    TableKeys,
    read_entries,
)

#: Maximum number of cell edits in one change.
MAX_EDITS = 5_000
#: Maximum size of one commit, in bytes. etcd rejects requests above 1.5 MB, and base64 encoding
#: adds a third.
MAX_COMMIT_BYTES = 900_000
#: Retention period of the ids of accepted changes in the store, in seconds.
CHANGE_TTL_S = 24 * 3600
#: Default time limit of one commit including retries, in seconds.
COMMIT_TIMEOUT_S = 10.0
#: Bounds of the retry backoff while the store does not respond, in seconds.
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.5

_CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")


@dataclass(frozen=True, slots=True)
class CellEdit:
    """An edit of one cell.

    :param base: value that the operator saw; empty for an empty cell.
    :param value: new value; an empty string clears the cell.
    """

    model: str
    client_account: str
    rank: str
    cell: str
    base: str
    value: str

    @property
    def key(self) -> RowKey:
        """Key of the edited row."""
        return RowKey(self.model, self.client_account, self.rank)


@dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted change.

    :param revision: first revision that contains the change.
    """

    revision: int
    change_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """A cell whose current value differs from the base value of an edit.

    :param current: current value of the cell.
    """

    edit: CellEdit
    current: str


@dataclass(frozen=True, slots=True)
class EditFailure:
    """Reason why a change was not accepted, or a notice that its outcome is unknown."""

    refusal: Refusal
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True, slots=True)
class _CommitBase:
    """Table revision that a commit is based on.

    :param mod_revision: store revision of the root that the commit replaces; 0 if there is none.
    """

    mod_revision: int
    snapshot: Snapshot


class TableEditor:
    """Commits changes to the table.

    :param prefix: key prefix of the deployment in the store.
    :param known_versions: returns the versions of a model that are available at the origin; None
        skips the check of versions.
    :param minimum_revision: returns the revision in force on this host. A store that holds an
        older revision has lost data, and a commit to it would never take effect.
    :param cached_snapshot: returns a snapshot whose pages need not be read from the store again.
    :param timeout_s: time limit of one commit including retries, in seconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        clock: Clock | None = None,
        known_versions: Callable[[str], Iterable[str]] | None = None,
        minimum_revision: Callable[[], int] = lambda: 0,
        cached_snapshot: Callable[[], Snapshot] = lambda: EMPTY_SNAPSHOT,
        timeout_s: float = COMMIT_TIMEOUT_S,
    ) -> None:
        self._store = store
        self._keys = TableKeys(prefix)
        self._clock = clock or SystemClock()
        self._known_versions = known_versions
        self._minimum_revision = minimum_revision
        self._timeout_s = timeout_s
        self._lease = SharedLease(store=store, clock=self._clock, ttl_s=CHANGE_TTL_S)
        self._cached_snapshot = cached_snapshot

    async def commit(
        self, edits: Sequence[CellEdit], *, operator: str, change_id: str
    ) -> Result[Accepted, EditFailure]:
        """Apply all edits atomically as one revision.

        The operation is idempotent: repeating it with the same ``change_id`` and edits returns
        the original result. Edits that change nothing are accepted at the current revision and
        create no new one.

        :param operator: author of the revision.
        :param change_id: unique id chosen by the caller: letters, digits, ``.``, ``_``, ``-``.
        :returns: the accepted revision, or a refusal: ``TABLE_CONFLICT`` with both values of each
            conflicting cell, ``TABLE_INVALID`` with the violated rules, ``TABLE_NOT_ACCEPTED`` if
            the change was definitely not made, or ``TABLE_OUTCOME_UNKNOWN``, which
            ``TableReader.find_change`` can resolve later.
        """
        try:
            values = _check_edits(edits)
            if not _CHANGE_ID_PATTERN.fullmatch(change_id):
                raise TableError("the change id must be 1 to 100 letters, digits, '.', '_', '-'")
        except TableError as error:
            return _refuse(TABLE_INVALID, str(error))
        commit = _CommitState(
            edits=tuple(edits),
            values=values,
            operator=operator,
            change_id=change_id,
            fingerprint=_compute_fingerprint(edits),
        )
        deadline = self._clock.monotonic() + self._timeout_s
        pause_s = RETRY_MIN_S
        while True:
            try:
                return await self._try_commit(commit)
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                if isinstance(error, LeaseNotFoundError):
                    self._lease.invalidate()
                    commit.pending = None
                if self._clock.monotonic() + pause_s > deadline:
                    return _refuse_uncommitted(commit, str(error))
            except TableError as error:
                return _refuse(TABLE_INVALID, str(error))
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def _try_commit(self, commit: _CommitState) -> Result[Accepted, EditFailure]:
        """Run transactions until the commit succeeds or is refused.

        :raises StoreUnavailableError: the caller may retry.
        :raises StoreAnswerLostError: the caller may retry; ``commit.pending`` is set if a write
            may still take effect.
        """
        while True:
            if commit.pending is None:
                prepared = await self._prepare_transaction(commit)
                if not isinstance(prepared, _PendingTransaction):
                    return prepared
                commit.pending = prepared
            pending = commit.pending
            try:
                result = await self._store.transact(pending.txn)
            except StoreAnswerLostError:
                commit.outcome_unknown = True
                raise
            if result.succeeded:
                return Success(Accepted(pending.revision, commit.change_id))
            # The root has been replaced, so this transaction can no longer take effect, even if
            # a copy of it is still in flight. The change key shows whether an earlier copy did.
            commit.pending = None
            commit.outcome_unknown = False
            change_entry = result.results[1]
            if isinstance(change_entry, Entry):
                return _resolve_repeat(change_entry, commit)

    async def _prepare_transaction(
        self, commit: _CommitState
    ) -> _PendingTransaction | Result[Accepted, EditFailure]:
        entries = await read_entries(
            self._store, [self._keys.root, self._keys.change(commit.change_id)]
        )
        root_entry, change_entry = entries
        if change_entry is not None:
            return _resolve_repeat(change_entry, commit)
        base = await self._read_base(root_entry)
        root = base.snapshot.root
        if root.revision < self._minimum_revision():
            return _refuse_uncommitted(
                commit, f"The store holds revision {root.revision}, older than the one in force."
            )
        rows = base.snapshot.rows
        conflicts = _find_conflicts(rows, commit.edits)
        if conflicts:
            return _refuse(TABLE_CONFLICT, _describe_conflicts(conflicts), conflicts)
        changes = _diff_cells(rows, commit.values)
        if not changes:
            return Success(Accepted(root.revision, commit.change_id))
        new_rows = apply_cells(rows, commit.values)
        models = {change.key.model for change in changes}
        problems = validate_rows(
            new_rows,
            # The share in a row (*, *, rank) applies to every model.
            models=None if ANY in models else models,
            # A version that has since been removed from the origin must not block other edits.
            known_versions=(
                self._known_versions
                if any(change.cell == "version" for change in changes)
                else None
            ),
        )
        if problems:
            return _refuse(TABLE_INVALID, " ".join(problems))
        lease = await self._lease.current()
        return self._build_transaction(commit, base, changes, new_rows, lease)

    async def _read_base(self, entry: Entry | None) -> _CommitBase:
        if entry is None:
            return _CommitBase(0, EMPTY_SNAPSHOT)
        snapshot = await load_snapshot(self._store, self._keys, entry, self._cached_snapshot())
        if snapshot is None:
            # A page was replaced between the two reads; the retry reads the new root.
            raise StoreUnavailableError("the table changed while it was read")
        return _CommitBase(entry.mod_revision, snapshot)

    def _build_transaction(
        self,
        commit: _CommitState,
        base: _CommitBase,
        changes: tuple[CellChange, ...],
        rows: Rows,
        lease: int,
    ) -> _PendingTransaction:
        old_root = base.snapshot.root
        digests, texts = render_changed_pages(
            rows, changed={change.key for change in changes}, previous=base.snapshot
        )
        root = Root(
            revision=old_root.revision + 1,
            change_id=commit.change_id,
            author=commit.operator,
            time=self._clock.wall(),
            digests_by_page=digests,
        )
        root_text = root.render()
        revision = Revision(root.revision, root.change_id, root.author, root.time, changes)
        change_record = {"revision": root.revision, "fingerprint": commit.fingerprint}
        keys = self._keys
        values = {
            keys.root: root_text.encode(),
            keys.history(root.revision): revision.render().encode(),
        }
        size = sum(len(value) for value in values.values())
        size += sum(len(text.encode()) for text in texts.values())
        if size > MAX_COMMIT_BYTES:
            raise TableError(f"the change needs {size} bytes, above {MAX_COMMIT_BYTES}; split it")
        replaced = set(old_root.digests_by_page.values()) - set(digests.values())
        deletes = [Delete(keys.page(digest)) for digest in sorted(replaced)]
        if root.revision > HISTORY_LIMIT:
            deletes.append(Delete(keys.history(root.revision - HISTORY_LIMIT)))
        change_key = keys.change(commit.change_id)
        txn = Txn(
            compares=(Compare(keys.root, base.mod_revision), Compare(change_key, 0)),
            then=(
                # Nested because etcd limits the number of operations in one transaction.
                Txn(
                    then=tuple(
                        Put(keys.page(digest), text.encode()) for digest, text in texts.items()
                    )
                ),
                Txn(then=tuple(deletes)),
                *(Put(key, value) for key, value in values.items()),
                Put(change_key, json.dumps(change_record).encode(), lease),
            ),
            otherwise=(Get(keys.root), Get(change_key)),
        )
        return _PendingTransaction(txn, root.revision)


@dataclass(frozen=True, slots=True)
class _PendingTransaction:
    """A transaction that may have been sent, and the table revision that it creates."""

    txn: Txn
    revision: int


@dataclass(slots=True)
class _CommitState:
    """State of one commit across its attempts.

    :param values: canonical values by row key and cell name.
    :param fingerprint: digest of the edits; detects the reuse of a change id for other edits.
    :param pending: transaction to send again, or None if the next attempt has to prepare one.
    :param outcome_unknown: whether a copy of ``pending`` may have taken effect or may still do so.
    """

    edits: tuple[CellEdit, ...]
    values: Mapping[tuple[RowKey, str], str]
    operator: str
    change_id: str
    fingerprint: str
    pending: _PendingTransaction | None = None
    outcome_unknown: bool = False


async def load_snapshot(
    store: Store, keys: TableKeys, entry: Entry, cached: Snapshot
) -> Snapshot | None:
    """Read the snapshot of a root entry; None if a page has been replaced in the meantime.

    :param cached: snapshot whose pages need not be read again.
    :raises TableError: if the store contains malformed data.
    """
    root_text = decode_text(entry.value)
    if root_text == cached.root_text:
        return cached
    root = Root.parse(root_text)
    missing = [
        digest for digest in root.digests_by_page.values() if digest not in cached.pages_by_digest
    ]
    pages = dict(cached.pages_by_digest)
    entries = await read_entries(store, [keys.page(digest) for digest in missing])
    for digest, page in zip(missing, entries, strict=True):
        if page is None:
            return None
        pages[digest] = decode_text(page.value)
    return build_snapshot(root_text, pages, previous=cached)


def _check_edits(edits: Sequence[CellEdit]) -> dict[tuple[RowKey, str], str]:
    if not edits:
        raise TableError("the change has no edits")
    if len(edits) > MAX_EDITS:
        raise TableError(f"the change has {len(edits)} edits, more than {MAX_EDITS}; split it")
    values: dict[tuple[RowKey, str], str] = {}
    for edit in edits:
        row_name = f"({', '.join(edit.key)})"
        try:
            check_key(edit.key)
            text = normalize_cell(edit.cell, edit.value)
            if text:
                check_cell_allowed(edit.key, edit.cell)
        except TableError as error:
            raise TableError(f"row {row_name}: {error}") from error
        if (edit.key, edit.cell) in values:
            raise TableError(f"row {row_name}: {edit.cell} is edited twice")
        values[edit.key, edit.cell] = text
    return values


def _find_conflicts(rows: Rows, edits: Iterable[CellEdit]) -> tuple[Conflict, ...]:
    conflicts = []
    for edit in edits:
        current = rows.get(edit.key, {}).get(edit.cell, "")
        try:
            base = normalize_cell(edit.cell, edit.base)
        except TableError:
            base = edit.base
        if base != current:
            conflicts.append(Conflict(edit, current))
    return tuple(conflicts)


def _diff_cells(rows: Rows, values: Mapping[tuple[RowKey, str], str]) -> tuple[CellChange, ...]:
    changes = []
    for (key, cell), after in values.items():
        before = rows.get(key, {}).get(cell, "")
        if before != after:
            changes.append(CellChange(key, cell, before, after))
    return tuple(changes)


def _compute_fingerprint(edits: Sequence[CellEdit]) -> str:
    items = sorted([*edit.key, edit.cell, edit.base, edit.value] for edit in edits)
    return hashlib.sha256(json.dumps(items).encode()).hexdigest()


def _resolve_repeat(entry: Entry, commit: _CommitState) -> Result[Accepted, EditFailure]:
    data = json.loads(entry.value)
    if data["fingerprint"] != commit.fingerprint:
        return _refuse(TABLE_INVALID, "The change id belongs to another change.")
    return Success(Accepted(int(data["revision"]), commit.change_id))


def _describe_conflicts(conflicts: Sequence[Conflict]) -> str:
    first = conflicts[0]
    text = (
        f"{first.edit.cell} of ({', '.join(first.edit.key)}) is {first.current!r},"
        f" the edit is based on {first.edit.base!r}."
    )
    return text if len(conflicts) == 1 else f"{text} {len(conflicts) - 1} more cells differ."


def _refuse(
    code: ResultCode,
    detail: str,
    conflicts: tuple[Conflict, ...] = (),
    *,
    executed: Executed = Executed.NO,
) -> Result[Accepted, EditFailure]:
    retry_after_ms = 1_000 if code.retry_helps else 0
    return Failure(EditFailure(Refusal(code, executed, detail, retry_after_ms), conflicts))


def _refuse_uncommitted(commit: _CommitState, detail: str) -> Result[Accepted, EditFailure]:
    if commit.outcome_unknown:
        return _refuse(TABLE_OUTCOME_UNKNOWN, detail, executed=Executed.UNKNOWN)
    return _refuse(TABLE_NOT_ACCEPTED, detail)


def parse_csv(text: str) -> dict[RowKey, dict[str, str]]:
    """Parse a CSV table into rows with canonical cell values.

    Rows have no cells for columns that are absent.

    :raises TableError: if the CSV is invalid; the message states the line and the reason.
    """
    reader = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    rows: dict[RowKey, dict[str, str]] = {}
    try:
        header = [name.strip() for name in next(reader, [])]
        if tuple(header[:3]) != CSV_COLUMNS[:3]:
            raise TableError(f"the first columns must be {', '.join(CSV_COLUMNS[:3])}")
        unknown = [name for name in header if name not in CSV_COLUMNS]
        if unknown or len(set(header)) != len(header):
            raise TableError(f"unknown or repeated columns: {', '.join(unknown or header)}")
        for record in reader:
            if not any(record):
                continue
            if len(record) != len(header):
                raise TableError(f"{len(record)} fields, not {len(header)}")
            key = RowKey(*(name.strip() for name in record[:3]))
            check_key(key)
            if key in rows:
                raise TableError(f"row ({', '.join(key)}) occurs twice")
            cells = {}
            for cell, value in zip(header[3:], record[3:], strict=True):
                cells[cell] = normalize_cell(cell, value)
                if cells[cell]:
                    check_cell_allowed(key, cell)
            rows[key] = cells
    except (TableError, csv.Error) as error:
        raise TableError(f"line {reader.line_num}: {error}") from error
    return rows


def plan_edits(desired: Rows, *, base: Rows, remove_absent: bool = False) -> tuple[CellEdit, ...]:
    """Return the edits that transform one table into another.

    :param desired: rows as returned by :func:`parse_csv`; cells absent from a row are left
        unchanged.
    :param base: rows that the operator saw, such as an earlier export.
    :param remove_absent: whether rows of ``base`` that are absent from ``desired`` are removed.
    """
    edits = []
    for key, cells in desired.items():
        base_cells = base.get(key, {})
        for cell, value in cells.items():
            if base_cells.get(cell, "") != value:
                edits.append(CellEdit(*key, cell, base_cells.get(cell, ""), value))
    if remove_absent:
        for key in base.keys() - desired.keys():
            edits.extend(CellEdit(*key, cell, value, "") for cell, value in base[key].items())
    return tuple(sorted(edits, key=lambda edit: (edit.key, edit.cell)))
