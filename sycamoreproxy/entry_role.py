"""The process of an entry host: its tasks, and how they start and stop."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import PeerStatus, Status
from sycamoreproxy.settings import Settings
from sycamoreproxy.store import StoreAnswerLostError, StoreUnavailableError
from sycamoreproxy.streams import MessageServer

if TYPE_CHECKING:
    from sycamoreproxy.admin_http import AdminServer
    from sycamoreproxy.caller_http import CallerServer
    from sycamoreproxy.claims import ClaimRegistry
    from sycamoreproxy.host_poller import HostPoller
    from sycamoreproxy.limits import FleetLimits
    from sycamoreproxy.membership import Membership
    from sycamoreproxy.peers import PeerHub
    from sycamoreproxy.store import Store
    from sycamoreproxy.table_sync import TableReplica
    from sycamoreproxy.task_group import BackgroundTasks

#: Time between two heartbeats to every peer, in seconds.
HEARTBEAT_S = 1.0
#: Longest wait at start for a table; without one the built-in defaults hold.
TABLE_WAIT_S = 5.0
#: Time between the moment that the process reports not ready and the end of its caller listener,
#: so that the platform's balancer has read the health page.
BALANCER_LAG_S = 1.0

#: Time between two reads of the root by an entry host that does not watch the store, in seconds.
#: It bounds the time to a new revision when both watchers of an availability zone are frozen and
#: the host list still names them; 370 entry hosts make 37 reads/s of the 2,000 that the store takes.
TABLE_POLL_S = 10.0

_log = get_logger("entry_role")


class EntryProcess:
    """Owns the tasks of an entry host.

    All parts are built by :mod:`sycamoreproxy.composition`.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        hub: PeerHub,
        peer_server: MessageServer,
        poller: HostPoller,
        membership: Membership,
        limits: FleetLimits,
        replica: TableReplica,
        callers: CallerServer,
        claims: ClaimRegistry,
        admin: AdminServer,
        store: Store,
        tasks: BackgroundTasks,
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._peer_server = peer_server
        self._poller = poller
        self._membership = membership
        self._limits = limits
        self._replica = replica
        self._callers = callers
        self._claims = claims
        self._admin = admin
        self._store = store
        self._tasks = tasks
        self._state = "starting"
        hub.on(Status, membership.record_status)
        hub.on(PeerStatus, membership.record_peer_status)
        hub.on_open(lambda peer: self._send_heartbeat())
        hub.on_close(membership.remove_peer)
        poller.subscribe(self._take_hosts)

    def explain_not_ready(self) -> str:
        """Return why the balancer should send no callers here, empty if it should."""
        if self._state != "ready":
            return self._state
        return "" if self._membership.has_host_list else "no host list was read yet"

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        listen = self._settings.listen
        self._peer_server.listen(listen.peer.port, listen.peer.ip)
        self._admin.listen(listen.admin)
        self._tasks.start("host list", self._poller.run)
        self._tasks.start("heartbeat", self._beat)
        self._tasks.start("table poll", self._poll_table)
        self._replica.start()
        if not await self._replica.wait_ready(TABLE_WAIT_S):
            _log.warning("no table was found", waited_s=TABLE_WAIT_S)
        if listen.caller is not None:
            self._callers.listen(listen.caller)
        self._state = "ready"

    async def drain(self) -> None:
        """Take no new callers and wait until every open request is answered."""
        self._state = "leaving"
        self._send_heartbeat()
        await asyncio.sleep(BALANCER_LAG_S)
        self._callers.leave()
        await self._callers.wait_idle()
        await self._callers.refuse_late_requests()

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        await self._callers.close()
        await self._claims.close()
        await self._tasks.close()
        await self._replica.close()
        self._peer_server.stop()
        await self._hub.close()
        await self._admin.close()
        self._store.close()

    async def _beat(self) -> None:
        while True:
            self._send_heartbeat()
            self._update_targets()
            self._limits.tick()
            await asyncio.sleep(HEARTBEAT_S)

    async def _poll_table(self) -> None:
        while True:
            await asyncio.sleep(TABLE_POLL_S * (0.9 + 0.2 * random.random()))
            if not self._replica.is_watching:
                with contextlib.suppress(StoreUnavailableError, StoreAnswerLostError):
                    await self._replica.refresh()

    def _send_heartbeat(self) -> None:
        view = self._replica.view
        state = "leaving" if self._state == "leaving" else "ready"
        self._hub.broadcast(PeerStatus(state, view.revision, view.digest))

    def _take_hosts(self, records: tuple[HostRecord, ...]) -> None:
        self._membership.replace_hosts(records)
        self._limits.replace_entry_hosts(
            {record.host: record.state for record in records if record.role == "entry"}
        )
        self._update_targets()

    def _update_targets(self) -> None:
        if self._membership.has_host_list:
            self._hub.set_targets(self._membership.choose_targets())
            self._replica.set_watching(self._membership.is_watcher())
