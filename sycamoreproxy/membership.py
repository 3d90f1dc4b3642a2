"""Upstreams and entry hosts: the host list joined with heartbeats on the streams.

The host list lags; it tells who may exist. ``Status`` on an open stream tells who takes work.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import replace
from functools import lru_cache

from sycamoreproxy.clock import Clock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.messages import PeerStatus, Status
from sycamoreproxy.peers import Peer
from sycamoreproxy.streams import Address

#: Without a heartbeat for this time an upstream gets no new work, in seconds.
HEARTBEAT_LIMIT_S = 3.0
#: Streams to upstream processes per model or service; bounds control traffic on a large fleet.
SUBSET_SIZE = 32
#: Part of the subset filled from the own availability zone first, so that requests rarely
#: leave it; the rest is for the time when it cannot answer.
LOCAL_SUBSET_SIZE = 24
#: Entry hosts of its availability zone that include an upstream in their subsets in any case.
#: Subsets chosen by each entry host alone left 3 of 92 upstreams without a stream beside 8 entry
#: hosts: no work and no table reached them.
COVERING_ENTRIES = 2
#: Streams to entry hosts of the own availability zone, and to those of each other one.
LOCAL_ENTRIES = 3
REMOTE_ENTRIES = 1
#: Entry hosts of an availability zone that watch the store.
WATCHERS = 2
#: A host list that drops a larger part of the connected upstreams at once is taken for a fault of
#: the list: these upstreams stay in use for as long as their own heartbeats arrive.
MAX_VANISHED_FRACTION = 0.5


@lru_cache(maxsize=16_384)
def hash_rendezvous(first: str, second: str) -> int:
    """Return the weight of a pair; the lowest weights are chosen."""
    digest = hashlib.blake2b(f"{first}|{second}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class UpstreamState:
    """What is known of one upstream.

    :param record: its record in the host list.
    """

    __slots__ = (
        "attempts_since_status",
        "available_since",
        "open_attempts",
        "peer",
        "prefixes",
        "record",
        "status",
        "status_at",
        "suspected_at",
    )

    def __init__(self, *, record: HostRecord) -> None:
        self.record = record
        self.peer: Peer | None = None
        self.status: Status | None = None
        #: Reading of the monotonic clock at the last status, in seconds.
        self.status_at = float("-inf")
        #: When an attempt found it silent; it gets no new work until it is heard again.
        self.suspected_at = float("-inf")
        #: When the upstream became ready for work, in seconds; the slow start counts from it.
        self.available_since = 0.0
        #: Attempts of this entry host in progress.
        self.open_attempts = 0
        #: Attempts of this entry host that the last status cannot know of.
        self.attempts_since_status = 0
        #: Prefix keys of the last status.
        self.prefixes: frozenset[str] = frozenset()

    @property
    def host(self) -> str:
        """Name in the host list."""
        return self.record.host

    @property
    def availability_zone(self) -> str:
        """Availability zone of the host."""
        return self.record.availability_zone

    def is_available(self, now: float) -> bool:
        """Return whether a new attempt may be sent to it.

        :param now: reading of the monotonic clock, in seconds.
        """
        status = self.status
        return (
            status is not None
            and status.state == "ready"
            and now - self.status_at < HEARTBEAT_LIMIT_S
            and self.status_at >= self.suspected_at
            and self.record.state == "live"
            and self.peer is not None
            and not self.peer.is_closed
        )


class Membership:
    """Joins host list, streams and heartbeats; performs no I/O.

    :param host: name of this entry host.
    :param availability_zone: availability zone of this entry host.
    :param clock: time source.
    """

    def __init__(self, *, host: str, availability_zone: str, clock: Clock) -> None:
        self._host = host
        self._availability_zone = availability_zone
        self._clock = clock
        self._has_host_list = False
        self._entries_by_host: dict[str, HostRecord] = {}
        self._upstreams_by_host: dict[str, UpstreamState] = {}
        self._upstreams_by_key: dict[tuple[str, str], list[UpstreamState]] = {}
        self._leaving_entries: set[str] = set()
        self._local_entries = 0
        self._covered_hosts: frozenset[str] = frozenset()

    @property
    def has_host_list(self) -> bool:
        """Whether a host list was read since the start."""
        return self._has_host_list

    @property
    def entry_count(self) -> int:
        """Entry hosts of the list, this one included; at least 1."""
        return max(1, len(self._entries_by_host.keys() | {self._host}))

    def count_competing_entries(self, kind: str, name: str) -> float:
        """Return how many entry hosts place work on one upstream, this one included.

        Those of the own availability zone, as far as their subsets cover all upstreams.
        """
        covered = min(1.0, SUBSET_SIZE / max(1, len(self.upstreams(kind, name))))
        return max(1.0, self._local_entries * covered)

    def upstreams(self, kind: str, name: str) -> list[UpstreamState]:
        """Return the candidates for a model or service; callers must not change the list.

        :param kind: ``engine`` or ``service``.
        """
        return self._upstreams_by_key.get((kind, name), [])

    def list_names(self, kind: str) -> list[str]:
        """Return the names of the models or services that the host list names."""
        return sorted(name for of_kind, name in self._upstreams_by_key if of_kind == kind)

    def list_entries(self) -> list[HostRecord]:
        """Return the entry hosts of the list by name, this one included if listed."""
        return [self._entries_by_host[host] for host in sorted(self._entries_by_host)]

    def replace_hosts(self, records: Iterable[HostRecord]) -> None:
        """Take a new host list; an upstream that stays keeps what is known of it.

        An upstream that is no longer listed gets no new work, unless the list names no live one of
        its model or service: then its heartbeats count, so that a broken list stops nothing.
        """
        entries: dict[str, HostRecord] = {}
        upstreams: dict[str, UpstreamState] = {}
        for record in records:
            if record.role == "entry":
                entries[record.host] = record
            elif record.role == "upstream":
                state = self._upstreams_by_host.get(record.host)
                if state is None:
                    state = UpstreamState(record=record)
                state.record = record
                upstreams[record.host] = state
        upstreams.update(self._keep_vanished(upstreams))
        self._has_host_list = True
        self._entries_by_host = entries
        zone = self._availability_zone
        self._local_entries = sum(
            1
            for record in entries.values()
            if record.availability_zone == zone and record.state == "live"
        )
        self._leaving_entries &= entries.keys()
        self._upstreams_by_host = upstreams
        by_key: dict[tuple[str, str], list[UpstreamState]] = {}
        for state in upstreams.values():
            by_key.setdefault((state.record.kind, state.record.name), []).append(state)
        self._upstreams_by_key = by_key
        self._covered_hosts = self._find_covered()

    def _keep_vanished(self, listed: dict[str, UpstreamState]) -> dict[str, UpstreamState]:
        """Return the upstreams with an open stream that a new host list no longer names."""
        connected = {
            host: state
            for host, state in self._upstreams_by_host.items()
            if state.peer is not None and not state.peer.is_closed
        }
        vanished = {host: state for host, state in connected.items() if host not in listed}
        if len(vanished) > MAX_VANISHED_FRACTION * len(connected):
            return vanished
        served = {
            (state.record.kind, state.record.name)
            for state in listed.values()
            if state.record.state == "live"
        }
        for state in vanished.values():
            # Its stream carries requests in progress; it is kept until the peer closes it. The
            # last upstream of a model or service stays in use.
            if (state.record.kind, state.record.name) in served:
                state.record = replace(state.record, state="leaving")
        return vanished

    def record_status(self, peer: Peer, status: Status) -> None:
        """Record the heartbeat of an upstream."""
        state = self._upstreams_by_host.get(peer.hello.host)
        if state is None or (status.kind, status.name) != (state.record.kind, state.record.name):
            return
        now = self._clock.monotonic()
        was_available = state.peer is peer and state.is_available(now)
        state.peer = peer
        state.status = status
        state.status_at = now
        state.attempts_since_status = 0
        state.prefixes = frozenset(status.prefixes)
        if not was_available and status.state == "ready":
            state.available_since = now

    def record_peer_status(self, peer: Peer, status: PeerStatus) -> None:
        """Record the heartbeat of an entry host."""
        if peer.hello.role != "entry":
            return
        if status.state == "leaving":
            self._leaving_entries.add(peer.hello.host)
        else:
            self._leaving_entries.discard(peer.hello.host)

    def remove_peer(self, peer: Peer) -> None:
        """Forget the heartbeats of a stream that closed."""
        state = self._upstreams_by_host.get(peer.hello.host)
        if state is not None and state.peer is peer:
            state.peer = None
            state.status = None

    def choose_targets(self) -> set[Address]:
        """Return the addresses that this entry host should hold streams to."""
        targets: set[Address] = set()
        for states in self._upstreams_by_key.values():
            targets.update(state.record.peer for state in self._choose_subset(states))
        by_zone: dict[str, list[HostRecord]] = {}
        for record in self._entries_by_host.values():
            if record.host != self._host and record.state == "live":
                by_zone.setdefault(record.availability_zone, []).append(record)
        for zone, records in by_zone.items():
            count = LOCAL_ENTRIES if zone == self._availability_zone else REMOTE_ENTRIES
            records.sort(key=lambda record: hash_rendezvous(self._host, record.host))
            targets.update(record.peer for record in records[:count])
        return targets

    def is_watcher(self) -> bool:
        """Return whether this host is one of the watchers of its availability zone."""
        zone = self._availability_zone
        hosts = {
            record.host
            for record in self._entries_by_host.values()
            if record.availability_zone == zone
            and record.state == "live"
            and record.host not in self._leaving_entries
        }
        hosts.add(self._host)
        chosen = sorted(hosts, key=lambda host: hash_rendezvous(zone, host))[:WATCHERS]
        return self._host in chosen

    def _find_covered(self) -> frozenset[str]:
        """Return the upstreams of the availability zone that this host must hold a stream to."""
        zone = self._availability_zone
        entries = {
            record.host
            for record in self._entries_by_host.values()
            if record.availability_zone == zone and record.state == "live"
        }
        entries.add(self._host)
        covered = set()
        for state in self._upstreams_by_host.values():
            if state.availability_zone == zone and state.record.state == "live":
                mine = hash_rendezvous(self._host, state.host)
                before = sum(hash_rendezvous(entry, state.host) < mine for entry in entries)
                if before < COVERING_ENTRIES:
                    covered.add(state.host)
        return frozenset(covered)

    def _choose_subset(self, states: list[UpstreamState]) -> list[UpstreamState]:
        def is_busy(state: UpstreamState) -> bool:
            open_stream = state.peer is not None and not state.peer.is_closed
            return state.open_attempts > 0 or (open_stream and state.record.state != "live")

        live = [state for state in states if state.record.state == "live"]
        # A leaving one keeps its stream for as long as it holds it open.
        kept = [state for state in states if is_busy(state)]
        covered = self._covered_hosts
        live.sort(key=lambda s: (s.host not in covered, hash_rendezvous(self._host, s.host)))
        local = [s for s in live if s.availability_zone == self._availability_zone]
        remote = [s for s in live if s.availability_zone != self._availability_zone]
        covered_count = sum(state.host in covered for state in local)
        local_count = max(LOCAL_SUBSET_SIZE, SUBSET_SIZE - len(remote), covered_count)
        chosen = local[:local_count]
        return chosen + remote[: SUBSET_SIZE - len(chosen)] + kept
