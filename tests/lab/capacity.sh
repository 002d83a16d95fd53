#!/usr/bin/env bash
# `wingslip-lab capacity` on the files of a short run: the page's tables come out, written twice they are the
# same, and a page or folder that is wrong is turned down with exit 2.
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

# Exits 2, says `message`, and leaves the page as it was.
turned_down() {
  local message=$1 in=$2 out=$3 code=0 said
  said=$("$lab" capacity --in "$in" --out "$out" 2>&1) || code=$?
  [ "$code" -eq 2 ] || { echo "exit $code, not 2: $said"; exit 1; }
  grep -qF "$message" <<<"$said" || { echo "said: $said"; exit 1; }
}
turned_down "run.json: cannot be read" "$folder/missing" "$folder/page.md"
mkdir "$folder/damaged"
cp "$run"/*.json* "$folder/damaged/"
echo nonsense >>"$folder/damaged/measurements.jsonl"
turned_down "measurements.jsonl:" "$folder/damaged" "$folder/page.md"
echo "no markers" >"$folder/bare.md"
turned_down "no markers" "$run" "$folder/bare.md"
cmp "$folder/once.md" "$folder/page.md"
