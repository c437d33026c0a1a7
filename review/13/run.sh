#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here/../../target/deps" PYTHONDONTWRITEBYTECODE=1
timeout -s TERM 118 python3 "$here/case.py"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
