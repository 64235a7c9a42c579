#!/usr/bin/env bash
# Exits with 1 if a program did not start, 0 if all did, and 2 if the case couldn't run. TROUBLE=0: the bound is a whole number.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
. review/standins-2/run.sh
run_case grace-limit "$here"
