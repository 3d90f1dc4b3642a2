"""Headers of callers' requests, of requests to runners, and of runners' answers."""

from __future__ import annotations

import math
import re
from typing import Any

from tornado.httputil import HTTPHeaders, RequestStartLine

from sycamoreproxy.caller_request import (
    Attempt,
    BadRequestError,
    CallerRequest,
    UpstreamLoad,
    UpstreamResponseHead,
)
from sycamoreproxy.cold_starts import parse_remaining_ms
from sycamoreproxy.platform import names

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
#: Request headers that this system sets itself, whatever the caller sent.
_OWN_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        names.API_KEY,
        names.DEADLINE_MS,
        names.TENANT,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.REQUEST_PRIORITY,
        names.LAST_EVENT_ID,
        "host",
        "content-length",
        "path",
    )
)
#: Answer headers between a runner and this system.
_RUNNER_ANSWER_HEADERS = frozenset(
    name.lower()
    for name in (
        names.SERVER_LOAD,
        names.NOT_EXECUTED,
        names.AT_SERVER,
        names.SERVER_LEAVING,
        names.SERVER_LIMIT,
        names.COLD_REMAINING_MS,
    )
)
#: A runner that refuses an instance, a version or a part of a path.
_MISDIRECTED = 421
#: A runner that turns a request away.
_UNAVAILABLE = 503
#: Longest time for which a runner may turn requests away in advance, in seconds.
MAX_HOLD_S = 60.0
#: Value with which a runner says that it leaves.
_LEAVING = "1"
#: Value of a load's fourth figure while work takes its usual time.
_USUAL_PACE = 100
#: Longest figure of a load that is read, in digits.
_MAX_LOAD_DIGITS = 9
#: A limit in requests per second. The longest representations of floating-point numbers fit.
_LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,20})?|\.[0-9]{1,20}", re.ASCII)
#: Characters of a malformed limit that are logged.
_MAX_LOGGED_LIMIT = 40
#: Parts of a prompt that are read, and the length of their ids in characters.
_MAX_PROMPT_PARTS = 32
_MAX_PART_LENGTH = 64
#: Time left of a caller that does not tell it, in seconds.
_DEFAULT_TIME_LEFT_S = 60.0


class PlatformDialect:
    """The headers of the platform's pages."""

    def read_request(self, start: RequestStartLine, headers: HTTPHeaders) -> CallerRequest:
        """Return a caller's request without its body.

        :raises BadRequestError: if a number is malformed.
        """
        prompt, answer = _read_token_count(headers.get(names.TOKEN_COUNT))
        last_event = headers.get(names.LAST_EVENT_ID)
        return CallerRequest(
            request_id=headers.get(names.REQUEST_ID, ""),
            method=start.method,
            host=headers.get("Host", ""),
            target=start.path,
            key=headers.get(names.API_KEY, ""),
            time_left_s=_read_time_left(headers.get(names.DEADLINE_MS)),
            model=headers.get(names.MODEL, ""),
            prompt_tokens=prompt,
            answer_tokens=answer,
            length_hint=_read_int(headers.get(names.LENGTH_HINT), 0),
            prompt_parts=_read_prompt_parts(headers.get(names.PROMPT_PARTS, "")),
            last_event_id=None if last_event is None else _read_int(last_event, None),
            headers=_pass_on(headers, _OWN_REQUEST_HEADERS),
        )

    def write_attempt(self, request: CallerRequest, attempt: Attempt) -> HTTPHeaders:
        """Return the headers of a request to a runner."""
        headers = HTTPHeaders()
        headers["Host"] = request.host
        for name, value in request.headers:
            headers.add(name, value)
        headers[names.DEADLINE_MS] = str(max(1, int(attempt.time_left_s * 1000)))
        headers[names.EXPECT_INSTANCE] = attempt.instance
        if attempt.account:
            headers[names.TENANT] = attempt.account
        if attempt.weight_version is not None:
            headers[names.EXPECT_VERSION] = str(attempt.weight_version)
        if attempt.urgency is not None:
            headers[names.REQUEST_PRIORITY] = str(attempt.urgency)
        if attempt.last_event_id is not None:
            headers[names.LAST_EVENT_ID] = str(attempt.last_event_id)
        return headers

    def read_response_head(self, status: int, headers: HTTPHeaders) -> UpstreamResponseHead:
        """Return the head of a runner's answer."""
        requests_per_s, malformed_limit = _read_limit(headers)
        return UpstreamResponseHead(
            status=status,
            not_executed=names.NOT_EXECUTED in headers or status == _MISDIRECTED,
            is_misdirected=status == _MISDIRECTED,
            request_id=headers.get(names.REQUEST_ID, ""),
            is_signed=names.SIGNATURE in headers,
            instance=headers.get(names.INSTANCE_ID, ""),
            failed_instance=headers.get(names.AT_SERVER, ""),
            is_leaving=headers.get(names.SERVER_LEAVING, "").strip() == _LEAVING,
            hold_s=(
                _read_hold(headers.get(names.RETRY_AFTER, "")) if status == _UNAVAILABLE else 0.0
            ),
            requests_per_s=requests_per_s,
            malformed_limit=malformed_limit,
            cold_remaining_ms=parse_remaining_ms(headers.get(names.COLD_REMAINING_MS)),
            load=_read_load(headers.get(names.SERVER_LOAD)),
            weight_version=_read_int(headers.get(names.WEIGHT_VERSIONS), None),
            headers=_pass_on(headers, _RUNNER_ANSWER_HEADERS),
        )


