"""Guards the example of the platform's stand-in: it starts, answers and leaves no process."""

from __future__ import annotations

import os
import re
import shlex
import signal
import subprocess
import sys
from pathlib import Path

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
    running = [
        Path(f"/proc/{pid}/cmdline").read_text(errors="replace")
        for pid in os.listdir("/proc")
        if pid.isdigit() and Path(f"/proc/{pid}/cmdline").exists()
    ]
    assert not any(str(tmp_path) in line for line in running)
