#!/usr/bin/env bash
# Starts stand-ins of the users' platform and three gateways on loopback addresses,
# sends requests through all of them, and prints the status of a gateway, a placement
# decision and the trace of one request. KEEP=1 leaves everything running.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${OUT:-demo-out}
rm -rf "$out"
mkdir -p "$out"

. scripts/processes.sh

start fleet bin/rockdoor-lab fleet --ip 127.0.7.1
await http://127.0.7.1:9000/objects/config/main
for i in 1 2 3; do
  cat >"$out/gateway-$i.json" <<JSON
{
  "name": "gateway-$i", "domain": "a", "store": "127.0.7.1:9000",
  "listen": "127.0.8.$i:8080", "readiness": "127.0.8.$i:8081", "metrics": "127.0.8.$i:9464", "peer": "127.0.8.$i:7660",
  "bounds": {"notice": "500ms"},
}
JSON
  bin/rockdoor gateway check-settings "$out/gateway-$i.json" >/dev/null
  start "gateway-$i" bin/rockdoor gateway serve --settings "$out/gateway-$i.json"
done
for i in 1 2 3; do await "http://127.0.8.$i:8081/readyz"; done

failed=0
for n in $(seq 60); do
  entry=127.0.8.$((n % 3 + 1)):8080
  curl -fs -o /dev/null -X POST -d change -H 'Host: shop.example' -H "X-Request-Id: review-$n" -H 'X-Model: m' \
    -H 'X-Token-Count: 9190,2' -H "X-Prompt-Prefix: aa:2520,subject$((n % 5)):3780,own$n:2890" "http://$entry/review/" || failed=$((failed + 1))
  curl -fs -o /dev/null -X POST -d flag -H 'Host: shop.example' -H "X-Request-Id: flag-$n" "http://$entry/flags/checkout" || failed=$((failed + 1))
done
echo "120 requests, $failed failed"
echo
bin/rockdoor gateway status --admin 127.0.8.1:9464
echo
bin/rockdoor gateway explain --admin 127.0.8.1:9464 --host shop.example --path /review/ --prompt 9190 --shared 6300 --subject subject1
echo
sleep 0.3
bin/rockdoor trace review-60 "$out"/gateway-*.log
if [ -n "${KEEP:-}" ]; then
  echo "The gateways are running on 127.0.8.1 to 127.0.8.3. The logs are in $out. Interrupt to stop."
  wait
fi
[ "$failed" -eq 0 ]
