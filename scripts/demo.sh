#!/usr/bin/env bash
# Demo on loopback: starts a platform stand-in, four upstream stand-ins and two
# entry VMs, makes one call of each kind, and stops everything.
set -euo pipefail
build=${1:-build}
here=$(cd "$(dirname "$0")/.." && pwd)
run=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap cleanup EXIT
bin="$build/mustardspoke"

start() { "$@" >>"$run/log" 2>&1 & pids+=($!); }
start "$build/standin-platform" 127.0.0.1:7300
start "$build/standin-upstream" 127.0.0.1:7311 10 5
start "$build/standin-upstream" 127.0.0.1:7312 10 5
start "$build/standin-upstream" 127.0.0.1:7321 6 20
start "$build/standin-upstream" 127.0.0.1:7331 3 0

public() { sed -n 's/.*"public": "\([0-9a-f]*\)".*/\1/p' "$run/$1.key"; }
for team in root stock orders; do
  "$bin" keys --seed="demo-$team" >"$run/$team.key"
done
sed -e "s/@STOCK_KEY@/$(public stock)/" -e "s/@ORDERS_KEY@/$(public orders)/" \
  "$here/examples/demo/root.json" >"$run/root.json"
cp "$here/examples/demo/stock.json" "$here/examples/demo/orders.json" "$run"
for team in root stock orders; do
  "$bin" bundle sign-off "$team" 1 "$run/$team.json" --key="$run/$team.key" \
    >"$run/$team.signed"
done

settings() { # name, failure domain, port base
  cat >"$run/$1.json" <<JSON
{
  "vm": "$1", "region": "dfw", "failureDomain": "$2",
  "listen": { "callers": "127.0.0.1:$3", "peers": "127.0.0.1:$(($3 + 1))",
              "operators": "127.0.0.1:$(($3 + 2))" },
  "operators": { "token": "demo-token" },
  "platform": { "address": "127.0.0.1:7300" },
  "peers": ["127.0.0.1:7341", "127.0.0.1:7351"],
  "rootKey": "$(public root)",
  "tuning": { "lookupLifeMs": 500 }
}
JSON
}
settings vm-1 dfw-a 7340
settings vm-2 dfw-b 7350
start "$bin" entry "$run/vm-1.json"
start "$bin" entry "$run/vm-2.json"

retry() { # runs a command until it succeeds, at most 15 s
  for _ in $(seq 75); do
    if "$@" >"$run/out" 2>&1; then return 0; fi
    sleep 0.2
  done
  cat "$run/out" "$run/log"
  return 1
}
op=(--entry=127.0.0.1:7342 --token=demo-token)
echo "== the bundle is accepted: three sections, signed by three teams"
retry "$bin" bundle accept "${op[@]}" "$run"/{root,stock,orders}.signed
cat "$run/out"
echo "== a stock look-up"
retry "$bin" call stock-lookup --entry=127.0.0.1:7350 --path=/run/hopper-7
cat "$run/out"
echo "== an order booking, which may not repeat"
echo '{"hoppers":2}' >"$run/order"
retry "$bin" call order-booking --entry=127.0.0.1:7350 --path=/run/order-41 \
  --body="$run/order" --tenant=quarry-9
cat "$run/out"
echo "== a load sheet of 64 MiB, streamed"
retry "$bin" call load-sheets --entry=127.0.0.1:7340 --path=/bytes/67108864
sed -e 's/x\{20,\}/x.../' "$run/out"
echo "== a planned stop of vm-1"
kill -TERM "${pids[5]}"
wait "${pids[5]}" && echo "vm-1 left"
retry "$bin" call stock-lookup --entry=127.0.0.1:7350 --path=/run/hopper-8
echo "a look-up through vm-2 after it: done"
