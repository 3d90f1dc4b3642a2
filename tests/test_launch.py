"""Guards against deployments whose processes outlive it or can't read their settings."""

import itertools
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sycamoreproxy.settings import load_settings
from tools.launch import (
    ROOT,
    Deployment,
    LaunchError,
    StartCancelledError,
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


def test_requested_stop_cancels_the_wait_for_a_process(tmp_path: Path) -> None:
    """A process that does not answer must not delay the stop by the time limit of its start."""
    calls = itertools.count()
    deployment = _OnlyHostList(
        directory=tmp_path, upstreams=(), is_stop_requested=lambda: next(calls) > 2
    )
    process = deployment.prepare()["store"]
    process.command = ["sleep", "60"]
    deployment._spawn(process)
    try:
        with pytest.raises(StartCancelledError):
            deployment._wait_for(process, "/", timeout_s=20.0)
    finally:
        deployment.stop()
    assert not process.is_running


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


#: Runs the launcher again and again, each in a forked process with two children, where it sends
#: signals to itself. Prints for each run what was wrong; children that are left are ended.
_SIGNALLED_LAUNCHER = """
import json, os, signal, subprocess, sys, time
from pathlib import Path
from tools import launch

directory, mode = Path(sys.argv[1]), sys.argv[2]
started = directory / "started"
sent = []

class TwoChildren(launch.Deployment):
    def start_standins(self):
        for kind in ("store", "entry"):
            self.processes_by_name[kind] = launch.ManagedProcess(
                name=kind, kind=kind, command=["sleep", "60"], ports={}, log=directory / "log"
            )
            self._spawn(self.processes_by_name[kind])
    def start_daemons(self):
        pass
    def _wait_for(self, *_, **options):
        pass

class RecordedPopen(subprocess.Popen):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        with started.open("a") as file:
            print(self.pid, file=file)
        if mode == "in-popen":
            send(signal.SIGTERM)

def send(number):
    sent.append(number)
    os.kill(os.getpid(), number)

def make_example(name, directory, **options):
    upstream = launch.UpstreamSpec(kind="service", name="ledger", count=1)
    return TwoChildren(directory=directory, upstreams=(upstream,), **options)

def print_addresses(*_):
    if mode == "after-start":
        send(signal.SIGINT)
    elif not sent:
        # No line of the start is left for a signal; the launcher is to end without one.
        sys.settrace(None)
        os.kill(os.getpid(), signal.SIGTERM)

launch.make_example = make_example
launch._print_addresses = print_addresses
subprocess.Popen = RecordedPopen
sys.argv = ["launch", "--dir", str(directory)]

def make_trace(line):
    count = 0
    def trace(frame, event, _):
        nonlocal count
        if frame.f_code.co_filename != launch.main.__code__.co_filename:
            return None
        if event == "line" and (mode == "during-start" or sent):
            count += 1
            if count == line or (mode == "during-start" and count == line + 1):
                send(signal.SIGTERM if sent else signal.SIGINT)
        return trace
    return trace

def is_running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False

def run(line):
    started.write_text("")
    pid = os.fork()
    if not pid:
        sys.stdout = sys.stderr = open(os.devnull, "w")
        if mode != "in-popen":
            sys.settrace(make_trace(line))
        status = 4
        try:
            launch.main()
        except KeyboardInterrupt:
            status = 0
        else:
            status = 0 if len(sent) == 2 else 3
        finally:
            sys.settrace(None)
            os._exit(status)
    end = time.monotonic() + 20
    while not (result := os.waitpid(pid, os.WNOHANG))[0] and time.monotonic() < end:
        time.sleep(0.002)
    if is_stuck := not result[0]:
        os.kill(pid, signal.SIGKILL)
        result = os.waitpid(pid, 0)
    left = [child for child in started.read_text().split() if is_running(child)]
    for child in left:
        os.kill(int(child), signal.SIGKILL)
    status = os.waitstatus_to_exitcode(result[1])
    fault = "does not end" if is_stuck else f"{len(left)} left" if left else ""
    return fault or ("failed" if status == 4 else ""), status == 3

faults_by_line = {}
for line in range(1, 1000):
    fault, is_last = run(line)
    if fault:
        faults_by_line[line] = fault
    if is_last or mode == "in-popen":
        break
print(json.dumps({"lines": line, "faults": faults_by_line}))
"""


@pytest.mark.parametrize("mode", ["during-start", "after-start", "in-popen"])
def test_launcher_leaves_no_process_whenever_signals_arrive(tmp_path: Path, mode: str) -> None:
    """The handler raised an exception, also at lines where processes are started or ended.

    Modes: SIGINT and SIGTERM at each two successive lines from the first line of ``main``; SIGINT
    after the start and SIGTERM at each line from there; SIGTERM when a child was just started.
    """
    result = subprocess.run(
        [sys.executable, "-c", _SIGNALLED_LAUNCHER, str(tmp_path), mode],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=240,
    )
    assert result.returncode == 0, result.stderr
    answer = json.loads(result.stdout)
    assert answer["faults"] == {}
    assert mode == "in-popen" or answer["lines"] > 20


def test_deployments_do_not_share_ports_of_processes_that_have_not_opened_them(
    tmp_path: Path,
) -> None:
    """A port was free between the start of a process and its listener; both launchers chose it."""
    first, second = (_OnlyHostList(directory=tmp_path / name, upstreams=()) for name in "ab")
    process = first.prepare()["store"]
    process.command = ["sleep", "60"]
    try:
        first._spawn(process)
        second.prepare()
        ports = [
            port
            for deployment in (first, second)
            for process in deployment.list_processes()
            for port in process.ports.values()
        ]
        assert len(set(ports)) == len(ports)
    finally:
        first.stop()
        second.stop()
