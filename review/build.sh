#!/usr/bin/env bash
# Builds what the scripts of the review start beside the project's programs. The stand-ins and the
# callers are Python without dependencies and live in review/common and in the cases themselves.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
