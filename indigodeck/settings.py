"""Deployment settings: the facts that a deployment states once, at the start of a planner.

The simulator and the platform hand over the same settings object; `settings_from_object` is the
only place that knows its keys. The planner's own configuration file (`planner/planner_settings.py`)
yields the same `DeploymentSettings`. Times are whole microseconds. Standard library only.
"""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .clock import MILLISECOND
from .errors import MalformedMessageError

LONGEST_MILLISECONDS = 1e15  # a longer time is taken for none, so that sums stay exact integers
LARGEST_NUMBER = 1e18  # a larger figure is no setting that anybody means


class AdmissionMode(StrEnum):
    """How a deployment's proxies understand an admission level."""

    SHARE = "share"  # the part of requests that is admitted, 0 to 1
    RATE = "rate"  # requests a second for each proxy
    NONE = "none"  # levels are not supported


class Idempotency(StrEnum):
    """Whether a request of a class may be executed again."""

    SAFE = "safe"  # it has no effect
    KEYED = "keyed"  # it carries an idempotency key
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """What is stated of one traffic class.

    A response within `latency_objective` earns `priority_weight`; one that is later, but within
    `deadline`, earns `late_weight_factor` times that. `idempotency_window` is how long a key is
    remembered, within `deduplication_scope` ("all", or the cell or zone of a server).
    `zone_bound` classes are served only by servers of the proxy's own zone.
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

    The channel carries `lines_per_second` table lines; at most `max_waiting_lines` may wait in it.
    A message to one proxy costs `message_overhead_lines` beside its lines. Each proxy may be
    written `max_messages` messages (0: no limit) within any `message_window`.
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
    """What a deployment states, as the assigner knows it.

    `planner_count` planners share the proxies; `planner_index` is this one's, from 0.
    `proxy_count` proxies are expected over all planners. Each proxy avoids a server after
    `proxy_failure_limit` failures of its own in a row (0: never). A server restarted less than
    `warm_up_time` ago is cold: it starts with `cold_capacity_share` of its capacity, and is
    overloaded for good by `overload_multiple` times what it can do, held for `overload_time`.
    `removal_is_final`: a server that is listed as gone is gone, even if it still answers.
    `write_settle_time`: how long a write may still take effect after its key range has moved.
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
    first_attempt_wait: float = 1  # of the latency objective, before a retry after any failure
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
    """Return whole microseconds; what is no number, or cannot be a time, counts as 0."""
    if 0 < milliseconds < LONGEST_MILLISECONDS:
        return to_microseconds(milliseconds)
    return 0


def to_microseconds(milliseconds: float) -> int:
    """Return whole microseconds of a time that has been checked."""
    return round(milliseconds * MILLISECOND)


def settings_from_json(data: bytes) -> DeploymentSettings:
    """Read the settings from JSON text.

    Raises
    ------
    MalformedMessageError
        If the text is no JSON, or a setting is missing or of the wrong type.
    """
    try:
        given = json.loads(bytes(data))
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f"settings: {error}") from error
    return settings_from_object(given)


def settings_from_object(given: Any) -> DeploymentSettings:
    """Read the settings from the object that the JSON text holds.

    Raises
    ------
    MalformedMessageError
        If a setting is missing or of the wrong type; the message names its place.
    """
    if not isinstance(given, dict):
        raise MalformedMessageError("settings: no JSON object")
    top = _Section(given, "")
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
        first_attempt_wait=domain.number("firstWait", 1),
        worst_class_share=blend.number("worstClass", 0),
        zone_names=zone_names,
        machine_type_names=machine_type_names,
        load_columns=_load_columns(load_info),
        list_on_request=given.get("membershipMode") == "ask",
        health_checks_allowed=limits.flag("probes"),
        peer_messages_allowed=limits.flag("peers"),
        removal_is_final=not rules.flag("drainBindsAlone"),
        exclusive_ownership=domain.flag("exclusive"),
        admission_mode=ADMISSION_NAMES.get(domain.get("admission"), AdmissionMode.SHARE),
        classes=_classes(given.get("classes"), domain.get("classOwnZone") or []),
    )


def _load_columns(load_info: "_Section") -> tuple[str, ...]:
    columns = load_info.get("columns") or []
    return tuple(LOAD_COLUMN_NAMES.get(name, name) for name in columns)


def _classes(stated: Any, zone_bound: Iterable[Any]) -> tuple[ClassSettings, ...]:
    if not isinstance(stated, list) or not stated:
        raise MalformedMessageError("settings: classes is missing")
    bound = list(zone_bound)
    classes = []
    for index, given in enumerate(stated):
        where = f"classes[{index}]."
        if not isinstance(given, dict):
            raise MalformedMessageError(f"settings: {where} is no object")
        classes.append(
            _class(index, _Section(given, where), index < len(bound) and bound[index] is True)
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
    """One object of the settings, read with the place of each key for error messages."""

    def __init__(self, given: dict, where: str) -> None:
        self._given = given
        self._where = where

    def get(self, key: str, default: Any = None) -> Any:
        return self._given.get(key, default)

    def flag(self, key: str) -> bool:
        return self._given.get(key) is True

    def section(self, key: str) -> "_Section":
        found = self._given.get(key, {})
        if not isinstance(found, dict):
            raise MalformedMessageError(f"settings: {key} is no object")
        return _Section(found, f"{key}.")

    def names(self, key: str) -> tuple[str, ...]:
        found = self._given.get(key) or []
        if not isinstance(found, list):
            raise MalformedMessageError(f"settings: {key} is no list")
        return tuple(str(name) for name in found)

    def number(self, key: str, default: float | None = None) -> Any:
        """Return a number; without a default the key must be there."""
        value = self._given.get(key)
        if value is None:
            if default is None:
                raise MalformedMessageError(f"settings: {self._where}{key} is missing")
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or math.isnan(value) or abs(value) >= LARGEST_NUMBER:
            raise MalformedMessageError(f"settings: {self._where}{key} is no number")
        return value

    def time(self, key: str, default: int | None = None) -> int:
        """Return a time that is stated in milliseconds, in microseconds; `default` is in both."""
        value = self._given.get(key)
        if value is None and default is not None:
            return default
        return to_microseconds(self.number(key))
