#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python programs, the
# project's own in testsuite/platform among them, so this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, ".")
import deployment2, steps2
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
print("build-2: the stand-ins load")'
