"""Settings in TOML, checked before any socket is opened."""

from __future__ import annotations

import ssl
import tomllib
import typing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sycamoreproxy.settings_reader import (
    LogSettings,
    MachineSettings,
    SettingsError,
    SettingsReader,
)
from sycamoreproxy.streams import Address

RANKS: tuple[str, ...] = ("urgent", "normal", "batch")


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Who this process is.

    :param host: name in the host list.
    :param role: ``entry`` or ``upstream``.
    """

    host: str
    role: str
    availability_zone: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenSettings:
    """Listeners as ``IP:PORT``.

    :param caller: HTTP for callers; entry only.
    :param peer: message streams of the system's own processes.
    :param admin: administration API, health and metrics.
    """

    peer: Address
    admin: Address
    caller: Address | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Certificates, or ``plain = true`` for no TLS at all.

    :param certificate: PEM file of this host, with its chain.
    :param key: PEM file of the private key.
    :param authority: PEM file of the authority that signs the system's processes.
    """

    plain: bool = False
    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """The configuration store.

    :param address: base URL.
    :param prefix: all keys of the deployment start with it.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    address: str
    prefix: str
    adapter: str = "etcd-json"
    timeout_s: float = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostListSettings:
    """The platform's host list.

    :param address: URL of the list.
    :param period_s: time between polls, in seconds.
    """

    address: str
    adapter: str = "http-json"
    period_s: float = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Waits that keep the fleet's limits exact when entry hosts start.

    A fleet that starts for the first time may set both to 0; after a restart the sum of all
    hosts could then pass a limit for a minute.

    :param list_lag_s: longest time until every process sees a new host in the host list.
    :param start_quiet_s: time after which what a process used before its restart no longer counts.
    """

    list_lag_s: float = 30.0
    start_quiet_s: float = 81.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightSettings:
    """Where weights come from and how fast links may be used for them.

    An entry host with these settings refuses table edits to versions that the origin lacks.

    :param origin: base URL of the origin.
    :param link_bytes_per_s: rate of this host's link, each way, for weights and live traffic.
    :param live_fraction: part of the link kept for live requests.
    """

    origin: str
    adapter: str = "http-range"
    link_bytes_per_s: int = 125_000_000
    live_fraction: float = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """The engine or service beside an upstream process.

    :param kind: ``engine`` or ``service``.
    :param name: model or service name.
    :param address: base URL of the engine or service.
    :param adapter: how requests reach it; empty for ``openai`` or ``http`` by kind.
    :param control_adapter: how orders reach an engine.
    :param checks_fencing: whether the engine refuses an order with an old fencing number.
    :param window: requests given to the engine at once, at start.
    :param order_timeout_s: longest time an engine order can take effect after it was sent.
    :param target_gap_ms: time between tokens that the window is steered to, in milliseconds.
    """

    kind: str
    name: str
    address: str
    adapter: str = ""
    control_adapter: str = "http-json"
    checks_fencing: bool = True
    window: int = 8
    max_window: int = 256
    order_timeout_s: float = 30.0
    lease_ttl_s: float = 10.0
    target_gap_ms: float = 59.0
    queue_limit: int = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccountSettings:
    """A client account and its keys.

    :param key_sha256: hex digests of its bearer keys.
    :param ranks: ranks that it may use; the first is its default.
    """

    name: str
    key_sha256: tuple[str, ...]
    ranks: tuple[str, ...] = RANKS


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """An operator and the hex digests of the operator's tokens."""

    name: str
    token_sha256: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send.

    :param max_body_bytes: largest request body.
    :param max_header_bytes: largest request head.
    :param receive_timeout_s: longest time to receive one request.
    :param max_connections: open connections of callers.
    """

    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 16_384
    receive_timeout_s: float = 15.0
    max_connections: int = 4_096


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of one process."""

    process: ProcessSettings
    listen: ListenSettings
    store: StoreSettings
    host_list: HostListSettings
    tls: TlsSettings
    weights: WeightSettings | None = None
    upstream: UpstreamSettings | None = None
    caller_limits: CallerLimits = field(default_factory=CallerLimits)
    limits: LimitSettings = field(default_factory=LimitSettings)
    log: LogSettings = field(default_factory=LogSettings)
    machine: MachineSettings = field(default_factory=MachineSettings)
    client_accounts: tuple[ClientAccountSettings, ...] = ()
    operators: tuple[OperatorSettings, ...] = ()
    secrets_file: Path | None = None


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    ``secrets_file`` names a second TOML file with ``client_accounts`` and ``operators``, so that
    all hosts can share it.

    :raises SettingsError: names the file, key and reason.
    """
    data = _read_toml(path)
    secrets = data.get("secrets_file")
    if isinstance(secrets, str):
        secrets_path = path.parent / secrets
        for key, value in _read_toml(secrets_path).items():
            if key not in ("client_accounts", "operators"):
                raise SettingsError(secrets_path, key, "unknown key")
            data.setdefault(key, value)
    settings = typing.cast(Settings, SettingsReader(path).read(Settings, data, ""))
    _check(path, settings)
    return settings


def _read_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, "(file)", error.strerror or str(error)) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(path, "(file)", str(error)) from error


def _check(path: Path, settings: Settings) -> None:
    """Check what spans several keys."""
    process = settings.process

    def require(condition: bool, key: str, reason: str) -> None:
        if not condition:
            raise SettingsError(path, key, reason)

    require(process.role in ("entry", "upstream"), "process.role", "must be entry or upstream")
    for name in ("host", "availability_zone", "region"):
        require(bool(getattr(process, name).strip()), f"process.{name}", "must not be empty")
    if process.role == "entry":
        require(settings.listen.caller is not None, "listen.caller", "is missing for an entry host")
    else:
        require(settings.upstream is not None, "upstream", "is missing for an upstream process")
    if settings.upstream is not None:
        upstream = settings.upstream
        require(
            upstream.kind in ("engine", "service"), "upstream.kind", "must be engine or service"
        )
        require(1 <= upstream.window <= upstream.max_window, "upstream.window", "out of range")
        require(upstream.lease_ttl_s > 0, "upstream.lease_ttl_s", "must be above 0")
        _check_url(path, "upstream.address", upstream.address)
        if upstream.kind == "engine":
            require(settings.weights is not None, "weights", "is missing for an engine")
    _check_url(path, "store.address", settings.store.address)
    _check_url(path, "host_list.address", settings.host_list.address)
    require(settings.store.prefix.startswith("/"), "store.prefix", "must start with /")
    require(settings.log.format in ("json", "terminal"), "log.format", "must be json or terminal")
    require(
        settings.log.level in ("debug", "info", "warning", "error"), "log.level", "unknown level"
    )
    _check_tls(path, settings.tls)
    for index, account in enumerate(settings.client_accounts):
        for rank in account.ranks:
            require(rank in RANKS, f"client_accounts[{index}].ranks", f"unknown rank {rank!r}")
        require(bool(account.ranks), f"client_accounts[{index}].ranks", "must not be empty")


def _check_url(path: Path, key: str, url: str) -> None:
    if not url.startswith(("http://", "https://")):
        raise SettingsError(path, key, "must be an http or https URL")


def _check_tls(path: Path, tls: TlsSettings) -> None:
    files = {"certificate": tls.certificate, "key": tls.key, "authority": tls.authority}
    if tls.plain:
        given = [name for name, file in files.items() if file is not None]
        if given:
            raise SettingsError(path, f"tls.{given[0]}", "clashes with tls.plain = true")
        return
    for name, file in files.items():
        if file is None:
            raise SettingsError(path, f"tls.{name}", "is missing and tls.plain is not true")
        try:
            file.read_bytes()
        except OSError as error:
            raise SettingsError(path, f"tls.{name}", f"{file}: {error.strerror}") from error


def make_server_tls(tls: TlsSettings, *, mutual: bool) -> ssl.SSLContext | None:
    """Return the context of a listener, or None where the settings say plain.

    :param mutual: whether the peer must show a certificate of the authority.
    """
    if tls.plain:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(str(tls.certificate), str(tls.key))
    if mutual:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(str(tls.authority))
    return context


def make_client_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context for connections to the system's own processes, or None for plain.

    The authority signs only this deployment's processes, so host names are not compared:
    hosts are replaced at any time and reached by IP address.
    """
    if tls.plain:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.load_cert_chain(str(tls.certificate), str(tls.key))
    context.load_verify_locations(str(tls.authority))
    return context
