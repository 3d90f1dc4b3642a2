"""Alias of the in-process store for tests that import it as ``FakeStore``."""

from standins.in_process_store import InProcessStore as FakeStore

__all__ = ["FakeStore"]
