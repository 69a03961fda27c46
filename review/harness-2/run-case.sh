#!/usr/bin/env bash
# run-case.sh FOLDER PROGRAM: runs the program of a case, with the gateway that the deploy file builds. The record goes into
# the case's folder; settings and logs go into a temporary folder.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
folder=$1
program=$2
cd "$(dirname "$0")/../.." || exit 2
gateway=target/savoryrill-gateway
[ -x "$gateway" ] && [ -x "target/review-2/$program" ] || { echo "not built: see review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 115 "target/review-2/$program" "$gateway" "$work" "$folder/record.txt"
code=$?
tail -n 4 "$folder/record.txt"
[ "$code" -le 1 ] && exit "$code"
exit 2
