"""Guards what callers get from an entry host: whole answers, true refusals, nothing run twice."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
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
from sycamoreproxy.placement import Need, UpstreamSelector
from sycamoreproxy.platform.documents import PlatformDocuments
from sycamoreproxy.platform.requests import PlatformDialect
from sycamoreproxy.resend_budget import ResendBudget
from sycamoreproxy.routed_dispatch import VERSION_MARGIN_S, RoutedDispatcher
from sycamoreproxy.routed_http import RoutedFront
from sycamoreproxy.upstream_book import UpstreamCatalog
from sycamoreproxy.watched_documents import DocumentReplica
from sycamoreproxy.weight_targets import WeightTargets
from tests._fake_hub import FakeHub
from tests._raw_upstream import PIECE_BYTES, SIGNED, RawUpstream

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
    """A store that is never asked."""


@dataclass
class Site:
    """An entry host before two runners of each service."""

    replica: DocumentReplica
    front: RoutedFront
    port: int
    runners: list[PlatformRunner]
    faults: list[Faults]
    servers: list[HTTPServer] = field(default_factory=list)

    async def ask(
        self, path: str, *, method: str = "POST", body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Send one request; return status, headers, body and whether the answer is whole."""
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

    def ran(self) -> int:
        """Return the runs of all runners."""
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


def play(action: Callable[[Site], Awaitable[None]], *, configured: bool = True) -> None:
    """Run an action against an entry host; runners 0 and 1 are engines, 2 and 3 the ledger's."""

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
        dispatcher = RoutedDispatcher(
            dialect=dialect,
            table=lambda: routing_state.table,
            catalog=catalog,
            selector=UpstreamSelector(
                clock=clock, availability_zone="z1", random_source=random.Random(1)
            ),
            targets=targets,
            budget_for=lambda service: budget,
            clock=clock,
            random_source=random.Random(1),
        )
        front = RoutedFront(dispatcher=dispatcher, dialect=dialect)
        socket, port = bind_unused_port()
        socket.close()
        front.listen("127.0.0.1", port)
        site = Site(replica, front, port, [], [])
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
    socket, port = bind_unused_port()
    server.add_socket(socket)
    site.servers.append(server)
    site.runners.append(runner)
    site.faults.append(faults)
    _put_upstream(site, runner.instance, "model" if number < 2 else "ledger", port)


def _put_upstream(site: Site, instance: str, service: str, port: int) -> None:
    _put(
        site,
        f"servers/{instance}",
        {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "models": [{"name": "m1", "version": 1}],
        },
    )


def _put(site: Site, key: str, value: Any) -> None:
    held = site.replica.get(key)
    revision = held.revision + 1 if held is not None else 1
    site.replica.apply(Document(key, revision, json.dumps(value).encode()), source="test")


async def _replace_runners(site: Site, numbers: Sequence[int], upstream: RawUpstream) -> None:
    """Put an upstream in trouble in the place of runners of one service."""
    await upstream.start()
    for number in numbers:
        instance = f"i-{number}"
        service = "model" if number < 2 else "ledger"
        site.replica.apply(Document(f"servers/{instance}", 2, None), source="test")
        site.front.dispatcher._catalog.note_replaced(instance)
        _put_upstream(site, f"raw-{number}", service, upstream.port)


def _check_cuts(lines: Sequence[Any], count: int, *, limit: int) -> None:
    """Check that answers were cut and told when they had passed a limit (bytes), not later."""
    cuts = [line for line in lines if line["event"] == "answer cut for its size"]
    assert len(cuts) == count
    for line in cuts:
        assert line["upstream"].startswith("raw-") and line["request"].startswith("id")
        assert limit < line["bytes"] <= limit + PIECE_BYTES


GENERATION = {"Sycamoreproxy_Model": "m1", "Sycamoreproxy_Token_Count": "100,25"}
WHOLE = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_stream_is_passed_on_whole(path: str) -> None:
    async def action(site: Site) -> None:
        status, headers, body, whole = await site.ask(path, **GENERATION)
        assert (status, body, whole) == (200, WHOLE, True)
        assert headers["Sycamoreproxy-Response-Signature"].startswith("sig.i-")

    play(action)


@pytest.mark.parametrize("cut", [1, 2, 4])
def test_cut_stream_goes_on_elsewhere_without_gap_or_repeat(cut: int) -> None:
    async def action(site: Site) -> None:
        site.faults[0].replace({"cut_after_events": cut})
        for _ in range(6):
            status, _, body, whole = await site.ask("/ask/x", **GENERATION)
            assert (status, body, whole) == (200, WHOLE, True)
        assert site.runners[0].ran and site.runners[1].ran

    play(action)


