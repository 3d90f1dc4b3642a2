"""Store adapter ``etcd-json``: the JSON form of the etcd v3 API over HTTP."""

from __future__ import annotations

import asyncio
import json
import socket
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    HTTPTimeoutError,
    SimpleAsyncHTTPClient,
)

from sycamoreproxy._http_client import HttpClient
from sycamoreproxy.metrics import STORE_CALLS
from sycamoreproxy.store import (
    Delete,
    Entry,
    Get,
    LeaseNotFoundError,
    Put,
    StoreAnswerLostError,
    StoreUnavailableError,
    Txn,
    TxnResult,
    stores,
)

#: Calls in progress; more wait within their time limit.
MAX_CALLS = 32
#: Largest answer in bytes; a read of 100 pages can hold the whole table.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: A watch is opened again after this time, in seconds, in case its peer vanished unnoticed.
WATCH_PERIOD_S = 300.0
#: Bytes of one watch, and of one line of it: a value of 1 MB in base64 and its fields.
MAX_WATCH_BYTES = 1 << 40
MAX_LINE_BYTES = 4 * 1024 * 1024
#: Lines that may wait for the reader of a watch; a slower reader loses the watch.
MAX_WAITING_LINES = 1_000
#: gRPC status codes that say that the call was checked and refused before it had any effect.
_REFUSED_CODES = frozenset({3, 5, 7, 8, 9, 11, 12, 16})


