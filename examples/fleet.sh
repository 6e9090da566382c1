#!/usr/bin/env bash
# Starts HOSTS daemons in three availability zones, ENGINES engines and one platform stand-in as processes on
# loopback, and declares TEAMS teams (default: one). Then runs COMMAND with the addresses, process IDs and the API
# key of the first team in environment variables, and stops everything.
#   HOSTS=11 ENGINES=20 RATE=100 BURST=100 POLICY=shards examples/fleet.sh COMMAND...
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
hosts=${HOSTS:-3} engines=${ENGINES:-3} base=${BASE_PORT:-22000} teams=${TEAMS:-1}
export WORK; WORK=$(mktemp -d)
daemons=() others=()
trap 'kill -CONT "${daemons[@]}" 2>/dev/null || true; kill -9 "${daemons[@]}" "${others[@]}" 2>/dev/null || true; rm -rf "$WORK"' EXIT

"$bin/cuminramp-standin" platform --listen "127.0.0.1:$base" >"$WORK/platform.log" & others+=($!)
echo "${ENGINE_SETTINGS:-{\}}" >"$WORK/engine.jsonc"
"$bin/cuminramp-standin" engine --listen "127.0.0.1:$((base + 1))" --count "$engines" \
  --settings "$WORK/engine.jsonc" >"$WORK/engines.log" & others+=($!)
zones=(a b c)
callers=() operators=()
for index in $(seq 0 $((hosts - 1))); do
  caller="127.0.0.1:$((base + 100 + index))" operator="127.0.0.1:$((base + 200 + index))"
  cat >"$WORK/$index.jsonc" <<SETTINGS
{
  "caller-address": "$caller",
  "operator-address": "$operator",
  "peer-address": "127.0.0.1:$((base + 300 + index))",
  "availability-zone": "gt-central-${zones[$((index % 3))]}",
  "log-level": "${LOG_LEVEL:-info}",
  "quota": { "policy": "${POLICY:-shards}", "shards": ${SHARDS:-128} },
  "platform": { "address": "127.0.0.1:$base" }
}
SETTINGS
  "$bin/cuminrampd" run --settings "$WORK/$index.jsonc" >"$WORK/$index.log" 2>&1 & daemons+=($!)
  callers+=("$caller") operators+=("$operator")
done
disown -a

join() { local IFS=,; echo "$*"; }
export PLATFORM="127.0.0.1:$base" CALLERS OPERATORS PIDS KEY OPERATOR=${operators[0]} BIN=$bin MODEL=villancico-llm
CALLERS=$(join "${callers[@]}") OPERATORS=$(join "${operators[@]}") PIDS=$(join "${daemons[@]}")
{
  echo '{ "routes": [{ "name": "chat", "model": "villancico-llm", "pool": "gt-engines" },'
  echo '  { "name": "bookings", "path-prefix": "/bookings", "pool": "gt-bookings", "timeout-ms": 5000 }],'
  echo '  "pools": [{ "name": "gt-engines", "targets": ['
  for index in $(seq 1 "$engines"); do
    [ "$index" = 1 ] || echo ','
    echo "{ \"name\": \"engine-$index\", \"address\": \"127.0.0.1:$((base + index))\", \"zone\": \"gt-central-${zones[$((index % 3))]}\" }"
  done
  echo "] }, { \"name\": \"gt-bookings\", \"kind\": \"services\", \"targets\": [{ \"name\": \"desk\", \"address\": \"127.0.0.1:$((base + 1))\" }] }],"
  echo "  \"teams\": [{ \"name\": \"team-0\", \"rate\": ${RATE:-100}, \"burst\": ${BURST:-100} }"
  for index in $(seq 1 $((teams - 1))); do echo ", { \"name\": \"team-$index\", \"rate\": 10, \"burst\": 20 }"; done
  echo '] }'
} >"$WORK/declarations.jsonc"
for _ in $(seq 200); do "$bin/cuminramp" -o "$OPERATOR" show >/dev/null 2>&1 && break; sleep 0.1; done
sleep "${SETTLE:-6}" # time for the hosts to see each other in the lagging host list, and for shards to get owners
"$bin/cuminramp" -o "$OPERATOR" apply "$WORK/declarations.jsonc" --wait 20 | tail -1 >&2
KEY=$("$bin/cuminramp" -o "$OPERATOR" grant team-0)
sleep 2
"$@"
