"""Queries behind the administration API: table, history, status, changes and the dump."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import asdict, is_dataclass
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from sycamoreproxy.census import Census
from sycamoreproxy.result_codes import (
    INVALID_FIELD,
    STORE_UNAVAILABLE,
    UNKNOWN_CHANGE,
    UNKNOWN_REVISION,
    Executed,
    Refusal,
    ResultCode,
)
from sycamoreproxy.settings import RANKS, Settings
from sycamoreproxy.store import StoreAnswerLostError, StoreUnavailableError
from sycamoreproxy.table_queries import Revision, TableView

#: Most history entries in one answer.
MAX_HISTORY = 1_000

#: Names whose values never leave the process through the dump.
_SECRET_NAMES = frozenset(
    {
        "api_key",
        "authorization",
        "body",
        "headers",
        "idempotency_key",
        "key",
        "key_sha256",
        "password",
        "secret",
        "secrets_file",
        "token",
        "token_sha256",
    }
)


class HistoryReader(Protocol):
    """What the queries read of the store."""

    async def history(self, limit: int) -> list[Revision]:
        """Return the newest changes, newest first."""

    async def find_change(self, change_id: str) -> int | None:
        """Return the revision of an accepted change, None if there is none."""


def refuse(code: ResultCode, detail: str = "", *, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal of an operator's request that certainly changed nothing."""
    return Refusal(code, Executed.NO, detail, retry_after_ms)


def to_json(value: Any) -> Any:
    """Return a value of data classes, mappings and sequences as plain JSON values."""
    if is_dataclass(value) and not isinstance(value, type):
        return to_json(asdict(value))
    if isinstance(value, Mapping):
        return {str(name): to_json(item) for name, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [to_json(item) for item in value]
    if value is None or isinstance(value, str | int | float | bool):
        return value
    return str(value)


def leave_out_secrets(value: Any) -> Any:
    """Return JSON values in which every secret is replaced by a mark."""
    if isinstance(value, dict):
        return {
            name: "(left out)" if name.lower() in _SECRET_NAMES else leave_out_secrets(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [leave_out_secrets(item) for item in value]
    return value


class TableQueries:
    """Reads the table in force in this process, its history and its spread.

    :param view: returns the view in force.
    :param reader: reads history and changes from the store.
    :param census: asks all processes.
    """

    def __init__(
        self,
        *,
        view: Callable[[], TableView],
        reader: HistoryReader,
        census: Census,
    ) -> None:
        self._view = view
        self._reader = reader
        self._census = census

    def read_table(
        self, *, model: str = "", client_account: str = "", rank: str = "", effective: bool = False
    ) -> Result[dict[str, Any], Refusal]:
        """Return the rows that match; an empty argument matches every row.

        :param effective: also return the policy in force of one (model, account, rank) with all
            its defaults; needs all three.
        """
        view = self._view()
        answer: dict[str, Any] = {
            "revision": view.revision,
            "digest": view.digest,
            "rows": [
                {"model": key[0], "client_account": key[1], "rank": key[2], "cells": dict(cells)}
                for key, cells in sorted(view.rows.items())
                if model in ("", key[0]) and client_account in ("", key[1]) and rank in ("", key[2])
            ],
        }
        if effective:
            if not (model and client_account and rank in RANKS):
                return Failure(
                    refuse(INVALID_FIELD, "A policy needs model, client_account and rank.")
                )
            answer["policy"] = to_json(view.resolve(model, client_account, rank))
        return Success(answer)

    async def read_history(self, *, limit: int) -> Result[dict[str, Any], Refusal]:
        """Return the newest changes, newest first.

        :param limit: at most :data:`MAX_HISTORY`.
        """
        if not 1 <= limit <= MAX_HISTORY:
            return Failure(refuse(INVALID_FIELD, f"limit must be 1 to {MAX_HISTORY}."))
        try:
            entries = await self._reader.history(limit)
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            return Failure(_store_refusal(error))
        return Success({"history": [_describe_revision(entry) for entry in entries]})

    async def find_change(self, change_id: str) -> Result[dict[str, Any], Refusal]:
        """Return the revision of an accepted change."""
        try:
            revision = await self._reader.find_change(change_id)
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            return Failure(_store_refusal(error))
        if revision is None:
            return Failure(refuse(UNKNOWN_CHANGE))
        return Success({"change_id": change_id, "revision": revision})

    async def read_status(self, revision: int) -> Result[dict[str, Any], Refusal]:
        """Return where a revision is in force and which targets are not met.

        :param revision: 0 stands for the revision in force in this process.
        """
        asked = revision or self._view().revision
        report = await self._census.collect(asked)
        if asked > report.newest:
            return Failure(refuse(UNKNOWN_REVISION, f"The newest revision is {report.newest}."))
        return Success(to_json(report))


def _describe_revision(entry: Revision) -> dict[str, Any]:
    return {
        "revision": entry.revision,
        "change_id": entry.change_id,
        "author": entry.author,
        "time": entry.time,
        "changes": [
            {
                "model": change.key.model,
                "client_account": change.key.client_account,
                "rank": change.key.rank,
                "cell": change.cell,
                "before": change.before,
                "after": change.after,
            }
            for change in entry.changes
        ],
    }


def _store_refusal(error: Exception) -> Refusal:
    return refuse(STORE_UNAVAILABLE, str(error), retry_after_ms=1000)


class DumpQuery:
    """Collects what every part tells about itself.

    :param settings: printed without secrets.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._sections_by_name: dict[str, Callable[[], Any]] = {}

    def add_section(self, name: str, describe: Callable[[], Any]) -> None:
        """Add a section; ``describe`` returns data classes, mappings or sequences.

        :raises ValueError: if the name is taken.
        """
        if name in self._sections_by_name or name == "settings":
            raise ValueError(f"dump section {name!r} is added twice")
        self._sections_by_name[name] = describe

    def read(self) -> dict[str, Any]:
        """Return all sections; one that fails holds its error instead."""
        answer: dict[str, Any] = {"settings": self._settings}
        for name, describe in self._sections_by_name.items():
            try:
                answer[name] = to_json(describe())
            except Exception as error:
                # The dump is read when something is wrong; one part must not hide the others.
                answer[name] = {"error": repr(error)}
        return {name: leave_out_secrets(to_json(value)) for name, value in answer.items()}
