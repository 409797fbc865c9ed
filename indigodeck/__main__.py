"""python -m indigodeck: the same as the command `indigodeck`."""
from .cli import main

main()
