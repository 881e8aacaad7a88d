#!/bin/sh
# The stand-ins are Python files that use the standard library alone: there is nothing to compile or to fetch.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -c "import sys; sys.path.insert(0, 'review'); import standins"
