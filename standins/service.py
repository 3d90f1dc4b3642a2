"""Stand-in for an ordinary service: echoes requests and counts what it ran.

Faults: ``delay_ms``, ``fail`` (an HTTP status), ``drop_before`` and ``drop_after`` (fractions; the
connection closes before or after the run).
"""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import Any

from standins._server import Faults, JsonHandler, make_parser, serve


class RunHandler(JsonHandler):
    """Any method and path."""

    def initialize(self, runs: Counter[tuple[str, str, str, str]], faults: Faults) -> None:
        """Take the shared counts and faults."""
        self._runs = runs
        self._faults = faults

    async def _run(self) -> None:
        request = self.request
        faults = self._faults
        if faults.strikes("drop_before"):
            self.drop_connection()
            return
        delay_ms = float(faults.get("delay_ms", 0))
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        status = int(faults.get("fail", 0))
        if status:
            self.write_json({"error": "fault"}, status)
            return
        digest = hashlib.sha256(request.body).hexdigest()
        key = request.headers.get("Idempotency-Key", "")
        path = request.uri or ""
        self._runs[(request.method or "", path, key, digest)] += 1
        if faults.strikes("drop_after"):
            self.drop_connection()
            return
        self.write_json({"method": request.method, "path": path, "sha256": digest})

    get = post = put = delete = patch = options = head = _run  # type: ignore[assignment]


class RunsHandler(JsonHandler):
    """``GET /standin/runs``."""

    def initialize(self, runs: Counter[tuple[str, str, str, str]]) -> None:
        """Take the counts."""
        self._runs = runs

    def get(self) -> None:
        """Return the runs by method, path, idempotency key and body digest."""
        names = ("method", "path", "key", "sha256")
        self.write_json(
            {
                "runs": [
                    {**dict(zip(names, row, strict=True)), "count": count}
                    for row, count in self._runs.items()
                ]
            }
        )


def make_routes(runs: Counter[tuple[str, str, str, str]], faults: Faults) -> list[Any]:
    """Return the routes of the service."""
    return [
        (r"/standin/runs", RunsHandler, {"runs": runs}),
        (r"/(?!standin/).*", RunHandler, {"runs": runs, "faults": faults}),
    ]


def main() -> None:
    """Run the stand-in."""
    options = make_parser("stand-in for a service").parse_args()
    faults = Faults(seed=options.seed)
    asyncio.run(serve(make_routes(Counter(), faults), port=options.port, faults=faults))


if __name__ == "__main__":
    main()
