"""Stand-in for a model engine: OpenAI API, continuous batching, versions, control calls.

An answer's first token is the start of the sha256 of the request's ``messages`` (or ``prompt``) as
compact JSON with sorted keys, so that a caller can tell whose answer it received. The number of
tokens is ``max_tokens`` (default 16).

Faults: ``stall`` (no token while set), ``fail`` (fraction answered with status 500),
``drop_after_tokens`` (the connection closes after so many tokens), ``slow_factor``,
``mix_after_tokens`` (later chunks carry another version).
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from standins._engine_model import EngineModel, EngineTiming
from standins._server import Faults, JsonHandler, make_parser, serve

#: Records kept, the newest.
MAX_RECORDS = 200_000
#: Letters of a prompt per token, the usual ratio of English text.
LETTERS_PER_TOKEN = 4
#: Letters of the prompt that form its prefix in the cache model.
PREFIX_LETTERS = 256


def digest_chunks(digests: list[str]) -> str:
    """Return the digest of a version: the sha256 of its chunk digests joined as text."""
    return hashlib.sha256("".join(digests).encode()).hexdigest()


def digest_request(body: dict[str, Any]) -> str:
    """Return the sha256 of the messages or the prompt of a request."""
    content = body.get("messages", body.get("prompt", ""))
    text = json.dumps(content, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class _Answer:
    """One request in progress."""

    handler: Any
    request_id: str
    request_sha256: str
    version: str
    digest: str
    model: str
    chat: bool
    stream: bool
    include_usage: bool
    prompt_tokens: int
    tokens: int
    received_at: float
    done: asyncio.Future[str]
    emitted: int = 0


class StandinEngine:
    """State of the engine; one timer drives all its requests.

    :param load_s: time that a load takes, in seconds.
    :param report_lag_s: age of the load report, in seconds.
    :param checks_fencing: whether an order with an old fencing token is refused.
    """

    def __init__(
        self,
        *,
        timing: EngineTiming,
        faults: Faults,
        name: str,
        version: str,
        digest: str,
        load_s: float,
        report_lag_s: float,
        checks_fencing: bool,
    ) -> None:
        self.faults = faults
        self.name = name
        self.version = version
        self.digest = digest
        self.adapters: list[str] = []
        self.fence = 0
        self.chunks_by_digest: dict[str, int] = {}
        self.records: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDS)
        self._model = EngineModel(timing)
        self._answers_by_id: dict[str, _Answer] = {}
        self._load_s = load_s
        self._report_lag_s = report_lag_s
        self._checks_fencing = checks_fencing
        self._loading = 0
        self._ready = asyncio.Event()
        self._ready.set()
        self._timer: asyncio.TimerHandle | None = None
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=1000)
        self._step_at = 0.0
        self._order = 0

    @property
    def loading(self) -> bool:
        """Whether a load is in progress."""
        return self._loading > 0

    async def wait_ready(self) -> None:
        """Wait until no load is in progress."""
        await self._ready.wait()

    def start(self, handler: Any, body: dict[str, Any], *, chat: bool) -> _Answer:
        """Add a request to the batch."""
        self._order += 1
        request_id = handler.request.headers.get("X-Request-Id") or f"r{self._order}"
        content = body.get("messages", body.get("prompt", ""))
        text = content if isinstance(content, str) else json.dumps(content, ensure_ascii=False)
        options = body.get("stream_options") or {}
        answer = _Answer(
            handler=handler,
            request_id=request_id,
            request_sha256=digest_request(body),
            version=self.version,
            digest=self.digest,
            model=str(body.get("model", self.name)),
            chat=chat,
            stream=bool(body.get("stream")),
            include_usage=bool(options.get("include_usage")),
            prompt_tokens=max(1, len(text) // LETTERS_PER_TOKEN),
            # The monotonic clock is one for all processes of a machine.
            received_at=time.monotonic(),
            tokens=int(body.get("max_tokens") or body.get("max_completion_tokens") or 16),
            done=asyncio.get_running_loop().create_future(),
        )
        self.stop(request_id, "replaced")
        self._answers_by_id[request_id] = answer
        prefix = text[:PREFIX_LETTERS]
        self._model.submit(
            request_id,
            priority=int(body.get("priority", 0)),
            prompt_tokens=answer.prompt_tokens,
            output_tokens=answer.tokens,
            prefix_key=prefix if len(prefix) == PREFIX_LETTERS else "",
            prefix_tokens=PREFIX_LETTERS // LETTERS_PER_TOKEN,
        )
        if self._timer is None:
            self._step_at = time.monotonic()
            self._schedule()
        return answer

    def stop(self, request_id: str, reason: str) -> bool:
        """Cancel a request; return whether it was in progress."""
        answer = self._answers_by_id.pop(request_id, None)
        if answer is None:
            return False
        self._model.cancel(request_id)
        self._record(answer, reason)
        if not answer.done.done():
            answer.done.set_result(reason)
        return True

    def read_report(self) -> dict[str, Any]:
        """Return the load report as it was ``report_lag_s`` ago."""
        now = time.monotonic()
        self._note_report(now)
        newest = self._reports[0][1]
        for noted_at, report in self._reports:
            if noted_at > now - self._report_lag_s:
                break
            newest = report
        return newest

    async def load(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Load a version; return the HTTP status and the body."""
        fence = int(order.get("fence", 0))
        if self._checks_fencing and fence < self.fence:
            return 409, {"error": "old fencing token", "fence": self.fence}
        digests = [str(item) for item in order.get("chunks", [])]
        absent = [item for item in digests if item not in self.chunks_by_digest]
        if absent:
            return 422, {"error": "chunks are absent", "absent": absent}
        self.fence = max(self.fence, fence)
        self._loading += 1
        self._ready.clear()
        try:
            await asyncio.sleep(self._load_s)
            if self._checks_fencing and fence < self.fence:
                return 409, {"error": "old fencing token", "fence": self.fence}
            self.version = str(order["version"])
            self.digest = digest_chunks(digests)
            self.adapters = [str(item) for item in order.get("adapters", [])]
            kept = set(digests)
            for digest in [item for item in self.chunks_by_digest if item not in kept]:
                del self.chunks_by_digest[digest]
        finally:
            self._loading -= 1
            if not self._loading:
                self._ready.set()
        return 200, {"version": self.version, "digest": self.digest}

    def _schedule(self) -> None:
        factor = float(self.faults.get("slow_factor", 1.0))
        self._step_at += self._model.step_seconds() * factor
        now = time.monotonic()
        # A process that was not scheduled for long must not run many steps at once.
        self._step_at = max(self._step_at, now - 0.1)
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, self._step_at - now), self._end_step
        )

    def _end_step(self) -> None:
        self._timer = None
        if self.faults.get("stall"):
            self._step_at = time.monotonic()
            self._schedule()
            return
        drop_after = self.faults.get("drop_after_tokens")
        for request_id, index, last in self._model.step():
            answer = self._answers_by_id.get(request_id)
            if answer is None:
                continue
            if drop_after is not None and index >= int(drop_after):
                answer.handler.drop_connection()
                self.stop(request_id, "dropped")
                continue
            answer.emitted = index + 1
            if answer.stream:
                self._write_token(answer, index, last)
            if last:
                del self._answers_by_id[request_id]
                self._record(answer, "complete")
                if not answer.done.done():
                    answer.done.set_result("complete")
        is_busy = bool(self._model.running or self._model.waiting)
        self._note_report(time.monotonic(), always=not is_busy)
        if is_busy:
            self._schedule()

    def _write_token(self, answer: _Answer, index: int, last: bool) -> None:
        version = answer.version
        mix_after = self.faults.get("mix_after_tokens")
        if mix_after is not None and index >= int(mix_after):
            version += "-other"
        text = answer.request_sha256[:16] if index == 0 else f" w{index}"
        event = _format_event(answer, version, text, "length" if last else None)
        if last:
            if answer.include_usage:
                event += _format_usage(answer, version)
            event += "data: [DONE]\n\n"
        try:
            answer.handler.request.connection.write(event.encode())
        except Exception:
            self.stop(answer.request_id, "caller gone")

    def _note_report(self, now: float, *, always: bool = False) -> None:
        if not always and self._reports and now - self._reports[-1][0] < 0.02:
            return
        self._reports.append(
            (
                now,
                {
                    "running": self._model.running,
                    "waiting": self._model.waiting,
                    "gap_ms": self._model.step_seconds() * 1000,
                    "cached_prefixes": self._model.cached_prefixes,
                },
            )
        )

    def _record(self, answer: _Answer, outcome: str) -> None:
        self.records.append(
            {
                "request_id": answer.request_id,
                "version": answer.version,
                "digest": answer.digest,
                "request_sha256": answer.request_sha256,
                "tokens": answer.emitted,
                "outcome": outcome,
                "received_at": answer.received_at,
            }
        )


