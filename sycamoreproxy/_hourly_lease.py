"""A store lease that is shared by everything written within an hour."""

from __future__ import annotations

import asyncio

from sycamoreproxy.clock import Clock
from sycamoreproxy.store import Store

#: How long one lease takes new keys, in seconds. One lease per key would double the writes.
LEASE_WINDOW_S = 3_600


class HourlyLease:
    """Grants a lease on first use and another one each hour; it is never renewed.

    :param ttl_s: shortest life of a key, in seconds; the lease lives one hour longer.
    """

    def __init__(self, *, store: Store, clock: Clock, ttl_s: int) -> None:
        self._store = store
        self._clock = clock
        self._ttl_s = ttl_s
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
            if not self._lease or now - self._granted_at >= LEASE_WINDOW_S:
                self._lease = await self._store.grant_lease(self._ttl_s + LEASE_WINDOW_S)
                # The time before the call, so that the window never outlasts the lease.
                self._granted_at = now
            return self._lease

    def forget(self) -> None:
        """Grant a new lease at the next use: the store may have lost this one."""
        self._lease = 0
