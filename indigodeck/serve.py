"""Puts a planner together: the charter's service with its fronts, until it is told to end."""

import asyncio
import signal
import time

from .assignment.assigner import Assigner
from .assignment.seeded_random import SeededRandom, seed_from
from .json_documents import InvalidDocumentError
from .planner.service import Service
from .settings import Idempotency

USUAL_PORTS = {"sasp": 3860, "xds": 18000}


def front(name, service, settings):
    """A front by its name; each one's libraries are loaded only where the charter names it."""
    if name == "xds":
        from .frontends.xds.server import XdsFront

        return XdsFront(service, settings)
    from .frontends.sasp.server import SaspFront

    return SaspFront(service, settings)


def assemble(settings, make=Assigner):
    """A service that runs on the current loop, with its fronts open."""
    reach = None
    if settings.reports.get("over") == "grpc":
        from .frontends.xds.health_checks import GrpcReach

        safe = [
            kind.name
            for kind in settings.deployment.classes
            if kind.idempotency == Idempotency.SAFE
        ]
        method = settings.reports.get(
            "probe_path", f"/exchange.Hosts/{(safe or settings.classes)[0]}"
        )
        reach = GrpcReach(method, settings.deployment.report_period)
    service = Service(settings, make, reach)
    store, held = opened(settings, service.note) if settings.store else (None, {})
    if settings.takeover:
        service.peers = member_thread(service, settings, store, held)
    if store is not None:
        service.keep_books(store, held)
    if settings.operators:
        from .leadership.operator_server import OperatorServer

        service.operators = OperatorServer(
            service, key_of(settings, settings.operators["key_file"])
        )
        service.operators.listen_on(
            settings.operators["port"], settings.operators.get("address", "127.0.0.1")
        )
    for name, stated in settings.fronts.items():
        service.open(
            front(name, service, settings),
            name,
            stated.get("port", USUAL_PORTS[name]),
            stated.get("address", "127.0.0.1"),
        )
    service.start()
    return service


def opened(settings, note):
    """(the planner's store, {key: value} of all that it holds)"""
    from .store.files import StoreFolder
    from .store.write_ahead_log import WriteAheadLog
    from .store.writer import StoreWriter

    store = StoreWriter(
        StoreFolder(settings.folder / settings.store["folder"]),
        note,
        settings.store.get("delay_ms", 0) / 1000,
    )
    held = store.query(WriteAheadLog.read_all).result()
    note("store_opened", records=len(held), data_lost=store.log.data_lost)
    return store, held


def key_of(settings, name):
    """The key that all controllers of a fleet share, or operators and a planner."""
    key = (settings.folder / name).read_bytes().strip()
    if len(key) < 16:
        raise InvalidDocumentError(f"{name}: a key of {len(key)} bytes, 16 at least")
    return key


def member_thread(service, settings, store, held):
    """The member of the controllers' election that runs beside this planner."""
    from .leadership.lease_record import (
        RecordFile,
        StoredRecord,
        pack_rejections,
        rejections_from_document,
        unpack_rejections,
    )
    from .leadership.member_thread import MemberThread
    from .leadership.state import ElectionSettings
    from .leadership.transport import ControllerTransport

    stated = settings.takeover
    path = settings.folder / stated.get("record", "none")
    lease_store = RecordFile(path)
    rejection_store = RecordFile(
        path.with_name(path.name + ".refused"), pack_rejections, unpack_rejections
    )
    if store is not None:
        # A file from before there was a store is read once more, for its epochs must not be forgotten.
        lease_store = StoredRecord(store, held, "charge", lease_store)
        rejection_store = StoredRecord(
            store, held, "refused", rejection_store, list, rejections_from_document
        )
    election_settings = ElectionSettings(
        me=stated["me"],
        members=stated["members"],
        relay_groups=tuple(settings.halls if stated.get("wards") == "halls" else ["fleet"]),
        lease=round(stated.get("lease_ms", 3000) * 1000),
        drift=stated.get("drift", 0.01),
        incarnation=int(time.time() * 10),
        joins=stated.get("joins", False),
    )

    def make_transport(member_service):
        return ControllerTransport(
            member_service,
            election_settings,
            key_of(settings, stated["key_file"]),
            lease_store,
            rejection_store,
            SeededRandom(seed_from(stated["me"], [str(settings.seed).encode()])),
            stated.get("speaks", 3),
        )

    return MemberThread(service, make_transport, election_settings.lease)


async def serve(settings, make=Assigner):
    """Runs until SIGTERM or SIGINT; relays keep their tables."""
    ended, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    service = assemble(settings, make)
    try:
        await ended.wait()
    finally:
        service.note("ending", relays=len(service.front_of), most_waiting=service.desk.most_waiting)
        service.cease()
        await asyncio.sleep(0.05)  # what closes says so
