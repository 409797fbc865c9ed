"""The planner's settings file, validated once at start and converted to typed settings.

Only this module knows the keys of the file, whose schema is `settings.schema.json`. Times are whole
microseconds unless a name says otherwise; rates are per second. Relative paths are resolved from
the folder of the file.
"""

import pathlib
from collections.abc import Iterator
from typing import Any

from ..clock import SECOND
from ..json_documents import InvalidDocumentError, load_document, load_schema, schema_errors
from ..settings import (
    AdmissionMode,
    ChannelSettings,
    ClassSettings,
    DeploymentSettings,
    Idempotency,
    to_microseconds,
)
from .settings_sections import (
    EndpointListSettings,
    FrontendSettings,
    HostTransport,
    LeadershipSettings,
    MessageLimits,
    OperatorSettings,
    ProxyDefaults,
    ProxyRule,
    ReportSettings,
    SaspFrontendSettings,
    StoreSettings,
    XdsFrontendSettings,
)

SCHEMA = load_schema(__file__, "settings.schema.json")

LOOPBACK_ADDRESS = "127.0.0.1"
SASP_PORT = 3860
XDS_PORT = 18000
MEBIBYTE = 1 << 20
SECONDS_PER_DAY = 86_400
DEFAULT_CHECKS_PER_SECOND = 20
DEFAULT_MAX_CONCURRENT_CHECKS = 16
FILE_POLL_INTERVAL_MS = 200
SERVICE_POLL_INTERVAL_MS = 1000
CHANNEL_DEFAULTS = {
    "head_lines": 6,
    "way_mean_ms": 50,
    "way_longest_ms": 500,
    "messages_most": 0,
    "messages_span_ms": 10_000,
}


def read_settings(path: str | pathlib.Path) -> "PlannerSettings":
    """Read and validate a settings file.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read or is invalid; the message has one line for each error.
    """
    path = pathlib.Path(path)
    return PlannerSettings(load_document(path, SCHEMA), path.parent, path.name)


class PlannerSettings:
    """The settings of one planner, by section.

    `deployment` is the part that the assigner receives. `frontends` keeps the order of the file.
    `document` is the parsed file, for programs that write a modified copy of it.

    Raises
    ------
    InvalidDocumentError
        If the document violates its schema or contradicts itself.
    """

    def __init__(
        self,
        document: dict[str, Any],
        folder: str | pathlib.Path = pathlib.Path("."),
        name: str = "charter",
    ) -> None:
        errors = schema_errors(document, SCHEMA) or list(_consistency_errors(document))
        if errors:
            raise InvalidDocumentError("\n".join(f"{name}: {error}" for error in errors))
        self.document = document
        self.folder = pathlib.Path(folder)
        self.name: str = document.get("name", "planner")
        self.seed: int = document.get("seed", 1)
        self.zone_names: list[str] = document["halls"]
        self.machine_type_names: list[str] = document.get("kinds", [])
        self.class_names: list[str] = [section["name"] for section in document["classes"]]
        self.reports = _reports(document.get("reports", {}))
        self.endpoint_list = _endpoint_list(document["roster"])
        self.frontends = _frontends(document["fronts"])
        self.leadership = _leadership(document.get("takeover"))
        self.store = _store(document.get("store"))
        self.operators = _operators(document.get("operators"))
        channel = _channel_with_defaults(document["channel"])
        self.message_limits = MessageLimits(channel["messages_most"], channel["answers_most"])
        self.deployment = _deployment(document, channel)
        self.proxy_defaults = self._proxy_defaults(document.get("relays", {}))

    def health_check_class(self) -> str:
        """Return the class of health check requests: an idempotent one, if there is any."""
        idempotent = [
            class_settings.name
            for class_settings in self.deployment.classes
            if class_settings.idempotency == Idempotency.SAFE
        ]
        return (idempotent or self.class_names)[0]

    def _proxy_defaults(self, section: dict[str, Any]) -> ProxyDefaults:
        default_rate = section.get("rate", 1.0)
        rules = tuple(
            ProxyRule(
                entry["prefix"],
                self.zone_names.index(entry["hall"]),
                entry.get("rate", default_rate),
            )
            for entry in section.get("halls", [])
        )
        return ProxyDefaults(rules, self.deployment.planner_zone, default_rate)


