#!/usr/bin/env bash
# Starts the stand-ins and a fleet of entry processes on loopback addresses,
# runs a short mixed workload through all of them and checks the results. KEEP=1
# leaves everything running and prints commands to try. FLEET sets the number of
# entry processes. MIX selects the workload and SEED its random numbers.
set -euo pipefail
cd "$(dirname "$0")/.."
fleet=${FLEET:-4}
out=${OUT:-demo-out}
team=trinacria
[ "${MIX:-}" = rounds ] && team=piimaring
rm -rf "$out"
mkdir -p "$out"
config=$out/configuration.json
# For comparisons, POLICY replaces the routing policy, and PREFILL sets the number of
# engines that start in the prefill role.
sed "s/\"policy\": \"[a-z-]*\"/\"policy\": \"${POLICY:-completion-time}\"/" "examples/$team/configuration.json" >"$config"
# ROLES replaces the role policy, DWELL the minimum time between two role changes of an engine.
sed -i "s/\"roles\": {/\"roles\": {\"policy\": \"${ROLES:-cost-benefit}\", /; s/\"minDwell\": \"[0-9a-z]*\"/\"minDwell\": \"${DWELL:-10s}\"/" "$config"
prefill=${PREFILL:-0}
engines=127.0.1 services=127.0.2 service=flag
[ $team = trinacria ] || engines=127.0.4 services=127.0.5 service=dispatch

. scripts/processes.sh

start platform bin/rockdoor-lab platform --listen 127.0.0.9:9000
for i in $(seq 12); do
  fencing=()
  [ $((i % 2)) -eq 0 ] || fencing=(--fencing)
  role=mixed
  [ "$i" -gt "$prefill" ] || role=prefill
  start "lm-$i" bin/rockdoor-lab engine --listen "$engines.$i:8000" --name "lm-$i" --role "$role" "${fencing[@]}"
done
for i in 1 2 3; do
  start "$service-$i" bin/rockdoor-lab service --listen "$services.$i:8000" --name "$service-$i"
done
await http://127.0.0.9:9000/hosts

entries=()
for i in $(seq "$fleet"); do
  cat >"$out/entry-$i.json" <<JSON
{
  "name": "entry-$i", "host": "entry-host-$i", "domain": "catania-$(((i - 1) % 3 + 1))",
  "listen": "127.0.3.$i:8080", "admin": "127.0.3.$i:7001", "peer": "127.0.3.$i:7002",
  "platform": "http://127.0.0.9:9000",
  "limits": {"stopGrace": "500ms"},
}
JSON
  start "entry-$i" bin/rockdoor serve --settings "$out/entry-$i.json"
  entries+=(--entry "127.0.3.$i:8080")
done

export ROCKDOOR_ADMIN=127.0.3.1:7001
await "http://$ROCKDOOR_ADMIN/healthz"
bin/rockdoor config apply -m "demo" "$config"
for i in $(seq "$fleet"); do await "http://127.0.3.$i:7001/readyz"; done
bin/rockdoor status
echo
verdict=0
bin/rockdoor-lab load "${entries[@]}" --config "$config" --mix "${MIX:-demo}" --seed "${SEED:-1}" || verdict=$?

echo
echo "decisions by reason:"
grep -ho 'msg=decision request.*' "$out"/entry-*.log | grep -oE ' phase=[a-z]+ reason=[a-z-]+' | sort | uniq -c
echo "role changes: $(cat "$out"/entry-*.log | grep -c 'msg=decision.*kind=role' || true)"
echo "one of the decisions:"
grep -h 'msg=decision' "$out"/entry-1.log | grep class=rule-review | head -1 || true

if [ -n "${KEEP:-}" ]; then
  cat <<TEXT

The fleet is running. Try:
  curl -s 127.0.3.1:8080/flags/checkout -H 'Authorization: Bearer key-palermo'
  curl -sN 127.0.3.2:8080/v1/chat/completions -H 'Authorization: Bearer key-releases' -d '{"model": "rollout-notes", "stream": true, "messages": [{"role": "user", "content": "hello"}]}'
  bin/rockdoor explain --admin $ROCKDOOR_ADMIN --workspace palermo --model rule-review
  bin/rockdoor engine drain --admin $ROCKDOOR_ADMIN lm-1
  curl -s $ROCKDOOR_ADMIN/metrics
The logs are in $out. Interrupt to stop.
TEXT
  wait
fi
exit $verdict
