"""A routed deployment on loopback: real processes, the platform's stand-in, and relays between them.

Every host has an address of its own below 127.0.0.0/8, so that ports are the same on all hosts.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import os
import signal
import sys
import time
from asyncio.subprocess import Process
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tornado.web
from tornado.httpserver import HTTPServer

from bench.relay import Relay
from bench.soak_idle_limits import IdleLimits, LimitHistory
from standins._server import Faults
from standins.platform import (
    PlatformRunner,
    PlatformStore,
    make_configuration,
    make_origin_routes,
    make_route,
    make_runner_routes,
    make_store_routes,
)
from tools.addresses import reserve_address

#: Ports, the same on every host.
CALLER_PORT = 8080
READY_PORT = 8081
RUNNER_PORT = 8380
RELAYED_PEER_PORT = 7000
PEER_PORT = 7001
STATE_PORT = 7002
STORE_PORT = 2379
ORIGIN_PORT = 8390
#: Range of the second part of the addresses, 127.20.0.0 to 127.219.255.255.
FIRST_OCTET, OCTETS = 20, 200
#: Bounds of the deployment, as on the users' sites, in seconds; theirs on versions is 8 s, of which a
#: run of 14 s of faults would seldom have a whole one without a fault of the store.
STOP_S = 8.0
LEAVE_S = 2.0
CONFIG_S = 2.0
EVACUATE_S = 5.0
VERSION_S = 6.0
#: Time after a fault in which bounds on time don't hold, in seconds.
CONTACT_S = 3.0
#: Time that a process may take to start on a busy machine, in seconds; callers don't see it.
START_S = 2.0
#: Time limit of the routes of the stand-in, in seconds, but for the one to long streams.
TIMEOUT_S = 2.0
#: Time limit of the route to long streams in the first configuration, and of their callers. It is
#: longer than a stop, so that only an end of the host or a lowered limit cuts a stream.
LONG_TIMEOUT_S = 9.0
#: Idle limit of callers' connections in the first configuration, in seconds.
IDLE_LIMIT_S = 15.0
ZONES = ("z1", "z2")
REGION_BY_ZONE = {"z1": "r1", "z2": "r2"}
#: Slots of an engine: as few as leave room for the least urgent, so that engines queue when they are slow.
ENGINE_SLOTS = 3
MODEL = "m1"
KEY = "office-key"
#: Routes to the engines and their priority, 0 the most urgent.
PRIORITY_BY_GENERATION = {"ask": 0, "long": 1, "draft": 2}
#: Events of a long stream. An engine that is as fast as its profile sends them in 0.4 s.
LONG_EVENTS = 80

ENGINE = {
    "slots": ENGINE_SLOTS,
    "step_ms": 1.0,
    "read_per_s": 100_000.0,
    "stride": 5,
    "usual": {"prompt": 100, "answer": 20},
    "models": [{"name": MODEL}],
    "chunks": 8,
    "chunk_bytes": 1024,
}

_SETTINGS = """
[process]
role = "{role}"
host = "{host}"
availability_zone = "{zone}"
region = "{region}"

[listen]
ip = "{ip}"
peer_port = {peer_port}
state_port = {state_port}
{callers}
[store]
address = "{store}"

[bounds]
leave_ms = {leave_ms}
stop_s = {stop_s}
resend_ratio = 0.2
resend_slack = 104
resend_window_s = 10
version_ms = {version_ms}
evacuate_ms = {evacuate_ms}

[zones]
{zones}

