#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/lycheeledge-entry ] || exit 2
exec timeout -k 1 119 target/review-2/cases key-while-turned-away review/10/record.txt
