"""Commands that run a planner: `serve` with a settings file, `edge` on the platform."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import click
import structlog

from ..json_documents import InvalidDocumentError
from .output import ExitCode, fail


@click.command()
@click.option(
    "--charter",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False),
    help="The planner's settings file (JSON).",
)
@click.option(
    "--log", "log_format", default="json", type=click.Choice(["json", "people"]), show_default=True
)
@click.option("--policy", default="indigodeck", hidden=True)
def serve(settings_path: str, log_format: str, policy: str) -> None:
    """Run a planner until it receives a signal to end."""
    from ..assignment.assigner import Assigner
    from ..planner.planner_settings import read_settings
    from ..serve import serve as run_planner

    configure_logging(log_format)
    make_assigner: Callable[..., Any] = Assigner
    if policy != "indigodeck":
        from ..testbed.baselines import BASELINES

        make_assigner = BASELINES[policy]
    try:
        settings = read_settings(settings_path)
        asyncio.run(run_planner(settings, make_assigner))
    except InvalidDocumentError as error:
        fail(str(error))
    except OSError as error:
        fail(f"{settings_path}: {error}", ExitCode.UNREACHABLE)


@click.command()
def edge() -> None:
    """Run a planner on the platform, configured by EDGE_CONFIG (docs/edge.md)."""
    from ..edge.service import main as run_on_platform

    sys.exit(run_on_platform())


def configure_logging(log_format: str) -> None:
    """Log JSON lines to standard output, or lines for people (coloured on a TTY) to stderr."""
    as_json = log_format == "json"
    renderer = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout if as_json else sys.stderr),
    )
