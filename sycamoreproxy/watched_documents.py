"""Documents of the platform's store, watched by each process and relayed between processes.

Every document keeps the store's revision of its last change, and a process only ever moves to a
higher one, so no source can take it back.

Large documents are read from the store by a few processes of each availability zone, which the
others follow: read by every process, a configuration of 285 KB filled the links between regions for
four seconds, and what was sent meanwhile came as late.
"""

from __future__ import annotations

import asyncio
import math
import random
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from sycamoreproxy.clock import Clock
from sycamoreproxy.document_source import (
    ChangesTooLargeError,
    Document,
    DocumentSource,
    HistoryLostError,
    Snapshot,
    SourceUnavailableError,
)
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    DocumentAnnounce,
    DocumentClaim,
    DocumentData,
    DocumentFetch,
    DocumentProgress,
    DocumentProgressAsk,
)
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.read_claims import ReadClaims
from sycamoreproxy.upstream_subset import NEAR_ENGINES
from sycamoreproxy.zone_readers import host_order_key

#: Longest wait of one watch call, in seconds; the platform allows 30.
WATCH_WAIT_S = 25.0
#: Pause after changes before the next watch call, in seconds: each call is priced, and changes come
#: in groups. It is a small part of the bounds of 2 s and more on every change.
COALESCE_S = 0.25
#: The same for documents of upstreams, as a part of the bound on leaving ones: a rollout changes
#: each of them twice, and every change in a call of its own would be a call of every process.
UPSTREAM_COALESCE_FRACTION = 0.3
#: Part of that pause that a zone's readers make: they are few, and the way from them takes time of the
#: same bound.
READER_PAUSE_PART = 0.3
#: First and longest pause after a failed call, in seconds. Failed calls are priced like others.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
#: A process that hears of a newer revision gives its own watch this time, in seconds, before it
#: fetches the document from the peer: in normal operation the watch is as fast.
RELAY_DELAY_S = 0.3

#: Time beyond the wait of a watch from which on its answer is logged as late, in seconds: answers take
#: some milliseconds, and a large document 0.2 s of a link between regions.
SLOW_ANSWER_S = 0.5
#: Longest wait of a watch for shared documents, in seconds: each answer shows that the store still
#: serves the reader. It is half of the shortest bound on a configuration.
SHARED_WATCH_S = 1.0
#: Time between two progress reports of a zone's reader, in seconds.
PROGRESS_PERIOD_S = 0.4
#: A process whose zone's readers have had no answer for this time follows the store itself, in
#: seconds: a watch, a report and its way, and less than the bounds of 2 s and more on every change.
PROGRESS_FRESH_S = 1.7
#: Time between two looks at whether this process has become a reader, in seconds.
ROLE_CHECK_S = 0.5
#: Longest further wait before that, in seconds: the first process to follow the store reports as a
#: reader does, and the others need not.
FALLBACK_SPREAD_S = 0.3
#: Longest silence of the readers that holds up a change, in seconds; by then the process has read the
#: store itself.
RELAY_LAG_S = PROGRESS_FRESH_S + FALLBACK_SPREAD_S + 0.5
#: Longest wait for a zone's readers after the start, in seconds: streams to them open within it.
READERS_WAIT_S = 1.5
#: Longest pause before a shared document is fetched within the zone, in seconds: the processes do
#: not all ask at once, and those that have it by then share the sending.
ZONE_RELAY_DELAY_S = 0.2
#: Pause before a shared document is fetched from another zone, in seconds: the readers of the own
#: zone have had the time to bring it, and their link carries it only twice.
FAR_RELAY_DELAY_S = 1.2
#: A fetch of a shared document that is not answered in this time is repeated, in seconds: 36 KB of
#: a configuration to 12 processes take 0.7 s of a link of 4.7 Mbit/s.
FETCH_TIMEOUT_S = 0.8
#: Bytes of values that were replaced within one answer from which on the prefix is read anew: the
#: store sends every value of its history, and a series of changes of a large document has many.
SUPERSEDED_BYTES = 32 * 1024
#: Growth of a large document that a watch still brings; a longer answer is taken for a series.
GROWTH = 1.25
#: Failed watches in a row after which a reader reads a shared prefix anew: the history since the
#: last answer may be more than one answer can hold.
MAX_WATCH_FAILURES = 3

