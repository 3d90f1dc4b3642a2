"""Retry budget for requests, kept by each entry host without coordination.

:class:`ResendBudget` is kept per service, with the limits set by the operator, and is used by
``routed_dispatch``. ``retries.RetryBudget`` is used by ``dispatch`` and has constant limits.
"""

from __future__ import annotations

from collections import deque

from sycamoreproxy.clock import Clock

#: Fraction of the operator's budget that entry hosts use together. The rest covers hosts that start
#: before the others know the new number of hosts, and requests counted in different windows.
USABLE_FRACTION = 0.7
#: Number of entry hosts assumed until it is known.
DEFAULT_ENTRY_HOSTS = 12


class ResendBudget:
    """Limits the resends to one service within a sliding window.

    :param ratio: permitted resends per request.
    :param slack: permitted resends beyond the ratio in one window, of all entry hosts together.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, *, clock: Clock, ratio: float, slack: float, window_s: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_attempts: deque[float] = deque()
        self._resends: deque[float] = deque()
        self.entry_hosts = 0

    def update_entry_hosts(self, count: int) -> None:
        """Update the number of entry hosts with the number that one process sees.

        The highest number is kept. During a network partition, a process sees only the hosts of its
        own availability zone while those of the other zones continue to send.
        """
        self.entry_hosts = max(self.entry_hosts, count)

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits; requests and resends that were counted before stay counted."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def count_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.append(self._clock.monotonic())

    def count_resend(self) -> None:
        """Count a resend without checking the budget."""
        self._resends.append(self._clock.monotonic())

    def try_acquire(self) -> bool:
        """Count a resend if the budget allows it; return whether it does."""
        if not self.allows():
            return False
        self.count_resend()
        return True

    def allows(self) -> bool:
        """Return whether the budget allows another resend."""
        self._expire()
        hosts = self.entry_hosts or DEFAULT_ENTRY_HOSTS
        limit = USABLE_FRACTION * (self._ratio * len(self._first_attempts) + self._slack / hosts)
        return len(self._resends) + 1 <= limit

    def _expire(self) -> None:
        window_start = self._clock.monotonic() - self._window_s
        for times in (self._first_attempts, self._resends):
            while times and times[0] < window_start:
                times.popleft()
