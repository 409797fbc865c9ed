"""Deployment settings: fixed properties of a deployment, given once at the start of a planner.

The simulator and the platform pass the same settings object, whose keys are known only to
`settings_from_object`. The planner's own settings file (`planner/planner_settings.py`) is read into
the same `DeploymentSettings`. Times are whole microseconds. Standard library only.
"""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .clock import MILLISECOND
from .errors import MalformedMessageError

MAX_MILLISECONDS = 1e15  # a longer time counts as 0, so that sums stay exact integers
MAX_NUMBER = 1e18  # no sensible setting is larger


class AdmissionMode(StrEnum):
    """How a deployment's proxies interpret an admission level."""

    SHARE = "share"  # the share of requests that is admitted, from 0 to 1
    RATE = "rate"  # requests per second for each proxy
    NONE = "none"  # levels are not supported


class Idempotency(StrEnum):
    """Whether a request of a class may be executed more than once."""

    SAFE = "safe"  # requests have no side effects
    KEYED = "keyed"  # requests carry an idempotency key
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of one traffic class.

    A response within `latency_objective` is worth `priority_weight`; a later one within `deadline`
    is worth `late_weight_factor` times that. An idempotency key is remembered for
    `idempotency_window`, within `deduplication_scope` ("all", or the cell or zone of a server).
    Requests of `zone_bound` classes are served only in the proxy's own zone.
    """

    name: str
    latency_objective: int
    deadline: int
    priority_weight: float = 1
    late_weight_factor: float = 0
    idempotency_window: int = 0
    idempotency: Idempotency = Idempotency.NEVER
    deduplication_scope: str = "all"
    zone_bound: bool = False


@dataclass(frozen=True, slots=True)
class ChannelSettings:
    """The limits of the channel from one planner to its proxies.

    The channel delivers `lines_per_second` table lines, and at most `max_waiting_lines` may wait in
    it. Each message to a proxy costs `message_overhead_lines` in addition to its lines. At most
    `max_messages` messages (0: no limit) may be sent to each proxy within any `message_window`.
    """

    lines_per_second: float
    max_waiting_lines: float
    message_overhead_lines: float
    mean_delivery_delay: int = 0
    max_delivery_delay: int = 0
    max_messages: int = 0
    message_window: int = 10_000_000


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """The settings of a deployment, as the assigner uses them.

    `planner_count` planners share the proxies; `planner_index` is this planner's index, from 0.
    `proxy_count` is the expected number of proxies of all planners. A proxy avoids a server after
    `proxy_failure_limit` consecutive failures of its own requests (0: never). A server restarted
    less than `warm_up_time` ago is cold: it begins with `cold_capacity_share` of its capacity, and
    `overload_multiple` times its current capacity, held for `overload_time`, overloads it for good.
    If `removal_is_final`, a server listed as gone is gone even if it still answers. A write may
    take effect up to `write_settle_time` after a proxy has sent it. With `exclusive_ownership`, a
    proxy whose stream has broken goes on sending writes for `write_lease`.
    """

    classes: tuple[ClassSettings, ...]
    channel: ChannelSettings
    zone_count: int
    report_period: int
    max_unserved_time: int
    warm_up_time: int
    cold_capacity_share: float
    drain_grace: int
    overload_multiple: float
    overload_time: int
    planner_count: int = 1
    planner_index: int = 0
    planner_zone: int = 0
    proxy_count: int = 0
    proxy_failure_limit: int = 0
    key_range_count: int = 0
    write_settle_time: int = 0
    write_lease: int = 0
    # Wait before a retry after any failure, as a multiple of the latency objective.
    first_attempt_wait: float = 1
    worst_class_share: float = 0
    zone_names: tuple[str, ...] = ()
    machine_type_names: tuple[str, ...] = ()
    load_columns: tuple[str, ...] = ()
    list_on_request: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    removal_is_final: bool = True
    exclusive_ownership: bool = False
    admission_mode: AdmissionMode = AdmissionMode.SHARE


IDEMPOTENCY_NAMES = {
    "read_like": Idempotency.SAFE,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NEVER,
}
ADMISSION_NAMES = {
    "ratio": AdmissionMode.SHARE,
    "rps": AdmissionMode.RATE,
    "off": AdmissionMode.NONE,
}
LOAD_COLUMN_NAMES = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "cores_busy",
    "svc_ms": "work_time",
    "served_ps": "completed_per_second",
    "failed_ps": "failed_per_second",
}


def microseconds_or_zero(milliseconds: float) -> int:
    """Convert milliseconds to whole microseconds; NaN and values out of range count as 0."""
    if 0 < milliseconds < MAX_MILLISECONDS:
        return to_microseconds(milliseconds)
    return 0


def to_microseconds(milliseconds: float) -> int:
    """Convert milliseconds that have been validated to whole microseconds."""
    return round(milliseconds * MILLISECOND)


def settings_from_json(data: bytes) -> DeploymentSettings:
    """Read the settings from JSON text.

    Raises
    ------
    MalformedMessageError
        If the text is not JSON, or a setting is missing or of the wrong type.
    """
    try:
        document = json.loads(bytes(data))
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f"settings: not valid JSON: {error}") from error
    return settings_from_object(document)


def settings_from_object(document: Any) -> DeploymentSettings:
    """Read the settings from a decoded JSON object.

    Raises
    ------
    MalformedMessageError
        If a setting is missing or of the wrong type; the message names the setting.
    """
    if not isinstance(document, dict):
        raise MalformedMessageError("settings: not a JSON object")
    top = _Section(document, "")
    domain, rules, blend, limits, load_info = (
        top.section(name) for name in ("domain", "rules", "blend", "limits", "loadInfo")
    )
    zone_names = top.names("zones") or ("",)
    machine_type_names = top.names("hostTypes")
    channel = ChannelSettings(
        lines_per_second=domain.number("linesPerS"),
        max_waiting_lines=domain.number("mostWaiting"),
        message_overhead_lines=domain.number("fixedCost"),
        mean_delivery_delay=domain.time("transitMs", 0),
        max_delivery_delay=domain.time("pushDelayMaxMs", 0),
        max_messages=domain.number("pushesAllowed", 0),
        message_window=domain.time("reloadSpanMs", 10_000_000),
    )
    return DeploymentSettings(
        channel=channel,
        zone_count=len(zone_names),
        report_period=domain.time("periodMs"),
        max_unserved_time=domain.time("blackholeMs"),
        warm_up_time=rules.time("coldMs"),
        cold_capacity_share=rules.number("coldShare"),
        drain_grace=rules.time("drainGraceMs"),
        overload_multiple=rules.number("tipMultiple"),
        overload_time=rules.time("fallMs"),
        planner_count=top.number("nInstances", 1),
        planner_index=top.number("me", 0),
        planner_zone=top.number("zone", 0),
        proxy_count=domain.number("proxies", 0),
        proxy_failure_limit=domain.number("strikes", 0),
        key_range_count=domain.number("keyRanges", 0),
        write_settle_time=domain.time("writeLifeMs", 0),
        write_lease=domain.time("writeLeaseMs", 0),
        first_attempt_wait=domain.number("firstWait", 1),
        worst_class_share=blend.number("worstClass", 0),
        zone_names=zone_names,
        machine_type_names=machine_type_names,
        load_columns=_load_columns(load_info),
        list_on_request=document.get("membershipMode") == "ask",
        health_checks_allowed=limits.flag("probes"),
        peer_messages_allowed=limits.flag("peers"),
        removal_is_final=not rules.flag("drainBindsAlone"),
        exclusive_ownership=domain.flag("exclusive"),
        admission_mode=ADMISSION_NAMES.get(domain.get("admission"), AdmissionMode.SHARE),
        classes=_classes(document.get("classes"), domain.get("classOwnZone") or []),
    )


def _load_columns(load_info: "_Section") -> tuple[str, ...]:
    columns = load_info.get("columns") or []
    return tuple(LOAD_COLUMN_NAMES.get(name, name) for name in columns)


def _classes(entries: Any, zone_bound: Iterable[Any]) -> tuple[ClassSettings, ...]:
    if not isinstance(entries, list) or not entries:
        raise MalformedMessageError("settings: classes is missing or empty")
    bound = list(zone_bound)
    classes = []
    for index, entry in enumerate(entries):
        prefix = f"classes[{index}]."
        if not isinstance(entry, dict):
            raise MalformedMessageError(f"settings: {prefix} is not an object")
        classes.append(
            _class(index, _Section(entry, prefix), index < len(bound) and bound[index] is True)
        )
    return tuple(classes)


def _class(index: int, section: "_Section", zone_bound: bool) -> ClassSettings:
    return ClassSettings(
        name=str(section.get("name", index)),
        latency_objective=section.time("aimMs"),
        deadline=section.time("deadlineMs"),
        priority_weight=section.number("points", 1),
        late_weight_factor=section.number("lateWorth", 0),
        idempotency_window=section.time("keyTtlMs", 0),
        idempotency=IDEMPOTENCY_NAMES.get(section.get("effect"), Idempotency.NEVER),
        deduplication_scope=section.get("dedupScope", "all"),
        zone_bound=zone_bound,
    )


class _Section:
    """One object of the settings; `prefix` is its path, which error messages put before a key."""

    def __init__(self, values: dict, prefix: str) -> None:
        self._values = values
        self._prefix = prefix

    def get(self, key: str, default: Any = None) -> Any:
        return self._values.get(key, default)

    def flag(self, key: str) -> bool:
        return self._values.get(key) is True

    def section(self, key: str) -> "_Section":
        value = self._values.get(key, {})
        if not isinstance(value, dict):
            raise MalformedMessageError(f"settings: {key} is not an object")
        return _Section(value, f"{key}.")

    def names(self, key: str) -> tuple[str, ...]:
        value = self._values.get(key) or []
        if not isinstance(value, list):
            raise MalformedMessageError(f"settings: {key} is not a list")
        return tuple(str(name) for name in value)

    def number(self, key: str, default: float | None = None) -> Any:
        """Return a number; without a default the key is required."""
        value = self._values.get(key)
        if value is None:
            if default is None:
                raise MalformedMessageError(f"settings: {self._prefix}{key} is missing")
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or math.isnan(value) or abs(value) >= MAX_NUMBER:
            raise MalformedMessageError(
                f"settings: {self._prefix}{key} is not a number in the allowed range"
            )
        return value

    def time(self, key: str, default: int | None = None) -> int:
        """Return in microseconds a time given in milliseconds; `default` is in microseconds."""
        value = self._values.get(key)
        if value is None and default is not None:
            return default
        return to_microseconds(self.number(key))
