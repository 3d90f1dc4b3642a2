"""Filters the HTTP headers that are relayed between callers and upstreams."""

from __future__ import annotations

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from sycamoreproxy.messages import HeaderPairs

#: Request headers that are not relayed: connection-specific ones (RFC 9110, section 7.6.1) and
#: those that the HTTP client sets itself. ``Authorization`` holds the caller's key for the proxy,
#: which upstreams must not see.
_DROPPED_REQUEST_HEADERS = frozenset(
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
#: Response headers that are not relayed: connection-specific ones and those that the HTTP server
#: sets itself.
_DROPPED_RESPONSE_HEADERS = frozenset(
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
    """Return the headers of a caller's request that are relayed to an upstream."""
    headers = HTTPHeaders()
    for name, value in pairs:
        if name.lower() not in _DROPPED_REQUEST_HEADERS:
            headers.add(name, value)
    return headers


def filter_response_headers(headers: HTTPHeaders) -> HeaderPairs:
    """Return the headers of an upstream's response that are relayed to the caller."""
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _DROPPED_RESPONSE_HEADERS
    )
