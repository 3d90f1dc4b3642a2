"""Renders the settings templates of the deploy file as the platform's pages describe."""

from __future__ import annotations

import json
import re
from typing import Any

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Return a template with its sections and placeholders filled in."""

    def fill_section(match: re.Match[str]) -> str:
        value = _find(fields, match[2])
        if (value is None or value is False) == (match[1] == "#"):
            return ""
        return match[3].replace("{{.}}", _write(value))

    text = _SECTION.sub(fill_section, template)
    return _VALUE.sub(lambda match: _write(_find(fields, match[1])), text)


def _find(fields: Any, name: str) -> Any:
    for part in name.split("."):
        is_list = isinstance(fields, list)
        fields = fields[int(part)] if is_list else (fields or {}).get(part)
    return fields


def _write(value: Any) -> str:
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value)
