"""Fake engine and fake origin for the tests of weight transfers and load orders."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Iterable

from sycamoreproxy.engine_control import (
    EngineAnswerLostError,
    EngineState,
    EngineUnreachableError,
    LoadOrder,
    OrderRefusedError,
)
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.origins import OriginError, VersionUnknownError
from sycamoreproxy.streams import Address
from sycamoreproxy.weights import Manifest, compute_chunk_digest, compute_version_digest


def make_record(host: str, *, port: int = 1, zone: str = "a", region: str = "r") -> HostRecord:
    address = Address("127.0.0.1", port)
    return HostRecord(host, "upstream", zone, region, address, address, kind="engine", name="m")


def make_manifest(version: str, chunks: Iterable[bytes], chunk_bytes: int) -> Manifest:
    chunk_data = list(chunks)
    digests = tuple(compute_chunk_digest(data) for data in chunk_data)
    total_bytes = sum(len(data) for data in chunk_data)
    return Manifest(
        version, "m", compute_version_digest(digests), chunk_bytes, total_bytes, digests
    )


class FakeEngine:
    """In-memory engine that loads without delay."""

    def __init__(self, *, checks_fencing: bool = True) -> None:
        self.state = EngineState("", "", 0, False)
        self.chunks: dict[str, bytes] = {}
        self.orders: list[LoadOrder] = []
        self.lose_answers = False
        self.wrong_digest = False
        self.unreachable = False
        self._checks_fencing = checks_fencing

    async def read_state(self) -> EngineState:
        if self.unreachable:
            raise EngineUnreachableError("refused")
        return self.state

    async def list_chunks(self) -> frozenset[str]:
        return frozenset(self.chunks)

    async def put_chunk(self, digest: str, data: bytes) -> None:
        self.chunks[digest] = data

    async def load(self, order: LoadOrder) -> tuple[str, str]:
        if self._checks_fencing and order.fence < self.state.fence:
            raise OrderRefusedError(409, "old fence")
        if any(digest not in self.chunks for digest in order.chunks):
            raise OrderRefusedError(422, "chunk absent")
        self.orders.append(order)
        digests = [hashlib.sha256(self.chunks[digest]).hexdigest() for digest in order.chunks]
        digest = "0" * 64 if self.wrong_digest else compute_version_digest(tuple(digests))
        self.state = EngineState(order.version, digest, order.fence, False)
        if self.lose_answers:
            raise EngineAnswerLostError("lost")
        return order.version, digest


class FakeOrigin:
    """In-memory origin whose versions are lists of chunks."""

    def __init__(self) -> None:
        self.chunks_by_version: dict[str, list[bytes]] = {}
        self.reads: list[str] = []
        self.corrupt_reads = 0
        self.corrupt_manifest_reads = 0
        self.down = False

    def add(self, version: str, chunks: list[bytes]) -> Manifest:
        self.chunks_by_version[version] = chunks
        return make_manifest(version, chunks, len(chunks[0]))

    async def read_manifest(self, version: str) -> Manifest:
        self._check(version)
        chunks = self.chunks_by_version[version]
        if self.corrupt_manifest_reads:
            self.corrupt_manifest_reads -= 1
            chunks = [chunks[0], b"?" * len(chunks[0]), *chunks[2:]]
        return make_manifest(version, chunks, len(chunks[0]))

    async def read_chunk(self, manifest: Manifest, index: int) -> bytes:
        await asyncio.sleep(0)
        self._check(manifest.version)
        self.reads.append(manifest.chunks[index])
        data = self.chunks_by_version[manifest.version][index]
        if self.corrupt_reads:
            self.corrupt_reads -= 1
            return b"?" * len(data)
        return data

    def close(self) -> None:
        pass

    def _check(self, version: str) -> None:
        if self.down:
            raise OriginError("down")
        if version not in self.chunks_by_version:
            raise VersionUnknownError(version)
