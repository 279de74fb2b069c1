# Sourced by the demonstrations: processes that are ended together, and waiting for
# them to answer. The caller sets out to the folder of the logs.
pids=()
stop() {
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 143' TERM INT

start() { # start NAME COMMAND...: runs a process with its log in $out/NAME.log
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

await() { # await URL: until it answers with success
  for _ in $(seq 200); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "demo: $1 did not answer; see the logs in $out" >&2
  return 1
}
