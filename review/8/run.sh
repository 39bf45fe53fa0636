#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand-2 ] || exit 2
# TROUBLE=0 leaves out the disruption.
exec target/review-2/stand-2 memory review/8 "${TROUBLE:-1}"
