"""Proofs of what callers see: whole answers, true refusals, at most once, leaving, stopping."""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

from bench.fleet import ACCOUNTS, MODEL, FleetSpec, make_caller, start_fleet
from bench.load import Arrival, Sample, poisson_arrivals
from bench.promises import Checker, promises
from tools.launch import Deployment, ManagedProcess, example_key, request_json


@contextlib.contextmanager
def load_in_background(
    deployment: Deployment, arrivals: list[Arrival], samples: list[Sample]
) -> Iterator[None]:
    """Send requests from a thread while the block brings failures about."""
    caller = make_caller(deployment.list_processes("entry"), "caller")

    def run() -> None:
        samples.extend(asyncio.run(caller.run(arrivals)))

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        thread.join()


def make_streams(seed: int, *, rate: float, seconds: float, tokens: int) -> list[Arrival]:
    """Return streamed requests of all ranks and accounts."""
    rng = random.Random(seed)
    drawn = poisson_arrivals(
        rng,
        rate=rate,
        seconds=seconds,
        client_account="",
        rank="normal",
        model=MODEL,
        max_tokens=tokens,
        deadline_s=5.0,
    )
    return [
        replace(a, client_account=rng.choice(ACCOUNTS), rank=rng.choice(("urgent", "normal")))
        for a in drawn
    ]


def count_results(samples: list[Sample]) -> dict[str, int]:
    """Return how many samples ended in each way."""
    return dict(Counter(item.result for item in samples))


def read_engine_records(deployment: Deployment) -> list[dict[str, Any]]:
    """Return what stood behind every answer of every engine that still runs."""
    records: list[dict[str, Any]] = []
    for process in deployment.list_processes("engine"):
        if process.is_running:
            _, answer = request_json("GET", f"{process.url('http')}/standin/records")
            records += [{**row, "engine": process.name} for row in answer["records"]]
    return records


def read_service_runs(deployment: Deployment) -> Counter[str]:
    """Return the runs by path over all services."""
    runs: Counter[str] = Counter()
    for process in deployment.list_processes("service"):
        _, answer = request_json("GET", f"{process.url('http')}/standin/runs")
        for row in answer["runs"]:
            runs[row["path"]] += row["count"]
    return runs


@promises.register("answers")
def prove_answers(check: Checker, seed: int) -> None:
    """Each caller gets the whole answer to its own request, or is told that it did not."""
    arrivals = make_streams(seed, rate=12.0, seconds=14.0, tokens=30)
    samples: list[Sample] = []
    with start_fleet(FleetSpec(engines=3, entries=3), seed=seed) as deployment:
        engines = [process.name for process in deployment.list_processes("engine")]
        upstreams = deployment.list_processes("upstream")
        entry = deployment.list_processes("entry")[0]
        with load_in_background(deployment, arrivals, samples):
            time.sleep(2.0)
            deployment.set_faults(engines[0], {"drop_after_tokens": 5})
            time.sleep(2.0)
            deployment.set_faults(engines[0], {"drop_after_tokens": 0, "fail": 0.5})
            deployment.set_faults(engines[1], {"slow_factor": 3.0})
            time.sleep(2.0)
            deployment.set_faults(engines[0], {})
            deployment.set_faults(engines[1], {})
            deployment.kill(upstreams[0].pid)
            time.sleep(1.0)
            deployment.suspend(upstreams[1].pid)
            time.sleep(1.0)
            deployment.resume(upstreams[1].pid)
            deployment.restart(upstreams[0].name)
            deployment.kill(entry.pid)
            time.sleep(1.0)
            deployment.restart(entry.name)
    results = count_results(samples)
    check.expect("no answer belongs to another request", not results.get("crossed"), **results)
    short = [s for s in samples if s.result == "cut" and s.tokens and s.status == 200]
    closed = [s for s in short if s.tokens == s.arrival.max_tokens]
    check.expect("no short answer ended as whole", not closed, short=len(short))
    check.expect("most answers are whole", results.get("whole", 0) > len(samples) * 0.6, **results)


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """What a caller of a service saw.

    :param executed: the field of a refusal, ``yes`` for an answer of the service.
    """

    path: str
    status: int
    executed: str
    body: Any


