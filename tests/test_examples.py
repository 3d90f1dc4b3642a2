"""Guards against examples that no longer load."""

import shutil
from pathlib import Path

import pytest

from sycamoreproxy.settings import load_settings
from sycamoreproxy.table import validate_rows
from sycamoreproxy.table_commands import parse_csv, plan_edits
from tools.certificates import has_openssl, make_authority, make_certificate
from tools.launch import ROOT, digest_key, example_key, make_example, read_table_edits

EXAMPLES = ROOT / "examples"
SETTINGS = sorted(
    file.name for file in EXAMPLES.glob("*.toml") if not file.name.endswith(".secrets.toml")
)


@pytest.fixture(scope="module")
def directory(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("examples")
    shutil.copytree(EXAMPLES, path, dirs_exist_ok=True)
    make_authority(path / "tls")
    return path


@pytest.mark.skipif(not has_openssl(), reason="needs the openssl command")
@pytest.mark.parametrize("name", SETTINGS)
def test_settings_load_and_keys_match(name: str, directory: Path) -> None:
    host = next(
        line.split('"')[1]
        for line in (directory / name).read_text(encoding="utf-8").splitlines()
        if line.startswith("host = ")
    )
    make_certificate(directory / "tls", host)
    settings = load_settings(directory / name)
    assert len(settings.client_accounts) == 10
    for account in settings.client_accounts:
        assert account.key_sha256 == (digest_key(example_key(account.name)),)


@pytest.mark.parametrize("name", ["plovdiv", "sicily"])
def test_tables_keep_every_rule_and_fit_their_accounts(name: str, tmp_path: Path) -> None:
    file = EXAMPLES / f"{name}.csv"
    rows = parse_csv(file.read_text(encoding="utf-8"))
    assert validate_rows(rows) == []
    edits = [(*edit.key, edit.cell, edit.value) for edit in plan_edits(rows, base={})]
    loaded = [tuple(item.values()) for item in read_table_edits(file)]
    assert sorted((*item[:4], item[5]) for item in loaded) == edits
    accounts = {item["name"] for item in make_example(name, tmp_path)._client_accounts}
    assert {key.client_account for key in rows} == accounts | {"*"}
