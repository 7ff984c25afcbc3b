#!/bin/sh
# After the build of the deploy file: what the cases 6 to 10 start beside the balancer. Their stand-ins are Python scripts
# (python3 is among the packages that the tests declare, tools/need.sh); they start no compiled stand-in. Checked here:
# the interpreter, the scripts, and the program that the deploy file runs.
set -eu
cd "$(dirname "$0")/.."
python3 - review/lib-2/*.py review/*/case.py <<'END'
import ast, asyncio, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
print("the scripts of the cases can be read")
END
test -x build/flaxdoor_balancer || { echo "build/flaxdoor_balancer is missing: the build of the deploy file comes first"; exit 1; }
