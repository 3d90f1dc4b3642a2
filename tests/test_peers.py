"""Guards against heartbeats that are lost or mixed up when equal ones are shortened."""

import asyncio
from typing import Any

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import Hello, PeerStatus
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
