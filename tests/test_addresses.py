"""Guards against deployments and tests that open an address which another one has taken."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from tornado.netutil import bind_sockets

from bench.soak_site import STATE_PORT, STORE_PORT, Site
from tools.addresses import reserve_address


def _listen_with_asyncio(port: int) -> None:
    async def main() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", port)
        server.close()

    asyncio.run(main())


def _listen_with_tornado(port: int) -> None:
    for listener in bind_sockets(port, "127.0.0.1"):
        listener.close()


@pytest.mark.parametrize("listen", [_listen_with_asyncio, _listen_with_tornado])
def test_reserved_address_is_opened_by_its_server_and_reserved_by_nobody_else(
    listen: Callable[[int], None],
) -> None:
    """A port that is free between its choice and its use may be taken by another process."""
    with reserve_address() as holder:
        ip, port = holder.getsockname()
        # A second time, as a process that is started again.
        for _ in range(2):
            listen(port)
            with pytest.raises(OSError, match="in use"):
                reserve_address(ip, port)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((ip, port), 5)
    reserve_address(ip, port).close()


def test_sites_of_one_process_id_do_not_share_addresses(tmp_path: Path) -> None:
    """A deployment ended with "Address already in use" beside one with the same remainder."""

    async def main() -> None:
        sites = [Site(directory=tmp_path, entries=0, engines=0) for _ in range(3)]
        try:
            for site in sites:
                await site.start()
            assert len({site.store_address for site in sites}) == len(sites)
        finally:
            for site in sites:
                await site.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("part", "port"), [("9.1", STORE_PORT), ("1.2", STATE_PORT), ("2.1", STATE_PORT)]
)
def test_site_avoids_the_addresses_of_processes_that_were_left(
    tmp_path: Path, part: str, port: int
) -> None:
    """Processes outlive a launcher that was killed; a site between their addresses never serves."""
    first, second = (Site(directory=tmp_path, entries=2, engines=1) for _ in range(2))
    with contextlib.ExitStack() as left:
        first.reserve_addresses()
        ip = first.store_address.removesuffix("9.1") + part
        for listener in bind_sockets(port, ip):
            left.enter_context(listener)
        asyncio.run(first.close())
        second.reserve_addresses()
        assert second.store_address != first.store_address
        asyncio.run(second.close())
