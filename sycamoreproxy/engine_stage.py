"""Loads the target weights into the engine on this host: stage, verify, order, confirm."""

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

#: Interval between checks of the engine and the transfer, in seconds.
STEP_INTERVAL_S = 0.1
#: The same interval while the engine serves the newest target version.
IDLE_STEP_INTERVAL_S = 0.4
#: Expected time between the last chunk and the first request on the new version, in seconds, for
#: verification and loading. It includes no wait for long responses, because idle engines load
#: first.
SWITCH_DURATION_S = 0.5
#: Time before the cutover at which the remaining engines switch regardless of the others, in
#: seconds. Older versions are no longer used after the cutover.
FORCED_SWITCH_LEAD_S = 0.2
#: Time between the notice to entry hosts and the load order, in seconds. Requests in flight arrive
#: within this time.
SWITCH_NOTICE_S = 0.1
#: Time within which a report must show an accepted order, in seconds. Reports arrive every 0.13 s.
ORDER_REPORT_TIMEOUT_S = 1.0
#: Maximum time between the verification of a chunk and the order that loads it, in seconds. The
#: engine may accept an order 1 s after it was sent, and must not load a chunk that became corrupt
#: more than 3 s before.
MAX_VERIFICATION_AGE_S = 2.0
#: Maximum number of staged chunks that are read at once.
MAX_CONCURRENT_READS = 16
#: Delay after a failed engine call, in seconds.
RETRY_INTERVAL_S = 0.3

_log = get_logger("engine_stage")


class StagedEngineError(Exception):
    """The engine returned no usable response; an order may have been accepted."""


