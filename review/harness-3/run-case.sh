#!/usr/bin/env bash
# Runs a stand-in of the third review: run-case.sh STAND-IN RECORD, with TROUBLE in the environment. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -u
stand_in=$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-3/$stand_in" ] && [ -x target/savoryrill-gateway ] || { echo "build first: see review/REPORT-3.md"; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "target/review-3/$stand_in" "$folder" "$record" "${TROUBLE:-1}"
status=$?
rm -rf "$folder"
[ $status -le 2 ] || status=2
exit $status
