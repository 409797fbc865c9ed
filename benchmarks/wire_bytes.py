"""Bytes to one relay when 10% and 84% of 105 hosts are replaced: python benchmarks/wire_bytes.py.

The same planner sends the same tables in three forms: whole xDS responses, incremental xDS
responses, and SASP messages with only the changed entries. Messages are encoded and measured
without sockets; ratios are relative to whole xDS responses.
"""

import asyncio
import json
import pathlib
import tempfile
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from common import example_document, host_entries, machine, write_result
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


class ByteCounter:
    """Counts the bytes and messages that are sent to a relay."""

    def __init__(self) -> None:
        self.bytes = 0
        self.messages = 0

    def reset(self) -> None:
        """Restart the count from zero."""
        self.bytes = 0
        self.messages = 0

    def request_write(self) -> None:
        """Ignore the notification: messages are pulled at intervals."""

    def pull(self) -> None:
        """Receive the messages that wait for the relay."""
        raise NotImplementedError


class XdsByteCounter(ByteCounter):
    """A relay over xDS, incremental or not, that acknowledges all responses."""

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
            response = codec.delta_response(resource_type, version, nonce, resources, removed)
        else:
            response = codec.full_response(resource_type, version, nonce, resources)
        self.bytes += response.ByteSize()
        self.messages += 1
        self._last_response = resource_type, nonce

    def call_after(self, after: int, call: Callable[..., None], *arguments: Any) -> None:
        """Ignore the timeout of an acknowledgement: each response is acknowledged at once."""

    def pull(self) -> None:
        """Receive all responses that are due, and acknowledge each."""
        self._proxy.take_updates()
        while self._stream.send_next():
            assert self._last_response is not None
            resource_type, nonce = self._last_response
            if self._incremental:
                self._stream.on_delta_request(resource_type, (), (), {}, nonce, None)
            else:
                self._stream.on_full_request(resource_type, self._class_names, nonce, None)


class SaspByteCounter(ByteCounter):
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
        """Fail, as a closed conversation cannot be measured."""
        raise RuntimeError(reason)

    def pull(self) -> None:
        """Receive the message that is due, if any."""
        self._conversation.planner_host.take_updates(self._conversation.proxy)
        data = self._conversation.next_message()
        if data:
            self.bytes += len(data)
            self.messages += 1


def settings_document() -> dict[str, Any]:
    """Return the planner's settings: no reports and no limit on messages."""
    document = example_document("charter.json")
    document.update(
        fronts={"xds": {"port": 0}, "sasp": {"port": 0}},
        roster={"file": "roster.json", "look_every_ms": 10},
        reports={"period_ms": 3_600_000, "probes_per_s": 0},
    )
    document["channel"].update(messages_most=0)
    return document


def replace_wave(hosts: list[dict[str, Any]], leaving: list[dict[str, Any]]) -> None:
    """Let some hosts drain, and add a cold successor for each."""
    for host in leaving:
        host["state"] = "draining"
        successor = {"id": host["id"] + "-new", "port": host["port"] + 1000, "state": "ready"}
        hosts.append({**host, **successor})


async def settle(counters: Iterable[ByteCounter], seconds: float) -> None:
    """Let all relays receive messages for a number of seconds."""
    for _ in range(round(seconds / 0.05)):
        await asyncio.sleep(0.05)
        for counter in counters:
            counter.pull()


async def measure(share: float) -> dict[str, Any]:
    """Replace a share of the hosts in waves, as a release does; return what was sent."""
    document = settings_document()
    hosts = host_entries(HOSTS, document["halls"], FIRST_HOST_PORT)
    class_names = [class_document["name"] for class_document in document["classes"]]
    with tempfile.TemporaryDirectory() as folder:
        endpoint_list = EndpointListFile(folder)
        endpoint_list.write(hosts)
        service = start_planner_service(PlannerSettings(document, pathlib.Path(folder)))
        xds_frontend, sasp_frontend = service.frontends
        counters = {
            "whole": XdsByteCounter(xds_frontend, "hall-a/whole", False, class_names),
            "incremental": XdsByteCounter(xds_frontend, "hall-a/delta", True, class_names),
            "sasp": SaspByteCounter(sasp_frontend, class_names),
        }
        await settle(counters.values(), 2)
        first_bytes = {name: counter.bytes for name, counter in counters.items()}
        for counter in counters.values():
            counter.reset()
        replaced = hosts[: round(share * HOSTS)]
        for wave in range(WAVES):
            replace_wave(hosts, replaced[wave::WAVES])
            endpoint_list.write(hosts)
            await settle(counters.values(), 3)
        service.close()
        await asyncio.sleep(0.1)
    whole_bytes = counters["whole"].bytes
    return {
        "replaced": share,
        "first_laying": first_bytes,
        "bytes": {name: counter.bytes for name, counter in counters.items()},
        "messages": {name: counter.messages for name, counter in counters.items()},
        "over_whole": {
            name: round(counter.bytes / whole_bytes, 3) for name, counter in counters.items()
        },
    }


def drop_event(*_: Any) -> Any:
    """Drop a log event (a structlog processor)."""
    raise structlog.DropEvent


async def main() -> None:
    """Measure a small and a large release, and write the results."""
    structlog.configure(processors=[drop_event])
    results = [await measure(share) for share in (0.1, 0.84)]
    for result in results:
        print(json.dumps(result))
    result_document = {
        "what": "bytes to one relay",
        "machine": machine(),
        "hosts": HOSTS,
        "results": results,
    }
    write_result("wire-bytes", result_document)


if __name__ == "__main__":
    asyncio.run(main())
