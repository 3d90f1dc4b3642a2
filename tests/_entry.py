"""An in-process entry host with scripted upstream processes on the loopback interface."""

from __future__ import annotations

import asyncio
import hashlib
import inspect
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

ACCOUNTS = tuple(
    ClientAccountSettings(name=name, key_sha256=(hashlib.sha256(key).hexdigest(),), ranks=ranks)
    for name, key, ranks in (
        ("kiosk", b"k1", ("urgent", "normal", "batch")),
        ("donors", b"k2", ("batch",)),
    )
)
MODEL = "sunflower-7b"
EVENT_STREAM = (("Content-Type", "text/event-stream"),)
EVENTS = [b'data: {"n": %d}\n\n' % number for number in range(3)]
DONE = b"data: [DONE]\n\n"
Script = Callable[["ScriptedUpstream", Peer, Submit], None]


def make_response_messages(attempt_id: str, parts: list[bytes], headers: Any = ()) -> list[Any]:
    """Return all messages of a complete response."""
    digest = hashlib.sha256(b"".join(parts)).hexdigest()
    return [
        Started(attempt_id),
        ResponseHead(attempt_id, 200, headers, "v1"),
        *[Output(attempt_id, number, part, 1) for number, part in enumerate(parts)],
        Finish(attempt_id, len(parts), digest, 5, len(parts), "v1"),
    ]


def send_response(peer: Peer, attempt_id: str, parts: list[bytes], headers: Any = ()) -> None:
    """Send all messages of a complete response."""
    for message in make_response_messages(attempt_id, parts, headers):
        peer.send(message)


def respond_plain(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
    """Send a complete response whose body identifies its request."""
    body = b"%b %b %b" % (upstream.host.encode(), submit.path.encode(), submit.body)
    send_response(peer, submit.attempt_id, [body])


def respond_stream(upstream: ScriptedUpstream, peer: Peer, submit: Submit) -> None:
    """Send a complete stream of events."""
    send_response(peer, submit.attempt_id, [*EVENTS, DONE], EVENT_STREAM)


class ScriptedUpstream:
    """An upstream process that handles each ``Submit`` with a script."""

    def __init__(self, host: str, *, kind: str, name: str, script: Script) -> None:
        self.host = host
        self.script = script
        self.is_frozen = False
        self.submits: list[Submit] = []
        self.cancels: list[str] = []
        self.status = Status("ready", kind, name, "v1", window=8)
        self.hub = PeerHub(hello=Hello(host, "p", "upstream", "z1", "r"), client_tls=None)
        self.hub.on_open(lambda peer: peer.send(self.status))
        self.hub.on(Submit, self._handle_submit)
        self.hub.on(Cancel, lambda peer, message: self.cancels.append(message.attempt_id))
        self.server = MessageServer(handle=self.hub.serve, tls=None)
        self.server.listen(0, "127.0.0.1")
        (port,) = self.server.ports
        peer, admin = Address("127.0.0.1", port), Address("127.0.0.1", 1)
        self.record = HostRecord(host, "upstream", "z1", "r", peer, admin, "live", kind, name)

    def _handle_submit(self, peer: Peer, submit: Submit) -> None:
        self.submits.append(submit)
        self.script(self, peer, submit)

    async def close(self) -> None:
        """Stop without notifying the peers."""
        self.server.stop()
        await self.hub.close()


class Entry:
    """The request path of an entry host, assembled from its components."""

    def __init__(
        self, *, deadline_ms: int = 5000, limits: CallerLimits | None = None, claims: Any = None
    ) -> None:
        clock = SystemClock()
        limit_cells = dict.fromkeys(
            ("concurrent_limit", "requests_per_minute", "tokens_per_minute"), 0
        )
        policy = SimpleNamespace(deadline_ms=deadline_ms, **limit_cells)
        view: Any = SimpleNamespace(resolve=lambda *row: policy, models=lambda: (MODEL,))
        self.hub = PeerHub(hello=Hello("e1", "p", "entry", "z1", "r"), client_tls=None)
        self.membership = Membership(host="e1", availability_zone="z1", clock=clock)
        self.links = UpstreamLinks(hub=self.hub)
        self.hub.on(Status, self.membership.record_status)
        self.hub.on_close(self.membership.remove_peer)
        self.budget = RetryBudget(clock=clock)
        router = Router(
            membership=self.membership, availability_zone="z1", clock=clock, rng=random.Random(7)
        )
        self.server = CallerServer(
            dispatcher=Dispatcher(
                links=self.links,
                router=router,
                budget=self.budget,
                get_view=lambda: view,
                claims=claims,
            ),
            membership=self.membership,
            get_view=lambda: view,
            accounts=ACCOUNTS,
            limits=limits or CallerLimits(),
            tls=None,
        )
        self.claims = claims
        self.port = self.server.listen(Address("127.0.0.1", 0))
        self.upstreams: list[ScriptedUpstream] = []
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=500)

    async def add(
        self, script: Script = respond_plain, *, service: str = "", count: int = 1
    ) -> list[ScriptedUpstream]:
        """Start upstream processes and wait until they accept requests."""
        kind, name = ("service", service) if service else ("engine", MODEL)
        for number in range(count):
            self.upstreams.append(
                ScriptedUpstream(f"u{number}", kind=kind, name=name, script=script)
            )
        self.membership.replace_hosts([upstream.record for upstream in self.upstreams])
        self.hub.set_targets(self.membership.choose_targets())
        states = self.membership.upstreams(kind, name)
        while not all(state.is_available(SystemClock().monotonic()) for state in states):
            await asyncio.sleep(0.005)
        return self.upstreams

    async def fetch(self, path: str, *, key: str = "k1", **options: Any) -> HTTPResponse:
        """Send a request as a caller."""
        headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}
        options = {"raise_error": False, "allow_nonstandard_methods": True, **options}
        url = f"http://127.0.0.1:{self.port}{path}"
        return await self.client.fetch(url, headers=headers, **options)

    async def send_heartbeats(self) -> None:
        """Send heartbeats in both directions until cancelled."""
        while True:
            self.hub.broadcast(PeerStatus("ready", 0, ""))
            for upstream in self.upstreams:
                if not upstream.is_frozen:
                    upstream.hub.broadcast(upstream.status)
            await asyncio.sleep(0.5)

    async def close(self) -> None:
        """Stop the entry host and its upstream processes."""
        await self.server.close()
        for upstream in self.upstreams:
            await upstream.close()
        await self.hub.close()
        if self.claims is not None:
            await self.claims.close()
        self.client.close()


def with_entry(**options: Any) -> Callable[[Callable[..., Awaitable[None]]], Callable[..., None]]:
    """Run a test with a new entry host as its first argument.

    :param options: arguments of :class:`Entry`; callables are called to get the value.
    """

    def decorate(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        async def run(**arguments: Any) -> None:
            entry = Entry(
                **{name: value() if callable(value) else value for name, value in options.items()}
            )
            heartbeats = asyncio.create_task(entry.send_heartbeats())
            try:
                # Only a safeguard against a test that hangs.
                await asyncio.wait_for(test(entry, **arguments), 60)
            finally:
                heartbeats.cancel()
                await entry.close()

        def run_test(**arguments: Any) -> None:
            asyncio.run(run(**arguments))

        run_test.__name__ = test.__name__
        parameters = list(inspect.signature(test).parameters.values())[1:]
        run_test.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        return run_test

    return decorate
