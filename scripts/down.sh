#!/usr/bin/env bash
# Stops the processes that scripts/up.sh started, and no others.
# Usage: scripts/down.sh [DEPLOYMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

status=0
[ $# -gt 0 ] || set -- manizales baling
for deployment in "$@"; do
  [ -d "run/$deployment/pid" ] || continue
  if running "run/$deployment"; then echo "stopping $deployment"; fi
  stop_processes "run/$deployment" || status=1
done
exit $status
