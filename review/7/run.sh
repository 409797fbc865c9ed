#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
rm -f record.txt
timeout -k 4 114 ../../.venv/bin/python case.py
code=$?
result=$(tail -n 1 record.txt 2>/dev/null)
case "$code $result" in
"0 result: the rule held") exit 0 ;;
"1 result: broken"*) exit 1 ;;
*) exit 2 ;;
esac
