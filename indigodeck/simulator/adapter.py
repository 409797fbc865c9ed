"""Turns the simulator's events straight into calls on an assigner, and its orders into records."""

import struct

from ..assignment.assigner import Assigner
from ..assignment.interface import (
    DemandReport,
    HealthCheckOutcome,
    LoadReport,
    Server,
    ServerState,
    UpdateKind,
)
from ..errors import MalformedMessageError
from ..settings import microseconds, settings_from_json
from . import codec
from .codec import ACTION_SIZE, ENTRY, ENTRY_SIZE, EVENT_SIZE, tail_slice

STATES = {0: ServerState.DRAINING, 1: ServerState.READY, 2: ServerState.GONE}
LIST_KINDS = {1: UpdateKind.CHANGES, 3: UpdateKind.CACHED, 4: UpdateKind.WHOLE}
OUTCOMES = {
    0: HealthCheckOutcome.OK,
    1: HealthCheckOutcome.ERROR,
    2: HealthCheckOutcome.FULL,
    3: HealthCheckOutcome.SILENT,
    4: HealthCheckOutcome.UNREACHABLE,
    5: HealthCheckOutcome.BROKEN,
}
ALL_PEERS = 0xFFFFFFFF
EVERY_TABLE = 65535


def packer(layout):
    """Packs one action record, zero-filled to its size."""
    shape = struct.Struct("<" + layout)
    fill = bytes(ACTION_SIZE - shape.size)
    return lambda *fields: shape.pack(*fields) + fill


SPEAKING, DEBUG, CRASH, DEFER = packer("HH"), packer("HII"), packer("HII"), packer("HdQ")
RESOLVE, FOLLOW, SAMPLE, POST = packer("H"), packer("HB"), packer("H6s"), packer("HIII")
PUT_LINE, WIPE, HAND_TABLE, PULL = packer("HH6sf"), packer("HH"), packer("HHHH"), packer("H6sB")
THROTTLE, CHECKPOINT = packer("HHBHf"), packer("HIB")


class Reply:
    """The records and tail of the reply being written."""

    def __init__(self):
        self.records, self.tail, self.speaker, self.clock = [], bytearray(), None, 0

    def add(self, speaker, record):
        if speaker != self.speaker:
            self.speaker = speaker
            self.records.append(SPEAKING(1030, speaker))
        self.records.append(record)

    def stow(self, data):
        at = len(self.tail)
        self.tail += data
        return at, len(data)

    def take(self):
        body = b"".join(self.records) + bytes(self.tail)
        head = codec.REPLY_HEADER.pack(len(self.records), len(body))
        self.records, self.tail, self.speaker = [], bytearray(), None
        return head + body


class Desk:
    """One instance's host: its own ids, its own assigner, nothing shared with other desks."""

    def __init__(self, number, reply):
        self.number, self.reply = number, reply
        self.index_of, self.raw_of = {}, []
        self.assigner = None

    def index(self, raw):
        found = self.index_of.get(raw)
        if found is None:
            found = self.index_of[raw] = len(self.raw_of)
            self.raw_of.append(raw)
        return found

    # What the assigner may do.

    def now(self):
        return self.reply.clock

    def _act(self, record):
        self.reply.add(self.number, record)

    def start_timer(self, after, token):
        self._act(DEFER(1040, after / 1000, token))

    def set_weight(self, table, server, weight):
        self._act(PUT_LINE(1120, table, self.raw_of[server], weight))

    def clear_table(self, table):
        self._act(WIPE(1100, table))

    def assign_table(self, proxy, table, classes):
        self._act(HAND_TABLE(1090, proxy, table, sum(1 << k for k in classes)))

    def eject_server(self, server):
        self._act(PULL(1000, self.raw_of[server], True))

    def uneject_server(self, server):
        self._act(PULL(1000, self.raw_of[server], False))

    def forget_server(self, server):
        self.uneject_server(server)

    def set_admission(self, table, classes, level, tries):
        number = EVERY_TABLE if table < 0 else table
        self._act(THROTTLE(1070, sum(1 << k for k in classes), tries, number, level))

    def request_ack(self, number, everyone):
        self._act(CHECKPOINT(1020, number & 0xFFFF, everyone))

    def check_health(self, server):
        self._act(SAMPLE(1130, self.raw_of[server]))

    def send_to_peer(self, peer, data):
        self._act(POST(1010, ALL_PEERS if peer is None else peer, *self.reply.stow(data)))

    def watch_endpoints(self, on):
        self._act(FOLLOW(1080, on))

    def fetch_endpoints(self):
        self._act(RESOLVE(1060))

    def log(self, text):
        self._act(DEBUG(1110, *self.reply.stow(text.encode())))

    def crash(self, text):
        self._act(CRASH(1050, *self.reply.stow(text.encode())))


def load_map(columns, data):
    return dict(zip(columns, struct.unpack_from("<4f", data, 1)[: data[0]])) if data[0] else None


def read_entries(data, count):
    for at in range(0, count * ENTRY_SIZE, ENTRY_SIZE):
        cell, kind, weight, raw, started, state, zone = ENTRY.unpack_from(data, at)
        if state not in STATES:
            raise MalformedMessageError(f"list entry {at // ENTRY_SIZE}: unknown state {state}")
        yield cell, kind, weight, raw, microseconds(started), STATES[state], zone


