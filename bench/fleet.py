"""The deployment that the load scenarios run on, and its capacity."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.load import Caller
from tools.launch import Deployment, ManagedProcess, UpstreamSpec, VersionSpec, digest_key
from tools.launch import example_key as key_of

MODEL = "assistant"
VERSION = "v1"
ACCOUNTS = tuple(f"office-{number}" for number in range(1, 11))
#: Deadlines of the first token by rank, in seconds; the same as in :data:`TABLE`.
DEADLINE_S_BY_RANK = {"urgent": 1.4, "normal": 5.0, "batch": 30.0}
SHARE_BY_RANK = {"urgent": 0.5, "normal": 0.3, "batch": 0.2}
SLOTS = 16
TOKEN_MS = 30.0
BATCH_COST = 0.03
PREFILL_MS_PER_1K = 100.0
#: Promised gap between tokens; the engines' capacity is what they generate at this gap. A first
#: token that takes at most 1.2 times that of a calm engine leaves the gap 1.15 times its shortest.
TARGET_GAP_MS = 34.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSpec:
    """Size of a bench deployment.

    :param engines: engines of the one model.
    :param services: plain services named ``ledger``.
    :param ignore_fencing: further engines of the model that ignore fencing tokens.
    """

    engines: int = 3
    entries: int = 2
    services: int = 0
    ignore_fencing: int = 0
    settings: dict[str, dict[str, Any]] | None = None
    extra_rows: tuple[str, ...] = ()


def tokens_per_second(engines: int) -> float:
    """Return the tokens a second that engines generate at the promised gap between tokens."""
    running = SLOTS + (TARGET_GAP_MS / TOKEN_MS - 1.0) / BATCH_COST
    return engines * running / (TARGET_GAP_MS / 1000.0)


def render_table(extra_rows: tuple[str, ...] = ()) -> str:
    """Return the CSV table of the bench."""
    lines = [
        "model,client_account,rank,weight,share,concurrent_limit,requests_per_minute,"
        "tokens_per_minute,deadline_ms,version,adapters,replicas",
        f"{MODEL},*,*,1,,,,,,{VERSION},,",
    ]
    for rank, share in SHARE_BY_RANK.items():
        deadline = int(DEADLINE_S_BY_RANK[rank] * 1000)
        lines.append(f"{MODEL},*,{rank},,{share},,,,{deadline},,,")
    return "\n".join([*lines, *extra_rows]) + "\n"


@contextmanager
def start_fleet(spec: FleetSpec, *, seed: int) -> Iterator[Deployment]:
    """Run a deployment of separate processes for the length of the block."""
    # Debug output of a failed run stays where the environment says.
    kept = os.environ.get("SYCAMORE_BENCH_DIR")
    with tempfile.TemporaryDirectory(prefix="sycamore-bench-") as temporary:
        directory = Path(kept) if kept else Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        table = directory / "table.csv"
        table.write_text(render_table(spec.extra_rows), encoding="utf-8")
        upstreams = [make_engines(spec.engines)]
        if spec.ignore_fencing:
            upstreams.append(make_engines(spec.ignore_fencing, ignore_fencing=True))
        if spec.services:
            upstreams.append(UpstreamSpec(kind="service", name="ledger", count=spec.services))
        deployment = Deployment(
            directory=directory,
            upstreams=upstreams,
            entries=spec.entries,
            versions=(VersionSpec(model=MODEL, version=VERSION, total_bytes=1_000_000),),
            table=table,
            client_accounts=[
                {"name": name, "key_sha256": [digest_key(key_of(name))]} for name in ACCOUNTS
            ],
            settings=spec.settings,
            seed=seed,
        )
        with deployment:
            yield deployment


def make_engines(count: int, *, ignore_fencing: bool = False) -> UpstreamSpec:
    """Return engines of the bench model."""
    options = {
        "--slots": SLOTS,
        "--token-ms": TOKEN_MS,
        "--prefill-ms-per-1k": PREFILL_MS_PER_1K,
        "--batch-cost": BATCH_COST,
        "--fencing": "ignore" if ignore_fencing else "refuse",
    }
    return UpstreamSpec(
        kind="engine",
        name=MODEL,
        count=count,
        options=tuple(str(part) for pair in options.items() for part in pair),
        settings={
            "window": SLOTS,
            "target_gap_ms": TARGET_GAP_MS,
            "checks_fencing": not ignore_fencing,
            "order_timeout_s": 5.0,
        },
    )


@contextmanager
def start_service_fleet(processes: int, *, seed: int) -> Iterator[Deployment]:
    """Run this many daemons without engines: 8% entry hosts, at least 2, the rest upstreams.

    The upstream processes share two service stand-ins, so that a run of 100 daemons has 105
    processes.
    """
    entries = max(2, round(processes * 0.08))
    with tempfile.TemporaryDirectory(prefix="sycamore-bench-") as temporary:
        directory = Path(temporary)
        table = directory / "table.csv"
        table.write_text(render_table(), encoding="utf-8")
        deployment = Deployment(
            directory=directory,
            upstreams=[
                UpstreamSpec(kind="service", name="ledger", count=processes - entries, standins=2)
            ],
            entries=entries,
            # The table names the version, and an entry host asks the origin for it.
            versions=(VersionSpec(model=MODEL, version=VERSION, total_bytes=1_000_000),),
            table=table,
            client_accounts=[
                {"name": name, "key_sha256": [digest_key(key_of(name))]} for name in ACCOUNTS
            ],
            seed=seed,
        )
        with deployment:
            yield deployment


def make_caller(processes: list[ManagedProcess], listener: str) -> Caller:
    """Return a caller that sends to one listener of these processes in turn."""
    return Caller(
        entries=[("127.0.0.1", process.ports[listener]) for process in processes],
        keys_by_account={name: key_of(name) for name in ACCOUNTS},
    )


def read_cpu_seconds(process: ManagedProcess) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text(encoding="utf-8").rsplit(") ", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(process: ManagedProcess) -> tuple[float, float]:
    """Return resident and unique memory of a process, in MB."""
    resident = unique = 0
    text = Path(f"/proc/{process.pid}/smaps_rollup").read_text(encoding="utf-8")
    for line in text.splitlines():
        name, _, rest = line.partition(":")
        if name == "Rss":
            resident = int(rest.split()[0])
        elif name in ("Private_Clean", "Private_Dirty"):
            unique += int(rest.split()[0])
    return resident / 1024, unique / 1024
