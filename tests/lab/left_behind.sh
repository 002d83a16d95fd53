#!/usr/bin/env bash
# Kills the lab (SIGKILL) while its gatekeepers serve. Guards against orphaned processes: all gatekeepers must end
# within 5 s.
set -u
# The kernel truncates a process name in /proc/PID/comm to 15 bytes: "wingslip-gateke".
lab=$1 scenario=$2 out=$3 gatekeeper=$4
rm -rf "$out"
"$lab" run "$scenario" --seed 1 --out "$out" --gatekeeper "$gatekeeper" >/dev/null 2>&1 &
labpid=$!
for _ in $(seq 100); do
  [ "$({ wc -l < "$out/pids"; } 2>/dev/null || echo 0)" -ge 3 ] && break
  sleep 0.1
done
mapfile -t pids < "$out/pids"
[ "${#pids[@]}" -ge 3 ] || { echo "${#pids[@]} gatekeepers started within 10 s, expected 3"; kill -9 "$labpid"; exit 1; }
kill -9 "$labpid"
wait "$labpid" 2>/dev/null
for _ in $(seq 50); do
  running=0
  for pid in "${pids[@]}"; do
    [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = wingslip-gateke ] && running=$((running + 1))
  done
  [ "$running" -eq 0 ] && { echo "all ${#pids[@]} gatekeepers ended after the lab was killed"; exit 0; }
  sleep 0.1
done
echo "$running of ${#pids[@]} gatekeepers still running 5 s after the lab was killed"
for pid in "${pids[@]}"; do [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = wingslip-gateke ] && kill -9 "$pid"; done
exit 1
