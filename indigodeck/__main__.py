"""Run by `python -m indigodeck`: the same as the command `indigodeck`."""

import sys


def main() -> None:
    """Run the command line, or the planner on the platform without loading the command line."""
    if sys.argv[1:] == ["edge"]:
        # On the platform memory is short: what the other commands need is not even loaded.
        from .edge.service import main as run_edge

        sys.exit(run_edge())
    from .cli import main as run_command_line

    run_command_line()


main()
