"""Case 6: a slice gets a new owner while a cut-off proxy still writes to the former one."""

import asyncio
import pathlib
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from platform_2 import play, slices, world

SERVERS = 6
PROXIES = 6
SLICES = 8
WRITE_GAP = 0.05
CALM = 3
CUT_BEFORE = 0.3  # the stream breaks so long before the server is listed as draining
NOTICED_AFTER = 0.6  # the pages: a broken stream is noticed after 540 to 1800 ms
DIALS_AFTER = 1.5  # the pages: dials again within 1.1 to 2.4 s of noticing
WATCHED = 6


def make_world():
    """Return the world of one instance that has all slices, each with a single owner."""
    settings = world.default_settings(
        classOwnZone=[False], exclusive=True, keyRanges=SLICES, proxies=PROXIES, writers=[True]
    )
    settings["classes"] = [{**settings["classes"][1], "dedupScope": "all"}]
    settings["zones"] = ["upper"]
    servers = [
        bytes([127, 0, 0, number]) + struct.pack("<H", 7000) for number in range(1, SERVERS + 1)
    ]
    return slices.SliceWorld(settings, servers, SLICES, PROXIES, WRITE_GAP)


async def course(platform):
    """Drain the owner of two slices; with trouble, one proxy's stream breaks just before."""
    for proxy in platform.proxies:
        platform.attach(proxy, fresh=True)
    platform.tasks.append(asyncio.create_task(platform.run_writes()))
    await asyncio.sleep(CALM)
    if play.trouble():
        cut = platform.cut(platform.proxies[-1], NOTICED_AFTER, DIALS_AFTER)
        platform.tasks.append(asyncio.create_task(cut))
    await asyncio.sleep(CUT_BEFORE)
    platform.drain(platform.servers[0])
    await asyncio.sleep(WATCHED)


if __name__ == "__main__":
    play.run(__file__, ["owner"], make_world, course)
