#!/usr/bin/env bash
# Runs 500 concurrent callers for 30 s, kills one entry daemon and one runner meanwhile, and checks by counts that the
# guarantees held.
# Usage: scripts/load.sh [manizales|baling]
set -euo pipefail
export LOAD_ARGS="--callers 500 --duration 30s --think 100ms --jobs --kill-runner-after 15s" KILL_AFTER=10
exec bash "$(dirname "$0")/demo.sh" "$@"
