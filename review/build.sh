#!/bin/sh
# Compiles the stand-ins of the scripts and checks that they can be imported.
# They run with the libraries that the build of deploy/system.toml has put into
# target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review python3 -m compileall -q review
PYTHONPATH=target/deps:review python3 -c 'import standins.caller, standins.fleet'
