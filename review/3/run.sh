#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/world ] && [ -x target/switchferry ] || { echo 'build the project and review/build.sh first' >&2; exit 2; }
exec target/review/world -case forgotten -record "$here/record.txt"
