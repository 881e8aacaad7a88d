#!/bin/sh
# Exits with 1 where the rule was broken, 0 where it held, 2 where the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "build first: see the deploy file"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/5/case.py
