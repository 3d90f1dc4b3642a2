"""Stand-in for the platform's lagging host list: ``GET /hosts`` with ETag."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections import deque
from typing import Any

from standins._server import Faults, JsonHandler, make_parser, serve

#: Earlier lists kept for the fault ``lag_s``.
_MAX_HISTORY = 1_024


class HostTable:
    """The hosts by name, with earlier states for a lagging answer.

    :param faults: ``lag_s`` delays what :meth:`render` returns.
    """

    def __init__(self, *, faults: Faults) -> None:
        self._faults = faults
        self._hosts_by_name: dict[str, dict[str, Any]] = {}
        self._history: deque[tuple[float, bytes]] = deque(maxlen=_MAX_HISTORY)
        self._record()

    def replace(self, hosts: list[dict[str, Any]]) -> None:
        """Set the whole list."""
        self._hosts_by_name = {str(item["host"]): dict(item) for item in hosts}
        self._record()

    def change(self, name: str, values: dict[str, Any] | None) -> bool:
        """Change fields of one host, or remove it with None; return whether it was listed."""
        if name not in self._hosts_by_name:
            return False
        if values is None:
            del self._hosts_by_name[name]
        else:
            self._hosts_by_name[name].update(values)
        self._record()
        return True

    def render(self) -> bytes:
        """Return the JSON text of the list as it was ``lag_s`` seconds ago."""
        limit = time.monotonic() - float(self._faults.get("lag_s", 0))
        current = self._history[0][1]
        for recorded_at, body in self._history:
            if recorded_at > limit:
                break
            current = body
        return current

    def _record(self) -> None:
        hosts = [self._hosts_by_name[name] for name in sorted(self._hosts_by_name)]
        self._history.append((time.monotonic(), json.dumps({"hosts": hosts}).encode()))


class _TableHandler(JsonHandler):
    def initialize(self, table: HostTable, faults: Faults) -> None:
        self._table = table
        self._faults = faults

    def prepare(self) -> None:
        if self._faults.get("down"):
            self.drop_connection()
            self.finish()


class HostsHandler(_TableHandler):
    """``/hosts``: the list."""

    def get(self) -> None:
        """Answer with the list, or 304 if the caller holds it."""
        body = self._table.render()
        etag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        self.set_header("ETag", etag)
        if self.request.headers.get("If-None-Match") == etag:
            self.set_status(304)
            self.finish()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def put(self) -> None:
        """Replace the list by the body ``{"hosts": [...]}``."""
        self._table.replace(self.read_json()["hosts"])
        self.write_json({})


class HostHandler(_TableHandler):
    """``/hosts/NAME``: one host."""

    def patch(self, name: str) -> None:
        """Change fields of the host."""
        found = self._table.change(name, self.read_json())
        self.write_json({}, 200 if found else 404)

    def delete(self, name: str) -> None:
        """Remove the host."""
        self.write_json({}, 200 if self._table.change(name, None) else 404)


def make_routes(faults: Faults) -> list[Any]:
    """Return the routes of the stand-in."""
    parts = {"table": HostTable(faults=faults), "faults": faults}
    return [(r"/hosts", HostsHandler, parts), (r"/hosts/([^/]+)", HostHandler, parts)]


def main() -> None:
    """Serve the host list."""
    options = make_parser(__doc__ or "").parse_args()
    faults = Faults(seed=options.seed)
    asyncio.run(serve(make_routes(faults), port=options.port, faults=faults))


if __name__ == "__main__":
    main()
