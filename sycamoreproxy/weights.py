"""Versions of model weights: manifests, chunk digests and the in-memory chunk store."""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import dataclass, field
from typing import Any

#: Largest chunk, in bytes: a chunk must fit into one frame (``messages.MAX_FRAME_BYTES``).
MAX_CHUNK_BYTES = 1_048_576

_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


class ManifestError(Exception):
    """A manifest is malformed or inconsistent."""


class CorruptChunkError(Exception):
    """The data of a chunk does not match its digest."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """Description of one version.

    :param digest: SHA-256 hex digest of the concatenated hex digests of the chunks.
    :param chunk_bytes: size of every chunk except the last.
    :param chunks: SHA-256 hex digest of each chunk in order; equal chunks have equal digests.
    """

    version: str
    model: str
    digest: str
    chunk_bytes: int
    total_bytes: int
    chunks: tuple[str, ...]
    indexes_by_digest: dict[str, tuple[int, ...]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for index, digest in enumerate(self.chunks):
            self.indexes_by_digest[digest] = (*self.indexes_by_digest.get(digest, ()), index)

    def size_of(self, index: int) -> int:
        """Return the size of chunk ``index`` in bytes."""
        return min(self.chunk_bytes, self.total_bytes - index * self.chunk_bytes)

    def encode(self) -> bytes:
        """Return the manifest as JSON."""
        return json.dumps(
            {
                "version": self.version,
                "model": self.model,
                "digest": self.digest,
                "chunk_bytes": self.chunk_bytes,
                "total_bytes": self.total_bytes,
                "chunks": self.chunks,
            }
        ).encode()


def compute_version_digest(chunks: tuple[str, ...]) -> str:
    """Return the SHA-256 hex digest of the concatenated hex digests of the chunks."""
    return hashlib.sha256("".join(chunks).encode()).hexdigest()


def compute_chunk_digest(data: bytes) -> str:
    """Return the SHA-256 hex digest of a chunk."""
    return hashlib.sha256(data).hexdigest()


def parse_manifest(text: bytes, *, version: str) -> Manifest:
    """Parse a manifest from JSON.

    :param version: the version that was requested.
    :raises ManifestError: if the document is malformed or of another version, or its digest or
        sizes do not match its chunks.
    """
    try:
        data: Any = json.loads(text)
        manifest = Manifest(
            version=str(data["version"]),
            model=str(data["model"]),
            digest=str(data["digest"]),
            chunk_bytes=int(data["chunk_bytes"]),
            total_bytes=int(data["total_bytes"]),
            chunks=tuple(str(item) for item in data["chunks"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ManifestError(f"malformed manifest: {error!r}") from error
    if manifest.version != version:
        raise ManifestError(f"manifest is for version {manifest.version!r}, expected {version!r}")
    if not 0 < manifest.chunk_bytes <= MAX_CHUNK_BYTES:
        raise ManifestError(
            f"chunk size in bytes is {manifest.chunk_bytes}, not between 1 and {MAX_CHUNK_BYTES}"
        )
    if manifest.total_bytes <= 0:
        raise ManifestError("the total size is not positive")
    if len(manifest.chunks) != -(-manifest.total_bytes // manifest.chunk_bytes):
        raise ManifestError(f"{len(manifest.chunks)} chunks do not match the total size")
    if not all(_SHA256_HEX.fullmatch(digest) for digest in manifest.chunks):
        raise ManifestError("a chunk digest is not a SHA-256 hex digest")
    if compute_version_digest(manifest.chunks) != manifest.digest:
        raise ManifestError("the digest of the version does not match its chunk digests")
    return manifest


class ChunkStore:
    """In-memory store of verified chunks of the served and the wanted version."""

    def __init__(self) -> None:
        self._data_by_digest: dict[str, bytes] = {}
        self._size_by_retained_digest: dict[str, int] = {}

    @property
    def total_bytes(self) -> int:
        """Total size of the chunks held, in bytes."""
        return sum(len(data) for data in self._data_by_digest.values())

    def retain(self, *, served: Manifest | None, wanted: Manifest | None) -> None:
        """Accept only chunks of these versions and drop all others."""
        self._size_by_retained_digest = {
            digest: manifest.size_of(index)
            for manifest in (served, wanted)
            if manifest is not None
            for index, digest in enumerate(manifest.chunks)
        }
        for digest in self._data_by_digest.keys() - self._size_by_retained_digest.keys():
            del self._data_by_digest[digest]

    def add(self, digest: str, data: bytes) -> bool:
        """Store a chunk after verification.

        :returns: whether it is held now; False if no retained version contains it.
        :raises CorruptChunkError: if the data does not match the digest; nothing is stored.
        """
        if digest not in self._size_by_retained_digest:
            return False
        if digest not in self._data_by_digest:
            if compute_chunk_digest(data) != digest:
                raise CorruptChunkError(
                    f"chunk {digest[:12]}: digest of its {len(data)} bytes does not match"
                )
            self._data_by_digest[digest] = data
        return True

    def get(self, digest: str) -> bytes | None:
        """Return the data of a chunk, or None if it is not held."""
        return self._data_by_digest.get(digest)

    def list_held(self, manifest: Manifest) -> frozenset[str]:
        """Return the digests of the chunks of a version that are held."""
        return frozenset(self._data_by_digest.keys() & manifest.indexes_by_digest.keys())

    def is_complete(self, manifest: Manifest) -> bool:
        """Return whether every chunk of a version is held."""
        return all(digest in self._data_by_digest for digest in manifest.chunks)
