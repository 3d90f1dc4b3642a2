"""A registry that decorators fill; adapters are chosen from it by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

_F = TypeVar("_F")


class Registry(Generic[_F]):
    """Maps names to factories.

    :param kind: what is registered, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._by_name: dict[str, _F] = {}

    def register(self, name: str) -> Callable[[_F], _F]:
        """Return a decorator that registers a factory under ``name``.

        :raises ValueError: if the name is taken.
        """

        def add(factory: _F) -> _F:
            if name in self._by_name:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._by_name[name] = factory
            return factory

        return add

    def get(self, name: str) -> _F:
        """Return the factory of ``name``.

        :raises LookupError: names what is known instead.
        """
        factory = self._by_name.get(name)
        if factory is None:
            raise LookupError(
                f"unknown {self._kind} {name!r}; known: {', '.join(self.list_names())}"
            )
        return factory

    def list_names(self) -> list[str]:
        """Return the registered names in order."""
        return sorted(self._by_name)
