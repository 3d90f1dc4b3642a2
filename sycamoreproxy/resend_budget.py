"""Budget for sending requests again, kept by each entry host without a coordinator."""

from __future__ import annotations

from collections import deque

from sycamoreproxy.clock import Clock

#: Part of the operator's budget that entry hosts use. The rest covers hosts that start while
#: others still count their old number, and requests counted in another window.
USED_FRACTION = 0.7
#: Entry hosts assumed while their number is not known.
UNKNOWN_ENTRY_HOSTS = 12


class ResendBudget:
    """Bounds resends to one service within a sliding window.

    :param ratio: resends per request.
    :param slack: resends of all entry hosts together beyond the ratio in one window.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, *, clock: Clock, ratio: float, slack: float, window_s: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._resends: deque[float] = deque()
        self.entry_hosts = 0

    def update_entry_hosts(self, count: int) -> None:
        """Take the number of entry hosts that one process sees.

        The highest number counts: in a zone that is cut off, a process sees only that zone's hosts
        while those of the other zones go on sending.
        """
        self.entry_hosts = max(self.entry_hosts, count)

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the budget; what was counted before stays."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def count_first(self) -> None:
        """Count a request that is sent for the first time."""
        self._firsts.append(self._clock.monotonic())

    def count_resend(self) -> None:
        """Count a resend that was made whatever the budget says."""
        self._resends.append(self._clock.monotonic())

    def take(self) -> bool:
        """Return whether a request may be sent again, and count it."""
        if not self.allows():
            return False
        self.count_resend()
        return True

    def allows(self) -> bool:
        """Return whether a request may be sent again."""
        self._expire()
        hosts = self.entry_hosts or UNKNOWN_ENTRY_HOSTS
        limit = USED_FRACTION * (self._ratio * len(self._firsts) + self._slack / hosts)
        return len(self._resends) + 1 <= limit

    def _expire(self) -> None:
        start = self._clock.monotonic() - self._window_s
        for times in (self._firsts, self._resends):
            while times and times[0] < start:
                times.popleft()
