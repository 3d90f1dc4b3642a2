"""Commands behind the administration API: edits of the table."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Protocol

from returns.result import Failure, Result

from sycamoreproxy.admin_queries import refuse
from sycamoreproxy.logs import get_logger
from sycamoreproxy.result_codes import (
    INTERNAL,
    INVALID_FIELD,
    TABLE_OUTCOME_UNKNOWN,
    Executed,
    Refusal,
)
from sycamoreproxy.table_commands import MAX_EDITS, Accepted, CellEdit, EditFailure

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


class TableCommands:
    """Changes the table.

    :param editor: commits to the store.
    """

    def __init__(self, *, editor: Editor) -> None:
        self._editor = editor
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
