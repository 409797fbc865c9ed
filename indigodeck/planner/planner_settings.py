"""The charter: what a planner is told at start, as JSON, and the plain map that the assigner picks from."""

import pathlib

from ..json_documents import InvalidDocumentError, load_document, load_schema, schema_errors
from ..settings import (
    AdmissionMode,
    ChannelSettings,
    ClassSettings,
    DeploymentSettings,
    Idempotency,
    microseconds,
)

SCHEMA = load_schema(__file__, "settings.schema.json")


def read(path):
    """The charter in a file, checked; relative paths in it are seen from its folder."""
    path = pathlib.Path(path)
    return PlannerSettings(load_document(path, SCHEMA), path.parent, path.name)


class PlannerSettings:
    """`deployment`: the settings that the assigner is handed, times in microseconds; the rest by sections."""

    def __init__(self, document, folder=pathlib.Path("."), name="charter"):
        against = schema_errors(document, SCHEMA) or list(self._crossed(document))
        if against:
            raise InvalidDocumentError("\n".join(f"{name}: {line}" for line in against))
        self.document, self.folder = document, pathlib.Path(folder)
        self.name, self.seed = document.get("name", "planner"), document.get("seed", 1)
        self.halls, self.kinds = document["halls"], document.get("kinds", [])
        self.relays, self.reports = document.get("relays", {}), document.get("reports", {})
        self.roster, self.fronts = document["roster"], document["fronts"]
        self.channel = dict(
            {
                "head_lines": 6,
                "way_mean_ms": 50,
                "way_longest_ms": 500,
                "messages_most": 0,
                "messages_span_ms": 10_000,
            },
            **document["channel"],
        )
        # Unless stated, a third of what may be written to a relay answers what it asks itself.
        self.channel.setdefault("answers_most", max(1, self.channel["messages_most"] // 3))
        self.takeover, self.store, self.operators = (
            document.get(name) for name in ("takeover", "store", "operators")
        )
        self.classes = [kind["name"] for kind in document["classes"]]
        self.deployment = self._deployment()

    @staticmethod
    def _crossed(document):
        """What a schema can't say: names that must be stated elsewhere."""
        halls = document["halls"]
        if document.get("hall", halls[0]) not in halls:
            yield f"hall: {document['hall']!r} is none of the halls {halls}"
        for place, entry in enumerate(document.get("relays", {}).get("halls", [])):
            if entry["hall"] not in halls:
                yield f"relays/halls/{place}/hall: {entry['hall']!r} is none of the halls {halls}"
        names = [kind["name"] for kind in document["classes"]]
        for place, kind in enumerate(document["classes"]):
            if kind["name"] in names[:place]:
                yield f"classes/{place}/name: {kind['name']!r} stands twice"
            if kind["patience_ms"] < kind["agreed_time_ms"]:
                yield f"classes/{place}/patience_ms: shorter than the agreed time"
        planners = document.get("planners", {})
        if planners.get("number", 0) >= planners.get("many", 1):
            yield f"planners/number: {planners['number']} of {planners.get('many', 1)}, counted from 0"
        takeover = document.get("takeover")
        if takeover and takeover["me"] not in takeover["members"]:
            yield f"takeover/me: {takeover['me']!r} is none of the members {sorted(takeover['members'])}"
        if takeover and "record" not in takeover and "store" not in document:
            yield "takeover/record: needed where there is no store"
        if takeover and "operators" in document:
            yield "operators: controllers hear operators where they hear each other"
        channel = document["channel"]
        if 0 < channel.get("messages_most", 0) <= channel.get("answers_most", 0):
            yield "channel/answers_most: leaves no message for orders"

    def _deployment(self):
        document, rules, reports = self.document, self.document["rules"], self.reports
        planners, relays = document.get("planners", {}), self.relays
        return DeploymentSettings(
            classes=tuple(self._class(given) for given in document["classes"]),
            channel=self._channel(),
            zone_count=len(self.halls),
            planner_count=planners.get("many", 1),
            planner_number=planners.get("number", 0),
            planner_zone=self.halls.index(document.get("hall", self.halls[0])),
            proxy_count=relays.get("most", 0),
            proxy_failure_limit=relays.get("strikes", 0),
            report_period=microseconds(reports.get("period_ms", 1000)),
            max_unserved_time=microseconds(rules["bare_ms"]),
            warm_up_time=microseconds(rules["cold_ms"]),
            cold_capacity_share=rules["cold_share"],
            drain_grace=microseconds(rules["drain_grace_ms"]),
            overload_multiple=rules["tip_multiple"],
            overload_time=microseconds(rules["tip_ms"]),
            removal_is_final=rules.get("gone_binds", True),
            health_checks_allowed=reports.get("probes_per_s", 20) > 0,
            list_on_request=self.roster.get("asked", False),
            # Admission levels reach only relays whose protocol can carry them.
            admission_mode=AdmissionMode.SHARE if "xds" in self.fronts else AdmissionMode.NONE,
        )

    def _channel(self):
        channel, limit = self.channel, self.channel["messages_most"]
        return ChannelSettings(
            lines_per_second=channel["lines_per_s"],
            max_waiting_lines=channel["waiting_most"],
            message_overhead_lines=channel["head_lines"],
            mean_delivery_delay=microseconds(channel["way_mean_ms"]),
            max_delivery_delay=microseconds(channel["way_longest_ms"]),
            # Answers to a relay's own requests come off what the assigner may order.
            max_messages=limit - channel["answers_most"] if limit else 0,
            message_window=microseconds(channel["messages_span_ms"]),
        )

    @staticmethod
    def _class(given):
        return ClassSettings(
            name=given["name"],
            latency_objective=microseconds(given["agreed_time_ms"]),
            deadline=microseconds(given["patience_ms"]),
            priority_weight=given.get("credit", 1),
            late_priority_weight=given.get("late_credit", 0),
            idempotency=Idempotency(given.get("repeats", "safe")),
            idempotency_window=microseconds(given.get("repeat_window_ms", 0)),
            deduplication_scope=given.get("repeat_scope", "all"),
            zone_bound=given.get("own_hall", False),
        )

    def relay(self, uid):
        """(place of its hall, usual rate) of a relay, by the longest prefix of its id that is stated."""
        fits = [entry for entry in self.relays.get("halls", []) if uid.startswith(entry["prefix"])]
        best = max(fits, key=lambda entry: len(entry["prefix"]), default={})
        hall = self.halls.index(best["hall"]) if best else self.deployment.planner_zone
        return hall, best.get("rate", self.relays.get("rate", 1.0))
