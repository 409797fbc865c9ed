"""Typed sections of the planner's settings; `planner_settings` reads them from the file.

Times are whole microseconds unless a name says otherwise; rates are per second.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class HostTransport(StrEnum):
    """The protocol for load reports and health checks of hosts."""

    HTTP = "http"
    GRPC = "grpc"


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Load reports and health checks.

    `proxy_reports_per_second` limits the aggregated reports of proxies that the assigner receives.
    Without a `check_path`, a health check is a request of an idempotent class.
    """

    proxy_reports_per_second: float
    transport: HostTransport
    load_path: str
    check_path: str | None
    checks_per_second: float
    max_concurrent_checks: int

    @property
    def checks_enabled(self) -> bool:
        """Whether the planner sends periodic health checks of its own."""
        return bool(self.checks_per_second and self.max_concurrent_checks)


@dataclass(frozen=True, slots=True)
class EndpointListSettings:
    """The source of the endpoint list: a file, or a service that pushes changes or is polled."""

    file: str | None
    service_url: str | None
    polled: bool
    poll_interval: int


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Limits on the messages that one proxy is sent within `message_window` of the channel.

    `max_messages` is 0 for no limit. At most `max_answers` of them may be responses to requests of
    the proxy itself.
    """

    max_messages: int
    max_answers: int


@dataclass(frozen=True, slots=True)
class SaspFrontendSettings:
    """The SASP frontend. `poll_interval_s` (seconds) is announced to polling proxies."""

    address: str
    port: int
    poll_interval_s: int
    max_connections: int
    max_message_bytes: int
    max_groups: int
    max_members: int
    message_timeout: int
    stalled_timeout: int


@dataclass(frozen=True, slots=True)
class XdsFrontendSettings:
    """The xDS frontend. `max_streams` is per proxy, `max_resource_names` per stream."""

    address: str
    port: int
    max_proxies: int
    max_streams: int
    max_resource_names: int
    max_message_bytes: int
    keepalive_ms: int


FrontendSettings = SaspFrontendSettings | XdsFrontendSettings


@dataclass(frozen=True, slots=True)
class LeadershipSettings:
    """The group of controllers that this controller belongs to.

    `members` maps names to "ADDRESS:PORT". With `lease_per_zone` there is one lease for each zone,
    otherwise one for the whole fleet. `clock_drift` is the greatest error of the clock's rate, as a
    fraction. `record_file` is needed only without a store.
    """

    member_name: str
    members: Mapping[str, str]
    key_file: str
    record_file: str
    lease_time: int
    lease_per_zone: bool
    clock_drift: float
    protocol_version: int
    joining: bool


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Storage that survives restarts.

    The newest `max_versions` versions are always kept, and up to twice as many that are younger
    than `max_version_age`.
    """

    folder: str
    write_delay: int
    max_versions: int
    max_version_age: int


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The address at which a planner without other controllers listens for operators."""

    address: str
    port: int
    key_file: str


@dataclass(frozen=True, slots=True)
class ProxyRule:
    """The zone and usual request rate of the proxies whose id starts with `prefix`."""

    prefix: str
    zone: int
    rate: float


class ProxyDefaults:
    """The zone and usual request rate of proxies that state only their id."""

    def __init__(self, rules: tuple[ProxyRule, ...], zone: int, rate: float) -> None:
        self._rules = rules
        self._default = ProxyRule("", zone, rate)

    def rule_for(self, proxy_id: str) -> ProxyRule:
        """Return the rule with the longest prefix that matches."""
        matching = [rule for rule in self._rules if proxy_id.startswith(rule.prefix)]
        return max(matching, key=lambda rule: len(rule.prefix), default=self._default)
