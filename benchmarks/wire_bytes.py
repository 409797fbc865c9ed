"""Bytes to one relay when 10% and 84% of 105 hosts are replaced: python benchmarks/wire_bytes.py

The same planner and tables, three forms: xDS whole, xDS incremental, SASP with changed entries alone. Responses are made and
measured as they would be written, without sockets; ratios are to the whole form.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile

import structlog

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from envoy.config.core.v3 import base_pb2  # noqa: E402

from indigodeck.frontends.sasp.conversation import Conversation  # noqa: E402
from indigodeck.frontends.xds import codec  # noqa: E402
from indigodeck.frontends.xds.streams import Stream  # noqa: E402
from indigodeck.planner.planner_settings import PlannerSettings  # noqa: E402
from indigodeck.serve import assemble  # noqa: E402
from indigodeck.testbed.discovery_server import EndpointListFile  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent
HOSTS = 105


class Meter:
    """A relay's end that counts bytes and acknowledges everything."""

    def __init__(self, front, uid, delta, names):
        self.delta, self.bytes, self.messages = delta, 0, 0
        self.relay = front.proxy_of(
            base_pb2.Node(id=uid, locality=base_pb2.Locality(zone="hall-a"))
        )
        self.stream = Stream.open(self.relay, self, delta)
        self.names = names
        for kind in codec.RESOURCE_TYPES:
            if delta:
                self.stream.on_delta_request(kind, names, (), {}, "", None)
            else:
                self.stream.on_full_request(kind, names, "", None)

    def request_write(self):
        pass

    def send(self, kind, version, nonce, resources, removed):
        made = (
            codec.delta_response(kind, version, nonce, resources, removed)
            if self.delta
            else codec.full_response(kind, version, nonce, resources)
        )
        self.bytes, self.messages = self.bytes + made.ByteSize(), self.messages + 1
        self.answer = kind, nonce

    def pull(self):
        self.relay.take_updates()
        while self.stream.send_next():
            kind, nonce = self.answer
            if self.delta:
                self.stream.on_delta_request(kind, (), (), {}, nonce, None)
            else:
                self.stream.on_full_request(kind, self.names, nonce, None)


class SaspMeter:
    def __init__(self, front, names):
        self.bytes, self.messages = 0, 0
        self.talk = Conversation(front.registry, self)
        self.talk.set_balancer(1, b"hall-a/sasp", 127, True, True, True)
        self.talk.register(2, True, [((b"hall-a/sasp", name.encode()), []) for name in names])
        self.bytes = 0

    def send(self, data):
        self.bytes += len(data)

    def request_write(self):
        pass

    def close(self, why):
        raise RuntimeError(why)

    def pull(self):
        self.talk.planner_host.take_updates(self.talk.proxy)
        data = self.talk.next_message()
        if data:
            self.bytes, self.messages = self.bytes + len(data), self.messages + 1


async def measure(part):
    document = json.loads((ROOT / "examples/charter.json").read_text())
    document.update(
        fronts={"xds": {"port": 0}, "sasp": {"port": 0}},
        roster={"file": "roster.json", "look_every_ms": 10},
    )
    document["reports"] = {"period_ms": 3_600_000, "probes_per_s": 0}
    document["channel"].update(messages_most=0)
    halls = document["halls"]
    hosts = [
        {
            "id": f"host-{nth}",
            "address": "127.0.0.1",
            "port": 20_000 + nth,
            "hall": halls[nth % 3],
            "weight": 4,
            "state": "ready",
        }
        for nth in range(HOSTS)
    ]
    with tempfile.TemporaryDirectory() as folder:
        listed = EndpointListFile(folder)
        listed.write(hosts)
        service = assemble(PlannerSettings(document, folder))
        names = [kind["name"] for kind in document["classes"]]
        meters = {
            "whole": Meter(service.frontends[0], "hall-a/whole", False, names),
            "incremental": Meter(service.frontends[0], "hall-a/delta", True, names),
            "sasp": SaspMeter(service.frontends[1], names),
        }

        async def settle(seconds):
            for _ in range(round(seconds / 0.05)):
                await asyncio.sleep(0.05)
                for meter in meters.values():
                    meter.pull()

        await settle(2)
        first = {name: meter.bytes for name, meter in meters.items()}
        for meter in meters.values():
            meter.bytes = meter.messages = 0
        # In waves of a fifth of those concerned, with cold successors, as a release goes.
        going = hosts[: round(part * HOSTS)]
        for wave in range(5):
            for host in going[wave::5]:
                host["state"] = "draining"
                hosts.append(
                    dict(host, id=host["id"] + "-new", port=host["port"] + 1000, state="ready")
                )
            listed.write(hosts)
            await settle(3)
        service.close()
        await asyncio.sleep(0.1)
    return {
        "replaced": part,
        "first_laying": first,
        "bytes": {name: meter.bytes for name, meter in meters.items()},
        "messages": {name: meter.messages for name, meter in meters.items()},
        "over_whole": {
            name: round(meter.bytes / meters["whole"].bytes, 3) for name, meter in meters.items()
        },
    }


async def main():
    structlog.configure(processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])
    results = [await measure(part) for part in (0.1, 0.84)]
    for result in results:
        print(json.dumps(result))
    kept = {
        "what": "bytes to one relay",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "hosts": HOSTS,
        "results": results,
    }
    (ROOT / "benchmarks/results/wire-bytes.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
