"""Tests that bad manifests and corrupt chunks are rejected and that the chunk store is bounded."""

from __future__ import annotations

import json
from typing import Any

import pytest

from standins.origin import generate_version
from sycamoreproxy.weights import (
    MAX_CHUNK_BYTES,
    ChunkStore,
    CorruptChunkError,
    ManifestError,
    parse_manifest,
)
from tests._weight_fakes import make_manifest

_VALID_MANIFEST: dict[str, Any] = json.loads(
    make_manifest("v1", [b"aaa", b"bbb", b"c"], 3).encode()
)


def test_encoded_manifest_is_parsed() -> None:
    manifest = parse_manifest(json.dumps(_VALID_MANIFEST).encode(), version="v1")
    assert [manifest.size_of(index) for index in range(3)] == [3, 3, 1]


@pytest.mark.parametrize(
    "change",
    [
        {"version": "v2"},
        {"digest": "0" * 64},
        {"chunk_bytes": 0},
        {"chunk_bytes": MAX_CHUNK_BYTES + 1},
        {"total_bytes": 0},
        {"total_bytes": 12},
        {"total_bytes": "much"},
        {"chunks": _VALID_MANIFEST["chunks"][:2]},
        {"chunks": ["x", "y", "z"]},
        {"chunks": None},
    ],
    ids=str,
)
def test_inconsistent_manifest_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ManifestError):
        parse_manifest(json.dumps({**_VALID_MANIFEST, **change}).encode(), version="v1")


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b"\xff", b"null"])
def test_malformed_document_is_rejected(text: bytes) -> None:
    with pytest.raises(ManifestError):
        parse_manifest(text, version="v1")


def test_store_holds_only_verified_chunks_of_two_versions() -> None:
    versions = [make_manifest(f"v{n}", [b"same", f"own{n}".encode()], 4) for n in range(3)]
    chunks = ChunkStore()
    chunks.retain(served=versions[0], wanted=versions[1])
    assert chunks.add(versions[0].chunks[0], b"same")
    assert chunks.add(versions[0].chunks[1], b"own0")
    assert not chunks.add(versions[2].chunks[1], b"own2")
    with pytest.raises(CorruptChunkError):
        chunks.add(versions[1].chunks[1], b"own?")
    assert chunks.is_complete(versions[0]) and not chunks.is_complete(versions[1])
    chunks.retain(served=versions[1], wanted=versions[2])
    assert chunks.list_held(versions[2]) == {versions[2].chunks[0]}
    assert chunks.total_bytes == 4


def test_generated_version_shares_unchanged_chunks_with_its_base() -> None:
    base = generate_version("v1", model="m", total_bytes=1_000, chunk_bytes=64, seed=1)
    changed_version = generate_version(
        "v2", model="m", total_bytes=1_000, chunk_bytes=64, seed=2, base=base, changed=0.5
    )
    shared = [a == b for a, b in zip(base.digests, changed_version.digests, strict=True)]
    assert 0 < sum(shared) < len(shared)
    full_data = base.read(0, 1_000)
    assert base.read(100, 300) == full_data[100:300]
