"""Guards the stand-in's engines: a queue that hides or invents late runs makes the soak worthless."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import tornado.web
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from standins._server import Faults
from standins.platform import PlatformRunner, make_runner_routes


class Engine:
    """A runner with one slot behind a real port."""

    def __init__(self, port: int) -> None:
        self.runner = PlatformRunner("i-1", slots=1)
        self.faults = Faults(seed=1)
        self.port = port
        # A writer that nobody holds closes its connection.
        self.writers: list[asyncio.StreamWriter] = []

    async def send(self, request_id: str, **headers: object) -> asyncio.StreamReader:
        """Send a generation on a connection of its own, and wait until it has arrived."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        values = {
            "Host": "office.example",
            "Connection": "close",
            "Content-Length": 0,
            "Sycamoreproxy-Request-Id": request_id,
            "Sycamoreproxy-Expect-Instance": "i-1",
            "Sycamoreproxy-Token-Count": "100,25",
            **{f"Sycamoreproxy-{name.replace('_', '-')}": value for name, value in headers.items()},
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in values.items())
        writer.write(f"POST /ask/x HTTP/1.1\r\n{head}\r\n".encode())
        while request_id not in [arrived for _, arrived in self.runner.arrived]:
            await asyncio.sleep(0.001)
        return reader

    async def settle(self, *, waiting: int) -> None:
        """Wait until a number of generations waits."""
        while self.runner.count_waiting() != waiting:
            await asyncio.sleep(0.001)

    def list_begun(self) -> list[tuple[str, int]]:
        """Return the id of each run and the version that it began on, in order."""
        return [(request_id, version) for _, request_id, version in self.runner.begun]


def play(action: Callable[[Engine], Awaitable[None]]) -> None:
    """Run an action against an engine."""

    async def run() -> None:
        socket, port = bind_unused_port()
        engine = Engine(port)
        application = tornado.web.Application(make_runner_routes(engine.runner, engine.faults))
        server = HTTPServer(application)
        server.add_socket(socket)
        try:
            async with asyncio.timeout(10):
                await action(engine)
        finally:
            server.stop()

    asyncio.run(run())


def test_requests_beyond_the_slots_begin_in_order_of_priority() -> None:
    async def action(engine: Engine) -> None:
        first = await engine.send("first")
        answers = [
            await engine.send("usual"),
            await engine.send("last", Request_Priority=9),
            await engine.send("urgent", Request_Priority=0),
            await engine.send("second-urgent", Request_Priority=0),
        ]
        assert (engine.runner.running, engine.runner.count_waiting()) == (1, 4)
        for reader in (first, *answers):
            assert b"data: token 5" in await reader.read()
        order = ["first", "urgent", "second-urgent", "usual", "last"]
        assert engine.list_begun() == [(request_id, 1) for request_id in order]
        assert [at for at, _, _ in engine.runner.begun] == sorted(
            at for at, _, _ in engine.runner.begun
        )
        assert (engine.runner.running, engine.runner.count_waiting()) == (0, 0)

    play(action)


def test_waiting_request_whose_connection_closes_never_begins() -> None:
    async def action(engine: Engine) -> None:
        held = engine.runner.join(0)
        await engine.send("gone")
        engine.writers[-1].close()
        await engine.settle(waiting=0)
        last = await engine.send("last")
        assert held.done() and engine.runner.count_waiting() == 1
        engine.runner.leave()
        await last.read()
        assert engine.list_begun() == [("last", 1)]

    play(action)


def test_request_that_is_closed_while_its_prompt_is_read_never_begins() -> None:
    async def action(engine: Engine) -> None:
        engine.faults.replace({"read_s": 0.2})
        await engine.send("gone")
        engine.writers[-1].close()
        last = await engine.send("last")
        await last.read()
        assert engine.list_begun() == [("last", 1)]

    play(action)


def test_waiting_request_without_time_left_is_refused_unrun() -> None:
    """It leaves the queue while all slots are held, and frees none of them."""

    async def action(engine: Engine) -> None:
        engine.runner.join(0)
        first = await engine.send("first", Request_Priority=0)
        answer = await (await engine.send("late", Deadline_Ms=50)).read()
        assert b" 503 " in answer and b"Sycamoreproxy-Not-Executed" in answer
        assert (engine.runner.running, engine.runner.count_waiting()) == (1, 1)
        assert not engine.runner.begun
        engine.runner.leave()
        await first.read()
        assert engine.list_begun() == [("first", 1)]

    play(action)


def test_waiting_request_begins_on_the_weights_of_that_time() -> None:
    """Weights change while it waits: it runs on the new ones, or not at all if it names the old."""

    async def action(engine: Engine) -> None:
        first = await engine.send("first")
        free = await engine.send("free")
        bound = await engine.send("bound", Expect_Version=1)
        engine.runner.version = 2
        await first.read()
        assert b"Sycamoreproxy-Weight-Versions: 2" in await free.read()
        assert b" 421 " in await bound.read()
        assert engine.list_begun() == [("first", 1), ("free", 2)]

    play(action)


def test_nothing_begins_while_weights_are_loaded() -> None:
    async def action(engine: Engine) -> None:
        engine.runner.is_loading = True
        reader = await engine.send("waits")
        await engine.settle(waiting=1)
        assert not engine.runner.begun
        engine.runner.is_loading = False
        engine.runner.fill_slots()
        await reader.read()
        assert engine.list_begun() == [("waits", 1)]

    play(action)


def test_slow_engine_tells_its_pace() -> None:
    async def action(engine: Engine) -> None:
        engine.faults.replace({"event_s": 0.04})
        reader, writer = await asyncio.open_connection("127.0.0.1", engine.port)
        writer.write(b"GET /report HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        assert b'"pace": 4.0' in await reader.read()

    play(action)
