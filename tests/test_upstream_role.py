"""Guards the promises of the upstream process towards entry hosts."""

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable

import pytest

from sycamoreproxy import response_times
from sycamoreproxy.messages import Cancel, Finish, Refuse, ResponseHead, Started
from sycamoreproxy.response_times import MIN_RESPONSES
from sycamoreproxy.upstream_role import SILENCE_LIMIT_S
from tests._upstream import Deployment, run_deployment, wait_until

STREAM = b'{"prompt":"hello","max_tokens":5,"stream":true}'
LONG = b'{"prompt":"hello","max_tokens":100000,"stream":true}'

Action = Callable[[Deployment], Awaitable[None]]


def _run(action: Action, **options: object) -> None:
    async def main() -> None:
        async with run_deployment(**options) as deployment:  # type: ignore[arg-type]
            await action(deployment)

    asyncio.run(main())


def test_streamed_answer_is_whole_and_in_order() -> None:
    async def action(deployment: Deployment) -> None:
        deployment.submit("a", STREAM)
        end = await deployment.wait_end("a")
        received = deployment.received["a"]
        data = deployment.read_data("a")
        assert isinstance(received[0], Started)
        assert isinstance(received[1], ResponseHead)
        assert received[1].version == "v1"
        assert isinstance(end, Finish)
        assert (end.sha256, end.output_tokens) == (hashlib.sha256(data).hexdigest(), 5)
        assert data.endswith(b"data: [DONE]\n\n")
        assert b"usage" not in data
        own = hashlib.sha256(json.dumps("hello").encode()).hexdigest()[:16]
        assert own.encode() in data

    _run(action)


def test_plain_answer_is_whole() -> None:
    async def action(deployment: Deployment) -> None:
        deployment.submit("a", b'{"messages":[],"max_tokens":3}', path="/v1/chat/completions")
        end = await deployment.wait_end("a")
        assert isinstance(end, Finish)
        assert json.loads(deployment.read_data("a"))["usage"]["completion_tokens"] == 3
        assert end.output_tokens == 3

    _run(action)


def test_bad_request_gets_the_engines_own_answer() -> None:
    async def action(deployment: Deployment) -> None:
        deployment.submit("a", b"{}")
        assert isinstance(await deployment.wait_end("a"), Finish)
        assert deployment.received["a"][1].status == 400

    _run(action)


@pytest.mark.parametrize(
    ("fields", "options", "code"),
    [
        ({"name": "other"}, {}, 1005),
        ({"kind": "service"}, {}, 1006),
        ({"rank": "highest"}, {}, 1009),
        ({"time_left_ms": 0}, {}, 1204),
        ({}, {"version": ""}, 1208),
    ],
)
def test_refused_before_the_engine_is_asked(
    fields: dict[str, object], options: dict[str, str], code: int
) -> None:
    async def action(deployment: Deployment) -> None:
        deployment.submit("a", STREAM, **fields)
        end = await deployment.wait_end("a")
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (code, "no")
        assert not deployment.engine.records

    _run(action, **options)


@pytest.mark.parametrize(
    ("faults", "code", "executed"),
    [
        ({"fail": 1}, 1301, "unknown"),
        ({"drop_after_tokens": 0}, 1302, "unknown"),
        ({"drop_after_tokens": 2}, 1302, "unknown"),
        ({"mix_after_tokens": 2}, 1305, "yes"),
    ],
)
def test_engine_failure_is_refused_and_frees_the_slot(
    faults: dict[str, object], code: int, executed: str
) -> None:
    async def action(deployment: Deployment) -> None:
        deployment.faults.replace(faults)
        deployment.submit("a", STREAM)
        end = await deployment.wait_end("a")
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (code, executed)
        deployment.faults.replace({})
        deployment.submit("b", STREAM)
        assert isinstance(await deployment.wait_end("b"), Finish)
        assert deployment.role.make_status().running == 0

    _run(action)


def test_absent_engine_is_refused_as_not_run() -> None:
    async def action(deployment: Deployment) -> None:
        deployment.role._engine._client._port = 1  # type: ignore[union-attr]
        deployment.submit("a", STREAM)
        end = await deployment.wait_end("a")
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (1302, "no")

    _run(action)


@pytest.mark.parametrize("lost", ["cancel", "stream"])
def test_cancel_and_lost_entry_free_the_slots(lost: str) -> None:
    async def action(deployment: Deployment) -> None:
        for number in range(6):
            deployment.submit(f"a{number}", LONG)
        await wait_until(lambda: len(deployment.engine._answers_by_id) >= 2)
        if lost == "cancel":
            for number in range(6):
                deployment.peer.send(Cancel(f"a{number}"))
        else:
            deployment.peer.close()
        await wait_until(lambda: deployment.role.open_attempts == 0)
        await wait_until(lambda: not deployment.engine._answers_by_id)
        assert deployment.role.make_status().running == 0

    _run(action)


