#!/usr/bin/env bash
# Plays the regression set of the users' bench and prints one table: worth by day, and the gate, of each deployment.
# FLEETBENCH is the program and SITES the folder of the site files; neither is part of this repository. JOBS is the number of days
# that are played at a time, and further arguments go to "score" (such as --quick).
set -uo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?path of the bench}" "${SITES:?folder of the site files}"
set_of_sites="further/brazos-tumble further-grown/brazos-tumble-grown grown/kioscos-reserva-grown grown/wpm-belownia-grown large/kioscos-reserva-large"
status=0
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for site in $set_of_sites; do
  "$FLEETBENCH" score "$SITES/$site.toml" --jobs "${JOBS:-4}" --why "regression set" "$@" >"$out/$(basename "$site")" 2>&1
  grep -q '^GATE passed' "$out/$(basename "$site")" || status=1
done
printf '| deployment | days: worth | rules broken | score | gate |\n| --- | --- | --- | --- | --- |\n'
for site in $set_of_sites; do
  awk -v site="$(basename "$site")" '
    / own\/srv +score +worth /{days=1; next}
    days && $2 ~ /^[0-9]+\/[0-9]+$/{list=list (list=="" ? "" : ", ") $1" "$4; if (match($0, /BROKEN: [^(]*/)) broken=broken" "$1": "substr($0, RSTART+8, RLENGTH-8)}
    /^score on /{for (i=1;i<=NF;i++) if ($i ~ /^[0-9.]+,$/) {score=$i; sub(",", "", score); break}}
    /^GATE /{gate=$2}
    END{printf "| %s | %s | %s | %s | %s |\n", site, list, (broken=="" ? "none" : broken), (score=="" ? "-" : score), (gate=="" ? "not played" : gate)}' "$out/$(basename "$site")"
done
exit "$status"
