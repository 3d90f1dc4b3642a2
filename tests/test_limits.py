"""Guards against limits that the fleet exceeds in sum, and against allowance that is stuck."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Failure

from sycamoreproxy import limits as module
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.limits import FleetLimits, Permit

READY_S = max(module.RATE_QUIET_S, module.LIST_LAG_S) + 1


class Fleet:
    """Entry hosts on a network that delays, loses and cuts; checks the sums at every step."""

    def __init__(self, *, hosts: int, seed: int, loss: float = 0.0, **cells: int) -> None:
        self.clock = ManualClock(start=1000.0)
        self.rng = random.Random(seed)
        self.loss = loss
        defaults = {"concurrent_limit": 0, "requests_per_minute": 0, "tokens_per_minute": 0}
        self.policy = SimpleNamespace(**{**defaults, **cells})
        self.names = [f"e{number}" for number in range(hosts)]
        self.cut: set[str] = set()
        self.in_flight: list[tuple[float, str, str, Any]] = []
        self.limits = {name: self.start(name) for name in self.names}
        self.open: list[tuple[float, Permit, int]] = []
        self.admitted: list[tuple[float, int]] = []
        self.admitted_by_host = dict.fromkeys(self.names, 0)

    def start(self, name: str) -> FleetLimits:
        limits = FleetLimits(
            host=name,
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            get_policy=lambda *row: self.policy,
            list_peers=lambda: [other for other in self.names if other != name],
            send=lambda host, message: self.send(name, host, message),
        )
        limits.replace_entry_hosts(dict.fromkeys(self.names, "live"))
        return limits

    def send(self, sender: str, host: str, message: Any) -> None:
        delay = self.rng.uniform(0.001, 0.2)
        if (sender in self.cut) != (host in self.cut):
            # A cut link may deliver what it buffered after it is joined.
            delay = self.rng.uniform(5, 120) if self.rng.random() < 0.3 else float("inf")
        if self.rng.random() >= self.loss:
            self.in_flight.append((self.clock.monotonic() + delay, sender, host, message))

    def step(self, seconds: float) -> None:
        """Advance the time, deliver messages, end requests and check the sums."""
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        due = [item for item in self.in_flight if item[0] <= now]
        self.in_flight = [item for item in self.in_flight if item[0] > now]
        for _, sender, host, message in due:
            take = "handle_ask" if type(message).__name__ == "AllowanceAsk" else "handle_grant"
            getattr(self.limits[host], take)(sender, message)
        for item in [item for item in self.open if item[0] <= now]:
            self.open.remove(item)
            item[1].close(tokens=item[2])
        self.admitted = [item for item in self.admitted if item[0] + module.WINDOW_S > now]
        policy = self.policy
        assert len(self.open) <= policy.concurrent_limit or not policy.concurrent_limit
        assert len(self.admitted) <= policy.requests_per_minute or not policy.requests_per_minute
        tokens = sum(item[1] for item in self.admitted)
        assert tokens <= policy.tokens_per_minute or not policy.tokens_per_minute

    def request(self, host: str, *, tokens: int = 10, hold_s: float = 1.0) -> bool:
        taken = self.limits[host].try_acquire("m|a|urgent", self.policy, tokens)
        if not isinstance(taken, Permit):
            self.limits[host].ask(*taken)
            return False
        now = self.clock.monotonic()
        used = self.rng.randint(1, tokens)
        self.admitted.append((now, used))
        self.admitted_by_host[host] += 1
        self.open.append((now + hold_s, taken, used))
        return True

    def run(self, *requests: str, hold_s: float = 1.0) -> None:
        """Send a request to each of these hosts every 100 ms for a minute."""
        self.step(READY_S)
        for number in range(600):
            self.step(0.1)
            for host in requests:
                self.request(host, hold_s=hold_s)
            if number % 10 == 0:
                self.tick()

    def tick(self) -> None:
        for limits in self.limits.values():
            limits.tick()


CELLS = [
    {"concurrent_limit": 3},
    {"concurrent_limit": 40},
    {"requests_per_minute": 5},
    {"requests_per_minute": 400},
    {"tokens_per_minute": 3000},
    {"concurrent_limit": 20, "requests_per_minute": 200, "tokens_per_minute": 2000},
]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("cells", CELLS, ids=str)
def test_sums_hold_under_loss_and_partition(cells: dict[str, int], seed: int) -> None:
    fleet = Fleet(hosts=5, seed=seed, loss=0.2, **cells)
    rng = random.Random(seed + 100)
    weights = [rng.random() ** 3 for _ in fleet.names]
    for number in range(4000):
        fleet.step(rng.expovariate(1 / 0.08))
        if number % 12 == 0:
            fleet.tick()
        if rng.random() < 0.004:
            fleet.cut = set(rng.sample(fleet.names, rng.randint(0, 4)))
        if rng.random() < 0.002:
            weights = [rng.random() ** 3 for _ in fleet.names]
        if rng.random() < 0.001 and not cells.get("concurrent_limit"):
            # A restarted host knows nothing of what it used and lent.
            name = rng.choice(fleet.names)
            fleet.limits[name] = fleet.start(name)
        for _ in range(rng.randint(0, 3)):
            (host,) = rng.choices(fleet.names, weights)
            hold_s = rng.choice([0.1, 1.0, 10.0, 100.0])
            fleet.request(host, tokens=rng.randint(1, 60), hold_s=hold_s)
    assert sum(fleet.admitted_by_host.values()) > 0


@pytest.mark.parametrize(("limit", "least"), [(400, 320), (4, 3)])
def test_one_busy_host_gets_most_of_the_limit(limit: int, least: int) -> None:
    fleet = Fleet(hosts=8, seed=1, requests_per_minute=limit)
    fleet.run("e3", "e3")
    assert fleet.admitted_by_host["e3"] >= least


def test_one_concurrent_request_is_possible_although_shares_are_fractions() -> None:
    fleet = Fleet(hosts=8, seed=2, concurrent_limit=1)
    fleet.run("e1", "e6", hold_s=0.5)
    assert sum(fleet.admitted_by_host.values()) >= 10


def test_lost_loans_come_back() -> None:
    fleet = Fleet(hosts=2, seed=3, loss=1.0, requests_per_minute=100)
    fleet.run("e0")
    assert fleet.admitted_by_host["e0"] == 50
    fleet.step(READY_S)
    fleet.tick()
    assert sum(fleet.request("e1") for _ in range(60)) == 50


def test_new_and_vanished_hosts_do_not_raise_the_sum() -> None:
    fleet = Fleet(hosts=4, seed=4, requests_per_minute=100)
    one = fleet.limits["e0"]
    assert one.get_share(is_rate=True) == one.get_share(is_rate=False) == 0
    fleet.step(READY_S)
    for hosts in ("e0", "e1", "e2", "e3"), ("e0", "e1", "e2"), ("e0", "e2"):
        assert one.get_share(is_rate=True) == 0.25
        one.replace_entry_hosts({host: "leaving" if host == "e1" else "live" for host in hosts})
    assert one.get_share(is_rate=True) == 0.25
    fleet.step(module.LEFT_RATE_HOLD_S)
    assert one.get_share(is_rate=True) == pytest.approx(1 / 3)
    assert one.get_share(is_rate=False) == 0.25
    fleet.step(module.VANISHED_HOLD_S)
    assert one.get_share(is_rate=True) == 0.5


def test_refusals_name_the_limit() -> None:
    async def run() -> None:
        fleet = Fleet(hosts=1, seed=5, tokens_per_minute=50)
        fleet.step(READY_S)
        for tokens, refused in ((40, False), (40, True), (60, True)):
            result = await fleet.limits["e0"].acquire(
                model="m", client_account="a", rank="urgent", policy=fleet.policy, tokens=tokens
            )
            assert isinstance(result, Failure) == refused
            if refused:
                refusal = result.failure()
                assert (refusal.code.name, refusal.executed) == ("token_limit", "no")

    asyncio.run(run())
