"""Tests that upstreams get no more requests than the limits that they name in their answers."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from sycamoreproxy.caller_request import UpstreamResponseHead
from sycamoreproxy.messages import LimitNotice, LimitReport
from sycamoreproxy.permit_issuer import TRY_INTERVAL_S, PermitIssuer
from sycamoreproxy.upstream_book import UpstreamRecord
from sycamoreproxy.upstream_limits import PERMIT_LIFETIME_S, RESERVED_S, UpstreamLimits
from tests._fake_hub import FakeHub, FakeNetwork, FakePeer
from tests._upstreams import make_upstream
from tests._virtual_time import LoopClock, in_virtual_time
from tests.test_routed_entry import GENERATION_HEADERS, Site, run_with_site

#: The rule of the users: this multiple of what the limit allows in a window, plus these requests.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
#: Time after which the limit binds, in seconds.
CONTACT_S = 3.0
#: Delay of the messages between simulated processes, and time until an answer's head, in seconds.
MESSAGE_DELAY_S = 0.01
HEAD_DELAY_S = 0.1


def count_busiest_window(arrivals: list[float]) -> int:
    """Return the number of arrivals in the busiest window."""
    return max(
        (sum(start <= at < start + WINDOW_S for at in arrivals) for start in arrivals), default=0
    )


async def _send_often(site: Site, path: str, *, seconds: float, headers: dict[str, str]) -> None:
    """Send 20 requests a second and wait for their answers."""
    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(site.send(path, **headers)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    ("path", "runner", "headers"),
    [("/read/x", 2, {}), ("/ask/x", 0, GENERATION_HEADERS)],
    ids=["plain service", "engine"],
)
def test_upstream_gets_no_more_requests_than_the_limit_it_names(
    path: str, runner: int, headers: dict[str, str]
) -> None:
    limit = 1.0

    async def action(site: Site) -> None:
        limited = site.runners[runner]
        limited.limit_headers = (str(limit),)
        started_at = time.monotonic()
        await _send_often(site, path, seconds=CONTACT_S + WINDOW_S + 1.0, headers=headers)
        bound_at = started_at + CONTACT_S
        late = [at for at, _ in limited.arrived if at >= bound_at]
        assert count_busiest_window(late) <= ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_EXTRA

    run_with_site(action)


def test_queue_does_not_expect_more_than_limited_engines_take() -> None:
    async def action(site: Site) -> None:
        dispatcher = site.front.dispatcher
        assert dispatcher._find_nominal_rate("model") > 10
        for runner in site.runners[:2]:
            runner.limit_headers = ("1.5",)
        while dispatcher._find_nominal_rate("model") > 10:
            await site.send("/ask/x", **GENERATION_HEADERS)
        await _send_often(site, "/ask/x", seconds=0.5, headers=GENERATION_HEADERS)
        assert dispatcher._find_nominal_rate("model") == pytest.approx(3.0)

    run_with_site(action)


class Host:
    """A simulated entry host that sends a request whenever its limits permit one."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self.hub = FakeHub(host=f"edge-{number}", role="entry")
        self.limits = UpstreamLimits(
            clock=LoopClock(),
            random_source=random.Random(number),
            find_issuer=lambda record: (
                next(iter(self._list_sidecars()), None) if fleet.is_engine else None
            ),
            find_coordinator=lambda record: (
                None if fleet.is_engine else next(iter(self._list_sidecars()), None)
            ),
            list_relays=self._list_sidecars,
        )
        self.limits.update_entry_hosts(fleet.size)
        self.hub.on(LimitNotice, lambda peer, notice: self.limits.receive_notice(notice))
        self.sent: list[float] = []
        self.level = 0

    def _list_sidecars(self) -> tuple[FakePeer, ...]:
        return self.hub.list_peers(role="upstream")

    async def run(self, *, pause_s: float) -> None:
        """Offer a request after each pause."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause_s)
            self.offer()

    def offer(self) -> None:
        """Send a request if the limits permit it."""
        record = self._fleet.record
        if self.limits.permits(record, self.level):
            self.limits.use_permit(record)
            now = LoopClock().monotonic()
            self.sent.append(now)
            asyncio.get_running_loop().call_later(
                HEAD_DELAY_S, self.receive_head, self._fleet.limit, now
            )
        self.limits.request_permits([record], level=self.level)

    def receive_head(self, limit: float | None, sent_at: float) -> None:
        """Apply the head of an answer."""
        head = UpstreamResponseHead(
            status=200,
            not_executed=False,
            is_misdirected=False,
            request_id="",
            is_signed=True,
            requests_per_s=limit,
        )
        self.limits.observe(self._fleet.record, head, sent_at=sent_at)


class Fleet:
    """Simulated entry hosts before one upstream that names a limit.

    :param is_engine: whether the sidecar process is that of the upstream and issues its permits.
    """

    def __init__(self, *, size: int, limit: float | None, is_engine: bool) -> None:
        self.size, self.limit, self.is_engine = size, limit, is_engine
        self.record: UpstreamRecord = make_upstream(1)
        self.network = FakeNetwork(seed=1)
        self.hosts = [Host(self, number) for number in range(size)]
        self.tasks: list[asyncio.Task[None]] = []
        self._links: list[object] = []
        self.start_sidecar()
        self.tasks.append(asyncio.create_task(self._deliver()))

    def start_sidecar(self) -> None:
        """Start the sidecar process, which knows nothing of an earlier one."""
        for link in self._links:
            self.network.cut(link)  # type: ignore[arg-type]
        hub = FakeHub(host="side", role="upstream")
        self.issuer = PermitIssuer(hub=hub, clock=LoopClock())  # type: ignore[arg-type]
        self._links = [self.network.link(hub, host.hub) for host in self.hosts]

    def offer_everywhere(self, *, pause_s: float = 0.1) -> None:
        """Have every host offer requests until the end of the test."""
        self.tasks += [asyncio.create_task(host.run(pause_s=pause_s)) for host in self.hosts]

    async def _deliver(self) -> None:
        while True:
            await asyncio.sleep(MESSAGE_DELAY_S)
            self.network.deliver()

    def list_sent(self, *, since: float = CONTACT_S) -> list[float]:
        """Return the times of all requests."""
        return sorted(at for host in self.hosts for at in host.sent if at >= since)

    def check(self, *, since: float = CONTACT_S) -> None:
        """Check the rule."""
        assert self.limit is not None
        busiest = count_busiest_window(self.list_sent(since=since))
        assert busiest <= ALLOWED_FACTOR * self.limit * WINDOW_S + ALLOWED_EXTRA

    def close(self) -> None:
        """Stop the hosts."""
        for task in self.tasks:
            task.cancel()


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
@pytest.mark.parametrize("limit", [0.5, 1.0, 3.0, 20.0])
@pytest.mark.parametrize("size", [1, 8, 24, 100])
def test_hosts_together_keep_to_a_limit_and_use_it(
    size: int, limit: float, is_engine: bool
) -> None:
    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=size, limit=limit, is_engine=is_engine)
        fleet.offer_everywhere(pause_s=max(0.01, 0.005 * size))
        await asyncio.sleep(120)
        fleet.close()
        fleet.check()
        used = len(fleet.list_sent(since=20)) / 100 / limit
        assert used >= (0.8 if is_engine else 0.5)

    run()


@in_virtual_time
async def test_one_host_with_nearly_all_requests_uses_the_limit_of_an_engine() -> None:
    fleet = Fleet(size=8, limit=2.0, is_engine=True)
    fleet.tasks.append(asyncio.create_task(fleet.hosts[0].run(pause_s=0.05)))
    await asyncio.sleep(60)
    fleet.close()
    fleet.check()
    assert len(fleet.list_sent(since=20)) >= 0.8 * 2.0 * 40


@in_virtual_time
async def test_restarted_sidecar_does_not_issue_more_than_the_limit() -> None:
    fleet = Fleet(size=8, limit=1.0, is_engine=True)
    fleet.offer_everywhere()
    for _ in range(20):
        await asyncio.sleep(3)
        fleet.start_sidecar()
    fleet.close()
    fleet.check()


@in_virtual_time
async def test_lost_streams_to_the_sidecar_do_not_raise_the_limit() -> None:
    fleet = Fleet(size=8, limit=1.0, is_engine=True)
    fleet.offer_everywhere()
    await asyncio.sleep(20)
    for link in fleet._links[:4]:
        fleet.network.cut(link)  # type: ignore[arg-type]
    del fleet._links[:4]
    await asyncio.sleep(60)
    fleet.close()
    fleet.check()
    assert all(host.sent[-1] > 20 for host in fleet.hosts)


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
def test_end_of_a_limit_is_noticed_by_every_host(is_engine: bool) -> None:
    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=8, limit=1.0, is_engine=is_engine)
        fleet.offer_everywhere()
        await asyncio.sleep(20)
        fleet.limit = None
        await asyncio.sleep(2 if is_engine else 6)
        fleet.close()
        assert all(
            not host.limits.describe() and host.limits.permits(fleet.record, 0)
            for host in fleet.hosts
        )

    run()


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
def test_raised_limit_is_used_soon(is_engine: bool) -> None:
    """A host may wait minutes for its next permit under a low limit."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=8, limit=0.01, is_engine=is_engine)
        fleet.offer_everywhere()
        await asyncio.sleep(20)
        fleet.limit = 20.0
        fleet.hosts[0].receive_head(20.0, LoopClock().monotonic())
        await asyncio.sleep(5)
        fleet.close()
        assert len(fleet.list_sent(since=20)) >= 0.5 * 20.0 * 5

    run()


