"""Floods and large callers through real processes, beside the engines called directly.

The baseline sends the same requests to the engines in turn without the system: first in, first
out, no ranks, no refusals.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, replace

from bench.fleet import (
    ACCOUNTS,
    DEADLINE_S_BY_RANK,
    MODEL,
    SHARE_BY_RANK,
    FleetSpec,
    make_caller,
    read_cpu_seconds,
    start_fleet,
    tokens_per_second,
)
from bench.load import Arrival, Sample, percentile, poisson_arrivals, run_in_workers
from bench.rows import Recorder
from bench.scenarios import scenarios
from tools.launch import Deployment

ENGINES = 2
TOKENS = 64
#: Requests a second that the engines can answer.
CAPACITY = tokens_per_second(ENGINES) / TOKENS
#: Load before and at the start of a run that is not judged, in seconds.
WARM_UP_S = 5.0


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one rank.

    :param load: requests a second as a multiple of the capacity.
    :param accounts: client accounts that send them in equal parts.
    """

    rank: str
    load: float
    accounts: tuple[str, ...] = ACCOUNTS


MIXED_60 = (Stream("urgent", 0.2), Stream("normal", 0.2), Stream("batch", 0.2))


def make_arrivals(streams: tuple[Stream, ...], *, seconds: float, seed: int) -> list[Arrival]:
    """Return the requests of all streams in order of time."""
    arrivals: list[Arrival] = []
    for number, stream in enumerate(streams):
        rng = random.Random(f"{seed}/{number}")
        drawn = poisson_arrivals(
            rng,
            rate=stream.load * CAPACITY,
            seconds=seconds,
            client_account="",
            rank=stream.rank,
            model=MODEL,
            max_tokens=TOKENS,
            deadline_s=DEADLINE_S_BY_RANK[stream.rank],
        )
        arrivals += [replace(item, client_account=rng.choice(stream.accounts)) for item in drawn]
    return sorted(arrivals, key=lambda item: item.at)


def run_system(deployment: Deployment, arrivals: list[Arrival]) -> list[Sample]:
    """Send the requests to the entry hosts."""
    caller = make_caller(deployment.list_processes("entry"), "caller")
    return run_in_workers(caller, _split(arrivals))


def run_direct(deployment: Deployment, arrivals: list[Arrival]) -> list[Sample]:
    """Send the requests to the engines without the system."""
    caller = make_caller(deployment.list_processes("engine"), "http")
    return run_in_workers(caller, _split(arrivals))


def _split(arrivals: list[Arrival]) -> list[list[Arrival]]:
    """Return groups for the workers: the one that floods apart from the others, in two parts."""
    counts = Counter(item.rank for item in arrivals)
    flooding, _ = counts.most_common(1)[0]
    flood = [item for item in arrivals if item.rank == flooding]
    rest = [item for item in arrivals if item.rank != flooding]
    return [group for group in (rest, flood[::2], flood[1::2]) if group]


def judged(samples: list[Sample], *, until: float = 1e9) -> list[Sample]:
    """Return the samples that arrived after the warm-up and before ``until`` seconds."""
    return [item for item in samples if WARM_UP_S <= item.arrival.at < until]


def by_rank(samples: list[Sample], rank: str) -> list[Sample]:
    """Return the samples of a rank."""
    return [item for item in samples if item.arrival.rank == rank]


def on_time_fraction(samples: list[Sample]) -> float:
    """Return the fraction of requests that were answered on time; NaN without requests."""
    return sum(item.on_time for item in samples) / len(samples) if samples else float("nan")


def first_token_p99(samples: list[Sample]) -> float:
    """Return the 99th percentile of the first token of whole answers, in seconds."""
    return percentile(
        (s.first_s for s in samples if s.result == "whole" and s.first_s is not None), 0.99
    )


def served_rate(samples: list[Sample], seconds: float) -> float:
    """Return tokens a second of whole answers."""
    return sum(item.tokens for item in samples if item.result == "whole") / seconds


def generated_rate(samples: list[Sample], *, start: float, end: float) -> float:
    """Return tokens a second that were generated between two times of the run.

    Tokens of an answer are spread evenly from its first token to its end.
    """
    total = 0.0
    for item in samples:
        if item.first_s is None or not item.tokens:
            continue
        begin = item.arrival.at + item.first_s
        finish = max(item.arrival.at + item.total_s, begin + 1e-6)
        overlap = max(0.0, min(end, finish) - max(start, begin))
        total += item.tokens * overlap / (finish - begin)
    return total / (end - start)


