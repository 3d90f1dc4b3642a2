"""Structured logs by structlog, as JSON lines or for a terminal."""

from __future__ import annotations

import json
import logging
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TextIO, cast

from sycamoreproxy.clock import Clock

#: Log lines that a process writes in a second at most, and saves up for a burst.
LINES_PER_S = 200
BURST_LINES = 400


@contextmanager
def _hide_module(name: str) -> Iterator[None]:
    """Make the import of a module fail within the block unless it was imported before."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


# structlog imports rich for coloured tracebacks if it is installed, as it is with sycamorectl.
# The daemon does not use them, and rich takes 4.5 MB of memory in each process.
with _hide_module("rich"):
    import structlog

_SECRET_KEYS = frozenset({"authorization", "key", "token", "api_key", "idempotency_key"})


def _drop_secrets(logger: Any, method: str, event: Any) -> Any:
    for key in _SECRET_KEYS & event.keys():
        event[key] = "(left out)"
    return event


def configure_logs(
    *, format: str, level: str, output: TextIO | LineWriter | None = None, **context: str
) -> None:
    """Set up logs.

    :param output: where lines go; standard error without it.

    :param format: ``json`` or ``terminal``.
    :param level: lowest level written.
    :param context: pairs added to every line, such as ``host``.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if format == "terminal":
        renderer = structlog.processors.KeyValueRenderer(
            key_order=["timestamp", "level", "event"], sort_keys=False
        )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _drop_secrets,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=cast(TextIO, output or sys.stderr)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
    # tornado logs each handled error on its own; the handlers log them with result codes.
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)


class LineWriter:
    """Writes log lines to a descriptor without ever waiting, and bounds their rate.

    Lines over the rate, or that a full pipe does not take, are dropped; the next line that is
    written is followed by their number.

    :param descriptor: an open file descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int, *, clock: Clock) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._allowance = float(BURST_LINES)
        self._refilled_at = clock.monotonic()
        self._unwritten = b""
        self.dropped = 0
        self._reported = 0

    def write(self, text: str) -> int:
        """Write one line, or drop it; return the length of the text."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._allowance = min(float(BURST_LINES), self._allowance + refill)
        self._refilled_at = now
        line = text if text.endswith("\n") else text + "\n"
        if self._unwritten or self._allowance < 1:
            self._send(b"")
        if self._unwritten or self._allowance < 1:
            self.dropped += 1
            return len(text)
        self._allowance -= 1
        if self.dropped > self._reported:
            line += json.dumps({"event": "log lines dropped", "total": self.dropped}) + "\n"
            self._reported = self.dropped
        self._send(line.encode())
        return len(text)

    def flush(self) -> None:
        """Try to write the rest of a line that the pipe took in part."""
        if self._unwritten:
            self._send(b"")

    def _send(self, data: bytes) -> None:
        data = self._unwritten + data
        try:
            written = os.write(self._descriptor, data) if data else 0
        except OSError:
            # The pipe is full or its reader is gone; the line is kept and the next ones dropped.
            written = 0
        self._unwritten = data[written:]


def get_logger(name: str) -> Any:
    """Return a logger whose lines carry ``module=name``."""
    return structlog.get_logger(module=name)
