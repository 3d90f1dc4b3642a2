"""Brings the named weights into the engine beside this process: stage, verify, order, confirm."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sycamoreproxy.clock import Clock
from sycamoreproxy.logs import get_logger
from sycamoreproxy.weight_targets import WeightTargets
from sycamoreproxy.weights import ChunkStore, Manifest, compute_chunk_digest

#: Pause between two looks at the engine and the transfer, in seconds, and while the engine serves the
#: newest version that is named.
STEP_S = 0.1
SERVING_STEP_S = 0.4
#: Time between the last chunk and the first request on the new version, in seconds: verification and
#: loading. Engines that are free load first, so the end of long answers is not waited for.
SWITCH_S = 0.5
#: Time before older versions are no longer used at which the last engines switch, in seconds.
LAST_SWITCH_S = 0.2
#: Time between the notice to entry hosts and the order, in seconds: requests that were on their way
#: arrive within it.
NOTICE_S = 0.1
#: Time after which a report must show an accepted order, in seconds; reports come every 0.13 s.
ORDER_SEEN_S = 1.0
#: Pause after a failed call, in seconds.
FAILURE_PAUSE_S = 0.3

_log = get_logger("engine_stage")


class StagedEngineError(Exception):
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
    """An engine that loads weights from a staging area on its host.

    Every method raises :class:`StagedEngineError`.
    """

    async def read_report(self) -> EngineReport:
        """Return the engine's state."""

    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage one chunk, over whatever was there."""

    async def get_chunk(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, None if it is not there."""

    async def order_load(self, model: str, version: int, *, expected: int) -> OrderOutcome:
        """Order the engine to load the staged chunks after what it is running."""


class Transfer(Protocol):
    """Fetches the chunks of a version; see ``weight_transfer.WeightTransfer``."""

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version, once it was read."""

    @property
    def progress(self) -> float:
        """Part of the wanted version's chunks that are held, from 0 to 1."""

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        """Fetch a version and abandon any other."""


def should_finish_first(
    *, progress: float, elapsed_s: float, wanted_binds_in_s: float, newest_binds_in_s: float
) -> bool:
    """Return whether a transfer is finished before a newer version is fetched.

    If versions are named in quick succession and each transfer is abandoned for the next, no host
    holds any of them when the first one must answer. The choice leaves the shorter time without
    any permitted version.

    :param progress: part of the transfer that is done, from 0 to 1.
    :param elapsed_s: time since it began, in seconds.
    :param wanted_binds_in_s: time until versions before it may no longer answer, in seconds.
    :param newest_binds_in_s: time until it may no longer answer itself, in seconds.
    """
    if not 0.0 < progress < 1.0:
        return False
    whole_s = elapsed_s / progress
    gap_if_skipped = max(0.0, whole_s + SWITCH_S - wanted_binds_in_s)
    gap_if_finished = max(0.0, whole_s * (1 - progress) + SWITCH_S - wanted_binds_in_s) + max(
        0.0, whole_s * (2 - progress) + SWITCH_S - newest_binds_in_s
    )
    return gap_if_finished < gap_if_skipped


def may_switch(
    *, index: int, loaded_versions: Sequence[int], target: int, time_to_cutover_s: float
) -> bool:
    """Return whether an engine may end its requests and load now.

    Every second engine switches first and the others follow, so that half of them serve meanwhile.
    The others wait no longer than older versions may be used.

    :param index: place of the engine among those of its service, in an order all hosts agree on.
    :param loaded_versions: versions that the engines serve, in the same order; 0 for none.
    :param time_to_cutover_s: time until older versions are no longer used, in seconds.
    """
    if loaded_versions[index] == 0 or index % 2 == 0 or time_to_cutover_s <= LAST_SWITCH_S:
        return True
    return all(version >= target for version in loaded_versions[::2] if version)


