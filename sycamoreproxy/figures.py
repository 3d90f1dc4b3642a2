"""Reads optional figures of documents; malformed ones change nothing and are logged once."""

from __future__ import annotations

from typing import Any

from sycamoreproxy import result_codes as codes
from sycamoreproxy.logs import get_logger

#: Largest number of ignored figures that are logged.
MAX_LOGGED = 1_000
#: Longest text of an ignored figure that is logged, in characters.
MAX_TEXT_CHARACTERS = 40

_log = get_logger("figures")


class FigureReader:
    """Reads figures and remembers which ignored ones were logged."""

    def __init__(self) -> None:
        self._logged: set[str] = set()

    def read(self, data: dict[str, Any], name: str, *, of: str, maximum: float) -> float:
        """Return a figure between 0 and a maximum; 0 if it is absent or anything else.

        :param of: what the document describes, for the log.
        """
        value = data.get(name)
        if value is None:
            return 0.0
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and 0 <= value <= maximum:
            return float(value)
        where = f"{of} {name}"
        if where not in self._logged and len(self._logged) < MAX_LOGGED:
            self._logged.add(where)
            text = repr(value)[:MAX_TEXT_CHARACTERS]
            _log.warning("figure ignored", where=where, value=text, code=codes.INVALID_FIELD.number)
        return 0.0
