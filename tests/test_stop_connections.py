"""Tests of callers' connections in a stop of an entry host, with real sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import time

import pytest
import structlog.testing
from tornado.httputil import HTTPHeaders

from sycamoreproxy.answer_relay import TimeLimit
from sycamoreproxy.caller_request import CallerRequest
from sycamoreproxy.idle_connections import STOP_WAIT_S
from sycamoreproxy.placement import LoadReport
from sycamoreproxy.route_table import CallerBounds
from sycamoreproxy.routed_dispatch import LEAVING_SPREAD_S
from sycamoreproxy.routed_http import CallerReply
from tests.test_caller_connections import _Connection, _make_request
from tests.test_routed_entry import (
    GENERATION_HEADERS,
    Site,
    _change_routes,
    _read_answer,
    _wait_until,
    run_with_site,
)


def test_stop_logs_what_it_closes() -> None:
    """Callers saw closed connections, and no line of the host told why."""

    async def action(site: Site) -> None:
        async with _Connection(site) as idle, _Connection(site) as uploading:
            assert (await idle.request())[0] == 200
            uploading.send_at_once(_make_request(b"body")[:-4])
            await _wait_until(lambda: site.front.receiving)
            await asyncio.sleep(STOP_WAIT_S)
            unaccepted = socket.create_connection(("127.0.0.1", site.port))
            with unaccepted, structlog.testing.capture_logs() as lines:
                await site.front.close(wait_s=0.2)
        by_event = {line["event"]: line for line in lines}
        begun = by_event["stop begins to close connections"]
        assert (begun["open"], begun["unaccepted"], begun["closed_idle"]) == (2, 1, 1)
        assert (begun["receiving"], begun["in_progress"]) == (1, 0)
        ended = by_event["stop closed all connections"]
        assert (ended["unaccepted"], ended["closed_idle"], ended["cut"]) == (1, 2, 1)
        cut = by_event["connection closed after its request was read"]
        assert (cut["request"], cut["reason"], cut["is_stopping"]) == ("a", "body incomplete", True)

    run_with_site(action)


def test_stop_counts_the_requests_that_it_refuses() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"delay_ms": 3000})
        sending = asyncio.create_task(site.send("/read/x", Sycamoreproxy_Deadline_Ms="9000"))
        await _wait_until(lambda: any(runner.received for runner in site.runners))
        with structlog.testing.capture_logs() as lines:
            await site.front.close(wait_s=0.5)
        (line,) = [line for line in lines if line["event"] == "stop closed all connections"]
        assert (line["refused"], line["cut"]) == (1, 0)
        assert (await sending)[0] == 504

    run_with_site(action)


@pytest.mark.parametrize(
    ("deadline_ms", "timeout_ms", "limit"),
    [
        (300, 9000, TimeLimit.CALLER),
        (9000, 300, TimeLimit.ROUTE),
        (9000, 9000, TimeLimit.STOP),
    ],
)
def test_log_line_of_a_cut_stream_names_the_limit_that_ended_it(
    deadline_ms: int, timeout_ms: int, limit: TimeLimit
) -> None:
    """Streams cut by their caller's deadline and by their route's timeout looked the same."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=timeout_ms)
        for faults in site.faults:
            faults.replace({"event_s": 0.4})
        headers = GENERATION_HEADERS | {"Sycamoreproxy_Deadline_Ms": str(deadline_ms)}
        with structlog.testing.capture_logs() as lines:
            sending = asyncio.create_task(site.send("/ask/x", **headers))
            await _wait_until(lambda: site.count_runs())
            if limit is TimeLimit.STOP:
                site.front.dispatcher.end_requests_within(0.3)
            assert not (await sending)[3]
        (line,) = [line for line in lines if line["event"] == "request ended"]
        assert (line["code"], line["detail"]) == (1307, limit)
        assert (line["caller_ms"], line["timeout_ms"]) == (deadline_ms, timeout_ms)
        assert line["output_max"] == 25

    run_with_site(action)


def test_response_that_the_process_cuts_has_a_log_line() -> None:
    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"cut_after_events": 2})
        with structlog.testing.capture_logs() as lines:
            _, _, _, is_complete = await site.send("/once/x", **GENERATION_HEADERS)
        assert not is_complete
        (line,) = [line for line in lines if line["event"].startswith("connection closed after")]
        assert (line["reason"], line["is_stopping"]) == ("response cut", False)
        assert line["request"].startswith("id")

    run_with_site(action)


def test_request_that_is_read_on_a_closed_connection_has_a_log_line() -> None:
    async def action(site: Site) -> None:
        async with _Connection(site) as connection:
            connection.send_at_once(_make_request(b"body")[:-4])
            await _wait_until(lambda: site.front.receiving)
            (exchange,) = site.front.receiving
            exchange._connection.close()
            with structlog.testing.capture_logs() as lines:
                exchange.finish()
        (line,) = [line for line in lines if line["event"].startswith("request dropped")]
        assert line["request"] == "a"

    run_with_site(action)


