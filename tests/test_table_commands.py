"""Guards against edits that are lost, doubled, applied over a newer value, or misreported."""

import asyncio
import random
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from returns.result import Success

from standins.store import MemoryStore
from sycamoreproxy import result_codes as codes
from sycamoreproxy import table_commands
from sycamoreproxy.result_codes import Executed
from sycamoreproxy.table import EMPTY_SNAPSHOT, Root, RowKey, apply_cells
from sycamoreproxy.table_commands import Accepted, CellEdit, TableEditor, load_snapshot
from sycamoreproxy.table_queries import TableKeys, TableReader
from tests._fake_store import FakeStore
from tests._virtual_time import LoopClock
from tests._virtual_time import run as virtual_run

KEYS = TableKeys("/t")


def make_editor(core: MemoryStore, *, seed: int = 1, **options: Any) -> TableEditor:
    faults = {
        name: options.pop(name) for name in ("unavailable", "lost", "late") if name in options
    }
    store = FakeStore(core, seed=seed, **faults)
    return TableEditor(store=store, prefix="/t", clock=LoopClock(), **options)


def edit(base: str, value: str, *, account: str = "a", cell: str = "weight") -> CellEdit:
    return CellEdit("m", account, "urgent", cell, base, value)


async def read_rows(core: MemoryStore) -> dict[RowKey, dict[str, str]]:
    store = FakeStore(core)
    entry = await store.get(KEYS.root)
    if entry is None:
        return {}
    snapshot = await load_snapshot(store, KEYS, entry, EMPTY_SNAPSHOT)
    assert snapshot is not None
    return {key: dict(cells) for key, cells in snapshot.rows.items()}


def refusal_of(result: Any) -> tuple[codes.ResultCode, Executed]:
    refusal = result.failure().refusal
    return refusal.code, refusal.executed


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
def test_change_that_breaks_a_rule_is_refused_whole(edits: list[CellEdit]) -> None:
    async def run() -> None:
        core = MemoryStore()
        editor = make_editor(core, known_versions=lambda model: ["v1"])
        result = await editor.commit([*edits], operator="o", change_id="c1")
        assert refusal_of(result) == (codes.TABLE_INVALID, Executed.NO)
        assert await read_rows(core) == {}

    virtual_run(run())


def test_conflict_shows_both_values_and_applies_nothing() -> None:
    async def run() -> None:
        core = MemoryStore()
        first, second = make_editor(core), make_editor(core)
        assert await first.commit([edit("", "2.0")], operator="o", change_id="1") == Success(
            Accepted(1, "1")
        )
        result = await second.commit(
            [edit("1", "3"), edit("", "5", account="b")], operator="p", change_id="2"
        )
        assert refusal_of(result) == (codes.TABLE_CONFLICT, Executed.NO)
        (conflict,) = result.failure().conflicts
        assert (conflict.edit.value, conflict.current) == ("3", "2")
        assert await read_rows(core) == {RowKey("m", "a", "urgent"): {"weight": "2"}}
        rebased = await second.commit([edit("2.00", "3")], operator="p", change_id="3")
        assert rebased == Success(Accepted(2, "3"))

    virtual_run(run())


def test_repeated_change_id_is_accepted_once_and_not_for_another_change() -> None:
    async def run() -> None:
        core = MemoryStore()
        for _ in range(2):
            editor = make_editor(core)
            result = await editor.commit([edit("", "2")], operator="o", change_id="same")
            assert result == Success(Accepted(1, "same"))
        other = await editor.commit([edit("2", "3")], operator="o", change_id="same")
        assert refusal_of(other) == (codes.TABLE_INVALID, Executed.NO)
        reader = TableReader(store=FakeStore(core), prefix="/t")
        assert await reader.find_change("same") == 1
        assert await reader.find_change("other") is None

    virtual_run(run())


