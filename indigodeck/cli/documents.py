"""The command `check`, which validates documents against their schemas."""

import json
import sys
from collections.abc import Callable
from typing import Any

import click

from ..json_documents import InvalidDocumentError
from .output import ExitCode, read_document


@click.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(paths: tuple[str, ...]) -> None:
    """Validate charters, scripts of scenarios and rosters against their schemas."""
    errors_found = False
    for path in paths:
        document_type, errors = _check_document(path)
        errors_found = errors_found or bool(errors)
        if errors:
            click.echo("\n".join(f"{path}: {message}" for message in errors))
        else:
            click.echo(f"{path}: valid {document_type}")
    sys.exit(ExitCode.PROBLEM_FOUND if errors_found else ExitCode.SUCCESS)


def _check_document(path: str) -> tuple[str, list[str]]:
    """Return the type of the document in a file, and its errors, each with its position."""
    from ..planner import endpoint_list, planner_settings
    from ..testbed import scenario_script

    document = read_document(path)
    if "hosts" in document and isinstance(document["hosts"], list):
        return "roster", _errors_from(
            lambda: endpoint_list.parse_endpoint_list(json.dumps(document))
        )
    if "relays" in document and "seconds" in document:
        return "script", scenario_script.check(document)
    return "charter", _errors_from(lambda: planner_settings.read_settings(path))


def _errors_from(read: Callable[[], Any]) -> list[str]:
    try:
        read()
    except InvalidDocumentError as error:
        return str(error).splitlines()
    return []
