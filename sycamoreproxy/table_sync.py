"""The active table of one process and its replication between processes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Protocol

from sycamoreproxy.clock import Clock, SystemClock
from sycamoreproxy.invariants import InvariantViolationError, check_invariant
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import (
    MAX_FRAME_BYTES,
    PeerStatus,
    Status,
    TableAnnounce,
    TableFetch,
    TablePages,
)
from sycamoreproxy.metrics import TABLE_REVISION
from sycamoreproxy.store import Entry, Store, StoreAnswerLostError, StoreUnavailableError
from sycamoreproxy.table import (
    Root,
    Snapshot,
    TableError,
    build_snapshot,
    decode_text,
    text_digest,
)
from sycamoreproxy.table_commands import load_snapshot
from sycamoreproxy.table_queries import TableKeys, TableView

#: Interval in seconds at which a watcher also reads the root, because a watch can stop delivering
#: changes without an error.
POLL_PERIOD_S = 2.0
#: Attempts to load a table from the store while newer revisions replace it.
MAX_LOAD_ATTEMPTS = 10
#: Bounds in seconds of the backoff of the watcher and of the initial read while the store does not
#: answer.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0
#: Time in seconds without progress after which a fetch is abandoned and another peer is asked.
FETCH_TIMEOUT_S = 1.0
#: Maximum bytes of pages in one message. The remaining pages are requested with another fetch,
#: which lists the pages received so far as held.
MAX_PAGES_BYTES = MAX_FRAME_BYTES - 400_000

_log = get_logger("table_sync")


class TablePeer(Protocol):
    """The part of :class:`sycamoreproxy.peers.Peer` that the replica uses."""

    @property
    def is_closed(self) -> bool:
        """Whether the stream is closed."""

    def send(self, message: object) -> bool:
        """Queue a message; return False if the stream is lost."""


class TableHub(Protocol):
    """The part of :class:`sycamoreproxy.peers.PeerHub` that the replica uses."""

    @property
    def peers(self) -> frozenset[TablePeer]:
        """All open peers."""

    def on(self, message_type: type, handler: Callable[..., None]) -> None:
        """Call ``handler(peer, message)`` for each message of a type."""

    def on_open(self, listener: Callable[..., None]) -> None:
        """Call ``listener(peer)`` for each new stream."""

    def on_close(self, listener: Callable[..., None]) -> None:
        """Call ``listener(peer)`` for each closed stream."""


class _Fetch:
    """A fetch in progress from one peer."""

    __slots__ = ("deadline", "pages_by_digest", "peer", "revision")

    def __init__(self, *, peer: TablePeer, revision: int, deadline: float) -> None:
        self.peer = peer
        self.revision = revision
        self.deadline = deadline
        self.pages_by_digest: dict[str, str] = {}


class TableReplica:
    """Holds the newest known table and announces each new revision to its peers.

    :param hub: message streams to other processes.
    :param store: the configuration store.
    :param prefix: key prefix of the deployment in the store.
    """

    def __init__(
        self, *, hub: TableHub, store: Store, prefix: str, clock: Clock | None = None
    ) -> None:
        self._hub = hub
        self._store = store
        self._keys = TableKeys(prefix)
        self._clock = clock or SystemClock()
        self._view = TableView()
        self._listeners: list[Callable[[TableView], None]] = []
        self._fetch: _Fetch | None = None
        self._revisions_by_peer: dict[TablePeer, int] = {}
        self._reported_mismatch: tuple[int, str] = (0, "")
        self._ready = asyncio.Event()
        self._initial_read_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        hub.on(TableAnnounce, self._on_announce)
        hub.on(TableFetch, self._on_fetch)
        hub.on(TablePages, self._on_pages)
        hub.on(Status, self._on_status)
        hub.on(PeerStatus, self._on_status)
        hub.on_open(self._on_open)
        hub.on_close(self._on_close)

    @property
    def view(self) -> TableView:
        """The active table; revision 0 is the empty table."""
        return self._view

    @property
    def is_ready(self) -> bool:
        """Whether the store or a peer has provided the table, or the store holds none."""
        return self._ready.is_set()

    @property
    def is_watching(self) -> bool:
        """Whether this process watches the store."""
        return self._watch_task is not None

    def subscribe(self, listener: Callable[[TableView], None]) -> None:
        """Call ``listener(view)`` after each change of the active table."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start reading the table from the store, until the store or a peer has provided it."""
        if self._initial_read_task is None:
            self._initial_read_task = asyncio.create_task(self._run_initial_read())

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait until the replica is ready.

        :param timeout_s: maximum wait in seconds.
        :returns: whether it is ready.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ready.wait(), timeout_s)
        return self.is_ready

    def set_watching(self, watching: bool) -> None:
        """Start or stop watching the store; other processes learn of changes from their peers."""
        if watching and self._watch_task is None:
            self._watch_task = asyncio.create_task(self._watch())
        elif not watching and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    async def close(self) -> None:
        """Cancel the initial read and the watch of the store."""
        tasks = [task for task in (self._initial_read_task, self._watch_task) if task is not None]
        self._initial_read_task = self._watch_task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def refresh(self) -> None:
        """Read the root from the store and adopt its table if it is newer.

        :raises StoreUnavailableError: if the store does not answer, or if the table is replaced
            during each of ``MAX_LOAD_ATTEMPTS`` loads.
        :raises StoreAnswerLostError: if the store does not answer.
        """
        await self._load(await self._store.get(self._keys.root))

    def adopt(self, snapshot: Snapshot, *, source: TablePeer | None = None) -> bool:
        """Activate a table if it is newer, and announce it to every peer except its source.

        :param source: the peer that sent the table.
        :returns: whether it was newer.
        """
        old = self._view
        if snapshot.root.revision <= old.revision:
            self._check_digest(snapshot.root.revision, snapshot.digest)
            return False
        view = TableView(snapshot)
        check_invariant(
            "table_revision_rises",
            view.revision > old.revision,
            old=old.revision,
            new=view.revision,
        )
        self._view = view
        self._ready.set()
        TABLE_REVISION.set({}, view.revision)
        _log.info("table in force", revision=view.revision, digest=view.digest[:12])
        announce = TableAnnounce(view.revision, view.digest)
        for peer in self._hub.peers:
            if peer is not source:
                peer.send(announce)
        for listener in self._listeners:
            try:
                listener(view)
            except Exception:
                # A listener that fails must not keep the table from the other listeners.
                _log.exception("table listener failed", revision=view.revision)
        return True

    def _check_digest(self, revision: int, digest: str) -> None:
        """Check that a revision has only one digest.

        Consecutive reports of the same mismatch count as one violation.
        """
        view = self._view
        if revision != view.revision or digest == view.digest:
            return
        if self._reported_mismatch == (revision, digest):
            return
        self._reported_mismatch = (revision, digest)
        with contextlib.suppress(InvariantViolationError):
            check_invariant(
                "table_revision_has_one_digest",
                False,
                revision=revision,
                held=view.digest,
                seen=digest,
            )

    # Peers

    def _on_open(self, peer: TablePeer) -> None:
        if self._view.revision:
            peer.send(TableAnnounce(self._view.revision, self._view.digest))

    def _on_close(self, peer: TablePeer) -> None:
        self._revisions_by_peer.pop(peer, None)
        if self._fetch is not None and self._fetch.peer is peer:
            self._fetch = None
            self._fetch_newest()

    def _on_announce(self, peer: TablePeer, message: TableAnnounce) -> None:
        self._record_peer_revision(peer, message.revision, message.digest)

    def _on_status(self, peer: TablePeer, message: Status | PeerStatus) -> None:
        self._record_peer_revision(peer, message.table_revision, message.table_digest)

    def _record_peer_revision(self, peer: TablePeer, revision: int, digest: str) -> None:
        """Record the revision of a peer and fetch it if it is newer.

        Every heartbeat calls this, so it also retries stalled fetches.
        """
        self._revisions_by_peer[peer] = revision
        if revision > self._view.revision:
            self._fetch_newest()
        else:
            self._check_digest(revision, digest)

    def _fetch_newest(self) -> None:
        """Start a fetch of the newest announced revision, unless one is in progress.

        A peer whose fetch stalled is asked again only if no other peer has a newer table.
        """
        now = self._clock.monotonic()
        fetch = self._fetch
        stalled_peer: TablePeer | None = None
        if fetch is not None:
            if not fetch.peer.is_closed and now < fetch.deadline:
                return
            stalled_peer = fetch.peer
        self._fetch = None
        candidates = {
            peer: revision
            for peer, revision in self._revisions_by_peer.items()
            if revision > self._view.revision and not peer.is_closed
        }
        if not candidates:
            return
        peer = max(candidates, key=lambda peer: (peer is not stalled_peer, candidates[peer]))
        self._fetch = _Fetch(peer=peer, revision=candidates[peer], deadline=now + FETCH_TIMEOUT_S)
        held_digests = tuple(self._view.snapshot.pages_by_digest)
        peer.send(TableFetch(candidates[peer], held_digests))

    def _on_fetch(self, peer: TablePeer, message: TableFetch) -> None:
        snapshot = self._view.snapshot
        if not snapshot.root.revision or snapshot.root.revision < message.revision:
            return
        held_digests = set(message.held)
        pages: list[str] = []
        size_bytes = 0
        for digest in snapshot.root.digests_by_page.values():
            if digest in held_digests:
                continue
            text = snapshot.pages_by_digest[digest]
            size_bytes += len(text.encode())
            if pages and size_bytes > MAX_PAGES_BYTES:
                break
            pages.append(text)
        peer.send(TablePages(snapshot.root_text, tuple(pages)))

    def _on_pages(self, peer: TablePeer, message: TablePages) -> None:
        fetch = self._fetch
        is_answer = fetch is not None and fetch.peer is peer
        try:
            root = Root.parse(message.root)
            if root.revision <= self._view.revision:
                return
            pages = dict(self._view.snapshot.pages_by_digest)
            if fetch is not None and is_answer:
                pages.update(fetch.pages_by_digest)
            required_digests = set(root.digests_by_page.values())
            received = {text_digest(str(text)): str(text) for text in message.pages}
            pages.update(
                {digest: received[digest] for digest in required_digests & received.keys()}
            )
            if required_digests <= pages.keys():
                if is_answer:
                    self._fetch = None
                snapshot = build_snapshot(message.root, pages, previous=self._view.snapshot)
                self.adopt(snapshot, source=peer)
                self._fetch_newest()
            elif fetch is not None and is_answer and required_digests & received.keys():
                fetch.pages_by_digest = {d: pages[d] for d in required_digests & pages.keys()}
                fetch.deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
                peer.send(TableFetch(root.revision, tuple(sorted(required_digests & pages.keys()))))
        except TableError as error:
            _log.warning("invalid table from peer", error=str(error))

    # Store

    async def _load(self, entry: Entry | None) -> None:
        """Adopt the table of a root entry; None means that the store holds no table."""
        for _ in range(MAX_LOAD_ATTEMPTS):
            if entry is None:
                self._ready.set()
                return
            root_text = decode_text(entry.value)
            revision = Root.parse(root_text).revision
            if revision <= self._view.revision:
                self._check_digest(revision, text_digest(root_text))
                self._ready.set()
                return
            snapshot = await load_snapshot(self._store, self._keys, entry, self._view.snapshot)
            if snapshot is not None:
                self.adopt(snapshot)
                return
            # A newer revision has replaced a page; reading the root again finds that revision.
            entry = await self._store.get(self._keys.root)
        raise StoreUnavailableError("the table changes faster than it is read")

    async def _run_initial_read(self) -> None:
        backoff_s = RETRY_MIN_S
        while not self.is_ready:
            with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
                await self._read_root()
            if not self.is_ready:
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(backoff_s * 2, RETRY_MAX_S)

    async def _read_root(self) -> int:
        """Read the root and adopt its table; an invalid table is logged.

        :returns: the mod revision of the root, 0 if the store holds no table.
        """
        entry = await self._store.get(self._keys.root)
        try:
            await self._load(entry)
        except TableError as error:
            _log.error("invalid table in store", error=str(error))
        return 0 if entry is None else entry.mod_revision

    async def _watch(self) -> None:
        """Read and watch the root in the store, with retries, until cancelled."""
        backoff_s = RETRY_MIN_S
        while True:
            try:
                mod_revision = await self._read_root()
                backoff_s = RETRY_MIN_S
                await self._follow_changes(mod_revision)
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                _log.warning("store watcher lost the store; retrying", error=str(error))
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(backoff_s * 2, RETRY_MAX_S)
            except Exception:
                _log.exception("store watcher failed; retrying")
                await asyncio.sleep(RETRY_MAX_S)

    async def _follow_changes(self, mod_revision: int) -> None:
        """Adopt changes of the root until its watch ends.

        The root is also read after each ``POLL_PERIOD_S`` without a change.
        """
        changes = self._store.watch(self._keys.root, from_revision=mod_revision + 1)
        iterator = changes.__aiter__()
        next_change: asyncio.Future[list[Entry]] = asyncio.ensure_future(anext(iterator))
        try:
            while True:
                done, _ = await asyncio.wait({next_change}, timeout=POLL_PERIOD_S)
                if not done:
                    await self._read_root()
                    continue
                for entry in next_change.result():
                    if entry.key == self._keys.root and entry.create_revision:
                        await self._load(entry)
                next_change = asyncio.ensure_future(anext(iterator))
        except StopAsyncIteration:
            # The watch has ended; the caller reads the root before it opens a new one.
            await asyncio.sleep(RETRY_MIN_S * random.random())
        finally:
            next_change.cancel()
            with contextlib.suppress(asyncio.CancelledError, StopAsyncIteration, Exception):
                await next_change
            aclose = getattr(iterator, "aclose", None)
            if aclose is not None:
                await aclose()
