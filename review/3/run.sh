#!/usr/bin/env bash
# With TROUBLE=1, the default: each node is stopped by SIGTERM in turn.
# With TROUBLE=0: no node is stopped; all else is the same.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
