#!/usr/bin/env bash
# Runs a case's program: run-case.sh FOLDER PROGRAM. The program hosts the
# stand-ins, starts the gateways and ends them; they also end with it.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/$2
[ -x "$program" ] && [ -x target/mustardspoke ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --kill-after=2 110 "$program" "review/$1/record.txt" "$work"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  cp "$work"/*.log "$KEEP_LOGS"
fi
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
