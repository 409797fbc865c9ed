"""What one planner of a fleet spends on single happenings at full size, counted in Python calls and processor time.

    python benchmarks/full_size.py [--proxies 1600] [--servers 200] [--planners 5]

Calls are the same every time; times are this machine's. No sockets: the desk, the relay's account and the assigner.
"""

import cProfile
import json
import pathlib
import pstats
import sys
import time

import click

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from rig import SECOND, Loop  # noqa: E402

from indigodeck.edge.assigner_host import Desk  # noqa: E402
from indigodeck.edge.codec import MessageCodec  # noqa: E402
from indigodeck.edge.outbox import Outbox  # noqa: E402
from indigodeck.settings import settings_from_object  # noqa: E402

ZONES = ["x", "y", "z"]


def settings(proxies, planners):
    kind = {"name": "read", "aimMs": 800, "deadlineMs": 2000, "points": 1, "effect": "read_like"}
    dear = dict(
        kind, name="write", points=3, effect="idempotency_key", dedupScope="cell", keyTtlMs=2500
    )
    return {
        "nInstances": planners,
        "zones": ZONES,
        "hostTypes": ["m"],
        "limits": {"probes": True},
        "classes": [kind, dear],
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


class Environment(Loop):
    """A desk's outside: time and timers, and nobody to tell."""

    def ignore(self, *given):
        pass

    wanted = probe = tell = fetch = note = trace = ignore


class Planner:
    def __init__(self, proxies, servers, planners):
        stated = settings_from_object(settings(proxies, planners))
        self.words, self.outside, self.own = (
            MessageCodec(stated),
            Environment(),
            range(0, proxies, planners),
        )
        self.relay = Outbox(self.outside.now, self.outside.note)
        self.desk = Desk(self.outside, self.words, self.relay, stated, 7)
        self.servers, self.next, self.version = {}, 0, 0
        for _ in range(servers):
            self.add()

    def add(self, **changes):
        number, self.next = self.next, self.next + 1
        self.servers[f"s-{number}"] = dict(
            {
                "host": f"s-{number}",
                "dial": "127.0.0.1:9",
                "site": ZONES[number % 3],
                "class": "m",
                "block": number // 4,
                "health": "SERVING",
                "share": 1.0,
                "born_ms": 0,
            },
            **changes,
        )
        return f"s-{number}"

    def list(self, names, whole):
        self.version += 1
        entries = [self.servers[name] for name in names]
        self.desk.listed(
            self.words.catalog({"seq": self.version, "whole": whole, "hosts": entries}),
            cached=self.version == 1,
        )

    def send(self):
        while self.relay.wait() is not None:
            call = json.loads(self.relay.call())
            self.relay.answered(
                json.dumps(
                    {"id": call["id"], "result": {"accepted": len(call["params"]["ops"])}}
                ).encode()
            )
            for mark in [
                order["nonce_out"] for order in call["params"]["ops"] if order["do"] == "fence"
            ]:
                self.desk.applied(self.own[0], mark, 1000)

    def start(self):
        self.list(list(self.servers), True)

    def joinings(self):
        for proxy in self.own:
            self.desk.proxy_joined(proxy, proxy % 3, 1.5, True)
        self.outside.run(2 / SECOND)
        self.send()

    def second(self):
        """60 lines of reports, the assigner's own turns, and what they order."""
        names = sorted(self.servers)
        for turn in range(4):
            for number in range(10):
                name = names[(self.outside.now() // 1000 + number * 7) % len(names)]
                self.desk.heard(
                    number % 3, name, 12, 0, 150_000 + number * 900, SECOND, {"in_hand": 3.0}
                )
            for number in range(5):
                proxy = self.own[(self.outside.now() // 50_000 + number * 11) % len(self.own)]
                self.desk.demand(proxy, number % 2, 2, 0, SECOND)
            self.outside.run(0.25)
            self.send()

    def change(self):
        gone = sorted(self.servers)[:3]
        for name in gone:
            self.servers[name]["health"] = "DRAINING"
        new = [self.add(born_ms=self.outside.now() // 1000) for _ in gone]
        self.list(gone + new, False)
        self.send()


def measured(call):
    begun = time.process_time()
    call()
    return time.process_time() - begun


@click.command()
@click.option("--proxies", default=1600)
@click.option("--servers", default=200)
@click.option("--planners", default=5)
def main(proxies, servers, planners):
    timed, counted = Planner(proxies, servers, planners), Planner(proxies, servers, planners)
    for name, turns in (("start", 1), ("joinings", 1), ("second", 5), ("change", 3), ("second", 5)):
        took = sum(measured(getattr(timed, name)) for _ in range(turns)) / turns
        profile = cProfile.Profile()
        profile.enable()
        for _ in range(turns):
            getattr(counted, name)()
        profile.disable()
        calls = pstats.Stats(profile).total_calls // turns
        click.echo(
            json.dumps(
                {
                    "what": name,
                    "proxies": proxies,
                    "servers": servers,
                    "planners": planners,
                    "calls": calls,
                    "seconds": round(took, 3),
                }
            )
        )


if __name__ == "__main__":
    main()
