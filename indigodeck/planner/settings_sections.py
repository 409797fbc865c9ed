"""The sections of the planner's settings, as the program uses them; `planner_settings` reads them.

Times are whole microseconds unless a name says otherwise; rates are per second.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class HostTransport(StrEnum):
    """How hosts are reached for load reports and health checks."""

    HTTP = "http"
    GRPC = "grpc"


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Load reports and health checks.

    `proxy_reports_per_second` bounds the sums of the proxies' own reports that the assigner takes
    in. Without a `check_path` the check is a request of an idempotent class.
    """

    proxy_reports_per_second: float
    transport: HostTransport
    load_path: str
    check_path: str | None
    checks_per_second: float
    checks_at_once: int

    @property
    def checks_enabled(self) -> bool:
        """Whether the planner sends health checks of its own accord."""
        return bool(self.checks_per_second and self.checks_at_once)


@dataclass(frozen=True, slots=True)
class EndpointListSettings:
    """Where the endpoint list comes from: a file, or a service that pushes changes or is polled."""

    file: str | None
    service_url: str | None
    polled: bool
    poll_interval: int


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """How many messages one proxy may be written within the channel's `message_window`.

    0 messages means no limit. `max_answers` of them may answer the proxy's own requests.
    """

    max_messages: int
    max_answers: int


@dataclass(frozen=True, slots=True)
class SaspFrontendSettings:
    """The SASP frontend. `poll_interval_s` (seconds) is told to proxies that poll."""

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
    """The xDS frontend. `max_streams` is of one proxy, `max_resource_names` of one stream."""

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
    """The group of controllers that this one belongs to.

    `members` maps names to "ADDRESS:PORT". There is one lease for each zone if `lease_per_zone`,
    else one for the whole fleet. `clock_drift` is how far a clock may run off true time, as a
    share. `record_file` is needed only where there is no store.
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
    """What outlasts a restart. At least `max_versions` versions, younger than `max_version_age`."""

    folder: str
    write_delay: int
    max_versions: int
    max_version_age: int


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Where a planner without other controllers listens for operators."""

    address: str
    port: int
    key_file: str


@dataclass(frozen=True, slots=True)
class ProxyRule:
    """The zone and usual request rate of the proxies whose id begins with `prefix`."""

    prefix: str
    zone: int
    rate: float


class ProxyDefaults:
    """The zone and the usual rate of a proxy that introduces itself by its id alone."""

    def __init__(self, rules: tuple[ProxyRule, ...], zone: int, rate: float) -> None:
        self._rules = rules
        self._default = ProxyRule("", zone, rate)

    def rule_for(self, proxy_id: str) -> ProxyRule:
        """Return the rule with the longest matching prefix."""
        matching = [rule for rule in self._rules if proxy_id.startswith(rule.prefix)]
        return max(matching, key=lambda rule: len(rule.prefix), default=self._default)
