"""Turn the simulator's events into calls on assigners, and their orders into action records.

Many instances run in one process and share nothing. An event that is malformed ends the run; a
fault in the decision code is reported over the wire, and the other instances go on.
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
    """The reply being written: action records, and the tail that some of them point into."""

    def __init__(self) -> None:
        self.clock = 0  # of the batch that is answered
        self._records: list[bytes] = []
        self._tail = bytearray()
        self._speaker: int | None = None

    def add(self, speaker: int, record: bytes) -> None:
        """Append an action of one instance."""
        if speaker != self._speaker:
            self._speaker = speaker
            self._records.append(codec.pack_speaker(ActionCode.SPEAKER, speaker))
        self._records.append(record)

    def append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append bytes to the tail; return their offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def take(self) -> bytes:
        """Return the whole reply and begin a new one."""
        body = b"".join(self._records) + bytes(self._tail)
        header = codec.REPLY_HEADER.pack(len(self._records), len(body))
        self._records = []
        self._tail = bytearray()
        self._speaker = None
        return header + body


class InstanceHost:
    """The assigner's host for one instance; implements `AssignerHost`."""

    def __init__(self, instance: int, settings: DeploymentSettings, reply: Reply) -> None:
        self.instance = instance
        self.settings = settings
        self.assigner: Any = None  # set once it is made: it acts through this host at once
        self._reply = reply
        self._server_ids = IdRegistry()

    def server_index(self, server_id: bytes) -> int:
        """Return the index of a server id; a new one gets the next index."""
        return self._server_ids.index(server_id)

    def now(self) -> int:
        """Return the clock of the batch."""
        return self._reply.clock

    def start_timer(self, delay: int, token: int) -> None:
        """Order a timer."""
        delay_ms = delay / MILLISECOND
        self._add(codec.pack_timer(ActionCode.TIMER, delay_ms, token))

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Order one line of a table."""
        self._add(
            codec.pack_weight(ActionCode.WEIGHT, table, self._server_ids.id_of[server], weight)
        )

    def clear_table(self, table: int) -> None:
        """Order the removal of a table's lines."""
        self._add(codec.pack_clear_table(ActionCode.CLEAR_TABLE, table))

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Order a proxy onto a table."""
        mask = _class_mask(classes)
        self._add(codec.pack_table_assignment(ActionCode.TABLE_ASSIGNMENT, proxy, table, mask))

    def eject_server(self, server: int) -> None:
        """Order all proxies off a server."""
        self._add(codec.pack_eject(ActionCode.EJECT, self._server_ids.id_of[server], True))

    def uneject_server(self, server: int) -> None:
        """Let proxies return to a server."""
        self._add(codec.pack_eject(ActionCode.EJECT, self._server_ids.id_of[server], False))

    def forget_server(self, server: int) -> None:
        """Uneject a server that is gone; its index stays, for late events may still name it."""
        self.uneject_server(server)

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Order the admission level and retry policy of classes; a negative table means all."""
        number = codec.EVERY_TABLE if table < 0 else table
        mask = _class_mask(classes)
        self._add(codec.pack_admission(ActionCode.ADMISSION, mask, retry_policy, number, level))

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Ask for an acknowledgement of the orders up to here."""
        self._add(codec.pack_ack_request(ActionCode.ACK_REQUEST, number & 0xFFFF, all_proxies))

    def check_health(self, server: int) -> None:
        """Order a health check."""
        self._add(codec.pack_health_check(ActionCode.HEALTH_CHECK, self._server_ids.id_of[server]))

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send bytes to another planner, or to all."""
        receiver = codec.ALL_PEERS if peer is None else peer
        offset, length = self._reply.append_to_tail(data)
        self._add(codec.pack_peer_message(ActionCode.PEER_MESSAGE, receiver, offset, length))

    def watch_endpoints(self, enabled: bool) -> None:
        """Subscribe to changes of the endpoint list, or stop that."""
        self._add(codec.pack_list_subscription(ActionCode.LIST_SUBSCRIPTION, enabled))

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list."""
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
    """Answer each batch of events with one reply; `make_assigner` may make another policy."""

    def __init__(self, make_assigner: Callable[..., Any] = Assigner) -> None:
        self._make_assigner = make_assigner
        self._reply = Reply()
        self._hosts: dict[int, InstanceHost] = {}
        self._lists: dict[int, list[ListEntry]] = {}  # by the number that events name them by
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
            If a record is not what the wire allows; the message names it.
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
            except Exception as error:  # a fault of the decision code must not end the others
                where = f"record {index}, code {code.value}"
                text = f"{type(error).__name__}: {error} ({where})"
                self._report_crash(instance or 0, text)
        return self._reply.take()

    def _process_event(
        self, frame: Frame, instance: int | None, code: EventCode, fields: tuple
    ) -> None:
        if code == EventCode.ENDPOINT_LIST:
            self._declare_list(frame, *fields)
            return
        if instance is None:
            raise MalformedMessageError(f"code {code.value} before any instance was selected")
        if code == EventCode.START:
            self._start(frame, instance, *fields)
            return
        host = self._hosts.get(instance)
        if host is None:
            raise MalformedMessageError(
                f"code {code.value} for instance {instance}, which has not started"
            )
        if code == EventCode.PEER_MESSAGE:
            self._on_peer_message(frame, host, *fields)
            return
        self._handlers[code](host, *fields)

    def _report_crash(self, instance: int, text: str) -> None:
        offset, length = self._reply.append_to_tail(text.encode())
        self._reply.add(instance, codec.pack_crash(ActionCode.CRASH, offset, length))

    def _declare_list(self, frame: Frame, number: int, offset: int, count: int) -> None:
        data = frame.tail(offset, count * codec.LIST_ENTRY.size, f"list {number}")
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
            raise MalformedMessageError(f"unknown kind of list {kind}")
        if number not in self._lists:
            raise MalformedMessageError(f"list {number} was not declared")
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
        data = frame.tail(offset, length, "memo")
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
        raise MalformedMessageError(f"class {class_index} of {count}")
