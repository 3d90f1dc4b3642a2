"""Starts a small deployment for a case: a platform stand-in and entry processes, on loopback ports."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
#: What a played process gets of the environment, and the folder with the built libraries.
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
DEPS = ROOT / "target" / "deps"
#: Bounds of the small deployments.
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 104,
    "budget_window_s": 10,
    "version_ms": 8000,
}
ZONES = {"trakia-z1": "trakia-yug"}
HOST = "127.0.0.1"

_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


class CaseError(Exception):
    """The case could not run."""


def find_free_ports(count: int) -> list[int]:
    """Return free ports, all different."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file."""
    return _render(text, [fields])


def _look_up(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def _render(text: str, scopes: list[Any]) -> str:
    parts: list[str] = []
    position = 0
    while (tag := _TAG.search(text, position)) is not None:
        parts.append(text[position : tag.start()])
        mark, name = tag[1], tag[2]
        position = tag.end()
        if mark in ("#", "^"):
            end = text.index("{{/" + name + "}}", position)
            inner = text[position:end]
            position = end + len(name) + 5
            value = _look_up(name, scopes)
            if mark == "^":
                if value is None or value is False:
                    parts.append(_render(inner, scopes))
            elif isinstance(value, dict):
                for key, item in value.items():
                    parts.append(_render(inner.replace("{{@}}", key), [*scopes, item]))
            elif isinstance(value, list):
                for item in value:
                    parts.append(_render(inner, [*scopes, item]))
            elif value is not None and value is not False:
                parts.append(_render(inner, [*scopes, value]))
        else:
            value = _look_up(name, scopes)
            parts.append("" if value is None else str(value))
    return "".join([*parts, text[position:]])


class Bed:
    """The processes of a case and its record.

    :param folder: folder of the case, for ``record.txt``.
    """

    def __init__(self, folder: Path) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._processes: list[subprocess.Popen[bytes]] = []
        self._logs: list[Any] = []
        self.store_port = 0
        #: Ports for a relay, by the port in a runner's entry, if the runners are relayed.
        self.relay_ports: dict[int, int] = {}
        self.write("trouble", self.has_trouble)

    def write(self, what: str, *values: object) -> None:
        """Write a line of the record."""
        age = time.monotonic() - self._started_at
        self._record.write(f"{age:9.3f} {what} {' '.join(map(str, values))}\n")
        self._record.flush()

    # Processes

    def start(self, name: str, command: list[str], **variables: str) -> subprocess.Popen[bytes]:
        """Start a process; its output goes to a file of the temporary folder."""
        environment = {key: os.environ[key] for key in KEPT_VARIABLES if key in os.environ}
        environment["PYTHONPATH"] = str(DEPS)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment |= variables
        log = (Path(self.directory.name) / f"{name}.log").open("wb")
        self._logs.append(log)
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self._processes.append(process)
        self.write("started", name, "as process", process.pid)
        return process

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        path = Path(self.directory.name) / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def start_platform(self, *, runners: int, **options: Any) -> list[int]:
        """Start the stand-in of the platform; return the ports of its runners."""
        # Ports of relays are chosen before, so they are known to be free together.
        listed = find_free_ports(1 + 2 * runners)
        ports, listed = listed[: 1 + runners], listed[1 + runners :]
        self.relay_ports = dict(zip(listed, ports[1:], strict=True))
        if options.pop("is_relayed", False):
            options["listed_ports"] = listed
        self.store_port = ports[0]
        folder = str(ROOT / "review" / "common-3" / "platform_stand_in.py")
        self.start(
            "platform",
            [sys.executable, folder, json.dumps({"ports": ports, **options})],
            PYTHONPATH=f"{ROOT}{os.pathsep}{DEPS}",
        )
        self.wait_for(lambda: self.call("GET", "/standin/state")[0] == 200, "the platform")
        return ports[1:]

    def start_entry(
        self,
        name: str = "edge-1",
        *,
        memory_mb: int = 300,
        ports: list[int] | None = None,
        bounds: dict[str, Any] | None = None,
        store_port: int = 0,
    ) -> Entry:
        """Start an entry process with the command and the template of the deploy file."""
        ports = ports or find_free_ports(4)
        fields = {
            "node_name": name,
            "zone": "trakia-z1",
            "region": "trakia-yug",
            "ip": HOST,
            "listen": {"front": f"{HOST}:{ports[0]}", "ready": f"{HOST}:{ports[1]}"},
            "internal_port_range": [ports[2], ports[3]],
            "platform": {"address": f"{HOST}:{store_port or self.store_port}"},
            "limits": {"memory_mb": memory_mb, "max_fds": 4100},
            "bounds": bounds or BOUNDS,
            "zones": ZONES,
        }
        process = self.start(name, self._make_command("entry", name, fields))
        entry = Entry(process, *ports)
        self.wait_for(lambda: entry.is_ready(), f"{name} ready", process)
        return entry

    def start_upstream(self, name: str, *, ip: str, app: str, ports: list[int]) -> None:
        """Start the process beside a model runner, as :meth:`start_entry`.

        :param ip: address of its machine.
        :param app: address of the runner.
        :param ports: first and last internal port; they are the same on all machines.
        """
        fields = {
            "node_name": name,
            "zone": "trakia-z1",
            "region": "trakia-yug",
            "ip": ip,
            "app": app,
            "internal_port_range": ports,
            "platform": {"address": f"{HOST}:{self.store_port}"},
            "limits": {"memory_mb": 168, "max_fds": 1124, "link_mbps": 4.7},
            "bounds": BOUNDS,
            "zones": ZONES,
        }
        self.start(name, self._make_command("upstream", name, fields))

    def _make_command(self, role: str, name: str, fields: dict[str, Any]) -> list[str]:
        """Write the settings of a process and return its command."""
        deployed = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        path = Path(self.directory.name) / f"{name}.toml"
        path.write_text(render((ROOT / deployed["template"]).read_text(), fields))
        command = deployed["run"].replace("/etc/sycamoreproxy/local.toml", str(path)).split()
        return [sys.executable, *command[1:]]

    def wait_for(
        self, check: Any, what: str, process: subprocess.Popen[bytes] | None = None
    ) -> None:
        """Wait until a check succeeds.

        :raises CaseError: after 15 s, or if the process has ended.
        """
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if process is not None and process.poll() is not None:
                break
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CaseError(f"waited in vain for {what}")

    def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        for log in self._logs:
            log.close()
        self._record.close()
        self.directory.cleanup()

    # The platform's stand-in

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the control interface of the stand-in."""
        return call_json(self.store_port, method, path, body)

    def put(self, key: str, value: Any) -> None:
        """Write to the store as the operator or a runner."""
        self.call("POST", "/standin/put", {"key": key, "value": value})
        self.write("store put", key)

    def set_faults(self, runner: int, **faults: Any) -> None:
        """Set the faults of a runner, by its number from 0; -1 for the store, -2 for its second port."""
        self.call("POST", "/standin/faults", {"runner": runner, "faults": faults})
        self.write("faults", runner, faults)

    def read_state(self) -> Any:
        """Return what the stand-in has seen."""
        return self.call("GET", "/standin/state")[1]


class Entry:
    """An entry process and its ports."""

    def __init__(
        self, process: subprocess.Popen[bytes], front: int, ready: int, peer: int, state: int
    ) -> None:
        self.process, self.front, self.ready = process, front, ready
        self.peer, self.state = peer, state

    def is_ready(self) -> bool:
        """Return whether the process says that it takes connections."""
        return call_json(self.ready, "GET", "/ready")[0] == 200

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.poll() is None

    def read_memory_mb(self) -> float:
        """Return the resident memory in MB; 0 if the process has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"^VmRSS:\s+(\d+) kB", text, re.MULTILINE)
        return int(match[1]) / 1024 if match else 0.0


def call_json(port: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request; return status and JSON, 0 and None without an answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{HOST}:{port}{path}", data=data, method=method)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=5) as response:
            status, content = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, content = error.code, error.read()
    except OSError:
        return 0, None
    try:
        return status, json.loads(content)
    except ValueError:
        return status, None


def run_case(folder: Path, body: Any) -> int:
    """Run a case; return its exit status: 0 held, 1 broken, 2 could not run.

    :param body: called with the bed; returns the reason why the rule is broken, empty if it held.
    """
    # All processes are ended in any case.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    bed = Bed(folder)
    output: TextIO = sys.stdout
    try:
        reason = body(bed)
    except CaseError as error:
        bed.write("could not run", error)
        print(f"could not run: {error}", file=output)
        return 2
    except Exception as error:
        bed.write("could not run", repr(error))
        print(f"could not run: {error!r}", file=output)
        return 2
    else:
        bed.write("result", reason or "held")
        print(f"broken: {reason}" if reason else "held", file=output)
        return 1 if reason else 0
    finally:
        bed.close()
