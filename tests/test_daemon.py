"""Guards the end of a process: one or many signals, it ends in order."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from tornado.testing import bind_unused_port

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


def _find_ports(count: int) -> list[int]:
    sockets = [bind_unused_port() for _ in range(count)]
    for socket, _ in sockets:
        socket.close()
    return [port for _, port in sockets]


@pytest.mark.parametrize("repeated", [signal.SIGTERM, signal.SIGHUP])
def test_repeated_signals_do_not_kill_a_process_that_ends(
    tmp_path: Path, repeated: signal.Signals
) -> None:
    """A signal that came after the event loop had closed ended the process with status -15 or -1."""
    settings = tmp_path / "entry.toml"
    settings.write_text(_SETTINGS.format(*_find_ports(5)), encoding="utf-8")
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
