"""Creates a planner from its settings, and runs it until it receives a signal."""

import asyncio
import pathlib
import signal
import time
from collections.abc import Callable
from typing import Any

from .assignment.assigner import Assigner
from .assignment.seeded_random import SeededRandom, seed_from
from .clock import SECOND
from .json_documents import InvalidDocumentError
from .planner.host_client import HostClient
from .planner.planner_settings import PlannerSettings
from .planner.service import PlannerService
from .planner.settings_sections import (
    HostTransport,
    LeadershipSettings,
    OperatorSettings,
    StoreSettings,
)

MIN_KEY_BYTES = 16
INCARNATIONS_PER_SECOND = 10  # restarts less than a tenth of a second apart are not distinguished
SHUTDOWN_GRACE_S = 0.05  # time for closing connections to notify their peers
FLEET_GROUP = "fleet"  # the only relay group if leases are not per zone


async def serve(settings: PlannerSettings, make_assigner: Callable[..., Any] = Assigner) -> None:
    """Run a planner until SIGTERM or SIGINT; proxies keep their tables after that."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    service = start_planner_service(settings, make_assigner)
    try:
        await stop_requested.wait()
    finally:
        service.log_event(
            "planner_stopping",
            proxies=len(service.proxies.frontend_of),
            most_waiting_lines=service.planner_host.updates.peak_waiting_lines,
        )
        service.close()
        await asyncio.sleep(SHUTDOWN_GRACE_S)


def start_planner_service(
    settings: PlannerSettings, make_assigner: Callable[..., Any] = Assigner
) -> PlannerService:
    """Return a service that runs on the current event loop, with its frontends open.

    Raises
    ------
    InvalidDocumentError
        If a key file is too short.
    OSError
        If a port cannot be opened, or a file cannot be read.
    """
    service = PlannerService(settings, make_assigner, _grpc_client(settings))
    store = None
    stored: dict[str, Any] = {}
    if settings.store is not None:
        store, stored = _open_store(settings, settings.store, service.log_event)
    if settings.leadership is not None:
        service.leadership.member_thread = _start_member(
            service, settings, settings.leadership, store, stored
        )
    if store is not None:
        service.versions.open(store, stored)
    if settings.operators is not None:
        service.operator_server = _listen_for_operators(service, settings, settings.operators)
    for name, frontend_settings in settings.frontends.items():
        service.open_frontend(
            _make_frontend(name, service, settings),
            name,
            frontend_settings.port,
            frontend_settings.address,
        )
    service.start()
    return service


def read_key(settings: PlannerSettings, name: str) -> bytes:
    """Return the key shared by all controllers of a fleet, or by operators and a planner.

    Raises
    ------
    InvalidDocumentError
        If the key is too short.
    OSError
        If the file cannot be read.
    """
    key = (settings.folder / name).read_bytes().strip()
    if len(key) < MIN_KEY_BYTES:
        raise InvalidDocumentError(
            f"{name}: key has {len(key)} bytes, but needs at least {MIN_KEY_BYTES}"
        )
    return key


# Optional components are imported only if the settings use them.


def _make_frontend(name: str, service: PlannerService, settings: PlannerSettings) -> Any:
    if name == "xds":
        from .frontends.xds.server import XdsFrontend

        return XdsFrontend(service, settings)
    from .frontends.sasp.server import SaspFrontend

    return SaspFrontend(service, settings)


def _grpc_client(settings: PlannerSettings) -> HostClient | None:
    """Return a client for hosts that serve gRPC, or None for hosts that serve HTTP."""
    if settings.reports.transport != HostTransport.GRPC:
        return None
    from .frontends.xds.health_checks import GrpcHostClient

    default_method = f"/exchange.Hosts/{settings.health_check_class()}"
    method = settings.reports.check_path or default_method
    return GrpcHostClient(method, settings.deployment.report_period)


def _open_store(
    settings: PlannerSettings, store_settings: StoreSettings, log_event: Callable[..., None]
) -> tuple[Any, dict[str, Any]]:
    """Return the planner's store, and all values in it by key."""
    from .store.files import StoreFolder
    from .store.write_ahead_log import WriteAheadLog
    from .store.writer import StoreWriter

    folder = StoreFolder(settings.folder / store_settings.folder)
    store = StoreWriter(folder, log_event, store_settings.write_delay / SECOND)
    stored = store.query(WriteAheadLog.read_all).result()
    log_event("store_opened", records=len(stored), data_lost=store.log.data_lost)
    return store, stored


def _listen_for_operators(
    service: PlannerService, settings: PlannerSettings, operators: OperatorSettings
) -> Any:
    from .leadership.operator_server import OperatorServer

    server = OperatorServer(service.versions, read_key(settings, operators.key_file))
    server.listen_on(operators.port, operators.address)
    return server


def _start_member(
    service: PlannerService,
    settings: PlannerSettings,
    leadership: LeadershipSettings,
    store: Any,
    stored: dict[str, Any],
) -> Any:
    """Start the thread that runs this controller's member of the group."""
    from .leadership.member_thread import MemberThread
    from .leadership.state import ElectionSettings
    from .leadership.transport import ControllerTransport

    record_path = settings.folder / leadership.record_file
    lease_store, rejection_store = _open_group_records(record_path, store, stored)
    seed = seed_from(leadership.member_name, [str(settings.seed).encode()])
    election_settings = ElectionSettings(
        member_id=leadership.member_name,
        members=dict(leadership.members),
        relay_groups=tuple(settings.zone_names if leadership.lease_per_zone else [FLEET_GROUP]),
        lease=leadership.lease_time,
        drift=leadership.clock_drift,
        incarnation=int(time.time() * INCARNATIONS_PER_SECOND),
        joining=leadership.joining,
    )

    def make_transport(member_service: Any) -> ControllerTransport:
        return ControllerTransport(
            member_service,
            election_settings,
            read_key(settings, leadership.key_file),
            lease_store,
            rejection_store,
            SeededRandom(seed),
            leadership.protocol_version,
        )

    return MemberThread(service.leadership, make_transport, election_settings.lease)


def _open_group_records(path: pathlib.Path, store: Any, stored: dict[str, Any]) -> tuple[Any, Any]:
    """Return the records of granted leases and of rejected content."""
    from .leadership.lease_record import (
        RecordFile,
        StoredRecord,
        pack_rejections,
        rejections_from_document,
        unpack_rejections,
    )

    lease_file: RecordFile[Any] = RecordFile(path)
    rejection_file: RecordFile[Any] = RecordFile(
        path.with_name(path.name + ".refused"), pack_rejections, unpack_rejections
    )
    if store is None:
        return lease_file, rejection_file
    # If the store was added later, the record file is still read once, because its epochs must not
    # be lost.
    return (
        StoredRecord(store, stored, "charge", lease_file),
        StoredRecord(store, stored, "refused", rejection_file, list, rejections_from_document),
    )
