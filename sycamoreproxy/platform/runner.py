"""Calls to a runner of the platform by the process on its own machine, and to the origin."""

from __future__ import annotations

import json
import math
import time
from typing import Any
from urllib.parse import quote

from sycamoreproxy._http_client import AnswerLostError, HttpClient, NotSentError
from sycamoreproxy.cold_starts import parse_remaining_ms
from sycamoreproxy.engine_stage import EngineReport, OrderOutcome, StagedEngineError
from sycamoreproxy.origins import OriginError, VersionUnknownError
from sycamoreproxy.weights import Manifest, compute_version_digest

#: Longest waits for answers, in seconds. The runner is on the same machine; a piece of the origin
#: takes 26 ms of its link and shares it with all machines.
RUNNER_TIMEOUT_S = 1.0
ORIGIN_TIMEOUT_S = 3.0
#: Time after which idle connections to the origin are closed, in seconds. A host that loses power
#: closes none, and the origin goes on counting them against its connection limit.
ORIGIN_IDLE_S = 0.2
#: Largest answer, in bytes: a staged chunk.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
#: Maximum number of idle connections to a runner. Staged chunks are read over more for a moment;
#: all connections count against the connection limit of the runner.
MAX_IDLE_CONNECTIONS = 2
#: Largest report or answer to an order, in bytes; read as JSON it may take 30 times as
#: much. A report has ten numbers and the models.
MAX_REPORT_BYTES = 64 * 1024
#: Largest manifest, in bytes: the digests of 15,000 chunks.
MAX_MANIFEST_BYTES = 1024 * 1024
#: Counts of a report from here on are out of range.
_COUNT_LIMIT = 1 << 63
#: Longest error text of a report, in characters.
_MAX_ERROR_CHARACTERS = 200


