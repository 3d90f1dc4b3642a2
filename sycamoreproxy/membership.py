"""Known upstreams and entry hosts: the host list joined with the heartbeats on the streams.

The host list lags behind, so it only determines which hosts may exist. ``Status`` on an open stream
determines which upstreams accept work.
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

#: An upstream without a heartbeat for this time gets no new work, in seconds.
HEARTBEAT_TIMEOUT_S = 3.0
#: Streams to upstream processes per model or service; limits control traffic on a large fleet.
SUBSET_SIZE = 32
#: Part of the subset that is filled from the local availability zone first, so that requests rarely
#: leave it. The rest is in other zones, for the time when the local one cannot serve.
LOCAL_SUBSET_SIZE = 24
#: Entry hosts of the same availability zone that always include an upstream in their subsets. With
#: subsets that each entry host chose independently, 3 of 92 upstreams had no stream to any of 8
#: entry hosts and received neither work nor the table.
COVERING_ENTRIES = 2
#: Streams to entry hosts of the local availability zone, and to those of each other zone.
LOCAL_ENTRY_STREAMS = 3
REMOTE_ENTRY_STREAMS = 1
#: Entry hosts of an availability zone that watch the store.
WATCHERS_PER_ZONE = 2
#: A host list that omits a larger fraction of the connected upstreams at once is considered faulty:
#: these upstreams stay in use as long as their heartbeats arrive.
MAX_UNLISTED_FRACTION = 0.5


@lru_cache(maxsize=16_384)
def hash_rendezvous(first: str, second: str) -> int:
    """Return the rendezvous weight of a pair; the candidates with the lowest weights are chosen."""
    digest = hashlib.blake2b(f"{first}|{second}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class UpstreamState:
    """State of one upstream.

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
        #: Monotonic time of the last status, in seconds.
        self.status_at = float("-inf")
        #: Monotonic time at which it failed to respond to an attempt, in seconds. It gets no new
        #: work until its next status.
        self.suspected_at = float("-inf")
        #: Monotonic time at which it became ready, in seconds; start of its slow start.
        self.available_since = 0.0
        #: Attempts of this entry host that are in progress.
        self.open_attempts = 0
        #: Attempts of this entry host since the last status, which does not include them.
        self.attempts_since_status = 0
        #: Prefix keys in the last status.
        self.prefixes: frozenset[str] = frozenset()

    @property
    def host(self) -> str:
        """Host name in the host list."""
        return self.record.host

    @property
    def availability_zone(self) -> str:
        """Availability zone of the upstream."""
        return self.record.availability_zone

    def is_available(self, now: float) -> bool:
        """Return whether a new attempt may be sent to it.

        :param now: monotonic time, in seconds.
        """
        status = self.status
        return (
            status is not None
            and status.state == "ready"
            and now - self.status_at < HEARTBEAT_TIMEOUT_S
            and self.status_at >= self.suspected_at
            and self.record.state == "live"
            and self.peer is not None
            and not self.peer.is_closed
        )


