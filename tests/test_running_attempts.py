"""Several attempts of one request at silent upstreams."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
import structlog

from sycamoreproxy.routed_dispatch import MAX_UNEXECUTED_RESENDS
from sycamoreproxy.watched_documents import Document
from tests.test_routed_entry import (
    EVENTS,
    FAILED,
    FRAMED,
    NOT_EXECUTED,
    PROMPT,
    SILENCE_S,
    SILENT_ANSWERS,
    UNFRAMED,
    Site,
    _change_routes,
    _put,
    _put_upstream,
    _read_answer,
    _run_scripted,
    _ScriptedUpstream,
)

Answer = list[bytes | float]

#: Bytes that the responses of all requests may hold in these tests.
BUFFER_BYTES = 60_000
OWN_FAILURE = (
    b"HTTP/1.1 500 Error\r\nSycamoreproxy-Request-Id: {id}\r\n"
    b"Sycamoreproxy-Response-Signature: sig.x\r\nContent-Length: 4\r\n\r\noops"
)


async def _send(site: Site, path: str, timeout_ms: int = 6000) -> tuple[int, bytes, bool]:
    _change_routes(site, timeout_ms=timeout_ms)
    status, _, body, is_complete = await site.send(
        path, Sycamoreproxy_Deadline_Ms=str(timeout_ms), **PROMPT
    )
    return status, body, is_complete


def test_request_of_a_silent_upstream_does_not_begin_on_a_version_that_ended_meanwhile() -> None:
    async def action(site: Site) -> None:
        targets = site.front.dispatcher._targets
        with structlog.testing.capture_logs() as lines:
            sending = asyncio.create_task(_send(site, "/ask/x"))
            await asyncio.sleep(0.2)
            targets.set_bound(1.6)
            targets.set_target("m1", 2, is_first_read=False)
            views = site.front.dispatcher._selector._views_by_instance.values()
            silent = next(view.instance for view in views if view.in_flight_by_number)
            other = "scripted-1" if silent == "scripted-0" else "scripted-0"
            document = site.replica.get(f"servers/{other}")
            assert document is not None and document.value is not None
            value = json.loads(document.value)
            _put(site, f"servers/{other}", value | {"models": [{"name": "m1", "version": 2}]})
            assert await sending == (200, b"".join(EVENTS), True)
        assert len(upstream.requests) == 2
        assert not [line for line in lines if line["event"] == "answer began on an ended version"]

    head = FRAMED.replace(b"\r\n\r\n", b"\r\nSycamoreproxy-Weight-Versions: %d\r\n\r\n")
    upstream = _ScriptedUpstream([2.6, head % 1, *EVENTS], [1.9, head % 2, *EVENTS])
    _run_scripted(upstream, [0, 1], action)


@pytest.mark.parametrize(
    ("answers", "expected", "arrivals"),
    [
        pytest.param(
            [*[[NOT_EXECUTED]] * MAX_UNEXECUTED_RESENDS, [9.0], [FRAMED, *EVENTS]],
            200,
            MAX_UNEXECUTED_RESENDS + 2,
            id="refused-before-the-silence",
        ),
        pytest.param(
            [[3.0], [NOT_EXECUTED]],
            502,
            MAX_UNEXECUTED_RESENDS + 2,
            id="refused-beside-the-silence",
        ),
    ],
)
def test_refused_resends_are_limited_beside_a_silent_upstream(
    answers: list[Answer], expected: int, arrivals: int
) -> None:
    async def action(site: Site) -> None:
        for number in range(4, 9):
            _put_upstream(site, f"scripted-{number}", "ledger", await upstream.listen())
        assert (await _send(site, "/read/x"))[0] == expected
        assert len(upstream.requests) == arrivals

    upstream = _ScriptedUpstream(*answers)
    _run_scripted(upstream, [2, 3], action)


def test_buffer_of_a_withdrawn_attempt_is_free_for_the_one_that_responds() -> None:
    async def action(site: Site) -> None:
        site.front.dispatcher.buffer_budget.max_bytes = BUFFER_BYTES
        assert await _send(site, "/ask/x") == (200, EVENTS[0] + EVENTS[1] + long_event, True)
        await asyncio.sleep(0.1)
        assert site.front.dispatcher.buffer_budget.total == 0

    long_event = b"id: 3\ndata: " + b"x" * BUFFER_BYTES + b"\n\n"
    upstream = _ScriptedUpstream(
        [UNFRAMED, EVENTS[0], b"id: 2\ndata: " + b"x" * 50_000, 4.0],
        [UNFRAMED, 0.2, EVENTS[1] + long_event[:60_000], 0.2, long_event[60_000:]],
    )
    _run_scripted(upstream, [0, 1], action)


def test_response_that_ends_before_its_first_event_does_not_complete_a_stream() -> None:
    async def action(site: Site) -> None:
        assert await _send(site, "/ask/x") == (200, b"".join(EVENTS), True)

    upstream = _ScriptedUpstream(
        [FRAMED, EVENTS[0], EVENTS[1][:9], SILENCE_S + 0.6, EVENTS[1][9:], EVENTS[2]], [UNFRAMED]
    )
    _run_scripted(upstream, [0, 1], action)


def test_checks_of_a_silent_request_do_not_ask_for_permits() -> None:
    """Permits would be issued for a request that is not sent, and others would lack them."""

    async def action(site: Site) -> None:
        limits = site.front.dispatcher._limits
        calls: list[int] = []
        limits.request_permits = lambda records, *, level: calls.append(level)  # type: ignore
        site.replica.apply(Document("servers/scripted-1", 2, None), source="test")
        assert (await _send(site, "/ask/x"))[0] == 200
        assert len(calls) <= 2

    _run_scripted(_ScriptedUpstream([3.5, FRAMED, *EVENTS]), [0, 1], action)


@pytest.mark.parametrize(
    "answers",
    [
        [[FRAMED, EVENTS[0], EVENTS[1][:9], 9.0], [UNFRAMED, EVENTS[1][:9], 9.0]],
        [[9.0], [9.0]],
        [[FRAMED, EVENTS[0], SILENCE_S, *EVENTS[1:]], [9.0]],
        [[FRAMED, EVENTS[0], 9.0], [UNFRAMED, 0.2, *EVENTS[1:]]],
    ],
)
@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("path", ["/ask/x", "/read/x"])
def test_nothing_is_left_of_a_request_with_two_attempts(
    answers: list[Answer], leaves: bool, path: str
) -> None:
    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        lost: list[Any] = []
        dispatcher.on_lost = lambda record, parts: lost.append(record)
        sending = asyncio.create_task(_send(site, path, timeout_ms=3500))
        while len(upstream.requests) < 2:
            await asyncio.sleep(0.01)
        if leaves:
            sending.cancel()
        await asyncio.wait({sending})
        await asyncio.sleep(0.1)
        views = dispatcher._selector._views_by_instance.values()
        assert not [view.instance for view in views if view.in_flight_by_number]
        assert dispatcher.buffer_budget.total == 0
        assert not [item for item in dispatcher._clients_by_address.values() if item._in_use]
        if leaves:
            assert not lost

    upstream = _ScriptedUpstream(*answers)
    _run_scripted(upstream, [0, 1, 2, 3], action)


@pytest.mark.parametrize("path", ["/ask/first", "/read/x"])
def test_failure_of_one_upstream_does_not_replace_the_response_of_a_silent_one(path: str) -> None:
    async def action(site: Site) -> None:
        assert await _send(site, path) == (200, b"".join(EVENTS), True)

    upstream = _ScriptedUpstream([SILENCE_S + 0.9, FRAMED, *EVENTS], [OWN_FAILURE])
    _run_scripted(upstream, [0, 1, 2, 3], action)


@pytest.mark.parametrize("timeouts_ms", [(6000, 9000), (9000, 6000)], ids=["raised", "lowered"])
@pytest.mark.parametrize("path", ["/ask/x", "/read/x"])
def test_kept_connection_with_a_silent_upstream_survives_changes_of_the_configuration(
    path: str, timeouts_ms: tuple[int, int]
) -> None:
    async def action(site: Site) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        fields = {"Host": "office.example", "X-Api-Key": "office-key", "Content-Length": "0"}
        fields |= {name.replace("_", "-"): value for name, value in PROMPT.items()}
        for number in range(3):
            _change_routes(site, timeout_ms=timeouts_ms[0])
            fields["Sycamoreproxy-Request-Id"] = f"kept-{number}"
            fields["Sycamoreproxy-Deadline-Ms"] = "6000"
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())
            answer = asyncio.create_task(_read_answer(reader))
            await asyncio.sleep(0.3)
            assert not answer.done()
            _change_routes(site, timeout_ms=timeouts_ms[1])
            status, _, body, is_complete = await answer
            assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
        writer.close()

    upstream = _ScriptedUpstream(*[SILENT_ANSWERS[path], [FAILED]] * 3)
    _run_scripted(upstream, [0, 1, 2, 3], action)
