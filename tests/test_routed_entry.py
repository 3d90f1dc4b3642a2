"""Tests the responses of an entry host: complete, with correct refusals, and no double runs."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import math
import random
import re
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest
import structlog
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.testing import bind_unused_port

from standins._server import Faults
from standins.platform import (
    PlatformRunner,
    make_configuration,
    make_route,
    make_runner_routes,
)
from sycamoreproxy import weight_targets
from sycamoreproxy._http_client import AnswerLostError, HttpClient
from sycamoreproxy.answer_relay import MAX_BODY_BYTES, MAX_UNSENT_BYTES
from sycamoreproxy.beliefs import RoutingState
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.document_source import Document
from sycamoreproxy.event_splitter import MAX_EVENT_BYTES
from sycamoreproxy.held_bytes import MAX_BUFFERED_BYTES, RESERVED_BYTES
from sycamoreproxy.messages import LimitNotice
from sycamoreproxy.placement import (
    InFlightRequest,
    LoadReport,
    Requirements,
    UpstreamSelector,
)
from sycamoreproxy.platform.documents import PlatformDocuments
from sycamoreproxy.platform.requests import PlatformDialect
from sycamoreproxy.prompt_quarantine import PromptQuarantine
from sycamoreproxy.regions import ZoneFilter
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.routed_dispatch import CRASH_NOTICE_S, VERSION_MARGIN_S, RoutedDispatcher
from sycamoreproxy.routed_http import CallerReply, RoutedCallerServer
from sycamoreproxy.upstream_book import UpstreamCatalog
from sycamoreproxy.upstream_limits import UpstreamLimits
from sycamoreproxy.watched_documents import DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets
from tests._fake_hub import FakeHub
from tests._raw_upstream import PIECE_BYTES, SIGNED, ClosingUpstream, RawUpstream, write_parts
from tools.addresses import reserve_address

ENGINE = {
    "slots": 4,
    "step_ms": 1.0,
    "read_per_s": 100_000.0,
    "stride": 5,
    "usual": {"prompt": 100, "answer": 20},
    "models": [{"name": "m1"}],
    "chunks": 8,
    "chunk_bytes": 1024,
}


ROUTES = [
    make_route("ask", "streaming", "model", session_affinity=True, stream_resume=True),
    make_route("once", "streaming", "model", session_affinity=True),
    make_route("order", "non_idempotent", "model", session_affinity=True, max_attempts=1),
    make_route("read", "idempotent", "ledger"),
    make_route("post", "non_idempotent", "ledger", max_attempts=1),
    make_route("open", "idempotent", "ledger", public=True),
]


class _NoSource:
    """Stands in for the document store, which these tests never read."""


@dataclass
class Site:
    """An entry host with two upstreams of each service."""

    replica: DocumentReplica
    front: RoutedCallerServer
    port: int
    runners: list[PlatformRunner]
    faults: list[Faults]
    servers: list[HTTPServer] = field(default_factory=list)
    quarantine: PromptQuarantine = field(kw_only=True)

    async def send(
        self, path: str, *, method: str = "POST", body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Send one request; return status, headers, body and whether the response is complete."""
        values = {
            "Host": "office.example",
            "Sycamoreproxy-Request-Id": f"id{random.random()}",
            "Sycamoreproxy-Deadline-Ms": "1900",
            "X-Api-Key": "office-key",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = "".join(f"{name}: {value}\r\n" for name, value in values.items() if value)
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        try:
            return await _read_answer(reader)
        finally:
            writer.close()

    def count_runs(self) -> int:
        """Return the number of requests that all upstreams executed."""
        return sum(runner.ran.total() for runner in self.runners)


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes, bool]:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except asyncio.IncompleteReadError:
        return 0, {}, b"", False
    lines = head.split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if line)
    status = int(lines[0].split()[1])
    if "Content-Length" in headers:
        return status, headers, await reader.readexactly(int(headers["Content-Length"])), True
    body = b""
    while True:
        line = await reader.readline()
        if not line:
            return status, headers, body, False
        size = int(line, 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return status, headers, body, True
        body += chunk[:-2]


def run_with_site(
    action: Callable[[Site], Awaitable[None]],
    *,
    configured: bool = True,
    region_by_zone: Mapping[str, str] | None = None,
) -> None:
    """Run a test against an entry host; runners 0 and 1 are engines, 2 and 3 a plain service."""

    async def run() -> None:
        clock, hub = SystemClock(), FakeHub()
        documents, dialect = PlatformDocuments(), PlatformDialect()
        replica = DocumentReplica(
            source=_NoSource(),  # type: ignore[arg-type]
            hub=hub,  # type: ignore[arg-type]
            prefixes=documents.prefixes,
            clock=clock,
        )
        catalog = UpstreamCatalog(clock=clock, leave_s=2.0)
        targets = WeightTargets(clock=clock, bound_s=8.0)
        routing_state = RoutingState(
            decoder=documents, replica=replica, catalog=catalog, targets=targets
        )
        budget = ResendBudget(clock=clock, ratio=0.2, slack=104, window_s=10)
        quarantine = PromptQuarantine(clock=clock)
        limits = UpstreamLimits(clock=clock, random_source=random.Random(1))
        limits.update_entry_hosts(1)
        dispatcher = RoutedDispatcher(
            dialect=dialect,
            table=lambda: routing_state.table,
            catalog=catalog,
            selector=UpstreamSelector(
                clock=clock,
                availability_zone="z1",
                random_source=random.Random(1),
                permits=limits.permits,
            ),
            targets=targets,
            budget_for=lambda service: budget,
            quarantine=quarantine,
            limits=limits,
            zones=ZoneFilter(
                region_by_zone, find_evacuated=lambda: routing_state.evacuations.zones
            ),
            clock=clock,
            random_source=random.Random(1),
        )
        routing_state.subscribe(lambda table: dispatcher.apply_zone_changes())
        routing_state.evacuations.subscribe(dispatcher.apply_zone_changes)
        front = RoutedCallerServer(dispatcher=dispatcher, dialect=dialect)
        with reserve_address() as holder:
            port = holder.getsockname()[1]
            front.listen("127.0.0.1", port)
        site = Site(replica, front, port, [], [], quarantine=quarantine)
        for number in range(4):
            await _add_runner(site, number)
        if configured:
            _put(
                site,
                "op/config",
                make_configuration(
                    1,
                    services=[{"name": "model", "engine": ENGINE}, {"name": "ledger"}],
                    routes=ROUTES,
                ),
            )
        try:
            async with asyncio.timeout(15):
                await action(site)
        finally:
            await front.close(wait_s=0)
            dispatcher.close()
            for server in site.servers:
                server.stop()

    asyncio.run(run())


async def _add_runner(site: Site, number: int) -> None:
    runner, faults = PlatformRunner(f"i-{number}"), Faults(seed=number)
    server = HTTPServer(tornado.web.Application(make_runner_routes(runner, faults)))
    listener, port = bind_unused_port()
    server.add_socket(listener)
    site.servers.append(server)
    site.runners.append(runner)
    site.faults.append(faults)
    _put_upstream(site, runner.instance, "model" if number < 2 else "ledger", port)


def _put_upstream(site: Site, instance: str, service: str, port: int, *, zone: str = "z1") -> None:
    _put(
        site,
        f"servers/{instance}",
        {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": zone,
            "slots": 4,
            "state": "ready",
            "models": [{"name": "m1", "version": 1}],
        },
    )


def _put(site: Site, key: str, value: Any) -> None:
    current = site.replica.get(key)
    revision = current.revision + 1 if current is not None else 1
    site.replica.apply(Document(key, revision, json.dumps(value).encode()), source="test")


def _change_routes(site: Site, *, version: int = 2, **fields: Any) -> None:
    """Change fields of all routes."""
    _put(
        site,
        "op/config",
        make_configuration(
            version,
            services=[{"name": "model", "engine": ENGINE}, {"name": "ledger"}],
            routes=[{**route, **fields} for route in ROUTES],
        ),
    )


async def _wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


async def _replace_runners(
    site: Site, numbers: Sequence[int], upstream: RawUpstream | ClosingUpstream
) -> None:
    """Replace runners of one service by a faulty upstream."""
    if isinstance(upstream, RawUpstream):
        await upstream.start()
    for number in numbers:
        instance = f"i-{number}"
        service = "model" if number < 2 else "ledger"
        site.replica.apply(Document(f"servers/{instance}", 2, None), source="test")
        site.front.dispatcher._catalog.mark_replaced(instance)
        _put_upstream(site, f"raw-{number}", service, upstream.port)


def _check_cut_responses(lines: Sequence[Any], count: int, *, limit: int) -> None:
    """Check that responses were cut and logged as soon as they exceeded a limit in bytes."""
    cuts = [line for line in lines if line["event"] == "answer cut for its size"]
    assert len(cuts) == count
    for line in cuts:
        assert line["upstream"].startswith("raw-") and line["request"].startswith("id")
        assert limit < line["bytes"] <= limit + PIECE_BYTES


GENERATION_HEADERS = {"Sycamoreproxy_Model": "m1", "Sycamoreproxy_Token_Count": "100,25"}
COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_complete_stream_is_relayed(path: str) -> None:
    async def action(site: Site) -> None:
        status, headers, body, is_complete = await site.send(path, **GENERATION_HEADERS)
        assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
        assert headers["Sycamoreproxy-Response-Signature"].startswith("sig.i-")

    run_with_site(action)


@pytest.mark.parametrize("cut", [1, 2, 4])
def test_interrupted_stream_resumes_on_another_upstream_without_gap_or_repeat(cut: int) -> None:
    async def action(site: Site) -> None:
        site.faults[0].replace({"cut_after_events": cut})
        for _ in range(6):
            status, _, body, is_complete = await site.send("/ask/x", **GENERATION_HEADERS)
            assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
        assert site.runners[0].ran and site.runners[1].ran

    run_with_site(action)


def test_interrupted_stream_without_resume_ends_visibly_incomplete() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"cut_after_events": 2})
        status, _, body, is_complete = await site.send("/once/x", **GENERATION_HEADERS)
        assert (status, is_complete) == (200, False) and COMPLETE_STREAM.startswith(body)
        assert site.count_runs() == 1

    run_with_site(action)


