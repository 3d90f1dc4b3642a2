"""The store stand-in in this process, behind the real adapter's encoding, with seeded faults."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from standins.store import MemoryStore, StoreError
from sycamoreproxy.store import Entry, StoreAnswerLostError, StoreUnavailableError
from sycamoreproxy.store_etcd import EtcdJsonStore, _decode_entry, _error_from_response


class InProcessStore(EtcdJsonStore):
    """Calls a :class:`MemoryStore` directly.

    :param core: the keys; several stores may share one.
    :param faults: probability of each fault: ``unavailable`` (no effect), ``lost`` (effect, no
        answer), ``late`` (no answer, the effect comes a while later).
    """

    def __init__(self, core: MemoryStore, *, seed: int = 1, **faults: float) -> None:
        self.core = core
        self.faults = faults
        self.calls_by_verb: Counter[str] = Counter()
        self.late_tasks: set[asyncio.Task[None]] = set()
        self._random = random.Random(seed)

    def _strikes(self, fault: str) -> bool:
        return self._random.random() < self.faults.get(fault, 0)

    async def _call(self, verb: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self.calls_by_verb[verb] += 1
        for _ in range(self._random.randrange(3)):
            await asyncio.sleep(0)
        if self._strikes("unavailable"):
            raise StoreUnavailableError("fault")
        if self._strikes("late"):
            task = asyncio.create_task(self._call_late(path, body))
            self.late_tasks.add(task)
            task.add_done_callback(self.late_tasks.discard)
            raise StoreAnswerLostError("fault")
        try:
            answer = self.core.call(path, body)
        except StoreError as error:
            raise _error_from_response(
                verb, 400, {"code": error.code, "message": str(error)}
            ) from error
        if self._strikes("lost"):
            raise StoreAnswerLostError("fault")
        return answer

    async def _call_late(self, path: str, body: dict[str, Any]) -> None:
        for _ in range(self._random.randrange(1, 40)):
            await asyncio.sleep(0.01)
        try:
            self.core.call(path, body)
        except StoreError:
            return

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[list[Entry]]:
        """Yield the changes of one key; the stream ends at a fault."""
        from base64 import b64encode

        changed = asyncio.Event()
        self.core.add_listener(changed.set)
        body = {"key": b64encode(prefix.encode()).decode()}
        after = self.core.find_event(from_revision)
        try:
            while not self._strikes("unavailable"):
                events, after = self.core.read_events(body, after=after)
                if events:
                    yield [_decode_entry(event["kv"]) for event in events]
                await changed.wait()
                changed.clear()
        finally:
            self.core.remove_listener(changed.set)

    def close(self) -> None:
        """Nothing is open."""
