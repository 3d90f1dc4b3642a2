"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from sycamoreproxy._http_client import (
    AnswerLostError,
    AnswerTooLargeError,
    HttpClient,
    NotSentError,
)
from sycamoreproxy.document_source import (
    ChangesTooLargeError,
    Document,
    HistoryLostError,
    Snapshot,
    SourceUnavailableError,
)
from sycamoreproxy.metrics import STORE_CALLS

#: Longest wait for an answer, in seconds, besides the wait of a watch. The slowest answers of a
#: store in trouble take 4 ms x 60; the rest is transfer of a page over a narrowed link.
CALL_TIMEOUT_S = 2.0
#: Further time for an answer that keeps arriving, in seconds: cut and begun anew, the answers of many
#: processes on one link would never end. 387 KB to 24 processes take 5 s of a link of 15 Mbit/s.
TRANSFER_TIMEOUT_S = 5.0
#: Largest answer, in bytes: a page holds about 1 MB of values in base64.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
#: Bytes of an answer besides the values, which are sent in base64: some items of up to 300 bytes.
ENVELOPE_BYTES = 4096


class PlatformStore:
    """Reads ranges and watches.

    :param address: ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(f"http://{address}", max_body_bytes=MAX_ANSWER_BYTES)

    async def read_all(
        self, prefix: str, *, on_part: Callable[[], None] = lambda: None
    ) -> Snapshot:
        """Return all items below a prefix; the revision is that of the first page.

        :raises SourceUnavailableError: if a page can't be read.
        """
        found: dict[str, Document] = {}
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix, "after": after} if after else {"prefix": prefix}
            page = await self._call("/kv-range", query, timeout_s=CALL_TIMEOUT_S, on_part=on_part)
            items = [_read_item(item) for item in page.get("items", ())]
            found.update((item.key, item) for item in items)
            # Pages are no snapshot: changes after the first one are read again by the watch.
            revision = revision or int(page["store_revision"])
            if not page.get("has_more") or not items:
                return Snapshot(tuple(found.values()), revision)
            after = items[-1].key

    async def wait_changes(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
        on_part: Callable[[], None] = lambda: None,
    ) -> Snapshot:
        """Return the changes after a revision.

        :raises ChangesTooLargeError: if their values are longer than ``max_bytes``.
        :raises HistoryLostError: if the store has discarded them.
        :raises SourceUnavailableError: if there is no usable answer in time.
        """
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(int(wait_s * 1000))}
        answer = await self._call(
            "/kv-watch",
            query,
            timeout_s=wait_s + CALL_TIMEOUT_S,
            max_bytes=None if max_bytes is None else math.ceil(max_bytes * 4 / 3) + ENVELOPE_BYTES,
            on_part=on_part,
        )
        events = tuple(_read_item(item) for item in answer.get("events", ()))
        return Snapshot(events, int(answer["store_revision"]))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _call(
        self,
        path: str,
        query: dict[str, str],
        *,
        timeout_s: float,
        max_bytes: int | None = None,
        on_part: Callable[[], None],
    ) -> dict[str, Any]:
        STORE_CALLS.inc({"verb": path.removeprefix("/kv-")})
        try:
            status, _, body = await self._http.fetch(
                method="GET",
                path=f"{path}?{urlencode(query)}",
                timeout_s=timeout_s,
                transfer_s=TRANSFER_TIMEOUT_S,
                max_bytes=max_bytes,
                on_part=on_part,
            )
        except AnswerTooLargeError as error:
            raise ChangesTooLargeError(str(error)) from error
        except (NotSentError, AnswerLostError) as error:
            raise SourceUnavailableError(str(error)) from error
        if status == 410:
            raise HistoryLostError
        if status != 200:
            raise SourceUnavailableError(f"status {status}")
        try:
            answer = json.loads(body)
            if type(answer["store_revision"]) is not int:
                raise ValueError("store_revision is no number")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise SourceUnavailableError(f"malformed answer: {error!r}") from error
        return dict(answer)


def _read_item(item: dict[str, Any]) -> Document:
    try:
        if item.get("deleted"):
            return Document(item["key"], int(item["revision"]), None)
        value = base64.b64decode(item["value"], validate=True)
        return Document(item["key"], int(item["revision"]), value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SourceUnavailableError(f"malformed item: {error!r}") from error
