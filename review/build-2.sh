#!/bin/sh
# Builds the stand-ins of the second review's cases: they are Python's standard library alone, so all there is to do is to
# see that they compile. Needs no network; writes nothing.
set -eu
cd "$(dirname "$0")"
python3 - shared-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
END
