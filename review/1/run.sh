#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not be told.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 review/1/case.py
