#!/bin/sh
# Builds what the scripts of cases 11 to 15 start, after the build line of deploy/system.toml: the
# stand-ins are Python and use the libraries under target/deps, so they are only compiled as a check.
cd "$(dirname "$0")/.." || exit 2
exec env PYTHONPATH="target/deps" python3 - <<'PYTHON'
import pathlib
import sys

for folder in ("standins", "review/common-3", *(f"review/{n}" for n in range(11, 16))):
    for path in pathlib.Path(folder).glob("*.py"):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
import tornado  # noqa: F401  the library that the stand-ins need

print("stand-ins built", file=sys.stderr)
PYTHON
