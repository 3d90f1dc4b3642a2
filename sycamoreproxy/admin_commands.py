"""Commands behind the administration API: edits of the table."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Protocol

from returns.result import Failure, Result

from sycamoreproxy.admin_queries import refuse
from sycamoreproxy.logs import get_logger
from sycamoreproxy.origins import OriginError, VersionUnknownError
from sycamoreproxy.result_codes import (
    INTERNAL,
    INVALID_FIELD,
    TABLE_INVALID,
    TABLE_OUTCOME_UNKNOWN,
    Executed,
    Refusal,
)
from sycamoreproxy.table_commands import MAX_EDITS, Accepted, CellEdit, EditFailure
from sycamoreproxy.weights import Manifest

#: Longest wait for the store before the outcome is reported as unknown, in seconds.
COMMIT_TIMEOUT_S = 15.0

_log = get_logger("admin_commands")
_REQUIRED = ("model", "client_account", "rank", "cell", "value")


class Editor(Protocol):
    """Commits edits to the store."""

    async def commit(
        self, edits: Sequence[CellEdit], *, operator: str, change_id: str
    ) -> Result[Accepted, EditFailure]:
        """Commit all edits or none; the editor checks names, values and the change id."""


class ManifestReader(Protocol):
    """Reads what a version consists of; see ``origins.Origin``."""

    async def read_manifest(self, version: str) -> Manifest:
        """Return the manifest of a version.

        :raises VersionUnknownError: if there is no such version.
        :raises OriginError: if there is no usable answer in time.
        """


class TableCommands:
    """Changes the table.

    :param editor: commits to the store.
    :param origin: tells whether a version exists; None accepts every version.
    """

    def __init__(self, *, editor: Editor, origin: ManifestReader | None = None) -> None:
        self._editor = editor
        self._origin = origin
        # A commit whose caller gave up still runs; the set keeps its task from being collected.
        self._commits: set[asyncio.Task[Result[Accepted, EditFailure]]] = set()

    async def edit(self, body: Any, *, operator: str) -> Result[Accepted, EditFailure]:
        """Commit the edits of a request body.

        :param body: ``{"change_id", "edits": [{"model", "client_account", "rank", "cell",
            "base", "value"}]}``; a missing base is the empty cell.
        :returns: the accepted revision, or the refusal with the conflicting cells. An unknown
            outcome is a refusal with code 1504; the change id then tells it.
        """
        try:
            change_id, edits = parse_edits(body)
        except ValueError as error:
            return Failure(EditFailure(refuse(INVALID_FIELD, str(error)), ()))
        unknown = await self._find_unknown_version(edits)
        if unknown:
            return Failure(EditFailure(refuse(TABLE_INVALID, unknown), ()))
        commit = asyncio.create_task(
            self._editor.commit(edits, operator=operator, change_id=change_id)
        )
        self._commits.add(commit)
        commit.add_done_callback(self._commits.discard)
        try:
            # Cancelling the commit half-way would hide whether the store took it.
            return await asyncio.wait_for(asyncio.shield(commit), COMMIT_TIMEOUT_S)
        except TimeoutError:
            refusal = Refusal(
                TABLE_OUTCOME_UNKNOWN, Executed.UNKNOWN, f"Ask for change {change_id}."
            )
            return Failure(EditFailure(refusal, ()))
        except Exception:
            # A fault of the program can strike before or after the store took the change.
            _log.exception("commit failed", change_id=change_id, operator=operator)
            return Failure(EditFailure(Refusal(INTERNAL, Executed.UNKNOWN), ()))

    async def _find_unknown_version(self, edits: Sequence[CellEdit]) -> str:
        """Return a sentence about the first version that the origin does not have, or nothing.

        Without an answer of the origin the edit goes on: the status of the revision names every
        version that can't be loaded.
        """
        if self._origin is None:
            return ""
        for edit in edits:
            if edit.cell != "version" or not edit.value:
                continue
            try:
                manifest = await self._origin.read_manifest(edit.value)
            except VersionUnknownError:
                return f"The origin has no version {edit.value!r}."
            except OriginError as error:
                _log.warning("version not checked", version=edit.value, error=str(error))
                continue
            if manifest.model != edit.model:
                return f"Version {edit.value!r} belongs to model {manifest.model!r}."
        return ""


def parse_edits(body: Any) -> tuple[str, tuple[CellEdit, ...]]:
    """Return the change id and the edits of a request body.

    :raises ValueError: names the field that is missing or wrong.
    """
    if not isinstance(body, dict):
        raise ValueError("The body must be an object.")
    change_id, items = body.get("change_id"), body.get("edits")
    if not isinstance(change_id, str):
        raise ValueError("change_id must be a text.")
    if not isinstance(items, list) or not 1 <= len(items) <= MAX_EDITS:
        raise ValueError(f"edits must be an array of 1 to {MAX_EDITS} items.")
    edits = []
    for index, item in enumerate(items):
        if not isinstance(item, dict):
            raise ValueError(f"edits[{index}] must be an object.")
        values: dict[str, Any] = {name: item.get(name) for name in _REQUIRED}
        values["base"] = item.get("base", "")
        for name, value in values.items():
            if not isinstance(value, str):
                raise ValueError(f"edits[{index}].{name} must be a text.")
        unknown = item.keys() - values.keys()
        if unknown:
            raise ValueError(f"edits[{index}] has unknown fields: {', '.join(sorted(unknown))}.")
        edits.append(CellEdit(**values))
    return change_id, tuple(edits)
