"""The proxy's end of an incremental xDS stream, without I/O."""

from typing import NamedTuple

import xxhash
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from .tables import Address, RequestRejectedError, TableEntry, Tables

ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
# By the values of envoy.type.v3.FractionalPercent.DenominatorType.
PERCENT_DENOMINATORS = {0: 100, 1: 10_000, 2: 1_000_000}
INVALID_ARGUMENT = 3  # in google.rpc.Code
MAX_ERROR_CHARACTERS = 500


class Locality(NamedTuple):
    """The zone of a server, and the host id under which the planner lists it."""

    zone: str
    host_id: str


class Assignment(NamedTuple):
    """The endpoints resource of a class: table, admitted share of requests, servers' localities."""

    name: str
    entries: list[TableEntry]
    admitted_share: float
    localities: dict[Address, Locality]


def read_assignment(data: bytes) -> Assignment:
    """Read a serialized ClusterLoadAssignment.

    Raises
    ------
    Exception
        Any error of the protobuf library, if the bytes are not a valid message.
    """
    message = endpoint_pb2.ClusterLoadAssignment.FromString(data)
    entries = []
    localities = {}
    for group in message.endpoints:
        for endpoint in group.lb_endpoints:
            socket_address = endpoint.endpoint.address.socket_address
            address = (socket_address.address, socket_address.port_value)
            weight = endpoint.load_balancing_weight.value or group.load_balancing_weight.value
            draining = endpoint.health_status == health_check_pb2.DRAINING
            entries.append(TableEntry(address, weight, True, draining))
            localities[address] = Locality(group.locality.zone, group.locality.sub_zone)
    admitted_share = 1.0
    for overload in message.policy.drop_overloads:
        dropped = overload.drop_percentage
        admitted_share *= 1 - dropped.numerator / PERCENT_DENOMINATORS[dropped.denominator]
    return Assignment(message.cluster_name, entries, admitted_share, localities)


class XdsSession:
    """The state of one stream: applies responses to the tables, and returns the answers to them."""

    def __init__(self, tables: Tables, localities: dict[Address, Locality]) -> None:
        self.tables = tables
        self.localities = localities
        self.received_table = False
        self.awaits_first_response = True
        self.newest_version = (0, 0)  # epoch and serial of the newest response

    def opening_request(self, node: base_pb2.Node) -> discovery_pb2.DeltaDiscoveryRequest:
        """Return the first request: the node, the subscribed names and the versions held."""
        return discovery_pb2.DeltaDiscoveryRequest(
            node=node,
            type_url=ENDPOINTS,
            resource_names_subscribe=sorted(self.tables.lines),
            initial_resource_versions=self.tables.versions,
        )

    def on_response(
        self, response: discovery_pb2.DeltaDiscoveryResponse
    ) -> discovery_pb2.DeltaDiscoveryRequest | None:
        """Apply a response, and return the request that acknowledges or rejects it.

        Returns None for a response that is a duplicate or arrives after a later one.

        Raises
        ------
        RequestRejectedError
            If the response has an old epoch: its sender was replaced and does not know it yet.
        """
        self.awaits_first_response = False
        epoch, serial = _version_numbers(response.system_version_info)
        if epoch < self.tables.epoch:
            raise RequestRejectedError(
                f"response has epoch {epoch}, but {self.tables.epoch} was already seen", epoch
            )
        self.tables.epoch = epoch
        if serial and (epoch, serial) <= self.newest_version:
            return None
        self.newest_version = (epoch, serial)
        answer = discovery_pb2.DeltaDiscoveryRequest(
            type_url=ENDPOINTS, response_nonce=response.nonce
        )
        try:
            accepted = self._read_resources(response)
        except Exception as error:  # no content may crash the proxy: it keeps its last good tables
            answer.error_detail.code = INVALID_ARGUMENT
            answer.error_detail.message = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]
            return answer
        for version, assignment in accepted:
            self._apply(version, assignment)
        return answer

    def _read_resources(
        self, response: discovery_pb2.DeltaDiscoveryResponse
    ) -> list[tuple[str, Assignment]]:
        """Return all assignments with their versions, or raise an error if any is invalid."""
        if response.type_url != ENDPOINTS:
            raise ValueError(f"resource type {response.type_url} was not requested")
        accepted = []
        for resource in response.resources:
            assignment = read_assignment(resource.resource.value)
            if assignment.name not in self.tables.lines or assignment.name != resource.name:
                raise ValueError(f"resource {resource.name!r} was not requested")
            if resource.version != xxhash.xxh3_64_hexdigest(resource.resource.value):
                raise ValueError(f"content of {resource.name!r} does not match its version")
            accepted.append((resource.version, assignment))
        return accepted

    def _apply(self, version: str, assignment: Assignment) -> None:
        name = assignment.name
        self.received_table = True
        self.tables.replace(name, assignment.entries)
        self.tables.set_admitted_share(name, assignment.admitted_share)
        self.tables.versions[name] = version
        self.localities.update(assignment.localities)


def _version_numbers(version: str) -> tuple[int, int]:
    """Return the epoch and the serial number in a response's version, 0 for a missing one."""
    epoch, _, serial = version.partition(".")
    return _number(epoch), _number(serial)


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
