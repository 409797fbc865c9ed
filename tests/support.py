"""What the tests over sockets share: a planner in this process, raw connections, waiting for a condition."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

import structlog

from indigodeck.client import Tables
from indigodeck.client.sasp import SaspClient
from indigodeck.clock import now
from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.serve import assemble

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE = json.loads((ROOT / "examples/bad-day.json").read_text())


class Planner:
    """A planner in this process, with a roster file of its own and its log kept."""

    def __init__(self, hosts=6, channel=(), reports=(), **sasp):
        self.folder = tempfile.TemporaryDirectory()
        document = json.loads(json.dumps(EXAMPLE["charter"]))
        document["channel"].update(channel)
        document["reports"] = dict({"period_ms": 300, "probes_per_s": 0}, **dict(reports))
        document["roster"] = {"file": "roster.json", "look_every_ms": 20}
        document["fronts"] = {"sasp": dict({"address": "127.0.0.1", "port": 0}, **sasp)}
        self.version, self.hosts = 0, {f"host-{nth}": {"port": 9000 + nth} for nth in range(hosts)}
        self.keep()
        self.logged, self.document = [], document

    def keep(self, **states):
        self.version += 1
        for name, state in states.items():
            self.hosts[name.replace("_", "-")]["state"] = state
        text = json.dumps(
            {
                "version": self.version,
                "hosts": [
                    dict(
                        {
                            "id": name,
                            "address": "127.0.0.1",
                            "state": "ready",
                            "hall": "hall-a",
                            "weight": 4,
                        },
                        **host,
                    )
                    for name, host in self.hosts.items()
                ],
            }
        )
        path = pathlib.Path(self.folder.name) / "roster.json"
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").replace(path)

    async def __aenter__(self):
        structlog.configure(
            processors=[lambda logger, name, line: self.logged.append(line) or str(line)],
            logger_factory=structlog.ReturnLoggerFactory(),
            cache_logger_on_first_use=False,
        )
        self.service = assemble(PlannerSettings(self.document, self.folder.name))
        self.port = self.service.frontends[0].port()
        return self

    async def __aexit__(self, *_):
        self.service.close()
        await asyncio.sleep(0.05)
        self.folder.cleanup()

    def said(self, event):
        return [line for line in self.logged if line["event"] == event]

    def client(self, uid="hall-a/r1", **more):
        tables = Tables(["reading", "setpoint"], now)
        client = SaspClient(uid, [("127.0.0.1", self.port)], tables, **more)
        return tables, client, asyncio.get_running_loop().create_task(client.run())


@contextlib.asynccontextmanager
async def peer(port):
    """A raw connection: (reader, writer)."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def until(true, seconds=8):
    """Waits for something to become true; the bound only ends what hangs."""
    for _ in range(round(seconds / 0.01)):
        if true():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("it did not come true")


def ports(tables, name="reading"):
    return {port - 9000 for _, port in tables.lines[name]}
