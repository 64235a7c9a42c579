#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review/release/deadly
[ -x "$program" ] && [ -x target/release/eelgrassholdd ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
timeout --kill-after=2 110 "$program" review/4/record.txt
result=$?
# Nothing is left here unless the program was ended early.
while read -r id; do
  if [ "$(readlink "/proc/$id/exe" 2>/dev/null)" = "$PWD/target/release/eelgrassholdd" ]; then
    kill -KILL "$id"
  fi
done < <(cat "$WORK/processes" 2>/dev/null)
rm -rf "$WORK"
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