@pytest.mark.parametrize(
    ("faults", "code", "executed"),
    [
        ({"unavailable": 1.0}, codes.TABLE_NOT_ACCEPTED, Executed.NO),
        ({"lost": 1.0}, codes.TABLE_NOT_ACCEPTED, Executed.NO),
    ],
)
def test_store_that_never_answers_reads_is_reported_as_not_accepted(
    faults: dict[str, float], code: codes.ResultCode, executed: Executed
) -> None:
    async def run() -> None:
        core = MemoryStore()
        editor = make_editor(core, **faults)
        result = await editor.commit([edit("", "2")], operator="o", change_id="c")
        assert refusal_of(result) == (code, executed)
        assert await read_rows(core) == {}

    virtual_run(run())


def test_write_without_answer_is_unknown_and_its_change_id_tells_later() -> None:
    """An outage that begins after the write must not be reported as not accepted."""

    async def run() -> None:
        core = MemoryStore()
        store = FakeStore(core)
        editor = TableEditor(store=store, prefix="/t", clock=LoopClock())
        original = store._call

        async def fail_from_write(verb: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
            if verb == "txn" and body["compare"]:
                store.faults = {"lost": 1.0}
                try:
                    return await original(verb, path, body)
                finally:
                    store.faults = {"unavailable": 1.0}
            return await original(verb, path, body)

        store._call = fail_from_write  # type: ignore[method-assign]
        result = await editor.commit([edit("", "2")], operator="o", change_id="c")
        assert refusal_of(result) == (codes.TABLE_OUTCOME_UNKNOWN, Executed.UNKNOWN)
        assert await TableReader(store=FakeStore(core), prefix="/t").find_change("c") == 1
        repeat = await make_editor(core).commit([edit("", "2")], operator="o", change_id="c")
        assert repeat == Success(Accepted(1, "c"))

    virtual_run(run())


def test_store_older_than_the_table_in_force_takes_no_change() -> None:
    async def run() -> None:
        core = MemoryStore()
        editor = make_editor(core, minimum_revision=lambda: 7)
        result = await editor.commit([edit("", "2")], operator="o", change_id="c")
        assert refusal_of(result) == (codes.TABLE_NOT_ACCEPTED, Executed.NO)

    virtual_run(run())


def test_expired_change_lease_is_replaced() -> None:
    async def run() -> None:
        core = MemoryStore(now=LoopClock().monotonic)
        editor = make_editor(core)
        await editor.commit([edit("", "1")], operator="o", change_id="c1")
        await asyncio.sleep(table_commands.CHANGE_TTL_S + 3_601)
        result = await editor.commit([edit("1", "2")], operator="o", change_id="c2")
        assert result == Success(Accepted(2, "c2"))
        reader = TableReader(store=FakeStore(core), prefix="/t")
        assert await reader.find_change("c1") is None

    virtual_run(run())


def test_history_and_pages_stay_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_commands, "HISTORY_LIMIT", 5)

    async def run() -> None:
        core = MemoryStore()
        editor = make_editor(core)
        for number in range(12):
            base = str(number) if number else ""
            await editor.commit([edit(base, str(number + 1))], operator="o", change_id=f"c{number}")
        history = await TableReader(store=FakeStore(core), prefix="/t").history(100)
        assert [item.revision for item in history] == [12, 11, 10, 9, 8]
        assert (history[0].changes[0].before, history[0].changes[0].after) == ("11", "12")
        store = FakeStore(core)
        assert len(await store.list_entries("/t/table/page/")) == 1
        assert len(await store.list_entries("/t/table/history/")) == 5

    virtual_run(run())


async def _race(
    core: MemoryStore, editors: list[TableEditor], edits: list[CellEdit], race: int
) -> list[Any]:
    """Commit one edit per editor at once; resolve unknown outcomes by their change ids."""
    results = await asyncio.gather(
        *(
            editor.commit([item], operator=f"o{number}", change_id=f"r{race}-{number}")
            for number, (editor, item) in enumerate(zip(editors, edits, strict=True))
        )
    )
    for editor in editors:
        while late := list(editor._store.late_tasks):  # type: ignore[attr-defined]
            await asyncio.wait(late)
    resolved = []
    for number, result in enumerate(results):
        if not is_successful(result) and refusal_of(result)[1] is Executed.UNKNOWN:
            reader = TableReader(store=FakeStore(core), prefix="/t")
            revision = await reader.find_change(f"r{race}-{number}")
            resolved.append(Accepted(revision, f"r{race}-{number}") if revision else None)
        else:
            resolved.append(result.unwrap() if is_successful(result) else result.failure())
    return resolved


