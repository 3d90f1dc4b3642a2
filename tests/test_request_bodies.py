"""Tests that the bodies of concurrent requests share one memory limit on an entry host."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from sycamoreproxy.held_bytes import RESERVED_BYTES
from tests.test_routed_entry import Site, _read_answer, run_with_site

#: Body of a large request, within the limit of the configuration, in bytes.
LARGE_BYTES = 60_000
SMALL_BYTES = 600


def _run(action: Callable[[Site], Awaitable[None]]) -> None:
    async def run(site: Site) -> None:
        # Three large bodies fit at once.
        site.front.body_budget.max_bytes = 3 * (LARGE_BYTES - RESERVED_BYTES)
        await action(site)
        await _wait_for_total(site, 0)

    run_with_site(run)


async def _wait_for_total(site: Site, total: int) -> None:
    while site.front.body_budget.total != total:
        await asyncio.sleep(0.01)


class _Upload:
    """One caller that sends a request in parts."""

    def __init__(self, size: int, *, is_chunked: bool = False) -> None:
        self._size = size
        self._is_chunked = is_chunked

    async def open(self, site: Site) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", site.port)
        await self.begin()

    async def begin(self) -> None:
        """Send the head."""
        length = "Transfer-Encoding: chunked"
        if not self._is_chunked:
            length = f"Content-Length: {self._size}"
        self.writer.write(
            "POST /post/x HTTP/1.1\r\nHost: office.example\r\nSycamoreproxy-Request-Id: a\r\n"
            f"Sycamoreproxy-Deadline-Ms: 1900\r\nX-Api-Key: office-key\r\n{length}\r\n\r\n".encode()
        )

    def send(self, size: int, *, is_last: bool = False) -> None:
        """Send a part of the body."""
        data = b"x" * size
        if self._is_chunked:
            data = b"%x\r\n" % size + data + b"\r\n"
            data += b"0\r\n\r\n" if is_last else b""
        self.writer.write(data)

    async def read(self) -> tuple[int, int, str]:
        """Return status, code of the refusal and whether the request was executed."""
        status, headers, body, _ = await _read_answer(self.reader)
        if status != 503:
            return status, 0, ""
        assert float(headers["Retry-After"]) > 0
        error = json.loads(body)["error"]
        return status, error["code"], error["executed"]


REFUSED = (503, 1214, "no")


@pytest.mark.parametrize("is_chunked", [False, True])
def test_uploads_beyond_the_memory_limit_are_refused_and_the_others_answered(
    is_chunked: bool,
) -> None:
    """48 bodies within the configured size used up the memory of the process."""

    async def action(site: Site) -> None:
        uploads = [_Upload(LARGE_BYTES, is_chunked=is_chunked) for _ in range(8)]
        for upload in uploads:
            await upload.open(site)
        for part in range(10):
            for upload in uploads:
                upload.send(LARGE_BYTES // 10, is_last=part == 9)
            await asyncio.sleep(0.01)
            assert site.front.body_budget.total <= 3 * LARGE_BYTES
        answers = [await upload.read() for upload in uploads]
        assert set(answers) == {(200, 0, ""), REFUSED}
        assert answers.count((200, 0, "")) >= 3
        assert site.count_runs() == answers.count((200, 0, ""))

    _run(action)


def test_upload_that_cannot_fit_is_refused_before_its_body_arrives() -> None:
    async def action(site: Site) -> None:
        uploads = [_Upload(LARGE_BYTES) for _ in range(4)]
        for upload in uploads[:3]:
            await upload.open(site)
            upload.send(LARGE_BYTES - 1)
        await _wait_for_total(site, 3 * (LARGE_BYTES - 1 - RESERVED_BYTES))
        await uploads[3].open(site)
        async with asyncio.timeout(1):
            assert await uploads[3].read() == REFUSED
        for upload in uploads[:3]:
            upload.send(1)
            assert await upload.read() == (200, 0, "")
        # The refused connection goes on after the rest of its body.
        uploads[3].send(LARGE_BYTES)
        await uploads[3].begin()
        uploads[3].send(LARGE_BYTES)
        assert await uploads[3].read() == (200, 0, "")

    _run(action)


def test_small_bodies_are_accepted_while_large_ones_use_all_memory() -> None:
    async def action(site: Site) -> None:
        large = [_Upload(LARGE_BYTES) for _ in range(3)]
        for upload in large:
            await upload.open(site)
            upload.send(LARGE_BYTES - 1)
        await _wait_for_total(site, 3 * (LARGE_BYTES - 1 - RESERVED_BYTES))
        for _ in range(10):
            small = _Upload(SMALL_BYTES)
            await small.open(site)
            small.send(SMALL_BYTES)
            assert await small.read() == (200, 0, "")
        for upload in large:
            upload.writer.close()

    _run(action)


def test_one_body_of_the_configured_size_is_always_accepted() -> None:
    async def action(site: Site) -> None:
        bounds = site.front.dispatcher._table().bounds
        site.front.set_bounds(bounds)
        assert site.front.body_budget.max_bytes >= bounds.max_body_bytes

    _run(action)
