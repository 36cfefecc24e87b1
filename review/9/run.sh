#!/bin/sh
# TROUBLE=0 leaves out the disruption; scenario.py reads it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 scenario.py
