#!/usr/bin/env bash
# Scores the deployments that are run before each merge to the main branch, and prints their results and
# pass/fail gates.
# Usage: scripts/regress.sh FLEETBENCH SITES WHY [JOBS]
# FLEETBENCH is the users' benchmark program, SITES the directory of its deployments, WHY a line for
# the journal. The deployments run one after the other, which takes about 30 minutes in total.
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
