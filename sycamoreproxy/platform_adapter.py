"""What a platform's adapter provides, and the adapters by their name in the settings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sycamoreproxy.beliefs import DocumentDecoder
from sycamoreproxy.caller_request import Dialect
from sycamoreproxy.document_source import DocumentSource
from sycamoreproxy.origins import Origin
from sycamoreproxy.registry import Registry

if TYPE_CHECKING:
    from sycamoreproxy.engine_stage import StagedEngine


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapter:
    """Factories of one platform's translations.

    :param open_engine: ``IP:PORT`` of the engine on this host to its client.
    :param open_origin: ``IP:PORT`` of the origin to its client.
    """

    open_source: Callable[[str], DocumentSource]
    documents: Callable[[], DocumentDecoder]
    dialect: Callable[[], Dialect]
    open_engine: Callable[[str], StagedEngine]
    open_origin: Callable[[str], Origin]


#: Adapters by the name in the settings.
platforms: Registry[PlatformAdapter] = Registry("platform adapter")
