"""Proofs of what the system holds: whole weights, and a table that never reverts."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from bench.fleet import MODEL, FleetSpec, start_fleet
from bench.load import Sample
from bench.promises import Checker, promises
from bench.proofs import count_results, load_in_background, make_streams, read_engine_records
from tools.launch import Deployment, ManagedProcess, VersionSpec, example_key, request_json

OPERATOR = {"Authorization": f"Bearer {example_key('operator')}"}


def set_cell(
    entry: ManagedProcess,
    *,
    cell: str,
    value: str,
    base: str,
    change_id: str,
    rank: str = "*",
    client_account: str = "*",
) -> tuple[int, Any]:
    """Commit one edit over the administration API."""
    edit = {
        "model": MODEL,
        "client_account": client_account,
        "rank": rank,
        "cell": cell,
        "base": base,
        "value": value,
    }
    url = f"{entry.url('admin')}/v1/table/edits"
    body = {"change_id": change_id, "edits": [edit]}
    return request_json("POST", url, body, headers=OPERATOR, timeout_s=30.0)


def read_revision(process: ManagedProcess) -> int:
    """Return the revision in force of a process, -1 if it does not answer."""
    url = f"{process.url('admin')}/dump"
    status, dump = request_json("GET", url, headers=OPERATOR, timeout_s=2.0)
    return int(dump["table"]["revision"]) if status == 200 else -1


@promises.register("weights")
def prove_weights(check: Checker, seed: int) -> None:
    """No answer comes from partial or mixed weights, whatever happens in mid-load."""
    arrivals = make_streams(seed, rate=8.0, seconds=30.0, tokens=20)
    samples: list[Sample] = []
    with start_fleet(FleetSpec(engines=4, entries=2, ignore_fencing=2), seed=seed) as deployment:
        for number in (2, 3, 4):
            deployment.create_version(
                VersionSpec(model=MODEL, version=f"v{number}", total_bytes=6_000_000, seed=number)
            )
        deployment.set_faults("origin", {"corrupt": 0.1})
        upstreams = deployment.list_processes("upstream")
        entry = deployment.list_processes("entry")[1]
        with load_in_background(deployment, arrivals, samples):
            time.sleep(2.0)
            _set_version(check, entry, "v1", "v2")
            time.sleep(0.4)
            _set_version(check, entry, "v2", "v3")
            deployment.kill(upstreams[0].pid)
            deployment.suspend(upstreams[1].pid)
            time.sleep(0.5)
            deployment.restart(upstreams[0].name, wait=False)
            # Longer than the lease of 10 s, so that the frozen one wakes as a former holder.
            time.sleep(11.0)
            deployment.resume(upstreams[1].pid)
            _set_version(check, entry, "v3", "v4")
        deployment.set_faults("origin", {})
        served = _wait_for_version(deployment, "v4", timeout_s=60.0)
        check.expect("every engine serves the last version", served)
        records = read_engine_records(deployment)
        digests = _read_digests(deployment)
    wrong = [r for r in records if digests.get(r["version"]) != r["digest"]]
    check.expect("every answer's digest is its version's", not wrong, answers=len(records))
    mixed = [s for s in samples if len(s.versions) > 1]
    check.expect("no answer mixed versions", not mixed, **count_results(samples))
    seen = sorted({v for s in samples for v in s.versions})
    check.expect("answers came from several versions", len(seen) >= 2, versions=seen)
    cut = [s for s in samples if s.result in ("crossed",)]
    check.expect("no answer is another's", not cut)


def _set_version(check: Checker, entry: ManagedProcess, base: str, value: str) -> None:
    status, answer = set_cell(
        entry, cell="version", value=value, base=base, change_id=f"version-{value}"
    )
    check.expect(f"version {value} was accepted", status == 200, status=status, answer=answer)


def _wait_for_version(deployment: Deployment, version: str, *, timeout_s: float) -> bool:
    end = time.monotonic() + timeout_s
    engines = deployment.list_processes("engine")
    while time.monotonic() < end:
        states = [request_json("GET", f"{p.url('http')}/control/state")[1] for p in engines]
        if all(state and state["version"] == version for state in states):
            return True
        time.sleep(0.3)
    return False


def _read_digests(deployment: Deployment) -> dict[str, str]:
    origin = deployment.processes_by_name["origin"].url("http")
    digests = {}
    for version in ("v1", "v2", "v3", "v4"):
        _, manifest = request_json("GET", f"{origin}/manifests/{version}")
        digests[version] = manifest["digest"]
    return digests


class RevisionWatch:
    """Reads the revision in force of every process over and over from a thread.

    :param processes: the processes to read.
    """

    def __init__(self, processes: list[ManagedProcess]) -> None:
        self._processes = processes
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.falls: list[tuple[str, int, int]] = []
        self.reads = 0
        self._last_by_pid: dict[int, int] = {}

    def __enter__(self) -> RevisionWatch:
        """Start reading."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop reading."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(0.05):
            for process in self._processes:
                pid = process.pid
                revision = read_revision(process)
                if revision <= 0 or pid != process.pid:
                    continue
                self.reads += 1
                # A replaced process starts from nothing; it must not fall after its first table.
                before = self._last_by_pid.get(pid, 0)
                if revision < before:
                    self.falls.append((process.name, before, revision))
                self._last_by_pid[pid] = max(before, revision)


