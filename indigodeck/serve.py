"""Puts a planner together: the charter's service with its fronts, until it is told to end."""

import asyncio
import signal
import time

from .chance import Chance, seed_from
from .choice import Assigner
from .planner.service import Service
from .schema import BadDocument

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
        method = charter.reports.get(
            "probe_path", f"/exchange.Hosts/{(safe or charter.classes)[0]}"
        )
        reach = GrpcReach(method, charter.stated["report_period"])
    service = Service(charter, make, reach)
    store, held = opened(charter, service.note) if charter.store else (None, {})
    if charter.takeover:
        service.peers = peers(service, charter, store, held)
    if store is not None:
        service.keep_books(store, held)
    if charter.operators:
        from .takeover.operators import Operators

        service.operators = Operators(service, key_of(charter, charter.operators["key_file"]))
        service.operators.hear(
            charter.operators["port"], charter.operators.get("address", "127.0.0.1")
        )
    for name, stated in charter.fronts.items():
        service.open(
            front(name, service, charter),
            name,
            stated.get("port", USUAL_PORTS[name]),
            stated.get("address", "127.0.0.1"),
        )
    service.start()
    return service


def opened(charter, note):
    """(the planner's store, {key: value} of all that it holds)"""
    from .store.files import Folder
    from .store.writer import Writer

    store = Writer(
        Folder(charter.folder / charter.store["folder"]),
        note,
        charter.store.get("delay_ms", 0) / 1000,
    )
    held = store.ask(lambda log: {key: log.get(key) for key in log.keys()}).result()
    note("store opened", records=len(held), lost=store.log.lost)
    return store, held


def key_of(charter, name):
    """The key that all controllers of a fleet share, or operators and a planner."""
    key = (charter.folder / name).read_bytes().strip()
    if len(key) < 16:
        raise BadDocument(f"{name}: a key of {len(key)} bytes, 16 at least")
    return key


def peers(service, charter, store, held):
    from .takeover.apart import Apart
    from .takeover.peers import Peers
    from .takeover.record import InStore, RecordFile, entries_of, pack_entries, unpack_entries

    stated = charter.takeover
    wards = charter.halls if stated.get("wards") == "halls" else ["fleet"]
    path, lease = (
        charter.folder / stated.get("record", "none"),
        round(stated.get("lease_ms", 3000) * 1000),
    )
    record, refused = (
        RecordFile(path),
        RecordFile(path.with_name(path.name + ".refused"), pack_entries, unpack_entries),
    )
    if store is not None:
        # A file from before there was a store is read once more, for its epochs must not be forgotten.
        record, refused = (
            InStore(store, held, "charge", record),
            InStore(store, held, "refused", refused, list, entries_of),
        )
    return Apart(
        service,
        lambda surroundings: Peers(
            surroundings,
            stated["me"],
            stated["members"],
            wards,
            lease,
            stated.get("drift", 0.01),
            key_of(charter, stated["key_file"]),
            record,
            refused,
            Chance(seed_from(stated["me"], [str(charter.seed).encode()])),
            int(time.time() * 10),
            stated.get("speaks", 3),
            stated.get("joins", False),
        ),
        lease,
    )


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
        await asyncio.sleep(0.05)  # what closes says so