def report_broken(recorder: Recorder, samples: list[Sample]) -> None:
    """Report answers that ended neither whole nor with a refusal."""
    cut = [item for item in samples if item.result not in ("whole", "refused")]
    recorder.at_most("answers_cut", "requests", len(cut), 0)


def _kept_share(samples: list[Sample], rank: str, seconds: float) -> float:
    """Return what a rank was served, relative to the smaller of its demand and its share."""
    demand = sum(item.arrival.max_tokens for item in by_rank(samples, rank)) / seconds
    guaranteed = min(demand, SHARE_BY_RANK[rank] * tokens_per_second(ENGINES))
    return served_rate(by_rank(samples, rank), seconds) / guaranteed


def _run_calm(deployment: Deployment, seed: int, seconds: float) -> list[Sample]:
    return judged(run_system(deployment, make_arrivals(MIXED_60, seconds=seconds, seed=seed)))


@scenarios.register("calm")
def run_calm(recorder: Recorder, seed: int) -> None:
    """Mixed ranks at 60% load; the overhead against direct calls of the same engines."""
    seconds = 40.0
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        daemons = {kind: deployment.list_processes(kind) for kind in ("entry", "upstream")}
        before = {kind: sum(map(read_cpu_seconds, items)) for kind, items in daemons.items()}
        arrivals = make_arrivals(MIXED_60, seconds=seconds, seed=seed)
        samples = run_system(deployment, arrivals)
        after = {kind: sum(map(read_cpu_seconds, items)) for kind, items in daemons.items()}
        direct = judged(run_direct(deployment, arrivals))
        overhead = _measure_overhead(deployment)
    urgent = by_rank(judged(samples), "urgent")
    recorder.at_least(
        "urgent_on_time",
        "fraction",
        on_time_fraction(urgent),
        0.999,
        baseline=on_time_fraction(by_rank(direct, "urgent")),
    )
    recorder.report("urgent_first_token_p99", "s", first_token_p99(urgent))
    recorder.at_most("median_overhead", "ms", overhead, 3.0)
    for kind in daemons:
        cpu_ms = (after[kind] - before[kind]) * 1000.0 / len(samples)
        recorder.report(f"cpu_per_request_{kind}", "ms", cpu_ms)
    report_broken(recorder, samples)


def _measure_overhead(deployment: Deployment, requests: int = 60) -> float:
    """Return the median time that the system adds to the first token, in ms.

    Requests go alternately through the system and directly to an idle engine.
    """
    through = make_caller(deployment.list_processes("entry"), "caller")
    direct = make_caller(deployment.list_processes("engine"), "http")
    arrival = Arrival(
        at=0, client_account=ACCOUNTS[0], rank="urgent", model=MODEL, max_tokens=2, deadline_s=5
    )

    async def run() -> float:
        times: dict[str, list[float]] = {"through": [], "direct": []}
        for number in range(requests):
            for name, caller in (("through", through), ("direct", direct)):
                sample = await caller.send(arrival, f"overhead{number}{name}")
                if sample.first_s is not None:
                    times[name].append(sample.first_s)
        return percentile(times["through"], 0.5) - percentile(times["direct"], 0.5)

    return asyncio.run(run()) * 1000.0


@scenarios.register("flood-batch")
def run_flood_batch(recorder: Recorder, seed: int) -> None:
    """Batch at 10 times the capacity for 60 s beside urgent and normal work."""
    seconds = WARM_UP_S + 60.0
    streams = (Stream("urgent", 0.2), Stream("normal", 0.25), Stream("batch", 10.0))
    arrivals = make_arrivals(streams, seconds=seconds, seed=seed)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        calm = _run_calm(deployment, seed + 1, 25.0)
        everything = run_system(deployment, arrivals)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        short = [item for item in arrivals if item.at < WARM_UP_S + 10.0]
        direct = judged(run_direct(deployment, short))
    samples = judged(everything)
    urgent = by_rank(samples, "urgent")
    recorder.at_least(
        "urgent_on_time",
        "fraction",
        on_time_fraction(urgent),
        0.995,
        baseline=on_time_fraction(by_rank(direct, "urgent")),
    )
    calm_p99 = first_token_p99(by_rank(calm, "urgent"))
    recorder.report("urgent_first_token_p99", "s", first_token_p99(urgent))
    recorder.at_most("urgent_p99_to_calm", "ratio", first_token_p99(urgent) / calm_p99, 1.2)
    for rank in ("normal", "batch"):
        recorder.at_least(f"{rank}_kept_share", "ratio", _kept_share(samples, rank, 60.0), 0.95)
    use = generated_rate(everything, start=WARM_UP_S, end=seconds) / tokens_per_second(ENGINES)
    recorder.at_least("engine_use", "ratio", use, 0.95)
    _report_refusals(recorder, samples, bound_s=None)
    report_broken(recorder, everything)


