"""Commands `standin ..`: processes that simulate hosts, relays and the discovery server.

Each process simulates one kind. The scenarios of `testbed/` start these processes.
"""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import click

from ..clock import now
from .output import read_document

MAX_COMMAND_BYTES = 1 << 24

Command = dict[str, Any]


@click.group()
def standin() -> None:
    """Simulate hosts, relays or a discovery server, controlled by JSON lines on standard input."""


@standin.command()
@click.option("--receipts", "receipts_path", required=True, type=click.Path(dir_okay=False))
@click.option(
    "--work",
    "work_times",
    default="{}",
    help="CPU time of an exchange by class, in microseconds (JSON).",
)
def host(receipts_path: str, work_times: str) -> None:
    """Run HTTP hosts: {"do": "start", "host": "h1", "cores": 4, "slots": 8, "room": 64}."""
    from ..testbed.host_pool import HostPool

    with open(receipts_path, "w", buffering=1) as receipts:
        pool = HostPool(now, receipts, json.loads(work_times))
        asyncio.run(_run_commands(pool.execute))


@standin.command()
@click.option("--outcomes", "outcomes_path", required=True, type=click.Path(dir_okay=False))
def relay(outcomes_path: str) -> None:
    """Run relays with their clients: {"do": "start", "until": .., "relay": {..}}."""
    from ..testbed.relay_pool import RelayPool

    with open(outcomes_path, "w", buffering=1) as outcomes:
        asyncio.run(_run_commands(RelayPool(now, outcomes).execute))


@standin.command(
    help="Run the stock gRPC client as a relay; print the outcome of each exchange as a JSON line."
)
@click.option("--planner", required=True, help="ADDRESS:PORT of a planner's xDS frontend.")
@click.option("--uid", required=True)
@click.option("--hall", "zone", default="")
@click.option("--class", "class_names", multiple=True, required=True)
@click.option("--rate", default=50.0, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option(
    "--concurrency",
    default=256,
    show_default=True,
    type=click.IntRange(1),
    help="Maximum number of concurrent exchanges.",
)
def stock(
    planner: str,
    uid: str,
    zone: str,
    class_names: tuple[str, ...],
    rate: float,
    seconds: float,
    concurrency: int,
) -> None:
    """Run the stock gRPC client as a relay."""
    from ..testbed.stock_client import send_requests

    def write(outcome: dict[str, Any]) -> None:
        click.echo(json.dumps(outcome))

    asyncio.run(
        send_requests(planner, uid, zone, class_names, rate, seconds, concurrency, write, now)
    )


@standin.command(
    help='Run a discovery server that starts with a list from a file: {"do": "set", "hosts": [..]}.'
)
@click.option("--port", default=0, show_default=True)
@click.option("--late-ms", "delay_ms", default=0.0, show_default=True)
@click.argument("path", type=click.Path(dir_okay=False))
def roster(port: int, delay_ms: float, path: str) -> None:
    """Run a discovery server that starts with the endpoint list in a file."""
    asyncio.run(_serve_endpoint_list(port, delay_ms, path))


async def _serve_endpoint_list(port: int, delay_ms: float, path: str) -> None:
    from ..testbed.discovery_server import DiscoveryServer

    server = DiscoveryServer(delay=round(delay_ms * 1000))
    click.echo(json.dumps({"port": server.listen(port)}))
    server.publish(read_document(path)["hosts"])

    async def execute(command: Command) -> dict[str, int]:
        for entry in command.get("hosts", []):
            server.set(entry)
        return {"version": server.version}

    await _run_commands(execute)


async def _run_commands(execute: Callable[[Command], Awaitable[Any]]) -> None:
    """Execute commands from standard input until its end; answer each on standard output."""
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            answer = await execute(json.loads(line))
        except Exception as error:  # reported to the sender; later commands still run
            answer = {"error": f"{type(error).__name__}: {error}"}
        click.echo(json.dumps(answer))
