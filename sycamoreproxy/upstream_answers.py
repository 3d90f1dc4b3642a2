"""Request, response and failure types that are shared by the engine and service adapters."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from sycamoreproxy.messages import HeaderPairs
from sycamoreproxy.result_codes import Executed, Refusal, ResultCode


class UpstreamFailureError(Exception):
    """The upstream did not return a complete response.

    :param code: result code of the refusal.
    :param executed: whether the upstream executed the request.
    :param detail: further facts about the failure.
    """

    def __init__(self, code: ResultCode, executed: Executed, detail: str = "") -> None:
        super().__init__(f"{code.name}: {detail}")
        self.refusal = Refusal(code, executed, detail)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """A request to an engine or service.

    :param request_id: ID of the attempt; the engine uses it to cancel the request.
    :param path: path and query string.
    :param priority: lower values are served first; used by engines only.
    :param idempotent: whether the request can be repeated safely.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderPairs
    body: bytes
    priority: int = 0
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class AnswerTotals:
    """Totals of a complete response.

    :param version: model version, empty for a service.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    version: str = ""


class AnswerListener(Protocol):
    """Receives a response as it arrives; both methods run on the event loop and must not block."""

    def on_head(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Process status and headers; called once, before any output."""

    def on_output(self, data: bytes, tokens: int) -> None:
        """Process a part of the body and the number of tokens in it."""
