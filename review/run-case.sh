#!/bin/bash
# Runs a case of the stand-in program: run-case.sh FOLDER CASE. It exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$1 name=$2
cd "$(dirname "$0")/.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 5 118 review/bin/standin -case "$name" -gateway target/hookhall-gateway \
	-record "review/$folder/record.txt" -trouble="$trouble" -seed "${SEED:-1}"
status=$?
[ $status -gt 1 ] && status=2
exit $status
