"""Task that fetches the chunks of the wanted version and serves chunks to other hosts."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
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

#: Longest time between two announcements, in seconds; a stream is closed after 5 s of silence.
HEARTBEAT_S = 3.0
#: Shortest time between two announcements of new chunks, in seconds.
ANNOUNCE_MIN_S = 0.05
#: Part of the link that announcements may take; bitmaps of large versions are sent less often.
ANNOUNCE_FRACTION = 0.01
#: The same if hosts import chunks for their zone: what is small for chunks of 1 MB keeps a host of 40
#: with chunks of 48 kB waiting for 0.9 s before it hears of a chunk.
ZONE_ANNOUNCE_FRACTION = 0.05
#: The same for announcements to other zones, of which a host fetches only its part.
FAR_ANNOUNCE_FRACTION = 0.02
#: First pause before a manifest is asked for again, in seconds; the longest is in the limits.
MANIFEST_RETRY_MIN_S = 0.2

#: Bytes of a frame besides the data of its chunk.
_FRAME_ROOM_BYTES = 1_000
#: Bytes of an announcement besides its bitmap: fields, frame and TCP/IP headers.
_ANNOUNCE_BYTES = 120

_log = get_logger("weight_transfer")


def compute_announce_interval_s(
    *, chunks: int, peers: int, bytes_per_s: float, fraction: float = ANNOUNCE_FRACTION
) -> float:
    """Return the shortest time between two announcements, in seconds.

    :param chunks: chunks of the version, one bit each in an announcement.
    :param peers: hosts that receive an announcement.
    :param bytes_per_s: rate of weights on the host's link.
    :param fraction: part of the link that announcements may take.
    """
    size = (chunks // 8 + _ANNOUNCE_BYTES) * peers
    return max(ANNOUNCE_MIN_S, size / (bytes_per_s * fraction))


@dataclass(frozen=True, slots=True)
class TransferState:
    """Progress of the wanted version.

    :param chunks_held: chunks held of ``chunks``, counted by position.
    :param bytes_from_peers: verified bytes of this version received from other hosts.
    :param bytes_from_origin: verified bytes of this version received from the origin.
    :param bytes_uploaded: bytes of this version sent to other hosts in the current rollout.
    :param reason: why it is not done, empty if it is.
    """

    version: str
    chunks_held: int
    chunks: int
    bytes_from_peers: int
    bytes_from_origin: int
    bytes_uploaded: int
    done: bool
    reason: str


class _Announcer:
    """Times the announcements to the peers of the own zone, or to those of other zones.

    :param is_far: whether it is for other zones.
    """

    def __init__(self, *, clock: Clock, is_far: bool) -> None:
        self.is_far = is_far
        self.has_news = False
        self._clock = clock
        self._sent_at = 0.0

    def is_due(self, gap_s: float) -> bool:
        """Return whether an announcement is due, ``gap_s`` after the last one at the earliest."""
        since = self._clock.monotonic() - self._sent_at
        return since >= HEARTBEAT_S or (self.has_news and since >= gap_s)

    @property
    def time_to_heartbeat_s(self) -> float:
        """Time until an announcement is due without any news, in seconds."""
        return max(0.0, self._sent_at + HEARTBEAT_S - self._clock.monotonic())

    def note_sent(self) -> None:
        """Note that all peers were told what is held."""
        self._sent_at = self._clock.monotonic()
        self.has_news = False


class WeightTransfer:
    """Brings every chunk of the wanted version into the chunk store.

    Registers its messages on the hub, opens streams to the neighbours, and sends ``ChunkHave`` as
    the heartbeat between upstream processes. :meth:`run` must be running.

    :param hosts: returns the hosts of all regions that take this model's weights.
    :param random_source: breaks ties between chunks and sources.
    :param read_local: yields chunks of a version that may lie on this host already, not verified.
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
    ) -> None:
        self._hub = hub
        self._read_local = read_local
        self._chunks = chunks
        self._origin = origin
        self._hosts = hosts
        self._limits = limits
        self._clock = clock
        self._random = random_source
        self._wanted = ""
        self._served: Manifest | None = None
        self._manifest: Manifest | None = None
        self._plan: ChunkPlan | None = None
        self._reading = ""
        self._reason = ""
        self._neighbours: tuple[HostRecord, ...] = ()
        #: Hosts and plan of the last update; an equal tuple of hosts changes nothing.
        self._hosts_seen: tuple[HostRecord, ...] | None = None
        self._plan_seen: ChunkPlan | None = None
        self._peers_by_host: dict[str, Peer] = {}
        self._haves_by_host: dict[str, ChunkHave] = {}
        self._uploads: deque[tuple[Peer, str]] = deque()
        self._upload_pacer = Pacer(
            clock=clock,
            bytes_per_s=limits.upload_bytes_per_s or limits.bytes_per_s,
            burst_bytes=limits.upload_slice_bytes or MAX_CHUNK_BYTES,
        )
        self._slices_by_source: dict[tuple[str, str], bytearray] = {}
        self._wake = asyncio.Event()
        self._upload_wake = asyncio.Event()
        self._news = asyncio.Event()
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self._announcers = (
            _Announcer(clock=clock, is_far=False),
            _Announcer(clock=clock, is_far=True),
        )
        self._previous: ChunkPlan | None = None
        hub.on(ChunkHave, self._handle_have)
        hub.on(ChunkRequest, self._handle_request)
        hub.on(ChunkData, self._handle_data)
        hub.on(ChunkSlice, self._handle_slice)
        hub.on(ChunkDecline, self._handle_decline)
        hub.on_open(self._handle_open)
        hub.on_close(self._handle_close)

    # What the engine's owner uses

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        """Fetch this version and abandon the transfer of any other.

        Chunks with equal digests are kept, and those of ``served``.

        :param version: empty for none.
        :param served: manifest of the version that the engine serves.
        """
        if version == self._wanted:
            if served != self._served:
                self._served = served
                self._chunks.retain(served=served, wanted=self._manifest)
            return
        _log.info("version wanted", version=version, before=self._wanted)
        if self._plan is not None:
            self._previous = self._plan
            # Chunks that arrive until the new manifest is read are kept for it.
        self._wanted, self._served = version, served
        self._manifest, self._plan = None, None
        self._reason = "the manifest was not read yet"
        self._wake.set()

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version, once it was read."""
        return self._manifest

    @property
    def is_done(self) -> bool:
        """Whether every chunk of the wanted version is held."""
        return self._plan is not None and self._plan.is_done

    @property
    def progress(self) -> float:
        """Part of the wanted version's chunks that are held, from 0 to 1."""
        if self._plan is None or self._manifest is None:
            return 0.0
        return self._plan.held.bit_count() / len(self._manifest.indexes_by_digest)

    @property
    def reason(self) -> str:
        """Why it is not done, empty if it is."""
        return self.state.reason

    @property
    def state(self) -> TransferState:
        """Progress of the wanted version."""
        plan, manifest = self._plan, self._manifest
        if plan is None or manifest is None:
            return TransferState(self._wanted, 0, 0, 0, 0, 0, False, self._reason)
        return TransferState(
            version=self._wanted,
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

        :returns: None if the origin does not tell; it is asked again at the next call.
        """
        if self._manifest is not None and self._manifest.version == version:
            return self._manifest
        try:
            return await self._origin.read_manifest(version)
        except OriginError:
            return None

    async def wait_done(self, version: str) -> Manifest | None:
        """Wait until every chunk of a version is held.

        The caller bounds the wait.

        :returns: its manifest, or None as soon as another version is wanted.
        """
        async with self._changed:
            await self._changed.wait_for(
                lambda: self._wanted != version or (self._plan is not None and self._plan.is_done)
            )
        return self._manifest if self._wanted == version else None

    # The tasks

    async def run(self) -> None:
        """Fetch and serve until cancelled."""
        self._reading = ""
        keepers = [self._start(self._keep_uploading()), self._start(self._keep_announcing())]
        try:
            while True:
                self._wake.clear()
                for keeper in keepers:
                    if keeper.done():
                        raise RuntimeError("a task of the transfer ended") from keeper.exception()
                self._update_neighbours()
                if self._wanted and self._manifest is None and self._reading != self._wanted:
                    self._reading = self._wanted
                    self._start(self._read_manifest(self._wanted))
                if self._plan is not None and not self._plan.is_done:
                    for fetch in self._plan.choose_fetches():
                        self._send_request(self._plan, fetch)
                await self._notify()
                await self._sleep_until_woken()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("transfer task failed", error=repr(task.exception()))

    @property
    def _current_plan(self) -> ChunkPlan | None:
        """The plan that takes answers: the one before until the new manifest is read."""
        return self._plan or self._previous

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _sleep_until_woken(self) -> None:
        idle = self._plan is None or self._plan.is_done
        wait_s = HEARTBEAT_S if idle or self._plan is None else self._plan.next_wake_s()
        # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the wake-up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wake.wait()

    def _update_neighbours(self) -> None:
        """Open one stream to each host of the region; of two hosts the first by name opens it."""
        hosts = self._hosts()
        if isinstance(hosts, tuple) and (hosts, self._plan) == (self._hosts_seen, self._plan_seen):
            return
        records = tuple(hosts)
        self._hosts_seen, self._plan_seen = records, self._plan
        me = self._hub.hello
        self._neighbours = tuple(
            r for r in records if r.region == me.region and r.host != me.host and r.state == "live"
        )
        self._hub.set_targets({r.peer for r in self._neighbours if me.host < r.host})
        if self._plan is not None:
            taking = [r for r in records if r.state == "live"]
            self._plan.set_neighbours(
                self._neighbours,
                zones=len({(r.region, r.availability_zone) for r in taking}),
                regions=len({r.region for r in taking}),
            )

    async def _read_manifest(self, version: str) -> None:
        """Ask the origin, and peers that have the version, until the manifest is there."""
        pause = MANIFEST_RETRY_MIN_S
        while self._wanted == version and self._manifest is None:
            self._ask_peers_for_manifest(version)
            try:
                manifest = await self._origin.read_manifest(version)
            except OriginError as error:
                if self._wanted == version:
                    self._reason = str(error)
                _log.warning("manifest not read", version=version, error=str(error))
            else:
                await self._adopt_local(manifest)
                self._begin(manifest)
                break
            await asyncio.sleep(pause * (0.5 + self._random.random()))
            pause = min(2 * pause, self._limits.max_manifest_retry_s)
        if self._reading == version:
            self._reading = ""

    async def _adopt_local(self, manifest: Manifest) -> None:
        """Keep the chunks of a version that lie on this host already."""
        if self._read_local is None or manifest.version != self._wanted:
            return
        self._chunks.retain(served=self._served, wanted=manifest)
        adopted = 0
        async for index, data in self._read_local(manifest):
            try:
                adopted += self._chunks.add(manifest.chunks[index], data)
            except CorruptChunkError:
                _log.info("local chunk does not match", version=manifest.version, chunk=index)
        _log.info("local chunks kept", version=manifest.version, chunks=adopted)

    def _ask_peers_for_manifest(self, version: str) -> None:
        """Ask a host that has the version; an empty digest stands for the manifest."""
        holders = [
            peer
            for host, peer in self._peers_by_host.items()
            if host in self._haves_by_host and self._haves_by_host[host].version == version
        ]
        if holders:
            self._random.choice(holders).send(ChunkRequest(version, ""))

    def _begin(self, manifest: Manifest) -> None:
        if manifest.version != self._wanted or self._manifest is not None:
            return
        self._chunks.retain(served=self._served, wanted=manifest)
        self._manifest = manifest
        self._plan = ChunkPlan(
            host=self._hub.hello.host,
            manifest=manifest,
            held=self._chunks.list_held(manifest),
            limits=self._limits,
            clock=self._clock,
            random_source=self._random,
            previous=self._previous,
        )
        self._update_neighbours()
        for host, have in self._haves_by_host.items():
            self._apply_have(host, have)
        self._note_news()
        self._wake.set()

    def _send_request(self, plan: ChunkPlan, fetch: Fetch) -> None:
        if fetch.source == ORIGIN:
            self._start(self._fetch_from_origin(plan, fetch))
            return
        peer = self._peers_by_host.get(fetch.source)
        if peer is None or not peer.send(ChunkRequest(plan.manifest.version, fetch.digest)):
            plan.record_failed(fetch.digest, fetch.source)

    async def _fetch_from_origin(self, plan: ChunkPlan, fetch: Fetch) -> None:
        try:
            data = await self._origin.read_chunk(plan.manifest, fetch.index)
        except OriginError as error:
            _log.warning("chunk not read from the origin", error=str(error))
            if self._current_plan is not None:
                self._current_plan.record_failed(fetch.digest, ORIGIN)
            self._wake.set()
            return
        self._store(fetch.digest, data, ORIGIN)

    def _store(self, digest: str, data: bytes, source: str) -> None:
        kind = "origin" if source == ORIGIN else "peer"
        WEIGHT_BYTES.add({"direction": "in", "kind": kind}, len(data))
        self._wake.set()
        plan = self._current_plan
        if plan is None or digest not in plan.manifest.indexes_by_digest:
            # An answer to a request for a version that is not wanted any more.
            return
        try:
            self._chunks.add(digest, data)
        except CorruptChunkError as error:
            _log.warning("corrupt chunk dropped", source=source or "origin", error=str(error))
            plan.record_corrupt(digest, source)
            self._note_news()
            return
        was_done = plan.is_done
        plan.record_received(digest, source)
        if plan.is_done and not was_done:
            _log.info("version held", version=plan.manifest.version)
        self._note_news()

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
        for key in [key for key in self._slices_by_source if key[0] == host]:
            del self._slices_by_source[key]
        self._haves_by_host.pop(host, None)
        if self._current_plan is not None:
            self._current_plan.remove_peer(host)
        for item in [item for item in self._uploads if item[0] is peer]:
            self._uploads.remove(item)
            self._cancel_upload(item[1])
        self._wake.set()

    def _handle_have(self, peer: Peer, have: ChunkHave) -> None:
        host = peer.hello.host
        if self._peers_by_host.get(host) is peer:
            is_first = host not in self._haves_by_host or (
                self._haves_by_host[host].version != have.version
            )
            self._haves_by_host[host] = have
            if self._manifest is None and is_first and have.version == self._wanted:
                # The origin may be down, and this process's next attempt may be far.
                peer.send(ChunkRequest(have.version, ""))
            self._apply_have(host, have)

    def _apply_have(self, host: str, have: ChunkHave) -> None:
        plan = self._plan
        if plan is None:
            return
        same = have.version == plan.manifest.version
        plan.update_peer(
            host,
            bitmap=int.from_bytes(have.bitmap, "little") if same else 0,
            bytes_uploaded=have.uploaded if same else 0,
            closed=have.closed or not same,
            fetches_from_origin=have.fetches,
            bytes_requested_from_origin=have.from_origin if same else 0,
        )
        self._wake.set()

    def _handle_request(self, peer: Peer, request: ChunkRequest) -> None:
        plan = self._plan
        if plan is None or not (request.digest or plan.manifest.version == request.version):
            peer.send(ChunkDecline(request.digest, "absent"))
            return
        # Chunks are the same in every version that has them, so the version does not matter.
        if not request.digest:
            text = plan.manifest.encode()
            fits = len(text) < MAX_FRAME_BYTES - _FRAME_ROOM_BYTES
            peer.send(ChunkData("", text) if fits else ChunkDecline("", "absent"))
            return
        reason = plan.decide_upload(request.digest, queued=len(self._uploads))
        if reason:
            peer.send(ChunkDecline(request.digest, reason))
            return
        self._uploads.append((peer, request.digest))
        self._upload_wake.set()

    def _handle_data(self, peer: Peer, answer: ChunkData) -> None:
        if answer.digest:
            self._store(answer.digest, answer.data, peer.hello.host)
            return
        if self._manifest is None and self._wanted:
            try:
                self._begin(parse_manifest(answer.data, version=self._wanted))
            except ManifestError as error:
                _log.warning("bad manifest", source=peer.hello.host, error=str(error))

    def _handle_slice(self, peer: Peer, answer: ChunkSlice) -> None:
        """Collect the slices of a chunk, which arrive in order on one stream."""
        key = (peer.hello.host, answer.digest)
        if answer.offset == 0:
            self._slices_by_source[key] = bytearray()
        received = self._slices_by_source.get(key)
        if (
            received is None
            or len(received) != answer.offset
            or answer.offset + len(answer.data) > answer.total
            or answer.total > MAX_CHUNK_BYTES
        ):
            self._slices_by_source.pop(key, None)
            return
        received += answer.data
        if len(received) == answer.total:
            del self._slices_by_source[key]
            self._store(answer.digest, bytes(received), peer.hello.host)

    def _handle_decline(self, peer: Peer, decline: ChunkDecline) -> None:
        if self._current_plan is not None and decline.digest:
            self._current_plan.record_declined(decline.digest, peer.hello.host, decline.reason)
            self._wake.set()

    # Uploads and announcements

    async def _keep_uploading(self) -> None:
        while True:
            if not self._uploads:
                self._upload_wake.clear()
                await self._upload_wake.wait()
                continue
            await self._wait_for_link()
            if not self._uploads:
                continue
            peer, digest = self._uploads.popleft()
            data = self._chunks.get(digest)
            if data is None:
                self._cancel_upload(digest)
                peer.send(ChunkDecline(digest, "absent"))
            elif await self._upload(peer, digest, data):
                WEIGHT_BYTES.add({"direction": "out", "kind": "peer"}, len(data))

    async def _wait_for_link(self) -> None:
        while (wait_s := self._upload_pacer.wait_s()) > 0:
            await asyncio.sleep(wait_s)

    async def _upload(self, peer: Peer, digest: str, data: bytes) -> bool:
        """Send a chunk, in slices if the limits say so; return whether it was sent."""
        size = self._limits.upload_slice_bytes
        if not size or len(data) <= size:
            self._upload_pacer.take(len(data))
            return peer.send(ChunkData(digest, data))
        for offset in range(0, len(data), size):
            await self._wait_for_link()
            part = data[offset : offset + size]
            if not peer.send(ChunkSlice(digest, offset, len(data), part)):
                return False
            self._upload_pacer.take(len(part))
        return True

    def _cancel_upload(self, digest: str) -> None:
        if self._plan is not None:
            self._plan.cancel_upload(digest)

    async def _keep_announcing(self) -> None:
        while True:
            await self._wait_for_news()
            for announcer in self._announcers:
                if not announcer.is_due(0.0):
                    continue
                peers = [
                    peer
                    for peer in self._peers_by_host.values()
                    if self._is_far(peer) is announcer.is_far
                ]
                if not announcer.is_due(self._announce_gap_s(announcer, peers=len(peers))):
                    continue
                if self._plan is not None:
                    self._plan.renew_budget()
                have = self._make_have()
                announcer.note_sent()
                for peer in peers:
                    peer.send(have)

    async def _wait_for_news(self) -> None:
        """Wait until there may be something to announce; a heartbeat's time at the longest."""
        await asyncio.sleep(ANNOUNCE_MIN_S)
        if any(announcer.has_news for announcer in self._announcers):
            return
        self._news.clear()
        wait_s = min(announcer.time_to_heartbeat_s for announcer in self._announcers)
        # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the wake-up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._news.wait()

    def _note_news(self) -> None:
        """Announce what changed as soon as the rates allow."""
        for announcer in self._announcers:
            announcer.has_news = True
        self._news.set()

    def _is_far(self, peer: Peer) -> bool:
        """Return whether a peer is in another zone, and zones make a difference."""
        zone = self._limits.availability_zone
        return bool(zone) and peer.hello.availability_zone != zone

    def _announce_gap_s(self, announcer: _Announcer, *, peers: int) -> float:
        fraction = ANNOUNCE_FRACTION
        if self._limits.availability_zone:
            fraction = FAR_ANNOUNCE_FRACTION if announcer.is_far else ZONE_ANNOUNCE_FRACTION
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
        )
