"""Relays that go by a planner's tables, each with the clients of one process behind it.

Clients come at times drawn ahead, wait as long as their patience, and some come again. A relay picks by weight,
tries one further host only on proof that the first never ran, and stays away for a while from a host at which
its own tries keep failing. Outcomes are written as JSON lines.
"""

import json
import math

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from ..assignment.seeded_random import SeededRandom, seed_from
from ..client import NoServerError, Tables
from ..client.sasp import SaspClient

SECOND = 1_000_000
AWAY = 5 * SECOND


class Relay:
    """`stated`: uid, planners [(address, port)], standing [(address, port)], classes [{name, share, work_ms,
    agreed_time_ms, patience_ms, credit, late_credit, repeats}], rate (exchanges a second), retries, strikes.
    """

    def __init__(self, now, write, stated, until):
        self.now, self.write, self.stated, self.until = now, write, stated, until
        self.uid, self.classes = stated["uid"], {kind["name"]: kind for kind in stated["classes"]}
        standing = [tuple(where) for where in stated.get("standing", [])]
        self.tables = Tables(self.classes, now, standing)
        self.chance = SeededRandom(seed_from(self.uid, [str(stated.get("seed", 0)).encode()]))
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=4096)
        planners = [tuple(where) for where in stated["planners"]]
        patience = stated.get("planner_patience", 3.0)
        if stated.get("wire") == "xds":
            from ..client.xds import XdsClient

            self.wire = XdsClient(
                self.uid,
                planners,
                self.tables,
                response_timeout=patience,
                zone=stated.get("hall", ""),
                observer=self._seen,
            )
        else:
            self.wire = SaspClient(
                self.uid, planners, self.tables, standing, response_timeout=patience
            )
        self.strikes, self.away, self.count, self.unruly = {}, {}, 0, stated.get("unruly")
        self.kept = None

    def start(self):
        IOLoop.current().add_callback(self.wire.run)
        if self.stated["rate"] > 0:
            IOLoop.current().call_later(self._gap(), self._arrive)

    def _seen(self, what, tables):
        """What passed the relay's own end of a stream that no tap can read."""
        self.write(
            {
                "at": self.now(),
                "relay": self.uid,
                "seen": what,
                "tables": tables,
                "epoch": self.tables.epoch,
                "to": self.wire.attempts % len(self.stated["planners"]),
            }
        )

    def _gap(self):
        return -math.log((1 + self.chance.below(1 << 30)) / (1 << 30)) / self.stated["rate"]

    def _arrive(self):
        if self.now() < self.until:
            # The next comes whatever becomes of this one.
            IOLoop.current().call_later(self._gap(), self._arrive)
            point, name = self.chance.below(1000) / 1000, None
            for name, kind in self.classes.items():
                point -= kind["share"]
                if point < 0:
                    break
            self.count += 1
            IOLoop.current().add_callback(self._client, name, f"{self.uid}/{self.count}")

    async def _client(self, name, key):
        """One client: tries again while its patience lasts; its service is that of its first try."""
        kind, begun = self.classes[name], self.now()
        work = round(kind["work_ms"] * 1000 * (0.6 + 0.8 * self.chance.below(1000) / 1000))
        outcome, tries = "nowhere", 0
        for nth in range(1 + self.stated.get("retries", 0)):
            left = kind["patience_ms"] * 1000 - (self.now() - begun)
            if left <= 0 or (
                nth and kind["repeats"] != "safe" and outcome not in ("nowhere", "full", "refused")
            ):
                break
            tries += 1
            outcome = await self.forward(
                name, f"{key}/{nth}", work, min(left, kind["patience_ms"] * 600)
            )
            if outcome == "ok":
                break
        took = self.now() - begun
        self.write(
            {
                "at": begun,
                "relay": self.uid,
                "class": name,
                "key": key,
                "outcome": outcome,
                "took": took,
                "tries": tries,
                "asked": kind["credit"],
                "earned": 0
                if outcome != "ok"
                else kind["credit"]
                if took <= kind["agreed_time_ms"] * 1000
                else kind["credit"] * kind.get("late_credit", 0)
                if took <= kind["patience_ms"] * 1000
                else 0,
            }
        )

    async def forward(self, name, key, work, patience):
        """One try of a client, which the relay may send on once more on proof that the first never ran."""
        tried, outcome, begun = [], "nowhere", self.now()
        # A client that comes again is refused again: by what it asks, and not by a new draw.
        if not self.tables.admits(
            name, SeededRandom(seed_from(key.rpartition("/")[0], [])).below(1 << 20) / (1 << 20)
        ):
            return "refused"
        for nth in range(2):
            shunned = [where for where, until in self.away.items() if until > self.now()]
            try:
                where = self._pick(name, shunned + tried)
            except NoServerError:
                return outcome
            if where in tried:
                return outcome
            tried.append(where)
            sent = self.now()
            outcome = await self._send(
                where, name, key, nth, work, (patience - (self.now() - begun)) / SECOND
            )
            self._judge(where, outcome)
            if self.stated.get("wire") == "xds":
                self.wire.count_request(name, where, outcome == "ok", self.now() - sent)
            if outcome not in ("unreachable",) and not (
                self.unruly == "repeats" and outcome != "ok"
            ):
                return outcome
        return outcome

    def _pick(self, name, avoid):
        if self.unruly == "keeps":
            # Goes by the first table that it was ever given, whatever it is told.
            if self.kept is None and self.tables.updated_at[name] is not None:
                self.kept = Tables(self.classes, self.now)
                self.kept.lines = {kind: dict(lines) for kind, lines in self.tables.lines.items()}
            if self.kept is not None:
                return self.kept.pick(name, avoid)
        return self.tables.pick(name, avoid)

    async def _send(self, where, name, key, nth, work, patience):
        if patience <= 0.01:
            return "late"
        request = HTTPRequest(
            f"http://{where[0]}:{where[1]}/exchange/{name}",
            connect_timeout=min(0.25, patience),
            request_timeout=patience,
            headers={"Relay": self.uid, "Exchange": key, "Work": str(work), "Try": str(nth)},
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except HTTPTimeoutError as error:
            return "unreachable" if "connecting" in str(error) else "late"
        except ConnectionRefusedError:
            return "unreachable"
        except (OSError, HTTPClientError):
            return "broken"  # nothing is known of the try
        return "ok" if answer.code < 400 else "full" if answer.code == 503 else "error"

    def _judge(self, where, outcome):
        most = self.stated.get("strikes", 0)
        self.strikes[where] = 0 if outcome == "ok" else self.strikes.get(where, 0) + 1
        if most and self.strikes[where] >= most:
            self.away[where], self.strikes[where] = self.now() + AWAY, 0


class RelayPool:
    """Relays in one process; told to start, to break a stream and to end."""

    def __init__(self, now, outcomes):
        self.now, self.outcomes, self.relays, self.lost = now, outcomes, {}, []

    def _watch(self, relay):
        before = {name: set(lines) for name, lines in relay.tables.lines.items()}

        def changed(name):
            lines = relay.tables.lines[name]
            self.lost += [(self.now(), port) for _, port in before[name] - lines.keys()]
            before[name] = set(lines)

        return changed

    def write(self, outcome):
        self.outcomes.write(json.dumps(outcome, separators=(",", ":")) + "\n")

    async def command(self, line):
        do = line["do"]
        if do == "start":
            relay = self.relays[line["relay"]["uid"]] = Relay(
                self.now, self.write, line["relay"], line["until"]
            )
            relay.start()
        elif do == "drop":
            self.relays[line["uid"]].wire.disconnect()
        elif do == "tables":
            return {
                uid: {
                    name: [[*where, weight] for where, weight in sorted(lines.items())]
                    for name, lines in relay.tables.lines.items()
                }
                for uid, relay in self.relays.items()
            }
        elif do == "changes":
            # Since the last such command: when each relay's tables lost a server, by its port.
            lost, self.lost = self.lost, []
            for relay in self.relays.values():
                if relay.tables.changed is None:
                    relay.tables.changed = self._watch(relay)
            return {"lost": lost}
        elif do == "leave":
            for relay in self.relays.values():
                relay.wire.stop()
        return {}
