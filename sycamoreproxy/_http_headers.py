"""Which HTTP headers pass between callers and upstreams."""

from __future__ import annotations

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from sycamoreproxy.messages import HeaderPairs

#: Headers of one connection (RFC 9110, section 7.6.1) and those that the client sets itself.
#: ``Authorization`` holds the caller's key for this system, which upstreams must not see.
_REQUEST_DROPPED = frozenset(
    {
        "accept-encoding",
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_ANSWER_DROPPED = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def filter_request_headers(pairs: Iterable[tuple[str, str]]) -> HTTPHeaders:
    """Return the headers of a request to an upstream."""
    headers = HTTPHeaders()
    for name, value in pairs:
        if name.lower() not in _REQUEST_DROPPED:
            headers.add(name, value)
    return headers


def filter_response_headers(headers: HTTPHeaders) -> HeaderPairs:
    """Return the headers of an upstream's answer that pass on to the caller."""
    return tuple(
        (name, value) for name, value in headers.get_all() if name.lower() not in _ANSWER_DROPPED
    )
