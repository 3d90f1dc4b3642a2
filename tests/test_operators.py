"""Guards the promise to operators in features/operators.feature."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sycamoreproxy import ctl
from tests._admin import KIOSK, TOKEN, AdminApi, serve_admin

scenarios("operators.feature")


@pytest.fixture
def api(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> Iterator[AdminApi]:
    with serve_admin() as served:
        monkeypatch.setenv("SYCAMORE_TOKEN", TOKEN)
        monkeypatch.setenv("SYCAMORE_ADMIN", served.url)
        yield served


@given("the day operator has exported a table with weight 1 for the kiosk", target_fixture="export")
def _(api: AdminApi, tmp_path: Path) -> Path:
    file = tmp_path / "before.csv"
    assert ctl.run(["table", "export", "--output", str(file)]) == 0
    assert "lm,kiosk,urgent,1," in file.read_text(encoding="utf-8")
    return file


@when(parsers.parse("the night operator sets the weight to {value}"))
def _(api: AdminApi, value: str) -> None:
    assert ctl.run(["table", "set", "lm", "kiosk", "urgent", f"weight={value}"]) == 0
    api.wait_for(2)


@when(
    parsers.parse("the day operator applies the export with weight {value}"),
    target_fixture="status",
)
def _(export: Path, value: str) -> int:
    text = export.read_text(encoding="utf-8").replace("urgent,1", f"urgent,{value}")
    changed = export.with_name("after.csv")
    changed.write_text(text, encoding="utf-8")
    return ctl.run(["table", "apply", str(changed), "--base", str(export)])


@then(parsers.parse("the command ends with status {expected:d}"))
def _(status: int, expected: int) -> None:
    assert status == expected


@then(parsers.parse("it shows base {base}, current {current} and {value}"))
def _(capsys: pytest.CaptureFixture[str], base: str, current: str, value: str) -> None:
    assert f"base '{base}', current '{current}', yours '{value}'" in capsys.readouterr().err


@then(parsers.parse("the weight is {value}"))
def _(api: AdminApi, value: str) -> None:
    assert api.rows[KIOSK]["weight"] == value
