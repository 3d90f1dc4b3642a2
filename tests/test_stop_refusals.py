"""Tests when and how a stopping entry host refuses a request, and what it still finishes."""

from __future__ import annotations

import asyncio
import json
import time
from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest

from sycamoreproxy import routed_entry
from sycamoreproxy.placement import REPORT_MAX_AGE_S, LoadReport
from sycamoreproxy.routed_dispatch import RETRY_AFTER_MAX_FRACTION
from sycamoreproxy.routed_entry import READY_DRAIN_S, RoutedEntry
from sycamoreproxy.routed_settings import RoutedBounds
from sycamoreproxy.upstream_book import UpstreamRecord
from tests.test_routed_entry import (
    COMPLETE_STREAM,
    GENERATION_HEADERS,
    Site,
    _change_routes,
    _wait_until,
    run_with_site,
)


@pytest.mark.parametrize("deadline_ms", [300, 900, 3000])
@pytest.mark.parametrize("path", ["/ask/x", "/post/x"])
def test_retry_after_of_a_stop_leaves_its_caller_time(path: str, deadline_ms: int) -> None:
    """Callers with little time were told to retry after their deadline."""

    async def action(site: Site) -> None:
        site.front.leave()
        site.front.dispatcher.end_requests_within(0.1, closes_in_s=2.8)
        headers = GENERATION_HEADERS | {"Sycamoreproxy_Deadline_Ms": str(deadline_ms)}
        status, answer_headers, body, _ = await site.send(path, **headers)
        assert (status, json.loads(body)["error"]["code"]) == (503, 1207)
        longest_s = RETRY_AFTER_MAX_FRACTION * deadline_ms / 1000
        assert float(answer_headers["Retry-After"]) <= longest_s + 0.01

    run_with_site(action)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x", "/order/x"])
def test_request_that_is_queued_as_a_stop_begins_is_refused_at_once(path: str) -> None:
    """Queued requests waited for an engine, to be refused then as too long for the stop."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=9000, target_latency_ms=2000)
        for faults in site.faults[:2]:
            faults.replace({"read_s": 3.0})
        headers = _make_headers(3000)
        filling = [asyncio.create_task(site.send("/once/x", **headers)) for _ in range(24)]
        await _wait_until(lambda: site.front.dispatcher.has_waiting)
        sending = asyncio.create_task(site.send(path, **headers))
        await _wait_until(lambda: site.front.dispatcher.open_requests == 25)
        site.front.leave()
        site.front.dispatcher.end_requests_within(1.5, closes_in_s=1.2)
        for _ in range(25):
            site.front.dispatcher.dispatch_waiting()
            await asyncio.sleep(0.02)
        assert sending.done()
        status, _, body, _ = sending.result()
        error = json.loads(body)["error"]
        assert (status, error["code"], error["executed"]) == (503, 1207, "no")
        for task in filling:
            task.cancel()

    run_with_site(action)


def test_request_that_expires_in_the_queue_names_no_limit_that_has_not_passed() -> None:
    """The caller was told that its deadline had passed, seconds before it did."""

    async def action(site: Site) -> None:
        _change_routes(site, timeout_ms=9000, target_latency_ms=500)
        for faults in site.faults[:2]:
            faults.replace({"read_s": 9.0})
        headers = _make_headers(25)
        filling = [asyncio.create_task(site.send("/once/x", **headers)) for _ in range(24)]
        await _wait_until(lambda: site.front.dispatcher.has_waiting)
        sending = asyncio.create_task(site.send("/once/x", **headers))
        while not sending.done():
            site.front.dispatcher.dispatch_waiting()
            await asyncio.sleep(0.02)
        status, _, body, _ = sending.result()
        assert status == 503
        assert "has passed" not in json.loads(body)["error"]["message"]
        for task in filling:
            task.cancel()

    run_with_site(action)


def test_stream_that_breaks_off_in_a_stop_is_resumed_if_its_rest_fits() -> None:
    """A stream with only its last event missing was cut, as a whole response no longer fitted."""

    async def action(site: Site) -> None:
        headers = _make_headers(3000) | {"Sycamoreproxy_Length_Hint": "3000"}
        for faults in site.faults[:2]:
            faults.replace({"event_s": 0.05})
        site.faults[0].replace({"event_s": 0.05, "cut_after_events": 4})
        # The other engine is to be chosen for the rest only.
        site.front.dispatcher._catalog.hold(_find_record(site, "i-1"), 0.1)
        sending = asyncio.create_task(site.send("/ask/x", **headers))
        await _wait_until(lambda: site.runners[0].ran)
        site.front.leave()
        site.front.dispatcher.end_requests_within(1.5, closes_in_s=1.2)
        status, _, body, is_complete = await sending
        assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)

    run_with_site(action)


@pytest.mark.parametrize("stop_s", [1.0, 3.0, 4.0, 8.0])
def test_requests_must_have_ended_before_the_process_is_killed(
    stop_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a short stop, requests were begun and then cut by the kill."""

    async def run() -> None:
        dispatcher, front = MagicMock(), MagicMock()
        slept: list[float] = []

        async def sleep(seconds: float) -> None:
            slept.append(seconds)

        async def close(*, wait_s: float) -> None:
            slept.append(wait_s)

        front.close = close
        monkeypatch.setattr(routed_entry.asyncio, "sleep", sleep)
        parts = {
            name: MagicMock()
            for name in (
                "hub",
                "replica",
                "routing_state",
                "selector",
                "state",
                "tasks",
            )
        }
        entry = RoutedEntry(
            settings=SimpleNamespace(bounds=RoutedBounds(stop_s=stop_s)),  # type: ignore[arg-type]
            dispatcher=dispatcher,
            caller_server=front,
            budgets_by_service={},
            cold_starts=MagicMock(),
            quarantine=MagicMock(),
            limits=MagicMock(),
            zones=MagicMock(),
            now=lambda: 0.0,
            **parts,
        )
        await entry.drain()
        (call,) = dispatcher.end_requests_within.call_args_list
        assert call.args[0] < stop_s
        assert call.kwargs == {"closes_in_s": min(READY_DRAIN_S, stop_s / 2)}
        assert sum(slept) < stop_s

    asyncio.run(run())


@pytest.mark.parametrize("age_s", [0.0, REPORT_MAX_AGE_S + 0.1], ids=["fresh", "old"])
def test_generation_is_not_begun_in_a_stop_on_an_engine_that_was_slow(age_s: float) -> None:
    """An engine whose report was over a second old counted as one at nominal pace."""

    async def action(site: Site) -> None:
        for runner, faults in zip(site.runners[:2], site.faults[:2], strict=True):
            faults.replace({"event_s": 0.6})
            report = LoadReport(
                received_at=time.monotonic() - age_s,
                running=0,
                waiting=0,
                pace=100.0,
                version_by_model=(("m1", 1),),
            )
            site.front.dispatcher._selector.update_report(runner.instance, report)
        site.front.dispatcher.end_requests_within(1.5, closes_in_s=1.0)
        status, _, _, is_complete = await site.send("/ask/x", **_make_headers(25))
        assert (status, is_complete) == (503, True)

    run_with_site(action)


def _find_record(site: Site, instance: str) -> UpstreamRecord:
    record = site.front.dispatcher._catalog.find(instance)
    assert record is not None
    return record


def _make_headers(answer_tokens: int) -> dict[str, str]:
    return GENERATION_HEADERS | {
        "Sycamoreproxy_Token_Count": f"100,{answer_tokens}",
        "Sycamoreproxy_Deadline_Ms": "9000",
    }
