"""Planner of weight transfers: source selection, pacing and upload budgets. Performs no I/O.

Sets of chunks are integers used as bitmaps: bit ``i`` stands for chunk ``i`` of the manifest.
Chunks with equal digests are fetched once and represented by their first index.
"""

from __future__ import annotations

import functools
import hashlib
import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.weights import Manifest

#: Source name of the origin; host names are never empty.
ORIGIN = ""

#: Fraction of the bytes still to be received that is expected to arrive corrupt or twice.
_EXPECTED_WASTE_FRACTION = 0.01
#: Chunks withheld from the upload budget while chunks are missing. With one, hosts whose last
#: chunks arrived corrupt transferred more than two copies over their link in the benchmark.
_UPLOAD_RESERVE_CHUNKS = 2
#: Longest wait for the first announcements of peers before the origin is used, in seconds.
_FIRST_ANNOUNCEMENT_TIMEOUT_S = 1.0
#: Shortest time without a chunk from a peer after which a chunk that peers hold is fetched from the
#: origin, or a chunk assigned to another host is imported from another zone, in seconds.
_MIN_FALLBACK_IDLE_S = 0.5
#: Wait of a host for each group of hosts that uses the origin before it, as a multiple of the time
#: after which chunks that no peer serves are fetched from the origin.
_ORIGIN_TURN_FALLBACKS = 2
#: Largest back-off after declined requests, as a multiple of that after the first.
_MAX_BUSY_BACKOFF = 4
#: Shortest back-off after the first declined request, in seconds. On a fast link, a request to a busy
#: source would otherwise always be in flight and keep the host from the origin.
_MIN_BUSY_BACKOFF_S = 0.02
#: Period of the check for timed-out requests and stalled hosts, in seconds.
_TIMEOUT_CHECK_PERIOD_S = 0.2

#: Leading hexadecimal digits of a chunk digest that form the bucket of the chunk.
_BUCKET_HEX_DIGITS = 3

#: Leading hexadecimal digits of a chunk digest that form its key when chunks are assigned one by
#: one.
_CHUNK_KEY_HEX_DIGITS = 16

#: Largest version, in chunks, that is assigned by ``BoundedLoadAssignment``: each assignment scores
#: every chunk for every host.
MAX_BALANCED_CHUNKS = 64

_MASK_64_BITS = (1 << 64) - 1


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanLimits:
    """Limits of a transfer; times are in seconds.

    :param bytes_per_s: rate for weights in each direction of the host's link.
    :param upload_copies: largest number of copies of the version that a host uploads in one
        rollout.
    :param origin_copies_per_zone: largest number of copies that the hosts of an availability zone
        fetch from the origin.
    :param origin_copies: largest number of copies that all hosts together fetch from the origin.
    :param in_flight: largest number of concurrent requests.
    :param in_flight_per_source: largest number of concurrent requests to one peer.
    :param in_flight_at_origin: largest number of concurrent requests to the origin; more would only
        queue at its link.
    :param max_queued_uploads: largest number of accepted uploads that wait for the link.
    :param min_seed_copies: number of peers that must hold a chunk before a host that has uploaded
        more than its share declines requests for it.
    :param max_upload_lead_chunks: chunks that a host may upload in excess of its share so far.
    :param source_jitter_chunks: sources whose uploads differ by less than this many chunks are
        chosen at random; all hosts see the same counts and would otherwise choose the same source.
    :param takeover_timeout_s: shortest time without progress of a host after which the next host in
        rendezvous order fetches its chunks from the origin.
    :param request_timeout_s: longest wait for the data of one request.
    :param min_upload_bytes: lower bound of the upload budget. For a version of a few chunks, one
        copy is too coarse a budget to reach every host.
    :param corrupt_peer_backoff_s: time for which a peer that sent a corrupt chunk is not used.
    :param origin_backoff_s: time for which the origin is not used after a corrupt chunk or a
        failure.
    :param origin_stall_timeout_s: time since the last request to the origin after which one more is
        permitted regardless of the budgets.
    :param failed_peer_backoff_s: time for which a peer that failed or timed out is not used.
    :param upload_bytes_per_s: rate of uploads if it differs from ``bytes_per_s``; 0 if not.
    :param upload_slice_bytes: size of the slices in which chunks are uploaded, so that live answers
        on the same link wait for one slice instead of one chunk; 0 for whole chunks.
    :param availability_zone: availability zone of this host. If it is set, each chunk is imported
        into the zone by one of its hosts, chosen by rendezvous hashing, and distributed within the
        zone; empty if links between zones are as fast as those within.
    :param balances_small_versions: whether the chunks of a small version are assigned by
        ``BoundedLoadAssignment``.
    :param max_manifest_retry_s: longest pause before a manifest that could not be read is requested
        again.
    :param rollout_idle_timeout_s: time without uploads after which a rollout ends and the upload
        budget is reset: hosts replaced later need the chunks too.
    """

    bytes_per_s: float
    upload_copies: float = 1.0
    origin_copies_per_zone: float = 1.5
    origin_copies: float = 4.0
    in_flight: int = 6
    in_flight_per_source: int = 2
    in_flight_at_origin: int = 1
    max_queued_uploads: int = 3
    min_seed_copies: int = 2
    max_upload_lead_chunks: float = 4.0
    source_jitter_chunks: float = 4.0
    takeover_timeout_s: float = 5.0
    request_timeout_s: float = 15.0
    min_upload_bytes: float = 0.0
    corrupt_peer_backoff_s: float = 60.0
    origin_backoff_s: float = 0.5
    origin_stall_timeout_s: float = 5.0
    failed_peer_backoff_s: float = 10.0
    upload_bytes_per_s: float = 0.0
    upload_slice_bytes: int = 0
    availability_zone: str = ""
    balances_small_versions: bool = False
    max_manifest_retry_s: float = 5.0
    rollout_idle_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class Fetch:
    """A request for a chunk to be sent to ``source``, which is a host or :data:`ORIGIN`."""

    index: int
    digest: str
    source: str