def _consistency_errors(document: dict[str, Any]) -> Iterator[str]:
    """Find errors that a schema cannot express, such as references to undefined names."""
    yield from _zone_errors(document)
    yield from _class_errors(document["classes"])
    planners = document.get("planners", {})
    if planners.get("number", 0) >= planners.get("many", 1):
        yield (
            f"planners/number: {planners['number']} is not less than planners/many, "
            f"{planners.get('many', 1)}; numbers start at 0"
        )
    if document.get("takeover"):
        yield from _leadership_errors(document["takeover"], document)
    channel = document["channel"]
    if 0 < channel.get("messages_most", 0) <= channel.get("answers_most", 0):
        yield "channel/answers_most: must be less than messages_most, to leave messages for orders"


def _zone_errors(document: dict[str, Any]) -> Iterator[str]:
    zone_names = document["halls"]
    if document.get("hall", zone_names[0]) not in zone_names:
        yield f"hall: {document['hall']!r} is not one of the halls {zone_names}"
    for index, entry in enumerate(document.get("relays", {}).get("halls", [])):
        if entry["hall"] not in zone_names:
            yield (
                f"relays/halls/{index}/hall: {entry['hall']!r} is not one of the halls {zone_names}"
            )


def _class_errors(classes: list[dict[str, Any]]) -> Iterator[str]:
    names = [section["name"] for section in classes]
    for index, section in enumerate(classes):
        if section["name"] in names[:index]:
            yield f"classes/{index}/name: duplicate name {section['name']!r}"
        if section["patience_ms"] < section["agreed_time_ms"]:
            yield f"classes/{index}/patience_ms: must not be less than agreed_time_ms"


def _leadership_errors(section: dict[str, Any], document: dict[str, Any]) -> Iterator[str]:
    if section["me"] not in section["members"]:
        yield (
            f"takeover/me: {section['me']!r} is not one of the members {sorted(section['members'])}"
        )
    if "record" not in section and "store" not in document:
        yield "takeover/record: required without a store"
    if "operators" in document:
        yield "operators: not allowed with takeover, whose address also serves operators"


def _reports(section: dict[str, Any]) -> ReportSettings:
    return ReportSettings(
        proxy_reports_per_second=section.get("lines_per_s", 500),
        transport=HostTransport(section.get("over", "http")),
        load_path=section.get("path", "/load"),
        check_path=section.get("probe_path"),
        checks_per_second=section.get("probes_per_s", DEFAULT_CHECKS_PER_SECOND),
        max_concurrent_checks=section.get("probes_at_once", DEFAULT_MAX_CONCURRENT_CHECKS),
    )


def _endpoint_list(section: dict[str, Any]) -> EndpointListSettings:
    default_interval_ms = FILE_POLL_INTERVAL_MS if "file" in section else SERVICE_POLL_INTERVAL_MS
    return EndpointListSettings(
        file=section.get("file"),
        service_url=section.get("service"),
        polled=section.get("asked", False),
        poll_interval=to_microseconds(section.get("look_every_ms", default_interval_ms)),
    )


def _frontends(section: dict[str, Any]) -> dict[str, FrontendSettings]:
    readers = {"sasp": _sasp_frontend, "xds": _xds_frontend}
    return {name: readers[name](options) for name, options in section.items()}


def _sasp_frontend(section: dict[str, Any]) -> FrontendSettings:
    return SaspFrontendSettings(
        address=section.get("address", LOOPBACK_ADDRESS),
        port=section.get("port", SASP_PORT),
        poll_interval_s=section.get("interval_s", 5),
        max_connections=section.get("connections", 4096),
        max_message_bytes=section.get("message_bytes", MEBIBYTE),
        max_groups=section.get("groups", 64),
        max_members=section.get("members", 1024),
        message_timeout=to_microseconds(section.get("message_ms", 5000)),
        stalled_timeout=to_microseconds(section.get("deaf_ms", 60_000)),
    )


def _xds_frontend(section: dict[str, Any]) -> FrontendSettings:
    return XdsFrontendSettings(
        address=section.get("address", LOOPBACK_ADDRESS),
        port=section.get("port", XDS_PORT),
        max_proxies=section.get("relays", 4096),
        max_streams=section.get("streams", 16),
        max_resource_names=section.get("names", 256),
        max_message_bytes=section.get("message_bytes", MEBIBYTE),
        keepalive_ms=round(section.get("keepalive_ms", 10_000)),
    )


