#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# VARIANT=schedule submits an overdue schedule instead of a step of many tasks.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/large_submission "$folder" "${TROUBLE:-1}" "${VARIANT:-tasks}"
result=$?
cp "$folder/record.txt" review/1/record.txt
case $result in 0 | 1 | 2) exit $result ;; *) exit 2 ;; esac
