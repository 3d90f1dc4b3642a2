"""Runs scenarios: ``python -m bench [SCENARIO] --seed N``; exit status 1 if a target is missed."""

from __future__ import annotations

import argparse
import sys

from bench import (  # noqa: F401  they register their scenarios
    churn,
    control,
    floods,
    partition,
    rollouts,
    scenarios,
    tables,
)
from bench.rows import Recorder, end_on_sigterm
from bench.scenarios import scenarios as registry


def main() -> int:
    """Run one scenario, or all of them in order."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("scenario", nargs="?", default="", help=", ".join(registry.list_names()))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    end_on_sigterm()
    names = [options.scenario] if options.scenario else registry.list_names()
    met = True
    for name in names:
        try:
            run = registry.get(name)
        except LookupError as error:
            print(error, file=sys.stderr)
            return 2
        recorder = Recorder(scenario=name, seed=options.seed)
        run(recorder, options.seed)
        met = recorder.all_met and met
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
