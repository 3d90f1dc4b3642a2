"""Engine ownership leases, fencing tokens, load orders and rolling version switches."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from sycamoreproxy.clock import Clock
from sycamoreproxy.engine_control import (
    EngineAnswerLostError,
    EngineControl,
    EngineState,
    EngineUnreachableError,
    LoadOrder,
    OrderRefusedError,
)
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.invariants import InvariantViolationError, check_invariant
from sycamoreproxy.logs import get_logger
from sycamoreproxy.store import (
    Compare,
    Delete,
    Entry,
    Get,
    Put,
    Store,
    StoreAnswerLostError,
    StoreUnavailableError,
    Txn,
)
from sycamoreproxy.weights import ChunkStore, Manifest

#: Fraction at the end of the lease TTL in which no order is sent. It covers the drift of monotonic
#: clocks and the time between the validity check and the write of the order to the socket.
LEASE_MARGIN_FRACTION = 0.2
#: Lease renewals per TTL.
RENEWALS_PER_TTL = 3
#: Interval between reads of the engine state during a chunk upload, in seconds.
STATE_POLL_INTERVAL_S = 1.0
#: Interval between reconciliation steps, and between attempts to acquire the lease, in seconds.
RETRY_INTERVAL_S = 0.5
#: Age after which the engine's last confirmation is ignored, in seconds. A process that was paused
#: may have been replaced, and its successor may have switched the engine.
CONFIRMATION_MAX_AGE_S = 5.0
#: Interval between manifest lookups for a version that only the engine holds, in seconds.
MANIFEST_LOOKUP_INTERVAL_S = 5.0

_log = get_logger("engine_orders")


class LeaseNotValidError(Exception):
    """The lease may have expired, so no order may be sent."""


@dataclass(frozen=True, slots=True)
class ServedVersion:
    """Version and digest that the engine confirmed."""

    version: str
    digest: str


class ModelTargetLike(Protocol):
    """Subset of ``table.ModelTarget`` that this module uses."""

    @property
    def version(self) -> str:
        """Version that the engines of the model should serve."""

    @property
    def adapters(self) -> tuple[str, ...]:
        """Adapters that the engines should load with the version."""

    @property
    def replicas(self) -> int:
        """Number of engines that should serve the version; 0 means all."""


class Transfer(Protocol):
    """Subset of ``weight_transfer.WeightTransfer`` that this module uses."""

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version, or None until it has been read."""

    @property
    def is_done(self) -> bool:
        """Whether every chunk of the wanted version is available locally."""

    @property
    def reason(self) -> str:
        """Why the transfer is not complete."""

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        """Set the version to fetch; chunks of ``served`` are retained."""

    async def find_manifest(self, version: str) -> Manifest | None:
        """Return the manifest of any version, or None if it cannot be read now."""


def _to_served_version(manifest: Manifest) -> ServedVersion:
    return ServedVersion(manifest.version, manifest.digest)


