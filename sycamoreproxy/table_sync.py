"""The table in force in one process, and how it spreads between processes."""

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

#: A watcher also reads the root this often, in seconds: a watch can be silently dead.
POLL_PERIOD_S = 2.0
#: Reads of a table that is replaced meanwhile.
MAX_LOADS = 10
#: Pauses of a watcher and of the initial read while the store does not answer, in seconds.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0
#: A fetch without progress for this long is given up and another peer is asked, in seconds.
FETCH_TIMEOUT_S = 1.0
#: Bytes of pages in one message; the rest is fetched again with what was received as held.
MAX_PAGES_BYTES = MAX_FRAME_BYTES - 400_000

_log = get_logger("table_sync")


class TablePeer(Protocol):
    """What the replica needs of :class:`sycamoreproxy.peers.Peer`."""

    @property
    def is_closed(self) -> bool:
        """Whether the stream is closed."""

    def send(self, message: object) -> bool:
        """Queue a message; return False if the stream is lost."""


class TableHub(Protocol):
    """What the replica needs of :class:`sycamoreproxy.peers.PeerHub`."""

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
    """Holds the newest known table and passes each new revision on.

    :param hub: streams to other processes.
    :param store: the configuration store.
    :param prefix: prefix of the deployment's keys.
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
        self._diverged: tuple[int, str] = (0, "")
        self._ready = asyncio.Event()
        self._initial_read: asyncio.Task[None] | None = None
        self._watcher: asyncio.Task[None] | None = None
        hub.on(TableAnnounce, self._on_announce)
        hub.on(TableFetch, self._on_fetch)
        hub.on(TablePages, self._on_pages)
        hub.on(Status, self._on_status)
        hub.on(PeerStatus, self._on_status)
        hub.on_open(self._on_open)
        hub.on_close(self._on_close)

    @property
    def view(self) -> TableView:
        """The table in force; revision 0 is the empty table."""
        return self._view

    @property
    def is_ready(self) -> bool:
        """Whether the store or a peer has answered since the start."""
        return self._ready.is_set()

    @property
    def is_watching(self) -> bool:
        """Whether this process watches the store."""
        return self._watcher is not None

    def subscribe(self, listener: Callable[[TableView], None]) -> None:
        """Call ``listener(view)`` after each change of the table in force."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to read the table from the store; a peer that answers first ends this."""
        if self._initial_read is None:
            self._initial_read = asyncio.create_task(self._read_initially())

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait until the store or a peer has answered.

        :param timeout_s: longest wait in seconds.
        :returns: whether one has.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ready.wait(), timeout_s)
        return self.is_ready

    def set_watching(self, watching: bool) -> None:
        """Start or stop watching the store; other processes hear of changes from their peers."""
        if watching and self._watcher is None:
            self._watcher = asyncio.create_task(self._watch())
        elif not watching and self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None

    async def close(self) -> None:
        """Stop reading the store."""
        tasks = [task for task in (self._initial_read, self._watcher) if task is not None]
        self._initial_read = self._watcher = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def refresh(self) -> None:
        """Read the root from the store and adopt what is newer.

        :raises StoreUnavailableError: if the store does not answer.
        :raises StoreAnswerLostError: likewise.
        """
        await self._load(await self._store.get(self._keys.root))

    def adopt(self, snapshot: Snapshot, *, source: TablePeer | None = None) -> bool:
        """Put a table in force if it is newer, and announce it to every other peer.

        :param source: the peer that it came from.
        :returns: whether it is newer.
        """
        old = self._view
        if snapshot.root.revision <= old.revision:
            self._check_equal(snapshot.root.revision, snapshot.digest)
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
                # One part that cannot use the table must not keep it from the others.
                _log.exception("table listener failed", revision=view.revision)
        return True

    def _check_equal(self, revision: int, digest: str) -> None:
        """Check that one revision has one content, reported once for each other digest."""
        view = self._view
        if revision != view.revision or digest == view.digest:
            return
        if self._diverged == (revision, digest):
            return
        self._diverged = (revision, digest)
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
        self._hear(peer, message.revision, message.digest)

    def _on_status(self, peer: TablePeer, message: Status | PeerStatus) -> None:
        self._hear(peer, message.table_revision, message.table_digest)

    def _hear(self, peer: TablePeer, revision: int, digest: str) -> None:
        """Note the revision of a peer; every heartbeat comes here, so it retries fetches."""
        self._revisions_by_peer[peer] = revision
        if revision > self._view.revision:
            self._fetch_newest()
        else:
            self._check_equal(revision, digest)

    def _fetch_newest(self) -> None:
        """Ask a peer that announced the newest revision, one at a time."""
        now = self._clock.monotonic()
        fetch = self._fetch
        avoided: TablePeer | None = None
        if fetch is not None:
            if not fetch.peer.is_closed and now < fetch.deadline:
                return
            avoided = fetch.peer
        self._fetch = None
        newer = {
            peer: revision
            for peer, revision in self._revisions_by_peer.items()
            if revision > self._view.revision and not peer.is_closed
        }
        if not newer:
            return
        peer = max(newer, key=lambda peer: (peer is not avoided, newer[peer]))
        self._fetch = _Fetch(peer=peer, revision=newer[peer], deadline=now + FETCH_TIMEOUT_S)
        held = tuple(self._view.snapshot.pages_by_digest)
        peer.send(TableFetch(newer[peer], held))

    def _on_fetch(self, peer: TablePeer, message: TableFetch) -> None:
        snapshot = self._view.snapshot
        if not snapshot.root.revision or snapshot.root.revision < message.revision:
            return
        held = set(message.held)
        pages: list[str] = []
        size = 0
        for digest in snapshot.root.digests_by_page.values():
            if digest in held:
                continue
            text = snapshot.pages_by_digest[digest]
            size += len(text.encode())
            if pages and size > MAX_PAGES_BYTES:
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
            wanted = set(root.digests_by_page.values())
            received = {text_digest(str(text)): str(text) for text in message.pages}
            pages.update({digest: received[digest] for digest in wanted & received.keys()})
            if wanted <= pages.keys():
                if is_answer:
                    self._fetch = None
                snapshot = build_snapshot(message.root, pages, previous=self._view.snapshot)
                self.adopt(snapshot, source=peer)
                self._fetch_newest()
            elif fetch is not None and is_answer and wanted & received.keys():
                fetch.pages_by_digest = {d: pages[d] for d in wanted & pages.keys()}
                fetch.deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
                peer.send(TableFetch(root.revision, tuple(sorted(wanted & pages.keys()))))
        except TableError as error:
            _log.warning("peer sent a broken table", error=str(error))

    # Store

    async def _load(self, entry: Entry | None) -> None:
        """Adopt the table of a root entry; None is a store without a table."""
        for _ in range(MAX_LOADS):
            if entry is None:
                self._ready.set()
                return
            root_text = decode_text(entry.value)
            revision = Root.parse(root_text).revision
            if revision <= self._view.revision:
                self._check_equal(revision, text_digest(root_text))
                self._ready.set()
                return
            snapshot = await load_snapshot(self._store, self._keys, entry, self._view.snapshot)
            if snapshot is not None:
                self.adopt(snapshot)
                return
            # A page was replaced by a newer revision, which the next read finds.
            entry = await self._store.get(self._keys.root)
        raise StoreUnavailableError("the table changes faster than it is read")

    async def _read_initially(self) -> None:
        pause_s = RETRY_MIN_S
        while not self.is_ready:
            with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
                await self._read_logged()
            if not self.is_ready:
                await asyncio.sleep(pause_s * (0.5 + random.random()))
                pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def _read_logged(self) -> int:
        """Read the root and adopt it; return its mod revision, 0 without a table."""
        entry = await self._store.get(self._keys.root)
        try:
            await self._load(entry)
        except TableError as error:
            _log.error("the store holds a broken table", error=str(error))
        return 0 if entry is None else entry.mod_revision

    async def _watch(self) -> None:
        """Follow the root in the store until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                seen = await self._read_logged()
                pause_s = RETRY_MIN_S
                await self._follow(seen)
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                _log.warning("store does not answer the watcher", error=str(error))
                await asyncio.sleep(pause_s * (0.5 + random.random()))
                pause_s = min(pause_s * 2, RETRY_MAX_S)
            except Exception:
                _log.exception("store watcher failed")
                await asyncio.sleep(RETRY_MAX_S)

    async def _follow(self, seen: int) -> None:
        """Watch the root, and read it once a period in case the watch is dead."""
        changes = self._store.watch(self._keys.root, from_revision=seen + 1)
        iterator = changes.__aiter__()
        following: asyncio.Future[list[Entry]] = asyncio.ensure_future(anext(iterator))
        try:
            while True:
                done, _ = await asyncio.wait({following}, timeout=POLL_PERIOD_S)
                if not done:
                    await self._read_logged()
                    continue
                for entry in following.result():
                    if entry.key == self._keys.root and entry.create_revision:
                        await self._load(entry)
                following = asyncio.ensure_future(anext(iterator))
        except StopAsyncIteration:
            # The loop of the caller reads the root before it watches again.
            await asyncio.sleep(RETRY_MIN_S * random.random())
        finally:
            following.cancel()
            with contextlib.suppress(asyncio.CancelledError, StopAsyncIteration, Exception):
                await following
            aclose = getattr(iterator, "aclose", None)
            if aclose is not None:
                await aclose()
