"""Puts a planner together: the charter's service with its fronts, until it is told to end."""
import asyncio
import signal

from .choice import Assigner
from .planner.service import Service

USUAL_PORTS = {"sasp": 3860, "xds": 18000}


def front(name, service, charter):
    """A front by its name; each one's libraries are loaded only where the charter names it."""
    if name == "xds":
        from .fronts.xds.server import XdsFront
        return XdsFront(service, charter)
    from .fronts.sasp.server import SaspFront
    return SaspFront(service, charter)


def assemble(charter, make=Assigner):
    """A service that runs on the current loop, with its fronts open."""
    reach = None
    if charter.reports.get("over") == "grpc":
        from .fronts.xds.reach import GrpcReach
        safe = [kind["name"] for kind in charter.stated["classes"] if kind["repeats"] == "safe"]
        method = charter.reports.get("probe_path", f"/exchange.Hosts/{(safe or charter.classes)[0]}")
        reach = GrpcReach(method, charter.stated["report_period"])
    service = Service(charter, make, reach)
    for name, stated in charter.fronts.items():
        service.open(front(name, service, charter), name, stated.get("port", USUAL_PORTS[name]),
                     stated.get("address", "127.0.0.1"))
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
