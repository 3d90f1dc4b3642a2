"""Model engines: protocol of their adapters, registry, and the adapter ``openai``."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from tornado.httputil import HTTPHeaders

from sycamoreproxy._event_stream import EventStreamError, EventStreamReader, MixedVersionsError
from sycamoreproxy._http_client import AnswerLostError, HttpClient, NotSentError
from sycamoreproxy._http_headers import list_answer_headers, make_request_headers
from sycamoreproxy.registry import Registry
from sycamoreproxy.result_codes import (
    ANSWER_INCOMPLETE,
    MIXED_VERSIONS,
    UPSTREAM_FAILED,
    UPSTREAM_LOST,
    Executed,
)
from sycamoreproxy.upstream_answers import (
    AnswerEnd,
    AnswerListener,
    UpstreamFailureError,
    UpstreamRequest,
)

#: Longest answer of an engine, in bytes.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class EngineReportError(Exception):
    """A cancellation or a load report had no usable answer."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Lagging load report.

    :param running: requests in the batch.
    :param waiting: requests that wait inside the engine.
    :param gap_ms: time between tokens in milliseconds, 0 if unknown.
    """

    running: int
    waiting: int
    gap_ms: float = 0.0
    cached_prefixes: int = 0


class Engine(Protocol):
    """A model engine on the same host."""

    async def generate(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerEnd:
        """Run a request and pass its answer on; cancelling the task frees the engine's slot.

        :raises UpstreamFailureError: if there is no whole answer of one version.
        """

    async def cancel(self, request_id: str) -> None:
        """Free the slot of a request; an unknown ID has no effect.

        :raises EngineReportError: if the engine gave no answer.
        """

    async def read_report(self) -> EngineReport:
        """Return the load report.

        :raises EngineReportError: if there is no usable answer.
        """

    def close(self) -> None:
        """Release connections."""


#: Factories ``(address, control_timeout_s) -> Engine`` by adapter name.
engines: Registry[Callable[[str, float], Engine]] = Registry("engine adapter")


@engines.register("openai")
class OpenAiEngine:
    """Talks the OpenAI HTTP API with streamed output, priorities and the control calls.

    :param address: base URL.
    :param control_timeout_s: longest wait for a control call, in seconds.
    """

    def __init__(self, address: str, control_timeout_s: float) -> None:
        self._client = HttpClient(address, max_body_bytes=MAX_ANSWER_BYTES)
        self._control_timeout_s = control_timeout_s
        self._cancels: set[asyncio.Task[None]] = set()

    async def generate(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerEnd:
        """Run a request and pass its answer on; cancelling the task frees the engine's slot.

        :raises UpstreamFailureError: if there is no whole answer of one version.
        """
        body, keeps_usage = prepare_body(request.body, priority=request.priority)
        headers = make_request_headers(request.headers)
        headers["X-Request-Id"] = request.request_id
        answer = _Answer(listener, keeps_usage=keeps_usage)
        is_whole = False
        try:
            await self._client.exchange(
                method=request.method,
                path=request.path,
                headers=headers,
                body=body,
                on_head=answer.take_head,
                on_data=answer.take_data,
                repeatable=request.idempotent,
            )
            end = answer.finish()
            is_whole = True
            return end
        except NotSentError as error:
            is_whole = True
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.NO, str(error)) from error
        except AnswerLostError as error:
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.UNKNOWN, str(error)) from error
        except MixedVersionsError as error:
            raise UpstreamFailureError(MIXED_VERSIONS, Executed.YES, str(error)) from error
        except EventStreamError as error:
            raise UpstreamFailureError(UPSTREAM_FAILED, Executed.UNKNOWN, str(error)) from error
        finally:
            # A closed connection alone frees the slot only when the engine next writes to it.
            if not is_whole:
                self._cancel_later(request.request_id)

    async def cancel(self, request_id: str) -> None:
        """Free the slot of a request; an unknown ID has no effect."""
        await self._control("POST", "/control/cancel", {"request_id": request_id})

    async def read_report(self) -> EngineReport:
        """Return the load report."""
        value = await self._control("GET", "/control/report")
        return EngineReport(
            running=int(value.get("running", 0)),
            waiting=int(value.get("waiting", 0)),
            gap_ms=float(value.get("gap_ms", 0.0)),
            cached_prefixes=int(value.get("cached_prefixes", 0)),
        )

    def close(self) -> None:
        """Release connections."""
        for task in self._cancels:
            task.cancel()
        self._client.close()

    def _cancel_later(self, request_id: str) -> None:
        task = asyncio.get_running_loop().create_task(self._cancel_quietly(request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel_quietly(self, request_id: str) -> None:
        try:
            await self.cancel(request_id)
        except EngineReportError:
            # The closed connection frees the slot as well, later.
            return

    async def _control(self, method: str, path: str, content: Any = None) -> dict[str, Any]:
        body = b"" if content is None else json.dumps(content).encode()
        try:
            status, _, data = await self._client.fetch(
                method=method,
                path=path,
                body=body,
                timeout_s=self._control_timeout_s,
            )
            value = json.loads(data) if status < 400 else None
        except (NotSentError, AnswerLostError, ValueError) as error:
            raise EngineReportError(f"{path}: {error}") from error
        if not isinstance(value, dict):
            raise EngineReportError(f"{path}: status {status}")
        return value


def prepare_body(body: bytes, *, priority: int) -> tuple[bytes, bool]:
    """Set the engine's priority and ask for the usage of a streamed answer.

    :returns: the new body, and whether the caller itself asked for the usage event. A body that
        is no JSON object is returned as it is; the engine answers it with an error.
    """
    try:
        value = json.loads(body)
    except ValueError:
        return body, True
    if not isinstance(value, dict):
        return body, True
    value["priority"] = priority
    keeps_usage = True
    if value.get("stream") is True:
        options = value.get("stream_options")
        options = dict(options) if isinstance(options, dict) else {}
        keeps_usage = bool(options.get("include_usage"))
        options["include_usage"] = True
        value["stream_options"] = options
    return json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode(), keeps_usage


class _Answer:
    """Checks one answer while it passes through.

    :param listener: receives the parts.
    """

    def __init__(self, listener: AnswerListener, *, keeps_usage: bool) -> None:
        self._listener = listener
        self._keeps_usage = keeps_usage
        self._version = ""
        self._events: EventStreamReader | None = None
        self._parts: list[bytes] | None = None

    def take_head(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers."""
        self._version = headers.get("X-Model-Version", "")
        if status >= 500 or status == 429:
            raise UpstreamFailureError(
                UPSTREAM_FAILED, Executed.UNKNOWN, f"the engine answered with status {status}"
            )
        if status == 200 and headers.get("Content-Type", "").startswith("text/event-stream"):
            self._events = EventStreamReader(version=self._version, keeps_usage=self._keeps_usage)
        else:
            self._parts = []
        self._listener.on_head(status, list_answer_headers(headers), self._version)

    def take_data(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._events is not None:
            data, tokens = self._events.feed(data)
            if data:
                self._listener.on_output(data, tokens)
            return
        assert self._parts is not None
        self._parts.append(data)

    def finish(self) -> AnswerEnd:
        """Check that the answer is whole; return its totals."""
        events = self._events
        if events is not None:
            if not events.is_done:
                raise UpstreamFailureError(
                    ANSWER_INCOMPLETE, Executed.YES, "the stream ended without [DONE]"
                )
            return AnswerEnd(events.prompt_tokens, events.output_tokens, events.version)
        return self._finish_single()

    def _finish_single(self) -> AnswerEnd:
        data = b"".join(self._parts or ())
        try:
            value = json.loads(data)
        except ValueError:
            value = None
        value = value if isinstance(value, dict) else {}
        fingerprint = value.get("system_fingerprint")
        if fingerprint and self._version and fingerprint != self._version:
            raise MixedVersionsError(f"{self._version} and {fingerprint}")
        usage = value.get("usage")
        usage = usage if isinstance(usage, dict) else {}
        output = int(usage.get("completion_tokens") or 0)
        if data:
            self._listener.on_output(data, output)
        return AnswerEnd(
            int(usage.get("prompt_tokens") or 0), output, self._version or str(fingerprint or "")
        )
