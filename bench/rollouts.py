"""Rollout of weights to 100 real upstream processes with engine stand-ins, under live requests.

Link rates are scaled down together with the size of the weights, so that the lower bound is
several seconds. The baseline is computed from the same rates: every host reads the whole version
from the origin's link.
"""

from __future__ import annotations

import json
import random
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from bench.fleet import ACCOUNTS, DEADLINE_S_BY_RANK, MODEL, key_of, make_caller, render_table
from bench.floods import by_rank, first_token_p99, on_time_fraction, report_broken
from bench.load import Arrival, Sample, poisson_arrivals, run_in_workers
from bench.rows import Recorder
from bench.scenarios import scenarios
from bench.tables import read_dump
from tools.launch import (
    Deployment,
    LaunchError,
    ManagedProcess,
    UpstreamSpec,
    VersionSpec,
    ZoneSpec,
    digest_key,
    request_json,
)

ZONES = ("a", "b", "c")
#: 34 hosts in each of 3 availability zones, each in a region of its own.
HOSTS_PER_ZONE = 34
CHUNK_BYTES = 131_072
CHUNKS = 96
TOTAL_BYTES = CHUNKS * CHUNK_BYTES
#: Rate of weights in each direction of a host's link.
BYTES_PER_S = 800_000
#: One host's rate for each region, so that neither link bounds the rollout alone.
ORIGIN_BYTES_PER_S = BYTES_PER_S * len(ZONES)
LOWER_BOUND_S = TOTAL_BYTES / BYTES_PER_S
#: Urgent requests a second during the rollout; far below the capacity.
LIVE_RATE = 10.0
#: Fraction of the chunks of the version in mid-transfer that differ from the one before.
CHANGED = 0.5
#: Longest wait for the last host, as a multiple of the lower bound.
WAIT_FACTOR = 5.0
#: Time until the platform's list drops a host that died, in seconds.
LIST_LAG_S = 10.0


@dataclass(slots=True)
class Outcome:
    """What one rollout gave.

    :param held_s: time from the accepted edit until each host held every chunk.
    :param served_s: time from the accepted edit until each host's engine served the version.
    """

    held_s: list[float]
    served_s: list[float]
    missing: list[str]
    states: list[dict[str, Any]]
    origin_bytes: int


def make_deployment(directory: Path, *, seed: int) -> Deployment:
    """Return the deployment with the small version ``v1`` in its table; not started."""
    table = directory / "table.csv"
    table.write_text(render_table(), encoding="utf-8")
    return Deployment(
        directory=directory,
        zones=[ZoneSpec(name=f"zone-{name}", region=f"region-{name}") for name in ZONES],
        upstreams=[
            UpstreamSpec(
                kind="engine",
                name=MODEL,
                count=HOSTS_PER_ZONE,
                options=("--slots", "4", "--token-ms", "25"),
                settings={"window": 4},
            )
        ],
        entries=1,
        versions=(VersionSpec(model=MODEL, version="v1", total_bytes=262_144),),
        table=table,
        client_accounts=[
            {"name": name, "key_sha256": [digest_key(key_of(name))]} for name in ACCOUNTS
        ],
        # The link in each direction, of which half is kept for live requests.
        settings={"weights": {"link_bytes_per_s": BYTES_PER_S * 2, "live_fraction": 0.5}},
        standin_options={"origin": ("--bytes-per-s", str(ORIGIN_BYTES_PER_S))},
        seed=seed,
    )


def set_version(deployment: Deployment, *, before: str, after: str) -> float:
    """Set the version of the model by one table edit and return the wall time of acceptance."""
    cell = {
        "model": MODEL,
        "client_account": "*",
        "rank": "*",
        "cell": "version",
        "base": before,
        "value": after,
    }
    entry = deployment.list_processes("entry")[0]
    for _ in range(5):
        status, answer = request_json(
            "POST",
            f"{entry.url('admin')}/v1/table/edits",
            {"change_id": f"set-{after}", "edits": [cell]},
            headers=deployment.operator_headers,
            timeout_s=20.0,
        )
        if status == 200:
            return time.time()
        time.sleep(0.5)
    raise LaunchError(f"the version was not accepted: {status} {answer}")


