"""Data model of the operators' configuration table: rows, cells, pages, digests and validation.

A table maps each :class:`RowKey` to its cells; a cell holds the canonical string form of its
value. The table is stored as one root and up to :data:`PAGE_COUNT` immutable pages. Pages are
content-addressed: each is named by the SHA-256 of its JSON.
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

#: Wildcard in a row key: matches every model, client account or rank.
ANY = "*"
#: Number of pages over which rows are hashed. One edit to a table of 30,000 rows then transfers
#: about 50 kB.
PAGE_COUNT = 64
#: Maximum size of the JSON of a page, in bytes: the store accepts values up to 1 MB, and a page
#: must fit into one message frame.
MAX_PAGE_BYTES = 500_000
#: Maximum number of rows in a table.
MAX_ROWS = 50_000
#: Tolerance when a sum of shares is compared with 1: decimal fractions such as 0.1 have no exact
#: binary floating-point representation.
SHARE_TOLERANCE = 1e-9

_NAME_PATTERN = re.compile(r"[^\W_](?:[\w .:/@+-]{0,126}[\w+])?")
_VERSION_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+-]{0,127}")
_INTEGER_PATTERN = re.compile(r"[0-9]{1,15}")
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,12})?")


class TableError(Exception):
    """A cell, row or stored document is invalid."""


class RowKey(NamedTuple):
    """Identifies a row; each field may be the wildcard :data:`ANY`."""

    model: str
    client_account: str
    rank: str


Cells = Mapping[str, str]
Rows = Mapping[RowKey, Cells]


def _normalize_integer(text: str, *, minimum: int = 0, maximum: int = 10**12) -> str:
    if not _INTEGER_PATTERN.fullmatch(text):
        raise TableError(f"{text!r} is not a whole number of at least 0")
    value = int(text)
    if not minimum <= value <= maximum:
        raise TableError(f"{value} is not between {minimum} and {maximum}")
    return str(value)


def _normalize_decimal(text: str, *, minimum: float, maximum: float) -> str:
    if not _DECIMAL_PATTERN.fullmatch(text):
        raise TableError(f"{text!r} is not a decimal number of at least 0")
    value = float(text)
    if not minimum <= value <= maximum:
        raise TableError(f"{text} is not between {minimum:g} and {maximum:g}")
    whole, _, fraction = text.partition(".")
    fraction = fraction.rstrip("0")
    return f"{int(whole)}.{fraction}" if fraction else str(int(whole))


def _normalize_version(text: str) -> str:
    if not _VERSION_PATTERN.fullmatch(text):
        raise TableError(f"{text!r} is not a version name")
    return text


def _normalize_adapters(text: str) -> str:
    names = [name.strip() for name in text.split(";") if name.strip()]
    for name in names:
        _normalize_version(name)
    if len(set(names)) != len(names):
        raise TableError(f"{text!r} names an adapter twice")
    return ";".join(names)


#: Normalization functions by cell name. Each returns the canonical string form of a value or raises
#: :class:`TableError`.
CELLS: dict[str, Callable[[str], str]] = {
    "weight": lambda text: _normalize_decimal(text, minimum=1e-6, maximum=1e6),
    "share": lambda text: _normalize_decimal(text, minimum=0, maximum=1),
    "concurrent_limit": _normalize_integer,
    "requests_per_minute": _normalize_integer,
    "tokens_per_minute": _normalize_integer,
    "deadline_ms": lambda text: _normalize_integer(text, minimum=1, maximum=3_600_000),
    "version": _normalize_version,
    "adapters": _normalize_adapters,
    "replicas": lambda text: _normalize_integer(text, maximum=100_000),
}
#: Cells that are allowed only in rows (model, *, *).
TARGET_CELLS = frozenset({"version", "adapters", "replicas"})


def normalize_cell(cell: str, text: str) -> str:
    """Return the canonical string form of a cell value; an empty string means an empty cell.

    :raises TableError: if the cell name is unknown or the value is invalid for this cell.
    """
    normalize = CELLS.get(cell)
    if normalize is None:
        raise TableError(f"unknown cell {cell!r}; known: {', '.join(CELLS)}")
    text = text.strip()
    try:
        return normalize(text) if text else ""
    except TableError as error:
        raise TableError(f"{cell}: {error}") from error


def check_key(key: RowKey) -> None:
    """Validate a row key.

    :raises TableError: if a name is malformed, the rank is unknown, or no lookup would ever match
        the row.
    """
    for kind, name in (("model", key.model), ("client account", key.client_account)):
        if name != ANY and not _NAME_PATTERN.fullmatch(name):
            raise TableError(f"{name!r} is not a {kind} name")
    if key.rank != ANY and key.rank not in RANKS:
        raise TableError(f"unknown rank {key.rank!r}; known: {', '.join(RANKS)}")
    if key.model == ANY and key.client_account != ANY:
        raise TableError("a row of a client account must name its model")


def check_cell_allowed(key: RowKey, cell: str) -> None:
    """Check that a cell is allowed in a row.

    :raises TableError: if the cell has no defined effect in this row.
    """
    if cell in TARGET_CELLS:
        if key.model == ANY or key.client_account != ANY or key.rank != ANY:
            raise TableError(f"{cell} belongs to a row (model, *, *)")
    elif cell == "share" and key.client_account == ANY and key.rank == ANY:
        # It would guarantee the same fraction of capacity three times, once for each rank.
        raise TableError("a share without client account needs a rank")


def lookup_keys(model: str, client_account: str, rank: str) -> tuple[RowKey, ...]:
    """Return the keys of the rows consulted for a cell, the most specific first."""
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
    """Return the first non-empty value of a cell in lookup order, or an empty string."""
    for key in keys:
        text = rows.get(key, {}).get(cell, "")
        if text:
            return text
    return ""


def find_share(rows: Rows, model: str, client_account: str, rank: str) -> float:
    """Return the effective share for a model, client account and rank; 0 if none is set.

    Client accounts do not inherit the share of their rank, since each of them would then be
    guaranteed the whole share. The share of an account is a fraction of its rank's share.
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
    """Check the rules that span several cells and return one sentence for each violation.

    :param models: models to check, or None for all; models are validated independently of each
        other.
    :param known_versions: returns the versions of a model that are available at the origin; None
        skips the check of versions.
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
    """Return a copy of the rows with the given cells set; empty cells and rows are removed.

    Unchanged rows are shared with the result, not copied.

    :param values: canonical values by row key and cell name; an empty string clears the cell.
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
    """Return the number of the page that holds a row, derived from a hash of its key."""
    digest = hashlib.sha256("\0".join(key).encode()).digest()
    return int.from_bytes(digest[:4], "big") % PAGE_COUNT


