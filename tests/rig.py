"""A host that prints what it is asked to do, and the comparison of that trace with a kept one."""

import difflib
import os
import pathlib
import unittest

from indigodeck.choice import Assigner
from indigodeck.host import CACHED, CHANGES, READY, Server

SECOND = 1_000_000
TRACES = pathlib.Path(__file__).parent / "traces"


def charter(**changes):
    """Two classes, one zone apart from what a test changes."""
    safe = dict(
        name="read",
        agreed_time=SECOND,
        patience=3 * SECOND,
        credit=1,
        late_credit=0.1,
        repeat_window=0,
        repeats="safe",
        repeat_scope="all",
        own_zone=False,
    )
    dear = dict(safe, name="write", credit=3, repeats="keyed", repeat_scope="cell")
    stated = dict(
        classes=[safe, dear],
        zones=1,
        instances=1,
        proxies=2,
        gone_binds=True,
        strikes=0,
        slices=0,
        lines_per_s=2000,
        waiting_most=2000,
        head_lines=4,
        way_longest=SECOND // 2,
        way_mean=SECOND // 5,
        messages_most=0,
        messages_span=10 * SECOND,
        report_period=SECOND,
        bare_time=5 * SECOND,
        cold_time=16 * SECOND,
        cold_share=0.16,
        drain_grace=2 * SECOND,
        tip_multiple=3,
        tip_time=2 * SECOND,
        list_asked=False,
        probes=False,
        exclusive=False,
        levels="share",
        settle_time=0,
    )
    return dict(stated, **changes)


def server(index, state=READY, started=0, zone=0, kind=0, weight=1.0):
    return Server(
        index, bytes([index * 37 % 251, index]), index // 4, kind, zone, weight, started, state
    )


class Rig:
    """Plays time for one assigner and prints its orders; at the same moment only what differs stands out."""

    def __init__(self, stated=None, seed=7):
        self.clock, self.timers, self.printed, self.tables, self.out = 0, [], [], {}, set()
        self.answers = SECOND // 5  # how long a mark takes to be answered; None: nobody answers
        self.assigner = Assigner(self, stated or charter(), seed)

    def note(self, text):
        self.printed.append(f"{self.clock / SECOND:7.2f}  {text}")

    def now(self):
        return self.clock

    def wake(self, after, token):
        self.timers.append((self.clock + after, token))

    def line(self, table, index, weight):
        self.tables.setdefault(table, {})[index] = weight
        self.note(f"table {table}: server {index} {weight:g}")

    def clear(self, table):
        self.note(f"clear table {table}")

    def bind(self, proxy, table, classes):
        self.note(f"bind proxy {proxy} to table {table} for {list(classes)}")

    def withdraw(self, index, out):
        self.note(f"{'withdraw' if out else 'let in'} server {index}")

    def forget(self, index):
        self.note(f"forget server {index}")

    def admit(self, table, classes, level, tries):
        self.note(f"table {table}: level {level:.2f} of {list(classes)}, tries {tries}")

    def mark(self, number, everyone):
        if self.answers is not None:
            self.timers.append((self.clock + self.answers, -number))

    def probe(self, index):
        self.note(f"probe server {index}")

    def tell(self, peer, data):
        self.note(f"tell {peer}")

    def watch(self, on):
        self.note(f"watch {on}")

    def fetch(self):
        self.note("fetch")

    def log(self, text):
        self.note(f"log: {text}")

    def start(self, servers, proxies=2, rate=50.0, zones=1):
        self.assigner.listed(CACHED, servers)
        for proxy in range(proxies):
            self.assigner.proxy_joined(proxy, proxy % zones, rate, True)
        self.run(1 / SECOND)

    def change(self, *servers):
        self.assigner.listed(CHANGES, list(servers))

    def run(self, seconds, reports=None):
        """Plays on; `reports`, if any, is called once a second before the assigner's own turn."""
        end = self.clock + round(seconds * SECOND)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            before, self.clock = self.clock, max(self.clock, due[0])
            if reports and before // SECOND != self.clock // SECOND:
                reports(self)
            if due[1] < 0:
                self.assigner.applied(0, -due[1], self.answers)
            else:
                self.assigner.woken(due[1])
        self.clock = end

    def report(
        self,
        took=lambda index: 200_000,
        failed=lambda index: 0,
        tries=20,
        demand=(30, 20),
        servers=12,
    ):
        for index in range(servers):
            if any(lines.get(index) for lines in self.tables.values()):
                lost = min(tries, failed(index))
                self.assigner.heard(
                    0, index, tries, lost, took(index) if lost < tries else 0, SECOND, None
                )
        for proxy in range(2):
            for place, exchanges in enumerate(demand):
                self.assigner.demand(proxy, place, exchanges, 0, SECOND)


class TraceCase(unittest.TestCase):
    def compare(self, name, rig):
        """The printed trace against the one that people read in tests/traces."""
        path, fresh = TRACES / f"{name}.txt", "\n".join(rig.printed) + "\n"
        if os.environ.get("INDIGODECK_WRITE_TRACES"):
            path.write_text(fresh)
        kept = path.read_text() if path.exists() else ""
        differing = "\n".join(
            difflib.unified_diff(kept.splitlines(), fresh.splitlines(), "kept", "now", lineterm="")
        )
        self.assertFalse(differing, f"\n{differing}")


class Loop:
    """Time, timers and a desk's outside, for planners without sockets; prints what the desk says."""

    def __init__(self):
        self.clock, self.timers, self.printed, self.wanting, self.nth = 100 * SECOND, [], [], [], 0

    def now(self):
        return self.clock

    def later(self, after, call):
        self.nth += 1
        self.timers.append((self.clock + after, self.nth, call))

    def run(self, seconds):
        end = self.clock + round(seconds * SECOND)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.clock = max(self.clock, due[0])
            due[2]()
        self.clock = end

    def due(self, proxy):
        self.wanting.append(proxy)

    def probe(self, server):
        self.note(f"probe {server}")

    def ask_list(self, watch):
        self.note("ask for the list")

    def note(self, text, **facts):
        told = " ".join(f"{name}={value}" for name, value in facts.items())
        self.printed.append(f"{(self.clock - 100 * SECOND) / SECOND:7.2f}  {text} {told}".rstrip())
