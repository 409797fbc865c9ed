"""Shared by all commands: exit codes, error exits, common options, and reading documents."""

import json
import pathlib
import sys
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, NoReturn

import click

OUTPUT_FORMATS = ("people", "json")


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    SUCCESS = 0
    PROBLEM_FOUND = 1  # such as a broken rule, an invalid document or a rejected request
    USAGE_ERROR = 2  # invalid arguments, or a document that cannot be read
    UNREACHABLE = 3  # no process could be reached; for `serve`, an I/O error


settings_option = click.option(
    "--charter", "settings_path", required=True, type=click.Path(dir_okay=False)
)
format_option = click.option(
    "--format", "output_format", default="people", type=click.Choice(OUTPUT_FORMATS)
)


def fail(message: str, code: ExitCode = ExitCode.USAGE_ERROR) -> NoReturn:
    """Print a message on standard error, and exit with a code."""
    click.echo(message, err=True)
    sys.exit(code)


def print_answer(output_format: str, answer: Any, lines: Iterable[str]) -> None:
    """Print an answer as JSON, or as readable lines."""
    if output_format == "json":
        click.echo(json.dumps(answer))
    else:
        click.echo("\n".join(lines))


def read_document(path: str | pathlib.Path) -> Any:
    """Return the JSON document in a file; exit if it cannot be read."""
    try:
        return json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        fail(f"{path}: {error}")
