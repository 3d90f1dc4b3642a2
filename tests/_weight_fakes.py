"""In-memory store, engine and origin for the tests of weights."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Iterable

from sycamoreproxy._engine_control import (
    EngineAnswerLostError,
    EngineState,
    LoadOrder,
    OrderRefusedError,
)
from sycamoreproxy.clock import Clock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.origins import OriginError, VersionUnknownError
from sycamoreproxy.store import (
    Compare,
    Delete,
    Entry,
    Get,
    Put,
    StoreAnswerLostError,
    StoreUnavailableError,
    Txn,
    TxnResult,
)
from sycamoreproxy.streams import Address
from sycamoreproxy.weights import Manifest, compute_chunk_digest, compute_version_digest


def make_record(host: str, *, port: int = 1, zone: str = "a", region: str = "r") -> HostRecord:
    address = Address("127.0.0.1", port)
    return HostRecord(host, "upstream", zone, region, address, address, kind="engine", name="m")


def make_manifest(version: str, chunks: Iterable[bytes], chunk_bytes: int) -> Manifest:
    parts = list(chunks)
    digests = tuple(compute_chunk_digest(part) for part in parts)
    size = sum(len(part) for part in parts)
    return Manifest(version, "m", compute_version_digest(digests), chunk_bytes, size, digests)


class FakeStore:
    """A store whose leases expire by a clock that the test moves."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = False
        self._leases: dict[int, tuple[int, float]] = {}

    async def get(self, key: str) -> Entry | None:
        self._enter()
        return self.entries.get(key)

    async def list_entries(self, prefix: str, *, limit: int = 1000) -> list[Entry]:
        self._enter()
        return [e for k, e in sorted(self.entries.items()) if k.startswith(prefix)][:limit]

    async def transact(self, txn: Txn) -> TxnResult:
        self._enter()
        result = self._run(txn)
        self._leave()
        return result

    async def grant_lease(self, ttl_s: int) -> int:
        self._enter()
        self.revision += 1
        self._leases[self.revision] = (ttl_s, self._clock.monotonic() + ttl_s)
        return self.revision

    async def renew_lease(self, lease: int) -> bool:
        self._enter()
        if lease not in self._leases:
            return False
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self._clock.monotonic() + ttl_s)
        self._leave()
        return True

    async def revoke_lease(self, lease: int) -> None:
        self._enter()
        self._end(lease)

    def watch(self, prefix: str, *, from_revision: int):  # type: ignore[no-untyped-def]
        raise NotImplementedError

    def close(self) -> None:
        pass

    def _enter(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")
        now = self._clock.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now:
                self._end(lease)

    def _leave(self) -> None:
        if self.lose_answers:
            raise StoreAnswerLostError("lost")

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        self.entries = {k: e for k, e in self.entries.items() if e.lease != lease}

    def _run(self, txn: Txn) -> TxnResult:
        def holds(compare: Compare) -> bool:
            entry = self.entries.get(compare.key)
            return (entry.mod_revision if entry else 0) == compare.mod_revision

        succeeded = all(holds(compare) for compare in txn.compares)
        self.revision += 1
        results: list[Entry | TxnResult | None] = []
        for step in txn.then if succeeded else txn.otherwise:
            if isinstance(step, Put):
                old = self.entries.get(step.key)
                created = old.create_revision if old else self.revision
                self.entries[step.key] = Entry(
                    step.key, step.value, created, self.revision, step.lease
                )
                results.append(None)
            elif isinstance(step, Delete):
                self.entries.pop(step.key, None)
                results.append(None)
            elif isinstance(step, Get):
                results.append(self.entries.get(step.key))
            else:
                results.append(self._run(step))
        return TxnResult(succeeded, self.revision, tuple(results))


class FakeEngine:
    """An engine that loads at once."""

    def __init__(self, *, checks_fencing: bool = True) -> None:
        self.state = EngineState("", "", 0, False)
        self.chunks: dict[str, bytes] = {}
        self.orders: list[LoadOrder] = []
        self.lose_answers = False
        self.wrong_digest = False
        self._checks_fencing = checks_fencing

    async def read_state(self) -> EngineState:
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
    """An origin that holds versions as lists of chunks."""

    def __init__(self) -> None:
        self.chunks_by_version: dict[str, list[bytes]] = {}
        self.reads: list[str] = []
        self.corrupt_reads = 0
        self.down = False

    def add(self, version: str, chunks: list[bytes]) -> Manifest:
        self.chunks_by_version[version] = chunks
        return make_manifest(version, chunks, len(chunks[0]))

    async def read_manifest(self, version: str) -> Manifest:
        self._check(version)
        chunks = self.chunks_by_version[version]
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
