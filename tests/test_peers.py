"""Tests that unchanged heartbeats sent as ``Repeat`` are neither lost nor confused."""

import asyncio
from typing import Any

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import EngineLoad, Hello, PeerStatus
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.streams import Address, MessageServer


@pytest.mark.parametrize("protocol", [1, 2])
def test_unchanged_heartbeats_are_delivered_and_take_few_bytes(protocol: int) -> None:
    """A repetition must refresh the peer's state; a peer of protocol 1 must get it in full."""
    received: list[PeerStatus] = []
    first = PeerStatus("ready", 7, "d" * 64)
    second = PeerStatus("leaving", 7, "d" * 64)
    sent = [first, first, second, second, first]

    async def run() -> int:
        server_hub = PeerHub(
            hello=Hello("a", "1", "entry", "z", "r", protocol=protocol), client_tls=None
        )
        client_hub = PeerHub(hello=Hello("b", "2", "entry", "z", "r"), client_tls=None)
        done = asyncio.Event()

        def record(peer: Any, message: PeerStatus) -> None:
            received.append(message)
            if len(received) == len(sent):
                done.set()

        server_hub.on(PeerStatus, record)
        client_hub.on_open(lambda peer: [peer.send(item) for item in sent])
        socket, port = bind_unused_port()
        server = MessageServer(handle=server_hub.serve, tls=None)
        server.add_socket(socket)
        client_hub.set_targets({Address("127.0.0.1", port)})
        await asyncio.wait_for(done.wait(), 10)
        bytes_in = server_hub.bytes_in
        await client_hub.close()
        await server_hub.close()
        server.stop()
        return bytes_in

    bytes_in = asyncio.run(run())
    assert received == sent
    assert (bytes_in < 330) == (protocol == 2)


def test_peer_lists_are_updated_when_streams_open_and_close() -> None:
    """A stale list sends load reports to closed streams, or none to a newly connected host."""

    async def run() -> None:
        received: list[tuple[str, EngineLoad]] = []
        hub = PeerHub(hello=Hello("a", "1", "upstream", "z1", "r"), client_tls=None)
        socket, port = bind_unused_port()
        server = MessageServer(handle=hub.serve, tls=None)
        server.add_socket(socket)
        clients: dict[str, PeerHub] = {}
        load = EngineLoad("e", 1, 0, 1.0, False, {"m": 1})
        specs = (("b", "entry", "z1"), ("c", "entry", "z2"), ("d", "upstream", "z1"))

        async def check(expected: set[str]) -> None:
            while {peer.hello.host for peer in hub.list_peers()} != expected:
                await asyncio.sleep(0.005)
            assert set(hub.list_peers()) == hub.peers
            entries = {name for name, role, _ in specs if role == "entry"} & expected
            assert {peer.hello.host for peer in hub.list_peers(role="entry")} == entries
            local = {name for name, role, zone in specs if (role, zone) == ("entry", "z1")}
            received.clear()
            hub.broadcast(load, role="entry", availability_zone="z1")
            while len(received) < len(local & expected):
                await asyncio.sleep(0.005)
            assert received == [(name, load) for name in local & expected]

        async with asyncio.timeout(10):
            await check(set())
            for name, role, zone in specs:
                client = PeerHub(hello=Hello(name, "1", role, zone, "r"), client_tls=None)
                client.on(
                    EngineLoad, lambda peer, item, receiver=name: received.append((receiver, item))
                )
                client.set_targets({Address("127.0.0.1", port)})
                clients[name] = client
                await check(set(clients))
            for name in list(clients):
                await clients.pop(name).close()
                await check(set(clients))
        server.stop()

    asyncio.run(run())
