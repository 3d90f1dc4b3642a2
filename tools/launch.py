"""Starts a deployment of stand-ins and daemons on loopback ports, and ends it again.

Every process is started directly and ended by its own process id.
"""

from __future__ import annotations

import argparse
import contextlib
import csv
import hashlib
import json
import os
import shutil
import signal
import ssl
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from queue import SimpleQueue
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if __package__ in (None, ""):
    # `python tools/launch.py` puts tools/ on the path instead of the repository.
    sys.path.insert(0, str(ROOT))

from tools.addresses import reserve_address  # noqa: E402  after the path is set

#: Ports are taken below the usual range of outgoing connections, so that those do not collide.
_FIRST_PORT = 11_000
_LAST_PORT = 31_000
#: Longest wait for a process to answer after its start, in seconds.
START_TIMEOUT_S = 60.0
#: Longest wait for a daemon to take work: 99 engines needed 50 s for their first version.
READY_TIMEOUT_S = 180.0
#: Time that a process has to end after SIGTERM before it gets SIGKILL, in seconds.
STOP_TIMEOUT_S = 20.0

#: Signals that end the launcher.
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)

#: Answered by every stand-in with status 405; a service would count a request to another path.
_STANDIN_PATH = "/standin/faults"
_KEY_COLUMNS = ("model", "client_account", "rank")


class LaunchError(Exception):
    """The deployment could not be started; the message names the process and its log."""


class StartCancelledError(Exception):
    """A stop was requested while the deployment was being started; everything is ended."""


class StopSignals:
    """Records SIGINT and SIGTERM; the first one requests the stop, later ones have no effect.

    The handler raises nothing: an exception could interrupt the start of a process before its id is
    known, or the stop of the deployment, and processes would be left.
    """

    def __init__(self) -> None:
        self._is_requested = False
        # Its `put` may be called by a signal handler that interrupts `get` or `put`.
        self._received: SimpleQueue[int] = SimpleQueue()

    def install(self) -> None:
        """Replace the handlers of the signals, for the rest of the process."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._record)

    def is_requested(self) -> bool:
        """Whether a signal was received."""
        return self._is_requested

    def wait(self) -> None:
        """Wait for the first signal; it may have been received before."""
        self._received.get()

    def _record(self, number: int, _: object) -> None:
        self._is_requested = True
        self._received.put(number)


def block_stop_signals() -> None:
    """Keep further signals from changing the exit status, after all processes have ended.

    The event loop and the interpreter restore the default actions of signals when they end.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSpec:
    """Upstreams of one model or service in every availability zone.

    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param count: upstreams in each availability zone.
    :param options: options of the stand-in, such as ``("--slots", "8")``.
    :param settings: extra keys of the daemon's ``[upstream]`` table.
    :param standins: stand-ins that the upstreams of a zone share in turn; 0 gives each its own.
    """

    kind: str
    name: str
    count: int
    options: tuple[str, ...] = ()
    settings: dict[str, Any] = field(default_factory=dict)
    standins: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneSpec:
    """An availability zone and its region.

    :param platform: base URLs by which its daemons reach ``store``, ``host_list`` and ``origin``,
        where they differ from those of the stand-ins.
    """

    name: str
    region: str
    platform: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionSpec:
    """A version of weights that the origin offers from the start."""

    model: str
    version: str
    total_bytes: int = 4_000_000
    chunk_bytes: int = 262_144
    seed: int = 1


@dataclass(slots=True, kw_only=True)
class ManagedProcess:
    """One process of the deployment.

    :param kind: ``store``, ``host_list``, ``origin``, ``engine``, ``service``, ``entry`` or
        ``upstream``.
    :param ports: ports by listener: ``http`` for a stand-in; ``caller``, ``peer``, ``admin``.
    :param log: file that takes the output of the process.
    """

    name: str
    kind: str
    command: list[str]
    ports: dict[str, int]
    log: Path
    availability_zone: str = ""
    scheme: str = "http"
    popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the last start, 0 before the first."""
        return self.popen.pid if self.popen is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process has started and not ended."""
        return self.popen is not None and self.popen.poll() is None

    def url(self, listener: str) -> str:
        """Return the base URL of a listener."""
        return f"{self.scheme}://127.0.0.1:{self.ports[listener]}"


