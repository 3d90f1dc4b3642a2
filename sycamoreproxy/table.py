"""Rows, cells and pages of the operators' table, their digests and their validation.

A table is a mapping from :class:`RowKey` to cells, each the canonical text of its value. It is
stored as one root and up to :data:`PAGE_COUNT` immutable pages, each named by the sha256 of its
JSON text.
"""

from __future__ import annotations

import hashlib
import json
import math
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from sys import intern
from typing import Any, NamedTuple

from sycamoreproxy.settings import RANKS

#: Stands for every model, client account or rank in a row key.
ANY = "*"
#: Rows are spread over this many pages; one edit of 30,000 rows then moves about 50 kB.
PAGE_COUNT = 64
#: Largest page in bytes of JSON text; the store holds values up to 1 MB and a frame one page.
MAX_PAGE_BYTES = 500_000
#: Rows in one table.
MAX_ROWS = 50_000
#: Tolerance of a sum of shares: decimal fractions such as 0.1 are not exact in binary.
SHARE_TOLERANCE = 1e-9

_NAME = re.compile(r"[^\W_](?:[\w .:/@+-]{0,126}[\w+])?")
_VERSION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+-]{0,127}")
_INTEGER = re.compile(r"[0-9]{1,15}")
_DECIMAL = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,12})?")


class TableError(Exception):
    """A cell, row or stored document breaks a rule of the table."""


class RowKey(NamedTuple):
    """Names a row; each field may be :data:`ANY`."""

    model: str
    client_account: str
    rank: str


Cells = Mapping[str, str]
Rows = Mapping[RowKey, Cells]


def _integer(text: str, *, low: int = 0, high: int = 10**12) -> str:
    if not _INTEGER.fullmatch(text):
        raise TableError(f"{text!r} is not a whole number of at least 0")
    value = int(text)
    if not low <= value <= high:
        raise TableError(f"{value} is not between {low} and {high}")
    return str(value)


def _decimal(text: str, *, low: float, high: float) -> str:
    if not _DECIMAL.fullmatch(text):
        raise TableError(f"{text!r} is not a decimal number of at least 0")
    value = float(text)
    if not low <= value <= high:
        raise TableError(f"{text} is not between {low:g} and {high:g}")
    whole, _, fraction = text.partition(".")
    fraction = fraction.rstrip("0")
    return f"{int(whole)}.{fraction}" if fraction else str(int(whole))


def _version(text: str) -> str:
    if not _VERSION.fullmatch(text):
        raise TableError(f"{text!r} is not a version name")
    return text


def _adapters(text: str) -> str:
    names = [name.strip() for name in text.split(";") if name.strip()]
    for name in names:
        _version(name)
    if len(set(names)) != len(names):
        raise TableError(f"{text!r} names an adapter twice")
    return ";".join(names)


#: Functions that return the canonical text of a cell or raise :class:`TableError`, by cell name.
CELLS: dict[str, Callable[[str], str]] = {
    "weight": lambda text: _decimal(text, low=1e-6, high=1e6),
    "share": lambda text: _decimal(text, low=0, high=1),
    "concurrent_limit": _integer,
    "requests_per_minute": _integer,
    "tokens_per_minute": _integer,
    "deadline_ms": lambda text: _integer(text, low=1, high=3_600_000),
    "version": _version,
    "adapters": _adapters,
    "replicas": lambda text: _integer(text, high=100_000),
}
#: Cells that only a row (model, *, *) has.
TARGET_CELLS = frozenset({"version", "adapters", "replicas"})


def normalize_cell(cell: str, text: str) -> str:
    """Return the canonical text of a cell; the empty text means that the cell is empty.

    :raises TableError: if there is no such cell or the text is no value of it.
    """
    convert = CELLS.get(cell)
    if convert is None:
        raise TableError(f"unknown cell {cell!r}; known: {', '.join(CELLS)}")
    text = text.strip()
    try:
        return convert(text) if text else ""
    except TableError as error:
        raise TableError(f"{cell}: {error}") from error


