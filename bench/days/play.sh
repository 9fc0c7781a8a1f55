#!/usr/bin/env bash
# play.sh BENCH SITE OUT DAY.toml...: plays each day, keeps its report as OUT/DAY.txt and prints its line of the table, in which
# the bench says BROKEN where a rule was. BENCH is the operators' program. Processor time isn't charged: a day mostly repeats.
set -u
bench=$1 site=$2 out=$3
shift 3
mkdir -p "$out"
for day in "$@"; do
  report=$out/$(basename "$day" .toml).txt
  "$bench" run "$site" "$day" --no-cpu >"$report" 2>&1
  grep -A1 '^day  ' "$report" | tail -1 | grep . || echo "not played: $(basename "$day")"
done
