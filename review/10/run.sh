#!/bin/sh
# See claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec python3 review/10/case.py