def check_key(key: RowKey) -> None:
    """Check the names of a row.

    :raises TableError: if a name is malformed, the rank is unknown, or no lookup would ever read
        the row.
    """
    for kind, name in (("model", key.model), ("client account", key.client_account)):
        if name != ANY and not _NAME.fullmatch(name):
            raise TableError(f"{name!r} is not a {kind} name")
    if key.rank != ANY and key.rank not in RANKS:
        raise TableError(f"unknown rank {key.rank!r}; known: {', '.join(RANKS)}")
    if key.model == ANY and key.client_account != ANY:
        raise TableError("a row of a client account must name its model")


def check_cell_place(key: RowKey, cell: str) -> None:
    """Check that a row may have a cell.

    :raises TableError: if the cell has no meaning in this row.
    """
    if cell in TARGET_CELLS:
        if key.model == ANY or key.client_account != ANY or key.rank != ANY:
            raise TableError(f"{cell} belongs to a row (model, *, *)")
    elif cell == "share" and key.client_account == ANY and key.rank == ANY:
        # It would guarantee the same part three times, once a rank.
        raise TableError("a share without client account needs a rank")


def lookup_keys(model: str, client_account: str, rank: str) -> tuple[RowKey, ...]:
    """Return the rows that may give a cell, the most specific first."""
    keys = (
        RowKey(model, client_account, rank),
        RowKey(model, client_account, ANY),
        RowKey(model, ANY, rank),
        RowKey(model, ANY, ANY),
        RowKey(ANY, ANY, rank),
        RowKey(ANY, ANY, ANY),
    )
    return tuple(dict.fromkeys(keys))


def find_cell(rows: Rows, keys: Iterable[RowKey], cell: str) -> str:
    """Return the first text of a cell that is not empty, else the empty text."""
    for key in keys:
        text = rows.get(key, {}).get(cell, "")
        if text:
            return text
    return ""


def find_share(rows: Rows, model: str, client_account: str, rank: str) -> float:
    """Return the share of a row.

    The share of a rank is not inherited by its accounts: each would then be guaranteed the
    whole. The share of an account is a fraction of its rank's part.
    """
    if client_account == ANY:
        keys: tuple[RowKey, ...] = (RowKey(model, ANY, rank), RowKey(ANY, ANY, rank))
    else:
        keys = (RowKey(model, client_account, rank), RowKey(model, client_account, ANY))
    return float(find_cell(rows, keys, "share") or 0)


def validate_rows(
    rows: Rows,
    *,
    models: Iterable[str] | None = None,
    known_versions: Callable[[str], Iterable[str]] | None = None,
) -> list[str]:
    """Return what breaks a rule that spans cells, one sentence each; empty if nothing does.

    :param models: models to check, all if None; each model's rules are independent of the others.
    :param known_versions: returns the versions that the origin holds of a model.
    """
    accounts_by_model: dict[str, set[str]] = {ANY: set()}
    for key in rows:
        accounts = accounts_by_model.setdefault(key.model, set())
        if key.client_account != ANY:
            accounts.add(key.client_account)
    problems = []
    if len(rows) > MAX_ROWS:
        problems.append(f"The table would have {len(rows)} rows, more than {MAX_ROWS}.")
    selected = set(accounts_by_model) if models is None else set(models) & set(accounts_by_model)
    for model in sorted(selected):
        total = math.fsum(find_share(rows, model, ANY, rank) for rank in RANKS)
        if total > 1 + SHARE_TOLERANCE:
            problems.append(f"The shares of the ranks of model {model} sum to {total:g}, above 1.")
        for rank in RANKS:
            total = math.fsum(
                find_share(rows, model, account, rank) for account in accounts_by_model[model]
            )
            if total > 1 + SHARE_TOLERANCE:
                problems.append(
                    f"The shares of the client accounts of model {model}, rank {rank} sum to"
                    f" {total:g}, above 1."
                )
        version = rows.get(RowKey(model, ANY, ANY), {}).get("version", "")
        if version and known_versions is not None and version not in set(known_versions(model)):
            problems.append(f"Model {model} has no version {version} at the origin.")
    return problems


