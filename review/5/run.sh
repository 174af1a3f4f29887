#!/usr/bin/env bash
# A stop of an entry host (SIGTERM) cuts a stream that it took and passed on.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
export TROUBLE=${TROUBLE:-1} PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py
