"""Translates the simulator's events to calls of assigners, and their orders to action records.

Many instances run in one process and share nothing. A malformed event ends the run. An exception
in the assigner is reported in the reply, and the other instances continue.
"""

from collections.abc import Callable, Sequence
from typing import Any

from ..assignment.assigner import Assigner
from ..assignment.interface import (
    DemandReport,
    HealthCheckOutcome,
    LoadReport,
    RetryPolicy,
    Server,
)
from ..clock import MILLISECOND
from ..errors import MalformedMessageError
from ..id_registry import IdRegistry
from ..settings import DeploymentSettings, microseconds_or_zero, settings_from_json
from . import codec
from .codec import ActionCode, EventCode, Frame, ListEntry


class Reply:
    """The reply being built: action records, and the tail that some of them point into."""

    def __init__(self) -> None:
        self.clock = 0  # of the batch being processed
        self._records: list[bytes] = []
        self._tail = bytearray()
        self._selected_instance: int | None = None

    def add(self, instance: int, record: bytes) -> None:
        """Append an action of one instance, after selecting the instance if that changes."""
        if instance != self._selected_instance:
            self._selected_instance = instance
            self._records.append(codec.pack_select_instance(ActionCode.SELECT_INSTANCE, instance))
        self._records.append(record)

    def append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append bytes to the tail, and return their offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def finish(self) -> bytes:
        """Return the complete reply and start a new one."""
        body = b"".join(self._records) + bytes(self._tail)
        header = codec.REPLY_HEADER.pack(len(self._records), len(body))
        self._records = []
        self._tail = bytearray()
        self._selected_instance = None
        return header + body


class InstanceHost:
    """The host of one instance's assigner; implements `AssignerHost`."""

    def __init__(self, instance: int, settings: DeploymentSettings, reply: Reply) -> None:
        self.instance = instance
        self.settings = settings
        # Set when the assigner exists; its constructor already calls this host.
        self.assigner: Any = None
        self._reply = reply
        self._server_ids = IdRegistry()

    def server_index(self, server_id: bytes) -> int:
        """Return the index of a server id; a new id gets the next index."""
        return self._server_ids.index(server_id)

    def now(self) -> int:
        """Return the clock of the batch."""
        return self._reply.clock

    def start_timer(self, delay: int, token: int) -> None:
        """Request a timer event."""
        delay_ms = delay / MILLISECOND
        self._add(codec.pack_timer(ActionCode.TIMER, delay_ms, token))

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table."""
        self._add(
            codec.pack_weight(ActionCode.WEIGHT, table, self._server_ids.id_of[server], weight)
        )

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""
        self._add(codec.pack_clear_table(ActionCode.CLEAR_TABLE, table))

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Make a proxy use a table."""
        mask = _class_mask(classes)
        self._add(codec.pack_table_assignment(ActionCode.TABLE_ASSIGNMENT, proxy, table, mask))

    def eject_server(self, server: int) -> None:
        """Make all proxies stop using a server."""
        self._add(codec.pack_eject(ActionCode.EJECT, self._server_ids.id_of[server], True))

    def uneject_server(self, server: int) -> None:
        """Allow proxies to use a server again."""
        self._add(codec.pack_eject(ActionCode.EJECT, self._server_ids.id_of[server], False))

    def forget_server(self, server: int) -> None:
        """Uneject a server that is gone; its index is kept, as late events may still name it."""
        self.uneject_server(server)

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Set the admission level and retry policy of classes; a negative table means all."""
        number = codec.ALL_TABLES if table < 0 else table
        mask = _class_mask(classes)
        self._add(codec.pack_admission(ActionCode.ADMISSION, mask, retry_policy, number, level))

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Request an acknowledgement of all orders so far."""
        self._add(codec.pack_ack_request(ActionCode.ACK_REQUEST, number & 0xFFFF, all_proxies))

    def check_health(self, server: int) -> None:
        """Request a health check."""
        self._add(codec.pack_health_check(ActionCode.HEALTH_CHECK, self._server_ids.id_of[server]))

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a message to another planner, or to all."""
        receiver = codec.ALL_PEERS if peer is None else peer
        offset, length = self._reply.append_to_tail(data)
        self._add(codec.pack_peer_message(ActionCode.PEER_MESSAGE, receiver, offset, length))

    def watch_endpoints(self, enabled: bool) -> None:
        """Start or stop the subscription to the endpoint list."""
        self._add(codec.pack_list_subscription(ActionCode.LIST_SUBSCRIPTION, enabled))

    def fetch_endpoints(self) -> None:
        """Request the full endpoint list."""
        self._add(codec.pack_list_request(ActionCode.LIST_REQUEST))

    def log(self, text: str) -> None:
        """Write a line to the simulator's log."""
        offset, length = self._reply.append_to_tail(text.encode())
        self._add(codec.pack_log(ActionCode.LOG, offset, length))

    def _add(self, record: bytes) -> None:
        self._reply.add(self.instance, record)


