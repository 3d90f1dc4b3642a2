"""Guards against parts that pass their own tests but don't work together as processes."""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tools.certificates import has_openssl
from tools.launch import (
    Deployment,
    UpstreamSpec,
    VersionSpec,
    example_key,
    request_json,
)

pytestmark = pytest.mark.process

TABLE = """model,client_account,rank,weight,deadline_ms,version
lm,*,*,1,20000,lm-1
*,*,*,1,20000,
"""


@pytest.fixture(scope="module", params=["plain", "tls"])
def deployment(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Deployment]:
    if request.param == "tls" and not has_openssl():
        pytest.skip("needs the openssl command")
    directory = tmp_path_factory.mktemp(f"deployment-{request.param}")
    table = directory / "table.csv"
    table.write_text(TABLE, encoding="utf-8")
    with Deployment(
        directory=directory,
        upstreams=(
            UpstreamSpec(kind="engine", name="lm", count=2),
            UpstreamSpec(kind="service", name="ledger", count=1),
        ),
        versions=(VersionSpec(model="lm", version="lm-1", total_bytes=1_000_000),),
        table=table,
        client_accounts=[{"name": "kiosk", "ranks": ["urgent"]}],
        tls=request.param == "tls",
    ) as started:
        yield started


def _call(deployment: Deployment, path: str, body: Any, **headers: str) -> tuple[int, Any]:
    entry = deployment.list_processes("entry")[0]
    return request_json(
        "POST",
        entry.url("caller") + path,
        body,
        headers={"Authorization": f"Bearer {example_key('kiosk')}", **headers},
        timeout_s=30.0,
        authority=deployment.authority,
    )


def _ctl(deployment: Deployment, *arguments: str) -> tuple[int, Any]:
    urls = deployment.list_urls("entry", "admin")
    addresses = ",".join(url.partition("://")[2] for url in urls)
    command = [sys.executable, "-m", "sycamoreproxy.ctl", *arguments, "--json"]
    command += ["--admin", addresses]
    if deployment.authority is not None:
        command += ["--authority", str(deployment.authority)]
    environment = {"SYCAMORE_TOKEN": example_key("operator")}
    done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=90)
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout)


def _wait_until(check: Callable[[], bool]) -> None:
    """Wait for something that the system does by itself; the limit only ends a failed run."""
    end = time.monotonic() + 60
    while not check():
        assert time.monotonic() < end
        time.sleep(0.1)


def test_model_and_service_answer(deployment: Deployment) -> None:
    _wait_until(
        lambda: _call(deployment, "/v1/completions", {"model": "lm", "prompt": "a"})[0] == 200
    )
    status, answer = _call(deployment, "/v1/completions", {"model": "lm", "prompt": "a"})
    assert status == 200 and answer["system_fingerprint"] == "lm-1"
    status, first = _call(
        deployment, "/services/ledger/deposits", {"sum": 1}, **{"Idempotency-Key": "k1"}
    )
    assert status == 200
    again = _call(deployment, "/services/ledger/deposits", {"sum": 1}, **{"Idempotency-Key": "k1"})
    assert again == (200, first)
    ledgers = deployment.list_urls("service", "http")
    runs = [run for url in ledgers for run in request_json("GET", f"{url}/standin/runs")[1]["runs"]]
    assert [(run["key"], run["count"]) for run in runs] == [("k1", 1)]


def test_edit_is_in_force_everywhere(deployment: Deployment) -> None:
    status, answer = _ctl(deployment, "table", "set", "lm", "*", "*", "weight=2", "--wait", "60")
    assert status == 0
    assert answer["status"]["in_force"] == answer["status"]["expected"] == 5
    assert _ctl(deployment, "table", "get", "lm")[1]["rows"][0]["cells"]["weight"] == "2"


def test_killed_process_is_named_and_comes_back(deployment: Deployment) -> None:
    upstream = deployment.list_processes("upstream")[0]
    deployment.kill(upstream.pid)
    status, answer = _ctl(deployment, "table", "status")
    assert status == 5
    assert [item["host"] for item in answer["missing"]] == [upstream.name]
    deployment.restart(upstream.name)
    assert _ctl(deployment, "table", "status", "--wait", "60")[0] == 0


def test_sigterm_drains_with_status_0(deployment: Deployment) -> None:
    for kind in ("upstream", "entry"):
        process = deployment.list_processes(kind)[-1]
        assert deployment.terminate(process.pid, timeout_s=60) == 0
        deployment.restart(process.name)