@promises.register("table")
def prove_table(check: Checker, seed: int) -> None:
    """An accepted change is in force in seconds and never reverts."""
    accepted: dict[str, int] = {}
    with start_fleet(FleetSpec(engines=2, entries=3, services=3), seed=seed) as deployment:
        entries = deployment.list_processes("entry")
        daemons = deployment.list_processes("entry", "upstream")
        with RevisionWatch(daemons) as watch:
            _edit_under_store_faults(check, deployment, accepted)
            _edit_while_watchers_fail(check, deployment, accepted)
            _race_operators(check, entries, accepted)
            for process in daemons:
                deployment.restart(process.name)
            newest = max(accepted.values())
            reached = _wait_for_revision(daemons, newest, timeout_s=10.0)
            check.expect("the newest revision is in force at all replaced processes", reached)
        check.expect("no process fell to an older revision", not watch.falls, reads=watch.reads)
        lost = _find_lost(entries[0], accepted)
        check.expect("no accepted change was lost", not lost, accepted=len(accepted), lost=lost)


def _edit_under_store_faults(
    check: Checker, deployment: Deployment, accepted: dict[str, int]
) -> None:
    """Edit with the store slow, losing answers, and down."""
    entries = deployment.list_processes("entry")
    daemons = deployment.list_processes("entry", "upstream")
    unresolved = []
    value = ""
    cases = [({"lose_answers": 0.5}, 10), ({"delay_ms": 300}, 4), ({}, 2)]
    for label, (faults, count) in enumerate(cases):
        deployment.set_faults("store", faults)
        for number in range(count):
            change_id = f"faults-{label}-{number}"
            wanted = str(1000 + label * 100 + number)
            status, answer = _commit_until_known(
                entries, base=value, value=wanted, change_id=change_id
            )
            if status == 200:
                accepted[change_id] = int(answer["revision"])
                value = wanted
            else:
                unresolved.append((change_id, status))
    check.expect("every change ended as accepted", not unresolved, unresolved=unresolved)
    check.expect(
        "it is in force everywhere within 5 s",
        _wait_for_revision(daemons, max(accepted.values()), timeout_s=5.0),
    )
    deployment.set_faults("store", {"down": True})
    status, answer = set_cell(
        entries[0], cell="tokens_per_minute", value="5", base=value, change_id="while-down"
    )
    code = (answer or {}).get("error", {}).get("code")
    check.expect("an edit while the store is down is refused", code in (1503, 1504), code=code)
    deployment.set_faults("store", {})


def _commit_until_known(
    entries: list[ManagedProcess], *, base: str, value: str, change_id: str
) -> tuple[int, Any]:
    """Commit; repeat with the same change id while the outcome is not known."""
    for attempt in range(20):
        status, answer = set_cell(
            entries[attempt % len(entries)],
            cell="tokens_per_minute",
            value=value,
            base=base,
            change_id=change_id,
        )
        if status not in (0, 503, 504):
            return status, answer
        time.sleep(0.2)
    return status, answer


def _edit_while_watchers_fail(
    check: Checker, deployment: Deployment, accepted: dict[str, int]
) -> None:
    """Edit with each entry host in turn frozen or killed; two of the three watch the store."""
    entries = deployment.list_processes("entry")
    daemons = deployment.list_processes("entry", "upstream")
    base = ""
    for number, failing in enumerate(entries):
        other = entries[(number + 1) % len(entries)]
        deployment.suspend(failing.pid)
        change_id = f"frozen-{number}"
        status, answer = set_cell(
            other,
            cell="requests_per_minute",
            value=str(9000 + number),
            base=base,
            change_id=change_id,
        )
        check.expect("an edit beside a frozen entry host", status == 200, status=status)
        accepted[change_id] = int(answer["revision"])
        base = str(9000 + number)
        living = [process for process in daemons if process is not failing]
        reached = _wait_for_revision(living, accepted[change_id], timeout_s=5.0)
        check.expect("it is in force at the others within 5 s", reached, frozen=failing.name)
        deployment.resume(failing.pid)
        deployment.kill(failing.pid)
        deployment.restart(failing.name)


