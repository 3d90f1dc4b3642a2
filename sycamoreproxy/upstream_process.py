"""The process beside an upstream: its tasks, and how they start and stop."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sycamoreproxy.logs import get_logger
from sycamoreproxy.messages import PeerStatus
from sycamoreproxy.settings import Settings
from sycamoreproxy.streams import MessageServer

if TYPE_CHECKING:
    from sycamoreproxy.admin_http import AdminServer
    from sycamoreproxy.engine_orders import EngineOwner
    from sycamoreproxy.host_poller import HostPoller
    from sycamoreproxy.peers import PeerHub
    from sycamoreproxy.store import Store
    from sycamoreproxy.table_queries import TableView
    from sycamoreproxy.table_sync import TableReplica
    from sycamoreproxy.task_group import BackgroundTasks
    from sycamoreproxy.upstream_role import UpstreamRole
    from sycamoreproxy.weight_transfer import WeightTransfer

#: Time between two heartbeats to peers that are no entry hosts, in seconds.
HEARTBEAT_S = 1.0
#: Longest wait at start for a table; it also arrives with the first entry host's stream.
TABLE_WAIT_S = 5.0
#: Longest wait at a stop for entry hosts that have not received their responses, and its steps, in
#: seconds. The stream of an entry host that is silent ends sooner.
ACKNOWLEDGE_TIMEOUT_S = 30.0
ACKNOWLEDGE_POLL_S = 0.02

_log = get_logger("upstream_process")


class UpstreamProcess:
    """Owns the tasks of the process beside an engine or service.

    All parts are built by :mod:`sycamoreproxy.composition`.

    :param owner: orders to the engine; None beside a service.
    :param transfer: weights for the engine; None beside a service.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        hub: PeerHub,
        peer_server: MessageServer,
        poller: HostPoller,
        replica: TableReplica,
        role: UpstreamRole,
        owner: EngineOwner | None,
        transfer: WeightTransfer | None,
        admin: AdminServer,
        store: Store,
        tasks: BackgroundTasks,
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._peer_server = peer_server
        self._poller = poller
        self._replica = replica
        self._role = role
        self._owner = owner
        self._transfer = transfer
        self._admin = admin
        self._store = store
        self._tasks = tasks
        replica.subscribe(self._take_table)

    def explain_not_ready(self) -> str:
        """Return why the process takes no work, empty if it does."""
        return "" if self._role.state == "ready" else self._role.state

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        listen = self._settings.listen
        self._peer_server.listen(listen.peer.port, listen.peer.ip)
        self._admin.listen(listen.admin)
        self._tasks.start("host list", self._poller.run)
        self._tasks.start("heartbeat", self._beat)
        self._replica.start()
        self._role.start()
        if not await self._replica.wait_ready(TABLE_WAIT_S):
            _log.warning("no table was found", waited_s=TABLE_WAIT_S)
        if self._owner is not None and self._transfer is not None:
            self._tasks.start("weights", self._transfer.run)
            self._tasks.start("engine orders", self._owner.run)

    async def drain(self) -> None:
        """Take no new work and wait until all accepted work is finished and received."""
        await self._role.leave()
        give_up_at = time.monotonic() + ACKNOWLEDGE_TIMEOUT_S
        while (hosts := self._list_receiving_hosts()) and time.monotonic() < give_up_at:
            await asyncio.sleep(ACKNOWLEDGE_POLL_S)
        if hosts:
            _log.warning("responses not received at the end of a stop", hosts=hosts)

    async def close(self) -> None:
        """Stop all tasks, release the engine and close all sockets."""
        await self._role.close()
        await self._tasks.close()
        if self._owner is not None:
            await self._owner.close()
        await self._replica.close()
        self._peer_server.stop()
        await self._hub.close()
        await self._admin.close()
        self._store.close()

    def _list_receiving_hosts(self) -> list[str]:
        """Return the entry hosts that have not received all that was sent to them."""
        peers = self._hub.list_peers(role="entry")
        return [peer.hello.host for peer in peers if not peer.is_acknowledged]

    async def _beat(self) -> None:
        while True:
            view = self._replica.view
            state = "leaving" if self._role.state == "leaving" else "ready"
            beat = PeerStatus(state, view.revision, view.digest)
            self._hub.broadcast(beat, role="upstream")
            self._hub.broadcast(beat, role="admin")
            await asyncio.sleep(HEARTBEAT_S)

    def _take_table(self, view: TableView) -> None:
        if self._owner is not None and self._settings.upstream is not None:
            self._owner.set_target(view.target(self._settings.upstream.name))
