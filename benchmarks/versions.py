"""Size of versions, time of rollbacks: python benchmarks/versions.py [RELAYS] [ROLLBACKS].

Size: the bad day is run with a store; bytes and lines of the stored versions are compared with
those of whole snapshots. Time: from the operator's command until a relay holds the version. There,
a planner in its own process has 48 hosts and relays with the client library in this process, half
of them over each protocol; rollbacks alternate between two versions.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterable
from typing import Any, NamedTuple

from common import (
    command_line_argument,
    example_document,
    machine,
    quantiles,
    wait_until,
    write_result,
)

from indigodeck.client import Tables
from indigodeck.client.sasp import SaspClient
from indigodeck.client.xds import XdsClient
from indigodeck.clock import now
from indigodeck.leadership.operator_client import send_operator_request
from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.testbed.discovery_server import EndpointListFile
from indigodeck.testbed.ports import ReservedPorts
from indigodeck.testbed.scenario import ScenarioRunner
from indigodeck.testbed.scenario_result import format_result
from indigodeck.versions.codec import decode_delta, encode_snapshot
from indigodeck.versions.snapshots import line_count
from indigodeck.versions.version_log import VersionLog

KEY = b"a key for measurements, of sixteen bytes"
HOSTS = 48
DRAINED_HOSTS = frozenset(range(12))  # ready in one of the two versions, draining in the other
FIRST_HOST_PORT = 9000
PROTOCOLS = ("sasp", "xds")
TIMEOUT_S = 60
ROLLBACK_TIMEOUT_S = 30
SETTLING_SECONDS = 4


class Relay(NamedTuple):
    """A relay in this process."""

    protocol: str
    tables: Tables
    client: SaspClient | XdsClient

    def has_drained_hosts(self) -> bool:
        """Return whether its table for `reading` names any host of `DRAINED_HOSTS`."""
        ports = {port - FIRST_HOST_PORT for _, port in self.tables.lines["reading"]}
        return bool(ports & DRAINED_HOSTS)

    def has_tables(self) -> bool:
        """Return whether it has received a table for `reading`."""
        return self.tables.updated_at["reading"] is not None


class PlannerBench:
    """A planner in its own process, with its endpoint list, an operator and relays."""

    def __init__(self, folder: pathlib.Path, ports: list[int], relay_count: int) -> None:
        self.relays: list[Relay] = []
        self._folder = folder
        self._frontend_ports = dict(zip(PROTOCOLS, ports, strict=False))
        self._operator_port = ports[2]
        self._relay_count = relay_count
        self._endpoint_list = EndpointListFile(folder)

    def write_list(self, draining: Iterable[int] = ()) -> None:
        """Write the endpoint list, in which the hosts `draining` drain."""
        self._endpoint_list.write(
            [
                {
                    "id": f"host-{index}",
                    "address": "127.0.0.1",
                    "port": FIRST_HOST_PORT + index,
                    "weight": 4,
                    "hall": zone_of(index),
                    "state": "draining" if index in draining else "ready",
                }
                for index in range(HOSTS)
            ]
        )

    def write_settings(self) -> None:
        """Write the planner's settings file and key file."""
        (self._folder / "key").write_bytes(KEY)
        settings = example_document("charter.json")
        settings.update(
            roster={"file": "roster.json", "look_every_ms": 50},
            store={"folder": "store"},
            fronts={
                "sasp": {"port": self._frontend_ports["sasp"], "interval_s": 5},
                "xds": {"port": self._frontend_ports["xds"]},
            },
            operators={"port": self._operator_port, "key_file": "key"},
            reports={"period_ms": 1000, "probes_per_s": 0},
        )
        settings["relays"].update(most=self._relay_count, rate=120 / self._relay_count)
        settings["channel"].update(
            lines_per_s=20_000, waiting_most=20_000, messages_most=200, answers_most=60
        )
        (self._folder / "charter.json").write_text(json.dumps(settings))

    @contextlib.asynccontextmanager
    async def running_planner(self) -> AsyncIterator[None]:
        """Run the planner during the context; disconnect the relays before it ends."""
        with (self._folder / "log").open("wb") as log:
            planner = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "indigodeck",
                "serve",
                "--charter",
                str(self._folder / "charter.json"),
                stdout=log,
                stderr=log,
            )
            try:
                await asyncio.sleep(2)
                yield
            finally:
                for relay in self.relays:
                    relay.client.stop()
                planner.terminate()
                await planner.wait()

    async def connect_relays(self) -> None:
        """Connect all relays, with alternating protocols, and wait for their tables."""
        for index in range(self._relay_count):
            protocol = PROTOCOLS[index % 2]
            tables = Tables(["reading", "setpoint"], now)
            client_type = {"sasp": SaspClient, "xds": XdsClient}[protocol]
            address = ("127.0.0.1", self._frontend_ports[protocol])
            uid = f"{zone_of(index)}/r{index}"
            client = client_type(uid, [address], tables, response_timeout=3.0)
            self.relays.append(Relay(protocol, tables, client))
            asyncio.get_running_loop().create_task(client.run())
        await wait_until(
            lambda: all(relay.has_tables() for relay in self.relays),
            "tables at all relays",
            TIMEOUT_S,
            0.005,
        )

    async def request(self, **fields: Any) -> dict[str, Any]:
        """Send an operator's request about versions; return the answer."""
        return await send_operator_request(
            ("127.0.0.1", self._operator_port), KEY, "versions", wish=fields
        )

    async def newest_version(self) -> str:
        """Wait until the tables have settled; return the newest version."""
        await asyncio.sleep(SETTLING_SECONDS)
        return (await self.request(what="list"))["newest"]


