"""Guards against deployments whose processes outlive it or can't read their settings."""

import os
from pathlib import Path

import pytest

from sycamoreproxy.settings import load_settings
from tools.launch import (
    Deployment,
    LaunchError,
    UpstreamSpec,
    ZoneSpec,
    request_json,
)

ZONES = (ZoneSpec(name="zone-a", region="north"), ZoneSpec(name="zone-b", region="south"))


class _OnlyHostList(Deployment):
    """Starts only the host list, so that the test needs no other program."""

    def start_standins(self) -> None:
        super()._spawn(self.prepare()["host_list"])
        self._wait_for(self.processes_by_name["host_list"], "/standin/faults")
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
        states = {item["host"]: item["state"] for item in answer["hosts"]}
        assert states["zone-a-lm-1"] == "leaving" and states["zone-a-lm-2"] == "live"
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


def test_upstreams_share_the_standins_of_their_zone(tmp_path: Path) -> None:
    """A zone must not use the stand-ins of another one, and each stand-in must be used."""
    deployment = _OnlyHostList(
        directory=tmp_path,
        zones=ZONES,
        upstreams=(UpstreamSpec(kind="service", name="ledger", count=5, standins=2),),
    )
    deployment.prepare()
    addresses_by_zone = {
        zone.name: {
            settings.upstream.address
            for process in deployment.list_processes("upstream", zone=zone.name)
            if (settings := load_settings(Path(process.command[-1]))).upstream is not None
        }
        for zone in ZONES
    }
    for zone in ZONES:
        standins = deployment.list_processes("service", zone=zone.name)
        assert addresses_by_zone[zone.name] == {item.url("http") for item in standins}
        assert len(standins) == 2
    deployment.stop()
