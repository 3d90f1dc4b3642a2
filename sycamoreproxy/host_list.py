"""The platform's lagging list of live and leaving hosts."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sycamoreproxy.registry import Registry
from sycamoreproxy.streams import Address


class HostListError(Exception):
    """The list could not be read; the last one stays in use."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """One host of the list.

    :param role: ``entry`` or ``upstream``.
    :param state: ``live`` or ``leaving``.
    :param kind: ``engine`` or ``service`` for an upstream, else empty.
    :param name: model or service name for an upstream, else empty.
    """

    host: str
    role: str
    availability_zone: str
    region: str
    peer: Address
    admin: Address
    state: str = "live"
    kind: str = ""
    name: str = ""


class HostList(Protocol):
    """Reads the list."""

    async def read(self) -> tuple[HostRecord, ...] | None:
        """Return the hosts by name, or None if nothing changed since the last read.

        :raises HostListError: if there is no usable answer in time.
        """


#: Factories ``(address, timeout_s) -> HostList`` by adapter name.
host_lists: Registry[Callable[[str, float], HostList]] = Registry("host list adapter")


def parse_hosts(data: Any) -> tuple[HostRecord, ...]:
    """Return the records of a JSON document ``{"hosts": [...]}``, sorted by host.

    :raises HostListError: if the document has another shape.
    """
    try:
        records = [
            HostRecord(
                host=str(item["host"]),
                role=str(item["role"]),
                availability_zone=str(item["availability_zone"]),
                region=str(item["region"]),
                peer=Address.parse(item["peer"]),
                admin=Address.parse(item["admin"]),
                state=str(item.get("state", "live")),
                kind=str(item.get("kind", "")),
                name=str(item.get("name", "")),
            )
            for item in data["hosts"]
        ]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise HostListError(f"malformed host list: {error!r}") from error
    return tuple(sorted(records, key=lambda record: record.host))


@host_lists.register("http-json")
class HttpHostList:
    """Reads ``GET address`` with ``If-None-Match``.

    :param address: URL of the list.
    :param timeout_s: longest wait in seconds.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        from tornado.simple_httpclient import SimpleAsyncHTTPClient

        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=2)
        self._address = address
        self._timeout_s = timeout_s
        self._etag = ""

    async def read(self) -> tuple[HostRecord, ...] | None:
        """Return the hosts, or None on status 304."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            response = await self._client.fetch(
                self._address, headers=headers, request_timeout=self._timeout_s, raise_error=False
            )
        except Exception as error:
            raise HostListError(repr(error)) from error
        if response.code == 304:
            return None
        if response.code != 200:
            raise HostListError(f"status {response.code}")
        try:
            records = parse_hosts(json.loads(response.body))
        except ValueError as error:
            raise HostListError("not JSON") from error
        self._etag = response.headers.get("ETag", "")
        return records
