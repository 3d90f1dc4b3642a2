"""Fault soak of real processes: random faults from outside while callers keep asking.

``python -m bench.soak_processes --seed 7`` plays one seed, ``--seeds 50`` fresh seeds one after the
other. The faults and their times follow from the seed; the order of events within a run does not.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.soak_callers import Caller, Outcome
from bench.soak_checks import find_upstreams, find_violations, is_late_in_stop
from bench.soak_faults import EXTRA_FAULTS, LATE_STREAMS, LATE_STREAMS_STALLED, LATE_WEIGHTS, faults
from bench.soak_late_callers import LateCaller
from bench.soak_site import START_S, VERSION_S, Site

#: Time in which faults begin, in seconds.
FAULTS_S = 14.0
#: Time after the last fault until the site serves everything again, in seconds: the users' bound.
RECOVERY_S = 12.0
#: Faults that begin in one run, fewest and most.
FAULTS_MIN, FAULTS_MAX = 6, 14
#: Part of the runs in which versions of the weights come late for certain, and the latest time at which
#: that begins, in seconds: the bound is over while other faults still begin.
LATE_FRACTION = 0.5
LATE_START_S = 5.0
#: Longest time until every entry host serves, and what each process adds to it, in seconds: all start at
#: once, on processors that they share with other work.
START_MAX_S, START_EACH_S = 30.0, 0.5
#: Callers of each entry host.
CALLERS = 8
#: Callers of each entry host that pause for nearly the permitted idle time.
PAUSING_CALLERS = 4
#: Callers of each entry host that send long streams when it closes its listener, on new and on kept
#: connections.
LATE_CALLERS, LATE_KEPT_CALLERS = 12, 2
#: Requests to each entry host after the recovery, all of which must be served.
FINAL_REQUESTS = 8
#: Pause between two requests of the caller that asks for the newest route, in seconds.
PROBE_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Result of one run.

    :param faults: names of the faults in the order of their start.
    :param violations: what was seen against a promise.
    :param raised_reuses: requests on connections that had been idle for longer than the limit at the
        start of their pause, as a raise permitted.
    :param late_requests: requests that were sent late in a stop and were answered or passed on.
    """

    seed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]
    by_status: dict[int, int]
    raised_reuses: int
    late_requests: int
    took_s: float
    directory: Path

    def __str__(self) -> str:
        """Return the result in lines of text."""
        statuses = ", ".join(f"{status}: {n}" for status, n in sorted(self.by_status.items()))
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations in {self.took_s:.0f} s;"
            f" answers {statuses}; {self.raised_reuses} reuses after a raise;"
            f" {self.late_requests} late in a stop;"
            f" faults {', '.join(self.faults)}"
        ]
        lines += [f"  {violation}" for violation in self.violations]
        if self.violations:
            lines.append(f"  logs: {self.directory}")
        return "\n".join(lines)


async def play(
    seed: int,
    *,
    entries: int = 3,
    engines: int = 4,
    extra_faults: Sequence[str] = (),
    is_short: bool = False,
) -> Result:
    """Play one seed.

    :param extra_faults: faults that begin at random times beside those of the seed.
    :param is_short: whether only the extra faults are played, at once, without a check of the
        recovery.
    :raises TimeoutError: if the site does not serve before the first fault.
    """
    draw = random.Random(seed)
    started = time.monotonic()
    directory = Path(tempfile.mkdtemp(prefix=f"sycamore-soak-{seed}-"))
    site = Site(directory=directory, entries=entries, engines=engines)
    outcomes: list[Outcome] = []
    tasks: list[asyncio.Task[None]] = []
    is_over = asyncio.Event()
    try:
        await site.start()
        await _wait_serving(site, outcomes)
        callers = [
            *_start_callers(site, outcomes, draw, until=is_over),
            # A source of their own: the faults of a seed stay as they were.
            *_start_pausing_callers(
                site, outcomes, random.Random(f"pausing {seed}"), until=is_over
            ),
        ]
        if {LATE_STREAMS, LATE_STREAMS_STALLED} & set(extra_faults):
            callers += _start_late_callers(
                site, outcomes, random.Random(f"late {seed}"), until=is_over
            )
        tasks = [asyncio.create_task(caller) for caller in callers]
        if is_short:
            plan = [(0.0, name, draw.random()) for name in extra_faults]
        else:
            plan = _plan_faults(draw, extra_faults)
        await _play_faults(site, plan)
        violations = [] if is_short else await _check_recovery(site, outcomes)
        is_over.set()
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await site.close()
    violations += find_violations(site, outcomes)
    passed_on = find_upstreams(site)
    result = Result(
        seed=seed,
        faults=tuple(name for _, name, _ in plan),
        violations=tuple(violations),
        by_status=dict(Counter(seen.status for seen in outcomes)),
        raised_reuses=sum(_is_reuse_after_raise(site, seen) for seen in outcomes),
        late_requests=sum(
            is_late_in_stop(seen) and bool(seen.status or seen.request_id in passed_on)
            for seen in outcomes
        ),
        took_s=time.monotonic() - started,
        directory=directory,
    )
    if violations:
        (directory / "result.txt").write_text(f"{result}\n", encoding="utf-8")
    else:
        shutil.rmtree(directory)
    return result


async def _wait_serving(site: Site, outcomes: list[Outcome]) -> None:
    """Wait until every entry host serves; this is before the first fault."""
    async with asyncio.timeout(START_MAX_S + START_EACH_S * len(site.hosts)):
        for host in site.entries:
            caller = Caller(name=f"start-{host.name}", host=host, outcomes=outcomes)
            while (outcome := await caller.ask("ask")) is None or outcome.status != 200:
                await asyncio.sleep(0.1)
            caller.close()


