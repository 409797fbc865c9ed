#!/bin/bash
# Builds every stand-in that the cases start: they need the standard library only.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../.venv/bin/python" -m compileall -q "$folder"
