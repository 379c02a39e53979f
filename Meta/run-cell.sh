#!/usr/bin/env bash
# Builds, runs a local cell of real processes, serves one request of each kind and prints the answers.
# With --keep the cell stays up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target zinc-entry zincctl stand-in-platform stand-in-worker >/dev/null

bin=$PWD/build/bin
base=${ZINC_CELL_PORT:-21000}
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

"$bin/zincctl" keys new-operator --id admin --output json >"$work/operator.json"
operator_key=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["key"])' "$work/operator.json")
operators=$(python3 -c 'import json,sys
key = json.load(open(sys.argv[1]))
print("[{id: %s, salt: \"%s\", hash: \"%s\"}]" % (key["id"], key["salt"], key["hash"]))' "$work/operator.json")

platform=127.0.0.1:$base
start platform "$bin/stand-in-platform" --port "$base"
sleep 0.3

zones=(tamworth telford leicester)
entries=()
number=0
for zone in "${zones[@]}"; do
  start "workers-$zone" "$bin/stand-in-worker" --platform "$platform" --zone "$zone" --name "$zone-w" --count 6
  for copy in 1 2; do
    listen=127.0.0.1:$((base + 100 + number))
    peer=127.0.0.1:$((base + 200 + number))
    cat >"$work/$zone-$copy.yaml" <<YAML
name: $zone-$copy
zone: $zone
rack: r$copy
listen: $listen
peer: $peer
platform: {table: "$platform", object_store: "$platform", instance_list: "$platform"}
peers: ["127.0.0.1:$((base + 200))", "127.0.0.1:$((base + 202))"]
operators: $operators
YAML
    start "$zone-$copy" "$bin/zinc-entry" --settings "$work/$zone-$copy.yaml"
    entries+=("$listen")
    number=$((number + 1))
  done
done

export ZINC_ENTRIES
ZINC_ENTRIES=$(IFS=,; echo "${entries[*]}")
export ZINC_OPERATOR_KEY=$operator_key

for attempt in $(seq 100); do
  if "$bin/zincctl" declare apply docs/examples/document.yaml >"$work/apply.txt" 2>&1; then break; fi
  [ "$attempt" = 100 ] && { cat "$work/apply.txt" "$work"/*.log; exit 1; }
  sleep 0.2
done
cat "$work/apply.txt"

# Workers are known a moment after they have registered with the instance list.
for attempt in $(seq 100); do
  if [ "$("$bin/zincctl" workers --output json | grep -c '"id"')" -gt 0 ]; then break; fi
  sleep 0.2
done
sleep 2

grant() {
  "$bin/zincctl" keys grant --output json "$1" |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["key"])'
}
depots=$(grant depots)
plates=$(grant plates)

run() {
  local key=$1
  shift
  echo "\$ zincctl $*"
  ZINC_KEY=$key "$bin/zincctl" "$@"
}
run "$depots" submit --queue checks --payload "run_ms=5;result=crew free" --milli-cores 100
run "$depots" submit --queue swaps --request-id swap-1 --payload "run_ms=5;result=swapped" --milli-cores 100
run "$depots" submit --queue swaps --request-id swap-1 --payload "run_ms=5;result=swapped" --milli-cores 100
run "$depots" submit --queue rebuilds --request-id rebuild-1 --payload "run_ms=300" --milli-cores 1000
run "$depots" wait rebuild-1
run "$plates" submit --queue separations --request-id separation-1 --tasks 4 --payload "run_ms=200" --milli-cores 1000
run "$plates" wait separation-1
run "$plates" submit --queue proof-viewer --request-id viewer-1 --tasks 2 --milli-cores 500
sleep 1
run "$plates" status viewer-1
# A cancelled service ends a moment later: exit code 8 says that it is still in progress.
run "$plates" cancel viewer-1 || [ "$?" -eq 8 ]

if [ "${1:-}" = --keep ]; then
  echo "entries: $ZINC_ENTRIES"
  echo "operator key: $operator_key"
  echo "key of team depots: $depots"
  wait
fi
