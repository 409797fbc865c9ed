"""Scenario scripts: their validation, and the settings file of the planner that they define.

The words hall (zone), troubles (faults), roster (endpoint list) and charter (settings file) are
keys in the JSON of a script.
"""

import json
from dataclasses import dataclass
from typing import Any

from ..json_documents import InvalidDocumentError, load_schema, schema_errors
from ..planner.planner_settings import PlannerSettings

SCHEMA = load_schema(__file__, "scenario.schema.json")
MIN_FAULT_DURATION_S = 0.1
# The fault types of benchmark scenarios that can be reproduced over sockets, and the corresponding
# types in scripts.
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

    `share` is the share of hosts or relays affected, of one zone if given. The meaning of `size`
    depends on the type: the share of speed lost, the share of requests that fail, the share of
    hosts replaced per wave, the rounds of reconnections, or seconds.
    """

    type: str
    at_s: float
    duration_s: float | None = None
    share: float = 0.2
    size: float = 0.5
    zone: str | None = None

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> "Fault":
        """Parse one entry of a script."""
        return cls(
            document["kind"],
            document["at"],
            document.get("seconds"),
            document.get("part", 0.2),
            document.get("size", 0.5),
            document.get("hall"),
        )


def convert_bench_faults(
    bench_faults: list[dict[str, Any]],
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return a benchmark scenario's faults as entries of a script, and the types left out.

    A fault of a benchmark scenario has the keys kind, at, len, part and size; times are in seconds.
    Types without a counterpart in `FAULT_BY_BENCH_NAME` are left out.
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
                "seconds": max(MIN_FAULT_DURATION_S, fault.get("len", 5)),
                "part": min(1.0, fault.get("part") or 0.2),
                "size": fault.get("size") or 0.2,
            }
        )
    return faults, without_counterpart


def check(script: Script) -> list[str]:
    """Return the errors in a script and its settings, each with its location."""
    errors = schema_errors(script, SCHEMA)
    if errors:
        return errors
    try:
        settings = PlannerSettings(settings_document(script, 1))
    except InvalidDocumentError as error:
        return ["charter: " + line for line in str(error).splitlines()]
    names = sorted(entry["name"] for entry in script["classes"])
    if names != sorted(settings.class_names):
        errors.append(
            f"classes: the script has {names}, its charter {sorted(settings.class_names)}"
        )
    for index, fault in enumerate(script.get("troubles", [])):
        zone = fault.get("hall")
        if zone not in (None, *settings.zone_names):
            errors.append(
                f"troubles/{index}/hall: {zone!r} is not one of the halls {settings.zone_names}"
            )
    return errors


def settings_document(script: Script, discovery_port: int) -> dict[str, Any]:
    """Return the settings of a script's planner; its discovery server listens on a local port."""
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
