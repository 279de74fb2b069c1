#!/usr/bin/env bash
# Compares routing policies and role splits on the same mixes and seeds.
# Usage: scripts/policies.sh "MIXES" "SEEDS" POLICY[:PREFILL]...
# POLICY:4 starts four engines in the prefill role.
# ROLES sets the role policy. The default, manual, keeps the initial split.
set -euo pipefail
cd "$(dirname "$0")/.."
mixes=$1
seeds=$2
shift 2
roles=${ROLES:-manual}
for variant in "$@"; do
  policy=${variant%%:*}
  prefill=0
  [[ $variant == *:* ]] && prefill=${variant##*:}
  for mix in $mixes; do
    for seed in $seeds; do
      out=demo-out/policy-$policy-$prefill-$roles-$mix-$seed
      line=$(ROLES=$roles FLEET=8 OUT=$out MIX=$mix SEED=$seed POLICY=$policy PREFILL=$prefill scripts/demo.sh 2>"$out.err" | grep -E '^(SUMMARY|role changes)' | tr '\n' ' ' || echo "SUMMARY failed, see $out.err")
      echo "policy=$policy prefill=$prefill roles=$roles ${line#SUMMARY }"
    done
  done
done
