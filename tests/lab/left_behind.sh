#!/usr/bin/env bash
# The lab is killed (SIGKILL) while its gatekeepers serve: none of them is left running.
set -u
# "wingslip-gateke": the kernel keeps the first 15 bytes of a program's name.
lab=$1 scenario=$2 out=$3 gatekeeper=$4
rm -rf "$out"
"$lab" run "$scenario" --seed 1 --out "$out" --gatekeeper "$gatekeeper" >/dev/null 2>&1 &
labpid=$!
for _ in $(seq 100); do
  [ "$({ wc -l < "$out/pids"; } 2>/dev/null || echo 0)" -ge 3 ] && break
  sleep 0.1
done
mapfile -t pids < "$out/pids"
[ "${#pids[@]}" -ge 3 ] || { echo "the lab started ${#pids[@]} gatekeepers"; kill -9 "$labpid"; exit 1; }
kill -9 "$labpid"
wait "$labpid" 2>/dev/null
for _ in $(seq 50); do
  left=0
  for pid in "${pids[@]}"; do
    [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = wingslip-gateke ] && left=$((left + 1))
  done
  [ "$left" -eq 0 ] && { echo "none of ${#pids[@]} left behind"; exit 0; }
  sleep 0.1
done
echo "$left of ${#pids[@]} gatekeepers left behind"
for pid in "${pids[@]}"; do [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = wingslip-gateke ] && kill -9 "$pid"; done
exit 1
