"""Tests when and how a stopping entry host refuses a request, and what it still finishes."""

from __future__ import annotations

import json

import pytest

from sycamoreproxy.routed_dispatch import RETRY_AFTER_MAX_FRACTION
from tests.test_routed_entry import GENERATION_HEADERS, Site, run_with_site


@pytest.mark.parametrize("deadline_ms", [300, 900, 3000])
@pytest.mark.parametrize("path", ["/ask/x", "/post/x"])
def test_retry_after_of_a_stop_leaves_its_caller_time(path: str, deadline_ms: int) -> None:
    """Callers with little time were told to retry after their deadline."""

    async def action(site: Site) -> None:
        site.front.leave()
        site.front.dispatcher.end_requests_within(0.1, unlisted_in_s=2.0, closes_in_s=2.8)
        headers = GENERATION_HEADERS | {"Sycamoreproxy_Deadline_Ms": str(deadline_ms)}
        status, answer_headers, body, _ = await site.send(path, **headers)
        assert (status, json.loads(body)["error"]["code"]) == (503, 1207)
        longest_s = RETRY_AFTER_MAX_FRACTION * deadline_ms / 1000
        assert float(answer_headers["Retry-After"]) <= longest_s + 0.01

    run_with_site(action)
