#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 -B case.py