def _format_event(answer: _Answer, version: str, text: str, finish_reason: str | None) -> str:
    reason = "null" if finish_reason is None else f'"{finish_reason}"'
    content = f'"delta":{{"content":"{text}"}}' if answer.chat else f'"text":"{text}"'
    kind = "chat.completion.chunk" if answer.chat else "text_completion"
    return (
        f'data: {{"id":"{answer.request_id}","object":"{kind}",'
        f'"system_fingerprint":"{version}","choices":[{{"index":0,{content},'
        f'"finish_reason":{reason}}}]}}\n\n'
    )


def _make_usage(answer: _Answer) -> dict[str, int]:
    return {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.emitted,
        "total_tokens": answer.prompt_tokens + answer.emitted,
    }


def _format_usage(answer: _Answer, version: str) -> str:
    usage = json.dumps(_make_usage(answer))
    return (
        f'data: {{"id":"{answer.request_id}","system_fingerprint":"{version}",'
        f'"choices":[],"usage":{usage}}}\n\n'
    )


class _EngineHandler(JsonHandler):
    """A handler that knows the engine."""

    def initialize(self, engine: StandinEngine) -> None:
        """Take the engine."""
        self._engine = engine


class CompletionHandler(_EngineHandler):
    """``POST /v1/chat/completions`` and ``/v1/completions``."""

    _answer: _Answer | None = None

    async def post(self, kind: str) -> None:
        """Generate an answer."""
        engine = self._engine
        body = self.read_json()
        if not isinstance(body, dict) or not ({"messages", "prompt"} & body.keys()):
            self.write_json({"error": {"message": "messages or prompt is missing"}}, 400)
            return
        if engine.faults.strikes("fail"):
            self.write_json({"error": {"message": "fault"}}, 500)
            return
        await engine.wait_ready()
        chat = kind == "chat/completions"
        answer = self._answer = engine.start(self, body, chat=chat)
        self.set_header("X-Model-Version", answer.version)
        self.set_header("X-Model-Digest", answer.digest)
        self.set_header("X-Request-Id", answer.request_id)
        if answer.stream:
            self.set_header("Content-Type", "text/event-stream")
            await self.flush()
        outcome = await answer.done
        if answer.stream:
            if outcome not in ("dropped", "caller gone"):
                self.finish()
        elif outcome == "complete":
            self.write_json(self._make_body(answer))
        elif outcome != "dropped":
            self.write_json({"error": {"message": outcome}}, 499)

    def on_connection_close(self) -> None:
        """Free the place of a caller that left."""
        if self._answer is not None:
            self._engine.stop(self._answer.request_id, "caller gone")

    def _make_body(self, answer: _Answer) -> dict[str, Any]:
        text = answer.request_sha256[:16] + "".join(f" w{i}" for i in range(1, answer.emitted))
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if answer.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": answer.request_id,
            "object": "chat.completion" if answer.chat else "text_completion",
            "model": answer.model,
            "system_fingerprint": answer.version,
            "choices": [choice],
            "usage": _make_usage(answer),
        }