#: Shortest bound on a change of documents that processes of a zone may leave to their readers, in seconds:
#: those that lose their readers read the store themselves ``PROGRESS_FRESH_S`` and ``FALLBACK_SPREAD_S``
#: later, and what they sent meanwhile is on its way.
MIN_SHARED_BOUND_S = 2.5
#: Processes beside engines that pass progress on to an entry host in the time of one progress report, on
#: average. An entry host has streams to up to 12 of its zone, and one report in 1.7 s is enough.
PASSING_PROCESSES = 3
#: Shortest time between two questions for all revisions, in seconds: documents that were sent with a
#: report may still be on their way.
PROGRESS_ASK_S = 0.3

#: Longest time after which a change is heard of once the store can be reached again, in seconds: a
#: silent connection is noticed after 3 s, and the pause before the next call takes up to 1 s.
INTERRUPTION_LAG_S = 4.0

#: Deleted documents that are remembered: a day of restarts of all runners at the target size.
MAX_DELETED = 2_000

_log = get_logger("watched_documents")


Listener = Callable[[Document], None]


@dataclass(slots=True)
class _PrefixState:
    """What is known of one prefix.

    :param revision: the store's revision up to which the documents are complete; 0 before the
        first read and after a loss of history.
    :param has_read: whether they were read since the start of the process.
    :param has_answer: whether the store has answered this process.
    :param lag_s: time for which changes that are being applied may have been made before, in
        seconds.
    :param silence_s: time before the answer that is being applied in which neither the store nor a
        reader was heard, in seconds.
    :param is_applying: whether an answer of the store is being applied.
    :param received_at: monotonic time at which a part of an answer of the store arrived last.
    :param reported_at: monotonic time until which another process of the zone has had answers of
        the store.
    :param outranked_at: the same for processes that go on if this one follows the store, too.
    :param pass_on_at: monotonic time from which on the next one is passed on.
    :param asked_at: monotonic time at which all revisions were asked for last.
    :param is_watching: whether this process follows a shared prefix in the store.
    :param claims: of other processes that have begun to follow it.
    :param digest: of the keys and revisions of all documents that were not deleted.
    """

    revision: int = 0
    answered_at: float = 0.0
    has_read: bool = False
    is_connected: bool = False
    has_answer: bool = False
    failures: int = field(default=0)
    lag_s: float = 0.0
    silence_s: float = 0.0
    is_applying: bool = False
    received_at: float = -math.inf
    reported_at: float = -math.inf
    outranked_at: float = -math.inf
    pass_on_at: float = -math.inf
    asked_at: float = -math.inf
    is_watching: bool = False
    claims: ReadClaims = field(default_factory=ReadClaims)
    digest: int = 0