@pytest.mark.parametrize(
    ("path", "fault", "status", "runs"),
    [
        ("/post/x", {"drop_before_answer": 1}, 502, 1),
        ("/post/x", {"fail": 500}, 500, 1),
        ("/post/x", {"fail": 503}, 502, 1),
        ("/post/x", {"wrong_id": 1}, 502, 1),
        ("/post/x", {"shed": 1}, 503, 0),
        ("/read/x", {"drop_before_answer": 1}, 502, 2),
        ("/read/x", {"fail": 500}, 500, 2),
        ("/read/x", {"shed": 1}, 503, 0),
    ],
)
def test_refusal_claims_not_executed_only_if_that_is_true(
    path: str, fault: dict[str, Any], status: int, runs: int
) -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace(fault)
        received_status, headers, _, _ = await site.send(path, body=b"deposit")
        assert (received_status, site.count_runs()) == (status, runs)
        assert ("Retry-After" in headers) is (status == 503)
        assert ("Sycamoreproxy-Response-Signature" in headers) is (status == 500)

    run_with_site(action)


@pytest.mark.parametrize("fault", [{"drop_before_answer": 1}, {"fail": 500}, {"wrong_id": 1}])
def test_idempotent_request_is_answered_by_another_upstream(fault: dict[str, Any]) -> None:
    async def action(site: Site) -> None:
        site.faults[2].replace(fault)
        for _ in range(4):
            status, _, body, _ = await site.send("/read/x?q=1", body=b"b")
            assert status == 200 and json.loads(body) == {"path": "/read/x?q=1", "body": "b"}

    run_with_site(action)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/read/x", "office-key", 200),
        ("/read/x", "unknown", 401),
        ("/read/x", "", 401),
        ("/open/x", "", 200),
        ("/nowhere/x", "office-key", 404),
    ],
)
def test_routes_and_keys(path: str, key: str, status: int) -> None:
    async def action(site: Site) -> None:
        received_status, _, _, _ = await site.send(path, X_Api_Key=key)
        assert received_status == status
        received = [headers for runner in site.runners for headers in runner.received]
        assert all("X-Api-Key" not in headers for headers in received)
        if status == 200 and key:
            assert received[0]["Sycamoreproxy-Tenant"] == "office"

    run_with_site(action)


def test_process_without_configuration_refuses_with_retry_after() -> None:
    """A 404 or 401 would suggest an error in the request."""

    async def action(site: Site) -> None:
        status, headers, _, _ = await site.send("/read/x")
        assert status == 503 and "Retry-After" in headers

    run_with_site(action, configured=False)


def test_disconnect_of_the_caller_cancels_its_request() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"event_s": 0.5})
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(
            b"POST /ask/x HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
            b"Sycamoreproxy-Deadline-Ms: 1900\r\nX-Api-Key: office-key\r\nContent-Length: 0\r\n"
            b"Sycamoreproxy-Model: m1\r\nSycamoreproxy-Token-Count: 10,25\r\n\r\n"
        )
        await reader.readuntil(b"token 1")
        writer.close()
        await asyncio.sleep(0.3)
        assert sum(runner.cancelled for runner in site.runners) == 1
        assert site.front.dispatcher.open_requests == 0

    run_with_site(action)


def test_deadline_gives_a_final_response() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 5000})
        status, headers, _, _ = await site.send("/post/x", Sycamoreproxy_Deadline_Ms="300")
        assert status == 504 and "Retry-After" not in headers

    run_with_site(action)


def test_error_of_a_cancelled_exchange_is_retrieved(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that closed during the cancellation left a traceback without a request id."""

    async def lose(client: HttpClient, **options: Any) -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError as error:
            raise AnswerLostError("closed", received=False) from error

    monkeypatch.setattr(HttpClient, "exchange", lose)

    async def action(site: Site) -> None:
        unread: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: unread.append(context)
        )
        status, _, _, _ = await site.send("/post/x", Sycamoreproxy_Deadline_Ms="300")
        await asyncio.sleep(0.05)
        gc.collect()
        assert status == 504 and not unread

    run_with_site(action)


def test_upstream_receives_the_remaining_time() -> None:
    async def action(site: Site) -> None:
        await site.send("/read/x", Sycamoreproxy_Deadline_Ms="700")
        received = [headers for runner in site.runners for headers in runner.received]
        assert 500 < int(received[0]["Sycamoreproxy-Deadline-Ms"]) <= 700

    run_with_site(action)


def test_draining_host_closes_connections_after_their_response() -> None:
    async def action(site: Site) -> None:
        site.front.leave()
        status, headers, _, _ = await site.send("/read/x")
        assert status == 200 and headers["Connection"] == "close"

    run_with_site(action)


def test_replaced_upstream_gets_at_most_one_request() -> None:
    async def action(site: Site) -> None:
        site.runners[2].instance = "i-new"
        for _ in range(8):
            status, _, _, _ = await site.send("/read/x")
            assert status == 200
        assert len(site.runners[2].received) <= 1

    run_with_site(action)


def test_stopping_host_finishes_requests_and_closes_idle_connections() -> None:
    """Requests on kept-alive connections arrived seconds after SIGTERM and were interrupted."""

    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 500})
        idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", site.port)
        await asyncio.sleep(0.05)
        running = asyncio.create_task(site.send("/read/x", Sycamoreproxy_Deadline_Ms="1900"))
        await asyncio.sleep(0.1)
        await site.front.close(wait_s=3)
        status, _, _, is_complete = await running
        assert (status, is_complete) == (200, True)
        assert await idle_reader.read() == b""
        idle_writer.close()

    run_with_site(action)


@pytest.mark.parametrize("second", [{"shed": 1}, None])
def test_refusal_after_an_execution_does_not_claim_not_executed(
    second: dict[str, Any] | None,
) -> None:
    """The first upstream had executed the request; the second refused it or did not exist."""

    async def action(site: Site) -> None:
        for faults in site.faults[2:]:
            faults.replace({"drop_before_answer": 1})
        if second is None:
            site.replica.apply(Document("servers/i-3", 2, None), source="test")
            site.front.dispatcher._catalog.mark_replaced("i-3")
        else:
            site.faults[3].replace(second)
        statuses = set()
        for _ in range(4):
            before = site.count_runs()
            status, headers, _, _ = await site.send("/read/x")
            if site.count_runs() > before:
                statuses.add(status)
                assert "Retry-After" not in headers
        assert statuses == {502}

    run_with_site(action)


def test_engine_with_a_newer_version_than_the_minimum_is_used() -> None:
    """Requests named the minimum version, and engines with a newer one refused them."""

    async def action(site: Site) -> None:
        for number in range(2):
            site.runners[number].version = 3
            value = json.loads(site.replica.get(f"servers/i-{number}").value)  # type: ignore
            value["models"] = [{"name": "m1", "version": 3}]
            _put(site, f"servers/i-{number}", value)
        _put(site, "op/version/m1", {"model": "m1", "version": 2})
        status, _, body, is_complete = await site.send("/ask/x", **GENERATION_HEADERS)
        assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
        assert sum(len(runner.received) for runner in site.runners) == 1
        received = [headers for runner in site.runners for headers in runner.received]
        assert received[0]["Sycamoreproxy-Expect-Version"] == "3"

    run_with_site(action)


def test_disconnect_during_dispatch_leaves_no_load_behind() -> None:
    """The request counted as load of the engine for the lifetime of the process."""

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        selector = dispatcher._selector
        for _ in range(20):
            assert (
                dispatcher._choose("model", Requirements(level=0, model="m1"), ignore_capacity=True)
                is not None
            )
        in_flight = sum(
            len(selector.view(f"i-{number}").in_flight_by_number) for number in range(2)
        )
        sending = asyncio.create_task(site.send("/ask/x", **GENERATION_HEADERS))
        await asyncio.sleep(0.1)
        (queue,) = dispatcher._queues_by_service.values()
        assert len(queue) == 1
        (task,) = site.front.tasks
        view = selector.view("i-0")
        view.in_flight_by_number.clear()
        queue.dispatch()
        task.cancel()
        await asyncio.sleep(0.05)
        remaining = sum(
            len(selector.view(f"i-{number}").in_flight_by_number) for number in range(2)
        )
        assert remaining < in_flight and not view.in_flight_by_number
        sending.cancel()

    run_with_site(action)


def test_request_being_received_at_a_stop_is_answered() -> None:
    """The connection was closed right after the request was sent on, as none was in progress."""

    async def action(site: Site) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(
            b"POST /read/x HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
            b"Sycamoreproxy-Deadline-Ms: 1900\r\nX-Api-Key: office-key\r\nContent-Length: 4\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        closing = asyncio.create_task(site.front.close(wait_s=3))
        await asyncio.sleep(0.1)
        writer.write(b"body")
        status, _, body, _ = await _read_answer(reader)
        assert status == 200 and json.loads(body)["body"] == "body"
        await closing
        writer.close()

    run_with_site(action)


async def _read_slowly(
    port: int, path: str, *, bytes_per_s: float, started: asyncio.Event
) -> tuple[bytes, bytes]:
    """Send a request, read its response at a rate, and return head and body up to the close."""
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, ("127.0.0.1", port))
        await loop.sock_sendall(
            connection,
            f"GET {path} HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
            "Sycamoreproxy-Deadline-Ms: 9000\r\nX-Api-Key: office-key\r\n\r\n".encode(),
        )
        received = b""
        started_at = time.monotonic()
        while data := await loop.sock_recv(connection, 65_536):
            received += data
            started.set()
            due_s = len(received) / bytes_per_s - (time.monotonic() - started_at)
            await asyncio.sleep(max(0.0, due_s))
        head, _, body = received.partition(b"\r\n\r\n")
        return head, body


@pytest.mark.parametrize("is_finished_before", [False, True])
def test_stop_waits_until_callers_have_read_their_responses(is_finished_before: bool) -> None:
    """Responses that callers were still reading were cut seconds before the end of the stop."""

    async def action(site: Site) -> None:
        size = MAX_BODY_BYTES
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % size
        upstream = RawUpstream(head=head, piece=b"x" * PIECE_BYTES, pieces=size // PIECE_BYTES)
        await _replace_runners(site, [2, 3], upstream)
        started = asyncio.Event()
        reading = asyncio.create_task(
            _read_slowly(site.port, "/read/x", bytes_per_s=size / 1.0, started=started)
        )
        await started.wait()
        if is_finished_before:
            assert not site.front.tasks
        else:
            site.front.leave()
        started_at = time.monotonic()
        await site.front.close(wait_s=8)
        assert time.monotonic() - started_at < 8
        response_head, body = await reading
        assert response_head.startswith(b"HTTP/1.1 200") and len(body) == size
        upstream.stop()

    run_with_site(action)


def test_stop_does_not_wait_longer_than_permitted_for_a_caller_that_does_not_read() -> None:
    async def action(site: Site) -> None:
        size = MAX_BODY_BYTES
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % size
        upstream = RawUpstream(head=head, piece=b"x" * PIECE_BYTES, pieces=size // PIECE_BYTES)
        await _replace_runners(site, [2, 3], upstream)
        started = asyncio.Event()
        reading = asyncio.create_task(
            _read_slowly(site.port, "/read/x", bytes_per_s=1.0, started=started)
        )
        await started.wait()
        started_at = time.monotonic()
        await site.front.close(wait_s=0.5)
        assert 0.4 < time.monotonic() - started_at < 2
        reading.cancel()
        upstream.stop()

    run_with_site(action)


async def _stop_during_upload(site: Site, path: str, *, wait_s: float) -> tuple[int, bytes]:
    """Stop the host, and send the rest of a request 0.6 s before the end of the grace period."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    headers = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in GENERATION_HEADERS.items())
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n{headers}"
        "Sycamoreproxy-Deadline-Ms: 9000\r\nX-Api-Key: office-key\r\nContent-Length: 4\r\n\r\n".encode()
    )
    await _wait_until(lambda: site.front.receiving)
    closing = asyncio.create_task(site.front.close(wait_s=wait_s))
    await asyncio.sleep(wait_s - 0.6)
    writer.write(b"body")
    status, headers_by_name, body, _ = await _read_answer(reader)
    assert status != 503 or float(headers_by_name["Retry-After"]) > 0
    await closing
    writer.close()
    return status, body


