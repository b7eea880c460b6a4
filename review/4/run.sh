#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. It needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review-2 ] && [ -x target/hoistrelay ] || exit 2
exec target/review-2 case foreign-layers review/4/record.txt
