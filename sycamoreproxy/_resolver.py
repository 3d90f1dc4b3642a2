"""Resolver that answers IP numbers at once."""

from __future__ import annotations

import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver, Resolver, is_valid_ip


class NumberResolver(DefaultLoopResolver):
    """Answers IP numbers without the thread pool that ``getaddrinfo`` takes.

    Addresses of a deployment are IP numbers; each pool thread adds a stack and a malloc arena.
    """

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return ``(family, address)`` pairs; names go to the system's resolver.

        :raises OSError: if a name is not found.
        """
        if is_valid_ip(host):
            found = socket.AF_INET6 if ":" in host else socket.AF_INET
            if family in (socket.AF_UNSPEC, found):
                return [(found, (host, port))]
        return await super().resolve(host, port, family)


def use_number_resolver() -> None:
    """Make it the resolver of every tornado client that is created from now on."""
    Resolver.configure(NumberResolver)
