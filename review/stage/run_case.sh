# Sourced by the cases' run.sh with the number of the case in CASE. Starts the case's program, which starts the
# gatekeeper with the command of the deploy file and all stand-ins, and ends them all.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/build/review-2/case-$CASE"
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$root/deploy/balancer.toml" | head -n 1)
export RUN_COMMAND ROOT_FOLDER="$root" RECORD="$here/record.txt"
if [ -z "$RUN_COMMAND" ] || [ ! -x "$program" ] || [ ! -x "$root/build/wingslip-gatekeeper" ]; then
  echo "could not run: build the deploy file's build and review/build-2.sh first" >&2
  exit 2
fi
timeout -k 2 110 "$program"
status=$?
[ "$status" -gt 1 ] && exit 2
exit "$status"
