"""Weight transfer: fetches the chunks of the wanted version and serves chunks to other hosts."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from sycamoreproxy.chunk_plan import (
    ORIGIN,
    ChunkPlan,
    Fetch,
    Pacer,
    PlanLimits,
    encode_bitmap,
    rank_origin_hosts,
)
from sycamoreproxy.clock import Clock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    MAX_FRAME_BYTES,
    ChunkData,
    ChunkDecline,
    ChunkHave,
    ChunkRequest,
    ChunkSlice,
)
from sycamoreproxy.metrics import WEIGHT_BYTES
from sycamoreproxy.origins import Origin, OriginError
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.weights import (
    MAX_CHUNK_BYTES,
    ChunkStore,
    CorruptChunkError,
    Manifest,
    ManifestError,
    parse_manifest,
)

#: Longest time between two announcements (``ChunkHave``), in seconds; a stream is closed after 5 s
#: without a message.
HEARTBEAT_S = 3.0
#: Shortest time between two announcements of new chunks, in seconds.
MIN_ANNOUNCE_INTERVAL_S = 0.05
#: Fraction of the link that announcements may use; bitmaps of large versions are sent less often.
ANNOUNCE_LINK_FRACTION = 0.01
#: The same if hosts import chunks for their zone: each chunk is fetched from other zones by one host
#: and distributed within the zone. ``ANNOUNCE_LINK_FRACTION`` suits chunks of 1 MB; among 40 hosts
#: with chunks of 48 kB it delays the announcement of a chunk by 0.9 s.
ZONE_ANNOUNCE_LINK_FRACTION = 0.05
#: The same for announcements to other zones, whose hosts import only their share of the chunks.
OTHER_ZONE_ANNOUNCE_LINK_FRACTION = 0.02
#: First pause before a manifest is requested again, in seconds; the longest is
#: ``PlanLimits.max_manifest_retry_s``.
MIN_MANIFEST_RETRY_S = 0.2
#: Fraction of the origin's connection limit that the hosts of all regions use. Connections of hosts
#: that lost power count until the origin closes them, so the rest is left for their replacements.
ORIGIN_CONNECTION_FRACTION = 1 / 3
#: Time for which hosts that may not use the origin yet wait for a peer's manifest, in seconds.
MANIFEST_TURN_S = 1.0

#: Number of times that the data of one chunk from the origin must differ from its digest before the
#: manifest is read again.
MAX_ORIGIN_MISMATCHES = 2

#: Bytes of a frame in addition to its payload.
_FRAME_OVERHEAD_BYTES = 1_000
#: Bytes of an announcement in addition to its bitmap: fields, frame and TCP/IP headers.
_ANNOUNCE_OVERHEAD_BYTES = 120

_log = get_logger("weight_transfer")


def compute_announce_interval_s(
    *, chunks: int, peers: int, bytes_per_s: float, fraction: float = ANNOUNCE_LINK_FRACTION
) -> float:
    """Return the shortest time between two announcements, in seconds.

    :param chunks: number of chunks of the version; each takes one bit of an announcement.
    :param peers: number of hosts that receive an announcement.
    :param bytes_per_s: bandwidth of the host's link for weights.
    :param fraction: fraction of the link that announcements may use.
    """
    size = (chunks // 8 + _ANNOUNCE_OVERHEAD_BYTES) * peers
    return max(MIN_ANNOUNCE_INTERVAL_S, size / (bytes_per_s * fraction))


@dataclass(frozen=True, slots=True)
class TransferState:
    """Progress of the wanted version.

    :param chunks_held: number of distinct chunks held, of ``chunks``.
    :param bytes_from_peers: verified bytes of this version received from other hosts.
    :param bytes_from_origin: verified bytes of this version received from the origin.
    :param bytes_uploaded: bytes of this version sent to other hosts in the current rollout.
    :param reason: why the transfer is not done; empty if it is.
    """

    version: str
    chunks_held: int
    chunks: int
    bytes_from_peers: int
    bytes_from_origin: int
    bytes_uploaded: int
    done: bool
    reason: str


class _AnnouncementTimer:
    """Schedules the announcements to the peers of this host's zone, or to those of other zones.

    :param is_for_other_zones: whether it schedules those to other zones.
    """

    def __init__(self, *, clock: Clock, is_for_other_zones: bool) -> None:
        self.is_for_other_zones = is_for_other_zones
        self.has_changes = False
        self._clock = clock
        self._sent_at = 0.0

    def is_due(self, min_interval_s: float) -> bool:
        """Return whether an announcement is due.

        :param min_interval_s: shortest time since the last announcement, in seconds.
        """
        elapsed_s = self._clock.monotonic() - self._sent_at
        return elapsed_s >= HEARTBEAT_S or (self.has_changes and elapsed_s >= min_interval_s)

    @property
    def time_to_heartbeat_s(self) -> float:
        """Time until an announcement is due even if nothing changes, in seconds."""
        return max(0.0, self._sent_at + HEARTBEAT_S - self._clock.monotonic())

    def record_sent(self) -> None:
        """Record that an announcement was sent to all peers."""
        self._sent_at = self._clock.monotonic()
        self.has_changes = False


class WeightTransfer:
    """Fetches every chunk of the wanted version into the chunk store.

    Registers its message handlers on the hub, opens streams to the neighbours, and sends
    ``ChunkHave`` as the heartbeat between upstream processes. Requires :meth:`run` to be running.

    :param hosts: returns the hosts of all regions that receive this model's weights.
    :param random_source: breaks ties between chunks and sources.
    :param read_local: yields indexes and unverified data of the chunks of a version that are
        already stored on this host.
    :param origin_connections: returns the number of connections that the origin accepts from all
        hosts together; 0 if it is not known.
    """

    def __init__(
        self,
        *,
        hub: PeerHub,
        chunks: ChunkStore,
        origin: Origin,
        hosts: Callable[[], Iterable[HostRecord]],
        limits: PlanLimits,
        clock: Clock,
        random_source: random.Random,
        read_local: Callable[[Manifest], AsyncIterator[tuple[int, bytes]]] | None = None,
        origin_connections: Callable[[], int] = lambda: 0,
    ) -> None:
        self._hub = hub
        self._read_local = read_local
        self._origin_connections = origin_connections
        self._chunks = chunks
        self._origin = origin
        self._hosts = hosts
        self._limits = limits
        self._clock = clock
        self._random = random_source
        self._wanted_version = ""
        self._served_manifest: Manifest | None = None
        self._manifest: Manifest | None = None
        self._plan: ChunkPlan | None = None
        self._reading_version = ""
        self._loading_version = ""
        #: Mismatches of each chunk from the origin since the manifest was read.
        self._origin_mismatches_by_digest: Counter[str] = Counter()
        self._is_checking_manifest = False
        #: Hosts that hold the wanted version completely by another manifest.
        self._hosts_with_other_manifest: set[str] = set()
        self._reason = ""
        self._neighbours: tuple[HostRecord, ...] = ()
        self._regions = 1
        #: Hosts, plan and origin limit of the last update, which is skipped if none has changed.
        self._last_update: tuple[tuple[HostRecord, ...], ChunkPlan | None, int] | None = None
        self._peers_by_host: dict[str, Peer] = {}
        self._last_have_by_host: dict[str, ChunkHave] = {}
        self._uploads: deque[tuple[Peer, str]] = deque()
        self._upload_pacer = Pacer(
            clock=clock,
            bytes_per_s=limits.upload_bytes_per_s or limits.bytes_per_s,
            burst_bytes=limits.upload_slice_bytes or MAX_CHUNK_BYTES,
        )
        self._partial_chunks: dict[tuple[str, str], bytearray] = {}
        self._wake = asyncio.Event()
        self._upload_wake = asyncio.Event()
        self._announce_wake = asyncio.Event()
        self._state_changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self._announcement_timers = (
            _AnnouncementTimer(clock=clock, is_for_other_zones=False),
            _AnnouncementTimer(clock=clock, is_for_other_zones=True),
        )
        self._previous_plan: ChunkPlan | None = None
        hub.on(ChunkHave, self._handle_have)
        hub.on(ChunkRequest, self._handle_request)
        hub.on(ChunkData, self._handle_data)
        hub.on(ChunkSlice, self._handle_slice)
        hub.on(ChunkDecline, self._handle_decline)
        hub.on_open(self._handle_open)
        hub.on_close(self._handle_close)

    # Public interface

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        """Fetch this version and abandon the transfer of any other.

        Held chunks are kept if this version or ``served`` contains them.

        :param version: the version; empty for none.
        :param served: manifest of the version that the engine serves.
        """
        if version == self._wanted_version:
            if served != self._served_manifest:
                self._served_manifest = served
                self._chunks.retain(served=served, wanted=self._manifest)
            return
        _log.info("wanted version changed", version=version, before=self._wanted_version)
        if self._plan is not None:
            # The previous plan records chunks that arrive before the new manifest is read; the new
            # version may share them.
            self._previous_plan = self._plan
        self._wanted_version, self._served_manifest = version, served
        self._manifest, self._plan = None, None
        self._reason = "the manifest was not read yet"
        self._wake.set()

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version; None until it is read."""
        return self._manifest

    @property
    def is_done(self) -> bool:
        """Whether every chunk of the wanted version is held."""
        return self._plan is not None and self._plan.is_done

    @property
    def progress(self) -> float:
        """Fraction of the wanted version's chunks that are held, from 0 to 1."""
        if self._plan is None or self._manifest is None:
            return 0.0
        return self._plan.held.bit_count() / len(self._manifest.indexes_by_digest)

    @property
    def reason(self) -> str:
        """Why the transfer is not done; empty if it is."""
        return self.state.reason

    @property
    def state(self) -> TransferState:
        """Progress of the wanted version."""
        plan, manifest = self._plan, self._manifest
        if plan is None or manifest is None:
            return TransferState(self._wanted_version, 0, 0, 0, 0, 0, False, self._reason)
        return TransferState(
            version=self._wanted_version,
            chunks_held=plan.held.bit_count(),
            chunks=len(manifest.indexes_by_digest),
            bytes_from_peers=plan.bytes_from_peers,
            bytes_from_origin=plan.bytes_from_origin,
            bytes_uploaded=plan.bytes_uploaded,
            done=plan.is_done,
            reason="" if plan.is_done else plan.describe_missing(),
        )

    async def find_manifest(self, version: str) -> Manifest | None:
        """Return the manifest of any version, such as one that the engine already holds.

        :returns: None if the origin gives no usable answer; the next call requests it again.
        """
        if self._manifest is not None and self._manifest.version == version:
            return self._manifest
        try:
            return await self._origin.read_manifest(version)
        except OriginError:
            return None

    async def wait_done(self, version: str) -> Manifest | None:
        """Wait without a time limit until every chunk of a version is held.

        :returns: its manifest, or None as soon as another version is wanted.
        """
        async with self._state_changed:
            await self._state_changed.wait_for(
                lambda: self._wanted_version != version
                or (self._plan is not None and self._plan.is_done)
            )
        return self._manifest if self._wanted_version == version else None

    # Tasks

    async def run(self) -> None:
        """Fetch and serve until cancelled."""
        self._reading_version = ""
        background_tasks = [
            self._start_task(self._run_uploads()),
            self._start_task(self._run_announcements()),
        ]
        try:
            while True:
                self._wake.clear()
                for background_task in background_tasks:
                    if background_task.done():
                        raise RuntimeError(
                            "a background task of the weight transfer ended"
                        ) from background_task.exception()
                self._update_neighbours()
                if (
                    self._wanted_version
                    and self._manifest is None
                    and self._reading_version != self._wanted_version
                ):
                    self._reading_version = self._wanted_version
                    self._start_task(self._read_manifest(self._wanted_version))
                if self._plan is not None and not self._plan.is_done:
                    for fetch in self._plan.choose_fetches():
                        self._send_request(self._plan, fetch)
                    if self._plan.has_unannounced_turn:
                        self._schedule_announcement()
                await self._notify_waiters()
                await self._wait_for_wake()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("weight transfer task failed", error=repr(task.exception()))

    @property
    def _current_plan(self) -> ChunkPlan | None:
        """The plan that records answers: the previous one until the new manifest is read."""
        return self._plan or self._previous_plan

    async def _notify_waiters(self) -> None:
        async with self._state_changed:
            self._state_changed.notify_all()

    async def _wait_for_wake(self) -> None:
        is_idle = self._plan is None or self._plan.is_done
        wait_s = HEARTBEAT_S if is_idle or self._plan is None else self._plan.next_wake_s()
        # asyncio.wait_for in Python 3.11 loses a cancellation that coincides with the wake-up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wake.wait()

    def _update_neighbours(self) -> None:
        """Update the neighbours, the live hosts of the region, in the hub and the plan.

        Each has one stream to this host. Of two hosts, the one whose name sorts first opens it.
        """
        hosts = self._hosts()
        records = hosts if isinstance(hosts, tuple) else tuple(hosts)
        update = (records, self._plan, self._origin_connections())
        if update == self._last_update:
            return
        self._last_update = update
        own = self._hub.hello
        self._neighbours = tuple(
            r
            for r in records
            if r.region == own.region and r.host != own.host and r.state == "live"
        )
        self._hub.set_targets({r.peer for r in self._neighbours if own.host < r.host})
        live_hosts = [r for r in records if r.state == "live"]
        self._regions = max(1, len({r.region for r in live_hosts}))
        if self._plan is not None:
            self._plan.set_neighbours(
                self._neighbours,
                zones=len({(r.region, r.availability_zone) for r in live_hosts}),
                regions=self._regions,
                origin_hosts=self._find_origin_hosts(),
            )

    def _find_origin_hosts(self) -> int | None:
        """Return how many hosts of the region may use the origin at once; None for all."""
        connections = self._origin_connections()
        if not connections:
            return None
        return max(1, int(connections * ORIGIN_CONNECTION_FRACTION) // self._regions)

    def _find_manifest_delay_s(self, version: str) -> float:
        """Return the time for which the manifest is requested from peers only, in seconds."""
        origin_hosts = self._find_origin_hosts()
        if origin_hosts is None:
            return 0.0
        own = self._hub.hello.host
        order = rank_origin_hosts(version, {own, *(r.host for r in self._neighbours)})
        return order.index(own) // origin_hosts * MANIFEST_TURN_S

    async def _read_manifest(self, version: str) -> None:
        """Request the manifest from the origin and from peers until it is read."""
        pause_s = MIN_MANIFEST_RETRY_S
        started_at = self._clock.monotonic()
        while self._wanted_version == version and self._manifest is None:
            self._ask_peers_for_manifest(version)
            elapsed_s = self._clock.monotonic() - started_at
            if elapsed_s >= self._find_manifest_delay_s(version):
                await self._read_manifest_from_origin(version)
                if self._manifest is not None:
                    break
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(2 * pause_s, self._limits.max_manifest_retry_s)
        if self._reading_version == version:
            self._reading_version = ""

    async def _read_manifest_from_origin(self, version: str) -> None:
        try:
            manifest = await self._origin.read_manifest(version)
        except OriginError as error:
            if self._wanted_version == version:
                self._reason = str(error)
            _log.warning("could not read manifest from origin", version=version, error=str(error))
        else:
            await self._adopt_manifest(manifest)

    async def _adopt_manifest(self, manifest: Manifest) -> None:
        """Start the transfer of the wanted version, first with the chunks that this host has."""
        if self._manifest is not None or self._loading_version == manifest.version:
            return
        self._loading_version = manifest.version
        try:
            await self._load_local_chunks(manifest)
        finally:
            self._loading_version = ""
        self._start_plan(manifest)

    async def _load_local_chunks(self, manifest: Manifest) -> None:
        """Load the chunks of a version that are already stored on this host."""
        if self._read_local is None or manifest.version != self._wanted_version:
            return
        self._chunks.retain(served=self._served_manifest, wanted=manifest)
        loaded = 0
        async for index, data in self._read_local(manifest):
            try:
                loaded += self._chunks.add(manifest.chunks[index], data)
            except CorruptChunkError:
                _log.info(
                    "local chunk does not match its digest", version=manifest.version, chunk=index
                )
        _log.info("local chunks loaded", version=manifest.version, chunks=loaded)

    def _ask_peers_for_manifest(self, version: str) -> None:
        """Request the manifest from a peer that has the version.

        It is requested as a chunk with an empty digest.
        """
        holding_peers = [
            peer
            for host, peer in self._peers_by_host.items()
            if host in self._last_have_by_host and self._last_have_by_host[host].version == version
        ]
        if holding_peers:
            self._random.choice(holding_peers).send(ChunkRequest(version, ""))

    def _start_plan(self, manifest: Manifest) -> None:
        if manifest.version != self._wanted_version or self._manifest is not None:
            return
        self._chunks.retain(served=self._served_manifest, wanted=manifest)
        self._manifest = manifest
        self._origin_mismatches_by_digest.clear()
        self._hosts_with_other_manifest.clear()
        self._plan = ChunkPlan(
            host=self._hub.hello.host,
            manifest=manifest,
            held=self._chunks.list_held(manifest),
            limits=self._limits,
            clock=self._clock,
            random_source=self._random,
            previous=self._previous_plan,
        )
        self._update_neighbours()
        for host, have in self._last_have_by_host.items():
            self._apply_have(host, have)
        self._schedule_announcement()
        self._wake.set()

    async def _check_manifest(self, manifest: Manifest) -> None:
        """Replace the manifest if the origin sends another one twice.

        Any answer of the origin may be corrupted on its way, also the first manifest.
        """
        try:
            first = await self._origin.read_manifest(manifest.version)
            if first != manifest and first == await self._origin.read_manifest(manifest.version):
                self._replace_manifest(manifest, first)
        except OriginError as error:
            _log.warning(
                "could not read manifest from origin", version=manifest.version, error=str(error)
            )
        finally:
            self._is_checking_manifest = False
            self._origin_mismatches_by_digest.clear()

    def _replace_manifest(self, before: Manifest, manifest: Manifest) -> None:
        """Continue the transfer with another manifest of the same version."""
        if self._manifest is not before or self.is_done:
            return
        changed = [i for i, digest in enumerate(before.chunks) if digest not in manifest.chunks]
        _log.warning("manifest replaced", version=manifest.version, chunks=changed)
        self._previous_plan = self._plan
        self._manifest, self._plan = None, None
        self._start_plan(manifest)

    def _send_request(self, plan: ChunkPlan, fetch: Fetch) -> None:
        if fetch.source == ORIGIN:
            self._start_task(self._fetch_from_origin(plan, fetch))
            return
        peer = self._peers_by_host.get(fetch.source)
        if peer is None or not peer.send(ChunkRequest(plan.manifest.version, fetch.digest)):
            plan.record_failed(fetch.digest, fetch.source)

    async def _fetch_from_origin(self, plan: ChunkPlan, fetch: Fetch) -> None:
        try:
            data = await self._origin.read_chunk(plan.manifest, fetch.index)
        except OriginError as error:
            _log.warning("could not read chunk from origin", error=str(error))
            if self._current_plan is not None:
                self._current_plan.record_failed(fetch.digest, ORIGIN)
            self._wake.set()
            return
        self._store_chunk(fetch.digest, data, ORIGIN)

    def _store_chunk(self, digest: str, data: bytes, source: str) -> None:
        kind = "origin" if source == ORIGIN else "peer"
        WEIGHT_BYTES.add({"direction": "in", "kind": kind}, len(data))
        self._wake.set()
        plan = self._current_plan
        if plan is None or digest not in plan.manifest.indexes_by_digest:
            # The chunk was requested for a version that is no longer wanted.
            return
        try:
            self._chunks.add(digest, data)
        except CorruptChunkError as error:
            _log.warning("corrupt chunk dropped", source=source or "origin", error=str(error))
            plan.record_corrupt(digest, source)
            self._schedule_announcement()
            if source == ORIGIN:
                self._record_origin_mismatch(plan.manifest, digest)
            return
        was_done = plan.is_done
        plan.record_received(digest, source)
        if plan.is_done and not was_done:
            _log.info("version held", version=plan.manifest.version)
        self._schedule_announcement()

    def _record_origin_mismatch(self, manifest: Manifest, digest: str) -> None:
        self._origin_mismatches_by_digest[digest] += 1
        is_doubtful = self._origin_mismatches_by_digest[digest] >= MAX_ORIGIN_MISMATCHES
        if is_doubtful and manifest is self._manifest and not self._is_checking_manifest:
            self._is_checking_manifest = True
            self._start_task(self._check_manifest(manifest))

    # Messages

    def _handle_open(self, peer: Peer) -> None:
        if peer.hello.role == "upstream":
            self._peers_by_host[peer.hello.host] = peer
            peer.send(self._make_have())

    def _handle_close(self, peer: Peer) -> None:
        host = peer.hello.host
        if self._peers_by_host.get(host) is not peer:
            return
        del self._peers_by_host[host]
        for key in [key for key in self._partial_chunks if key[0] == host]:
            del self._partial_chunks[key]
        self._last_have_by_host.pop(host, None)
        if self._current_plan is not None:
            self._current_plan.remove_peer(host)
        for item in [item for item in self._uploads if item[0] is peer]:
            self._uploads.remove(item)
            self._cancel_upload(*item)
        self._wake.set()

    def _handle_have(self, peer: Peer, have: ChunkHave) -> None:
        host = peer.hello.host
        if self._peers_by_host.get(host) is peer:
            is_new_version = host not in self._last_have_by_host or (
                self._last_have_by_host[host].version != have.version
            )
            self._last_have_by_host[host] = have
            if self._manifest is None and is_new_version and have.version == self._wanted_version:
                # The origin may be down, and this process's next attempt may be seconds away.
                peer.send(ChunkRequest(have.version, ""))
            self._apply_have(host, have)

    def _apply_have(self, host: str, have: ChunkHave) -> None:
        plan = self._plan
        if plan is None:
            return
        is_same_version = have.version == plan.manifest.version
        # A closed host accepts no chunk requests.
        plan.update_peer(
            host,
            bitmap=int.from_bytes(have.bitmap, "little") if is_same_version else 0,
            bytes_uploaded=have.uploaded if is_same_version else 0,
            closed=have.closed or not is_same_version,
            fetches_from_origin=have.fetches,
            bytes_requested_from_origin=have.from_origin if is_same_version else 0,
            has_spent_uploads=have.spent and is_same_version,
        )
        self._wake.set()

    def _handle_request(self, peer: Peer, request: ChunkRequest) -> None:
        plan = self._plan
        if plan is None or not (request.digest or plan.manifest.version == request.version):
            peer.send(ChunkDecline(request.digest, "absent"))
            return
        # A chunk is identified by its digest alone, so the version is not compared.
        if not request.digest:
            encoded = plan.manifest.encode()
            fits = len(encoded) < MAX_FRAME_BYTES - _FRAME_OVERHEAD_BYTES
            peer.send(ChunkData("", encoded) if fits else ChunkDecline("", "absent"))
            return
        if (
            request.version == plan.manifest.version
            and plan.is_done
            and request.digest not in plan.manifest.indexes_by_digest
        ):
            peer.send(ChunkDecline(request.digest, "unlisted"))
            return
        reason = plan.decide_upload(request.digest, host=peer.hello.host, queued=len(self._uploads))
        if reason:
            peer.send(ChunkDecline(request.digest, reason))
            return
        self._uploads.append((peer, request.digest))
        self._upload_wake.set()
        if plan.has_unannounced_turn:
            self._schedule_announcement()

    def _handle_data(self, peer: Peer, answer: ChunkData) -> None:
        if answer.digest:
            self._store_chunk(answer.digest, answer.data, peer.hello.host)
            return
        host = peer.hello.host
        is_replacement = host in self._hosts_with_other_manifest
        if (self._manifest is None or is_replacement) and self._wanted_version:
            try:
                manifest = parse_manifest(answer.data, version=self._wanted_version)
            except ManifestError as error:
                _log.warning("peer sent an invalid manifest", source=host, error=str(error))
            else:
                if self._manifest is None:
                    self._start_task(self._adopt_manifest(manifest))
                elif manifest != self._manifest:
                    self._replace_manifest(self._manifest, manifest)

    def _handle_slice(self, peer: Peer, answer: ChunkSlice) -> None:
        """Assemble a chunk from its slices, which arrive in order on one stream."""
        key = (peer.hello.host, answer.digest)
        if answer.offset == 0:
            self._partial_chunks[key] = bytearray()
        received = self._partial_chunks.get(key)
        if (
            received is None
            or len(received) != answer.offset
            or answer.offset + len(answer.data) > answer.total
            or answer.total > MAX_CHUNK_BYTES
        ):
            self._partial_chunks.pop(key, None)
            return
        received += answer.data
        if len(received) == answer.total:
            del self._partial_chunks[key]
            self._store_chunk(answer.digest, bytes(received), peer.hello.host)

    def _handle_decline(self, peer: Peer, decline: ChunkDecline) -> None:
        plan, reason = self._current_plan, decline.reason
        if plan is None or not decline.digest:
            return
        if reason == "unlisted":
            reason = "absent"
            if plan is self._plan and decline.digest in plan.manifest.indexes_by_digest:
                self._hosts_with_other_manifest.add(peer.hello.host)
                peer.send(ChunkRequest(plan.manifest.version, ""))
        plan.record_declined(decline.digest, peer.hello.host, reason)
        self._wake.set()

    # Uploads and announcements

    async def _run_uploads(self) -> None:
        while True:
            if not self._uploads:
                self._upload_wake.clear()
                await self._upload_wake.wait()
                continue
            await self._wait_for_upload_pacer()
            if not self._uploads:
                continue
            peer, digest = self._uploads.popleft()
            data = self._chunks.get(digest)
            if data is None:
                self._cancel_upload(peer, digest)
                peer.send(ChunkDecline(digest, "absent"))
            elif await self._upload(peer, digest, data):
                WEIGHT_BYTES.add({"direction": "out", "kind": "peer"}, len(data))

    async def _wait_for_upload_pacer(self) -> None:
        while (wait_s := self._upload_pacer.wait_s()) > 0:
            await asyncio.sleep(wait_s)

    async def _upload(self, peer: Peer, digest: str, data: bytes) -> bool:
        """Send a chunk, in slices if it exceeds the slice size.

        :returns: whether it was sent completely.
        """
        size = self._limits.upload_slice_bytes
        if not size or len(data) <= size:
            self._upload_pacer.take(len(data))
            return peer.send(ChunkData(digest, data))
        for offset in range(0, len(data), size):
            await self._wait_for_upload_pacer()
            slice_data = data[offset : offset + size]
            if not peer.send(ChunkSlice(digest, offset, len(data), slice_data)):
                return False
            self._upload_pacer.take(len(slice_data))
        return True

    def _cancel_upload(self, peer: Peer, digest: str) -> None:
        if self._plan is not None:
            self._plan.cancel_upload(digest, host=peer.hello.host)

    async def _run_announcements(self) -> None:
        while True:
            await self._wait_for_changes()
            for timer in self._announcement_timers:
                # If there are no changes and no heartbeat is due, the peers need not be listed.
                if not timer.is_due(0.0):
                    continue
                peers = [
                    peer
                    for peer in self._peers_by_host.values()
                    if self._is_in_other_zone(peer) is timer.is_for_other_zones
                ]
                if not timer.is_due(self._find_announce_interval_s(timer, peers=len(peers))):
                    continue
                # The announcement contains the uploaded bytes, which are reset after a rollout.
                if self._plan is not None:
                    self._plan.renew_budget()
                    self._plan.record_announced()
                have = self._make_have()
                timer.record_sent()
                for peer in peers:
                    peer.send(have)

    async def _wait_for_changes(self) -> None:
        """Wait until a change may have to be announced or a heartbeat is due."""
        await asyncio.sleep(MIN_ANNOUNCE_INTERVAL_S)
        if any(timer.has_changes for timer in self._announcement_timers):
            return
        self._announce_wake.clear()
        wait_s = min(timer.time_to_heartbeat_s for timer in self._announcement_timers)
        # asyncio.wait_for in Python 3.11 loses a cancellation that coincides with the wake-up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._announce_wake.wait()

    def _schedule_announcement(self) -> None:
        """Announce the current state as soon as the announcement intervals permit."""
        for timer in self._announcement_timers:
            timer.has_changes = True
        self._announce_wake.set()

    def _is_in_other_zone(self, peer: Peer) -> bool:
        """Return whether a peer is in another zone; false for all if no zone is set."""
        zone = self._limits.availability_zone
        return bool(zone) and peer.hello.availability_zone != zone

    def _find_announce_interval_s(self, timer: _AnnouncementTimer, *, peers: int) -> float:
        fraction = ANNOUNCE_LINK_FRACTION
        if self._limits.availability_zone:
            fraction = (
                OTHER_ZONE_ANNOUNCE_LINK_FRACTION
                if timer.is_for_other_zones
                else ZONE_ANNOUNCE_LINK_FRACTION
            )
        return compute_announce_interval_s(
            chunks=len(self._manifest.chunks) if self._manifest is not None else 0,
            peers=peers,
            bytes_per_s=self._limits.bytes_per_s,
            fraction=fraction,
        )

    def _make_have(self) -> ChunkHave:
        plan, manifest = self._plan, self._manifest
        if plan is None or manifest is None:
            return ChunkHave("", b"")
        return ChunkHave(
            manifest.version,
            encode_bitmap(plan.held, len(manifest.chunks)),
            plan.bytes_uploaded,
            fetches=plan.fetches_from_origin,
            from_origin=plan.bytes_requested_from_origin,
            spent=plan.has_spent_uploads,
        )
