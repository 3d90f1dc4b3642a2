"""Guards against a thread pool and failed look-ups for addresses that are IP numbers."""

import asyncio
import socket
import threading

import pytest

from sycamoreproxy._resolver import NumberResolver


@pytest.mark.parametrize(
    ("host", "family"), [("127.0.0.1", socket.AF_INET), ("::1", socket.AF_INET6)]
)
def test_number_is_answered_without_a_thread(host: str, family: int) -> None:
    """Each pool thread would add to the memory of a node."""
    before = threading.active_count()
    found = asyncio.run(NumberResolver().resolve(host, 80))
    assert found == [(family, (host, 80))]
    assert threading.active_count() == before


def test_name_goes_to_the_system() -> None:
    """An address in the settings may still be a name."""
    found = asyncio.run(NumberResolver().resolve("localhost", 80))
    assert {address[0] for _, address in found} <= {"127.0.0.1", "::1"}
