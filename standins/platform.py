"""Stand-in for the users' platform: store, runners, origin of weights and operator.

Speaks the parts of the platform's published protocol that the product uses. Faults of the store:
``down`` (503), ``history_lost`` (watches answer 410), ``era`` (its header in all answers; the store's
own era if absent). Faults of a runner: ``shed`` (fraction refused
unrun), ``drop_before_answer`` and ``cut_after_events`` (connections closed early), ``fail`` (a
status with a signature), ``wrong_id`` (fraction answered with another request's id), ``stall_s``
(before a request is accepted), ``read_s`` (time to read a prompt), ``event_s`` (between two events),
``hold_s`` (in refusals, the time for which it wants nothing).
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import heapq
import json
import math
import secrets
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import tornado.web
from tornado.iostream import StreamClosedError

from standins._server import FaultHandler, Faults, JsonHandler, make_parser, serve

#: Time between two events of a stream, in seconds.
EVENT_S = 0.01
#: Priority of a request that names none, from 0 (first) to 9.
USUAL_PRIORITY = 5
#: Events of a stream.
EVENTS = 5
#: Time that a runner takes to load staged weights, in seconds.
LOAD_S = 0.1
#: Chunks of a version, and their size in bytes.
CHUNKS = 8
CHUNK_BYTES = 1024


@dataclass
class PlatformStore:
    """Items with revisions, and their history.

    :param era: how often it came back from a copy.
    :param copy_revision: revision of the last copy that it came back from.
    """

    revision: int = 1
    era: int = 0
    copy_revision: int = 0
    items_by_key: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(self, key: str, value: Any) -> int:
        """Write a JSON value as the operator or a runner does; return the revision."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        before = self.items_by_key.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "create_rev": before["create_rev"] if before else self.revision,
            "lease": 0,
        }
        self.items_by_key[key] = item
        await self._publish(item)
        return self.revision

    async def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items_by_key[key]
        await self._publish({"key": key, "revision": self.revision, "deleted": True})

    async def restore(self, revision: int) -> None:
        """Come back from the copy that was made at a revision; later changes are lost."""
        self.history = [event for event in self.history if event["revision"] <= revision]
        self.items_by_key = {}
        for event in self.history:
            self.items_by_key.pop(event["key"], None)
            if not event.get("deleted"):
                self.items_by_key[event["key"]] = event
        self.revision = self.copy_revision = revision
        self.era += 1
        await self._notify()

    async def repeat(self, items_by_key: dict[str, dict[str, Any]]) -> None:
        """Write again what these items have and the copy has not, unless it was written since."""
        written = {event["key"] for event in self.history if event["revision"] > self.copy_revision}
        copied = {key: item for key, item in self.items_by_key.items() if key not in written}
        for key, item in items_by_key.items():
            if key not in written and item["value"] != copied.get(key, {}).get("value"):
                await self.put(key, json.loads(base64.b64decode(item["value"])))
        for key in copied:
            if key not in items_by_key:
                await self.delete(key)

    async def _publish(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()


class _StoreHandler(JsonHandler):
    def initialize(self, store: PlatformStore, faults: Faults) -> None:
        """Take the store and its faults."""
        self._store = store
        self._faults = faults

    def prepare(self) -> None:
        """Tell the era, and refuse calls while the store is down."""
        self.set_header("Store-Era", str(self._faults.get("era", self._store.era)))
        if self._faults.get("down"):
            self.write_json({}, 503)


class RangeHandler(_StoreHandler):
    """``GET /kv-range``."""

    def get(self) -> None:
        """Return the items below a prefix, two a page."""
        prefix, after = self.get_argument("prefix"), self.get_argument("after", "")
        keys = sorted(k for k in self._store.items_by_key if k.startswith(prefix) and k > after)
        page = [self._store.items_by_key[key] for key in keys[:2]]
        self.write_json(
            {"items": page, "has_more": len(keys) > 2, "store_revision": self._store.revision}
        )


class WatchHandler(_StoreHandler):
    """``GET /kv-watch``."""

    async def get(self) -> None:
        """Return the changes after a revision, at the latest when the wait is over."""
        if self._faults.get("history_lost"):
            self.write_json({}, 410)
            return
        prefix, after = self.get_argument("prefix"), int(self.get_argument("after"))
        store, era = self._store, self._store.era
        if after > store.revision:
            self.write_json({}, 410)
            return

        def find() -> list[dict[str, Any]]:
            return [
                event
                for event in store.history
                if event["key"].startswith(prefix) and event["revision"] > after
            ]

        wait_s = int(self.get_argument("wait_ms")) / 1000
        async with store.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await store.changed.wait_for(lambda: bool(find()) or store.era != era)
            except TimeoutError:
                pass
        if store.era != era:
            self.drop_connection()
            return
        self.write_json({"events": find(), "store_revision": store.revision})


@dataclass
class PlatformRunner:
    """State of one runner.

    :param running: generations that hold one of the slots.
    :param waiting: places of generations without a slot, with priority and number, as a heap.
    :param arrived: monotonic time and id of every request that reached it.
    :param begun: monotonic time and id of every run, and the version of the weights that it began on.
    :param cold_until: monotonic time until which it is cold.
    :param leaving_header: what its answers say of its leaving; empty for nothing.
    :param limit_headers: values of ``Server-Limit`` in its answers, each in a header of its own.
    :param events_by_path: number of events of the streams of a path, if it is not ``EVENTS``.
    :param broken_loads: versions that were ordered while a staged chunk was missing or another's.
    """

    instance: str
    model: str = "m1"
    version: int = 1
    slots: int = 4
    started_ms: int = 1
    running: int = 0
    orders: int = 0
    is_loading: bool = False
    staged: dict[int, bytes] = field(default_factory=dict)
    ran: Counter[str] = field(default_factory=Counter)
    received: list[dict[str, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)
    begun: list[tuple[float, str, int]] = field(default_factory=list)
    events_by_path: dict[str, int] = field(default_factory=dict)
    broken_loads: list[int] = field(default_factory=list)
    cancelled: int = 0
    cold_until: float = 0.0
    leaving_header: str = ""
    limit_headers: tuple[str, ...] = ()
    waiting: list[tuple[int, int, asyncio.Future[None]]] = field(default_factory=list)
    _joined: int = 0

    def join(self, priority: int) -> asyncio.Future[None]:
        """Return a place in the queue; it is done once it has a slot, and left by cancelling it."""
        self._joined += 1
        place = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (priority, self._joined, place))
        self.fill_slots()
        return place

    def leave(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self.fill_slots()

    def fill_slots(self) -> None:
        """Give free slots to the first in the queue; none while weights are loaded."""
        while self.waiting and self.running < self.slots and not self.is_loading:
            place = heapq.heappop(self.waiting)[2]
            if not place.done():
                self.running += 1
                place.set_result(None)

    def count_waiting(self) -> int:
        """Return the generations that wait for a slot."""
        return sum(not place.done() for _, _, place in self.waiting)

    def find_cold_remaining_ms(self) -> int:
        """Return the time until the runner is warm, in milliseconds."""
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def note_begun(self, request_id: str) -> None:
        """Note that a request begins to run."""
        self.ran[request_id] += 1
        self.begun.append((time.monotonic(), request_id, self.version))


class RunnerHandler(JsonHandler):
    """Requests of callers."""

    def initialize(self, runner: PlatformRunner, faults: Faults) -> None:
        """Take the runner and its faults."""
        self._runner = runner
        self._faults = faults
        self._left = False
        self._place: asyncio.Future[None] | None = None

    def on_connection_close(self) -> None:
        """Count a request whose caller left; it leaves the queue."""
        self._left = True
        self._runner.cancelled += 1
        if self._place is not None:
            self._place.cancel()

    async def _run(self) -> None:
        runner, faults, headers = self._runner, self._faults, self.request.headers
        request_id = headers.get("Sycamoreproxy-Request-Id", "")
        runner.received.append(dict(headers.get_all()))
        runner.arrived.append((time.monotonic(), request_id))
        self.set_header("Sycamoreproxy-Request-Id", request_id)
        self.set_header("Sycamoreproxy-Instance-Id", runner.instance)
        load = f"{runner.running},{runner.count_waiting()},{runner.slots},100"
        self.set_header("Sycamoreproxy-Server-Load", str(faults.get("load", load)))
        if runner.leaving_header:
            self.set_header("Server-Leaving", runner.leaving_header)
        for limit in runner.limit_headers:
            self.add_header("Server-Limit", limit)
        if not self._is_expected():
            self.write_json({}, 421)
            return
        if faults.strikes("shed"):
            self._refuse_unrun()
            return
        await asyncio.sleep(float(faults.get("stall_s", 0)))
        if self._left:
            return
        if headers.get("Sycamoreproxy-Token-Count"):
            await self._generate()
        elif self._begin():
            await asyncio.sleep(float(faults.get("delay_ms", 0)) / 1000)
            self.write_json({"path": self.request.uri, "body": self.request.body.decode()})

    def _is_expected(self) -> bool:
        """Return whether this is the instance, and these the weights, that the request names."""
        headers = self.request.headers
        if headers.get("Sycamoreproxy-Expect-Instance") != self._runner.instance:
            return False
        expected = headers.get("Sycamoreproxy-Expect-Version")
        return expected is None or int(expected) == self._runner.version

    def _refuse_unrun(self) -> None:
        if self._faults.get("hold_s"):
            self.set_header("Retry-After", str(self._faults.get("hold_s")))
        self.set_header("Sycamoreproxy-Not-Executed", "1")
        self.write_json({}, 503)

    def _begin(self) -> bool:
        """Begin to run; return whether a proper answer follows."""
        runner, faults = self._runner, self._faults
        runner.note_begun(self.request.headers.get("Sycamoreproxy-Request-Id", ""))
        if faults.strikes("drop_before_answer"):
            self.drop_connection()
            return False
        if faults.strikes("wrong_id"):
            self.set_header("Sycamoreproxy-Request-Id", "another")
        self.set_header("Sycamoreproxy-Response-Signature", f"sig.{runner.instance}")
        if faults.get("fail"):
            self.write_json({"error": "fault"}, int(faults.get("fail")))
            return False
        return True

    async def _generate(self) -> None:
        """Wait for a slot, read the prompt, and run with the first event."""
        runner, headers = self._runner, self.request.headers
        limit_s = float(headers.get("Sycamoreproxy-Deadline-Ms", "inf")) / 1000
        arrived_at = time.monotonic()
        place = self._place = runner.join(
            int(headers.get("Sycamoreproxy-Request-Priority", USUAL_PRIORITY))
        )
        await asyncio.wait({place}, timeout=None if math.isinf(limit_s) else limit_s)
        if not place.done():
            place.cancel()
            self._refuse_unrun()
        if place.cancelled():
            return
        try:
            await asyncio.sleep(float(self._faults.get("read_s", 0)))
            if self._left:
                return
            if time.monotonic() - arrived_at > limit_s:
                self._refuse_unrun()
            elif not self._is_expected():
                self.write_json({}, 421)
            elif self._begin():
                await self._stream()
        finally:
            runner.leave()

    async def _stream(self) -> None:
        runner = self._runner
        first = int(self.request.headers.get("Last-Event-Id", 0)) + 1
        last = runner.events_by_path.get(self.request.path, EVENTS)
        cut = int(self._faults.get("cut_after_events", 0))
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Sycamoreproxy-Weight-Versions", str(runner.version))
        try:
            for number in range(first, last + 1):
                if self._left:
                    return
                if cut and number > cut:
                    self.write(f"id: {number}\nda")
                    await self.flush()
                    self.drop_connection()
                    return
                self.write(f"id: {number}\ndata: token {number}\n\n")
                await self.flush()
                await asyncio.sleep(float(self._faults.get("event_s", EVENT_S)))
            self.finish()
        except StreamClosedError:
            # The caller left; tornado calls on_connection_close for it.
            return

    get = post = put = delete = _run  # type: ignore[assignment]


class ReportHandler(RunnerHandler):
    """``GET /report``."""

    def get(self) -> None:  # type: ignore[override]
        """Return the runner's state."""
        runner = self._runner
        models = [{"name": runner.model, "version": runner.version, "adapters": []}]
        self.write_json(
            {
                "stage": "both",
                "models": models if runner.version else [],
                "busy": runner.is_loading,
                "sequence": runner.orders,
                "waiting": runner.count_waiting(),
                "running": runner.running,
                "kv_used": 0,
                "kv_total": 1000,
                "handles": 0,
                "born": runner.started_ms,
                "cold_remaining_ms": runner.find_cold_remaining_ms(),
                "pace": float(self._faults.get("event_s", EVENT_S)) / EVENT_S,
            }
        )


class StageHandler(RunnerHandler):
    """``PUT /stage-put/ID`` and ``GET /stage-get/ID``."""

    def put(self, model: str) -> None:  # type: ignore[override]
        """Stage one chunk."""
        self._runner.staged[int(self.get_argument("number"))] = self.request.body
        self.finish()

    def get(self, model: str) -> None:  # type: ignore[override]
        """Return one staged chunk."""
        data = self._runner.staged.get(int(self.get_argument("number")))
        if data is None:
            raise tornado.web.HTTPError(404)
        self.finish(data)


class OrderHandler(RunnerHandler):
    """``POST /order``."""

    async def post(self) -> None:  # type: ignore[override]
        """Begin to load what is staged."""
        runner, order = self._runner, self.read_json()
        if runner.is_loading or order.get("expected", runner.orders) != runner.orders:
            self.write_json({}, 409)
            return
        if order["version"] == runner.version:
            self.write_json({}, 200)
            return
        chunks = make_chunks(
            order["model"], order["version"], chunks=CHUNKS, chunk_bytes=CHUNK_BYTES
        )
        if [runner.staged.get(index) for index in range(CHUNKS)] != chunks:
            runner.broken_loads.append(order["version"])
        runner.orders += 1
        runner.is_loading = True
        self.write_json({}, 202)
        await asyncio.sleep(LOAD_S)
        runner.version, runner.is_loading = order["version"], False
        runner.fill_slots()


def make_chunks(model: str, version: int, *, chunks: int, chunk_bytes: int) -> list[bytes]:
    """Return the chunks of a version; every version has other bytes."""
    return [
        hashlib.sha256(f"{model}/{version}/{index}".encode()).digest() * (chunk_bytes // 32)
        for index in range(chunks)
    ]


class OriginHandler(JsonHandler):
    """``GET /manifest/ID`` and ``GET /piece/ID``."""

    def initialize(self, sent: Counter[str], faults: Faults) -> None:
        """Take the count of what was sent."""
        self._sent = sent
        self._faults = faults

    def get(self, what: str, model: str) -> None:
        """Return a manifest or a piece."""
        if self._faults.get("down"):
            raise tornado.web.HTTPError(503)
        version = int(self.get_argument("version"))
        chunks = make_chunks(model, version, chunks=CHUNKS, chunk_bytes=CHUNK_BYTES)
        self._sent[what] += 1
        if what == "manifest":
            digests = [hashlib.sha256(chunk).hexdigest() for chunk in chunks]
            self.write_json(
                {
                    "model": model,
                    "version": version,
                    "chunk_bytes": CHUNK_BYTES,
                    "digests": digests,
                }
            )
        else:
            self.finish(chunks[int(self.get_argument("number"))])


def make_store_routes(store: PlatformStore, faults: Faults) -> list[Any]:
    """Return the routes of the store."""
    options = {"store": store, "faults": faults}
    return [(r"/kv-range", RangeHandler, options), (r"/kv-watch", WatchHandler, options)]


def make_runner_routes(runner: PlatformRunner, faults: Faults) -> list[Any]:
    """Return the routes of a runner."""
    options = {"runner": runner, "faults": faults}
    return [
        (r"/report", ReportHandler, options),
        (r"/stage-(?:put|get)/(.*)", StageHandler, options),
        (r"/order", OrderHandler, options),
        (r"/standin/faults", FaultHandler, {"faults": faults}),
        (r"/.*", RunnerHandler, options),
    ]


def make_origin_routes(sent: Counter[str], faults: Faults) -> list[Any]:
    """Return the routes of the origin."""
    return [(r"/(manifest|piece)/(.*)", OriginHandler, {"sent": sent, "faults": faults})]


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of ``office.example`` below ``/NAME/`` with a limit of 2 s."""
    return {
        "name": name,
        "hostname": "office.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "max_attempts": 2,
        **fields,
    }


def make_configuration(
    version: int, *, services: list[dict[str, Any]], routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with one account, ``office`` with the key ``office-key``."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"max_body_bytes": 65_536, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "office", "api_keys": ["office-key"], "priority": 1}],
    }


async def _run(options: Any) -> None:
    store, faults = PlatformStore(), Faults(seed=options.seed)
    runner = PlatformRunner(
        instance=f"i-{secrets.token_hex(4)}", started_ms=int(time.time() * 1000)
    )
    await store.put(
        "op/config",
        make_configuration(
            1,
            services=[{"name": "echo", "max_connections": 64}],
            routes=[
                {
                    "name": "r1",
                    "hostname": "localhost",
                    "prefix": "/",
                    "kind": "idempotent",
                    "service": "echo",
                    "timeout_ms": 2000,
                    "target_latency_ms": 200,
                    "max_attempts": 2,
                }
            ],
        ),
    )
    await store.put(
        f"servers/{runner.instance}",
        {
            "service": "echo",
            "address": f"127.0.0.1:{options.port}",
            "zone": "z1",
            "slots": runner.slots,
            "state": "ready",
            "born": runner.started_ms,
        },
    )
    await serve(
        [
            *make_store_routes(store, faults),
            *make_origin_routes(Counter(), faults),
            *make_runner_routes(runner, faults),
        ],
        port=options.port,
        faults=faults,
    )


def main() -> None:
    """Run a store with one configuration, one runner and an origin on one port."""
    asyncio.run(_run(make_parser("stand-in for the users' platform").parse_args()))


if __name__ == "__main__":
    main()
