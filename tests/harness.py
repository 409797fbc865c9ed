"""Simulated environments that record the calls made to them, and comparison with saved traces."""

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
    """Return settings of two classes and one zone; fields of the channel can be changed too."""
    channel_fields = {field.name for field in dataclasses.fields(ChannelSettings)}
    channel = {name: changes.pop(name) for name in channel_fields & changes.keys()}
    return dataclasses.replace(SETTINGS, channel=dataclasses.replace(CHANNEL, **channel), **changes)


def server(index, state=ServerState.READY, started=0, zone=0, kind=0, weight=1.0):
    """Return a server of the endpoint list; every four servers share a cell."""
    return Server(
        index, bytes([index * 37 % 251, index]), index // 4, kind, zone, weight, started, state
    )


class RecordingHost:
    """An `AssignerHost` with simulated time that records the calls of one assigner.

    `recorded` has one line per call, which starts with the time. `tables` holds weights by table
    and server.
    """

    def __init__(self, settings=None, seed=7):
        self.clock = 0
        self.timers = []
        self.recorded = []
        self.tables = {}
        self.ack_delay = SECOND // 5  # from request to acknowledgement; None: no acknowledgement
        self.seed = seed
        self.assigner = Assigner(self, settings or deployment_settings(), seed)

    def replace_assigner(self):
        """Replace the assigner by that of a new process, which knows nothing and has no timers."""
        self.timers.clear()
        self.assigner = Assigner(self, self.assigner.settings, self.seed)

    def record(self, text):
        """Record a line with the current time."""
        self.recorded.append(f"{self.clock / SECOND:7.2f}  {text}")

    def now(self):
        """Return the simulated time."""
        return self.clock

    def start_timer(self, delay, token):
        """Start a timer."""
        self.timers.append((self.clock + delay, token))

    def set_weight(self, table, server_index, weight):
        """Record one entry of a table."""
        self.tables.setdefault(table, {})[server_index] = weight
        self.record(f"table {table}: server {server_index} {weight:g}")

    def clear_table(self, table):
        """Record the clearing of a table."""
        self.record(f"clear table {table}")

    def assign_table(self, proxy, table, classes):
        """Record the assignment of a proxy to a table."""
        self.record(f"assign proxy {proxy} to table {table} for {list(classes)}")

    def eject_server(self, server_index):
        """Record an ejection."""
        self.record(f"eject server {server_index}")

    def uneject_server(self, server_index):
        """Record the end of an ejection."""
        self.record(f"uneject server {server_index}")

    def forget_server(self, server_index):
        """Record the removal of a server."""
        self.record(f"forget server {server_index}")

    def set_admission(self, table, classes, level, retry_policy):
        """Record an admission level."""
        self.record(f"table {table}: level {level:.2f} of {list(classes)}, retry {retry_policy}")

    def request_ack(self, number, all_proxies):
        """Schedule the acknowledgement."""
        if self.ack_delay is not None:
            self.timers.append((self.clock + self.ack_delay, -number))

    def check_health(self, server_index):
        """Record a health check."""
        self.record(f"check server {server_index}")

    def send_to_peer(self, peer, data):
        """Record a message to another planner."""
        self.record(f"send to peer {peer}")

    def watch_endpoints(self, enabled):
        """Record the start or end of a subscription to the endpoint list."""
        self.record(f"watch {enabled}")

    def fetch_endpoints(self):
        """Record a request for the endpoint list."""
        self.record("fetch")

    def log(self, text):
        """Record a line of the assigner's log."""
        self.record(f"log: {text}")

    def start(self, servers, proxies=2, rate=50.0, zones=1):
        """Pass the first endpoint list to the assigner and let proxies join."""
        self.assigner.on_endpoint_update(UpdateKind.CACHED, servers)
        for proxy in range(proxies):
            self.assigner.on_proxy_joined(proxy, proxy % zones, rate, True)
        self.run(1 / SECOND)

    def update_servers(self, *servers):
        """Pass changes of the endpoint list to the assigner."""
        self.assigner.on_endpoint_update(UpdateKind.INCREMENTAL, list(servers))

    def run(self, seconds, reports=None):
        """Advance the time; `reports`, if given, is called once per second, before timers."""
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

    def times_of(self, call):
        """Return when a recorded call was first made for each server or proxy, by its number."""
        times = {}
        for line in self.recorded:
            at, _, text = line.strip().partition("  ")
            if text.startswith(f"{call} "):
                number = text.removeprefix(f"{call} ").split()[0]
                times.setdefault(int(number), round(float(at) * SECOND))
        return times

    def report(
        self,
        took=lambda index: 200_000,
        failed=lambda index: 0,
        tries=20,
        demand=(30, 20),
        servers=12,
    ):
        """Report one second of load of each server in a table, and of demand at two proxies."""
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
    """A test that compares recorded lines with a saved and reviewed trace."""

    def assert_matches_trace(self, name, recorder):
        """Assert that `recorder.recorded` equals the trace of this name in tests/traces.

        With INDIGODECK_WRITE_TRACES in the environment, the trace is overwritten first.
        """
        path = TRACES / f"{name}.txt"
        recorded = "\n".join(recorder.recorded) + "\n"
        if os.environ.get("INDIGODECK_WRITE_TRACES"):
            path.write_text(recorded)
        saved = path.read_text() if path.exists() else ""
        difference = difflib.unified_diff(
            saved.splitlines(), recorded.splitlines(), "saved", "recorded", lineterm=""
        )
        diff_text = "\n".join(difference)
        self.assertFalse(diff_text, f"\n{diff_text}")


class SimulatedLoop:
    """Simulated time and timers for planners without sockets; records calls and log events."""

    def __init__(self):
        self.clock = 100 * SECOND
        self.timers = []
        self.recorded = []
        self.write_requests = []  # proxies in the order in which writes were requested
        self.timer_count = 0  # orders timers that are due at the same time

    def now(self):
        """Return the simulated time."""
        return self.clock

    def call_later(self, delay, callback):
        """Schedule a call."""
        self.timer_count += 1
        self.timers.append((self.clock + delay, self.timer_count, callback))

    def run(self, seconds):
        """Advance the time."""
        end = self.clock + round(seconds * SECOND)
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            due, _, call = timer
            self.clock = max(self.clock, due)
            call()
        self.clock = end

    def request_write(self, proxy):
        """Record that data waits to be written to a proxy."""
        self.write_requests.append(proxy)

    def check_health(self, server_index):
        """Record a health check."""
        self.log_event(f"check server {server_index}")

    def fetch_endpoint_list(self):
        """Record a request for the endpoint list."""
        self.log_event("fetch endpoint list")

    def log_event(self, text, **fields):
        """Record a log event as a line with the current time."""
        printed_fields = " ".join(f"{name}={value}" for name, value in fields.items())
        elapsed = (self.clock - 100 * SECOND) / SECOND
        self.recorded.append(f"{elapsed:7.2f}  {text} {printed_fields}".rstrip())