def test_stream_that_may_not_resume_ends_visibly_incomplete() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"cut_after_events": 2})
        status, _, body, whole = await site.ask("/once/x", **GENERATION)
        assert (status, whole) == (200, False) and WHOLE.startswith(body)
        assert site.ran() == 1

    play(action)


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
def test_refusal_says_not_run_only_if_it_is_true(
    path: str, fault: dict[str, Any], status: int, runs: int
) -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace(fault)
        found, headers, _, _ = await site.ask(path, body=b"deposit")
        assert (found, site.ran()) == (status, runs)
        assert ("Retry-After" in headers) is (status == 503)
        assert ("Sycamoreproxy-Response-Signature" in headers) is (status == 500)

    play(action)


@pytest.mark.parametrize("fault", [{"drop_before_answer": 1}, {"fail": 500}, {"wrong_id": 1}])
def test_idempotent_request_is_answered_by_another_upstream(fault: dict[str, Any]) -> None:
    async def action(site: Site) -> None:
        site.faults[2].replace(fault)
        for _ in range(4):
            status, _, body, _ = await site.ask("/read/x?q=1", body=b"b")
            assert status == 200 and json.loads(body) == {"path": "/read/x?q=1", "body": "b"}

    play(action)


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
        found, _, _, _ = await site.ask(path, X_Api_Key=key)
        assert found == status
        received = [headers for runner in site.runners for headers in runner.received]
        assert all("X-Api-Key" not in headers for headers in received)
        if status == 200 and key:
            assert received[0]["Sycamoreproxy-Tenant"] == "office"

    play(action)


def test_process_without_a_configuration_refuses_as_not_run() -> None:
    """A 404 or 401 would tell the caller that its request is wrong."""

    async def action(site: Site) -> None:
        status, headers, _, _ = await site.ask("/read/x")
        assert status == 503 and "Retry-After" in headers

    play(action, configured=False)


def test_caller_that_leaves_ends_its_run() -> None:
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

    play(action)


def test_time_limit_of_the_route_gives_a_final_answer() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 5000})
        status, headers, _, _ = await site.ask("/post/x", Sycamoreproxy_Deadline_Ms="300")
        assert status == 504 and "Retry-After" not in headers

    play(action)


