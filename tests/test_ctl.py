"""Guards against commands that fail with status 0 or write what a script can't read."""

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from sycamoreproxy import _admin_client, ctl
from tests._admin import KIOSK, TOKEN, AdminApi, make_record, serve_admin


@pytest.fixture
def api(monkeypatch: pytest.MonkeyPatch) -> Iterator[AdminApi]:
    with serve_admin() as served:
        monkeypatch.setenv("SYCAMORE_TOKEN", TOKEN)
        monkeypatch.setenv("SYCAMORE_ADMIN", served.url)
        yield served


def _run_json(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, object]:
    status = ctl.run([*arguments, "--json"])
    return status, json.loads(capsys.readouterr().out)


@pytest.mark.parametrize(
    ("arguments", "field"),
    [
        (("table", "get"), "rows"),
        (("table", "get", "lm", "kiosk", "urgent", "--effective"), "policy"),
        (("table", "export"), "rows"),
        (("table", "history"), "history"),
        (("table", "status"), "in_force"),
        (("dump",), "settings"),
    ],
)
def test_every_query_prints_one_json_document(
    api: AdminApi, capsys: pytest.CaptureFixture[str], arguments: tuple[str, ...], field: str
) -> None:
    status, answer = _run_json(capsys, *arguments)
    assert status == 0 and field in answer  # type: ignore[operator]
    assert ctl.run(list(arguments)) == 0
    assert capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (("table", "set", "lm", "kiosk", "urgent", "weight"), 2),
        (("table", "set", "lm", "kiosk", "urgent"), 2),
        (("table", "set", "lm", "kiosk", "urgent", "weight=2", "share=0", "--base", "1"), 2),
        (("table", "set", "lm", "kiosk", "urgent", "weight=2", "--base", "7"), 3),
        (("table", "apply", "/nowhere/table.csv"), 2),
        (("table", "status", "99"), 1),
        (("table", "change", "none"), 1),
        (("table", "get", "--admin", "http://127.0.0.1:9"), 1),
        (("table", "get", "--admin", ""), 1),
        (("table", "get", "--token-file", "/nowhere/token"), 1),
    ],
)
def test_failures_have_a_status_and_a_reason(
    api: AdminApi, capsys: pytest.CaptureFixture[str], arguments: tuple[str, ...], status: int
) -> None:
    assert ctl.run(list(arguments)) == status
    captured = capsys.readouterr()
    assert captured.out == "" and captured.err.startswith("sycamorectl: ")
    assert api.revision == 1


def test_wrong_token_is_named(
    api: AdminApi, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("SYCAMORE_TOKEN", "wrong")
    status, answer = _run_json(capsys, "table", "get")
    assert status == 1
    assert answer["error"]["name"] == "unknown_operator"  # type: ignore[index]


def test_export_applies_unchanged_and_prune_clears_absent_rows(
    api: AdminApi, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    file = tmp_path / "table.csv"
    assert ctl.run(["table", "export", "--output", str(file)]) == 0
    assert ctl.run(["table", "apply", str(file)]) == 0
    assert api.revision == 1
    rows = "lm,kiosk,normal,2\n"
    file.write_text("model,client_account,rank,weight\n" + rows, encoding="utf-8")
    assert ctl.run(["table", "apply", str(file), "--dry-run", "--prune"]) == 0
    assert "cells that would change: 2" in capsys.readouterr().out
    assert ctl.run(["table", "apply", str(file)]) == 0
    api.wait_for(2)
    assert len(api.rows) == 2
    assert ctl.run(["table", "apply", str(file), "--prune"]) == 0
    api.wait_for(3)
    assert [key.rank for key in api.rows] == ["normal"]


def test_next_address_is_asked_when_one_is_down(api: AdminApi) -> None:
    both = f"http://127.0.0.1:9, {api.url}/"
    assert ctl.run(["table", "set", "lm", "kiosk", "urgent", "weight=2", "--admin", both]) == 0
    api.wait_for(2)


def test_unknown_outcome_is_resolved_by_the_change_id(api: AdminApi) -> None:
    # Longer than the wait of the API for one commit, so that it answers "unknown".
    api.faults.replace({"delay_ms": 700})
    assert ctl.run(["table", "set", "lm", "kiosk", "urgent", "weight=2"]) == 0
    api.wait_for(2)
    assert api.rows[KIOSK]["weight"] == "2" and api.revision == 2


def test_status_names_a_host_that_is_cut_off(
    api: AdminApi, capsys: pytest.CaptureFixture[str]
) -> None:
    api.parts.poller.records += (make_record("entry-2"),)
    assert ctl.run(["table", "status"]) == 5
    output = capsys.readouterr().out
    assert "in force at 1 of 2 processes" in output
    assert "entry-2 (entry, z): no answer since" in output


def test_outcome_that_stays_unknown_has_its_own_status(
    api: AdminApi, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_admin_client, "RESOLVE_TIMEOUT_S", 0.0)
    api.faults.replace({"down": True})
    assert ctl.run(["table", "set", "lm", "kiosk", "urgent", "weight=2"]) == 4
    assert "sycamorectl table change " in capsys.readouterr().err


def test_usage_errors_and_help_of_the_program() -> None:
    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "sycamoreproxy.ctl", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    assert run("table", "nothing").returncode == 2
    helped = run("table", "set", "--help")
    assert helped.returncode == 0 and "$ sycamorectl table set" in helped.stdout
    completed = run("completion", "bash")
    assert completed.returncode == 0 and "complete" in completed.stdout


def test_daemon_side_does_not_import_the_command_line_library() -> None:
    # structlog imports rich by itself where it is installed, so only cyclopts tells.
    script = "import sys, sycamoreproxy.admin_http; sys.exit('cyclopts' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", script], timeout=60).returncode == 0


def test_status_groups_hosts_by_reason(capsys: pytest.CaptureFixture[str]) -> None:
    unmet = [{"host": f"h{n}", "reason": f"h{n} does not serve lm-2"} for n in range(10)]
    unmet.append({"host": "", "reason": "not enough hosts"})
    report = {"revision": 3, "in_force": 10, "expected": 10, "missing": [], "unmet": unmet}
    ctl._print_status(report)
    lines = capsys.readouterr().out.splitlines()
    assert lines[1].endswith("h6, h7 and 2 more: does not serve lm-2")
    assert lines[2:] == ["  not met: not enough hosts"]
    assert (ctl._status_of(report), ctl._status_of(report, met=True)) == (0, 5)
