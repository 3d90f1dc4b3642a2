"""Tests of commits to the table under conflicts, concurrent editors and store failures.

Guards against edits that are lost, applied twice, applied over a newer value, or reported with the
wrong outcome.
"""

import asyncio
import random
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy import result_codes as codes
from sycamoreproxy import table_commands
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.table import EMPTY_SNAPSHOT, Root, Rows, apply_cells
from sycamoreproxy.table_commands import Accepted, CellEdit, TableEditor, load_snapshot
from sycamoreproxy.table_queries import TableKeys, TableReader
from tests._virtual_time import LoopClock, in_virtual_time
from tests.test_table import make_rows

KEYS = TableKeys("/t")


def make_editor(core: MemoryStore, *, seed: int = 1, faults: Any = None, **options: Any) -> Any:
    store = InProcessStore(core, seed=seed, **(faults or {}))
    return TableEditor(store=store, prefix="/t", clock=LoopClock(), **options)


def make_reader(core: MemoryStore) -> TableReader:
    return TableReader(store=InProcessStore(core), prefix="/t")


def edit(base: str, value: str, *, account: str = "a", cell: str = "weight") -> CellEdit:
    return CellEdit("m", account, "urgent", cell, base, value)


async def commit(editor: TableEditor, change_id: str, *edits: CellEdit) -> Any:
    """Commit the edits and return the accepted revision or the failure."""
    result = await editor.commit(edits, operator="o", change_id=change_id)
    if isinstance(result, Failure):
        return result.failure()
    assert result == Success(Accepted(result.unwrap().revision, change_id))
    return result.unwrap().revision


async def read_rows(core: MemoryStore) -> Rows:
    store = InProcessStore(core)
    entry = await store.get(KEYS.root)
    if entry is None:
        return {}
    snapshot = await load_snapshot(store, KEYS, entry, EMPTY_SNAPSHOT)
    assert snapshot is not None
    return snapshot.rows


def is_refused(failure: Any, code: codes.ResultCode, executed: Executed = Executed.NO) -> bool:
    return (failure.refusal.code, failure.refusal.executed) == (code, executed)


@pytest.mark.parametrize(
    "edits",
    [
        [],
        [edit("", "-1", cell="concurrent_limit")],
        [edit("", "0.6", cell="share"), edit("", "0.5", account="b", cell="share")],
        [edit("", "1"), edit("", "2")],
        [edit("", "v1", cell="version")],
        [CellEdit("m", "*", "*", "version", "", "v9")],
        [CellEdit("m", "a", "soon", "weight", "", "1")],
    ],
)
@in_virtual_time
async def test_invalid_change_is_refused_and_applies_no_edit(edits: list[CellEdit]) -> None:
    core = MemoryStore()
    editor = make_editor(core, known_versions=lambda model: ["v1"])
    assert is_refused(await commit(editor, "c", *edits), codes.TABLE_INVALID)
    assert await read_rows(core) == {}


@in_virtual_time
async def test_conflict_reports_both_values_and_applies_no_edit() -> None:
    core = MemoryStore()
    first, second = make_editor(core), make_editor(core)
    assert await commit(first, "1", edit("", "2.0")) == 1
    failure = await commit(second, "2", edit("1", "3"), edit("", "5", account="b"))
    assert is_refused(failure, codes.TABLE_CONFLICT)
    assert [(c.edit.value, c.current) for c in failure.conflicts] == [("3", "2")]
    assert await read_rows(core) == make_rows("m,a,urgent:weight=2")
    assert await commit(second, "3", edit("2.00", "3")) == 2


@in_virtual_time
async def test_repeated_change_id_is_accepted_once_and_refused_for_other_edits() -> None:
    core = MemoryStore()
    for _ in range(2):
        assert await commit(make_editor(core), "same", edit("", "2")) == 1
    failure = await commit(make_editor(core), "same", edit("2", "3"))
    assert is_refused(failure, codes.TABLE_INVALID)
    assert await make_reader(core).find_change("same") == 1
    assert await make_reader(core).find_change("other") is None


@pytest.mark.parametrize("fault", ["unavailable", "lost"])
@in_virtual_time
async def test_failed_reads_are_reported_as_not_accepted(fault: str) -> None:
    core = MemoryStore()
    failure = await commit(make_editor(core, faults={fault: 1.0}), "c", edit("", "2"))
    assert is_refused(failure, codes.TABLE_NOT_ACCEPTED)
    assert await read_rows(core) == {}


