"""Reserves TCP addresses for processes that open them later."""

from __future__ import annotations

import socket


def reserve_address(ip: str = "127.0.0.1", port: int = 0) -> socket.socket:
    """Reserve a TCP address until the returned socket is closed; nobody can connect to it.

    A server that sets ``SO_REUSEADDR``, as those of asyncio and Tornado do, can open the address
    meanwhile. This is how Linux treats bound sockets that don't listen.

    :param port: 0 for any free port.
    :raises OSError: if the address is in use or reserved.
    """
    holder = socket.socket()
    try:
        holder.bind((ip, port))
    except OSError:
        holder.close()
        raise
    # If it were set before `bind`, two sockets could reserve one address.
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return holder
