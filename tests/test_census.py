"""Guards against a census that counts a process that it did not hear from, or hides why."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tornado.testing import bind_unused_port

from sycamoreproxy.census import Census, CensusReport, CensusResponder
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.messages import Hello
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.streams import Address, MessageServer


@dataclass
class _Target:
    replicas: int


class _View:
    revision = 7

    def models(self) -> tuple[str, ...]:
        return ("lm",)

    def target(self, model: str) -> _Target:
        return _Target(replicas=3)


class _Process:
    """A hub with a listener that answers the census."""

    def __init__(self, host: str, revision: int, *unmet: str) -> None:
        self.host = host
        self.hub = PeerHub(hello=Hello(host, host, "upstream", "zone", "region"), client_tls=None)
        self.responder = CensusResponder(
            hub=self.hub, revision=lambda: revision, unmet=lambda: unmet
        )
        socket, self.port = bind_unused_port()
        self.server = MessageServer(handle=self.hub.serve, tls=None)
        self.server.add_socket(socket)

    def record(self, *, name: str = "", state: str = "live") -> HostRecord:
        address = Address("127.0.0.1", self.port)
        return HostRecord(
            name or self.host, "upstream", "zone", "region", address, address, state, "engine", "lm"
        )

    async def close(self) -> None:
        self.server.stop()
        await self.hub.close()


def _run(
    others: Callable[[], list[_Process]],
    records: Callable[[list[_Process]], list[HostRecord]],
    before: Callable[[_Process, list[_Process]], Awaitable[None]] | None = None,
    revision: int = 7,
) -> CensusReport:
    async def take() -> CensusReport:
        own, processes = _Process("own", 7), others()
        census = Census(
            hub=own.hub,
            responder=own.responder,
            hosts=lambda: records([own, *processes]),
            view=_View,
            client_tls=None,
            clock=ManualClock(start=60),
            timeout_s=1.0,
        )
        try:
            if before is not None:
                await before(own, processes)
            return await census.take(revision)
        finally:
            for process in (own, *processes):
                await process.close()

    return asyncio.run(take())


def test_counts_and_names_what_lags_or_is_unmet() -> None:
    report = _run(
        lambda: [_Process("new", 8), _Process("old", 6, "the engine refused lm-2 (422)")],
        lambda processes: [process.record() for process in processes],
    )
    assert (report.in_force, report.expected, report.newest) == (2, 3, 8)
    assert [(item.host, item.reason) for item in report.missing] == [
        ("old", "revision 6 is in force there")
    ]
    assert [(item.host, item.reason) for item in report.unmet] == [
        ("old", "the engine refused lm-2 (422)")
    ]


def test_hosts_below_the_replicas_wanted_are_reported() -> None:
    report = _run(
        lambda: [_Process("leaving", 7)],
        lambda processes: [processes[0].record(), processes[1].record(state="leaving")],
    )
    assert (report.in_force, report.expected) == (2, 2)
    assert report.unmet[0].reason == "not enough hosts: lm wants 3 replicas, 1 are live"


def test_silent_hosts_are_missing_unless_they_are_leaving() -> None:
    def records(processes: list[_Process]) -> list[HostRecord]:
        processes[1].server.stop()
        return [processes[0].record(), processes[1].record(), processes[1].record(name="b")]

    report = _run(lambda: [_Process("a", 7)], records)
    assert (report.in_force, report.expected) == (1, 3)
    assert all(item.reason.startswith("no answer since") for item in report.missing)

    def leaving(processes: list[_Process]) -> list[HostRecord]:
        processes[1].server.stop()
        return [processes[0].record(), processes[1].record(state="leaving")]

    report = _run(lambda: [_Process("a", 7)], leaving)
    assert (report.in_force, report.expected) == (1, 1)


def test_host_that_took_over_an_address_does_not_answer_for_the_listed_one() -> None:
    report = _run(
        lambda: [_Process("replacement", 7)],
        lambda processes: [processes[0].record(), processes[1].record(name="gone")],
    )
    assert [item.host for item in report.missing] == ["gone"]


def test_closed_stream_tells_since_when_a_host_is_cut_off() -> None:
    async def lose(own: _Process, others: list[_Process]) -> None:
        closed = asyncio.Event()
        own.hub.on_close(lambda peer: closed.set())
        opened = asyncio.Event()
        own.hub.on_open(lambda peer: opened.set())
        own.hub.set_targets({Address("127.0.0.1", others[0].port)})
        await asyncio.wait_for(opened.wait(), 10)
        others[0].server.stop()
        await others[0].hub.close()
        await asyncio.wait_for(closed.wait(), 10)

    report = _run(
        lambda: [_Process("lost", 7)],
        lambda processes: [process.record() for process in processes],
        lose,
    )
    assert re.fullmatch(r"cut off since 1970-01-01 00:01:00 UTC", report.missing[0].reason)
