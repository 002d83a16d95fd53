# shellcheck shell=bash
# Installs the packages needed to build and test the project; sourced by tests/run.sh and tests/demo.sh.

# packages_install: installs what is missing from the machine's configured apt sources, as root.
packages_install() {
  local tool header package
  local -a missing=()
  for tool in clang-format clang-tidy cmake g++ git make; do
    command -v "$tool" >/dev/null || missing+=("$tool")
  done
  while read -r header package; do
    [ -e "/usr/include/$header" ] || missing+=("$package")
  done <<'HEADERS'
gtest/gtest.h libgtest-dev
boost/beast/http.hpp libboost-dev
nlohmann/json.hpp nlohmann-json3-dev
CLI/CLI.hpp libcli11-dev
toml++/toml.h libtomlplusplus-dev
xxhash.h libxxhash-dev
spdlog/spdlog.h libspdlog-dev
HEADERS
  [ ${#missing[@]} -gt 0 ] || return 0
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
}
