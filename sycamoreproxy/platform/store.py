"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from tornado.httputil import HTTPHeaders

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
from sycamoreproxy.logs import get_logger
from sycamoreproxy.metrics import STORE_CALLS
from sycamoreproxy.platform import names
from sycamoreproxy.store_position import MAX_ERA, make_position, split_position

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
#: Longest era that is read, in digits.
_MAX_ERA_DIGITS = len(str(MAX_ERA))

_log = get_logger("store")


class PlatformStore:
    """Reads ranges and watches.

    :param address: ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(f"http://{address}", max_body_bytes=MAX_ANSWER_BYTES)
        #: Era of the newest answer. An answer that names none belongs to it.
        self._era = 0
        self._has_answered = False
        self._has_logged_malformed_era = False

    async def read_all(
        self, prefix: str, *, on_part: Callable[[], None] = lambda: None
    ) -> Snapshot:
        """Return all items below a prefix; the revision is that of the first page.

        :raises SourceUnavailableError: if a page can't be read.
        """
        found: dict[str, Document] = {}
        first_position = 0
        after = ""
        while True:
            query = {"prefix": prefix, "after": after} if after else {"prefix": prefix}
            era, page = await self._call(
                "/kv-range", query, timeout_s=CALL_TIMEOUT_S, on_part=on_part
            )
            if after and era != split_position(first_position)[0]:
                # The store was restored between two pages.
                found, first_position, after = {}, 0, ""
                continue
            items = [_read_item(item, era) for item in page.get("items", ())]
            found.update((item.key, item) for item in items)
            # Pages are no snapshot: changes after the first one are read again by the watch.
            first_position = first_position or _make_position(era, page["store_revision"])
            if not page.get("has_more") or not items:
                return Snapshot(tuple(found.values()), first_position)
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
        """Return the changes after a position.

        :raises ChangesTooLargeError: if their values are longer than ``max_bytes``.
        :raises HistoryLostError: if the store has discarded them, or is in a later era.
        :raises SourceUnavailableError: if there is no usable answer in time.
        """
        after_era, after_revision = split_position(after)
        query = {"prefix": prefix, "after": str(after_revision)}
        era, answer = await self._call(
            "/kv-watch",
            {**query, "wait_ms": str(int(wait_s * 1000))},
            # The store may have been restored when the connection closed, which only an answer shows.
            repeated_query={**query, "wait_ms": "0"},
            timeout_s=wait_s + CALL_TIMEOUT_S,
            max_bytes=None if max_bytes is None else math.ceil(max_bytes * 4 / 3) + ENVELOPE_BYTES,
            on_part=on_part,
        )
        if era > after_era:
            raise HistoryLostError
        if era < after_era:
            raise SourceUnavailableError(f"answer of era {era} after era {after_era}")
        events = tuple(_read_item(item, era) for item in answer.get("events", ()))
        return Snapshot(events, _make_position(era, answer["store_revision"]))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _call(
        self,
        path: str,
        query: dict[str, str],
        *,
        repeated_query: dict[str, str] | None = None,
        timeout_s: float,
        max_bytes: int | None = None,
        on_part: Callable[[], None],
    ) -> tuple[int, dict[str, Any]]:
        """Return the era and the body of an answer."""
        STORE_CALLS.inc({"verb": path.removeprefix("/kv-")})
        try:
            status, headers, body = await self._http.fetch(
                method="GET",
                path=f"{path}?{urlencode(query)}",
                repeated_path=f"{path}?{urlencode(repeated_query or query)}",
                timeout_s=timeout_s,
                transfer_s=TRANSFER_TIMEOUT_S,
                max_bytes=max_bytes,
                on_part=on_part,
            )
        except AnswerTooLargeError as error:
            raise ChangesTooLargeError(str(error)) from error
        except (NotSentError, AnswerLostError) as error:
            raise SourceUnavailableError(str(error)) from error
        era = self._update_era(headers)
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
        return era, dict(answer)

    def _update_era(self, headers: HTTPHeaders) -> int:
        """Return the era of an answer.

        :raises SourceUnavailableError: if a later era is known: the answer was delayed, and what it
            says may have been lost.
        """
        text = headers.get(names.STORE_ERA)
        if text is None:
            return self._era
        text = text.strip()
        if not (text.isascii() and text.isdecimal() and len(text) <= _MAX_ERA_DIGITS):
            text = "malformed"
        if text == "malformed" or int(text) > MAX_ERA:
            if not self._has_logged_malformed_era:
                self._has_logged_malformed_era = True
                _log.warning("malformed era of the store ignored")
            return self._era
        era = int(text)
        if era < self._era:
            raise SourceUnavailableError(f"answer of era {era} after era {self._era}")
        if era > self._era:
            if self._has_answered:
                _log.info("store is in a new era", era=era, before=self._era)
            self._era = era
        self._has_answered = True
        return era


def _make_position(era: int, revision: Any) -> int:
    try:
        return make_position(era, int(revision))
    except (TypeError, ValueError) as error:
        raise SourceUnavailableError(f"malformed revision: {error!r}") from error


def _read_item(item: dict[str, Any], era: int) -> Document:
    try:
        position = make_position(era, int(item["revision"]))
        if item.get("deleted"):
            return Document(item["key"], position, None)
        value = base64.b64decode(item["value"], validate=True)
        return Document(item["key"], position, value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SourceUnavailableError(f"malformed item: {error!r}") from error
