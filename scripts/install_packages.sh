#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need, unless all of them are present.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy libh2o-evloop-dev libssl-dev libcereal-dev libboost-dev
  libeasyloggingpp-dev nlohmann-json3-dev catch2 librapidcheck-dev zlib1g-dev curl openssl)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
"${sudo_command[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -q "${packages[@]}"
