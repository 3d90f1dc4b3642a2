"""A store lease shared by all keys written within a time window."""

from __future__ import annotations

import asyncio

from sycamoreproxy.clock import Clock
from sycamoreproxy.store import Store


class SharedLease:
    """Grants a lease on first use and replaces it once per window; leases are never renewed.

    One lease per key would double the number of writes to the store.

    :param ttl_s: minimum time to live of a key, in seconds; the time to live of the lease is
        longer by one window.
    :param window_s: time for which new keys are attached to the same lease, in seconds.
    """

    def __init__(self, *, store: Store, clock: Clock, ttl_s: int, window_s: int = 3_600) -> None:
        self._store = store
        self._clock = clock
        self._window_s = window_s
        self._lease_ttl_s = ttl_s + window_s
        self._lease_id = 0
        self._granted_at = 0.0
        self._lock = asyncio.Lock()

    async def current(self) -> int:
        """Return the id of the lease for new keys, granting one if needed.

        :raises StoreUnavailableError: if no lease was granted.
        :raises StoreAnswerLostError: if a lease may have been granted but its id was not received;
            such a lease expires without further action.
        """
        async with self._lock:
            now = self._clock.monotonic()
            if not self._lease_id or now - self._granted_at >= self._window_s:
                self._lease_id = await self._store.grant_lease(self._lease_ttl_s)
                # The time is taken before the call, so that the window never outlasts the lease.
                self._granted_at = now
            return self._lease_id

    def invalidate(self) -> None:
        """Discard the current lease, which the store may have lost; the next use grants a new one."""
        self._lease_id = 0
