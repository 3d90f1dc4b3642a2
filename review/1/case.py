"""A part of a prompt that ends each runner which begins to write an answer on it.

Four model runners take streams of two kinds: sound ones, and 1.4 a second whose prompt holds part
``badc0de5``. A runner that writes an answer on that part sends its first event of five tokens and
ends; it is back after two seconds. ``EVENTS=0`` has it end before its first event instead.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from review.common.site import (
    CONTACT_S,
    Answer,
    Site,
    ask,
    make_prompt_headers,
    run_case,
)

ENGINES, EDGES = 4, 2
BAD_PART = "badc0de5"
SHARED_PART = "5c1e07a2"
EVENTS = int(os.environ.get("EVENTS", "1"))
TRAFFIC_S = 40.0
SOUND_PER_S, BAD_PER_S = 8.0, 1.4
BUDGET_MS = 6_000
#: Limit of the rule: more requests than this with the part reach runners.
ALLOWED_ARRIVALS = 3
CRASHES_BEFORE_LIMIT = 5


async def send(site: Site, answers: list[Answer], number: int, *, is_bad: bool) -> None:
    """Send one stream and note its answer."""
    middle = [(BAD_PART, 100)] if is_bad else []
    parts = [(SHARED_PART, 40), *middle, (f"{random.getrandbits(32):08x}", 700)]
    answer = await ask(
        site,
        site.edges[number % EDGES],
        method="POST",
        target="/lepu270/2f",
        headers=make_prompt_headers(parts),
        budget_ms=BUDGET_MS,
        body=b"prompt",
    )
    answers.append(answer)
    site.record.note(
        "stream ended",
        id=answer.request_id,
        part=BAD_PART if is_bad else "-",
        status=answer.status,
        whole=answer.is_success,
    )


async def send_steadily(site: Site, answers: list[Answer], per_s: float, *, is_bad: bool) -> None:
    """Send streams at a rate until the traffic ends."""
    until = time.monotonic() + TRAFFIC_S
    number = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until:
            group.create_task(send(site, answers, number, is_bad=is_bad))
            number += 1
            await asyncio.sleep(1 / per_s)


async def case(site: Site, with_trouble: bool) -> bool:
    """Return whether runners were spared after the fifth crash."""
    await site.open()
    for _ in range(EDGES):
        site.add_edge()
    site.add_model_service("huvo11a")
    site.add_route("/lepu270/", "streaming", "huvo11a", session_affinity=True, gap_target_ms=400)
    for _ in range(ENGINES):
        await site.add_engine(
            "huvo11a",
            crashes_on=BAD_PART if with_trouble else "",
            events_before_crash=EVENTS,
        )
    await site.configure()
    await site.start_processes()
    sound: list[Answer] = []
    bad: list[Answer] = []
    await asyncio.gather(
        send_steadily(site, sound, SOUND_PER_S, is_bad=False),
        send_steadily(site, bad, BAD_PER_S, is_bad=True),
    )
    crashes = sorted(at for runner in site.runners for at in runner.crashes)
    whole = sum(answer.is_success for answer in sound)
    site.record.note("runners crashed", times=len(crashes))
    site.record.note("sound streams", whole=whole, of=len(sound))
    if not with_trouble:
        return whole > 0.98 * len(sound)
    if len(crashes) < CRASHES_BEFORE_LIMIT:
        return True
    limit_at = crashes[CRASHES_BEFORE_LIMIT - 1] + CONTACT_S
    late = [
        arrival
        for runner in site.runners
        for arrival in runner.runs
        if BAD_PART in arrival.parts and arrival.began_at > limit_at
    ]
    cut = [a for a in sound if a.sent_at > limit_at and a.status == 200 and not a.is_success]
    site.record.note("requests with the part that ran after the limit", count=len(late))
    site.record.note("sound streams cut after the limit", count=len(cut))
    return len(late) <= ALLOWED_ARRIVALS


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
