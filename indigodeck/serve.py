"""Puts a planner together: the charter's service with its fronts, until it is told to end."""
import asyncio
import signal

from .choice import Assigner
from .fronts.sasp.server import SaspFront
from .planner.service import Service


def assemble(charter, make=Assigner):
    """A service that runs on the current loop, with its fronts open."""
    service = Service(charter, make)
    stated = charter.fronts["sasp"]
    service.open(SaspFront(service, charter), "sasp", stated.get("port", 3860), stated.get("address", "127.0.0.1"))
    service.start()
    return service


async def serve(charter, make=Assigner):
    """Runs until SIGTERM or SIGINT; relays keep their tables."""
    ended, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    service = assemble(charter, make)
    try:
        await ended.wait()
    finally:
        service.note("ending", relays=len(service.front_of), most_waiting=service.desk.most_waiting)
        service.cease()
        await asyncio.sleep(0.05)       # what closes says so
