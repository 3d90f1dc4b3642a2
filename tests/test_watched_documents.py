"""Tests that documents are never reverted, survive outages of the store and arrive in time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from itertools import chain, combinations
from typing import Any

import pytest
import structlog

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.document_source import (
    ChangesTooLargeError,
    Document,
    HistoryLostError,
    Snapshot,
    SourceUnavailableError,
)
from sycamoreproxy.messages import (
    DocumentAnnounce,
    DocumentData,
    DocumentFetch,
    DocumentProgress,
)
from sycamoreproxy.routed_dispatch import VERSION_MARGIN_S
from sycamoreproxy.watched_documents import (
    MAX_SUPERSEDED_BYTES,
    MAX_TOMBSTONES,
    MAX_WATCH_FAILURES,
    PROGRESS_TIMEOUT_S,
    DocumentReplica,
)
from tests._fake_hub import FakeHub, FakeNetwork, FakePeer
from tests._virtual_time import LoopClock, in_virtual_time


class _Source:
    """Returns prepared responses, then blocks forever."""

    def __init__(self, *answers: Snapshot | Exception) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []

    async def read_all(self, prefix: str, **options: Any) -> Snapshot:
        return await self._answer("read")

    async def wait_changes(
        self, prefix: str, *, after: int, wait_s: float, **options: Any
    ) -> Snapshot:
        return await self._answer(f"wait {after}")

    async def _answer(self, call: str) -> Snapshot:
        if not self.answers:
            await asyncio.Event().wait()
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_replica(
    *answers: Snapshot | Exception, is_reader: bool = False
) -> tuple[FakeHub, _Source, DocumentReplica]:
    hub, source = FakeHub(host="h0"), _Source(*answers)
    replica = DocumentReplica(
        source=source,
        hub=hub,  # type: ignore[arg-type]
        prefixes=("op/",),
        clock=ManualClock(),
        shared_prefixes=("op/",) if is_reader else (),
        find_readers=lambda: frozenset({"h0"}),
    )
    return hub, source, replica


def run_watch(source: _Source, replica: DocumentReplica) -> None:
    """Run the watch until every prepared response has been returned."""

    async def run() -> None:
        task = asyncio.create_task(replica.watch("op/"))
        async with asyncio.timeout(5):
            while source.answers:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("revisions", "final"), [([5, 4], 5), ([5, 5], 5), ([4, 5], 5), ([5, 7, 6], 7)]
)
def test_document_is_never_replaced_by_an_older_revision(revisions: list[int], final: int) -> None:
    _, _, replica = make_replica()
    seen: list[int] = []
    replica.subscribe(lambda document: seen.append(document.revision))
    for revision in revisions:
        replica.apply(Document("op/a", revision, b"x"), source="test")
    known = replica.get("op/a")
    assert known is not None and known.revision == final and seen == sorted(set(seen))


def test_full_read_after_lost_history_detects_deletions() -> None:
    a, b = Document("op/a", 1, b"a"), Document("op/b", 2, b"b")
    _, source, replica = make_replica(
        Snapshot((a, b), 2), HistoryLostError(), Snapshot((Document("op/b", 2, b"b"),), 9)
    )
    run_watch(source, replica)
    assert source.calls == ["read", "wait 2", "read"]
    known = replica.get("op/a")
    assert known is not None and known.value is None and known.revision == 9


def test_documents_are_kept_during_an_outage_and_updated_after_it() -> None:
    a, newer = Document("op/a", 1, b"a"), Document("op/a", 7, b"b")
    _, source, replica = make_replica(
        Snapshot((a,), 3), SourceUnavailableError("down"), Snapshot((newer,), 7)
    )
    run_watch(source, replica)
    assert source.calls == ["read", "wait 3", "wait 3"]
    known = replica.get("op/a")
    assert known == newer and replica.is_connected


def test_failing_listener_does_not_stop_the_others() -> None:
    _, _, replica = make_replica()
    seen: list[str] = []

    def fail(document: Document) -> None:
        raise ValueError("bad document")

    replica.subscribe(fail)
    replica.subscribe(lambda document: seen.append(document.key))
    assert replica.apply(Document("op/a", 1, b""), source="test")
    assert seen == ["op/a"]


@pytest.mark.parametrize("value", [b"configuration", None])
def test_process_rejected_by_the_store_gets_the_document_from_a_peer(value: bytes | None) -> None:
    """The store may serve some processes and the operator while it rejects others."""
    local_hub, _, local = make_replica()
    remote_hub, _, remote = make_replica()
    local.apply(Document("op/a", 5, value), source="store")
    network = FakeNetwork(seed=1)

    async def run() -> None:
        network.link(local_hub, remote_hub)
        for _ in range(3):
            network.deliver()
            await asyncio.sleep(0.2)
        network.deliver()

    asyncio.run(run())
    assert remote.get("op/a") == Document("op/a", 5, value)


def test_corrupt_document_from_a_peer_is_ignored() -> None:
    hub, _, replica = make_replica()
    peer = FakePeer(hub, hub, 1)
    for handler in hub.handlers[DocumentData]:
        handler(peer, DocumentData("op/a", 5, b"no zlib"))
    assert replica.get("op/a") is None
    for handler in hub.handlers[DocumentFetch]:
        handler(peer, DocumentFetch(("op/a",)))
    assert not peer.queue


def test_known_revisions_are_not_fetched() -> None:
    hub, _, replica = make_replica()
    replica.apply(Document("op/a", 5, b"x"), source="store")
    peer = FakePeer(hub, hub, 1)

    async def run() -> None:
        for handler in hub.handlers[DocumentAnnounce]:
            handler(peer, DocumentAnnounce({"op/a": 5}))
        await asyncio.sleep(0.35)

    asyncio.run(run())
    assert not peer.queue


def test_documents_of_the_first_read_are_marked_as_such() -> None:
    """A version that a restarted process found in the store was treated as named just then."""
    a = Document("op/a", 1, b"a")
    _, source, replica = make_replica(
        Snapshot((a,), 3),
        Snapshot((Document("op/a", 4, b"b"),), 4),
        HistoryLostError(),
        Snapshot((Document("op/a", 9, b"c"),), 9),
    )
    seen: list[bool] = []
    replica.subscribe(lambda document: seen.append(replica.has_read(document.key)))
    run_watch(source, replica)
    assert seen == [False, True, True]


def test_number_of_tombstones_is_limited() -> None:
    """Each restart of an upstream leaves a deleted document."""
    _, _, replica = make_replica()
    for number in range(MAX_TOMBSTONES + 10):
        replica.apply(Document(f"op/{number}", 2 * number + 1, b""), source="test")
        replica.apply(Document(f"op/{number}", 2 * number + 2, None), source="test")
    assert replica.describe()["documents"] == MAX_TOMBSTONES
    assert replica.get("op/0") is None and replica.get(f"op/{MAX_TOMBSTONES}") is not None


def test_changes_during_the_pause_are_read_in_one_call() -> None:
    """For each runner that loaded weights, every process made a call to the store."""

    class _Counting(_Source):
        async def wait_changes(
            self, prefix: str, *, after: int, wait_s: float, **options: Any
        ) -> Snapshot:
            self.calls.append("wait")
            return Snapshot((Document(f"{prefix}x", after + 1, b""),), after + 1)

    async def run() -> None:
        source = _Counting(Snapshot((), 1))
        replica = DocumentReplica(
            source=source,
            hub=FakeHub(),  # type: ignore[arg-type]
            prefixes=("op/", "servers/"),
            clock=ManualClock(),
            pause_s=lambda prefix: 0.0 if prefix == "op/" else 30.0,
        )
        tasks = [asyncio.create_task(replica.watch(prefix)) for prefix in ("op/", "servers/")]
        source.answers.append(Snapshot((), 1))
        async with asyncio.timeout(5):
            while source.calls.count("wait") < 20:
                await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        documents = [replica.get("op/x"), replica.get("servers/x")]
        revisions = [document.revision if document else 0 for document in documents]
        assert revisions[0] >= 19 and revisions[1] == 2

    asyncio.run(run())


#: Bandwidth of the link between two regions in the users' large deployment, in bytes per second.
LINK_BYTES_PER_S = 15e6 / 8
#: Size of a configuration of 1,200 routes as the store sends it, in bytes.
LARGE_BYTES = 285_000


class _RemoteStore:
    """A store behind one link, which transfers the responses to all processes one by one."""

    def __init__(self) -> None:
        self.documents: list[Document] = [Document("op/config", 1, b"small")]
        self.revision = 1
        #: Earliest revision since which the history has all changes.
        self.oldest_revision = 0
        self.reads_by_host: Counter[str] = Counter()
        self.calls_by_host: Counter[str] = Counter()
        self._link_idle_at = 0.0

    @property
    def reads(self) -> int:
        """Number of responses with a configuration to any process."""
        return self.reads_by_host.total()

    def put(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        self.documents.append(Document(key, self.revision, value))

    async def read_all(
        self, prefix: str, *, on_part: Callable[[], None] = lambda: None
    ) -> Snapshot:
        newest = {d.key: d for d in self.documents if d.key.startswith(prefix)}
        return await self._send(tuple(d for d in newest.values() if d.value is not None), on_part)

    async def wait_changes(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
        on_part: Callable[[], None],
    ) -> Snapshot:
        if after < self.oldest_revision:
            raise HistoryLostError
        until = asyncio.get_running_loop().time() + wait_s
        while True:
            changes = [d for d in self.documents if d.key.startswith(prefix) and d.revision > after]
            size = sum(len(document.value or b"") for document in changes)
            if max_bytes is not None and size > max_bytes:
                raise ChangesTooLargeError
            if changes or asyncio.get_running_loop().time() >= until:
                return await self._send(tuple(changes), on_part)
            await asyncio.sleep(0.01)

    async def _send(self, documents: tuple[Document, ...], on_part: Callable[[], None]) -> Snapshot:
        revision = self.revision
        size = sum(len(document.value or b"") for document in documents)
        self._count_read(documents)
        now = asyncio.get_running_loop().time()
        self._link_idle_at = max(now, self._link_idle_at) + size / LINK_BYTES_PER_S
        await asyncio.sleep(self._link_idle_at - now)
        return Snapshot(documents, revision)

    def _count_read(self, documents: tuple[Document, ...]) -> None:
        task = asyncio.current_task()
        assert task is not None
        if any(document.key == "op/config" for document in documents):
            self.reads_by_host[task.get_name()] += 1


class _StorePath:
    """Connection of one process to a store; its calls can be aborted, refused or left hanging."""

    def __init__(self, store: _RemoteStore, host: str) -> None:
        self._store = store
        self._host = host
        self._cuts = 0
        self.is_refused = False
        self.is_unresponsive = False

    def cut(self) -> None:
        """Abort the calls in progress; later ones succeed."""
        self._cuts += 1

    async def read_all(self, prefix: str, **options: Any) -> Snapshot:
        return await self._call(self._store.read_all(prefix, **options))

    async def wait_changes(self, prefix: str, **options: Any) -> Snapshot:
        return await self._call(self._store.wait_changes(prefix, **options))

    async def _call(self, answer: Coroutine[Any, Any, Snapshot]) -> Snapshot:
        self._store.calls_by_host[self._host] += 1
        call, cuts = asyncio.create_task(answer, name=self._host), self._cuts
        try:
            while self.is_unresponsive or not call.done():
                if self.is_refused or self._cuts != cuts:
                    raise SourceUnavailableError("cut")
                await asyncio.sleep(0.01)
            return call.result()
        finally:
            call.cancel()


class _Zone:
    """Processes of one zone that use a remote store.

    The first ones are readers. Every second one of the others is an upstream process, which has
    streams to all others.
    """

    def __init__(
        self,
        *,
        processes: int,
        readers: int,
        pushed_prefixes: tuple[str, ...] = (),
        store: _RemoteStore | None = None,
        is_linked: bool = True,
        shared_prefix: str = "op/config",
    ) -> None:
        self.store = store or _RemoteStore()
        prefixes = (shared_prefix, "op/version/", *pushed_prefixes)
        self.network = FakeNetwork(seed=1)
        self.readers = frozenset(f"h{number}" for number in range(readers))
        self.hubs = [
            FakeHub(
                host=f"h{number}",
                zone="z1",
                role="entry" if number < readers or number % 2 == 0 else "upstream",
            )
            for number in range(processes)
        ]
        self.paths = [_StorePath(self.store, hub.hello.host) for hub in self.hubs]
        self.replicas = [
            DocumentReplica(
                source=path,
                hub=hub,  # type: ignore[arg-type]
                prefixes=prefixes,
                clock=LoopClock(),
                shared_prefixes=(shared_prefix,),
                pushed_prefixes=pushed_prefixes,
                find_readers=lambda: self.readers,
            )
            for hub, path in zip(self.hubs, self.paths, strict=True)
        ]
        self.streams: list[FakePeer] = []
        if is_linked:
            self.link()
        self.tasks = [
            [asyncio.create_task(replica.follow(p)) for p in prefixes] for replica in self.replicas
        ]
        self._delivering = asyncio.create_task(self._deliver())

    def link(self) -> None:
        """Open the streams of the zone."""
        self.streams = [
            self.network.link(hub, other)
            for hub, other in combinations(self.hubs, 2)
            if "upstream" in (hub.hello.role, other.hello.role)
        ]

    async def _deliver(self) -> None:
        while True:
            self.network.deliver()
            await asyncio.sleep(0.002)

    def count_replicas(self, key: str, revision: int) -> int:
        documents = [replica.get(key) for replica in self.replicas]
        return sum(document is not None and document.revision >= revision for document in documents)

    def kill(self, numbers: range) -> None:
        """Stop the processes with these numbers; their streams stay open without messages."""
        for number in numbers:
            for task in self.tasks[number]:
                task.cancel()

    def count_reads(self, numbers: range) -> int:
        """Return the number of responses with a configuration to these processes."""
        return sum(self.store.reads_by_host[f"h{number}"] for number in numbers)

    def stop(self) -> None:
        self._delivering.cancel()
        for task in chain.from_iterable(self.tasks):
            task.cancel()


@in_virtual_time
async def test_version_arrives_in_time_behind_a_large_configuration() -> None:
    """When every process read the configuration, versions named after it arrived 4 s late."""
    zone = _Zone(processes=24, readers=2)
    await asyncio.sleep(3)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(0.1)
    zone.store.put("op/version/m", b"2")
    await asyncio.sleep(VERSION_MARGIN_S)
    assert zone.count_replicas("op/version/m", 3) == 24
    await asyncio.sleep(0.5)
    assert zone.count_replicas("op/config", 2) == 24
    zone.stop()


@in_virtual_time
async def test_only_the_readers_of_a_zone_read_large_documents() -> None:
    zone = _Zone(processes=12, readers=2)
    await asyncio.sleep(3)
    before = zone.store.reads
    for _ in range(3):
        zone.store.put("op/config", b"x" * LARGE_BYTES)
        await asyncio.sleep(2)
    assert zone.store.reads - before == 6
    assert zone.count_replicas("op/config", 4) == 12
    zone.stop()


@in_virtual_time
async def test_logs_show_the_readers_and_the_sources_of_copies() -> None:
    zone = _Zone(processes=6, readers=2)
    with structlog.testing.capture_logs() as lines:
        await asyncio.sleep(3)
        zone.store.put("op/config", b"y" * 1000)
        await asyncio.sleep(1)
    following = [line for line in lines if line["event"] == "following the store for the zone"]
    assert [line["is_reader"] for line in following] == [True, True]
    changed = [line for line in lines if line["event"] == "document changed"]
    sources = [line["source"] for line in changed if line["revision"] == 2]
    assert len(sources) == 6 and sources.count("store") == 2
    zone.stop()


@in_virtual_time
async def test_late_response_of_the_store_is_logged() -> None:
    zone = _Zone(processes=6, readers=2)
    await asyncio.sleep(3)
    with structlog.testing.capture_logs() as lines:
        zone.store.put("op/config", b"y" * LARGE_BYTES * 10)
        await asyncio.sleep(5)
    late = [line for line in lines if line["event"] == "store answered late"]
    assert late and all(line["duration_ms"] > line["wait_ms"] for line in late)
    zone.stop()


@in_virtual_time
async def test_processes_watch_the_store_when_their_readers_stop_reporting() -> None:
    """A change that is made while both readers are frozen must not wait for them."""
    zone = _Zone(processes=6, readers=2)
    await asyncio.sleep(3)
    for task in chain.from_iterable(zone.tasks[:2]):
        task.cancel()
    zone.replicas = zone.replicas[2:]
    zone.store.put("op/config", b"y" * 1000)
    await asyncio.sleep(PROGRESS_TIMEOUT_S + 0.5)
    assert zone.count_replicas("op/config", 2) == 4
    zone.stop()


@in_virtual_time
async def test_zone_without_readers_watches_the_store() -> None:
    zone = _Zone(processes=3, readers=0)
    await asyncio.sleep(0.5)
    assert zone.count_replicas("op/config", 1) == 3
    zone.stop()


@in_virtual_time
async def test_document_is_not_fetched_from_another_zone_while_readers_report() -> None:
    zone = _Zone(processes=4, readers=2)
    await asyncio.sleep(3)
    remote = FakePeer(FakeHub(zone="z2"), zone.hubs[3], 99)
    remote.opposite = FakePeer(zone.hubs[3], FakeHub(zone="z2"), 98)
    for handler in zone.hubs[3].handlers[DocumentAnnounce]:
        handler(remote.opposite, DocumentAnnounce({"op/config": 9}))
    await asyncio.sleep(1)
    assert not remote.opposite.queue
    zone.stop()


def test_burst_of_large_changes_triggers_a_full_read() -> None:
    """The store sends every value of its history: 25 changes in 2 s were 7 MB for each process."""
    large = b"x" * (MAX_SUPERSEDED_BYTES + 1)
    _, source, replica = make_replica(
        Snapshot((Document("op/a", 1, b"a"),), 1),
        Snapshot((Document("op/a", 2, large), Document("op/a", 3, large)), 3),
        Snapshot((Document("op/a", 9, large),), 9),
    )
    run_watch(source, replica)
    assert source.calls == ["read", "wait 1", "read"]


def test_repeatedly_failing_watch_is_replaced_by_a_full_read() -> None:
    """The changes made during an outage may exceed the size of a response at every attempt."""
    failures = [SourceUnavailableError("too large")] * MAX_WATCH_FAILURES
    _, source, replica = make_replica(
        Snapshot((Document("op/a", 1, b"a"),), 1),
        *failures,
        Snapshot((Document("op/a", 9, b"b"),), 9),
        is_reader=True,
    )
    run_watch(source, replica)
    assert source.calls == ["read", *["wait 1"] * MAX_WATCH_FAILURES, "read"]


@in_virtual_time
async def test_readers_resume_reports_after_an_aborted_watch() -> None:
    """A watch waits up to 25 s; after an aborted one, readers did not report until a change."""
    zone = _Zone(processes=12, readers=2)
    await asyncio.sleep(3)
    for path in zone.paths[:2]:
        path.cut()
    await asyncio.sleep(2)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(3)
    assert zone.count_reads(range(2, 12)) == 0
    zone.stop()


@in_virtual_time
async def test_new_readers_of_a_zone_report_before_the_next_change() -> None:
    """Their first watch waits for up to 25 s, because there is no change to return at once."""
    zone = _Zone(processes=12, readers=2)
    await asyncio.sleep(3)
    zone.kill(range(2))
    zone.readers = frozenset({"h2", "h3"})
    await asyncio.sleep(3)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(3)
    assert zone.count_reads(range(4, 12)) == 0
    zone.stop()


@in_virtual_time
async def test_only_readers_read_the_configuration_after_an_outage_of_the_store() -> None:
    """All watch the store in an outage; at its end each read 285 KB without any change."""
    zone = _Zone(processes=12, readers=2)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(5)
    before = zone.count_reads(range(2, 12))
    for path in zone.paths:
        path.is_refused = True
    await asyncio.sleep(4)
    for path in zone.paths:
        path.is_refused = False
    await asyncio.sleep(5)
    assert zone.count_reads(range(2, 12)) == before
    zone.stop()


@in_virtual_time
async def test_version_arrives_in_time_while_both_readers_are_down() -> None:
    """Two hosts may fail; without the readers, all others read a large configuration at once."""
    zone = _Zone(processes=24, readers=2)
    await asyncio.sleep(3)
    zone.kill(range(2))
    zone.replicas = zone.replicas[2:]
    await asyncio.sleep(3)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(0.1)
    zone.store.put("op/version/m", b"2")
    await asyncio.sleep(VERSION_MARGIN_S)
    assert zone.count_replicas("op/version/m", 3) == 22
    zone.stop()


def _link_announcing_peer(
    network: FakeNetwork, hub: FakeHub, revision: int, *, is_unresponsive: bool = False
) -> None:
    """Link a peer that announces a revision of a version; an unresponsive one ignores fetches."""
    peer_hub = FakeHub(host="peer")
    if not is_unresponsive:
        peer = DocumentReplica(
            source=_Source(),
            hub=peer_hub,  # type: ignore[arg-type]
            prefixes=("op/version/",),
            clock=LoopClock(),
        )
        peer.apply(Document("op/version/m", revision, b"2"), source="test")
    network.link(peer_hub, hub)
    if is_unresponsive:
        for peer in peer_hub.peers:
            peer.send(DocumentAnnounce({"op/version/m": revision}))


async def _deliver_for(network: FakeNetwork, duration_s: float) -> None:
    until = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < until:
        network.deliver()
        await asyncio.sleep(0.01)


def _make_version_replica() -> tuple[FakeHub, DocumentReplica]:
    hub = FakeHub(host="h0", zone="z1")
    replica = DocumentReplica(
        source=_Source(),
        hub=hub,  # type: ignore[arg-type]
        prefixes=("op/version/",),
        clock=LoopClock(),
    )
    return hub, replica


@in_virtual_time
async def test_document_is_fetched_from_another_peer_if_the_first_does_not_reply() -> None:
    """Each peer announces a version once; announcements during a fetch were dropped for good."""
    hub, replica = _make_version_replica()
    network = FakeNetwork(seed=1)
    _link_announcing_peer(network, hub, 9, is_unresponsive=True)
    network.deliver()
    await asyncio.sleep(0.01)
    _link_announcing_peer(network, hub, 9)
    await _deliver_for(network, 3.0)
    assert replica.get("op/version/m") is not None


@in_virtual_time
async def test_newer_revision_announced_during_a_fetch_is_fetched() -> None:
    """The reply to the fetch has the older revision, and the newer one is not announced again."""
    hub, replica = _make_version_replica()
    network = FakeNetwork(seed=1)
    _link_announcing_peer(network, hub, 5)
    network.deliver()
    await asyncio.sleep(0.05)
    _link_announcing_peer(network, hub, 6)
    network.deliver()
    # The first fetch is sent after 0.3 s, and its reply takes 0.1 s.
    await asyncio.sleep(0.35)
    await _deliver_for(network, 3.0)
    known = replica.get("op/version/m")
    assert known is not None and known.revision == 6


@in_virtual_time
async def test_readers_without_responses_do_not_delay_their_zone() -> None:
    """They continued to report progress for as long as a watch may wait (27 s)."""
    zone = _Zone(processes=6, readers=2)
    await asyncio.sleep(3)
    for path in zone.paths[:2]:
        path.is_unresponsive = True
    zone.store.put("op/config", b"y" * 1000)
    await asyncio.sleep(2)
    assert zone.count_replicas("op/config", 2) >= 4
    zone.stop()


@in_virtual_time
async def test_document_is_fetched_from_another_zone_if_the_readers_do_not_relay_it() -> None:
    """Other zones announce a document once; the hosts of a zone ignored the announcement."""
    zone = _Zone(processes=4, readers=2)
    await asyncio.sleep(3)
    for path in zone.paths[:2]:
        path.is_unresponsive = True
    remote_hub = FakeHub(host="far", zone="z2")
    remote = DocumentReplica(
        source=_Source(),
        hub=remote_hub,  # type: ignore[arg-type]
        prefixes=("op/config", "op/version/"),
        clock=LoopClock(),
    )
    zone.network.link(zone.hubs[3], remote_hub)
    remote.apply(Document("op/config", 9, b"z"), source="test")
    for peer in remote_hub.peers:
        peer.send(DocumentAnnounce({"op/config": 9}))
    await asyncio.sleep(2)
    assert zone.count_replicas("op/config", 9) >= 1
    zone.stop()


@in_virtual_time
async def test_reported_revision_is_within_the_history_of_the_store() -> None:
    """A watch without changes lasts longer than the store keeps its history (20 s)."""
    zone = _Zone(processes=12, readers=2)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(3)
    before = zone.count_reads(range(2, 12))
    for second in range(22):
        zone.store.put(f"servers/{second}", b"")
        await asyncio.sleep(1)
    zone.store.oldest_revision = zone.store.revision - 20
    zone.kill(range(2))
    await asyncio.sleep(4)
    assert zone.count_reads(range(2, 12)) == before
    zone.stop()


@in_virtual_time
async def test_starting_zone_does_not_fetch_documents_from_other_zones() -> None:
    """Streams to engines of other zones open at the start, and each announces the configuration."""
    zone = _Zone(processes=24, readers=2)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    remote_hub = FakeHub(host="far", zone="z2")
    remote = DocumentReplica(
        source=_Source(),
        hub=remote_hub,  # type: ignore[arg-type]
        prefixes=("op/config", "op/version/"),
        clock=LoopClock(),
    )
    remote.apply(Document("op/config", 2, b"x" * LARGE_BYTES), source="test")
    fetches: list[str] = []
    remote_hub.on(DocumentFetch, lambda peer, fetch: fetches.append(peer.hello.host))
    for hub in zone.hubs:
        zone.network.link(hub, remote_hub)
    await asyncio.sleep(4)
    assert zone.count_replicas("op/config", 2) == 24
    assert len(fetches) <= len(zone.readers)
    zone.stop()


@in_virtual_time
async def test_deletion_before_the_start_of_a_reader_reaches_its_zone() -> None:
    """The reports of a reader that started later have no revision of the deleted key."""
    zone = _Zone(processes=1, readers=2)
    zone.readers = frozenset({"reader"})
    await asyncio.sleep(3)
    reader = FakePeer(zone.hubs[0], FakeHub(host="reader", zone="z1"), 99)
    for handler in zone.hubs[0].handlers[DocumentProgress]:
        handler(reader, DocumentProgress("op/config", "reader", True, 7, {}, 0.0))
    known = zone.replicas[0].get("op/config")
    revision = zone.replicas[0].describe()["prefixes"]["op/config"]["revision"]  # type: ignore
    # Either is correct: the deletion was applied, or the reported revision was not adopted.
    assert known is None or known.value is None or revision < 7
    zone.stop()


@in_virtual_time
async def test_only_the_readers_read_a_burst_of_large_changes() -> None:
    """Readers do not report during a full read; the others must not read the store meanwhile."""
    zone = _Zone(processes=24, readers=2)
    await asyncio.sleep(3)
    for _ in range(12):
        zone.store.put("op/config", b"x" * LARGE_BYTES)
        await asyncio.sleep(0.33)
    await asyncio.sleep(3)
    assert zone.count_reads(range(2, 24)) == 0
    assert zone.count_replicas("op/config", zone.store.revision) == 24
    zone.stop()


@in_virtual_time
async def test_only_the_readers_of_a_starting_zone_read_a_large_configuration() -> None:
    zone = _Zone(processes=24, readers=2)
    zone.store.put("op/config", b"x" * LARGE_BYTES)
    await asyncio.sleep(4)
    assert zone.count_reads(range(2, 24)) == 0
    assert zone.count_replicas("op/config", 2) == 24
    zone.stop()
