#!/usr/bin/env bash
# Scores the deployments that are played before each landing and prints their gates.
# Usage: scripts/regress.sh FLEETBENCH SITES WHY [JOBS]
# FLEETBENCH is the users' bench, SITES the folder that has their deployments, WHY a line for
# the journal. One deployment is played after the other; a whole run takes some 30 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
sites=$2
why=$3
jobs=${4:-4}
failed=0
for site in large/trinacria-flags-large further-grown/bak-semarang-grown further/bak-semarang \
  grown/trinacria-flags-grown grown/piimaring-ops-grown; do
  echo "== $site"
  out=$("$bench" score "$sites/$site.toml" --jobs "$jobs" --why "$why")
  grep -E '^(day|quiet|trouble|scale|fresh|GATE)' <<<"$out"
  grep -q '^GATE passed' <<<"$out" || failed=1
done
exit $failed
