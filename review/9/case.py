"""Case 9: proxies that join during a replacement of servers wait too long for their tables."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from platform_2 import fleet, play, world

PROXIES = 150  # all come to this planner, as the pages say
SERVERS = 30
LINES_PER_S = 1200.0  # the site: 1200 to 1700
CALM = 8
REPLACED = 18  # six in ten, as the pages say
SPAN = 6.7  # the pages: within 7 s
DRAINING = 1.5  # a server finishes its work before it ends
WATCHED = 8


def make_world():
    """Return the world of a planner that has all proxies."""
    settings = world.default_settings(
        proxies=PROXIES, linesPerS=LINES_PER_S, mostWaiting=LINES_PER_S
    )
    servers = fleet.make_servers(SERVERS, 2)
    proxies = fleet.make_proxies(PROXIES, 2, servers, [1.0, 0.5])
    return world.World(settings, servers, proxies)


async def replace(platform, server):
    """Drain a server, end it, and list its successor under a new id."""
    platform.drain(server)
    await asyncio.sleep(DRAINING)
    platform.remove(server)
    platform.add(world.Server(f"{server.name}-2", server.zone, fleet.just_now_ms()))


async def course(platform):
    """Replace six in ten servers; with trouble, the planner is killed as that begins."""
    platform.start_planner()
    await platform.planner_ready()
    platform.start_traffic()
    for proxy in platform.proxies:
        platform.join(proxy)
    await asyncio.sleep(CALM)
    if play.trouble():
        platform.note("the planner is killed and started again")
        platform.kill_planner()
        platform.tasks.append(asyncio.create_task(platform.restart_planner()))
    for server in list(platform.servers.values())[:REPLACED]:
        platform.tasks.append(asyncio.create_task(replace(platform, server)))
        await asyncio.sleep(SPAN / REPLACED)
    await asyncio.sleep(WATCHED)


if __name__ == "__main__":
    play.run(__file__, ["drain", "no server left"], make_world, course)