class Pacer:
    """Limits traffic to a fixed rate.

    :param burst_bytes: bytes that may be sent at once after a pause.
    """

    def __init__(self, *, clock: Clock, bytes_per_s: float, burst_bytes: float) -> None:
        self._clock = clock
        self._rate = bytes_per_s
        self._burst_s = burst_bytes / bytes_per_s
        self._free_at = clock.monotonic()

    def wait_s(self) -> float:
        """Return the time until the next bytes may be sent, in seconds."""
        return max(0.0, self._free_at - self._clock.monotonic())

    def take(self, size: int) -> None:
        """Count bytes that are sent now."""
        earliest = self._clock.monotonic() - self._burst_s
        self._free_at = max(self._free_at, earliest) + size / self._rate

    def refund(self, size: int) -> None:
        """Uncount bytes that were taken but not sent."""
        self._free_at -= size / self._rate


@dataclass(slots=True)
class _PeerState:
    """State of a peer, from its announcements and its answers.

    :param closed: whether it accepts no requests for this version.
    :param fetches_from_origin: whether it fetches its assigned chunks from the origin.
    :param backoff_until: monotonic time until which it is not used after it declined a request.
    :param busy_count: requests declined since its last chunk, up to ``_MAX_BUSY_BACKOFF``.
    :param budget_spent_until: monotonic time until which it is not used because its upload budget
        is spent.
    :param has_spent_uploads: whether it can't upload the next chunk that it fetches.
    :param bytes_requested_from_origin: bytes that it requested from the origin.
    :param requested_from_origin_at: monotonic time at which it announced its last request to the
        origin.
    """

    bitmap: int = 0
    bytes_uploaded: int = 0
    closed: bool = False
    fetches_from_origin: bool = True
    in_flight: int = 0
    backoff_until: float = 0.0
    busy_count: int = 0
    budget_spent_until: float = 0.0
    has_spent_uploads: bool = False
    bytes_requested_from_origin: int = 0
    requested_from_origin_at: float = -math.inf

    def record_origin_requests(self, requested_bytes: int, now: float) -> None:
        """Apply the announced number of bytes requested from the origin."""
        if requested_bytes > self.bytes_requested_from_origin:
            self.requested_from_origin_at = now
        self.bytes_requested_from_origin = requested_bytes


@functools.lru_cache(maxsize=4_096)
def hash_name(name: str) -> int:
    """Return a 64-bit hash of a host name that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def score_chunk(chunk_key: int, host_key: int) -> int:
    """Return the rendezvous score of a host for a chunk.

    The host with the highest score fetches the chunk from the origin. The mixing steps are those of
    the splitmix64 finalizer (Steele, Lea and Flood, 2014).
    """
    value = ((chunk_key ^ host_key) * 0x9E3779B97F4A7C15) & _MASK_64_BITS
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64_BITS
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK_64_BITS
    return value ^ (value >> 31)


def rank_origin_hosts(version: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in the order in which they use the origin for a version.

    All hosts that know the same hosts agree on the order, and each version has another one.
    """
    key = hash_name(version)
    return sorted(hosts, key=lambda host: (score_chunk(key, hash_name(host)), host), reverse=True)


class RendezvousAssignment:
    """Assigns each chunk to the host that fetches it from the origin, by rendezvous hash.

    Chunks whose digests start with the same 12 bits share a bucket and are assigned together, which
    bounds the cost of an assignment for large versions. When a host leaves, only its own chunks are
    reassigned.
    """

    def __init__(self, manifest: Manifest) -> None:
        self._chunks_by_bucket: dict[int, int] = {}
        for digest, indexes in manifest.indexes_by_digest.items():
            bucket = int(digest[:_BUCKET_HEX_DIGITS], 16)
            self._chunks_by_bucket[bucket] = self._chunks_by_bucket.get(bucket, 0) | 1 << indexes[0]
        self._keys_by_host: dict[str, int] = {}
        self._owners_by_bucket: dict[int, tuple[int, str]] = {}
        self._chunks_by_host: dict[str, int] = {}

    def assign(self, hosts: set[str]) -> None:
        """Assign all chunks to these hosts."""
        if hosts == self._keys_by_host.keys():
            return
        removed = self._keys_by_host.keys() - hosts
        added_keys = {host: hash_name(host) for host in sorted(hosts - self._keys_by_host.keys())}
        self._keys_by_host = {
            host: key for host, key in self._keys_by_host.items() if host not in removed
        } | added_keys
        for bucket in self._chunks_by_bucket:
            score, owner = self._owners_by_bucket.get(bucket, (-1, ""))
            candidate_keys = added_keys
            if owner in removed or score < 0:
                score, owner, candidate_keys = -1, "", self._keys_by_host
            for host, key in candidate_keys.items():
                score, owner = max((score, owner), (score_chunk(bucket, key), host))
            self._owners_by_bucket[bucket] = (score, owner)
        self._chunks_by_host = dict.fromkeys(self._keys_by_host, 0)
        for bucket, (_, owner) in self._owners_by_bucket.items():
            if owner:
                self._chunks_by_host[owner] |= self._chunks_by_bucket[bucket]

    def chunks_of(self, host: str) -> int:
        """Return the bitmap of a host's chunks."""
        return self._chunks_by_host.get(host, 0)


