"""The command `indigodeck`: one module for each group of commands.

Exit codes are those of `cli.output.ExitCode`. Each command imports what it needs when it runs, so
that a command loads nothing that only the others use.
"""

import os

import click

from . import controllers, documents, planner, scenario, tables, testbed, trust, versions

# grpcio logs every connection that ends; this program logs what matters of it. Set, it is kept.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")


@click.group(help="Tells relays which hosts serve which class of exchanges.")
@click.version_option(package_name="indigodeck")
def main() -> None:
    """Run the command line."""


for command in (
    planner.serve,
    planner.edge,
    scenario.day,
    documents.check,
    tables.weights,
    controllers.fleet,
    versions.versions,
    trust.trust,
    controllers.handover,
    testbed.standin,
):
    main.add_command(command)