@pytest.mark.parametrize("path", ["/read/x", "/post/x", "/ask/x", "/once/x", "/order/x"])
def test_request_that_comes_too_late_in_a_stop_is_refused_as_not_run(path: str) -> None:
    """Such requests were passed on and cut without a response, non-idempotent ones too."""

    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 1000, "read_s": 1.0})
        _change_routes(site, target_latency_ms=1000)
        status, body = await _stop_during_upload(site, path, wait_s=1.5)
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (503, 1207, "no")
        assert site.count_runs() == 0 and not any(runner.received for runner in site.runners)

    run_with_site(action)


@pytest.mark.parametrize("path", ["/read/x", "/post/x"])
def test_request_in_progress_at_the_end_of_a_stop_gets_a_response(path: str) -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 3000})
        sending = asyncio.create_task(site.send(path, Sycamoreproxy_Deadline_Ms="9000"))
        await _wait_until(lambda: any(runner.received for runner in site.runners))
        await site.front.close(wait_s=0.5)
        status, headers, body, is_complete = await sending
        assert (status, is_complete) == (504, True) and "Retry-After" not in headers
        assert json.loads(body)["error"]["executed"] == "unknown"

    run_with_site(action)


def test_requests_queued_at_the_end_of_a_stop_are_refused_as_not_run() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"read_s": 3.0})
        headers = GENERATION_HEADERS | {"Sycamoreproxy_Deadline_Ms": "9000"}
        sending = [asyncio.create_task(site.send("/once/x", **headers)) for _ in range(24)]
        await _wait_until(lambda: site.front.dispatcher.has_waiting)
        await site.front.close(wait_s=0.5)
        sent = {head["Sycamoreproxy-Request-Id"] for r in site.runners for head in r.received}
        for status, response_headers, body, is_complete in await asyncio.gather(*sending):
            assert is_complete and status in (503, 504)
            executed = json.loads(body)["error"]["executed"]
            assert executed == ("no" if status == 503 else "unknown")
            assert ("Retry-After" in response_headers) == (status == 503)
        assert 0 < len(sent) < len(sending)

    run_with_site(action)


def test_request_on_a_closed_connection_is_not_sent_on() -> None:
    """A request read while a stop closed its connection was executed without a response."""

    async def action(site: Site) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(
            b"POST /post/x HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
            b"Sycamoreproxy-Deadline-Ms: 1900\r\nX-Api-Key: office-key\r\nContent-Length: 4\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        (exchange,) = site.front.receiving
        exchange._connection.close()
        await asyncio.sleep(0.05)
        exchange.data_received(b"body")
        exchange.finish()
        await asyncio.sleep(0.1)
        assert site.count_runs() == 0 and not site.front.tasks
        writer.close()

    run_with_site(action)


def test_request_not_started_is_withdrawn_before_its_version_ends() -> None:
    """A request waited 2.1 s on a full engine and started 0.6 s after the end of its version."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"stall_s": 5})
        site.front.dispatcher._targets.set_bound(VERSION_MARGIN_S + 0.3)
        site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
        # Without the withdrawal, the request ends with its deadline (code 1307).
        status, _, body, _ = await site.send(
            "/ask/x", Sycamoreproxy_Deadline_Ms="900", **GENERATION_HEADERS
        )
        assert status == 504 and json.loads(body)["error"]["code"] == 1303
        assert sum(runner.ran.total() for runner in site.runners[:2]) == 0

    run_with_site(action)


def test_stream_that_starts_on_an_ended_version_is_logged() -> None:
    """Users got responses of retired weights, and no log named the request and its version."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"stall_s": 0.6})
        with structlog.testing.capture_logs() as lines:
            sending = asyncio.create_task(site.send("/once/x", **GENERATION_HEADERS))
            await asyncio.sleep(0.1)
            site.front.dispatcher._targets.set_bound(0.2)
            site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
            await sending
        (line,) = [item for item in lines if item["event"].startswith("answer began")]
        assert (line["version"], line["newest"]) == (1, 2)
        assert 150 <= line["ended_ms_ago"] < line["sent_ms_ago"]

    run_with_site(action)


def test_queued_request_is_not_sent_to_an_ended_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The minimum version was read on arrival and not updated while the request was queued."""
    monkeypatch.setattr(weight_targets, "CUTOVER_FRACTION", 0.1)

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        selector = dispatcher._selector
        for _ in range(20):
            dispatcher._choose("model", Requirements(level=0, model="m1"), ignore_capacity=True)
        sending = asyncio.create_task(site.send("/ask/x", **GENERATION_HEADERS))
        await asyncio.sleep(0.05)
        dispatcher._targets.set_bound(1.0)
        dispatcher._targets.set_target("m1", 2, is_first_read=False)
        await asyncio.sleep(0.15)
        selector.view("i-0").in_flight_by_number.clear()
        dispatcher.dispatch_waiting()
        await asyncio.sleep(0.1)
        assert not sending.done() and not site.runners[0].received
        site.runners[1].version = 2
        value = json.loads(site.replica.get("servers/i-1").value)  # type: ignore
        _put(site, "servers/i-1", value | {"models": [{"name": "m1", "version": 2}]})
        selector.view("i-1").in_flight_by_number.clear()
        dispatcher.dispatch_waiting()
        status, _, body, is_complete = await sending
        assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
        assert site.runners[1].received[0]["Sycamoreproxy-Expect-Version"] == "2"

    run_with_site(action)


#: Endless responses of a faulty upstream: the rest of the head, and a repeated piece of the body.
ENDLESS_BODIES = [
    (b"", b"x" * PIECE_BYTES),
    (b"Transfer-Encoding: chunked\r\n", b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"),
    (b"Content-Length: 60000000\r\n", b"x" * PIECE_BYTES),
]
#: Bytes that the kernel may buffer on a loopback connection, beyond what a process has read.
KERNEL_BUFFER_BYTES = 16 * 1024 * 1024


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_response_of_an_idempotent_request_is_cut_and_resent(
    head: bytes, piece: bytes
) -> None:
    """The host buffered up to 64 MiB per request until the caller disconnected."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=SIGNED + head + b"\r\n", piece=piece)
        await _replace_runners(site, [2], upstream)
        with structlog.testing.capture_logs() as lines:
            for _ in range(6):
                status, _, body, _ = await site.send("/read/x?q=1", body=b"b")
                assert status == 200 and json.loads(body) == {"path": "/read/x?q=1", "body": "b"}
        received = len(upstream.requests)
        assert received >= 1
        await upstream.wait_closed(received)
        assert upstream.sent < received * (MAX_BODY_BYTES + KERNEL_BUFFER_BYTES)
        _check_cut_responses(lines, received, limit=MAX_BODY_BYTES)
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_response_of_a_non_idempotent_request_is_cut_as_possibly_executed(
    head: bytes, piece: bytes
) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=SIGNED + head + b"\r\n", piece=piece)
        await _replace_runners(site, [2, 3], upstream)
        status, headers, body, _ = await site.send("/post/x", body=b"deposit")
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (502, 1308, "unknown")
        assert "Retry-After" not in headers
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        assert upstream.sent < MAX_BODY_BYTES + KERNEL_BUFFER_BYTES
        upstream.stop()

    run_with_site(action)


