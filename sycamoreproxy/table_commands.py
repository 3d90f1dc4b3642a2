"""Commands on the table: edits with base values, committed by compare-and-swap."""

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

#: Cells of one change.
MAX_EDITS = 5_000
#: Bytes of one commit; an etcd server refuses requests above 1.5 MB, a third goes to base64.
MAX_COMMIT_BYTES = 900_000
#: How long the store remembers an accepted change id, in seconds.
CHANGE_TTL_S = 24 * 3600
#: Longest time for one commit, in seconds.
COMMIT_TIMEOUT_S = 10.0
#: Pauses between attempts while the store does not answer, in seconds.
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.5

_CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,100}")


@dataclass(frozen=True, slots=True)
class CellEdit:
    """Sets one cell.

    :param base: the text that the operator saw; empty for an empty cell.
    :param value: the new text; empty clears the cell.
    """

    model: str
    client_account: str
    rank: str
    cell: str
    base: str
    value: str

    @property
    def key(self) -> RowKey:
        """The row."""
        return RowKey(self.model, self.client_account, self.rank)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is part of the table from this revision on."""

    revision: int
    change_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """A cell holds another value than the edit's base.

    :param current: the text that the cell holds.
    """

    edit: CellEdit
    current: str


@dataclass(frozen=True, slots=True)
class EditFailure:
    """Why a change was not accepted, or that this is not known."""

    refusal: Refusal
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True, slots=True)
class _Base:
    """The root that a commit replaces."""

    mod_revision: int
    snapshot: Snapshot


class TableEditor:
    """Commits changes of the table.

    :param prefix: prefix of the deployment's keys.
    :param known_versions: returns the versions that the origin holds of a model; without it
        versions are not checked.
    :param minimum_revision: returns the revision in force here; a store that holds an older one
        has lost data, and a commit to it would never come into force.
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
        """Apply all edits as one revision, or none.

        A repeat with the same ``change_id`` and edits returns the first acceptance. Edits that
        change nothing are accepted at the current revision without a new one.

        :param operator: author of the revision.
        :param change_id: unique text chosen by the caller: letters, digits, ``.``, ``_``, ``-``.
        :returns: the revision, or a refusal: ``TABLE_CONFLICT`` with both values of each cell,
            ``TABLE_INVALID`` with the rules broken, ``TABLE_NOT_ACCEPTED`` (certainly not made),
            ``TABLE_OUTCOME_UNKNOWN`` (ask ``TableReader.find_change``).
        """
        try:
            values = _check_edits(edits)
            if not _CHANGE_ID.fullmatch(change_id):
                raise TableError("the change id must be 1 to 100 letters, digits, '.', '_', '-'")
        except TableError as error:
            return _refuse(TABLE_INVALID, str(error))
        commit = _Commit(
            edits=tuple(edits),
            values=values,
            operator=operator,
            change_id=change_id,
            fingerprint=_fingerprint(edits),
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
                    return _refuse_unanswered(commit, str(error))
            except TableError as error:
                return _refuse(TABLE_INVALID, str(error))
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def _try_commit(self, commit: _Commit) -> Result[Accepted, EditFailure]:
        """Run the commit until the store decides it.

        :raises StoreUnavailableError: try again.
        :raises StoreAnswerLostError: try again; ``commit.pending`` says whether a write is open.
        """
        while True:
            if commit.pending is None:
                prepared = await self._prepare(commit)
                if not isinstance(prepared, _Pending):
                    return prepared
                commit.pending = prepared
            pending = commit.pending
            try:
                result = await self._store.transact(pending.txn)
            except StoreAnswerLostError:
                commit.answer_lost = True
                raise
            if result.succeeded:
                return Success(Accepted(pending.revision, commit.change_id))
            # The root moved on, so this transaction can no longer take effect, even if a copy of
            # it is still under way; the change key tells whether an earlier copy did.
            commit.pending = None
            commit.answer_lost = False
            change = result.results[1]
            if isinstance(change, Entry):
                return _read_change(change, commit)

    async def _prepare(self, commit: _Commit) -> _Pending | Result[Accepted, EditFailure]:
        entries = await read_entries(
            self._store, [self._keys.root, self._keys.change(commit.change_id)]
        )
        root_entry, change = entries
        if change is not None:
            return _read_change(change, commit)
        base = await self._read_base(root_entry)
        root = base.snapshot.root
        if root.revision < self._minimum_revision():
            return _refuse_unanswered(
                commit, f"The store holds revision {root.revision}, older than the one in force."
            )
        rows = base.snapshot.rows
        conflicts = _find_conflicts(rows, commit.edits)
        if conflicts:
            return _refuse(TABLE_CONFLICT, _describe(conflicts), conflicts)
        changes = _list_changes(rows, commit.values)
        if not changes:
            return Success(Accepted(root.revision, commit.change_id))
        new_rows = apply_cells(rows, commit.values)
        models = {change.key.model for change in changes}
        problems = validate_rows(
            new_rows,
            # A row (*, *, rank) gives its share to every model.
            models=None if ANY in models else models,
            # An old version that has left the origin must not block other edits.
            known_versions=(
                self._known_versions if any(c.cell == "version" for c in changes) else None
            ),
        )
        if problems:
            return _refuse(TABLE_INVALID, " ".join(problems))
        lease = await self._lease.current()
        return self._make_pending(commit, base, changes, new_rows, lease)

    async def _read_base(self, entry: Entry | None) -> _Base:
        if entry is None:
            return _Base(0, EMPTY_SNAPSHOT)
        snapshot = await load_snapshot(self._store, self._keys, entry, self._cached_snapshot())
        if snapshot is None:
            # A page was replaced between the two reads; the next attempt sees the new root.
            raise StoreUnavailableError("the table changed while it was read")
        return _Base(entry.mod_revision, snapshot)

    def _make_pending(
        self,
        commit: _Commit,
        base: _Base,
        changes: tuple[CellChange, ...],
        rows: Rows,
        lease: int,
    ) -> _Pending:
        old = base.snapshot.root
        digests, texts = render_changed_pages(
            rows, changed={change.key for change in changes}, previous=base.snapshot
        )
        root = Root(
            revision=old.revision + 1,
            change_id=commit.change_id,
            author=commit.operator,
            time=self._clock.wall(),
            digests_by_page=digests,
        )
        root_text = root.render()
        revision = Revision(root.revision, root.change_id, root.author, root.time, changes)
        change = {"revision": root.revision, "fingerprint": commit.fingerprint}
        keys = self._keys
        values = {
            keys.root: root_text.encode(),
            keys.history(root.revision): revision.render().encode(),
        }
        size = sum(len(value) for value in values.values())
        size += sum(len(text.encode()) for text in texts.values())
        if size > MAX_COMMIT_BYTES:
            raise TableError(f"the change needs {size} bytes, above {MAX_COMMIT_BYTES}; split it")
        replaced = set(old.digests_by_page.values()) - set(digests.values())
        deletes = [Delete(keys.page(digest)) for digest in sorted(replaced)]
        if root.revision > HISTORY_LIMIT:
            deletes.append(Delete(keys.history(root.revision - HISTORY_LIMIT)))
        change_key = keys.change(commit.change_id)
        txn = Txn(
            compares=(Compare(keys.root, base.mod_revision), Compare(change_key, 0)),
            then=(
                # Nested, because an etcd server bounds the operations of one transaction.
                Txn(then=tuple(Put(keys.page(d), t.encode()) for d, t in texts.items())),
                Txn(then=tuple(deletes)),
                *(Put(key, value) for key, value in values.items()),
                Put(change_key, json.dumps(change).encode(), lease),
            ),
            otherwise=(Get(keys.root), Get(change_key)),
        )
        return _Pending(txn, root.revision)


@dataclass(frozen=True, slots=True)
class _Pending:
    """A transaction that may have been sent, and the revision that it makes."""

    txn: Txn
    revision: int


@dataclass(slots=True)
class _Commit:
    """State of one commit over its attempts.

    :param answer_lost: whether a copy of ``pending`` may have taken effect or still may.
    """

    edits: tuple[CellEdit, ...]
    values: Mapping[tuple[RowKey, str], str]
    operator: str
    change_id: str
    fingerprint: str
    pending: _Pending | None = None
    answer_lost: bool = False


async def load_snapshot(
    store: Store, keys: TableKeys, entry: Entry, cached: Snapshot
) -> Snapshot | None:
    """Return the table of a root entry, or None if a page was replaced meanwhile.

    :param cached: a table whose pages need not be read again.
    :raises TableError: if the store holds malformed data.
    """
    root_text = decode_text(entry.value)
    if root_text == cached.root_text:
        return cached
    root = Root.parse(root_text)
    missing = [d for d in root.digests_by_page.values() if d not in cached.pages_by_digest]
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
        place = f"({', '.join(edit.key)})"
        try:
            check_key(edit.key)
            text = normalize_cell(edit.cell, edit.value)
            if text:
                check_cell_allowed(edit.key, edit.cell)
        except TableError as error:
            raise TableError(f"row {place}: {error}") from error
        if (edit.key, edit.cell) in values:
            raise TableError(f"row {place}: {edit.cell} is edited twice")
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


def _list_changes(rows: Rows, values: Mapping[tuple[RowKey, str], str]) -> tuple[CellChange, ...]:
    changes = []
    for (key, cell), after in values.items():
        before = rows.get(key, {}).get(cell, "")
        if before != after:
            changes.append(CellChange(key, cell, before, after))
    return tuple(changes)


def _fingerprint(edits: Sequence[CellEdit]) -> str:
    items = sorted([*edit.key, edit.cell, edit.base, edit.value] for edit in edits)
    return hashlib.sha256(json.dumps(items).encode()).hexdigest()


def _read_change(entry: Entry, commit: _Commit) -> Result[Accepted, EditFailure]:
    data = json.loads(entry.value)
    if data["fingerprint"] != commit.fingerprint:
        return _refuse(TABLE_INVALID, "The change id belongs to another change.")
    return Success(Accepted(int(data["revision"]), commit.change_id))


def _describe(conflicts: Sequence[Conflict]) -> str:
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


def _refuse_unanswered(commit: _Commit, detail: str) -> Result[Accepted, EditFailure]:
    if commit.answer_lost:
        return _refuse(TABLE_OUTCOME_UNKNOWN, detail, executed=Executed.UNKNOWN)
    return _refuse(TABLE_NOT_ACCEPTED, detail)


def parse_csv(text: str) -> dict[RowKey, dict[str, str]]:
    """Return the rows of a CSV table with canonical cells; absent columns are empty.

    :raises TableError: names the line and what is wrong.
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
        for line in reader:
            if not any(line):
                continue
            if len(line) != len(header):
                raise TableError(f"{len(line)} fields, not {len(header)}")
            key = RowKey(*(name.strip() for name in line[:3]))
            check_key(key)
            if key in rows:
                raise TableError(f"row ({', '.join(key)}) occurs twice")
            cells = {}
            for cell, value in zip(header[3:], line[3:], strict=True):
                cells[cell] = normalize_cell(cell, value)
                if cells[cell]:
                    check_cell_allowed(key, cell)
            rows[key] = cells
    except (TableError, csv.Error) as error:
        raise TableError(f"line {reader.line_num}: {error}") from error
    return rows


def plan_edits(wanted: Rows, *, base: Rows, remove_absent: bool = False) -> tuple[CellEdit, ...]:
    """Return the edits that turn one table into another.

    :param wanted: rows as from :func:`parse_csv`; a cell that a row does not mention is kept.
    :param base: rows that the operator saw, such as an earlier export.
    :param remove_absent: whether rows of ``base`` that ``wanted`` lacks are removed.
    """
    edits = []
    for key, cells in wanted.items():
        old = base.get(key, {})
        for cell, value in cells.items():
            if old.get(cell, "") != value:
                edits.append(CellEdit(*key, cell, old.get(cell, ""), value))
    if remove_absent:
        for key in base.keys() - wanted.keys():
            edits.extend(CellEdit(*key, cell, value, "") for cell, value in base[key].items())
    return tuple(sorted(edits, key=lambda edit: (edit.key, edit.cell)))