def _class_mask(classes: Sequence[int]) -> int:
    return sum(1 << class_index for class_index in classes)


class Adapter:
    """Answers each batch of events with one reply; `make_assigner` may create other policies."""

    def __init__(self, make_assigner: Callable[..., Any] = Assigner) -> None:
        self._make_assigner = make_assigner
        self._reply = Reply()
        self._hosts: dict[int, InstanceHost] = {}
        self._lists: dict[int, list[ListEntry]] = {}  # by the number that events refer to
        self._handlers: dict[EventCode, Callable[..., None]] = {
            EventCode.ENDPOINT_UPDATE: self._on_endpoint_update,
            EventCode.PROXY_LEFT: self._on_proxy_left,
            EventCode.STOP: self._on_stop,
            EventCode.ACK: self._on_ack,
            EventCode.KEY_RANGE_SERVER: self._on_key_range_server,
            EventCode.KEY_RANGE_DEMAND: self._on_key_range_demand,
            EventCode.HEALTH_CHECK: self._on_health_check,
            EventCode.TIMER: self._on_timer,
            EventCode.KEY_RANGE_ASSIGNED: self._on_key_range_assigned,
            EventCode.LOAD_REPORT: self._on_load_report,
            EventCode.DEMAND_REPORT: self._on_demand_report,
            EventCode.PROXY_JOINED: self._on_proxy_joined,
        }

    def process(self, frame: Frame) -> bytes:
        """Return the reply to one batch.

        Raises
        ------
        MalformedMessageError
            If a record is malformed; the message names the record.
        """
        self._reply.clock = frame.clock
        instance: int | None = None
        for index, code, fields in frame.events():
            if code == EventCode.SELECT_INSTANCE:
                (instance,) = fields
                continue
            try:
                self._process_event(frame, instance, code, fields)
            except MalformedMessageError as error:
                raise MalformedMessageError(f"record {index}: {error}") from error
            except Exception as error:  # must not affect the other instances
                where = f"record {index}, code {code.value}"
                text = f"{type(error).__name__}: {error} ({where})"
                self._report_crash(instance or 0, text)
        return self._reply.finish()

    def _process_event(
        self, frame: Frame, instance: int | None, code: EventCode, fields: tuple
    ) -> None:
        if code == EventCode.ENDPOINT_LIST:
            self._declare_list(frame, *fields)
            return
        if instance is None:
            raise MalformedMessageError(f"code {code.value}: no instance has been selected")
        if code == EventCode.START:
            self._start(frame, instance, *fields)
            return
        host = self._hosts.get(instance)
        if host is None:
            raise MalformedMessageError(
                f"code {code.value}: instance {instance} has not been started"
            )
        if code == EventCode.PEER_MESSAGE:
            self._on_peer_message(frame, host, *fields)
            return
        self._handlers[code](host, *fields)

    def _report_crash(self, instance: int, text: str) -> None:
        offset, length = self._reply.append_to_tail(text.encode())
        self._reply.add(instance, codec.pack_crash(ActionCode.CRASH, offset, length))

    def _declare_list(self, frame: Frame, number: int, offset: int, count: int) -> None:
        data = frame.tail(offset, count * codec.LIST_ENTRY.size, f"endpoint list {number}")
        self._lists[number] = list(codec.read_list_entries(data, count))

    def _start(self, frame: Frame, instance: int, seed: int, offset: int, length: int) -> None:
        settings = settings_from_json(frame.tail(offset, length, "settings"))
        host = self._hosts[instance] = InstanceHost(instance, settings, self._reply)
        host.assigner = self._make_assigner(host, settings, seed)

    def _on_stop(self, host: InstanceHost) -> None:
        del self._hosts[host.instance]

    def _on_endpoint_update(self, host: InstanceHost, number: int, version: int, kind: int) -> None:
        if kind == codec.LIST_FAILED:
            host.assigner.on_endpoint_list_failed()
            return
        if kind not in codec.UPDATE_KINDS:
            raise MalformedMessageError(f"unknown kind of endpoint update: {kind}")
        if number not in self._lists:
            raise MalformedMessageError(f"endpoint list {number} has not been declared")
        servers = [
            Server(
                index=host.server_index(entry.server_id),
                stable_id=entry.server_id,
                cell=entry.cell,
                machine_type=entry.machine_type,
                zone=entry.zone,
                weight=entry.weight,
                started=entry.started,
                state=entry.state,
            )
            for entry in self._lists[number]
        ]
        host.assigner.on_endpoint_update(codec.UPDATE_KINDS[kind], servers)

    def _on_proxy_joined(
        self, host: InstanceHost, proxy: int, zone: int, rate: float, fresh: int
    ) -> None:
        host.assigner.on_proxy_joined(proxy, zone, rate, bool(fresh))

    def _on_proxy_left(self, host: InstanceHost, proxy: int) -> None:
        host.assigner.on_proxy_left(proxy)

    def _on_peer_message(
        self, frame: Frame, host: InstanceHost, peer: int, offset: int, length: int
    ) -> None:
        data = frame.tail(offset, length, "peer message")
        host.assigner.on_peer_message(peer, bytes(data))

    def _on_ack(self, host: InstanceHost, proxy: int, number: int, duration_ms: float) -> None:
        host.assigner.on_ack(proxy, number, microseconds_or_zero(duration_ms))

    def _on_timer(self, host: InstanceHost, token: int) -> None:
        host.assigner.on_timer(token)

    def _on_health_check(
        self, host: InstanceHost, server_id: bytes, outcome: int, duration_ms: float, load: bytes
    ) -> None:
        host.assigner.on_health_check(
            host.server_index(server_id),
            codec.HEALTH_CHECK_OUTCOMES.get(outcome, HealthCheckOutcome.ERROR),
            microseconds_or_zero(duration_ms),
            codec.read_load(host.settings.load_columns, load),
        )

    def _on_load_report(
        self,
        host: InstanceHost,
        zone: int,
        server_id: bytes,
        attempts: int,
        failures: int,
        mean_latency_ms: float,
        span_ms: float,
        load: bytes,
    ) -> None:
        report = LoadReport(
            zone=zone,
            server=host.server_index(server_id),
            attempts=attempts,
            failures=failures,
            mean_latency=microseconds_or_zero(mean_latency_ms),
            span=microseconds_or_zero(span_ms),
            load=codec.read_load(host.settings.load_columns, load),
        )
        host.assigner.on_load_report(report)

    def _on_demand_report(
        self,
        host: InstanceHost,
        class_index: int,
        span_ms: float,
        failures: int,
        proxy: int,
        requests: int,
    ) -> None:
        _check_class(host, class_index)
        report = DemandReport(proxy, class_index, requests, failures, microseconds_or_zero(span_ms))
        host.assigner.on_demand_report(report)

    def _on_key_range_assigned(self, host: InstanceHost, on: int, table: int) -> None:
        host.assigner.on_key_range_assigned(table, bool(on))

    def _on_key_range_server(
        self, host: InstanceHost, server_id: bytes, weight: float, table: int
    ) -> None:
        host.assigner.on_key_range_server(table, host.server_index(server_id), weight)

    def _on_key_range_demand(
        self,
        host: InstanceHost,
        table: int,
        class_index: int,
        requests: int,
        failures: int,
        span_ms: float,
    ) -> None:
        _check_class(host, class_index)
        host.assigner.on_key_range_demand(
            table, class_index, requests, failures, microseconds_or_zero(span_ms)
        )


def _check_class(host: InstanceHost, class_index: int) -> None:
    count = len(host.settings.classes)
    if class_index >= count:
        raise MalformedMessageError(
            f"class index {class_index} is out of range: the number of classes is {count}"
        )
