#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x target/savoryrill-gateway ] && [ -x "target/review/case-$number" ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec "target/review/case-$number" "review/$number/record.txt"
