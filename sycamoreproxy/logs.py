"""Structured logs by structlog, as JSON lines or for a terminal."""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


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


def configure_logs(*, format: str, level: str, **context: str) -> None:
    """Set up logs to standard error.

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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
    # tornado logs each handled error on its own; the handlers log them with result codes.
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("tornado.general").setLevel(logging.ERROR)


def get_logger(name: str) -> Any:
    """Return a logger whose lines carry ``module=name``."""
    return structlog.get_logger(module=name)
