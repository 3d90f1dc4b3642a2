"""Stand-in of the configuration store: a part of the JSON form of the etcd v3 API, in memory."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sortedcontainers import SortedDict

from standins._server import Faults, JsonHandler, make_parser, serve

#: Events kept for watches that start in the past.
MAX_EVENTS = 20_000
#: Largest value and most operations of one transaction.
MAX_VALUE_BYTES = 1_000_000
MAX_OPERATIONS = 128
#: How often expired leases are dropped, in seconds.
SWEEP_PERIOD_S = 0.1


class StoreError(Exception):
    """A refused call.

    :param code: gRPC status code.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(slots=True)
class _Record:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    expires_at: float
    keys: set[bytes]


class MemoryStore:
    """Keys, leases and events; calls take and return the JSON objects of the API.

    :param now: monotonic time in seconds, for leases.
    """

    def __init__(self, *, now: Callable[[], float] = time.monotonic) -> None:
        self.revision = 1
        self._now = now
        self._records: Any = SortedDict()
        self._leases_by_id: dict[int, _Lease] = {}
        self._next_lease = 1
        self._events: list[tuple[int, bytes, dict[str, Any]]] = []
        self._dropped_to = 0
        self._listeners: set[Callable[[], None]] = set()
        self._calls_by_path: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
            "/v3/kv/range": self.range,
            "/v3/kv/txn": self.transact,
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keep_alive,
            "/v3/lease/revoke": self.revoke,
            "/v3/kv/lease/revoke": self.revoke,
        }

    def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Run the call of a path.

        :raises StoreError: if it is refused; nothing was changed then.
        """
        self.sweep()
        return self._calls_by_path[path](body)

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Read a key or a range."""
        start, end = _read_range(body)
        limit = int(body.get("limit", 0)) or None
        if end:
            keys = list(self._records.irange(start, end, inclusive=(True, False)))
        else:
            keys = [start] if start in self._records else []
        kvs = [self._render(key) for key in keys[:limit]]
        return {"header": self._header(), "kvs": kvs, "count": str(len(keys))}

    def transact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Run a transaction with nested ones as one revision."""
        _check_keys(body)
        self._check_leases(body)
        branches: dict[int, bool] = {}
        self._evaluate(body, branches)
        revision = self.revision + 1
        events_before = len(self._events)
        answer = self._run(body, branches, revision)
        if len(self._events) > events_before:
            self.revision = revision
            self._notify()
        answer["header"] = self._header()
        return answer

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Grant a lease."""
        ttl_s = int(body["TTL"])
        lease = self._next_lease
        self._next_lease += 1
        self._leases_by_id[lease] = _Lease(ttl_s, self._now() + ttl_s, set())
        return {"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)}

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew a lease; an expired one has no ``TTL`` in the answer."""
        result: dict[str, Any] = {"header": self._header(), "ID": str(body["ID"])}
        lease = self._leases_by_id.get(int(body["ID"]))
        if lease is not None:
            lease.expires_at = self._now() + lease.ttl_s
            result["TTL"] = str(lease.ttl_s)
        return {"result": result}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """End a lease."""
        lease = int(body["ID"])
        if lease not in self._leases_by_id:
            raise StoreError(5, "etcdserver: requested lease not found")
        self._expire([lease])
        return {"header": self._header()}

    def sweep(self) -> None:
        """Drop expired leases and their keys."""
        now = self._now()
        expired = [key for key, lease in self._leases_by_id.items() if lease.expires_at <= now]
        if expired:
            self._expire(expired)

    def read_events(self, body: dict[str, Any], *, after: int) -> tuple[list[Any], int]:
        """Return the events of a range after an event number, and the last number.

        :raises StoreError: if they are no longer held.
        """
        if after < self._dropped_to:
            raise StoreError(11, "etcdserver: mvcc: required revision has been compacted")
        start, end = _read_range(body)
        events = [
            event
            for _, key, event in self._events[after - self._dropped_to :]
            if (start <= key < end if end else key == start)
        ]
        return events, self._dropped_to + len(self._events)

    def find_event(self, revision: int) -> int:
        """Return the number of the first event at or after a store revision."""
        if self._dropped_to and self._events and revision < self._events[0][0]:
            raise StoreError(11, "etcdserver: mvcc: required revision has been compacted")
        for index, (event_revision, _, _) in enumerate(self._events):
            if event_revision >= revision:
                return self._dropped_to + index
        return self._dropped_to + len(self._events)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener()`` after each change."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stop calling a listener."""
        self._listeners.discard(listener)

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.revision)}

    def _render(self, key: bytes) -> dict[str, str]:
        record = self._records[key]
        item = {
            "key": b64encode(key).decode(),
            "value": record.value,
            "create_revision": str(record.create_revision),
            "mod_revision": str(record.mod_revision),
            "version": str(record.version),
        }
        if record.lease:
            item["lease"] = str(record.lease)
        return item

    def _evaluate(self, body: dict[str, Any], branches: dict[int, bool]) -> None:
        """Evaluate every compare against the state before the transaction, as etcd does."""
        holds = all(self._holds(compare) for compare in body.get("compare", ()))
        branches[id(body)] = holds
        for item in body.get("success" if holds else "failure", ()):
            if "request_txn" in item:
                self._evaluate(item["request_txn"], branches)

    def _holds(self, compare: dict[str, Any]) -> bool:
        record = self._records.get(b64decode(compare["key"]))
        if compare["target"] == "MOD":
            actual = record.mod_revision if record else 0
            return actual == int(compare.get("mod_revision", 0))
        if compare["target"] == "CREATE":
            actual = record.create_revision if record else 0
            return actual == int(compare.get("create_revision", 0))
        raise StoreError(12, f"compare target {compare['target']} is not supported")

    def _check_leases(self, body: dict[str, Any]) -> None:
        for item in [*body.get("success", ()), *body.get("failure", ())]:
            if "request_txn" in item:
                self._check_leases(item["request_txn"])
            lease = int(item.get("request_put", {}).get("lease", 0))
            if lease and lease not in self._leases_by_id:
                raise StoreError(5, "etcdserver: requested lease not found")

    def _run(
        self, body: dict[str, Any], branches: dict[int, bool], revision: int
    ) -> dict[str, Any]:
        holds = branches[id(body)]
        responses: list[dict[str, Any]] = []
        for item in body.get("success" if holds else "failure", ()):
            if "request_txn" in item:
                responses.append(
                    {"response_txn": self._run(item["request_txn"], branches, revision)}
                )
            elif "request_put" in item:
                self._put(item["request_put"], revision)
                responses.append({"response_put": {}})
            elif "request_delete_range" in item:
                deleted = self._delete(b64decode(item["request_delete_range"]["key"]), revision)
                responses.append({"response_delete_range": {"deleted": str(int(deleted))}})
            else:
                responses.append({"response_range": self.range(item["request_range"])})
        return {"succeeded": holds, "responses": responses}

    def _put(self, put: dict[str, Any], revision: int) -> None:
        key = b64decode(put["key"])
        lease = int(put.get("lease", 0))
        old = self._records.get(key)
        if old is not None and old.lease in self._leases_by_id:
            self._leases_by_id[old.lease].keys.discard(key)
        if lease:
            self._leases_by_id[lease].keys.add(key)
        self._records[key] = _Record(
            value=put.get("value", ""),
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            lease=lease,
        )
        self._append_event(revision, key, {"kv": self._render(key)})

    def _delete(self, key: bytes, revision: int) -> bool:
        record = self._records.pop(key, None)
        if record is None:
            return False
        if record.lease in self._leases_by_id:
            self._leases_by_id[record.lease].keys.discard(key)
        kv = {"key": b64encode(key).decode(), "mod_revision": str(revision)}
        self._append_event(revision, key, {"type": "DELETE", "kv": kv})
        return True

    def _expire(self, leases: list[int]) -> None:
        changed = False
        for lease in leases:
            for key in sorted(self._leases_by_id.pop(lease).keys):
                changed = self._delete(key, self.revision + 1) or changed
        if changed:
            self.revision += 1
            self._notify()

    def _append_event(self, revision: int, key: bytes, event: dict[str, Any]) -> None:
        self._events.append((revision, key, event))

    def _notify(self) -> None:
        for listener in list(self._listeners):
            listener()
        # Trimmed in halves: a list loses its head in time proportional to its length.
        if len(self._events) > MAX_EVENTS:
            self._dropped_to += MAX_EVENTS // 2
            del self._events[: MAX_EVENTS // 2]


def _read_range(body: dict[str, Any]) -> tuple[bytes, bytes]:
    return b64decode(body["key"]), b64decode(body.get("range_end", ""))


def _check_keys(body: dict[str, Any]) -> set[bytes]:
    """Return the keys that a transaction may write; no two operations may write one key."""
    keys: set[bytes] = set()
    for branch in ("success", "failure"):
        items = body.get(branch, ())
        if len(items) > MAX_OPERATIONS:
            raise StoreError(3, "etcdserver: too many operations in txn request")
        branch_keys: set[bytes] = set()
        for item in items:
            if "request_txn" in item:
                written = _check_keys(item["request_txn"])
            elif "request_put" in item:
                if len(item["request_put"].get("value", "")) > MAX_VALUE_BYTES * 4 // 3 + 4:
                    raise StoreError(3, "etcdserver: request is too large")
                written = {b64decode(item["request_put"]["key"])}
            elif "request_delete_range" in item:
                written = {b64decode(item["request_delete_range"]["key"])}
            else:
                continue
            if written & branch_keys:
                raise StoreError(3, "etcdserver: duplicate key given in txn request")
            branch_keys |= written
        keys |= branch_keys
    return keys


class _StoreHandler(JsonHandler):
    """Common part of the handlers: faults and counts."""

    def initialize(self, store: MemoryStore, faults: Faults, counts: Counter[str]) -> None:
        """Take the state of the stand-in."""
        self._store = store
        self._faults = faults
        self._counts = counts

    async def refuse_if_down(self, verb: str) -> bool:
        """Count the call, wait as the faults say, and answer 503 if the store is down."""
        self._counts[verb] += 1
        if self._faults.get("down"):
            self.write_error_json(503, 14, "etcdserver: no leader")
            return True
        delay_ms = float(self._faults.get("delay_ms", 0))
        if delay_ms:
            # Before the effect: a caller may have given up when the change is made.
            await asyncio.sleep(delay_ms / 1000)
        return False

    def write_error_json(self, status: int, code: int, message: str) -> None:
        """Write an error as the gateway does."""
        self.write_json({"error": message, "code": code, "message": message}, status)


class CallHandler(_StoreHandler):
    """Every call but the watch."""

    async def post(self) -> None:
        """Run the call of the path."""
        verb = self.request.path.rsplit("/", 1)[1]
        if await self.refuse_if_down(verb):
            return
        try:
            answer = self._store.call(self.request.path, self.read_json())
        except StoreError as error:
            self.write_error_json(400, error.code, str(error))
            return
        if self._faults.strikes("lose_answers"):
            self.drop_connection()
            return
        self.write_json(answer)


class WatchHandler(_StoreHandler):
    """The watch: one JSON object a line until the client closes or a fault ends it."""

    async def post(self) -> None:
        """Stream the changes of a range."""
        if await self.refuse_if_down("watch"):
            return
        create = self.read_json()["create_request"]
        changed = asyncio.Event()
        self._closed = False
        self._changed = changed
        self._store.add_listener(changed.set)
        try:
            after = self._store.find_event(
                int(create.get("start_revision", 0)) or self._store.revision + 1
            )
            await self._write_result({"created": True})
            while not self._closed and not self._faults.get("down"):
                events, after = self._store.read_events(create, after=after)
                if events:
                    if self._faults.strikes("lose_answers"):
                        self.drop_connection()
                        return
                    await self._write_result({"events": events})
                # The time limit lets a fault end the watch of a quiet range.
                try:
                    await asyncio.wait_for(changed.wait(), SWEEP_PERIOD_S)
                except TimeoutError:
                    continue
                changed.clear()
        except StoreError as error:
            await self._write_result({"canceled": True, "cancel_reason": str(error)})
        finally:
            self._store.remove_listener(changed.set)

    def on_connection_close(self) -> None:
        """Stop when the client has gone."""
        self._closed = True
        self._changed.set()

    async def _write_result(self, result: dict[str, Any]) -> None:
        if not self._closed:
            self.write(json.dumps({"result": {"header": {}, **result}}) + "\n")
            await self.flush()


class CountsHandler(JsonHandler):
    """``GET /standin/counts``: calls by verb."""

    def initialize(self, counts: Counter[str]) -> None:
        """Take the counts."""
        self._counts = counts

    def get(self) -> None:
        """Write the counts."""
        self.write_json(dict(self._counts))


def make_routes(store: MemoryStore, faults: Faults) -> list[Any]:
    """Return the routes of the stand-in."""
    counts: Counter[str] = Counter()
    state = {"store": store, "faults": faults, "counts": counts}
    return [
        (
            r"/v3/kv/range|/v3/kv/txn|/v3/(?:kv/)?lease/(?:grant|keepalive|revoke)",
            CallHandler,
            state,
        ),
        (r"/v3/watch", WatchHandler, state),
        (r"/standin/counts", CountsHandler, {"counts": counts}),
    ]


async def _main() -> None:
    options = make_parser(__doc__ or "").parse_args()
    faults = Faults(seed=options.seed)
    store = MemoryStore()

    async def sweep() -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            store.sweep()

    task = asyncio.create_task(sweep())
    try:
        await serve(make_routes(store, faults), port=options.port, faults=faults)
    finally:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(_main())
