"""CPU and memory of a planner under load: python benchmarks/load.py [RELAYS RATE SECONDS].

The default is 303 relays and 1,100 requests a second for 30 s. The planner shares this machine's
cores with 105 hosts and the relays with their clients, so only the planner process is measured
(utime and stime, resident set), from when all relays have joined until the end.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
from itertools import pairwise
from typing import Any, NamedTuple

from common import example_document, machine, write_result

from indigodeck.testbed.scenario import ScenarioRunner

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
HOSTS = 105
SETTLING_SECONDS = 4
IGNORED_LAST_SAMPLES = 2  # taken when the scenario may already have ended


class Sample(NamedTuple):
    """CPU time and memory that a process has used at a point in time."""

    at_s: float
    cpu_s: float
    resident_mb: float


def take_sample(pid: int) -> Sample:
    """Read the current sample of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return Sample(
        asyncio.get_running_loop().time(),
        (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        int(fields[21]) * PAGE_BYTES / 1e6,
    )


async def sample_planner(runner: ScenarioRunner, relays: int, samples: list[Sample]) -> None:
    """Sample the planner each second after all relays have joined."""
    while runner.planner is None or len(runner.relay_process_of) < relays:
        await asyncio.sleep(0.5)
    await asyncio.sleep(SETTLING_SECONDS)
    while runner.planner.returncode is None:
        samples.append(take_sample(runner.planner.pid))
        await asyncio.sleep(1)


def scenario_script(relays: int, rate: int, seconds: int) -> dict[str, Any]:
    """Return the script, in which a tenth of the hosts are replaced half-way."""
    script = example_document("bad-day.json")
    release = {"at": seconds / 2, "kind": "deploy", "part": 0.1, "size": 0.5, "seconds": 5}
    script.update(seconds=seconds, troubles=[release])
    script["hosts"].update(many=HOSTS, processes=3)
    script["relays"].update(many=relays, rate=rate, processes=4)
    script["charter"]["relays"] = {"rate": rate / relays, "strikes": 3}
    script["charter"]["reports"].update(probes_per_s=60)
    return script


async def main(relays: int, rate: int, seconds: int) -> None:
    """Run the scenario, and write the result."""
    samples: list[Sample] = []
    with tempfile.TemporaryDirectory() as folder:
        runner = ScenarioRunner(scenario_script(relays, rate, seconds), folder)
        sampling = sample_planner(runner, relays, samples)
        task = asyncio.get_running_loop().create_task(sampling)
        result = await runner.run()
        task.cancel()
    samples = samples[:-IGNORED_LAST_SAMPLES]
    cores = [
        (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)
        for before, after in pairwise(samples)
    ]
    document = {
        "what": "planner at load",
        "machine": machine(),
        "relays": relays,
        "hosts": HOSTS,
        "exchanges_a_second": round(result["service"]["asked"] / seconds),
        "cores_mean": round(sum(cores) / len(cores), 3),
        "cores_worst_second": round(max(cores), 3),
        "resident_mb": round(max(sample.resident_mb for sample in samples), 1),
        "service": result["service"]["whole"],
        "rules_kept": all(rule["kept"] for rule in result["rules"]),
        "wire_bytes": result["wire_bytes"],
    }
    print(json.dumps(document))
    write_result(f"load-{relays}", document)


if __name__ == "__main__":
    asyncio.run(main(*([int(word) for word in sys.argv[1:]] or [303, 1100, 30])))