def read_times(process: ManagedProcess, event: str, version: str) -> list[float]:
    """Return the wall times of a log event of a version."""
    times = []
    for line in process.log.read_text(encoding="utf-8", errors="replace").splitlines():
        if f'"{event}"' in line:
            item = json.loads(line)
            if item.get("version") == version:
                times.append(datetime.fromisoformat(item["timestamp"]).timestamp())
    return times


def wait_served(processes: list[ManagedProcess], version: str, *, timeout_s: float) -> None:
    """Wait until every process logged that its engine serves a version, or the time is over."""
    end = time.monotonic() + timeout_s
    left = list(processes)
    while left and time.monotonic() < end:
        left = [item for item in left if not read_times(item, "served version", version)]
        time.sleep(0.5)


def read_origin_bytes(deployment: Deployment) -> int:
    """Return the bytes that the origin has sent."""
    url = deployment.processes_by_name["origin"].url("http")
    _, counts = request_json("GET", f"{url}/standin/counts")
    return int(counts["bytes_sent"])


def read_outcome(
    deployment: Deployment,
    processes: list[ManagedProcess],
    version: str,
    *,
    accepted_at: float,
    origin_before: int,
) -> Outcome:
    """Collect times from the logs and transfer states from the dumps."""
    held, served, missing = [], [], []
    for process in processes:
        at = read_times(process, "version held", version)
        if not at:
            missing.append(process.name)
            continue
        held.append(at[0] - accepted_at)
        served += [
            item - accepted_at for item in read_times(process, "served version", version)[:1]
        ]
    with ThreadPoolExecutor(8) as pool:
        states = list(pool.map(lambda p: read_dump(deployment, p).get("weights", {}), processes))
    return Outcome(held, served, missing, states, read_origin_bytes(deployment) - origin_before)


def send_live(
    deployment: Deployment, seconds: float, work: Callable[[], None], *, seed: int
) -> list[Sample]:
    """Send urgent requests in the background while ``work`` runs and return their samples."""
    caller = make_caller(deployment.list_processes("entry"), "caller")
    arrivals: list[Arrival] = poisson_arrivals(
        random.Random(seed),
        rate=LIVE_RATE,
        seconds=seconds,
        client_account=ACCOUNTS[0],
        rank="urgent",
        model=MODEL,
        max_tokens=16,
        deadline_s=DEADLINE_S_BY_RANK["urgent"],
    )
    samples: list[Sample] = []
    thread = threading.Thread(target=lambda: samples.extend(run_in_workers(caller, [arrivals])))
    thread.start()
    work()
    thread.join()
    return samples


def _report_bytes(recorder: Recorder, outcome: Outcome, total: int) -> None:
    states = [item for item in outcome.states if item.get("chunks")]
    link = [
        (s["bytes_from_peers"] + s["bytes_from_origin"] + s["bytes_uploaded"]) / total
        for s in states
    ]
    zone_copies = [
        sum(
            s["bytes_from_origin"]
            for index, s in enumerate(outcome.states)
            if s.get("chunks") and index // HOSTS_PER_ZONE == zone
        )
        / total
        for zone in range(len(ZONES))
    ]
    recorder.at_most("host_link_most", "copies", max(link, default=float("nan")), 2.0)
    recorder.at_most("zone_origin_most", "copies", max(zone_copies), 1.5)
    # Without peers every host reads a copy.
    recorder.at_most(
        "origin_sent", "copies", outcome.origin_bytes / total, 4.0, baseline=float(len(states))
    )