def text_digest(text: str) -> str:
    """Return the SHA-256 of a string encoded as UTF-8, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def decode_text(value: bytes) -> str:
    """Decode a store value as UTF-8.

    :raises TableError: if the value is not valid UTF-8.
    """
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise TableError(f"not UTF-8: {error}") from error


def render_page(rows: Rows) -> str:
    """Return the canonical JSON of the rows of one page."""
    items = [[*key, dict(sorted(rows[key].items()))] for key in sorted(rows)]
    return json.dumps(items, ensure_ascii=False, separators=(",", ":"))


def parse_page(text: str) -> dict[RowKey, dict[str, str]]:
    """Parse the JSON of a page.

    :raises TableError: if it is malformed.
    """
    try:
        rows = {}
        for model, client_account, rank, cells in json.loads(text):
            # Names and values recur in many rows; interning them more than halves memory use.
            # intern() raises TypeError for anything but a string, which validates the types.
            rows[RowKey(intern(model), intern(client_account), intern(rank))] = {
                intern(cell): intern(value) for cell, value in cells.items()
            }
    except (ValueError, TypeError, AttributeError) as error:
        raise TableError(f"malformed page: {error!r}") from error
    return rows


@dataclass(frozen=True, slots=True)
class Root:
    """Root document of one table revision: metadata and the digests of its pages.

    :param time: time at which the revision was accepted, in seconds since the Unix epoch.
    :param digests_by_page: page digests by page number; pages without rows are absent.
    """

    revision: int
    change_id: str
    author: str
    time: float
    digests_by_page: Mapping[int, str] = field(default_factory=dict)

    def render(self) -> str:
        """Return the canonical JSON; its SHA-256 is the digest of the table."""
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
        """Parse the JSON of a root.

        :raises TableError: if it is malformed or a value is out of range.
        """
        try:
            data: Any = json.loads(text)
            root = cls(
                revision=int(data["revision"]),
                change_id=str(data["change_id"]),
                author=str(data["author"]),
                time=float(data["time"]),
                digests_by_page={int(page): str(digest) for page, digest in data["pages"].items()},
            )
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise TableError(f"malformed root: {error!r}") from error
        if root.revision < 1 or not all(0 <= page < PAGE_COUNT for page in root.digests_by_page):
            raise TableError(f"root {root.revision} is out of range")
        return root


EMPTY_ROOT = Root(revision=0, change_id="", author="", time=0.0)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One complete revision of the table.

    :param root_text: canonical JSON of the root; empty before the first revision.
    :param pages_by_digest: JSON of the pages by digest.
    :param rows: rows parsed from the pages.
    """

    root: Root
    root_text: str
    pages_by_digest: Mapping[str, str]
    rows: Rows

    @property
    def digest(self) -> str:
        """SHA-256 of the root in hex; empty before the first revision."""
        return text_digest(self.root_text) if self.root_text else ""


