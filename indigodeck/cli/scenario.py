"""The command `day`, which runs a scripted scenario on loopback."""

import asyncio
import json
import sys
import time

import click

from .output import OUTPUT_FORMATS, ExitCode, fail, read_document


@click.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--against",
    "baselines",
    multiple=True,
    type=click.Choice(["equal", "frozen"]),
    help="Also run the scenario under this baseline policy, at the same time.",
)
@click.option(
    "--keep",
    "kept_folder",
    type=click.Path(file_okay=False),
    help="Keep receipts, outcomes and logs in this folder.",
)
@click.option("--format", "output_format", default="people", type=click.Choice(OUTPUT_FORMATS))
@click.option(
    "--bench-troubles",
    "bench_faults_path",
    type=click.Path(dir_okay=False),
    help="Use the faults in this file, in the format of bench days, instead of the script's.",
)
def day(
    path: str,
    baselines: tuple[str, ...],
    kept_folder: str | None,
    output_format: str,
    bench_faults_path: str | None,
) -> None:
    """Run a scripted scenario on loopback, and check the rules on its traffic."""
    from ..testbed import scenario, scenario_script
    from ..testbed.scenario_result import format_result

    script = read_document(path)
    if bench_faults_path:
        script["troubles"], unsupported_types = scenario_script.convert_bench_faults(
            read_document(bench_faults_path)
        )
        if unsupported_types:
            click.echo(
                f"ignored faults that scenarios do not support: {', '.join(unsupported_types)}",
                err=True,
            )
    errors = scenario_script.check(script)
    if errors:
        fail("\n".join(f"{path}: {error}" for error in errors))
    started = time.monotonic()

    def print_progress(text: str) -> None:
        click.echo(f"{time.monotonic() - started:6.1f} s  {text}", err=True)

    results = asyncio.run(
        scenario.run(script, ("indigodeck", *baselines), kept_folder, print_progress)
    )
    if output_format == "json":
        click.echo(json.dumps(results))
    else:
        click.echo("\n".join(format_result(result) for result in results))
    if not all(rule["kept"] for rule in results[0]["rules"]):
        sys.exit(ExitCode.PROBLEM_FOUND)
