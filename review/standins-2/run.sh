# Runs a stand-in program, and ends all that it has started and removes its files, also if the script is ended
# itself. Read by the scripts of the cases.
run_case() {
  local program="target/review-2/release/$1" folder="$2" status
  if [ ! -x "$program" ] || [ ! -x target/release/eelgrassholdd ]; then
    echo "not built: $program or target/release/eelgrassholdd" >&2
    return 2
  fi
  work="$(mktemp -d)"
  : >"$work/pids"
  trap clean_up EXIT
  trap 'exit 2' INT TERM HUP
  TMPDIR="$work" PIDS="$work/pids" RECORD="$folder/record.txt" timeout -k 2 115 "$program" &
  program_pid=$!
  wait "$program_pid"
  status=$?
  case "$status" in 0 | 1) return "$status" ;; *) return 2 ;; esac
}

clean_up() {
  # The program starts no process any more once it has ended.
  kill "$program_pid" 2>/dev/null
  wait "$program_pid" 2>/dev/null
  while read -r pid; do
    if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = eelgrassholdd ]; then
      kill -CONT "$pid"
      kill -KILL "$pid"
    fi
  done <"$work/pids"
  rm -rf "$work"
}
