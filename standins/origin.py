"""Stand-in for the origin of weights: manifests and byte ranges of generated versions."""

from __future__ import annotations

import asyncio
import functools
import hashlib
import random
import re
import time
from dataclasses import dataclass
from typing import Any

import tornado.web

from standins._server import Faults, JsonHandler, make_parser, serve

#: Bytes that are written between two looks at the rate limit.
_BLOCK_BYTES = 65_536
_RANGE = re.compile(r"bytes=(\d+)-(\d+)$")


@functools.lru_cache(maxsize=64)
def _generate_chunk(seed: str, size: int) -> bytes:
    return random.Random(seed).randbytes(size)


@dataclass(frozen=True, slots=True)
class GeneratedVersion:
    """A version whose chunks are generated from seeds when they are read.

    :param seeds: one seed a chunk; equal seeds give equal chunks.
    """

    version: str
    model: str
    total_bytes: int
    chunk_bytes: int
    seeds: tuple[str, ...]
    digests: tuple[str, ...]

    def read(self, start: int, stop: int) -> bytes:
        """Return the bytes from ``start`` up to, not including, ``stop``."""
        parts = []
        for index in range(start // self.chunk_bytes, -(-stop // self.chunk_bytes)):
            offset = index * self.chunk_bytes
            data = _generate_chunk(self.seeds[index], _size_of(self, index))
            parts.append(data[max(0, start - offset) : stop - offset])
        return b"".join(parts)

    def as_manifest(self) -> dict[str, Any]:
        """Return the manifest as JSON."""
        return {
            "version": self.version,
            "model": self.model,
            "digest": hashlib.sha256("".join(self.digests).encode()).hexdigest(),
            "chunk_bytes": self.chunk_bytes,
            "total_bytes": self.total_bytes,
            "chunks": list(self.digests),
        }


def _size_of(version: GeneratedVersion, index: int) -> int:
    return min(version.chunk_bytes, version.total_bytes - index * version.chunk_bytes)


def generate_version(
    version: str,
    *,
    model: str,
    total_bytes: int,
    chunk_bytes: int,
    seed: int,
    base: GeneratedVersion | None = None,
    changed: float = 1.0,
) -> GeneratedVersion:
    """Return a version; with a base, only about the fraction ``changed`` of its chunks differ."""
    seeds = []
    digests = []
    choose = random.Random(f"{seed}|changed")
    for index in range(-(-total_bytes // chunk_bytes)):
        keep = choose.random() >= changed and base is not None and index < len(base.seeds)
        chunk_seed = base.seeds[index] if keep and base is not None else f"{seed}|{index}"
        size = min(chunk_bytes, total_bytes - index * chunk_bytes)
        seeds.append(chunk_seed)
        digests.append(hashlib.sha256(_generate_chunk(chunk_seed, size)).hexdigest())
    return GeneratedVersion(version, model, total_bytes, chunk_bytes, tuple(seeds), tuple(digests))


class OriginState:
    """Versions, rate limit and counts of one origin.

    :param bytes_per_s: rate over all connections; 0 is no limit.
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self.versions_by_name: dict[str, GeneratedVersion] = {}
        self.bytes_sent = 0
        self.requests = 0
        self.manifests = 0
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def wait_turn(self, size: int) -> None:
        """Wait until the rate limit allows ``size`` more bytes."""
        if not self._bytes_per_s:
            return
        start = max(time.monotonic(), self._free_at)
        self._free_at = start + size / self._bytes_per_s
        await asyncio.sleep(max(0.0, self._free_at - time.monotonic()))


class _OriginHandler(JsonHandler):
    def initialize(self, state: OriginState, faults: Faults) -> None:
        self._state = state
        self._faults = faults

    def find(self, name: str) -> GeneratedVersion:
        """Return a version.

        :raises tornado.web.HTTPError: 404 if there is none of this name.
        """
        version = self._state.versions_by_name.get(name)
        if version is None:
            raise tornado.web.HTTPError(404)
        return version


class ManifestHandler(_OriginHandler):
    """``GET /manifests/VERSION``."""

    def get(self, name: str) -> None:
        """Write the manifest."""
        if self._faults.get("down"):
            self.drop_connection()
            return
        self._state.manifests += 1
        self.write_json(self.find(name).as_manifest())


class RangeHandler(_OriginHandler):
    """``GET /weights/VERSION`` with ``Range``."""

    async def get(self, name: str) -> None:
        """Write the bytes of the range at the rate of the origin's link."""
        if self._faults.get("down"):
            self.drop_connection()
            return
        version = self.find(name)
        match = _RANGE.match(self.request.headers.get("Range", ""))
        if match is None or not int(match[1]) <= int(match[2]) < version.total_bytes:
            raise tornado.web.HTTPError(416)
        start, stop = int(match[1]), int(match[2]) + 1
        data = version.read(start, stop)
        if self._faults.strikes("corrupt"):
            data = bytes([data[0] ^ 0xFF]) + data[1:]
        self._state.requests += 1
        self.set_status(206)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Range", f"bytes {start}-{stop - 1}/{version.total_bytes}")
        self.set_header("Content-Length", str(len(data)))
        for offset in range(0, len(data), _BLOCK_BYTES):
            block = data[offset : offset + _BLOCK_BYTES]
            await self._state.wait_turn(len(block))
            self.write(block)
            self._state.bytes_sent += len(block)
            await self.flush()


class VersionHandler(_OriginHandler):
    """``PUT /standin/versions/VERSION`` generates a version."""

    def put(self, name: str) -> None:
        """Generate the version that the JSON body describes."""
        body = self.read_json()
        base = body.get("base", "")
        self._state.versions_by_name[name] = generate_version(
            name,
            model=body["model"],
            total_bytes=int(body["total_bytes"]),
            chunk_bytes=int(body["chunk_bytes"]),
            seed=int(body.get("seed", 1)),
            base=self.find(base) if base else None,
            changed=float(body.get("changed", 1.0)),
        )
        self.write_json(self._state.versions_by_name[name].as_manifest())


class CountsHandler(_OriginHandler):
    """``GET /standin/counts``."""

    def get(self) -> None:
        """Write bytes and requests since the start."""
        self.write_json(
            {
                "bytes_sent": self._state.bytes_sent,
                "requests": self._state.requests,
                "manifests": self._state.manifests,
            }
        )


def make_routes(state: OriginState, faults: Faults) -> list[Any]:
    """Return the routes of the stand-in, without those of :func:`serve`."""
    parts = {"state": state, "faults": faults}
    return [
        (r"/manifests/([^/]+)", ManifestHandler, parts),
        (r"/weights/([^/]+)", RangeHandler, parts),
        (r"/standin/versions/([^/]+)", VersionHandler, parts),
        (r"/standin/counts", CountsHandler, parts),
    ]


def main() -> None:
    """Run the stand-in."""
    parser = make_parser(__doc__ or "")
    parser.add_argument("--bytes-per-s", type=float, default=0, help="rate limit, 0 for none")
    options = parser.parse_args()
    faults = Faults(seed=options.seed)
    state = OriginState(bytes_per_s=options.bytes_per_s)
    asyncio.run(serve(make_routes(state, faults), port=options.port, faults=faults))


if __name__ == "__main__":
    main()
