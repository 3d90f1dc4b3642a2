"""Ownership of an engine, fencing tokens, load orders and the rolling switch of versions."""

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

#: Part of the lease time that is not used for orders: covers drift of the monotonic clocks and
#: the time that an order takes from the check to the socket.
LEASE_MARGIN_FRACTION = 0.2
#: Renewals in one lease time.
RENEWALS_PER_TTL = 3
#: Time between two looks at the engine while chunks are put into it, in seconds.
STATE_PERIOD_S = 1.0
#: Pause between two steps, in seconds.
RETRY_S = 0.5
#: Age of the engine's last confirmation after which it does not count any more, in seconds. A
#: process that was paused may have been replaced, and its successor may have switched the engine.
CONFIRMATION_MAX_AGE_S = 5.0
#: Time between two questions for the manifest of a version that only the engine holds, in seconds.
MANIFEST_PERIOD_S = 5.0

_log = get_logger("engine_orders")


class LeaseNotProvedError(Exception):
    """The lease may have expired, so nothing may be ordered."""


@dataclass(frozen=True, slots=True)
class ServedVersion:
    """The version and digest that the engine confirmed."""

    version: str
    digest: str


class ModelTargetLike(Protocol):
    """The part of ``table.ModelTarget`` that is used here."""

    @property
    def version(self) -> str:
        """Version that the model's engines should serve."""

    @property
    def adapters(self) -> tuple[str, ...]:
        """Adapters that they should load with it."""

    @property
    def replicas(self) -> int:
        """Number of engines that should serve it; 0 is all."""


class Transfer(Protocol):
    """The part of ``weight_transfer.WeightTransfer`` that is used here."""

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the wanted version, once it was read."""

    @property
    def is_done(self) -> bool:
        """Whether every chunk of the wanted version is held."""

    @property
    def reason(self) -> str:
        """Why it is not done."""

    def set_wanted_version(self, version: str, *, served: Manifest | None = None) -> None:
        """Fetch this version."""

    async def find_manifest(self, version: str) -> Manifest | None:
        """Return the manifest of any version, or None if it can't be read now."""


def _name(manifest: Manifest) -> ServedVersion:
    return ServedVersion(manifest.version, manifest.digest)


