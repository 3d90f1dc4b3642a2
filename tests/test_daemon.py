"""Guards the end of a process: one or many signals, it ends in order."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tools.addresses import reserve_address

_SETTINGS = """
[process]
role = "routed-entry"
host = "entry-1"
availability_zone = "z1"
region = "r1"

[listen]
ip = "127.0.0.1"
callers = "127.0.0.1:{0}"
ready = "127.0.0.1:{1}"
peer_port = {2}
state_port = {3}

[store]
address = "127.0.0.1:{4}"

[bounds]
"""


@pytest.fixture
def settings(tmp_path: Path) -> Iterator[Path]:
    """Settings of a daemon whose ports stay reserved until the test ends."""
    with contextlib.ExitStack() as reserved:
        holders = [reserved.enter_context(reserve_address()) for _ in range(5)]
        ports = [holder.getsockname()[1] for holder in holders]
        file = tmp_path / "entry.toml"
        file.write_text(_SETTINGS.format(*ports), encoding="utf-8")
        yield file


@pytest.mark.parametrize("repeated", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_repeated_signals_do_not_kill_a_process_that_ends(
    settings: Path, repeated: signal.Signals
) -> None:
    """A signal that came after the event loop had closed ended the process with status -15 or -1."""
    command = [sys.executable, "-m", "sycamoreproxy.daemon", "--config", str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    while '"started"' not in (line := process.stdout.readline()):
        assert line, "the process ended"
    deadline = time.monotonic() + 20
    process.send_signal(signal.SIGTERM)
    while process.poll() is None and time.monotonic() < deadline:
        process.send_signal(repeated)
        time.sleep(0.001)
    assert process.wait(1) == 0


#: Sends SIGHUP to the process itself while it sets itself up, after it read its settings.
_EARLY_HANG_UP = """
import os, signal, sys
import sycamoreproxy.daemon, sycamoreproxy.logs
configure = sycamoreproxy.logs.configure_logs
def configure_after_signal(**options):
    os.kill(os.getpid(), signal.SIGHUP)
    configure(**options)
sycamoreproxy.logs.configure_logs = configure_after_signal
sys.exit(sycamoreproxy.daemon.main(["--config", sys.argv[1]]))
"""


def test_reload_that_is_asked_for_during_the_start_is_done_after_it(settings: Path) -> None:
    """SIGHUP before its handler was installed ended the process with status -1."""
    command = [sys.executable, "-c", _EARLY_HANG_UP, str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    seen = ""
    while '"started"' not in seen or '"settings reloaded"' not in seen:
        line = process.stdout.readline()
        assert line, f"the process ended with status {process.wait(1)}"
        seen += line
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


#: Runs a process of the model API that gets a signal while it starts and one while it drains.
_SIGNALLED_TWICE = """
import asyncio, os, signal, sys
from types import SimpleNamespace
import sycamoreproxy.composition, sycamoreproxy.daemon
number = int(sys.argv[1])
class Process:
    async def start(self):
        os.kill(os.getpid(), number)
    async def drain(self):
        os.kill(os.getpid(), number)
        await asyncio.sleep(0.05)
        print("drained")
    async def close(self):
        pass
sycamoreproxy.composition.build_process = lambda settings: Process()
part = SimpleNamespace(format="json", level="info", host="h", role="entry", peer="")
asyncio.run(sycamoreproxy.daemon.run(SimpleNamespace(log=part, process=part, listen=part)))
"""


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_no_signal_ends_a_process_of_the_model_api_before_it_is_drained(
    number: signal.Signals,
) -> None:
    """SIGHUP ended it at once, with all its requests, also while it was drained."""
    command = [sys.executable, "-c", _SIGNALLED_TWICE, str(int(number))]
    process = subprocess.run(command, stdout=subprocess.PIPE, text=True, timeout=60, check=False)
    assert (process.returncode, process.stdout) == (0, "drained\n")
