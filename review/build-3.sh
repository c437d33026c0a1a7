#!/bin/sh
# The stand-ins of the third review are plain Python and need no build: this
# checks that they and the scripts compile, and that the program is built.
cd "$(dirname "$0")" || exit 1
[ -d ../target/deps/aspenbridge ] || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
for file in standins-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