class DocumentReplica:
    """Holds the newest known documents below some prefixes.

    :param prefixes: what to watch.
    :param pause_s: returns the pause after changes below a prefix, in seconds.
    :param shared_prefixes: those that a few readers of each availability zone follow for the
        others.
    :param pushed_prefixes: shared ones whose documents are small: they are sent on without being
        asked for, and read by every process when it starts.
    :param find_readers: returns the hosts of the own zone's readers; None while they are not known.
    :param stall_lag_s: returns the time for which an arrival may have waited for this process, in
        seconds.
    """

    def __init__(
        self,
        *,
        source: DocumentSource,
        hub: PeerHub,
        prefixes: tuple[str, ...],
        clock: Clock,
        pause_s: Callable[[str], float] = lambda prefix: COALESCE_S,
        shared_prefixes: tuple[str, ...] = (),
        pushed_prefixes: tuple[str, ...] = (),
        find_readers: Callable[[], frozenset[str] | None] = frozenset,
        stall_lag_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._stall_lag_s = stall_lag_s
        self._pause_s = pause_s
        self._large_prefixes = shared_prefixes
        self._shared_prefixes = (*shared_prefixes, *pushed_prefixes)
        self._pushed_prefixes = pushed_prefixes
        self._find_readers = find_readers
        #: Revision and time of the last fetch of each shared document that was not answered.
        self._asked_by_key: dict[str, tuple[int, float]] = {}
        self._compressed_by_key: dict[str, tuple[int, bytes]] = {}
        self._source = source
        self._hub = hub
        self._clock = clock
        self._documents_by_key: dict[str, Document] = {}
        self._states_by_prefix = {prefix: _PrefixState() for prefix in prefixes}
        self._listeners: list[Listener] = []
        self._deleted: deque[str] = deque()
        self._fetches: set[asyncio.Task[None]] = set()
        hub.on(DocumentAnnounce, self._handle_announce)
        hub.on(DocumentFetch, self._handle_fetch)
        hub.on(DocumentData, self._handle_data)
        hub.on(DocumentClaim, self._handle_claim)
        hub.on(DocumentProgress, self._handle_progress)
        hub.on(DocumentProgressAsk, self._handle_progress_ask)
        hub.on_open(self._handle_open)

    # Queries

    def get(self, key: str) -> Document | None:
        """Return a document; one with value None was deleted."""
        return self._documents_by_key.get(key)

    @property
    def is_connected(self) -> bool:
        """Whether the last call for every prefix was answered."""
        return all(state.is_connected for state in self._states_by_prefix.values())

    def has_read(self, key: str) -> bool:
        """Return whether a key's prefix was read since the start; what comes before may be old."""
        return all(
            state.has_read
            for prefix, state in self._states_by_prefix.items()
            if key.startswith(prefix)
        )

    def find_lag_s(self, key: str) -> float:
        """Return how long before now a change that is heard of now may have been made, in seconds.

        0 while the store's answers come without interruption. Bounds that count from a change would
        otherwise end late by the time in which this process could not hear of it.
        """
        lags = [
            state.lag_s if state.is_connected else self._find_interruption_s(state)
            for prefix, state in self._states_by_prefix.items()
            if key.startswith(prefix)
        ]
        return max(*lags, self._stall_lag_s(), 0.0)

    def find_relay_lag_s(self, key: str) -> float:
        """Return how long before now a change may have been made that readers left unsaid, in seconds.

        0 for documents that this process follows itself, and after a longer silence: it has asked the
        store then, which did not answer.
        """
        prefix = next((p for p in self._pushed_prefixes if key.startswith(p)), None)
        if prefix is None:
            return 0.0
        state = self._states_by_prefix[prefix]
        silence_s = state.silence_s if state.is_applying else self._find_silence_s(state)
        return silence_s if silence_s < RELAY_LAG_S else 0.0

    def _find_silence_s(self, state: _PrefixState) -> float:
        """Return the time since the store answered this process or its zone's readers."""
        return self._clock.monotonic() - max(state.answered_at, state.reported_at)

    def _find_interruption_s(self, state: _PrefixState) -> float:
        return min(INTERRUPTION_LAG_S, self._clock.monotonic() - state.answered_at)

    def is_relayed(self, prefix: str) -> bool:
        """Return whether another process of the zone follows a prefix for this one."""
        if prefix not in self._shared_prefixes or self._is_reader():
            return False
        state = self._states_by_prefix[prefix]
        answered_at = state.outranked_at if state.is_watching else state.reported_at
        return self._clock.monotonic() - answered_at < PROGRESS_FRESH_S

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        now = self._clock.monotonic()
        return {
            "documents": len(self._documents_by_key),
            "prefixes": {
                prefix: {
                    "revision": state.revision,
                    "connected": state.is_connected,
                    "relayed": self.is_relayed(prefix),
                    "answered_s_ago": round(now - state.answered_at, 3),
                    "failures": state.failures,
                }
                for prefix, state in self._states_by_prefix.items()
            },
        }

    # Commands

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener(document)`` after each change."""
        self._listeners.append(listener)

    def apply(self, document: Document, *, source: str) -> bool:
        """Take a document if it is newer than the one held.

        :param source: where it comes from, for the log.
        :returns: whether it was newer.
        """
        held = self._documents_by_key.get(document.key)
        if held is not None and held.revision >= document.revision:
            return False
        self._documents_by_key[document.key] = document
        self._update_digest(held, document)
        if document.value is None:
            self._note_deleted(document.key)
        # Large documents change seldom, and where a copy came from tells why it was late.
        log = _log.info if self._is_large(document.key) else _log.debug
        log("document changed", key=document.key, revision=document.revision, source=source)
        for listener in self._listeners:
            try:
                listener(document)
            except Exception:
                # One bad document must not keep the others from being applied.
                _log.exception("document listener failed", key=document.key)
        return True

    def _is_large(self, key: str) -> bool:
        return any(key.startswith(prefix) for prefix in self._large_prefixes)

    def _update_digest(self, before: Document | None, document: Document) -> None:
        for prefix in self._pushed_prefixes:
            if document.key.startswith(prefix):
                state = self._states_by_prefix[prefix]
                state.digest ^= _digest(before) ^ _digest(document)

    def _note_deleted(self, key: str) -> None:
        """Keep a bounded number of deletions, which stop a peer from bringing a document back."""
        self._deleted.append(key)
        while len(self._deleted) > MAX_DELETED:
            oldest = self._deleted.popleft()
            held = self._documents_by_key.get(oldest)
            if held is not None and held.value is None and oldest not in self._deleted:
                del self._documents_by_key[oldest]

    async def follow(self, prefix: str) -> None:
        """Follow the documents below a prefix until cancelled.

        Those of a shared prefix are left to the zone's readers while they have answers of the
        store.
        """
        if prefix not in self._shared_prefixes:
            await self.watch(prefix)
            return
        if prefix in self._pushed_prefixes:
            # Streams to the readers open only once the engines are known.
            await self._read_first(prefix)
        await self._await_readers(prefix)
        while True:
            await self._await_silence(prefix)
            await self._watch_for_zone(prefix)

    async def _read_first(self, prefix: str) -> None:
        """Read the documents below a prefix once."""
        pause = RETRY_MIN_S
        while True:
            try:
                self._apply_all(prefix, await self._source.read_all(prefix))
                self._states_by_prefix[prefix].is_connected = False
                return
            except SourceUnavailableError as error:
                _log.warning("store lost", prefix=prefix, error=str(error))
                await asyncio.sleep(pause * (0.5 + random.random()))
                pause = min(RETRY_MAX_S, pause * 2)

    async def _await_silence(self, prefix: str) -> None:
        """Wait until no other process of the zone follows a shared prefix; readers do not wait."""
        while not self._is_reader():
            if self.is_relayed(prefix):
                reported_s = self._clock.monotonic() - self._states_by_prefix[prefix].reported_at
                left_s = min(ROLE_CHECK_S, PROGRESS_FRESH_S - reported_s)
                await asyncio.sleep(max(RETRY_MIN_S, left_s))
                continue
            await asyncio.sleep(random.uniform(0, FALLBACK_SPREAD_S))
            claims = self._states_by_prefix[prefix].claims
            if not self.is_relayed(prefix) and not claims.has_enough_readers(
                self._clock.monotonic()
            ):
                return

    async def _watch_for_zone(self, prefix: str) -> None:
        """Follow a shared prefix in the store and report progress, until another process does."""
        state = self._states_by_prefix[prefix]
        _log.info(
            "following the store for the zone",
            prefix=prefix,
            is_reader=self._is_reader(),
            peers=len(self._hub.peers),
            silent_s=round(self._find_silence_s(state), 3) if state.has_read else None,
        )
        if prefix in self._large_prefixes:
            self._hub.broadcast(
                DocumentClaim(prefix, self._hub.hello.host),
                availability_zone=self._hub.hello.availability_zone,
            )
        watching = asyncio.create_task(self.watch(prefix))
        state.is_watching = True
        try:
            while not self.is_relayed(prefix):
                self._report_progress(prefix)
                await asyncio.wait({watching}, timeout=PROGRESS_PERIOD_S)
                if watching.done():
                    watching.result()
            _log.info("left the store to another process", prefix=prefix, revision=state.revision)
        finally:
            state.is_watching = False
            state.is_connected = False
            watching.cancel()

    async def _await_readers(self, prefix: str) -> None:
        """Wait until the zone's readers are heard, or there are none to wait for."""
        until = self._clock.monotonic() + READERS_WAIT_S
        while self._clock.monotonic() < until and not self.is_relayed(prefix):
            readers = self._find_readers()
            if readers is not None and (not readers or self._is_reader()):
                return
            await asyncio.sleep(RETRY_MIN_S)

    def _is_reader(self) -> bool:
        return self._hub.hello.host in (self._find_readers() or frozenset())

    def _report_progress(self, prefix: str) -> None:
        """Tell the processes of the own zone how far this process follows the store."""
        state = self._states_by_prefix[prefix]
        served_at = state.answered_at
        if prefix in self._large_prefixes:
            # The bound of a small document counts from whole answers.
            served_at = max(served_at, state.received_at)
        age_s = self._clock.monotonic() - served_at
        if not state.has_answer or not state.revision or age_s >= PROGRESS_FRESH_S:
            return
        own = self._hub.hello
        self._tell_progress(prefix, host=own.host, is_entry=own.role == "entry", age_s=age_s)

    def _tell_progress(self, prefix: str, *, host: str, is_entry: bool, age_s: float) -> None:
        digest = self._states_by_prefix[prefix].digest if prefix in self._pushed_prefixes else 0
        self._hub.broadcast(
            self._make_progress(prefix, host=host, is_entry=is_entry, age_s=age_s, digest=digest),
            availability_zone=self._hub.hello.availability_zone,
        )

    def _make_progress(
        self, prefix: str, *, host: str, is_entry: bool, age_s: float, digest: int = 0
    ) -> DocumentProgress:
        """Return a report that tells all revisions, or their digest instead."""
        held = () if digest else self._documents_by_key.items()
        revisions = {key: item.revision for key, item in held if key.startswith(prefix)}
        revision = self._states_by_prefix[prefix].revision
        return DocumentProgress(prefix, host, is_entry, revision, revisions, age_s, digest)

    async def watch(self, prefix: str) -> None:
        """Follow the documents below a prefix in the store until cancelled."""
        state = self._states_by_prefix[prefix]
        pause = RETRY_MIN_S
        # Whether changes come in a series, of which only the newest values are read.
        is_series = False

        def note_part() -> None:
            state.received_at = self._clock.monotonic()

        while True:
            try:
                wait_s = self._find_wait_s(prefix) if state.revision else 0.0
                began_at = self._clock.monotonic()
                if state.revision == 0 or is_series:
                    snapshot = await self._source.read_all(prefix, on_part=note_part)
                    self._note_duration(prefix, self._clock.monotonic() - began_at, 0.0)
                    has_changed = self._apply_all(prefix, snapshot)
                    if is_series and has_changed:
                        await asyncio.sleep(self._find_pause_s(prefix))
                    is_series = False
                else:
                    changes = await self._source.wait_changes(
                        prefix,
                        after=state.revision,
                        wait_s=wait_s,
                        max_bytes=self._find_max_bytes(prefix),
                        on_part=note_part,
                    )
                    self._note_duration(prefix, self._clock.monotonic() - began_at, wait_s)
                    self._apply_changes(prefix, changes)
                    if changes.documents:
                        await asyncio.sleep(self._find_pause_s(prefix))
                    is_series = _count_superseded(changes) > SUPERSEDED_BYTES
                pause = RETRY_MIN_S
                continue
            except ChangesTooLargeError:
                is_series = True
            except HistoryLostError:
                _log.info("history lost", prefix=prefix, after=state.revision)
                state.revision = 0
            except SourceUnavailableError as error:
                state.failures += 1
                if state.is_connected or state.failures == 1:
                    _log.warning("store lost", prefix=prefix, error=str(error))
                state.is_connected = False
                is_shared = prefix in self._shared_prefixes
                if is_shared and state.failures >= MAX_WATCH_FAILURES and self._is_reader():
                    state.revision = 0
                # Jitter spreads the processes that lost the store at the same moment.
                await asyncio.sleep(pause * (0.5 + random.random()))
                pause = min(RETRY_MAX_S, pause * 2)

    def _note_duration(self, prefix: str, duration_s: float, wait_s: float) -> None:
        if duration_s > wait_s + SLOW_ANSWER_S:
            _log.warning(
                "store answered late",
                prefix=prefix,
                duration_ms=round(duration_s * 1000),
                wait_ms=round(wait_s * 1000),
            )

    def _find_pause_s(self, prefix: str) -> float:
        is_pushing = prefix in self._pushed_prefixes and self._is_reader()
        return self._pause_s(prefix) * (READER_PAUSE_PART if is_pushing else 1.0)

    def _find_max_bytes(self, prefix: str) -> int | None:
        """Return the longest answer of a watch, in bytes: not two values of a large document."""
        if prefix not in self._large_prefixes:
            return None
        held = (item for key, item in self._documents_by_key.items() if key.startswith(prefix))
        return int(GROWTH * sum(len(item.value or b"") for item in held)) + SUPERSEDED_BYTES

    def _find_wait_s(self, prefix: str) -> float:
        if prefix not in self._shared_prefixes:
            return WATCH_WAIT_S
        # Others rely on this process only after an answer of the store.
        return SHARED_WATCH_S if self._states_by_prefix[prefix].is_connected else 0.0

    # What arrives

    def _apply_all(self, prefix: str, snapshot: Snapshot) -> bool:
        """Take all documents below a prefix; return whether any has changed."""
        listed = {document.key for document in snapshot.documents}
        deleted = [
            Document(key, snapshot.revision, None)
            for key, held in self._documents_by_key.items()
            if key.startswith(prefix) and key not in listed and held.value is not None
        ]
        documents = (*snapshot.documents, *deleted)
        return self._apply_changes(prefix, Snapshot(documents, snapshot.revision))

    def _apply_changes(self, prefix: str, snapshot: Snapshot) -> bool:
        state = self._states_by_prefix[prefix]
        if not state.is_connected:
            _log.info(
                "store connected",
                prefix=prefix,
                revision=snapshot.revision,
                failures=state.failures,
            )
        state.lag_s = 0.0 if state.is_connected else self._find_interruption_s(state)
        state.silence_s = 0.0 if state.is_connected else self._find_silence_s(state)
        state.is_applying = True
        state.is_connected = True
        state.has_answer = True
        state.failures = 0
        state.answered_at = self._clock.monotonic()
        state.revision = max(state.revision, snapshot.revision)
        changed = {
            document.key: document.revision
            for document in snapshot.documents
            if self.apply(document, source="store")
        }
        state.has_read = True
        state.lag_s = 0.0
        state.is_applying = False
        if not changed:
            return False
        if prefix in self._pushed_prefixes:
            self._push(changed)
            self._announce_far(changed)
        else:
            self._hub.broadcast(DocumentAnnounce(changed))
        if prefix in self._shared_prefixes:
            self._report_progress(prefix)
        return True

    def _push(self, keys: Iterable[str]) -> None:
        """Send documents to all peers of the own zone."""
        for key in keys:
            self._hub.broadcast(
                self._make_data(self._documents_by_key[key]),
                availability_zone=self._hub.hello.availability_zone,
            )

    def _announce_far(self, revisions: dict[str, int]) -> None:
        """Tell other zones of documents, in case that they can't reach the store."""
        announce = DocumentAnnounce(revisions)
        for peer in self._hub.peers:
            if peer.hello.availability_zone != self._hub.hello.availability_zone:
                peer.send(announce)

    # Messages

    def _handle_open(self, peer: Peer) -> None:
        if self._documents_by_key:
            peer.send(
                DocumentAnnounce(
                    {key: held.revision for key, held in self._documents_by_key.items()}
                )
            )

    def _handle_announce(self, peer: Peer, announce: DocumentAnnounce) -> None:
        shared = {key: r for key, r in announce.revisions.items() if self._is_left_to_readers(key)}
        others = {key: r for key, r in announce.revisions.items() if key not in shared}
        self._fetch(peer, others, delay_s=RELAY_DELAY_S)
        is_near = peer.hello.availability_zone == self._hub.hello.availability_zone
        near_delay_s = random.uniform(0, ZONE_RELAY_DELAY_S)
        self._fetch(peer, shared, delay_s=near_delay_s if is_near else FAR_RELAY_DELAY_S)

    def _handle_claim(self, peer: Peer, claim: DocumentClaim) -> None:
        own = self._hub.hello
        if claim.prefix not in self._large_prefixes or claim.host == own.host:
            return
        claims = self._states_by_prefix[claim.prefix].claims
        is_new = claims.add(claim.host, self._clock.monotonic())
        if is_new and own.role == "upstream" and peer.hello.host == claim.host:
            # Entry hosts have no streams to each other.
            self._hub.broadcast(claim, role="entry", availability_zone=own.availability_zone)

    def _handle_progress(self, peer: Peer, progress: DocumentProgress) -> None:
        if progress.prefix not in self._shared_prefixes or progress.host == self._hub.hello.host:
            return
        state = self._states_by_prefix[progress.prefix]
        answered_at = self._clock.monotonic() - progress.age_s
        state.reported_at = max(state.reported_at, answered_at)
        if self._is_outranked(progress):
            state.outranked_at = max(state.outranked_at, answered_at)
        if progress.digest:
            if progress.digest != state.digest:
                self._ask_progress(peer, progress)
                return
        elif self._list_newer(progress.revisions):
            self._fetch(peer, progress.revisions, delay_s=random.uniform(0, ZONE_RELAY_DELAY_S))
            return
        else:
            self._delete_unlisted(peer, progress)
        state.revision = max(state.revision, progress.revision)
        state.has_read = True
        self._pass_on(peer, progress)

    def _ask_progress(self, peer: Peer, progress: DocumentProgress) -> None:
        """Ask for all revisions if the sender may have newer documents."""
        state, now = self._states_by_prefix[progress.prefix], self._clock.monotonic()
        if progress.revision >= state.revision and now - state.asked_at >= PROGRESS_ASK_S:
            state.asked_at = now
            peer.send(DocumentProgressAsk(progress.prefix))

    def _handle_progress_ask(self, peer: Peer, ask: DocumentProgressAsk) -> None:
        state = self._states_by_prefix.get(ask.prefix)
        if state is None or not state.has_read:
            return
        own = self._hub.hello
        age_s = self._clock.monotonic() - max(state.answered_at, state.reported_at)
        peer.send(
            self._make_progress(
                ask.prefix, host=own.host, is_entry=own.role == "entry", age_s=age_s
            )
        )

    def _delete_unlisted(self, peer: Peer, progress: DocumentProgress) -> None:
        """Delete the documents that a report with all revisions no longer has."""
        for key, held in list(self._documents_by_key.items()):
            is_listed = key in progress.revisions or not key.startswith(progress.prefix)
            if not is_listed and held.value is not None and held.revision < progress.revision:
                self.apply(Document(key, progress.revision, None), source=peer.hello.host)

    def _pass_on(self, peer: Peer, progress: DocumentProgress) -> None:
        """Tell the zone what an entry host told: not all have a stream to it.

        Only what comes from that host itself is passed on, so that no report goes in circles.
        """
        state, now = self._states_by_prefix[progress.prefix], self._clock.monotonic()
        is_direct = progress.is_entry and peer.hello.host == progress.host
        if self._hub.hello.role == "entry" or not is_direct or now < state.pass_on_at:
            return
        state.pass_on_at = now + self._choose_passing_period_s()
        self._tell_progress(
            progress.prefix, host=progress.host, is_entry=True, age_s=progress.age_s
        )

    def _choose_passing_period_s(self) -> float:
        """Return the time until progress is passed on again; random, as all hear it at once."""
        zone = self._hub.hello.availability_zone
        passing = 1 + len(self._hub.list_peers(role="upstream", availability_zone=zone))
        share = max(1.0, min(passing, NEAR_ENGINES) / PASSING_PROCESSES)
        return (
            PROGRESS_PERIOD_S * share * random.uniform(0.5, 1.5) if share > 1 else PROGRESS_PERIOD_S
        )

    def _is_left_to_readers(self, key: str) -> bool:
        return any(key.startswith(p) for p in self._shared_prefixes) and not self._is_reader()

    def _is_outranked(self, progress: DocumentProgress) -> bool:
        """Return whether the process that told of its progress goes on if this one follows, too.

        Readers first, then entry hosts, as readers are.
        """
        readers, own = self._find_readers() or frozenset(), self._hub.hello
        other = (progress.host not in readers, not progress.is_entry, host_order_key(progress.host))
        return other < (own.host not in readers, own.role != "entry", host_order_key(own.host))

    def _fetch(self, peer: Peer, revisions: dict[str, int], *, delay_s: float) -> None:
        """Fetch those documents from a peer that are still older after a pause."""
        if self._list_newer(revisions):
            task = asyncio.create_task(self._fetch_later(peer, revisions, delay_s))
            self._fetches.add(task)
            task.add_done_callback(self._fetches.discard)

    async def _fetch_later(self, peer: Peer, revisions: dict[str, int], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        missing = [
            key for key in self._list_newer(revisions) if not self._is_asked(key, revisions[key])
        ]
        if missing and peer.send(DocumentFetch(tuple(missing))):
            now = self._clock.monotonic()
            for key in missing:
                if self._is_left_to_readers(key):
                    self._asked_by_key[key] = (revisions[key], now)

    def _is_asked(self, key: str, revision: int) -> bool:
        """Return whether a shared document was asked for a moment ago."""
        asked, at = self._asked_by_key.get(key, (0, -math.inf))
        return asked >= revision and self._clock.monotonic() - at < FETCH_TIMEOUT_S

    def _list_newer(self, revisions: dict[str, int]) -> list[str]:
        held = self._documents_by_key
        return [
            key
            for key, revision in revisions.items()
            if key not in held or held[key].revision < revision
        ]

    def _handle_fetch(self, peer: Peer, fetch: DocumentFetch) -> None:
        for key in fetch.keys:
            held = self._documents_by_key.get(key)
            if held is not None:
                peer.send(self._make_data(held))

    def _make_data(self, document: Document) -> DocumentData:
        is_deleted = document.value is None
        return DocumentData(document.key, document.revision, self._compress(document), is_deleted)

    def _compress(self, document: Document) -> bytes:
        """Return the compressed value; that of a shared document is kept for the other askers."""
        if document.value is None:
            self._compressed_by_key.pop(document.key, None)
            return b""
        revision, data = self._compressed_by_key.get(document.key, (0, b""))
        if revision == document.revision:
            return data
        data = zlib.compress(document.value)
        if any(document.key.startswith(prefix) for prefix in self._shared_prefixes):
            self._compressed_by_key[document.key] = (document.revision, data)
        return data

    def _handle_data(self, peer: Peer, data: DocumentData) -> None:
        try:
            value = None if data.is_deleted else zlib.decompress(data.value)
        except zlib.error as error:
            _log.warning("document not readable", key=data.key, error=str(error))
            return
        self._asked_by_key.pop(data.key, None)
        if not self.apply(Document(data.key, data.revision, value), source=peer.hello.host):
            return
        if not any(data.key.startswith(prefix) for prefix in self._pushed_prefixes):
            self._hub.broadcast(DocumentAnnounce({data.key: data.revision}))
        elif self._hub.hello.role == "upstream":
            # Entry hosts have no streams to each other, nor the readers to every engine.
            self._push((data.key,))


def _digest(document: Document | None) -> int:
    """Return what a document adds to the digest of its prefix; 0 if it was deleted."""
    if document is None or document.value is None:
        return 0
    text = f"{document.key} {document.revision}".encode()
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")


def _count_superseded(changes: Snapshot) -> int:
    """Return the bytes of values that a later change in the same answer replaced."""
    newest = {document.key: document for document in changes.documents}
    return sum(
        len(document.value or b"")
        for document in changes.documents
        if document is not newest[document.key]
    )