def call_service(entry: ManagedProcess, path: str, *, key: str = "") -> ServiceAnswer:
    """Send one non-idempotent request; an answer without a refusal counts as executed."""
    headers = {"Authorization": f"Bearer {example_key(ACCOUNTS[0])}"}
    if key:
        headers["Idempotency-Key"] = f'"{key}"'
    url = f"{entry.url('caller')}/services/ledger{path}"
    status, body = request_json("POST", url, {"path": path}, headers=headers, timeout_s=20.0)
    executed = "none" if status == 0 else "yes"
    if isinstance(body, dict) and isinstance(body.get("error"), dict):
        executed = body["error"]["executed"]
    return ServiceAnswer(path, status, executed, body)


def call_many(
    entries: list[ManagedProcess], paths: list[str], *, keyed: bool = False, workers: int = 8
) -> list[ServiceAnswer]:
    """Call the service once for each path, through the entry hosts in turn."""
    with ThreadPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(call_service, entries[i % len(entries)], path, key=path if keyed else "")
            for i, path in enumerate(paths)
        ]
        return [job.result() for job in jobs]


@promises.register("refusals")
def prove_refusals(check: Checker, seed: int) -> None:
    """A refusal with ``executed: no`` was not run; every answered request ran once."""
    answers: list[ServiceAnswer] = []
    with start_fleet(FleetSpec(engines=1, entries=2, services=2), seed=seed) as deployment:
        entries = deployment.list_processes("entry")
        services = [p.name for p in deployment.list_processes("service")]
        upstreams = [p for p in deployment.list_processes("upstream") if "ledger" in p.name]

        def act(label: str, faults: dict[str, Any], *, keyed: bool = False) -> None:
            for name in services:
                deployment.set_faults(name, {})
            # Circuit breakers that an earlier case opened would keep this one from the services.
            _wait_until(lambda: all(call_service(e, "/back").status == 200 for e in entries * 2))
            for name in services:
                deployment.set_faults(name, faults)
            paths = [f"/{label}/{number}" for number in range(12)]
            answers.extend(call_many(entries, paths, keyed=keyed))

        act("healthy", {})
        act("cut-before-run", {"drop_before": 1})
        act("cut-after-run", {"drop_after": 1})
        act("half-cut-after-run", {"drop_after": 0.5})
        act("slow-then-cut", {"delay_ms": 300, "drop_after": 0.5})
        act("service-error", {"fail": 503})
        act("keyed-cut-after-run", {"drop_after": 0.5}, keyed=True)
        deployment.set_faults("store", {"down": True})
        act("keyed-store-down", {}, keyed=True)
        deployment.set_faults("store", {"lose_answers": 0.5})
        act("keyed-store-lossy", {}, keyed=True)
        deployment.set_faults("store", {})
        for process in upstreams:
            deployment.kill(process.pid)
        answers.extend(call_many(entries, [f"/no-upstream/{number}" for number in range(12)]))
        for process in upstreams:
            deployment.restart(process.name)
        _wait_until(lambda: call_service(entries[0], "/back").status == 200)
        for process in upstreams:
            deployment.suspend(process.pid)
        answers.extend(call_many(entries, [f"/frozen-upstream/{number}" for number in range(12)]))
        for process in upstreams:
            deployment.resume(process.pid)
        time.sleep(2.0)
        runs = read_service_runs(deployment)
    refused = [a for a in answers if a.executed == "no"]
    wrong = [a.path for a in refused if runs[a.path]]
    check.expect("nothing refused as not run was run", not wrong, refused=len(refused), wrong=wrong)
    answered = [a for a in answers if a.status == 200]
    unrun = [a.path for a in answered if runs[a.path] != 1]
    check.expect("every answered request ran once", not unrun, answered=len(answered), wrong=unrun)
    doubles = [path for path, count in runs.items() if count > 1 and path not in ("/", "/back")]
    check.expect("no request ran twice", not doubles, doubles=doubles)
    kinds = Counter(a.executed for a in answers)
    check.expect("each kind of outcome was seen", {"no", "unknown", "yes"} <= kinds.keys(), **kinds)


