#!/bin/sh
# Builds the stand-ins of cases 4 to 8. They are programs of Python's own library: nothing is compiled, they are only read
# once, so that a fault in one shows here.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is needed for cases 4 to 8" >&2; exit 1; }
for program in common-2/*.py [4-8]/*.py; do
    [ -e "$program" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$program" || exit 1
done