@pytest.mark.parametrize("faults", [{}, {"unavailable": 0.1, "lost": 0.15, "late": 0.15}], ids=str)
def test_200_races_of_two_editors_lose_and_double_nothing(faults: dict[str, float]) -> None:
    async def run() -> None:
        core = MemoryStore()
        editors = [make_editor(core, seed=7 + n, **faults) for n in range(2)]
        rng = random.Random(5)
        expected: dict[tuple[RowKey, str], str] = {}
        accepted: dict[int, str] = {}
        for race in range(200):
            same = race % 2 == 0
            edits = []
            for number in range(2):
                account = "a" if same else f"b{number}"
                key = RowKey("m", account, "urgent")
                base = expected.get((key, "weight"), "")
                edits.append(
                    edit(base, f"{race + 1}.{rng.randrange(1, 5)}{number + 1}", account=account)
                )
            outcomes = await _race(core, editors, edits, race)
            winners = [n for n, item in enumerate(outcomes) if isinstance(item, Accepted)]
            assert len(winners) <= 1 if same else True
            if not faults:
                assert len(winners) == (1 if same else 2)
            for number in winners:
                expected[edits[number].key, "weight"] = edits[number].value
                # A revision that two changes claim would mean that one of them was overwritten.
                assert accepted.setdefault(
                    outcomes[number].revision, outcomes[number].change_id
                ) == (outcomes[number].change_id)
            for number, item in enumerate(outcomes):
                if number not in winners and getattr(item, "conflicts", ()):
                    assert same and item.conflicts[0].current == edits[winners[0]].value
            assert await read_rows(core) == apply_cells({}, expected)
        entry = await FakeStore(core).get(KEYS.root)
        assert entry is not None
        assert sorted(accepted) == list(range(1, Root.parse(entry.value.decode()).revision + 1))

    virtual_run(run())


_EDITS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(["weight", "concurrent_limit"]),
        st.sampled_from(["", "1", "2", "3"]),
        st.integers(0, 2),
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda item: item[:2],
)


@seed(3)
@settings(max_examples=60, deadline=None, database=None)
@given(changes=st.lists(_EDITS, min_size=1, max_size=12))
def test_a_change_is_accepted_exactly_if_every_base_is_current(
    changes: list[list[tuple[str, str, str, int]]],
) -> None:
    """Each edit is based on the table as it was 0, 1 or 2 revisions ago."""

    async def run() -> None:
        core = MemoryStore()
        editor = make_editor(core)
        states: list[dict[tuple[str, str], str]] = [{}]
        for number, items in enumerate(changes):
            current = states[-1]
            edits, stale = [], set()
            for account, cell, value, age in items:
                base = states[max(0, len(states) - 1 - age)].get((account, cell), "")
                edits.append(edit(base, value, account=account, cell=cell))
                if base != current.get((account, cell), ""):
                    stale.add((account, cell))
            result = await editor.commit(edits, operator="o", change_id=f"c{number}")
            assert is_successful(result) is (not stale)
            if stale:
                found = {(c.edit.client_account, c.edit.cell) for c in result.failure().conflicts}
                assert found == stale
                continue
            new = {**current, **{(item[0], item[1]): item[2] for item in items}}
            new = {place: value for place, value in new.items() if value}
            if new != current:
                states.append(new)
            assert result.unwrap().revision == len(states) - 1
        values = {
            (RowKey("m", account, "urgent"), cell): value
            for (account, cell), value in states[-1].items()
        }
        assert await read_rows(core) == apply_cells({}, values)
        replayed: dict[RowKey, dict[str, str]] = {}
        for item in reversed(await TableReader(store=FakeStore(core), prefix="/t").history(100)):
            replayed = apply_cells(replayed, {(c.key, c.cell): c.after for c in item.changes})
        assert replayed == await read_rows(core)

    virtual_run(run())
