"""Bytes to one relay when 10% and 84% of 105 hosts are replaced: python benchmarks/wire_bytes.py.

The same planner and tables, three forms: xDS whole, xDS incremental, SASP with changed entries
alone. Responses are made and measured as they would be written, without sockets; ratios are to
the whole form.
"""

import asyncio
import json
import pathlib
import tempfile
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from common import example, host_entries, machine, write_result
from envoy.config.core.v3 import base_pb2

from indigodeck.frontends.sasp.conversation import Conversation
from indigodeck.frontends.xds import codec
from indigodeck.frontends.xds.streams import Stream
from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.serve import start_planner_service
from indigodeck.testbed.discovery_server import EndpointListFile

HOSTS = 105
FIRST_HOST_PORT = 20_000
WAVES = 5


class Meter:
    """A relay's end that counts what it is sent."""

    def __init__(self) -> None:
        self.bytes = 0
        self.messages = 0

    def reset(self) -> None:
        """Count from now on."""
        self.bytes = 0
        self.messages = 0

    def request_write(self) -> None:
        """Ignore that something waits: it is pulled at intervals."""

    def pull(self) -> None:
        """Take what waits for the relay."""
        raise NotImplementedError


class XdsMeter(Meter):
    """A relay over xDS, incremental or not, that acknowledges everything."""

    def __init__(self, frontend: Any, uid: str, incremental: bool, class_names: list[str]) -> None:
        super().__init__()
        self._incremental = incremental
        self._class_names = class_names
        self._last_response: tuple[Any, str] | None = None  # its resource type and nonce
        locality = base_pb2.Locality(zone="hall-a")
        self._proxy = frontend.proxy_of(base_pb2.Node(id=uid, locality=locality))
        self._stream = Stream.open(self._proxy, self, incremental)
        for resource_type in codec.RESOURCE_TYPES:
            if incremental:
                self._stream.on_delta_request(resource_type, class_names, (), {}, "", None)
            else:
                self._stream.on_full_request(resource_type, class_names, "", None)

    def send(
        self,
        resource_type: Any,
        version: str,
        nonce: str,
        resources: Iterable[Any],
        removed: Iterable[str],
    ) -> None:
        """Count a response (called by the stream)."""
        if self._incremental:
            made = codec.delta_response(resource_type, version, nonce, resources, removed)
        else:
            made = codec.full_response(resource_type, version, nonce, resources)
        self.bytes += made.ByteSize()
        self.messages += 1
        self._last_response = resource_type, nonce

    def call_after(self, after: int, call: Callable[..., None], *arguments: Any) -> None:
        """Ignore a time limit on an answer: each response is acknowledged at once."""

    def pull(self) -> None:
        """Take all responses that are due, and acknowledge each."""
        self._proxy.take_updates()
        while self._stream.send_next():
            assert self._last_response is not None
            resource_type, nonce = self._last_response
            if self._incremental:
                self._stream.on_delta_request(resource_type, (), (), {}, nonce, None)
            else:
                self._stream.on_full_request(resource_type, self._class_names, nonce, None)


class SaspMeter(Meter):
    """A relay over SASP."""

    def __init__(self, frontend: Any, class_names: list[str]) -> None:
        super().__init__()
        self._conversation = Conversation(frontend.registry, self)
        self._conversation.set_balancer(1, b"hall-a/sasp", 127, True, True, True)
        groups = [((b"hall-a/sasp", name.encode()), []) for name in class_names]
        self._conversation.register(2, True, groups)
        self.bytes = 0

    def send(self, data: bytes) -> None:
        """Count an answer (called by the conversation)."""
        self.bytes += len(data)

    def close(self, reason: str) -> None:
        """Fail: a conversation that ends cannot be measured."""
        raise RuntimeError(reason)

    def pull(self) -> None:
        """Take the message that is due, if any."""
        self._conversation.planner_host.take_updates(self._conversation.proxy)
        data = self._conversation.next_message()
        if data:
            self.bytes += len(data)
            self.messages += 1


def settings_document() -> dict[str, Any]:
    """Return the planner's settings: no reports and no limit on messages."""
    document = example("charter.json")
    document.update(
        fronts={"xds": {"port": 0}, "sasp": {"port": 0}},
        roster={"file": "roster.json", "look_every_ms": 10},
        reports={"period_ms": 3_600_000, "probes_per_s": 0},
    )
    document["channel"].update(messages_most=0)
    return document


def replace_wave(hosts: list[dict[str, Any]], leaving: list[dict[str, Any]]) -> None:
    """Have some hosts drain, and add a cold successor of each."""
    for host in leaving:
        host["state"] = "draining"
        successor = {"id": host["id"] + "-new", "port": host["port"] + 1000, "state": "ready"}
        hosts.append({**host, **successor})


async def settle(meters: Iterable[Meter], seconds: float) -> None:
    """Let all relays take what they are sent, for some time."""
    for _ in range(round(seconds / 0.05)):
        await asyncio.sleep(0.05)
        for meter in meters:
            meter.pull()


async def measure(share: float) -> dict[str, Any]:
    """Replace a share of the hosts in waves, as a release does; return what relays were sent."""
    document = settings_document()
    hosts = host_entries(HOSTS, document["halls"], FIRST_HOST_PORT)
    class_names = [stated["name"] for stated in document["classes"]]
    with tempfile.TemporaryDirectory() as folder:
        endpoint_list = EndpointListFile(folder)
        endpoint_list.write(hosts)
        service = start_planner_service(PlannerSettings(document, pathlib.Path(folder)))
        xds_frontend, sasp_frontend = service.frontends
        meters = {
            "whole": XdsMeter(xds_frontend, "hall-a/whole", False, class_names),
            "incremental": XdsMeter(xds_frontend, "hall-a/delta", True, class_names),
            "sasp": SaspMeter(sasp_frontend, class_names),
        }
        await settle(meters.values(), 2)
        first_bytes = {name: meter.bytes for name, meter in meters.items()}
        for meter in meters.values():
            meter.reset()
        replaced = hosts[: round(share * HOSTS)]
        for wave in range(WAVES):
            replace_wave(hosts, replaced[wave::WAVES])
            endpoint_list.write(hosts)
            await settle(meters.values(), 3)
        service.close()
        await asyncio.sleep(0.1)
    whole_bytes = meters["whole"].bytes
    return {
        "replaced": share,
        "first_laying": first_bytes,
        "bytes": {name: meter.bytes for name, meter in meters.items()},
        "messages": {name: meter.messages for name, meter in meters.items()},
        "over_whole": {name: round(meter.bytes / whole_bytes, 3) for name, meter in meters.items()},
    }


def drop_event(*_: Any) -> Any:
    """Log nothing."""
    raise structlog.DropEvent


async def main() -> None:
    """Measure a small and a large release, and keep the results."""
    structlog.configure(processors=[drop_event])
    results = [await measure(share) for share in (0.1, 0.84)]
    for result in results:
        print(json.dumps(result))
    kept = {
        "what": "bytes to one relay",
        "machine": machine(),
        "hosts": HOSTS,
        "results": results,
    }
    write_result("wire-bytes", kept)


if __name__ == "__main__":
    asyncio.run(main())
