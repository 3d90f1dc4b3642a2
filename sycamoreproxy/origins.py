"""Origin of model weights: adapter protocol, adapter registry and the adapter ``http-range``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import quote

from sycamoreproxy.registry import Registry
from sycamoreproxy.weights import Manifest, ManifestError, parse_manifest

#: Largest manifest, in bytes; enough for about 100,000 chunks.
MAX_MANIFEST_BYTES = 8 * 1024 * 1024
#: Largest number of concurrent connections of one process to the origin.
MAX_CONNECTIONS = 4


class OriginError(Exception):
    """The origin did not return a usable answer."""


class VersionUnknownError(OriginError):
    """The origin does not have the version."""


class Origin(Protocol):
    """Source of manifests and chunks."""

    async def read_manifest(self, version: str) -> Manifest:
        """Return the manifest of a version.

        :raises VersionUnknownError: if the origin does not have the version.
        :raises OriginError: if the origin does not return a usable answer in time.
        """

    async def read_chunk(self, manifest: Manifest, index: int) -> bytes:
        """Return the unverified data of a chunk.

        :raises OriginError: if the origin does not return a usable answer in time.
        """

    def close(self) -> None:
        """Close all connections."""


#: Factories ``(address, timeout_s) -> Origin`` by adapter name.
origins: Registry[Callable[[str, float], Origin]] = Registry("origin adapter")


@origins.register("http-range")
class HttpRangeOrigin:
    """HTTP origin.

    Reads ``/manifests/VERSION`` and byte ranges (RFC 9110, section 14) of ``/weights/VERSION``.

    :param address: base URL of the origin.
    :param timeout_s: timeout of one request, in seconds.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        from tornado.simple_httpclient import SimpleAsyncHTTPClient

        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS, max_body_size=MAX_MANIFEST_BYTES
        )
        self._address = address.rstrip("/")
        self._timeout_s = timeout_s

    async def read_manifest(self, version: str) -> Manifest:
        """Return the manifest of a version."""
        response = await self._fetch(f"/manifests/{quote(version, safe='')}", {})
        if response.code == 404:
            raise VersionUnknownError(f"origin has no version {version!r}")
        if response.code != 200:
            raise OriginError(f"manifest of version {version!r}: HTTP status {response.code}")
        try:
            return parse_manifest(response.body, version=version)
        except ManifestError as error:
            raise OriginError(str(error)) from error

    async def read_chunk(self, manifest: Manifest, index: int) -> bytes:
        """Return the unverified data of a chunk."""
        start = index * manifest.chunk_bytes
        stop = start + manifest.size_of(index)
        path = f"/weights/{quote(manifest.version, safe='')}"
        response = await self._fetch(path, {"Range": f"bytes={start}-{stop - 1}"})
        if response.code != 206 or len(response.body) != stop - start:
            raise OriginError(
                f"{path} bytes {start}-{stop - 1}: HTTP status {response.code}, "
                f"{len(response.body or b'')} bytes"
            )
        return bytes(response.body)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _fetch(self, path: str, headers: dict[str, str]) -> Any:
        try:
            return await self._client.fetch(
                self._address + path,
                headers=headers,
                connect_timeout=self._timeout_s,
                request_timeout=self._timeout_s,
                decompress_response=False,
                raise_error=False,
            )
        except Exception as error:
            raise OriginError(f"{path}: {error!r}") from error