class BoundedLoadAssignment:
    """Assigns each chunk by rendezvous hash to a host that is below its load limit.

    Rendezvous hashing alone gives some hosts twice the mean load when there are only a few chunks
    per host, and the transfer takes as long as the host with the most chunks. The load limit, as in
    consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016), is the mean,
    rounded up. Hosts that do not know all of the newest hosts yet still agree on most chunks.
    """

    def __init__(self, manifest: Manifest) -> None:
        self._key_by_index = {
            indexes[0]: int(digest[:_CHUNK_KEY_HEX_DIGITS], 16)
            for digest, indexes in manifest.indexes_by_digest.items()
        }
        self._hosts: set[str] = set()
        self._chunks_by_host: dict[str, int] = {}

    def assign(self, hosts: set[str]) -> None:
        """Assign all chunks to these hosts."""
        if hosts == self._hosts:
            return
        self._hosts = set(hosts)
        key_by_host = {host: hash_name(host) for host in sorted(hosts)}
        capacity_by_host = dict.fromkeys(key_by_host, -(-len(self._key_by_index) // len(hosts)))
        self._chunks_by_host = dict.fromkeys(hosts, 0)
        for index in sorted(self._key_by_index):
            key = self._key_by_index[index]
            _, owner = max(
                (score_chunk(key, key_by_host[host]), host)
                for host, capacity in capacity_by_host.items()
                if capacity
            )
            capacity_by_host[owner] -= 1
            self._chunks_by_host[owner] |= 1 << index

    def chunks_of(self, host: str) -> int:
        """Return the bitmap of a host's chunks."""
        return self._chunks_by_host.get(host, 0)


def encode_bitmap(bitmap: int, chunks: int) -> bytes:
    """Return the bytes of a bitmap, least significant bit first."""
    return bitmap.to_bytes((chunks + 7) // 8, "little")


def list_bits(bitmap: int) -> list[int]:
    """Return the positions of the set bits in rising order."""
    positions = []
    while bitmap:
        low = bitmap & -bitmap
        positions.append(low.bit_length() - 1)
        bitmap ^= low
    return positions


class ChunkPlan:
    """Plans the transfer of one version at one host.

    :param host: name of this host.
    :param held: digests of chunks that are held already, from an older version.
    :param random_source: breaks ties, so that hosts do not all choose the same chunk and source.
    :param previous: plan of the version wanted before. Its sources in back-off stay so, and uploads
        of chunks that both versions share count against the budget.
    """

    def __init__(
        self,
        *,
        host: str,
        manifest: Manifest,
        held: Iterable[str],
        limits: PlanLimits,
        clock: Clock,
        random_source: random.Random,
        previous: ChunkPlan | None = None,
    ) -> None:
        self.manifest = manifest
        self.bytes_uploaded = 0
        self.bytes_from_peers = 0
        self.bytes_from_origin = 0
        self.bytes_requested_from_origin = 0
        self._host = host
        self._limits = limits
        self._clock = clock
        self._random = random_source
        self._first_index_by_digest = {
            digest: indexes[0] for digest, indexes in manifest.indexes_by_digest.items()
        }
        self._unique_chunks = sum(1 << index for index in self._first_index_by_digest.values())
        self._unique_bytes = sum(
            manifest.size_of(index) for index in self._first_index_by_digest.values()
        )
        self._held = sum(1 << self._first_index_by_digest[digest] for digest in set(held))
        self._peers_by_host: dict[str, _PeerState] = {}
        #: This host as the peers know it from its last announcement. Turns at the origin are found
        #: by it, so that this host and its peers agree on them.
        self._announced = _PeerState()
        self._neighbours_by_host: dict[str, HostRecord] = {}
        is_small = limits.balances_small_versions and len(manifest.chunks) <= MAX_BALANCED_CHUNKS
        assignment_class = BoundedLoadAssignment if is_small else RendezvousAssignment
        self._origin_hosts: int | None = None
        #: Assigns the chunks to fetch from the origin to the live hosts that are not known to be
        #: lost, stalled or backing off from the origin, or to the first of them.
        self._assignment = assignment_class(manifest)
        self._assignment.assign({host})
        #: The same for all live hosts of the region. The chunks of a host are its share, which it
        #: may fetch without an allowance.
        self._region_assignment = assignment_class(manifest)
        self._region_assignment.assign({host})
        #: Assigns the chunks to import from other zones to the live hosts of this zone.
        self._zone_assignment = assignment_class(manifest)
        self._zone_assignment.assign({host})
        self._region_size = 1
        self._zones = 1
        self._regions = 1
        self._progress_at_by_host: dict[str, float] = {}
        self._stalled_hosts: set[str] = set()
        self._lost_hosts: set[str] = set()
        self._in_flight_by_index: dict[int, tuple[str, float]] = {}
        self._backoff_until_by_source: dict[str, float] = {}
        self._holder_counts: list[int] = [0] * len(manifest.chunks)
        self._chunks_by_holder_count: dict[int, int] = {0: self._unique_chunks}
        #: Peers by index of a chunk that this host uploads to them, until they announce it.
        self._receivers_by_index: defaultdict[int, set[str]] = defaultdict(set)
        self._pacer = Pacer(
            clock=clock, bytes_per_s=limits.bytes_per_s, burst_bytes=2 * manifest.chunk_bytes
        )
        self._next_timeout_check_at = 0.0
        self._origin_bytes_by_host: dict[str, int] = {}
        self._origin_bytes_of_replaced_peers = 0
        self._wasted_bytes = 0
        self._origin_latency_s = 0.0
        self._last_upload_at = clock.monotonic()
        self._last_origin_request_at = clock.monotonic()
        self._last_peer_chunk_at = clock.monotonic()
        self._started_at = clock.monotonic()
        self._wasted_bytes_by_digest: Counter[str] = Counter()
        self._uploaded_bytes_by_digest: Counter[str] = Counter()
        if previous is not None:
            self._inherit(previous)

    # Queries

    @property
    def is_done(self) -> bool:
        """Whether every chunk is held."""
        return self._held == self._unique_chunks

    @property
    def held(self) -> int:
        """Bitmap of the chunks held; duplicates are represented by their first index."""
        return self._held

    @property
    def fetches_from_origin(self) -> bool:
        """Whether this host uses the origin now, which it does unless the origin is in back-off."""
        return self._backoff_until_by_source.get(ORIGIN, 0.0) <= self._clock.monotonic()

    @property
    def has_spent_uploads(self) -> bool:
        """Whether this host can't upload the next chunk that it fetches."""
        missing_chunks = max(1, (self._unique_chunks & ~self._held).bit_count())
        budget = self._compute_hard_upload_budget(missing_chunks - 1)
        return self.bytes_uploaded + self.manifest.chunk_bytes > budget

    @property
    def has_unannounced_turn(self) -> bool:
        """Whether the last announcement does not show what decides this host's turn."""
        return self._origin_hosts is not None and (
            self.has_spent_uploads != self._announced.has_spent_uploads
            or self.bytes_requested_from_origin != self._announced.bytes_requested_from_origin
        )

    def list_sources_in_backoff(self) -> list[str]:
        """Return the sources that are not used now because they failed or sent a corrupt chunk."""
        now = self._clock.monotonic()
        return sorted(s for s, until in self._backoff_until_by_source.items() if until > now)

    def describe_missing(self) -> str:
        """Return a message with the number of missing chunks."""
        missing = (self._unique_chunks & ~self._held).bit_count()
        return f"{missing} of {self._unique_chunks.bit_count()} chunks are missing"

    # Events

    def set_neighbours(
        self,
        records: Iterable[HostRecord],
        *,
        zones: int,
        regions: int,
        origin_hosts: int | None = None,
    ) -> None:
        """Set the live hosts of the region that receive this version.

        :param records: the hosts, with or without this one.
        :param zones: number of availability zones that receive the version, in all regions.
        :param regions: number of regions that receive the version.
        :param origin_hosts: number of hosts of the region that may use the origin at once; None for
            all.
        """
        records_by_host = {r.host: r for r in records if r.host != self._host}
        self._zones, self._regions = max(1, zones), max(1, regions)
        if (
            records_by_host.keys() == self._neighbours_by_host.keys()
            and origin_hosts == self._origin_hosts
        ):
            return
        self._origin_hosts = origin_hosts
        self._neighbours_by_host = records_by_host
        now = self._clock.monotonic()
        for host in records_by_host:
            self._progress_at_by_host.setdefault(host, now)
        self._region_size = len(records_by_host) + 1
        self._region_assignment.assign(
            self._choose_origin_hosts({*records_by_host, self._host}),
        )
        nearby_hosts = {host for host in records_by_host if self._is_nearby(host)}
        self._zone_assignment.assign({*nearby_hosts, self._host})
        self._reassign()

    def update_peer(
        self,
        host: str,
        *,
        bitmap: int,
        bytes_uploaded: int,
        closed: bool,
        fetches_from_origin: bool = True,
        bytes_requested_from_origin: int = 0,
        has_spent_uploads: bool = False,
    ) -> None:
        """Apply a peer's announcement about this version.

        :param bitmap: the chunks that it holds.
        :param bytes_uploaded: bytes that it sent to peers.
        :param closed: whether it accepts no requests for chunks.
        :param fetches_from_origin: whether it fetches its assigned chunks from the origin now.
        :param bytes_requested_from_origin: bytes that it requested from the origin.
        :param has_spent_uploads: whether it can't upload the next chunk that it fetches.
        """
        peer = self._peers_by_host.setdefault(host, _PeerState())
        bitmap &= self._unique_chunks
        gained = bitmap & ~peer.bitmap
        was_active = (
            host not in self._lost_hosts
            and host not in self._stalled_hosts
            and peer.fetches_from_origin
        )
        self._lost_hosts.discard(host)
        if gained & self._assignment.chunks_of(host):
            self._progress_at_by_host[host] = self._clock.monotonic()
            self._stalled_hosts.discard(host)
        self._adjust_holder_counts(gained, 1)
        self._adjust_holder_counts(peer.bitmap & ~bitmap, -1)
        for index in list_bits(gained):
            self._receivers_by_index[index].discard(host)
        if bytes_uploaded < peer.bytes_uploaded:
            peer.budget_spent_until = 0.0
        peer.bitmap, peer.bytes_uploaded, peer.closed, peer.fetches_from_origin = (
            bitmap,
            bytes_uploaded,
            closed,
            fetches_from_origin,
        )
        peer.has_spent_uploads = has_spent_uploads
        peer.record_origin_requests(bytes_requested_from_origin, self._clock.monotonic())
        if bytes_requested_from_origin < self._origin_bytes_by_host.get(host, 0):
            # The peer's process was replaced and counts from 0 again.
            self._origin_bytes_of_replaced_peers += self._origin_bytes_by_host[host]
        self._origin_bytes_by_host[host] = bytes_requested_from_origin
        if was_active != (host not in self._stalled_hosts and fetches_from_origin):
            self._reassign()

    def record_announced(self) -> None:
        """Record that the current state is announced to the peers."""
        own = self._announced
        own.fetches_from_origin = self.fetches_from_origin
        own.has_spent_uploads = self.has_spent_uploads
        own.record_origin_requests(self.bytes_requested_from_origin, self._clock.monotonic())

    def remove_peer(self, host: str) -> None:
        """Remove a peer whose stream closed; its chunks in flight may be requested elsewhere."""
        peer = self._peers_by_host.pop(host, None)
        if peer is not None:
            self._adjust_holder_counts(peer.bitmap, -1)
            self._lost_hosts.add(host)
            for receivers in self._receivers_by_index.values():
                receivers.discard(host)
            self._reassign()
        for index, (source, _) in list(self._in_flight_by_index.items()):
            if source == host:
                del self._in_flight_by_index[index]
                self._pacer.refund(self.manifest.size_of(index))

    def record_received(self, digest: str, source: str) -> None:
        """Record a chunk that was verified and stored."""
        index = self._first_index_by_digest.get(digest)
        if index is None:
            return
        sent_at = self._finish_request(index, source)
        if source != ORIGIN:
            self._last_peer_chunk_at = self._clock.monotonic()
        if self._held >> index & 1:
            self._count_waste(digest)
            return
        self._held |= 1 << index
        if source == ORIGIN:
            self.bytes_from_origin += self.manifest.size_of(index)
            if sent_at is not None:
                latency_s = self._clock.monotonic() - sent_at
                self._origin_latency_s = (
                    latency_s
                    if not self._origin_latency_s
                    else 0.7 * self._origin_latency_s + 0.3 * latency_s
                )
        else:
            self.bytes_from_peers += self.manifest.size_of(index)
            if source in self._peers_by_host:
                self._peers_by_host[source].busy_count = 0

    def record_corrupt(self, digest: str, source: str) -> None:
        """Put a source into back-off whose data did not match the digest."""
        index = self._first_index_by_digest.get(digest)
        if index is not None:
            self._finish_request(index, source)
            self._count_waste(digest)
        limits = self._limits
        # There is no other origin, so its back-off is short; a peer can be replaced by another one.
        is_origin = source == ORIGIN
        self._back_off(
            source, limits.origin_backoff_s if is_origin else limits.corrupt_peer_backoff_s
        )

    def record_failed(self, digest: str, source: str) -> None:
        """Put a source into back-off that failed or timed out."""
        index = self._first_index_by_digest.get(digest)
        if index is not None and self._finish_request(index, source) is not None:
            self._pacer.refund(self.manifest.size_of(index))
        limits = self._limits
        # The origin refuses connections while other hosts use it, and serves again at once after an
        # outage, so its back-off is short.
        self._back_off(
            source, limits.origin_backoff_s if source == ORIGIN else limits.failed_peer_backoff_s
        )

    def record_declined(self, digest: str, host: str, reason: str) -> None:
        """Record that a peer declined a request.

        :param reason: ``absent``, ``budget`` or ``busy``.
        """
        index = self._first_index_by_digest.get(digest)
        if index is not None and self._finish_request(index, host) is not None:
            self._pacer.refund(self.manifest.size_of(index))
        peer = self._peers_by_host.get(host)
        if peer is None:
            return
        if reason == "absent" and index is not None:
            self._adjust_holder_counts(peer.bitmap & (1 << index), -1)
            peer.bitmap &= ~(1 << index)
        peer.busy_count = min(peer.busy_count + 1, _MAX_BUSY_BACKOFF)
        chunk_s = self.manifest.chunk_bytes / self._limits.bytes_per_s
        backoff_s = max(chunk_s, _MIN_BUSY_BACKOFF_S)
        backoff_s *= peer.busy_count * (0.5 + self._random.random())
        if reason == "budget":
            peer.budget_spent_until = (
                self._clock.monotonic() + self._limits.rollout_idle_timeout_s / 4
            )
        peer.backoff_until = self._clock.monotonic() + backoff_s

    # Decisions

    def choose_fetches(self) -> list[Fetch]:
        """Return the requests to send now, and count them as in flight."""
        self._check_timeouts()
        fetches = []
        while len(self._in_flight_by_index) < self._limits.in_flight and self._pacer.wait_s() == 0:
            fetch = self._choose_next_fetch()
            if fetch is None:
                break
            self._in_flight_by_index[fetch.index] = (fetch.source, self._clock.monotonic())
            if fetch.source == ORIGIN:
                self.bytes_requested_from_origin += self.manifest.size_of(fetch.index)
                self._last_origin_request_at = self._clock.monotonic()
            else:
                self._peers_by_host[fetch.source].in_flight += 1
            self._pacer.take(self.manifest.size_of(fetch.index))
            fetches.append(fetch)
        return fetches

    def next_wake_s(self) -> float:
        """Return the time until :meth:`choose_fetches` should be called again, in seconds."""
        pacer_wait_s = self._pacer.wait_s()
        if pacer_wait_s > 0 and len(self._in_flight_by_index) < self._limits.in_flight:
            return pacer_wait_s
        return max(0.05, min(0.5, self.manifest.chunk_bytes / self._limits.bytes_per_s))

    def decide_upload(self, digest: str, *, host: str, queued: int) -> str:
        """Accept or decline a peer's request.

        :param host: name of the peer.
        :param queued: number of accepted uploads that wait for the link.
        :returns: the reason for declining, ``absent``, ``budget`` or ``busy``; empty if the request
            is accepted, which charges its bytes to the budget.
        """
        index = self._first_index_by_digest.get(digest)
        if index is None or not self._held >> index & 1:
            return "absent"
        self.renew_budget()
        size = self.manifest.size_of(index)
        if self.bytes_uploaded + size > self._hard_upload_budget:
            return "budget"
        # Peers that request a new chunk at once would all be served before the first announces it.
        receivers = self._receivers_by_index[index]
        copies = self._holder_counts[index] + len(receivers - {host})
        is_scarce = copies < self._limits.min_seed_copies
        if queued >= self._limits.max_queued_uploads:
            return "busy"
        if not is_scarce and (self._exceeds_upload_lead() or self._must_reserve_for_scarce(size)):
            return "busy"
        self.bytes_uploaded += size
        self._uploaded_bytes_by_digest[digest] += size
        self._last_upload_at = self._clock.monotonic()
        receivers.add(host)
        return ""

    def renew_budget(self) -> None:
        """Reset the upload budget if the rollout has ended.

        It ends after ``rollout_idle_timeout_s`` without uploads.
        """
        if self._clock.monotonic() - self._last_upload_at > self._limits.rollout_idle_timeout_s:
            self.bytes_uploaded = 0
            self._wasted_bytes = 0
            self._uploaded_bytes_by_digest.clear()
            self._wasted_bytes_by_digest.clear()

    def cancel_upload(self, digest: str, *, host: str) -> None:
        """Refund the bytes of an accepted upload that was not sent.

        :param host: name of the peer that requested it.
        """
        index = self._first_index_by_digest.get(digest, 0)
        self._receivers_by_index[index].discard(host)
        size = self.manifest.size_of(index)
        if self._uploaded_bytes_by_digest[digest] >= size:
            self._uploaded_bytes_by_digest[digest] -= size
            self.bytes_uploaded -= size

    def _exceeds_upload_lead(self) -> bool:
        """Return whether this host has uploaded more than its share so far.

        It then declines requests for chunks that enough others hold. Otherwise hosts that fetch
        many chunks from the origin would spend their budget early, and the last hosts would find no
        source.
        """
        if not self._peers_by_host:
            return False
        peer_chunks = sum(peer.bitmap.bit_count() for peer in self._peers_by_host.values())
        progress = peer_chunks / len(self._peers_by_host) / self._unique_chunks.bit_count()
        lead_bytes = self.bytes_uploaded - progress * self._total_upload_budget
        return lead_bytes > self._limits.max_upload_lead_chunks * self.manifest.chunk_bytes

    def _must_reserve_for_scarce(self, size: int) -> bool:
        """Return whether the rest of the budget is needed for chunks that too few hosts hold."""
        scarce_chunks = 0
        for count, chunks in self._chunks_by_holder_count.items():
            if count < self._limits.min_seed_copies:
                scarce_chunks |= chunks
        scarce_chunks &= self._assignment.chunks_of(self._host)
        reserved_bytes = (
            scarce_chunks.bit_count() * self._limits.min_seed_copies * self.manifest.chunk_bytes
        )
        return self.bytes_uploaded + size + reserved_bytes > self.upload_budget

    @property
    def upload_budget(self) -> float:
        """Bytes that may be uploaded in one rollout of chunks that other hosts hold too.

        Corrupt and duplicate bytes received count against it, as do those still expected.
        """
        missing_bytes = (self._unique_chunks & ~self._held).bit_count() * self.manifest.chunk_bytes
        received_bytes = self._unique_bytes - missing_bytes + self._wasted_bytes
        waste_fraction = max(_EXPECTED_WASTE_FRACTION, self._wasted_bytes / max(1, received_bytes))
        return self._hard_upload_budget - missing_bytes * waste_fraction

    @property
    def _hard_upload_budget(self) -> float:
        """Upload budget for any chunk."""
        return self._compute_hard_upload_budget((self._unique_chunks & ~self._held).bit_count())

    def _compute_hard_upload_budget(self, missing_chunks: int) -> float:
        """Return the upload budget for any chunk while a number of chunks is missing.

        A reserve is withheld because the last chunks to arrive may be corrupt.
        """
        reserve_bytes = min(missing_chunks, _UPLOAD_RESERVE_CHUNKS) * self.manifest.chunk_bytes
        return self._total_upload_budget - self._wasted_bytes - reserve_bytes

    # Internals

    def _inherit(self, previous: ChunkPlan) -> None:
        self._backoff_until_by_source = dict(previous._backoff_until_by_source)
        for digest, size in previous._uploaded_bytes_by_digest.items():
            if digest in self._first_index_by_digest:
                self._uploaded_bytes_by_digest[digest] = size
                self.bytes_uploaded += size
        for digest, size in previous._wasted_bytes_by_digest.items():
            if digest in self._first_index_by_digest:
                self._wasted_bytes_by_digest[digest] = size
                self._wasted_bytes += size
        for index, (source, sent_at) in previous._in_flight_by_index.items():
            shared = self._first_index_by_digest.get(previous.manifest.chunks[index])
            if shared is None:
                continue
            self._in_flight_by_index[shared] = (source, sent_at)
            if source != ORIGIN:
                peer = self._peers_by_host.setdefault(source, _PeerState(closed=True))
                peer.in_flight += 1

    def _count_waste(self, digest: str) -> None:
        size = self.manifest.size_of(self._first_index_by_digest[digest])
        self._wasted_bytes_by_digest[digest] += size
        self._wasted_bytes += size

    def _choose_next_fetch(self) -> Fetch | None:
        wanted = self._unique_chunks & ~self._held
        for index in self._in_flight_by_index:
            wanted &= ~(1 << index)
        if not wanted:
            return None
        now = self._clock.monotonic()
        sources = self._list_usable_sources(now)
        available = 0
        importable = self._find_importable_chunks(now)
        for host, peer in sources:
            available |= peer.bitmap if self._is_nearby(host) else peer.bitmap & importable
        if self._may_request_from_origin():
            unheld = (
                wanted
                & self._chunks_by_holder_count.get(0, 0)
                & self._assignment.chunks_of(self._host)
            )
            if unheld and not self._has_place_at_origin(now):
                unheld = 0
            own_share = unheld & self._region_assignment.chunks_of(self._host)
            if own_share:
                return self._make_fetch(self._pick_bit(own_share), ORIGIN)
            if unheld and self._may_exceed_origin_share(self._pick_bit(unheld), now):
                return self._make_fetch(self._pick_bit(unheld), ORIGIN)
        candidates = wanted & available
        for count in sorted(self._chunks_by_holder_count):
            rarest = candidates & self._chunks_by_holder_count[count]
            if rarest:
                index = self._pick_bit(rarest)
                return self._make_fetch(index, self._pick_source(index, sources))
        return self._choose_origin_fallback(wanted, now)

    def _find_importable_chunks(self, now: float) -> int:
        """Return the bitmap of chunks that may be fetched from another zone.

        A host with no request in flight that has received no chunk from a peer for a while may
        import any chunk: the host assigned to import it is gone or disconnected.
        """
        idle_s = now - self._last_peer_chunk_at
        if not self._in_flight_by_index and idle_s > _MIN_FALLBACK_IDLE_S:
            return self._unique_chunks
        return self._zone_assignment.chunks_of(self._host)

    def _choose_origin_fallback(self, wanted: int, now: float) -> Fetch | None:
        """Choose a chunk to fetch from the origin because none of its holders serves it.

        Applies only if no request is in flight. Of the hosts that lack the chunk and can distribute
        it, two fetch it first, chosen by rendezvous hash; the others wait to receive it from them.
        """
        idle_s = now - self._last_peer_chunk_at
        fallback_s = self._find_fallback_s()
        if self._in_flight_by_index or idle_s < fallback_s or not self._may_request_from_origin():
            return None
        turn = self._find_origin_turn()
        if turn:
            # Hosts may have been idle for long when the origin becomes free, so that their idle time
            # alone would not keep the turns apart, nor from hosts that take over.
            unused_s = now - self._find_last_origin_use()
            turn_s = _ORIGIN_TURN_FALLBACKS * fallback_s
            is_idle = idle_s >= fallback_s + turn * turn_s
            if not is_idle or unused_s < self._find_origin_use_s() + turn * turn_s:
                return None
        served_chunks = 0
        for host, peer in self._peers_by_host.items():
            is_in_backoff = self._backoff_until_by_source.get(host, 0.0) > now
            is_busy = peer.busy_count >= _MAX_BUSY_BACKOFF
            if not (peer.closed or self._has_spent_budget(peer) or is_in_backoff or is_busy):
                served_chunks |= peer.bitmap
        unserved_chunks = wanted & ~served_chunks & ~self._chunks_by_holder_count.get(0, 0)
        if idle_s < 4 * fallback_s:
            hosts_in_turn = self._list_hosts_in_turn()
            for index in list_bits(unserved_chunks):
                if not self._may_reseed(index, hosts_in_turn):
                    unserved_chunks &= ~(1 << index)
        if not unserved_chunks:
            return None
        index = self._pick_bit(unserved_chunks)
        return (
            self._make_fetch(index, ORIGIN) if self._may_exceed_origin_share(index, now) else None
        )

    def _find_fallback_s(self) -> float:
        """Return the time after which chunks that no peer serves are fetched from the origin."""
        return max(_MIN_FALLBACK_IDLE_S, 5 * self.manifest.chunk_bytes / self._limits.bytes_per_s)

    def _find_origin_turn(self) -> int:
        """Return how many groups of hosts that lack chunks use the origin before this host."""
        if self._origin_hosts is None:
            return 0
        return self._rank_reseeding_hosts().index(self._host) // self._origin_hosts

    def _list_hosts_in_turn(self) -> list[str]:
        """Return the other hosts that use the origin no later than this host."""
        if self._origin_hosts is None:
            return list(self._peers_by_host)
        order = self._rank_reseeding_hosts()
        hosts = order[: (self._find_origin_turn() + 1) * self._origin_hosts]
        return [host for host in hosts if host != self._host]

    def _rank_reseeding_hosts(self) -> list[str]:
        """Return the hosts that lack chunks, in the order of their turns.

        Those that use the origin already come first, then those that are to fetch the first copy of
        a chunk. Those that don't use it after a failure, or have spent their uploads and can't pass
        on what they fetch, come after the others.
        """
        now = self._clock.monotonic()
        unheld = self._chunks_by_holder_count.get(0, 0) & ~self._held
        lacking = {
            host for host, peer in self._peers_by_host.items() if peer.bitmap != self._unique_chunks
        }
        return sorted(
            rank_origin_hosts(self.manifest.version, {self._host, *lacking}),
            key=lambda host: (
                not self._is_at_origin(host, now),
                not self._assignment.chunks_of(host) & unheld,
                not self._find_announced(host).fetches_from_origin,
                self._find_announced(host).has_spent_uploads,
            ),
        )

    def _find_announced(self, host: str) -> _PeerState:
        """Return what a peer, or this host itself, announced last."""
        return self._announced if host == self._host else self._peers_by_host[host]

    def _is_at_origin(self, host: str, now: float) -> bool:
        """Return whether a host that lacks chunks uses the origin, as its announcements show."""
        elapsed_s = now - self._find_announced(host).requested_from_origin_at
        return elapsed_s < self._find_origin_use_s()

    def _find_origin_use_s(self) -> float:
        """Return how long a host counts as using the origin after a request to it, in seconds.

        It does until the longest request is over, and until the next turn would begin.
        """
        turn_s = _ORIGIN_TURN_FALLBACKS * self._find_fallback_s()
        return max(self._limits.request_timeout_s, turn_s)

    def _find_last_origin_use(self) -> float:
        """Return when a peer announced the last request to the origin, as monotonic time."""
        return max(
            (peer.requested_from_origin_at for peer in self._peers_by_host.values()),
            default=-math.inf,
        )

    def _list_hosts_at_origin(self, now: float) -> list[str]:
        """Return the hosts that use the origin, in the order in which they keep their place."""
        return [host for host in self._rank_reseeding_hosts() if self._is_at_origin(host, now)]

    def _has_place_at_origin(self, now: float) -> bool:
        """Return whether other hosts leave this one a place at the origin."""
        if self._origin_hosts is None:
            return True
        hosts = self._list_hosts_at_origin(now)
        position = hosts.index(self._host) if self._host in hosts else len(hosts)
        return position < self._origin_hosts

    def _has_spent_budget(self, peer: _PeerState) -> bool:
        return (
            peer.budget_spent_until > self._clock.monotonic()
            or peer.bytes_uploaded + self.manifest.chunk_bytes > self._total_upload_budget
        )

    def _may_reseed(self, index: int, hosts: Iterable[str]) -> bool:
        """Return whether this host is one of the two that first fetch a chunk again.

        :param hosts: the other hosts that may use the origin now.
        """
        chunk_key = int(self.manifest.chunks[index][:_BUCKET_HEX_DIGITS], 16)
        own_score = score_chunk(chunk_key, hash_name(self._host))
        budget = self._total_upload_budget * 0.9
        higher_scores = 0
        for host in hosts:
            peer = self._peers_by_host[host]
            can_distribute = (
                not peer.bitmap >> index & 1
                and peer.bytes_uploaded < budget
                and peer.fetches_from_origin
            )
            if can_distribute and score_chunk(chunk_key, hash_name(host)) > own_score:
                higher_scores += 1
        return higher_scores < 2

    def _may_exceed_origin_share(self, index: int, now: float) -> bool:
        """Return whether a chunk beyond this host's share may be fetched from the origin.

        A host without connected peers has no other source and is not limited.
        """
        size = self.manifest.size_of(index)
        if not self._peers_by_host:
            return True
        if size <= self._origin_allowance():
            return True
        # No other chunk can be requested; one chunk per timeout keeps the transfer moving.
        stall_timeout_s = self._limits.origin_stall_timeout_s * (1 + self._find_origin_turn())
        return now - self._last_origin_request_at > stall_timeout_s

    def _origin_allowance(self) -> float:
        """Return the bytes that this host may fetch from the origin beyond its share.

        The region's limit, less the bytes requested and those that must still be fetched once, is
        divided among the hosts that are not done, or as many of them as use the origin at once. The
        figures of peers are those of their last announcements, so the limit may be exceeded by what
        they requested since.
        """
        extra_copies = self._limits.origin_copies - self._regions
        extra_copies_per_zone = min(
            self._limits.origin_copies_per_zone - 1, max(0.0, extra_copies) / self._zones
        )
        zones_per_region = max(1.0, self._zones / self._regions)
        limit_bytes = (1 + extra_copies_per_zone * zones_per_region) * self._unique_bytes
        known_hosts = len(self._origin_bytes_by_host) + 1
        known_bytes = self.bytes_requested_from_origin + sum(self._origin_bytes_by_host.values())
        # Hosts without a stream to this one are assumed to request as much as the others.
        requested_bytes = (
            known_bytes * max(1.0, self._region_size / known_hosts)
            + self._origin_bytes_of_replaced_peers
        )
        unheld_chunks = (self._chunks_by_holder_count.get(0, 0) & ~self._held).bit_count()
        sharing_hosts = 1 + sum(
            1 for peer in self._peers_by_host.values() if peer.bitmap != self._unique_chunks
        )
        if self._origin_hosts is not None:
            sharing_hosts = min(sharing_hosts, self._origin_hosts)
        remaining_bytes = limit_bytes - requested_bytes - unheld_chunks * self.manifest.chunk_bytes
        return remaining_bytes / sharing_hosts

    @property
    def _total_upload_budget(self) -> float:
        copies_bytes = self._limits.upload_copies * self._unique_bytes
        return max(copies_bytes, self._limits.min_upload_bytes)

    def _list_usable_sources(self, now: float) -> list[tuple[str, _PeerState]]:
        max_in_flight = self._limits.in_flight_per_source
        chunk_bytes = self.manifest.chunk_bytes
        budget = self._total_upload_budget
        return [
            (host, peer)
            for host, peer in self._peers_by_host.items()
            if peer.bitmap
            and not peer.closed
            and peer.in_flight < max_in_flight
            and peer.budget_spent_until <= now
            and peer.backoff_until <= now
            and peer.bytes_uploaded + chunk_bytes <= budget
            and self._backoff_until_by_source.get(host, 0.0) <= now
        ]

    def _pick_source(self, index: int, sources: list[tuple[str, _PeerState]]) -> str:
        bit = 1 << index
        chunk_bytes = self.manifest.chunk_bytes
        jitter_bytes = self._limits.source_jitter_chunks * chunk_bytes
        return min(
            (
                (
                    not self._is_nearby(host),
                    peer.bytes_uploaded
                    + peer.in_flight * chunk_bytes
                    + jitter_bytes * self._random.random(),
                    host,
                )
                for host, peer in sources
                if peer.bitmap & bit
            )
        )[2]

    def _is_nearby(self, host: str) -> bool:
        """Return whether a source is in this host's zone; true for all if no zone is set."""
        zone = self._limits.availability_zone
        record = self._neighbours_by_host.get(host)
        return not zone or (record is not None and record.availability_zone == zone)

    def _pick_bit(self, bitmap: int) -> int:
        """Return the index of a set bit near a random one, in time independent of the density."""
        start = self._random.randrange(len(self.manifest.chunks))
        upper = bitmap >> start
        if upper:
            return start + (upper & -upper).bit_length() - 1
        return (bitmap & -bitmap).bit_length() - 1

    def _make_fetch(self, index: int, source: str) -> Fetch:
        return Fetch(index, self.manifest.chunks[index], source)

    def _may_request_from_origin(self) -> bool:
        in_flight = sum(1 for source, _ in self._in_flight_by_index.values() if source == ORIGIN)
        if in_flight >= self._limits.in_flight_at_origin or not self.fetches_from_origin:
            return False
        # A process that starts late would otherwise fetch its assigned chunks again before the
        # announcements of the peers that hold them arrive.
        knows_most_peers = 2 * len(self._peers_by_host) >= len(self._neighbours_by_host)
        return (
            knows_most_peers
            or self._clock.monotonic() - self._started_at >= _FIRST_ANNOUNCEMENT_TIMEOUT_S
        )

    def _check_timeouts(self) -> None:
        """Fail requests that timed out, and reassign the chunks of hosts that stalled."""
        now = self._clock.monotonic()
        if now < self._next_timeout_check_at:
            return
        self._next_timeout_check_at = now + _TIMEOUT_CHECK_PERIOD_S
        for index, (source, sent_at) in list(self._in_flight_by_index.items()):
            timeout_s = self._limits.request_timeout_s
            if source == ORIGIN:
                timeout_s = max(timeout_s, 4 * self._origin_latency_s)
            if now - sent_at > timeout_s:
                self.record_failed(self.manifest.chunks[index], source)
        # This host's own requests show how slow the origin is. While it is slow, other hosts are
        # not considered stalled.
        pending_s = [
            now - sent_at
            for source, sent_at in self._in_flight_by_index.values()
            if source == ORIGIN
        ]
        takeover_s = max(
            self._limits.takeover_timeout_s, 4 * max([self._origin_latency_s, *pending_s])
        )
        stalled_before = len(self._stalled_hosts)
        hosts_at_origin = self._list_hosts_at_origin(now) if self._origin_hosts is not None else []
        for host in self._neighbours_by_host:
            if host in hosts_at_origin:
                # Its connection still counts at the origin, so no other host may take its place.
                continue
            if self._origin_hosts is not None and len(hosts_at_origin) >= self._origin_hosts:
                # It waits for a place, which does not show that it is stalled.
                self._progress_at_by_host[host] = now
            if host in self._stalled_hosts or now - self._progress_at_by_host[host] <= takeover_s:
                continue
            peer = self._peers_by_host.get(host)
            if self._assignment.chunks_of(host) & ~(peer.bitmap if peer else 0):
                self._stalled_hosts.add(host)
        if len(self._stalled_hosts) != stalled_before:
            self._reassign()

    def _reassign(self) -> None:
        active = {self._host} | {
            host
            for host in self._neighbours_by_host.keys() - self._stalled_hosts - self._lost_hosts
            if host not in self._peers_by_host or self._peers_by_host[host].fetches_from_origin
        }
        self._assignment.assign(self._choose_origin_hosts(active))

    def _choose_origin_hosts(self, hosts: set[str]) -> set[str]:
        """Return those of the hosts that may be assigned chunks to fetch from the origin."""
        if self._origin_hosts is None or len(hosts) <= self._origin_hosts:
            return hosts
        return set(rank_origin_hosts(self.manifest.version, hosts)[: self._origin_hosts])

    def _finish_request(self, index: int, source: str) -> float | None:
        """Remove a request from those in flight.

        :returns: the monotonic time at which it was sent, or None if it was not in flight.
        """
        request = self._in_flight_by_index.get(index)
        if request is None or request[0] != source:
            return None
        del self._in_flight_by_index[index]
        peer = self._peers_by_host.get(source)
        if peer is not None:
            peer.in_flight -= 1
        return request[1]

    def _back_off(self, source: str, seconds: float) -> None:
        until = self._clock.monotonic() + seconds
        current = self._backoff_until_by_source.get(source, 0.0)
        self._backoff_until_by_source[source] = max(current, until)

    def _adjust_holder_counts(self, bitmap: int, delta: int) -> None:
        for index in list_bits(bitmap):
            bit = 1 << index
            count = self._holder_counts[index]
            self._chunks_by_holder_count[count] &= ~bit
            if not self._chunks_by_holder_count[count]:
                del self._chunks_by_holder_count[count]
            self._holder_counts[index] = count + delta
            self._chunks_by_holder_count[count + delta] = (
                self._chunks_by_holder_count.get(count + delta, 0) | bit
            )