#: Endless heads of a faulty upstream: the first bytes, and a repeated piece.
ENDLESS_HEADS = [
    (b"", b"x" * PIECE_BYTES),
    (b"HTTP/1.1 200 ", b"x" * PIECE_BYTES),
    (SIGNED, b"X-Padding: 0123456789\r\n" * 2_800),
    (SIGNED + b"X-Padding: ", b"x" * PIECE_BYTES),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600),
    (b"", b"\r\n" * (PIECE_BYTES // 2)),
    (SIGNED + b"Transfer-Encoding: chunked\r\n\r\n", b"1" * PIECE_BYTES),
    (SIGNED + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", b"x" * PIECE_BYTES),
]


@pytest.mark.parametrize(("head", "piece"), ENDLESS_HEADS)
@pytest.mark.parametrize(("path", "number"), [("/read/x", 2), ("/ask/x", 0)])
def test_endless_head_or_framing_is_cut_and_the_request_resent(
    path: str, number: int, head: bytes, piece: bytes
) -> None:
    """Other operators' machines kept such bytes until they ran out of memory."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=head, piece=piece)
        await _replace_runners(site, [number], upstream)
        for _ in range(6):
            status, _, _, is_complete = await site.send(path, **GENERATION_HEADERS)
            assert (status, is_complete) == (200, True)
        received = len(upstream.requests)
        assert received >= 1
        await upstream.wait_closed(received)
        assert upstream.sent < received * KERNEL_BUFFER_BYTES
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize(("head", "piece"), ENDLESS_HEADS)
def test_endless_head_or_framing_leaves_a_non_idempotent_request_possibly_executed(
    head: bytes, piece: bytes
) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=head, piece=piece)
        await _replace_runners(site, [2, 3], upstream)
        status, headers, body, _ = await site.send("/post/x", body=b"deposit")
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (502, 1302, "unknown")
        assert "Retry-After" not in headers
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1 and upstream.sent < KERNEL_BUFFER_BYTES
        upstream.stop()

    run_with_site(action)


def test_longest_plain_response_is_relayed_unchanged() -> None:
    async def action(site: Site) -> None:
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        upstream = RawUpstream(
            head=head, piece=bytes(range(256)) * 256, pieces=MAX_BODY_BYTES // PIECE_BYTES
        )
        await _replace_runners(site, [2, 3], upstream)
        status, _, body, is_complete = await site.send("/post/x", body=b"deposit")
        assert (status, is_complete) == (200, True)
        assert body == bytes(range(256)) * (MAX_BODY_BYTES // 256)
        upstream.stop()

    run_with_site(action)


STREAM_HEAD = SIGNED + b"Sycamoreproxy-Weight-Versions: 1\r\n\r\n"


@pytest.mark.parametrize("first_event", [b"", b"id: 1\ndata: token 1\n\n"])
def test_endless_event_is_cut_and_the_stream_resumes_on_another_upstream(
    first_event: bytes,
) -> None:
    """The host buffered up to 64 MiB of the event until the caller disconnected."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD + first_event, piece=b"x" * PIECE_BYTES)
        await _replace_runners(site, [0], upstream)
        with structlog.testing.capture_logs() as lines:
            for _ in range(6):
                status, _, body, is_complete = await site.send("/ask/x", **GENERATION_HEADERS)
                assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
        received = len(upstream.requests)
        assert received >= 1
        await upstream.wait_closed(received)
        _check_cut_responses(lines, received, limit=len(first_event) + MAX_EVENT_BYTES)
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize("first_event", [b"", b"id: 1\ndata: token 1\n\n"])
def test_endless_event_leaves_a_stream_without_resume_incomplete(first_event: bytes) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD + first_event, piece=b"x" * PIECE_BYTES)
        await _replace_runners(site, [0, 1], upstream)
        with structlog.testing.capture_logs() as lines:
            status, headers, body, is_complete = await site.send("/once/x", **GENERATION_HEADERS)
        if first_event:
            assert (status, body, is_complete) == (200, first_event, False)
        else:
            assert (status, json.loads(body)["error"]["code"]) == (502, 1308)
            assert "Retry-After" not in headers
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        _check_cut_responses(lines, 1, limit=len(first_event) + MAX_EVENT_BYTES)
        upstream.stop()

    run_with_site(action)


def test_concurrent_long_responses_share_one_memory_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each response was within its own limit, but thirty of them filled the memory of a host."""
    # An eighth of the real limits, so that a busy machine meets the callers' deadlines.
    max_body, max_buffered = MAX_BODY_BYTES // 8, MAX_BUFFERED_BYTES // 8
    monkeypatch.setattr("sycamoreproxy.answer_relay.MAX_BODY_BYTES", max_body)
    monkeypatch.setattr("sycamoreproxy.held_bytes.MAX_BUFFERED_BYTES", max_buffered)

    async def action(site: Site) -> None:
        # A body slightly below the limit, after which the upstream stalls. Four of them fit.
        upstream = RawUpstream(
            head=SIGNED + b"\r\n",
            piece=b"x" * PIECE_BYTES,
            pieces=max_body // PIECE_BYTES - 1,
        )
        await _replace_runners(site, [2, 3], upstream)
        budget = site.front.dispatcher.buffer_budget
        sending = [asyncio.create_task(site.send("/post/x")) for _ in range(12)]
        most = 0
        while not all(task.done() for task in sending):
            most = max(most, budget.total)
            await asyncio.sleep(0.01)
        assert max_buffered - max_body < most <= max_buffered
        answers = [(task.result()[0], json.loads(task.result()[2])["error"]) for task in sending]
        assert Counter((status, error["code"]) for status, error in answers) == {
            (502, 1308): 8,
            (504, 1307): 4,
        }
        assert {error["executed"] for _, error in answers} == {"unknown"}
        await upstream.wait_closed(12)
        assert budget.total == 0
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize("size", [RESERVED_BYTES, RESERVED_BYTES + 1])
def test_short_responses_are_relayed_while_long_ones_use_all_memory(size: int) -> None:
    """A faulty upstream must not affect the responses of the others."""

    async def action(site: Site) -> None:
        assert site.front.dispatcher.buffer_budget.resize(0, MAX_BUFFERED_BYTES + RESERVED_BYTES)
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % size
        upstream = RawUpstream(head=head, piece=b"x" * size, pieces=1)
        await _replace_runners(site, [2, 3], upstream)
        status, headers, body, _ = await site.send("/post/x")
        if size <= RESERVED_BYTES:
            assert (status, body) == (200, b"x" * size)
        else:
            error = json.loads(body)["error"]
            assert (status, error["code"], error["executed"]) == (502, 1308, "unknown")
            assert "Retry-After" not in headers
        assert site.front.dispatcher.buffer_budget.total == MAX_BUFFERED_BYTES
        status, _, body, is_complete = await site.send("/ask/x", **GENERATION_HEADERS)
        assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
        upstream.stop()

    run_with_site(action)


def test_incomplete_event_counts_as_buffered_bytes() -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=b"x" * PIECE_BYTES, pieces=2)
        await _replace_runners(site, [0, 1], upstream)
        budget = site.front.dispatcher.buffer_budget
        sending = asyncio.create_task(site.send("/once/x", **GENERATION_HEADERS))
        while budget.total < 2 * PIECE_BYTES - RESERVED_BYTES:
            await asyncio.sleep(0.01)
        status, _, _, _ = await sending
        assert (status, budget.total) == (504, 0)
        upstream.stop()

    run_with_site(action)


#: One piece of an endless series of complete events, slightly smaller than ``PIECE_BYTES``.
ENDLESS_EVENTS = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 2700))


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_endless_event_series_is_cut_and_looks_incomplete(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Resumed elsewhere, the stream would end as complete: no other upstream has later events."""
    limit = 16 * PIECE_BYTES
    monkeypatch.setattr("sycamoreproxy.answer_relay.MAX_BODY_BYTES", limit)

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=ENDLESS_EVENTS)
        await _replace_runners(site, [0], upstream)
        with structlog.testing.capture_logs() as lines:
            while not upstream.requests:
                status, _, body, is_complete = await site.send(path, **GENERATION_HEADERS)
        assert (status, is_complete) == (200, False)
        assert len(body) <= limit and body.startswith(ENDLESS_EVENTS)
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        _check_cut_responses(lines, 1, limit=limit)
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_endless_event_series_is_not_buffered_for_a_caller_that_does_not_read(path: str) -> None:
    """The host buffered what the caller had not read: 64 MiB for one request."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=ENDLESS_EVENTS)
        await _replace_runners(site, [0, 1], upstream)
        # With a small receive buffer, little of the stream leaves the process.
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", site.port))
        head = "".join(
            f"{name.replace('_', '-')}: {value}\r\n"
            for name, value in {
                "Host": "office.example",
                "Sycamoreproxy_Request_Id": "a",
                "Sycamoreproxy_Deadline_Ms": "1900",
                "X_Api_Key": "office-key",
                "Content_Length": "0",
                **GENERATION_HEADERS,
            }.items()
        )
        with structlog.testing.capture_logs() as lines:
            caller.sendall(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())
            most = 0
            while not upstream.closed:
                most = max(most, site.front.dispatcher.buffer_budget.total)
                await asyncio.sleep(0)
        (cut,) = [line for line in lines if line["event"] == "answer cut for its size"]
        assert cut["reason"] == "the caller does not read it"
        assert len(upstream.requests) == 1
        assert most <= MAX_UNSENT_BYTES + PIECE_BYTES
        assert upstream.sent < MAX_UNSENT_BYTES + KERNEL_BUFFER_BYTES
        assert site.front.dispatcher.buffer_budget.total == 0
        # The upstream is healthy. Counted failures would keep other requests away from it.
        views = [site.front.dispatcher._selector.view(f"raw-{number}") for number in range(2)]
        assert [view.failure_rate for view in views] == [0, 0]
        caller.close()
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize(
    ("path", "status", "code"), [("/read/x", 200, None), ("/post/x", 504, 1307)]
)
def test_slow_endless_response_ends_in_time(path: str, status: int, code: int | None) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=SIGNED + b"\r\n", piece=b"x", pause_s=0.01)
        await _replace_runners(site, [2, 3] if code else [2], upstream)
        while not upstream.requests:
            received_status, headers, body, _ = await site.send(path)
            assert received_status == status and "Retry-After" not in headers
        if code:
            error = json.loads(body)["error"]
            assert (error["code"], error["executed"]) == (code, "unknown")
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        upstream.stop()

    run_with_site(action)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_slow_endless_event_ends_in_time(path: str) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=b"x", pause_s=0.01)
        await _replace_runners(site, [0, 1], upstream)
        status, headers, _, _ = await site.send(path, **GENERATION_HEADERS)
        assert status == 504 and "Retry-After" not in headers
        await upstream.wait_closed(len(upstream.requests))
        upstream.stop()


def test_stream_without_resume_does_not_start_on_an_ended_version() -> None:
    """Only repeatable requests were withdrawn before the end of their version."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"stall_s": VERSION_MARGIN_S + 0.7})
        site.front.dispatcher._targets.set_bound(VERSION_MARGIN_S + 0.3)
        site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
        await site.send("/once/x", **GENERATION_HEADERS)
        assert sum(runner.ran.total() for runner in site.runners[:2]) == 0

    run_with_site(action)