class RollbackMeasurement:
    """Rolls back alternately to two versions, and measures when relays hold them."""

    def __init__(self, bench: PlannerBench, affected_relays: list[Relay]) -> None:
        self.last_relay_s: list[float] = []
        self.each_relay_s: dict[str, list[float]] = {protocol: [] for protocol in PROTOCOLS}
        self._bench = bench
        self._affected_relays = affected_relays

    async def measure(self, version: str, has_drained_hosts: bool, reason: str) -> None:
        """Roll back once, to the version with or without the hosts of `DRAINED_HOSTS`."""
        started = time.monotonic()
        answer = await self._bench.request(
            what="rollback", number=version, author="bench", reason=reason
        )
        if "done" not in answer:
            raise RuntimeError(answer)
        waiting = list(self._affected_relays)
        while waiting:
            for relay in list(waiting):
                if relay.has_drained_hosts() == has_drained_hosts:
                    self.each_relay_s[relay.protocol].append(time.monotonic() - started)
                    waiting.remove(relay)
            if time.monotonic() - started > ROLLBACK_TIMEOUT_S:
                count = len(self._affected_relays)
                raise RuntimeError(
                    f"{len(waiting)} of {count} relays do not hold version {version} after "
                    f"{ROLLBACK_TIMEOUT_S} s"
                )
            await asyncio.sleep(0.002)
        self.last_relay_s.append(time.monotonic() - started)
        await asyncio.sleep(0.5)


class StoredVersions:
    """Read access to a store, in the form that `VersionLog` expects."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.records = WriteAheadLog(StoreFolder(folder)).read_all()

    def load(self, key: str) -> Any:
        """Return the record at a key."""
        return self.records[key]

    def wall_clock(self) -> int:
        """Return 0: nothing is written, so no time is needed."""
        return 0


def zone_of(index: int) -> str:
    """Return the zone of a host or relay."""
    return f"hall-{'abc'[index % 3]}"


async def measure_rollbacks(relay_count: int, rollbacks: int) -> dict[str, Any]:
    """Return how long relays take to hold the version of a rollback."""
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.closing(ReservedPorts(3)) as ports,
    ):
        bench = PlannerBench(pathlib.Path(folder), ports.numbers, relay_count)
        bench.write_list()
        bench.write_settings()
        async with bench.running_planner():
            await bench.connect_relays()
            all_hosts_version = await bench.newest_version()
            # The two versions differ only for relays whose table names one of `DRAINED_HOSTS`.
            affected = [relay for relay in bench.relays if relay.has_drained_hosts()]
            bench.write_list(draining=DRAINED_HOSTS)
            await wait_until(
                lambda: not any(relay.has_drained_hosts() for relay in bench.relays),
                "all relays know of the drains",
                TIMEOUT_S,
                0.005,
            )
            drained_version = await bench.newest_version()
            bench.write_list()
            await asyncio.sleep(SETTLING_SECONDS)
            measured = RollbackMeasurement(bench, affected)
            for index in range(rollbacks):
                version, has_drained = ((all_hosts_version, True), (drained_version, False))[
                    index % 2
                ]
                await measured.measure(version, has_drained, str(index))
            relay_versions = await bench.request(what="relays")
    return {
        "relays": relay_count,
        "that_tell_them_apart": len(affected),
        "rollbacks": rollbacks,
        "last_relay_s": quantiles(measured.last_relay_s),
        **{f"{protocol}_s": quantiles(times) for protocol, times in measured.each_relay_s.items()},
        "told_of_first": relay_versions["relays"][:2],
    }


async def measure_bad_day() -> dict[str, Any]:
    """Return the size of the versions of the bad day in a store."""
    script = example_document("bad-day.json")
    script["charter"]["store"] = {"folder": "store"}
    with tempfile.TemporaryDirectory() as folder:
        result = await ScenarioRunner(script, folder).run()
        stored = StoredVersions(pathlib.Path(folder) / "store")
        log = VersionLog(stored, [key for key in stored.records if key.startswith("version/")])
    print(format_result(result))
    kept_bytes = 0
    snapshot_bytes = 0
    kept_lines = 0
    snapshot_lines = 0
    for number in log.versions:
        snapshot = log.snapshot_of(number)
        delta = decode_delta(json.loads(log.records[number]))
        kept_bytes += len(log.records[number])
        snapshot_bytes += len(json.dumps(encode_snapshot(snapshot), separators=(",", ":")))
        kept_lines += line_count(delta.values())
        snapshot_lines += line_count(snapshot.values())
    return {
        "versions": len(log.versions),
        "bytes_kept": kept_bytes,
        "bytes_of_whole_sets": snapshot_bytes,
        "lines_kept": kept_lines,
        "lines_of_whole_sets": snapshot_lines,
        "rules_kept": all(rule["kept"] for rule in result["rules"]),
        "service": result["service"]["whole"],
    }


async def main(relay_count: int, rollbacks: int) -> None:
    """Measure size and rollbacks, and write the results."""
    document: dict[str, Any] = {"what": "versions", "machine": machine()}
    document["bad_day"] = await measure_bad_day()
    print(json.dumps(document["bad_day"]))
    document["back"] = await measure_rollbacks(relay_count, rollbacks)
    print(json.dumps(document["back"]))
    write_result("versions", document)


if __name__ == "__main__":
    asyncio.run(main(command_line_argument(1, 303), command_line_argument(2, 60)))