def test_a_stalled_engine_is_refused_and_its_slot_freed() -> None:
    async def action(deployment: Deployment) -> None:
        deployment.submit("a", LONG)
        await wait_until(lambda: len(deployment.received.get("a", ())) > 3)
        deployment.faults.replace({"stall": True})

        def has_ended() -> bool:
            # An output that was under way when the engine stalled may arrive after a shift.
            deployment.clock.shift_s += SILENCE_LIMIT_S + 1
            return isinstance(deployment.received["a"][-1], Refuse)

        await wait_until(has_ended)
        end = deployment.received["a"][-1]
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (1303, "unknown")
        await wait_until(lambda: not deployment.engine._answers_by_id)
        assert deployment.role.make_status().running == 0

    _run(action)


def test_waiting_work_that_became_late_is_refused_as_not_run() -> None:
    async def action(deployment: Deployment) -> None:
        for number in range(8):
            deployment.submit(f"long{number}", LONG, rank="batch")
        await wait_until(lambda: deployment.role.make_status().running >= 2)
        deployment.submit("a", LONG, rank="batch", time_left_ms=30_000)
        await wait_until(lambda: deployment.role.open_attempts == 9)
        deployment.clock.shift_s = 31.0
        end = await deployment.wait_end("a")
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (1204, "no")

    _run(action)


def test_entry_hosts_hear_of_the_state_at_once() -> None:
    async def action(deployment: Deployment) -> None:
        await wait_until(lambda: deployment.statuses)
        first = deployment.statuses[0]
        assert (first.state, first.version, first.table_digest) == ("ready", "v1", "d")
        deployment.submit("a", STREAM, prefix_key="p")
        await deployment.wait_end("a")
        await deployment.role.leave()
        await wait_until(lambda: deployment.statuses[-1].state == "leaving")
        assert deployment.statuses[-1].prefixes == ("p",)

    _run(action)


def test_leaving_finishes_its_work_and_refuses_more() -> None:
    async def action(deployment: Deployment) -> None:
        for number in range(4):
            deployment.submit(f"a{number}", STREAM)
        await wait_until(lambda: deployment.role.open_attempts == 4)
        leaving = asyncio.create_task(deployment.role.leave())
        await asyncio.sleep(0)
        deployment.submit("b", STREAM)
        end = await deployment.wait_end("b")
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (1207, "no")
        await leaving
        for number in range(4):
            assert isinstance(await deployment.wait_end(f"a{number}"), Finish)

    _run(action)


def test_request_that_the_service_cannot_answer_in_time_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It ran, and its caller got a timeout that left its execution open."""
    monkeypatch.setattr(response_times, "PROBE_PERIOD_S", 60.0)

    async def action(deployment: Deployment) -> None:
        deployment.faults.replace({"delay_ms": 100})
        service = {"kind": "service", "path": "/x", "idempotent": False}
        for number in range(MIN_RESPONSES):
            deployment.submit(f"a{number}", b"%d" % number, **service)
            assert isinstance(await deployment.wait_end(f"a{number}"), Finish)
        # The first one is a probe.
        ends = []
        for number in range(3):
            deployment.submit(f"b{number}", b"b%d" % number, time_left_ms=50, **service)
            ends.append(await deployment.wait_end(f"b{number}"))
        assert isinstance(ends[0], Finish)
        for end in ends[1:]:
            assert isinstance(end, Refuse)
            assert (end.code, end.executed) == (1204, "no")
        assert sum(deployment.runs.values()) == MIN_RESPONSES + 1

    _run(action, kind="service")


@pytest.mark.parametrize(("faults", "runs"), [({"drop_before": 1}, 0), ({"drop_after": 1}, 1)])
def test_lost_service_answer_is_unknown_and_runs_once(faults: dict[str, object], runs: int) -> None:
    async def action(deployment: Deployment) -> None:
        # The first answer leaves an idle connection, which a request that is not idempotent must
        # not reuse.
        for attempt_id, body in (("a", b"1"), ("b", b"2")):
            deployment.submit(
                attempt_id, body, kind="service", path="/x", idempotent=attempt_id == "a"
            )
            end = await deployment.wait_end(attempt_id)
            deployment.faults.replace(faults)
        assert isinstance(end, Refuse)
        assert (end.code, end.executed) == (1302, "unknown")
        assert sum(deployment.runs.values()) == 1 + runs

    _run(action, kind="service")