def test_request_on_a_slowly_opened_connection_does_not_reach_a_leaving_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The upstream is chosen before the connection opens, which takes up to 2 s."""
    connect = HttpClient._connect

    async def connect_late(client: HttpClient) -> IOStream:
        await asyncio.sleep(1.5)
        return await connect(client)

    monkeypatch.setattr(HttpClient, "_connect", connect_late)

    async def action(site: Site) -> None:
        for runner in site.runners[2:]:
            key = f"servers/{runner.instance}"
            value = json.loads(site.replica.get(key).value)  # type: ignore
            _put(site, key, value | {"state": "draining"})
        # 0.9 s after the announcement, requests may still be sent: the bound is 2 s.
        await asyncio.sleep(0.9)
        await site.send("/post/x")
        assert not [r.received for r in site.runners[2:] if r.received]

    run_with_site(action)


def test_plain_non_idempotent_request_is_not_withdrawn_when_its_version_ends() -> None:
    """Whether it has started is unknown, and cancelling it would lose a generated response."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"delay_ms": 600})
        site.front.dispatcher._targets.set_bound(VERSION_MARGIN_S + 0.3)
        site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
        status, _, _, is_complete = await site.send("/order/x", Sycamoreproxy_Model="m1")
        assert (status, is_complete, site.count_runs()) == (200, True, 1)

    run_with_site(action)


@pytest.mark.parametrize(
    ("path", "first", "fault"),
    [
        ("/ask/x", 0, {}),
        ("/read/x", 2, {}),
        ("/read/x", 2, {"shed": 1}),
        ("/post/x", 2, {"fail": 500}),
    ],
)
def test_upstream_that_said_in_an_answer_that_it_leaves_gets_nothing_more(
    path: str, first: int, fault: dict[str, Any]
) -> None:
    """The store may be out of reach, so its record may still say that the upstream is ready."""

    async def action(site: Site) -> None:
        for number in (first, first + 1):
            site.runners[number].leaving_header = "1"
            site.faults[number].replace(fault)
        for _ in range(8):
            await site.send(path, Sycamoreproxy_Token_Count="10,10" if first == 0 else "")
        assert all(len(r.received) <= 1 for r in site.runners[first : first + 2])

    run_with_site(action)


def test_leaving_header_without_the_value_1_is_ignored() -> None:
    async def action(site: Site) -> None:
        for runner in site.runners[2:]:
            runner.leaving_header = "0"
        for _ in range(4):
            assert (await site.send("/read/x"))[0] == 200

    run_with_site(action)


PROMPT = {**GENERATION_HEADERS, "Sycamoreproxy_Prefix_Hash": "f:40,d:10,x:50"}


def test_prompt_with_a_quarantined_part_is_refused_at_once_as_not_run() -> None:
    async def action(site: Site) -> None:
        site.quarantine.add("d", 60.0)
        status, headers, body, _ = await site.send("/ask/x", **PROMPT)
        assert status == 503 and json.loads(body)["error"]["code"] == 1213
        assert 59.0 < float(headers["Retry-After"]) < 61.0
        assert site.count_runs() == 0
        sound = PROMPT | {"Sycamoreproxy_Prefix_Hash": "f:40,x:50"}
        assert (await site.send("/ask/x", **sound))[0] == 200

    run_with_site(action)


def test_queued_prompt_with_a_part_quarantined_meanwhile_is_not_sent() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"read_s": 0.5})
        answers = [asyncio.create_task(site.send("/ask/x", **PROMPT)) for _ in range(24)]

        def is_settled() -> bool:
            queued = sum(site.front.dispatcher.count_waiting().get("model", {}).values())
            received = sum(len(runner.received) for runner in site.runners)
            return 0 < queued == len(answers) - received

        await _wait_until(is_settled)
        sent = sum(len(runner.received) for runner in site.runners)
        site.quarantine.add("d", 60.0)
        await asyncio.gather(*answers)
        assert sum(len(runner.received) for runner in site.runners) == sent
        await site.send("/ask/y", **GENERATION_HEADERS)
        assert sum(len(runner.received) for runner in site.runners) == sent + 1

    run_with_site(action)


@pytest.mark.parametrize(
    "fault", [{"drop_before_answer": 1}, {"cut_after_events": 1}, {"cut_after_events": 4}]
)
def test_output_before_a_crash_does_not_clear_a_prompt_of_it(fault: dict[str, Any]) -> None:
    """A part that crashed engines after their first event was taken for sound, and never refused."""

    async def action(site: Site) -> None:
        lost: list[tuple[str, ...]] = []
        site.front.dispatcher.on_lost = lambda record, parts: lost.append(parts)
        for faults in site.faults[:2]:
            faults.replace(fault)
        await site.send("/ask/x", **PROMPT)
        assert lost == [("f", "d")] * len(lost) and len(lost) >= 1
        assert site.quarantine.list_sound(["f", "d"]) == ()

    run_with_site(action)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x", "/order/x"])
def test_complete_answer_clears_the_shared_parts_of_its_prompt(path: str) -> None:
    async def action(site: Site) -> None:
        lost: list[tuple[str, ...]] = []
        site.front.dispatcher.on_lost = lambda record, parts: lost.append(parts)
        assert (await site.send(path, **PROMPT))[0] == 200
        assert site.quarantine.list_sound(["f", "d", "x"]) == ("f", "d")
        assert lost == []

    run_with_site(action)


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**400},
        {"slots": -5},
        {"address": "127.0.0.1:99999"},
        {"models": [{"name": "m1", "version": 10**400}]},
        {"models": [{"name": "m1", "version": float("inf")}]},
        {"zone": "\ud800"},
    ],
)
def test_odd_entry_among_the_upstreams_does_not_disturb_requests(change: dict[str, Any]) -> None:
    async def action(site: Site) -> None:
        key = "servers/i-0"
        entry = json.loads(site.replica.get(key).value)  # type: ignore[union-attr]
        _put(site, "servers/i-odd", entry | {"address": "127.0.0.1:9"} | change)
        for _ in range(6):
            assert (await site.send("/ask/x", **GENERATION_HEADERS))[0] == 200

    run_with_site(action)


class _ScriptedUpstream:
    """Two upstreams that give the n-th answer to the n-th request that either of them receives.

    They close the connection after an answer. ``{id}`` stands for the request's id; a part that is a number is a pause in seconds.

    :param is_silent_until_resend: whether a pause of the first answer also lasts until the next
        request was received.
    """

    def __init__(
        self, *answers: Sequence[bytes | float], is_silent_until_resend: bool = False
    ) -> None:
        self.requests: list[bytes] = []
        self._answers = list(answers)
        self._is_silent_until_resend = is_silent_until_resend

    async def listen(self) -> int:
        """Add a listener and return its port."""
        socket, port = bind_unused_port()
        await asyncio.start_server(self._serve, sock=socket)
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                request_id = re.search(rb"Sycamoreproxy-Request-Id: (\S+)", head)
                assert request_id is not None
                is_first = len(self.requests) == 1
                for part in self._answers[min(len(self.requests), len(self._answers)) - 1]:
                    if isinstance(part, bytes):
                        await write_parts(writer, [part.replace(b"{id}", request_id[1])])
                        continue
                    await asyncio.sleep(part)
                    if is_first and self._is_silent_until_resend:
                        await _wait_until(lambda: len(self.requests) > 1)
        finally:
            writer.close()


UNFRAMED = SIGNED + b"Sycamoreproxy-Request-Id: {id}\r\n\r\n"
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 4)]


def _run_scripted(
    upstream: _ScriptedUpstream,
    numbers: Sequence[int],
    action: Callable[[Site], Awaitable[None]],
) -> None:
    async def run(site: Site) -> None:
        for number in numbers:
            site.replica.apply(Document(f"servers/i-{number}", 2, None), source="test")
            site.front.dispatcher._catalog.mark_replaced(f"i-{number}")
            service = "model" if number < 2 else "ledger"
            _put_upstream(site, f"scripted-{number}", service, await upstream.listen())
        await action(site)

    run_with_site(run)


def test_events_of_a_stream_without_a_length_are_relayed_as_they_arrive() -> None:
    async def action(site: Site) -> None:
        started_at = time.monotonic()
        status, _, body, whole = await site.send("/ask/x", **GENERATION_HEADERS)
        assert (status, body, whole) == (200, b"".join(EVENTS), True)
        assert time.monotonic() - started_at > 0.5
        # A stream whose first event had waited for its end would have been sent again.
        assert len(upstream.requests) == 1

    upstream = _ScriptedUpstream([UNFRAMED, EVENTS[0], 0.3, EVENTS[1], 0.3, EVENTS[2]])
    _run_scripted(upstream, [0, 1], action)


@pytest.mark.parametrize("is_alive", [True, False])
def test_stream_without_a_length_clears_its_prompt_only_if_the_engine_runs_on(
    is_alive: bool,
) -> None:
    """Such a stream ends like one whose engine crashed after an event."""

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        lost: list[tuple[str, ...]] = []
        dispatcher.on_lost = lambda record, parts: lost.append(parts)
        assert (await site.send("/ask/x", **PROMPT))[0] == 200
        assert lost == [("f", "d")] and site.quarantine.list_sound(["f", "d"]) == ()
        await asyncio.sleep(0.8 * CRASH_NOTICE_S)
        if is_alive:
            report = LoadReport(received_at=time.monotonic(), running=0, waiting=0, pace=1.0)
            for number in range(2):
                dispatcher._selector.update_report(f"scripted-{number}", report)
        await asyncio.sleep(0.4 * CRASH_NOTICE_S)
        assert site.quarantine.list_sound(["f", "d"]) == (("f", "d") if is_alive else ())

    upstream = _ScriptedUpstream([UNFRAMED, *EVENTS])
    _run_scripted(upstream, [0, 1], action)


