"""Fleets and deployments that several tests of the assigner use."""

import dataclasses

from harness import RecordingHost, deployment_settings, server

from indigodeck.assignment.interface import UpdateKind
from indigodeck.clock import SECOND


def fleet(count=12, **fields):
    """Return `count` ready servers with indices from 0."""
    return [server(index, **fields) for index in range(count)]


def fleet_in_zones(count, zones):
    """Return `count` ready servers with indices from 0, spread over zones in turn."""
    return [server(index, zone=index % zones) for index in range(count)]


def zone_bound_host():
    """Return a host with two zones whose second class is zone-bound.

    The servers with odd indices and proxy 1 are in zone 1.
    """
    read, write = deployment_settings().classes
    host = RecordingHost(
        deployment_settings(
            zone_count=2, classes=(read, dataclasses.replace(write, zone_bound=True))
        )
    )
    host.start(fleet_in_zones(12, 2), zones=2)
    return host


def large_deployment(joined=270, **settings):
    """Return a host with many proxies and servers in three zones, and tables for proxy groups."""
    host = RecordingHost(
        deployment_settings(
            zone_count=3,
            proxy_count=270,
            lines_per_second=4500,
            max_waiting_lines=6800,
            **settings,
        )
    )
    host.assigner.on_endpoint_update(UpdateKind.INCREMENTAL, fleet_in_zones(90, 3))
    for proxy in range(joined):
        host.assigner.on_proxy_joined(proxy, proxy % 3, 4.0, True)
    host.run(1 / SECOND)
    return host
