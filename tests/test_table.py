"""Tests of table validation, fallback between rows, page rendering and the CSV round trip.

Guards against tables that accept invalid values and against tables that read back differently
from what was written.
"""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from sycamoreproxy.settings import RANKS
from sycamoreproxy.table import (
    Root,
    RowKey,
    Rows,
    Snapshot,
    TableError,
    apply_cells,
    build_snapshot,
    check_cell_allowed,
    check_key,
    normalize_cell,
    render_changed_pages,
    validate_rows,
)
from sycamoreproxy.table_commands import parse_csv, plan_edits
from sycamoreproxy.table_queries import TableView, render_csv

_INTEGERS = st.integers(0, 10**6).map(str)
_VALUES_BY_CELL = {
    "weight": st.sampled_from(["1", "0.5", "12.25"]),
    "share": st.sampled_from(["0", "0.01", "0.02"]),
    "tokens_per_minute": _INTEGERS,
    "deadline_ms": st.integers(1, 10**6).map(str),
}
_MODELS, _ACCOUNTS = ["m1", "модел-2"], ["*", "a", "Sportello unico", "общини"]
_KEYS = st.builds(RowKey, *map(st.sampled_from, (_MODELS, _ACCOUNTS, RANKS)))
_ROWS = st.dictionaries(
    _KEYS, st.fixed_dictionaries({}, optional=_VALUES_BY_CELL), max_size=20
).map(lambda rows: {key: cells for key, cells in rows.items() if cells})


def make_rows(text: str) -> dict[RowKey, dict[str, str]]:
    """Parse rows from a string such as ``m,a,urgent:weight=2,share=0.5 m,*,*:weight=1``."""
    rows = {}
    for item in text.split():
        key, _, cells = item.partition(":")
        rows[RowKey(*key.split(","))] = dict(cell.split("=") for cell in cells.split(","))
    return rows


def make_snapshot(rows: Rows, revision: int = 1) -> Snapshot:
    digests, texts = render_changed_pages(rows, changed=rows)
    return build_snapshot(Root(revision, "c", "o", 1.5, digests).render(), texts)


_EQUIVALENT_VALUES = (
    "weight=01.50=1.5 share=0.250=0.25 share=1.0=1 tokens_per_minute=007=7 adapters=b;a;=b;a"
)
_INVALID_VALUES = """weight=0 weight=-1 weight=nan weight=1e3 share=1.01 share=-0.1
concurrent_limit=-1
requests_per_minute=1.5 tokens_per_minute=9999999999999999 deadline_ms=0 version=../v1 adapters=a;a
replicas=many colour=red"""


@pytest.mark.parametrize("case", [*_EQUIVALENT_VALUES.split(), "version=="])
def test_equivalent_values_have_one_canonical_form(case: str) -> None:
    cell, text, expected = case.split("=")
    assert normalize_cell(cell, f" {text} ") == expected


@pytest.mark.parametrize("case", _INVALID_VALUES.split())
def test_invalid_cell_value_is_rejected(case: str) -> None:
    cell, text = case.split("=")
    with pytest.raises(TableError, match=cell):
        normalize_cell(cell, text)


@pytest.mark.parametrize("key", [",*,*", "m,=1+1,*", "m,*,later", "*,a,urgent", "m\n,*,*"])
def test_invalid_row_key_is_rejected(key: str) -> None:
    with pytest.raises(TableError):
        check_key(RowKey(*key.split(",")))


@pytest.mark.parametrize("case", ["m,*,*:share", "m,a,*:version", "*,*,*:replicas"])
def test_cell_without_effect_in_its_row_is_rejected(case: str) -> None:
    key, cell = case.split(":")
    with pytest.raises(TableError):
        check_cell_allowed(RowKey(*key.split(",")), cell)


@pytest.mark.parametrize(
    ("shares", "is_valid"),
    [
        ("m,*,urgent:share=0.5 m,*,normal:share=0.4 m,*,batch:share=0.1", True),
        ("m,*,urgent:share=0.5 m,*,normal:share=0.51", False),
        # A model without a share of its own for a rank uses that rank's share of row (*, *, rank).
        ("*,*,urgent:share=0.5 m,*,normal:share=0.6", False),
        ("m,a,urgent:share=0.7 m,b,urgent:share=0.3", True),
        ("m,a,urgent:share=0.7 m,b,*:share=0.4", False),
        ("m,a,urgent:share=0.7 m,b,normal:share=0.7", True),
        (" ".join(f"m,a{n},batch:share=0.1" for n in range(10)), True),
    ],
)
def test_sum_of_shares_above_one_is_rejected(shares: str, is_valid: bool) -> None:
    assert (validate_rows(make_rows(shares)) == []) is is_valid