@pytest.mark.parametrize("rest", [b"id: 2", b"id: 2\ndata: tok", b"id: 2\ndata: token 2\n"])
def test_stream_without_a_length_that_ends_inside_an_event_is_resumed(rest: bytes) -> None:
    async def action(site: Site) -> None:
        status, _, body, whole = await site.send("/ask/x", **GENERATION_HEADERS)
        assert (status, body, whole) == (200, b"".join(EVENTS), True)
        assert b"Last-Event-Id: 1\r\n" in upstream.requests[1]

    upstream = _ScriptedUpstream([UNFRAMED, EVENTS[0], rest], [UNFRAMED, *EVENTS[1:]])
    _run_scripted(upstream, [0, 1], action)


#: A head of each kind of framing, at any byte of which an upstream may stop.
WHOLE_HEADS = [
    SIGNED + b"Sycamoreproxy-Request-Id: {id}\r\nContent-Length: 800\r\n\r\n",
    SIGNED + b"Sycamoreproxy-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + SIGNED + b"Sycamoreproxy-Weight-Versions: 1\r\n\r\n",
    SIGNED.replace(b"\r\n", b"\n") + b"Sycamoreproxy-Request-Id: {id}\n\n",
]


@pytest.mark.parametrize("head", WHOLE_HEADS)
@pytest.mark.parametrize("path", ["/read/x", "/post/x", "/ask/x", "/once/x", "/order/x"])
def test_response_cut_inside_its_head_is_never_relayed_as_a_success(path: str, head: bytes) -> None:
    """Other operators' callers got a 200 with an empty or short body, framed as complete."""

    async def action(site: Site) -> None:
        positions = range(0, len(head) - 1, 8)
        answers = await asyncio.gather(*(site.send(path, **GENERATION_HEADERS) for _ in positions))
        for status, headers, body, is_complete in answers:
            assert is_complete and "Sycamoreproxy-Response-Signature" not in headers
            assert status in (502, 503) and json.loads(body)["error"]["code"] >= 1200
            assert status == 503 or json.loads(body)["error"]["executed"] == "unknown"
        assert len(upstream.requests) >= len(positions) // 2

    upstream = _ScriptedUpstream(*([head[:cut]] for cut in range(0, len(head) - 1, 8)))
    _run_scripted(upstream, [0, 1, 2, 3], action)


#: Fields after a status line: of a response that claims to be executed, and of one that does not.
SIGNED_FIELDS = b"Sycamoreproxy-Request-Id: {id}\r\nSycamoreproxy-Response-Signature: s\r\n"
NOT_EXECUTED_FIELDS = b"Sycamoreproxy-Request-Id: {id}\r\nSycamoreproxy-Not-Executed: 1\r\n"
#: Ways to tell the end of a body of 25 bytes, and the body itself.
FRAMED_BODIES = [
    (b"Content-Length: 25\r\n\r\n", b"id: 1\ndata: token first\n\n"),
    (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"19\r\nid: 1\ndata: token first\n\n\r\n0\r\n\r\n",
    ),
    (b"\r\n", b"id: 1\ndata: token first\n\n"),
]
#: Status codes outside the range of HTTP (RFC 9110, section 15).
INVALID_STATUSES = [b"000", b"001", b"099", b"600", b"999"]
#: Field names that are not tokens (RFC 9110, section 5.1).
INVALID_FIELD_NAMES = [
    b"",
    b"X Broken",
    b"X\tBroken",
    b" X-Broken",
    b"\tX-Broken",
    b"X-Broken ",
    b"X-Broken\t",
    b"Content Length",
    b"Content-Length ",
    *(b"X%cBroken" % byte for byte in (0x00, 0x01, 0x08, 0x0B, 0x0C, 0x0D, 0x1F, 0x7F, 0x85, 0xA0)),
]


def _check_malformed_response(response: bytes) -> None:
    """Check that a response counts as lost on every kind of route."""

    async def action(site: Site) -> None:
        paths = ["/read/x", "/post/x", "/ask/x", "/once/x", "/order/x"]
        answers = await asyncio.gather(*(site.send(path, **GENERATION_HEADERS) for path in paths))
        for status, headers, body, is_complete in answers:
            assert is_complete and "Sycamoreproxy-Response-Signature" not in headers
            error = json.loads(body)["error"]
            assert (status, error["code"], error["executed"]) == (502, 1302, "unknown")
            assert "Retry-After" not in headers
        received = Counter(request.split()[1] for request in upstream.requests)
        assert [received[path] for path in (b"/post/x", b"/once/x", b"/order/x")] == [1, 1, 1]

    upstream = _ScriptedUpstream([response])
    _run_scripted(upstream, [0, 1, 2, 3], action)


@pytest.mark.parametrize("framing", FRAMED_BODIES)
@pytest.mark.parametrize("fields", [SIGNED_FIELDS, NOT_EXECUTED_FIELDS])
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_response_with_an_invalid_status_is_not_relayed(
    status: bytes, interim: bytes, fields: bytes, framing: tuple[bytes, bytes]
) -> None:
    """Callers got responses with status 000, or a refusal that claimed not executed."""
    _check_malformed_response(
        interim + b"HTTP/1.1 " + status + b" X\r\n" + fields + b"".join(framing)
    )


@pytest.mark.parametrize("framing", FRAMED_BODIES)
@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize("name", INVALID_FIELD_NAMES)
def test_response_with_an_invalid_field_name_is_not_relayed(
    name: bytes, is_first: bool, framing: tuple[bytes, bytes]
) -> None:
    """Other operators' callers got such a line, or a body that was not the upstream's."""
    line = name + b": 5\r\n"
    fields = line + SIGNED_FIELDS if is_first else SIGNED_FIELDS + line
    _check_malformed_response(b"HTTP/1.1 200 OK\r\n" + fields + b"".join(framing))


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize(("path", "number"), [("/read/x", 2), ("/ask/x", 0)])
def test_request_is_resent_after_a_response_with_an_invalid_status(
    path: str, number: int, status: bytes
) -> None:
    async def action(site: Site) -> None:
        for _ in range(6):
            code, _, body, is_complete = await site.send(path, **GENERATION_HEADERS)
            assert (code, is_complete) == (200, True) and b"broken" not in body
        selector = site.front.dispatcher._selector
        assert len(upstream.requests) >= 1
        assert selector.view(f"scripted-{number}").failure_rate > 0

    head = b"HTTP/1.1 " + status + b" X\r\n" + SIGNED_FIELDS
    upstream = _ScriptedUpstream([head + b"Content-Length: 6\r\n\r\nbroken"])
    _run_scripted(upstream, [number], action)


#: Longer than an upstream may be silent before a request is withdrawn from it, in seconds.
SILENCE_S = 1.6


def test_stream_that_was_resumed_once_waits_for_a_silent_upstream() -> None:
    """Streams were cut after 1.2 s of silence, with seconds left, when nothing more was permitted."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=6000)
        status, _, body, is_complete = await site.send(
            "/ask/x", Sycamoreproxy_Deadline_Ms="6000", **GENERATION_HEADERS
        )
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == 2

    upstream = _ScriptedUpstream(
        [UNFRAMED, EVENTS[0], SILENCE_S, *EVENTS[1:]],
        [UNFRAMED, EVENTS[1], SILENCE_S, EVENTS[2]],
    )
    _run_scripted(upstream, [0, 1], action)


def _spend_resends(site: Site) -> None:
    for service in ("model", "ledger"):
        site.front.dispatcher._budget_for(service).set_limits(ratio=0.0, slack=0.0, window_s=10.0)


def _remove_others(site: Site) -> None:
    for number in (1, 3):
        site.replica.apply(Document(f"servers/scripted-{number}", 2, None), source="test")


def _quarantine_prompt(site: Site) -> None:
    asyncio.get_running_loop().call_later(0.3, site.quarantine.add, "d", 60.0)


@pytest.mark.parametrize("prevent_resend", [_spend_resends, _remove_others, _quarantine_prompt])
@pytest.mark.parametrize("path", ["/ask/x", "/ask/first", "/read/x"])
def test_request_that_may_not_be_resent_waits_for_a_silent_upstream(
    path: str, prevent_resend: Callable[[Site], None]
) -> None:
    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=6000)
        site.front.dispatcher._selector.entry_hosts = 1
        prevent_resend(site)
        status, _, body, is_complete = await site.send(
            path, Sycamoreproxy_Deadline_Ms="6000", **PROMPT
        )
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == 1

    head = UNFRAMED.replace(b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n" % len(b"".join(EVENTS)))
    answer: list[bytes | float] = [SILENCE_S, head, *EVENTS]
    if path == "/ask/x":
        answer = [head, EVENTS[0], SILENCE_S, *EVENTS[1:]]
    upstream = _ScriptedUpstream(answer)
    _run_scripted(upstream, [0, 1, 2, 3], action)


NOT_EXECUTED = (
    b"HTTP/1.1 503 Service Unavailable\r\nSycamoreproxy-Request-Id: {id}\r\n"
    b"Sycamoreproxy-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
FAILED = b"HTTP/1.1 500 Error\r\nSycamoreproxy-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
LENGTH = b"\r\nContent-Length: %d\r\n\r\n" % len(b"".join(EVENTS))
FRAMED = UNFRAMED.replace(b"\r\n\r\n", LENGTH)
#: Answers of a sound upstream that is silent for a while, by path.
SILENT_ANSWERS: dict[str, list[bytes | float]] = {
    "/ask/x": [FRAMED, EVENTS[0], SILENCE_S, *EVENTS[1:]],
    "/ask/first": [SILENCE_S + 0.6, FRAMED, *EVENTS],
    "/read/x": [SILENCE_S + 0.6, FRAMED, *EVENTS],
}


@pytest.mark.parametrize("is_reporting", [False, True])
@pytest.mark.parametrize("path", ["/ask/x", "/ask/first"])
def test_request_is_not_resent_to_an_engine_that_is_silent_too(
    path: str, is_reporting: bool
) -> None:
    """Requests were resent from one suspended host to another, and arrived after their callers left."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=6000)
        dispatcher = site.front.dispatcher
        sent = asyncio.create_task(site.send(path, Sycamoreproxy_Deadline_Ms="6000", **PROMPT))
        while not upstream.requests:
            await asyncio.sleep(0.01)
        now = time.monotonic()
        report = LoadReport(
            received_at=now + 60.0 if is_reporting else now - 60.0,
            running=0,
            waiting=0,
            version_by_model=(("m1", 1),),
        )
        for number in range(2):
            dispatcher._selector.update_report(f"scripted-{number}", report)
            view = dispatcher._selector.view(f"scripted-{number}")
            # A request of another caller, so that each engine has one.
            view.in_flight_by_number.setdefault(0, InFlightRequest(now, 100, overdue_at=now))
        status, _, body, is_complete = await sent
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == (2 if is_reporting else 1)

    upstream = _ScriptedUpstream(SILENT_ANSWERS[path], [6.0])
    _run_scripted(upstream, [0, 1, 2, 3], action)


