"""Callers of the fault soak whose requests reach an entry host when it closes its listener in a stop."""

from __future__ import annotations

import asyncio
import random
import time

from bench.soak_callers import Caller
from bench.soak_site import Host
from sycamoreproxy.routed_entry import READY_DRAIN_S

#: Time before and after the close in which connections are opened and requests are sent, in seconds.
WINDOW_S = 1.0
#: Longest time from the opening of a connection to its request, in seconds: as long as a
#: stopping host waits for it.
OPEN_MAX_S = 0.5
#: Interval at which a caller looks whether its host stops, in seconds.
POLL_S = 0.02
#: Interval between the requests that keep a connection, in seconds.
KEEP_S = 1.0


class LateCaller:
    """Sends one long stream in each stop of an entry host, near the close of its listener.

    :param keeps_connection: whether it uses a connection from before the stop; otherwise it opens
        one near the close.
    """

    def __init__(self, *, caller: Caller, host: Host, keeps_connection: bool) -> None:
        self._caller = caller
        self._host = host
        self._keeps_connection = keeps_connection
        self._last_stop = 0

    async def run(self, random_source: random.Random, *, until: asyncio.Event) -> None:
        """Send a request in each stop until an event is set."""
        while not until.is_set():
            stopped_at = self._host.stopped_at.get(self._host.lifetime)
            if stopped_at is not None and self._host.lifetime != self._last_stop:
                self._last_stop = self._host.lifetime
                await self._send(random_source, closes_at=stopped_at + READY_DRAIN_S)
            elif self._keeps_connection and stopped_at is None:
                await self._caller.ask("read")
                await self._wait_stop(KEEP_S)
            await asyncio.sleep(POLL_S)

    async def _wait_stop(self, longest_s: float) -> None:
        """Wait until the host stops, for a time at most."""
        end = time.monotonic() + longest_s
        while time.monotonic() < end and not self._host.is_stopping:
            await asyncio.sleep(POLL_S)

    async def _send(self, random_source: random.Random, *, closes_at: float) -> None:
        # Denser towards the close; what is sent after it follows a connection from just before it.
        open_at = closes_at - WINDOW_S * random_source.random() ** 3
        wait_s = random_source.uniform(0.0, OPEN_MAX_S)
        send_at = open_at + random_source.choice([0.0, wait_s, wait_s])
        if self._keeps_connection:
            send_at = closes_at + random_source.uniform(-WINDOW_S, WINDOW_S)
        else:
            await asyncio.sleep(open_at - time.monotonic())
            self._caller.close()
            await self._caller.open()
        await asyncio.sleep(send_at - time.monotonic())
        await self._caller.ask("long")
        self._caller.close()
