# Sourced by the demo scripts: functions that start processes, stop all of them when the script exits,
# and wait until a process responds. The sourcing script sets out to the directory of the logs.
pids=()
stop() {
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 143' TERM INT

start() { # start NAME COMMAND...: runs COMMAND in the background with its log in $out/NAME.log
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

await() { # await URL: waits until URL responds with success, for 200 attempts 0.1 s apart
  for _ in $(seq 200); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "demo: $1 did not respond; see the logs in $out" >&2
  return 1
}
