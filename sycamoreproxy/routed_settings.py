"""Settings of a process on a routed deployment, in TOML."""

from __future__ import annotations

import tomllib
import typing
from dataclasses import dataclass, field
from pathlib import Path

from sycamoreproxy.settings_reader import (
    LogSettings,
    MachineSettings,
    SettingsError,
    SettingsReader,
)
from sycamoreproxy.streams import Address

#: Bound on evacuated zones of the platform's standard terms, and the longest one that is taken for
#: a bound, in milliseconds.
DEFAULT_EVACUATE_MS = 5_000.0
MAX_EVACUATE_MS = 3_600_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedProcessSettings:
    """Identity of the process.

    :param role: ``routed-entry`` or ``routed-upstream``.
    """

    role: str
    host: str
    availability_zone: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedListenSettings:
    """Addresses.

    :param ip: the host's address.
    :param callers: where callers are served; absent beside an upstream.
    :param ready: where the balancer asks whether the host takes connections; absent beside an
        upstream.
    :param peer_port: port of the streams between processes, the same on all hosts.
    :param state_port: port of metrics and dump.
    """

    ip: str
    callers: Address | None = None
    ready: Address | None = None
    peer_port: int
    state_port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedStoreSettings:
    """The platform's store."""

    address: Address
    adapter: str = "platform"


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedBounds:
    """The operator's bounds; the defaults are those of the platform's standard terms.

    :param leave_ms: until a leaving upstream receives nothing, in milliseconds.
    :param stop_s: from SIGTERM until the process is killed, in seconds.
    :param resend_ratio: resends per request of a service.
    :param resend_slack: resends of all entry hosts beyond that in one window.
    :param resend_window_s: length of the window, in seconds.
    :param version_ms: until requests begin only on a newly named version, in milliseconds; 0
        if older versions may answer for any time.
    :param evacuate_ms: until an evacuated zone receives nothing, in milliseconds.
    :param cold_overage: factor on the rate of a cold upstream that requests may reach in a second.
    :param cold_slack: requests of all entry hosts beyond that in a second.
    """

    leave_ms: float = 2_000.0
    stop_s: float = 8.0
    resend_ratio: float = 0.2
    resend_slack: float = 20.0
    resend_window_s: float = 10.0
    version_ms: float = 0.0
    evacuate_ms: float = DEFAULT_EVACUATE_MS
    cold_overage: float = 1.5
    cold_slack: float = 5.0

    @property
    def leave_s(self) -> float:
        """The bound on leaving upstreams in seconds."""
        return self.leave_ms / 1000

    @property
    def evacuate_s(self) -> float:
        """The bound on evacuated zones in seconds; the default if it is out of range."""
        is_usable = 0 < self.evacuate_ms <= MAX_EVACUATE_MS
        return (self.evacuate_ms if is_usable else DEFAULT_EVACUATE_MS) / 1000

    @property
    def version_s(self) -> float:
        """The bound on older versions in seconds."""
        return self.version_ms / 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineHostSettings:
    """The engine beside a process.

    :param link_mbps: rate of the host's link each way, in Mbit/s.
    """

    address: Address
    link_mbps: float

    @property
    def link_bytes_per_s(self) -> float:
        """Rate of the host's link each way, in bytes a second."""
        return self.link_mbps * 1e6 / 8


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedSettings:
    """All settings of one process on a routed deployment.

    :param zones: region of each availability zone, as :func:`sycamoreproxy.regions.read_zones` takes
        it.
    """

    process: RoutedProcessSettings
    listen: RoutedListenSettings
    store: RoutedStoreSettings
    bounds: RoutedBounds
    engine: EngineHostSettings | None = None
    zones: object = None
    log: LogSettings = field(default_factory=LogSettings)
    machine: MachineSettings = field(default_factory=MachineSettings)


#: Roles of a routed deployment.
ROLES = ("routed-entry", "routed-upstream")


def is_routed(path: Path) -> bool:
    """Return whether a settings file is for a routed deployment."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        # The reader of the chosen settings reports the fault with its reason.
        return False
    process = data.get("process")
    return isinstance(process, dict) and process.get("role") in ROLES


def load_routed_settings(path: Path) -> RoutedSettings:
    """Read and check a settings file.

    :raises SettingsError: names the file, key and reason.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(path, "(file)", str(error)) from error
    settings = typing.cast(RoutedSettings, SettingsReader(path).read(RoutedSettings, data, ""))
    if settings.process.role == "routed-entry":
        if settings.listen.callers is None or settings.listen.ready is None:
            raise SettingsError(path, "listen", "an entry host needs callers and ready")
    elif settings.engine is None:
        raise SettingsError(path, "engine", "a process beside an engine needs it")
    return settings