class WeightStager:
    """Owns the staging area of one engine.

    Only this process may write it, so no lease is needed: a second process would need a second
    one on the same host.

    :param model: returns the engine's model, empty while no configuration is known.
    :param report: returns the engine's last report, None before the first.
    :param may_switch: returns whether the engine may load a version now; see :func:`may_switch`.
    :param on_switching: tells entry hosts that the engine takes no more requests.
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
        may_switch: Callable[[str, int], bool],
        on_switching: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._engine = engine
        self._transfer = transfer
        self._chunks = chunks
        self._targets = targets
        self._model = model
        self._report = report
        self._may_switch = may_switch
        self._on_switching = on_switching
        self._is_switching = False
        self._clock = clock
        self._ordered = 0
        self._orders_before = 0
        self._ordered_at = 0.0
        self._staged: Manifest | None = None
        self._wanted = 0
        self._wanted_since = 0.0
        self._weighed = 0
        self._finishes = False
        self._staged_version = ""
        self._staged_by_index: dict[int, str] = {}
        self._started_ms = -1
        #: Set when a version is named.
        self._named = asyncio.Event()
        targets.subscribe(lambda model, version: self._named.set())

    def is_switching(self, report: EngineReport) -> bool:
        """Return whether an order is about to be sent or was sent and is not yet in the report."""
        return self._is_switching or (self._ordered != 0 and self._awaits_order(report))

    async def run(self) -> None:
        """Follow the named version until cancelled."""
        while True:
            try:
                await self.step()
                await self._sleep()
            except StagedEngineError as error:
                _log.warning("engine not reached", error=str(error))
                await asyncio.sleep(FAILURE_PAUSE_S)

    async def _sleep(self) -> None:
        """Wait for the next step; a version that is named meanwhile ends the wait."""
        report, model = self._report(), self._model()
        is_serving = (
            report is not None
            and bool(model)
            and report.started_ms == self._started_ms
            and self._staged is None
            and dict(report.version_by_model).get(model, 0) == self._wanted
            and self._wanted == self._targets.find_target(model)
        )
        if not is_serving:
            await asyncio.sleep(STEP_S)
            return
        self._named.clear()
        # asyncio.wait_for of Python 3.11 loses a cancellation that comes with the wake-up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SERVING_STEP_S):
                await self._named.wait()

    async def step(self) -> None:
        """Do what can be done now for the named version.

        :raises StagedEngineError: if the engine gives no usable answer.
        """
        report = self._report()
        model = self._model()
        if report is None or not model:
            return
        if report.started_ms != self._started_ms:
            # What is staged survives a crash of the engine but not a loss of power.
            self._started_ms = report.started_ms
            self._staged = None
            self._ordered = 0
            self._staged_by_index.clear()
        loaded = dict(report.version_by_model).get(model, 0)
        target = self._choose_version(model, loaded)
        # The chunks of a staged version are kept: what turns bad where it lies is staged again.
        self._transfer.set_wanted_version(f"{model}/{target}", served=self._staged)
        manifest = self._transfer.manifest
        is_newest = manifest is not None and _number_of(manifest) == target
        if self._staged is not None:
            number = _number_of(self._staged)
            if loaded >= number or (target > number and self._transfer.progress >= 1.0):
                self._staged = None
            elif not report.is_loading and self._may_switch(model, number):
                await self._switch(self._staged, report)
            return
        if manifest is None or not is_newest or loaded >= target:
            return
        if self._ordered == target and self._awaits_order(report):
            return
        await self._stage(manifest)
        if len(self._staged_by_index) == len(manifest.chunks):
            self._staged = manifest

    def _awaits_order(self, report: EngineReport) -> bool:
        """Return whether the last order may still be in progress."""
        if report.is_loading:
            return True
        is_old = report.orders_accepted <= self._orders_before
        return is_old and self._clock.monotonic() - self._ordered_at < ORDER_SEEN_S

    async def _switch(self, manifest: Manifest, report: EngineReport) -> None:
        """Order the engine to load the staged version if all of it is whole.

        Entry hosts are told before: a request that they send meanwhile would wait at the engine
        until it has loaded, and might begin after the bound on its version.
        """
        number = _number_of(manifest)
        self._is_switching = True
        try:
            self._on_switching()
            noticed_at = self._clock.monotonic() + NOTICE_S
            if not await self._verify(manifest):
                await self._stage(manifest)
                if len(self._staged_by_index) < len(manifest.chunks):
                    self._staged = None
                return
            await asyncio.sleep(max(0.0, noticed_at - self._clock.monotonic()))
            outcome = await self._engine.order_load(
                manifest.model, number, expected=report.orders_accepted
            )
        finally:
            self._is_switching = False
        _log.info(
            "weights ordered",
            model=manifest.model,
            version=number,
            outcome=outcome.value,
            orders_accepted=report.orders_accepted,
        )
        # The engine loads what is staged when it accepts the order; the next version may be staged
        # from now on.
        self._staged = None
        self._ordered = number
        self._orders_before = report.orders_accepted
        self._ordered_at = self._clock.monotonic()

    def _choose_version(self, model: str, loaded: int) -> int:
        """Return the version to bring into the engine now."""
        newest = self._targets.find_target(model)
        if newest == self._wanted:
            return newest
        staged = _number_of(self._staged) if self._staged is not None else 0
        is_pending = max(loaded, self._ordered, staged) < self._wanted < newest
        if not is_pending or self._weighed != newest:
            # The choice is made once for each newly named version: a transfer that is abandoned
            # later has cost its time for nothing.
            self._weighed = newest
            self._finishes = is_pending and should_finish_first(
                progress=self._transfer.progress,
                elapsed_s=self._clock.monotonic() - self._wanted_since,
                wanted_binds_in_s=self._targets.time_to_cutover_s(model, self._wanted),
                newest_binds_in_s=self._targets.time_to_cutover_s(model, newest),
            )
            _log.info(
                "weights chosen",
                version=self._wanted if self._finishes else newest,
                newest=newest,
                before=self._wanted,
                loaded=loaded,
                progress=round(self._transfer.progress, 2),
            )
        if not self._finishes:
            self._wanted, self._wanted_since = newest, self._clock.monotonic()
        return self._wanted

    async def read_staged(self, manifest: Manifest) -> AsyncIterator[tuple[int, bytes]]:
        """Yield the staged chunks if they may be those of a version.

        Neighbours then need not fetch them from the origin again. What is staged for an engine
        that serves another version is not read.
        """
        report = self._report()
        number = _number_of(manifest)
        loaded = dict(report.version_by_model).get(manifest.model, 0) if report is not None else 0
        if loaded not in (0, number):
            return
        for index in range(len(manifest.chunks)):
            try:
                data = await self._engine.get_chunk(manifest.model, index)
            except StagedEngineError as error:
                _log.info("staged chunk not read", chunk=index, error=str(error))
                return
            if data is None:
                return
            yield index, data

    async def _stage(self, manifest: Manifest) -> None:
        """Stage every chunk that has arrived."""
        if self._staged_version != manifest.version:
            self._staged_version = manifest.version
            self._staged_by_index.clear()
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


def _number_of(manifest: Manifest) -> int:
    """Return the number of a version that is named ``MODEL/NUMBER``."""
    return int(manifest.version.rpartition("/")[2])
