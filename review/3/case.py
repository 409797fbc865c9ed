"""Six in ten servers are replaced within 7 s; each drain must still be kept."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import World, main, make_settings  # noqa: E402

SERVERS = 40
PROXIES = 24
WARM_UP_S = 11.0  # longer than the span of the message limit
# The page: six in ten servers are replaced within 7 s.
REPLACED = 24
REPLACED_WITHIN_S = 7.0
# Without the disruption: an ordinary deploy in the same time, a server every 2.3 s.
ORDINARY = 3
DRAINING_S = 6.0  # the page: drain time, 2 to 6 s
WATCHED_S = 10.0


def start_draining(world: World, number: int) -> None:
    """Drain a server; it ends and is dropped from the list some seconds later."""
    name = f"s-{number:02d}"
    world.drain(name)
    asyncio.get_running_loop().call_later(DRAINING_S, world.delete, name)


async def add_successor(world: World, number: int) -> None:
    """Start a server under a new id, and list it."""
    server = world.add_server(f"s-{number + 100}", world.servers[f"s-{number:02d}"].zone)
    server.born_ms = time.time() * 1000
    await server.start()
    world.discovery.put(server)


async def script(world: World) -> None:
    """Play the case."""
    await world.wait_until_bound()
    await asyncio.sleep(WARM_UP_S)
    count = REPLACED if world.trouble else ORDINARY
    start = time.monotonic()
    for number in range(count):
        start_draining(world, number)
        await add_successor(world, number)
        due = start + (number + 1) * REPLACED_WITHIN_S / count
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.sleep(WATCHED_S)
    most = max(world.most_messages(proxy) for proxy in world.proxies)
    world.record.write("most_messages_to_a_proxy_in_10_s", count=most)


if __name__ == "__main__":
    settings = make_settings(
        ["east-wing", "west-wing", "annex"],
        PROXIES,
        choice="pair",
        classOwnZone=[False, True],
        linesPerS=1450.0,
        mostWaiting=1450.0,
        pushesAllowed=20,
    )
    settings["rules"]["drainGraceMs"] = 3000.0
    main(World(FOLDER, settings, server_count=SERVERS, proxy_rate=4.0), script)