class PlatformRunner:
    """The runner on this machine.

    :param address: its ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(
            f"http://{address}",
            max_body_bytes=MAX_ANSWER_BYTES,
            idle_limit=MAX_IDLE_CONNECTIONS,
        )

    async def read_report(self) -> EngineReport:
        """Return the runner's state.

        :raises StagedEngineError: if there is no usable answer.
        """
        status, body = await self._call("GET", "/report")
        try:
            data = json.loads(body)
            if status != 200:
                raise ValueError(f"status {status}")
            born = data.get("born", 0)
            return EngineReport(
                running=_read_count(data["running"]),
                waiting=_read_count(data["waiting"]),
                memory_used=_read_count(data["kv_used"]),
                memory_total=_read_count(data["kv_total"]),
                pace=_read_pace(data.get("pace")),
                is_loading=bool(data["busy"]),
                # The number of orders accepted, not a position in a stream.
                orders_accepted=_read_count(data["sequence"]),
                started_ms=born if type(born) is int else 0,
                version_by_model=tuple(
                    (str(item["name"]), _read_count(item["version"])) for item in data["models"]
                ),
                cold_remaining_ms=parse_remaining_ms(data.get("cold_remaining_ms")),
            )
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            RecursionError,
            OverflowError,
        ) as error:
            raise StagedEngineError(f"report: {str(error)[:_MAX_ERROR_CHARACTERS]!r}") from error

    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage one chunk.

        :raises StagedEngineError: if the runner does not confirm it.
        """
        path = f"/stage-put/{quote(model, safe='')}?number={index}"
        status, _ = await self._call("PUT", path, data)
        if status not in (200, 201, 204):
            raise StagedEngineError(f"stage-put: status {status}")

    async def get_chunk(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, None if it is not there.

        :raises StagedEngineError: if there is no usable answer.
        """
        path = f"/stage-get/{quote(model, safe='')}?number={index}"
        status, body = await self._call("GET", path, max_bytes=MAX_ANSWER_BYTES)
        if status == 404:
            return None
        if status != 200:
            raise StagedEngineError(f"stage-get: status {status}")
        return body

    async def order_load(self, model: str, version: int, *, expected: int) -> OrderOutcome:
        """Order the runner to load the staged chunks.

        :param expected: number of orders that the runner has accepted.
        :raises StagedEngineError: if there is no answer; the order may have been accepted.
        """
        order = {
            "operation": "start",
            "model": model,
            "version": version,
            "mode": "wait",
            "expected": expected,
        }
        status, body = await self._call("POST", "/order", json.dumps(order).encode())
        if status == 202:
            return OrderOutcome.BEGUN
        if status == 200:
            return OrderOutcome.IN_EFFECT
        raise StagedEngineError(f"order: status {status} {body[:200]!r}")

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _call(
        self, method: str, path: str, body: bytes = b"", *, max_bytes: int = MAX_REPORT_BYTES
    ) -> tuple[int, bytes]:
        try:
            status, _, answer = await self._http.fetch(
                method=method,
                path=path,
                body=body,
                timeout_s=RUNNER_TIMEOUT_S,
                max_bytes=max_bytes,
            )
        except (NotSentError, AnswerLostError) as error:
            raise StagedEngineError(f"{method} {path}: {error}") from error
        return status, answer


def _read_count(value: Any) -> int:
    count = int(value)
    if not 0 <= count < _COUNT_LIMIT:
        raise ValueError("a count is out of range")
    return count


def _read_pace(value: Any) -> float:
    pace = float(value or 1.0)
    if not 0.0 < pace < math.inf:
        raise ValueError("the pace is out of range")
    return pace


class PlatformOrigin:
    """The origin of weights; versions are named ``MODEL/NUMBER``.

    :param address: its ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(
            f"http://{address}", max_body_bytes=MAX_ANSWER_BYTES, idle_timeout_s=ORIGIN_IDLE_S
        )

    async def read_manifest(self, version: str) -> Manifest:
        """Return the manifest of a version.

        :raises VersionUnknownError: if the origin no longer has it.
        :raises OriginError: if there is no usable answer.
        """
        model, _, number = version.rpartition("/")
        path = f"/manifest/{quote(model, safe='')}?version={number}"
        data: Any = None
        try:
            data = json.loads(await self._get(path, max_bytes=MAX_MANIFEST_BYTES))
            chunks = tuple(str(item) for item in data["digests"])
            chunk_bytes = int(data["chunk_bytes"])
            if int(data["version"]) != int(number):
                raise ValueError(f"version {data['version']}")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise OriginError(f"manifest: {error!r}") from error
        return Manifest(
            version=version,
            model=model,
            digest=compute_version_digest(chunks),
            chunk_bytes=chunk_bytes,
            total_bytes=chunk_bytes * len(chunks),
            chunks=chunks,
        )

    async def read_chunk(self, manifest: Manifest, index: int) -> bytes:
        """Return the bytes of a chunk, not verified.

        :raises OriginError: if there is no usable answer.
        """
        number = manifest.version.rpartition("/")[2]
        model = quote(manifest.model, safe="")
        return await self._get(
            f"/piece/{model}?number={index}&version={number}", max_bytes=manifest.chunk_bytes
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _get(self, path: str, *, max_bytes: int) -> bytes:
        started_at = time.monotonic()
        before = self._http.open_connections
        try:
            status, _, body = await self._http.fetch(
                method="GET", path=path, timeout_s=ORIGIN_TIMEOUT_S, max_bytes=max_bytes
            )
        except (NotSentError, AnswerLostError) as error:
            elapsed_ms = round((time.monotonic() - started_at) * 1000)
            sent = "not sent" if isinstance(error, NotSentError) else "no answer"
            raise OriginError(
                f"{path}: {sent}: {error} (after {elapsed_ms} ms, {before} other connections open)"
            ) from error
        if status == 410:
            raise VersionUnknownError(path)
        if status != 200:
            raise OriginError(f"{path}: status {status}")
        return body