def test_version_missing_at_the_origin_is_rejected() -> None:
    rows = make_rows("m,*,*:version=v2")
    assert validate_rows(rows, known_versions=lambda model: ["v1", "v2"]) == []
    assert "v2" in validate_rows(rows, known_versions=lambda model: ["v1"])[0]


def test_empty_cells_fall_back_but_rank_share_is_not_inherited() -> None:
    rows = make_rows(
        "*,*,*:weight=9,deadline_ms=900 *,*,urgent:weight=8,tokens_per_minute=80"
        " m,*,*:weight=7,requests_per_minute=70,version=v1 m,a,*:weight=5,share=0.5"
        " m,*,urgent:weight=6,share=0.6,concurrent_limit=60 m,a,urgent:concurrent_limit=40"
    )
    view = TableView(make_snapshot(rows))
    policy = view.resolve("m", "a", "urgent")
    assert (policy.weight, policy.share, policy.concurrent_limit) == (5, 0.5, 40)
    assert (policy.requests_per_minute, policy.tokens_per_minute) == (70, 80)
    assert policy.deadline_ms == 900
    inherited = view.resolve("m", "b", "urgent")
    assert (inherited.weight, inherited.share, inherited.concurrent_limit) == (6, 0, 60)
    assert view.rank_policy("m", "urgent").share == 0.6
    assert view.resolve("unknown", "b", "batch").weight == 9
    assert TableView().resolve("m", "a", "urgent").deadline_ms == 1_400
    assert (view.target("m").version, view.target("x").version) == ("v1", "")
    assert view.models() == ("m",)


@seed(1)
@settings(max_examples=60, deadline=None, database=None)
@given(rows=_ROWS, changes=_ROWS)
def test_incremental_pages_match_full_rendering(rows: Rows, changes: Rows) -> None:
    before = make_snapshot(rows)
    assert before.rows == rows
    values = {(key, cell): text for key, cells in changes.items() for cell, text in cells.items()}
    after_rows = apply_cells(rows, values)
    digests, texts = render_changed_pages(after_rows, changed=changes, previous=before)
    full = make_snapshot(after_rows)
    assert digests == full.root.digests_by_page
    assert len(texts) <= len(changes)
    pages = {**before.pages_by_digest, **texts}
    assert build_snapshot(full.root_text, pages, previous=before) == full


@seed(2)
@settings(max_examples=60, deadline=None, database=None)
@given(rows=_ROWS)
def test_csv_export_round_trips(rows: Rows) -> None:
    parsed = parse_csv(render_csv(rows))
    assert plan_edits(parsed, base=rows, remove_absent=True) == ()
    edits = plan_edits(parsed, base={})
    assert apply_cells({}, {(edit.key, edit.cell): edit.value for edit in edits}) == rows
    removals = plan_edits({}, base=rows, remove_absent=True)
    assert apply_cells(rows, {(edit.key, edit.cell): "" for edit in removals}) == {}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "first columns"),
        (",price\n", "price"),
        (",weight,weight\n", "repeated"),
        (",weight\nm,*,*\n", "line 2"),
        (",weight\nm,*,*,1\nm,*,*,2\n", "twice"),
        (",weight\nm,*,*,heavy\n", "line 2: weight"),
        (',weight\nm,*,*,"1\n', "line"),
        (",version\nm,a,*,v1\n", "belongs"),
    ],
)
def test_csv_error_describes_the_fault(text: str, message: str) -> None:
    with pytest.raises(TableError, match=message):
        parse_csv(f"model,client_account,rank{text}" if text else text)


def test_page_with_row_of_another_page_is_rejected() -> None:
    snapshot = make_snapshot(make_rows("m,a,urgent:weight=2"))
    ((page, digest),) = snapshot.root.digests_by_page.items()
    misplaced = Root(2, "c", "o", 1.0, {(page + 1) % 64: digest})
    with pytest.raises(TableError, match="another page"):
        build_snapshot(misplaced.render(), snapshot.pages_by_digest)
