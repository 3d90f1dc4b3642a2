"""Tests of the admission queue: scheduling order, refusals and counters."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from sycamoreproxy.admission import AdmissionQueue, Ticket, choose_priority
from sycamoreproxy.clock import ManualClock
from sycamoreproxy.result_codes import DEADLINE_UNREACHABLE, QUEUE_FULL, Executed
from sycamoreproxy.settings import RANKS
from tests._upstream import FixedView, Row


class Driver:
    """An admission queue on a manual clock that serves one request at a time."""

    def __init__(self, *, view: FixedView | None = None, queue_limit: int = 512) -> None:
        self.clock = ManualClock()
        self.view = view or FixedView()
        self.queue = AdmissionQueue(
            clock=self.clock,
            policy=self.view,
            name="m",
            ranks=RANKS,
            queue_limit=queue_limit,
            window=1,
        )
        self.number = 0

    def make(
        self, rank: str, account: str = "a", cost: float = 100.0, time_left: float = 1e6
    ) -> Ticket:
        """Return a request that is not queued yet."""
        self.number += 1
        return Ticket(
            attempt_id=str(self.number),
            client_account=account,
            rank=rank,
            cost=cost,
            deadline_at=self.clock.monotonic() + time_left,
        )

    def offer(self, rank: str, account: str = "a", **options: float) -> Ticket:
        """Queue a new request and assert that it is accepted."""
        ticket = self.make(rank, account, **options)
        refusal, _ = self.queue.offer(ticket)
        assert refusal is None
        return ticket

    def serve(self, count: int, *, seconds: float = 1.0) -> list[Ticket]:
        """Serve requests one at a time and queue an equal one after each."""
        served = []
        for _ in range(count):
            ticket = self.queue.take(window=1, reserve=0)
            assert ticket is not None
            self.clock.advance(seconds)
            self.queue.finish(ticket, cost=ticket.cost)
            self.offer(ticket.rank, ticket.client_account, cost=ticket.cost)
            served.append(ticket)
        return served


def test_the_most_urgent_rank_goes_first_without_shares() -> None:
    driver = Driver()
    for rank in reversed(RANKS):
        driver.offer(rank)
    order = [driver.queue.take(window=9, reserve=0) for _ in RANKS]
    assert [ticket.rank for ticket in order if ticket] == list(RANKS)
    assert [choose_priority(ticket) // 10 for ticket in order if ticket] == [0, 1, 2]


def test_each_rank_gets_its_guaranteed_share_when_all_ranks_are_saturated() -> None:
    view = FixedView(rows={("*", "normal"): Row(share=0.3), ("*", "batch"): Row(share=0.1)})
    driver = Driver(view=view)
    for rank in RANKS:
        for _ in range(3):
            driver.offer(rank)
    counts = Counter(ticket.rank for ticket in driver.serve(1000))
    assert counts["normal"] == pytest.approx(300, abs=5)
    assert counts["batch"] == pytest.approx(100, abs=5)


def test_idle_share_can_be_borrowed_without_a_later_penalty() -> None:
    view = FixedView(rows={("*", "urgent"): Row(share=0.5), ("*", "batch"): Row(share=0.5)})
    driver = Driver(view=view)
    driver.offer("batch")
    driver.offer("batch")
    driver.serve(200)
    driver.offer("urgent")
    driver.offer("urgent")
    counts = Counter(ticket.rank for ticket in driver.serve(100))
    assert counts["batch"] == pytest.approx(50, abs=4)


@pytest.mark.parametrize("costs", [(100.0, 100.0), (400.0, 50.0)])
def test_accounts_share_a_rank_by_weight_in_tokens(costs: tuple[float, float]) -> None:
    view = FixedView(rows={("heavy", "normal"): Row(weight=3.0)})
    driver = Driver(view=view)
    for account, cost in zip(("light", "heavy"), costs, strict=True):
        for _ in range(3):
            driver.offer("normal", account, cost=cost)
    tokens: Counter[str] = Counter()
    for ticket in driver.serve(2000):
        tokens[ticket.client_account] += int(ticket.cost)
    assert tokens["heavy"] / tokens["light"] == pytest.approx(3.0, rel=0.05)


def test_an_account_with_a_guaranteed_share_gets_it_despite_its_weight() -> None:
    view = FixedView(rows={("a", "normal"): Row(weight=0.01, share=0.4)})
    driver = Driver(view=view)
    for account in ("a", "b"):
        for _ in range(3):
            driver.offer("normal", account)
    counts = Counter(ticket.client_account for ticket in driver.serve(500))
    assert counts["a"] == pytest.approx(200, abs=5)


def test_actual_cost_replaces_the_estimate() -> None:
    driver = Driver()
    for account in ("honest", "understated"):
        for _ in range(3):
            driver.offer("normal", account)
    tokens: Counter[str] = Counter()
    for _ in range(1000):
        ticket = driver.queue.take(window=1, reserve=0)
        assert ticket is not None
        actual_cost = 100 if ticket.client_account == "honest" else 400
        for _ in range(4):
            driver.queue.add_tokens(ticket, actual_cost // 4)
        driver.clock.advance(actual_cost / 100)
        driver.queue.finish(ticket, cost=float(actual_cost))
        tokens[ticket.client_account] += actual_cost
        driver.offer("normal", ticket.client_account)
    assert tokens["understated"] / tokens["honest"] == pytest.approx(1.0, rel=0.05)


def test_a_changed_table_applies_from_the_next_request() -> None:
    driver = Driver()
    for account in ("a", "b"):
        for _ in range(3):
            driver.offer("normal", account)
    driver.serve(10)
    driver.view.rows_by_key = {("b", "normal"): Row(weight=4.0)}
    driver.view.revision = 2
    counts = Counter(ticket.client_account for ticket in driver.serve(1000))
    assert counts["b"] / counts["a"] == pytest.approx(4.0, rel=0.05)


def test_a_request_that_would_start_too_late_is_refused_at_once() -> None:
    driver = Driver()
    driver.offer("urgent")
    driver.serve(5)
    for _ in range(3):
        driver.offer("urgent")
    driver.queue.take(window=1, reserve=0)
    refusal, shed = driver.queue.offer(driver.make("urgent", time_left=1.0))
    assert refusal is not None
    assert (refusal.code, refusal.executed, shed) == (DEADLINE_UNREACHABLE, Executed.NO, [])
    assert refusal.retry_after_ms > 0
    driver.offer("urgent", time_left=60.0)


def test_predictions_follow_observed_service_times() -> None:
    waits = []
    for seconds in (0.1, 1.0):
        driver = Driver()
        for _ in range(4):
            driver.offer("normal")
        driver.serve(50, seconds=seconds)
        driver.queue.take(window=1, reserve=0)
        waits.append(driver.queue.predict_wait("normal"))
    assert waits[1] / waits[0] == pytest.approx(10.0, rel=0.3)


def test_expired_requests_are_removed_before_they_start() -> None:
    driver = Driver()
    late = driver.offer("normal", time_left=1.0)
    in_time = driver.offer("normal", time_left=9.0)
    driver.clock.advance(2.0)
    assert driver.queue.expire() == [late]
    assert driver.queue.take(window=1, reserve=0) is in_time


def test_a_full_queue_evicts_the_least_urgent_then_from_the_longest_queue() -> None:
    driver = Driver(queue_limit=4)
    batch = [driver.offer("batch") for _ in range(2)]
    for _ in range(2):
        driver.offer("normal", "large")
    refusal, shed = driver.queue.offer(driver.make("urgent"))
    assert (refusal, shed) == (None, [batch[1]])
    refusal, shed = driver.queue.offer(driver.make("normal", "small"))
    assert (refusal, shed) == (None, [batch[0]])
    refusal, shed = driver.queue.offer(driver.make("normal", "other"))
    assert refusal is None
    assert [ticket.client_account for ticket in shed] == ["large"]
    refusal, shed = driver.queue.offer(driver.make("batch"))
    assert refusal is not None
    assert (refusal.code, refusal.executed, shed) == (QUEUE_FULL, Executed.NO, [])


def test_urgent_work_starts_above_the_window_and_batch_does_not() -> None:
    view = FixedView(rows={("*", "batch"): Row(share=0.1)})
    driver = Driver(view=view)
    for _ in range(20):
        driver.offer("batch")
    started = [driver.queue.take(window=8, reserve=4) for _ in range(9)]
    assert started[8] is None
    urgent = driver.offer("urgent")
    assert driver.queue.take(window=8, reserve=4) is urgent
    assert choose_priority(urgent) < 5
    assert driver.queue.take(window=8, reserve=4) is None


@pytest.mark.parametrize("seed", range(5))
def test_counters_match_the_queue_contents(seed: int) -> None:
    rng = random.Random(seed)
    view = FixedView(rows={("*", "normal"): Row(share=0.3), ("b", "batch"): Row(2.0, 0.5)})
    driver = Driver(view=view, queue_limit=30)
    queue = driver.queue
    waiting: dict[str, Ticket] = {}
    running: list[Ticket] = []
    window, reserve = 5, 2
    for _ in range(3000):
        action = rng.random()
        if action < 0.4:
            ticket = driver.make(
                rng.choice(RANKS),
                rng.choice("abcd"),
                rng.uniform(1, 500),
                rng.uniform(0, 30),
            )
            refusal, shed = queue.offer(ticket)
            for item in shed:
                del waiting[item.attempt_id]
            if refusal is None:
                waiting[ticket.attempt_id] = ticket
        elif action < 0.7:
            started = queue.take(window=window, reserve=reserve)
            if started is not None:
                del waiting[started.attempt_id]
                running.append(started)
        elif action < 0.75 and waiting:
            ticket = waiting.pop(rng.choice(sorted(waiting)))
            assert queue.remove(ticket)
            assert not queue.remove(ticket)
        elif running:
            ticket = running.pop(rng.randrange(len(running)))
            queue.add_tokens(ticket, rng.randrange(600))
            queue.finish(ticket, cost=rng.choice([None, 300.0]))
        driver.clock.advance(rng.uniform(0, 0.2))
        for item in queue.expire():
            del waiting[item.attempt_id]
        assert {item.attempt_id for item in queue} == waiting.keys()
        assert queue.waiting == sum(queue.waiting_by_rank.values()) == len(waiting)
        assert queue.running == len(running) <= window + reserve


def test_an_account_below_its_share_is_admitted_to_a_queue_filled_by_others() -> None:
    """Guards against refusals of accounts below their fair share when others have filled the queue.

    This happened for 1.5 s after an overload began.
    """
    driver = Driver()
    for name in ("l0", "l1", "l2"):
        driver.offer("normal", name)
    driver.serve(8)
    refused = 0
    while refused < 3:
        for name in ("l0", "l1", "l2"):
            refusal, shed = driver.queue.offer(driver.make("normal", name, time_left=20.0))
            assert not shed
            refused = refused + 1 if refusal is not None else 0
    waiting = driver.queue.waiting
    refusal, shed = driver.queue.offer(driver.make("normal", "small", time_left=20.0))
    assert refusal is None
    assert [ticket.client_account[0] for ticket in shed] == ["l"]
    # It may replace requests of others only until its own queue is as long as theirs.
    for _ in range(20):
        driver.queue.offer(driver.make("normal", "small", time_left=20.0))
    names = Counter(ticket.client_account for ticket in driver.queue)
    assert names["small"] <= min(names[name] for name in ("l0", "l1", "l2")) + 1
    assert driver.queue.waiting == waiting
