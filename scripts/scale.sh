#!/usr/bin/env bash
# Measures the control overhead of a number of entry processes, and how long a
# configuration change takes until all processes apply it: without failures, and
# with all watchers of the store killed.
# Usage: scripts/scale.sh PROCESSES [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
n=$1
seconds=${2:-15}
out=demo-out/scale-$n
rm -rf "$out"
mkdir -p "$out"
pids=()
stop() {
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop EXIT

bin/rockdoor-lab platform --listen 127.0.0.9:9100 >"$out/platform.log" 2>&1 &
pids+=($!)
await() {
  for _ in $(seq 600); do curl -fs -o /dev/null "$1" && return 0; sleep 0.1; done
  echo "scale: $1 did not respond" >&2
  return 1
}
await http://127.0.0.9:9100/hosts
for i in $(seq "$n"); do
  ip=127.1.$((i / 200)).$((i % 200 + 1))
  cat >"$out/entry-$i.json" <<JSON
{"name": "entry-$i", "host": "entry-host-$i", "domain": "domain-$((i % 11))",
 "listen": "$ip:8080", "admin": "$ip:7001", "peer": "$ip:7002", "platform": "http://127.0.0.9:9100"}
JSON
  echo "$ip:7001" >"$out/entry-$i.admin"
  bin/rockdoor serve --settings "$out/entry-$i.json" >"$out/entry-$i.log" 2>&1 &
  pids+=($!)
  echo $! >"$out/entry-$i.pid"
done
admin=$(cat "$out/entry-1.admin")
await "http://$admin/healthz"
bin/rockdoor config apply --admin "$admin" examples/trinacria/configuration.json
for i in $(seq "$n"); do await "http://$(cat "$out/entry-$i.admin")/readyz"; done
sleep 5
for note in a b c d e; do
  bin/rockdoor label --admin "$admin" -m "$note" host entry-host-1 "note=$note"
  sleep 0.5
done
bin/rockdoor-lab scale --dir "$out" --platform http://127.0.0.9:9100 --for "${seconds}s"

echo "with all watchers killed just before the change:"
killed=0
for i in $(seq 2 "$n"); do
  if grep -q '"watcher": true' <(curl -fs "http://$(cat "$out/entry-$i.admin")/api/v1/status"); then
    kill -KILL "$(cat "$out/entry-$i.pid")"
    rm "$out/entry-$i.pid"
    killed=$((killed + 1))
  fi
done
echo "killed $killed of $n"
bin/rockdoor label --admin "$admin" -m killed host entry-host-1 note=killed
sleep 8
bin/rockdoor-lab scale --dir "$out" --platform http://127.0.0.9:9100 --for 1s | tail -4
