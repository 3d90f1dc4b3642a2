"""Guards against wrong answers, refusals without a code and requests that run twice."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from sycamoreproxy.messages import Refuse
from tests._entry import (
    EVENTS,
    MODEL,
    Entry,
    ScriptedUpstream,
    answer_plain,
    answer_stream,
    run_with_entry,
)

CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "Колко е левът?"}]}


def _chat(**changes: Any) -> bytes:
    return json.dumps({**CHAT, **changes}).encode()


def test_plain_answers_belong_to_their_requests() -> None:
    async def action(entry: Entry) -> None:
        await entry.add(answer_plain, count=3)
        bodies = [_chat(user=str(number)) for number in range(40)]
        answers = await asyncio.gather(
            *[entry.fetch("/v1/chat/completions", method="POST", body=body) for body in bodies]
        )
        for body, answer in zip(bodies, answers, strict=True):
            assert answer.code == 200
            assert answer.body.partition(b" ")[2] == b"/v1/chat/completions " + body
            assert answer.headers["X-Model-Version"] == "v1"

    run_with_entry(action)


def test_stream_ends_with_done_once() -> None:
    async def action(entry: Entry) -> None:
        await entry.add(answer_stream)
        answer = await entry.fetch("/v1/chat/completions", method="POST", body=_chat(stream=True))
        assert answer.body == b"".join(EVENTS) + b"data: [DONE]\n\n"
        assert answer.headers["Content-Type"] == "text/event-stream"

    run_with_entry(action)


def test_service_gets_path_query_and_body() -> None:
    async def action(entry: Entry) -> None:
        await entry.add(kind="service", name="ledger")
        answer = await entry.fetch("/services/ledger/deposits?x=1", method="POST", body=b"5 lv")
        assert answer.body == b"u0 /deposits?x=1 5 lv"
        submit = entry.upstreams[0].submits[0]
        assert not submit.idempotent
        assert "authorization" not in {name.lower() for name, _ in submit.headers}

    run_with_entry(action)


def test_models_are_listed() -> None:
    async def action(entry: Entry) -> None:
        answer = await entry.fetch("/v1/models")
        assert [item["id"] for item in json.loads(answer.body)["data"]] == [MODEL]

    run_with_entry(action)


@pytest.mark.parametrize(
    ("path", "options", "status", "name"),
    [
        ("/v1/chat/completions", {"body": b"{"}, 400, "malformed_body"),
        ("/v1/chat/completions", {"body": b"[" * 100_000}, 400, "malformed_body"),
        ("/v1/chat/completions", {"body": b"[]"}, 400, "invalid_field"),
        ("/v1/chat/completions", {"body": _chat(model=1)}, 400, "invalid_field"),
        ("/v1/chat/completions", {"body": _chat(messages="x")}, 400, "invalid_field"),
        ("/v1/chat/completions", {"body": _chat(messages=[1])}, 400, "invalid_field"),
        ("/v1/chat/completions", {"body": _chat(stream="yes")}, 400, "invalid_field"),
        ("/v1/chat/completions", {"body": _chat(max_tokens=-1)}, 400, "invalid_field"),
        ("/v1/completions", {"body": _chat(prompt={})}, 400, "invalid_field"),
        ("/v1/chat/completions", {"body": _chat(model="rose")}, 404, "unknown_model"),
        ("/services/rose/", {"body": b""}, 404, "unknown_service"),
        ("/v2", {"body": b""}, 404, "unknown_path"),
        ("/v1/chat/completions", {"method": "GET"}, 405, "method_not_allowed"),
        ("/services/ledger/", {"method": "SING"}, 405, "method_not_allowed"),
        ("/v1/completions", {"body": b"x" * 5000}, 413, "body_too_large"),
        ("/v1/models", {"method": "GET", "headers": {"X": "y" * 3000}}, 431, "headers_too_large"),
        ("/v1/models", {"method": "GET", "key": ""}, 401, "missing_key"),
        ("/v1/models", {"method": "GET", "key": "k3"}, 401, "unknown_key"),
        ("/v1/chat/completions", {"headers": {"X-Rank": "vip"}}, 400, "unknown_rank"),
        ("/v1/chat/completions", {"headers": {"X-Rank": "urgent"}, "key": "k2"}, 403, "rank_not"),
        ("/v1/chat/completions", {"headers": {"X-Deadline-Ms": "-1"}}, 400, "invalid_deadline"),
        ("/v1/chat/completions", {"headers": {"X-Deadline-Ms": "²"}}, 400, "invalid_deadline"),
        ("/services/ledger/", {"headers": {"Idempotency-Key": ""}}, 400, "invalid_idempotency"),
        ("/v1/chat/completions", {}, 503, "no_upstream"),
    ],
)
def test_bad_requests_get_a_code(
    path: str, options: dict[str, Any], status: int, name: str
) -> None:
    from sycamoreproxy.settings import CallerLimits

    async def action(entry: Entry) -> None:
        await entry.add(kind="service", name="ledger")
        chosen = {"method": "POST", "body": _chat(), **options}
        if chosen["method"] == "GET":
            chosen["body"] = None
        answer = await entry.fetch(path, **chosen)
        error = json.loads(answer.body)["error"]
        assert (answer.code, error["executed"]) == (status, "no")
        assert error["name"].startswith(name)
        assert ("Retry-After" in answer.headers) == (status == 503)

    limits = CallerLimits(max_body_bytes=4096, max_header_bytes=2048)
    if options.get("body") == b"[" * 100_000:
        limits = CallerLimits()
    run_with_entry(action, limits=limits)


def _refuse(code: int, executed: str) -> Any:
    def script(upstream: ScriptedUpstream, peer: Any, submit: Any) -> None:
        peer.send(Refuse(submit.attempt_id, code, executed))

    return script


def _hang_up(upstream: ScriptedUpstream, peer: Any, submit: Any) -> None:
    peer.close()


@pytest.mark.parametrize(
    ("script", "method", "runs", "executed"),
    [
        (_hang_up, "POST", 1, "unknown"),
        (_hang_up, "PUT", 2, "unknown"),
        (_refuse(1301, "unknown"), "POST", 1, "unknown"),
        (_refuse(1301, "yes"), "POST", 1, "yes"),
        (_refuse(1205, "no"), "POST", 2, "no"),
        (_refuse(1301, "unknown"), "PUT", 2, "unknown"),
        (_refuse(9999, "perhaps"), "POST", 1, "unknown"),
    ],
)
def test_only_harmless_attempts_are_repeated(
    script: Any, method: str, runs: int, executed: str
) -> None:
    async def action(entry: Entry) -> None:
        await entry.add(script, kind="service", name="ledger", count=2)
        answer = await entry.fetch("/services/ledger/d", method=method, body=b"5")
        assert json.loads(answer.body)["error"]["executed"] == executed
        assert sum(len(upstream.submits) for upstream in entry.upstreams) == runs

    run_with_entry(action)


def test_caller_that_leaves_cancels_upstream() -> None:
    async def action(entry: Entry) -> None:
        (upstream,) = await entry.add(lambda *message: None)
        body = _chat(stream=True)
        _, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer k1\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        while not upstream.submits:
            await asyncio.sleep(0.005)
        writer.close()
        while not upstream.cancels:
            await asyncio.sleep(0.005)
        assert upstream.cancels == [upstream.submits[0].attempt_id]
        assert entry.links.open_attempts == 0

    # The deadline is out of reach, so that only the closed connection can cancel.
    run_with_entry(action, deadline_ms=3_600_000)