class Membership:
    """Joins the host list with streams and heartbeats; performs no I/O.

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
        """Number of listed entry hosts, including this one; at least 1."""
        return max(1, len(self._entries_by_host.keys() | {self._host}))

    def count_competing_entries(self, kind: str, name: str) -> float:
        """Return how many entry hosts send work to one upstream on average, including this one.

        Counts the live entry hosts of the local availability zone, scaled by the fraction of the
        candidates that fits into one subset.
        """
        covered = min(1.0, SUBSET_SIZE / max(1, len(self.upstreams(kind, name))))
        return max(1.0, self._local_entries * covered)

    def upstreams(self, kind: str, name: str) -> list[UpstreamState]:
        """Return the candidates for a model or service; callers must not modify the list.

        :param kind: ``engine`` or ``service``.
        """
        return self._upstreams_by_key.get((kind, name), [])

    def list_names(self, kind: str) -> list[str]:
        """Return the names of all models or services in the host list."""
        return sorted(name for item_kind, name in self._upstreams_by_key if item_kind == kind)

    def list_entries(self) -> list[HostRecord]:
        """Return the listed entry hosts sorted by name, including this one if it is listed."""
        return [self._entries_by_host[host] for host in sorted(self._entries_by_host)]

    def replace_hosts(self, records: Iterable[HostRecord]) -> None:
        """Apply a new host list; upstreams that are still listed keep their state.

        An upstream that is no longer listed gets no new work, unless the list has no live upstream
        of its model or service. In that case its heartbeats decide, so that a faulty list does not
        stop a model or service.
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
        upstreams.update(self._retain_unlisted(upstreams))
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
        self._covered_hosts = self._find_covered_hosts()

    def _retain_unlisted(self, listed: dict[str, UpstreamState]) -> dict[str, UpstreamState]:
        """Return the upstreams with an open stream that are missing from a new host list."""
        connected = {
            host: state
            for host, state in self._upstreams_by_host.items()
            if state.peer is not None and not state.peer.is_closed
        }
        unlisted = {host: state for host, state in connected.items() if host not in listed}
        if len(unlisted) > MAX_UNLISTED_FRACTION * len(connected):
            return unlisted
        served = {
            (state.record.kind, state.record.name)
            for state in listed.values()
            if state.record.state == "live"
        }
        for state in unlisted.values():
            # The stream may carry requests in progress, so it is kept until the peer closes it. If
            # the list has no live upstream of the model or service, this one stays in use.
            if (state.record.kind, state.record.name) in served:
                state.record = replace(state.record, state="leaving")
        return unlisted

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
        """Discard the stream and the status of an upstream after its stream has closed."""
        state = self._upstreams_by_host.get(peer.hello.host)
        if state is not None and state.peer is peer:
            state.peer = None
            state.status = None

    def choose_targets(self) -> set[Address]:
        """Return the addresses to which this entry host should keep streams."""
        targets: set[Address] = set()
        for states in self._upstreams_by_key.values():
            targets.update(state.record.peer for state in self._choose_subset(states))
        by_zone: dict[str, list[HostRecord]] = {}
        for record in self._entries_by_host.values():
            if record.host != self._host and record.state == "live":
                by_zone.setdefault(record.availability_zone, []).append(record)
        for zone, records in by_zone.items():
            count = LOCAL_ENTRY_STREAMS if zone == self._availability_zone else REMOTE_ENTRY_STREAMS
            records.sort(key=lambda record: hash_rendezvous(self._host, record.host))
            targets.update(record.peer for record in records[:count])
        return targets

    def is_watcher(self) -> bool:
        """Return whether this host is among those of its availability zone that watch the store."""
        zone = self._availability_zone
        hosts = {
            record.host
            for record in self._entries_by_host.values()
            if record.availability_zone == zone
            and record.state == "live"
            and record.host not in self._leaving_entries
        }
        hosts.add(self._host)
        chosen = sorted(hosts, key=lambda host: hash_rendezvous(zone, host))[:WATCHERS_PER_ZONE]
        return self._host in chosen

    def _find_covered_hosts(self) -> frozenset[str]:
        """Return the local upstreams that this entry host must include in its subsets, by host."""
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
                own_weight = hash_rendezvous(self._host, state.host)
                lower_count = sum(
                    hash_rendezvous(entry, state.host) < own_weight for entry in entries
                )
                if lower_count < COVERING_ENTRIES:
                    covered.add(state.host)
        return frozenset(covered)

    def _choose_subset(self, states: list[UpstreamState]) -> list[UpstreamState]:
        def keeps_stream(state: UpstreamState) -> bool:
            has_stream = state.peer is not None and not state.peer.is_closed
            return state.open_attempts > 0 or (has_stream and state.record.state != "live")

        live = [state for state in states if state.record.state == "live"]
        # A leaving upstream keeps its stream until it closes the stream itself.
        kept = [state for state in states if keeps_stream(state)]
        covered = self._covered_hosts
        live.sort(key=lambda s: (s.host not in covered, hash_rendezvous(self._host, s.host)))
        local = [s for s in live if s.availability_zone == self._availability_zone]
        remote = [s for s in live if s.availability_zone != self._availability_zone]
        covered_count = sum(state.host in covered for state in local)
        local_count = max(LOCAL_SUBSET_SIZE, SUBSET_SIZE - len(remote), covered_count)
        chosen = local[:local_count]
        return chosen + remote[: SUBSET_SIZE - len(chosen)] + kept