class _Ports:
    """Reserves loopback ports until the deployment is stopped; their processes can open them."""

    def __init__(self) -> None:
        self._next = _FIRST_PORT + (os.getpid() * 131) % (_LAST_PORT - _FIRST_PORT)
        self._reserved = contextlib.ExitStack()

    def reserve(self) -> int:
        """Return a free port."""
        for _ in range(_LAST_PORT - _FIRST_PORT):
            port = self._next
            self._next = self._next + 1 if self._next < _LAST_PORT else _FIRST_PORT
            with contextlib.suppress(OSError):
                self._reserved.enter_context(reserve_address(port=port))
                return port
        raise LaunchError("no free port")

    def release_all(self) -> None:
        """Free every reserved port."""
        self._reserved.close()


def example_key(name: str) -> str:
    """Return the example key of a client account or the token of an operator."""
    return f"{name}-example-key"


def digest_key(key: str) -> str:
    """Return the hex digest under which settings keep a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def render_toml(value: dict[str, Any]) -> str:
    """Return TOML text of scalars, arrays, tables and arrays of tables, one level deep."""
    scalars: list[str] = []
    tables: list[str] = []
    for key, item in value.items():
        if isinstance(item, dict):
            tables.append(f"\n[{key}]\n{render_toml(item)}")
        elif isinstance(item, list | tuple) and item and isinstance(item[0], dict):
            tables.extend(f"\n[[{key}]]\n{render_toml(row)}" for row in item)
        else:
            # A JSON string, number, boolean or array of strings has the same form in TOML.
            plain = str(item) if isinstance(item, Path) else item
            scalars.append(f"{key} = {json.dumps(plain, ensure_ascii=False)}\n")
    return "".join(scalars + tables)


def request_json(
    method: str,
    url: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
    authority: Path | None = None,
) -> tuple[int, Any]:
    """Send one HTTP request to a loopback address.

    :param authority: PEM file of the authority that signed the server's certificate.
    :returns: status and the JSON answer (None if it is not JSON); status 0 without an answer.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    if data is not None:
        request.add_header("Content-Type", "application/json")
    handlers: list[urllib.request.BaseHandler] = [urllib.request.ProxyHandler({})]
    if authority is not None:
        context = ssl.create_default_context(cafile=str(authority))
        handlers.append(urllib.request.HTTPSHandler(context=context))
    opener = urllib.request.build_opener(*handlers)
    try:
        with opener.open(request, timeout=timeout_s) as response:
            status, raw = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, raw = error.code, error.read()
    except (OSError, ValueError):
        return 0, None
    try:
        return status, json.loads(raw)
    except ValueError:
        return status, None


def read_table_edits(file: Path) -> list[dict[str, str]]:
    """Return the edits that fill an empty table with the rows of a CSV file."""
    with file.open(encoding="utf-8", newline="") as lines:
        return [
            {**{name: row[name] for name in _KEY_COLUMNS}, "cell": cell, "base": "", "value": value}
            for row in csv.DictReader(lines)
            for cell, value in row.items()
            if cell not in _KEY_COLUMNS and value
        ]