@in_virtual_time
async def test_host_asks_for_permits_once_it_has_a_stream_to_the_sidecar() -> None:
    fleet = Fleet(size=8, limit=0.1, is_engine=True)
    links, fleet._links = fleet._links, []
    for link in links:
        fleet.network.cut(link)  # type: ignore[arg-type]
    fleet.tasks.append(asyncio.create_task(fleet.hosts[0].run(pause_s=0.1)))
    await asyncio.sleep(20)
    fleet.start_sidecar()
    await asyncio.sleep(100)
    fleet.close()
    assert len(fleet.list_sent(since=20)) >= 0.8 * 0.1 * 100


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
@pytest.mark.parametrize("size", [1, 8, 100])
def test_end_of_a_limit_of_zero_is_noticed_soon(size: int, is_engine: bool) -> None:
    """Every request was refused for 8 s after the end; the limit was tried every 30 s."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=size, limit=0.0, is_engine=is_engine)
        fleet.offer_everywhere()
        for _ in range(10):
            await asyncio.sleep(random.uniform(10, 14))
            fleet.check()
            fleet.limit = None
            await asyncio.sleep(TRY_INTERVAL_S + 0.5)
            assert all(not host.limits.describe() for host in fleet.hosts)
            fleet.limit = 0.0
            # The answers without a limit that are still on their way do not end the next one.
            await asyncio.sleep(CONTACT_S)
            for host in fleet.hosts:
                host.sent.clear()
        fleet.close()

    run()


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
@pytest.mark.parametrize("cut_fraction", [0.5, 1.0])
@pytest.mark.parametrize("size", [8, 300])
def test_hosts_that_are_cut_off_keep_to_a_limit_of_zero(
    size: int, cut_fraction: float, is_engine: bool
) -> None:
    """Their tries add to those that the sidecar process permits to the other hosts."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=size, limit=0.0, is_engine=is_engine)
        fleet.offer_everywhere(pause_s=0.5)
        await asyncio.sleep(10)
        cut = round(cut_fraction * size)
        for link in fleet._links[:cut]:
            fleet.network.cut(link)  # type: ignore[arg-type]
        del fleet._links[:cut]
        await asyncio.sleep(120)
        fleet.close()
        fleet.check()
        if fleet._links:
            assert len(fleet.list_sent(since=10)) >= 0.8 * 120 / TRY_INTERVAL_S

    run()


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
def test_restarted_sidecar_keeps_to_a_limit_of_zero(is_engine: bool) -> None:
    """A new process does not know when the last try was."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=8, limit=0.0, is_engine=is_engine)
        fleet.offer_everywhere()
        for _ in range(20):
            await asyncio.sleep(random.uniform(2, 4))
            fleet.start_sidecar()
        fleet.close()
        fleet.check()
        assert len(fleet.list_sent()) >= 10

    run()


@in_virtual_time
async def test_host_without_an_answer_of_a_plain_service_learns_its_limit() -> None:
    fleet = Fleet(size=4, limit=1.0, is_engine=False)
    fleet.hosts[0].offer()
    await asyncio.sleep(1)
    fleet.close()
    assert [host.limits.describe() for host in fleet.hosts] == [{"i-1": 1.0}] * 4


@in_virtual_time
async def test_most_urgent_request_gets_the_first_permit() -> None:
    fleet = Fleet(size=3, limit=1.0, is_engine=True)
    fleet.hosts[0].receive_head(1.0, 0.0)
    await asyncio.sleep(0.1)
    for host, level in zip(fleet.hosts, (2, 0, 1), strict=True):
        host.level = level
    for _ in range(35):
        for host in fleet.hosts:
            host.offer()
        await asyncio.sleep(0.1)
    fleet.close()
    assert [len(host.sent) for host in fleet.hosts] == [0, 3, 0]


@pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain service"])
def test_less_urgent_requests_do_not_take_the_permits_of_urgent_ones(is_engine: bool) -> None:
    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=1, limit=1.0, is_engine=is_engine)
        host, sent_by_level = fleet.hosts[0], [0, 0]
        for number in range(1000):
            host.level = 0 if number % 5 == 0 else 1
            before = len(host.sent)
            host.offer()
            sent_by_level[host.level] += len(host.sent) - before
            await asyncio.sleep(0.05)
        fleet.close()
        fleet.check()
        assert sent_by_level[0] >= 0.9 * sum(sent_by_level) > 20

    run()


@in_virtual_time
async def test_less_urgent_requests_use_permits_that_no_urgent_one_takes() -> None:
    fleet = Fleet(size=1, limit=1.0, is_engine=True)
    host = fleet.hosts[0]
    host.offer()
    await asyncio.sleep(0.2)
    host.offer()
    host.level = 1
    for _ in range(40):
        await asyncio.sleep(0.05)
        host.offer()
    fleet.close()
    assert 1.0 + RESERVED_S <= host.sent[1] < 1.0 + PERMIT_LIFETIME_S


@pytest.mark.parametrize(
    ("heads", "limits"),
    [
        ([(1.0, 5.0)], {"i-1": 1.0}),
        ([(1.0, 5.0), (None, 9.9)], {"i-1": 1.0}),
        ([(1.0, 5.0), (None, 10.1)], {}),
        ([(1.0, 5.0), (2.5, 4.0)], {"i-1": 2.5}),
    ],
    ids=["named", "sent before it was named", "ended", "changed"],
)
def test_only_a_later_request_ends_a_limit(
    heads: list[tuple[float | None, float]], limits: dict[str, float]
) -> None:
    """Answers on different connections may overtake each other."""

    @in_virtual_time
    async def run() -> None:
        fleet = Fleet(size=1, limit=None, is_engine=False)
        await asyncio.sleep(10)
        for limit, sent_at in heads:
            fleet.hosts[0].receive_head(limit, sent_at)
            await asyncio.sleep(1)
        fleet.close()
        assert fleet.hosts[0].limits.describe() == limits

    run()


@in_virtual_time
async def test_next_lifetime_of_an_upstream_has_no_limit() -> None:
    fleet = Fleet(size=2, limit=1.0, is_engine=True)
    old = fleet.record
    fleet.hosts[0].offer()
    await asyncio.sleep(1)
    fleet.record = make_upstream(1, started_ms=2)
    assert all(host.limits.permits(fleet.record, 0) for host in fleet.hosts)
    fleet.hosts[0].receive_head(0.5, 0.0)
    await asyncio.sleep(1)
    fleet.record = old
    fleet.hosts[0].receive_head(9.0, 0.0)
    await asyncio.sleep(1)
    fleet.close()
    assert [host.limits.describe() for host in fleet.hosts] == [{"i-1": 0.5}] * 2


def test_process_of_an_older_build_gets_no_message_that_it_cannot_decode() -> None:
    hub = FakeHub(role="upstream")
    issuer = PermitIssuer(hub=hub, clock=SimpleNamespace(monotonic=lambda: 10.0))  # type: ignore[arg-type]
    network = FakeNetwork(seed=1)
    entries = [FakeHub(host=f"edge-{number}", role="entry") for number in range(2)]
    entries[0].hello.protocol = 2
    received: list[str] = []
    for entry in entries:
        entry.on(LimitNotice, lambda peer, notice, own=entry: received.append(own.hello.host))
        network.link(hub, entry)
    sender = next(iter(entries[1].peers))
    sender.send(LimitReport("i-1", 1, 1.0, 0.0))
    network.deliver()
    assert received == ["edge-1"] and issuer.describe()
