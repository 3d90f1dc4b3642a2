"""Store adapter ``etcd-json``: the etcd v3 API through its JSON gateway over HTTP."""

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

from sycamoreproxy._http_client import HttpClient, is_valid_status
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

#: Maximum concurrent calls; further calls are queued for at most their timeout.
MAX_CONCURRENT_CALLS = 32
#: Maximum response size in bytes; a read of 100 pages can return the whole table.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
#: Time in seconds after which a watch ends so that its reader opens a new one, because the server
#: can disappear without closing the connection.
WATCH_PERIOD_S = 300.0
#: Maximum bytes of one watch response, and of one of its lines: a line holds a value of 1 MB in
#: base64 and the fields of its entry.
MAX_WATCH_BYTES = 1 << 40
MAX_LINE_BYTES = 4 * 1024 * 1024
#: Maximum lines queued for the reader of a watch; the watch ends if the reader falls further
#: behind.
MAX_QUEUED_LINES = 1_000
#: gRPC status codes of calls that were rejected before they had any effect.
_REJECTED_CODES = frozenset({3, 5, 7, 8, 9, 11, 12, 16})


@stores.register("etcd-json")
class EtcdJsonStore:
    """Calls an etcd server through its JSON gateway.

    The encoding is the gRPC-gateway mapping of the etcd v3 API: 64-bit integers are strings, keys
    and values are base64.

    :param address: base URL.
    :param timeout_s: timeout of one call in seconds.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address.rstrip("/")
        self._timeout_s = timeout_s
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
            max_buffer_size=MAX_RESPONSE_BYTES,
        )
        # SimpleAsyncHTTPClient cannot cancel an idle watch, which would leak its connection.
        self._watch_client = HttpClient(self._address, max_body_bytes=MAX_WATCH_BYTES)

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it does not exist."""
        response = await self._call("range", "/v3/kv/range", {"key": _encode_base64(key.encode())})
        entries = _decode_entries(response)
        return entries[0] if entries else None

    async def list_entries(self, prefix: str, *, limit: int = 1000) -> list[Entry]:
        """Return at most ``limit`` entries below a prefix in ascending order of their keys."""
        body = {**_prefix_range(prefix), "limit": str(limit)}
        return _decode_entries(await self._call("range", "/v3/kv/range", body))

    async def transact(self, txn: Txn) -> TxnResult:
        """Run a transaction and return its result with the store revision."""
        response = await self._call("txn", "/v3/kv/txn", encode_txn(txn))
        revision = int(response.get("header", {}).get("revision", 0))
        return _decode_txn_result(response, revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease of ``ttl_s`` seconds and return its id."""
        response = await self._call("grant", "/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
        return int(response["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still existed."""
        response = await self._call("keepalive", "/v3/lease/keepalive", {"ID": str(lease)})
        return int(response.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys; a lease that no longer exists is not an error."""
        try:
            await self._call("revoke", "/v3/lease/revoke", {"ID": str(lease)})
        except LeaseNotFoundError:
            return

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[list[Entry]]:
        """Yield changes below a prefix, starting with those of a store revision.

        Ends when the connection is lost, the server cancels the watch, the reader falls too far
        behind, or after ``WATCH_PERIOD_S``.
        """
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
        """Close all connections."""
        self._client.close()
        self._watch_client.close()

    async def _call(self, verb: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a call and return its JSON response.

        :raises StoreUnavailableError: if the call certainly had no effect.
        :raises StoreAnswerLostError: if the call may have had an effect.
        :raises LeaseNotFoundError: if its lease does not exist.
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
            http_response = await self._client.fetch(request, raise_error=False)
        except HTTPTimeoutError as error:
            # Tornado names the phase only in the message. Before the request phase, nothing was
            # sent.
            if "during request" in str(error):
                raise StoreAnswerLostError(f"{verb}: {error}") from error
            raise StoreUnavailableError(f"{verb}: {error}") from error
        except (ConnectionRefusedError, socket.gaierror) as error:
            raise StoreUnavailableError(f"{verb}: {error}") from error
        except (HTTPStreamClosedError, HTTPClientError, OSError) as error:
            # Any other socket error may occur after the request was sent.
            raise StoreAnswerLostError(f"{verb}: {error!r}") from error
        status = http_response.code
        if not is_valid_status(status):
            raise StoreAnswerLostError(f"{verb}: the status {status:03} is invalid")
        try:
            response = json.loads(http_response.body or b"")
            if not isinstance(response, dict):
                raise ValueError("not a JSON object")
        except ValueError as error:
            raise StoreAnswerLostError(f"{verb}: status {status}, {error}") from error
        if status == 200:
            return response
        raise _error_from_response(verb, status, response)


class _WatchReader:
    """Splits the response stream of a watch into lines and queues the changes of each."""

    def __init__(self) -> None:
        self._is_closed = False
        self._partial_line = bytearray()
        self._changes: asyncio.Queue[list[Entry] | None] = asyncio.Queue()

    def receive(self, data: bytes) -> None:
        """Process a part of the stream."""
        if self._is_closed:
            return
        *lines, rest = (bytes(self._partial_line) + data).split(b"\n")
        self._partial_line[:] = rest
        for line in lines:
            entries = _decode_watch_line(line)
            if entries is None or self._changes.qsize() >= MAX_QUEUED_LINES:
                self._close()
                return
            if entries:
                self._changes.put_nowait(entries)
        if len(rest) > MAX_LINE_BYTES:
            self._close()

    def finish(self, exchange: asyncio.Future[None]) -> None:
        """Handle the end of the exchange."""
        if not exchange.cancelled():
            # Marks the exception as retrieved, so that asyncio does not log it.
            exchange.exception()
        self._close()

    async def read(self) -> list[Entry] | None:
        """Return the next changes, or None at the end of the watch."""
        return await self._changes.get()

    def _close(self) -> None:
        self._is_closed = True
        self._changes.put_nowait(None)


def _error_from_response(verb: str, status: int, response: dict[str, Any]) -> Exception:
    message = str(response.get("message") or response.get("error") or "")
    text = f"{verb}: status {status}, {message}"
    if "lease not found" in message:
        return LeaseNotFoundError(text)
    # Without a leader etcd proposes nothing. After other errors, a proposal may still be applied.
    if response.get("code") in _REJECTED_CODES or "no leader" in message:
        return StoreUnavailableError(text)
    return StoreAnswerLostError(text)


def _encode_base64(data: bytes) -> str:
    return b64encode(data).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    # UTF-8 text never ends in 0xff, so the last byte can be incremented.
    return {
        "key": _encode_base64(start),
        "range_end": _encode_base64(start[:-1] + bytes([start[-1] + 1])),
    }


def encode_txn(txn: Txn) -> dict[str, Any]:
    """Return the JSON request body of a transaction."""
    return {
        "compare": [
            {
                "target": "MOD",
                "result": "EQUAL",
                "key": _encode_base64(compare.key.encode()),
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
    key = _encode_base64(item.key.encode())
    if isinstance(item, Put):
        put = {"key": key, "value": _encode_base64(item.value), "lease": str(item.lease)}
        return {"request_put": put}
    if isinstance(item, Delete):
        return {"request_delete_range": {"key": key}}
    return {"request_range": {"key": key}}


def _decode_entries(response: dict[str, Any]) -> list[Entry]:
    return [_decode_entry(item) for item in response.get("kvs", ())]


def _decode_entry(item: dict[str, Any]) -> Entry:
    return Entry(
        key=b64decode(item["key"]).decode(),
        value=b64decode(item.get("value", "")),
        create_revision=int(item.get("create_revision", 0)),
        mod_revision=int(item.get("mod_revision", 0)),
        lease=int(item.get("lease", 0)),
    )


def _decode_txn_result(response: dict[str, Any], revision: int) -> TxnResult:
    results: list[Entry | TxnResult | None] = []
    for item in response.get("responses", ()):
        if "response_range" in item:
            entries = _decode_entries(item["response_range"])
            results.append(entries[0] if entries else None)
        elif "response_txn" in item:
            results.append(_decode_txn_result(item["response_txn"], revision))
        else:
            results.append(None)
    return TxnResult(bool(response.get("succeeded", False)), revision, tuple(results))


def _decode_watch_line(line: bytes) -> list[Entry] | None:
    """Return the changes of one line, or None if the watch ended."""
    try:
        result = json.loads(line)["result"]
        if result.get("canceled"):
            return None
        return [_decode_entry(event["kv"]) for event in result.get("events", ())]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
