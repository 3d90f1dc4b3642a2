"""What adapters of engines and services have in common: requests, answers, failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from sycamoreproxy.messages import HeaderPairs
from sycamoreproxy.result_codes import Executed, Refusal, ResultCode


class UpstreamFailureError(Exception):
    """The upstream gave no whole answer.

    :param refusal: the code, whether the request was run, and facts.
    """

    def __init__(self, code: ResultCode, executed: Executed, detail: str = "") -> None:
        super().__init__(f"{code.name}: {detail}")
        self.refusal = Refusal(code, executed, detail)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """A request to an engine or service.

    :param request_id: the attempt's ID; an engine cancels by it.
    :param path: path and query.
    :param priority: lower is served first; engines only.
    :param idempotent: whether a repeat is harmless.
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
    """Totals of a whole answer.

    :param version: model version, empty for a service.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    version: str = ""


class AnswerListener(Protocol):
    """Receives an answer as it arrives; both methods run on the event loop and must not block."""

    def on_head(self, status: int, headers: HeaderPairs, version: str) -> None:
        """Take status and headers; called once, before any output."""

    def on_output(self, data: bytes, tokens: int) -> None:
        """Take a part of the body and the number of tokens in it."""
