"""Callers of the fault soak: they keep their connections until the process is gone."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from bench.soak_idle_limits import REUSE_FRACTION, IdleLimits
from bench.soak_site import (
    CALLER_PORT,
    KEY,
    LONG_EVENTS,
    LONG_TIMEOUT_S,
    MODEL,
    PRIORITY_BY_GENERATION,
    TIMEOUT_S,
    Host,
)
from standins.platform import EVENTS

#: Whole body of a stream of the stand-in's engines, by kind.
STREAM_BY_KIND = {
    kind: b"".join(
        b"id: %d\ndata: token %d\n\n" % (n, n)
        for n in range(1, (LONG_EVENTS if kind == "long" else EVENTS) + 1)
    )
    for kind in PRIORITY_BY_GENERATION
}
#: Prompt and longest answer of a stream in tokens, by kind.
TOKENS_BY_KIND = {"ask": "100,25", "draft": "100,25", "long": f"100,{5 * LONG_EVENTS}"}
#: Time after its time limit at which a caller gives a request up, in seconds: the allowed half second,
#: and what the longest pause of a process adds.
GIVE_UP_S = 6.0
#: Pause between two requests of one caller, in seconds.
PAUSE_S = 0.1
#: Least and greatest part of the permitted idle time after which a pausing caller reuses its connection.
IDLE_PART_MIN, IDLE_PART_MAX = 0.7, 0.95
#: Interval at which a pausing caller looks at the idle limit, in seconds.
IDLE_POLL_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a caller saw of one request.

    :param host: entry host that it was sent to, and the lifetime of its process.
    :param status: 0 if no answer began.
    :param is_whole: whether the answer ended as its framing says.
    :param is_signed: whether it is a runner's.
    :param is_fresh: whether it was the first request of its connection.
    :param idle_since: end of the answer before it on its connection; None on the first request.
    :param was_closed: whether the connection was seen to be closed before it was sent.
    """

    request_id: str
    kind: str
    host: Host
    lifetime: int
    sent_at: float
    ended_at: float
    status: int = 0
    is_whole: bool = False
    is_signed: bool = False
    is_fresh: bool = False
    idle_since: float | None = None
    was_closed: bool = False
    body: bytes = b""
    echoed_id: str = ""

    @property
    def expected_body(self) -> bytes:
        """The body of a success."""
        if self.kind in PRIORITY_BY_GENERATION:
            return STREAM_BY_KIND[self.kind]
        return json.dumps({"path": f"/{self.kind}/x", "body": self.request_id}).encode()

    @property
    def limit_s(self) -> float:
        """Time limit of its caller, in seconds."""
        return find_limit_s(self.kind)

    @property
    def took_s(self) -> float:
        """Time from the request to its end, in seconds."""
        return self.ended_at - self.sent_at


class Caller:
    """Sends requests to one entry host, one after the other, on one connection while it lasts.

    :param outcomes: where results are added.
    """

    def __init__(self, *, name: str, host: Host, outcomes: list[Outcome]) -> None:
        self._name = name
        self._host = host
        self._outcomes = outcomes
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._lifetime = 0
        self._idle_since: float | None = None

    async def run(self, random_source: random.Random, *, until: asyncio.Event) -> None:
        """Send requests of all kinds until an event is set."""
        while not until.is_set():
            kind = random_source.choice(["ask", "ask", "draft", "read", "post"])
            await self.ask(kind)
            await asyncio.sleep(PAUSE_S * random_source.uniform(0.2, 3.0))

    async def run_with_pauses(
        self, random_source: random.Random, limits: IdleLimits, *, until: asyncio.Event
    ) -> None:
        """Send requests after pauses of nearly the permitted idle time until an event is set."""
        while not until.is_set():
            await self.ask(random_source.choice(["ask", "read", "post"]))
            part = random_source.uniform(IDLE_PART_MIN, IDLE_PART_MAX)
            await self._pause(part, limits, until)

    async def _pause(self, part: float, limits: IdleLimits, until: asyncio.Event) -> None:
        """Wait for a part of the newest permitted idle time; close a connection that exceeds it."""
        await asyncio.sleep(IDLE_POLL_S)
        while self._idle_since is not None and not until.is_set():
            now = time.monotonic()
            permitted_s = REUSE_FRACTION * limits.newest_s
            # A raise counts once all hosts apply it.
            if now - self._idle_since >= part * permitted_s and limits.permit_reuse(
                self._idle_since, now
            ):
                return
            if now - self._idle_since > permitted_s:
                self.close()
            await asyncio.sleep(IDLE_POLL_S)

    async def ask(self, kind: str) -> Outcome | None:
        """Send one request; None if the host takes no connection."""
        is_fresh = self._writer is None
        if not await self.open():
            await asyncio.sleep(0.1)
            return None
        assert self._reader is not None and self._writer is not None
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        idle_since, was_closed = self._idle_since, self._reader.at_eof()
        sent_at = time.monotonic()
        status, body, is_whole = 0, b"", False
        headers: dict[str, str] = {}
        try:
            async with asyncio.timeout(find_limit_s(kind) + GIVE_UP_S):
                self._writer.write(_make_request(request_id, kind))
                await self._writer.drain()
                status, headers = await _read_head(self._reader)
                async for part in _read_body(self._reader, headers):
                    body += part
                is_whole = True
                self._idle_since = time.monotonic()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        outcome = Outcome(
            request_id=request_id,
            kind=kind,
            host=self._host,
            lifetime=self._lifetime,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            is_whole=is_whole,
            is_signed="sycamoreproxy-response-signature" in headers,
            is_fresh=is_fresh,
            idle_since=idle_since,
            was_closed=was_closed,
            body=body,
            echoed_id=headers.get("sycamoreproxy-request-id", ""),
        )
        self._outcomes.append(outcome)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return outcome

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = self._idle_since = None

    async def open(self) -> bool:
        """Open a connection if none is open; return whether there is one."""
        if self._writer is not None:
            return True
        self._lifetime = self._host.lifetime
        try:
            async with asyncio.timeout(1):
                self._reader, self._writer = await asyncio.open_connection(
                    self._host.ip, CALLER_PORT
                )
        except (OSError, TimeoutError):
            return False
        return True


def find_limit_s(kind: str) -> float:
    """Return the time that callers give a request of a kind, in seconds."""
    return LONG_TIMEOUT_S if kind == "long" else TIMEOUT_S


def _make_request(request_id: str, kind: str) -> bytes:
    headers = {
        "Host": "office.example",
        "Sycamoreproxy-Request-Id": request_id,
        "Sycamoreproxy-Deadline-Ms": str(int(find_limit_s(kind) * 1000)),
        "X-Api-Key": KEY,
        "Content-Length": str(len(request_id)),
    }
    if kind in PRIORITY_BY_GENERATION:
        headers |= {
            "Sycamoreproxy-Model": MODEL,
            "Sycamoreproxy-Token-Count": TOKENS_BY_KIND[kind],
        }
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /{kind}/x HTTP/1.1\r\n{head}\r\n{request_id}".encode()


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return int(lines[0].split()[1]), headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> AsyncIterator[bytes]:
    """Yield the parts of a body; raise if it ends before its framing says so."""
    if "content-length" in headers:
        yield await reader.readexactly(int(headers["content-length"]))
        return
    while True:
        size = int((await reader.readline()).decode("latin-1") or "x", 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield chunk[:-2]