def test_error_of_an_exchange_that_was_given_up_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that closed while its request was given up left a traceback without a request."""

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
        status, _, _, _ = await site.ask("/post/x", Sycamoreproxy_Deadline_Ms="300")
        await asyncio.sleep(0.05)
        gc.collect()
        assert status == 504 and not unread

    play(action)


def test_upstream_receives_the_time_that_is_left() -> None:
    async def action(site: Site) -> None:
        await site.ask("/read/x", Sycamoreproxy_Deadline_Ms="700")
        received = [headers for runner in site.runners for headers in runner.received]
        assert 500 < int(received[0]["Sycamoreproxy-Deadline-Ms"]) <= 700

    play(action)


def test_leaving_host_closes_connections_after_their_answer() -> None:
    async def action(site: Site) -> None:
        site.front.leave()
        status, headers, _, _ = await site.ask("/read/x")
        assert status == 200 and headers["Connection"] == "close"

    play(action)


def test_upstream_that_was_replaced_is_asked_once() -> None:
    async def action(site: Site) -> None:
        site.runners[2].instance = "i-new"
        for _ in range(8):
            status, _, _, _ = await site.ask("/read/x")
            assert status == 200
        assert len(site.runners[2].received) <= 1

    play(action)


def test_stopping_host_cuts_no_request_and_takes_none_on_kept_connections() -> None:
    """Requests on kept connections came seconds after SIGTERM and were cut with the process."""

    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 500})
        idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", site.port)
        await asyncio.sleep(0.05)
        running = asyncio.create_task(site.ask("/read/x", Sycamoreproxy_Deadline_Ms="1900"))
        await asyncio.sleep(0.1)
        await site.front.close(wait_s=3)
        status, _, _, whole = await running
        assert (status, whole) == (200, True)
        assert await idle_reader.read() == b""
        idle_writer.close()

    play(action)


@pytest.mark.parametrize("second", [{"shed": 1}, None])
def test_refusal_after_a_run_does_not_say_not_run(second: dict[str, Any] | None) -> None:
    """The second upstream refused unrun, or there was none, but the first one had run the request."""

    async def action(site: Site) -> None:
        for faults in site.faults[2:]:
            faults.replace({"drop_before_answer": 1})
        if second is None:
            site.replica.apply(Document("servers/i-3", 2, None), source="test")
            site.front.dispatcher._catalog.note_replaced("i-3")
        else:
            site.faults[3].replace(second)
        statuses = set()
        for _ in range(4):
            before = site.ran()
            status, headers, _, _ = await site.ask("/read/x")
            if site.ran() > before:
                statuses.add(status)
                assert "Retry-After" not in headers
        assert statuses == {502}

    play(action)


def test_engine_with_a_newer_version_than_the_lowest_permitted_one_is_used() -> None:
    """Requests expected the lowest permitted version, and engines with a newer one refused them."""

    async def action(site: Site) -> None:
        for number in range(2):
            site.runners[number].version = 3
            value = json.loads(site.replica.get(f"servers/i-{number}").value)  # type: ignore
            value["models"] = [{"name": "m1", "version": 3}]
            _put(site, f"servers/i-{number}", value)
        _put(site, "op/version/m1", {"model": "m1", "version": 2})
        status, _, body, whole = await site.ask("/ask/x", **GENERATION)
        assert (status, body, whole) == (200, WHOLE, True)
        assert sum(len(runner.received) for runner in site.runners) == 1
        received = [headers for runner in site.runners for headers in runner.received]
        assert received[0]["Sycamoreproxy-Expect-Version"] == "3"

    play(action)


def test_caller_that_leaves_while_it_gets_its_place_leaves_no_load_behind() -> None:
    """Its request counted as load of the engine for the life of the process."""

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        selector = dispatcher._selector
        for _ in range(20):
            assert dispatcher._choose("model", Need(level=0, model="m1"), any_room=True) is not None
        held = sum(len(selector.view(f"i-{number}").own_by_number) for number in range(2))
        asking = asyncio.create_task(site.ask("/ask/x", **GENERATION))
        await asyncio.sleep(0.1)
        (line,) = dispatcher._lines_by_service.values()
        assert len(line) == 1
        (task,) = site.front.tasks
        view = selector.view("i-0")
        view.own_by_number.clear()
        line.pump()
        task.cancel()
        await asyncio.sleep(0.05)
        left = sum(len(selector.view(f"i-{number}").own_by_number) for number in range(2))
        assert left < held and not view.own_by_number
        asking.cancel()

    play(action)


def test_request_that_is_being_received_at_a_stop_is_answered() -> None:
    """Its connection was closed right after it had been passed on, as no request was in progress."""

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

    play(action)


def test_request_on_a_closed_connection_is_not_passed_on() -> None:
    """A deposit that had been read when a stop closed its connection was run without an answer."""

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
        assert site.ran() == 0 and not site.front.tasks
        writer.close()

    play(action)


def test_request_that_has_not_begun_is_taken_back_before_the_bound_of_its_version() -> None:
    """It waited 2.1 s at a full engine and began 0.6 s after the bound."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"stall_s": 5})
        site.front.dispatcher._targets.set_bound(VERSION_MARGIN_S + 0.3)
        site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
        # Without it, the caller's deadline ends the request (1307).
        status, _, body, _ = await site.ask("/ask/x", Sycamoreproxy_Deadline_Ms="900", **GENERATION)
        assert status == 504 and json.loads(body)["error"]["code"] == 1303
        assert sum(runner.ran.total() for runner in site.runners[:2]) == 0

    play(action)