class OwnershipLease:
    """The store lease under which one process may order an engine.

    The key's create revision is the fencing token. The lease counts as proved only while the
    time since the last confirmed renewal was *sent* is below the lease time less a margin, by
    the monotonic clock: a process that was paused finds it not proved.

    :param key: ``PREFIX/engine/UPSTREAM``.
    :param process_id: random text per start; tells this process from its predecessor.
    :param ttl_s: lease time in seconds.
    """

    def __init__(
        self, *, store: Store, clock: Clock, key: str, process_id: str, ttl_s: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._value = process_id.encode()
        self._ttl_s = max(1, round(ttl_s))
        self._proved_until = 0.0
        self.lease = 0
        self.fence = 0
        self.holder = ""

    @property
    def is_proved(self) -> bool:
        """Whether an order may be sent now."""
        return self.fence > 0 and self._clock.monotonic() < self._proved_until

    @property
    def renew_period_s(self) -> float:
        """Time between two calls of :meth:`maintain`, in seconds."""
        return self._ttl_s / RENEWALS_PER_TTL

    async def maintain(self) -> None:
        """Renew the lease, or acquire it when it is lost and no other process holds the key.

        :raises StoreUnavailableError: if the store did not take the call.
        :raises StoreAnswerLostError: if its answer was lost.
        """
        sent_at = self._clock.monotonic()
        if self.lease and await self._store.renew_lease(self.lease):
            if self.fence:
                self._prove(sent_at)
                return
        else:
            self.fence = 0
            self.lease = 0
            sent_at = self._clock.monotonic()
            self.lease = await self._store.grant_lease(self._ttl_s)
        await self._acquire(sent_at)

    async def release(self) -> None:
        """End the lease so that a successor need not wait for its expiry."""
        lease, self.lease, self.fence, self._proved_until = self.lease, 0, 0, 0.0
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
        # A write whose answer was lost shows as a key with this process's own value and lease.
        if isinstance(entry, Entry) and entry.value == self._value and entry.lease == self.lease:
            self.fence = entry.create_revision
            self.holder = ""
            self._prove(sent_at)
            _log.info("engine owned", key=self._key, fence=self.fence)
        else:
            self.holder = entry.value.decode(errors="replace") if isinstance(entry, Entry) else "?"

    def _prove(self, sent_at: float) -> None:
        self._proved_until = sent_at + self._ttl_s * (1 - LEASE_MARGIN_FRACTION)


class SwitchSlot:
    """One of the slots that bound how many replicas switch their version at once.

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
        """Whether a slot was taken; it is lost with the lease."""
        return bool(self._key)

    async def take(self, *, slots: int, lease: int) -> bool:
        """Try each slot once; the first tried depends on the process, to spread the attempts."""
        first = int.from_bytes(hashlib.sha256(self._value).digest()[:4], "big")
        for step in range(slots):
            key = f"{self._prefix}/{(first + step) % slots}"
            result = await self._store.transact(
                Txn((Compare(key, 0),), (Put(key, self._value, lease),), (Get(key),))
            )
            entry = result.results[0] if not result.succeeded else None
            own = isinstance(entry, Entry) and entry.value == self._value and entry.lease == lease
            if result.succeeded or own:
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

    def forget(self) -> None:
        """Take note that the lease, and the slot with it, is lost."""
        self._key = ""


class EngineOwner:
    """Brings the engine to the version that the table asks for.

    :meth:`run` must be running. ``served`` is None whenever it is not certain that the engine
    holds exactly one whole, confirmed version.

    :param host: this host; its availability zone is that of its record in ``hosts``.
    :param hosts: returns the hosts of all regions that have an engine of this model.
    :param checks_fencing: whether the engine refuses an order with an old fencing token. If not,
        a new owner waits ``order_timeout_s``, the longest time that an order of its predecessor
        can take effect, and reads back what the engine holds.
    :param on_change: called after ``served`` changed.
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
        self._manifest_asked_at = -MANIFEST_PERIOD_S
        self._slot_refused_until = 0.0
        self._settled_fence = 0
        self._settled_at = 0.0
        self._reasons_by_topic: dict[str, str] = {}
        self._wake = asyncio.Event()

    # Queries

    @property
    def served(self) -> ServedVersion | None:
        """The version that answers may come from, or None."""
        age_s = self._clock.monotonic() - self._confirmed_at
        return self._served if age_s <= CONFIRMATION_MAX_AGE_S else None

    @property
    def is_owner(self) -> bool:
        """Whether the lease is proved now."""
        return self._lease.is_proved

    @property
    def unmet(self) -> tuple[str, ...]:
        """What the table asks for and the engine does not do, each a sentence with the reason."""
        target = self._target
        if target is None or not target.version or not self._is_chosen():
            return self._describe_shortage()
        version = self.served.version if self.served is not None else ""
        if version == target.version and self._adapters_match(target):
            return self._describe_shortage()
        reasons = "; ".join(reason for reason in self._reasons_by_topic.values() if reason)
        return (
            f"{self._host} does not serve version {target.version} of {self._model}: "
            f"{reasons or 'the order has not been given yet'}.",
            *self._describe_shortage(),
        )

    # Commands

    def set_target(self, target: ModelTargetLike | None) -> None:
        """Take the model's target from the table in force."""
        self._target = target
        self._wake.set()

    def wake(self) -> None:
        """Look at the transfer, the host list and the engine soon."""
        self._wake.set()

    async def run(self) -> None:
        """Keep the lease and bring the engine to the target, until cancelled."""
        keeper = asyncio.create_task(self._keep_lease())
        try:
            while True:
                self._wake.clear()
                await self.step()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RETRY_S):
                        await self._wake.wait()
        finally:
            keeper.cancel()
            await asyncio.gather(keeper, return_exceptions=True)

    async def close(self) -> None:
        """Release the lease; the engine keeps what it serves."""
        with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
            await self._slot.release()
        await self._lease.release()

    async def maintain_lease(self) -> None:
        """Renew or acquire the lease once; a store that is down leaves it as it is."""
        fence = self._lease.fence
        try:
            await self._lease.maintain()
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            self._reasons_by_topic["lease"] = f"the store is not reachable ({error})"
            return
        if self._lease.fence != fence:
            self._slot.forget()
            self._wake.set()
        self._reasons_by_topic["lease"] = (
            "" if self._lease.fence else f"process {self._lease.holder} still owns the engine"
        )

    async def step(self) -> None:
        """Do what brings the engine closer to the target now; each failure ends the step."""
        try:
            await self._step()
            return
        except LeaseNotProvedError:
            self._reasons_by_topic["order"] = "the lease is not proved"
        except EngineUnreachableError as error:
            self._forget_engine(f"the engine is not reachable ({error})")
            self._set_served(None)
        except EngineAnswerLostError as error:
            self._forget_engine(f"the engine did not answer ({error})")
        except OrderRefusedError as error:
            _log.warning("order refused", status=error.status, error=str(error))
            self._forget_engine(f"the engine refused the order ({error})")
            await self._give_up_slot()
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            self._reasons_by_topic["order"] = f"the store is not reachable ({error})"
        except InvariantViolationError as error:
            _log.error("order stopped", error=str(error))
            self._forget_engine(str(error))
            await self._give_up_slot()

    # Private parts

    async def _keep_lease(self) -> None:
        while True:
            await self.maintain_lease()
            pause = self._lease.renew_period_s if self._lease.is_proved else RETRY_S
            await asyncio.sleep(min(pause, self._lease.renew_period_s))

    async def _step(self) -> None:
        target = self._target
        chosen = target is not None and bool(target.version) and self._is_chosen()
        version = target.version if target is not None and chosen else ""
        self._transfer.set_wanted_version(version, served=self._served_manifest)
        state = await self._read_state()
        if target is None or not version:
            return
        manifest = self._transfer.manifest
        if manifest is None:
            self._reasons_by_topic["transfer"] = self._transfer.reason
            return
        if self._served == _name(manifest) and self._adapters_match(target):
            self._reasons_by_topic.update(order="", transfer="")
            await self._slot.release()
            return
        # Chunks are named by their content, so putting them needs no ownership.
        await self._put_chunks(manifest, target)
        if self._target is not target or not self._transfer.is_done:
            self._reasons_by_topic["transfer"] = self._transfer.reason
            return
        if not manifest.indexes_by_digest.keys() <= (self._chunks_in_engine or set()):
            # The last chunks arrived while others were put.
            self._wake.set()
            return
        self._reasons_by_topic["transfer"] = ""
        if not self._lease.is_proved:
            raise LeaseNotProvedError
        if not self._is_settled():
            self._reasons_by_topic["order"] = "an order of the predecessor may still take effect"
            return
        if state.loading:
            self._reasons_by_topic["order"] = "the engine is loading"
            return
        if not await self._take_turn():
            self._reasons_by_topic["order"] = "other replicas switch first"
            return
        await self._load(manifest, target.adapters)

    async def _read_state(self) -> EngineState:
        """Read what the engine reports of itself and set ``served`` by it."""
        asked_at = self._clock.monotonic()
        state = await self._engine.read_state()
        if state.adapters is not None:
            self._adapters = state.adapters
        manifest = await self._find_confirmed(state)
        if state.loading or manifest is None or not self._is_settled(reading=True):
            if self._served is not None and not state.loading and manifest is None:
                _log.warning("engine holds another version", version=state.version)
                self._chunks_in_engine = None
            self._set_served(None)
        else:
            self._confirmed_at = asked_at
            self._set_served(manifest)
        return state

    async def _find_confirmed(self, state: EngineState) -> Manifest | None:
        """Return the manifest whose version and digest the engine reports, if any."""
        for manifest in (self._transfer.manifest, self._served_manifest):
            if manifest is not None and _name(manifest) == ServedVersion(
                state.version, state.digest
            ):
                return manifest
        now = self._clock.monotonic()
        if not state.version or now - self._manifest_asked_at < MANIFEST_PERIOD_S:
            return None
        # A new process finds an engine that serves the version before the one wanted now.
        self._manifest_asked_at = now
        manifest = await self._transfer.find_manifest(state.version)
        if manifest is not None and _name(manifest) == ServedVersion(state.version, state.digest):
            return manifest
        return None

    def _is_settled(self, *, reading: bool = False) -> bool:
        """Whether no order of a predecessor can take effect any more.

        :param reading: whether only a state that was read is to be trusted, for which the
            fencing check of the engine is enough.
        """
        if self._checks_fencing and reading:
            return True
        fence = self._lease.fence
        if not fence:
            # Without the lease nobody's orders are known; what was confirmed stays in use.
            return reading and self._settled_fence > 0
        if fence != self._settled_fence:
            self._settled_fence = fence
            wait_s = 0.0 if self._checks_fencing else self._order_timeout_s
            self._settled_at = self._clock.monotonic() + wait_s
        return self._clock.monotonic() >= self._settled_at

    async def _put_chunks(self, manifest: Manifest, target: ModelTargetLike) -> None:
        """Put every chunk into the engine that is held here and not there."""
        if self._chunks_in_engine is None:
            self._chunks_in_engine = set(await self._engine.list_chunks())
        looked_at = self._clock.monotonic()
        for digest in manifest.indexes_by_digest:
            data = None if digest in self._chunks_in_engine else self._chunks.get(digest)
            if data is None:
                continue
            if self._target is not target:
                return
            await self._engine.put_chunk(digest, data)
            self._chunks_in_engine.add(digest)
            if self._clock.monotonic() - looked_at >= STATE_PERIOD_S:
                looked_at = self._clock.monotonic()
                await self._read_state()

    async def _take_turn(self) -> bool:
        """Take a switch slot, unless the engine serves nothing and has nothing to lose."""
        if self._served is None or self._slot.is_held:
            return True
        if self._clock.monotonic() < self._slot_refused_until:
            return False
        here = [r for r in self._hosts() if r.availability_zone == self._zone]
        return await self._slot.take(slots=max(1, len(here) // 4), lease=self._lease.lease)

    async def _give_up_slot(self) -> None:
        """Let other replicas switch after an order failed, and try again after them."""
        if not self._slot.is_held:
            return
        self._slot_refused_until = self._clock.monotonic() + self._order_timeout_s
        with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
            await self._slot.release()

    def _forget_engine(self, reason: str) -> None:
        self._reasons_by_topic["order"] = reason
        self._chunks_in_engine = None

    async def _load(self, manifest: Manifest, adapters: tuple[str, ...]) -> None:
        order = LoadOrder(
            manifest.version, manifest.digest, manifest.chunks, adapters, self._lease.fence
        )
        check_invariant(
            "whole_version_ordered", self._chunks.is_complete(manifest), version=manifest.version
        )
        # The last check stands directly before the order: putting chunks and taking a slot wait.
        if not self._lease.is_proved:
            raise LeaseNotProvedError
        # From here on the engine may answer from either version until it confirms one.
        self._set_served(None)
        _log.info("load ordered", version=order.version, fence=order.fence)
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
        served = None if manifest is None else _name(manifest)
        if manifest is not None:
            self._served_manifest = manifest
        if served == self._served:
            return
        self._served = served
        _log.info("served version", version=served.version if served else "")
        self._on_change()

    def _adapters_match(self, target: ModelTargetLike) -> bool:
        return (self._adapters or ()) == target.adapters

    def _is_chosen(self) -> bool:
        """Whether this host is among the replicas that the table asks for."""
        if self._target is None or not self._target.replicas:
            return True
        ranked = sorted(
            {record.host for record in self._hosts()} | {self._host},
            key=lambda host: hashlib.sha256(f"{self._model}|{host}".encode()).digest(),
        )
        return self._host in ranked[: self._target.replicas]

    def _describe_shortage(self) -> tuple[str, ...]:
        wanted = self._target.replicas if self._target is not None else 0
        present = len({record.host for record in self._hosts()} | {self._host})
        if wanted <= present:
            return ()
        return (f"{self._model} has {present} hosts for {wanted} replicas: not enough hosts.",)
