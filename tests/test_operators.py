"""Guards the promises to operators, by scenario; see features/operators.feature."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sycamoreproxy import ctl
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.streams import Address
from tests._admin import KIOSK, TOKEN, AdminApi, serve_admin

scenarios("operators.feature")


class _Operator:
    """Runs commands and keeps their last status and output."""

    def __init__(self, api: AdminApi, directory: Path, capsys: pytest.CaptureFixture[str]) -> None:
        self.api = api
        self.file = directory / "table.csv"
        self._capsys = capsys
        self.status = 0
        self.output = ""

    def run(self, *arguments: str) -> None:
        """Run ``sycamorectl table`` with these arguments."""
        self.status = ctl.run(["table", *arguments, "--admin", self.api.url])
        captured = self._capsys.readouterr()
        self.output = captured.out + captured.err


@pytest.fixture
def operator(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Iterator[_Operator]:
    monkeypatch.setenv("SYCAMORE_TOKEN", TOKEN)
    with serve_admin() as api:
        yield _Operator(api, tmp_path, capsys)


@given("the table holds weight 1 for the kiosk")
def _(operator: _Operator) -> None:
    assert operator.api.rows[KIOSK] == {"weight": "1"}


@given("the day operator has exported the table")
def _(operator: _Operator) -> None:
    operator.run("export", "--output", str(operator.file))
    assert operator.status == 0


@given("the store answers too late")
def _(operator: _Operator) -> None:
    # Longer than the wait of the API for one commit, so that it answers "unknown".
    operator.api.faults.replace({"delay_ms": 700})


@given("a second host is listed that does not answer")
def _(operator: _Operator) -> None:
    nowhere = Address("127.0.0.1", 9)
    operator.api.hosts.append(HostRecord("entry-2", "entry", "z", "r", nowhere, nowhere))


@when(parsers.parse("the night operator sets the weight to {value}"))
def _(operator: _Operator, value: str) -> None:
    operator.run("set", "lm", "kiosk", "urgent", f"weight={value}")
    operator.api.wait_for(2)


@when("asks where it is in force")
def _(operator: _Operator) -> None:
    operator.run("status")


@when(parsers.parse("the day operator applies the export with weight {value}"))
def _(operator: _Operator, value: str) -> None:
    text = operator.file.read_text(encoding="utf-8")
    changed = operator.file.with_name("changed.csv")
    changed.write_text(text.replace("urgent,1", f"urgent,{value}"), encoding="utf-8")
    operator.run("apply", str(changed), "--base", str(operator.file))


@then(parsers.parse("the command ends with status {status:d}"))
def _(operator: _Operator, status: int) -> None:
    assert operator.status == status, operator.output


@then(parsers.parse("it shows base {base}, current {current} and {value}"))
def _(operator: _Operator, base: str, current: str, value: str) -> None:
    assert f"base '{base}', current '{current}', yours '{value}'" in operator.output


@then(parsers.parse("the weight is {value}"))
def _(operator: _Operator, value: str) -> None:
    assert operator.api.rows[KIOSK]["weight"] == value


@then(parsers.parse("the history has {count:d} changes"))
def _(operator: _Operator, count: int) -> None:
    operator.run("history", "--json")
    assert len(json.loads(operator.output)["history"]) == count


@then("it names the second host and why it is missing")
def _(operator: _Operator) -> None:
    assert "in force at 1 of 2 processes" in operator.output
    assert "entry-2 (entry, z): no answer since" in operator.output
