"""Cost of single events in one planner of a full-size fleet, in Python calls and CPU time.

    python benchmarks/full_size.py [--proxies 1600] [--servers 200] [--planners 5]

The number of calls is the same in every run; the times depend on the machine. The benchmark runs
the assigner, its host on the platform and the outbox to the relay, without sockets.
"""

import cProfile
import json
import pathlib
import pstats
import sys
import time
from collections.abc import Callable, Iterable
from typing import Any

import click

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from harness import SimulatedLoop  # noqa: E402 - path set above

from indigodeck.assignment.interface import DemandReport  # noqa: E402 - path set above
from indigodeck.clock import SECOND  # noqa: E402 - path set above
from indigodeck.edge.assigner_host import EdgeAssignerHost  # noqa: E402 - path set above
from indigodeck.edge.codec import MessageCodec  # noqa: E402 - path set above
from indigodeck.edge.messages import Ack, OutcomeReport, ProxyJoined  # noqa: E402 - path set above
from indigodeck.edge.outbox import Outbox  # noqa: E402 - path set above
from indigodeck.settings import settings_from_object  # noqa: E402 - path set above

ZONES = ["x", "y", "z"]
SEED = 7
CELL_SIZE = 4
STEPS_PER_SECOND = 4
OUTCOME_REPORTS_PER_STEP = 10
DEMAND_REPORTS_PER_STEP = 5
ACK_DELAY = 1000  # microseconds
# Events and how many times each is run: the mean is reported.
EVENTS = (("start", 1), ("joinings", 1), ("second", 5), ("change", 3), ("second", 5))


def platform_settings(proxies: int, planners: int) -> dict[str, Any]:
    """Return the settings object in the form that the platform sends."""
    read_class = {
        "name": "read",
        "aimMs": 800,
        "deadlineMs": 2000,
        "points": 1,
        "effect": "read_like",
    }
    write_class = dict(
        read_class,
        name="write",
        points=3,
        effect="idempotency_key",
        dedupScope="cell",
        keyTtlMs=2500,
    )
    return {
        "nInstances": planners,
        "zones": ZONES,
        "hostTypes": ["m"],
        "limits": {"probes": True},
        "classes": [read_class, write_class],
        "domain": {
            "proxies": proxies,
            "linesPerS": 20000,
            "mostWaiting": 20000,
            "fixedCost": 3,
            "blackholeMs": 3000,
            "periodMs": 1000,
            "transitMs": 150,
            "pushDelayMaxMs": 430,
            "pushesAllowed": 20,
            "classOwnZone": [False, True],
        },
        "rules": {
            "coldMs": 12000,
            "coldShare": 0.16,
            "drainGraceMs": 3000,
            "tipMultiple": 4,
            "fallMs": 3000,
        },
    }


class StubEnvironment(SimulatedLoop):
    """The environment of an assigner host: simulated time and timers; notifications are ignored."""

    def do_nothing(self, *_given: object, **_facts: object) -> None:
        """Do nothing."""

    notify_orders_pending = do_nothing
    check_health = do_nothing
    send_to_peer = do_nothing
    fetch_endpoints = do_nothing
    log = do_nothing
    log_event = do_nothing
    trace = do_nothing


