"""Shared parts of the stand-ins: faults, JSON handlers, start and stop."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
from typing import Any

import tornado.httpserver
import tornado.web


class Faults:
    """Named faults that a test or the bench sets over HTTP.

    :param seed: seed of the random choices.
    """

    def __init__(self, *, seed: int) -> None:
        self._values_by_name: dict[str, Any] = {}
        self._random = random.Random(seed)

    def replace(self, values: dict[str, Any]) -> None:
        """Set these faults and clear all others."""
        self._values_by_name = dict(values)

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of a fault."""
        return self._values_by_name.get(name, default)

    def strikes(self, name: str) -> bool:
        """Return whether a fault given as a fraction (or true) happens this time."""
        return self._random.random() < float(self._values_by_name.get(name, 0))


class JsonHandler(tornado.web.RequestHandler):
    """Reads and writes JSON."""

    def read_json(self) -> Any:
        """Return the body as JSON.

        :raises tornado.web.HTTPError: 400 if it is none.
        """
        try:
            return json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise tornado.web.HTTPError(400) from error

    def write_json(self, value: Any, status: int = 200) -> None:
        """Write a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.stream.close()  # type: ignore[attr-defined]


class FaultHandler(JsonHandler):
    """``POST /standin/faults`` sets all faults."""

    def initialize(self, faults: Faults) -> None:
        """Take the faults of the stand-in."""
        self._faults = faults

    def post(self) -> None:
        """Replace the faults by the JSON object of the body."""
        self._faults.replace(self.read_json())
        self.write_json({})


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True, help="TCP port on 127.0.0.1")
    parser.add_argument("--seed", type=int, default=1, help="seed of random faults")
    return parser


async def serve(
    routes: list[Any], *, port: int, faults: Faults, max_body_bytes: int = 64 * 1024 * 1024
) -> None:
    """Serve until SIGTERM or SIGINT."""
    application = tornado.web.Application(
        [*routes, (r"/standin/faults", FaultHandler, {"faults": faults})],
        log_function=lambda handler: None,
    )
    server = tornado.httpserver.HTTPServer(application, max_body_size=max_body_bytes)
    server.listen(port, "127.0.0.1")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    server.stop()
