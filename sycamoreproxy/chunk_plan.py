"""Which chunk is fetched from which source, pacing and upload budgets; no input or output.

Sets of chunks are integers used as bitmaps: bit ``i`` stands for chunk ``i`` of the manifest. Of
chunks with equal digests only the first index is planned.
"""

from __future__ import annotations

import functools
import hashlib
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from sycamoreproxy.clock import Clock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.weights import Manifest

#: Name of the origin as a source; no host has an empty name.
ORIGIN = ""

#: Part of the bytes still to be received that is expected to arrive corrupt or twice.
_EXPECTED_WASTE = 0.01
#: Chunks of the upload budget that are kept while chunks are missing. With one, hosts whose last
#: chunks arrived corrupt exceeded two copies on their link in the bench.
_RESERVED_CHUNKS = 2
#: Longest wait for the first announcements of peers before the origin is asked, in seconds.
_LISTEN_S = 1.0
#: Shortest time without a chunk of a peer after which the origin is asked for one that peers hold.
_FALLBACK_PAUSE_S = 0.5
#: Longest pause after refusals for lack of room, in times of one chunk.
_MAX_BUSY_FACTOR = 4
#: Time between two looks for requests and hosts without progress, in seconds.
_EXPIRE_PERIOD_S = 0.2

#: Hexadecimal digits of a chunk digest by which chunks are grouped for the assignment.
_BUCKET_DIGITS = 3

#: Hexadecimal digits of a chunk digest that are its key where each chunk is assigned by itself.
_KEY_DIGITS = 16

#: Versions of at most this many chunks are divided evenly among the hosts if the limits say so: each
#: assignment scores every chunk for every host.
MAX_EVEN_CHUNKS = 64

_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanLimits:
    """Bounds of a transfer.

    :param bytes_per_s: rate of weights in each direction of the host's link.
    :param upload_copies: copies of the version that a host uploads at most in one rollout.
    :param origin_copies_per_zone: copies that an availability zone takes from the origin at most.
    :param origin_copies: copies that all hosts together take from the origin at most.
    :param in_flight: requests that wait for data at once.
    :param in_flight_per_source: of these, at one peer.
    :param in_flight_at_origin: of these, at the origin; more would only queue at its link.
    :param upload_queue: accepted uploads that wait for the link.
    :param seed_copies: peers that must hold a chunk before a host that uploaded more than its part
        leaves the chunk to them.
    :param upload_ahead: chunks that a host may upload beyond its part so far.
    :param source_spread: sources whose uploads differ by less than this many chunks are chosen at
        random: all hosts see the same figures and would ask the same source.
    :param takeover_timeout_s: shortest time without progress after which the next host in hash order
        fetches a chunk from the origin.
    :param request_timeout_s: longest wait for the data of one request.
    :param min_upload_bytes: bytes that a host may upload however small the version is; of a few
        chunks, one copy is too coarse a budget to reach every host.
    :param corrupt_peer_backoff_s: how long a peer that sent a corrupt chunk is avoided.
    :param origin_backoff_s: how long the origin is avoided that sent one or failed.
    :param origin_stall_timeout_s: time without a chunk of the origin after which one more may be asked of it
        whatever the budgets say.
    :param failed_peer_backoff_s: how long a peer is avoided that failed or did not answer.
    :param upload_bytes_per_s: rate of uploads if it differs from ``bytes_per_s``; 0 if not.
    :param upload_slice_bytes: uploads leave in slices of this size, so that live answers on the
        same link wait for one slice instead of one chunk; 0 for whole chunks.
    :param availability_zone: zone of this host. If it is set, each chunk is imported into the zone
        by one of its hosts, chosen by rendezvous hash, and passed on within the zone; empty if
        links between zones are like those within.
    :param balances_small_versions: whether the chunks of a small version are assigned by ``BoundedDuties``.
    :param max_manifest_retry_s: longest pause before a manifest that could not be read is asked for again.
    :param rollout_idle_timeout_s: a rollout ends after this time without traffic, and the budgets are renewed:
        hosts replaced later need the chunks too.
    """

    bytes_per_s: float
    upload_copies: float = 1.0
    origin_copies_per_zone: float = 1.5
    origin_copies: float = 4.0
    in_flight: int = 6
    in_flight_per_source: int = 2
    in_flight_at_origin: int = 1
    upload_queue: int = 3
    seed_copies: int = 2
    upload_ahead: float = 4.0
    source_spread: float = 4.0
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
    """A decision to ask ``source`` (a host or :data:`ORIGIN`) for a chunk."""

    index: int
    digest: str
    source: str


