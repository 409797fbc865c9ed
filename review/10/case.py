"""Case 10: when a list calls many servers gone at once, the ejections overfill the channel."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from platform_2 import fleet, play, world

PROXIES = 150  # the pages: 150 and 30 servers, and all may come to one planner
SERVERS = 30
HIDDEN = 26  # the pages: up to 88%
LINES_PER_S = 1200.0  # the site: 1200 to 1700
CALM = 8
WRONG = 10  # the pages: 9.2 to 20 s
WATCHED = 6


def make_world():
    """Return the world of a planner that has all proxies."""
    settings = world.default_settings(
        proxies=PROXIES, linesPerS=LINES_PER_S, mostWaiting=LINES_PER_S
    )
    servers = fleet.make_servers(SERVERS, 2)
    proxies = fleet.make_proxies(PROXIES, 2, servers, [1.0, 0.5])
    return world.World(settings, servers, proxies)


async def course(platform):
    """Let discovery call most servers gone, though they serve, and then be right again."""
    platform.start_planner()
    await platform.planner_ready()
    platform.start_traffic()
    for proxy in platform.proxies:
        platform.join(proxy)
    await asyncio.sleep(CALM)
    hidden = list(platform.servers.values())[:HIDDEN] if play.trouble() else []
    platform.hide(hidden)
    await asyncio.sleep(WRONG)
    platform.unhide(hidden)
    await asyncio.sleep(WATCHED)


if __name__ == "__main__":
    play.run(__file__, ["queue"], make_world, course)
