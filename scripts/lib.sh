# Functions to start and stop the processes of a deployment. Sourced by the other scripts.

# Process ids are kept as DIR/pid/NAME and logs as DIR/log/NAME.log.

# start_processes DIR: starts every process that DIR/processes.tsv lists.
start_processes() {
  local dir=$1 name command
  mkdir -p "$dir/pid" "$dir/log"
  while IFS=$'\t' read -r name command; do
    start_process "$dir" "$name" "$command"
  done < "$dir/processes.tsv"
}

# start_process DIR NAME COMMAND: the first word of COMMAND is a program in bin/.
start_process() {
  local dir=$1 name=$2
  # The arguments that layout writes contain no spaces.
  # shellcheck disable=SC2086
  "bin/"$3 < /dev/null > "$dir/log/$name.log" 2>&1 &
  echo $! > "$dir/pid/$name"
  # The shell then prints nothing when the process is killed.
  disown $!
}

# alive PID: whether PID is a process of this project. A process that ended and was not waited for has no command line,
# and a reused id belongs to another program.
alive() {
  local command
  command=$( (tr '\0' ' ' < "/proc/$1/cmdline") 2> /dev/null) || return 1
  case $command in
    bin/currantthread-*) return 0 ;;
    *) return 1 ;;
  esac
}

# signal_all SIGNAL FILE...: sends SIGNAL to the processes whose ids the files hold.
signal_all() {
  local signal=$1 file pid
  shift
  for file in "$@"; do
    [ -f "$file" ] || continue
    pid=$(cat "$file")
    if alive "$pid"; then kill "-$signal" "$pid" 2> /dev/null || true; fi
  done
}

# await_all SECONDS FILE...: waits until the processes ended; fails if some are left.
await_all() {
  local rounds=$(($1 * 10)) file left
  shift
  while [ "$rounds" -gt 0 ]; do
    left=
    for file in "$@"; do
      if [ -f "$file" ] && alive "$(cat "$file")"; then left=$file; fi
    done
    [ -n "$left" ] || return 0
    sleep 0.1
    rounds=$((rounds - 1))
  done
  return 1
}

# stop_group SECONDS FILE...: stops processes gracefully, and kills those that are left after SECONDS.
stop_group() {
  local seconds=$1 status=0
  shift
  signal_all TERM "$@"
  if ! await_all "$seconds" "$@"; then
    echo "some processes did not stop within $seconds s and are killed" >&2
    signal_all KILL "$@"
    await_all 5 "$@" || true
    status=1
  fi
  rm -f "$@"
  return $status
}

# stop_processes DIR: stops the daemons first, since they still call the platform while they stop.
stop_processes() {
  local dir=$1 status=0
  stop_group 40 "$dir"/pid/*-entry "$dir"/pid/*-sched || status=1
  stop_group 10 "$dir"/pid/* || status=1
  return $status
}

# running DIR: whether any process of DIR is alive.
running() {
  local file
  for file in "$1"/pid/*; do
    if [ -f "$file" ] && alive "$(cat "$file")"; then return 0; fi
  done
  return 1
}

# dead_processes DIR: names the processes that were started and are not alive.
dead_processes() {
  local file
  for file in "$1"/pid/*; do
    if ! alive "$(cat "$file")"; then basename "$file"; fi
  done
}

# bring_up DEPLOYMENT DIR: writes the files of a deployment, starts it, applies its settings and waits until it is ready.
bring_up() {
  local deployment=$1 dir=$2 admins admin
  rm -rf "$dir"
  bin/currantthread-standin layout --deployment "$deployment" --dir "$dir" || return
  start_processes "$dir"
  if ! bin/currantthread-standin wait --deployment "$dir/deployment.json" --timeout 30s; then
    echo "not running: $(dead_processes "$dir" | tr '\n' ' '); logs are in $dir/log" >&2
    return 1
  fi
  admins=()
  for admin in $(sed -n 's/.*"admin": "\(.*\)",*/\1/p' "$dir/deployment.json"); do
    admins+=(--api "$admin")
  done
  bin/currantctl "${admins[@]}" --operator scripts settings apply --comment "first settings" "examples/$deployment" \
    > "$dir/log/settings.log"
}
