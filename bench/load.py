"""Load generator: callers that send requests at seeded times and record what they see."""

from __future__ import annotations

import asyncio
import hashlib
import json
import multiprocessing
import random
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from standins.engine import digest_request

#: Time after its deadline that a caller waits for the end of an answer, in seconds.
ANSWER_GRACE_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request to come.

    :param at: seconds after the start of the run.
    :param client_account: whose bearer key is used.
    :param deadline_s: bound of the first token, for the verdict on time.
    """

    at: float
    client_account: str
    rank: str
    model: str
    prompt_words: int = 40
    max_tokens: int = 32
    deadline_s: float = 1.4
    stream: bool = True
    path: str = ""
    idempotency_key: str = ""


@dataclass(slots=True)
class Sample:
    """What the caller saw of one request.

    :param first_s: time to the first token, or None.
    :param total_s: time to the end.
    :param result: ``whole``, ``refused``, ``cut`` (no proper end), or ``crossed``.
    """

    arrival: Arrival
    request_id: str
    first_s: float | None = None
    total_s: float = 0.0
    tokens: int = 0
    result: str = "cut"
    status: int = 0
    code: int = 0
    executed: str = ""
    versions: frozenset[str] = frozenset()
    content: str = ""
    expected: str = ""
    body: bytes = b""

    @property
    def on_time(self) -> bool:
        """Whether a whole answer began within its deadline."""
        return (
            self.result == "whole"
            and self.first_s is not None
            and self.first_s <= self.arrival.deadline_s
        )


@dataclass(slots=True)
class Caller:
    """Sends the requests of a run to entry hosts in turn.

    :param entries: ``(ip, port)`` of each caller listener.
    :param keys_by_account: bearer keys.
    """

    entries: list[tuple[str, int]]
    keys_by_account: dict[str, str]
    samples: list[Sample] = field(default_factory=list)
    _next: int = 0

    async def run(
        self,
        arrivals: Iterable[Arrival],
        *,
        start: float | None = None,
        connections: int = 2_000,
    ) -> list[Sample]:
        """Send every request at its time and return the samples in order of arrival.

        :param start: reading of the monotonic clock from which arrivals count; now if None.
        """
        slots = asyncio.Semaphore(connections)
        start = time.monotonic() if start is None else start
        tasks = []
        for number, arrival in enumerate(sorted(arrivals, key=lambda item: item.at)):
            delay = start + arrival.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(
                asyncio.create_task(self._send_bounded(arrival, f"{arrival.rank}{number}", slots))
            )
        samples = list(await asyncio.gather(*tasks))
        self.samples.extend(samples)
        return samples

    async def _send_bounded(
        self, arrival: Arrival, request_id: str, slots: asyncio.Semaphore
    ) -> Sample:
        async with slots:
            return await self.send(arrival, request_id)

    async def send(self, arrival: Arrival, request_id: str) -> Sample:
        """Send one request and read its answer to the end."""
        sample = Sample(arrival=arrival, request_id=request_id)
        start = time.monotonic()
        writer = None
        try:
            self._next += 1
            ip, port = self.entries[self._next % len(self.entries)]
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(self._make_request(arrival, sample))
            limit = arrival.deadline_s + ANSWER_GRACE_S
            await asyncio.wait_for(self._read_answer(reader, sample, start), limit)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        sample.total_s = time.monotonic() - start
        return sample

    def _make_request(self, arrival: Arrival, sample: Sample) -> bytes:
        key = self.keys_by_account[arrival.client_account]
        # The engine's answer depends on the prompt only, so each prompt names its request.
        prompt = f"{sample.request_id} " + "word " * arrival.prompt_words
        request = {
            "model": arrival.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": arrival.max_tokens,
            "stream": arrival.stream,
        }
        # The engine stand-in answers with the start of its request's digest.
        sample.expected = digest_request(request)[:16]
        body = json.dumps(request).encode()
        path = arrival.path or "/v1/chat/completions"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Type: application/json\r\nX-Rank: {arrival.rank}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        )
        if arrival.idempotency_key:
            head += f'Idempotency-Key: "{arrival.idempotency_key}"\r\n'
        return head.encode() + b"\r\n" + body

    async def _read_answer(
        self, reader: asyncio.StreamReader, sample: Sample, start: float
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        sample.status = int(lines[0].split(" ")[1])
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        if sample.status == 200 and "text/event-stream" in headers.get("content-type", ""):
            await self._read_events(_body_lines(reader, headers), sample, start)
            return
        body = b"".join([part async for part in _body_parts(reader, headers)])
        sample.first_s = time.monotonic() - start
        sample.body = body
        if 200 <= sample.status < 300:
            sample.result = "whole"
            return
        error = json.loads(body)["error"]
        sample.result = "refused"
        sample.code = int(error["code"])
        sample.executed = error["executed"]

    async def _read_events(self, lines: Any, sample: Sample, start: float) -> None:
        versions = set()
        async for line in lines:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                sample.result = _judge(sample)
                continue
            event = json.loads(data)
            if "error" in event:
                sample.result = "refused"
                sample.code = int(event["error"].get("code", 0))
                sample.executed = str(event["error"].get("executed", ""))
                continue
            if sample.first_s is None:
                sample.first_s = time.monotonic() - start
            if event.get("system_fingerprint"):
                versions.add(event["system_fingerprint"])
            for choice in event.get("choices", ()):
                text = choice.get("delta", {}).get("content")
                if text:
                    sample.tokens += 1
                    sample.content = sample.content or text
        sample.versions = frozenset(versions)


def _judge(sample: Sample) -> str:
    """Return ``whole`` only for every token of the answer to this very request."""
    if sample.content != sample.expected:
        return "crossed"
    return "whole" if sample.tokens == sample.arrival.max_tokens else "cut"


async def _body_parts(reader: asyncio.StreamReader, headers: dict[str, str]) -> Any:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    length = int(headers.get("content-length", "0"))
    yield await reader.readexactly(length)


async def _body_lines(reader: asyncio.StreamReader, headers: dict[str, str]) -> Any:
    rest = b""
    async for part in _body_parts(reader, headers):
        rest += part
        *lines, rest = rest.split(b"\n")
        for line in lines:
            yield line
    if rest:
        yield rest


def run_in_workers(caller: Caller, groups: list[list[Arrival]]) -> list[Sample]:
    """Send each group of requests from a process of its own, all from the same start.

    A generator that shares its event loop with a flood would add its own delay to what it
    measures.

    :returns: the samples of all groups in order of arrival.
    """
    start = time.monotonic() + 1.0
    context = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(max_workers=len(groups), mp_context=context) as pool:
        parts = list(pool.map(_run_group, [(caller, group, start) for group in groups]))
    return sorted((s for part in parts for s in part), key=lambda item: item.arrival.at)


def _run_group(job: tuple[Caller, list[Arrival], float]) -> list[Sample]:
    caller, group, start = job
    return asyncio.run(caller.run(group, start=start))


def poisson_arrivals(
    rng: random.Random, *, rate: float, seconds: float, start: float = 0.0, **values: Any
) -> list[Arrival]:
    """Return arrivals of a Poisson process.

    :param rate: requests a second.
    :param values: the other fields of each :class:`Arrival`.
    """
    arrivals = []
    at = start
    while True:
        at += rng.expovariate(rate)
        if at >= start + seconds:
            return arrivals
        arrivals.append(Arrival(at=at, **values))


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the nearest-rank percentile; NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def digest_key(key: str) -> str:
    """Return the digest under which settings name a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()
