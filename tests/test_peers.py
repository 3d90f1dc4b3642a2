"""Guards against heartbeats that are lost or mixed up when equal ones are shortened."""

import asyncio
from typing import Any

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import EngineLoad, Hello, PeerStatus
from sycamoreproxy.peers import PeerHub
from sycamoreproxy.streams import Address, MessageServer


@pytest.mark.parametrize("protocol", [1, 2])
def test_equal_heartbeats_arrive_each_time_and_take_few_bytes(protocol: int) -> None:
    """A repeated heartbeat must renew the peer's state; an old peer must get it in full."""
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

        def take(peer: Any, message: PeerStatus) -> None:
            received.append(message)
            if len(received) == len(sent):
                done.set()

        server_hub.on(PeerStatus, take)
        client_hub.on_open(lambda peer: [peer.send(item) for item in sent])
        socket, port = bind_unused_port()
        server = MessageServer(handle=server_hub.serve, tls=None)
        server.add_socket(socket)
        client_hub.set_targets({Address("127.0.0.1", port)})
        await asyncio.wait_for(done.wait(), 10)
        taken = server_hub.bytes_in
        await client_hub.close()
        await server_hub.close()
        server.stop()
        return taken

    taken = asyncio.run(run())
    assert received == sent
    assert (taken < 330) == (protocol == 2)


def test_lists_of_peers_follow_streams_that_open_and_close() -> None:
    """A list that lags sends load reports to closed streams, or none to a host that came."""

    async def run() -> None:
        received: list[tuple[str, EngineLoad]] = []
        hub = PeerHub(hello=Hello("a", "1", "upstream", "z1", "r"), client_tls=None)
        socket, port = bind_unused_port()
        server = MessageServer(handle=hub.serve, tls=None)
        server.add_socket(socket)
        clients: dict[str, PeerHub] = {}
        load = EngineLoad("e", 1, 0, 1.0, False, {"m": 1})
        kinds = (("b", "entry", "z1"), ("c", "entry", "z2"), ("d", "upstream", "z1"))

        async def wait(expected: set[str]) -> None:
            while {peer.hello.host for peer in hub.list_peers()} != expected:
                await asyncio.sleep(0.005)
            assert set(hub.list_peers()) == hub.peers
            entries = {name for name, role, _ in kinds if role == "entry"} & expected
            assert {peer.hello.host for peer in hub.list_peers(role="entry")} == entries
            near = {name for name, role, zone in kinds if (role, zone) == ("entry", "z1")}
            received.clear()
            hub.broadcast(load, role="entry", availability_zone="z1")
            while len(received) < len(near & expected):
                await asyncio.sleep(0.005)
            assert received == [(name, load) for name in near & expected]

        async with asyncio.timeout(10):
            await wait(set())
            for name, role, zone in kinds:
                client = PeerHub(hello=Hello(name, "1", role, zone, "r"), client_tls=None)
                client.on(EngineLoad, lambda peer, item, to=name: received.append((to, item)))
                client.set_targets({Address("127.0.0.1", port)})
                clients[name] = client
                await wait(set(clients))
            for name in list(clients):
                await clients.pop(name).close()
                await wait(set(clients))
        server.stop()

    asyncio.run(run())
