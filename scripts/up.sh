#!/usr/bin/env bash
# Starts every process of a deployment on loopback addresses. They run until scripts/down.sh stops them.
# Usage: scripts/up.sh [manizales|baling]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

deployment=${1:-manizales}
dir=run/$deployment
if running "$dir"; then
  echo "$deployment is already running; stop it with: make down" >&2
  exit 1
fi
started=
trap '[ -n "$started" ] || stop_processes "$dir" || true' EXIT
trap 'exit 1' INT TERM
bring_up "$deployment" "$dir"
started=yes

value() { sed -n "s/^  \"$1\": \"\\(.*\\)\",*/\\1/p" "$dir/deployment.json"; }
cat << TEXT

$deployment is running. Files, logs and process ids are in $dir.

callers send requests to   http://ADDRESS/svc/$(value service)/PATH, for instance availability?place=p1, at
$(sed -n 's/.*"caller": "\(.*\)",*/  \1/p' "$dir/deployment.json")
operators' API and metrics of entry daemons
$(sed -n 's/.*"admin": "\(.*\)",*/  \1/p' "$dir/deployment.json")
metrics of sched daemons
$(sed -n 's/.*"sched_admin": "\(.*\)",*/  \1/p' "$dir/deployment.json")
table service, object store, VM list
  $(value table_url)  $(value objects_url)  $(value vm_list_url)

Fault switches: POST /faults with JSON; GET /faults shows them; GET /counts shows what ran.
platform: $(value control_url)/faults
  {"table":{"down":true}}   {"table":{"lose_answers":5}}   {"table":{"cut_domains":["NAME"]}}   {"silence":["table"]}
workers and runners of one failure domain, by VM ID or "*":
$(sed -n 's/.*"control_url": "\(.*254.*\)",*/  \1\/faults/p' "$dir/deployment.json")
  {"runners":{"*":{"slow_factor":20}}}   {"runners":{"ID":{"dead":true}}}   {"workers":{"ID":{"fail_all":true}}}
All switches are described in docs/protocols.md. Set them with, for instance:
  bin/currantthread-standin faults --url $(value control_url) '{"table":{"delay_ms":500}}'

Send load with:  bin/currantthread-standin load --deployment $dir/deployment.json
Stop with:       make down
TEXT