def test_stream_that_begins_on_an_ended_version_is_told() -> None:
    """Users saw answers of ended weights, and no log told which request began on which weights."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"stall_s": 0.6})
        with structlog.testing.capture_logs() as lines:
            asking = asyncio.create_task(site.ask("/once/x", **GENERATION))
            await asyncio.sleep(0.1)
            site.front.dispatcher._targets.set_bound(0.2)
            site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
            await asking
        (line,) = [item for item in lines if item["event"].startswith("answer began")]
        assert (line["version"], line["newest"]) == (1, 2)
        assert 150 <= line["ended_ms_ago"] < line["sent_ms_ago"]

    play(action)


def test_request_that_waited_is_not_sent_to_an_ended_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The lowest permitted version was found on arrival and kept while the request waited."""
    monkeypatch.setattr(weight_targets, "CUTOVER_FRACTION", 0.1)

    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        selector = dispatcher._selector
        for _ in range(20):
            dispatcher._choose("model", Need(level=0, model="m1"), any_room=True)
        asking = asyncio.create_task(site.ask("/ask/x", **GENERATION))
        await asyncio.sleep(0.05)
        dispatcher._targets.set_bound(1.0)
        dispatcher._targets.set_target("m1", 2, is_first_read=False)
        await asyncio.sleep(0.15)
        selector.view("i-0").own_by_number.clear()
        dispatcher.dispatch_waiting()
        await asyncio.sleep(0.1)
        assert not asking.done() and not site.runners[0].received
        site.runners[1].version = 2
        value = json.loads(site.replica.get("servers/i-1").value)  # type: ignore
        _put(site, "servers/i-1", value | {"models": [{"name": "m1", "version": 2}]})
        selector.view("i-1").own_by_number.clear()
        dispatcher.dispatch_waiting()
        status, _, body, whole = await asking
        assert (status, body, whole) == (200, WHOLE, True)
        assert site.runners[1].received[0]["Sycamoreproxy-Expect-Version"] == "2"

    play(action)


#: What an upstream in trouble sends without end: the rest of the head, and a piece of the body.
ENDLESS_BODIES = [
    (b"", b"x" * PIECE_BYTES),
    (b"Transfer-Encoding: chunked\r\n", b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"),
    (b"Content-Length: 60000000\r\n", b"x" * PIECE_BYTES),
]
#: Bytes that the kernel may hold between two ends on loopback, besides what a process has read.
KERNEL_BYTES = 16 * 1024 * 1024


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_answer_of_an_idempotent_request_is_cut_and_given_elsewhere(
    head: bytes, piece: bytes
) -> None:
    """The host kept up to 64 MiB for each request, until its caller left."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=SIGNED + head + b"\r\n", piece=piece)
        await _replace_runners(site, [2], upstream)
        with structlog.testing.capture_logs() as lines:
            for _ in range(6):
                status, _, body, _ = await site.ask("/read/x?q=1", body=b"b")
                assert status == 200 and json.loads(body) == {"path": "/read/x?q=1", "body": "b"}
        asked = len(upstream.requests)
        assert asked >= 1
        await upstream.wait_closed(asked)
        assert upstream.sent < asked * (MAX_BODY_BYTES + KERNEL_BYTES)
        _check_cuts(lines, asked, limit=MAX_BODY_BYTES)
        upstream.stop()

    play(action)


@pytest.mark.parametrize(("head", "piece"), ENDLESS_BODIES)
def test_endless_answer_of_a_deposit_is_cut_and_not_told_as_not_run(
    head: bytes, piece: bytes
) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=SIGNED + head + b"\r\n", piece=piece)
        await _replace_runners(site, [2, 3], upstream)
        status, headers, body, _ = await site.ask("/post/x", body=b"deposit")
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (502, 1308, "unknown")
        assert "Retry-After" not in headers
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        assert upstream.sent < MAX_BODY_BYTES + KERNEL_BYTES
        upstream.stop()

    play(action)


def test_longest_plain_answer_is_passed_on_unchanged() -> None:
    async def action(site: Site) -> None:
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        upstream = RawUpstream(
            head=head, piece=bytes(range(256)) * 256, pieces=MAX_BODY_BYTES // PIECE_BYTES
        )
        await _replace_runners(site, [2, 3], upstream)
        status, _, body, whole = await site.ask("/post/x", body=b"deposit")
        assert (status, whole) == (200, True)
        assert body == bytes(range(256)) * (MAX_BODY_BYTES // 256)
        upstream.stop()

    play(action)


STREAM_HEAD = SIGNED + b"Sycamoreproxy-Weight-Versions: 1\r\n\r\n"


@pytest.mark.parametrize("begun", [b"", b"id: 1\ndata: token 1\n\n"])
def test_event_without_an_end_is_cut_and_the_stream_goes_on_elsewhere(begun: bytes) -> None:
    """The host kept the event up to 64 MiB, until its caller left."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD + begun, piece=b"x" * PIECE_BYTES)
        await _replace_runners(site, [0], upstream)
        with structlog.testing.capture_logs() as lines:
            for _ in range(6):
                status, _, body, whole = await site.ask("/ask/x", **GENERATION)
                assert (status, body, whole) == (200, WHOLE, True)
        asked = len(upstream.requests)
        assert asked >= 1
        await upstream.wait_closed(asked)
        _check_cuts(lines, asked, limit=len(begun) + MAX_EVENT_BYTES)
        upstream.stop()

    play(action)


@pytest.mark.parametrize("begun", [b"", b"id: 1\ndata: token 1\n\n"])
def test_event_without_an_end_leaves_a_stream_that_may_not_resume_incomplete(begun: bytes) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD + begun, piece=b"x" * PIECE_BYTES)
        await _replace_runners(site, [0, 1], upstream)
        with structlog.testing.capture_logs() as lines:
            status, headers, body, whole = await site.ask("/once/x", **GENERATION)
        if begun:
            assert (status, body, whole) == (200, begun, False)
        else:
            assert (status, json.loads(body)["error"]["code"]) == (502, 1308)
            assert "Retry-After" not in headers
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        _check_cuts(lines, 1, limit=len(begun) + MAX_EVENT_BYTES)
        upstream.stop()

    play(action)