@pytest.mark.parametrize(
    "other", [[NOT_EXECUTED], [FAILED], [b""], [6.0]], ids=["refuses", "fails", "closes", "silent"]
)
@pytest.mark.parametrize("path", SILENT_ANSWERS)
def test_request_of_a_silent_upstream_survives_a_resend_that_fails(
    path: str, other: list[bytes | float]
) -> None:
    """The request was withdrawn before another upstream had answered, and its stream was cut."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=6000)
        status, _, body, is_complete = await site.send(
            path, Sycamoreproxy_Deadline_Ms="6000", **PROMPT
        )
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == 2

    upstream = _ScriptedUpstream(SILENT_ANSWERS[path], other, is_silent_until_resend=True)
    _run_scripted(upstream, [0, 1, 2, 3], action)


LONG_FAILURE = (
    b"HTTP/1.1 500 Error\r\nSycamoreproxy-Request-Id: {id}\r\nContent-Length: 60000\r\n\r\n"
    + b"x" * 60_000
)


@pytest.mark.parametrize(
    "answers",
    [
        pytest.param(
            [
                [FRAMED, EVENTS[0], EVENTS[1][:9], SILENCE_S, EVENTS[1][9:], EVENTS[2]],
                [LONG_FAILURE],
                [LONG_FAILURE],
            ],
            id="incomplete-event-kept-beside-a-long-failure",
        ),
        pytest.param(
            [
                [FRAMED, EVENTS[0], SILENCE_S + 0.4, *EVENTS[1:]],
                [UNFRAMED, EVENTS[1][:9], 6.0],
            ],
            id="incomplete-event-of-the-other-upstream-dropped",
        ),
        pytest.param(
            [
                [FRAMED, EVENTS[0], EVENTS[1][:9], 6.0],
                [UNFRAMED, EVENTS[1][:7], 0.2, EVENTS[1][7:], EVENTS[2]],
            ],
            id="incomplete-event-of-the-silent-upstream-dropped",
        ),
        pytest.param(
            [
                [FRAMED, EVENTS[0], EVENTS[1][:9], 1.35, EVENTS[1][9:], 0.3, EVENTS[2]],
                [UNFRAMED, 0.2, *EVENTS[1:]],
            ],
            id="both-upstreams-respond",
        ),
        pytest.param(
            [[FRAMED, EVENTS[0], 9.0], [UNFRAMED, 9.0], [UNFRAMED, *EVENTS[1:]]],
            id="third-upstream-after-two-silent-ones",
        ),
    ],
)
def test_stream_with_a_silent_upstream_has_each_event_once(
    answers: list[list[bytes | float]],
) -> None:
    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=9000, max_attempts=3)
        _put_upstream(site, "scripted-4", "model", await upstream.listen())
        status, _, body, is_complete = await site.send(
            "/ask/x", Sycamoreproxy_Deadline_Ms="9000", **PROMPT
        )
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == len(answers)

    upstream = _ScriptedUpstream(*answers)
    _run_scripted(upstream, [0, 1, 2, 3], action)


@pytest.mark.parametrize("path", ["/ask/first", "/read/x"])
def test_request_that_may_have_run_at_a_silent_upstream_is_not_refused_as_not_executed(
    path: str,
) -> None:
    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=6000)
        status, _, body, _ = await site.send(path, Sycamoreproxy_Deadline_Ms="6000", **PROMPT)
        assert status in (502, 504)
        assert json.loads(body)["error"]["executed"] != "no"

    # The silent upstream closes the connection after the other ones have refused the request.
    upstream = _ScriptedUpstream([SILENCE_S + 1.5], [NOT_EXECUTED])
    _run_scripted(upstream, [0, 1, 2, 3], action)


def test_complete_response_is_not_cut_when_the_time_limit_ends_just_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    finish = CallerReply.finish

    def finish_late(reply: CallerReply) -> None:
        finish(reply)
        time.sleep(0.8)

    async def action(site: Site) -> None:
        monkeypatch.setattr(CallerReply, "finish", finish_late)
        status, _, received, is_complete = await site.send(
            "/read/x", Sycamoreproxy_Deadline_Ms="800", **PROMPT
        )
        assert (status, len(received), is_complete) == (200, len(body), True)

    # Larger than the buffers of the sockets.
    body = b"x" * 7_000_000
    head = UNFRAMED.replace(b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n" % len(body))
    _run_scripted(_ScriptedUpstream([head, body]), [2, 3], action)


@pytest.mark.parametrize("path", SILENT_ANSWERS)
def test_request_of_a_silent_upstream_is_answered_by_another_one(path: str) -> None:
    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=9000)
        started_at = time.monotonic()
        status, _, body, is_complete = await site.send(
            path, Sycamoreproxy_Deadline_Ms="9000", **PROMPT
        )
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == 2
        assert time.monotonic() - started_at < 6

    silent = [7.0 if isinstance(part, float) else part for part in SILENT_ANSWERS[path]]
    rest = [FRAMED, *EVENTS]
    if path == "/ask/x":
        rest = [UNFRAMED, *EVENTS[1:]]
    upstream = _ScriptedUpstream(silent, rest)
    _run_scripted(upstream, [0, 1, 2, 3], action)


def test_plain_response_without_a_length_is_relayed_whole() -> None:
    async def action(site: Site) -> None:
        status, _, body, whole = await site.send("/read/x", method="GET")
        assert (status, body, whole) == (200, b"first second", True)

    _run_scripted(_ScriptedUpstream([UNFRAMED, b"first ", 0.1, b"second"]), [2, 3], action)


@pytest.mark.parametrize(
    "error",
    [
        b"HTTP/1.1 500 X\r\nSycamoreproxy-Response-Signature: s\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 404 X\r\nSycamoreproxy-Response-Signature: s\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 503 X\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 503 X\r\nSycamoreproxy-Not-Executed: 1\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 200 OK\r\nSycamoreproxy-Response-Signature: s\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 500 X\r\n\r\nfailure",
        b"HTTP/1.1 000 X\r\nSycamoreproxy-Response-Signature: s\r\nContent-Length: 7\r\n\r\nfailure",
        b"HTTP/1.1 600 X\r\nSycamoreproxy-Response-Signature: s\r\n\r\nfailure",
        b"failure",
    ],
)
def test_error_of_the_next_upstream_does_not_enter_a_stream_that_has_begun(error: bytes) -> None:
    async def action(site: Site) -> None:
        status, _, body, whole = await site.send("/ask/x", **GENERATION_HEADERS)
        assert (status, body, whole) == (200, EVENTS[0], False)
        assert b"Last-Event-Id: 1\r\n" in upstream.requests[1]

    upstream = _ScriptedUpstream([UNFRAMED, EVENTS[0], b"id: 2\nda"], [error])
    _run_scripted(upstream, [0, 1], action)


def test_copy_of_an_earlier_refusal_is_not_taken_for_the_next_response() -> None:
    """The copy promises that the request was not run, though the upstream runs it."""
    refusal = (
        b"HTTP/1.1 503 X\r\nSycamoreproxy-Request-Id: {id}\r\nSycamoreproxy-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )

    async def action(site: Site) -> None:
        await site.send("/read/x", method="GET")
        for _ in range(4):
            status, _, body, _ = await site.send("/post/x")
            assert (status, body) == (200, b"done")
        ids = [re.findall(rb"Request-Id: (\S+)", r)[0] for r in upstream.requests if b"/post" in r]
        assert len(ids) == len(set(ids)) == 4

    done = SIGNED + b"Sycamoreproxy-Request-Id: {id}\r\nContent-Length: 4\r\n\r\ndone"
    upstream = _ScriptedUpstream([refusal, 0.05, refusal, 0.3], [done, 0.3])
    _run_scripted(upstream, [2, 3], action)


#: Routes, and the first of the two runners that serve each.
_HELD_ROUTES = [("/ask/x", 0), ("/read/x", 2), ("/post/x", 2)]


@pytest.mark.parametrize(("path", "first"), _HELD_ROUTES)
def test_upstream_gets_nothing_for_the_time_that_its_503_names(path: str, first: int) -> None:
    headers = GENERATION_HEADERS if first == 0 else {}
    # Longer than the time limit of the test, so that a slow machine does not reach its end.
    hold_s = 30.0

    async def action(site: Site) -> None:
        for faults in site.faults[first : first + 2]:
            faults.replace({"shed": 1, "hold_s": str(hold_s)})
        begun_at, held_at = time.monotonic(), math.inf
        for _ in range(8):
            sent_at = time.monotonic()
            status, answer_headers, body, _ = await site.send(path, **headers)
            ended_at = time.monotonic()
            assert status == 503 and json.loads(body)["error"]["executed"] == "no"
            assert all(len(runner.received) == 1 for runner in site.runners[first : first + 2])
            # The hold begins during the first request; retries are spread over 0.19 s after its end.
            held_at = min(held_at, ended_at)
            retry_after_s = float(answer_headers["Retry-After"])
            assert ended_at + retry_after_s > begun_at + hold_s - 0.01
            assert sent_at + retry_after_s < held_at + hold_s + 0.2

    run_with_site(action)


@pytest.mark.parametrize(("path", "first"), _HELD_ROUTES)
def test_upstream_gets_requests_again_after_the_time_that_its_503_names(
    path: str, first: int
) -> None:
    headers = GENERATION_HEADERS if first == 0 else {}
    hold_s = 1.5

    async def action(site: Site) -> None:
        runners = site.runners[first : first + 2]
        for faults in site.faults[first : first + 2]:
            faults.replace({"shed": 1, "hold_s": str(hold_s)})
        assert (await site.send(path, **headers))[0] == 503
        held_at = time.monotonic()
        for faults in site.faults[first : first + 2]:
            faults.replace({})
        while True:
            sent_at = time.monotonic()
            status, _, body, _ = await site.send(path, **headers)
            if status == 200:
                break
            assert status == 503 and json.loads(body)["error"]["executed"] == "no"
            assert sent_at < held_at + hold_s
            await asyncio.sleep(0.02)
        times = [[at for at, _ in runner.arrived] for runner in runners]
        assert sorted(map(len, times)) == [1, 2]
        assert all(at - begun_at >= hold_s for begun_at, *later in times for at in later)

    run_with_site(action)


def test_held_upstream_leaves_its_requests_to_the_others() -> None:
    async def action(site: Site) -> None:
        site.faults[2].replace({"shed": 1, "hold_s": "30"})
        for _ in range(10):
            assert (await site.send("/post/x"))[0] == 200
        assert len(site.runners[2].received) <= 1

    run_with_site(action)


@pytest.mark.parametrize(("path", "number"), [("/read/x", 2), ("/ask/x", 0)])
def test_request_on_a_stale_connection_is_served_although_the_loop_was_blocked(
    path: str, number: int
) -> None:
    """Requests with one attempt got 502 when a large configuration was read meanwhile."""

    async def action(site: Site) -> None:
        _change_routes(site, max_attempts=1)
        await _replace_runners(site, [number, number + 1], upstream)
        assert (await site.send(path, **GENERATION_HEADERS))[2] == EVENTS[0]
        sent = asyncio.create_task(site.send(path, **GENERATION_HEADERS))
        await _wait_until(upstream.second_received.is_set)
        upstream.close_while_loop_is_blocked(0.6)
        status, _, body, is_complete = await sent
        assert (status, body, is_complete) == (200, EVENTS[0], True)
        assert upstream.received == 3

    head = SIGNED + b"Content-Length: %d\r\n\r\n" % len(EVENTS[0])
    upstream = ClosingUpstream(answer=head + EVENTS[0], close_after_s=0.0)
    try:
        run_with_site(action)
    finally:
        upstream.stop()


@pytest.mark.parametrize(
    ("path", "timeouts_ms", "status", "is_complete"),
    [
        ("/read/x", (3000, 500), 200, True),
        ("/post/x", (3000, 500), 200, True),
        ("/ask/x", (3000, 500), 200, True),
        ("/once/x", (3000, 500), 200, True),
        ("/read/x", (500, 3000), 504, True),
        ("/post/x", (500, 3000), 504, True),
        ("/ask/x", (500, 3000), 200, False),
        ("/once/x", (500, 3000), 200, False),
    ],
)
def test_change_of_a_timeout_does_not_end_or_extend_a_request_in_progress(
    path: str, timeouts_ms: tuple[int, int], status: int, is_complete: bool
) -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 1000, "event_s": 0.2})
        old_ms, new_ms = timeouts_ms
        _change_routes(site, timeout_ms=old_ms)
        started_at = time.monotonic()
        headers = GENERATION_HEADERS if path in ("/ask/x", "/once/x") else {}
        sent = asyncio.create_task(site.send(path, Sycamoreproxy_Deadline_Ms="5000", **headers))
        await asyncio.sleep(0.3)
        _change_routes(site, version=3, timeout_ms=new_ms)
        answer = await sent
        duration_s = time.monotonic() - started_at
        assert (answer[0], answer[3]) == (status, is_complete)
        if status == 504:
            assert json.loads(answer[2])["error"]["code"] == 1307
        if old_ms < new_ms:
            assert 0.45 < duration_s < 0.8
        # Requests that arrive after the change have the new timeout.
        status_after = (await site.send(path, Sycamoreproxy_Deadline_Ms="5000", **headers))[0]
        assert (status_after == 504) == (new_ms < old_ms and not headers)

    run_with_site(action)


HELD = NOT_EXECUTED.replace(b"\r\nContent", b"\r\nRetry-After: 0.6\r\nContent")


def _hold_all(site: Site, seconds: float) -> None:
    catalog = site.front.dispatcher._catalog
    for record in catalog.list_all():
        catalog.hold(record, seconds)


@pytest.mark.parametrize(
    ("path", "answers", "is_held"),
    [
        ("/ask/x", [[UNFRAMED, EVENTS[0], 0.3, b"id: 2"], [UNFRAMED, *EVENTS[1:]]], True),
        ("/ask/x", [[0.3], [FRAMED, *EVENTS]], True),
        ("/read/x", [[0.3], [FRAMED, *EVENTS]], True),
        ("/ask/x", [[UNFRAMED, EVENTS[0], b"id: 2"], [HELD], [UNFRAMED, *EVENTS[1:]]], False),
        ("/ask/x", [[b""], [HELD], [FRAMED, *EVENTS]], False),
        ("/read/x", [[b""], [HELD], [FRAMED, *EVENTS]], False),
    ],
    ids=["resume", "start", "plain", "resume-refused", "start-refused", "plain-refused"],
)
def test_request_that_may_have_run_is_resent_after_a_short_hold(
    path: str, answers: list[list[bytes | float]], is_held: bool
) -> None:
    """Streams were cut, with seconds left, because all other upstreams were held."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=4000)
        if is_held:
            asyncio.get_running_loop().call_later(0.1, _hold_all, site, 0.8)
        started_at = time.monotonic()
        status, _, body, is_complete = await site.send(
            path, Sycamoreproxy_Deadline_Ms="4000", **PROMPT
        )
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == len(answers)
        assert 0.6 <= time.monotonic() - started_at < 1.5

    upstream = _ScriptedUpstream(*answers)
    _run_scripted(upstream, [0, 1, 2, 3], action)