@pytest.mark.parametrize("answer_tokens", [25, 0], ids=["long", "of unknown length"])
@pytest.mark.parametrize("path", ["/ask/x", "/once/x", "/order/x"])
def test_generation_that_may_outlast_a_stop_is_not_begun_in_the_close(
    path: str, answer_tokens: int
) -> None:
    """A generation that took longer than the forecast was cut, or answered with 504, at the end."""

    async def action(site: Site) -> None:
        for faults in site.faults:
            faults.replace({"event_s": 0.5})
        headers = _make_generation_headers(answer_tokens)
        answer = await _send_in_the_close(site, path, headers)
        status, answer_headers, body, is_complete = answer
        assert (status, is_complete) == (503, True)
        error = json.loads(body)["error"]
        assert (error["code"], error["executed"]) == (1207, "no")
        assert float(answer_headers["Retry-After"]) <= LEAVING_SPREAD_S
        assert not any(runner.received for runner in site.runners)

    run_with_site(action)


@pytest.mark.parametrize(
    ("answer_tokens", "pace", "status"),
    [(25, 1.0, 200), (3000, 1.0, 503), (25, 150.0, 503), (0, 1.0, 200)],
    ids=["short", "long", "slow engine", "of unknown length"],
)
@pytest.mark.parametrize("path", ["/ask/x", "/once/x", "/order/x"])
def test_generation_that_is_likely_to_outlast_a_stop_is_not_begun(
    path: str, answer_tokens: int, pace: float, status: int
) -> None:
    """The forecast of a mean response let streams begin that the stop cut."""

    async def action(site: Site) -> None:
        for runner in site.runners[:2]:
            report = LoadReport(
                received_at=time.monotonic(),
                running=0,
                waiting=0,
                pace=pace,
                version_by_model=(("m1", 1),),
            )
            site.front.dispatcher._selector.update_report(runner.instance, report)
        site.front.leave()
        site.front.dispatcher.end_requests_within(1.5, closes_in_s=1.0)
        answer = await site.send(path, **_make_generation_headers(answer_tokens))
        assert (answer[0], answer[3]) == (status, True)
        if status == 503:
            assert float(answer[1]["Retry-After"]) <= LEAVING_SPREAD_S
            assert not site.count_runs()

    run_with_site(action)