def apply_cells(rows: Rows, values: Mapping[tuple[RowKey, str], str]) -> dict[RowKey, Cells]:
    """Return the rows with cells set to canonical texts; empty cells and rows are dropped.

    Rows that do not change are shared with the result.
    """
    result: dict[RowKey, Cells] = dict(rows)
    for (key, cell), text in values.items():
        cells = {**result.get(key, {}), cell: text}
        if not text:
            del cells[cell]
        if cells:
            result[key] = cells
        else:
            result.pop(key, None)
    return result


def page_number(key: RowKey) -> int:
    """Return the page of a row, by a hash of its key."""
    digest = hashlib.sha256("\0".join(key).encode()).digest()
    return int.from_bytes(digest[:4], "big") % PAGE_COUNT


def text_digest(text: str) -> str:
    """Return the sha256 of a text in UTF-8, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def decode_text(value: bytes) -> str:
    """Return the text of a value in the store.

    :raises TableError: if it is not UTF-8.
    """
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise TableError(f"not UTF-8: {error}") from error


def render_page(rows: Rows) -> str:
    """Return the canonical JSON text of the rows of one page."""
    items = [[*key, dict(sorted(rows[key].items()))] for key in sorted(rows)]
    return json.dumps(items, ensure_ascii=False, separators=(",", ":"))


def parse_page(text: str) -> dict[RowKey, dict[str, str]]:
    """Return the rows of a page.

    :raises TableError: if the text is no page.
    """
    try:
        rows = {}
        for model, client_account, rank, cells in json.loads(text):
            # Names and values recur in many rows; interning them more than halves the memory.
            # It raises TypeError for anything but a text.
            rows[RowKey(intern(model), intern(client_account), intern(rank))] = {
                intern(cell): intern(value) for cell, value in cells.items()
            }
    except (ValueError, TypeError, AttributeError) as error:
        raise TableError(f"malformed page: {error!r}") from error
    return rows


@dataclass(frozen=True, slots=True)
class Root:
    """The root of one revision.

    :param time: when it was accepted, in seconds since the Unix epoch.
    :param digests_by_page: page digests; a page without rows is absent.
    """

    revision: int
    change_id: str
    author: str
    time: float
    digests_by_page: Mapping[int, str] = field(default_factory=dict)

    def render(self) -> str:
        """Return the canonical JSON text; its sha256 is the digest of the table."""
        data = {
            "revision": self.revision,
            "change_id": self.change_id,
            "author": self.author,
            "time": round(self.time, 3),
            "pages": {str(page): self.digests_by_page[page] for page in self.digests_by_page},
        }
        return json.dumps(data, ensure_ascii=False, sort_keys=True, separators=(",", ":"))

    @classmethod
    def parse(cls, text: str) -> Root:
        """Return the root of a JSON text.

        :raises TableError: if it is none.
        """
        try:
            data: Any = json.loads(text)
            root = cls(
                revision=int(data["revision"]),
                change_id=str(data["change_id"]),
                author=str(data["author"]),
                time=float(data["time"]),
                digests_by_page={int(page): str(name) for page, name in data["pages"].items()},
            )
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise TableError(f"malformed root: {error!r}") from error
        if root.revision < 1 or not all(0 <= page < PAGE_COUNT for page in root.digests_by_page):
            raise TableError(f"root {root.revision} is out of range")
        return root


EMPTY_ROOT = Root(revision=0, change_id="", author="", time=0.0)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole table: root, page texts by digest, and the parsed rows."""

    root: Root
    root_text: str
    pages_by_digest: Mapping[str, str]
    rows: Rows

    @property
    def digest(self) -> str:
        """The sha256 of the root, empty before the first revision."""
        return text_digest(self.root_text) if self.root_text else ""