@stores.register("etcd-json")
class EtcdJsonStore:
    """Calls an etcd server by its JSON gateway.

    Source: the gRPC-gateway mapping of the etcd v3 API; 64-bit integers travel as text, keys and
    values as base64.

    :param address: base URL.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address.rstrip("/")
        self._timeout_s = timeout_s
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS, max_buffer_size=MAX_ANSWER_BYTES
        )
        # SimpleAsyncHTTPClient cannot end a waiting watch, which would keep its connection.
        self._watch_client = HttpClient(self._address, max_body_bytes=MAX_WATCH_BYTES)

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        answer = await self._call("range", "/v3/kv/range", {"key": _encode(key.encode())})
        entries = _read_entries(answer)
        return entries[0] if entries else None

    async def list_entries(self, prefix: str, *, limit: int = 1000) -> list[Entry]:
        """Return the entries below a prefix by rising key, at most ``limit``."""
        body = {**_prefix_range(prefix), "limit": str(limit)}
        return _read_entries(await self._call("range", "/v3/kv/range", body))

    async def transact(self, txn: Txn) -> TxnResult:
        """Run a transaction."""
        answer = await self._call("txn", "/v3/kv/txn", encode_txn(txn))
        revision = int(answer.get("header", {}).get("revision", 0))
        return _read_txn(answer, revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease of ``ttl_s`` seconds."""
        answer = await self._call("grant", "/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
        return int(answer["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Return whether the lease still existed and was renewed."""
        answer = await self._call("keepalive", "/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys; a lease that is gone is no error."""
        try:
            await self._call("revoke", "/v3/lease/revoke", {"ID": str(lease)})
        except LeaseNotFoundError:
            return

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[list[Entry]]:
        """Yield changes below a prefix from a store revision on; ends when the store is lost."""
        STORE_CALLS.inc({"verb": "watch"})
        reader = _WatchReader()
        create = {**_prefix_range(prefix), "start_revision": str(from_revision)}
        exchange = self._watch_client.exchange(
            method="POST",
            path="/v3/watch",
            headers=HTTPHeaders({"Content-Type": "application/json"}),
            body=json.dumps({"create_request": create}).encode(),
            on_head=lambda status, headers: None,
            on_data=reader.receive,
            repeatable=False,
        )
        task = asyncio.ensure_future(asyncio.wait_for(exchange, WATCH_PERIOD_S))
        task.add_done_callback(reader.finish)
        try:
            while True:
                entries = await reader.read()
                if entries is None:
                    return
                yield entries
        finally:
            task.cancel()

    def close(self) -> None:
        """Release connections."""
        self._client.close()
        self._watch_client.close()

    async def _call(self, verb: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return the JSON answer of a call.

        :raises StoreUnavailableError: the call certainly had no effect.
        :raises StoreAnswerLostError: it may have had one.
        """
        STORE_CALLS.inc({"verb": verb})
        request = HTTPRequest(
            self._address + path,
            method="POST",
            body=json.dumps(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPTimeoutError as error:
            # tornado names the phase only in the message.
            if "during request" in str(error):
                raise StoreAnswerLostError(f"{verb}: {error}") from error
            raise StoreUnavailableError(f"{verb}: {error}") from error
        except (ConnectionRefusedError, socket.gaierror) as error:
            raise StoreUnavailableError(f"{verb}: {error}") from error
        except (HTTPStreamClosedError, HTTPClientError, OSError) as error:
            # Any other socket error may hit an established connection.
            raise StoreAnswerLostError(f"{verb}: {error!r}") from error
        try:
            answer = json.loads(response.body or b"")
            if not isinstance(answer, dict):
                raise ValueError("not a JSON object")
        except ValueError as error:
            raise StoreAnswerLostError(f"{verb}: status {response.code}, {error}") from error
        if response.code == 200:
            return answer
        raise _error_from_response(verb, response.code, answer)


class _WatchReader:
    """Splits the stream of a watch into lines and queues their changes."""

    def __init__(self) -> None:
        self._is_closed = False
        self._unread = bytearray()
        self._changes: asyncio.Queue[list[Entry] | None] = asyncio.Queue()

    def receive(self, data: bytes) -> None:
        """Take a part of the stream."""
        if self._is_closed:
            return
        *lines, rest = (bytes(self._unread) + data).split(b"\n")
        self._unread[:] = rest
        for line in lines:
            entries = _read_watch_line(line)
            if entries is None or self._changes.qsize() >= MAX_WAITING_LINES:
                self._end()
                return
            if entries:
                self._changes.put_nowait(entries)
        if len(rest) > MAX_LINE_BYTES:
            self._end()

    def finish(self, exchange: asyncio.Future[None]) -> None:
        """Take the end of the stream."""
        if not exchange.cancelled():
            exchange.exception()
        self._end()

    async def read(self) -> list[Entry] | None:
        """Return the next changes, or None at the end."""
        return await self._changes.get()

    def _end(self) -> None:
        self._is_closed = True
        self._changes.put_nowait(None)


def _error_from_response(verb: str, status: int, answer: dict[str, Any]) -> Exception:
    message = str(answer.get("message") or answer.get("error") or "")
    text = f"{verb}: status {status}, {message}"
    if "lease not found" in message:
        return LeaseNotFoundError(text)
    # Without a leader nothing is proposed; other errors may hide a proposal that is applied.
    if answer.get("code") in _REFUSED_CODES or "no leader" in message:
        return StoreUnavailableError(text)
    return StoreAnswerLostError(text)


def _encode(data: bytes) -> str:
    return b64encode(data).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    # A UTF-8 text never ends in 0xff, so the last byte can be raised.
    return {"key": _encode(start), "range_end": _encode(start[:-1] + bytes([start[-1] + 1]))}


def encode_txn(txn: Txn) -> dict[str, Any]:
    """Return the JSON body of a transaction."""
    return {
        "compare": [
            {
                "target": "MOD",
                "result": "EQUAL",
                "key": _encode(compare.key.encode()),
                "mod_revision": str(compare.mod_revision),
            }
            for compare in txn.compares
        ],
        "success": [_encode_operation(item) for item in txn.then],
        "failure": [_encode_operation(item) for item in txn.otherwise],
    }


def _encode_operation(item: Put | Delete | Get | Txn) -> dict[str, Any]:
    if isinstance(item, Txn):
        return {"request_txn": encode_txn(item)}
    key = _encode(item.key.encode())
    if isinstance(item, Put):
        put = {"key": key, "value": _encode(item.value), "lease": str(item.lease)}
        return {"request_put": put}
    if isinstance(item, Delete):
        return {"request_delete_range": {"key": key}}
    return {"request_range": {"key": key}}


def _read_entries(answer: dict[str, Any]) -> list[Entry]:
    return [_decode_entry(item) for item in answer.get("kvs", ())]


def _decode_entry(item: dict[str, Any]) -> Entry:
    return Entry(
        key=b64decode(item["key"]).decode(),
        value=b64decode(item.get("value", "")),
        create_revision=int(item.get("create_revision", 0)),
        mod_revision=int(item.get("mod_revision", 0)),
        lease=int(item.get("lease", 0)),
    )


def _read_txn(answer: dict[str, Any], revision: int) -> TxnResult:
    results: list[Entry | TxnResult | None] = []
    for item in answer.get("responses", ()):
        if "response_range" in item:
            entries = _read_entries(item["response_range"])
            results.append(entries[0] if entries else None)
        elif "response_txn" in item:
            results.append(_read_txn(item["response_txn"], revision))
        else:
            results.append(None)
    return TxnResult(bool(answer.get("succeeded", False)), revision, tuple(results))


def _read_watch_line(line: bytes) -> list[Entry] | None:
    """Return the changes of one line, or None if the watch ended."""
    try:
        result = json.loads(line)["result"]
        if result.get("canceled"):
            return None
        return [_decode_entry(event["kv"]) for event in result.get("events", ())]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
