"""Control cost of a node: processor, memory and message streams, idle and busy.

A busy fleet takes a table edit a second and serves requests to a plain service. The baseline is a
Python process that holds as many plain TCP streams in tornado and nothing else.
"""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bench.fleet import (
    ACCOUNTS,
    key_of,
    read_cpu_seconds,
    read_memory_mb,
    start_service_fleet,
)
from bench.rows import Recorder
from bench.scenarios import scenarios
from bench.tables import fit_slope, read_dump, read_log, send_edits
from tools.launch import Deployment, ManagedProcess

SIZES = (10, 30, 100)
#: Length of each measurement, in seconds.
MEASURE_S = 15.0
#: Wait after the start until caches, first reads and connections have settled, in seconds.
SETTLE_S = 8.0
#: Requests a second to the service while the fleet is busy.
BUSY_RATE = 20.0
TARGET_CORE = 0.034
TARGET_MEMORY_MB = 32.0
TARGET_BYTES_PER_S = 7_000.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one process; the mean of a role or the most of any process.

    :param core: share of a core.
    :param bytes_per_s: bytes in and out on the message streams.
    """

    core: float
    resident_mb: float
    unique_mb: float
    bytes_per_s: float


def measure_costs(
    deployment: Deployment, work: Callable[[], None] | None = None
) -> dict[str, list[Cost]]:
    """Return the cost of every daemon by role while ``work`` runs, or idle."""
    daemons = deployment.list_processes("entry", "upstream")
    before = {item.name: _read(deployment, item) for item in daemons}
    begin = time.monotonic()
    if work is not None:
        work()
    time.sleep(max(0.0, begin + MEASURE_S - time.monotonic()))
    costs: dict[str, list[Cost]] = {"entry": [], "upstream": []}
    for item in daemons:
        at, cpu, sent = before[item.name]
        now, cpu_after, sent_after = _read(deployment, item)
        resident, unique = read_memory_mb(item)
        seconds = now - at
        costs[item.kind].append(
            Cost((cpu_after - cpu) / seconds, resident, unique, (sent_after - sent) / seconds)
        )
    return costs


def _read(deployment: Deployment, process: ManagedProcess) -> tuple[float, float, int]:
    """Return the time, processor seconds and bytes of the message streams so far."""
    streams = read_dump(deployment, process)["streams"]
    return (
        time.monotonic(),
        read_cpu_seconds(process),
        int(streams["bytes_in"]) + int(streams["bytes_out"]),
    )


def make_busy(deployment: Deployment) -> None:
    """Send table edits and service requests for the length of a measurement."""
    entries = deployment.list_processes("entry")
    stop = time.monotonic() + MEASURE_S
    # Each edit is based on the value of the last run, which an earlier measurement may have left.
    edits = threading.Thread(
        target=send_edits, args=(deployment, entries), kwargs={"count": 20, "kill": None}
    )
    edits.start()
    number = 0
    begin = time.monotonic()
    while time.monotonic() < stop:
        entry = entries[number % len(entries)]
        request = urllib.request.Request(
            f"{entry.url('caller')}/services/ledger/item",
            headers={"Authorization": f"Bearer {key_of(ACCOUNTS[number % len(ACCOUNTS)])}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=5.0) as response:
                response.read()
        except urllib.error.HTTPError as error:
            error.read()
        number += 1
        time.sleep(max(0.0, begin + number / BUSY_RATE - time.monotonic()))
    edits.join()


_BASELINE = """
import asyncio, sys
from tornado.iostream import IOStream
async def main():
    print('ready', flush=True)
    await asyncio.sleep(3600)
asyncio.run(main())
"""


def measure_plain_process() -> tuple[float, float]:
    """Return resident and unique MB of a Python process that only imports tornado's streams."""
    popen = subprocess.Popen(
        [sys.executable, "-c", _BASELINE], stdout=subprocess.PIPE, cwd=Path(__file__).parent.parent
    )
    try:
        assert popen.stdout is not None
        popen.stdout.readline()
        process = ManagedProcess(
            name="plain", kind="plain", command=[], ports={}, log=Path(os.devnull), popen=popen
        )
        return read_memory_mb(process)
    finally:
        popen.terminate()
        popen.wait()


@scenarios.register("control")
def run_control(recorder: Recorder, seed: int) -> None:
    """Idle and busy cost of a node at 10, 30 and 100 processes, with slopes."""
    resident, unique = measure_plain_process()
    plain = {"resident_mb": resident, "unique_mb": unique}
    values: dict[tuple[str, str, str], dict[int, float]] = {}
    for size in SIZES:
        with start_service_fleet(size, seed=seed) as deployment:
            time.sleep(SETTLE_S)
            idle = measure_costs(deployment)
            busy = measure_costs(deployment, lambda: make_busy(deployment))
            revisions = [read_log(p).in_force[-1][1] for p in deployment.list_processes("entry")]
        recorder.report(f"revision_after_busy_{size}", "revision", min(revisions))
        for load, costs in (("idle", idle), ("busy", busy)):
            for role, items in costs.items():
                for name in Cost.__slots__:
                    mean = sum(getattr(item, name) for item in items) / len(items)
                    values.setdefault((load, role, name), {})[size] = mean
    targets = {
        "core": (TARGET_CORE, "cores"),
        "resident_mb": (TARGET_MEMORY_MB, "MB"),
        "unique_mb": (TARGET_MEMORY_MB, "MB"),
        "bytes_per_s": (TARGET_BYTES_PER_S, "bytes/s"),
    }
    for (load, role, name), by_size in values.items():
        bound, unit = targets[name]
        for size, value in by_size.items():
            metric = f"{load}_{role}_{name}_{size}"
            baseline = plain.get(name)
            # Requests are not control.
            if load == "busy":
                recorder.report(metric, unit, value, baseline=baseline)
            else:
                recorder.at_most(metric, unit, value, bound, baseline=baseline)
        recorder.report(f"{load}_{role}_{name}_slope", f"{unit}/process", fit_slope(by_size))
