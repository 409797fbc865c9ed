"""The command `trust`: whether planners use a cached endpoint list, and how far it is verified."""

import json
import sys

import click

from .controller_group import Answer, any_answered, has_answered, read_operator_targets
from .output import ExitCode, format_option, settings_option


@click.command()
@settings_option
@format_option
def trust(settings_path: str, output_format: str) -> None:
    """Show whether planners use an endpoint list cached on disk, and how far it is verified."""
    answers = read_operator_targets(settings_path).send_request("versions", wish={"what": "trust"})
    if output_format == "json":
        click.echo(json.dumps(answers))
    else:
        for name, answer in answers.items():
            click.echo(f"{name:10} {_answer_text(answer)}")
    if not any_answered(answers):
        sys.exit(ExitCode.UNREACHABLE)


def _answer_text(answer: Answer) -> str:
    if not has_answered(answer):
        return f"unreached: {answer['unreached']}"
    cached = answer.get("trust")
    if cached is None:
        return f"uses list {answer['list']}"
    return (
        f"uses cached list {answer['list']}, {cached['age_s']} s old: "
        f"of {cached['named']} hosts, {cached['answer']} answer and {cached['do_not']} do not; "
        f"trust {cached['trust']}"
    )
