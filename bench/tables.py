"""Table changes through real processes with a slow and lossy store and a killed watcher.

The baseline is the same number of pollers that read the root from the same store once a second.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from base64 import b64decode, b64encode
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from bench.fleet import ACCOUNTS, MODEL, start_service_fleet
from bench.load import percentile
from bench.rows import Recorder
from bench.scenarios import scenarios
from tools.launch import Deployment, ManagedProcess, request_json

EDITS = 50
#: Time between two edits, in seconds: 25 s of edits, so the watcher dies among them.
EDIT_PERIOD_S = 0.5
#: Faults of the store during the edits.
STORE_FAULTS = {"delay_ms": 150, "lose_answers": 0.1}
#: Longest wait for the last revision at every process, in seconds.
SETTLE_S = 15.0
#: Time between two reads of a poller of the baseline, in seconds.
POLL_PERIOD_S = 1.0
_ROOT_KEY = "/sycamore/test/table/root"


@dataclass(slots=True)
class Edit:
    """One change as the operator sees it.

    :param revision: the accepted revision, 0 if it was not accepted.
    :param answered_at: wall time of the acceptance.
    """

    change_id: str
    client_account: str
    value: str
    revision: int = 0
    answered_at: float = 0.0
    attempts: int = 0


@dataclass(slots=True)
class Held:
    """Revisions that one process put in force.

    :param in_force: wall time, revision and first digits of the digest, in order.
    """

    in_force: list[tuple[float, int, str]] = field(default_factory=list)

    def time_of(self, revision: int) -> float:
        """Return when this revision or a newer one came into force; infinity if never."""
        return min((at for at, held, _ in self.in_force if held >= revision), default=float("inf"))


def send_edits(
    deployment: Deployment,
    entries: list[ManagedProcess],
    *,
    count: int,
    kill: ManagedProcess | None,
) -> list[Edit]:
    """Send edits to the entry hosts in turn and end ``kill`` at once in the middle."""
    values_by_account: dict[str, str] = {}
    edits = []
    begin = time.monotonic()
    for number in range(count):
        time.sleep(max(0.0, begin + number * EDIT_PERIOD_S - time.monotonic()))
        if kill is not None and number == count // 2:
            deployment.kill(kill.pid)
        account = ACCOUNTS[number % len(ACCOUNTS)]
        edit = Edit(f"edit-{number}", account, str(number + 2))
        _send_edit(deployment, entries[number % len(entries)], edit, values_by_account)
        if edit.revision:
            values_by_account[account] = edit.value
        edits.append(edit)
    return edits


def _send_edit(
    deployment: Deployment,
    entry: ManagedProcess,
    edit: Edit,
    values_by_account: dict[str, str],
) -> None:
    """Send an edit until its outcome is known; the change id makes a repeat safe."""
    cell = {
        "model": MODEL,
        "client_account": edit.client_account,
        "rank": "normal",
        "cell": "weight",
        "base": values_by_account.get(edit.client_account, ""),
        "value": edit.value,
    }
    while edit.attempts < 5:
        edit.attempts += 1
        status, answer = request_json(
            "POST",
            f"{entry.url('admin')}/v1/table/edits",
            {"change_id": edit.change_id, "edits": [cell]},
            headers=deployment.operator_headers,
            timeout_s=20.0,
        )
        if status == 200:
            edit.revision = int(answer["revision"])
            edit.answered_at = time.time()
            return
        if status not in (0, 503, 504):
            return


def read_dump(deployment: Deployment, process: ManagedProcess) -> dict[str, Any]:
    """Return the state dump of a daemon, empty if it does not answer."""
    status, answer = request_json(
        "GET", f"{process.url('admin')}/dump", headers=deployment.operator_headers
    )
    return answer if status == 200 else {}


def read_log(process: ManagedProcess) -> Held:
    """Return the revisions in force by the log of a process."""
    held = Held()
    for line in process.log.read_text(encoding="utf-8", errors="replace").splitlines():
        if '"table in force"' not in line:
            continue
        item = json.loads(line)
        at = datetime.fromisoformat(item["timestamp"]).timestamp()
        held.in_force.append((at, int(item["revision"]), item["digest"]))
    return held


def wait_settled(deployment: Deployment, processes: list[ManagedProcess], revision: int) -> None:
    """Wait until every process logged this revision, or the longest wait is over."""
    end = time.monotonic() + SETTLE_S
    while time.monotonic() < end:
        if all(read_log(item).time_of(revision) < float("inf") for item in processes):
            return
        time.sleep(0.5)


def read_store_calls(deployment: Deployment) -> dict[str, int]:
    """Return the calls to the store by verb."""
    url = deployment.processes_by_name["store"].url("http")
    _, counts = request_json("GET", f"{url}/standin/counts")
    return counts or {}


def count_reverts(holders: Iterable[Held]) -> int:
    """Return how often a process put an older revision in force, or one under two digests."""
    reverts = 0
    digests_by_revision: dict[int, str] = {}
    for held in holders:
        last = 0
        for _, revision, digest in held.in_force:
            reverts += revision <= last
            reverts += digests_by_revision.setdefault(revision, digest) != digest
            last = revision
    return reverts


def count_lost(deployment: Deployment, entry: ManagedProcess, edits: list[Edit]) -> int:
    """Return the accepted edits that are not in the history or were not the value at the end."""
    _, history = request_json(
        "GET",
        f"{entry.url('admin')}/v1/table/history?limit=500",
        headers=deployment.operator_headers,
    )
    values_by_change = {
        (item["change_id"], int(item["revision"])): [c["after"] for c in item["changes"]]
        for item in history["history"]
    }
    accepted = [edit for edit in edits if edit.revision]
    lost = sum(
        values_by_change.get((edit.change_id, edit.revision)) != [edit.value] for edit in accepted
    )
    _, table = request_json(
        "GET",
        f"{entry.url('admin')}/v1/table?model={MODEL}&rank=normal",
        headers=deployment.operator_headers,
    )
    final = {edit.client_account: edit.value for edit in accepted}
    held = {row["client_account"]: row["cells"].get("weight") for row in table["rows"]}
    return lost + sum(held.get(account) != value for account, value in final.items())


def measure_delays(edits: list[Edit], holders: list[Held]) -> list[float]:
    """Return the time from acceptance to force for each accepted edit and process, in seconds.

    The operator's answer or the first process with the revision, whichever is earlier, is the
    latest moment at which the store had accepted the edit.
    """
    delays = []
    for edit in edits:
        if edit.revision:
            times = [held.time_of(edit.revision) for held in holders]
            accepted = min(edit.answered_at, *times)
            delays += [at - accepted for at in times]
    return delays


@scenarios.register("table")
def run_table(recorder: Recorder, seed: int) -> None:
    """50 edits at 100 processes, one watcher killed, the store slow and losing answers."""
    rates_by_size: dict[int, float] = {}
    for size in (10, 30):
        with start_service_fleet(size, seed=seed) as deployment:
            edits, rates_by_size[size] = _edit_fleet(deployment, count=20, kill=None)
    with start_service_fleet(100, seed=seed) as deployment:
        entries = deployment.list_processes("entry")
        watchers = [item for item in entries if read_dump(deployment, item)["table"]["watching"]]
        killed = watchers[0]
        edits, rates_by_size[100] = _edit_fleet(deployment, count=EDITS, kill=killed)
        living = [p for p in deployment.list_processes("entry", "upstream") if p is not killed]
        newest = max(edit.revision for edit in edits)
        wait_settled(deployment, living, newest)
        holders = [read_log(process) for process in living]
        reader = next(item for item in entries if item is not killed)
        deployment.set_faults("store", {})
        lost = count_lost(deployment, reader, edits)
        deployment.set_faults("store", STORE_FAULTS)
        baseline = asyncio.run(_poll_baseline(deployment, reader, pollers=100, seed=seed))
    delays = measure_delays(edits, holders)
    accepted = [edit for edit in edits if edit.revision]
    recorder.report("processes", "processes", len(living) + 1)
    recorder.report("watchers_at_start", "processes", len(watchers))
    recorder.report("accepted", "edits", len(accepted))
    recorder.report("refused_or_unknown", "edits", len(edits) - len(accepted))
    polled, poll_rate = baseline
    for fraction, name, bound in ((0.5, "p50", 0.0), (0.99, "p99", 2.0), (1.0, "worst", 5.0)):
        value = max(delays) if fraction == 1.0 else percentile(delays, fraction)
        worst = max(polled) if fraction == 1.0 else percentile(polled, fraction)
        if bound:
            recorder.at_most(f"in_force_{name}", "s", value, bound, baseline=worst)
        else:
            recorder.report(f"in_force_{name}", "s", value, baseline=worst)
    reverts = count_reverts(holders)
    recorder.at_most("reverts", "events", reverts, 0)
    recorder.at_most("lost", "edits", lost, 0)
    for size, rate in rates_by_size.items():
        recorder.report(
            f"store_calls_{size}", "calls/s", rate, baseline=poll_rate if size == 100 else None
        )
    recorder.report("store_calls_slope", "calls/s/process", fit_slope(rates_by_size))


def _edit_fleet(
    deployment: Deployment, *, count: int, kill: ManagedProcess | None
) -> tuple[list[Edit], float]:
    """Return the edits and the store calls a second while they were sent."""
    entries = [item for item in deployment.list_processes("entry") if item is not kill]
    deployment.set_faults("store", STORE_FAULTS)
    before, begin = read_store_calls(deployment), time.monotonic()
    edits = send_edits(deployment, entries, count=count, kill=kill)
    seconds = time.monotonic() - begin
    after = read_store_calls(deployment)
    return edits, (sum(after.values()) - sum(before.values())) / seconds


def fit_slope(values_by_size: dict[int, float]) -> float:
    """Return the least-squares slope of values by number of processes."""
    mean_x = sum(values_by_size) / len(values_by_size)
    mean_y = sum(values_by_size.values()) / len(values_by_size)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in values_by_size.items())
    return covariance / sum((x - mean_x) ** 2 for x in values_by_size)


async def _poll_baseline(
    deployment: Deployment, entry: ManagedProcess, *, pollers: int, seed: int
) -> tuple[list[float], float]:
    """Return the times from acceptance to each poller's read, and the store calls a second.

    The calls of the deployment itself are left out by counting the pollers' own calls only.
    """
    from tornado.httpclient import HTTPRequest
    from tornado.simple_httpclient import SimpleAsyncHTTPClient

    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=pollers)
    url = deployment.processes_by_name["store"].url("http") + "/v3/kv/range"
    body = json.dumps({"key": b64encode(_ROOT_KEY.encode()).decode()})
    holders = [Held() for _ in range(pollers)]
    calls = 0

    async def poll(held: Held, rng: random.Random) -> None:
        nonlocal calls
        await asyncio.sleep(rng.random() * POLL_PERIOD_S)
        while True:
            calls += 1
            try:
                answer = await client.fetch(HTTPRequest(url, method="POST", body=body))
                entries = json.loads(answer.body)["kvs"]
                revision = int(json.loads(b64decode(entries[0]["value"]))["revision"])
                held.in_force.append((time.time(), revision, ""))
            except OSError:
                pass
            except Exception as error:
                # The stand-in closes the connection of an answer that is lost.
                if type(error).__name__ not in ("HTTPStreamClosedError", "HTTPClientError"):
                    raise
            await asyncio.sleep(POLL_PERIOD_S)

    begin = time.monotonic()
    tasks = [
        asyncio.create_task(poll(held, random.Random(f"{seed}/{number}")))
        for number, held in enumerate(holders)
    ]
    edits = []
    for number in range(10):
        edit = Edit(f"baseline-{number}", "polled-account", str(number + 2))
        base = {"polled-account": str(number + 1)} if number else {}
        await asyncio.to_thread(_send_edit, deployment, entry, edit, base)
        edits.append(edit)
        await asyncio.sleep(EDIT_PERIOD_S)
    await asyncio.sleep(5.0)
    rate = calls / (time.monotonic() - begin)
    failed = [task.exception() for task in tasks if task.done()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    client.close()
    if failed:
        raise RuntimeError(f"{len(failed)} pollers failed: {failed[0]!r}")
    return measure_delays(edits, holders), rate
