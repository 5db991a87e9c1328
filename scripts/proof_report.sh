#!/usr/bin/env bash
# Writes BUILD/PROOF.md from the reports of the last test run.
set -euo pipefail
build=${1:-build}
here=$(cd "$(dirname "$0")/.." && pwd)
state() { # name of a process test or a unit test
  local found
  found=$(cat "$build"/processes-*.xml "$build"/unit.xml 2>/dev/null |
    sed 's/<TestCase/\n<TestCase/g' | grep -F "name=\"$1\"" |
    sed -n 's/.*result="\([a-z]*\)".*/\1/p' | head -1)
  if [ -z "$found" ] && grep -qw "$1" "$here/KNOWN-RED.txt" 2>/dev/null; then
    found="known red"
  fi
  echo "${found:-not run}"
}
rows() { # file of cells that name tests and their controls
  while IFS=$'\t' read -r flow fault invariant name control _; do
    result=$(state "$name")
    if [ "$result" = passed ]; then
      result="passed, no control"
      if [ "$control" != none ]; then
        result=failed
        [ "$(state "$control")" = passed ] && result=proved
      fi
    fi
    echo "| $flow | $fault | $invariant | $name | $control | $result |"
  done <"$1"
}
{
  echo "# Proof"
  echo
  echo "Written by the test run (\`make proof\`). A cell is *proved* when its run"
  echo "broke no invariant and its control, the same run with the mechanism taken"
  echo "out, broke its own. *Passed, no control* means that the test passed and that"
  echo "there is no such control yet: it is a test, not a proof."
  echo
  echo "## On the decision cores"
  echo
  echo "12 entry VMs, Lone Star at today's size, simulated time. Repeat one with"
  echo "\`build/proof-decisions --cell=NAME --first=SEED --seeds=N\`. Every run checks"
  echo "all invariants, not only the cell's own."
  echo
  echo "| flow | fault | invariant | cell | seeds | control: taken out | state |"
  echo "|---|---|---|---|---|---|---|"
  cat "$build"/proof-{limits,tickets,bundle,drain,lookup}.tsv |
    awk -F'\t' '{printf "| %s | %s | %s | %s | %s | %s | %s |\n",$1,$2,$3,$4,$5,$6,$7}'
  echo
  echo "## With real processes"
  echo
  echo "Repeat one with \`build/process-tests --run_test='*/NAME'\`."
  echo
  echo "| flow | fault | invariant | test | control | state |"
  echo "|---|---|---|---|---|---|"
  rows "$here/tests/proof/process_cells.tsv"
  echo
  echo "## On the gateway's decisions"
  echo
  echo "Fleets in simulated time. Repeat one with \`build/unit-tests --run_test='*/NAME'\`."
  echo
  echo "| flow | fault | invariant | test | control | state |"
  echo "|---|---|---|---|---|---|"
  rows "$here/tests/proof/gateway_cells.tsv"
  echo
  echo "## Not run"
  echo
  echo "Cells of the matrix that have no run yet:"
  echo
  sed 's/^/- /' "$here/tests/proof/not_run.txt"
} >"$build/PROOF.md"
! grep -qE '\| (failed|not run) \|$' "$build/PROOF.md"