[log]
level = "info"
{engine}"""


@dataclass(slots=True, kw_only=True)
class FaultSpans:
    """Faults of one part.

    :param fault_spans: spans of monotonic time in which bounds on time don't hold for it.
    """

    fault_spans: list[tuple[float, float]] = field(default_factory=list)

    def note_fault(self, for_s: float) -> None:
        """Note a fault that begins now and lasts ``for_s`` seconds; ``CONTACT_S`` is added."""
        now = time.monotonic()
        self.fault_spans.append((now, now + for_s + CONTACT_S))

    def had_fault(self, start: float, end: float) -> bool:
        """Return whether a fault fell into a span of monotonic time."""
        return any(begin <= end and start <= until for begin, until in self.fault_spans)

    def longest_calm_s(self, start: float, end: float) -> float:
        """Return the longest time without a fault in a span of monotonic time, in seconds."""
        longest = 0.0
        for begin, until in sorted(self.fault_spans):
            longest = max(longest, min(begin, end) - start)
            start = max(start, until)
        return max(longest, end - start)


@dataclass(slots=True, kw_only=True)
class Host(FaultSpans):
    """One host with its process, which is started again after each end.

    :param store: relay between the process and the store.
    :param peers: relay before the process's streams, on hosts of engines.
    :param handle: file descriptor of the process, while it runs.
    :param lifetime: number of starts.
    :param pauses: times in which its process did not run.
    :param killed_at: time of the kill by lifetime.
    :param stopped_at: time of the first SIGTERM by lifetime.
    :param bad_exits: ends that nothing had asked for, in words.
    """

    name: str
    ip: str
    settings: Path
    log: Path
    store: Relay
    peers: Relay | None = None
    process: Process | None = None
    handle: int | None = None
    lifetime: int = 0
    restart_after_s: float = 0.1
    pauses: FaultSpans = field(default_factory=FaultSpans)
    killed_at: dict[int, float] = field(default_factory=dict)
    stopped_at: dict[int, float] = field(default_factory=dict)
    bad_exits: list[str] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to end."""
        return self.lifetime in self.stopped_at or self.lifetime in self.killed_at

    def stop(self) -> None:
        """Tell the process to end in order."""
        self.stopped_at.setdefault(self.lifetime, time.monotonic())
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self.killed_at.setdefault(self.lifetime, time.monotonic())
        self.note_fault(self.restart_after_s)
        self.send_signal(signal.SIGKILL)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs.

        Not by asyncio: it looks whether the process has ended, and then its status is lost (255).
        """
        if self.handle is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.handle, number)

    def release(self) -> None:
        """Close the file descriptor of a process that has ended."""
        if self.handle is not None:
            os.close(self.handle)
        self.handle = None


@dataclass(slots=True, kw_only=True)
class Upstream(FaultSpans):
    """A runner of the stand-in and the relay before it; its faults are those of the paths to it.

    :param answer_faults: times in which it or its end may break off answers.
    """

    runner: PlatformRunner
    service: str
    zone: str
    address: str
    faults: Faults
    relay: Relay
    answer_faults: FaultSpans = field(default_factory=FaultSpans)
    draining_since: float = 0.0
    #: From when on its answers say that it leaves; the store does not.
    says_leaving_since: float = math.inf
    #: Spans of monotonic time in which its answers named a limit, and the limits.
    limits: list[tuple[float, float, float]] = field(default_factory=list)


class Site:
    """Hosts, upstreams, store and origin of one run.

    Addresses are ``127.OCTET.GROUP.NUMBER``: groups 1 and 2 are hosts (2 with the relays before their
    runners), 3 the runners themselves, 9 store and origin; 1x is the relay of host x to the store.
    The octet is one that no other deployment uses; :meth:`reserve_addresses` chooses it.

    :param directory: where settings and logs are written.
    """

    def __init__(self, *, directory: Path, entries: int, engines: int) -> None:
        self._octet = 0
        self._reserved = contextlib.ExitStack()
        self._directory = directory
        self._counts = (entries, engines)
        self.store = PlatformStore()
        self.store_faults = Faults(seed=0)
        self.store_spans = FaultSpans()
        self.restore_lock = asyncio.Lock()
        self.evacuation_lock = asyncio.Lock()
        self.region_lock = asyncio.Lock()
        self.origin_faults = Faults(seed=0)
        self.origin_outages = 0
        self.entries: list[Host] = []
        self.engine_hosts: list[Host] = []
        self.upstreams: list[Upstream] = []
        self.retired: list[Upstream] = []
        self.config_version = 0
        self.weight_version = 1
        self.idle_limit_s = IDLE_LIMIT_S
        self.idle_limits = IdleLimits(IDLE_LIMIT_S, apply_s=CONFIG_S)
        self.long_timeouts = LimitHistory(LONG_TIMEOUT_S, apply_s=CONFIG_S)
        #: Zones with the spans of monotonic time from the acknowledgement of their evacuation until it
        #: was taken back.
        self.evacuations: list[tuple[str, float, float]] = []
        #: Allowed regions of the route ``read``, and spans from their acknowledgement until a change.
        self.read_regions: tuple[str, ...] = ()
        self.region_spans: list[tuple[tuple[str, ...], float, float]] = []
        #: Monotonic time at which the store acknowledged a version of the configuration.
        self.acknowledged_at: dict[int, float] = {}
        #: The same of a version of the weights.
        self.named_at: dict[int, float] = {}
        self._server_by_ip: dict[str, HTTPServer] = {}
        self._relays: list[asyncio.Server] = []
        self._instances = 0
        self._supervisors: list[asyncio.Task[None]] = []

    @property
    def hosts(self) -> list[Host]:
        """All hosts."""
        return [*self.entries, *self.engine_hosts]

    def _ip(self, group: int, number: int) -> str:
        return f"127.{self._octet}.{group}.{number}"

    @property
    def store_address(self) -> str:
        """IP address of the store; known once addresses are reserved."""
        return self._ip(9, 1)

    def reserve_addresses(self) -> None:
        """Choose an octet that is free, and keep others from using it until the site is closed.

        The store and each process have an address here, so that nothing is shared with a deployment
        that runs, nor with a process that was left by one.

        :raises OSError: if all octets are in use.
        """
        entries, engines = self._counts
        first = os.getpid()
        for number in range(first, first + OCTETS):
            self._octet = FIRST_OCTET + number % OCTETS
            addresses = [
                (self.store_address, STORE_PORT),
                *((self._ip(1, n), STATE_PORT) for n in range(1, entries + 1)),
                *((self._ip(2, n), STATE_PORT) for n in range(1, engines + 1)),
            ]
            with contextlib.ExitStack() as reserved:
                try:
                    for ip, port in addresses:
                        reserved.enter_context(reserve_address(ip, port))
                except OSError as error:
                    if error.errno != errno.EADDRINUSE:
                        raise
                    continue
                self._reserved = reserved.pop_all()
                return
        raise OSError(errno.EADDRINUSE, "the addresses of every octet are in use")

    async def start(self) -> None:
        """Start the stand-ins and the processes."""
        self.reserve_addresses()
        self._serve(
            make_store_routes(self.store, self.store_faults), self.store_address, STORE_PORT
        )
        origin = make_origin_routes(Counter(), self.origin_faults)
        self._serve(origin, self._ip(9, 2), ORIGIN_PORT)
        entries, engines = self._counts
        for number in range(1, engines + 1):
            await self._add_upstream("model", number, ZONES[number % len(ZONES)])
        for number in range(1, 4):
            await self._add_upstream("ledger", 200 + number, ZONES[number % len(ZONES)])
        await self.configure()
        for number in range(1, entries + 1):
            self.entries.append(await self._add_entry(number))
        for number in range(1, engines + 1):
            self.engine_hosts.append(await self._add_engine_host(number))
        self._supervisors = [asyncio.create_task(self._supervise(host)) for host in self.hosts]

    async def close(self) -> None:
        """End all processes that were started here, and the stand-ins."""
        for task in self._supervisors:
            task.cancel()
        for host in self.hosts:
            host.kill()
        await asyncio.gather(*(h.process.wait() for h in self.hosts if h.process is not None))
        for host in self.hosts:
            host.release()
        for server in self._relays:
            server.close()
        for http in self._server_by_ip.values():
            http.stop()
        self._reserved.close()

    # Processes

    async def _supervise(self, host: Host) -> None:
        """Run the process of a host again and again until cancelled."""
        while True:
            with host.log.open("ab") as output:
                host.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "sycamoreproxy.daemon",
                    "--config",
                    str(host.settings),
                    stdout=output,
                    stderr=output,
                )
            # A process may end before this line.
            with contextlib.suppress(ProcessLookupError):
                host.handle = os.pidfd_open(host.process.pid)
            host.lifetime += 1
            host.note_fault(START_S)
            written = host.log.stat().st_size
            status = await host.process.wait()
            host.release()
            expected = set()
            if host.lifetime in host.stopped_at:
                expected.add(0)
                if b'"started"' not in host.log.read_bytes()[written:]:
                    # Python had not come to the process's own handler; it has served nobody yet.
                    expected.add(-signal.SIGTERM)
            if host.lifetime in host.killed_at:
                expected.add(-signal.SIGKILL)
            if status not in expected:
                host.bad_exits.append(f"lifetime {host.lifetime} ended with status {status}")
            host.note_fault(host.restart_after_s)
            await asyncio.sleep(host.restart_after_s)

    async def wait_ready(self, host: Host, *, within_s: float) -> bool:
        """Return whether an entry host says within a time that it is ready."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host.ip, READY_PORT)
                writer.write(b"GET / HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                is_ready = b" 200 " in await reader.readuntil(b"\r\n")
                writer.close()
                if is_ready:
                    return True
            await asyncio.sleep(0.05)
        return False

    # The operator

    async def configure(self) -> int:
        """Put a configuration into force that has one more route; return its version."""
        self.config_version += 1
        version = self.config_version
        routes = [
            *(
                make_route(
                    name,
                    "streaming",
                    "model",
                    session_affinity=True,
                    stream_resume=True,
                    priority=priority,
                    timeout_ms=int(
                        1000 * (self.long_timeouts.newest_s if name == "long" else TIMEOUT_S)
                    ),
                )
                for name, priority in PRIORITY_BY_GENERATION.items()
            ),
            make_route("read", "idempotent", "ledger", allowed_regions=list(self.read_regions)),
            make_route("post", "non_idempotent", "ledger", max_attempts=1),
            *(make_route(f"new-{n}", "idempotent", "ledger") for n in range(1, version + 1)),
        ]
        services: list[dict[str, Any]] = [
            {"name": "model", "engine": ENGINE, "origin": f"{self._ip(9, 2)}:{ORIGIN_PORT}"},
            {"name": "ledger"},
        ]
        value = make_configuration(version, services=services, routes=routes)
        value["limits"]["idle_timeout_ms"] = int(self.idle_limit_s * 1000)
        await self.store.put("op/config", value)
        self.acknowledged_at[version] = time.monotonic()
        return version

    async def set_idle_limit(self, limit_s: float) -> None:
        """Put a configuration into force that has another idle limit of callers' connections."""
        self.idle_limit_s = limit_s
        change = self.idle_limits.note_written(limit_s, at=time.monotonic())
        await self.configure()
        change.acknowledged_at = time.monotonic()

    async def set_long_timeout(self, limit_s: float) -> None:
        """Put a configuration into force that has another time limit of long streams."""
        change = self.long_timeouts.note_written(limit_s, at=time.monotonic())
        await self.configure()
        change.acknowledged_at = time.monotonic()

    async def evacuate(self, zone: str, *, for_s: float) -> None:
        """Evacuate a zone for a time."""
        await self.store.put(f"op/evacuate/{zone}", {})
        acknowledged_at = time.monotonic()
        await asyncio.sleep(for_s)
        self.evacuations.append((zone, acknowledged_at, time.monotonic()))
        await self.store.delete(f"op/evacuate/{zone}")

    async def confine_reads(self, region: str, *, for_s: float) -> None:
        """Confine the route ``read`` to a region for a time."""
        self.read_regions = (region,)
        await self.configure()
        acknowledged_at = time.monotonic()
        await asyncio.sleep(for_s)
        self.region_spans.append((self.read_regions, acknowledged_at, time.monotonic()))
        self.read_regions = ()
        await self.configure()

    async def name_weights(self) -> None:
        """Name a newer version of the weights."""
        self.weight_version += 1
        value = {"model": MODEL, "version": self.weight_version}
        await self.store.put(f"op/version/{MODEL}", value)
        self.named_at[self.weight_version] = time.monotonic()

    async def drain_upstream(self, upstream: Upstream) -> None:
        """Announce that a runner leaves."""
        await self._list_upstream(upstream, state="draining")
        upstream.draining_since = time.monotonic()

    async def replace_upstream(self, upstream: Upstream) -> Upstream:
        """Start a new incarnation of a runner in the place of one; it holds no weights."""
        await self.store.delete(f"servers/{upstream.runner.instance}")
        self.retired.append(upstream)
        self.upstreams.remove(upstream)
        self._instances += 1
        old = upstream.runner
        runner = PlatformRunner(
            f"i-{self._instances}",
            version=0 if upstream.service == "model" else 1,
            slots=old.slots,
            started_ms=int(time.time() * 1000),
            staged=old.staged,
            events_by_path=old.events_by_path,
        )
        upstream.answer_faults.note_fault(0.0)
        upstream.relay.reset()
        server = self._server_by_ip[upstream.relay.target_ip]
        new = Upstream(
            runner=runner,
            service=upstream.service,
            zone=upstream.zone,
            address=upstream.address,
            faults=Faults(seed=self._instances),
            relay=upstream.relay,
            fault_spans=upstream.fault_spans,
            answer_faults=upstream.answer_faults,
        )
        server.request_callback = tornado.web.Application(  # type: ignore[assignment]
            make_runner_routes(runner, new.faults)
        )
        self.upstreams.append(new)
        await self._list_upstream(new)
        return new

    # Parts

    def _serve(self, routes: list[Any], ip: str, port: int) -> None:
        server = HTTPServer(tornado.web.Application(routes, log_function=lambda handler: None))
        server.listen(port, ip)
        self._server_by_ip[ip] = server

    async def _open_relay(self, ip: str, port: int, target_ip: str, target: int) -> Relay:
        relay = Relay(port=port, target=target, target_ip=target_ip)
        self._relays.append(await asyncio.start_server(relay.serve, ip, port))
        return relay

    async def _add_upstream(self, service: str, number: int, zone: str) -> None:
        self._instances += 1
        slots = ENGINE_SLOTS if service == "model" else 8
        runner = PlatformRunner(
            f"i-{self._instances}", slots=slots, events_by_path={"/long/x": LONG_EVENTS}
        )
        faults = Faults(seed=self._instances)
        self._serve(make_runner_routes(runner, faults), self._ip(3, number), RUNNER_PORT)
        ip = self._ip(2, number)
        upstream = Upstream(
            runner=runner,
            service=service,
            zone=zone,
            address=f"{ip}:{RUNNER_PORT}",
            faults=faults,
            relay=await self._open_relay(ip, RUNNER_PORT, self._ip(3, number), RUNNER_PORT),
        )
        self.upstreams.append(upstream)
        await self._list_upstream(upstream)

    async def _list_upstream(self, upstream: Upstream, *, state: str = "ready") -> None:
        runner = upstream.runner
        await self.store.put(
            f"servers/{runner.instance}",
            {
                "service": upstream.service,
                "address": upstream.address,
                "zone": upstream.zone,
                "slots": runner.slots,
                "state": state,
                "born": runner.started_ms,
                "models": [{"name": MODEL, "version": runner.version}],
            },
        )

    async def _add_entry(self, number: int) -> Host:
        ip = self._ip(1, number)
        callers = f'callers = "{ip}:{CALLER_PORT}"\nready = "{ip}:{READY_PORT}"\n'
        return await self._add_host(
            f"entry-{number}", ip, ZONES[number % len(ZONES)], RELAYED_PEER_PORT, callers, ""
        )

    async def _add_engine_host(self, number: int) -> Host:
        ip = self._ip(2, number)
        engine = f'\n[engine]\naddress = "{ip}:{RUNNER_PORT}"\nlink_mbps = 100\n'
        host = await self._add_host(
            f"engine-{number}", ip, ZONES[number % len(ZONES)], PEER_PORT, "", engine
        )
        host.peers = await self._open_relay(ip, RELAYED_PEER_PORT, ip, PEER_PORT)
        return host

    async def _add_host(
        self, name: str, ip: str, zone: str, peer_port: int, callers: str, engine: str
    ) -> Host:
        store_ip = ip.replace(f"127.{self._octet}.", f"127.{self._octet}.1", 1)
        settings = self._directory / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                role="routed-upstream" if engine else "routed-entry",
                host=name,
                zone=zone,
                region=REGION_BY_ZONE[zone],
                ip=ip,
                peer_port=peer_port,
                state_port=STATE_PORT,
                callers=callers,
                store=f"{store_ip}:{STORE_PORT}",
                leave_ms=LEAVE_S * 1000,
                stop_s=STOP_S,
                version_ms=VERSION_S * 1000,
                evacuate_ms=EVACUATE_S * 1000,
                zones="\n".join(f'{name} = "{region}"' for name, region in REGION_BY_ZONE.items()),
                engine=engine,
            ),
            encoding="utf-8",
        )
        return Host(
            name=name,
            ip=ip,
            settings=settings,
            log=self._directory / f"{name}.log",
            store=await self._open_relay(store_ip, STORE_PORT, self.store_address, STORE_PORT),
        )
