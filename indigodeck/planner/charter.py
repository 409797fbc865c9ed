"""The charter: what a planner is told at start, as JSON, and the plain map that the assigner picks from."""

import pathlib

from ..schema import BadDocument, load, shipped, wrong

SCHEMA = shipped(__file__, "charter.schema.json")
TIME = 1000  # stated in milliseconds, kept in whole microseconds


def read(path):
    """The charter in a file, checked; relative paths in it are seen from its folder."""
    path = pathlib.Path(path)
    return Charter(load(path, SCHEMA), path.parent, path.name)


class Charter:
    """`stated`: the map that the assigner is handed, times in microseconds; the rest by sections."""

    def __init__(self, document, folder=pathlib.Path("."), name="charter"):
        against = wrong(document, SCHEMA) or list(self._crossed(document))
        if against:
            raise BadDocument("\n".join(f"{name}: {line}" for line in against))
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
        self.stated = self._stated()

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

    def _stated(self):
        document, channel, rules = self.document, self.channel, self.document["rules"]
        planners, relays = document.get("planners", {}), self.relays
        most = channel["messages_most"]
        return {
            "instances": planners.get("many", 1),
            "own_number": planners.get("number", 0),
            "zones": len(self.halls),
            "own_zone": self.halls.index(document.get("hall", self.halls[0])),
            "lines_per_s": channel["lines_per_s"],
            "waiting_most": channel["waiting_most"],
            "head_lines": channel["head_lines"],
            "way_mean": round(channel["way_mean_ms"] * TIME),
            "way_longest": round(channel["way_longest_ms"] * TIME),
            # Answers to a relay's own requests come off what the assigner may order.
            "messages_most": most - channel["answers_most"] if most else 0,
            "messages_span": round(channel["messages_span_ms"] * TIME),
            "report_period": round(self.reports.get("period_ms", 1000) * TIME),
            "proxies": relays.get("most", 0),
            "strikes": relays.get("strikes", 0),
            "bare_time": round(rules["bare_ms"] * TIME),
            "cold_time": round(rules["cold_ms"] * TIME),
            "cold_share": rules["cold_share"],
            "drain_grace": round(rules["drain_grace_ms"] * TIME),
            "tip_multiple": rules["tip_multiple"],
            "tip_time": round(rules["tip_ms"] * TIME),
            "gone_binds": rules.get("gone_binds", True),
            "probes": self.reports.get("probes_per_s", 20) > 0,
            "list_asked": self.roster.get("asked", False),
            "slices": 0,
            "exclusive": False,
            "settle_time": 0,
            "load_columns": [],
            # Levels hold for relays that can be told of them.
            "levels": "share" if "xds" in self.fronts else "none",
            "classes": [
                {
                    "name": kind["name"],
                    "agreed_time": round(kind["agreed_time_ms"] * TIME),
                    "patience": round(kind["patience_ms"] * TIME),
                    "credit": kind.get("credit", 1),
                    "late_credit": kind.get("late_credit", 0),
                    "repeats": kind.get("repeats", "safe"),
                    "repeat_window": round(kind.get("repeat_window_ms", 0) * TIME),
                    "repeat_scope": kind.get("repeat_scope", "all"),
                    "own_zone": kind.get("own_hall", False),
                }
                for kind in document["classes"]
            ],
        }

    def relay(self, uid):
        """(place of its hall, usual rate) of a relay, by the longest prefix of its id that is stated."""
        fits = [entry for entry in self.relays.get("halls", []) if uid.startswith(entry["prefix"])]
        best = max(fits, key=lambda entry: len(entry["prefix"]), default={})
        hall = self.halls.index(best["hall"]) if best else self.stated["own_zone"]
        return hall, best.get("rate", self.relays.get("rate", 1.0))