def test_long_answers_at_once_are_bounded_together(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each was within its own bound, and thirty of them filled the memory of a host."""
    # An eighth of the real bounds, so that a busy machine sends the answers in the callers' time.
    longest, most_held = MAX_BODY_BYTES // 8, MAX_BUFFERED_BYTES // 8
    monkeypatch.setattr("sycamoreproxy.answer_relay.MAX_BODY_BYTES", longest)
    monkeypatch.setattr("sycamoreproxy.held_bytes.MAX_BUFFERED_BYTES", most_held)

    async def action(site: Site) -> None:
        # Nearly the longest body, after which the upstream sends nothing more; four fit.
        upstream = RawUpstream(
            head=SIGNED + b"\r\n",
            piece=b"x" * PIECE_BYTES,
            pieces=longest // PIECE_BYTES - 1,
        )
        await _replace_runners(site, [2, 3], upstream)
        held = site.front.dispatcher.held
        asking = [asyncio.create_task(site.ask("/post/x")) for _ in range(12)]
        most = 0
        while not all(task.done() for task in asking):
            most = max(most, held.total)
            await asyncio.sleep(0.01)
        assert most_held - longest < most <= most_held
        answers = [(task.result()[0], json.loads(task.result()[2])["error"]) for task in asking]
        assert Counter((status, error["code"]) for status, error in answers) == {
            (502, 1308): 8,
            (504, 1307): 4,
        }
        assert {error["executed"] for _, error in answers} == {"unknown"}
        await upstream.wait_closed(12)
        assert held.total == 0
        upstream.stop()

    play(action)


@pytest.mark.parametrize("size", [RESERVED_BYTES, RESERVED_BYTES + 1])
def test_short_answers_are_given_while_long_ones_fill_the_host(size: int) -> None:
    """An upstream in trouble must not cost the answers of the others."""

    async def action(site: Site) -> None:
        assert site.front.dispatcher.held.resize(0, MAX_BUFFERED_BYTES + RESERVED_BYTES)
        head = SIGNED + b"Content-Length: %d\r\n\r\n" % size
        upstream = RawUpstream(head=head, piece=b"x" * size, pieces=1)
        await _replace_runners(site, [2, 3], upstream)
        status, headers, body, _ = await site.ask("/post/x")
        if size <= RESERVED_BYTES:
            assert (status, body) == (200, b"x" * size)
        else:
            error = json.loads(body)["error"]
            assert (status, error["code"], error["executed"]) == (502, 1308, "unknown")
            assert "Retry-After" not in headers
        assert site.front.dispatcher.held.total == MAX_BUFFERED_BYTES
        status, _, body, whole = await site.ask("/ask/x", **GENERATION)
        assert (status, body, whole) == (200, WHOLE, True)
        upstream.stop()

    play(action)


def test_event_that_is_not_whole_counts_among_the_bytes_held() -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=b"x" * PIECE_BYTES, pieces=2)
        await _replace_runners(site, [0, 1], upstream)
        held = site.front.dispatcher.held
        asking = asyncio.create_task(site.ask("/once/x", **GENERATION))
        while held.total < 2 * PIECE_BYTES - RESERVED_BYTES:
            await asyncio.sleep(0.01)
        status, _, _, _ = await asking
        assert (status, held.total) == (504, 0)
        upstream.stop()

    play(action)


#: Whole events without end, a little under the size of a piece.
ENDLESS_EVENTS = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 2700))


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_endless_series_of_events_is_cut_and_does_not_look_complete(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another upstream has no events after the last id, and would end the stream as complete."""
    limit = 16 * PIECE_BYTES
    monkeypatch.setattr("sycamoreproxy.answer_relay.MAX_BODY_BYTES", limit)

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=ENDLESS_EVENTS)
        await _replace_runners(site, [0], upstream)
        with structlog.testing.capture_logs() as lines:
            while not upstream.requests:
                status, _, body, whole = await site.ask(path, **GENERATION)
        assert (status, whole) == (200, False)
        assert len(body) <= limit and body.startswith(ENDLESS_EVENTS)
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        _check_cuts(lines, 1, limit=limit)
        upstream.stop()

    play(action)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_endless_series_of_events_is_not_kept_for_a_caller_that_reads_nothing(path: str) -> None:
    """The host kept what its caller had not read: 64 MiB of one request."""

    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=ENDLESS_EVENTS)
        await _replace_runners(site, [0, 1], upstream)
        # With a small receive buffer little of the stream leaves the process.
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
                **GENERATION,
            }.items()
        )
        with structlog.testing.capture_logs() as lines:
            caller.sendall(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())
            most = 0
            while not upstream.closed:
                most = max(most, site.front.dispatcher.held.total)
                await asyncio.sleep(0)
        (cut,) = [line for line in lines if line["event"] == "answer cut for its size"]
        assert cut["reason"] == "the caller does not read it"
        assert len(upstream.requests) == 1
        assert most <= MAX_UNSENT_BYTES + PIECE_BYTES
        assert upstream.sent < MAX_UNSENT_BYTES + KERNEL_BYTES
        assert site.front.dispatcher.held.total == 0
        # The upstream is sound; its failures would keep other requests away from it.
        views = [site.front.dispatcher._selector.view(f"raw-{number}") for number in range(2)]
        assert [view.failure_rate for view in views] == [0, 0]
        caller.close()
        upstream.stop()

    play(action)


