#!/usr/bin/env bash
# Runs the libraries' tests under the address and undefined-behaviour sanitizers, and those that use
# threads under the thread sanitizer. Passes over the tests that Meta/test.sh passes over and prints.
set -euo pipefail
cd "$(dirname "$0")/.."

red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -s -d :)
if [ -n "$red" ]; then
  export GTEST_FILTER="-$red"
fi

run() {
  local directory=$1 sanitizers=$2 tests=$3
  cmake -S . -B "$directory" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" \
    -DZINC_SANITIZERS="$sanitizers" >/dev/null
  # shellcheck disable=SC2086
  cmake --build "$directory" --target $tests
  for test in $tests; do
    echo "== $test under $sanitizers"
    RC_PARAMS=seed=20261203 UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 "$directory/bin/$test" --gtest_brief=1
  done
}

run build-asan address,undefined "TestBase TestCell TestAdapter TestDocument TestLedger TestLimits TestMembership TestPeer TestPlacement TestSettings TestTraffic"
run build-tsan thread "TestPeer TestTraffic TestLog TestMetrics"
