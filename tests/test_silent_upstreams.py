"""Seeded runs in which sound upstreams fall silent while others fail in many ways."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
from collections import Counter
from collections.abc import Callable

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.watched_documents import Document
from tests._raw_upstream import SIGNED, write_parts
from tests.test_routed_entry import (
    GENERATION_HEADERS,
    NOT_EXECUTED,
    Site,
    _change_routes,
    _put_upstream,
    run_with_site,
)

TIMEOUT_S = 9.0
REQUESTS = 40
#: Upstreams of each of the two services.
UPSTREAMS = 4
#: Longest sum of the silences of a sound upstream, in seconds.
SILENCE_MAX_S = 4.0
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 7)]
LONG_BODY = b"x" * 40_000
#: Shorter than an event.
INCOMPLETE_BYTES = 15

#: Bytes to send and pauses in seconds; the connection is closed at the end.
Answer = list[bytes | float]


def _make_head(request_id: bytes) -> bytes:
    return SIGNED + b"Sycamoreproxy-Request-Id: %b\r\n" % request_id


def _answer_sound(draw: random.Random, request_id: bytes, rest: bytes) -> Answer:
    """A complete response in random pieces, with one or two silences."""
    data = _make_head(request_id) + b"Content-Length: %d\r\n\r\n" % len(rest) + rest
    cuts = sorted(draw.sample(range(1, len(data)), k=draw.randint(2, 8)))
    pieces = [data[i:j] for i, j in zip([0, *cuts], [*cuts, len(data)], strict=True)]
    answer: Answer = []
    silent_at = draw.sample(range(len(pieces)), k=draw.randint(1, 2))
    for number, piece in enumerate(pieces):
        if number in silent_at:
            answer.append(draw.uniform(SILENCE_MAX_S / 4, SILENCE_MAX_S / 2))
        answer.append(piece)
    return answer


def _answer_failing(draw: random.Random, request_id: bytes, rest: bytes) -> Answer:
    """A response of an upstream that fails in one of many ways, after a random time."""
    head = _make_head(request_id)
    length = b"Content-Length: %d\r\n\r\n"
    failure = b"HTTP/1.1 500 Error\r\nSycamoreproxy-Request-Id: %b\r\n" % request_id
    answers: list[Answer] = [
        [NOT_EXECUTED.replace(b"{id}", request_id)],
        [failure + length % 0],
        [failure + length % len(LONG_BODY) + LONG_BODY],
        [head.replace(b"200 OK", b"500 Error") + length % 2 + b"no"],
        [b""],
        [head + length % len(rest) + rest[: draw.randrange(INCOMPLETE_BYTES)]],
        [head + b"Transfer-Encoding: chunked\r\n\r\n", TIMEOUT_S],
        [TIMEOUT_S],
        _answer_sound(draw, request_id, rest),
    ]
    return [draw.uniform(0.0, 0.6), *draw.choice(answers)]


class _Upstreams:
    """Answers the first attempt of each request soundly, and further ones in other ways."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.attempts_by_id: Counter[str] = Counter()

    async def listen(self) -> int:
        """Add a listener and return its port."""
        socket, port = bind_unused_port()
        await asyncio.start_server(self._serve, sock=socket)
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = _find(rb"Sycamoreproxy-Request-Id: (\S+)", head)
                self.attempts_by_id[request_id] += 1
                attempt = self.attempts_by_id[request_id]
                draw = random.Random(f"{self._seed} {request_id} {attempt}")
                last_event = int(_find(rb"Last-Event-Id: (\d+)", head) or 0)
                make = _answer_sound if attempt == 1 else _answer_failing
                rest = b"".join(EVENTS[last_event:])
                await write_parts(writer, make(draw, request_id.encode(), rest))
        finally:
            writer.close()


def _find(pattern: bytes, head: bytes) -> str:
    found = re.search(pattern, head)
    return found[1].decode() if found else ""


def _run(
    upstreams: _Upstreams, check: Callable[[Site, str, tuple[int, bytes, bool]], None]
) -> None:
    async def ask(site: Site, number: int) -> None:
        draw = random.Random(number)
        await asyncio.sleep(draw.uniform(0.0, 2.0))
        request_id = f"request-{number}"
        status, _, body, is_complete = await site.send(
            draw.choice(["/ask/x", "/read/x"]),
            Sycamoreproxy_Request_Id=request_id,
            Sycamoreproxy_Deadline_Ms=str(int(TIMEOUT_S * 1000)),
            **GENERATION_HEADERS,
        )
        check(site, request_id, (status, body, is_complete))

    async def action(site: Site) -> None:
        # Otherwise most requests would have no resend.
        site.front.dispatcher._budget_for("model").update_entry_hosts(1)
        _change_routes(site, timeout_ms=int(TIMEOUT_S * 1000), max_attempts=3)
        for number in range(4):
            site.replica.apply(Document(f"servers/i-{number}", 2, None), source="test")
            site.front.dispatcher._catalog.mark_replaced(f"i-{number}")
        for number in range(2 * UPSTREAMS):
            service = "model" if number < UPSTREAMS else "ledger"
            _put_upstream(site, f"silent-{number}", service, await upstreams.listen())
        await asyncio.gather(*(ask(site, number) for number in range(REQUESTS)))

    run_with_site(action)


@pytest.mark.parametrize("seed", range(4))
def test_no_request_of_a_sound_upstream_is_lost_because_another_one_fails(seed: int) -> None:
    """Nothing of a failed attempt may enter, end or replace the response of the silent upstream."""
    whole = (200, b"".join(EVENTS), True)
    outcomes: Counter[bool] = Counter()

    def check(site: Site, request_id: str, seen: tuple[int, bytes, bool]) -> None:
        has_arrived = upstreams.attempts_by_id[request_id] > 0
        outcomes[has_arrived] += 1
        if has_arrived:
            assert seen == whole, (request_id, upstreams.attempts_by_id[request_id])

    upstreams = _Upstreams(seed)
    _run(upstreams, check)
    assert outcomes[True] >= REQUESTS / 2
    assert sum(count > 1 for count in upstreams.attempts_by_id.values()) >= REQUESTS / 4