@pytest.mark.parametrize(
    ("path", "status", "code"), [("/read/x", 200, None), ("/post/x", 504, 1307)]
)
def test_answer_sent_slowly_without_end_ends_in_time(
    path: str, status: int, code: int | None
) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=SIGNED + b"\r\n", piece=b"x", pause_s=0.01)
        await _replace_runners(site, [2, 3] if code else [2], upstream)
        while not upstream.requests:
            found, headers, body, _ = await site.ask(path)
            assert found == status and "Retry-After" not in headers
        if code:
            error = json.loads(body)["error"]
            assert (error["code"], error["executed"]) == (code, "unknown")
        await upstream.wait_closed(1)
        assert len(upstream.requests) == 1
        upstream.stop()

    play(action)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
def test_event_sent_slowly_without_end_ends_in_time(path: str) -> None:
    async def action(site: Site) -> None:
        upstream = RawUpstream(head=STREAM_HEAD, piece=b"x", pause_s=0.01)
        await _replace_runners(site, [0, 1], upstream)
        status, headers, _, _ = await site.ask(path, **GENERATION)
        assert status == 504 and "Retry-After" not in headers
        await upstream.wait_closed(len(upstream.requests))
        upstream.stop()


def test_stream_that_may_not_run_twice_does_not_begin_on_an_ended_version() -> None:
    """Only requests that may be repeated were taken back before the bound of their version."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"stall_s": VERSION_MARGIN_S + 0.7})
        site.front.dispatcher._targets.set_bound(VERSION_MARGIN_S + 0.3)
        site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
        await site.ask("/once/x", **GENERATION)
        assert sum(runner.ran.total() for runner in site.runners[:2]) == 0

    play(action)


def test_request_whose_connection_opens_late_does_not_reach_a_leaving_upstream(
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
        # 0.9 s after the notice, requests may still be sent; the bound is 2 s.
        await asyncio.sleep(0.9)
        await site.ask("/post/x")
        assert not [r.received for r in site.runners[2:] if r.received]

    play(action)


def test_plain_answer_that_may_not_run_twice_is_not_cut_when_its_version_ends() -> None:
    """Nothing tells whether it has begun, and cutting it would lose an answer that was made."""

    async def action(site: Site) -> None:
        for faults in site.faults[:2]:
            faults.replace({"delay_ms": 600})
        site.front.dispatcher._targets.set_bound(VERSION_MARGIN_S + 0.3)
        site.front.dispatcher._targets.set_target("m1", 2, is_first_read=False)
        status, _, _, whole = await site.ask("/order/x", Sycamoreproxy_Model="m1")
        assert (status, whole, site.ran()) == (200, True, 1)

    play(action)
