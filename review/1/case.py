"""One zone: a server fails most of its exchanges; four seconds later another one is drained."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import World, main, make_settings  # noqa: E402

WARM_UP_S = 8.0
FAILING_SHARE = 0.85  # the page: up to 17% of the servers fail 33 to 88% for 12 to 27 s
FAILING_S = 20.0
DRAIN_AFTER_S = 4.0
WATCHED_S = 16.0


async def script(world: World) -> None:
    """Play the case."""
    await world.wait_until_bound()
    await asyncio.sleep(WARM_UP_S)
    failing = world.servers["s-03"]
    if world.trouble:
        failing.failing_share = FAILING_SHARE
        world.record.write("fails_fast", server=failing.name, share=FAILING_SHARE)
    await asyncio.sleep(DRAIN_AFTER_S)
    world.drain("s-07")
    await asyncio.sleep(WATCHED_S)
    failing.failing_share = 0.0
    await asyncio.sleep(2)


if __name__ == "__main__":
    main(World(FOLDER, make_settings(["hall-a"], 12), server_count=12, proxy_rate=6.0), script)
