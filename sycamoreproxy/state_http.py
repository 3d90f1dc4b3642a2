"""Metrics and a dump of the process's state on one listener of a routed deployment."""

from __future__ import annotations

import json
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from sycamoreproxy.metrics import render_metrics

Section = Callable[[], object]


class _MetricsHandler(RequestHandler):
    def get(self) -> None:
        """Write the metrics page."""
        body, headers = render_metrics(self.request.headers.get("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class _DumpHandler(RequestHandler):
    def initialize(self, sections_by_name: dict[str, Section]) -> None:
        """Take the sections."""
        self._sections_by_name = sections_by_name

    def get(self) -> None:
        """Write the state as JSON."""
        state = {name: section() for name, section in self._sections_by_name.items()}
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(state, default=str))


class StateServer:
    """Serves ``/metrics`` and ``/dump``.

    :param sections_by_name: what the dump holds.
    """

    def __init__(self, *, sections_by_name: dict[str, Section]) -> None:
        self._server = HTTPServer(
            Application(
                [
                    ("/metrics", _MetricsHandler),
                    ("/dump", _DumpHandler, {"sections_by_name": sections_by_name}),
                ]
            )
        )

    def listen(self, ip: str, port: int) -> None:
        """Open the listener."""
        self._server.listen(port, ip)

    async def close(self) -> None:
        """Close the listener and its connections."""
        self._server.stop()
        await self._server.close_all_connections()
