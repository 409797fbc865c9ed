#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python of the standard library, so this only
# compiles them with the interpreter that the deploy file's build made.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q platform_2
