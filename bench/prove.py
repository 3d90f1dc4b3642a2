"""Runs proofs: ``python -m bench.prove [PROMISE] --seed N``; exit status 0 only if all held."""

from __future__ import annotations

import argparse
import sys

from bench import proofs, proofs_of_state  # noqa: F401  both register their promises
from bench.promises import Checker, promises
from bench.rows import end_on_sigterm


def main() -> int:
    """Prove one promise, or all of them in order."""
    parser = argparse.ArgumentParser(prog="bench.prove", description=__doc__)
    parser.add_argument("promise", nargs="?", default="", help=", ".join(promises.list_names()))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    end_on_sigterm()
    names = [options.promise] if options.promise else promises.list_names()
    held = True
    for name in names:
        try:
            prove = promises.get(name)
        except LookupError as error:
            print(error, file=sys.stderr)
            return 2
        checker = Checker(promise=name, seed=options.seed)
        prove(checker, options.seed)
        held = checker.all_held and held
        print(f"{name}: {'proved' if checker.all_held else 'NOT proved'}", flush=True)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
