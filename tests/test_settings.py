"""Guards against settings that are accepted although a process can't run with them."""

from pathlib import Path

import pytest

from sycamoreproxy.settings import load_settings
from sycamoreproxy.settings_reader import SettingsError

VALID = """
[process]
host = "entry-1"
role = "entry"
availability_zone = "trakia-yug-a"
region = "trakia-yug"
[listen]
caller = "127.0.0.1:8080"
peer = "127.0.0.1:7080"
admin = "127.0.0.1:9080"
[store]
address = "http://127.0.0.1:2379"
prefix = "/sycamore/plovdiv"
[host_list]
address = "http://127.0.0.1:2380/hosts"
[tls]
plain = true
"""


def _load(tmp_path: Path, text: str) -> object:
    file = tmp_path / "settings.toml"
    file.write_text(text, encoding="utf-8")
    return load_settings(file)


def test_valid_settings_load(tmp_path: Path) -> None:
    settings = _load(tmp_path, VALID)
    assert settings.process.host == "entry-1"  # type: ignore[attr-defined]
    assert settings.listen.caller.port == 8080  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('host = "entry-1"', 'host = "entry-1"\nsurprise = 1', "process.surprise"),
        ("127.0.0.1:8080", "localhost:8080", "listen.caller"),
        ("127.0.0.1:7080", "127.0.0.1:70800", "listen.peer"),
        ('availability_zone = "trakia-yug-a"', "", "process.availability_zone"),
        ('availability_zone = "trakia-yug-a"', 'availability_zone = ""', "process.availability"),
        ('role = "entry"', 'role = "proxy"', "process.role"),
        ('role = "entry"', 'role = "upstream"', "upstream"),
        ("plain = true", "", "tls.certificate"),
        ("plain = true", 'certificate = "none.pem"', "tls.certificate"),
        ("plain = true", "plain = 1", "tls.plain"),
        ('prefix = "/sycamore/plovdiv"', 'prefix = "x"', "store.prefix"),
        ("[tls]", "[tls", "(file)"),
    ],
)
def test_bad_settings_name_file_and_key(tmp_path: Path, old: str, new: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        _load(tmp_path, VALID.replace(old, new))
    assert "settings.toml" in str(caught.value)
    assert key in str(caught.value)


def test_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"gone\.toml"):
        load_settings(tmp_path / "gone.toml")
