"""Model engines: adapter protocol, adapter registry and the adapter ``openai``."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from tornado.httputil import HTTPHeaders

from sycamoreproxy._event_stream import EventStreamError, EventStreamReader, MixedVersionsError
from sycamoreproxy._http_client import AnswerLostError, HttpClient, NotSentError
from sycamoreproxy._http_headers import filter_request_headers, filter_response_headers
from sycamoreproxy.held_bytes import BufferBudget
from sycamoreproxy.registry import Registry
from sycamoreproxy.result_codes import (
    ANSWER_INCOMPLETE,
    ANSWER_TOO_LONG,
    MIXED_VERSIONS,
    UPSTREAM_FAILED,
    UPSTREAM_LOST,
    Executed,
)
from sycamoreproxy.upstream_answers import (
    AnswerListener,
    AnswerTotals,
    UpstreamFailureError,
    UpstreamRequest,
)

#: Maximum size of a streamed response body of an engine, in bytes.
MAX_STREAM_BYTES = 64 * 1024 * 1024
#: Maximum size of a response body that is not streamed, in bytes. It is buffered completely, and the
#: stream to the entry host buffers at most 8 MiB.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
#: Maximum size of the response to a control call, in bytes.
MAX_CONTROL_BYTES = 64 * 1024


class EngineReportError(Exception):
    """A cancellation or a load report call returned no usable response."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Load report of an engine; it may lag behind the actual load.

    :param running: number of requests in the running batch.
    :param waiting: number of requests queued inside the engine.
    :param gap_ms: time between tokens in milliseconds, 0 if unknown.
    :param cached_prefixes: number of prefixes in the prefix cache.
    """

    running: int
    waiting: int
    gap_ms: float = 0.0
    cached_prefixes: int = 0


class Engine(Protocol):
    """Adapter for a model engine on the same host."""

    async def generate(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerTotals:
        """Run a request and relay its response; cancelling the task frees the slot in the engine.

        :raises UpstreamFailureError: if there is no complete response from a single version.
        """

    async def cancel(self, request_id: str) -> None:
        """Free the slot of a request; an unknown ID has no effect.

        :raises EngineReportError: if the engine returned no usable response.
        """

    async def read_report(self) -> EngineReport:
        """Return the load report.

        :raises EngineReportError: if the engine returned no usable response.
        """

    def close(self) -> None:
        """Close the connections to the engine."""


#: Factories ``(address, control_timeout_s) -> Engine`` by adapter name.
engines: Registry[Callable[[str, float], Engine]] = Registry("engine adapter")


@engines.register("openai")
class OpenAiEngine:
    """Adapter for the OpenAI HTTP API with streaming, request priorities and control calls.

    :param address: base URL of the engine.
    :param control_timeout_s: timeout of a control call in seconds.
    """

    def __init__(self, address: str, control_timeout_s: float) -> None:
        self._client = HttpClient(address, max_body_bytes=MAX_STREAM_BYTES)
        self._buffer_budget = BufferBudget()
        self._control_timeout_s = control_timeout_s
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def generate(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerTotals:
        """Run a request and relay its response; cancelling the task frees the slot in the engine.

        :raises UpstreamFailureError: if there is no complete response from a single version.
        """
        body, keeps_usage = prepare_body(request.body, priority=request.priority)
        headers = filter_request_headers(request.headers)
        headers["X-Request-Id"] = request.request_id
        validator = _ResponseValidator(
            listener, keeps_usage=keeps_usage, buffer_budget=self._buffer_budget
        )
        is_slot_free = False
        try:
            await self._client.exchange(
                method=request.method,
                path=request.path,
                headers=headers,
                body=body,
                on_head=validator.handle_head,
                on_data=validator.handle_data,
                repeatable=request.idempotent,
            )
            end = validator.finish()
            is_slot_free = True
            return end
        except NotSentError as error:
            is_slot_free = True
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.NO, str(error)) from error
        except AnswerLostError as error:
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.UNKNOWN, str(error)) from error
        except MixedVersionsError as error:
            raise UpstreamFailureError(MIXED_VERSIONS, Executed.YES, str(error)) from error
        except EventStreamError as error:
            raise UpstreamFailureError(UPSTREAM_FAILED, Executed.UNKNOWN, str(error)) from error
        finally:
            validator.release()
            # The engine notices a closed connection only at its next write, so the slot is freed
            # explicitly.
            if not is_slot_free:
                self._start_cancel(request.request_id)

    async def cancel(self, request_id: str) -> None:
        """Free the slot of a request; an unknown ID has no effect."""
        await self._call_control("POST", "/control/cancel", {"request_id": request_id})

    async def read_report(self) -> EngineReport:
        """Return the current load report."""
        value = await self._call_control("GET", "/control/report")
        return EngineReport(
            running=int(value.get("running", 0)),
            waiting=int(value.get("waiting", 0)),
            gap_ms=float(value.get("gap_ms", 0.0)),
            cached_prefixes=int(value.get("cached_prefixes", 0)),
        )

    def close(self) -> None:
        """Cancel pending cancellation calls and close the connections."""
        for task in self._cancel_tasks:
            task.cancel()
        self._client.close()

    def _start_cancel(self, request_id: str) -> None:
        task = asyncio.get_running_loop().create_task(self._cancel_ignoring_errors(request_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _cancel_ignoring_errors(self, request_id: str) -> None:
        try:
            await self.cancel(request_id)
        except EngineReportError:
            # The closed connection also frees the slot, at the next write of the engine.
            return

    async def _call_control(self, method: str, path: str, payload: Any = None) -> dict[str, Any]:
        body = b"" if payload is None else json.dumps(payload).encode()
        try:
            status, _, data = await self._client.fetch(
                method=method,
                path=path,
                body=body,
                timeout_s=self._control_timeout_s,
                max_bytes=MAX_CONTROL_BYTES,
            )
            value = json.loads(data) if status < 400 else None
        except (NotSentError, AnswerLostError, ValueError) as error:
            raise EngineReportError(f"{path}: {error}") from error
        if not isinstance(value, dict):
            raise EngineReportError(f"{path}: status {status} without a JSON object")
        return value


def prepare_body(body: bytes, *, priority: int) -> tuple[bytes, bool]:
    """Set the request priority and request the usage event of a streamed response.

    :returns: the new body, and whether the caller itself requested the usage event. A body that
        is not a JSON object is returned unchanged; the engine responds to it with an error.
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