class ModelsHandler(_EngineHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the one model."""
        self.write_json({"object": "list", "data": [{"id": self._engine.name, "object": "model"}]})


class CancelHandler(_EngineHandler):
    """``POST /control/cancel``."""

    def post(self) -> None:
        """Cancel a request by its ID."""
        found = self._engine.stop(str(self.read_json().get("request_id", "")), "cancelled")
        self.write_json({"cancelled": found})


class ReportHandler(_EngineHandler):
    """``GET /control/report``."""

    def get(self) -> None:
        """Return the lagging load report."""
        self.write_json(self._engine.read_report())


class StateHandler(_EngineHandler):
    """``GET /control/state``."""

    def get(self) -> None:
        """Return what is loaded."""
        engine = self._engine
        self.write_json(
            {
                "version": engine.version,
                "digest": engine.digest,
                "fence": engine.fence,
                "loading": engine.loading,
                "adapters": engine.adapters,
            }
        )


class ChunkHandler(_EngineHandler):
    """``PUT /control/chunks/DIGEST``."""

    def put(self, digest: str) -> None:
        """Take a chunk; only its digest and size are kept."""
        actual = hashlib.sha256(self.request.body).hexdigest()
        if actual != digest:
            self.write_json({"error": "the body has another digest"}, 422)
            return
        self._engine.chunks_by_digest[digest] = len(self.request.body)
        self.write_json({"digest": digest})


class ChunksHandler(_EngineHandler):
    """``GET /control/chunks``."""

    def get(self) -> None:
        """List the digests held."""
        self.write_json({"chunks": sorted(self._engine.chunks_by_digest)})


class LoadHandler(_EngineHandler):
    """``POST /control/load``."""

    async def post(self) -> None:
        """Load a version."""
        status, body = await self._engine.load(self.read_json())
        self.write_json(body, status)


class RecordsHandler(_EngineHandler):
    """``GET /standin/records``."""

    def get(self) -> None:
        """Return what stood behind every answer."""
        self.write_json({"records": list(self._engine.records)})


def make_routes(engine: StandinEngine) -> list[Any]:
    """Return the routes of the engine."""
    parts = {"engine": engine}
    return [
        (r"/v1/(chat/completions|completions)", CompletionHandler, parts),
        (r"/v1/models", ModelsHandler, parts),
        (r"/control/cancel", CancelHandler, parts),
        (r"/control/report", ReportHandler, parts),
        (r"/control/state", StateHandler, parts),
        (r"/control/chunks/([0-9a-f]{64})", ChunkHandler, parts),
        (r"/control/chunks", ChunksHandler, parts),
        (r"/control/load", LoadHandler, parts),
        (r"/standin/records", RecordsHandler, parts),
    ]


def main() -> None:
    """Run the stand-in."""
    parser = make_parser("stand-in for a model engine")
    parser.add_argument("--name", default="model", help="model name")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--token-ms", type=float, default=20.0)
    parser.add_argument("--batch-cost", type=float, default=0.05)
    parser.add_argument("--prefill-ms-per-1k", type=float, default=60.0)
    parser.add_argument("--cache-prefixes", type=int, default=64)
    parser.add_argument("--max-running", type=int, default=0)
    parser.add_argument("--report-lag-ms", type=float, default=500.0)
    parser.add_argument("--load-ms", type=float, default=200.0)
    parser.add_argument("--fencing", choices=("refuse", "ignore"), default="refuse")
    parser.add_argument("--version", default="")
    parser.add_argument("--digest", default="")
    options = parser.parse_args()
    faults = Faults(seed=options.seed)

    async def run() -> None:
        engine = StandinEngine(
            timing=EngineTiming(
                slots=options.slots,
                token_ms=options.token_ms,
                batch_cost=options.batch_cost,
                prefill_ms_per_1k=options.prefill_ms_per_1k,
                cache_prefixes=options.cache_prefixes,
                max_running=options.max_running,
            ),
            faults=faults,
            name=options.name,
            version=options.version,
            digest=options.digest,
            load_s=options.load_ms / 1000,
            report_lag_s=options.report_lag_ms / 1000,
            checks_fencing=options.fencing == "refuse",
        )
        await serve(make_routes(engine), port=options.port, faults=faults)

    asyncio.run(run())


if __name__ == "__main__":
    main()
