"""Guards against frames that crash a process or lose fields between protocol versions."""

import contextlib

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamoreproxy.messages import (
    Finish,
    Hello,
    MessageError,
    Output,
    Status,
    decode_message,
    encode_message,
)

EXAMPLES = [
    Hello("entry-1", "a1", "entry", "trakia-yug-a", "trakia-yug"),
    Status("ready", "engine", "bg-kiosk", waiting_by_rank={"urgent": 2}, prefixes=("p",)),
    Output("a", 3, b"data", 1),
    Finish("a", 4, "00"),
]


@pytest.mark.parametrize("value", EXAMPLES, ids=lambda value: type(value).__name__)
def test_round_trip(value: object) -> None:
    assert decode_message(encode_message(value)) == value


@pytest.mark.parametrize(
    ("array", "reason"),
    [
        ([], "array"),
        (["x"], "array"),
        ([9999], "unknown"),
        ([1, "host"], "lacks"),
        ([1, 5, "b", "c", "d", "e"], "type"),
        ([7, "a", True, b""], "type"),
    ],
)
def test_malformed_arrays_are_rejected(array: list[object], reason: str) -> None:
    with pytest.raises(MessageError, match=reason):
        decode_message(msgpack.packb(array))


def test_fields_of_a_newer_version_are_ignored() -> None:
    array = [7, "a", 0, b"x", 1, "new field"]
    assert decode_message(msgpack.packb(array)) == Output("a", 0, b"x", 1)


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_random_bytes_raise_only_message_errors(data: bytes) -> None:
    with contextlib.suppress(MessageError):
        decode_message(data)