EMPTY_SNAPSHOT = Snapshot(root=EMPTY_ROOT, root_text="", pages_by_digest={}, rows={})


def build_snapshot(
    root_text: str, pages_by_digest: Mapping[str, str], *, previous: Snapshot = EMPTY_SNAPSHOT
) -> Snapshot:
    """Build a snapshot from a root and its pages.

    :param pages_by_digest: JSON of all pages of the root by digest; pages that the root does not
        reference are ignored.
    :param previous: snapshot of another revision; only pages that differ from it are parsed.
    :raises TableError: if a page is missing or malformed, or contains a row that belongs to
        another page.
    """
    root = Root.parse(root_text)
    previous_digests = previous.root.digests_by_page
    rows: dict[RowKey, Cells] = dict(previous.rows)
    for page, digest in previous_digests.items():
        if root.digests_by_page.get(page) != digest:
            for key in parse_page(previous.pages_by_digest[digest]):
                del rows[key]
    pages: dict[str, str] = {}
    for page, digest in root.digests_by_page.items():
        text = pages_by_digest.get(digest)
        if text is None:
            raise TableError(f"page {page} is absent")
        pages[digest] = text
        if previous_digests.get(page) != digest:
            page_rows = parse_page(text)
            if any(page_number(key) != page for key in page_rows):
                raise TableError(f"page {page} holds a row of another page")
            rows.update(page_rows)
    return Snapshot(root=root, root_text=root_text, pages_by_digest=pages, rows=rows)


def render_changed_pages(
    rows: Rows, *, changed: Iterable[RowKey], previous: Snapshot = EMPTY_SNAPSHOT
) -> tuple[dict[int, str], dict[str, str]]:
    """Render the pages that contain changed rows.

    :param rows: all rows after the change.
    :param changed: keys of the rows that may differ from those of ``previous``.
    :param previous: snapshot of the table before the change.
    :returns: the new page digests by page number, and the JSON of the rendered pages by digest.
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
    """Effective scheduling parameters and limits for a model, client account and rank.

    :param weight: weight in fair queueing between the client accounts of a rank, above 0.
    :param share: guaranteed fraction of capacity, 0 to 1: of the model's capacity for a rank, of
        the rank's share for a client account.
    :param concurrent_limit: maximum number of open requests; 0 means no limit, also for the two
        rate limits.
    :param requests_per_minute: maximum requests per minute across all entry hosts.
    :param tokens_per_minute: maximum tokens per minute across all entry hosts.
    :param deadline_ms: deadline for the first token, in milliseconds.
    """

    weight: float = 1.0
    share: float = 0.0
    concurrent_limit: int = 0
    requests_per_minute: int = 0
    tokens_per_minute: int = 0
    deadline_ms: int = 10_000


#: Default deadlines for the first token, in milliseconds. The first token of an urgent request is
#: due within 1.4 s.
DEADLINE_MS_BY_RANK = {"urgent": 1_400, "normal": 10_000, "batch": 60_000}


@dataclass(frozen=True, slots=True)
class ModelTarget:
    """Desired state of the runners of a model.

    :param version: version to serve; empty if the table does not set one.
    :param adapters: names of the adapters to load with the model.
    :param replicas: number of runners that serve the model; 0 means all.
    """

    version: str = ""
    adapters: tuple[str, ...] = ()
    replicas: int = 0
