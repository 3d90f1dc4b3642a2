"""Ordinary services: protocol of their adapters, registry, and the adapter ``http``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tornado.httputil import HTTPHeaders

from sycamoreproxy._http_client import AnswerLostError, HttpClient, NotSentError
from sycamoreproxy._http_headers import filter_request_headers, filter_response_headers
from sycamoreproxy.registry import Registry
from sycamoreproxy.result_codes import UPSTREAM_LOST, Executed
from sycamoreproxy.upstream_answers import (
    AnswerListener,
    AnswerTotals,
    UpstreamFailureError,
    UpstreamRequest,
)

#: Longest answer of a service, in bytes; the stream to the entry host buffers at most 8 MiB.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class Service(Protocol):
    """A service on the same host."""

    async def call(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerTotals:
        """Run a request and pass its answer on, whatever its status.

        :raises UpstreamFailureError: if there is no whole answer; ``executed`` is ``NO`` only if
            no byte of the request was sent.
        """

    def close(self) -> None:
        """Release connections."""


#: Factories ``(address) -> Service`` by adapter name.
services: Registry[Callable[[str], Service]] = Registry("service adapter")


@services.register("http")
class HttpService:
    """Passes HTTP requests to a service.

    A request that is not idempotent always gets a fresh connection: on a kept one, a close by
    the server cannot be told from a failure after the run.

    :param address: base URL.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, max_body_bytes=MAX_ANSWER_BYTES)

    async def call(self, request: UpstreamRequest, listener: AnswerListener) -> AnswerTotals:
        """Run a request and pass its answer on, whatever its status.

        :raises UpstreamFailureError: if there is no whole answer; ``executed`` is ``NO`` only if
            no byte of the request was sent.
        """

        def take_head(status: int, headers: HTTPHeaders) -> None:
            listener.on_head(status, filter_response_headers(headers), "")

        try:
            await self._client.exchange(
                method=request.method,
                path=request.path,
                headers=filter_request_headers(request.headers),
                body=request.body,
                on_head=take_head,
                on_data=lambda data: listener.on_output(data, 0),
                repeatable=request.idempotent,
            )
        except NotSentError as error:
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.NO, str(error)) from error
        except AnswerLostError as error:
            raise UpstreamFailureError(UPSTREAM_LOST, Executed.UNKNOWN, str(error)) from error
        return AnswerTotals()

    def close(self) -> None:
        """Release connections."""
        self._client.close()
