#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
PYTHONPATH=target/review-2 PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py" "$here"
