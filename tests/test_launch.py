"""Guards against deployments whose processes outlive it or can't read their settings."""

import csv
import os
from pathlib import Path

import pytest

from sycamoreproxy.settings import load_settings
from tools.launch import (
    ROOT,
    Deployment,
    LaunchError,
    UpstreamSpec,
    ZoneSpec,
    make_example,
    read_table_edits,
    request_json,
)

ZONES = (ZoneSpec(name="zone-a", region="north"), ZoneSpec(name="zone-b", region="south"))


class _OnlyHostList(Deployment):
    """Starts only the host list, so that the test needs no other program."""

    def start_standins(self) -> None:
        super()._spawn(self.prepare()["host_list"])
        self._wait_for(self.processes_by_name["host_list"], "/")
        self.send_hosts()


@pytest.fixture
def deployment(tmp_path: Path) -> _OnlyHostList:
    upstreams = (
        UpstreamSpec(kind="engine", name="lm", count=2, settings={"window": 3}),
        UpstreamSpec(kind="service", name="ledger", count=1),
    )
    return _OnlyHostList(
        directory=tmp_path,
        zones=ZONES,
        upstreams=upstreams,
        client_accounts=[{"name": "kiosk", "ranks": ["urgent"]}],
        settings={"log": {"level": "debug"}, "weights": {"link_bytes_per_s": 1_500_000}},
    )


def test_every_daemon_gets_settings_that_load(deployment: _OnlyHostList) -> None:
    processes = deployment.prepare()
    daemons = deployment.list_processes("entry", "upstream")
    assert len(daemons) == 2 * (2 + 3)
    for process in daemons:
        settings = load_settings(Path(process.command[-1]))
        assert settings.process.host == process.name
        assert settings.log.level == "debug"
        assert [item.name for item in settings.client_accounts] == ["kiosk"]
    engine = load_settings(Path(processes["zone-b-lm-2"].command[-1]))
    assert engine.upstream is not None and engine.upstream.window == 3
    assert engine.weights is not None and engine.weights.link_bytes_per_s == 1_500_000
    deployment.stop()


def test_host_list_holds_every_host_and_ends_with_the_deployment(
    deployment: _OnlyHostList,
) -> None:
    deployment.start_standins()
    process = deployment.processes_by_name["host_list"]
    try:
        status, answer = request_json("GET", process.url("http") + "/hosts")
        assert status == 200 and len(answer["hosts"]) == 10
        assert request_json("PATCH", process.url("http") + "/hosts/none", {})[0] == 404
        request_json("PATCH", process.url("http") + "/hosts/zone-a-lm-1", {"state": "leaving"})
        _, answer = request_json("GET", process.url("http") + "/hosts")
        assert {"zone-a-lm-1": "leaving"}.items() <= {
            item["host"]: item["state"] for item in answer["hosts"]
        }.items()
        deployment.set_faults("host_list", {"down": True})
        assert request_json("GET", process.url("http") + "/hosts")[0] == 0
        first = process.pid
        deployment.suspend(first)
        deployment.restart("host_list")
        assert process.pid != first
        with pytest.raises(LookupError):
            deployment.kill(os.getpid())
    finally:
        deployment.stop()
    assert not process.is_running


def test_process_that_ends_at_once_is_reported_with_its_log(deployment: _OnlyHostList) -> None:
    process = deployment.prepare()["store"]
    process.command = [*process.command[:1], "-c", "raise SystemExit('bad option')"]
    deployment._spawn(process)
    with pytest.raises(LaunchError, match=r"(?s)store does not answer.*it ended.*bad option"):
        deployment._wait_for(process, "/")
    deployment.stop()


@pytest.mark.parametrize("name", ["plovdiv", "sicily"])
def test_example_tables_fit_their_accounts(name: str, tmp_path: Path) -> None:
    deployment = make_example(name, tmp_path)
    file = ROOT / "examples" / f"{name}.csv"
    with file.open(encoding="utf-8") as lines:
        rows = list(csv.DictReader(lines))
    accounts = {row["client_account"] for row in rows} - {"*"}
    assert accounts == {item["name"] for item in deployment._client_accounts}
    shares = {(r["client_account"] == "*", r["rank"]): 0.0 for r in rows}
    for row in rows:
        shares[row["client_account"] == "*", row["rank"]] += float(row["share"] or 0)
    assert sum(value for (whole, _), value in shares.items() if whole) <= 1
    assert all(value <= 1.0001 for value in shares.values())
    edits = read_table_edits(file)
    assert all(edit["base"] == "" and edit["value"] for edit in edits)
    assert {edit["cell"] for edit in edits} >= {"weight", "share", "deadline_ms", "version"}
