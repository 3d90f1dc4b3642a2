"""Requests of callers and answers of upstreams, apart from how they are spelled on the wire."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders, RequestStartLine


class BadRequestError(Exception):
    """The request's own fields are malformed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One request of a caller.

    :param request_id: the caller's id of this attempt.
    :param target: path and query as received.
    :param key: the caller's key, empty if none.
    :param time_left_s: time that the caller waits from the receipt on, in seconds.
    :param prompt_tokens: tokens of the prompt, 0 for other requests.
    :param answer_tokens: upper bound of the answer's tokens, 0 if unknown.
    :param length_hint: the caller's estimate of the answer's tokens, 0 if none.
    :param last_event_id: event after which a stream goes on, None for a whole stream.
    :param headers: headers to pass on, without those of one connection and without the key.
    """

    request_id: str
    method: str
    host: str
    target: str
    key: str
    time_left_s: float
    model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    length_hint: int = 0
    last_event_id: int | None = None
    headers: Sequence[tuple[str, str]] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """What is added to a request when it is sent to one upstream.

    :param instance: the upstream's incarnation; another one refuses the request.
    :param weight_version: version of the weights that must answer; None for any.
    :param urgency: order at the engine from 0 (first) to 9; None for its default.
    """

    instance: str
    time_left_s: float
    account: str = ""
    weight_version: int | None = None
    urgency: int | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """Load that an upstream reports with an answer, in requests.

    :param pace: time that work takes on its host at this moment, as a factor on the usual time;
        None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponseHead:
    """Status and headers of an upstream's answer.

    :param not_executed: the upstream states that it has not run the request.
    :param is_misdirected: the upstream is not the instance, or has not the weights, asked for.
    :param request_id: the id that the upstream echoes, empty if none.
    :param instance: the upstream's incarnation as it says itself, empty if it does not.
    :param failed_instance: instance that a failure names, empty if none.
    :param headers: headers to pass on to the caller.
    """

    status: int
    not_executed: bool
    is_misdirected: bool
    request_id: str
    is_signed: bool
    instance: str = ""
    failed_instance: str = ""
    load: UpstreamLoad | None = None
    weight_version: int | None = None
    headers: Sequence[tuple[str, str]] = ()


class Dialect(Protocol):
    """Translates between the wire and the types above."""

    def read_request(self, start: RequestStartLine, headers: HTTPHeaders) -> CallerRequest:
        """Return a caller's request without its body.

        :raises BadRequestError: if a field is malformed.
        """

    def write_attempt(self, request: CallerRequest, attempt: Attempt) -> HTTPHeaders:
        """Return the headers of a request to an upstream."""

    def read_response_head(self, status: int, headers: HTTPHeaders) -> UpstreamResponseHead:
        """Return the head of an upstream's answer."""