EMPTY_SNAPSHOT = Snapshot(root=EMPTY_ROOT, root_text="", pages_by_digest={}, rows={})


def build_snapshot(
    root_text: str, pages_by_digest: Mapping[str, str], *, previous: Snapshot = EMPTY_SNAPSHOT
) -> Snapshot:
    """Return the snapshot of a root whose pages are all given; others are left out.

    :param previous: another revision; only pages that differ from it are parsed.
    :raises TableError: if a page is absent or malformed, or holds a row of another page.
    """
    root = Root.parse(root_text)
    old = previous.root.digests_by_page
    rows: dict[RowKey, Cells] = dict(previous.rows)
    for page, digest in old.items():
        if root.digests_by_page.get(page) != digest:
            for key in parse_page(previous.pages_by_digest[digest]):
                del rows[key]
    pages: dict[str, str] = {}
    for page, digest in root.digests_by_page.items():
        text = pages_by_digest.get(digest)
        if text is None:
            raise TableError(f"page {page} is absent")
        pages[digest] = text
        if old.get(page) != digest:
            page_rows = parse_page(text)
            if any(page_number(key) != page for key in page_rows):
                raise TableError(f"page {page} holds a row of another page")
            rows.update(page_rows)
    return Snapshot(root=root, root_text=root_text, pages_by_digest=pages, rows=rows)


def make_pages(
    rows: Rows, *, changed: Iterable[RowKey], previous: Snapshot = EMPTY_SNAPSHOT
) -> tuple[dict[int, str], dict[str, str]]:
    """Render the pages of changed rows.

    :param rows: all rows after the change.
    :param changed: rows that may differ from those of ``previous``.
    :param previous: the table before the change.
    :returns: the new digests by page, and the texts of the rendered pages by digest.
    :raises TableError: if a page exceeds :data:`MAX_PAGE_BYTES`.
    """
    keys_by_page: dict[int, set[RowKey]] = {}
    for key in changed:
        keys_by_page.setdefault(page_number(key), set()).add(key)
    digests = dict(previous.root.digests_by_page)
    texts: dict[str, str] = {}
    for page, keys in keys_by_page.items():
        digest = digests.pop(page, None)
        if digest is not None:
            keys.update(parse_page(previous.pages_by_digest[digest]))
        page_rows = {key: rows[key] for key in keys if key in rows}
        if not page_rows:
            continue
        text = render_page(page_rows)
        if len(text.encode()) > MAX_PAGE_BYTES:
            raise TableError(f"page {page} would exceed {MAX_PAGE_BYTES} bytes")
        digests[page] = text_digest(text)
        texts[digests[page]] = text
    return dict(sorted(digests.items())), texts


@dataclass(frozen=True, slots=True)
class RowPolicy:
    """What a row gives to its requests.

    :param weight: fairness between client accounts within a rank, above 0.
    :param share: guaranteed fraction, 0 to 1; of the model's capacity for a rank, of the rank's
        part for a client account.
    :param concurrent_limit: open requests; 0 is no limit, as for the two rates.
    :param requests_per_minute: requests a minute over all entry hosts.
    :param tokens_per_minute: tokens a minute over all entry hosts.
    :param deadline_ms: time to the first token, in milliseconds.
    """

    weight: float = 1.0
    share: float = 0.0
    concurrent_limit: int = 0
    requests_per_minute: int = 0
    tokens_per_minute: int = 0
    deadline_ms: int = 10_000


#: Built-in deadlines in milliseconds: the first token of an urgent request is due within 1.4 s.
DEADLINE_MS_BY_RANK = {"urgent": 1_400, "normal": 10_000, "batch": 60_000}


@dataclass(frozen=True, slots=True)
class ModelTarget:
    """What the runners of a model shall serve.

    :param version: empty if the table names none.
    :param adapters: names of adapters to load beside it.
    :param replicas: how many runners serve it; 0 is all.
    """

    version: str = ""
    adapters: tuple[str, ...] = ()
    replicas: int = 0