def _leadership(section: dict[str, Any] | None) -> LeadershipSettings | None:
    if not section:
        return None
    return LeadershipSettings(
        member_name=section["me"],
        members=section["members"],
        key_file=section["key_file"],
        record_file=section.get("record", "none"),
        lease_time=to_microseconds(section.get("lease_ms", 3000)),
        lease_per_zone=section.get("wards") == "halls",
        clock_drift=section.get("drift", 0.01),
        protocol_version=section.get("speaks", 3),
        joining=section.get("joins", False),
    )


def _store(section: dict[str, Any] | None) -> StoreSettings | None:
    if not section:
        return None
    versions = section.get("versions", {})
    return StoreSettings(
        folder=section["folder"],
        write_delay=to_microseconds(section.get("delay_ms", 0)),
        max_versions=versions.get("most", 1000),
        max_version_age=round(versions.get("days", 30) * SECONDS_PER_DAY * SECOND),
    )


def _operators(section: dict[str, Any] | None) -> OperatorSettings | None:
    if not section:
        return None
    return OperatorSettings(
        address=section.get("address", LOOPBACK_ADDRESS),
        port=section["port"],
        key_file=section["key_file"],
    )


def _channel_with_defaults(section: dict[str, Any]) -> dict[str, Any]:
    channel = {**CHANNEL_DEFAULTS, **section}
    # By default, a third of the messages to a proxy may be responses to its requests.
    channel.setdefault("answers_most", max(1, channel["messages_most"] // 3))
    return channel


def _deployment(document: dict[str, Any], channel: dict[str, Any]) -> DeploymentSettings:
    rules = document["rules"]
    reports = document.get("reports", {})
    planners = document.get("planners", {})
    proxies = document.get("relays", {})
    zone_names = document["halls"]
    # Only the xDS frontend can transmit admission levels to proxies.
    carries_levels = "xds" in document["fronts"]
    return DeploymentSettings(
        classes=tuple(_class(section) for section in document["classes"]),
        channel=_channel(channel),
        zone_count=len(zone_names),
        planner_count=planners.get("many", 1),
        planner_index=planners.get("number", 0),
        planner_zone=zone_names.index(document.get("hall", zone_names[0])),
        proxy_count=proxies.get("most", 0),
        proxy_failure_limit=proxies.get("strikes", 0),
        report_period=to_microseconds(reports.get("period_ms", 1000)),
        max_unserved_time=to_microseconds(rules["bare_ms"]),
        warm_up_time=to_microseconds(rules["cold_ms"]),
        cold_capacity_share=rules["cold_share"],
        drain_grace=to_microseconds(rules["drain_grace_ms"]),
        overload_multiple=rules["tip_multiple"],
        overload_time=to_microseconds(rules["tip_ms"]),
        removal_is_final=rules.get("gone_binds", True),
        health_checks_allowed=reports.get("probes_per_s", DEFAULT_CHECKS_PER_SECOND) > 0,
        list_on_request=document["roster"].get("asked", False),
        admission_mode=AdmissionMode.SHARE if carries_levels else AdmissionMode.NONE,
    )


def _channel(section: dict[str, Any]) -> ChannelSettings:
    limit = section["messages_most"]
    return ChannelSettings(
        lines_per_second=section["lines_per_s"],
        max_waiting_lines=section["waiting_most"],
        message_overhead_lines=section["head_lines"],
        mean_delivery_delay=to_microseconds(section["way_mean_ms"]),
        max_delivery_delay=to_microseconds(section["way_longest_ms"]),
        # Responses to a proxy's requests reduce the number of messages left for orders.
        max_messages=limit - section["answers_most"] if limit else 0,
        message_window=to_microseconds(section["messages_span_ms"]),
    )


def _class(section: dict[str, Any]) -> ClassSettings:
    return ClassSettings(
        name=section["name"],
        latency_objective=to_microseconds(section["agreed_time_ms"]),
        deadline=to_microseconds(section["patience_ms"]),
        priority_weight=section.get("credit", 1),
        late_weight_factor=section.get("late_credit", 0),
        idempotency=Idempotency(section.get("repeats", "safe")),
        idempotency_window=to_microseconds(section.get("repeat_window_ms", 0)),
        deduplication_scope=section.get("repeat_scope", "all"),
        zone_bound=section.get("own_hall", False),
    )
