# shellcheck shell=bash
# What the project builds and tests with, installed where it is missing; sourced by tests/run.sh and tests/demo.sh.

# packages_install: as root, from the machine's own package sources.
packages_install() {
  local tool header package
  local -a need=()
  for tool in clang-format clang-tidy cmake g++ git make; do
    command -v "$tool" >/dev/null || need+=("$tool")
  done
  while read -r header package; do
    [ -e "/usr/include/$header" ] || need+=("$package")
  done <<'HEADERS'
gtest/gtest.h libgtest-dev
boost/beast/http.hpp libboost-dev
nlohmann/json.hpp nlohmann-json3-dev
CLI/CLI.hpp libcli11-dev
toml++/toml.h libtomlplusplus-dev
xxhash.h libxxhash-dev
spdlog/spdlog.h libspdlog-dev
HEADERS
  [ ${#need[@]} -gt 0 ] || return 0
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${need[@]}"
}
