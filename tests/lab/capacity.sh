#!/usr/bin/env bash
# Tests `wingslip-lab capacity` on the files of a short run: it writes the page's tables, a second run changes
# nothing, and an invalid page or input directory is rejected with exit status 2.
# Usage: capacity.sh WINGSLIP_LAB SCALE_OUT PAGE FOLDER
set -euo pipefail
lab=$1 run=$2 page=$3 folder=$4/lab-capacity

rm -rf "$folder"
mkdir -p "$folder"
cp "$page" "$folder/page.md"
"$lab" capacity --in "$run" --out "$folder/page.md"
grep -q '^Outcome: \*\*' "$folder/page.md"
grep -q '^| gatekeeper | choice of a worker for a request |' "$folder/page.md"
cp "$folder/page.md" "$folder/once.md"
"$lab" capacity --in "$run" --out "$folder/page.md"
cmp "$folder/once.md" "$folder/page.md"

# Checks that the command exits with 2 and prints `message`. That the page is unchanged is checked at the end.
expect_rejected() {
  local message=$1 in=$2 out=$3 code=0 output
  output=$("$lab" capacity --in "$in" --out "$out" 2>&1) || code=$?
  [ "$code" -eq 2 ] || { echo "exit status $code, expected 2: $output"; exit 1; }
  grep -qF "$message" <<<"$output" || { echo "\"$message\" not printed; output: $output"; exit 1; }
}
expect_rejected "run.json: cannot be read" "$folder/missing" "$folder/page.md"
mkdir "$folder/damaged"
cp "$run"/*.json* "$folder/damaged/"
echo nonsense >>"$folder/damaged/measurements.jsonl"
expect_rejected "measurements.jsonl:" "$folder/damaged" "$folder/page.md"
echo "no markers" >"$folder/bare.md"
expect_rejected "no markers" "$run" "$folder/bare.md"
cmp "$folder/once.md" "$folder/page.md"
