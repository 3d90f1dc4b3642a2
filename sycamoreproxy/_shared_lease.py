"""A store lease that is shared by everything written within a window of time."""

from __future__ import annotations

import asyncio

from sycamoreproxy.clock import Clock
from sycamoreproxy.store import Store


class SharedLease:
    """Grants a lease on first use and another one each window; it is never renewed.

    One lease per key would double the writes.

    :param ttl_s: shortest life of a key, in seconds; the lease lives one window longer.
    :param window_s: how long one lease takes new keys, in seconds.
    """

    def __init__(self, *, store: Store, clock: Clock, ttl_s: int, window_s: int = 3_600) -> None:
        self._store = store
        self._clock = clock
        self._window_s = window_s
        self._life_s = ttl_s + window_s
        self._lease = 0
        self._granted_at = 0.0
        self._lock = asyncio.Lock()

    async def current(self) -> int:
        """Return the lease for new keys.

        :raises StoreUnavailableError: without a lease.
        :raises StoreAnswerLostError: the lease granted unseen expires by itself.
        """
        async with self._lock:
            now = self._clock.monotonic()
            if not self._lease or now - self._granted_at >= self._window_s:
                self._lease = await self._store.grant_lease(self._life_s)
                # The time before the call, so that the window never outlasts the lease.
                self._granted_at = now
            return self._lease

    def invalidate(self) -> None:
        """Grant a new lease at the next use: the store may have lost this one."""
        self._lease = 0
