"""Guards against hosts that read large documents for nobody, or that are none of the system's."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from standins.platform import make_configuration, make_route
from sycamoreproxy.document_source import Document
from sycamoreproxy.platform.adapter import platforms
from sycamoreproxy.routed_composition import _Parts
from sycamoreproxy.routed_settings import (
    RoutedBounds,
    RoutedListenSettings,
    RoutedProcessSettings,
    RoutedSettings,
    RoutedStoreSettings,
)
from sycamoreproxy.streams import Address

SETTINGS = RoutedSettings(
    process=RoutedProcessSettings(
        role="routed-entry", host="entry-1", availability_zone="z1", region="r1"
    ),
    listen=RoutedListenSettings(ip="10.0.0.9", peer_port=7700, state_port=7701),
    store=RoutedStoreSettings(address=Address("10.200.0.1", 8007)),
    bounds=RoutedBounds(),
)


def play(action: Callable[[_Parts], None]) -> None:
    async def run() -> None:
        action(_Parts(SETTINGS, platforms.get("platform")))

    asyncio.run(run())


def put(parts: _Parts, key: str, revision: int, value: Any) -> None:
    data = None if value is None else json.dumps(value).encode()
    parts.replica.apply(Document(key, revision, data), source="test")


def make_entry(number: int, *, service: str = "model") -> dict[str, Any]:
    return {
        "service": service,
        "address": f"10.0.0.{number}:8080",
        "zone": "z1",
        "slots": 4,
        "state": "ready",
        "models": [{"name": "m1", "version": 1}],
    }


def test_engines_that_return_after_a_lapse_are_told_to_all_parts() -> None:
    """Entries lapse in an outage and return unchanged; what was chosen without them stayed."""

    def action(parts: _Parts) -> None:
        changed: list[str] = []
        parts.catalog.subscribe(changed.append)
        for revision, value in ((1, make_entry(1)), (3, None), (5, make_entry(1))):
            put(parts, "servers/i-1", revision, value)
        assert changed == ["i-1"] * 3 and not parts.catalog.is_leaving("i-1")

    play(action)


def test_entry_of_an_unknown_service_is_no_engine() -> None:
    """Entries of other writers name services that no configuration names, and no hosts of ours."""

    def action(parts: _Parts) -> None:
        configuration = make_configuration(
            1,
            services=[{"name": "model", "engine": {"slots": 4, "step_ms": 1.0, "read_per_s": 1e5}}],
            routes=[make_route("ask", "streaming", "model", session_affinity=True)],
        )
        put(parts, "op/config", 1, configuration)
        put(parts, "servers/i-1", 2, make_entry(1))
        put(parts, "servers/x-2", 3, make_entry(2, service="nobody"))
        assert [record.instance for record in parts.routing_state.list_engines()] == ["i-1"]

    play(action)
