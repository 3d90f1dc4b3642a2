"""Guards against answers that are cut, crossed or run twice when a part of the path fails."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy import result_codes as codes
from sycamoreproxy.claims import ClaimRegistry
from sycamoreproxy.messages import Finish, Output, Refuse, Started, Submit
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
#: How many messages of an answer precede the fault.
PHASES = {"submit": 0, "started": 1, "head": 2, "outputs": 4, "all outputs": 6}


def _close(peer: Peer, attempt_id: str) -> None:
    # What was sent must leave first.
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
async def test_cut_stream_is_repeated_or_ends_with_an_error_event(
    entry: Entry, phase: str, fault: str
) -> None:
    failed: list[str] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        if failed:
            respond_stream(upstream, peer, submit)
            return
        failed.append(submit.attempt_id)
        for step in make_response_messages(failed[0], [*EVENTS, DONE], EVENT_STREAM)[
            : PHASES[phase]
        ]:
            peer.send(step)
        FAULTS[fault](peer, failed[0])

    await entry.add(script, count=2)
    answer = await entry.fetch(CHAT, method="POST", body=STREAM)
    if PHASES[phase] <= 2:
        assert answer.body == b"".join(EVENTS) + DONE
    else:
        *whole, last = answer.body.removesuffix(b"\n\n").split(b"\n\n")
        assert [event + b"\n\n" for event in whole] == EVENTS[: len(whole)]
        assert json.loads(last.removeprefix(b"data: "))["error"]["executed"] == "unknown"
    assert entry.links.open_attempts == 0


@pytest.mark.parametrize("fault", FAULTS)
@with_entry()
async def test_plain_answer_that_is_cut_never_reaches_the_caller(entry: Entry, fault: str) -> None:
    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for step in make_response_messages(submit.attempt_id, [*EVENTS, DONE])[:-1]:
            peer.send(step)
        FAULTS[fault](peer, submit.attempt_id)

    await entry.add(script, service="ledger")
    answer = await entry.fetch(LEDGER, method="POST", body=b"")
    assert answer.code >= 500
    assert json.loads(answer.body)["error"]["executed"] == "unknown"


@with_entry()
async def test_crossed_and_late_answers_reach_no_other_caller(entry: Entry) -> None:
    submits: list[tuple[Peer, Submit]] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append((peer, submit))
        if len(submits) < 6:
            return
        # Every upstream first answers the attempts of the others, then twice its own.
        for own, sent in submits:
            for other, stray in submits:
                if other is not own:
                    send_response(own, stray.attempt_id, [b"crossed"])
            send_response(own, sent.attempt_id, [b"for " + sent.body])
            send_response(own, sent.attempt_id, [b"late"])

    await entry.add(script, service="ledger", count=3)
    bodies = [b"%d" % number for number in range(6)]
    answers = await asyncio.gather(
        *[entry.fetch(LEDGER, method="POST", body=body) for body in bodies]
    )
    assert [answer.body for answer in answers] == [b"for " + body for body in bodies]
    assert entry.links.unmatched_messages["wrong_stream"] > 0


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 3, 7, 1000])
@with_entry()
async def test_events_in_pieces_stay_whole_and_done_waits_for_the_end(
    entry: Entry, size: int, line_end: bytes
) -> None:
    whole = b"".join([*EVENTS, b'data: {"text": "[DONE]"}\n\n', DONE])
    whole = whole.replace(b"\n", line_end)
    parts = [whole[index : index + size] for index in range(0, len(whole), size)]
    await entry.add(
        lambda upstream, peer, submit: send_response(peer, submit.attempt_id, parts, EVENT_STREAM)
    )
    answer = await entry.fetch(CHAT, method="POST", body=STREAM)
    assert answer.body == whole
    assert answer.headers["Content-Type"] == "text/event-stream"


@pytest.mark.parametrize("cut", [False, True])
@with_entry()
async def test_large_plain_answer_is_passed_on_and_its_cut_is_visible(
    entry: Entry, cut: bool
) -> None:
    parts = [bytes([number]) * 300_000 for number in range(6)]

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        *begin, finish = make_response_messages(submit.attempt_id, parts)
        for message in [*begin, Refuse(submit.attempt_id, 1302, "unknown") if cut else finish]:
            peer.send(message)

    await entry.add(script, service="ledger")
    if cut:
        with pytest.raises(HTTPStreamClosedError):
            await entry.fetch(LEDGER)
    else:
        assert (await entry.fetch(LEDGER)).body == b"".join(parts)


@with_entry()
async def test_silent_upstream_ends_with_the_deadline(entry: Entry) -> None:
    (upstream,) = await entry.add(lambda *message: None, service="ledger")
    answer = await entry.fetch(LEDGER, method="POST", body=b"", headers={"X-Deadline-Ms": "50"})
    error = json.loads(answer.body)["error"]
    assert (error["name"], error["executed"]) == ("upstream_timeout", "unknown")
    while not upstream.cancels:
        await asyncio.sleep(0.005)


@with_entry()
async def test_frozen_upstream_is_given_up_in_time_and_avoided(entry: Entry) -> None:
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


def _make_book(**faults: float) -> ClaimRegistry:
    return ClaimRegistry(store=InProcessStore(MemoryStore(), **faults), prefix="/t", owner="e1")


async def _post(entry: Entry, body: bytes = b"5", key: str = "a") -> Any:
    headers = {"Idempotency-Key": key, "X-Deadline-Ms": "300"}
    return await entry.fetch(LEDGER, method="POST", body=body, headers=headers)


@with_entry(claims=_make_book)
async def test_claimed_request_runs_once_and_repeats_its_outcome(entry: Entry) -> None:
    (upstream,) = await entry.add(service="ledger")
    for _ in range(2):
        answer = await _post(entry)
        assert (answer.code, answer.body) == (200, b"u0 /x 5")
    assert (await _post(entry, b"6")).code == 422
    assert len(upstream.submits) == 1


@with_entry(claims=lambda: _make_book(unavailable=1.0))
async def test_without_the_store_a_claimed_request_is_not_sent(entry: Entry) -> None:
    (upstream,) = await entry.add(service="ledger")
    error = json.loads((await _post(entry)).body)["error"]
    assert (error["name"], error["executed"]) == ("claim_store_unavailable", "no")
    assert not upstream.submits


@with_entry(claims=_make_book)
async def test_claim_is_released_only_if_the_request_was_not_run(entry: Entry) -> None:
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


@with_entry(claims=_make_book, deadline_ms=3_600_000)
async def test_claimed_request_outlives_its_caller(entry: Entry) -> None:
    held: list[tuple[Peer, Submit]] = []
    (upstream,) = await entry.add(
        lambda upstream, peer, submit: held.append((peer, submit)), service="ledger"
    )
    _, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(
        b"POST /services/ledger/x HTTP/1.1\r\nAuthorization: Bearer k1\r\n"
        b"Idempotency-Key: a\r\nContent-Length: 1\r\n\r\n5"
    )
    while not held:
        await asyncio.sleep(0.005)
    writer.close()
    while entry.server.tasks:
        await asyncio.sleep(0.005)
    respond_plain(upstream, *held[0])
    await entry.server.wait_idle()
    assert upstream.cancels == []
    assert (await _post(entry)).body == b"u0 /x 5"
    assert len(held) == 1


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 5, 1000])
@with_entry()
async def test_end_of_a_stream_is_held_back_until_it_is_known_to_be_whole(
    entry: Entry, size: int, line_end: bytes
) -> None:
    begin, end = (b"".join(part).replace(b"\n", line_end) for part in (EVENTS, [DONE]))
    whole = begin + end
    parts = [whole[index : index + size] for index in range(0, len(whole), size)]

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for message in make_response_messages(submit.attempt_id, parts, EVENT_STREAM)[:-1]:
            peer.send(message)
        peer.send(Refuse(submit.attempt_id, 1302, "unknown"))

    await entry.add(script)
    answer = await entry.fetch(CHAT, method="POST", body=STREAM)
    assert answer.body.startswith(begin + b"data: {")
    assert b"upstream_lost" in answer.body.removeprefix(begin)
    assert b"[DONE]" not in answer.body


@pytest.mark.parametrize(("count", "ends_whole"), [(2, True), (1, False)])
@with_entry()
async def test_stalled_stream_is_repeated_where_another_upstream_is_free(
    entry: Entry, count: int, ends_whole: bool
) -> None:
    """An engine that takes a request and then stalls must not keep it past its deadline."""
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
    if ends_whole:
        assert DONE in (await fetch).body
        assert [len(item.cancels) for item in upstreams if item is submits[0]] == [1]
        assert len(submits) == 2
        return
    # Without another upstream the stalled one is still the best hope.
    await asyncio.sleep(1.2)
    assert not fetch.done()
    assert not upstreams[0].cancels
    fetch.cancel()
    await asyncio.gather(fetch, return_exceptions=True)
