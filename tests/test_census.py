"""Tests that the census counts only processes that replied, and reports why others are missing."""

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.census import Census, CensusReport, CensusResponder
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.messages import Hello
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.streams import Address, MessageServer

VIEW = SimpleNamespace(
    revision=7, models=lambda: ("lm", "gone-lm"), target=lambda model: SimpleNamespace(version="v")
)


@dataclass(frozen=True)
class _Case:
    """State of the one process that is queried, besides the process that runs the census."""

    revision: int = 7
    state: str = "live"
    listed_as: str = "other"
    is_stopped: bool = False
    is_linked: bool = False
    unmet: str = ""


class _Process:
    def __init__(self, host: str, revision: int, unmet: str = "") -> None:
        self.hub = PeerHub(hello=Hello(host, host, "upstream", "zone", "region"), client_tls=None)
        self.responder = CensusResponder(
            hub=self.hub, revision=lambda: revision, unmet=lambda: [unmet] if unmet else []
        )
        socket, port = bind_unused_port()
        self.address = Address("127.0.0.1", port)
        self.server = MessageServer(handle=self.hub.serve, tls=None)
        self.server.add_socket(socket)

    def record(self, name: str, state: str = "live") -> HostRecord:
        address = self.address
        return HostRecord(
            name, "upstream", "zone", "region", address, address, state, "engine", "lm"
        )

    async def close(self) -> None:
        self.server.stop()
        await self.hub.close()


async def _collect(case: _Case) -> CensusReport:
    own, other = _Process("own", 7), _Process("other", case.revision, case.unmet)
    census = Census(
        hub=own.hub,
        responder=own.responder,
        hosts=lambda: [own.record("own"), other.record(case.listed_as, case.state)],
        view=lambda: VIEW,
        client_tls=None,
        clock=ManualClock(start=60),
        timeout_s=1.0,
    )
    try:
        if case.is_linked:
            opened, closed = asyncio.Event(), asyncio.Event()
            own.hub.on_open(lambda peer: opened.set())
            own.hub.on_close(lambda peer: closed.set())
            own.hub.set_targets({other.address})
            await asyncio.wait_for(opened.wait(), 10)
        if case.is_stopped:
            await other.close()
        if case.is_linked:
            await asyncio.wait_for(closed.wait(), 10)
        return await census.collect(7)
    finally:
        await own.close()
        await other.close()


NO_ANSWER = "no answer since this process started at 1970-01-01 00:01:00 UTC"


@pytest.mark.parametrize(
    ("case", "in_force", "expected", "reasons"),
    [
        (_Case(revision=8), 2, 2, []),
        (_Case(revision=6), 1, 2, ["revision 6 is in force there"]),
        (_Case(state="leaving"), 2, 2, []),
        (_Case(is_stopped=True), 1, 2, [NO_ANSWER]),
        (_Case(is_stopped=True, state="leaving"), 1, 1, []),
        # The address was reassigned to another host after the list was read.
        (_Case(listed_as="gone"), 1, 2, [NO_ANSWER]),
        (
            _Case(is_linked=True, is_stopped=True),
            1,
            2,
            ["cut off since 1970-01-01 00:01:00 UTC"],
        ),
    ],
)
def test_only_processes_that_replied_are_counted(
    case: _Case, in_force: int, expected: int, reasons: list[str]
) -> None:
    report = asyncio.run(_collect(case))
    assert (report.in_force, report.expected) == (in_force, expected)
    assert [item.reason for item in report.missing] == reasons
    assert report.newest == max(7, case.revision if case.listed_as == "other" else 0)


def test_unmet_targets_and_models_without_hosts_are_reported() -> None:
    report = asyncio.run(_collect(_Case(unmet="the engine refused lm-2 (422)")))
    assert [(item.host, item.reason) for item in report.unmet] == [
        ("other", "the engine refused lm-2 (422)"),
        ("", "not enough hosts: no host of gone-lm answers"),
    ]
