"""Case 10: a call whose answer is lost is repeated, and its lines wait in the channel twice."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from platform_2 import fleet, play, world

PROXIES = 150
SERVERS = 30
ANSWERS_LOST = 1.0  # seconds; the pages: answers get lost for 6 s
WATCHED = 8


def make_world():
    """Return the world of a planner that has all proxies."""
    settings = world.default_settings(proxies=PROXIES)
    servers = fleet.make_servers(SERVERS, 2)
    proxies = fleet.make_proxies(PROXIES, 2, servers, [1.0, 0.5])
    return world.World(settings, servers, proxies)


async def course(platform):
    """Join all proxies; with trouble, the relay's first answers never come."""
    platform.start_planner()
    await platform.planner_ready()
    platform.start_traffic()
    if play.trouble():
        lost_until = platform.now() + ANSWERS_LOST
        platform.call_fault = lambda: "lost" if platform.now() < lost_until else None
    for proxy in platform.proxies:
        platform.join(proxy)
    await asyncio.sleep(WATCHED)


if __name__ == "__main__":
    play.run(__file__, ["queue"], make_world, course)
