"""Guards the stand-in engine that other tests and the bench measure against."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from standins._engine_model import EngineModel, EngineTiming
from sycamoreproxy.engine_control import HttpEngineControl, LoadOrder, OrderRefusedError
from sycamoreproxy.messages import Finish
from tests._upstream import run_deployment, wait_until


def _run_until_first_tokens(model: EngineModel) -> list[str]:
    """Return request IDs in the order of their first tokens."""
    order: list[str] = []
    while model.running or model.waiting:
        order += [request_id for request_id, index, _ in model.step() if index == 0]
    return order


def test_a_lower_priority_number_starts_first_and_suspends_others() -> None:
    model = EngineModel(EngineTiming(slots=1, max_running=1))
    for name, priority in (("batch", 20), ("later", 20), ("urgent", 0)):
        model.submit(name, priority=priority, prompt_tokens=1, output_tokens=3)
    assert _run_until_first_tokens(model) == ["urgent", "batch", "later"]


def test_a_cached_prefix_shortens_the_prompt() -> None:
    model = EngineModel(EngineTiming(token_ms=10.0, prefill_ms_per_1k=1000.0, cache_prefixes=1))
    steps = []
    for key in ("p", "p", "other", "p"):
        model.submit(
            "a", priority=0, prompt_tokens=100, output_tokens=1, prefix_key=key, prefix_tokens=90
        )
        count = 0
        while model.running:
            model.step()
            count += 1
        steps.append(count)
    assert steps == [10, 1, 10, 10]


@pytest.mark.parametrize(("slots", "running", "seconds"), [(4, 4, 0.01), (4, 8, 0.012)])
def test_the_gap_grows_above_the_slots(slots: int, running: int, seconds: float) -> None:
    model = EngineModel(EngineTiming(slots=slots, token_ms=10.0, batch_cost=0.05))
    for number in range(running):
        model.submit(str(number), priority=0, prompt_tokens=1, output_tokens=9)
    assert model.step_seconds() == pytest.approx(seconds)


def test_orders_follow_the_contract() -> None:
    async def action() -> None:
        async with run_deployment() as deployment:
            engine = HttpEngineControl(f"http://127.0.0.1:{deployment.port}", 5.0, 5.0)
            chunk = hashlib.sha256(b"chunk").hexdigest()
            order = LoadOrder("v2", "", (chunk,), ("a1",), fence=7)
            with pytest.raises(OrderRefusedError) as absent:
                await engine.load(order)
            assert absent.value.status == 422
            with pytest.raises(OrderRefusedError):
                await engine.put_chunk(chunk, b"corrupt")
            await engine.put_chunk(chunk, b"chunk")
            assert await engine.list_chunks() == {chunk}
            deployment.submit("a", b'{"prompt":"x","max_tokens":50,"stream":true}')
            await wait_until(lambda: deployment.engine._answers_by_id)
            loaded = await engine.load(order)
            assert loaded == ("v2", hashlib.sha256(chunk.encode()).hexdigest())
            held = await engine.read_state()
            assert (held.version, held.fence, held.adapters) == ("v2", 7, ("a1",))
            with pytest.raises(OrderRefusedError) as old:
                await engine.load(LoadOrder("v3", "", (chunk,), (), fence=6))
            assert old.value.status == 409
            # A request in progress ends with the version that it began with.
            end = await deployment.wait_end("a")
            assert isinstance(end, Finish)
            assert end.version == "v1"
            assert deployment.engine.records[-1]["version"] == "v1"

    asyncio.run(action())
