"""Registers the translations of the users' platform."""

from __future__ import annotations

from sycamoreproxy.platform.documents import PlatformDocuments
from sycamoreproxy.platform.requests import PlatformDialect
from sycamoreproxy.platform.runner import PlatformOrigin, PlatformRunner
from sycamoreproxy.platform.store import PlatformStore
from sycamoreproxy.platform_adapter import PlatformAdapter, platforms

platforms.register("platform")(
    PlatformAdapter(
        open_source=PlatformStore,
        documents=PlatformDocuments,
        dialect=PlatformDialect,
        open_engine=PlatformRunner,
        open_origin=PlatformOrigin,
    )
)
