#!/bin/sh
# Needs target/chicorydale (the deploy build) and review/standin-3/standin (review/build-3.sh). Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chicorydale ] && [ -x review/standin-3/standin ] || exit 2
exec review/standin-3/standin leaving review/15/record.txt
