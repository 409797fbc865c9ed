#!/bin/bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 3 118 "$folder/../../.venv/bin/python" "$folder/case.py"