def _race_operators(
    check: Checker, entries: list[ManagedProcess], accepted: dict[str, int]
) -> None:
    """Two operators edit the same cell 200 times, each from the same base value."""
    base = ""
    outcomes: dict[str, int] = {}
    doubles = []
    with ThreadPoolExecutor(2) as pool:
        for number in range(200):
            jobs = [
                pool.submit(
                    set_cell,
                    entries[side],
                    cell="concurrent_limit",
                    rank="batch",
                    value=str(1000 + number * 2 + side),
                    base=base,
                    change_id=f"race-{number}-{side}",
                )
                for side in (0, 1)
            ]
            results = [job.result() for job in jobs]
            won = [side for side, (status, _) in enumerate(results) if status == 200]
            for side, (status, answer) in enumerate(results):
                outcomes[str(status)] = outcomes.get(str(status), 0) + 1
                if status == 200:
                    accepted[f"race-{number}-{side}"] = int(answer["revision"])
            if len(won) != 1:
                doubles.append((number, won))
                continue
            base = str(1000 + number * 2 + won[0])
    check.expect("in 200 races exactly one wins", not doubles, doubles=doubles, statuses=outcomes)


def _wait_for_revision(processes: list[ManagedProcess], revision: int, *, timeout_s: float) -> bool:
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if all(read_revision(process) >= revision for process in processes):
            return True
        time.sleep(0.05)
    return False


def _find_lost(entry: ManagedProcess, accepted: dict[str, int]) -> list[str]:
    """Return the change ids whose revision the store does not confirm."""
    lost = []
    for change_id, revision in accepted.items():
        url = f"{entry.url('admin')}/v1/table/changes/{change_id}"
        status, answer = request_json("GET", url, headers=OPERATOR)
        if status != 200 or int(answer["revision"]) != revision:
            lost.append(change_id)
    return lost


def run_ctl(entry: ManagedProcess, *arguments: str) -> tuple[int, str]:
    """Run ``sycamorectl`` as an operator would; return its exit status and output."""
    run = subprocess.run(
        [sys.executable, "-m", "sycamoreproxy.ctl", *arguments, "--admin", entry.url("admin")],
        env={**os.environ, "SYCAMORE_TOKEN": example_key("operator")},
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    return run.returncode, (run.stdout + run.stderr).strip()


@promises.register("rollout-by-edit")
def prove_rollout_by_edit(check: Checker, seed: int) -> None:
    """One ``sycamorectl table set`` brings a new version into every replica; nothing is refused."""
    arrivals = make_streams(seed, rate=12.0, seconds=25.0, tokens=30)
    samples: list[Sample] = []
    with start_fleet(FleetSpec(engines=4, entries=2), seed=seed) as deployment:
        deployment.create_version(
            VersionSpec(model=MODEL, version="v2", total_bytes=4_000_000, seed=2)
        )
        entry = deployment.list_processes("entry")[0]
        with load_in_background(deployment, arrivals, samples):
            time.sleep(3.0)
            status, text = run_ctl(entry, "table", "set", MODEL, "*", "*", "version=v2")
            check.expect("the edit was accepted", status == 0, output=text)
            status, text = run_ctl(entry, "table", "status", "--met", "--wait", "40")
            check.expect("the status ends at N of N", status == 0, output=text)
        served = _wait_for_version(deployment, "v2", timeout_s=1.0)
        check.expect("every replica serves it", served)
    mixed = [item for item in samples if len(item.versions) > 1]
    check.expect("no answer mixed versions", not mixed)
    seen = sorted({v for s in samples for v in s.versions})
    check.expect("both versions answered", seen == ["v1", "v2"], versions=seen)
    results = count_results(samples)
    check.expect("no request was refused", results.get("whole") == len(samples), **results)


@promises.register("store-outage")
def prove_store_outage(check: Checker, seed: int) -> None:
    """The store is down for 30 s: requests flow, an edit is reported plainly, nothing reverts."""
    arrivals = make_streams(seed, rate=8.0, seconds=40.0, tokens=20)
    samples: list[Sample] = []
    with start_fleet(FleetSpec(engines=3, entries=2), seed=seed) as deployment:
        entry = deployment.list_processes("entry")[0]
        daemons = deployment.list_processes("entry", "upstream")
        with RevisionWatch(daemons) as watch, load_in_background(deployment, arrivals, samples):
            time.sleep(2.0)
            deployment.set_faults("store", {"down": True})
            time.sleep(2.0)
            status, text = run_ctl(entry, "table", "set", MODEL, "*", "batch", "weight=3")
            check.expect("an edit is reported as not accepted", status not in (0, 3), output=text)
            time.sleep(28.0)
            deployment.set_faults("store", {})
            time.sleep(3.0)
            status, text = run_ctl(entry, "table", "set", MODEL, "*", "batch", "weight=3")
            check.expect("an edit is accepted afterwards", status == 0, output=text)
            reached = _wait_for_revision(daemons, 2, timeout_s=5.0)
            check.expect("it is in force everywhere within 5 s", reached)
        check.expect("nothing fell back", not watch.falls, reads=watch.reads)
    results = count_results(samples)
    check.expect("every answer is whole", results.get("whole") == len(samples), **results)
