"""The platform's messages as they are written: reports, events, list entries and orders. No I/O.

Every field that is read is checked; what the protocol does not allow raises
`MalformedMessageError`. The protocol's names of zones, machine types and classes become their
indices in the settings.
"""

from collections.abc import Mapping
from typing import Any

from ..assignment.interface import DemandReport, ServerState
from ..errors import MalformedMessageError
from ..settings import DeploymentSettings, microseconds_or_zero
from .json_fields import (
    parse_address,
    read_choice,
    read_count,
    read_field,
    read_flag,
    read_name,
    read_number,
)
from .messages import (
    Ack,
    AssignTable,
    ClearTable,
    Endpoint,
    EndpointList,
    Order,
    OutcomeReport,
    ProxyJoined,
    RequestAck,
    SetAdmission,
    SetEjected,
    SetWeight,
)

MAX_COUNT = 1_000_000_000  # above any count that a report can hold
MAX_SPAN_MS = 86_400_000  # a day
MAX_UNIX_TIME_MS = 1e14
MAX_VERSION = 1 << 53  # the last whole number that every JSON reader keeps exactly
MAX_CELL = 65535
MAX_ACK_NUMBER = 65535
MAX_PROXY_COUNT = 65535  # where the settings do not say how many there are

ALL_TABLES = "*"
STATE_NAMES = {
    "SERVING": ServerState.READY,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
LOAD_NAMES = {"inflight": "in_flight", "queue": "queued", "util": "cores_busy"}


class MessageCodec:
    """Reads messages with the names that one deployment's settings know."""

    def __init__(self, settings: DeploymentSettings) -> None:
        self.zones = {name: index for index, name in enumerate(settings.zone_names)}
        self._machine_types = {
            name: index for index, name in enumerate(settings.machine_type_names)
        }
        self._classes = {stated.name: index for index, stated in enumerate(settings.classes)}
        self._last_proxy = (settings.proxy_count or MAX_PROXY_COUNT) - 1
        # No client waits longer than its deadline, so no mean of good answers is above it;
        # reports blur their times, hence twice that.
        self._max_mean_ms = 2 * max(stated.deadline for stated in settings.classes) / 1000

    def read_introduction(self, given: Mapping[str, Any]) -> int:
        """Return the zone that a collector introduces itself with."""
        return read_choice(given, "zone", self.zones)

    def read_outcomes(self, given: Mapping[str, Any]) -> OutcomeReport:
        """Read what the proxies of a zone met at one server."""
        attempts = read_count(given, "tries", MAX_COUNT)
        failures = read_count(given, "failed", attempts)
        if failures == attempts and given.get("mean_ms") is None:
            mean_ms = 0
        else:
            mean_ms = read_number(given, "mean_ms", self._max_mean_ms)
        return OutcomeReport(
            zone=read_choice(given, "zone", self.zones),
            server=read_name(given, "server"),
            attempts=attempts,
            failures=failures,
            mean_latency=microseconds_or_zero(mean_ms),
            span=microseconds_or_zero(read_number(given, "span_ms", MAX_SPAN_MS, 1)),
            load=self.read_load(given.get("load")),
        )

    def read_load(self, given: Any) -> dict[str, float] | None:
        """Read a server's load report, or None where there is none; unknown fields are left out."""
        if given is None:
            return None
        if not isinstance(given, dict):
            raise MalformedMessageError("load is no object")
        return {
            LOAD_NAMES[name]: float(read_number(given, name, MAX_COUNT))
            for name in given
            if name in LOAD_NAMES
        }

    def read_demand(self, given: Mapping[str, Any]) -> DemandReport:
        """Read the requests of one class that came to one proxy."""
        requests = read_count(given, "tries", MAX_COUNT)
        return DemandReport(
            proxy=self.read_proxy(given),
            class_index=read_choice(given, "class", self._classes),
            requests=requests,
            failures=read_count(given, "failed", requests),
            span=microseconds_or_zero(read_number(given, "span_ms", MAX_SPAN_MS, 1)),
        )

    def read_proxy_joined(self, given: Mapping[str, Any]) -> ProxyJoined:
        """Read the relay's event that a proxy has connected."""
        return ProxyJoined(
            proxy=self.read_proxy(given),
            zone=read_choice(given, "zone", self.zones),
            request_rate=float(read_number(given, "weight", MAX_COUNT)),
            fresh=read_flag(given, "fresh"),
        )

    def read_proxy(self, given: Mapping[str, Any]) -> int:
        """Return the proxy that a message is about."""
        return read_count(given, "proxy", self._last_proxy)

    def read_ack(self, given: Mapping[str, Any]) -> Ack:
        """Read a proxy's answer to a request for an acknowledgement."""
        return Ack(
            proxy=self.read_proxy(given),
            number=read_count(given, "mark", MAX_ACK_NUMBER),
            delay=microseconds_or_zero(read_number(given, "took_ms", MAX_SPAN_MS)),
        )

    def read_endpoint(self, given: Any) -> Endpoint:
        """Read one entry of the endpoint list."""
        if not isinstance(given, dict):
            raise MalformedMessageError("a list entry is no object")
        return Endpoint(
            name=read_name(given, "host"),
            address=parse_address(read_field(given, "dial")),
            zone=read_choice(given, "site", self.zones),
            machine_type=read_choice(given, "class", self._machine_types),
            cell=read_count(given, "block", MAX_CELL),
            weight=float(read_number(given, "share", MAX_COUNT)),
            started=microseconds_or_zero(read_number(given, "born_ms", MAX_UNIX_TIME_MS)),
            state=read_choice(given, "health", STATE_NAMES),
        )

    def read_endpoint_list(self, given: Mapping[str, Any]) -> EndpointList:
        """Read an answer of discovery; an entry that can't be used is left out alone."""
        entries = read_field(given, "hosts")
        if not isinstance(entries, list):
            raise MalformedMessageError("hosts is no list")
        endpoints = []
        unusable_names = set()
        for entry in entries:
            try:
                endpoints.append(self.read_endpoint(entry))
            except MalformedMessageError:
                unusable_names.add(_name_of(entry))
        return EndpointList(
            version=read_count(given, "seq", MAX_VERSION),
            complete=read_flag(given, "whole"),
            endpoints=endpoints,
            unusable_names=unusable_names,
        )


def order_fields(order: Order) -> dict[str, Any]:
    """Return an order as the relay's protocol writes it, before JSON."""
    match order:
        case SetWeight(table, server, weight):
            return {"do": "put", "group": table, "server": server, "weight": weight}
        case AssignTable(proxy, table, class_names):
            fields = {"do": "attach", "proxy": proxy, "group": table}
            if class_names:
                fields["routes"] = class_names
            return fields
        case SetAdmission(table, class_names, level, retry_policy):
            fields = {"do": "gate", "group": ALL_TABLES if table is None else table}
            if class_names:
                fields["routes"] = class_names
            fields["admit"] = level
            fields["policy"] = retry_policy
            return fields
        case SetEjected(server, ejected):
            return {"do": "eject" if ejected else "uneject", "server": server}
        case ClearTable(table):
            return {"do": "wipe", "group": table}
        case RequestAck(number, everyone):
            return {"do": "fence", "nonce_out": number, "on": int(everyone)}


def _name_of(entry: Any) -> str:
    name = entry.get("host") if isinstance(entry, dict) else None
    return name if isinstance(name, str) else ""
