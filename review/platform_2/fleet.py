"""Makes servers and proxies of a small deployment."""

import random
import time

from .world import Proxy, Server


def make_servers(count, zones, born_ms=0):
    """Return servers, dealt to the zones in turn."""
    return [Server(f"s-{index:04x}", index % zones, born_ms) for index in range(count)]


def make_proxies(count, zones, servers, rates, standing=5, seed=7):
    """Return proxies, dealt to the zones in turn, each with a standing table of its zone."""
    chance = random.Random(seed)
    proxies = []
    for number in range(count):
        zone = number % zones
        local = [server.name for server in servers if server.zone == zone]
        chosen = chance.sample(local, min(standing, len(local)))
        tables = [{name: 1.0 for name in chosen} for _ in rates]
        proxies.append(Proxy(number, zone, list(rates), tables))
    return proxies


def just_now_ms():
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)
