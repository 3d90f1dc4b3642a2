"""Guards against tables that accept broken rules or read back differently than written."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from sycamoreproxy.settings import RANKS
from sycamoreproxy.table import (
    CELLS,
    Root,
    RowKey,
    Rows,
    Snapshot,
    TableError,
    apply_cells,
    build_snapshot,
    check_cell_place,
    check_key,
    make_pages,
    normalize_cell,
    validate_rows,
)
from sycamoreproxy.table_commands import parse_csv, plan_edits
from sycamoreproxy.table_queries import TableView, render_csv

_NUMBERS = st.integers(0, 10**6).map(str)
_TEXTS_BY_CELL = {
    "weight": st.sampled_from(["1", "0.5", "12.25"]),
    "share": st.sampled_from(["0", "0.01", "0.02"]),
    "concurrent_limit": _NUMBERS,
    "requests_per_minute": _NUMBERS,
    "tokens_per_minute": _NUMBERS,
    "deadline_ms": st.integers(1, 10**6).map(str),
}
_KEYS = st.builds(
    RowKey,
    st.sampled_from(["m1", "модел-2"]),
    st.sampled_from(["*", "a", "Sportello unico", "общини"]),
    st.sampled_from(RANKS),
)
_ROWS = st.dictionaries(_KEYS, st.fixed_dictionaries({}, optional=_TEXTS_BY_CELL), max_size=20).map(
    lambda rows: {key: cells for key, cells in rows.items() if cells}
)


def make_snapshot(rows: Rows, revision: int = 1) -> Snapshot:
    digests, texts = make_pages(rows, changed=rows)
    return build_snapshot(Root(revision, "c", "o", 1.5, digests).render(), texts)


@pytest.mark.parametrize(
    ("cell", "text", "wanted"),
    [
        ("weight", "01.50", "1.5"),
        ("share", " 0.250 ", "0.25"),
        ("share", "1.0", "1"),
        ("tokens_per_minute", "007", "7"),
        ("adapters", "b; a;", "b;a"),
        ("version", "", ""),
    ],
)
def test_equal_values_have_one_text(cell: str, text: str, wanted: str) -> None:
    assert normalize_cell(cell, text) == wanted


@pytest.mark.parametrize(
    ("cell", "text"),
    [
        ("weight", "0"),
        ("weight", "-1"),
        ("weight", "nan"),
        ("weight", "1e3"),
        ("share", "1.01"),
        ("share", "-0.1"),
        ("concurrent_limit", "-1"),
        ("requests_per_minute", "1.5"),
        ("tokens_per_minute", "9" * 16),
        ("deadline_ms", "0"),
        ("version", "../v1"),
        ("adapters", "a;a"),
        ("replicas", "many"),
        ("colour", "red"),
    ],
)
def test_broken_cell_is_refused(cell: str, text: str) -> None:
    with pytest.raises(TableError, match=cell):
        normalize_cell(cell, text)


@pytest.mark.parametrize(
    "key",
    [
        ("", "*", "*"),
        ("m", "=1+1", "*"),
        ("m", "*", "later"),
        ("*", "a", "urgent"),
        ("m\n", "*", "*"),
    ],
)
def test_row_that_no_lookup_reads_is_refused(key: tuple[str, str, str]) -> None:
    with pytest.raises(TableError):
        check_key(RowKey(*key))


@pytest.mark.parametrize(
    ("key", "cell"),
    [(("m", "*", "*"), "share"), (("m", "a", "*"), "version"), (("*", "*", "*"), "replicas")],
)
def test_cell_without_meaning_in_its_row_is_refused(key: tuple[str, str, str], cell: str) -> None:
    with pytest.raises(TableError):
        check_cell_place(RowKey(*key), cell)


@pytest.mark.parametrize(
    ("shares", "is_valid"),
    [
        (
            {("m", "*", "urgent"): "0.5", ("m", "*", "normal"): "0.4", ("m", "*", "batch"): "0.1"},
            True,
        ),
        ({("m", "*", "urgent"): "0.5", ("m", "*", "normal"): "0.51"}, False),
        # The rank's share of every model counts where a model has none of its own.
        ({("*", "*", "urgent"): "0.5", ("m", "*", "normal"): "0.6"}, False),
        ({("m", "a", "urgent"): "0.7", ("m", "b", "urgent"): "0.3"}, True),
        ({("m", "a", "urgent"): "0.7", ("m", "b", "*"): "0.4"}, False),
        ({("m", "a", "urgent"): "0.7", ("m", "b", "normal"): "0.7"}, True),
        ({("m", f"a{n}", "batch"): "0.1" for n in range(10)}, True),
    ],
)
def test_sum_of_shares_above_one_is_refused(
    shares: dict[tuple[str, str, str], str], is_valid: bool
) -> None:
    rows = {RowKey(*key): {"share": text} for key, text in shares.items()}
    assert (validate_rows(rows) == []) is is_valid


def test_version_unknown_to_the_origin_is_refused() -> None:
    rows = {RowKey("m", "*", "*"): {"version": "v2"}}
    assert validate_rows(rows, known_versions=lambda model: ["v1", "v2"]) == []
    assert "v2" in validate_rows(rows, known_versions=lambda model: ["v1"])[0]


def test_empty_cells_fall_back_but_a_rank_share_is_not_inherited() -> None:
    rows = {
        RowKey("*", "*", "*"): {"weight": "9", "deadline_ms": "900"},
        RowKey("*", "*", "urgent"): {"weight": "8", "tokens_per_minute": "80"},
        RowKey("m", "*", "*"): {"weight": "7", "requests_per_minute": "70", "version": "v1"},
        RowKey("m", "*", "urgent"): {"weight": "6", "share": "0.6", "concurrent_limit": "60"},
        RowKey("m", "a", "*"): {"weight": "5", "share": "0.5"},
        RowKey("m", "a", "urgent"): {"concurrent_limit": "40"},
    }
    view = TableView(make_snapshot(rows))
    policy = view.resolve("m", "a", "urgent")
    assert (policy.weight, policy.share, policy.concurrent_limit) == (5, 0.5, 40)
    assert (policy.requests_per_minute, policy.tokens_per_minute) == (70, 80)
    assert policy.deadline_ms == 900
    other = view.resolve("m", "b", "urgent")
    assert (other.weight, other.share, other.concurrent_limit) == (6, 0, 60)
    assert view.rank_policy("m", "urgent").share == 0.6
    assert view.resolve("unknown", "b", "batch").weight == 9
    assert TableView().resolve("m", "a", "urgent").deadline_ms == 1_400
    assert (view.target("m").version, view.target("x").version) == ("v1", "")
    assert view.models() == ("m",)


@seed(1)
@settings(max_examples=60, deadline=None, database=None)
@given(rows=_ROWS, changes=_ROWS)
def test_pages_hold_every_row_once_and_change_only_where_rows_do(
    rows: dict[RowKey, dict[str, str]], changes: dict[RowKey, dict[str, str]]
) -> None:
    before = make_snapshot(rows)
    assert before.rows == rows
    values = {(key, cell): text for key, cells in changes.items() for cell, text in cells.items()}
    after_rows = apply_cells(rows, values)
    digests, texts = make_pages(after_rows, changed=changes, held=before)
    whole = make_snapshot(after_rows)
    assert digests == whole.root.digests_by_page
    assert len(texts) <= len(changes)
    pages = {**before.pages_by_digest, **texts}
    assert build_snapshot(whole.root_text, pages, held=before) == whole


@seed(2)
@settings(max_examples=60, deadline=None, database=None)
@given(rows=_ROWS)
def test_csv_export_reads_back_as_the_same_table(rows: dict[RowKey, dict[str, str]]) -> None:
    wanted = parse_csv(render_csv(rows))
    assert plan_edits(wanted, base=rows, remove_absent=True) == ()
    edits = plan_edits(wanted, base={})
    values = {(edit.key, edit.cell): edit.value for edit in edits}
    assert apply_cells({}, values) == rows
    removals = plan_edits({}, base=rows, remove_absent=True)
    assert apply_cells(rows, {(edit.key, edit.cell): "" for edit in removals}) == {}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "first columns"),
        ("model,rank\n", "first columns"),
        ("model,client_account,rank,price\n", "price"),
        ("model,client_account,rank,weight,weight\n", "repeated"),
        ("model,client_account,rank,weight\nm,*,*\n", "line 2"),
        ("model,client_account,rank,weight\nm,*,*,1\nm,*,*,2\n", "twice"),
        ("model,client_account,rank,weight\nm,*,*,heavy\n", "line 2: weight"),
        ('model,client_account,rank,weight\nm,*,*,"1\n', "line"),
        ("model,client_account,rank,version\nm,a,*,v1\n", "belongs"),
    ],
)
def test_broken_csv_names_its_line(text: str, message: str) -> None:
    with pytest.raises(TableError, match=message):
        parse_csv(text)


def test_page_of_another_row_is_refused() -> None:
    snapshot = make_snapshot({RowKey("m", "a", "urgent"): {"weight": "2"}})
    ((page, digest),) = snapshot.root.digests_by_page.items()
    moved = Root(2, "c", "o", 1.0, {(page + 1) % 64: digest})
    with pytest.raises(TableError, match="another page"):
        build_snapshot(moved.render(), snapshot.pages_by_digest)
    assert set(CELLS) >= set(_TEXTS_BY_CELL)
