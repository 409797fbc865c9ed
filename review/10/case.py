"""Case 10: after a gap of all news, proxies that return are left with the tables they hold."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from platform_2 import fleet, play, world

PLANNERS = 2
PROXIES = 150  # of both planners; this one has those of its zone
SERVERS = 30
LINES_PER_S = 1200.0  # the site: 1200 to 1700
CALM = 8
DRAINED = 4  # of 30 servers
DRAIN_AFTER = 1.5  # after the streams have broken
DRAIN_GAP = 0.3
BACK_AFTER = 5  # the site: proxies go back to the planner of their zone after 3 to 12 s
WATCHED = 12


def make_world():
    """Return the world of a planner of the zone `upper`, one of two."""
    settings = world.default_settings(
        proxies=PROXIES, linesPerS=LINES_PER_S, mostWaiting=LINES_PER_S
    )
    settings["nInstances"] = PLANNERS
    servers = fleet.make_servers(SERVERS, 2)
    proxies = fleet.make_proxies(PROXIES, 2, servers, [1.0, 0.5])
    return world.World(settings, servers, [proxy for proxy in proxies if proxy.zone == 0])


async def course(platform):
    """Cut the planner off from its proxies for a while; meanwhile some servers drain."""
    platform.start_planner()
    await platform.planner_ready()
    platform.start_traffic()
    for proxy in platform.proxies:
        platform.join(proxy)
    await asyncio.sleep(CALM)
    if play.trouble():
        platform.note("the relay resets the planner's connections, and all streams break")
        platform.cut_off()
    await asyncio.sleep(DRAIN_AFTER)
    zone = [server for server in platform.servers.values() if server.zone == 0]
    for server in zone[:DRAINED]:
        platform.drain(server)
        await asyncio.sleep(DRAIN_GAP)
    await asyncio.sleep(BACK_AFTER - DRAIN_AFTER - DRAINED * DRAIN_GAP)
    if play.trouble():
        platform.note("the proxies dial the planner again")
        platform.dial_all()
    await asyncio.sleep(WATCHED)


if __name__ == "__main__":
    play.run(__file__, ["drain"], make_world, course)
