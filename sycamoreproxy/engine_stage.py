"""Brings the named weights into the engine beside this process: stage, verify, order, confirm."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.weight_targets import WeightTargets
from sycamoreproxy.weights import ChunkStore, Manifest, compute_chunk_digest

#: Pause between two looks at the engine and the transfer, in seconds.
STEP_S = 0.1
#: Time between the last chunk and the first request on the new version, in seconds: verification and
#: loading. Engines that are free load first, so the end of long answers is not waited for.
SWITCH_S = 0.5
#: Pause after a failed call, in seconds.
FAILURE_PAUSE_S = 0.3

_log = get_logger("engine_stage")


class StageError(Exception):
    """The engine gave no usable answer; an order may have been accepted."""


class OrderOutcome(Enum):
    """What became of an order."""

    BEGUN = "begun"
    IN_EFFECT = "in effect"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """What the engine says of itself.

    :param is_loading: whether an order is in progress.
    :param orders_accepted: orders accepted since its start.
    :param started_ms: its start, Unix milliseconds; 0 if not told.
    """

    running: int
    waiting: int
    memory_used: int
    memory_total: int
    pace: float
    is_loading: bool
    orders_accepted: int
    started_ms: int
    version_by_model: tuple[tuple[str, int], ...]


class StagedEngine(Protocol):
    """An engine that loads what was staged on its host. Every method raises :class:`StageError`."""

    async def read_report(self) -> EngineReport:
        """Return the engine's state."""

    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage one chunk, over whatever was there."""

    async def get_chunk(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, None if it is not there."""

    async def order_start(self, model: str, version: int, *, expected: int) -> OrderOutcome:
        """Order the engine to load the staged chunks after what it is running."""


class Transfer(Protocol):
    """Fetches the chunks of a version; see ``weight_transfer.WeightTransfer``."""

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version, once it was read."""

    @property
    def progress(self) -> float:
        """Part of the wanted version's chunks that are held, from 0 to 1."""

    def want(self, version: str, *, served: Manifest | None = None) -> None:
        """Fetch a version and abandon any other."""


def should_finish_first(*, progress: float, elapsed_s: float, time_to_bind_s: float) -> bool:
    """Return whether a transfer is finished before a newer version is fetched.

    If versions are named in quick succession and each transfer is abandoned for the next, no host
    holds any of them when the first one must answer.

    :param progress: part of the transfer that is done, from 0 to 1.
    :param elapsed_s: time since it began, in seconds.
    :param time_to_bind_s: time until the newer version must answer, in seconds.
    """
    if not 0.0 < progress < 1.0:
        return False
    whole_s = elapsed_s / progress
    return whole_s * (1 - progress) + whole_s + SWITCH_S <= time_to_bind_s


class WeightStager:
    """Owns the staging area of one engine.

    Only this process may write it, so no lease is needed: a second process would need a second
    one on the same host.

    :param model: returns the engine's model, empty while no configuration is known.
    :param report: returns the engine's last report, None before the first.
    """

    def __init__(
        self,
        *,
        engine: StagedEngine,
        transfer: Transfer,
        chunks: ChunkStore,
        targets: WeightTargets,
        model: Callable[[], str],
        report: Callable[[], EngineReport | None],
        clock: Clock,
    ) -> None:
        self._engine = engine
        self._transfer = transfer
        self._chunks = chunks
        self._targets = targets
        self._model = model
        self._report = report
        self._clock = clock
        self._wanted = 0
        self._wanted_since = 0.0
        self._staged_version = ""
        self._staged_by_index: dict[int, str] = {}
        self._started_ms = -1

    async def run(self) -> None:
        """Follow the named version until cancelled."""
        while True:
            try:
                await self.step()
                await asyncio.sleep(STEP_S)
            except StageError as error:
                _log.warning("engine not reached", error=str(error))
                await asyncio.sleep(FAILURE_PAUSE_S)

    async def step(self) -> None:
        """Do what can be done now for the named version.

        :raises StageError: if the engine gives no usable answer.
        """
        report = self._report()
        model = self._model()
        if report is None or not model:
            return
        if report.started_ms != self._started_ms:
            # What is staged survives a crash of the engine but not a loss of power.
            self._started_ms = report.started_ms
            self._staged_by_index.clear()
        target = self._choose_version(model, dict(report.version_by_model).get(model, 0))
        version = f"{model}/{target}"
        if self._staged_version != version:
            self._staged_version = version
            self._staged_by_index.clear()
        self._transfer.want(version)
        if dict(report.version_by_model).get(model, 0) >= target or report.is_loading:
            return
        manifest = self._transfer.manifest
        if manifest is None or manifest.version != version:
            return
        await self._stage(manifest)
        if len(self._staged_by_index) == len(manifest.chunks) and await self._verify(manifest):
            outcome = await self._engine.order_start(model, target, expected=report.orders_accepted)
            _log.info(
                "weights ordered",
                model=model,
                version=target,
                outcome=outcome.value,
                orders_accepted=report.orders_accepted,
            )

    def _choose_version(self, model: str, loaded: int) -> int:
        """Return the version to bring into the engine now."""
        newest = self._targets.find_target(model)
        if newest != self._wanted:
            keeps = loaded < self._wanted < newest and should_finish_first(
                progress=self._transfer.progress,
                elapsed_s=self._clock.monotonic() - self._wanted_since,
                time_to_bind_s=self._targets.time_to_bind_s(model),
            )
            is_held = loaded < self._wanted < newest and self._transfer.progress >= 1.0
            if not keeps and not is_held:
                self._wanted, self._wanted_since = newest, self._clock.monotonic()
        return self._wanted

    async def _stage(self, manifest: Manifest) -> None:
        """Stage every chunk that has arrived."""
        for index, digest in enumerate(manifest.chunks):
            if self._staged_by_index.get(index) == digest:
                continue
            data = self._chunks.get(digest)
            if data is not None:
                await self._engine.put_chunk(manifest.model, index, data)
                self._staged_by_index[index] = digest

    async def _verify(self, manifest: Manifest) -> bool:
        """Read every staged chunk back; return whether all are whole.

        Chunks can turn bad where they lie, so this is done directly before each order.
        """
        bad = []
        for index, digest in enumerate(manifest.chunks):
            data = await self._engine.get_chunk(manifest.model, index)
            if data is None or compute_chunk_digest(data) != digest:
                bad.append(index)
                del self._staged_by_index[index]
        if bad:
            _log.warning("staged chunks bad", version=manifest.version, chunks=bad)
        return not bad