@pytest.mark.parametrize("hold_s", [1.95, 30.0])
@pytest.mark.parametrize(
    ("path", "answer", "status"),
    [("/ask/x", [UNFRAMED, EVENTS[0], 0.3], 200), ("/ask/x", [0.3], 502), ("/read/x", [0.3], 502)],
    ids=["resume", "start", "plain"],
)
def test_request_that_may_have_run_ends_at_once_in_a_hold_that_is_too_long(
    path: str, answer: list[bytes | float], status: int, hold_s: float
) -> None:
    async def action(site: Site) -> None:
        asyncio.get_running_loop().call_later(0.1, _hold_all, site, hold_s)
        started_at = time.monotonic()
        result = await site.send(path, **PROMPT)
        assert result[0] == status
        if status == 200:
            assert (result[2], result[3]) == (EVENTS[0], False)
        assert time.monotonic() - started_at < 0.8

    incomplete = [*answer, b"id: 2"] if status == 200 else answer
    _run_scripted(_ScriptedUpstream(incomplete), [0, 1, 2, 3], action)


@pytest.mark.parametrize(("requests_per_s", "is_complete"), [(2.0, True), (0.05, False)])
def test_stream_that_has_begun_waits_for_a_permit_within_its_time(
    requests_per_s: float, is_complete: bool
) -> None:
    """Streams were cut, with seconds left, because all other upstreams had named a limit."""

    def limit_all(site: Site) -> None:
        dispatcher = site.front.dispatcher
        for record in dispatcher._catalog.list_all():
            notice = LimitNotice(record.instance, record.started_ms, requests_per_s, 0.0)
            dispatcher._limits.receive_notice(notice)
            dispatcher._limits.use_permit(record)

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=4000)
        asyncio.get_running_loop().call_later(0.1, limit_all, site)
        started_at = time.monotonic()
        status, _, body, is_whole = await site.send(
            "/ask/x", Sycamoreproxy_Deadline_Ms="4000", **PROMPT
        )
        expected = b"".join(EVENTS) if is_complete else EVENTS[0]
        assert (status, body, is_whole) == (200, expected, is_complete)
        assert time.monotonic() - started_at < 2.3

    upstream = _ScriptedUpstream([UNFRAMED, EVENTS[0], 0.3, b"id: 2"], [UNFRAMED, *EVENTS[1:]])
    _run_scripted(upstream, [0, 1], action)


@pytest.mark.parametrize(
    ("timeout_ms", "deadline_ms", "order"),
    [
        (2000, 1900, "on time 0"),
        (3000, 1900, "on time 0"),
        (60_000, 1900, "on time 0"),
        (2000, 1600, "late 0"),
        (3000, 1600, "late 0"),
    ],
)
def test_new_request_of_a_route_with_a_longer_timeout_is_not_queued_as_a_retry(
    timeout_ms: int, deadline_ms: int, order: str
) -> None:
    """After a configuration had raised a timeout, all requests queued as if refused before."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=timeout_ms, target_latency_ms=400)
        await site.send("/ask/x", **GENERATION_HEADERS)
        for faults in site.faults:
            faults.replace({"event_s": 0.3})
        headers = {**GENERATION_HEADERS, "Sycamoreproxy_Deadline_Ms": str(deadline_ms)}
        sent = [asyncio.create_task(site.send("/ask/x", **headers)) for _ in range(40)]
        await _wait_until(lambda: site.front.dispatcher.has_waiting)
        orders = site.front.dispatcher.count_waiting()["model"]
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        assert [name for name, count in orders.items() if count] == [order]

    run_with_site(action)
