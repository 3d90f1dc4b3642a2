"""Guards against documents that go back, stay unseen in an outage, or stop the others."""

from __future__ import annotations

import asyncio

import pytest

from sycamoreproxy.clock import ManualClock
from sycamoreproxy.messages import DocumentAnnounce, DocumentData, DocumentFetch
from sycamoreproxy.watched_documents import (
    MAX_DELETED,
    Document,
    DocumentReplica,
    HistoryLostError,
    Snapshot,
    SourceUnavailableError,
)
from tests._fake_hub import FakeHub, FakeNetwork, FakePeer


class _Source:
    """Gives prepared answers, then waits for ever."""

    def __init__(self, *answers: Snapshot | Exception) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []

    async def read_all(self, prefix: str) -> Snapshot:
        return await self._answer("read")

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Snapshot:
        return await self._answer(f"wait {after}")

    async def _answer(self, call: str) -> Snapshot:
        if not self.answers:
            await asyncio.Event().wait()
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_replica(*answers: Snapshot | Exception) -> tuple[FakeHub, _Source, DocumentReplica]:
    hub, source = FakeHub(), _Source(*answers)
    replica = DocumentReplica(
        source=source, hub=hub, prefixes=("op/",), clock=ManualClock()  # type: ignore[arg-type]
    )
    return hub, source, replica


def follow(source: _Source, replica: DocumentReplica) -> None:
    """Run the watch until every prepared answer was taken."""

    async def play() -> None:
        task = asyncio.create_task(replica.watch("op/"))
        async with asyncio.timeout(5):
            while source.answers:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("revisions", "final"), [([5, 4], 5), ([5, 5], 5), ([4, 5], 5), ([5, 7, 6], 7)]
)
def test_document_never_goes_back(revisions: list[int], final: int) -> None:
    _, _, replica = make_replica()
    seen: list[int] = []
    replica.subscribe(lambda document: seen.append(document.revision))
    for revision in revisions:
        replica.apply(Document("op/a", revision, b"x"), source="test")
    held = replica.get("op/a")
    assert held is not None and held.revision == final and seen == sorted(set(seen))


def test_lost_history_is_read_again_and_shows_deletions() -> None:
    a, b = Document("op/a", 1, b"a"), Document("op/b", 2, b"b")
    _, source, replica = make_replica(
        Snapshot((a, b), 2), HistoryLostError(), Snapshot((Document("op/b", 2, b"b"),), 9)
    )
    follow(source, replica)
    assert source.calls == ["read", "wait 2", "read"]
    held = replica.get("op/a")
    assert held is not None and held.value is None and held.revision == 9


def test_outage_keeps_the_documents_and_goes_on() -> None:
    a, newer = Document("op/a", 1, b"a"), Document("op/a", 7, b"b")
    _, source, replica = make_replica(
        Snapshot((a,), 3), SourceUnavailableError("down"), Snapshot((newer,), 7)
    )
    follow(source, replica)
    assert source.calls == ["read", "wait 3", "wait 3"]
    held = replica.get("op/a")
    assert held == newer and replica.is_connected


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
def test_process_that_the_store_turns_away_learns_from_a_peer(value: bytes | None) -> None:
    """The store may serve some processes and the operator while it refuses others."""
    near_hub, _, near = make_replica()
    far_hub, _, far = make_replica()
    near.apply(Document("op/a", 5, value), source="store")
    network = FakeNetwork(seed=1)

    async def play() -> None:
        network.link(near_hub, far_hub)
        for _ in range(3):
            network.deliver()
            await asyncio.sleep(0.2)
        network.deliver()

    asyncio.run(play())
    assert far.get("op/a") == Document("op/a", 5, value)


def test_damaged_relay_is_ignored() -> None:
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

    async def play() -> None:
        for handler in hub.handlers[DocumentAnnounce]:
            handler(peer, DocumentAnnounce({"op/a": 5}))
        await asyncio.sleep(0.35)

    asyncio.run(play())
    assert not peer.queue


def test_documents_of_the_first_read_are_told_apart() -> None:
    """A version that a restarted process found in the store counted as named just then."""
    a = Document("op/a", 1, b"a")
    _, source, replica = make_replica(
        Snapshot((a,), 3),
        Snapshot((Document("op/a", 4, b"b"),), 4),
        HistoryLostError(),
        Snapshot((Document("op/a", 9, b"c"),), 9),
    )
    seen: list[bool] = []
    replica.subscribe(lambda document: seen.append(replica.has_read))
    follow(source, replica)
    assert seen == [False, True, True]


def test_deletions_are_bounded() -> None:
    """Each restart of an upstream leaves a deleted entry behind."""
    _, _, replica = make_replica()
    for number in range(MAX_DELETED + 10):
        replica.apply(Document(f"op/{number}", 2 * number + 1, b""), source="test")
        replica.apply(Document(f"op/{number}", 2 * number + 2, None), source="test")
    assert replica.describe()["documents"] == MAX_DELETED
    assert replica.get("op/0") is None and replica.get(f"op/{MAX_DELETED}") is not None


def test_changes_that_come_in_groups_are_read_together() -> None:
    """Each runner that loaded weights cost every process a call of the store."""

    class _Counting(_Source):
        async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Snapshot:
            self.calls.append("wait")
            return Snapshot((Document(f"{prefix}x", after + 1, b""),), after + 1)

    async def play() -> None:
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

    asyncio.run(play())