def test_generation_is_not_queued_in_a_stop_until_its_response_outlasts_it() -> None:
    """Requests waited for an engine up to 2.6 s and were then refused as too long for the stop."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=9000, target_latency_ms=2000)
        for faults in site.faults[:2]:
            faults.replace({"read_s": 3.0})
        headers = _make_generation_headers(6000)
        filling = [asyncio.create_task(site.send("/once/x", **headers)) for _ in range(24)]
        await _wait_until(lambda: site.front.dispatcher.has_waiting)
        site.front.leave()
        site.front.dispatcher.end_requests_within(4.1, closes_in_s=2.0)
        started_at = time.monotonic()
        sending = asyncio.create_task(site.send("/order/x", **headers))
        while not sending.done():
            site.front.dispatcher.dispatch_waiting()
            await asyncio.sleep(0.02)
        status, _, body, _ = sending.result()
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (503, 1207, "no")
        assert time.monotonic() - started_at < 2.0
        for task in filling:
            task.cancel()

    run_with_site(action)


@pytest.mark.parametrize("path", ["/read/x", "/post/x"])
@pytest.mark.parametrize(("deadline_ms", "status"), [(500, 200), (9000, 503)])
def test_plain_request_that_may_outlast_a_stop_is_not_begun_in_the_close(
    path: str, deadline_ms: int, status: int
) -> None:
    async def action(site: Site) -> None:
        headers = {"Sycamoreproxy_Deadline_Ms": str(deadline_ms)}
        answer = await _send_in_the_close(site, path, headers)
        assert (answer[0], answer[3]) == (status, True)
        assert site.count_runs() == (status == 200)

    run_with_site(action)


def _make_generation_headers(answer_tokens: int) -> dict[str, str]:
    """Return the headers of a generation with a limit on its tokens; 0 for none."""
    return GENERATION_HEADERS | {
        "Sycamoreproxy_Token_Count": f"100,{answer_tokens}" if answer_tokens else "100",
        "Sycamoreproxy_Deadline_Ms": "9000",
    }


async def _send_in_the_close(
    site: Site, path: str, headers: dict[str, str]
) -> tuple[int, dict[str, str], bytes, bool]:
    """Stop the host and send a request on a new connection; return its response as `Site.send`."""
    async with _Connection(site) as connection:
        closing = asyncio.create_task(site.front.close(wait_s=1.6))
        await asyncio.sleep(0.1)
        fields = "".join(f"{name.replace('_', '-')}: {text}\r\n" for name, text in headers.items())
        connection.send_at_once(
            f"POST {path} HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
            f"X-Api-Key: office-key\r\nContent-Length: 0\r\n{fields}\r\n".encode()
        )
        answer = await _read_answer(connection._reader)
        await closing
    return answer


async def _read_status(caller: socket.socket) -> int:
    """Return the status of the next response; 0 without a response."""
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        status, _, _, is_complete = await _read_answer(reader)
    except ConnectionError:
        return 0
    finally:
        writer.close()
    return status if is_complete else 0


@pytest.mark.parametrize("callers", [1, 20, 300])
def test_requests_in_the_accept_queue_at_a_stop_are_answered(callers: int) -> None:
    """They were reset: the listener was closed with the connections that nobody had accepted."""

    async def action(site: Site) -> None:
        connections = [socket.create_connection(("127.0.0.1", site.port)) for _ in range(callers)]
        for connection in connections:
            connection.send(_make_request())
        closing = asyncio.create_task(site.front.close(wait_s=3))
        statuses = await asyncio.gather(*(_read_status(each) for each in connections))
        assert statuses == [200] * callers
        await closing

    run_with_site(action)


def test_request_in_the_accept_queue_that_comes_too_late_in_a_stop_is_refused() -> None:
    async def action(site: Site) -> None:
        _change_routes(site, target_latency_ms=1000)
        with socket.create_connection(("127.0.0.1", site.port)) as connection:
            connection.send(_make_request())
            closing = asyncio.create_task(site.front.close(wait_s=0.5))
            assert await _read_status(connection) == 503
            await closing
        assert site.count_runs() == 0

    run_with_site(action)


@pytest.mark.parametrize("is_accepted", [False, True], ids=["in the accept queue", "accepted"])
@pytest.mark.parametrize("pause_s", [0.01, 0.3])
def test_first_request_on_a_connection_opened_just_before_a_stop_is_answered(
    is_accepted: bool, pause_s: float
) -> None:
    """The connection was closed before the caller had sent the request for which it opened it."""

    async def action(site: Site) -> None:
        async with _Connection(site) as connection:
            if is_accepted:
                await _wait_until(lambda: len(site.front._idle_connections))
            closing = asyncio.create_task(site.front.close(wait_s=3))
            await asyncio.sleep(pause_s)
            status, headers = await connection.request()
            assert (status, headers.get("Connection")) == (200, "close")
            await closing

    run_with_site(action)


@pytest.mark.parametrize(
    ("wait_s", "waited_s", "took_s"),
    [(3.0, 0.0, STOP_WAIT_S), (3.0, STOP_WAIT_S, 0.0), (0.1, 0.0, 0.1)],
    ids=["new", "not new", "end of the grace period"],
)
def test_stop_waits_for_a_request_on_a_new_connection_for_a_limited_time(
    wait_s: float, waited_s: float, took_s: float
) -> None:
    async def action(site: Site) -> None:
        async with _Connection(site) as connection:
            await _wait_until(lambda: len(site.front._idle_connections))
            await asyncio.sleep(waited_s)
            started_at = time.monotonic()
            closing = asyncio.create_task(site.front.close(wait_s=wait_s))
            await asyncio.sleep(0)
            site.front.set_bounds(CallerBounds(idle_timeout_s=30))
            assert await connection.read_response() == (0, {})
            await closing
            assert took_s - 0.05 < time.monotonic() - started_at < took_s + 0.3

    run_with_site(action)


@pytest.mark.parametrize("is_closing", [False, True], ids=["before the close", "in the close"])
def test_request_after_a_response_that_did_not_announce_the_close_is_answered(
    is_closing: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection of a response that had begun before SIGTERM was closed at its end."""

    async def action(site: Site) -> None:
        handle, ends = site.front.dispatcher.handle, asyncio.Event()

        async def respond_slowly(request: CallerRequest, reply: CallerReply) -> None:
            reply.start(200, HTTPHeaders({"Content-Length": "4"}), b"bo")
            await ends.wait()
            reply.write(b"dy")
            reply.finish()

        monkeypatch.setattr(site.front.dispatcher, "handle", respond_slowly)
        async with _Connection(site) as connection:
            connection.send_at_once(_make_request())
            await _wait_until(lambda: site.front.tasks)
            await asyncio.sleep(0.05)
            site.front.leave()
            closing = asyncio.create_task(site.front.close(wait_s=3)) if is_closing else None
            await asyncio.sleep(0.05)
            monkeypatch.setattr(site.front.dispatcher, "handle", handle)
            ends.set()
            assert (await connection.read_response())[0] == 200
            status, headers = await connection.request()
            assert (status, headers.get("Connection")) == (200, "close")
            if closing is not None:
                await closing

    run_with_site(action)