def _pass_on(headers: HTTPHeaders, left_out: frozenset[str]) -> tuple[tuple[str, str], ...]:
    named = {item.strip().lower() for item in headers.get("Connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if (lower := name.lower()) not in _CONNECTION_HEADERS
        and lower not in left_out
        and lower not in named
    )


def _read_int(text: str | None, default: Any) -> Any:
    try:
        return int(text) if text is not None else default
    except ValueError:
        return default


def _read_time_left(text: str | None) -> float:
    if text is None:
        return _DEFAULT_TIME_LEFT_S
    try:
        value = float(text)
    except ValueError as error:
        raise BadRequestError(f"{names.DEADLINE_MS} is not a number") from error
    if not math.isfinite(value) or value <= 0:
        raise BadRequestError(f"{names.DEADLINE_MS} is not a positive number")
    return value / 1000


def _read_token_count(text: str | None) -> tuple[int, int]:
    """Return the prompt's tokens and the upper bound of the answer's; zeros if absent."""
    if text is None:
        return 0, 0
    prompt, _, answer = text.partition(",")
    return _read_int(prompt, 0), _read_int(answer, 0)


def _read_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids in ``ID:TOKENS,...``, without overlong ones; the first ones if too many."""
    ids = (entry.partition(":")[0].strip() for entry in text.split(",", _MAX_PROMPT_PARTS))
    return tuple(p for p in ids if 0 < len(p) <= _MAX_PART_LENGTH)[:_MAX_PROMPT_PARTS]


def _read_hold(text: str) -> float:
    """Return the seconds that ``Retry-After`` names; 0 for a date or anything else."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    if not math.isfinite(seconds) and not text.strip().isdecimal():
        return 0.0
    return max(0.0, min(MAX_HOLD_S, seconds))


def _read_limit(headers: HTTPHeaders) -> tuple[float | None, str]:
    """Return the limit in requests per second, and the beginning of one that is malformed."""
    if names.SERVER_LIMIT not in headers:
        return None, ""
    # Several headers are joined by commas, which no number contains.
    text = headers[names.SERVER_LIMIT].strip()
    if _LIMIT_PATTERN.fullmatch(text):
        return float(text), ""
    return None, text[:_MAX_LOGGED_LIMIT] or "(empty)"


def _read_load(text: str | None) -> UpstreamLoad | None:
    """Return the load in ``RUNNING,WAITING,SLOTS[,PACE]``; what comes after that is ignored."""
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    if len(parts) < 3 or not all(_is_number(part) for part in parts[:3]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    pace = _read_pace(parts[3]) if len(parts) > 3 else None
    return UpstreamLoad(running=running, waiting=waiting, slots=slots, pace=pace)


def _read_pace(text: str) -> float | None:
    """Return the factor on the usual time of work, which the header gives in percent."""
    return int(text) / _USUAL_PACE if _is_number(text) and int(text) > 0 else None


def _is_number(text: str) -> bool:
    return len(text) <= _MAX_LOAD_DIGITS and text.isascii() and text.isdigit()
