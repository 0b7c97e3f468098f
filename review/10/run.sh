#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/poplarhook ] && [ -x target/review-rig-2 ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec target/review-rig-2 break "$folder"
