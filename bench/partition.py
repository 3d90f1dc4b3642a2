"""An availability zone is cut off from the other and from the platform, then joined.

Everything that crosses the border between the zones, and everything between the second zone and
the platform, passes through relays of the bench. The host list is cut with it.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from bench.fleet import (
    ACCOUNTS,
    MODEL,
    VERSION,
    key_of,
    make_caller,
    make_engines,
    render_table,
)
from bench.load import Arrival, Sample
from bench.proofs_of_state import read_revision, set_cell
from bench.relay import Relay, RelayHub
from bench.rows import Recorder
from bench.scenarios import scenarios
from tools.launch import Deployment, UpstreamSpec, VersionSpec, ZoneSpec, digest_key, request_json

HOME, FAR = "zone-a", "zone-b"
#: The limited row of the scenario, in requests a minute for the whole fleet.
LIMITED = ACCOUNTS[0]
LIMIT = 40
CUT_S = 12.0


class _Border:
    """The relays on the border of the second availability zone."""

    def __init__(self) -> None:
        self.hub = RelayHub()
        self.platform = {name: self.hub.add() for name in ("store", "origin")}
        self.relays_by_host: dict[str, Relay] = {}

    def make_zones(self) -> tuple[ZoneSpec, ZoneSpec]:
        """Return both availability zones with their ways to the platform."""
        lists = {z: f"http://127.0.0.1:{self.hub.list_port}/{z}" for z in (HOME, FAR)}
        far = {name: f"http://127.0.0.1:{relay.port}" for name, relay in self.platform.items()}
        return (
            ZoneSpec(name=HOME, region="region-a", platform={"host_list": lists[HOME]}),
            ZoneSpec(name=FAR, region="region-b", platform={**far, "host_list": lists[FAR]}),
        )

    def connect(self, deployment: Deployment) -> None:
        """Point the relays to the prepared processes and make the two host lists."""
        for name, relay in self.platform.items():
            relay.target = deployment.processes_by_name[name].ports["http"]
        for zone in (HOME, FAR):
            self.hub.hosts_by_zone[zone] = [
                record if record["availability_zone"] == zone else self._cross(record)
                for record in deployment.hosts
            ]

    def cut(self) -> None:
        """Cut the second availability zone off."""
        self.hub.cut(self.hub.relays)

    def join(self) -> None:
        """Join it again."""
        self.hub.join(self.hub.relays)

    def _cross(self, record: dict[str, Any]) -> dict[str, Any]:
        relay = self.hub.add()
        relay.target = int(str(record["peer"]).rsplit(":", 1)[1])
        return {**record, "peer": f"127.0.0.1:{relay.port}"}


@scenarios.register("partition")
def run_partition(recorder: Recorder, seed: int) -> None:
    """The zone serves what its upstreams can; limits hold in sum; the table follows on joining."""
    border = _Border()
    with tempfile.TemporaryDirectory(prefix="sycamore-bench-") as temporary:
        table = Path(temporary) / "table.csv"
        limited = f"{MODEL},{LIMITED},*,,,,{LIMIT},,,,,"
        table.write_text(render_table((limited,)), encoding="utf-8")
        deployment = Deployment(
            directory=Path(temporary),
            upstreams=[
                make_engines(2),
                UpstreamSpec(kind="service", name="ledger", count=1),
            ],
            zones=border.make_zones(),
            entries=2,
            versions=(VersionSpec(model=MODEL, version=VERSION, total_bytes=1_000_000),),
            table=table,
            client_accounts=[
                {"name": name, "key_sha256": [digest_key(key_of(name))]} for name in ACCOUNTS
            ],
            seed=seed,
        )
        try:
            deployment.prepare()
            border.connect(deployment)
            with deployment:
                _measure(recorder, deployment, border)
        finally:
            border.hub.close()


def _measure(recorder: Recorder, deployment: Deployment, border: _Border) -> None:
    home = deployment.list_processes("entry", zone=HOME)
    far = deployment.list_processes("entry", zone=FAR)
    everywhere = deployment.list_processes("entry", "upstream")
    time.sleep(2.0)
    border.cut()
    time.sleep(6.0)
    samples = _send(far, account=ACCOUNTS[1], rate=8.0, seconds=CUT_S)
    whole = sum(item.result == "whole" for item in samples) / len(samples)
    recorder.at_least("cut_off_zone_whole", "fraction", whole, 0.999)
    status, answer = set_cell(
        home[0], cell="tokens_per_minute", value="777777", base="", change_id="during-the-cut"
    )
    recorder.at_least("edit_in_home_zone_accepted", "count", float(status == 200), 1)
    refused, _ = set_cell(
        far[0], cell="tokens_per_minute", value="5", base="", change_id="in-the-cut-off-zone"
    )
    recorder.at_least("edit_in_cut_off_zone_refused", "count", float(refused in (503, 504)), 1)
    claims = [_post(far[0], f"/cut/{n}", key=f"cut-{n}") for n in range(3)]
    kinds = Counter(claims)
    recorder.at_least("claims_refused_as_not_run", "requests", kinds["no"], 3)
    limited = _send(home + far, account=LIMITED, rate=6.0, seconds=20.0)
    passed = sum(item.result == "whole" for item in limited)
    recorder.at_most("limited_requests_in_a_minute", "requests", passed, LIMIT)
    recorder.at_least("limited_requests_served", "requests", passed, 1)
    border.join()
    joined = time.monotonic()
    revision = int(answer["revision"]) if status == 200 else 1 << 30
    reached = float("inf")
    while time.monotonic() < joined + 30:
        if all(read_revision(process) >= revision for process in everywhere):
            reached = time.monotonic() - joined
            break
        time.sleep(0.05)
    recorder.at_most("newest_revision_after_joining", "s", reached, 5.0)


def _send(entries: list[Any], *, account: str, rate: float, seconds: float) -> list[Sample]:
    arrivals = [
        Arrival(
            at=number / rate,
            client_account=account,
            rank="normal",
            model=MODEL,
            max_tokens=8,
            deadline_s=5.0,
        )
        for number in range(int(rate * seconds))
    ]
    return asyncio.run(make_caller(entries, "caller").run(arrivals))


def _post(entry: Any, path: str, *, key: str) -> str:
    headers = {"Authorization": f"Bearer {key_of(ACCOUNTS[1])}", "Idempotency-Key": f'"{key}"'}
    url = f"{entry.url('caller')}/services/ledger{path}"
    _, body = request_json("POST", url, {}, headers=headers, timeout_s=20.0)
    return str(body["error"]["executed"]) if isinstance(body, dict) and "error" in body else "yes"