class OwnershipLease:
    """Store lease that allows one process to send orders to an engine.

    The create revision of the key is the fencing token. The lease counts as valid only while the
    time since the last confirmed renewal was *sent* is below the TTL less a margin, measured by
    the monotonic clock. A process that resumes after a long pause therefore finds it not valid.

    :param key: ``PREFIX/engine/UPSTREAM``.
    :param process_id: random ID of this run of the process; distinguishes it from its
        predecessor.
    :param ttl_s: TTL of the lease in seconds.
    """

    def __init__(
        self, *, store: Store, clock: Clock, key: str, process_id: str, ttl_s: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._value = process_id.encode()
        self._ttl_s = max(1, round(ttl_s))
        self._valid_until = 0.0
        self.lease = 0
        self.fence = 0
        self.holder = ""

    @property
    def is_valid(self) -> bool:
        """Whether the lease certainly has not expired, so that an order may be sent."""
        return self.fence > 0 and self._clock.monotonic() < self._valid_until

    @property
    def renew_period_s(self) -> float:
        """Interval between calls of :meth:`maintain`, in seconds."""
        return self._ttl_s / RENEWALS_PER_TTL

    async def maintain(self) -> None:
        """Renew the lease, or acquire it if it was lost and no other process holds the key.

        :raises StoreUnavailableError: if the store did not accept the call.
        :raises StoreAnswerLostError: if the response of the store was lost.
        """
        sent_at = self._clock.monotonic()
        if self.lease and await self._store.renew_lease(self.lease):
            if self.fence:
                self._extend_validity(sent_at)
                return
        else:
            self.fence = 0
            self.lease = 0
            sent_at = self._clock.monotonic()
            self.lease = await self._store.grant_lease(self._ttl_s)
        await self._acquire(sent_at)

    async def release(self) -> None:
        """Revoke the lease so that a successor need not wait for its expiry."""
        lease, self.lease, self.fence, self._valid_until = self.lease, 0, 0, 0.0
        if lease:
            with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
                await self._store.revoke_lease(lease)

    async def _acquire(self, sent_at: float) -> None:
        result = await self._store.transact(
            Txn(
                compares=(Compare(self._key, 0),),
                then=(Put(self._key, self._value, self.lease), Get(self._key)),
                otherwise=(Get(self._key),),
            )
        )
        entry = result.results[-1]
        # If the response to an earlier write was lost, the key already has the value and lease of
        # this process.
        if isinstance(entry, Entry) and entry.value == self._value and entry.lease == self.lease:
            self.fence = entry.create_revision
            self.holder = ""
            self._extend_validity(sent_at)
            _log.info("engine lease acquired", key=self._key, fence=self.fence)
        else:
            self.holder = entry.value.decode(errors="replace") if isinstance(entry, Entry) else "?"

    def _extend_validity(self, sent_at: float) -> None:
        self._valid_until = sent_at + self._ttl_s * (1 - LEASE_MARGIN_FRACTION)


class SwitchSlot:
    """Slot that limits how many replicas switch their version concurrently.

    :param prefix: ``PREFIX/switch/MODEL/ZONE``.
    """

    def __init__(self, *, store: Store, prefix: str, process_id: str) -> None:
        self._store = store
        self._prefix = prefix
        self._process_id = process_id
        self._value = process_id.encode()
        self._key = ""

    @property
    def is_held(self) -> bool:
        """Whether a slot was acquired; the store deletes it when the lease expires."""
        return bool(self._key)

    async def acquire(self, *, slots: int, lease: int) -> bool:
        """Try each slot once, starting at a hash of the process ID to spread the attempts."""
        first_index = int.from_bytes(hashlib.sha256(self._value).digest()[:4], "big")
        for offset in range(slots):
            key = f"{self._prefix}/{(first_index + offset) % slots}"
            result = await self._store.transact(
                Txn((Compare(key, 0),), (Put(key, self._value, lease),), (Get(key),))
            )
            entry = result.results[0] if not result.succeeded else None
            is_own = (
                isinstance(entry, Entry) and entry.value == self._value and entry.lease == lease
            )
            if result.succeeded or is_own:
                self._key = key
                return True
        return False

    async def release(self) -> None:
        """Free the slot if this process still holds it."""
        if not self._key:
            return
        entry = await self._store.get(self._key)
        if entry is not None and entry.value == self._value:
            await self._store.transact(
                Txn((Compare(self._key, entry.mod_revision),), (Delete(self._key),))
            )
        self._key = ""

    def mark_lost(self) -> None:
        """Record that the slot was lost together with the lease."""
        self._key = ""


class EngineOwner:
    """Reconciles the version that the engine serves with the target in the table.

    Requires that :meth:`run` is running. ``served`` is None whenever it is not certain that the
    engine holds exactly one complete, confirmed version.

    :param host: this host; its availability zone is that of its record in ``hosts``.
    :param hosts: returns the hosts of all regions that have an engine for this model.
    :param checks_fencing: whether the engine refuses orders with an old fencing token. If not,
        a new owner waits ``order_timeout_s``, the longest time in which an order of its
        predecessor can take effect, and then reads the engine state.
    :param on_change: called after ``served`` has changed.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        model: str,
        prefix: str,
        process_id: str,
        store: Store,
        engine: EngineControl,
        chunks: ChunkStore,
        transfer: Transfer,
        hosts: Callable[[], Iterable[HostRecord]],
        clock: Clock,
        lease_ttl_s: float,
        order_timeout_s: float,
        checks_fencing: bool,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._model = model
        self._engine = engine
        self._chunks = chunks
        self._transfer = transfer
        self._hosts = hosts
        self._clock = clock
        self._order_timeout_s = order_timeout_s
        self._checks_fencing = checks_fencing
        self._on_change = on_change
        self._lease = OwnershipLease(
            store=store,
            clock=clock,
            key=f"{prefix}/engine/{host}",
            process_id=process_id,
            ttl_s=lease_ttl_s,
        )
        self._slot = SwitchSlot(
            store=store,
            prefix=f"{prefix}/switch/{model}/{availability_zone}",
            process_id=process_id,
        )
        self._target: ModelTargetLike | None = None
        self._served: ServedVersion | None = None
        self._served_manifest: Manifest | None = None
        self._adapters: tuple[str, ...] | None = None
        self._chunks_in_engine: set[str] | None = None
        self._confirmed_at = 0.0
        self._manifest_requested_at = -MANIFEST_LOOKUP_INTERVAL_S
        self._slot_backoff_until = 0.0
        self._old_orders_fence = 0
        self._old_orders_expire_at = 0.0
        self._reasons_by_topic: dict[str, str] = {}
        self._wake = asyncio.Event()

    # Queries

    @property
    def served(self) -> ServedVersion | None:
        """The only version that responses can come from, or None if that is not certain."""
        age_s = self._clock.monotonic() - self._confirmed_at
        return self._served if age_s <= CONFIRMATION_MAX_AGE_S else None

    @property
    def is_owner(self) -> bool:
        """Whether the ownership lease is valid."""
        return self._lease.is_valid

    @property
    def unmet(self) -> tuple[str, ...]:
        """Targets of the table that the engine does not meet, one sentence with reason each."""
        target = self._target
        if target is None or not target.version or not self._is_selected_replica():
            return self._describe_replica_shortage()
        version = self.served.version if self.served is not None else ""
        if version == target.version and self._adapters_match(target):
            return self._describe_replica_shortage()
        reasons = "; ".join(reason for reason in self._reasons_by_topic.values() if reason)
        return (
            f"{self._host} does not serve version {target.version} of {self._model}: "
            f"{reasons or 'the order has not been given yet'}.",
            *self._describe_replica_shortage(),
        )

    # Commands

    def set_target(self, target: ModelTargetLike | None) -> None:
        """Set the target of the model from the table in force; None removes it."""
        self._target = target
        self._wake.set()

    def wake(self) -> None:
        """Run the next step early after a change of the transfer, the host list or the engine."""
        self._wake.set()

    async def run(self) -> None:
        """Renew the lease and reconcile the engine with the target until cancelled."""
        lease_task = asyncio.create_task(self._run_lease_renewal())
        try:
            while True:
                self._wake.clear()
                await self.step()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RETRY_INTERVAL_S):
                        await self._wake.wait()
        finally:
            lease_task.cancel()
            await asyncio.gather(lease_task, return_exceptions=True)

    async def close(self) -> None:
        """Release the switch slot and the lease; the engine keeps serving its version."""
        with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
            await self._slot.release()
        await self._lease.release()

    async def maintain_lease(self) -> None:
        """Renew or acquire the lease once; the lease is unchanged if the store is unavailable."""
        fence = self._lease.fence
        try:
            await self._lease.maintain()
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            self._reasons_by_topic["lease"] = f"the store is not reachable ({error})"
            return
        if self._lease.fence != fence:
            self._slot.mark_lost()
            self._wake.set()
        self._reasons_by_topic["lease"] = (
            "" if self._lease.fence else f"process {self._lease.holder} still owns the engine"
        )

    async def step(self) -> None:
        """Run one reconciliation step; any failure ends it and is recorded as a reason."""
        try:
            await self._step()
            return
        except LeaseNotValidError:
            self._reasons_by_topic["order"] = "the lease is not proved"
        except EngineUnreachableError as error:
            self._record_engine_failure(f"the engine is not reachable ({error})")
            self._set_served(None)
        except EngineAnswerLostError as error:
            self._record_engine_failure(f"the engine did not answer ({error})")
        except OrderRefusedError as error:
            _log.warning("load order refused", status=error.status, error=str(error))
            self._record_engine_failure(f"the engine refused the order ({error})")
            await self._release_slot_after_failure()
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            self._reasons_by_topic["order"] = f"the store is not reachable ({error})"
        except InvariantViolationError as error:
            _log.error("load order stopped by an invariant violation", error=str(error))
            self._record_engine_failure(str(error))
            await self._release_slot_after_failure()

    # Internals

    async def _run_lease_renewal(self) -> None:
        while True:
            await self.maintain_lease()
            pause_s = self._lease.renew_period_s if self._lease.is_valid else RETRY_INTERVAL_S
            await asyncio.sleep(min(pause_s, self._lease.renew_period_s))

    async def _step(self) -> None:
        target = self._target
        is_selected = target is not None and bool(target.version) and self._is_selected_replica()
        version = target.version if target is not None and is_selected else ""
        self._transfer.set_wanted_version(version, served=self._served_manifest)
        state = await self._read_state()
        if target is None or not version:
            return
        manifest = self._transfer.manifest
        if manifest is None:
            self._reasons_by_topic["transfer"] = self._transfer.reason
            return
        if self._served == _to_served_version(manifest) and self._adapters_match(target):
            self._reasons_by_topic.update(order="", transfer="")
            await self._slot.release()
            return
        # Chunks are content-addressed, so uploading them requires no ownership.
        await self._put_chunks(manifest, target)
        if self._target is not target or not self._transfer.is_done:
            self._reasons_by_topic["transfer"] = self._transfer.reason
            return
        if not manifest.indexes_by_digest.keys() <= (self._chunks_in_engine or set()):
            # The last chunks arrived during the upload of others.
            self._wake.set()
            return
        self._reasons_by_topic["transfer"] = ""
        if not self._lease.is_valid:
            raise LeaseNotValidError
        if not self._are_old_orders_expired():
            self._reasons_by_topic["order"] = "an order of the predecessor may still take effect"
            return
        if state.loading:
            self._reasons_by_topic["order"] = "the engine is loading"
            return
        if not await self._acquire_switch_slot():
            self._reasons_by_topic["order"] = "other replicas switch first"
            return
        await self._load(manifest, target.adapters)

    async def _read_state(self) -> EngineState:
        """Read the engine state and update ``served`` from it."""
        requested_at = self._clock.monotonic()
        state = await self._engine.read_state()
        if state.adapters is not None:
            self._adapters = state.adapters
        manifest = await self._find_reported_manifest(state)
        if state.loading or manifest is None or not self._are_old_orders_expired(for_reading=True):
            if self._served is not None and not state.loading and manifest is None:
                _log.warning("engine reports an unknown version or digest", version=state.version)
                self._chunks_in_engine = None
            self._set_served(None)
        else:
            self._confirmed_at = requested_at
            self._set_served(manifest)
        return state

    async def _find_reported_manifest(self, state: EngineState) -> Manifest | None:
        """Return the manifest that matches the reported version and digest, if any."""
        for manifest in (self._transfer.manifest, self._served_manifest):
            if manifest is not None and _to_served_version(manifest) == ServedVersion(
                state.version, state.digest
            ):
                return manifest
        now = self._clock.monotonic()
        if not state.version or now - self._manifest_requested_at < MANIFEST_LOOKUP_INTERVAL_S:
            return None
        # After a restart of this process the engine may still serve an earlier version than the
        # wanted one.
        self._manifest_requested_at = now
        manifest = await self._transfer.find_manifest(state.version)
        if manifest is not None and _to_served_version(manifest) == ServedVersion(
            state.version, state.digest
        ):
            return manifest
        return None

    def _are_old_orders_expired(self, *, for_reading: bool = False) -> bool:
        """Whether orders of a previous owner can no longer take effect.

        :param for_reading: whether the result is used only to trust a state that was read, for
            which the fencing check of the engine is sufficient.
        """
        if self._checks_fencing and for_reading:
            return True
        fence = self._lease.fence
        if not fence:
            # Without the lease, orders of other owners are unknown; a confirmed version stays in
            # use.
            return for_reading and self._old_orders_fence > 0
        if fence != self._old_orders_fence:
            self._old_orders_fence = fence
            wait_s = 0.0 if self._checks_fencing else self._order_timeout_s
            self._old_orders_expire_at = self._clock.monotonic() + wait_s
        return self._clock.monotonic() >= self._old_orders_expire_at

    async def _put_chunks(self, manifest: Manifest, target: ModelTargetLike) -> None:
        """Upload the chunks that are available locally and absent in the engine."""
        if self._chunks_in_engine is None:
            self._chunks_in_engine = set(await self._engine.list_chunks())
        state_read_at = self._clock.monotonic()
        for digest in manifest.indexes_by_digest:
            data = None if digest in self._chunks_in_engine else self._chunks.get(digest)
            if data is None:
                continue
            if self._target is not target:
                return
            await self._engine.put_chunk(digest, data)
            self._chunks_in_engine.add(digest)
            if self._clock.monotonic() - state_read_at >= STATE_POLL_INTERVAL_S:
                state_read_at = self._clock.monotonic()
                await self._read_state()

    async def _acquire_switch_slot(self) -> bool:
        """Acquire a switch slot; none is needed if the engine serves nothing to interrupt."""
        if self._served is None or self._slot.is_held:
            return True
        if self._clock.monotonic() < self._slot_backoff_until:
            return False
        records_in_zone = [r for r in self._hosts() if r.availability_zone == self._zone]
        return await self._slot.acquire(
            slots=max(1, len(records_in_zone) // 4), lease=self._lease.lease
        )

    async def _release_slot_after_failure(self) -> None:
        """Release the slot for other replicas and back off for the longest order time."""
        if not self._slot.is_held:
            return
        self._slot_backoff_until = self._clock.monotonic() + self._order_timeout_s
        with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
            await self._slot.release()

    def _record_engine_failure(self, reason: str) -> None:
        self._reasons_by_topic["order"] = reason
        self._chunks_in_engine = None

    async def _load(self, manifest: Manifest, adapters: tuple[str, ...]) -> None:
        order = LoadOrder(
            manifest.version, manifest.digest, manifest.chunks, adapters, self._lease.fence
        )
        check_invariant(
            "whole_version_ordered", self._chunks.is_complete(manifest), version=manifest.version
        )
        # Checked again directly before the order, because the chunk upload and the slot acquisition
        # take time.
        if not self._lease.is_valid:
            raise LeaseNotValidError
        # From here on the engine may respond from either version until it confirms one.
        self._set_served(None)
        _log.info("sending load order", version=order.version, fence=order.fence)
        version, digest = await self._engine.load(order)
        check_invariant(
            "confirmed_digest_matches",
            (version, digest) == (manifest.version, manifest.digest),
            ordered=manifest.digest,
            confirmed=digest,
        )
        self._adapters = adapters
        await self._read_state()
        if self._served is not None:
            self._reasons_by_topic["order"] = ""
        await self._slot.release()

    def _set_served(self, manifest: Manifest | None) -> None:
        served = None if manifest is None else _to_served_version(manifest)
        if manifest is not None:
            self._served_manifest = manifest
        if served == self._served:
            return
        self._served = served
        _log.info("served version", version=served.version if served else "")
        self._on_change()

    def _adapters_match(self, target: ModelTargetLike) -> bool:
        return (self._adapters or ()) == target.adapters

    def _is_selected_replica(self) -> bool:
        """Whether this host is one of the replicas that the table requests.

        Hosts are ranked by a hash of model and host, so all processes select the same ones.
        """
        if self._target is None or not self._target.replicas:
            return True
        ranked = sorted(
            {record.host for record in self._hosts()} | {self._host},
            key=lambda host: hashlib.sha256(f"{self._model}|{host}".encode()).digest(),
        )
        return self._host in ranked[: self._target.replicas]

    def _describe_replica_shortage(self) -> tuple[str, ...]:
        required_count = self._target.replicas if self._target is not None else 0
        available_count = len({record.host for record in self._hosts()} | {self._host})
        if required_count <= available_count:
            return ()
        return (
            f"{self._model} has {available_count} hosts for {required_count} replicas: "
            "not enough hosts.",
        )