def _report_times(recorder: Recorder, outcome: Outcome, bound_s: float, factor: float) -> None:
    hosts = len(outcome.held_s) + len(outcome.missing)
    recorder.report("hosts", "hosts", hosts)
    recorder.report("lower_bound", "s", bound_s)
    recorder.at_most("hosts_missing", "hosts", len(outcome.missing), 0)
    last = max(outcome.held_s, default=float("nan"))
    if outcome.missing:
        last = float("nan")
    direct = hosts * TOTAL_BYTES / ORIGIN_BYTES_PER_S
    recorder.report("last_held", "s", last, baseline=direct)
    recorder.at_most(
        "last_held_to_bound", "ratio", last / bound_s, factor, baseline=direct / bound_s
    )
    recorder.report("last_served", "s", max(outcome.served_s, default=float("nan")))
    recorder.report("hosts_serving", "hosts", len(outcome.served_s))


def _start(stack: ExitStack, seed: int) -> Deployment:
    temporary = stack.enter_context(tempfile.TemporaryDirectory(prefix="sycamore-bench-"))
    deployment = make_deployment(Path(temporary), seed=seed)
    stack.enter_context(deployment)
    wait_served(deployment.list_processes("upstream"), "v1", timeout_s=90.0)
    return deployment


@scenarios.register("rollout")
def run_rollout(recorder: Recorder, seed: int) -> None:
    """One new version to all hosts while urgent requests flow."""
    with ExitStack() as stack:
        deployment = _start(stack, seed)
        hosts = deployment.list_processes("upstream")
        calm = send_live(deployment, 10.0, lambda: None, seed=seed + 1)
        version = VersionSpec(
            model=MODEL, version="v2", total_bytes=TOTAL_BYTES, chunk_bytes=CHUNK_BYTES, seed=seed
        )
        deployment.create_version(version)
        origin_before = read_origin_bytes(deployment)
        accepted: list[float] = []

        def roll_out() -> None:
            accepted.append(set_version(deployment, before="v1", after="v2"))
            wait_served(hosts, "v2", timeout_s=LOWER_BOUND_S * WAIT_FACTOR)

        samples = send_live(deployment, LOWER_BOUND_S * 2.0, roll_out, seed=seed)
        outcome = read_outcome(
            deployment, hosts, "v2", accepted_at=accepted[0], origin_before=origin_before
        )
    _report_times(recorder, outcome, LOWER_BOUND_S, 1.5)
    _report_bytes(recorder, outcome, TOTAL_BYTES)
    _report_live(recorder, samples, calm)


def _report_live(recorder: Recorder, samples: list[Sample], calm: list[Sample]) -> None:
    before = on_time_fraction(by_rank(calm, "urgent"))
    during = on_time_fraction(by_rank(samples, "urgent"))
    recorder.at_least("urgent_on_time", "fraction", during, before, baseline=before)
    recorder.report(
        "urgent_first_token_p99", "s", first_token_p99(samples), baseline=first_token_p99(calm)
    )
    report_broken(recorder, samples)


