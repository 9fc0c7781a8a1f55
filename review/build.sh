#!/usr/bin/env bash
# The stand-ins are Python, standard library alone: nothing is compiled. Checks that they can be read, and that the programs
# of the deploy file are there.
set -eu
cd "$(dirname "$0")"
python3 -B - common/*.py [0-9]/*.py <<'PY'
import ast, sys, tomllib  # tomllib: Python 3.11 or newer
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
for program in edge controller; do
    [ -x "../target/release/$program" ] || echo "target/release/$program is not built yet: run the build of deploy/system.toml" >&2
done
