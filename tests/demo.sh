#!/usr/bin/env bash
# Installs missing packages, builds, and starts one gatekeeper with four stand-in workers. Sends one request, prints
# the response, and keeps the gatekeeper running for ten minutes or until Ctrl-C; with `--once` it exits after the
# response.
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/packages.sh
packages_install

cmake -S . -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j"$(nproc)" --target wingslip-gatekeeper wingslip-lab

out=$(mktemp -d)
build/wingslip-lab run tests/lab/demo.toml --out "$out" 2>"$out/lab.log" >"$out/report" &
lab=$!
trap 'kill "$lab" 2>/dev/null || true; rm -rf "$out"' EXIT

port=
for _ in $(seq 100); do
  port=$(sed -nE 's/.*event=start gatekeeper=0 .*port=([0-9]+) .*/\1/p' "$out/lab.log" | head -n 1)
  [ -n "$port" ] && (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && break
  sleep 0.1
done
[ -n "$port" ] || { echo "the gatekeeper did not start within 10 s; log of the lab:"; cat "$out/lab.log"; exit 1; }

send_request() {
  exec 3<>"/dev/tcp/127.0.0.1/$port"
  printf 'GET /look?client=0000000000000001 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: 00000000000000a1\r\nX-Tier: large\r\nReq-Deadline-Ms: 1500\r\nX-Call-Terms: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n' >&3
  cat <&3
  exec 3>&-
}
sleep 1 # until the gatekeeper has its first endpoint list
response=$(send_request)
echo "$response"
grep -q "^HTTP/1.1 200" <<<"$response"
echo
echo "The gatekeeper listens at 127.0.0.1:$port; its log is $out/g0.log."
[ "${1:-}" = --once ] && exit 0
wait "$lab"
