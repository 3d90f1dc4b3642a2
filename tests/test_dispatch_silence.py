"""Guards against requests of the model API that are lost, joined or run twice at silent upstreams."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest

from standins.in_process_store import InProcessStore
from standins.store import MemoryStore
from sycamoreproxy.claims import ClaimRegistry
from sycamoreproxy.messages import Finish, Output, Refuse, ResponseHead, Started, Submit
from sycamoreproxy.peers import Peer
from tests._entry import (
    DONE,
    EVENT_STREAM,
    MODEL,
    Entry,
    ScriptedUpstream,
    make_response_messages,
    with_entry,
)
from tests.test_dispatch import CHAT, LEDGER, PLAIN, STREAM

#: Time in seconds after which the first upstream of a request responds after all.
SILENT_S = 0.9
DEADLINE = {"X-Rank": "urgent", "X-Deadline-Ms": "1500"}
#: Kind of the request, and whether its first upstream sends only ``Started`` or nothing at all.
SILENCES = {
    "stalled stream": ("stream", False),
    "frozen stream": ("stream", True),
    "frozen plain": ("plain", True),
    "frozen service": ("service", True),
}
#: What the upstream of the retry sends, after which its connection closes if the last is None.
RETRIES: dict[str, list[Any]] = {
    "refuses": [lambda id_: Refuse(id_, 1212, "no")],
    "is full": [lambda id_: Refuse(id_, 1205, "no")],
    "fails": [Started, lambda id_: Refuse(id_, 1301, "unknown")],
    "closes": [None],
    "is silent": [Started],
    "ends in the head": [Started, lambda id_: ResponseHead(id_, 200, EVENT_STREAM, "v1"), None],
    "ends in the first event": [
        Started,
        lambda id_: ResponseHead(id_, 200, EVENT_STREAM, "v1"),
        lambda id_: Output(id_, 0, b'data: {"from', 1),
        lambda id_: Finish(id_, 99, "00", 5, 4, "v1"),
    ],
}


def _make_claims() -> ClaimRegistry:
    return ClaimRegistry(store=InProcessStore(MemoryStore()), prefix="/t", owner="e1")


def _fetch(entry: Entry, kind: str, **options: Any) -> asyncio.Task[Any]:
    if kind != "service":
        options = {"method": "POST", "body": STREAM if kind == "stream" else PLAIN, **options}
    path = LEDGER if kind == "service" else CHAT
    return asyncio.create_task(entry.fetch(path, headers=DEADLINE, **options))


def _make_parts(host: str, kind: str) -> list[bytes]:
    events = [b'data: {"from": "%b", "n": %d}\n\n' % (host.encode(), n) for n in range(3)]
    return [*events, DONE] if kind == "stream" else events


def _make_messages(host: str, kind: str, submit: Submit) -> list[Any]:
    headers = EVENT_STREAM if kind == "stream" else ()
    return make_response_messages(submit.attempt_id, _make_parts(host, kind), headers)


def _list_open(entry: Entry) -> list[int]:
    """Return the number of open attempts, in all and as load of each upstream."""
    states = [
        state
        for key in (("engine", MODEL), ("service", "ledger"))
        for state in entry.membership.upstreams(*key)
    ]
    return [entry.links.open_attempts, *[state.open_attempts for state in states]]


@pytest.mark.parametrize("retry", RETRIES)
@pytest.mark.parametrize("silence", SILENCES)
@with_entry()
async def test_request_at_a_silent_upstream_survives_a_retry_that_fails(
    entry: Entry, silence: str, retry: str
) -> None:
    kind, is_frozen = SILENCES[silence]
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        loop = asyncio.get_running_loop()
        if len(submits) == 1:
            messages = _make_messages(upstream.host, kind, submit)
            upstream.is_frozen = is_frozen
            if not is_frozen:
                peer.send(messages.pop(0))
            for message in messages:
                loop.call_later(SILENT_S, peer.send, message)
            return
        for make_message in RETRIES[retry]:
            if make_message is None:
                loop.call_later(0.02, peer.close)
            else:
                peer.send(make_message(submit.attempt_id))

    await entry.add(script, count=2, service="ledger" if kind == "service" else "")
    response = await _fetch(entry, kind)
    assert (response.code, len(submits)) == (200, 2), response.body
    assert response.body == b"".join(_make_parts(submits[0].host, kind))
    assert not submits[0].cancels
    assert not any(_list_open(entry))


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("kind", ["stream", "service"])
@with_entry()
async def test_responses_of_two_upstreams_are_never_joined(
    entry: Entry, kind: str, seed: int, is_cut: bool
) -> None:
    rng = random.Random(seed)
    running: list[tuple[ScriptedUpstream, Peer, list[Any]]] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        whole = b"".join(_make_parts(upstream.host, kind))
        cuts = sorted(rng.sample(range(1, len(whole)), 6))
        parts = [whole[i:j] for i, j in zip([0, *cuts], [*cuts, len(whole)], strict=True)]
        headers = EVENT_STREAM if kind == "stream" else ()
        messages = make_response_messages(submit.attempt_id, parts, headers)
        if is_cut:
            messages[-1] = Refuse(submit.attempt_id, 1301, "no")
        if kind == "stream":
            peer.send(messages.pop(0))
        else:
            upstream.is_frozen = True
        running.append((upstream, peer, messages))

    await entry.add(script, count=2, service="" if kind == "stream" else "ledger")
    fetch = _fetch(entry, kind)
    while len(running) < 2:
        await asyncio.sleep(0.005)
    assert running[0][0] is not running[1][0]
    while any(messages for *_, messages in running):
        _, peer, messages = rng.choice([item for item in running if item[2]])
        peer.send(messages.pop(0))
        await asyncio.sleep(rng.choice([0.0, 0.01]))
    response = await fetch
    upstreams = [upstream for upstream, *_ in running]
    bodies = [b"".join(_make_parts(upstream.host, kind)) for upstream in upstreams]
    if not is_cut:
        assert response.body in bodies
        loser = upstreams[1 - bodies.index(response.body)]
        while not loser.cancels:
            await asyncio.sleep(0.005)
        assert sum(len(upstream.cancels) for upstream in upstreams) == 1
    else:
        events, separator, error = response.body.rpartition(b'{"error": ')
        assert json.loads(separator + error)["error"]["executed"] == "unknown"
        events = events.removesuffix(b"data: ")
        assert bool(events) == (kind == "stream")
        assert any(body.startswith(events) for body in bodies)
    assert not any(_list_open(entry))


@pytest.mark.parametrize("key", ["", "a"])
@with_entry(claims=_make_claims)
async def test_request_that_must_not_run_twice_is_at_one_upstream_only(
    entry: Entry, key: str
) -> None:
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        upstream.is_frozen = True
        for message in _make_messages(upstream.host, "service", submit):
            asyncio.get_running_loop().call_later(SILENT_S, peer.send, message)

    await entry.add(script, count=2, service="ledger")
    headers = {**DEADLINE, **({"Idempotency-Key": key} if key else {})}
    for _ in range(2 if key else 1):
        response = await entry.fetch(LEDGER, method="POST", body=b"5", headers=headers)
        assert response.body == b"".join(_make_parts(submits[0].host, "service"))
    assert len(submits) == 1


@pytest.mark.parametrize("is_first_last", [False, True])
@pytest.mark.parametrize(
    ("end", "executed"), [("no", "no"), ("unknown", "unknown"), ("", "unknown")]
)
@with_entry()
async def test_request_that_may_have_run_is_never_said_not_to_have_run(
    entry: Entry, end: str, executed: str, is_first_last: bool
) -> None:
    """The first upstream ends with a refusal, or its connection closes; the second one never ran it."""
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        call_later = asyncio.get_running_loop().call_later
        if len(submits) == 2:
            delay_s = 0.1 if is_first_last else 0.7
            call_later(delay_s, peer.send, Refuse(submit.attempt_id, 1205, "no"))
            return
        peer.send(Started(submit.attempt_id))
        if end:
            call_later(SILENT_S, peer.send, Refuse(submit.attempt_id, 1301, end))
        else:
            call_later(SILENT_S, peer.close)

    await entry.add(script, count=2)
    response = await _fetch(entry, "stream")
    assert json.loads(response.body)["error"]["executed"] == executed
    assert len(submits) == 2
    assert not any(_list_open(entry))


@with_entry()
async def test_caller_that_leaves_ends_its_request_at_all_upstreams(entry: Entry) -> None:
    upstreams = await entry.add(
        lambda upstream, peer, submit: peer.send(Started(submit.attempt_id)), count=2
    )
    with pytest.raises(Exception, match="Timeout"):
        await _fetch(entry, "stream", request_timeout=1.0)
    while not all(len(upstream.cancels) == 1 for upstream in upstreams):
        await asyncio.sleep(0.005)
    assert not any(_list_open(entry))


@with_entry()
async def test_request_is_not_sent_on_while_one_of_its_upstreams_runs_it(entry: Entry) -> None:
    submits: list[ScriptedUpstream] = []

    def script(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
        submits.append(upstream)
        upstream.is_frozen = upstream is submits[0]
        if not upstream.is_frozen:
            started, *messages = _make_messages(upstream.host, "plain", submit)
            peer.send(started)
            for message in messages:
                asyncio.get_running_loop().call_later(0.8, peer.send, message)

    await entry.add(script, count=3)
    response = await _fetch(entry, "plain")
    assert response.body == b"".join(_make_parts(submits[1].host, "plain"))
    assert len(submits) == 2
