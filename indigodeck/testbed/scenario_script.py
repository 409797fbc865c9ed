"""Scripts of scenarios: their schema, what is wrong with one, and the settings file they imply.

A script's own words (hall, troubles, roster, charter) are keys of its JSON and stay as they are.
"""

import json
from dataclasses import dataclass
from typing import Any

from ..json_documents import InvalidDocumentError, load_schema, schema_errors
from ..planner.planner_settings import PlannerSettings

SCHEMA = load_schema(__file__, "scenario.schema.json")
SHORTEST_FAULT_S = 0.1
# What a bench day calls its faults, and which of ours each is; others have no counterpart on
# sockets.
FAULT_BY_BENCH_NAME = {
    "crash": "crash",
    "vanish": "silent",
    "hang": "hang",
    "fast_errors": "errors",
    "neighbour": "slow",
    "deploy": "deploy",
    "shrink": "shrink",
    "discovery_stale": "roster_late",
    "wrong_list": "roster_wrong",
    "balancer_roll": "planner_killed",
    "balancer_stall": "planner_stalled",
    "counter_down": "relay_cut",
}

Script = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of a script's `troubles`.

    `share` of the hosts or relays concerned, of one zone if stated; `size` is its depth: the part
    of speed lost, the part of requests that fail, the part replaced at a time, or seconds.
    """

    type: str
    at_s: float
    duration_s: float | None = None
    share: float = 0.2
    size: float = 0.5
    zone: str | None = None

    @classmethod
    def from_json(cls, stated: dict[str, Any]) -> "Fault":
        """Read one entry of a script."""
        return cls(
            stated["kind"],
            stated["at"],
            stated.get("seconds"),
            stated.get("part", 0.2),
            stated.get("size", 0.5),
            stated.get("hall"),
        )


def convert_bench_faults(
    bench_faults: list[dict[str, Any]],
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return a bench day's faults as entries of a script, and the types without counterpart.

    A bench day states kind, at, len, part and size; times in seconds.
    """
    faults = []
    without_counterpart = []
    for fault in bench_faults:
        fault_type = FAULT_BY_BENCH_NAME.get(fault["kind"])
        if fault_type is None:
            without_counterpart.append(fault["kind"])
            continue
        faults.append(
            {
                "kind": fault_type,
                "at": fault["at"],
                "seconds": max(SHORTEST_FAULT_S, fault.get("len", 5)),
                "part": min(1.0, fault.get("part") or 0.2),
                "size": fault.get("size") or 0.2,
            }
        )
    return faults, without_counterpart


def check(script: Script) -> list[str]:
    """Return what is wrong with a script, by place; mistakes of its settings among them."""
    mistakes = schema_errors(script, SCHEMA)
    if mistakes:
        return mistakes
    try:
        settings = PlannerSettings(settings_document(script, 1))
    except InvalidDocumentError as error:
        return ["charter: " + line for line in str(error).splitlines()]
    names = sorted(stated["name"] for stated in script["classes"])
    if names != sorted(settings.class_names):
        mistakes.append(f"classes: {names}, the charter has {sorted(settings.class_names)}")
    for index, fault in enumerate(script.get("troubles", [])):
        zone = fault.get("hall")
        if zone not in (None, *settings.zone_names):
            mistakes.append(
                f"troubles/{index}/hall: {zone!r} is none of the halls {settings.zone_names}"
            )
    return mistakes


def settings_document(script: Script, discovery_port: int) -> dict[str, Any]:
    """Return the planner's settings of a script; its list service is at a local port."""
    document = json.loads(json.dumps(script["charter"]))
    document["roster"] = {"service": f"http://127.0.0.1:{discovery_port}"}
    protocol = protocol_of(script)
    frontend = document.get("fronts", {}).get(protocol, {})
    document["fronts"] = {protocol: dict(frontend, address="127.0.0.1", port=0)}
    relays = document.setdefault("relays", {})
    relays.setdefault("most", script["relays"]["many"])
    relays.setdefault("halls", [{"prefix": hall + "/", "hall": hall} for hall in document["halls"]])
    return document


def protocol_of(script: Script) -> str:
    """Return the protocol between relays and planner: "sasp" or "xds"."""
    return script["relays"].get("wire", "sasp")
