"""python -m indigodeck: the same as the command `indigodeck`."""

import sys


def main():
    if sys.argv[1:] == ["edge"]:
        # On the platform memory is short: what the other commands need is not even loaded.
        from .edge.service import main as edge

        sys.exit(edge())
    from .cli import main as cli

    cli()


main()
