"""Upstreams that are killed, stall, leave and return while requests flow."""

from __future__ import annotations

import threading
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor

from bench.fleet import FleetSpec, start_fleet
from bench.floods import Stream, by_rank, make_arrivals, on_time_fraction, run_system
from bench.proofs import (
    ServiceAnswer,
    call_service,
    read_engine_records,
    read_service_runs,
)
from bench.rows import Recorder
from bench.scenarios import scenarios
from tools.launch import Deployment, ManagedProcess

ENGINES = 4
SECONDS = 36.0
STREAMS = (Stream("urgent", 0.3), Stream("normal", 0.3), Stream("batch", 0.2))


@scenarios.register("churn")
def run_churn(recorder: Recorder, seed: int) -> None:
    """Each engine's upstream process fails once; a service is called all the while."""
    arrivals = make_arrivals(STREAMS, seconds=SECONDS, seed=seed)
    answers: list[ServiceAnswer] = []
    left: list[tuple[str, float]] = []
    with start_fleet(FleetSpec(engines=ENGINES, services=2), seed=seed) as deployment:
        stopped = threading.Event()
        with ThreadPoolExecutor(2) as pool:
            failing = pool.submit(_fail_in_turn, deployment, left)
            calling = pool.submit(_call_all_the_while, deployment, answers, stopped)
            samples = run_system(deployment, arrivals)
            failing.result()
            stopped.set()
            calling.result()
        records = read_engine_records(deployment)
        runs = read_service_runs(deployment)
        attempts = _read_attempts(deployment)
    late = [
        row
        for row in records
        for engine, at in left
        if row["engine"] == engine and at + 2.0 < row["received_at"] < at + 4.0
    ]
    recorder.at_most("work_to_leaving_after_2s", "requests", len(late), 0)
    urgent = by_rank(samples, "urgent")
    recorder.at_least("urgent_on_time", "fraction", on_time_fraction(urgent), 0.99)
    doubles = sum(1 for item in answers if runs[item.path] > 1)
    recorder.at_most("non_idempotent_doubles", "requests", doubles, 0)
    wrong = sum(1 for item in answers if item.executed == "no" and runs[item.path])
    recorder.at_most("refused_as_not_run_but_run", "requests", wrong, 0)
    recorder.report("service_calls", "requests", len(answers))
    broken = [item for item in samples if item.result in ("cut", "crossed")]
    recorder.at_most("answers_short_or_crossed", "requests", len(broken), 0)
    refused = [item for item in samples if item.result == "refused"]
    recorder.report("refused_or_ended_by_error", "requests", len(refused))
    total = len(samples) + len(answers)
    recorder.at_most("attempts_per_request", "ratio", attempts / total, 1.2)


def _fail_in_turn(deployment: Deployment, left: list[tuple[str, float]]) -> None:
    """Kill, freeze, stop and stall one upstream after the other; each returns after a while."""
    upstreams = [p for p in deployment.list_processes("upstream") if "ledger" not in p.name]
    ledger = next(p for p in deployment.list_processes("upstream") if "ledger" in p.name)
    time.sleep(6.0)
    deployment.kill(upstreams[0].pid)
    time.sleep(3.0)
    deployment.restart(upstreams[0].name)
    time.sleep(3.0)
    deployment.suspend(upstreams[1].pid)
    time.sleep(4.0)
    deployment.resume(upstreams[1].pid)
    time.sleep(3.0)
    leaving = upstreams[2]
    assert leaving.popen is not None
    leaving.popen.terminate()
    left.append((f"{leaving.name}-engine", time.monotonic()))
    leaving.popen.wait(30)
    time.sleep(4.0)
    deployment.restart(leaving.name)
    deployment.kill(ledger.pid)
    time.sleep(2.0)
    deployment.restart(ledger.name)
    deployment.set_faults(f"{upstreams[3].name}-engine", {"stall": True})
    time.sleep(4.0)
    deployment.set_faults(f"{upstreams[3].name}-engine", {})


def _call_all_the_while(
    deployment: Deployment, answers: list[ServiceAnswer], stopped: threading.Event
) -> None:
    entries = deployment.list_processes("entry")
    number = 0
    while not stopped.wait(0.05):
        path = f"/deposits/{number}"
        key = path if number % 2 else ""
        answers.append(call_service(entries[number % len(entries)], path, key=key))
        number += 1


def _read_attempts(deployment: Deployment) -> float:
    """Return the attempts that the entry hosts sent to upstream processes."""
    return sum(
        _read_counter(process, "sycamore_attempts_total")
        for process in deployment.list_processes("entry")
    )


def _read_counter(process: ManagedProcess, name: str) -> float:
    with urllib.request.urlopen(f"{process.url('admin')}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))