class _ResponseValidator:
    """Validates one response while relaying it.

    :param listener: receives the relayed parts.
    :param keeps_usage: whether the usage event is relayed to the caller.
    :param buffer_budget: limit on the bytes buffered for all responses together.
    """

    def __init__(
        self, listener: AnswerListener, *, keeps_usage: bool, buffer_budget: BufferBudget
    ) -> None:
        self._listener = listener
        self._buffer_budget = buffer_budget
        self._buffered_bytes = 0
        self._keeps_usage = keeps_usage
        self._version = ""
        self._event_reader: EventStreamReader | None = None
        self._parts: list[bytes] | None = None

    def handle_head(self, status: int, headers: HTTPHeaders) -> None:
        """Validate and relay the status and headers."""
        self._version = headers.get("X-Model-Version", "")
        if status >= 500 or status == 429:
            raise UpstreamFailureError(
                UPSTREAM_FAILED, Executed.UNKNOWN, f"the engine answered with status {status}"
            )
        if status == 200 and headers.get("Content-Type", "").startswith("text/event-stream"):
            self._event_reader = EventStreamReader(
                version=self._version, keeps_usage=self._keeps_usage
            )
        else:
            self._parts = []
        self._listener.on_head(status, filter_response_headers(headers), self._version)

    def handle_data(self, data: bytes) -> None:
        """Relay a part of a streamed body, or buffer it if the response is not streamed."""
        if self._event_reader is not None:
            data, tokens = self._event_reader.feed(data)
            if data:
                self._listener.on_output(data, tokens)
            return
        assert self._parts is not None
        size = self._buffered_bytes + len(data)
        if size > MAX_RESPONSE_BYTES or not self._buffer_budget.resize(self._buffered_bytes, size):
            self._parts.clear()
            raise UpstreamFailureError(
                ANSWER_TOO_LONG, Executed.UNKNOWN, f"{size} bytes without a stream"
            )
        self._buffered_bytes = size
        self._parts.append(data)

    def release(self) -> None:
        """Release the buffer space that is reserved for this response."""
        self._buffer_budget.resize(self._buffered_bytes, 0)
        self._buffered_bytes = 0

    def finish(self) -> AnswerTotals:
        """Check that the response is complete and return its token counts and version."""
        event_reader = self._event_reader
        if event_reader is not None:
            if not event_reader.is_done:
                raise UpstreamFailureError(
                    ANSWER_INCOMPLETE, Executed.YES, "the stream ended without [DONE]"
                )
            return AnswerTotals(
                event_reader.prompt_tokens, event_reader.output_tokens, event_reader.version
            )
        return self._finish_unstreamed()

    def _finish_unstreamed(self) -> AnswerTotals:
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
        return AnswerTotals(
            int(usage.get("prompt_tokens") or 0), output, self._version or str(fingerprint or "")
        )
