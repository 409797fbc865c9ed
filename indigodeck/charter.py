"""The charter: what a deployment states at a planner's start, read from the platform's settings object.

The simulator and real planners are handed the same object; every host reads it here. The standard library only.
"""

import json


class Malformed(Exception):
    """Input that is not what its protocol allows; says what is wrong and where."""


def micros(milliseconds):
    """Whole microseconds; what is no number, or none that can be a time, counts as zero."""
    return round(milliseconds * 1000) if 0 < milliseconds < 1e15 else 0


REQUIRED = object()
TIME = 1000  # on the wire in milliseconds
# Our name, section of the settings, their name, scale of a number, what an absent one means.
FACTS = (
    ("instances", "", "nInstances", 1, 1),
    ("own_number", "", "me", 1, 0),
    ("own_zone", "", "zone", 1, 0),
    ("lines_per_s", "domain", "linesPerS", 1, REQUIRED),
    ("proxies", "domain", "proxies", 1, 0),
    ("strikes", "domain", "strikes", 1, 0),
    ("waiting_most", "domain", "mostWaiting", 1, REQUIRED),
    ("head_lines", "domain", "fixedCost", 1, REQUIRED),
    ("bare_time", "domain", "blackholeMs", TIME, REQUIRED),
    ("report_period", "domain", "periodMs", TIME, REQUIRED),
    ("way_mean", "domain", "transitMs", TIME, 0),
    ("way_longest", "domain", "pushDelayMaxMs", TIME, 0),
    ("messages_most", "domain", "pushesAllowed", 1, 0),
    ("messages_span", "domain", "reloadSpanMs", TIME, 10_000_000),
    ("slices", "domain", "keyRanges", 1, 0),
    ("settle_time", "domain", "writeLifeMs", TIME, 0),
    ("first_wait", "domain", "firstWait", 1, 1),
    ("cold_time", "rules", "coldMs", TIME, REQUIRED),
    ("cold_share", "rules", "coldShare", 1, REQUIRED),
    ("drain_grace", "rules", "drainGraceMs", TIME, REQUIRED),
    ("tip_multiple", "rules", "tipMultiple", 1, REQUIRED),
    ("tip_time", "rules", "fallMs", TIME, REQUIRED),
    ("worst_class_share", "blend", "worstClass", 1, 0),
)
CLASS_FACTS = (
    ("agreed_time", "aimMs", TIME, REQUIRED),
    ("patience", "deadlineMs", TIME, REQUIRED),
    ("credit", "points", 1, 1),
    ("late_credit", "lateWorth", 1, 0),
    ("repeat_window", "keyTtlMs", TIME, 0),
)
REPEATS = {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "never"}
LOADS = {
    "busy_reqs": "in_hand",
    "pending": "waiting",
    "cpu_share": "cores_busy",
    "svc_ms": "work_time",
    "served_ps": "completed_per_s",
    "failed_ps": "failed_per_s",
}
LEVELS = {"ratio": "share", "rps": "rate", "off": "none"}


def fact(section, theirs, scale, default, where):
    value = section.get(theirs)
    if value is None:
        if default is REQUIRED:
            raise Malformed(f"settings: {where}{theirs} is missing")
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < 1e18:
        raise Malformed(f"settings: {where}{theirs} is no number")
    return round(value * scale) if scale == TIME else value


def read_charter(data):
    """The start-up settings, as JSON text, under the names that the assigner knows them by."""
    try:
        given = json.loads(bytes(data))
    except (ValueError, RecursionError) as error:
        raise Malformed(f"settings: {error}") from error
    return charter_of(given)


def charter_of(given):
    """The same, of the object that the text holds; raises Malformed with the place of what is wrong."""
    if not isinstance(given, dict):
        raise Malformed("settings: no JSON object")
    given = dict(given)
    for name in ("domain", "rules", "blend", "limits", "loadInfo"):
        if not isinstance(given.setdefault(name, {}), dict):
            raise Malformed(f"settings: {name} is no object")
    for name in ("zones", "hostTypes"):
        if not isinstance(given.get(name) or [], list):
            raise Malformed(f"settings: {name} is no list")
    charter = {
        ours: fact(
            given[section] if section else given, theirs, scale, default, section and section + "."
        )
        for ours, section, theirs, scale, default in FACTS
    }
    domain, limits = given["domain"], given["limits"]
    charter["zones"] = len(given.get("zones") or [""])
    charter["zone_names"] = [str(name) for name in given.get("zones") or [""]]
    charter["kind_names"] = [str(name) for name in given.get("hostTypes") or []]
    charter["list_asked"] = given.get("membershipMode") == "ask"
    charter["probes"] = limits.get("probes") is True
    charter["peers"] = limits.get("peers") is True
    charter["gone_binds"] = given["rules"].get("drainBindsAlone") is not True
    charter["exclusive"] = domain.get("exclusive") is True
    charter["levels"] = LEVELS.get(domain.get("admission"), "share")
    charter["load_columns"] = [
        LOADS.get(name, name) for name in given["loadInfo"].get("columns") or []
    ]
    if not isinstance(given.get("classes"), list) or not given["classes"]:
        raise Malformed("settings: classes is missing")
    own_zone = domain.get("classOwnZone") or []
    charter["classes"] = []
    for place, stated in enumerate(given["classes"]):
        where = f"classes[{place}]."
        if not isinstance(stated, dict):
            raise Malformed(f"settings: {where} is no object")
        kept = {
            ours: fact(stated, theirs, scale, default, where)
            for ours, theirs, scale, default in CLASS_FACTS
        }
        kept["name"] = str(stated.get("name", place))
        kept["repeats"] = REPEATS.get(stated.get("effect"), "never")
        kept["repeat_scope"] = stated.get("dedupScope", "all")
        kept["own_zone"] = place < len(own_zone) and own_zone[place] is True
        charter["classes"].append(kept)
    return charter
