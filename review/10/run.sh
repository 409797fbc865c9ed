#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
test -x "$python" || exit 2
exec timeout -k 5 118 "$python" case.py
