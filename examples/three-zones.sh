#!/usr/bin/env bash
# Starts three daemons in three availability zones, one platform stand-in and three engines, all on loopback.
# Measures online requests with streamed answers, then runs a batch job of 1,000 items (ITEMS), during which one
# daemon is killed with kill -9, and counts the results. All processes are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bins
bin=target/release
work=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

base=${BASE_PORT:-21000}
items=${ITEMS:-1000}
"$bin/cuminramp-standin" platform --listen "127.0.0.1:$base" >"$work/platform.log" & pids+=($!)
"$bin/cuminramp-standin" engine --listen "127.0.0.1:$((base + 1))" --count 3 >"$work/engines.log" & pids+=($!)
for zone in a b c; do
  index=$(printf '%d' "'$zone"); index=$((index - 97))
  cat >"$work/$zone.jsonc" <<SETTINGS
{
  "caller-address": "127.0.0.1:$((base + 10 + index))",
  "operator-address": "127.0.0.1:$((base + 20 + index))",
  "peer-address": "127.0.0.1:$((base + 30 + index))",
  "availability-zone": "gt-central-$zone",
  "platform": { "address": "127.0.0.1:$base" }
}
SETTINGS
  "$bin/cuminrampd" run --settings "$work/$zone.jsonc" >"$work/$zone.log" 2>&1 & pids+=($!)
  disown
done

cat >"$work/declarations.jsonc" <<DECLARATIONS
{
  "routes": [{ "name": "chat", "model": "villancico-llm", "pool": "gt-engines" }],
  "pools": [{ "name": "gt-engines", "kind": "engines", "targets": [
    { "name": "engine-0", "address": "127.0.0.1:$((base + 1))", "zone": "gt-central-a" },
    { "name": "engine-1", "address": "127.0.0.1:$((base + 2))", "zone": "gt-central-b" },
    { "name": "engine-2", "address": "127.0.0.1:$((base + 3))", "zone": "gt-central-c" }
  ] }],
  "teams": [{ "name": "parish-desk", "rate": 200, "burst": 400 }]
}
DECLARATIONS
operator="127.0.0.1:$((base + 20))"
for _ in $(seq 100); do
  "$bin/cuminramp" --operator "$operator" show >/dev/null 2>&1 && break
  sleep 0.1
done
"$bin/cuminramp" --operator "$operator" apply "$work/declarations.jsonc"
key=$("$bin/cuminramp" --operator "$operator" grant parish-desk --label demo)
for _ in $(seq 200); do # until every shard of the teams' rates has an owner
  curl -sf "http://$operator/readyz" >/dev/null && break
  sleep 0.1
done
"$bin/cuminramp" --operator "$operator" hosts

callers="127.0.0.1:$((base + 10)),127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12))"
echo "== online, through the daemons and directly"
"$bin/cuminramp" bench online --callers "$callers" --key "$key" --model villancico-llm \
  --rate "${RATE:-100}" --seconds "${SECONDS_ONLINE:-10}" --tokens 8 --direct "127.0.0.1:$((base + 1))" ${OUT:+--out "$OUT"}
echo "== a job of $items items; the third daemon is killed with kill -9 in its middle"
"$bin/cuminramp" bench batch --callers "${callers%,*}" --key "$key" --model villancico-llm \
  --items "$items" --tokens 8 ${OUT:+--out "$OUT"} & job=$!
sleep "${KILL_AFTER:-2}"
kill -9 "${pids[4]}"
echo "killed ${pids[4]}"
timeout 120 tail --pid="$job" -f /dev/null