class Pacer:
    """Spreads bytes over time at a fixed rate.

    :param bytes_per_s: the rate.
    :param burst_bytes: bytes that may go at once after a pause.
    """

    def __init__(self, *, clock: Clock, bytes_per_s: float, burst_bytes: float) -> None:
        self._clock = clock
        self._rate = bytes_per_s
        self._burst_s = burst_bytes / bytes_per_s
        self._free_at = clock.monotonic()

    def wait_s(self) -> float:
        """Return the time until bytes may go, in seconds."""
        return max(0.0, self._free_at - self._clock.monotonic())

    def take(self, size: int) -> None:
        """Count bytes that go now."""
        earliest = self._clock.monotonic() - self._burst_s
        self._free_at = max(self._free_at, earliest) + size / self._rate

    def give_back(self, size: int) -> None:
        """Return bytes that did not go after all."""
        self._free_at -= size / self._rate


@dataclass(slots=True)
class _PeerState:
    """What is known of a peer.

    :param fetches_from_origin: whether it fetches its chunks from the origin.
    :param spent_until: until when it is not asked because its upload budget is spent.
    """

    bitmap: int = 0
    bytes_uploaded: int = 0
    closed: bool = False
    fetches_from_origin: bool = True
    in_flight: int = 0
    busy_until: float = 0.0
    busy_answers: int = 0
    spent_until: float = 0.0


@functools.lru_cache(maxsize=4_096)
def hash_name(name: str) -> int:
    """Return a 64-bit hash of a host name that is equal in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def score_chunk(chunk_key: int, host_key: int) -> int:
    """Return the rendezvous score of a host for a chunk; the highest fetches from the origin.

    The mixing steps are those of the splitmix64 finalizer (Steele, Lea and Flood, 2014).
    """
    value = ((chunk_key ^ host_key) * 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


class OriginDuties:
    """Assigns each chunk to the host that fetches it from the origin, by rendezvous hash.

    Chunks whose digests start with the same 12 bits go together, which bounds the work of an
    assignment for large versions. A host that leaves passes on only its own chunks.
    """

    def __init__(self, manifest: Manifest) -> None:
        self._chunks_by_bucket: dict[int, int] = {}
        for digest, indexes in manifest.indexes_by_digest.items():
            bucket = int(digest[:_BUCKET_DIGITS], 16)
            self._chunks_by_bucket[bucket] = self._chunks_by_bucket.get(bucket, 0) | 1 << indexes[0]
        self._keys_by_host: dict[str, int] = {}
        self._owners_by_bucket: dict[int, tuple[int, str]] = {}
        self._chunks_by_host: dict[str, int] = {}

    def assign(self, hosts: set[str]) -> None:
        """Assign all chunks to these hosts."""
        if hosts == self._keys_by_host.keys():
            return
        gone = self._keys_by_host.keys() - hosts
        new = {host: hash_name(host) for host in sorted(hosts - self._keys_by_host.keys())}
        self._keys_by_host = {
            host: key for host, key in self._keys_by_host.items() if host not in gone
        } | new
        for bucket in self._chunks_by_bucket:
            score, owner = self._owners_by_bucket.get(bucket, (-1, ""))
            keys = new
            if owner in gone or score < 0:
                score, owner, keys = -1, "", self._keys_by_host
            for host, key in keys.items():
                score, owner = max((score, owner), (score_chunk(bucket, key), host))
            self._owners_by_bucket[bucket] = (score, owner)
        self._chunks_by_host = dict.fromkeys(self._keys_by_host, 0)
        for bucket, (_, owner) in self._owners_by_bucket.items():
            if owner:
                self._chunks_by_host[owner] |= self._chunks_by_bucket[bucket]

    def chunks_of(self, host: str) -> int:
        """Return the bitmap of a host's chunks."""
        return self._chunks_by_host.get(host, 0)


