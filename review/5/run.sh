#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review
python3 -c 'import standins.caller, standins.fleet' || exit 2
exec python3 review/5/case.py "${TROUBLE:-1}"