class Planner:
    """One planner of a fleet with its share of the proxies, and a relay that accepts all orders."""

    def __init__(self, proxies: int, servers: int, planners: int) -> None:
        settings = settings_from_object(platform_settings(proxies, planners))
        self.codec = MessageCodec(settings)
        self.environment = StubEnvironment()
        self.proxies = range(0, proxies, planners)
        self.outbox = Outbox(self.environment.now, self.environment.log)
        self.host = EdgeAssignerHost(self.environment, self.outbox, settings, SEED)
        self.entries: dict[str, dict[str, Any]] = {}
        self.next_server = 0
        self.version = 0
        for _ in range(servers):
            self.add_server()

    def start(self) -> None:
        """Deliver the cached endpoint list."""
        self.send_list(list(self.entries), complete=True)

    def joinings(self) -> None:
        """Let all proxies join at once."""
        for proxy in self.proxies:
            self.host.on_proxy_joined(ProxyJoined(proxy, proxy % 3, 1.5, True))
        self.environment.run(2 / SECOND)
        self.take_orders()

    def second(self) -> None:
        """Deliver 60 reports within a second, run the assigner's timers, and accept its orders."""
        names = sorted(self.entries)
        for _step in range(STEPS_PER_SECOND):
            self.send_outcome_reports(names)
            self.send_demand_reports()
            self.environment.run(1 / STEPS_PER_SECOND)
            self.take_orders()

    def change(self) -> None:
        """Deliver a change of the list: three servers drain and three new ones start."""
        leaving = sorted(self.entries)[:3]
        for name in leaving:
            self.entries[name]["health"] = "DRAINING"
        started_ms = self.environment.now() // 1000
        new = [self.add_server(born_ms=started_ms) for _ in leaving]
        self.send_list(leaving + new, complete=False)
        self.take_orders()

    def add_server(self, **changes: object) -> str:
        """Add a server to the list; return its name."""
        number = self.next_server
        self.next_server += 1
        name = f"s-{number}"
        self.entries[name] = {
            "host": name,
            "dial": "127.0.0.1:9",
            "site": ZONES[number % 3],
            "class": "m",
            "block": number // CELL_SIZE,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": 0,
            **changes,
        }
        return name

    def send_list(self, names: Iterable[str], complete: bool) -> None:
        """Deliver these entries of the list to the host."""
        self.version += 1
        entries = [self.entries[name] for name in names]
        endpoint_list = self.codec.read_endpoint_list(
            {"seq": self.version, "whole": complete, "hosts": entries}
        )
        self.host.on_endpoint_list(endpoint_list, cached=self.version == 1)

    def send_outcome_reports(self, names: list[str]) -> None:
        """Deliver the outcome reports of one step to the host."""
        for number in range(OUTCOME_REPORTS_PER_STEP):
            name = names[(self.environment.now() // 1000 + number * 7) % len(names)]
            latency = 150_000 + number * 900
            self.host.on_outcome_report(
                OutcomeReport(number % 3, name, 12, 0, latency, SECOND, {"in_flight": 3.0})
            )

    def send_demand_reports(self) -> None:
        """Deliver the demand reports of one step to the host."""
        for number in range(DEMAND_REPORTS_PER_STEP):
            position = self.environment.now() // 50_000 + number * 11
            proxy = self.proxies[position % len(self.proxies)]
            self.host.on_demand_report(DemandReport(proxy, number % 2, 2, 0, SECOND))

    def take_orders(self) -> None:
        """Accept all orders as the relay, and acknowledge them as a proxy."""
        while self.outbox.time_until_call() is not None:
            call = json.loads(self.outbox.next_call())
            orders = call["params"]["ops"]
            answer = {"id": call["id"], "result": {"accepted": len(orders)}}
            self.outbox.on_response(json.dumps(answer).encode())
            for order in orders:
                if order["do"] == "fence":
                    self.host.on_ack(Ack(self.proxies[0], order["nonce_out"], ACK_DELAY))


def cpu_seconds(event: Callable[[], None], times: int) -> float:
    """Return the mean CPU time of an event, in seconds."""
    started = time.process_time()
    for _ in range(times):
        event()
    return (time.process_time() - started) / times


def call_count(event: Callable[[], None], times: int) -> int:
    """Return the mean number of function calls of an event."""
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(times):
        event()
    profile.disable()
    total: int = pstats.Stats(profile).total_calls  # type: ignore[attr-defined]  # not in typeshed
    return total // times


@click.command()
@click.option("--proxies", default=1600)
@click.option("--servers", default=200)
@click.option("--planners", default=5)
def main(proxies: int, servers: int, planners: int) -> None:
    """Print one JSON line for each event."""
    timed = Planner(proxies, servers, planners)
    counted = Planner(proxies, servers, planners)
    for name, times in EVENTS:
        seconds = cpu_seconds(getattr(timed, name), times)
        calls = call_count(getattr(counted, name), times)
        result = {
            "what": name,
            "proxies": proxies,
            "servers": servers,
            "planners": planners,
            "calls": calls,
            "seconds": round(seconds, 3),
        }
        click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
