"""Memory and descriptors of the machine, and the parts of them that callers may use."""

from __future__ import annotations

import math
import re
import resource
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from sycamoreproxy.logs import get_logger
from sycamoreproxy.result_codes import INVALID_FIELD
from sycamoreproxy.settings_reader import MachineSettings

_MIB = 1 << 20
#: Descriptors that are not for sockets where the settings name the descriptors of the machine: the
#: platform runs other programs on it.
SHARED_FDS = 200
#: Largest part of the descriptor limit of the process that is kept for files and sudden needs.
MAX_RESERVE_FRACTION = 0.2
#: Part of the sockets that callers may use where requests share streams to the upstreams. The store,
#: peers and ports for operators share the rest.
CALLER_SOCKET_FRACTION = 0.6
#: The same where each request in progress has a connection of its own to its upstream: with 0.6, 400
#: callers that sent a request and read nothing left 2 of 300 descriptors.
PROXIED_SOCKET_FRACTION = 0.4
#: Part of the sockets that one port for operators may use, and that streams may use that have
#: sent nothing.
PORT_SOCKET_FRACTION = 0.05
#: Connections that such a port accepts at most, and at least.
MAX_PORT_CONNECTIONS, MIN_PORT_CONNECTIONS = 256, 8
#: Memory that a process uses without callers: 35 to 48 MB were measured.
IDLE_BYTES = 56 * _MIB
#: Parts of the remaining memory for what callers send, and for responses that they do not read.
REQUEST_FRACTION = 0.55
RESPONSE_FRACTION = 0.2
#: Bounds on these parts. The lower ones let a body of the largest documented size pass on any
#: machine; it counts twice.
MIN_REQUEST_BYTES, MAX_REQUEST_BYTES = 16 * _MIB, 256 * _MIB
MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES = 8 * _MIB, 64 * _MIB
#: A limit at or above this is none (cgroup version 1 writes nearly 2**63).
_UNLIMITED = 1 << 50

_log = get_logger("machine_limits")


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineLimits:
    """What the process may use.

    :param memory_bytes: memory of the machine, or the lowest limit on that of the process.
    :param sockets: descriptors that may be sockets.
    """

    memory_bytes: int
    sockets: int

    @property
    def caller_connections(self) -> int:
        """Connections of callers that may be open at once."""
        return max(1, int(self.sockets * CALLER_SOCKET_FRACTION))

    @property
    def proxied_connections(self) -> int:
        """The same if each request in progress has a connection to its upstream."""
        return max(1, int(self.sockets * PROXIED_SOCKET_FRACTION))

    @property
    def port_connections(self) -> int:
        """Connections to one port for operators that may be open at once."""
        share = int(self.sockets * PORT_SOCKET_FRACTION)
        return min(MAX_PORT_CONNECTIONS, max(MIN_PORT_CONNECTIONS, share))

    @property
    def request_bytes(self) -> int:
        """Memory for the connections of callers and for what they sent, in bytes."""
        share = int((self.memory_bytes - IDLE_BYTES) * REQUEST_FRACTION)
        return min(MAX_REQUEST_BYTES, max(MIN_REQUEST_BYTES, share))

    @property
    def response_bytes(self) -> int:
        """Memory for responses that callers have not read, in bytes."""
        share = int((self.memory_bytes - IDLE_BYTES) * RESPONSE_FRACTION)
        return min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, share))


def read_machine_limits(settings: MachineSettings) -> MachineLimits:
    """Return the limits that the settings name, or else those of the operating system.

    :param settings: 0 stands for a value that is not named; limits of the process bind as well.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    process_sockets = soft_limit - min(SHARED_FDS, int(soft_limit * MAX_RESERVE_FRACTION))
    sockets = process_sockets
    if _is_named("max_fds", settings.max_fds):
        named = int(settings.max_fds - min(SHARED_FDS, settings.max_fds / 2))
        sockets = min(process_sockets, named)
    memory_bytes = _read_memory()
    if _is_named("memory_mb", settings.memory_mb):
        memory_bytes = min(memory_bytes, int(settings.memory_mb * _MIB))
    limits = MachineLimits(memory_bytes=memory_bytes, sockets=max(1, sockets))
    _log.info(
        "limits of the machine",
        memory_mb=limits.memory_bytes // _MIB,
        sockets=limits.sockets,
        caller_connections=limits.caller_connections,
        request_mb=limits.request_bytes // _MIB,
        response_mb=limits.response_bytes // _MIB,
    )
    return limits


def _is_named(name: str, value: float) -> bool:
    """Return whether a setting names a limit; a bad value is logged and names none."""
    if math.isfinite(value) and value >= 0:
        return value > 0
    _log.warning(
        "limit of the machine not used", code=INVALID_FIELD.number, setting=name, value=str(value)
    )
    return False


def _read_memory() -> int:
    """Return the lowest limit on the memory of the process, in bytes."""
    limits = [resource.getrlimit(kind)[0] for kind in (resource.RLIMIT_DATA, resource.RLIMIT_AS)]
    limits += read_cgroup_limits(Path("/proc/self/cgroup"), Path("/sys/fs/cgroup"))
    limits += _read_total(Path("/proc/meminfo"))
    return min((limit for limit in limits if 0 < limit < _UNLIMITED), default=_UNLIMITED)


def read_cgroup_limits(membership: Path, root: Path) -> list[int]:
    """Return the memory limits of the control groups of the process, in bytes.

    :param membership: file that names the groups, one a line as ``ID:CONTROLLERS:PATH``.
    :param root: mount point of the control groups.
    """
    files: list[Path] = []
    for line in _read_text(membership).splitlines():
        _, _, rest = line.partition(":")
        controllers, _, path = rest.partition(":")
        if not controllers:
            files += _list_upward(root, path, "memory.max")
        elif "memory" in controllers.split(","):
            files += _list_upward(root / "memory", path, "memory.limit_in_bytes")
    values = [_read_text(file).strip() for file in files]
    return [int(value) for value in values if value.isdecimal()]


def _list_upward(root: Path, path: str, name: str) -> Iterable[Path]:
    """Return the files of a group and of all groups that contain it."""
    parts = [part for part in path.split("/") if part]
    return [root.joinpath(*parts[:depth], name) for depth in range(len(parts) + 1)]


def _read_total(meminfo: Path) -> list[int]:
    match = re.search(r"^MemTotal:\s+(\d+) kB", _read_text(meminfo), re.MULTILINE)
    return [int(match[1]) * 1024] if match is not None else []


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError:
        return ""
