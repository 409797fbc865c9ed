"""Runs the `indigodeck` command for `python -m indigodeck`."""

import sys


def main() -> None:
    """Run the command line, or the planner on the platform without loading the command line."""
    if sys.argv[1:] == ["edge"]:
        # Memory is limited on the platform, so modules of the other commands are not imported.
        from .edge.service import main as run_edge

        sys.exit(run_edge())
    from .cli import main as run_command_line

    run_command_line()


main()
