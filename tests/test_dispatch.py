"""Guards against answers that are cut, crossed or run twice when a part of the path fails."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from returns.result import Failure, Result, Success
from tornado.simple_httpclient import HTTPStreamClosedError

from sycamoreproxy import result_codes as codes
from sycamoreproxy.dispatch import RecordedOutcome
from sycamoreproxy.messages import Finish, Output, Refuse, ResponseHead, Submit
from sycamoreproxy.peers import Peer
from sycamoreproxy.result_codes import Executed, Refusal
from tests._entry import (
    DONE,
    EVENT_STREAM,
    EVENTS,
    MODEL,
    Entry,
    ScriptedUpstream,
    answer_plain,
    answer_stream,
    make_answer,
    run_with_entry,
    send_answer,
)

STREAM = json.dumps(
    {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": "?"}]}
).encode()
PLAIN = STREAM.replace(b"true", b"false")

PHASES: dict[str, int] = {"submit": 0, "started": 1, "head": 2, "outputs": 4, "all outputs": 6}


def _fail_once(phase: int, fail: Callable[[Peer, str], None]) -> Any:
    """Return a script that fails the first attempt in a phase and answers the others."""
    failed: list[str] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        if failed:
            answer_stream(upstream, peer, submit)
            return
        failed.append(submit.attempt_id)
        for step in make_answer(submit.attempt_id, [*EVENTS, DONE], EVENT_STREAM)[:phase]:
            peer.send(step)
        fail(peer, submit.attempt_id)

    return script


def _close(peer: Peer, attempt_id: str) -> None:
    # What was sent must leave first.
    asyncio.get_running_loop().call_later(0.02, peer.close)


def _bad_digest(peer: Peer, attempt_id: str) -> None:
    peer.send(Finish(attempt_id, 99, "00", 5, 4, "v1"))


def _gap(peer: Peer, attempt_id: str) -> None:
    peer.send(Output(attempt_id, 77, b"data: {}\n\n", 1))


def _refuse(peer: Peer, attempt_id: str) -> None:
    peer.send(Refuse(attempt_id, codes.UPSTREAM_FAILED.number, "unknown"))


FAULTS = {"close": _close, "digest": _bad_digest, "gap": _gap, "refuse": _refuse}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("phase", PHASES)
def test_cut_stream_is_repeated_or_ends_with_an_error_event(phase: str, fault: str) -> None:
    async def action(entry: Entry) -> None:
        await entry.add(_fail_once(PHASES[phase], FAULTS[fault]), count=2)
        answer = await entry.fetch("/v1/chat/completions", method="POST", body=STREAM)
        if PHASES[phase] <= 2:
            assert answer.body == b"".join(EVENTS) + DONE
        else:
            *whole, last = answer.body.removesuffix(b"\n\n").split(b"\n\n")
            assert (
                b"\n\n".join(whole) + b"\n\n"
                == b"".join(EVENTS)[: len(answer.body)][: sum(map(len, EVENTS[: len(whole)]))]
            )
            assert json.loads(last.removeprefix(b"data: "))["error"]["executed"] == "unknown"
            assert b"[DONE]" not in answer.body
        assert entry.links.open_attempts == 0

    run_with_entry(action)


@pytest.mark.parametrize("fault", FAULTS)
def test_plain_answer_that_is_cut_never_reaches_the_caller(fault: str) -> None:
    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        for step in make_answer(submit.attempt_id, [*EVENTS, DONE])[:-1]:
            peer.send(step)
        FAULTS[fault](peer, submit.attempt_id)

    async def action(entry: Entry) -> None:
        await entry.add(script, service="ledger")
        answer = await entry.fetch("/services/ledger/x", method="POST", body=b"")
        assert answer.code >= 500
        assert json.loads(answer.body)["error"]["executed"] == "unknown"

    run_with_entry(action)


def test_crossed_and_late_answers_reach_no_other_caller() -> None:
    submits: list[tuple[Peer, Submit]] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append((peer, submit))
        if len(submits) < 6:
            return
        # Every upstream first answers the attempts of the others, then twice its own.
        for own, sent in submits:
            for other, stray in submits:
                if other is not own:
                    send_answer(own, stray.attempt_id, [b"crossed"])
            send_answer(own, sent.attempt_id, [b"for " + sent.body])
            send_answer(own, sent.attempt_id, [b"late"])

    async def action(entry: Entry) -> None:
        await entry.add(script, service="ledger", count=3)
        bodies = [b"%d" % number for number in range(6)]
        answers = await asyncio.gather(
            *[entry.fetch("/services/ledger/x", method="POST", body=body) for body in bodies]
        )
        assert [answer.body for answer in answers] == [b"for " + body for body in bodies]
        assert entry.links.strays["crossed"] > 0

    run_with_entry(action)


@pytest.mark.parametrize("size", [1, 3, 7])
def test_events_in_pieces_stay_whole_and_done_waits_for_the_end(size: int) -> None:
    whole = b"".join([*EVENTS, b'data: {"text": "[DONE]"}\n\n', DONE])

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        parts = [whole[index : index + size] for index in range(0, len(whole), size)]
        send_answer(peer, submit.attempt_id, parts, EVENT_STREAM)

    async def action(entry: Entry) -> None:
        await entry.add(script)
        answer = await entry.fetch("/v1/chat/completions", method="POST", body=STREAM)
        assert answer.body == whole

    run_with_entry(action)


@pytest.mark.parametrize("cut", [False, True])
def test_large_plain_answer_is_passed_on_and_its_cut_is_visible(cut: bool) -> None:
    parts = [bytes([number]) * 300_000 for number in range(6)]

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        if not cut:
            send_answer(peer, submit.attempt_id, parts)
            return
        peer.send(ResponseHead(submit.attempt_id, 200, (), ""))
        for number, part in enumerate(parts):
            peer.send(Output(submit.attempt_id, number, part))
        peer.send(Refuse(submit.attempt_id, codes.UPSTREAM_LOST.number, "unknown"))

    async def action(entry: Entry) -> None:
        await entry.add(script, service="ledger")
        if cut:
            with pytest.raises(HTTPStreamClosedError):
                await entry.fetch("/services/ledger/x", method="GET")
        else:
            answer = await entry.fetch("/services/ledger/x", method="GET")
            assert answer.body == b"".join(parts)

    run_with_entry(action)


def test_silent_upstream_ends_with_the_deadline() -> None:
    async def action(entry: Entry) -> None:
        (upstream,) = await entry.add(lambda *message: None, service="ledger")
        answer = await entry.fetch(
            "/services/ledger/x", method="POST", body=b"", headers={"X-Deadline-Ms": "50"}
        )
        error = json.loads(answer.body)["error"]
        assert (error["name"], error["executed"]) == ("upstream_timeout", "unknown")
        while not upstream.cancels:
            await asyncio.sleep(0.005)

    run_with_entry(action)


def test_frozen_upstream_is_given_up_in_time_and_avoided() -> None:
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        upstream.is_frozen = upstream is submits[0]
        if not upstream.is_frozen:
            answer_plain(upstream, peer, submit)

    async def action(entry: Entry) -> None:
        await entry.add(script, count=2)
        for _ in range(5):
            answer = await entry.fetch("/v1/chat/completions", method="POST", body=PLAIN)
            assert answer.code == 200
        assert submits.count(submits[0]) == 1

    run_with_entry(action)


class Book:
    """A claim book in memory."""

    def __init__(self) -> None:
        self.states: dict[str, Any] = {}
        self.is_down = False

    async def begin(
        self, client_account: str, service: str, key: str, fingerprint: str, *, timeout_s: float
    ) -> Result[object, Refusal]:
        if self.is_down:
            return Failure(Refusal(codes.CLAIM_STORE_UNAVAILABLE, Executed.NO))
        state = self.states.get(key)
        if state is None:
            self.states[key] = (fingerprint, None)
            return Success(key)
        if state[0] != fingerprint:
            return Failure(Refusal(codes.CLAIM_MISMATCH, Executed.NO))
        if state[1] is None:
            return Failure(Refusal(codes.CLAIM_IN_PROGRESS, Executed.UNKNOWN))
        return Success(state[1])

    async def finish(self, claim: Any, outcome: RecordedOutcome) -> None:
        self.states[claim] = (self.states[claim][0], outcome)

    async def release(self, claim: Any) -> None:
        del self.states[claim]


async def _post(entry: Entry, body: bytes = b"5", key: str = "a") -> Any:
    return await entry.fetch(
        "/services/ledger/x", method="POST", body=body, headers={"Idempotency-Key": key}
    )


def test_claimed_request_runs_once_and_repeats_its_outcome() -> None:
    book = Book()

    async def action(entry: Entry) -> None:
        (upstream,) = await entry.add(answer_plain, service="ledger")
        first, second = await _post(entry), await _post(entry)
        assert (first.code, first.body) == (second.code, second.body) == (200, b"u0 /x 5")
        assert (await _post(entry, b"6")).code == 422
        book.is_down = True
        down = await _post(entry, key="b")
        assert json.loads(down.body)["error"]["executed"] == "no"
        assert len(upstream.submits) == 1

    run_with_entry(action, claims=book)


def test_claim_is_released_only_if_the_request_was_not_run() -> None:
    book = Book()

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        executed = submit.body.decode()
        peer.send(Refuse(submit.attempt_id, codes.QUEUE_FULL.number, executed))

    async def action(entry: Entry) -> None:
        await entry.add(script, service="ledger")
        await _post(entry, b"no", "a")
        await _post(entry, b"unknown", "b")
        assert list(book.states) == ["b"]

    run_with_entry(action, claims=book)


def test_claimed_request_outlives_its_caller() -> None:
    book = Book()
    held: list[tuple[Peer, Submit]] = []

    async def action(entry: Entry) -> None:
        (upstream,) = await entry.add(
            lambda upstream, peer, submit: held.append((peer, submit)),
            service="ledger",
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
        answer_plain(upstream, *held[0])
        await entry.server.wait_idle()
        assert upstream.cancels == []
        assert (await _post(entry)).body == b"u0 /x 5"
        assert len(held) == 1

    run_with_entry(action, claims=book, deadline_ms=3_600_000)
