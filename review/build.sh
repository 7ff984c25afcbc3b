#!/bin/sh
# Builds what the cases start besides the build of the deploy file. All stand-ins of these cases are Python programs of the
# folders review/lib and review/N, for the standard library alone: there is nothing to build. This checks that they can run.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing (tools/need.sh lists it)" >&2; exit 1; }
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else "python3 3.8 or newer is needed")'
for file in lib/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "nothing to build; the stand-ins can run"
