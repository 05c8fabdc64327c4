#!/usr/bin/env bash
# Starts a deployment, sends requests and jobs, kills one entry daemon and one runner meanwhile, and checks by counts that
# the guarantees held. Exits with 0 only if they did. Stops everything that it started, also when it is interrupted.
# Usage: scripts/demo.sh [manizales|baling]
# Environment: LOAD_ARGS holds the arguments of "currantthread-standin load"; KILL_AFTER is the time in seconds after which
# the entry daemon is killed.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

deployment=${1:-${DEPLOYMENT:-manizales}}
load_args=${LOAD_ARGS:---callers 60 --duration 15s --think 50ms --large --jobs --kill-runner-after 8s}
kill_after=${KILL_AFTER:-5}
dir=run/demo-$deployment
load=
cleanup() {
  local status=$?
  trap - EXIT
  trap '' INT TERM
  if [ -n "$load" ]; then kill -TERM "$load" 2> /dev/null || true; fi
  stop_processes "$dir" || status=1
  exit $status
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

if running "$dir"; then
  echo "the demo of $deployment is already running" >&2
  trap - EXIT
  exit 1
fi

echo "starting $deployment"
bring_up "$deployment" "$dir"

echo "sending requests and jobs"
# shellcheck disable=SC2086
bin/currantthread-standin load --deployment "$dir/deployment.json" $load_args --json "$dir/summary.json" &
load=$!
sleep "$kill_after"
victim=$(cd "$dir/pid" && ls -- *-entry | head -n 1)
if ! alive "$(cat "$dir/pid/$victim")"; then
  echo "$victim is not running; see $dir/log/$victim.log" >&2
  exit 1
fi
echo "killing $victim"
kill -KILL "$(cat "$dir/pid/$victim")"
rm -f "$dir/pid/$victim"

status=0
wait "$load" || status=$?
load=
dead=$(dead_processes "$dir")
if [ -n "$dead" ]; then
  echo "processes died: $dead; logs are in $dir/log" >&2
  status=1
fi
exit $status
