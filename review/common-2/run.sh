#!/bin/sh
# Runs case.py of the folder that is given, and writes record.txt there.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review/common-2" \
    timeout -k 5 110 python3 "$folder/case.py" "$folder"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
