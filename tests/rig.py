"""A host that prints what it is asked to do, and the comparison of that trace with a kept one."""

import dataclasses
import difflib
import os
import pathlib
import unittest

from indigodeck.assignment.assigner import Assigner
from indigodeck.assignment.interface import (
    DemandReport,
    LoadReport,
    Server,
    ServerState,
    UpdateKind,
)
from indigodeck.clock import SECOND
from indigodeck.settings import ChannelSettings, ClassSettings, DeploymentSettings, Idempotency

TRACES = pathlib.Path(__file__).parent / "traces"


READ_CLASS = ClassSettings(
    name="read",
    latency_objective=SECOND,
    deadline=3 * SECOND,
    priority_weight=1,
    late_priority_weight=0.1,
    idempotency=Idempotency.SAFE,
)
WRITE_CLASS = dataclasses.replace(
    READ_CLASS,
    name="write",
    priority_weight=3,
    idempotency=Idempotency.KEYED,
    deduplication_scope="cell",
)
CHANNEL = ChannelSettings(
    lines_per_second=2000,
    max_waiting_lines=2000,
    message_overhead_lines=4,
    mean_delivery_delay=SECOND // 5,
    max_delivery_delay=SECOND // 2,
)
SETTINGS = DeploymentSettings(
    classes=(READ_CLASS, WRITE_CLASS),
    channel=CHANNEL,
    zone_count=1,
    proxy_count=2,
    report_period=SECOND,
    max_unserved_time=5 * SECOND,
    warm_up_time=16 * SECOND,
    cold_capacity_share=0.16,
    drain_grace=2 * SECOND,
    overload_multiple=3,
    overload_time=2 * SECOND,
)


def deployment_settings(**changes):
    """Two classes, one zone, apart from the fields that a test changes, the channel's among them."""
    of_channel = {field.name for field in dataclasses.fields(ChannelSettings)}
    channel = {name: changes.pop(name) for name in of_channel & changes.keys()}
    return dataclasses.replace(SETTINGS, channel=dataclasses.replace(CHANNEL, **channel), **changes)


def server(index, state=ServerState.READY, started=0, zone=0, kind=0, weight=1.0):
    return Server(
        index, bytes([index * 37 % 251, index]), index // 4, kind, zone, weight, started, state
    )


class Rig:
    """Plays time for one assigner and prints its orders; at the same moment only what differs stands out."""

    def __init__(self, stated=None, seed=7):
        self.clock, self.timers, self.printed, self.tables, self.out = 0, [], [], {}, set()
        self.answers = SECOND // 5  # how long a mark takes to be answered; None: nobody answers
        self.assigner = Assigner(self, stated or deployment_settings(), seed)

    def note(self, text):
        self.printed.append(f"{self.clock / SECOND:7.2f}  {text}")

    def now(self):
        return self.clock

    def start_timer(self, after, token):
        self.timers.append((self.clock + after, token))

    def set_weight(self, table, index, weight):
        self.tables.setdefault(table, {})[index] = weight
        self.note(f"table {table}: server {index} {weight:g}")

    def clear_table(self, table):
        self.note(f"clear table {table}")

    def assign_table(self, proxy, table, classes):
        self.note(f"bind proxy {proxy} to table {table} for {list(classes)}")

    def eject_server(self, index):
        self.note(f"withdraw server {index}")

    def uneject_server(self, index):
        self.note(f"let in server {index}")

    def forget_server(self, index):
        self.note(f"forget server {index}")

    def set_admission(self, table, classes, level, tries):
        self.note(f"table {table}: level {level:.2f} of {list(classes)}, tries {tries}")

    def request_ack(self, number, everyone):
        if self.answers is not None:
            self.timers.append((self.clock + self.answers, -number))

    def check_health(self, index):
        self.note(f"probe server {index}")

    def send_to_peer(self, peer, data):
        self.note(f"tell {peer}")

    def watch_endpoints(self, on):
        self.note(f"watch {on}")

    def fetch_endpoints(self):
        self.note("fetch")

    def log(self, text):
        self.note(f"log: {text}")

    def start(self, servers, proxies=2, rate=50.0, zones=1):
        self.assigner.on_endpoint_update(UpdateKind.CACHED, servers)
        for proxy in range(proxies):
            self.assigner.on_proxy_joined(proxy, proxy % zones, rate, True)
        self.run(1 / SECOND)

    def change(self, *servers):
        self.assigner.on_endpoint_update(UpdateKind.CHANGES, list(servers))

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
                self.assigner.on_ack(0, -due[1], self.answers)
            else:
                self.assigner.on_timer(due[1])
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
                self.assigner.on_load_report(
                    LoadReport(
                        0, index, tries, lost, took(index) if lost < tries else 0, SECOND, None
                    )
                )
        for proxy in range(2):
            for place, exchanges in enumerate(demand):
                self.assigner.on_demand_report(DemandReport(proxy, place, exchanges, 0, SECOND))


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

    def request_write(self, proxy):
        self.wanting.append(proxy)

    def check_health(self, server):
        self.note(f"probe {server}")

    def fetch_endpoint_list(self):
        self.note("ask for the list")

    def note(self, text, **facts):
        told = " ".join(f"{name}={value}" for name, value in facts.items())
        self.printed.append(f"{(self.clock - 100 * SECOND) / SECOND:7.2f}  {text} {told}".rstrip())
