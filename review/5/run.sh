#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/wave_outage "$folder" "${TROUBLE:-1}"
result=$?
cp "$folder/record.txt" review/5/record.txt
case $result in 0 | 1 | 2) exit $result ;; *) exit 2 ;; esac
