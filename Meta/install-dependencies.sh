#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail

packages=(
  ccache clang-format clang-tidy cmake g++ git ninja-build python3
  libbenchmark-dev libboost1.81-dev libcxxopts-dev libfmt-dev libgtest-dev libjsoncpp-dev
  libjsonrpccpp-dev libpcg-cpp-dev librapidcheck-dev libssl-dev libxxhash-dev
  libyaml-cpp-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query --show --showformat='${Status}' "$package" 2>/dev/null |
    grep --quiet 'ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