def _wait_until(condition: Callable[[], bool], *, timeout_s: float = 15.0) -> bool:
    """Return whether a condition came true in time."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return False


@promises.register("at-most-once")
def prove_at_most_once(check: Checker, seed: int) -> None:
    """The same key runs at most once, and every answered outcome is the recorded one."""
    answers: list[ServiceAnswer] = []
    with start_fleet(FleetSpec(engines=1, entries=3, services=2), seed=seed) as deployment:
        entries = deployment.list_processes("entry")
        services = [p.name for p in deployment.list_processes("service")]

        def together(label: str, count: int = 10) -> None:
            paths = [f"/{label}/{number}" for number in range(count) for _ in range(3)]
            answers.extend(call_many(entries, paths, keyed=True, workers=12))

        def slow(delay_ms: int, **faults: object) -> None:
            for name in services:
                deployment.set_faults(name, {"delay_ms": delay_ms, **faults})

        together("at-once")
        slow(300)
        together("at-once-slow")
        slow(100, drop_after=0.5)
        together("answer-lost")
        slow(0)
        deployment.set_faults("store", {"lose_answers": 0.5})
        together("claim-answer-lost")
        deployment.set_faults("store", {"delay_ms": 400})
        together("store-slow", 4)
        deployment.set_faults("store", {"down": True})
        together("store-down", 4)
        deployment.set_faults("store", {})
        together("store-down", 4)
        slow(500)
        _repeat_while(deployment, answers, "entry-killed", lambda pid: deployment.kill(pid))
        deployment.restart(entries[0].name)
        _repeat_while(deployment, answers, "entry-frozen", lambda pid: deployment.suspend(pid))
        time.sleep(4.0)
        deployment.resume(entries[0].pid)
        time.sleep(2.0)
        answers.extend(call_many(entries[1:], [f"/entry-frozen/{n}" for n in range(6)], keyed=True))
        slow(0)
        time.sleep(1.0)
        runs = read_service_runs(deployment)
    paths = {item.path for item in answers}
    doubles = {path: runs[path] for path in paths if runs[path] > 1}
    check.expect("no key ran twice", not doubles, keys=len(paths), doubles=doubles)
    bodies: dict[str, set[str]] = {}
    for item in answers:
        if item.status == 200:
            bodies.setdefault(item.path, set()).add(str(item.body))
    mixed = [path for path, seen in bodies.items() if len(seen) > 1 or runs[path] != 1]
    check.expect("every answer is the recorded one", not mixed, answered=len(bodies), wrong=mixed)
    false = [a.path for a in answers if a.executed == "no" and a.path not in bodies]
    false = [path for path in set(false) if runs[path] and not _was_told(answers, path)]
    check.expect("no run key was only refused as not run", not false, wrong=false)
    check.expect("most keys were answered", len(bodies) > len(paths) * 0.6, answered=len(bodies))


def _was_told(answers: list[ServiceAnswer], path: str) -> bool:
    """Return whether some caller of a key was not told that it did not run."""
    return any(a.executed != "no" for a in answers if a.path == path)


def _repeat_while(
    deployment: Deployment,
    answers: list[ServiceAnswer],
    label: str,
    fail: Callable[[int], object],
) -> None:
    """Send keys through the first entry host, fail it at work, and repeat through the others."""
    entries = deployment.list_processes("entry")
    paths = [f"/{label}/{number}" for number in range(6)]
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(call_many, entries[:1], paths, keyed=True)
        time.sleep(0.25)
        fail(entries[0].pid)
        answers.extend(call_many(entries[1:], paths, keyed=True))
        if label == "entry-killed":
            answers.extend(first.result())
        else:
            # The frozen host answers only after it continues; its callers give up first.
            pool.submit(time.sleep, 0)
            answers.extend(first.result() if first.done() else [])
            deployment.resume(entries[0].pid)
            answers.extend(first.result())


@promises.register("leaving")
def prove_leaving(check: Checker, seed: int) -> None:
    """A leaving upstream gets nothing new after 2 s, though the host list lags."""
    arrivals = make_streams(seed, rate=15.0, seconds=14.0, tokens=20)
    samples: list[Sample] = []
    left_at: dict[str, float] = {}
    with start_fleet(FleetSpec(engines=3, entries=2), seed=seed) as deployment:
        upstreams = deployment.list_processes("upstream")
        hosts = deployment.processes_by_name["host_list"].url("http")
        deployment.set_faults("host_list", {"lag_s": 60})
        with load_in_background(deployment, arrivals, samples):
            time.sleep(3.0)
            # Long streams keep the leaving process busy, so that it can't simply exit.
            slow = upstreams[0].name.replace("upstream", "engine") + "-engine"
            deployment.set_faults(slow, {"slow_factor": 8.0})
            time.sleep(1.0)
            assert upstreams[0].popen is not None
            upstreams[0].popen.terminate()
            left_at[slow] = time.monotonic()
            time.sleep(4.0)
            # The notice of the second one comes only from the host list.
            deployment.set_faults("host_list", {})
            status, _ = request_json(
                "PATCH", f"{hosts}/hosts/{upstreams[1].name}", {"state": "leaving"}
            )
            check.expect("the host list took the notice", status == 200, status=status)
            left_at[f"{upstreams[1].name}-engine"] = time.monotonic()
        deployment.set_faults(slow, {})
        records = read_engine_records(deployment)
    for engine, at in left_at.items():
        before = [r for r in records if r["engine"] == engine and r["received_at"] <= at]
        late = [r for r in records if r["engine"] == engine and r["received_at"] > at + 2.0]
        check.expect("nothing new after 2 s", not late, engine=engine, before=len(before))
        check.expect("it had work before", bool(before), engine=engine)
    results = count_results(samples)
    codes = Counter(str(s.code) for s in samples if s.result == "refused")
    whole = results.get("whole", 0)
    check.expect("all answers are whole", whole == len(samples), **results, codes=dict(codes))


@promises.register("stopping")
def prove_stopping(check: Checker, seed: int) -> None:
    """SIGTERM to each role under long streams, twice, cuts nothing."""
    arrivals = make_streams(seed, rate=10.0, seconds=20.0, tokens=60)
    samples: list[Sample] = []
    statuses: dict[str, int] = {}
    with start_fleet(FleetSpec(engines=3, entries=1), seed=seed) as deployment:
        with load_in_background(deployment, arrivals, samples):
            time.sleep(2.0)
            for process in deployment.list_processes("upstream"):
                assert process.popen is not None
                process.popen.terminate()
                time.sleep(0.3)
                process.popen.terminate()
                statuses[process.name] = process.popen.wait(60)
                deployment.restart(process.name)
                _wait_until(lambda p=process: _is_ready(p))  # type: ignore[misc]
                time.sleep(1.0)
        # No balancer stands before the one entry host, so it stops when no caller is to come.
        late: list[Sample] = []
        last = make_streams(seed + 1, rate=20.0, seconds=1.0, tokens=120)
        with load_in_background(deployment, last, late):
            time.sleep(1.5)
            entry = deployment.list_processes("entry")[0]
            assert entry.popen is not None
            entry.popen.terminate()
            time.sleep(0.2)
            entry.popen.terminate()
            statuses[entry.name] = entry.popen.wait(60)
    results = count_results(samples)
    check.expect("upstream stops cut nothing", results.get("whole") == len(samples), **results)
    results = count_results(late)
    check.expect("an entry stop cut nothing", results.get("whole") == len(late), **results)
    check.expect("every exit status is 0", not any(statuses.values()), statuses=statuses)


def _is_ready(process: ManagedProcess) -> bool:
    return request_json("GET", f"{process.url('admin')}/health/ready")[0] == 200
