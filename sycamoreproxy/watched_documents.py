"""Replica of documents in the platform's key-value store, watched and relayed by the processes.

Every document has the store's revision of its last change. A process replaces a document only by
one with a higher revision, so no source can revert it to an older version. All revisions in this
module are positions (``store_position``), which also order the changes of a restored store.

A restored store has lost its newest changes until their writers repeat them. For a while after a
restore, documents that it does not list are kept, and documents that were deleted stay deleted.

Large documents are read from the store by a few processes of each availability zone, the readers,
which relay them to the others. If every process reads a configuration of 285 KB itself, the links
between regions are saturated for four seconds, and everything sent meanwhile is delayed as much.

Bounds are time limits that count from the change of a document.
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
from sycamoreproxy.store_position import split_position
from sycamoreproxy.upstream_subset import MAX_ZONE_ENGINES
from sycamoreproxy.zone_readers import host_order_key

#: Time that one watch call may wait for changes, in seconds; the platform allows 30.
WATCH_WAIT_S = 25.0
#: Pause after changes before the next watch call, in seconds, because each call is billed and
#: changes come in groups. It is a small fraction of the bounds on changes, which are 2 s or more.
COALESCE_S = 0.25
#: The same pause for documents of upstreams, as a fraction of the bound on leaving upstreams. A
#: rollout changes each of these documents twice; without the pause, every process would make one
#: call for each change.
UPSTREAM_COALESCE_FRACTION = 0.3
#: Fraction of the pause after changes of pushed documents that a zone's readers use: they are few,
#: and relaying their documents takes time that counts against the same bound.
READER_COALESCE_FRACTION = 0.3
#: Initial and maximum delay after a failed call, in seconds. Failed calls are billed like others.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
#: Delay before a document with a newer revision is fetched from the peer that announced it, in
#: seconds: in normal operation, the watch of this process receives it within that time.
PEER_FETCH_DELAY_S = 0.3

#: Responses that take longer than the wait of the call by this time are logged as late, in seconds:
#: responses take some milliseconds, and a large document 0.2 s on a link between regions.
SLOW_RESPONSE_S = 0.5
#: Time that a watch call for shared documents may wait, in seconds: each response shows that the
#: store still serves the reader. It is half of the shortest bound on a configuration.
SHARED_WATCH_WAIT_S = 1.0
#: Interval of the progress reports of a zone's reader, in seconds.
PROGRESS_PERIOD_S = 0.4
#: A process watches the store itself if its zone's readers had no response for this time, in
#: seconds. It covers a watch call, the report and its transfer, and is below the bounds on changes
#: (2 s or more).
PROGRESS_TIMEOUT_S = 1.7
#: Interval at which a process checks whether it has become a reader, in seconds.
ROLE_CHECK_PERIOD_S = 0.5
#: Maximum random delay before a process watches the store in place of the readers, in seconds: the
#: first one to do so reports progress like a reader, so that the others need not.
FALLBACK_JITTER_S = 0.3
#: Maximum delay of a change while the readers receive no responses, in seconds: by then the process
#: has called the store itself.
MAX_RELAY_LAG_S = PROGRESS_TIMEOUT_S + FALLBACK_JITTER_S + 0.5
#: Maximum wait for a zone's readers after the start, in seconds: streams to them open within that
#: time.
READERS_TIMEOUT_S = 1.5
#: Maximum random delay before a shared document is fetched within the zone, in seconds: spreads the
#: requests, so that processes that already have the document share the load of sending it.
MAX_LOCAL_FETCH_DELAY_S = 0.2
#: Delay before a shared document is fetched from another zone, in seconds: by then the local
#: readers should have relayed it, so that the link of the zone carries it only twice, once for each
#: reader.
REMOTE_FETCH_DELAY_S = 1.2
#: A fetch of a shared document may be repeated after this time without a reply, in seconds: 36 KB
#: of a configuration to 12 processes take 0.7 s on a link of 4.7 Mbit/s.
FETCH_TIMEOUT_S = 0.8
#: If the values in a response that are superseded by later ones in it exceed this size, the next
#: call reads the prefix in full instead of its history: the store sends every value of its history,
#: and a burst of changes of a large document has many.
MAX_SUPERSEDED_BYTES = 32 * 1024
#: Growth factor of large documents up to which a watch response is accepted; a larger response is
#: taken for a burst of changes.
MAX_GROWTH_FACTOR = 1.25
#: Consecutive failed calls after which a reader reads a shared prefix in full: the history since
#: the last response may exceed the size of one response.
MAX_WATCH_FAILURES = 3

#: Shortest bound on changes with which the caller may pass ``pushed_prefixes``, in seconds:
#: processes that lose their readers read the store themselves after ``PROGRESS_TIMEOUT_S`` and
#: ``FALLBACK_JITTER_S``, and requests that they sent meanwhile are still in transit.
MIN_SHARED_BOUND_S = 2.5
#: Average number of upstream processes that forward progress to an entry host within one report
#: interval. An entry host has streams to up to 12 upstreams of its zone (``MAX_ZONE_ENGINES``), and
#: one report in 1.7 s (``PROGRESS_TIMEOUT_S``) is enough.
FORWARDING_PROCESSES = 3
#: Minimum time between two requests for all revisions, in seconds: documents that were sent
#: together with a report may still be in transit.
PROGRESS_ASK_PERIOD_S = 0.3

#: Maximum time until a change is received once the store is reachable again, in seconds: an
#: unresponsive connection is detected after 3 s, and the delay before the next call is up to 1 s.
INTERRUPTION_LAG_S = 4.0

#: Time after a restore of the store in which writers repeat what it has lost, in seconds.
RESTORE_SETTLE_S = 2.5
#: First protocol version whose processes know the revisions of a restored store.
RESTORE_MIN_PROTOCOL = 4

#: Maximum number of deleted documents that are remembered: one day of restarts of all runners at
#: the target size.
MAX_TOMBSTONES = 2_000

_log = get_logger("watched_documents")


Listener = Callable[[Document], None]


@dataclass(slots=True)
class _PrefixState:
    """State of one prefix.

    :param revision: the store's revision up to which the documents are complete; 0 before the
        first read and after a loss of history.
    :param own_response_at: monotonic time of the store's last response to this process.
    :param has_read: whether the documents were read since the start of the process.
    :param is_connected: whether this process watches the prefix and its last call succeeded.
    :param has_response: whether the store has ever responded to this process.
    :param failures: consecutive failed calls.
    :param lag_s: maximum age of the changes that are being applied, in seconds.
    :param response_gap_s: time from the store's previous response to this process or to a reader
        until the response that is being applied, in seconds; 0 if this process watches without
        interruption.
    :param is_applying: whether a response of the store is being applied.
    :param last_data_at: monotonic time at which this process last received a part of a response.
    :param zone_response_at: monotonic time of the store's last response to another process of the
        zone.
    :param outranking_response_at: the same, only for processes that take precedence over this one:
        they continue to watch if both do.
    :param next_forward_at: monotonic time from which the next progress report is forwarded.
    :param last_ask_at: monotonic time of the last request for all revisions.
    :param is_watching: whether this process watches a shared prefix in the store.
    :param claims: announcements (``DocumentClaim``) of other processes that have begun to watch the
        prefix.
    :param digest: digest of the keys and revisions of all documents that are not deleted.
    :param era: era of the store's newest response to this process or to a reader.
    :param settled_at: monotonic time from which the restored store is read in full once more;
        infinite if it need not be.
    :param deferral_s: time for which deletions that are being applied were deferred, in seconds.
    """

    revision: int = 0
    own_response_at: float = 0.0
    has_read: bool = False
    is_connected: bool = False
    has_response: bool = False
    failures: int = field(default=0)
    lag_s: float = 0.0
    response_gap_s: float = 0.0
    is_applying: bool = False
    last_data_at: float = -math.inf
    zone_response_at: float = -math.inf
    outranking_response_at: float = -math.inf
    next_forward_at: float = -math.inf
    last_ask_at: float = -math.inf
    is_watching: bool = False
    claims: ReadClaims = field(default_factory=ReadClaims)
    digest: int = 0
    era: int = 0
    settled_at: float = math.inf
    deferral_s: float = 0.0


class DocumentReplica:
    """Holds the newest known versions of the documents below some prefixes.

    :param prefixes: prefixes of all documents. One may begin with another: both are watched, and the
        longer one determines how its documents are relayed.
    :param pause_s: returns the pause after changes below a prefix, in seconds.
    :param shared_prefixes: prefixes that a few readers of each availability zone watch for the
        other processes.
    :param pushed_prefixes: further shared prefixes, whose documents are small: they are sent to
        peers without a request, and every process reads them when it starts.
    :param find_readers: returns the hosts of the local zone's readers: empty if it has none, None
        while none are known.
    :param stall_lag_s: returns the time for which received data may have waited because this
        process was stalled, in seconds.
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
        #: Prefixes of large documents, which are announced and fetched, not pushed.
        self._large_prefixes = shared_prefixes
        #: All shared prefixes, including the pushed ones.
        self._shared_prefixes = (*shared_prefixes, *pushed_prefixes)
        self._pushed_prefixes = pushed_prefixes
        self._find_readers = find_readers
        #: Revision and time of the last unanswered fetch of each shared document.
        self._pending_fetches_by_key: dict[str, tuple[int, float]] = {}
        self._compressed_by_key: dict[str, tuple[int, bytes]] = {}
        self._source = source
        self._hub = hub
        self._clock = clock
        self._documents_by_key: dict[str, Document] = {}
        self._states_by_prefix = {prefix: _PrefixState() for prefix in prefixes}
        self._era = 0
        #: Tasks that wait for changes, and the prefixes whose tasks were interrupted.
        self._waiting_tasks_by_prefix: dict[str, asyncio.Task[None]] = {}
        self._interrupted_prefixes: set[str] = set()
        self._listeners: list[Listener] = []
        self._tombstones: deque[str] = deque()
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        hub.on(DocumentAnnounce, self._handle_announce)
        hub.on(DocumentFetch, self._handle_fetch)
        hub.on(DocumentData, self._handle_data)
        hub.on(DocumentClaim, self._handle_claim)
        hub.on(DocumentProgress, self._handle_progress)
        hub.on(DocumentProgressAsk, self._handle_progress_ask)
        hub.on_open(self._handle_open)

    # Queries

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Prefixes of all documents."""
        return tuple(self._states_by_prefix)

    def get(self, key: str) -> Document | None:
        """Return a document, or None if it is not known; a deleted document has the value None."""
        return self._documents_by_key.get(key)

    @property
    def is_connected(self) -> bool:
        """Whether the store responded to the last call for every prefix."""
        return all(state.is_connected for state in self._states_by_prefix.values())

    def has_read(self, key: str) -> bool:
        """Return whether a key's prefix was read since the start of the process.

        Until then its documents may be outdated.
        """
        prefix = self._find_prefix(key)
        return prefix is None or self._states_by_prefix[prefix].has_read

    def _find_prefix(self, key: str) -> str | None:
        """Return the longest prefix of a key, which a process watches for it, or None."""
        return max(
            (prefix for prefix in self._states_by_prefix if key.startswith(prefix)),
            key=len,
            default=None,
        )

    def find_lag_s(self, key: str) -> float:
        """Return the maximum age of a change that is received now, in seconds.

        It is 0 while the store responds without interruption. Bounds start earlier by this age;
        otherwise they would end too late by the time in which this process could not receive the
        change.
        """
        lag_s = 0.0
        if (prefix := self._find_prefix(key)) is not None:
            state = self._states_by_prefix[prefix]
            lag_s = state.lag_s if state.is_connected else self._find_interruption_s(state)
        return max(lag_s, self._stall_lag_s(), 0.0)

    def find_relay_lag_s(self, key: str) -> float:
        """Return the maximum age of a change that was deferred or not relayed, in seconds.

        The zone's readers relay pushed documents. It is 0 for others unless they were deferred, while
        this process watches them itself without interruption, and after ``MAX_RELAY_LAG_S``: by then
        it has called the store, which did not respond.
        """
        prefix = self._find_prefix(key)
        if prefix is None:
            return 0.0
        state = self._states_by_prefix[prefix]
        if prefix not in self._pushed_prefixes or state.deferral_s:
            return state.deferral_s
        response_gap_s = (
            state.response_gap_s if state.is_applying else self._find_response_gap_s(state)
        )
        return response_gap_s if response_gap_s < MAX_RELAY_LAG_S else 0.0

    def _find_response_gap_s(self, state: _PrefixState) -> float:
        """Return the time since the store responded to this process or to its zone's readers."""
        return self._clock.monotonic() - max(state.own_response_at, state.zone_response_at)

    def _find_interruption_s(self, state: _PrefixState) -> float:
        return min(INTERRUPTION_LAG_S, self._clock.monotonic() - state.own_response_at)

    def is_relayed(self, prefix: str) -> bool:
        """Return whether another process of the zone watches a prefix on behalf of this one."""
        if prefix not in self._shared_prefixes or self._is_reader():
            return False
        state = self._states_by_prefix[prefix]
        response_at = state.outranking_response_at if state.is_watching else state.zone_response_at
        return self._clock.monotonic() - response_at < PROGRESS_TIMEOUT_S

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        now = self._clock.monotonic()
        return {
            "documents": len(self._documents_by_key),
            "prefixes": {
                prefix: {
                    "era": state.era,
                    "revision": split_position(state.revision)[1],
                    "connected": state.is_connected,
                    "relayed": self.is_relayed(prefix),
                    "answered_s_ago": round(now - state.own_response_at, 3),
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
        """Store a document if it is newer than the known version.

        :param source: origin of the document, for the log.
        :returns: whether it was newer.
        """
        known = self._documents_by_key.get(document.key)
        if known is not None and known.revision >= document.revision:
            return False
        self._documents_by_key[document.key] = document
        self._update_digest(known, document)
        if document.value is None:
            self._add_tombstone(document.key)
        # Changes of large documents are rare, and the source shows from where a late copy came.
        log = _log.info if self._is_large(document.key) else _log.debug
        era, revision = split_position(document.revision)
        log("document changed", key=document.key, revision=revision, era=era, source=source)
        for listener in self._listeners:
            try:
                listener(document)
            except Exception:
                # An invalid document must not prevent the others from being applied.
                _log.exception("document listener failed", key=document.key)
        return True

    def _is_large(self, key: str) -> bool:
        return self._find_prefix(key) in self._large_prefixes

    def _update_digest(self, before: Document | None, document: Document) -> None:
        for prefix in self._pushed_prefixes:
            if document.key.startswith(prefix):
                state = self._states_by_prefix[prefix]
                state.digest ^= _hash_document(before) ^ _hash_document(document)

    def _add_tombstone(self, key: str) -> None:
        """Remember a deletion, so that no peer restores the document; the number is limited."""
        self._tombstones.append(key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = self._tombstones.popleft()
            known = self._documents_by_key.get(oldest)
            if known is not None and known.value is None and oldest not in self._tombstones:
                del self._documents_by_key[oldest]

    async def follow(self, prefix: str) -> None:
        """Keep the documents below a prefix up to date until cancelled.

        Unlike :meth:`watch`, this leaves a shared prefix to the zone's readers while the store
        responds to them.
        """
        if prefix not in self._shared_prefixes:
            await self.watch(prefix)
            return
        if prefix in self._pushed_prefixes:
            # Streams to the readers open only after the engines are known.
            await self._read_initial(prefix)
        await self._await_readers(prefix)
        while True:
            await self._await_relay_loss(prefix)
            await self._watch_for_zone(prefix)

    async def _read_initial(self, prefix: str) -> None:
        """Read the documents below a prefix once."""
        delay_s = RETRY_MIN_S
        while True:
            try:
                self._apply_full_read(prefix, await self._source.read_all(prefix))
                self._states_by_prefix[prefix].is_connected = False
                return
            except SourceUnavailableError as error:
                _log.warning("store lost", prefix=prefix, error=str(error))
                await asyncio.sleep(delay_s * (0.5 + random.random()))
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    async def _await_relay_loss(self, prefix: str) -> None:
        """Wait until no other process of the zone watches a shared prefix; readers do not wait."""
        while not self._is_reader():
            if self.is_relayed(prefix):
                age_s = self._clock.monotonic() - self._states_by_prefix[prefix].zone_response_at
                left_s = min(ROLE_CHECK_PERIOD_S, PROGRESS_TIMEOUT_S - age_s)
                await asyncio.sleep(max(RETRY_MIN_S, left_s))
                continue
            await asyncio.sleep(random.uniform(0, FALLBACK_JITTER_S))
            claims = self._states_by_prefix[prefix].claims
            if not self.is_relayed(prefix) and not claims.has_enough_readers(
                self._clock.monotonic()
            ):
                return

    async def _watch_for_zone(self, prefix: str) -> None:
        """Watch a shared prefix in the store and report progress until another process does."""
        state = self._states_by_prefix[prefix]
        _log.info(
            "following the store for the zone",
            prefix=prefix,
            is_reader=self._is_reader(),
            peers=len(self._hub.peers),
            silent_s=round(self._find_response_gap_s(state), 3) if state.has_read else None,
        )
        if prefix in self._large_prefixes:
            self._broadcast(
                DocumentClaim(prefix, self._hub.hello.host),
                availability_zone=self._hub.hello.availability_zone,
            )
        watch_task = asyncio.create_task(self.watch(prefix))
        state.is_watching = True
        try:
            while not self.is_relayed(prefix):
                self._report_progress(prefix)
                await asyncio.wait({watch_task}, timeout=PROGRESS_PERIOD_S)
                if watch_task.done():
                    watch_task.result()
            _log.info(
                "left the store to another process",
                prefix=prefix,
                revision=split_position(state.revision)[1],
            )
        finally:
            state.is_watching = False
            state.is_connected = False
            watch_task.cancel()

    async def _await_readers(self, prefix: str) -> None:
        """Wait until a reader of the zone has reported, or no readers need to be waited for."""
        until = self._clock.monotonic() + READERS_TIMEOUT_S
        while self._clock.monotonic() < until and not self.is_relayed(prefix):
            readers = self._find_readers()
            if readers is not None and (not readers or self._is_reader()):
                return
            await asyncio.sleep(RETRY_MIN_S)

    def _is_reader(self) -> bool:
        return self._hub.hello.host in (self._find_readers() or frozenset())

    def _report_progress(self, prefix: str) -> None:
        """Report to the processes of the local zone up to which revision this one has watched."""
        state = self._states_by_prefix[prefix]
        response_at = state.own_response_at
        if prefix in self._large_prefixes:
            # For large documents, partial responses count, too. For small ones only complete
            # responses do, because the bound on their changes counts from those.
            response_at = max(response_at, state.last_data_at)
        age_s = self._clock.monotonic() - response_at
        if not state.has_response or not state.revision or age_s >= PROGRESS_TIMEOUT_S:
            return
        own = self._hub.hello
        self._broadcast_progress(prefix, host=own.host, is_entry=own.role == "entry", age_s=age_s)

    def _broadcast_progress(self, prefix: str, *, host: str, is_entry: bool, age_s: float) -> None:
        digest = self._states_by_prefix[prefix].digest if prefix in self._pushed_prefixes else 0
        self._broadcast(
            self._make_progress(prefix, host=host, is_entry=is_entry, age_s=age_s, digest=digest),
            availability_zone=self._hub.hello.availability_zone,
        )

    def _make_progress(
        self, prefix: str, *, host: str, is_entry: bool, age_s: float, digest: int = 0
    ) -> DocumentProgress:
        """Return a progress report with all revisions, or with their digest instead."""
        known = () if digest else self._documents_by_key.items()
        revisions = {key: item.revision for key, item in known if key.startswith(prefix)}
        revision = self._states_by_prefix[prefix].revision
        return DocumentProgress(prefix, host, is_entry, revision, revisions, age_s, digest)

    async def watch(self, prefix: str) -> None:
        """Watch the documents below a prefix in the store until cancelled."""
        state = self._states_by_prefix[prefix]
        delay_s = RETRY_MIN_S
        # Whether changes come in a burst, of which only the newest values are read.
        is_burst = False

        def record_data() -> None:
            state.last_data_at = self._clock.monotonic()

        while True:
            try:
                wait_s = self._find_wait_s(prefix) if state.revision else 0.0
                started_at = self._clock.monotonic()
                is_settled = started_at >= state.settled_at
                if state.revision == 0 or is_burst or is_settled:
                    snapshot = await self._source.read_all(prefix, on_part=record_data)
                    self._log_slow_response(prefix, self._clock.monotonic() - started_at, 0.0)
                    if is_settled:
                        state.settled_at, state.deferral_s = math.inf, RESTORE_SETTLE_S
                    has_changed = self._apply_full_read(prefix, snapshot)
                    state.deferral_s = 0.0
                    if is_burst and has_changed:
                        await asyncio.sleep(self._find_pause_s(prefix))
                    is_burst = False
                else:
                    changes = await self._wait_changes(prefix, wait_s=wait_s, on_part=record_data)
                    self._log_slow_response(prefix, self._clock.monotonic() - started_at, wait_s)
                    self._apply_changes(prefix, changes)
                    if changes.documents:
                        await asyncio.sleep(self._find_pause_s(prefix))
                    is_burst = _count_superseded(changes) > MAX_SUPERSEDED_BYTES
                delay_s = RETRY_MIN_S
                continue
            except ChangesTooLargeError:
                is_burst = True
            except HistoryLostError:
                era, revision = split_position(state.revision)
                _log.info("history lost", prefix=prefix, after=revision, era=era)
                state.revision = 0
            except SourceUnavailableError as error:
                state.failures += 1
                if state.is_connected or state.failures == 1:
                    _log.warning("store lost", prefix=prefix, error=str(error))
                state.is_connected = False
                is_shared = prefix in self._shared_prefixes
                if is_shared and state.failures >= MAX_WATCH_FAILURES and self._is_reader():
                    state.revision = 0
                # Jitter, because the store becomes unreachable for many processes at once.
                await asyncio.sleep(delay_s * (0.5 + random.random()))
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    async def _wait_changes(
        self, prefix: str, *, wait_s: float, on_part: Callable[[], None]
    ) -> Snapshot:
        """Return the next changes below a prefix.

        :raises HistoryLostError: also if the store turns out to be restored during the wait.
        """
        task = asyncio.current_task()
        assert task is not None
        self._waiting_tasks_by_prefix[prefix] = task
        try:
            return await self._source.wait_changes(
                prefix,
                after=self._states_by_prefix[prefix].revision,
                wait_s=wait_s,
                max_bytes=self._find_max_bytes(prefix),
                on_part=on_part,
            )
        except asyncio.CancelledError:
            if prefix not in self._interrupted_prefixes or task.uncancel():
                raise
            raise HistoryLostError from None
        finally:
            self._interrupted_prefixes.discard(prefix)
            self._waiting_tasks_by_prefix.pop(prefix, None)

    def _record_era(self, prefix: str, revision: int) -> None:
        """Prepare for the reads of a restored store if a revision is of a later era.

        The other prefixes are read in full as well: their watches wait for revisions that the store
        gives out again.
        """
        state, era = self._states_by_prefix[prefix], split_position(revision)[0]
        if era > state.era:
            state.era = era
            if state.has_read:
                state.settled_at = self._clock.monotonic() + RESTORE_SETTLE_S
                _log.info("store restored", prefix=prefix, era=era)
        if era > self._era:
            self._era = era
            for other, task in self._waiting_tasks_by_prefix.items():
                if split_position(self._states_by_prefix[other].revision)[0] < era:
                    self._interrupted_prefixes.add(other)
                    task.cancel()

    def _broadcast(self, message: object, *, availability_zone: str | None = None) -> None:
        """Send a message to all peers that can read it."""
        self._hub.broadcast(
            message,
            availability_zone=availability_zone,
            min_protocol=RESTORE_MIN_PROTOCOL if self._era else 0,
        )

    def _can_read_revisions(self, peer: Peer) -> bool:
        return not self._era or peer.hello.protocol >= RESTORE_MIN_PROTOCOL

    def _log_slow_response(self, prefix: str, duration_s: float, wait_s: float) -> None:
        if duration_s > wait_s + SLOW_RESPONSE_S:
            _log.warning(
                "store answered late",
                prefix=prefix,
                duration_ms=round(duration_s * 1000),
                wait_ms=round(wait_s * 1000),
            )

    def _find_pause_s(self, prefix: str) -> float:
        is_pushing = prefix in self._pushed_prefixes and self._is_reader()
        return self._pause_s(prefix) * (READER_COALESCE_FRACTION if is_pushing else 1.0)

    def _find_max_bytes(self, prefix: str) -> int | None:
        """Return the size limit of a watch response: less than two values of a large document."""
        if prefix not in self._large_prefixes:
            return None
        known = (item for key, item in self._documents_by_key.items() if key.startswith(prefix))
        return (
            int(MAX_GROWTH_FACTOR * sum(len(item.value or b"") for item in known))
            + MAX_SUPERSEDED_BYTES
        )

    def _find_wait_s(self, prefix: str) -> float:
        state = self._states_by_prefix[prefix]
        if not state.is_connected:
            # The store may have been restored meanwhile, which only a response shows. Other processes
            # rely on this one for a shared prefix only after a response, too.
            return 0.0
        wait_s = SHARED_WATCH_WAIT_S if prefix in self._shared_prefixes else WATCH_WAIT_S
        return max(0.0, min(wait_s, state.settled_at - self._clock.monotonic()))

    # Responses of the store

    def _apply_full_read(self, prefix: str, snapshot: Snapshot) -> bool:
        """Apply a read of all documents below a prefix; return whether any has changed."""
        self._record_era(prefix, snapshot.revision)
        if self._states_by_prefix[prefix].settled_at < math.inf:
            documents = tuple(d for d in snapshot.documents if not self._is_deletion_lost(d))
            return self._apply_changes(prefix, Snapshot(documents, snapshot.revision))
        listed = {document.key for document in snapshot.documents}
        deleted = [
            Document(key, snapshot.revision, None)
            for key, known in self._documents_by_key.items()
            if key.startswith(prefix) and key not in listed and known.value is not None
        ]
        documents = (*snapshot.documents, *deleted)
        return self._apply_changes(prefix, Snapshot(documents, snapshot.revision))

    def _is_deletion_lost(self, document: Document) -> bool:
        """Return whether a document was deleted in an earlier era, and the deletion may be lost."""
        known = self._documents_by_key.get(document.key)
        return (
            known is not None
            and known.value is None
            and split_position(known.revision)[0] < split_position(document.revision)[0]
        )

    def _apply_changes(self, prefix: str, snapshot: Snapshot) -> bool:
        state = self._states_by_prefix[prefix]
        if not state.is_connected:
            _log.info(
                "store connected",
                prefix=prefix,
                revision=split_position(snapshot.revision)[1],
                era=split_position(snapshot.revision)[0],
                failures=state.failures,
            )
        state.lag_s = 0.0 if state.is_connected else self._find_interruption_s(state)
        state.response_gap_s = 0.0 if state.is_connected else self._find_response_gap_s(state)
        # Listeners may call find_lag_s and find_relay_lag_s while the changes are applied.
        state.is_applying = True
        state.is_connected = True
        state.has_response = True
        state.failures = 0
        state.own_response_at = self._clock.monotonic()
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
            self._announce_to_other_zones(changed)
        else:
            self._broadcast(DocumentAnnounce(changed))
        if prefix in self._shared_prefixes:
            self._report_progress(prefix)
        return True

    def _push(self, keys: Iterable[str]) -> None:
        """Send documents to all peers of the local zone."""
        for key in keys:
            self._broadcast(
                self._make_data(self._documents_by_key[key]),
                availability_zone=self._hub.hello.availability_zone,
            )

    def _announce_to_other_zones(self, revisions: dict[str, int]) -> None:
        """Announce documents to other zones, in case the store is unreachable there."""
        announce = DocumentAnnounce(revisions)
        for peer in self._hub.peers:
            is_local = peer.hello.availability_zone == self._hub.hello.availability_zone
            if not is_local and self._can_read_revisions(peer):
                peer.send(announce)

    # Messages

    def _handle_open(self, peer: Peer) -> None:
        if self._documents_by_key and self._can_read_revisions(peer):
            peer.send(
                DocumentAnnounce(
                    {key: known.revision for key, known in self._documents_by_key.items()}
                )
            )

    def _handle_announce(self, peer: Peer, announce: DocumentAnnounce) -> None:
        shared = {key: r for key, r in announce.revisions.items() if self._depends_on_readers(key)}
        others = {key: r for key, r in announce.revisions.items() if key not in shared}
        self._fetch(peer, others, delay_s=PEER_FETCH_DELAY_S)
        is_local = peer.hello.availability_zone == self._hub.hello.availability_zone
        local_delay_s = random.uniform(0, MAX_LOCAL_FETCH_DELAY_S)
        self._fetch(peer, shared, delay_s=local_delay_s if is_local else REMOTE_FETCH_DELAY_S)

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
        if split_position(progress.revision)[0] < state.era:
            # That process has not noticed the restore of the store yet.
            return
        self._record_era(progress.prefix, progress.revision)
        response_at = self._clock.monotonic() - progress.age_s
        state.zone_response_at = max(state.zone_response_at, response_at)
        if self._is_outranked(progress):
            state.outranking_response_at = max(state.outranking_response_at, response_at)
        if progress.digest:
            if progress.digest != state.digest:
                self._ask_for_all_revisions(peer, progress)
                return
        elif self._list_newer(progress.revisions):
            self._fetch(
                peer, progress.revisions, delay_s=random.uniform(0, MAX_LOCAL_FETCH_DELAY_S)
            )
            return
        else:
            self._delete_unlisted(peer, progress)
        state.revision = max(state.revision, progress.revision)
        state.has_read = True
        self._forward_progress(peer, progress)

    def _ask_for_all_revisions(self, peer: Peer, progress: DocumentProgress) -> None:
        """Request all revisions if the sender may have newer documents."""
        state, now = self._states_by_prefix[progress.prefix], self._clock.monotonic()
        if progress.revision >= state.revision and now - state.last_ask_at >= PROGRESS_ASK_PERIOD_S:
            state.last_ask_at = now
            peer.send(DocumentProgressAsk(progress.prefix))

    def _handle_progress_ask(self, peer: Peer, ask: DocumentProgressAsk) -> None:
        state = self._states_by_prefix.get(ask.prefix)
        if state is None or not state.has_read or not self._can_read_revisions(peer):
            return
        own = self._hub.hello
        age_s = self._clock.monotonic() - max(state.own_response_at, state.zone_response_at)
        peer.send(
            self._make_progress(
                ask.prefix, host=own.host, is_entry=own.role == "entry", age_s=age_s
            )
        )

    def _delete_unlisted(self, peer: Peer, progress: DocumentProgress) -> None:
        """Delete the documents that are missing from a report with all revisions."""
        for key, known in list(self._documents_by_key.items()):
            is_listed = key in progress.revisions or not key.startswith(progress.prefix)
            if not is_listed and known.value is not None and known.revision < progress.revision:
                self.apply(Document(key, progress.revision, None), source=peer.hello.host)

    def _forward_progress(self, peer: Peer, progress: DocumentProgress) -> None:
        """Forward the report of an entry host in the zone, because not all have a stream to it.

        Only reports that come directly from that host are forwarded, so that none circulates.
        """
        state, now = self._states_by_prefix[progress.prefix], self._clock.monotonic()
        is_direct = progress.is_entry and peer.hello.host == progress.host
        if self._hub.hello.role == "entry" or not is_direct or now < state.next_forward_at:
            return
        state.next_forward_at = now + self._choose_forwarding_period_s()
        self._broadcast_progress(
            progress.prefix, host=progress.host, is_entry=True, age_s=progress.age_s
        )

    def _choose_forwarding_period_s(self) -> float:
        """Return the time until progress is forwarded again.

        It is random, because all forwarding processes receive a report at the same time.
        """
        zone = self._hub.hello.availability_zone
        forwarders = 1 + len(self._hub.list_peers(role="upstream", availability_zone=zone))
        # An entry host has streams to at most MAX_ZONE_ENGINES of the forwarding processes.
        period_factor = max(1.0, min(forwarders, MAX_ZONE_ENGINES) / FORWARDING_PROCESSES)
        return (
            PROGRESS_PERIOD_S * period_factor * random.uniform(0.5, 1.5)
            if period_factor > 1
            else PROGRESS_PERIOD_S
        )

    def _depends_on_readers(self, key: str) -> bool:
        return self._find_prefix(key) in self._shared_prefixes and not self._is_reader()

    def _is_outranked(self, progress: DocumentProgress) -> bool:
        """Return whether the reporting process continues to watch if this one watches, too.

        Readers take precedence, then other entry hosts, because readers are entry hosts, too.
        """
        readers, own = self._find_readers() or frozenset(), self._hub.hello
        other = (progress.host not in readers, not progress.is_entry, host_order_key(progress.host))
        return other < (own.host not in readers, own.role != "entry", host_order_key(own.host))

    def _fetch(self, peer: Peer, revisions: dict[str, int], *, delay_s: float) -> None:
        """Fetch the documents from a peer that are still outdated here after a delay."""
        if self._list_newer(revisions):
            task = asyncio.create_task(self._fetch_after_delay(peer, revisions, delay_s))
            self._fetch_tasks.add(task)
            task.add_done_callback(self._fetch_tasks.discard)

    async def _fetch_after_delay(
        self, peer: Peer, revisions: dict[str, int], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        missing = [
            key
            for key in self._list_newer(revisions)
            if not self._is_fetch_pending(key, revisions[key])
        ]
        if missing and peer.send(DocumentFetch(tuple(missing))):
            now = self._clock.monotonic()
            for key in missing:
                if self._depends_on_readers(key):
                    self._pending_fetches_by_key[key] = (revisions[key], now)

    def _is_fetch_pending(self, key: str, revision: int) -> bool:
        """Return whether a fetch of this revision of a shared document was sent recently."""
        requested, sent_at = self._pending_fetches_by_key.get(key, (0, -math.inf))
        return requested >= revision and self._clock.monotonic() - sent_at < FETCH_TIMEOUT_S

    def _list_newer(self, revisions: dict[str, int]) -> list[str]:
        known = self._documents_by_key
        return [
            key
            for key, revision in revisions.items()
            if key not in known or known[key].revision < revision
        ]

    def _handle_fetch(self, peer: Peer, fetch: DocumentFetch) -> None:
        found = [self._documents_by_key[key] for key in fetch.keys if key in self._documents_by_key]
        # Small documents do not wait behind a configuration, which is used only with the evacuations.
        for document in sorted(found, key=lambda document: len(document.value or b"")):
            if self._can_read_revisions(peer):
                peer.send(self._make_data(document))

    def _make_data(self, document: Document) -> DocumentData:
        is_deleted = document.value is None
        return DocumentData(document.key, document.revision, self._compress(document), is_deleted)

    def _compress(self, document: Document) -> bytes:
        """Return the compressed value; for a shared document it is cached for further requests."""
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
            _log.warning(
                "document from peer could not be decompressed", key=data.key, error=str(error)
            )
            return
        self._pending_fetches_by_key.pop(data.key, None)
        if not self.apply(Document(data.key, data.revision, value), source=peer.hello.host):
            return
        if not any(data.key.startswith(prefix) for prefix in self._pushed_prefixes):
            self._broadcast(DocumentAnnounce({data.key: data.revision}))
        elif self._hub.hello.role == "upstream":
            # Entry hosts have no streams to each other, and readers have none to some engines.
            self._push((data.key,))


def _hash_document(document: Document | None) -> int:
    """Return the contribution of a document to the digest of its prefix; 0 if it was deleted."""
    if document is None or document.value is None:
        return 0
    text = f"{document.key} {document.revision}".encode()
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")


def _count_superseded(changes: Snapshot) -> int:
    """Return the total size of values superseded by a later change in the same response."""
    newest = {document.key: document for document in changes.documents}
    return sum(
        len(document.value or b"")
        for document in changes.documents
        if document is not newest[document.key]
    )
