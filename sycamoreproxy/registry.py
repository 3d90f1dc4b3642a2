"""Registry of factories that are registered by a decorator and looked up by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

_FactoryT = TypeVar("_FactoryT")


class Registry(Generic[_FactoryT]):
    """Maps names to factories.

    :param kind: description of the registered objects, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._by_name: dict[str, _FactoryT] = {}

    def register(self, name: str) -> Callable[[_FactoryT], _FactoryT]:
        """Return a decorator that registers a factory under ``name``.

        :raises ValueError: if the name is already registered.
        """

        def add_factory(factory: _FactoryT) -> _FactoryT:
            if name in self._by_name:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._by_name[name] = factory
            return factory

        return add_factory

    def get(self, name: str) -> _FactoryT:
        """Return the factory registered under ``name``.

        :raises LookupError: if the name is unknown; the message lists the registered names.
        """
        factory = self._by_name.get(name)
        if factory is None:
            raise LookupError(
                f"unknown {self._kind} {name!r}; known: {', '.join(self.list_names())}"
            )
        return factory

    def list_names(self) -> list[str]:
        """Return the registered names in sorted order."""
        return sorted(self._by_name)
