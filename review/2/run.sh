#!/bin/sh
# Plays the case; claim.txt tells what is seen. TROUBLE=0 leaves the disruption out: the program
# that is started reads it.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../kit/run.sh" 2
