"""Guards against an edit to a version that the origin does not have, or has for another model."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from sycamoreproxy.admin_commands import TableCommands
from sycamoreproxy.origins import OriginError, VersionUnknownError
from sycamoreproxy.table_commands import Accepted


class _Editor:
    async def commit(self, edits: Any, *, operator: str, change_id: str) -> Result[Any, Any]:
        return Success(Accepted(2, change_id))


class _Origin:
    async def read_manifest(self, version: str) -> Any:
        if version == "gone":
            raise VersionUnknownError("no such version")
        if version == "down":
            raise OriginError("no answer")
        return SimpleNamespace(model="lm")


@pytest.mark.parametrize(
    ("model", "cell", "value", "reason"),
    [
        ("lm", "version", "v2", ""),
        ("lm", "version", "", ""),
        ("lm", "version", "gone", "no version 'gone'"),
        ("other", "version", "v2", "belongs to model 'lm'"),
        ("lm", "version", "down", ""),
        ("lm", "replicas", "gone", ""),
    ],
)
def test_versions_are_checked_at_the_origin(model: str, cell: str, value: str, reason: str) -> None:
    edit = {"model": model, "client_account": "*", "rank": "*", "cell": cell, "value": value}
    commands = TableCommands(editor=_Editor(), origin=_Origin())
    result = asyncio.run(commands.edit({"change_id": "c", "edits": [edit]}, operator="o"))
    if reason:
        assert isinstance(result, Failure)
        refusal = result.failure().refusal
        assert refusal.code.name == "table_invalid"
        assert reason in refusal.detail
        assert refusal.executed == "no"
    else:
        assert isinstance(result, Success)
