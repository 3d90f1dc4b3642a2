"""An entry host in this process with scripted upstream processes on loopback."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sycamoreproxy.caller_http import CallerServer
from sycamoreproxy.clock import SystemClock
from sycamoreproxy.dispatch import Dispatcher
from sycamoreproxy.host_list import HostRecord
from sycamoreproxy.membership import Membership
from sycamoreproxy.messages import (
    Cancel,
    Finish,
    Hello,
    Output,
    PeerStatus,
    ResponseHead,
    Started,
    Status,
    Submit,
)
from sycamoreproxy.peers import Peer, PeerHub
from sycamoreproxy.retries import RetryBudget
from sycamoreproxy.routing import Router
from sycamoreproxy.settings import CallerLimits, ClientAccountSettings
from sycamoreproxy.streams import Address, MessageServer
from sycamoreproxy.upstream_links import UpstreamLinks

ACCOUNTS = (
    ClientAccountSettings(name="kiosk", key_sha256=(hashlib.sha256(b"k1").hexdigest(),)),
    ClientAccountSettings(
        name="donors", key_sha256=(hashlib.sha256(b"k2").hexdigest(),), ranks=("batch",)
    ),
)
MODEL = "sunflower-7b"
EVENTS = [b'data: {"n": %d}\n\n' % number for number in range(3)]
Script = Callable[["ScriptedUpstream", Peer, Submit], None]


def answer_plain(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
    """Send a whole answer that names its request."""
    body = b"%b %b %b" % (upstream.host.encode(), submit.path.encode(), submit.body)
    headers = (("Content-Type", "text/plain"),)
    send_answer(peer, submit.attempt_id, [body], headers)


def answer_stream(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
    """Send a whole stream of events."""
    send_answer(peer, submit.attempt_id, [*EVENTS, b"data: [DONE]\n\n"], EVENT_STREAM)


EVENT_STREAM = (("Content-Type", "text/event-stream"),)


def send_answer(
    peer: Peer, attempt_id: str, parts: list[bytes], headers: tuple[tuple[str, str], ...]
) -> None:
    """Send every message of a whole answer."""
    peer.send(Started(attempt_id))
    peer.send(ResponseHead(attempt_id, 200, headers, "v1"))
    for number, part in enumerate(parts):
        peer.send(Output(attempt_id, number, part, 1))
    digest = hashlib.sha256(b"".join(parts)).hexdigest()
    peer.send(Finish(attempt_id, len(parts), digest, 5, len(parts), "v1"))


class ScriptedUpstream:
    """An upstream process whose answer to ``Submit`` is a script."""

    def __init__(self, host: str, *, kind: str, name: str, zone: str, script: Script) -> None:
        self.host = host
        self.script = script
        self.submits: list[Submit] = []
        self.cancels: list[str] = []
        self.status = Status("ready", kind, name, "v1", window=8)
        hello = Hello(host, f"p-{host}", "upstream", zone, "r")
        self.hub = PeerHub(hello=hello, client_tls=None)
        self.hub.on_open(lambda peer: peer.send(self.status))
        self.hub.on(Submit, self._take)
        self.hub.on(Cancel, lambda peer, message: self.cancels.append(message.attempt_id))
        self.server = MessageServer(handle=self.hub.serve, tls=None)
        self.server.listen(0, "127.0.0.1")
        port = next(iter(self.server._sockets.values())).getsockname()[1]
        self.record = HostRecord(
            host=host,
            role="upstream",
            availability_zone=zone,
            region="r",
            peer=Address("127.0.0.1", port),
            admin=Address("127.0.0.1", 1),
            kind=kind,
            name=name,
        )

    def _take(self, peer: Peer, submit: Submit) -> None:
        self.submits.append(submit)
        self.script(self, peer, submit)

    def beat(self, **changes: Any) -> None:
        """Send a status to every entry host."""
        import dataclasses

        self.status = dataclasses.replace(self.status, **changes)
        self.hub.broadcast(self.status)

    async def close(self) -> None:
        """Stop without a word."""
        self.server.stop()
        await self.hub.close()


class Entry:
    """The request path of an entry host, wired by hand."""

    def __init__(
        self,
        *,
        deadline_ms: int = 5000,
        limits: CallerLimits | None = None,
        claims: Any = None,
    ) -> None:
        clock = SystemClock()
        self.policy = SimpleNamespace(
            weight=1.0,
            share=0.0,
            concurrent_limit=0,
            requests_per_minute=0,
            tokens_per_minute=0,
            deadline_ms=deadline_ms,
        )
        view: Any = SimpleNamespace(resolve=lambda *key: self.policy, models=lambda: (MODEL,))
        self.hub = PeerHub(hello=Hello("e1", "p", "entry", "z1", "r"), client_tls=None)
        self.membership = Membership(host="e1", availability_zone="z1", clock=clock)
        self.links = UpstreamLinks(hub=self.hub)
        self.hub.on(Status, self.membership.take_status)
        self.hub.on_close(self.membership.remove_peer)
        self.router = Router(
            membership=self.membership,
            availability_zone="z1",
            clock=clock,
            rng=random.Random(7),
        )
        self.dispatcher = Dispatcher(
            links=self.links,
            router=self.router,
            budget=RetryBudget(clock=clock),
            get_view=lambda: view,
            claims=claims,
        )
        self.server = CallerServer(
            dispatcher=self.dispatcher,
            membership=self.membership,
            get_view=lambda: view,
            accounts=ACCOUNTS,
            limits=limits or CallerLimits(),
            tls=None,
        )
        self.port = self.server.listen(Address("127.0.0.1", 0))
        self.upstreams: list[ScriptedUpstream] = []
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=500)

    async def add(
        self,
        script: Script = answer_plain,
        *,
        kind: str = "engine",
        name: str = MODEL,
        zone: str = "z1",
        count: int = 1,
    ) -> list[ScriptedUpstream]:
        """Start upstream processes and wait until they are ready for work."""
        added = [
            ScriptedUpstream(
                f"u{len(self.upstreams) + number}", kind=kind, name=name, zone=zone, script=script
            )
            for number in range(count)
        ]
        self.upstreams += added
        self.membership.replace_hosts([upstream.record for upstream in self.upstreams])
        self.hub.set_targets(self.membership.choose_targets())
        while not all(
            state.takes_work(SystemClock().monotonic())
            for state in self.membership.upstreams(kind, name)
        ):
            await asyncio.sleep(0.005)
        return added

    async def fetch(self, path: str, *, key: str = "k1", **options: Any) -> HTTPResponse:
        """Send a caller's request."""
        headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}
        return await self.client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            headers=headers,
            raise_error=False,
            allow_nonstandard_methods=True,
            **options,
        )

    async def close(self) -> None:
        """Stop everything."""
        await self.server.close()
        for upstream in self.upstreams:
            await upstream.close()
        await self.hub.close()
        self.client.close()


def run_with_entry(action: Callable[[Entry], Awaitable[None]], **options: Any) -> None:
    """Run an action with a fresh entry host; heartbeats are sent meanwhile."""

    async def run() -> None:
        entry = Entry(**options)

        async def beat() -> None:
            while True:
                entry.hub.broadcast(PeerStatus("ready", 0, ""))
                for upstream in entry.upstreams:
                    upstream.beat()
                await asyncio.sleep(0.5)

        task = asyncio.create_task(beat())
        try:
            await asyncio.wait_for(action(entry), 15)
        finally:
            task.cancel()
            await entry.close()

    asyncio.run(run())