@in_virtual_time
async def test_lost_write_response_is_unknown_until_the_change_id_is_looked_up() -> None:
    """A store outage that begins after the write must not be reported as not accepted."""
    core = MemoryStore()
    editor = make_editor(core)
    store, original = editor._store, editor._store._call

    async def fail_from_write(verb: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if verb != "txn" or not body["compare"]:
            return await original(verb, path, body)
        store.faults = {"lost": 1.0}
        try:
            return await original(verb, path, body)
        finally:
            store.faults = {"unavailable": 1.0}

    store._call = fail_from_write
    failure = await commit(editor, "c", edit("", "2"))
    assert is_refused(failure, codes.TABLE_OUTCOME_UNKNOWN, Executed.UNKNOWN)
    assert await make_reader(core).find_change("c") == 1
    assert await commit(make_editor(core), "c", edit("", "2")) == 1


@in_virtual_time
async def test_store_older_than_the_table_in_force_accepts_no_change() -> None:
    editor = make_editor(MemoryStore(), minimum_revision=lambda: 7)
    assert is_refused(await commit(editor, "c", edit("", "2")), codes.TABLE_NOT_ACCEPTED)


@in_virtual_time
async def test_expired_lease_of_change_ids_is_replaced() -> None:
    core = MemoryStore(now=LoopClock().monotonic)
    editor = make_editor(core)
    await commit(editor, "c1", edit("", "1"))
    await asyncio.sleep(table_commands.CHANGE_TTL_S + 3_601)
    assert await commit(editor, "c2", edit("1", "2")) == 2
    assert await make_reader(core).find_change("c1") is None


@in_virtual_time
async def test_number_of_history_entries_and_pages_is_bounded() -> None:
    core = MemoryStore()
    editor, store = make_editor(core), InProcessStore(core)
    for number in range(1, table_commands.HISTORY_LIMIT + 4):
        base = str(number - 1) if number > 1 else ""
        assert await commit(editor, f"c{number}", edit(base, str(number))) == number
    history = await make_reader(core).history(2_000)
    assert [item.revision for item in history] == list(range(1_003, 3, -1))
    assert (history[0].changes[0].before, history[0].changes[0].after) == ("1002", "1003")
    assert len(await store.list_entries("/t/table/page/")) == 1
    assert len(await store.list_entries("/t/table/history/", limit=2_000)) == 1_000


async def _resolve_outcome(core: MemoryStore, change_id: str, outcome: Any) -> Any:
    """Return the outcome of a change, looked up by its id if the commit reported it as unknown."""
    if not isinstance(outcome, int) and outcome.refusal.executed is Executed.UNKNOWN:
        return await make_reader(core).find_change(change_id)
    return outcome


@pytest.mark.parametrize("faults", [{}, {"unavailable": 0.1, "lost": 0.15, "late": 0.15}], ids=str)
@in_virtual_time
async def test_200_concurrent_commits_of_two_editors_lose_and_repeat_nothing(
    faults: dict[str, float],
) -> None:
    core, rng = MemoryStore(), random.Random(5)
    editors = [make_editor(core, seed=7 + n, faults=faults) for n in range(2)]
    expected: dict[Any, str] = {}
    accepted: list[int] = []
    for round_number in range(200):
        accounts = ("a", "a") if round_number % 2 else ("b", "c")
        edits = [
            edit(
                expected.get(account, ""),
                f"{round_number + 1}.{rng.randrange(1, 5)}{n + 1}",
                account=account,
            )
            for n, account in enumerate(accounts)
        ]
        ids = [f"r{round_number}-{n}" for n in range(2)]
        results = await asyncio.gather(*map(commit, editors, ids, edits))
        for editor in editors:
            while late_tasks := list(editor._store.late_tasks):
                await asyncio.wait(late_tasks)
        outcomes = [await _resolve_outcome(core, *item) for item in zip(ids, results, strict=True)]
        winners = [n for n, outcome in enumerate(outcomes) if isinstance(outcome, int)]
        if round_number % 2:
            assert len(winners) <= 1
        if not faults:
            assert len(winners) == (1 if round_number % 2 else 2)
        accepted += [outcomes[n] for n in winners]
        expected.update({accounts[n]: edits[n].value for n in winners})
        for outcome in outcomes:
            if conflicts := getattr(outcome, "conflicts", ()):
                assert round_number % 2 and conflicts[0].current == expected["a"]
        values = {
            (edit("", "", account=account).key, "weight"): value
            for account, value in expected.items()
        }
        assert await read_rows(core) == apply_cells({}, values)
    entry = await InProcessStore(core).get(KEYS.root)
    assert entry is not None
    # If two changes reported the same revision, one of them would have been overwritten.
    assert sorted(accepted) == list(range(1, Root.parse(entry.value.decode()).revision + 1))


_CELLS = st.tuples(st.sampled_from("abc"), st.sampled_from(["weight", "concurrent_limit"]))
_CHANGES = st.lists(
    st.dictionaries(
        _CELLS,
        st.tuples(st.sampled_from(["", "1", "2"]), st.integers(0, 2)),
        min_size=1,
        max_size=4,
    ),
    min_size=1,
    max_size=12,
)


@seed(3)
@settings(max_examples=60, deadline=None, database=None)
@given(changes=_CHANGES)
@in_virtual_time
async def test_change_is_accepted_if_and_only_if_every_base_is_current(changes: list[Any]) -> None:
    """Compares commits with a model; each edit is based on the table 0, 1 or 2 revisions earlier."""
    core = MemoryStore()
    editor = make_editor(core)
    states: list[dict[Any, str]] = [{}]
    for number, items in enumerate(changes):
        current = states[-1]
        bases = {
            cell: states[max(0, len(states) - 1 - age)].get(cell, "")
            for cell, (_, age) in items.items()
        }
        edits = [
            edit(bases[cell], value, account=cell[0], cell=cell[1])
            for cell, (value, _) in items.items()
        ]
        stale = {cell for cell, base in bases.items() if base != current.get(cell, "")}
        outcome = await commit(editor, f"c{number}", *edits)
        if stale:
            assert {(c.edit.client_account, c.edit.cell) for c in outcome.conflicts} == stale
            continue
        new = {**current, **{cell: value for cell, (value, _) in items.items()}}
        new = {cell: value for cell, value in new.items() if value}
        if new != current:
            states.append(new)
        assert outcome == len(states) - 1
    values = {
        (edit("", "", account=cell[0]).key, cell[1]): value for cell, value in states[-1].items()
    }
    assert await read_rows(core) == apply_cells({}, values)
    replayed: Rows = {}
    for item in reversed(await make_reader(core).history(100)):
        replayed = apply_cells(replayed, {(c.key, c.cell): c.after for c in item.changes})
    assert replayed == await read_rows(core)
