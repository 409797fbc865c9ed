"""Simulated hosts that record what they are asked to do, and the comparison with kept traces."""

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
    late_weight_factor=0.1,
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
    """Return settings of two classes and one zone, with changes; the channel's fields count too."""
    of_channel = {field.name for field in dataclasses.fields(ChannelSettings)}
    channel = {name: changes.pop(name) for name in of_channel & changes.keys()}
    return dataclasses.replace(SETTINGS, channel=dataclasses.replace(CHANNEL, **channel), **changes)


def server(index, state=ServerState.READY, started=0, zone=0, kind=0, weight=1.0):
    """Return an entry of the endpoint list; four servers share a cell."""
    return Server(
        index, bytes([index * 37 % 251, index]), index // 4, kind, zone, weight, started, state
    )


class RecordingHost:
    """An `AssignerHost` with simulated time that records the orders of one assigner.

    Every order is a line of `recorded`, with the time before it; `tables` holds the weights by
    table and server.
    """

    def __init__(self, settings=None, seed=7):
        self.clock = 0
        self.timers = []
        self.recorded = []
        self.tables = {}
        self.ack_delay = SECOND // 5  # from a request to its acknowledgement; None: there is none
        self.assigner = Assigner(self, settings or deployment_settings(), seed)

    def record(self, text):
        """Record a line."""
        self.recorded.append(f"{self.clock / SECOND:7.2f}  {text}")

    def now(self):
        """Return the simulated time."""
        return self.clock

    def start_timer(self, delay, token):
        """Keep a timer."""
        self.timers.append((self.clock + delay, token))

    def set_weight(self, table, server_index, weight):
        """Record one line of a table."""
        self.tables.setdefault(table, {})[server_index] = weight
        self.record(f"table {table}: server {server_index} {weight:g}")

    def clear_table(self, table):
        """Record that a table is cleared."""
        self.record(f"clear table {table}")

    def assign_table(self, proxy, table, classes):
        """Record that a proxy is put on a table."""
        self.record(f"assign proxy {proxy} to table {table} for {list(classes)}")

    def eject_server(self, server_index):
        """Record an ejection."""
        self.record(f"eject server {server_index}")

    def uneject_server(self, server_index):
        """Record the end of an ejection."""
        self.record(f"uneject server {server_index}")

    def forget_server(self, server_index):
        """Record that a server is forgotten."""
        self.record(f"forget server {server_index}")

    def set_admission(self, table, classes, level, retry_policy):
        """Record an admission level."""
        self.record(f"table {table}: level {level:.2f} of {list(classes)}, retry {retry_policy}")

    def request_ack(self, number, all_proxies):
        """Keep the time at which the acknowledgement comes."""
        if self.ack_delay is not None:
            self.timers.append((self.clock + self.ack_delay, -number))

    def check_health(self, server_index):
        """Record a health check."""
        self.record(f"check server {server_index}")

    def send_to_peer(self, peer, data):
        """Record a message to another planner."""
        self.record(f"send to peer {peer}")

    def watch_endpoints(self, enabled):
        """Record a subscription to the endpoint list."""
        self.record(f"watch {enabled}")

    def fetch_endpoints(self):
        """Record a request for the endpoint list."""
        self.record("fetch")

    def log(self, text):
        """Record a line of the assigner's log."""
        self.record(f"log: {text}")

    def start(self, servers, proxies=2, rate=50.0, zones=1):
        """Tell the assigner of the first endpoint list, and let proxies join."""
        self.assigner.on_endpoint_update(UpdateKind.CACHED, servers)
        for proxy in range(proxies):
            self.assigner.on_proxy_joined(proxy, proxy % zones, rate, True)
        self.run(1 / SECOND)

    def update_servers(self, *servers):
        """Tell the assigner of changes to the endpoint list."""
        self.assigner.on_endpoint_update(UpdateKind.INCREMENTAL, list(servers))

    def run(self, seconds, reports=None):
        """Let time pass; `reports`, if any, is called once a second, before the timers."""
        end = self.clock + round(seconds * SECOND)
        while self.timers and min(self.timers)[0] <= end:
            due, token = min(self.timers)
            self.timers.remove((due, token))
            before = self.clock
            self.clock = max(self.clock, due)
            if reports and before // SECOND != self.clock // SECOND:
                reports(self)
            if token < 0:
                self.assigner.on_ack(0, -token, self.ack_delay)
            else:
                self.assigner.on_timer(token)
        self.clock = end

    def report(
        self,
        took=lambda index: 200_000,
        failed=lambda index: 0,
        tries=20,
        demand=(30, 20),
        servers=12,
    ):
        """Report a second of load at each server in a table, and of demand at two proxies."""
        for index in range(servers):
            if any(weights.get(index) for weights in self.tables.values()):
                failures = min(tries, failed(index))
                latency = took(index) if failures < tries else 0
                self.assigner.on_load_report(LoadReport(0, index, tries, failures, latency, SECOND))
        for proxy in range(2):
            for class_index, requests in enumerate(demand):
                self.assigner.on_demand_report(
                    DemandReport(proxy, class_index, requests, 0, SECOND)
                )


class TraceTestCase(unittest.TestCase):
    """A test that compares what was recorded with a trace that people have read."""

    def assert_matches_trace(self, name, recorder):
        """Compare `recorder.recorded` with the trace of that name in tests/traces."""
        path = TRACES / f"{name}.txt"
        recorded = "\n".join(recorder.recorded) + "\n"
        if os.environ.get("INDIGODECK_WRITE_TRACES"):
            path.write_text(recorded)
        kept = path.read_text() if path.exists() else ""
        difference = difflib.unified_diff(
            kept.splitlines(), recorded.splitlines(), "kept", "now", lineterm=""
        )
        differing = "\n".join(difference)
        self.assertFalse(differing, f"\n{differing}")


class SimulatedLoop:
    """Simulated time and timers for planners without sockets; records what they report."""

    def __init__(self):
        self.clock = 100 * SECOND
        self.timers = []
        self.recorded = []
        self.write_requests = []  # proxies for which something waits, in the order they were named
        self.timer_count = 0  # keeps timers of one moment in order

    def now(self):
        """Return the simulated time."""
        return self.clock

    def call_later(self, delay, callback):
        """Keep a call for later."""
        self.timer_count += 1
        self.timers.append((self.clock + delay, self.timer_count, callback))

    def run(self, seconds):
        """Let time pass."""
        end = self.clock + round(seconds * SECOND)
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            due, _, call = timer
            self.clock = max(self.clock, due)
            call()
        self.clock = end

    def request_write(self, proxy):
        """Record that something waits for a proxy."""
        self.write_requests.append(proxy)

    def check_health(self, server_index):
        """Record a health check."""
        self.log_event(f"probe {server_index}")

    def fetch_endpoint_list(self):
        """Record a request for the endpoint list."""
        self.log_event("ask for the list")

    def log_event(self, text, **facts):
        """Record a line."""
        stated = " ".join(f"{name}={value}" for name, value in facts.items())
        elapsed = (self.clock - 100 * SECOND) / SECOND
        self.recorded.append(f"{elapsed:7.2f}  {text} {stated}".rstrip())
