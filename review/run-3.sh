#!/bin/sh
# Runs one case of the stand-ins: run-3.sh CASE FOLDER. The exit status is that of the case: 1 broken, 0 held,
# 2 could not run. No case takes longer than 120 seconds.
set -u
cd "$(dirname "$0")/.."
program=target/review-3/release/drill-3
if [ ! -x "$program" ] || [ ! -x target/release/eelgrassholdd ]; then
    echo "build the system and then review/build-3.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
end() {
    # The processes have ended by now unless the case was ended itself.
    [ -f "$work/pids" ] && for pid in $(cat "$work/pids"); do
        grep -qs eelgrassholdd "/proc/$pid/comm" && grep -qs "$work" "/proc/$pid/cmdline" && kill -9 "$pid"
    done
    rm -rf "$work"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 112 "$program" "$1" "$2/record.txt" "$work"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
