"""Polls the host list and hands each new list to its listeners."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from sycamoreproxy.host_list import HostList, HostListError, HostRecord
from sycamoreproxy.logs import get_logger

_log = get_logger("host_poller")

Listener = Callable[[tuple[HostRecord, ...]], None]


class HostPoller:
    """Keeps the last good list; a failed poll changes nothing.

    :param host_list: adapter of the platform's list.
    :param period_s: time between polls in seconds; a fifth of it is jitter, so that hosts which
        started together do not poll together.
    """

    def __init__(self, *, host_list: HostList, period_s: float) -> None:
        self._host_list = host_list
        self._period_s = period_s
        self._listeners: list[Listener] = []
        self.records: tuple[HostRecord, ...] = ()
        self.failures = 0

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener(records)`` after each change of the list."""
        self._listeners.append(listener)

    async def poll(self) -> None:
        """Read the list once."""
        try:
            records = await self._host_list.read()
        except HostListError as error:
            self.failures += 1
            _log.warning("host list not read", error=str(error), failures=self.failures)
            return
        self.failures = 0
        if records is None:
            return
        self.records = records
        for listener in self._listeners:
            listener(records)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            # A process that has never seen a list can do nothing and asks sooner.
            period = self._period_s if self.records else min(self._period_s, 0.5)
            await asyncio.sleep(period * (0.9 + 0.2 * random.random()))
