#!/usr/bin/env bash
# A stop of an entry host (SIGTERM) cuts a stream that it took and passed on.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 case.py