class Deployment:
    """Stand-ins and daemons of one deployment, each a process of its own.

    Use it as a context manager, or call :meth:`start` and :meth:`stop`. All methods block.

    :param directory: takes settings and logs.
    :param prefix: key prefix in the store.
    :param zones: availability zones; each has its own entry hosts and upstreams.
    :param entries: entry hosts in each availability zone.
    :param upstreams: upstreams in each availability zone.
    :param versions: versions that the origin offers.
    :param table: CSV file loaded through the administration API, None for an empty table.
    :param client_accounts: ``[[client_accounts]]`` rows of the secrets file.
    :param operators: names of operators; each has :func:`example_key` as its token.
    :param settings: extra settings of every daemon by TOML table, merged key by key.
    :param standin_options: options by stand-in (``store``, ``host_list``, ``origin``).
    :param tls: whether the daemons use certificates made by :mod:`tools.certificates`.
    :param seed: seed of the stand-ins' random faults.
    :param is_stop_requested: called while the deployment starts; True cancels the start.
    """

    def __init__(
        self,
        *,
        directory: Path,
        upstreams: Iterable[UpstreamSpec],
        zones: Iterable[ZoneSpec] = (ZoneSpec(name="zone-a", region="region-a"),),
        entries: int = 2,
        prefix: str = "/sycamore/test",
        versions: Iterable[VersionSpec] = (),
        table: Path | None = None,
        client_accounts: Iterable[dict[str, Any]] = (),
        operators: Iterable[str] = ("operator",),
        settings: dict[str, dict[str, Any]] | None = None,
        standin_options: dict[str, tuple[str, ...]] | None = None,
        tls: bool = False,
        seed: int = 1,
        is_stop_requested: Callable[[], bool] = lambda: False,
    ) -> None:
        self.directory = directory.resolve()
        self.zones = tuple(zones)
        self.upstreams = tuple(upstreams)
        self.versions = tuple(versions)
        self.operators = tuple(operators)
        self.processes_by_name: dict[str, ManagedProcess] = {}
        self._entries = entries
        self._prefix = prefix
        self._table = table
        self._client_accounts = list(client_accounts)
        self._settings = settings or {}
        self._standin_options = standin_options or {}
        self._tls = tls
        self._seed = seed
        self._is_stop_requested = is_stop_requested
        self._ports = _Ports()
        self._hosts: list[dict[str, Any]] = []

    def __enter__(self) -> Deployment:
        """Start everything."""
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything."""
        self.stop()

    @property
    def authority(self) -> Path | None:
        """Return the PEM file of the authority of the daemons, None without TLS."""
        return self.directory / "tls" / "authority.pem" if self._tls else None

    @property
    def hosts(self) -> list[dict[str, Any]]:
        """Return the records of the host list; call :meth:`prepare` first."""
        return [dict(record) for record in self._hosts]

    @property
    def operator_headers(self) -> dict[str, str]:
        """Return the headers of the first operator for the administration API."""
        return {"Authorization": f"Bearer {example_key(self.operators[0])}"}

    def list_processes(self, *kinds: str, zone: str = "") -> list[ManagedProcess]:
        """Return the processes of these kinds (all without one), of one zone if given."""
        return [
            process
            for process in self.processes_by_name.values()
            if (not kinds or process.kind in kinds)
            and (not zone or process.availability_zone == zone)
        ]

    def list_urls(self, kind: str, listener: str) -> list[str]:
        """Return the base URLs of a listener of all processes of a kind."""
        return [process.url(listener) for process in self.list_processes(kind)]

    def start(self) -> None:
        """Start stand-ins and daemons, load the table, and wait until all are ready.

        :raises LaunchError: if a process does not come up; everything is ended then.
        :raises StartCancelledError: if a stop was requested; everything is ended then.
        """
        try:
            self.start_standins()
            self.start_daemons()
            if self._table is not None:
                self.load_table(self._table)
            for process in self.list_processes("entry", "upstream"):
                self._wait_for(process, "/health/ready", timeout_s=READY_TIMEOUT_S)
        except BaseException:
            self.stop()
            raise

    def prepare(self) -> dict[str, ManagedProcess]:
        """Write the settings and return the processes by name; none is started.

        A second call changes nothing.
        """
        if self.processes_by_name:
            return self.processes_by_name
        for directory in ("settings", "logs"):
            (self.directory / directory).mkdir(parents=True, exist_ok=True)
        for name in ("store", "host_list", "origin"):
            self._add_standin(name, name, self._standin_options.get(name, ()))
        self._write_secrets()
        if self._tls:
            from tools.certificates import make_authority

            make_authority(self.directory / "tls")
        for zone in self.zones:
            for number in range(1, self._entries + 1):
                self._add_entry(zone, f"{zone.name}-entry-{number}")
            numbers: Counter[str] = Counter()
            for spec in self.upstreams:
                # Two specs may serve one name with other options.
                shared = [
                    self._add_upstream_standin(zone, spec, f"{zone.name}-{spec.name}-s{number}")
                    for number in range(1, spec.standins + 1)
                ]
                for _ in range(spec.count):
                    numbers[spec.name] += 1
                    number = numbers[spec.name]
                    name = f"{zone.name}-{spec.name}-{number}"
                    address = (
                        shared[number % len(shared)]
                        if shared
                        else self._add_upstream_standin(zone, spec, name)
                    )
                    self._add_upstream(zone, spec, name, address)
        return self.processes_by_name

    def start_standins(self) -> None:
        """Start the stand-ins, fill the host list and create the versions."""
        self.prepare()
        standins = self.list_processes("store", "host_list", "origin", "engine", "service")
        for process in standins:
            self._spawn(process)
        for process in standins:
            self._wait_for(process, _STANDIN_PATH)
        self.send_hosts()
        for version in self.versions:
            self.create_version(version)

    def start_daemons(self) -> None:
        """Start the daemons and wait until their administration API answers."""
        daemons = self.list_processes("entry", "upstream")
        for process in daemons:
            self._spawn(process)
        for process in daemons:
            self._wait_for(process, "/health/live")

    def send_hosts(self) -> None:
        """Set the host list to all hosts of the deployment."""
        url = self.processes_by_name["host_list"].url("http")
        status, _ = request_json("PUT", f"{url}/hosts", {"hosts": self._hosts})
        if status != 200:
            raise LaunchError(f"the host list answered {status}")

    def create_version(self, version: VersionSpec, *, base: str = "", changed: float = 1.0) -> None:
        """Make a version of weights at the origin.

        :param base: an earlier version whose chunks are reused.
        :param changed: fraction of the chunks that differ from ``base``.
        """
        url = self.processes_by_name["origin"].url("http")
        body = {
            "model": version.model,
            "total_bytes": version.total_bytes,
            "chunk_bytes": version.chunk_bytes,
            "seed": version.seed,
            "base": base,
            "changed": changed,
        }
        status, _ = request_json("PUT", f"{url}/standin/versions/{version.version}", body)
        if status not in (200, 201):
            raise LaunchError(f"the origin answered {status} to version {version.version}")

    def set_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Replace the faults of the stand-in with this process name."""
        url = self.processes_by_name[name].url("http")
        status, _ = request_json("POST", f"{url}/standin/faults", faults)
        if status != 200:
            raise LaunchError(f"{name} answered {status} to its faults")

    def load_table(self, file: Path, *, timeout_s: float = START_TIMEOUT_S) -> int:
        """Load a CSV table into the empty table of the store.

        :returns: the revision that was accepted.
        :raises LaunchError: with the last answer, if it is not accepted in time.
        """
        body = {"change_id": f"load-{file.stem}", "edits": read_table_edits(file)}
        entry = self.list_processes("entry")[0]
        end = time.monotonic() + timeout_s
        while True:
            self._check_stop()
            status, answer = request_json(
                "POST",
                f"{entry.url('admin')}/v1/table/edits",
                body,
                headers=self.operator_headers,
                timeout_s=timeout_s,
                authority=self.authority,
            )
            if status == 200:
                return int(answer["revision"])
            # 503 and 504: the store is not reachable yet; the change id makes a repeat safe.
            if status not in (0, 503, 504) or time.monotonic() > end:
                raise LaunchError(f"the table was not accepted: {status} {answer}")
            time.sleep(0.2)

    def kill(self, pid: int) -> None:
        """End a process at once with SIGKILL and reap it."""
        popen = self._find(pid)
        popen.kill()
        popen.wait()

    def terminate(self, pid: int, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask a process to stop with SIGTERM and return its exit status.

        :raises subprocess.TimeoutExpired: if it has not ended in time; it still runs then.
        """
        popen = self._find(pid)
        popen.terminate()
        return popen.wait(timeout_s)

    def suspend(self, pid: int) -> None:
        """Stop a process with SIGSTOP; its sockets stay open."""
        self._find(pid).send_signal(signal.SIGSTOP)

    def resume(self, pid: int) -> None:
        """Continue a suspended process."""
        self._find(pid).send_signal(signal.SIGCONT)

    def restart(self, name: str, *, wait: bool = True) -> ManagedProcess:
        """Start a process again with the same command and ports; ends it first if it runs."""
        process = self.processes_by_name[name]
        if process.is_running:
            self._end([process], STOP_TIMEOUT_S)
        self._spawn(process)
        if wait:
            daemon = process.kind in ("entry", "upstream")
            self._wait_for(process, "/health/live" if daemon else _STANDIN_PATH)
        return process

    def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """End entry hosts, then upstream processes, then the stand-ins."""
        for kinds in (
            ("entry",),
            ("upstream",),
            ("engine", "service", "origin", "host_list", "store"),
        ):
            self._end(self.list_processes(*kinds), timeout_s)
        self._ports.release_all()

    def _check_stop(self) -> None:
        if self._is_stop_requested():
            raise StartCancelledError

    def _find(self, pid: int) -> subprocess.Popen[bytes]:
        for process in self.processes_by_name.values():
            if process.popen is not None and process.popen.pid == pid:
                return process.popen
        raise LookupError(f"process {pid} was not started here")

    @staticmethod
    def _end(processes: list[ManagedProcess], timeout_s: float) -> None:
        running = [process.popen for process in processes if process.is_running]
        for popen in running:
            assert popen is not None
            popen.terminate()
            # A suspended process acts on SIGTERM only after it was continued.
            popen.send_signal(signal.SIGCONT)
        end = time.monotonic() + timeout_s
        for popen in running:
            assert popen is not None
            try:
                popen.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                popen.kill()
                popen.wait()

    def _spawn(self, process: ManagedProcess) -> None:
        self._check_stop()
        with process.log.open("ab") as log:
            process.popen = subprocess.Popen(
                process.command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C goes to the launcher only, which stops the processes in order.
                start_new_session=True,
            )

    def _wait_for(
        self, process: ManagedProcess, path: str, *, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait for any HTTP answer of a stand-in, or status 200 of a daemon's health page."""
        listener = "http" if "http" in process.ports else "admin"
        end = time.monotonic() + timeout_s
        status = 0
        while time.monotonic() < end and process.is_running:
            self._check_stop()
            status, _ = request_json(
                "GET",
                process.url(listener) + path,
                timeout_s=2.0,
                authority=self.authority if listener == "admin" else None,
            )
            if status == 200 or (status and listener == "http"):
                return
            time.sleep(0.05)
        lines = process.log.read_text(encoding="utf-8", errors="replace").splitlines()[-15:]
        state = f"last status {status}" if process.is_running else "it ended"
        raise LaunchError(
            f"{process.name} does not answer {path} ({state}); {process.log}:\n" + "\n".join(lines)
        )

    def _add_standin(self, name: str, module: str, options: tuple[str, ...], zone: str = "") -> str:
        port = self._ports.reserve()
        command = [sys.executable, "-m", f"standins.{module}", "--port", str(port)]
        command += ["--seed", str(self._seed), *options]
        self.processes_by_name[name] = ManagedProcess(
            name=name,
            kind=module,
            command=command,
            ports={"http": port},
            log=self.directory / "logs" / f"{name}.log",
            availability_zone=zone,
        )
        return f"http://127.0.0.1:{port}"

    def _add_entry(self, zone: ZoneSpec, name: str) -> None:
        ports = {key: self._ports.reserve() for key in ("caller", "peer", "admin")}
        self._add_daemon(zone, name, "entry", ports, {})

    def _add_upstream_standin(self, zone: ZoneSpec, spec: UpstreamSpec, name: str) -> str:
        # The engine answers only to its model name.
        options = ("--name", spec.name, *spec.options) if spec.kind == "engine" else spec.options
        return self._add_standin(f"{name}-{spec.kind}", spec.kind, options, zone.name)

    def _add_upstream(self, zone: ZoneSpec, spec: UpstreamSpec, name: str, address: str) -> None:
        upstream = {"kind": spec.kind, "name": spec.name, "address": address, **spec.settings}
        ports = {key: self._ports.reserve() for key in ("peer", "admin")}
        self._add_daemon(zone, name, "upstream", ports, {"upstream": upstream})

    def _add_daemon(
        self,
        zone: ZoneSpec,
        name: str,
        role: str,
        ports: dict[str, int],
        extra: dict[str, dict[str, Any]],
    ) -> None:
        upstream = extra.get("upstream", {})
        self._hosts.append(
            {
                "host": name,
                "role": role,
                "availability_zone": zone.name,
                "region": zone.region,
                "peer": f"127.0.0.1:{ports['peer']}",
                "admin": f"127.0.0.1:{ports['admin']}",
                "state": "live",
                "kind": upstream.get("kind", ""),
                "name": upstream.get("name", ""),
            }
        )
        file = self.directory / "settings" / f"{name}.toml"
        values = self._make_settings(zone, name, role, ports, extra)
        file.write_text(render_toml(values), encoding="utf-8")
        self.processes_by_name[name] = ManagedProcess(
            name=name,
            kind=role,
            command=[sys.executable, "-m", "sycamoreproxy.daemon", "--config", str(file)],
            ports=ports,
            log=self.directory / "logs" / f"{name}.log",
            availability_zone=zone.name,
            scheme="https" if self._tls else "http",
        )

    def _make_settings(
        self,
        zone: ZoneSpec,
        name: str,
        role: str,
        ports: dict[str, int],
        extra: dict[str, dict[str, Any]],
    ) -> dict[str, Any]:
        store, hosts, origin = (
            zone.platform.get(key) or self.processes_by_name[key].url("http")
            for key in ("store", "host_list", "origin")
        )
        values: dict[str, Any] = {
            "secrets_file": "secrets.toml",
            "process": {
                "host": name,
                "role": role,
                "availability_zone": zone.name,
                "region": zone.region,
            },
            "listen": {key: f"127.0.0.1:{port}" for key, port in ports.items()},
            "store": {"address": store, "prefix": self._prefix},
            "host_list": {"address": f"{hosts}/hosts", "period_s": 1.0},
            # All hosts start new and the stand-in's list has no lag.
            "limits": {"list_lag_s": 1.0, "start_quiet_s": 1.0},
            "tls": self._make_tls(name),
        }
        # An entry host checks versions in table edits against the origin.
        if role == "entry" or extra.get("upstream", {}).get("kind") == "engine":
            values["weights"] = {"origin": origin}
        for table, items in (*extra.items(), *self._settings.items()):
            # An option for weights or the engine does not turn an entry host into an upstream.
            if table in values or table not in ("weights", "upstream") or table in extra:
                values[table] = {**values.get(table, {}), **items}
        return values

    def _make_tls(self, name: str) -> dict[str, Any]:
        if not self._tls:
            return {"plain": True}
        from tools.certificates import make_certificate

        directory = self.directory / "tls"
        files = make_certificate(directory, name)
        return {
            "certificate": str(files.certificate),
            "key": str(files.key),
            "authority": str(files.authority),
        }

    def _write_secrets(self) -> None:
        accounts = [
            {
                "name": item["name"],
                "key_sha256": [digest_key(example_key(item["name"]))],
                **{key: value for key, value in item.items() if key != "name"},
            }
            for item in self._client_accounts
        ]
        operators = [
            {"name": name, "token_sha256": [digest_key(example_key(name))]}
            for name in self.operators
        ]
        text = render_toml({"client_accounts": accounts, "operators": operators})
        file = self.directory / "settings" / "secrets.toml"
        file.write_text(text, encoding="utf-8")
        file.chmod(0o600)


def make_example(
    name: str, directory: Path, *, is_stop_requested: Callable[[], bool] = lambda: False
) -> Deployment:
    """Return one of the two example deployments, not started.

    Each gets one availability zone with 2 entry hosts and all its upstreams.

    :param name: ``plovdiv`` or ``sicily``.
    :param is_stop_requested: called while the deployment starts; True cancels the start.
    """
    import tomllib

    secrets = tomllib.loads((ROOT / "examples" / f"{name}.secrets.toml").read_text("utf-8"))
    accounts = [
        {"name": item["name"], "ranks": item["ranks"]} for item in secrets["client_accounts"]
    ]
    zone, upstreams = {
        "plovdiv": (
            ZoneSpec(name="trakia-yug-a", region="trakia-yug"),
            (
                UpstreamSpec(kind="engine", name="plovdiv-lm", count=6),
                UpstreamSpec(kind="service", name="ledger", count=3),
                UpstreamSpec(kind="service", name="office", count=1),
            ),
        ),
        "sicily": (
            ZoneSpec(name="palermo-a", region="palermo"),
            (
                UpstreamSpec(kind="engine", name="planner-lm", count=5),
                UpstreamSpec(kind="service", name="rental-ledger", count=3),
                UpstreamSpec(kind="service", name="crew", count=1),
            ),
        ),
    }[name]
    model = upstreams[0].name
    return Deployment(
        directory=directory,
        zones=(zone,),
        entries=2,
        upstreams=upstreams,
        prefix=f"/sycamore/{name}",
        versions=(VersionSpec(model=model, version=f"{model}-1"),),
        table=ROOT / "examples" / f"{name}.csv",
        client_accounts=accounts,
        operators=[item["name"] for item in secrets["operators"]],
        is_stop_requested=is_stop_requested,
    )


def _print_addresses(deployment: Deployment, model: str, account: str) -> None:
    for process in deployment.processes_by_name.values():
        listeners = " ".join(f"{name}=127.0.0.1:{port}" for name, port in process.ports.items())
        print(f"{process.kind:<10} {process.name:<32} pid {process.pid:<8} {listeners}")
    entry = deployment.list_processes("entry")[0]
    body = json.dumps({"model": model, "messages": [{"role": "user", "content": "Hello"}]})
    print(f"\nSettings and logs: {deployment.directory}")
    print("Ask the model:")
    print(
        f"  curl -sS {entry.url('caller')}/v1/chat/completions"
        f" -H 'Authorization: Bearer {example_key(account)}'"
        f" -H 'Content-Type: application/json' -d '{body}'"
    )
    # Outside the virtual environment the command is not on the path.
    command = shutil.which("sycamorectl") or Path(sys.executable).with_name("sycamorectl")
    print("Read the table:")
    print(
        f"  SYCAMORE_TOKEN={example_key(deployment.operators[0])}"
        f" {command} table get --admin {entry.url('admin')}"
    )


def main() -> int:
    """Start an example deployment and stay until Ctrl-C or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=("plovdiv", "sicily", "platform"), default="plovdiv"
    )
    parser.add_argument("--dir", type=Path, help="directory for settings and logs")
    options = parser.parse_args()
    directory = options.dir or Path(tempfile.mkdtemp(prefix=f"sycamore-{options.deployment}-"))
    if options.deployment == "platform":
        from tools.launch_platform import run_platform

        return run_platform(directory)
    stop_signals = StopSignals()
    stop_signals.install()
    deployment = make_example(
        options.deployment, directory, is_stop_requested=stop_signals.is_requested
    )
    try:
        deployment.start()
        first = "kiosk-central" if options.deployment == "plovdiv" else "planners-palermo"
        _print_addresses(deployment, deployment.upstreams[0].name, first)
        print("Ctrl-C ends it.", flush=True)
        stop_signals.wait()
    except StartCancelledError:
        pass
    except LaunchError as error:
        print(f"launch: {error}", file=sys.stderr)
        return 1
    finally:
        deployment.stop()
    if options.dir is None:
        shutil.rmtree(directory, ignore_errors=True)
    return 0


if __name__ == "__main__":
    exit_status = main()
    block_stop_signals()
    sys.exit(exit_status)
