"""Caller requests and upstream responses, independent of their representation on the wire."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import HTTPHeaders, RequestStartLine


class BadRequestError(Exception):
    """A field of the request is malformed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request from a caller.

    :param request_id: the caller's id for this attempt.
    :param target: path and query as received.
    :param key: the caller's key, empty if none.
    :param time_left_s: time for which the caller waits after receipt of the request, in seconds.
    :param prompt_tokens: number of tokens in the prompt, 0 for requests without one.
    :param answer_tokens: maximum number of tokens in the response, 0 if unknown.
    :param length_hint: the caller's estimate of the number of tokens in the response, 0 if none.
    :param prompt_parts: ids of the parts of the prompt in order; requests share all but the last.
    :param last_event_id: id of the event after which a stream is resumed, or None to start at the
        beginning.
    :param headers: headers to forward, without hop-by-hop headers and without the key.
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
    prompt_parts: tuple[str, ...] = ()
    last_event_id: int | None = None
    headers: Sequence[tuple[str, str]] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Parameters added to a request when it is sent to an upstream.

    :param instance: id of the upstream instance; any other instance rejects the request.
    :param weight_version: required version of the weights, or None for any.
    :param urgency: scheduling priority at the engine from 0 (first) to 9, or None for its default.
    """

    instance: str
    time_left_s: float
    account: str = ""
    weight_version: int | None = None
    urgency: int | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """Load that an upstream reports with a response, in requests.

    :param pace: current processing time on the upstream's host as a factor on the usual time, or
        None if not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponseHead:
    """Status and headers of an upstream's response.

    :param not_executed: whether the upstream states that it has not executed the request.
    :param is_misdirected: whether the upstream is not the requested instance or does not have the
        requested weights.
    :param request_id: request id echoed by the upstream, empty if none.
    :param instance: instance id reported by the upstream, empty if none.
    :param failed_instance: instance to which the response attributes a failure, empty if none.
    :param is_leaving: whether the upstream announces that it will stop.
    :param hold_s: time for which the upstream asks for no further requests, in seconds; 0 if it
        does not.
    :param requests_per_s: limit that the upstream names for the requests of all hosts together, in
        requests per second; None if it names none.
    :param malformed_limit: beginning of a named limit that is not a decimal number; empty if it is
        one or absent.
    :param cold_remaining_ms: time until the upstream is warm, in milliseconds, as it was read; 0 if
        it is not told.
    :param headers: headers to forward to the caller.
    """

    status: int
    not_executed: bool
    is_misdirected: bool
    request_id: str
    is_signed: bool
    instance: str = ""
    failed_instance: str = ""
    is_leaving: bool = False
    hold_s: float = 0.0
    requests_per_s: float | None = None
    malformed_limit: str = ""
    cold_remaining_ms: float = 0.0
    load: UpstreamLoad | None = None
    weight_version: int | None = None
    headers: Sequence[tuple[str, str]] = ()


class Dialect(Protocol):
    """Converts between HTTP headers and the types of this module."""

    def read_request(self, start: RequestStartLine, headers: HTTPHeaders) -> CallerRequest:
        """Return a caller's request without its body.

        :raises BadRequestError: if a field is malformed.
        """

    def write_attempt(self, request: CallerRequest, attempt: Attempt) -> HTTPHeaders:
        """Return the headers of an attempt to send to an upstream."""

    def read_response_head(self, status: int, headers: HTTPHeaders) -> UpstreamResponseHead:
        """Return the head of an upstream's response."""
