"""The in-process store under the name that tests of other parts import."""

from standins.in_process_store import InProcessStore as FakeStore

__all__ = ["FakeStore"]