@scenarios.register("rollout-faults")
def run_rollout_faults(recorder: Recorder, seed: int) -> None:
    """1% of the origin's chunks corrupt, 5% of hosts killed, a new version in mid-transfer."""
    rng = random.Random(seed)
    with ExitStack() as stack:
        deployment = _start(stack, seed)
        hosts = deployment.list_processes("upstream")
        dying = rng.sample(hosts, round(0.05 * len(hosts)))
        living = [item for item in hosts if item not in dying]
        for name, number in (("v2", 2), ("v3", 3)):
            version = VersionSpec(
                model=MODEL,
                version=name,
                total_bytes=TOTAL_BYTES,
                chunk_bytes=CHUNK_BYTES,
                seed=seed * 10 + number,
            )
            base = {"base": "v2", "changed": CHANGED} if name == "v3" else {}
            deployment.create_version(version, **base)  # type: ignore[arg-type]
        calm = send_live(deployment, 10.0, lambda: None, seed=seed + 1)
        deployment.set_faults("origin", {"corrupt": 0.01})
        accepted: list[float] = []
        origin_bytes: list[int] = []
        bounds: list[float] = []

        def roll_out() -> None:
            set_version(deployment, before="v1", after="v2")
            begin = time.monotonic()
            for process in dying[: len(dying) // 2]:
                time.sleep(rng.random() * LOWER_BOUND_S * 0.5 / len(dying))
                _kill_host(deployment, process)
            time.sleep(max(0.0, begin + LOWER_BOUND_S * 0.5 - time.monotonic()))
            bounds.append(_estimate_bound(deployment, living))
            origin_bytes.append(read_origin_bytes(deployment))
            accepted.append(set_version(deployment, before="v2", after="v3"))
            for process in dying[len(dying) // 2 :]:
                time.sleep(rng.random() * LOWER_BOUND_S * 0.5 / len(dying))
                _kill_host(deployment, process)
            wait_served(living, "v3", timeout_s=LOWER_BOUND_S * WAIT_FACTOR)

        samples = send_live(deployment, LOWER_BOUND_S * 2.0, roll_out, seed=seed)
        outcome = read_outcome(
            deployment, living, "v3", accepted_at=accepted[0], origin_before=origin_bytes[0]
        )
        answers, mixed = _count_mixed(deployment, living)
        dropped = sum(
            process.log.read_text(encoding="utf-8", errors="replace").count("corrupt chunk dropped")
            for process in hosts
        )
    recorder.report("killed", "hosts", len(dying))
    recorder.report("corrupt_dropped", "chunks", dropped)
    recorder.report("answers_checked", "answers", answers)
    recorder.at_most("partial_or_mixed", "answers", mixed, 0)
    _report_times(recorder, outcome, bounds[0], 2.0)
    states = [item for item in outcome.states if item.get("chunks")]
    link = [
        (s["bytes_from_peers"] + s["bytes_from_origin"] + s["bytes_uploaded"]) / TOTAL_BYTES
        for s in states
    ]
    recorder.at_most("host_link_most", "copies", max(link, default=float("nan")), 2.0)
    recorder.at_most("origin_sent", "copies", outcome.origin_bytes / TOTAL_BYTES, 4.0)
    _report_live(recorder, samples, calm)


def _estimate_bound(deployment: Deployment, hosts: list[ManagedProcess]) -> float:
    """Return the lower bound of ``v3`` for the host that holds least of ``v2``, in seconds.

    Half of the chunks are in both versions, so a host misses the other half and what it lacks of
    the first.
    """
    with ThreadPoolExecutor(8) as pool:
        states = list(pool.map(lambda item: read_dump(deployment, item)["weights"], hosts))
    least = min(s["chunks_held"] if s["version"] == "v2" else 0 for s in states)
    return LOWER_BOUND_S * (1.0 - (1.0 - CHANGED) * least / CHUNKS)


def _kill_host(deployment: Deployment, process: ManagedProcess) -> None:
    """End a host's upstream process and let the host list drop it after its lag."""
    deployment.kill(process.pid)
    url = deployment.processes_by_name["host_list"].url("http")

    def drop() -> None:
        request_json("DELETE", f"{url}/hosts/{process.name}")

    timer = threading.Timer(LIST_LAG_S, drop)
    timer.daemon = True
    timer.start()


def _count_mixed(deployment: Deployment, hosts: list[ManagedProcess]) -> tuple[int, int]:
    """Return the answers, and those whose engine held another digest than their version's."""
    origin = deployment.processes_by_name["origin"].url("http")
    digests = {
        name: request_json("GET", f"{origin}/manifests/{name}")[1]["digest"]
        for name in ("v1", "v2", "v3")
    }
    answers = mixed = 0
    for process in hosts:
        engine = deployment.processes_by_name[f"{process.name}-engine"]
        _, records = request_json("GET", f"{engine.url('http')}/standin/records")
        items = records["records"]
        answers += len(items)
        mixed += sum(item["digest"] != digests.get(item["version"]) for item in items)
    return answers, mixed