def _start_callers(
    site: Site, outcomes: list[Outcome], draw: random.Random, *, until: asyncio.Event
) -> Iterator[Coroutine[None, None, None]]:
    for host in site.entries:
        for number in range(CALLERS):
            caller = Caller(name=f"{host.name}-{number}", host=host, outcomes=outcomes)
            yield caller.run(random.Random(draw.random()), until=until)
        prober = Caller(name=f"{host.name}-probe", host=host, outcomes=outcomes)
        yield _probe(site, prober, until=until)


def _start_pausing_callers(
    site: Site, outcomes: list[Outcome], draw: random.Random, *, until: asyncio.Event
) -> Iterator[Coroutine[None, None, None]]:
    for host in site.entries:
        for number in range(PAUSING_CALLERS):
            caller = Caller(name=f"{host.name}-pausing-{number}", host=host, outcomes=outcomes)
            source = random.Random(draw.random())
            yield caller.run_with_pauses(source, site.idle_limits, until=until)


def _start_late_callers(
    site: Site, outcomes: list[Outcome], draw: random.Random, *, until: asyncio.Event
) -> Iterator[Coroutine[None, None, None]]:
    for host in site.entries:
        for number in range(LATE_CALLERS + LATE_KEPT_CALLERS):
            late = LateCaller(
                caller=Caller(name=f"{host.name}-late-{number}", host=host, outcomes=outcomes),
                host=host,
                keeps_connection=number >= LATE_CALLERS,
            )
            yield late.run(random.Random(draw.random()), until=until)


def _is_reuse_after_raise(site: Site, seen: Outcome) -> bool:
    return (
        seen.idle_since is not None
        and seen.sent_at - seen.idle_since > site.idle_limits.lowest_s(seen.idle_since)
        and site.idle_limits.permit_reuse(seen.idle_since, seen.sent_at)
    )


async def _probe(site: Site, caller: Caller, *, until: asyncio.Event) -> None:
    """Ask for the newest route, each time on the connection that is open."""
    while not until.is_set():
        await caller.ask(f"new-{site.config_version}")
        await asyncio.sleep(PROBE_S)


def _plan_faults(draw: random.Random, extra: Sequence[str]) -> list[tuple[float, str, float]]:
    """Return the faults of a run in their order, each with its time, its name and a seed."""
    # Faults that were added later are extra ones, so that a seed still stands for the same faults.
    names = [name for name in faults.list_names() if name not in EXTRA_FAULTS]
    plan = [
        (draw.uniform(0.0, FAULTS_S), draw.choice(names), draw.random())
        for _ in range(draw.randint(FAULTS_MIN, FAULTS_MAX))
    ]
    if draw.random() < LATE_FRACTION:
        plan.append((draw.uniform(0.0, LATE_START_S), LATE_WEIGHTS, draw.random()))
    plan += [(draw.uniform(0.0, FAULTS_S), name, draw.random()) for name in extra]
    return sorted(plan)


async def _play_faults(site: Site, plan: Sequence[tuple[float, str, float]]) -> None:
    """Begin faults at their times and wait until all are over."""

    async def begin(at: float, name: str, part: float) -> None:
        await asyncio.sleep(at)
        await faults.get(name)(site, random.Random(part))

    await asyncio.gather(*(begin(*item) for item in plan))


async def _check_recovery(site: Site, outcomes: list[Outcome]) -> list[str]:
    """Return what is not served a recovery's time after the last fault."""
    await asyncio.sleep(max(RECOVERY_S, VERSION_S + START_S))
    found = []
    for host in site.entries:
        caller = Caller(name=f"final-{host.name}", host=host, outcomes=outcomes)
        for number in range(FINAL_REQUESTS):
            kind = ("ask", "read", "post", f"new-{site.config_version}")[number % 4]
            seen = await caller.ask(kind)
            if seen is None or seen.status != 200 or not seen.is_whole:
                status = "no connection" if seen is None else f"status {seen.status}"
                found.append(f"recovery: {kind} at {host.name}: {status}")
        caller.close()
    for upstream in site.upstreams:
        runner = upstream.runner
        if upstream.service == "model" and runner.version != site.weight_version:
            found.append(
                f"recovery: {runner.instance} serves weights {runner.version},"
                f" {site.weight_version} are named"
            )
    return found


def main(arguments: list[str] | None = None) -> int:
    """Play seeds; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description="fault soak of real processes")
    parser.add_argument("--seed", type=int, help="the only seed, or the first")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--entries", type=int, default=3, help="entry hosts")
    parser.add_argument("--engines", type=int, default=4, help="hosts of engines")
    parser.add_argument(
        "--extra", action="append", default=[], choices=EXTRA_FAULTS, help="a fault to add"
    )
    parser.add_argument("--short", action="store_true", help="play only the faults that are added")
    options = parser.parse_args(arguments)
    first = options.seed if options.seed is not None else random.SystemRandom().randrange(1 << 31)
    broken = 0
    for seed in range(first, first + options.seeds):
        result = asyncio.run(
            play(
                seed,
                entries=options.entries,
                engines=options.engines,
                extra_faults=options.extra,
                is_short=options.short,
            )
        )
        print(result, flush=True)
        broken += bool(result.violations)
    print(f"{options.seeds} seeds from {first}, {broken} with violations")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
