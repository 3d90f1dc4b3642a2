#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python sources that run with target/deps, which the build
# line of deploy/system.toml makes. Nothing is downloaded.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 - <<'PYTHON'
import compileall
import sys

import standins.platform  # noqa: F401  the project's stand-in, used by the cases

ok = compileall.compile_dir("standins", quiet=1)
ok = compileall.compile_dir("review/common-2", quiet=1) and ok
sys.exit(0 if ok else 1)
PYTHON
