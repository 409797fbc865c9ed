"""Decodes the platform's reports, events and list entries, and encodes orders. Does no I/O.

Every field that is read is validated; `MalformedMessageError` is raised for what the protocol does
not allow. The protocol's names of zones, machine types and classes are converted to their indices
in the settings.
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

MAX_COUNT = 1_000_000_000  # above any count in a valid report
MAX_SPAN_MS = 86_400_000  # one day
MAX_UNIX_TIME_MS = 1e14
MAX_VERSION = 1 << 53  # above it JSON parsers may lose precision
MAX_CELL = 65535
MAX_ACK_NUMBER = 65535
MAX_PROXY_COUNT = 65535  # if the settings do not state the number of proxies

ALL_TABLES = "*"
STATE_NAMES = {
    "SERVING": ServerState.READY,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
LOAD_FIELDS = {"inflight": "in_flight", "queue": "queued", "util": "cores_busy"}


class MessageCodec:
    """Decodes messages, with the names of zones, machine types and classes in `settings`."""

    def __init__(self, settings: DeploymentSettings) -> None:
        self.zones = {name: index for index, name in enumerate(settings.zone_names)}
        self._machine_types = {
            name: index for index, name in enumerate(settings.machine_type_names)
        }
        self._classes = {
            class_settings.name: index for index, class_settings in enumerate(settings.classes)
        }
        self._max_proxy = (settings.proxy_count or MAX_PROXY_COUNT) - 1
        # No client waits longer than its deadline, so no mean latency of successful requests is
        # above it. Reported times are imprecise, hence twice that.
        self._max_mean_ms = (
            2 * max(class_settings.deadline for class_settings in settings.classes) / 1000
        )

    def read_introduction(self, fields: Mapping[str, Any]) -> int:
        """Return the zone that a collector's introduction names."""
        return read_choice(fields, "zone", self.zones)

    def read_outcomes(self, fields: Mapping[str, Any]) -> OutcomeReport:
        """Decode a report of the attempts that the proxies of a zone sent to one server."""
        attempts = read_count(fields, "tries", MAX_COUNT)
        failures = read_count(fields, "failed", attempts)
        if failures == attempts and fields.get("mean_ms") is None:
            mean_ms = 0
        else:
            mean_ms = read_number(fields, "mean_ms", self._max_mean_ms)
        return OutcomeReport(
            zone=read_choice(fields, "zone", self.zones),
            server=read_name(fields, "server"),
            attempts=attempts,
            failures=failures,
            mean_latency=microseconds_or_zero(mean_ms),
            span=microseconds_or_zero(read_number(fields, "span_ms", MAX_SPAN_MS, 1)),
            load=self.read_load(fields.get("load")),
        )

    def read_load(self, fields: Any) -> dict[str, float] | None:
        """Decode a server's load report, if there is one; unknown fields are ignored."""
        if fields is None:
            return None
        if not isinstance(fields, dict):
            raise MalformedMessageError("load must be an object")
        return {
            LOAD_FIELDS[name]: float(read_number(fields, name, MAX_COUNT))
            for name in fields
            if name in LOAD_FIELDS
        }

    def read_demand(self, fields: Mapping[str, Any]) -> DemandReport:
        """Decode a report of the requests of one class that one proxy received."""
        requests = read_count(fields, "tries", MAX_COUNT)
        return DemandReport(
            proxy=self.read_proxy(fields),
            class_index=read_choice(fields, "class", self._classes),
            requests=requests,
            failures=read_count(fields, "failed", requests),
            span=microseconds_or_zero(read_number(fields, "span_ms", MAX_SPAN_MS, 1)),
        )

    def read_proxy_joined(self, fields: Mapping[str, Any]) -> ProxyJoined:
        """Decode the relay's event that a proxy has connected."""
        return ProxyJoined(
            proxy=self.read_proxy(fields),
            zone=read_choice(fields, "zone", self.zones),
            request_rate=float(read_number(fields, "weight", MAX_COUNT)),
            fresh=read_flag(fields, "fresh"),
        )

    def read_proxy(self, fields: Mapping[str, Any]) -> int:
        """Return the number of the proxy that a message is about."""
        return read_count(fields, "proxy", self._max_proxy)

    def read_ack(self, fields: Mapping[str, Any]) -> Ack:
        """Decode a proxy's acknowledgement."""
        return Ack(
            proxy=self.read_proxy(fields),
            number=read_count(fields, "mark", MAX_ACK_NUMBER),
            delay=microseconds_or_zero(read_number(fields, "took_ms", MAX_SPAN_MS)),
        )

    def read_endpoint(self, fields: Any) -> Endpoint:
        """Decode one entry of the endpoint list."""
        if not isinstance(fields, dict):
            raise MalformedMessageError("a list entry must be an object")
        return Endpoint(
            name=read_name(fields, "host"),
            address=parse_address(read_field(fields, "dial")),
            zone=read_choice(fields, "site", self.zones),
            machine_type=read_choice(fields, "class", self._machine_types),
            cell=read_count(fields, "block", MAX_CELL),
            weight=float(read_number(fields, "share", MAX_COUNT)),
            started=microseconds_or_zero(read_number(fields, "born_ms", MAX_UNIX_TIME_MS)),
            state=read_choice(fields, "health", STATE_NAMES),
        )

    def read_endpoint_list(self, fields: Mapping[str, Any]) -> EndpointList:
        """Decode an answer of discovery; only the entries that are invalid are left out."""
        entries = read_field(fields, "hosts")
        if not isinstance(entries, list):
            raise MalformedMessageError("hosts must be a list")
        endpoints = []
        unusable_names = set()
        for entry in entries:
            try:
                endpoints.append(self.read_endpoint(entry))
            except MalformedMessageError:
                unusable_names.add(_name_of(entry))
        return EndpointList(
            version=read_count(fields, "seq", MAX_VERSION),
            complete=read_flag(fields, "whole"),
            endpoints=endpoints,
            unusable_names=unusable_names,
        )


def order_fields(order: Order) -> dict[str, Any]:
    """Return the JSON object of an order in the relay's protocol."""
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
        case RequestAck(number, all_proxies):
            return {"do": "fence", "nonce_out": number, "on": int(all_proxies)}


def _name_of(entry: Any) -> str:
    name = entry.get("host") if isinstance(entry, dict) else None
    return name if isinstance(name, str) else ""
