"""Case 7: after a zone's loss with its planner, the planner applies no change of the list."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from platform_2 import fleet, play, world

PLANNERS = 2
PROXIES = 150  # of both planners; this one has those of its zone
SERVERS = 30
CALM = 8
PLANNER_AWAY = 1
ZONE_AWAY = 10  # the pages: 10 to 23 s
LISTED_AFTER = 0.5  # the pages: a start is listed after 0.21 to 2.4 s
DRAIN_AFTER = 1.5  # after the zone's return is listed
DRAINED = 3  # a tenth of the fleet
WATCHED = 15


def make_world():
    """Return the world of a planner of the zone `upper`, one of two."""
    settings = world.default_settings(proxies=PROXIES)
    settings["nInstances"] = PLANNERS
    servers = fleet.make_servers(SERVERS, 2)
    proxies = fleet.make_proxies(PROXIES, 2, servers, [1.0, 0.5])
    return world.World(settings, servers, [proxy for proxy in proxies if proxy.zone == 0])


async def course(platform):
    """Lose the zone with its planner, bring both back, then drain three of the zone's servers."""
    platform.start_planner()
    await platform.planner_ready()
    platform.start_traffic()
    for proxy in platform.proxies:
        platform.join(proxy)
    await asyncio.sleep(CALM)
    zone = [server for server in platform.servers.values() if server.zone == 0]
    if play.trouble():
        platform.note("zone upper is lost, with its planner")
        for server in zone:
            server.alive = False
        platform.kill_planner()
        await asyncio.sleep(PLANNER_AWAY)
        await platform.restart_planner()
        await asyncio.sleep(ZONE_AWAY - PLANNER_AWAY)
        platform.note("zone upper is back, cold")
        for server in zone:
            server.alive = True
            server.born_ms = fleet.just_now_ms()
        await asyncio.sleep(LISTED_AFTER)
        for server in zone:
            platform.change(platform.entry(server))
    await asyncio.sleep(DRAIN_AFTER)
    for server in zone[:DRAINED]:
        platform.drain(server)
    await asyncio.sleep(WATCHED)


if __name__ == "__main__":
    play.run(__file__, ["drain"], make_world, course)
