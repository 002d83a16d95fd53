#!/usr/bin/env bash
# Runs every check of the project: formatting, lint, warnings as errors, the tests without and with ASan and UBSan,
# the deployed build, and the installed package.
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/known_red.sh

. tests/packages.sh
packages_install

# All source files that git does not ignore, so that files in a new directory are checked too.
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.hpp' | xargs -0 clang-format --dry-run --Werror

# Runs clang-tidy with the compilation database in the directory $1. tests/package is a separate project and is
# not in that database.
lint() {
  git ls-files -z --cached --others --exclude-standard 'src/*.cpp' 'tools/*.cpp' 'tests/*.cpp' ':!tests/package' |
    xargs -0 -n1 -P"$(nproc)" clang-tidy --quiet -p "$1"
}

for kind in plain sanitize; do
  sanitize=OFF
  [ "$kind" = sanitize ] && sanitize=ON
  cmake -S . -B "build-test/$kind" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DWINGSLIP_TESTS=ON \
    -DWINGSLIP_WERROR=ON -DWINGSLIP_SANITIZE=$sanitize -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
  if [ "$kind" = plain ]; then lint build-test/plain; fi
  cmake --build "build-test/$kind" -j"$(nproc)"
  known_red_run KNOWN-RED.txt ctest --test-dir "build-test/$kind" --output-on-failure -j"$(nproc)"
done

# The deployed (Release) build: some warnings appear only at its optimization level, and they are errors as well.
cmake -S . -B build-test/release -DCMAKE_BUILD_TYPE=Release -DWINGSLIP_WERROR=ON >/dev/null
cmake --build build-test/release -j"$(nproc)"

# The installed package: find_package finds it, and a program outside the source tree links it and runs.
cmake --install build-test/plain --prefix "$PWD/build-test/prefix" >/dev/null
cmake -S tests/package -B build-test/package -DCMAKE_PREFIX_PATH="$PWD/build-test/prefix" >/dev/null
cmake --build build-test/package
./build-test/package/one_request
