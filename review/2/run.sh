#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review/release/stopping
[ -x "$program" ] && [ -x target/release/eelgrassholdd ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
player=

# Ends what is left, also if this script is ended early: the program, and the daemons that it started.
end_all() {
  [ -z "$player" ] || kill -KILL "$player" 2>/dev/null
  while read -r id; do
    if [ "$(readlink "/proc/$id/exe" 2>/dev/null)" = "$PWD/target/release/eelgrassholdd" ]; then
      kill -KILL "$id"
    fi
  done < <(cat "$WORK/processes" 2>/dev/null)
  rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

"$program" review/2/record.txt &
player=$!
for ((tenths = 0; tenths < 1100; tenths++)); do
  kill -0 "$player" 2>/dev/null || break
  sleep 0.1
done
kill -0 "$player" 2>/dev/null && exit 2
wait "$player"
result=$?
player=
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
