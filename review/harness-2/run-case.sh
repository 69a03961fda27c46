#!/usr/bin/env bash
# run-case.sh PROGRAM RECORD: runs the program of a case, with the gateway that the deploy file builds. Settings and logs go
# into a temporary folder. The program reads TROUBLE.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
program=$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
gateway=target/savoryrill-gateway
[ -x "$gateway" ] && [ -x "target/review-2/$program" ] || { echo "not built: see review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 115 "target/review-2/$program" "$gateway" "$work" "$record"
code=$?
tail -n 4 "$record"
[ "$code" -le 1 ] && exit "$code"
exit 2
