#!/usr/bin/env bash
# Runs the tests of all packages, with the race detector if RACE is "-race". The race detector itself crashes now and then, and then no test of
# the package has a result (ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346, or a SIGSEGV in its code).
#
# On arm64, packages in which that is frequent are tested without it, and so is a package in which it has just happened. On other machines the
# detector stays on: a package in which it crashes is tested again with each test in a process of its own, and a test in which it crashes
# is repeated a few times. A test without a result fails the run. So does a failed test or a reported race, whatever follows.
set -uo pipefail
go=${GO:-go}
race=${RACE:-}
# frequent_crashes are the packages in which the detector crashes often on arm64, and split those that are tested in one process for each test at once.
frequent_crashes="cell dispatch"
split="node"
# alone are the packages whose tests measure the memory of processes. They are tested one after another, once all other tests have ended.
alone="internal/untrusted"
# max_attempts bounds how often a test in which the detector crashes is run, and test_timeout is the time for one test.
max_attempts=5
test_timeout=5m

module=$("$go" list -m)
packages=$("$go" list ./...) || exit 1
without_race="" split_packages="" alone_packages=""
for name in $alone; do
  alone_packages="$alone_packages $module/$name"
  packages=$(printf '%s\n' "$packages" | grep -vxF "$module/$name")
done
if [ "$race" = -race ]; then
  if [ "$("$go" env GOARCH)" = arm64 ]; then
    for name in $frequent_crashes; do without_race="$without_race $module/$name"; done
  else
    for name in $split; do split_packages="$split_packages $module/$name"; done
  fi
  for package in $without_race $split_packages; do packages=$(printf '%s\n' "$packages" | grep -vxF "$package"); done
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
out=$work/out
status=0

# detector_crashed OUTPUT BINARY succeeds if the output of a test binary shows a crash of the detector, and neither a failed test nor a race.
detector_crashed() {
  grep -qE '^ *--- FAIL: |WARNING: DATA RACE|^panic: ' "$1" && return 1
  grep -q '^ThreadSanitizer: CHECK failed' "$1" && return 0
  grep -q '^SIGSEGV: segmentation violation' "$1" || return 1
  local pc
  pc=$(sed -n 's/^PC=0x\([0-9a-f]*\) .*/\1/p' "$1" | head -n 1)
  [ -n "$pc" ] && "$go" tool nm -n "$2" | PC=$pc awk '
    {address=$1; while(length(address)<16) address="0" address; pc=ENVIRON["PC"]; while(length(pc)<16) pc="0" pc
     if(address>pc) exit; name=$3}
    END{exit name !~ /^_*(tsan|sanitizer|interceptor)|__tsan|__sanitizer/}'
}

# test_alone BINARY NAME DIRECTORY runs one test in a process of its own. Its output ends with a line of its result.
test_alone() {
  local log=$work/$2.log attempt
  for attempt in $(seq "$max_attempts"); do
    # On fewer processors the detector crashes seldom.
    if (cd "$3" && GOMAXPROCS=$([ "$attempt" -eq 1 ] && nproc || echo 2) "$1" -test.run "^$2\$" -test.timeout "$test_timeout") >"$log" 2>&1; then
      [ "$attempt" -eq 1 ] || echo "the race detector crashed in $2, $((attempt - 1)) of $attempt attempts"
      return 0
    fi
    if ! detector_crashed "$log" "$1"; then
      cat "$log"
      grep -q "^--- FAIL: $2 " "$log" || echo "--- FAIL: $2 (no result)"
      return 1
    fi
  done
  cat "$log"
  echo "--- FAIL: $2 (the race detector crashed in each of $max_attempts attempts)"
  return 1
}

# test_split PACKAGE tests a package in one process for each test.
test_split() {
  local binary=$work/$(basename "$1").test directory began=$SECONDS failed=0
  directory=$("$go" list -f '{{.Dir}}' "$1")
  "$go" test -race -c -o "$binary" "$1" || { printf 'FAIL\t%s [build failed]\n' "$1"; return 1; }
  export go work max_attempts test_timeout
  export -f detector_crashed test_alone
  (cd "$directory" && "$binary" -test.list '^(Test|Example|Fuzz)') |
    xargs -P "$(nproc)" -I{} bash -c 'test_alone "$@" >"$work/{}.result" 2>&1 || echo "{}" >>"$work/failed"; cat "$work/{}.result"' _ "$binary" {} "$directory"
  [ -s "$work/failed" ] && failed=1
  rm -f "$work/failed"
  if [ "$failed" -eq 0 ]; then
    printf 'ok  \t%s\t%ss\n' "$1" "$((SECONDS - began))"
  else
    printf 'FAIL\t%s\t%ss\n' "$1" "$((SECONDS - began))"
  fi
  return "$failed"
}

# shellcheck disable=SC2086 # the lists are split on purpose
"$go" test $race $packages 2>&1 | tee "$out" || status=1

# Packages that failed with a crash of the race detector, those of them without a failed test or a race, and all packages that failed.
crashes=$(awk '/^ThreadSanitizer: CHECK failed|^SIGSEGV: segmentation violation/{crash=1} /^ *--- FAIL: |WARNING: DATA RACE|^panic: /{fail=1}
  /^(FAIL|ok)[ \t]+[^ \t]+/{if($1=="FAIL" && crash) print $2, fail+0; crash=fail=0}' "$out")
crashed=$(printf '%s\n' "$crashes" | awk '$2==0{print $1}')
failed=$(awk '/^FAIL[ \t]+[^ \t]+/{print $2}' "$out" | sort -u)
[ "$race" = -race ] || crashes="" crashed=""
if [ -n "$crashed" ]; then
  [ "$(printf '%s\n' "$crashed" | sort -u)" = "$failed" ] && status=0
fi
if [ -n "$without_race" ]; then
  [ -z "$crashed" ] || printf '\nthe race detector crashed, tested again without it: %s\n' "$(printf '%s' "$crashed" | tr '\n' ' ')"
  # shellcheck disable=SC2086
  "$go" test $without_race $crashed || status=1
else
  # A crash after a failed test hides the tests that would have followed.
  again=$(printf '%s\n' "$crashes" | awk '{print $1}')
  [ -z "$again" ] || printf '\nthe race detector crashed, tested again with each test in its own process: %s\n' "$(printf '%s' "$again" | tr '\n' ' ')"
  for package in $split_packages $again; do
    test_split "$package" || status=1
  done
fi
# shellcheck disable=SC2086
"$go" test -p 1 $race $alone_packages || status=1
exit "$status"
