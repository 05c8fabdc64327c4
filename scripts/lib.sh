# Functions that start and stop the processes of a deployment. The other scripts source this file.

# DIR/pid/NAME holds the id of a process, and DIR/log/NAME.log its log.

# start_processes DIR: starts every process listed in DIR/processes.tsv.
start_processes() {
  local dir=$1 name command
  mkdir -p "$dir/pid" "$dir/log"
  while IFS=$'\t' read -r name command; do
    start_process "$dir" "$name" "$command"
  done < "$dir/processes.tsv"
}

# start_process DIR NAME COMMAND: starts one process in the background. The first word of COMMAND is a program in bin/.
start_process() {
  local dir=$1 name=$2
  # The arguments written by "currantthread-standin layout" contain no spaces.
  # shellcheck disable=SC2086
  "bin/"$3 < /dev/null > "$dir/log/$name.log" 2>&1 &
  echo $! > "$dir/pid/$name"
  # Keeps the shell from printing a message when the process is killed.
  disown $!
}

# alive PID: succeeds if PID is a running process of this project. Its command line is checked, because a zombie process has
# none and a reused process id belongs to another program.
alive() {
  local command
  command=$( (tr '\0' ' ' < "/proc/$1/cmdline") 2> /dev/null) || return 1
  case $command in
    bin/currantthread-*) return 0 ;;
    *) return 1 ;;
  esac
}

# signal_all SIGNAL FILE...: sends SIGNAL to the processes whose ids are in the files.
signal_all() {
  local signal=$1 file pid
  shift
  for file in "$@"; do
    [ -f "$file" ] || continue
    pid=$(cat "$file")
    if alive "$pid"; then kill "-$signal" "$pid" 2> /dev/null || true; fi
  done
}

# await_all SECONDS FILE...: waits until the processes have ended; fails if some are still running after SECONDS.
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

# stop_group SECONDS FILE...: sends SIGTERM to the processes, kills those that are still running after SECONDS, and removes
# the files. Fails if it had to kill a process.
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

# stop_processes DIR: stops all processes of DIR. The daemons stop first, because they call the platform while they stop.
stop_processes() {
  local dir=$1 status=0
  stop_group 40 "$dir"/pid/*-entry "$dir"/pid/*-sched || status=1
  stop_group 10 "$dir"/pid/* || status=1
  return $status
}

# running DIR: succeeds if any process of DIR is alive.
running() {
  local file
  for file in "$1"/pid/*; do
    if [ -f "$file" ] && alive "$(cat "$file")"; then return 0; fi
  done
  return 1
}

# dead_processes DIR: prints the names of the processes that were started and are no longer alive.
dead_processes() {
  local file
  for file in "$1"/pid/*; do
    if ! alive "$(cat "$file")"; then basename "$file"; fi
  done
}

# bring_up DEPLOYMENT DIR: writes the files of a deployment, starts it, waits until it is ready and applies its settings.
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
