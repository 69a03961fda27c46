#!/usr/bin/env bash
# Runs a stand-in of the third review for a case: run-case.sh CASE-FOLDER STAND-IN. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-3/$2" ] && [ -x target/savoryrill-gateway ] || { echo "build first: see review/REPORT-3.md"; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "target/review-3/$2" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"
rm -rf "$folder"
[ $status -le 2 ] || status=2
exit $status
