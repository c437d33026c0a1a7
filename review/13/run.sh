#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# The case itself exits with 10 for a broken rule, since an error of Python is 1.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
export PYTHONPATH="$here/../../target/deps" PYTHONDONTWRITEBYTECODE=1
python3 "$here/case.py" &
case_pid=$!
trap 'kill -TERM "$case_pid" 2>/dev/null' TERM INT HUP
wait "$case_pid"
code=$?
while kill -0 "$case_pid" 2>/dev/null; do
    wait "$case_pid"
    code=$?
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
