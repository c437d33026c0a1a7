#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of
# deploy/system.toml. They are Python programs, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/aspenbridge ] || {
	echo "run the build of deploy/system.toml first" >&2
	exit 2
}
mkdir -p target/review-2
for file in review/standins-2/*.py review/6/memory.py review/7/case.py review/8/hang.py; do
	PYTHONPYCACHEPREFIX=target/review-2 PYTHONPATH=target/deps \
		python3 -m py_compile "$file"
done
touch target/review-2/built
