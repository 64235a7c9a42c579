# Runs a stand-in program and ends whatever it has left. Read by the scripts of the cases.
run_case() {
  local program="target/review-2/release/$1" folder="$2" pids status pid
  if [ ! -x "$program" ] || [ ! -x target/release/eelgrassholdd ]; then
    echo "not built: $program or target/release/eelgrassholdd" >&2
    return 2
  fi
  pids="$(mktemp)"
  PIDS="$pids" RECORD="$folder/record.txt" timeout -k 2 115 "$program"
  status=$?
  while read -r pid; do
    if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = eelgrassholdd ]; then
      kill -CONT "$pid"
      kill -KILL "$pid"
    fi
  done <"$pids"
  rm -f "$pids"
  case "$status" in 0 | 1) return "$status" ;; *) return 2 ;; esac
}
