"""Tests that processes beside engines agree on a quarantine, and that entry hosts can object."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sycamoreproxy.crash_correlator import (
    LOST_REQUEST_MAX_AGE_S,
    MAX_PROMPTS,
    REPLY_TIMEOUT_S,
    CrashCorrelator,
)
from sycamoreproxy.crash_evidence import CrashEvidence
from sycamoreproxy.messages import LostRequest, QuarantineNotice, SoundParts, SuspectedParts
from tests._virtual_time import LoopClock, in_virtual_time


class _Peer:
    """Delivers messages to the handlers of the other end after a short delay."""

    def __init__(self, network: _Network, owner: _Hub, target: _Hub) -> None:
        self.hello = target.hello
        self._network, self._owner, self._target = network, owner, target

    def send(self, message: object) -> bool:
        asyncio.get_running_loop().call_later(0.02, self._deliver, message)
        return True

    def _deliver(self, message: object) -> None:
        peer = self._network.peer(self._target, self._owner)
        for handler in self._target.handlers_by_type.get(type(message), ()):
            handler(peer, message)


class _Hub:
    def __init__(self, host: str, role: str, network: _Network) -> None:
        self.hello = type("Hello", (), {"host": host, "role": role})
        self.handlers_by_type: dict[type, list[Any]] = {}
        self.open_listeners: list[Any] = []
        self.on_open = self.open_listeners.append
        self.close_listeners: list[Any] = []
        self.on_close = self.close_listeners.append
        self._peers_by_host: dict[str, _Peer] = {}
        self._network = network

    def on(self, message_type: type, handler: Any) -> None:
        self.handlers_by_type.setdefault(message_type, []).append(handler)

    def list_peers(self, *, role: str | None = None) -> tuple[_Peer, ...]:
        return tuple(
            self.peer_of(hub)
            for hub in self._network.hubs
            if hub is not self and role in (None, hub.hello.role)
        )

    def peer_of(self, other: _Hub) -> _Peer:
        host = other.hello.host
        if host not in self._peers_by_host:
            self._peers_by_host[host] = _Peer(self._network, self, other)
        return self._peers_by_host[host]

    def broadcast(self, message: object, *, role: str | None = None) -> None:
        for peer in self.list_peers(role=role):
            peer.send(message)


class _Network:
    """Processes beside three engines and two entry hosts, all connected to each other."""

    def __init__(self) -> None:
        self.hubs: list[_Hub] = []
        self.entries = [_Hub(f"e{n}", "entry", self) for n in range(2)]
        self.sidecars = [_Hub(f"u{n}", "upstream", self) for n in range(3)]
        self.hubs = [*self.entries, *self.sidecars]
        self.correlators = [self.add_correlator(hub) for hub in self.sidecars]
        self.notices: list[tuple[str, str]] = []
        self.notice_times: list[float] = []
        self.sound: set[str] = set()
        self.reply_delay_s = 0.0
        self.silent_hosts: set[str] = set()
        for entry in self.entries:
            entry.on(QuarantineNotice, lambda peer, m, e=entry: self._note(e, m))
            entry.on(SuspectedParts, self._answer)

    def add_correlator(self, hub: _Hub) -> CrashCorrelator:
        clock = LoopClock()
        return CrashCorrelator(
            hub=hub,  # type: ignore[arg-type]
            evidence=CrashEvidence(clock=clock),
            clock=clock,
        )

    def peer(self, owner: _Hub, target: _Hub) -> _Peer:
        return owner.peer_of(target)

    def _note(self, entry: _Hub, notice: QuarantineNotice) -> None:
        self.notices.append((entry.hello.host, notice.part))
        self.notice_times.append(asyncio.get_running_loop().time())

    def _answer(self, peer: _Peer, message: SuspectedParts) -> None:
        if peer._owner.hello.host in self.silent_hosts:
            return
        sound = tuple(part for part in message.parts if part in self.sound)
        asyncio.get_running_loop().call_later(self.reply_delay_s, peer.send, SoundParts(sound))

    async def crash(self, engine: int, lifetime: int, *prompts: tuple[str, ...]) -> None:
        for number, parts in enumerate(prompts):
            entry = self.entries[number % 2]
            self.peer(entry, self.sidecars[engine]).send(LostRequest(parts))
        await asyncio.sleep(0.05)
        self.correlators[engine].record_engine_lost(f"u{engine}/{lifetime}")
        await asyncio.sleep(0.15)


@in_virtual_time
async def test_part_common_to_three_crashes_is_quarantined_at_all_entry_hosts() -> None:
    network = _Network()
    for engine in range(3):
        await network.crash(engine, 1, ("f", "d"), (f"g{engine}",))
    await asyncio.sleep(1.0)
    assert set(network.notices) == {("e0", "d"), ("e1", "d")}


@in_virtual_time
async def test_crashes_of_one_engine_count_by_lifetime() -> None:
    network = _Network()
    for lifetime in range(3):
        await network.crash(0, lifetime, ("f", "d"))
    await asyncio.sleep(1.0)
    assert {part for _, part in network.notices} == {"d"}


@in_virtual_time
async def test_part_with_a_recent_complete_answer_is_not_quarantined() -> None:
    """Many engines may crash at once for another reason while one part is in most prompts."""
    network = _Network()
    network.sound = {"f"}
    for lifetime in range(4):
        await network.crash(lifetime % 3, lifetime, ("f",), ("f", "d"))
    await asyncio.sleep(1.0)
    assert {part for _, part in network.notices} == {"d"}


@in_virtual_time
async def test_sound_part_is_not_quarantined_because_busy_entry_hosts_reply_late() -> None:
    network = _Network()
    network.sound = {"f"}
    network.reply_delay_s = 0.6
    for engine in range(3):
        await network.crash(engine, 1, ("f",))
    await asyncio.sleep(5.0)
    assert network.notices == []


@pytest.mark.parametrize("is_closed", [False, True])
def test_entry_host_that_does_not_reply_holds_the_quarantine_up_only_briefly(
    is_closed: bool,
) -> None:
    @in_virtual_time
    async def run() -> None:
        network = _Network()
        network.silent_hosts = {"e1"}
        for engine in range(3):
            await network.crash(engine, 1, ("f", "d"))
        crashed_at = asyncio.get_running_loop().time()
        if is_closed:
            for sidecar in network.sidecars:
                for listener in sidecar.close_listeners:
                    listener(network.peer(sidecar, network.entries[1]))
        await asyncio.sleep(5.0)
        assert {part for _, part in network.notices} == {"d"}
        limit_s = 0.2 if is_closed else REPLY_TIMEOUT_S + 0.2
        assert network.notice_times[0] - crashed_at < limit_s

    run()


@in_virtual_time
async def test_many_sound_parts_in_the_same_crashes_do_not_delay_the_quarantine() -> None:
    """Engines lose all their streams at once; those of many popular parts are among them."""
    network = _Network()
    sound = [f"s{number}" for number in range(40)]
    network.sound = set(sound)
    prompts = [("f", part, f"z-{part}") for part in sound]
    network.sound |= {part for prompt in prompts for part in prompt}
    for engine in range(3):
        await network.crash(engine, 1, *prompts, ("f", "d"))
    crashed_at = asyncio.get_running_loop().time()
    await asyncio.sleep(10.0)
    assert set(network.notices) == {("e0", "d"), ("e1", "d")}
    assert network.notice_times[-1] - crashed_at < 1.0


@pytest.mark.parametrize(("pause_s", "counts"), [(0.0, True), (LOST_REQUEST_MAX_AGE_S + 1, False)])
def test_requests_lost_long_before_a_crash_do_not_count(pause_s: float, counts: bool) -> None:
    @in_virtual_time
    async def run() -> None:
        network = _Network()
        for engine in range(3):
            network.peer(network.entries[0], network.sidecars[engine]).send(LostRequest(("d",)))
            await asyncio.sleep(0.05 + pause_s)
            network.correlators[engine].record_engine_lost(f"u{engine}/1")
            await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)
        assert bool(network.notices) is counts

    run()


@in_virtual_time
async def test_restarted_processes_learn_of_the_quarantine() -> None:
    network = _Network()
    for engine in range(3):
        await network.crash(engine, 1, ("f", "d"))
    await asyncio.sleep(1.0)
    network.notices.clear()
    sidecar, entry = network.sidecars[0], network.entries[0]
    for listener in sidecar.open_listeners:
        listener(network.peer(sidecar, entry))
    await asyncio.sleep(0.1)
    assert network.notices == [("e0", "d")]


@in_virtual_time
async def test_many_losses_of_one_prompt_do_not_displace_the_others() -> None:
    network = _Network()
    for engine in range(3):
        await network.crash(engine, 1, ("f", "d"), *[("f",)] * MAX_PROMPTS)
    await asyncio.sleep(1.0)
    assert {part for _, part in network.notices} == {"d"}