@scenarios.register("flood-urgent")
def run_flood_urgent(recorder: Recorder, seed: int) -> None:
    """Urgent at 5 times the capacity; as many on time as the capacity allows."""
    seconds = WARM_UP_S + 30.0
    streams = (Stream("urgent", 5.0), Stream("normal", 0.5), Stream("batch", 0.5))
    arrivals = make_arrivals(streams, seconds=seconds, seed=seed)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        everything = run_system(deployment, arrivals)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        short = [item for item in arrivals if item.at < WARM_UP_S + 10.0]
        direct = judged(run_direct(deployment, short))
    samples = judged(everything)
    urgent = by_rank(samples, "urgent")
    # What the other ranks are guaranteed is not available to the urgent one.
    others = SHARE_BY_RANK["normal"] + SHARE_BY_RANK["batch"]
    allowed = (1.0 - others) * CAPACITY * 30.0
    recorder.at_least(
        "urgent_on_time_to_allowed",
        "ratio",
        sum(item.on_time for item in urgent) / allowed,
        0.95,
        baseline=sum(item.on_time for item in by_rank(direct, "urgent")) * 3.0 / allowed,
    )
    for rank in ("normal", "batch"):
        recorder.at_least(f"{rank}_kept_share", "ratio", _kept_share(samples, rank, 30.0), 0.95)
    _report_refusals(recorder, samples, bound_s=0.05)
    report_broken(recorder, everything)


def _report_refusals(recorder: Recorder, samples: list[Sample], *, bound_s: float | None) -> None:
    refused = [item for item in samples if item.result == "refused"]
    late = percentile((item.total_s for item in refused), 0.99)
    recorder.report("refused", "requests", len(refused))
    if bound_s is None:
        recorder.report("refusal_p99", "s", late)
    else:
        recorder.at_most("refusal_p99", "s", late, bound_s)


@scenarios.register("large-callers")
def run_large_callers(recorder: Recorder, seed: int) -> None:
    """Three accounts ask 20 times their share beside seven small ones below theirs."""
    seconds = WARM_UP_S + 30.0
    large, small = ACCOUNTS[:3], ACCOUNTS[3:]
    share = 1.0 / len(ACCOUNTS)
    small_streams = tuple(Stream("normal", share * 0.5, (name,)) for name in small)
    large_streams = tuple(Stream("normal", share * 20.0, (name,)) for name in large)
    alone_arrivals = make_arrivals(small_streams, seconds=20.0, seed=seed)
    arrivals = make_arrivals(small_streams + large_streams, seconds=seconds, seed=seed)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        alone = judged(run_system(deployment, alone_arrivals))
        samples = judged(run_system(deployment, arrivals))
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        short = [item for item in arrivals if item.at < WARM_UP_S + 10.0]
        direct = judged(run_direct(deployment, short))
    mine = _of_accounts(samples, small)
    recorder.at_least(
        "small_on_time",
        "fraction",
        on_time_fraction(mine),
        0.995,
        baseline=on_time_fraction(_of_accounts(direct, small)),
    )
    ratio = first_token_p99(mine) / first_token_p99(alone)
    recorder.report("small_first_token_p99", "s", first_token_p99(mine))
    recorder.at_most("small_p99_to_alone", "ratio", ratio, 1.2)
    served = [served_rate(_of_accounts(samples, (name,)), 30.0) for name in large]
    recorder.at_least(
        "large_jain_index",
        "ratio",
        _jain_index(served),
        0.98,
        baseline=_jain_index([served_rate(_of_accounts(direct, (n,)), 10.0) for n in large]),
    )
    report_broken(recorder, samples)


def _of_accounts(samples: list[Sample], accounts: tuple[str, ...]) -> list[Sample]:
    return [item for item in samples if item.arrival.client_account in accounts]


def _jain_index(values: list[float]) -> float:
    """Return Jain's fairness index; 1 is equal, 1/n is one takes all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else float("nan")
