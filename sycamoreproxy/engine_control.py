"""Engine control calls: adapter protocol, adapter registry and the adapter ``http-json``."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sycamoreproxy.registry import Registry


class EngineUnreachableError(Exception):
    """The call certainly did not reach the engine."""


class EngineAnswerLostError(Exception):
    """The call may have taken effect, but no usable response was received."""


class OrderRefusedError(Exception):
    """The engine refused a control call.

    :param status: HTTP status, such as 409 for an old fencing token or 422 for an absent chunk.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"status {status}: {detail}")
        self.status = status


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports.

    :param version: loaded version, empty if there is none.
    :param digest: digest that the engine computed over the chunks of the version.
    :param fence: fencing token of the last order that the engine accepted.
    :param loading: whether a load is in progress.
    :param adapters: adapters loaded with the version, or None if the engine does not report them.
    """

    version: str
    digest: str
    fence: int
    loading: bool
    adapters: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to load a version whose chunks have been uploaded to the engine.

    :param fence: fencing token of the sender.
    """

    version: str
    digest: str
    chunks: tuple[str, ...]
    adapters: tuple[str, ...]
    fence: int


class EngineControl(Protocol):
    """Control calls to an engine; every call has a timeout.

    Each method raises :class:`EngineUnreachableError` or :class:`EngineAnswerLostError`, and the
    methods that modify the engine also raise :class:`OrderRefusedError`.
    """

    async def read_state(self) -> EngineState:
        """Return the current state of the engine."""

    async def list_chunks(self) -> frozenset[str]:
        """Return the digests of the chunks that the engine holds."""

    async def put_chunk(self, digest: str, data: bytes) -> None:
        """Upload a chunk; the call is idempotent."""

    async def load(self, order: LoadOrder) -> tuple[str, str]:
        """Load a version and return the version and digest that the engine confirms."""


#: Maximum size of a response to a call, in bytes.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

#: Factories ``(address, timeout_s, order_timeout_s) -> EngineControl`` by adapter name.
engine_controls: Registry[Callable[[str, float, float], EngineControl]] = Registry(
    "engine control adapter"
)


@engine_controls.register("http-json")
class HttpEngineControl:
    """Client for the HTTP control API ``/control/...``; see section 12 of the design.

    :param address: base URL of the engine.
    :param timeout_s: timeout of connecting, and of every call except a load, in seconds.
    :param order_timeout_s: timeout of a load call in seconds.
    """

    def __init__(self, address: str, timeout_s: float, order_timeout_s: float) -> None:
        from tornado.simple_httpclient import SimpleAsyncHTTPClient

        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=4, max_body_size=MAX_ANSWER_BYTES
        )
        self._address = address.rstrip("/")
        self._timeout_s = timeout_s
        self._order_timeout_s = order_timeout_s

    async def read_state(self) -> EngineState:
        """Return the current state of the engine."""
        data = await self._call("GET", "/control/state")
        try:
            return EngineState(
                version=str(data["version"]),
                digest=str(data["digest"]),
                fence=int(data["fence"]),
                loading=bool(data["loading"]),
                adapters=tuple(data["adapters"]) if "adapters" in data else None,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineAnswerLostError(f"malformed engine state: {error!r}") from error

    async def list_chunks(self) -> frozenset[str]:
        """Return the digests of the chunks that the engine holds."""
        data = await self._call("GET", "/control/chunks")
        digests = data.get("chunks") if isinstance(data, dict) else data
        if not isinstance(digests, list):
            raise EngineAnswerLostError("malformed chunk list")
        return frozenset(str(digest) for digest in digests)

    async def put_chunk(self, digest: str, data: bytes) -> None:
        """Upload a chunk."""
        await self._call("PUT", f"/control/chunks/{digest}", data)

    async def load(self, order: LoadOrder) -> tuple[str, str]:
        """Load a version and return the confirmed version and digest."""
        body = {
            "version": order.version,
            "digest": order.digest,
            "chunks": order.chunks,
            "adapters": order.adapters,
            "fence": order.fence,
        }
        payload = json.dumps(body).encode()
        data = await self._call("POST", "/control/load", payload, timeout_s=self._order_timeout_s)
        try:
            return str(data["version"]), str(data["digest"])
        except (KeyError, TypeError) as error:
            raise EngineAnswerLostError(f"malformed load confirmation: {error!r}") from error

    def close(self) -> None:
        """Close the HTTP client and its connections."""
        self._client.close()

    async def _call(
        self, method: str, path: str, body: bytes | None = None, *, timeout_s: float = 0.0
    ) -> Any:
        from tornado.httpclient import HTTPRequest

        request = HTTPRequest(
            self._address + path,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"},
            connect_timeout=self._timeout_s,
            request_timeout=timeout_s or self._timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise EngineUnreachableError(f"{method} {path}: {error}") from error
        except Exception as error:
            raise EngineAnswerLostError(f"{method} {path}: {error!r}") from error
        if response.code in (400, 404, 409, 413, 422):
            raise OrderRefusedError(response.code, response.body[:200].decode(errors="replace"))
        if not 200 <= response.code < 300:
            raise EngineAnswerLostError(f"{method} {path}: status {response.code}")
        try:
            return json.loads(response.body or b"{}")
        except ValueError as error:
            raise EngineAnswerLostError(f"{method} {path}: response is not JSON") from error