class BoundedDuties:
    """Assigns each chunk by rendezvous hash to a host that does not have its part yet.

    Rendezvous hashing alone gives some hosts twice the mean when there are only a few chunks a host,
    and the transfer takes as long as the host with the most. The bound of consistent hashing with
    bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016) is the mean, rounded up; hosts that do
    not all know the newest ones still agree on most chunks.
    """

    def __init__(self, manifest: Manifest) -> None:
        self._key_by_index = {
            indexes[0]: int(digest[:_KEY_DIGITS], 16)
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
        left_by_host = dict.fromkeys(key_by_host, -(-len(self._key_by_index) // len(hosts)))
        self._chunks_by_host = dict.fromkeys(hosts, 0)
        for index in sorted(self._key_by_index):
            key = self._key_by_index[index]
            _, owner = max(
                (score_chunk(key, key_by_host[host]), host)
                for host, left in left_by_host.items()
                if left
            )
            left_by_host[owner] -= 1
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

    :param host: this host.
    :param held: digests that are held at the start, from an older version.
    :param random_source: breaks ties, so that hosts do not all choose the same chunk and source.
    :param previous: plan of the version wanted before: its avoided sources stay avoided, and what
        was uploaded of chunks that both versions have counts against the budget.
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
        self._planned = sum(1 << index for index in self._first_index_by_digest.values())
        self._unique_bytes = sum(
            manifest.size_of(index) for index in self._first_index_by_digest.values()
        )
        self._held = sum(1 << self._first_index_by_digest[digest] for digest in set(held))
        self._peers_by_host: dict[str, _PeerState] = {}
        self._neighbours_by_host: dict[str, HostRecord] = {}
        is_small = limits.balances_small_versions and len(manifest.chunks) <= MAX_EVEN_CHUNKS
        duties = BoundedDuties if is_small else OriginDuties
        self._duties = duties(manifest)
        self._duties.assign({host})
        self._first_duties = duties(manifest)
        self._first_duties.assign({host})
        self._zone_duties = duties(manifest)
        self._zone_duties.assign({host})
        self._region_size = 1
        self._zones = 1
        self._regions = 1
        self._progress_at_by_host: dict[str, float] = {}
        self._stalled: set[str] = set()
        self._lost: set[str] = set()
        self._in_flight_by_index: dict[int, tuple[str, float]] = {}
        self._avoided_until_by_source: dict[str, float] = {}
        self._counts: list[int] = [0] * len(manifest.chunks)
        self._masks_by_count: dict[int, int] = {0: self._planned}
        self._pacer = Pacer(
            clock=clock, bytes_per_s=limits.bytes_per_s, burst_bytes=2 * manifest.chunk_bytes
        )
        self._expire_at = 0.0
        self._origin_bytes_by_host: dict[str, int] = {}
        self._origin_bytes_before = 0
        self._wasted_bytes = 0
        self._origin_s = 0.0
        self._last_upload_at = clock.monotonic()
        self._last_origin_at = clock.monotonic()
        self._last_arrival_at = clock.monotonic()
        self._began_at = clock.monotonic()
        self._wasted_by_digest: Counter[str] = Counter()
        self._uploaded_by_digest: Counter[str] = Counter()
        if previous is not None:
            self._take_over(previous)

    # Queries

    @property
    def is_done(self) -> bool:
        """Whether every chunk is held."""
        return self._held == self._planned

    @property
    def held(self) -> int:
        """Bitmap of the chunks held, duplicates included as their first index."""
        return self._held

    @property
    def fetches_from_origin(self) -> bool:
        """Whether this host fetches its chunks from the origin now."""
        return self._avoided_until_by_source.get(ORIGIN, 0.0) <= self._clock.monotonic()

    def list_avoided(self) -> list[str]:
        """Return the sources that are avoided now."""
        now = self._clock.monotonic()
        return sorted(s for s, until in self._avoided_until_by_source.items() if until > now)

    def describe_missing(self) -> str:
        """Return a sentence on what is still missing."""
        missing = (self._planned & ~self._held).bit_count()
        return f"{missing} of {self._planned.bit_count()} chunks are missing"

    # What happened

    def set_neighbours(self, records: Iterable[HostRecord], *, zones: int, regions: int) -> None:
        """Set the live hosts of the region that take this version, this host included or not.

        :param zones: availability zones that take the version, over all regions.
        :param regions: regions that take the version.
        """
        records_by_host = {r.host: r for r in records if r.host != self._host}
        self._zones, self._regions = max(1, zones), max(1, regions)
        if records_by_host.keys() == self._neighbours_by_host.keys():
            return
        self._neighbours_by_host = records_by_host
        now = self._clock.monotonic()
        for host in records_by_host:
            self._progress_at_by_host.setdefault(host, now)
        self._region_size = len(records_by_host) + 1
        self._first_duties.assign({*records_by_host, self._host})
        near = {host for host in records_by_host if self._is_near(host)}
        self._zone_duties.assign({*near, self._host})
        self._assign()

    def update_peer(
        self,
        host: str,
        *,
        bitmap: int,
        bytes_uploaded: int,
        closed: bool,
        fetches_from_origin: bool = True,
        bytes_requested_from_origin: int = 0,
    ) -> None:
        """Take a peer's announcement of what it holds of this version.

        :param bytes_uploaded: bytes that it sent to peers.
        :param fetches_from_origin: whether it fetches its chunks from the origin now.
        :param bytes_requested_from_origin: bytes that it asked of the origin.
        """
        peer = self._peers_by_host.setdefault(host, _PeerState())
        bitmap &= self._planned
        gained = bitmap & ~peer.bitmap
        active = host not in self._lost and host not in self._stalled and peer.fetches_from_origin
        self._lost.discard(host)
        if gained & self._duties.chunks_of(host):
            self._progress_at_by_host[host] = self._clock.monotonic()
            self._stalled.discard(host)
        self._count(gained, 1)
        self._count(peer.bitmap & ~bitmap, -1)
        if bytes_uploaded < peer.bytes_uploaded:
            peer.spent_until = 0.0
        peer.bitmap, peer.bytes_uploaded, peer.closed, peer.fetches_from_origin = (
            bitmap,
            bytes_uploaded,
            closed,
            fetches_from_origin,
        )
        if bytes_requested_from_origin < self._origin_bytes_by_host.get(host, 0):
            # The process was replaced and counts from 0 again.
            self._origin_bytes_before += self._origin_bytes_by_host[host]
        self._origin_bytes_by_host[host] = bytes_requested_from_origin
        if active != (host not in self._stalled and fetches_from_origin):
            self._assign()

    def remove_peer(self, host: str) -> None:
        """Forget a peer whose stream closed; its requests become free."""
        peer = self._peers_by_host.pop(host, None)
        if peer is not None:
            self._count(peer.bitmap, -1)
            self._lost.add(host)
            self._assign()
        for index, (source, _) in list(self._in_flight_by_index.items()):
            if source == host:
                del self._in_flight_by_index[index]
                self._pacer.give_back(self.manifest.size_of(index))

    def record_received(self, digest: str, source: str) -> None:
        """Take note of a verified chunk that is stored now."""
        index = self._first_index_by_digest.get(digest)
        if index is None:
            return
        sent_at = self._finish_request(index, source)
        if source != ORIGIN:
            self._last_arrival_at = self._clock.monotonic()
        if self._held >> index & 1:
            self._count_waste(digest)
            return
        self._held |= 1 << index
        if source == ORIGIN:
            self.bytes_from_origin += self.manifest.size_of(index)
            if sent_at is not None:
                took = self._clock.monotonic() - sent_at
                self._origin_s = took if not self._origin_s else 0.7 * self._origin_s + 0.3 * took
        else:
            self.bytes_from_peers += self.manifest.size_of(index)
            if source in self._peers_by_host:
                self._peers_by_host[source].busy_answers = 0

    def record_corrupt(self, digest: str, source: str) -> None:
        """Avoid a source whose bytes did not match the digest."""
        index = self._first_index_by_digest.get(digest)
        if index is not None:
            self._finish_request(index, source)
            self._count_waste(digest)
        limits = self._limits
        # There is no other origin; a peer can be done without.
        is_origin = source == ORIGIN
        self._avoid(source, limits.origin_backoff_s if is_origin else limits.corrupt_peer_backoff_s)

    def record_failed(self, digest: str, source: str) -> None:
        """Avoid a source that failed or did not answer."""
        index = self._first_index_by_digest.get(digest)
        if index is not None and self._finish_request(index, source) is not None:
            self._pacer.give_back(self.manifest.size_of(index))
        limits = self._limits
        # The origin refuses connections while others use it, and is back at once after an outage.
        self._avoid(
            source, limits.origin_backoff_s if source == ORIGIN else limits.failed_peer_backoff_s
        )

    def record_declined(self, digest: str, host: str, reason: str) -> None:
        """Take a peer's refusal: ``absent``, ``budget`` or ``busy``."""
        index = self._first_index_by_digest.get(digest)
        if index is not None and self._finish_request(index, host) is not None:
            self._pacer.give_back(self.manifest.size_of(index))
        peer = self._peers_by_host.get(host)
        if peer is None:
            return
        if reason == "absent" and index is not None:
            self._count(peer.bitmap & (1 << index), -1)
            peer.bitmap &= ~(1 << index)
        peer.busy_answers = min(peer.busy_answers + 1, _MAX_BUSY_FACTOR)
        pause = self.manifest.chunk_bytes / self._limits.bytes_per_s
        pause *= peer.busy_answers * (0.5 + self._random.random())
        if reason == "budget":
            peer.spent_until = self._clock.monotonic() + self._limits.rollout_idle_timeout_s / 4
        peer.busy_until = self._clock.monotonic() + pause

    # Decisions

    def choose_fetches(self) -> list[Fetch]:
        """Return the requests to send now and count them as in flight."""
        self._expire()
        fetches = []
        while len(self._in_flight_by_index) < self._limits.in_flight and self._pacer.wait_s() == 0:
            fetch = self._choose()
            if fetch is None:
                break
            self._in_flight_by_index[fetch.index] = (fetch.source, self._clock.monotonic())
            if fetch.source == ORIGIN:
                self.bytes_requested_from_origin += self.manifest.size_of(fetch.index)
                self._last_origin_at = self._clock.monotonic()
            else:
                self._peers_by_host[fetch.source].in_flight += 1
            self._pacer.take(self.manifest.size_of(fetch.index))
            fetches.append(fetch)
        return fetches

    def next_wake_s(self) -> float:
        """Return the time until :meth:`choose_fetches` may have something new, in seconds."""
        pacing = self._pacer.wait_s()
        if pacing > 0 and len(self._in_flight_by_index) < self._limits.in_flight:
            return pacing
        return max(0.05, min(0.5, self.manifest.chunk_bytes / self._limits.bytes_per_s))

    def decide_upload(self, digest: str, *, queued: int) -> str:
        """Accept or refuse a peer's request.

        :param queued: uploads that wait for the link.
        :returns: empty to accept, which counts the bytes, or ``absent``, ``budget`` or ``busy``.
        """
        index = self._first_index_by_digest.get(digest)
        if index is None or not self._held >> index & 1:
            return "absent"
        self.renew_budget()
        size = self.manifest.size_of(index)
        if self.bytes_uploaded + size > self._hard_budget:
            return "budget"
        is_scarce = self._counts[index] < self._limits.seed_copies
        if queued >= self._limits.upload_queue:
            return "busy"
        if not is_scarce and (self._is_ahead() or self._must_reserve(size)):
            return "busy"
        self.bytes_uploaded += size
        self._uploaded_by_digest[digest] += size
        self._last_upload_at = self._clock.monotonic()
        return ""

    def renew_budget(self) -> None:
        """Begin a new upload budget if the rollout ended, which is after a time without uploads."""
        if self._clock.monotonic() - self._last_upload_at > self._limits.rollout_idle_timeout_s:
            self.bytes_uploaded = 0
            self._wasted_bytes = 0
            self._uploaded_by_digest.clear()
            self._wasted_by_digest.clear()

    def cancel_upload(self, digest: str) -> None:
        """Return the bytes of an accepted upload that was not sent."""
        size = self.manifest.size_of(self._first_index_by_digest.get(digest, 0))
        if self._uploaded_by_digest[digest] >= size:
            self._uploaded_by_digest[digest] -= size
            self.bytes_uploaded -= size

    def _is_ahead(self) -> bool:
        """Whether this host uploaded more than its part so far.

        It then leaves chunks that others hold too to them. Hosts that fetch many chunks from the
        origin would spend their budget early, and with it the last hosts' sources.
        """
        if not self._peers_by_host:
            return False
        held = sum(peer.bitmap.bit_count() for peer in self._peers_by_host.values())
        progress = held / len(self._peers_by_host) / self._planned.bit_count()
        ahead = self.bytes_uploaded - progress * self._copy_budget
        return ahead > self._limits.upload_ahead * self.manifest.chunk_bytes

    def _must_reserve(self, size: int) -> bool:
        """Whether the rest of the budget is needed for chunks that no other host can pass on."""
        scarce = 0
        for count, mask in self._masks_by_count.items():
            if count < self._limits.seed_copies:
                scarce |= mask
        scarce &= self._duties.chunks_of(self._host)
        needed = scarce.bit_count() * self._limits.seed_copies * self.manifest.chunk_bytes
        return self.bytes_uploaded + size + needed > self.upload_budget

    @property
    def upload_budget(self) -> float:
        """Bytes that may be uploaded in one rollout of chunks that other hosts hold too.

        Bytes received in vain count against it, those seen and those still to be expected.
        """
        missing = (self._planned & ~self._held).bit_count() * self.manifest.chunk_bytes
        received = self._unique_bytes - missing + self._wasted_bytes
        rate = max(_EXPECTED_WASTE, self._wasted_bytes / max(1, received))
        return self._hard_budget - missing * rate

    @property
    def _hard_budget(self) -> float:
        """The budget for any chunk: the last chunks to arrive may still arrive corrupt."""
        missing = (self._planned & ~self._held).bit_count()
        reserve = min(missing, _RESERVED_CHUNKS) * self.manifest.chunk_bytes
        return self._copy_budget - self._wasted_bytes - reserve

    # Private parts

    def _take_over(self, previous: ChunkPlan) -> None:
        self._avoided_until_by_source = dict(previous._avoided_until_by_source)
        for digest, size in previous._uploaded_by_digest.items():
            if digest in self._first_index_by_digest:
                self._uploaded_by_digest[digest] = size
                self.bytes_uploaded += size
        for digest, size in previous._wasted_by_digest.items():
            if digest in self._first_index_by_digest:
                self._wasted_by_digest[digest] = size
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
        self._wasted_by_digest[digest] += size
        self._wasted_bytes += size

    def _choose(self) -> Fetch | None:
        wanted = self._planned & ~self._held
        for index in self._in_flight_by_index:
            wanted &= ~(1 << index)
        if not wanted:
            return None
        now = self._clock.monotonic()
        sources = self._usable_sources(now)
        available = 0
        imports = self._find_imports(now)
        for host, peer in sources:
            available |= peer.bitmap if self._is_near(host) else peer.bitmap & imports
        if self._may_ask_origin():
            absent = wanted & self._masks_by_count.get(0, 0) & self._duties.chunks_of(self._host)
            duty = absent & self._first_duties.chunks_of(self._host)
            if duty:
                return self._make_fetch(self._pick_bit(duty), ORIGIN)
            if absent and self._may_exceed_duty(self._pick_bit(absent), now):
                return self._make_fetch(self._pick_bit(absent), ORIGIN)
        candidates = wanted & available
        for count in sorted(self._masks_by_count):
            rarest = candidates & self._masks_by_count[count]
            if rarest:
                index = self._pick_bit(rarest)
                return self._make_fetch(index, self._pick_source(index, sources))
        return self._choose_fallback(wanted, now)

    def _find_imports(self, now: float) -> int:
        """Return the bitmap of chunks that may come from another zone.

        A host that waits for nothing and has received nothing for a while may import any chunk: the
        host that should is gone or cut off.
        """
        idle_s = now - self._last_arrival_at
        if not self._in_flight_by_index and idle_s > _FALLBACK_PAUSE_S:
            return self._planned
        return self._zone_duties.chunks_of(self._host)

    def _choose_fallback(self, wanted: int, now: float) -> Fetch | None:
        """Ask the origin for a chunk whose holders all refuse, if this host waits for nothing else.

        Of the hosts that miss the chunk and can pass it on, two ask first, chosen by rendezvous
        hash; the others wait for them to pass it on.
        """
        idle_s = now - self._last_arrival_at
        pause = max(_FALLBACK_PAUSE_S, 5 * self.manifest.chunk_bytes / self._limits.bytes_per_s)
        if self._in_flight_by_index or idle_s < pause or not self._may_ask_origin():
            return None
        offering = 0
        for host, peer in self._peers_by_host.items():
            spent = peer.spent_until > now or peer.bytes_uploaded + self.manifest.chunk_bytes > (
                self._copy_budget
            )
            avoided = self._avoided_until_by_source.get(host, 0.0) > now
            refusing = peer.busy_answers >= _MAX_BUSY_FACTOR
            if not (peer.closed or spent or avoided or refusing):
                offering |= peer.bitmap
        refused = wanted & ~offering & ~self._masks_by_count.get(0, 0)
        if idle_s < 4 * pause:
            for index in list_bits(refused):
                if not self._is_reseeder(index):
                    refused &= ~(1 << index)
        if not refused:
            return None
        index = self._pick_bit(refused)
        return self._make_fetch(index, ORIGIN) if self._may_exceed_duty(index, now) else None

    def _is_reseeder(self, index: int) -> bool:
        """Whether this host is among the first two that fetch a chunk once more."""
        chunk_key = int(self.manifest.chunks[index][:_BUCKET_DIGITS], 16)
        own = score_chunk(chunk_key, hash_name(self._host))
        budget = self._copy_budget * 0.9
        before = 0
        for host, peer in self._peers_by_host.items():
            can_pass_on = (
                not peer.bitmap >> index & 1
                and peer.bytes_uploaded < budget
                and peer.fetches_from_origin
            )
            if can_pass_on and score_chunk(chunk_key, hash_name(host)) > own:
                before += 1
        return before < 2

    def _may_exceed_duty(self, index: int, now: float) -> bool:
        """Decide whether a chunk that is not this host's own to fetch may be asked of the origin.

        A host that no peer is connected to has no other source and is not bounded.

        :returns: whether the chunk may be asked of the origin.
        """
        size = self.manifest.size_of(index)
        if not self._peers_by_host:
            return True
        if now - self._last_origin_at > self._limits.origin_stall_timeout_s:
            # Nothing more is coming by the plan; one chunk each time keeps the transfer alive.
            return True
        return size <= self._origin_allowance()

    def _origin_allowance(self) -> float:
        """Return the bytes that this host may take from the origin beyond its own chunks.

        What the region may take in all, less what was asked for and what still has to be fetched
        once, is divided among the hosts that are not done. The figures of peers are announced
        ones, so the sum may be exceeded by what was asked for since.
        """
        spare_of_all = self._limits.origin_copies - self._regions
        spare_per_zone = min(
            self._limits.origin_copies_per_zone - 1, max(0.0, spare_of_all) / self._zones
        )
        zones_here = max(1.0, self._zones / self._regions)
        limit = (1 + spare_per_zone * zones_here) * self._unique_bytes
        known = len(self._origin_bytes_by_host) + 1
        asked = self.bytes_requested_from_origin + sum(self._origin_bytes_by_host.values())
        # Hosts without a stream to this one are taken to be like the others.
        estimate = asked * max(1.0, self._region_size / known) + self._origin_bytes_before
        absent = (self._masks_by_count.get(0, 0) & ~self._held).bit_count()
        unfinished = 1 + sum(
            1 for peer in self._peers_by_host.values() if peer.bitmap != self._planned
        )
        left = limit - estimate - absent * self.manifest.chunk_bytes
        return left / unfinished

    @property
    def _copy_budget(self) -> float:
        budget = self._limits.upload_copies * self._unique_bytes
        return max(budget, self._limits.min_upload_bytes)

    def _usable_sources(self, now: float) -> list[tuple[str, _PeerState]]:
        limit = self._limits.in_flight_per_source
        room = self.manifest.chunk_bytes
        budget = self._copy_budget
        return [
            (host, peer)
            for host, peer in self._peers_by_host.items()
            if peer.bitmap
            and not peer.closed
            and peer.in_flight < limit
            and peer.spent_until <= now
            and peer.busy_until <= now
            and peer.bytes_uploaded + room <= budget
            and self._avoided_until_by_source.get(host, 0.0) <= now
        ]

    def _pick_source(self, index: int, sources: list[tuple[str, _PeerState]]) -> str:
        bit = 1 << index
        chunk = self.manifest.chunk_bytes
        spread = self._limits.source_spread * chunk
        return min(
            (
                (
                    not self._is_near(host),
                    peer.bytes_uploaded + peer.in_flight * chunk + spread * self._random.random(),
                    host,
                )
                for host, peer in sources
                if peer.bitmap & bit
            )
        )[2]

    def _is_near(self, host: str) -> bool:
        """Return whether a source is in this host's zone, or zones make no difference."""
        zone = self._limits.availability_zone
        record = self._neighbours_by_host.get(host)
        return not zone or (record is not None and record.availability_zone == zone)

    def _pick_bit(self, bitmap: int) -> int:
        """Return a set bit near a random position, in time independent of the bitmap's density."""
        start = self._random.randrange(len(self.manifest.chunks))
        upper = bitmap >> start
        if upper:
            return start + (upper & -upper).bit_length() - 1
        return (bitmap & -bitmap).bit_length() - 1

    def _make_fetch(self, index: int, source: str) -> Fetch:
        return Fetch(index, self.manifest.chunks[index], source)

    def _may_ask_origin(self) -> bool:
        asked = sum(1 for source, _ in self._in_flight_by_index.values() if source == ORIGIN)
        if asked >= self._limits.in_flight_at_origin or not self.fetches_from_origin:
            return False
        # A process that starts late would fetch its chunks again before it hears who has them.
        heard = 2 * len(self._peers_by_host) >= len(self._neighbours_by_host)
        return heard or self._clock.monotonic() - self._began_at >= _LISTEN_S

    def _expire(self) -> None:
        """Give up requests without an answer, and pass on the duty of hosts without progress."""
        now = self._clock.monotonic()
        if now < self._expire_at:
            return
        self._expire_at = now + _EXPIRE_PERIOD_S
        for index, (source, sent_at) in list(self._in_flight_by_index.items()):
            limit = self._limits.request_timeout_s
            if source == ORIGIN:
                limit = max(limit, 4 * self._origin_s)
            if now - sent_at > limit:
                self.record_failed(self.manifest.chunks[index], source)
        # The own requests tell how slow the origin is; a slow origin stalls no host.
        waiting = [now - at for source, at in self._in_flight_by_index.values() if source == ORIGIN]
        patience = max(self._limits.takeover_timeout_s, 4 * max([self._origin_s, *waiting]))
        stalled = len(self._stalled)
        for host in self._neighbours_by_host:
            if host in self._stalled or now - self._progress_at_by_host[host] <= patience:
                continue
            peer = self._peers_by_host.get(host)
            if self._duties.chunks_of(host) & ~(peer.bitmap if peer else 0):
                self._stalled.add(host)
        if len(self._stalled) != stalled:
            self._assign()

    def _assign(self) -> None:
        active = {self._host} | {
            host
            for host in self._neighbours_by_host.keys() - self._stalled - self._lost
            if host not in self._peers_by_host or self._peers_by_host[host].fetches_from_origin
        }
        self._duties.assign(active)

    def _finish_request(self, index: int, source: str) -> float | None:
        """Return when the request was sent, or None if it was not in flight."""
        entry = self._in_flight_by_index.get(index)
        if entry is None or entry[0] != source:
            return None
        del self._in_flight_by_index[index]
        peer = self._peers_by_host.get(source)
        if peer is not None:
            peer.in_flight -= 1
        return entry[1]

    def _avoid(self, source: str, seconds: float) -> None:
        until = self._clock.monotonic() + seconds
        known = self._avoided_until_by_source.get(source, 0.0)
        self._avoided_until_by_source[source] = max(known, until)

    def _count(self, bitmap: int, step: int) -> None:
        for index in list_bits(bitmap):
            bit = 1 << index
            count = self._counts[index]
            self._masks_by_count[count] &= ~bit
            if not self._masks_by_count[count]:
                del self._masks_by_count[count]
            self._counts[index] = count + step
            self._masks_by_count[count + step] = self._masks_by_count.get(count + step, 0) | bit
