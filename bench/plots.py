"""Draws the flood and the rollout as pictures in docs/: ``python -m bench.plots [flood|rollout]``."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from bench.chunks import SCENARIOS, Simulation, simulate_baseline
from bench.fleet import DEADLINE_S_BY_RANK, FleetSpec, start_fleet
from bench.floods import ENGINES, Stream, by_rank, make_arrivals, run_direct, run_system
from bench.load import Sample

DOCS = Path(__file__).resolve().parent.parent / "docs"
FLOOD = (Stream("urgent", 0.2), Stream("normal", 0.25))


def make_axes(title: str) -> Any:
    """Return a figure and its axes, drawn without a screen."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    axes.set_title(title)
    axes.grid(alpha=0.3)
    return figure, axes


def draw_flood(*, seed: int) -> None:
    """Draw first tokens of urgent requests before and during a flood of batch work."""
    calm = make_arrivals(FLOOD, seconds=30.0, seed=seed)
    flood = make_arrivals((Stream("batch", 10.0),), seconds=30.0, seed=seed + 1)
    arrivals = sorted([*calm, *(a for a in flood if a.at > 10.0)], key=lambda item: item.at)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        system = run_system(deployment, arrivals)
    with start_fleet(FleetSpec(engines=ENGINES), seed=seed) as deployment:
        direct = run_direct(deployment, arrivals)
    figure, axes = make_axes("Urgent first token; batch at 10 times the capacity from 10 s on")
    for label, samples, colour in (
        ("called directly", direct, "tab:orange"),
        ("through the system", system, "tab:blue"),
    ):
        points = [_point(item) for item in by_rank(samples, "urgent")]
        axes.scatter(*zip(*points, strict=True), s=12, label=label, color=colour)
    axes.axhline(DEADLINE_S_BY_RANK["urgent"], color="tab:red", label="deadline 1.4 s")
    axes.set(xlabel="arrival (s)", ylabel="first token (s)", yscale="log")
    axes.legend()
    figure.savefig(DOCS / "flood.png", dpi=110, bbox_inches="tight")


def _point(sample: Sample) -> tuple[float, float]:
    """Return arrival and first token; no answer is drawn at the time when the caller gave up."""
    return sample.arrival.at, sample.first_s if sample.first_s is not None else sample.total_s


def draw_rollout(*, seed: int) -> None:
    """Draw how many of 100 hosts hold a new version, in the simulated links of bench.chunks."""
    scenario = SCENARIOS["rollout"]
    simulation = Simulation(scenario, seed=seed)
    simulation.run(limit_s=40 * simulation.lower_bound_s)
    bound = simulation.lower_bound_s
    times = sorted(host.done_at - simulation.started_at for host in simulation.hosts.values())
    last = simulate_baseline(scenario, seed=seed)["last_host"]
    figure, axes = make_axes("100 hosts in 3 regions take a version of 512 MiB")
    axes.step(times, range(1, len(times) + 1), where="post", label="from one another")
    axes.axvline(bound, color="tab:red", label=f"lower bound of the links, {bound:.0f} s")
    axes.axvline(last, color="tab:orange", label=f"every host from the origin, {last:.0f} s")
    axes.set(xlabel="time (s)", ylabel="hosts that hold the version", xscale="log")
    axes.legend()
    figure.savefig(DOCS / "rollout.png", dpi=110, bbox_inches="tight")


def main() -> None:
    """Draw one picture, or both."""
    parser = argparse.ArgumentParser(prog="bench.plots", description=__doc__)
    parser.add_argument("picture", nargs="?", choices=("flood", "rollout"))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.picture != "rollout":
        draw_flood(seed=options.seed)
    if options.picture != "flood":
        draw_rollout(seed=options.seed)


if __name__ == "__main__":
    main()