class OrderOutcome(Enum):
    """Result of a load order."""

    BEGUN = "begun"
    IN_EFFECT = "in effect"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """State that the engine reports.

    :param is_loading: whether a load order is in progress.
    :param orders_accepted: number of orders accepted since the engine started.
    :param started_ms: start time of the engine in Unix milliseconds; 0 if not reported.
    :param cold_remaining_ms: time until the engine is warm, in milliseconds, as it was read.
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
    cold_remaining_ms: float = 0.0


class StagedEngine(Protocol):
    """An engine that loads weights from a staging area on its host.

    Every method raises :class:`StagedEngineError`.
    """

    async def read_report(self) -> EngineReport:
        """Return the current state of the engine."""

    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage one chunk, overwriting any chunk at the same index."""

    async def get_chunk(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, or None if it is absent."""

    async def order_load(self, model: str, version: int, *, expected: int) -> OrderOutcome:
        """Order the engine to load the staged chunks after its running requests.

        :param expected: number of orders that the engine must have accepted before.
        """


class Transfer(Protocol):
    """Fetches the chunks of a version; see ``weight_transfer.WeightTransfer``."""

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version, or None until it has been read."""

    @property
    def progress(self) -> float:
        """Fraction of the chunks of the wanted version that are available locally, from 0 to 1."""

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        """Fetch a version and abandon the transfer of any other."""


def should_finish_first(
    *, progress: float, elapsed_s: float, wanted_cutover_in_s: float, newest_cutover_in_s: float
) -> bool:
    """Return whether to finish the current transfer before fetching a newer version.

    If targets change in quick succession and each transfer is abandoned for the next, no host
    holds any of the versions at the first cutover. The decision minimizes the time during which
    no permitted version can be served.

    :param progress: completed fraction of the current transfer, from 0 to 1.
    :param elapsed_s: time since the transfer started, in seconds.
    :param wanted_cutover_in_s: time until versions older than the transferred one may no longer be
        served, in seconds.
    :param newest_cutover_in_s: time until the transferred version itself may no longer be served,
        in seconds.
    """
    if not 0.0 < progress < 1.0:
        return False
    total_s = elapsed_s / progress
    gap_if_skipped = max(0.0, total_s + SWITCH_DURATION_S - wanted_cutover_in_s)
    gap_if_finished = max(
        0.0, total_s * (1 - progress) + SWITCH_DURATION_S - wanted_cutover_in_s
    ) + max(0.0, total_s * (2 - progress) + SWITCH_DURATION_S - newest_cutover_in_s)
    return gap_if_finished < gap_if_skipped


def may_switch(
    *, index: int, loaded_versions: Sequence[int], target: int, time_to_cutover_s: float
) -> bool:
    """Return whether an engine may drain its requests and load now.

    Engines at even indexes switch first and the others follow, so that half of the engines keep
    serving. The others wait no longer than older versions may be used. An engine without a
    loaded version never waits.

    :param index: position of the engine among those of its service, in an order that is the same
        on all hosts.
    :param loaded_versions: versions that the engines serve, in the same order; 0 for none.
    :param target: version to load.
    :param time_to_cutover_s: time until older versions are no longer used, in seconds.
    """
    if loaded_versions[index] == 0 or index % 2 == 0 or time_to_cutover_s <= FORCED_SWITCH_LEAD_S:
        return True
    return all(version >= target for version in loaded_versions[::2] if version)


class WeightStager:
    """Manages the staging area of one engine.

    Only this process may write to the staging area, so no lease is needed: a concurrent writer
    would have to be a second process with a second staging area on the same host.

    :param model: returns the model of the engine, empty while no configuration is known.
    :param report: returns the last report of the engine, None before the first.
    :param may_switch: returns whether the engine may load a version now; see :func:`may_switch`.
    :param on_switching: notifies entry hosts that the engine accepts no more requests.
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
        self._ordered_version = 0
        self._orders_accepted_before = 0
        self._ordered_at = 0.0
        self._staged_manifest: Manifest | None = None
        self._wanted_version = 0
        self._wanted_since = 0.0
        self._decided_for_version = 0
        self._finishes_wanted_first = False
        self._staged_version = ""
        self._staged_digest_by_index: dict[int, str] = {}
        self._started_ms = -1
        self._target_changed = asyncio.Event()
        targets.subscribe(lambda model, version: self._target_changed.set())

    def is_switching(self, report: EngineReport) -> bool:
        """Return whether an order is about to be sent, or was sent and is not yet reported."""
        return self._is_switching or (self._ordered_version != 0 and self._is_order_pending(report))

    async def run(self) -> None:
        """Load each new target version into the engine until cancelled."""
        while True:
            try:
                await self.step()
                await self._wait_for_next_step()
            except StagedEngineError as error:
                _log.warning("engine call failed", error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _wait_for_next_step(self) -> None:
        """Wait for the next step; a new target version ends the wait."""
        report, model = self._report(), self._model()
        is_serving = (
            report is not None
            and bool(model)
            and report.started_ms == self._started_ms
            and self._staged_manifest is None
            and dict(report.version_by_model).get(model, 0) == self._wanted_version
            and self._wanted_version == self._targets.find_target(model)
        )
        if not is_serving:
            await asyncio.sleep(STEP_INTERVAL_S)
            return
        self._target_changed.clear()
        # asyncio.wait_for in Python 3.11 loses a cancellation that coincides with the wake-up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_STEP_INTERVAL_S):
                await self._target_changed.wait()

    async def step(self) -> None:
        """Run one step of staging, verifying or ordering the target version.

        :raises StagedEngineError: if the engine returns no usable response.
        """
        report = self._report()
        model = self._model()
        if report is None or not model:
            return
        if report.started_ms != self._started_ms:
            # Staged chunks survive a crash of the engine but not a loss of power.
            self._started_ms = report.started_ms
            self._staged_manifest = None
            self._ordered_version = 0
            self._staged_digest_by_index.clear()
        loaded = dict(report.version_by_model).get(model, 0)
        target = self._choose_version(model, loaded)
        # The local chunks of a staged version are retained, because a chunk that becomes corrupt in
        # the staging area is staged again.
        self._transfer.set_wanted_version(f"{model}/{target}", served=self._staged_manifest)
        manifest = self._transfer.manifest
        is_newest = manifest is not None and _parse_version_number(manifest) == target
        if self._staged_manifest is not None:
            number = _parse_version_number(self._staged_manifest)
            if loaded >= number or (target > number and self._transfer.progress >= 1.0):
                self._staged_manifest = None
            elif not report.is_loading and self._may_switch(model, number):
                await self._switch(self._staged_manifest, report)
            return
        if manifest is None or not is_newest or loaded >= target:
            return
        if self._ordered_version == target and self._is_order_pending(report):
            return
        await self._stage(manifest)
        if len(self._staged_digest_by_index) == len(manifest.chunks):
            self._staged_manifest = manifest

    def _is_order_pending(self, report: EngineReport) -> bool:
        """Return whether the last order is in progress or may not have been reported yet."""
        if report.is_loading:
            return True
        is_unreported = report.orders_accepted <= self._orders_accepted_before
        return is_unreported and self._clock.monotonic() - self._ordered_at < ORDER_REPORT_TIMEOUT_S

    async def _switch(self, manifest: Manifest, report: EngineReport) -> None:
        """Order the engine to load the staged version if every chunk passes verification.

        Entry hosts are notified first. A request that they send during the switch would wait at
        the engine until the load has finished, and might start after the cutover of its version.
        """
        number = _parse_version_number(manifest)
        self._is_switching = True
        try:
            self._on_switching()
            verified_at = self._clock.monotonic()
            notice_ends_at = verified_at + SWITCH_NOTICE_S
            if not await self._verify(manifest):
                await self._stage(manifest)
                if len(self._staged_digest_by_index) < len(manifest.chunks):
                    self._staged_manifest = None
                return
            await asyncio.sleep(max(0.0, notice_ends_at - self._clock.monotonic()))
            age_s = self._clock.monotonic() - verified_at
            if age_s > MAX_VERIFICATION_AGE_S:
                # The engine or this process was slow; the next step verifies all chunks again.
                _log.warning(
                    "verification of staged chunks outdated",
                    version=manifest.version,
                    age_s=round(age_s, 2),
                )
                return
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
        # The engine loads the chunks that are staged when it accepts the order, so the next version
        # can be staged from now on.
        self._staged_manifest = None
        self._ordered_version = number
        self._orders_accepted_before = report.orders_accepted
        self._ordered_at = self._clock.monotonic()

    def _choose_version(self, model: str, loaded: int) -> int:
        """Return the version to load into the engine next."""
        newest = self._targets.find_target(model)
        if newest == self._wanted_version:
            return newest
        staged = (
            _parse_version_number(self._staged_manifest) if self._staged_manifest is not None else 0
        )
        is_pending = max(loaded, self._ordered_version, staged) < self._wanted_version < newest
        if not is_pending or self._decided_for_version != newest:
            # The decision is made once for each new target version, because a transfer that is
            # abandoned later has wasted its time.
            self._decided_for_version = newest
            self._finishes_wanted_first = is_pending and should_finish_first(
                progress=self._transfer.progress,
                elapsed_s=self._clock.monotonic() - self._wanted_since,
                wanted_cutover_in_s=self._targets.time_to_cutover_s(model, self._wanted_version),
                newest_cutover_in_s=self._targets.time_to_cutover_s(model, newest),
            )
            _log.info(
                "weight version selected",
                version=self._wanted_version if self._finishes_wanted_first else newest,
                newest=newest,
                before=self._wanted_version,
                loaded=loaded,
                progress=round(self._transfer.progress, 2),
            )
        if not self._finishes_wanted_first:
            self._wanted_version, self._wanted_since = newest, self._clock.monotonic()
        return self._wanted_version

    async def read_staged(self, manifest: Manifest) -> AsyncIterator[tuple[int, bytes]]:
        """Yield the staged chunks if they may belong to a version.

        Peers then need not fetch them from the origin again. Chunks staged for an engine that
        serves another version are not read.
        """
        report = self._report()
        number = _parse_version_number(manifest)
        loaded = dict(report.version_by_model).get(manifest.model, 0) if report is not None else 0
        if loaded not in (0, number):
            return
        for index in range(len(manifest.chunks)):
            try:
                data = await self._engine.get_chunk(manifest.model, index)
            except StagedEngineError as error:
                _log.info("reading staged chunk failed", chunk=index, error=str(error))
                return
            if data is None:
                return
            yield index, data

    async def _stage(self, manifest: Manifest) -> None:
        """Stage every chunk that is available locally and not yet staged."""
        if self._staged_version != manifest.version:
            self._staged_version = manifest.version
            self._staged_digest_by_index.clear()
        for index, digest in enumerate(manifest.chunks):
            if self._staged_digest_by_index.get(index) == digest:
                continue
            data = self._chunks.get(digest)
            if data is not None:
                await self._engine.put_chunk(manifest.model, index, data)
                self._staged_digest_by_index[index] = digest

    async def _verify(self, manifest: Manifest) -> bool:
        """Read back every staged chunk and return whether all digests match.

        Chunks can become corrupt in the staging area, so they are verified directly before each
        order.
        """
        corrupt_indexes: list[int] = []
        chunks = iter(enumerate(manifest.chunks))

        async def verify_next() -> None:
            for index, digest in chunks:
                data = await self._engine.get_chunk(manifest.model, index)
                if data is None or compute_chunk_digest(data) != digest:
                    corrupt_indexes.append(index)
                    self._staged_digest_by_index.pop(index, None)

        try:
            async with asyncio.TaskGroup() as group:
                for _ in range(min(MAX_CONCURRENT_READS, len(manifest.chunks))):
                    group.create_task(verify_next())
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None
        if corrupt_indexes:
            _log.warning(
                "staged chunks absent or corrupt",
                version=manifest.version,
                chunks=sorted(corrupt_indexes),
            )
        return not corrupt_indexes


def _parse_version_number(manifest: Manifest) -> int:
    """Return ``NUMBER`` of a version named ``MODEL/NUMBER``."""
    return int(manifest.version.rpartition("/")[2])
