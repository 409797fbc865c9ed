"""What versions cost and how fast the way back is: python benchmarks/versions.py [RELAYS] [ROLLBACKS]

A planner of its own, 48 hosts, relays half over each protocol with the client library in this process. Two versions are held by turns: from
the operator's command to when a relay holds it. Then the bad day with a store: bytes and lines of what was kept and of whole sets.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile
import time

os.environ.setdefault("GRPC_VERBOSITY", "NONE")
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.client import Tables  # noqa: E402
from indigodeck.client.sasp import SaspClient  # noqa: E402
from indigodeck.client.xds import XdsClient  # noqa: E402
from indigodeck.clock import now  # noqa: E402
from indigodeck.leadership.operator_client import ask  # noqa: E402
from indigodeck.store.files import StoreFolder  # noqa: E402
from indigodeck.store.write_ahead_log import WriteAheadLog  # noqa: E402
from indigodeck.testbed.discovery_server import EndpointListFile  # noqa: E402
from indigodeck.testbed.ports import ReservedPorts  # noqa: E402
from indigodeck.testbed.scenario import ScenarioRunner  # noqa: E402
from indigodeck.testbed.scenario_result import printed  # noqa: E402
from indigodeck.versions.codec import decode_delta, encode_snapshot  # noqa: E402
from indigodeck.versions.snapshots import line_count  # noqa: E402
from indigodeck.versions.version_log import VersionLog  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent
KEY = b"a key for measurements, of sixteen bytes"
HOSTS, LEAVES = 48, 12


def quantile(values, part):
    return round(sorted(values)[min(len(values) - 1, int(part * len(values)))], 3)


async def until(true, seconds=60):
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise RuntimeError("it did not come true")
        await asyncio.sleep(0.005)


async def back(relays, rollbacks):
    with tempfile.TemporaryDirectory() as made:
        folder = pathlib.Path(made)
        reserved_ports = ReservedPorts(3)
        ports = reserved_ports.numbers
        (folder / "key").write_bytes(KEY)
        listed = EndpointListFile(folder)

        def keep(draining):
            listed.write(
                [
                    {
                        "id": f"host-{nth}",
                        "address": "127.0.0.1",
                        "port": 9000 + nth,
                        "weight": 4,
                        "hall": f"hall-{'abc'[nth % 3]}",
                        "state": "draining" if nth in draining else "ready",
                    }
                    for nth in range(HOSTS)
                ]
            )

        keep(())
        settings = json.loads((ROOT / "examples/charter.json").read_text())
        settings.update(
            roster={"file": "roster.json", "look_every_ms": 50},
            store={"folder": "store"},
            fronts={"sasp": {"port": ports[0], "interval_s": 5}, "xds": {"port": ports[1]}},
            operators={"port": ports[2], "key_file": "key"},
            reports={"period_ms": 1000, "probes_per_s": 0},
        )
        settings["relays"].update(most=relays, rate=120 / relays)
        settings["channel"].update(
            lines_per_s=20_000, waiting_most=20_000, messages_most=200, answers_most=60
        )
        (folder / "charter.json").write_text(json.dumps(settings))
        with open(folder / "log", "wb") as log:
            planner = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "indigodeck",
                "serve",
                "--charter",
                str(folder / "charter.json"),
                stdout=log,
                stderr=log,
            )
            clients, gone = [], set(range(LEAVES))
            try:

                async def wish(**fields):
                    return await ask(("127.0.0.1", ports[2]), KEY, "versions", wish=fields)

                await asyncio.sleep(2)
                for nth in range(relays):
                    tables = Tables(["reading", "setpoint"], now)
                    kind, port = ((SaspClient, ports[0]), (XdsClient, ports[1]))[nth % 2]
                    clients.append(
                        (
                            tables,
                            kind(
                                f"hall-{'abc'[nth % 3]}/r{nth}",
                                [("127.0.0.1", port)],
                                tables,
                                response_timeout=3.0,
                            ),
                            ("sasp", "xds")[nth % 2],
                        )
                    )
                    asyncio.get_running_loop().create_task(clients[-1][1].run())

                def holds(tables, without):
                    lines = {port - 9000 for _, port in tables.lines["reading"]}
                    return (
                        tables.updated_at["reading"] is not None
                        and lines
                        and bool(lines & gone) != without
                    )

                def all_without():
                    return not any(
                        port - 9000 in gone
                        for tables, *_ in clients
                        for _, port in tables.lines["reading"]
                    )

                await until(
                    lambda: all(tables.updated_at["reading"] is not None for tables, *_ in clients)
                )
                await asyncio.sleep(4)
                full = (await wish(what="list"))["newest"]
                # Only relays whose table holds one of them can tell the two versions apart.
                telling = [one for one in clients if holds(one[0], False)]
                keep(gone)
                await until(all_without)
                await asyncio.sleep(4)
                fewer = (await wish(what="list"))["newest"]
                keep(())
                await asyncio.sleep(4)
                last, each = [], {"sasp": [], "xds": []}
                for nth in range(rollbacks):
                    to, without = ((full, False), (fewer, True))[nth % 2]
                    began = time.monotonic()
                    answer = await wish(what="rollback", number=to, author="bench", reason=f"{nth}")
                    if "done" not in answer:
                        raise RuntimeError(answer)
                    left = list(telling)
                    while left:
                        for one in [
                            one
                            for one in left
                            if bool({port - 9000 for _, port in one[0].lines["reading"]} & gone)
                            != without
                        ]:
                            each[one[2]].append(time.monotonic() - began)
                            left.remove(one)
                        if time.monotonic() - began > 30:
                            raise RuntimeError(
                                f"{len(left)} of {len(telling)} relays did not follow"
                            )
                        await asyncio.sleep(0.002)
                    last.append(time.monotonic() - began)
                    await asyncio.sleep(0.5)
                listed_relays = await wish(what="relays")
            finally:
                for _, client, _ in clients:
                    client.stop()
                planner.terminate()
                await planner.wait()
                reserved_ports.close()
    return {
        "relays": relays,
        "that_tell_them_apart": len(telling),
        "rollbacks": rollbacks,
        "last_relay_s": {"p50": quantile(last, 0.5), "p99": quantile(last, 0.99)},
        **{
            f"{wire}_s": {"p50": quantile(times, 0.5), "p99": quantile(times, 0.99)}
            for wire, times in each.items()
        },
        "told_of_first": listed_relays["relays"][:2],
    }


class Held:
    """A store, opened to be read, as a version log sees it."""

    def __init__(self, folder):
        self.held = WriteAheadLog(StoreFolder(folder)).read_all()

    def load(self, key):
        return self.held[key]

    def wall_clock(self):
        return 0


async def day():
    script = json.loads((ROOT / "examples/bad-day.json").read_text())
    script["charter"]["store"] = {"folder": "store"}
    with tempfile.TemporaryDirectory() as folder:
        play = ScenarioRunner(script, pathlib.Path(folder))
        result = await play.play()
        host = Held(pathlib.Path(folder) / "store")
        log = VersionLog(host, [key for key in host.held if key.startswith("version/")])
    kept = whole = lines = all_lines = 0
    for number, version in log.versions.items():
        held = log.snapshot_of(number)
        changes = decode_delta(json.loads(log.records[number]))
        kept, whole = (
            kept + len(log.records[number]),
            whole + len(json.dumps(encode_snapshot(held), separators=(",", ":"))),
        )
        lines, all_lines = (
            lines + line_count(changes.values()),
            all_lines + line_count(held.values()),
        )
    print(printed(result))
    return {
        "versions": len(log.versions),
        "bytes_kept": kept,
        "bytes_of_whole_sets": whole,
        "lines_kept": lines,
        "lines_of_whole_sets": all_lines,
        "rules_kept": all(rule["kept"] for rule in result["rules"]),
        "service": result["service"]["whole"],
    }


async def main(relays, rollbacks):
    kept = {"what": "versions", "machine": f"{os.cpu_count()} cores, {platform.python_version()}"}
    kept["bad_day"] = await day()
    print(json.dumps(kept["bad_day"]))
    kept["back"] = await back(relays, rollbacks)
    print(json.dumps(kept["back"]))
    (ROOT / "benchmarks/results/versions.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(
        main(
            int(sys.argv[1]) if len(sys.argv) > 1 else 303,
            int(sys.argv[2]) if len(sys.argv) > 2 else 60,
        )
    )
