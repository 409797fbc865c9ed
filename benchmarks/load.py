"""A planner's processor and memory at 303 relays and 1,100 exchanges a second: python benchmarks/load.py [RELAYS RATE SECONDS]

All on this machine: 105 hosts, relays with their clients and the planner share its cores, so the figures are the
planner process's own (utime and stime, resident set), from when all relays have joined to the end.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.testbed.scenario import ScenarioRunner  # noqa: E402

TICK = os.sysconf("SC_CLK_TCK")


def spent(pid):
    """(processor seconds, resident MB) of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK, int(fields[21]) * os.sysconf(
        "SC_PAGESIZE"
    ) / 1e6


async def main(relays, rate, seconds):
    script = json.loads(
        (pathlib.Path(__file__).parent.parent / "examples/bad-day.json").read_text()
    )
    script.update(
        seconds=seconds,
        troubles=[{"at": seconds / 2, "kind": "deploy", "part": 0.1, "size": 0.5, "seconds": 5}],
    )
    script["hosts"].update(many=105, processes=3)
    script["relays"].update(many=relays, rate=rate, processes=4)
    script["charter"]["relays"] = {"rate": rate / relays, "strikes": 3}
    script["charter"]["reports"].update(probes_per_s=60)
    with tempfile.TemporaryDirectory() as folder:
        play, samples = ScenarioRunner(script, folder), []

        async def sample():
            while play.planner is None or len(play.relay_process_of) < relays:
                await asyncio.sleep(0.5)
            await asyncio.sleep(4)
            while play.planner.returncode is None:
                samples.append((asyncio.get_running_loop().time(), *spent(play.planner.pid)))
                await asyncio.sleep(1)

        watch = asyncio.get_running_loop().create_task(sample())
        result = await play.play()
        watch.cancel()
    samples = samples[:-2]
    cores = [(b[1] - a[1]) / (b[0] - a[0]) for a, b in zip(samples, samples[1:])]
    kept = {
        "what": "planner at load",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "relays": relays,
        "hosts": 105,
        "exchanges_a_second": round(result["service"]["asked"] / seconds),
        "cores_mean": round(sum(cores) / len(cores), 3),
        "cores_worst_second": round(max(cores), 3),
        "resident_mb": round(max(line[2] for line in samples), 1),
        "service": result["service"]["whole"],
        "rules_kept": all(rule["kept"] for rule in result["rules"]),
        "wire_bytes": result["wire_bytes"],
    }
    print(json.dumps(kept))
    (pathlib.Path(__file__).parent / f"results/load-{relays}.json").write_text(
        json.dumps(kept, indent=1) + "\n"
    )


if __name__ == "__main__":
    asyncio.run(main(*([int(word) for word in sys.argv[1:]] or [303, 1100, 30])))
