"""The command `weights`, which requests tables from a running planner."""

import asyncio
import json
import sys
import time
from typing import Any

import click

from ..clock import now
from .output import OUTPUT_FORMATS, ExitCode, fail

Endpoint = tuple[str, int]
Shares = dict[str, dict[Endpoint, float]]  # by class name: the share of each endpoint

BAR_WIDTH = 40  # characters of the bar for a share of 100%
POLL_INTERVAL_S = 0.05
DISCONNECT_TIMEOUT_S = 1  # how long the client may take to disconnect


@click.command()
@click.argument("planner")
@click.option(
    "--class",
    "class_names",
    multiple=True,
    required=True,
    help="A class of exchanges; may be repeated.",
)
@click.option(
    "--uid",
    default="indigodeck-weights",
    show_default=True,
    help="The id of the relay to connect as.",
)
@click.option(
    "--wait", "timeout_s", default=3.0, show_default=True, help="Seconds to wait for tables."
)
@click.option("--format", "output_format", default="people", type=click.Choice(OUTPUT_FORMATS))
def weights(
    planner: str, class_names: tuple[str, ...], uid: str, timeout_s: float, output_format: str
) -> None:
    """Show the tables that a running planner (ADDRESS:PORT) sends for classes over SASP."""
    from ..client import UnreachableError

    address, _, port = planner.rpartition(":")
    if not port.isdigit():
        fail(f"{planner}: not of the form ADDRESS:PORT")
    endpoint = (address.strip("[]") or "127.0.0.1", int(port))
    shares, errors = asyncio.run(_read_tables(endpoint, class_names, uid, timeout_s))
    if errors:
        unreached = isinstance(errors[0], UnreachableError)
        fail(
            f"{planner}: {errors[0]}", ExitCode.UNREACHABLE if unreached else ExitCode.PROBLEM_FOUND
        )
    if output_format == "json":
        click.echo(json.dumps(_as_json(shares)))
    else:
        _print_tables(class_names, shares)
    if len(shares) < len(class_names):
        sys.exit(ExitCode.PROBLEM_FOUND)


async def _read_tables(
    endpoint: Endpoint, class_names: tuple[str, ...], uid: str, timeout_s: float
) -> tuple[Shares, list[Exception]]:
    """Connect as a proxy until all tables have arrived; return their shares and any errors."""
    from ..client import Tables
    from ..client.sasp import SaspClient

    errors: list[Exception] = []
    tables = Tables(class_names, now)
    client = SaspClient(uid, [endpoint], tables, connection_lost=errors.append)
    task = asyncio.get_running_loop().create_task(client.run())
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline and not all(tables.lines.values()) and not errors:
        await asyncio.sleep(POLL_INTERVAL_S)
    client.stop()
    await asyncio.wait([task], timeout=DISCONNECT_TIMEOUT_S)
    return {name: tables.shares(name) for name in class_names if tables.lines[name]}, errors


def _as_json(shares: Shares) -> dict[str, Any]:
    return {
        name: {
            f"{address}:{port}": round(share, 6)
            for (address, port), share in sorted(endpoint_shares.items())
        }
        for name, endpoint_shares in shares.items()
    }


def _print_tables(class_names: tuple[str, ...], shares: Shares) -> None:
    for name in class_names:
        click.echo(name if name in shares else f"{name}: no table")
        largest_first = sorted(shares.get(name, {}).items(), key=lambda item: -item[1])
        for (address, port), share in largest_first:
            endpoint = f"{address}:{port}"
            click.echo(f"  {endpoint:24} {share:7.2%}  {'#' * round(share * BAR_WIDTH)}")
