"""The command `indigodeck`, with one module for each group of commands.

Exit codes are those of `cli.output.ExitCode`. A command's module is loaded only when the command
is run, and a command imports what it needs only then, so that nothing is loaded that only other
commands use.
"""

import importlib
import os

import click

# By default grpcio logs every connection that ends; this program logs the relevant ones itself.
# A value set by the user is kept.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

MODULES_BY_COMMAND = {
    "check": "documents",
    "day": "scenario",
    "edge": "planner",
    "fleet": "controllers",
    "handover": "controllers",
    "serve": "planner",
    "standin": "testbed",
    "trust": "trust",
    "versions": "versions",
    "weights": "tables",
}


class LazyGroup(click.Group):
    """A group that loads the module of a command on demand; the function has the command's name."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted(MODULES_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of this name, or None if there is none."""
        module_name = MODULES_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = importlib.import_module(f".{module_name}", __name__)
        return getattr(module, cmd_name)


@click.group(cls=LazyGroup, help="Tells relays which hosts serve which class of exchanges.")
@click.version_option(package_name="indigodeck")
def main() -> None:
    """Run the command line."""
