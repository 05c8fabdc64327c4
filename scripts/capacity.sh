#!/usr/bin/env bash
# Measures the resource usage of one entry daemon and one sched daemon with the given numbers of workers and running tasks
# in their failure domain: processor time, memory, and bytes read and written. The values come from /proc and cover an
# interval in which no task starts or ends.
# Usage: scripts/capacity.sh WORKERS TASKS [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
workers=${1:?workers} tasks=${2:?tasks} seconds=${3:-20}
dir=run/capacity
net=127.90.1
rm -rf "$dir"
mkdir -p "$dir"
pids=()
cleanup() {
  trap - EXIT
  local i rounds=50 left
  # Stops the newest process first, because workers and daemons call the platform while they stop.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill "${pids[$i]}" 2> /dev/null || true; done
  while [ "$rounds" -gt 0 ]; do
    left=0
    for pid in "${pids[@]}"; do if kill -0 "$pid" 2> /dev/null; then left=1; fi; done
    [ "$left" = 1 ] || return 0
    sleep 0.1
    rounds=$((rounds - 1))
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" < /dev/null > "$dir/$name.log" 2>&1 &
  pids+=($!)
  eval "$name=$!"
}

bootstrap() {
  printf 'vm = "e1"\nregion = "r"\ndomain = "d"\n'
  printf '%s\n' "$@"
  printf '[platform]\ntable_url = "http://%s"\nobjects_url = "http://%s"\nvm_list_url = "http://%s"\n' \
    127.90.0.1:9001 127.90.0.1:9002 127.90.0.1:9003
}

cat > "$dir/vms.json" << EOF
[{"id":"e1","role":"entry","state":"live","region":"r","domain":"d","addr":"$net.250:8081","sched_addr":"$net.250:7201"}]
EOF
bootstrap "caller_addr = \"$net.250:8080\"" "inner_addr = \"$net.250:8081\"" "admin_addr = \"$net.250:8082\"" > "$dir/entry.toml"
bootstrap "poll_addr = \"$net.250:7200\"" "inner_addr = \"$net.250:7201\"" "admin_addr = \"$net.250:7202\"" > "$dir/sched.toml"

start platform bin/currantthread-standin platform --table-addr 127.90.0.1:9001 --objects-addr 127.90.0.1:9002 \
  --vm-list-addr 127.90.0.1:9003 --control-addr 127.90.0.1:9000 --vms "$dir/vms.json"
sleep 1
# One stand-in process simulates at most 199 workers, because the last octet of an address ends at 255.
left=$workers
part=1
while [ "$left" -gt 0 ]; do
  count=$((left < 190 ? left : 190))
  # All stand-in processes use the same failure domain but different networks, which also makes worker names distinct.
  start "workers$part" bin/currantthread-standin workers --region r --domain d --net "127.90.$((part + 1))" \
    --workers "$count" --control-addr "127.90.$((part + 1)).254:9000" --objects-url http://127.90.0.1:9002 \
    --register-url http://127.90.0.1:9000
  left=$((left - count))
  part=$((part + 1))
done
start entry bin/currantthread-entry --config "$dir/entry.toml"
start sched bin/currantthread-sched --config "$dir/sched.toml"
ctl() { bin/currantctl --api "$net.250:8082" "$@"; }
sleep 6
submitted=0
while [ "$submitted" -lt "$tasks" ]; do
  count=$((tasks - submitted < 5000 ? tasks - submitted : 5000))
  ctl job submit --name load --team t --tasks "$count" --cpu-milli 100 --memory-mib 64 --runtime 10h > /dev/null
  submitted=$((submitted + count))
done
running() { ctl -o json cell list | sed -n 's/.*"running": \([0-9]*\).*/\1/p' | head -n 1; }
rounds=0
while [ "$(running)" -lt "$tasks" ] && [ "$rounds" -lt "${ROUNDS:-120}" ]; do
  sleep 1
  rounds=$((rounds + 1))
done
[ -z "${DEBUG:-}" ] || { ctl cell list; ctl job list; ctl job show "$(ctl -o json job list | sed -n "s/.*\"id\": \"\(.*\)\",/\1/p" | head -1)" | head -12; }
sleep 5

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes() { awk '/^[rw]char/{sum += $2} END {print sum}' "/proc/$1/io"; }
rss() { awk '/^VmRSS/{print $2}' "/proc/$1/status"; }
names=(entry sched platform)
before=()
for name in "${names[@]}"; do before+=("$(ticks "${!name}") $(bytes "${!name}")"); done
sleep "$seconds"
printf 'workers %s, tasks running %s, %s s\n' "$workers" "$(running)" "$seconds"
for i in "${!names[@]}"; do
  pid=${!names[$i]}
  read -r ticks0 bytes0 <<< "${before[$i]}"
  awk -v name="${names[$i]}" -v t="$(($(ticks "$pid") - ticks0))" -v b="$(($(bytes "$pid") - bytes0))" -v s="$seconds" \
    -v rss="$(rss "$pid")" 'BEGIN {printf "%-9s cpu %6.2f%% of a core, memory %6.1f MB, %8.1f KB/s\n", name, t / s, rss / 1024, b / s / 1024}'
done
