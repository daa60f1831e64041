#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin3 ] || exit 2
exec target/standin3 -case status -record review/13/record.txt
