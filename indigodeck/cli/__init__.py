"""The command `indigodeck`: one module for each group of commands.

Exit codes are those of `cli.output.ExitCode`. A command's module is loaded when the command runs,
and imports what it needs then, so that a command loads nothing that only the others use.
"""

import importlib
import os

import click

# grpcio logs every connection that ends; this program logs what matters of it. Set, it is kept.
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
    """A group whose commands are functions of their name in modules that are loaded when asked."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, in order."""
        return sorted(MODULES_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, None if there is none of this name."""
        module_name = MODULES_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = importlib.import_module(f".{module_name}", __name__)
        return getattr(module, cmd_name)


@click.group(cls=LazyGroup, help="Tells relays which hosts serve which class of exchanges.")
@click.version_option(package_name="indigodeck")
def main() -> None:
    """Run the command line."""
