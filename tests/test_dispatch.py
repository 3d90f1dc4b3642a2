"""Guards against truncated or mixed-up responses and duplicate execution when a component fails."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any

import pytest
import structlog.testing
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy import dispatch
from sycamoreproxy import result_codes as codes
from sycamoreproxy.claims import ClaimRegistry
from sycamoreproxy.messages import Finish, Output, Refuse, ResponseHead, Started, Submit
from sycamoreproxy.peers import Peer
from tests._entry import (
    DONE,
    EVENT_STREAM,
    EVENTS,
    MODEL,
    Entry,
    ScriptedUpstream,
    make_response_messages,
    respond_plain,
    respond_stream,
    send_response,
    with_entry,
)

STREAM = json.dumps(
    {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": "?"}]}
).encode()
PLAIN = STREAM.replace(b"true", b"false")
CHAT = "/v1/chat/completions"
LEDGER = "/services/ledger/x"
#: Number of response messages sent before the fault.
PHASES = {"submit": 0, "started": 1, "head": 2, "outputs": 4, "all outputs": 6}


def _close(peer: Peer, attempt_id: str) -> None:
    # Delayed so that the messages already queued are sent first.
    asyncio.get_running_loop().call_later(0.02, peer.close)


FAULTS: dict[str, Callable[[Peer, str], Any]] = {
    "close": _close,
    "digest": lambda peer, attempt_id: peer.send(Finish(attempt_id, 99, "00", 5, 4, "v1")),
    "gap": lambda peer, attempt_id: peer.send(Output(attempt_id, 77, b"data: {}\n\n", 1)),
    "refuse": lambda peer, attempt_id: peer.send(Refuse(attempt_id, 1301, "unknown")),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("phase", PHASES)
@with_entry()
async def test_truncated_stream_is_retried_or_ends_with_an_error_event(
    entry: Entry, phase: str, fault: str
) -> None:
    failed: list[str] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        if failed:
            respond_stream(upstream, peer, submit)
            return
        failed.append(submit.attempt_id)
        for message in make_response_messages(failed[0], [*EVENTS, DONE], EVENT_STREAM)[
            : PHASES[phase]
        ]:
            peer.send(message)
        FAULTS[fault](peer, failed[0])

    await entry.add(script, count=2)
    response = await entry.fetch(CHAT, method="POST", body=STREAM)
    if PHASES[phase] <= 2:
        assert response.body == b"".join(EVENTS) + DONE
    else:
        *events, last = response.body.removesuffix(b"\n\n").split(b"\n\n")
        assert [event + b"\n\n" for event in events] == EVENTS[: len(events)]
        assert json.loads(last.removeprefix(b"data: "))["error"]["executed"] == "unknown"
    assert entry.links.open_attempts == 0


@pytest.mark.parametrize("fault", FAULTS)
@with_entry()
async def test_truncated_plain_response_never_reaches_the_caller(entry: Entry, fault: str) -> None:
    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for message in make_response_messages(submit.attempt_id, [*EVENTS, DONE])[:-1]:
            peer.send(message)
        FAULTS[fault](peer, submit.attempt_id)

    await entry.add(script, service="ledger")
    response = await entry.fetch(LEDGER, method="POST", body=b"")
    assert response.code >= 500
    assert json.loads(response.body)["error"]["executed"] == "unknown"


@pytest.mark.parametrize("path", [CHAT, LEDGER])
@pytest.mark.parametrize("status", [-1, 0, 99, 100, 199, 600, 999])
@with_entry()
async def test_response_with_an_invalid_status_never_reaches_the_caller(
    entry: Entry, status: int, path: str
) -> None:
    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for message in make_response_messages(submit.attempt_id, [b"{}"]):
            is_head = isinstance(message, ResponseHead)
            peer.send(dataclasses.replace(message, status=status) if is_head else message)

    await entry.add(script, service="" if path is CHAT else "ledger")
    response = await entry.fetch(path, method="POST", body=PLAIN)
    error = json.loads(response.body)["error"]
    assert (response.code, error["executed"]) == (502, "unknown")
    assert entry.links.open_attempts == 0


@with_entry()
async def test_misdirected_and_late_responses_reach_no_other_caller(entry: Entry) -> None:
    submits: list[tuple[Peer, Submit]] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append((peer, submit))
        if len(submits) < 6:
            return
        # Every upstream first responds to the attempts of the others, then twice to its own.
        for own_peer, own_submit in submits:
            for other_peer, other_submit in submits:
                if other_peer is not own_peer:
                    send_response(own_peer, other_submit.attempt_id, [b"crossed"])
            send_response(own_peer, own_submit.attempt_id, [b"for " + own_submit.body])
            send_response(own_peer, own_submit.attempt_id, [b"late"])

    await entry.add(script, service="ledger", count=3)
    bodies = [b"%d" % number for number in range(6)]
    responses = await asyncio.gather(
        *[entry.fetch(LEDGER, method="POST", body=body) for body in bodies]
    )
    assert [response.body for response in responses] == [b"for " + body for body in bodies]
    assert entry.links.unmatched_messages["wrong_stream"] > 0


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 3, 7, 1000])
@with_entry()
async def test_split_events_are_reassembled_and_done_is_sent_last(
    entry: Entry, size: int, line_end: bytes
) -> None:
    stream = b"".join([*EVENTS, b'data: {"text": "[DONE]"}\n\n', DONE])
    stream = stream.replace(b"\n", line_end)
    parts = [stream[index : index + size] for index in range(0, len(stream), size)]
    await entry.add(
        lambda upstream, peer, submit: send_response(peer, submit.attempt_id, parts, EVENT_STREAM)
    )
    response = await entry.fetch(CHAT, method="POST", body=STREAM)
    assert response.body == stream
    assert response.headers["Content-Type"] == "text/event-stream"


@pytest.mark.parametrize("is_truncated", [False, True])
@with_entry()
async def test_large_plain_response_is_forwarded_and_its_truncation_is_visible(
    entry: Entry, is_truncated: bool
) -> None:
    parts = [bytes([number]) * 300_000 for number in range(6)]

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        *messages, finish = make_response_messages(submit.attempt_id, parts)
        for message in [
            *messages,
            Refuse(submit.attempt_id, 1302, "unknown") if is_truncated else finish,
        ]:
            peer.send(message)

    await entry.add(script, service="ledger")
    if is_truncated:
        with pytest.raises(HTTPStreamClosedError):
            await entry.fetch(LEDGER)
    else:
        assert (await entry.fetch(LEDGER)).body == b"".join(parts)


@with_entry()
async def test_request_to_an_unresponsive_upstream_ends_at_the_deadline(entry: Entry) -> None:
    (upstream,) = await entry.add(lambda *message: None, service="ledger")
    response = await entry.fetch(LEDGER, method="POST", body=b"", headers={"X-Deadline-Ms": "50"})
    error = json.loads(response.body)["error"]
    assert (error["name"], error["executed"]) == ("upstream_timeout", "unknown")
    while not upstream.cancels:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("sent", "constant", "detail"),
    [
        (0, "", "The deadline has passed."),
        (1, "FIRST_OUTPUT_TIMEOUT_S", "No output within 0.4 s of the start."),
        (3, "OUTPUT_IDLE_TIMEOUT_S", "No output for 0.4 s."),
        (3, "ATTEMPT_TIMEOUT_S", "The attempt took longer than 0.4 s."),
    ],
)
@with_entry()
async def test_log_line_of_a_request_that_was_ended_names_the_limit(
    entry: Entry, monkeypatch: pytest.MonkeyPatch, sent: int, constant: str, detail: str
) -> None:
    """Four limits ended requests with the same code and without a detail."""
    if constant:
        monkeypatch.setattr(dispatch, constant, 0.4)

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for message in make_response_messages(submit.attempt_id, EVENTS, EVENT_STREAM)[:sent]:
            peer.send(message)

    await entry.add(script)
    with structlog.testing.capture_logs() as lines:
        response = await entry.fetch(
            CHAT, method="POST", body=STREAM, headers={"X-Deadline-Ms": "50"}
        )
    assert detail.encode() in response.body
    (line,) = [line for line in lines if line["event"] == "request ended without a response"]
    assert (line["code"], line["executed"], line["detail"]) == (1303, "unknown", detail)
    assert 0 < line["deadline_ms"] <= 50
    assert line["sent_to_caller"] == (sent == 3)
    assert line["hosts"] == ["u0"]


@with_entry()
async def test_frozen_upstream_is_abandoned_in_time_and_avoided(entry: Entry) -> None:
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        upstream.is_frozen = upstream is submits[0]
        if not upstream.is_frozen:
            respond_plain(upstream, peer, submit)

    await entry.add(script, count=2)
    for _ in range(5):
        assert (await entry.fetch(CHAT, method="POST", body=PLAIN)).code == 200
    assert submits.count(submits[0]) == 1


@pytest.mark.parametrize("kind", ["chat", "service"])
@pytest.mark.parametrize("reason", ["only upstream", "retries spent", "last attempt"])
@with_entry()
async def test_request_stays_at_a_silent_upstream_that_nothing_replaces(
    entry: Entry, kind: str, reason: str
) -> None:
    """It was ended with seconds left although the upstream would have responded."""
    count, silent = {"only upstream": (1, 1), "retries spent": (2, 1), "last attempt": (4, 3)}[
        reason
    ]
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        upstream.is_frozen = True

        def resume() -> None:
            upstream.is_frozen = False
            respond_plain(upstream, peer, submit)

        if len(submits) == silent:
            asyncio.get_running_loop().call_later(0.9, resume)

    await entry.add(script, count=count, service="" if kind == "chat" else "ledger")
    if reason == "retries spent":
        while entry.budget.try_withdraw(keep_reserve=False):
            pass
    path, options = (CHAT, {"body": PLAIN}) if kind == "chat" else (LEDGER, {})
    response = await entry.fetch(
        path,
        method="POST" if kind == "chat" else "GET",
        headers={"X-Deadline-Ms": "2500" if silent > 1 else "1500"},
        **options,
    )
    assert (response.code, len(submits)) == (200, silent), response.body
    assert response.body.startswith(submits[-1].host.encode())


@with_entry()
async def test_request_leaves_a_silent_upstream_once_another_one_is_ready(entry: Entry) -> None:
    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        upstream.is_frozen = upstream is first
        if upstream is second:
            respond_plain(upstream, peer, submit)

    first, second = await entry.add(script, count=2)
    second.status = dataclasses.replace(second.status, state="leaving")
    second.hub.broadcast(second.status)
    await asyncio.sleep(0.1)
    fetch = asyncio.create_task(entry.fetch(CHAT, method="POST", body=PLAIN))
    await asyncio.sleep(1.8)
    second.status = dataclasses.replace(second.status, state="ready")
    response = await fetch
    assert (response.code, len(first.submits), len(second.submits)) == (200, 1, 1)


def _make_claims(**faults: float) -> ClaimRegistry:
    return ClaimRegistry(store=InProcessStore(MemoryStore(), **faults), prefix="/t", owner="e1")


async def _post(entry: Entry, body: bytes = b"5", key: str = "a") -> Any:
    headers = {"Idempotency-Key": key, "X-Deadline-Ms": "300"}
    return await entry.fetch(LEDGER, method="POST", body=body, headers=headers)


@with_entry(claims=_make_claims)
async def test_claimed_request_runs_once_and_its_outcome_is_replayed(entry: Entry) -> None:
    (upstream,) = await entry.add(service="ledger")
    for _ in range(2):
        response = await _post(entry)
        assert (response.code, response.body) == (200, b"u0 /x 5")
    assert (await _post(entry, b"6")).code == 422
    assert len(upstream.submits) == 1


@with_entry(claims=lambda: _make_claims(unavailable=1.0))
async def test_claimed_request_is_not_sent_if_the_store_is_unavailable(entry: Entry) -> None:
    (upstream,) = await entry.add(service="ledger")
    error = json.loads((await _post(entry)).body)["error"]
    assert (error["name"], error["executed"]) == ("claim_store_unavailable", "no")
    assert not upstream.submits


@with_entry(claims=_make_claims)
async def test_claim_is_released_only_if_the_request_was_not_executed(entry: Entry) -> None:
    (upstream,) = await entry.add(
        lambda upstream, peer, submit: peer.send(
            Refuse(submit.attempt_id, codes.QUEUE_FULL.number, submit.body.decode())
        ),
        service="ledger",
    )
    for body in (b"no", b"unknown"):
        for _ in range(2):
            await _post(entry, body, key=body.decode())
    assert [submit.body for submit in upstream.submits] == [b"no", b"no", b"unknown"]


@with_entry(claims=_make_claims, deadline_ms=3_600_000)
async def test_claimed_request_continues_after_its_caller_disconnects(entry: Entry) -> None:
    pending: list[tuple[Peer, Submit]] = []
    (upstream,) = await entry.add(
        lambda upstream, peer, submit: pending.append((peer, submit)), service="ledger"
    )
    _, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(
        b"POST /services/ledger/x HTTP/1.1\r\nAuthorization: Bearer k1\r\n"
        b"Idempotency-Key: a\r\nContent-Length: 1\r\n\r\n5"
    )
    while not pending:
        await asyncio.sleep(0.005)
    writer.close()
    while entry.server.tasks:
        await asyncio.sleep(0.005)
    respond_plain(upstream, *pending[0])
    await entry.server.wait_idle()
    assert upstream.cancels == []
    assert (await _post(entry)).body == b"u0 /x 5"
    assert len(pending) == 1


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 5, 1000])
@with_entry()
async def test_end_of_a_stream_is_withheld_until_the_stream_is_known_to_be_complete(
    entry: Entry, size: int, line_end: bytes
) -> None:
    events, done = (b"".join(part).replace(b"\n", line_end) for part in (EVENTS, [DONE]))
    stream = events + done
    parts = [stream[index : index + size] for index in range(0, len(stream), size)]

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for message in make_response_messages(submit.attempt_id, parts, EVENT_STREAM)[:-1]:
            peer.send(message)
        peer.send(Refuse(submit.attempt_id, 1302, "unknown"))

    await entry.add(script)
    response = await entry.fetch(CHAT, method="POST", body=STREAM)
    assert response.body.startswith(events + b"data: {")
    assert b"upstream_lost" in response.body.removeprefix(events)
    assert b"[DONE]" not in response.body


@pytest.mark.parametrize(("count", "ends_complete"), [(2, True), (1, False)])
@with_entry()
async def test_stalled_stream_is_retried_if_another_upstream_is_available(
    entry: Entry, count: int, ends_complete: bool
) -> None:
    """An engine that accepts a request and then stalls must not hold it past its deadline."""
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        if upstream is submits[0]:
            peer.send(Started(submit.attempt_id))
        else:
            respond_stream(upstream, peer, submit)

    upstreams = await entry.add(script, count=count)
    headers = {"X-Rank": "urgent", "X-Deadline-Ms": "1000"}
    fetch = asyncio.create_task(entry.fetch(CHAT, method="POST", body=STREAM, headers=headers))
    if ends_complete:
        assert DONE in (await fetch).body
        assert [len(item.cancels) for item in upstreams if item is submits[0]] == [1]
        assert len(submits) == 2
        return
    # Without another upstream, the request stays with the stalled one, which may still respond.
    await asyncio.sleep(1.2)
    assert not fetch.done()
    assert not upstreams[0].cancels
    fetch.cancel()
    await asyncio.gather(fetch, return_exceptions=True)
