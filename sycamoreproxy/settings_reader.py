"""Reads settings classes from TOML, apart from what the settings are."""

from __future__ import annotations

import types
import typing
from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields, is_dataclass
from pathlib import Path
from typing import Any

from sycamoreproxy.streams import Address


class SettingsError(Exception):
    """The settings can't be used.

    :param file: the file.
    :param key: dotted path of the key.
    :param reason: what is wrong.
    """

    def __init__(self, file: Path, key: str, reason: str) -> None:
        super().__init__(f"{file}: {key}: {reason}")
        self.file = file
        self.key = key
        self.reason = reason


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Logs.

    :param format: ``json`` or ``terminal``.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    format: str = "json"
    level: str = "info"


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineSettings:
    """Resources of the machine; 0 to read them from the operating system at the start.

    :param memory_mb: memory in MB.
    :param max_fds: file descriptors of all programs on the machine.
    """

    memory_mb: float = 0.0
    max_fds: float = 0.0


class SettingsReader:
    """Builds settings classes from TOML values.

    :param path: the file, for errors and as the base of relative paths.
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    def read(self, cls: type, data: Any, prefix: str) -> Any:
        """Return an instance of a settings class."""
        if not isinstance(data, dict):
            raise SettingsError(self._path, prefix or "(file)", "must be a table")
        hints = typing.get_type_hints(cls)
        known = {item.name: item for item in fields(cls)}
        for key in data:
            if key not in known:
                raise SettingsError(self._path, _join(prefix, key), "unknown key")
        values: dict[str, Any] = {}
        for name, item in known.items():
            if name in data:
                values[name] = self._convert(hints[name], data[name], _join(prefix, name))
            elif item.default is MISSING and item.default_factory is MISSING:
                raise SettingsError(self._path, _join(prefix, name), "is missing")
        return cls(**values)

    def _convert(self, hint: Any, value: Any, key: str) -> Any:
        if hint is object:
            # The setting has a reader of its own.
            return value
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            hint = next(arg for arg in typing.get_args(hint) if arg is not type(None))
            origin = typing.get_origin(hint)
        if origin is tuple:
            if not isinstance(value, list):
                raise SettingsError(self._path, key, "must be an array")
            inner = typing.get_args(hint)[0]
            return tuple(
                self._convert(inner, item, f"{key}[{index}]") for index, item in enumerate(value)
            )
        if is_dataclass(hint) and hint is not Address:
            return self.read(typing.cast(type, hint), value, key)
        return self._convert_scalar(hint, value, key)

    def _convert_scalar(self, hint: Any, value: Any, key: str) -> Any:
        convert = _SCALARS.get(hint)
        if convert is None:
            raise TypeError(f"settings type {hint} is not supported")
        accepted, build = convert
        if not isinstance(value, accepted) or (isinstance(value, bool) and hint is not bool):
            raise SettingsError(self._path, key, f"must be {accepted[0].__name__}")
        try:
            result = build(value)
        except ValueError as error:
            raise SettingsError(self._path, key, str(error)) from error
        return self._path.parent / result if isinstance(result, Path) else result


_SCALARS: dict[Any, tuple[tuple[type, ...], Callable[[Any], Any]]] = {
    str: ((str,), str),
    int: ((int,), int),
    float: ((float, int), float),
    bool: ((bool,), bool),
    Path: ((str,), Path),
    Address: ((str,), Address.parse),
}


def _join(prefix: str, name: str) -> str:
    return f"{prefix}.{name}" if prefix else name