class Adapter:
    """Many instances in one process. Reads batches, calls assigners, answers with one reply a batch."""

    def __init__(self, make=Assigner):
        self.make, self.reply, self.desks, self.lists = make, Reply(), {}, {}
        self.read = {
            1000: (struct.Struct("<III"), None),
            1010: (struct.Struct("<IIB"), self.members),
            1020: (struct.Struct("<H"), self.left),
            1030: (struct.Struct("<"), self.stop),
            1040: (struct.Struct("<HII"), self.memo),
            1050: (struct.Struct("<QII"), self.start),
            1060: (struct.Struct("<HId"), self.applied),
            1070: (struct.Struct("<6sfH"), self.held),
            1080: (struct.Struct("<HBIId"), self.heat),
            1090: (struct.Struct("<6sHd17s"), self.probed),
            1100: (struct.Struct("<Q"), self.woken),
            1110: (struct.Struct("<BH"), self.given),
            1120: (struct.Struct("<B6sIIdd17s"), self.heard),
            1130: (struct.Struct("<BdIHI"), self.demand),
            1140: (struct.Struct("<HBfB"), self.joined),
            1150: (struct.Struct("<H"), None),
        }

    def batch(self, clock, count, body):
        self.reply.clock = clock
        chosen = None
        for place in range(count):
            at = place * EVENT_SIZE
            code = body[at] | body[at + 1] << 8
            if code not in self.read:
                raise MalformedMessageError(f"record {place}: unknown code {code}")
            shape, call = self.read[code]
            fields = shape.unpack_from(body, at + 2)
            try:
                if code == 1150:
                    (chosen,) = fields
                elif code == 1000:
                    number, offset, entries = fields
                    data = tail_slice(body, count, offset, entries * ENTRY_SIZE, f"list {number}")
                    self.lists[number] = list(read_entries(data, entries))
                elif chosen is None:
                    raise MalformedMessageError(f"code {code} before any instance was selected")
                elif code == 1050:
                    seed, offset, length = fields
                    self.start(chosen, seed, tail_slice(body, count, offset, length, "settings"))
                elif chosen not in self.desks:
                    raise MalformedMessageError(
                        f"code {code} for instance {chosen}, which has not started"
                    )
                elif code == 1040:
                    peer, offset, length = fields
                    self.memo(
                        self.desks[chosen], peer, tail_slice(body, count, offset, length, "memo")
                    )
                else:
                    call(self.desks[chosen], *fields)
            except MalformedMessageError as error:
                raise MalformedMessageError(f"record {place}: {error}") from error
            except Exception as error:  # the decision code failed: the wire has an action for that
                Desk(chosen, self.reply).crash(
                    f"{type(error).__name__}: {error} (record {place}, code {code})"
                )
        return self.reply.take()

    def start(self, number, seed, data):
        settings = settings_from_json(data)
        desk = self.desks[number] = Desk(number, self.reply)
        desk.columns = settings.load_columns
        desk.classes, desk.zones = len(settings.classes), settings.zone_count
        desk.assigner = self.make(desk, settings, seed)

    def stop(self, desk):
        del self.desks[desk.number]

    def members(self, desk, number, version, kind):
        if kind == 0:
            return desk.assigner.on_endpoint_list_failed()
        if kind not in LIST_KINDS:
            raise MalformedMessageError(f"unknown kind of list {kind}")
        if number not in self.lists:
            raise MalformedMessageError(f"list {number} was not declared")
        servers = [
            Server(desk.index(raw), raw, cell, machine, zone, weight, started, state)
            for cell, machine, weight, raw, started, state, zone in self.lists[number]
        ]
        desk.assigner.on_endpoint_update(LIST_KINDS[kind], servers)

    def left(self, desk, proxy):
        desk.assigner.on_proxy_left(proxy)

    def joined(self, desk, proxy, zone, rate, fresh):
        desk.assigner.on_proxy_joined(proxy, zone, rate, bool(fresh))

    def memo(self, desk, peer, data):
        desk.assigner.on_peer_message(peer, bytes(data))

    def applied(self, desk, proxy, number, took):
        desk.assigner.on_ack(proxy, number, microseconds(took))

    def held(self, desk, raw, weight, table):
        desk.assigner.on_key_range_server(table, desk.index(raw), weight)

    def given(self, desk, on, table):
        desk.assigner.on_key_range_assigned(table, bool(on))

    def heat(self, desk, table, place, exchanges, failed, span):
        self.check_class(desk, place)
        desk.assigner.on_key_range_demand(table, place, exchanges, failed, microseconds(span))

    def probed(self, desk, raw, outcome, took, load):
        desk.assigner.on_health_check(
            desk.index(raw),
            OUTCOMES.get(outcome, HealthCheckOutcome.ERROR),
            microseconds(took),
            load_map(desk.columns, load),
        )

    def woken(self, desk, token):
        desk.assigner.on_timer(token)

    def heard(self, desk, zone, raw, tries, failed, took, span, load):
        desk.assigner.on_load_report(
            LoadReport(
                zone,
                desk.index(raw),
                tries,
                failed,
                microseconds(took),
                microseconds(span),
                load_map(desk.columns, load),
            )
        )

    def demand(self, desk, place, span, failed, proxy, exchanges):
        self.check_class(desk, place)
        desk.assigner.on_demand_report(
            DemandReport(proxy, place, exchanges, failed, microseconds(span))
        )

    @staticmethod
    def check_class(desk, place):
        if place >= desk.classes:
            raise MalformedMessageError(f"class {place} of {desk.classes}")
