# Sourced by the cases' run.sh, with CASE set to the case's number: starts the case's stand-ins, which start the
# gatekeeper with the deploy file's `run`. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
if [ ! -x "build-review/case$CASE" ] || [ ! -x build/wingslip-gatekeeper ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
REVIEW_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
REVIEW_FOLDER=$(mktemp -d)
REVIEW_RECORD="review/$CASE/record.txt"
export REVIEW_RUN REVIEW_FOLDER REVIEW_RECORD
mkdir -p "$REVIEW_FOLDER/tmp"
code=0
timeout -k 2 115 "build-review/case$CASE" || code=$?
rm -rf "$REVIEW_FOLDER"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
