"""Guards against settings of a routed deployment that are accepted although it can't run."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from sycamoreproxy.daemon import EXIT_SETTINGS, main
from sycamoreproxy.regions import read_zones
from sycamoreproxy.routed_settings import is_routed, load_routed_settings
from sycamoreproxy.settings_reader import SettingsError

ENTRY = """
[process]
role = "routed-entry"
host = "edge-1"
availability_zone = "z1"
region = "r1"
[listen]
ip = "127.0.0.1"
callers = "127.0.0.1:8005"
ready = "127.0.0.1:8002"
peer_port = 7700
state_port = 7715
[store]
address = "127.0.0.1:8007"
[bounds]
leave_ms = 2000
stop_s = 8
resend_ratio = 0.2
resend_slack = 104
resend_window_s = 10
version_ms = 8000
"""
UPSTREAM = ENTRY.replace("routed-entry", "routed-upstream") + """
[engine]
address = "127.0.0.1:8001"
link_mbps = 4.7
"""


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "local.toml"
    path.write_text(text, encoding="utf-8")
    return path


def test_valid_settings(tmp_path: Path) -> None:
    entry = load_routed_settings(write(tmp_path, ENTRY))
    assert (entry.bounds.leave_s, entry.bounds.version_s, entry.engine) == (2.0, 8.0, None)
    upstream = load_routed_settings(write(tmp_path, UPSTREAM))
    assert upstream.engine is not None and upstream.engine.link_bytes_per_s == 587_500
    assert is_routed(write(tmp_path, ENTRY))
    assert main(["--config", str(write(tmp_path, ENTRY)), "--check"]) == 0


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (ENTRY.replace("peer_port = 7700", ""), "listen.peer_port"),
        (ENTRY.replace("leave_ms = 2000", 'leave_ms = "2000"'), "bounds.leave_ms"),
        (ENTRY.replace("127.0.0.1:8007", "store"), "store.address"),
        (ENTRY.replace('callers = "127.0.0.1:8005"', ""), "listen"),
        (UPSTREAM.replace("[engine]", "[engines]"), "engines"),
        (UPSTREAM.partition("[engine]")[0], "engine"),
    ],
)
def test_unusable_settings_name_the_key(tmp_path: Path, text: str, key: str) -> None:
    path = write(tmp_path, text)
    with pytest.raises(SettingsError, match=key):
        load_routed_settings(path)
    assert main(["--config", str(path), "--check"]) == EXIT_SETTINGS


@pytest.mark.parametrize("text", ["", "process = 3", "[process]\nrole = 'entry'", "["])
def test_other_settings_are_not_routed(tmp_path: Path, text: str) -> None:
    assert not is_routed(write(tmp_path, text))


@pytest.mark.parametrize("name", ["entry", "upstream"])
def test_templates_have_the_names_of_the_settings(tmp_path: Path, name: str) -> None:
    """A renamed setting would be noticed only on the users' machines."""
    deploy = Path(__file__).parent.parent / "deploy"
    text = (deploy / f"{name}.toml.template").read_text(encoding="utf-8")
    filled = {
        "{{ip}}": "10.0.0.1",
        "{{listen.front}}": "10.0.0.1:1",
        "{{listen.ready}}": "10.0.0.1:2",
        "{{platform.address}}": "10.0.0.2:3",
        "{{app}}": "10.0.0.1:4",
    }
    for placeholder, value in filled.items():
        text = text.replace(placeholder, value)
    text = re.sub(r"\{\{[#/][a-z_.]+\}\}", "", text).replace("{{.}}", "1").replace("{{@}}", "z1")
    text = re.sub(r'"\{\{[a-z_.]+\}\}"', '"x"', text)
    text = re.sub(r"\{\{[a-z_.0-9]+\}\}", "1", text)
    settings = load_routed_settings(write(tmp_path, text))
    assert settings.process.role == f"routed-{name}"


ZONES = {"z1": "r1", "z2": "r2"}


@pytest.mark.parametrize("name", ["entry", "upstream"])
@pytest.mark.parametrize("zones", [{}, ZONES], ids=["absent", "table"])
def test_templates_take_the_zones_of_the_platform(
    tmp_path: Path, name: str, zones: dict[str, str]
) -> None:
    """A process did not start whose platform names no zones, or had zones without a region.

    The platform renders a section once for each entry of a table, with its key and its value.
    """
    deploy = Path(__file__).parent.parent / "deploy"
    text = (deploy / f"{name}.toml.template").read_text(encoding="utf-8")
    section = re.search(r"(\[zones\]\n)\{\{#zones\}\}\n(.*?)\{\{/zones\}\}\n", text, re.DOTALL)
    assert section is not None
    rendered = section[1] + "".join(
        section[2].replace("{{@}}", zone).replace("{{.}}", region) for zone, region in zones.items()
    )
    base = ENTRY if name == "entry" else UPSTREAM
    settings = load_routed_settings(write(tmp_path, base + rendered))
    assert read_zones(settings.zones) == zones


def test_zones_of_a_settings_file(tmp_path: Path) -> None:
    text = ENTRY + 'evacuate_ms = 3000\n[zones]\nz1 = "r1"\nz2 = "r2"\n'
    settings = load_routed_settings(write(tmp_path, text))
    assert read_zones(settings.zones) == ZONES and settings.bounds.evacuate_s == 3.0
