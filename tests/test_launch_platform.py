"""Guards the example of the platform's stand-in: it starts, answers and leaves no process."""

from __future__ import annotations

import contextlib
import itertools
import os
import re
import shlex
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


def test_example_answers_its_own_line_and_ends(tmp_path: Path) -> None:
    command = [sys.executable, "tools/launch.py", "--deployment", "platform", "--dir", tmp_path]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        lines = []
        while (line := process.stdout.readline()) != "Ctrl-C ends it.\n":
            assert line, "the example ended"
            lines.append(line)
        curl = "".join(line for line in lines if not line.startswith(("entry", "engine")))
        answer = subprocess.run(
            shlex.split(curl), capture_output=True, text=True, timeout=20, check=True
        )
        assert re.findall(r"data: token (\d)", answer.stdout) == list("12345")
    finally:
        process.send_signal(signal.SIGINT)
        status = process.wait(20)
    assert status == 0
    settings = [entry.name for entry in tmp_path.glob("*.toml")]
    assert len(settings) == 6
    assert _list_processes(tmp_path) == []


#: An entry host that does not become ready, so that the launcher waits for it.
_LAUNCHER_THAT_WAITS = """
import asyncio, sys
from pathlib import Path
from bench import soak_site
from tools.launch_platform import run_platform

async def wait_ready(*_, **options):
    print("waiting", flush=True)
    await asyncio.sleep(30)
    return False

soak_site.Site.wait_ready = wait_ready
sys.exit(run_platform(Path(sys.argv[1])))
"""


def test_stop_during_the_start_does_not_wait_for_entry_hosts(tmp_path: Path) -> None:
    """The stop began when the entry hosts were ready or their time limit of 30 s had passed."""
    command = [sys.executable, "-c", _LAUNCHER_THAT_WAITS, tmp_path]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == "waiting\n"
        process.send_signal(signal.SIGTERM)
        assert process.wait(15) == 0
    finally:
        if process.poll() is None:
            process.wait(60)
    assert _list_processes(tmp_path) == []


@pytest.mark.parametrize("deployment", ["platform", "plovdiv"])
def test_repeated_signals_do_not_change_the_status_of_the_launcher(
    tmp_path: Path, deployment: str
) -> None:
    """A signal after the handlers were gone ended the launcher with status -15 or -2."""
    command = [sys.executable, "tools/launch.py", "--deployment", deployment, "--dir", tmp_path]
    process = subprocess.Popen(command, cwd=ROOT)
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    while not (started := set(children.read_text().split())):
        assert process.poll() is None
        time.sleep(0.001)
    deadline = time.monotonic() + 40
    for number in itertools.cycle((signal.SIGINT, signal.SIGTERM)):
        process.send_signal(number)
        with contextlib.suppress(OSError):
            started |= set(children.read_text().split())
        time.sleep(0.001)
        if process.poll() is not None or time.monotonic() > deadline:
            break
    assert process.wait(1) == 0
    assert _list_processes(tmp_path) == []
    assert not [pid for pid in started if Path("/proc", pid).exists()]


def _list_processes(directory: Path) -> list[str]:
    """Return the command lines of running processes that name this directory."""
    lines = []
    for pid in filter(str.isdigit, os.listdir("/proc")):
        # A process may end while the list is read.
        with contextlib.suppress(OSError):
            lines.append(Path(f"/proc/{pid}/cmdline").read_text(errors="replace"))
    return [line for line in lines if str(directory) in line]
