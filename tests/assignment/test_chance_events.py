"""Chance events, drawn by seed, against the decisions alone: no event may raise."""

import dataclasses
import random
import unittest

from harness import RecordingHost, deployment_settings

from assignment.scenarios import fleet_in_zones
from indigodeck.assignment.interface import DemandReport, LoadReport, ServerState
from indigodeck.clock import SECOND

EVENTS_PER_SEED = 30


def drawn_settings(chance, proxies, zones):
    """Return the settings of a deployment drawn by chance."""
    read, write = deployment_settings().classes
    return deployment_settings(
        classes=(read, dataclasses.replace(write, zone_bound=chance.random() < 0.5)),
        zone_count=zones,
        proxy_count=proxies,
        planner_count=chance.choice([1, 2]),
        max_messages=chance.choice([0, 14, 20]),
        lines_per_second=chance.choice([400, 1200, 4000]),
        cold_capacity_share=chance.choice([0.0, 0.16, 0.3]),
        proxy_failure_limit=chance.choice([0, 3]),
        health_checks_allowed=chance.random() < 0.5,
    )


class DrawnDeployment:
    """A deployment drawn by chance, in which zones and fleets fail, and planners restart."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.zones = self.chance.choice([1, 1, 2, 3])
        self.proxies = self.chance.randint(2, 40)
        self.servers = fleet_in_zones(self.chance.randint(3, 24), self.zones)
        self.failing = set()
        settings = drawn_settings(self.chance, self.proxies, self.zones)
        self.host = RecordingHost(settings)
        self.host.clock = 60 * SECOND
        self.start()

    def start(self):
        """Let the planner begin, with the servers that are listed."""
        listed = [server for server in self.servers if server.state != ServerState.GONE]
        rate = self.chance.choice([1.5, 20.0])
        self.host.start(listed, proxies=self.proxies, rate=rate, zones=self.zones)

    def list_again(self, indices, state, started=None):
        """List servers with a state and, if given, a start time."""
        for index in indices:
            known = self.servers[index]
            started_at = known.started if started is None else started
            self.servers[index] = known._replace(state=state, started=started_at)
        self.host.update_servers(*[self.servers[index] for index in indices])

    def fail_servers(self):
        """Let all servers of a zone, or all there are, fail every request."""
        one_zone = self.chance.random() < 0.6
        self.failing = {server.index for server in self.servers if not one_zone or server.zone == 0}

    def return_failing_servers(self):
        """List the failing servers as just started."""
        indices = sorted(self.failing)
        self.failing = set()
        self.list_again(indices, ServerState.READY, self.host.clock)

    def withdraw_servers(self):
        """List up to a third of the servers as draining or gone."""
        count = self.chance.randint(1, max(1, len(self.servers) // 3))
        indices = self.chance.sample(range(len(self.servers)), count)
        self.list_again(indices, self.chance.choice([ServerState.DRAINING, ServerState.GONE]))

    def replace_withdrawn_servers(self):
        """List the servers that are not ready as just started."""
        indices = [server.index for server in self.servers if server.state != ServerState.READY]
        self.list_again(indices, ServerState.READY, self.host.clock)

    def restart_planner(self):
        """Replace the planner by a new process."""
        self.host.replace_assigner()
        self.start()

    def reconnect_proxies(self):
        """Let half of the proxies leave and join again."""
        for proxy in self.chance.sample(range(self.proxies), self.proxies // 2):
            self.host.assigner.on_proxy_left(proxy)
            self.host.assigner.on_proxy_joined(proxy, proxy % self.zones, 2.0, False)

    def report(self, host):
        """Report the load of one second; failing servers complete nothing."""
        for listed in self.servers:
            attempts = self.chance.choice([5, 20, 60])
            fails = listed.index in self.failing or self.chance.random() < 0.2
            latency = 0 if fails else self.chance.randint(SECOND // 20, SECOND)
            host.assigner.on_load_report(
                LoadReport(listed.zone, listed.index, attempts, attempts * fails, latency, SECOND)
            )
        for proxy in range(self.proxies):
            for class_index in range(2):
                requests = self.chance.randrange(40)
                host.assigner.on_demand_report(
                    DemandReport(proxy, class_index, requests, 0, SECOND)
                )

    def play_event(self):
        """Play one event, and then some time with reports."""
        event = self.chance.choice(
            [
                self.fail_servers,
                self.return_failing_servers,
                self.withdraw_servers,
                self.replace_withdrawn_servers,
                self.restart_planner,
                self.reconnect_proxies,
            ]
        )
        event()
        self.host.run(self.chance.choice([0.3, 1, 3]), self.report)


class ChanceEventsTest(unittest.TestCase):
    """Zones lost and returned, restarts, drains and joins, in deployments of many shapes."""

    def test_no_event_raises(self):
        """Guards against events that end halfway, after which no order is sent (review/1 and 7)."""
        for seed in range(12):
            with self.subTest(seed=seed):
                deployment = DrawnDeployment(seed)
                for _ in range(EVENTS_PER_SEED):
                    deployment.play_event()
                # All servers are ready again, so the updates must reach the proxies' tables.
                deployment.failing = set()
                deployment.list_again(range(len(deployment.servers)), ServerState.READY)
                deployment.host.run(60, deployment.report)
                for table in deployment.host.assigner.state.tables:
                    self.assertTrue(table.published_weights)
