"""Guards against a red test that is left out without being named, or named without existing."""

import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"


@pytest.mark.parametrize(
    ("known_red", "status", "output"),
    [
        ("", 1, "1 failed"),
        ("test: tests/test_it.py::test_red\n  seen: fails\n", 0, "known red, not run"),
        ("test: tests/test_it.py::test_gone\n", 4, "do not exist"),
    ],
    ids=["not named", "named", "named but absent"],
)
def test_only_named_tests_are_left_out(
    tmp_path: Path, known_red: str, status: int, output: str
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "conftest.py").write_text(CONFTEST.read_text(encoding="utf-8"))
    (tmp_path / "tests" / "test_it.py").write_text(
        "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
    )
    (tmp_path / "KNOWN-RED.txt").write_text(known_red)
    run = subprocess.run(
        [sys.executable, "-m", "pytest"], cwd=tmp_path, capture_output=True, text=True, timeout=60
    )
    assert run.returncode == status
    assert output in run.stdout + run.stderr
